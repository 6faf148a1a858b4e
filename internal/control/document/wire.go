package document

import (
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// The forms of encoded deltas and snapshots. The form is the first byte; the
// version's digest follows, then the record in CBOR, compressed or not.
const (
	formDelta              = 0x11
	formDeltaCompressed    = 0x12
	formSnapshot           = 0x21
	formSnapshotCompressed = 0x22
	formPrefixBytes        = 1 + len(Digest{})
	maxUncompressedBytes   = 1 << 10 // a larger record is compressed
)

// snapshot is the record of a whole version.
type snapshot struct {
	Header  Header  `cbor:"1,keyasint"`
	Content Content `cbor:"2,keyasint"`
}

// The records as they are decoded: entry by entry, so that the memory that a short
// input can claim is bounded by the entries, not by what their lists could hold
// together.
type (
	rawDelta struct {
		Header  Header            `cbor:"1,keyasint"`
		Changes []cbor.RawMessage `cbor:"2,keyasint"`
	}
	rawSnapshot struct {
		Header  Header     `cbor:"1,keyasint"`
		Content rawContent `cbor:"2,keyasint"`
	}
	rawContent struct {
		Teams        []cbor.RawMessage `cbor:"1,keyasint"`
		Services     []cbor.RawMessage `cbor:"2,keyasint"`
		Pools        []cbor.RawMessage `cbor:"3,keyasint,omitempty"`
		CheapReserve float64           `cbor:"4,keyasint,omitempty"`
	}
)

// newDecoder returns a strict decoder with a bound on the elements of a list.
func newDecoder(elements int) cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxMapPairs: 16, MaxArrayElements: elements,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// recordDecoder decodes records, entryDecoder their entries.
var (
	recordDecoder = sync.OnceValue(func() cbor.DecMode { return newDecoder(maxChanges) })
	entryDecoder  = sync.OnceValue(func() cbor.DecMode { return newDecoder(MaxContracts) })
)

// Both are safe for concurrent use: concurrent calls take turns.
var (
	compressor = sync.OnceValue(func() *zstd.Encoder {
		e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20), zstd.WithLowerEncoderMem(true))
		if err != nil {
			panic(err) // the options are constants
		}
		return e
	})
	decompressor = sync.OnceValue(func() *zstd.Decoder {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxRecordBytes), zstd.WithDecoderLowmem(true))
		if err != nil {
			panic(err) // the options are constants
		}
		return d
	})
)

// encodeForm puts form and digest before a record, and compresses a large one.
func encodeForm(plain, compressed byte, digest Digest, record []byte) []byte {
	if len(record) > maxUncompressedBytes {
		b := append(append(make([]byte, 0, formPrefixBytes+len(record)/2), compressed), digest[:]...)
		return compressor().EncodeAll(record, b)
	}
	return append(append(append(make([]byte, 0, formPrefixBytes+len(record)), plain), digest[:]...), record...)
}

// decodeForm returns the digest and the uncompressed record.
func decodeForm(plain, compressed byte, b []byte) (digest Digest, record []byte, err error) {
	if len(b) < formPrefixBytes || len(b) > formPrefixBytes+MaxRecordBytes {
		return digest, nil, fmt.Errorf("document: %d bytes, want %d to %d", len(b), formPrefixBytes, formPrefixBytes+MaxRecordBytes)
	}
	digest, record = Digest(b[1:formPrefixBytes]), b[formPrefixBytes:]
	switch b[0] {
	case plain:
		return digest, record, nil
	case compressed:
	default:
		return digest, nil, fmt.Errorf("document: form %#02x, want %#02x or %#02x", b[0], plain, compressed)
	}
	if record, err = decompressor().DecodeAll(record, nil); err != nil {
		return digest, nil, fmt.Errorf("document: %w", err)
	}
	if len(record) > MaxRecordBytes {
		return digest, nil, fmt.Errorf("document: over %d bytes unpacked", MaxRecordBytes)
	}
	return digest, record, nil
}

// encodeRecord encodes the delta as a record.
func (d *Delta) encodeRecord() ([]byte, error) { return checkSize(encode(d)) }

// checkSize refuses a record that is too long.
func checkSize(record []byte) ([]byte, error) {
	if len(record) > MaxRecordBytes {
		return nil, fmt.Errorf("document: %d bytes, want at most %d", len(record), MaxRecordBytes)
	}
	return record, nil
}

// Encode encodes a delta; one over 1 KB is compressed. The version's digest is part
// of it, so that any changed byte is detected.
func (d *Delta) Encode() ([]byte, error) {
	if d == nil {
		return nil, errors.New("document: no delta")
	}
	record, err := d.encodeRecord()
	if err != nil {
		return nil, err
	}
	return encodeForm(formDelta, formDeltaCompressed, d.Header.Digest(), record), nil
}

