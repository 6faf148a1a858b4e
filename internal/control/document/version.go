package document

import (
	"errors"
	"fmt"
	"math"
)

// Document is one whole version. The zero value is invalid: see Empty and
// DecodeSnapshot.
type Document struct {
	header Header
	digest Digest
	state  *state
}

// Empty is version 0, without content. Its digest is that of a header with the
// digest of the empty content and nothing else, the same everywhere.
func Empty() *Document {
	s := emptyState()
	h := Header{Content: s.contentDigest}
	return &Document{header: h, digest: h.Digest(), state: s}
}

// Header returns the version's header.
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

// Service returns the service of that name; its contracts must not be modified.
func (d *Document) Service(name string) (*Service, bool) {
	return find[*Service](d.state, kindService, name)
}

// Draft makes the delta of the version after d with these changes, which is what the
// originator does. The delta has them in the order of Diff, without those that
// change nothing, and shares no memory with them. An error names all faults.
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

// Apply returns the version that delta makes of d; d stays as it is. The cost is in
// proportion to the changes. All that Draft validates is validated again. The error
// is ErrFork if another version with the delta's number is known here,
// ErrParentMismatch if the delta does not follow d, ErrDigestMismatch if the result
// differs from the header's digest, and otherwise names all faults.
func (d *Document) Apply(delta *Delta) (*Document, error) {
	if delta == nil {
		return nil, errors.New("document: no delta")
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

// checkSuccessor checks that a version with that header may follow d. Of the earlier
// versions, the one in force and its parent are known.
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

// check validates a header's number and texts.
func (h *Header) check() error {
	var f faults
	v := validator{f: &f}
	if h.Number == 0 || h.Number > math.MaxInt64 {
		v.add("number", "is %d, want 1 to %d", h.Number, int64(math.MaxInt64))
	}
	v.requiredText("author", h.Author, MaxTextBytes)
	v.requiredText("reason", h.Reason, MaxTextBytes)
	return f.join()
}
