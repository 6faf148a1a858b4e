package document

import (
	"errors"
	"fmt"
	"math"
)

// Document is one version, whole. The zero value is not one: see Empty and Open.
type Document struct {
	header Header
	digest Digest
	state  *state
}

// Empty is version 0: nothing is in it. Its digest is that of a header with the
// digest of no content and nothing else, the same everywhere.
func Empty() *Document {
	s := emptyState()
	h := Header{Content: s.contentDigest}
	return &Document{header: h, digest: h.Digest(), state: s}
}

// Header returns what the version is.
func (d *Document) Header() Header { return d.header }

// Digest returns the version's digest.
func (d *Document) Digest() Digest { return d.digest }

// Team returns the team of that name.
func (d *Document) Team(name string) (Team, bool) {
	if t, ok := find[*Team](d.state, kindTeam, name); ok {
		return *t, true
	}
	return Team{}, false
}

// Service returns the service of that name; its contracts are not to be changed.
func (d *Document) Service(name string) (*Service, bool) {
	return find[*Service](d.state, kindService, name)
}

// Draft makes the version after d with these changes: what the originator does.
// The delta has them in the order of Diff, without those that change nothing, and
// shares no memory with them. Its errors name all faults at once.
func (d *Document) Draft(changes []Change, by Meta) (*Delta, error) {
	h := Header{Number: d.header.Number + 1, Parent: d.digest, Author: by.Author, Reason: by.Reason, Time: by.Time}
	next, effective, err := d.state.edit(changes)
	if err := errors.Join(h.check(), err); err != nil {
		return nil, err
	}
	h.Content = next.contentDigest
	delta := &Delta{Header: h, Changes: effective}
	if _, err := delta.encodeRecord(); err != nil {
		return nil, err
	}
	return delta, nil
}

// Apply returns the version that delta makes of d; d stays as it is. It costs by
// the changes. All that Draft checks is checked again. The error is ErrFork where
// another version with the delta's number is known here, ErrParent where the
// delta is no step from d, ErrDigest where the outcome is not what its header
// names, and else it names all faults.
func (d *Document) Apply(delta *Delta) (*Document, error) {
	if delta == nil {
		return nil, errors.New("document: there is no delta")
	}
	h := delta.Header
	digest := h.Digest()
	if err := d.checkSuccessor(&h, digest); err != nil {
		return nil, err
	}
	next, _, err := d.state.edit(delta.Changes)
	if err := errors.Join(h.check(), err); err != nil {
		return nil, err
	}
	if next.contentDigest != h.Content {
		return nil, fmt.Errorf("%w: version %d has %v, its header %v", ErrDigestMismatch, h.Number, next.contentDigest, h.Content)
	}
	return &Document{header: h, digest: digest, state: next}, nil
}

// checkSuccessor says whether a version with that header may come after d. Of the
// versions before, the one in force and its parent are known.
func (d *Document) checkSuccessor(h *Header, digest Digest) error {
	var known Digest
	switch {
	case h.Number == d.header.Number:
		known = d.digest
	case h.Number < d.header.Number && h.Number == d.header.Number-1:
		known = d.header.Parent
	case h.Number == d.header.Number+1 && h.Number > 0 && h.Parent == d.digest:
		return nil
	}
	if known != (Digest{}) && digest != known {
		return fmt.Errorf("%w: %d is %v here and %v there", ErrFork, h.Number, known, digest)
	}
	return fmt.Errorf("%w: %d on %v came, %d (%v) is in force", ErrParentMismatch, h.Number, h.Parent, d.header.Number, d.digest)
}

// Digest returns the digest of the version: SHA-256 of the header's canonical CBOR.
func (h *Header) Digest() Digest { return sum(encode(h)) }

// check names the faults of a header's own figures and texts.
func (h *Header) check() error {
	var f faults
	a := validator{f: &f}
	if h.Number == 0 || h.Number > math.MaxInt64 {
		a.add("number", "is %d, want 1 to %d", h.Number, int64(math.MaxInt64))
	}
	a.requiredText("author", h.Author, MaxTextBytes)
	a.requiredText("reason", h.Reason, MaxTextBytes)
	return f.join()
}
