package document

import "errors"

var errPending = errors.New("document: not built yet")

// Document is one version, whole. The zero value is not one: see Empty and Open.
type Document struct {
	header Header
	digest Digest
}

// Empty is version 0: nothing is in it.
func Empty() *Document { return &Document{} }

// Header returns what the version is.
func (d *Document) Header() Header { return d.header }

// Digest returns the version's digest.
func (d *Document) Digest() Digest { return d.digest }

// Team returns the team of that name.
func (d *Document) Team(name string) (Team, bool) { return Team{}, false }

// Service returns the service of that name; its contracts are not to be changed.
func (d *Document) Service(name string) (*Service, bool) { return nil, false }

// Content returns all that the version holds: it costs by all.
func (d *Document) Content() Content { return Content{} }

// Diff returns the changes that make what d holds into next: it costs by all.
func (d *Document) Diff(next *Content) []Change { return nil }

// Draft makes the version after d with these changes: what the originator does.
// Its errors name all faults at once.
func (d *Document) Draft(changes []Change, by Meta) (*Delta, error) { return nil, errPending }

// Apply returns the version that delta makes of d; d stays as it is. It costs by
// the changes.
func (d *Document) Apply(delta *Delta) (*Document, error) { return nil, errPending }

// Snapshot words the whole version, compressed: it costs by all.
func (d *Document) Snapshot() ([]byte, error) { return nil, errPending }

// Open reads what Snapshot worded, and checks it whole against its digest.
func Open(b []byte) (*Document, error) { return nil, errPending }

// Encode words a delta; large ones are compressed.
func (d *Delta) Encode() ([]byte, error) { return nil, errPending }

// DecodeDelta reads what Encode worded. It is bounded by MostBytes.
func DecodeDelta(b []byte) (*Delta, error) { return nil, errPending }