// DecodeDelta is the inverse of Encode. Its memory is bounded by MaxRecordBytes
// uncompressed. The error is ErrDigestMismatch if the header is not the one that was
// encoded; the changes are validated by Apply.
func DecodeDelta(b []byte) (*Delta, error) {
	digest, record, err := decodeForm(formDelta, formDeltaCompressed, b)
	if err != nil {
		return nil, err
	}
	var raw rawDelta
	if err := recordDecoder().Unmarshal(record, &raw); err != nil {
		return nil, fmt.Errorf("document: delta: %w", err)
	}
	if got := raw.Header.Digest(); got != digest {
		return nil, fmt.Errorf("%w: the delta's header has %v, it names %v", ErrDigestMismatch, got, digest)
	}
	d := &Delta{Header: raw.Header, Changes: make([]Change, len(raw.Changes))}
	var budget listBudget
	for i, encoded := range raw.Changes {
		c := &d.Changes[i]
		if err := entryDecoder().Unmarshal(encoded, c); err != nil {
			return nil, fmt.Errorf("document: delta: change[%d]: %w", i, err)
		}
		if err := budget.spend(c.Service, c.Pool); err != nil {
			return nil, fmt.Errorf("document: delta: change[%d]: %w", i, err)
		}
	}
	return d, nil
}

// listBudget bounds what the lists in all entries hold together: a few bytes can
// encode many elements.
type listBudget struct{ contracts, pooledClasses int }

// spend counts the lists of one entry, and fails beyond the bound.
func (b *listBudget) spend(s *Service, p *Pool) error {
	if s != nil {
		b.contracts += len(s.Contracts)
	}
	if p != nil {
		b.pooledClasses += len(p.Classes)
	}
	if b.contracts > MaxContracts || b.pooledClasses > MaxContracts {
		return fmt.Errorf("over %d contracts, or classes in pools", MaxContracts)
	}
	return nil
}

// Snapshot encodes the whole version, compressed over 1 KB. The cost is in
// proportion to the version.
func (d *Document) Snapshot() ([]byte, error) {
	record, err := checkSize(encode(&snapshot{Header: d.header, Content: d.state.sharedContent()}))
	if err != nil {
		return nil, err
	}
	return encodeForm(formSnapshot, formSnapshotCompressed, d.digest, record), nil
}

// DecodeSnapshot is the inverse of Snapshot, and validates the whole version: all
// entries as Apply does, and both digests (ErrDigestMismatch). Its memory is bounded
// by MaxRecordBytes uncompressed.
func DecodeSnapshot(b []byte) (*Document, error) {
	digest, record, err := decodeForm(formSnapshot, formSnapshotCompressed, b)
	if err != nil {
		return nil, err
	}
	var raw rawSnapshot
	if err := recordDecoder().Unmarshal(record, &raw); err != nil {
		return nil, fmt.Errorf("document: snapshot: %w", err)
	}
	h := raw.Header
	if got := h.Digest(); got != digest {
		return nil, fmt.Errorf("%w: the snapshot's header has %v, it names %v", ErrDigestMismatch, got, digest)
	}
	changes, err := raw.Content.changes()
	if err != nil {
		return nil, fmt.Errorf("document: snapshot: %w", err)
	}
	s := emptyState()
	if len(changes) > 0 {
		if s, _, err = s.edit(changes); err != nil {
			return nil, fmt.Errorf("document: snapshot: %w", err)
		}
	}
	if s.contentDigest != h.Content {
		return nil, fmt.Errorf("%w: the snapshot has %v, its header %v", ErrDigestMismatch, s.contentDigest, h.Content)
	}
	if h.Number == 0 {
		if empty := Empty(); digest == empty.digest {
			return empty, nil
		}
	}
	if err := h.check(); err != nil {
		return nil, fmt.Errorf("document: snapshot: %w", err)
	}
	return &Document{header: h, digest: digest, state: s}, nil
}

// changes decodes the entries.
func (r *rawContent) changes() ([]Change, error) {
	changes := make([]Change, 0, len(r.Teams)+len(r.Services)+len(r.Pools)+1)
	var budget listBudget
	for i, encoded := range r.Teams {
		t := new(Team)
		if err := entryDecoder().Unmarshal(encoded, t); err != nil {
			return nil, fmt.Errorf("team[%d]: %w", i, err)
		}
		changes = append(changes, Change{Team: t})
	}
	for i, encoded := range r.Services {
		s := new(Service)
		if err := entryDecoder().Unmarshal(encoded, s); err != nil {
			return nil, fmt.Errorf("service[%d]: %w", i, err)
		}
		if err := budget.spend(s, nil); err != nil {
			return nil, fmt.Errorf("service[%d]: %w", i, err)
		}
		changes = append(changes, Change{Service: s})
	}
	for i, encoded := range r.Pools {
		p := new(Pool)
		if err := entryDecoder().Unmarshal(encoded, p); err != nil {
			return nil, fmt.Errorf("pool[%d]: %w", i, err)
		}
		if err := budget.spend(nil, p); err != nil {
			return nil, fmt.Errorf("pool[%d]: %w", i, err)
		}
		changes = append(changes, Change{Pool: p})
	}
	if r.CheapReserve != 0 {
		changes = append(changes, Change{CheapReserve: &r.CheapReserve})
	}
	return changes, nil
}
