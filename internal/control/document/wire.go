package document

import (
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// The forms of encoded deltas and snapshots. The first byte tells them apart; the
// version's digest follows, then the record in CBOR, compressed or not.
const (
	formDelta              = 0x11
	formDeltaCompressed    = 0x12
	formSnapshot           = 0x21
	formSnapshotCompressed = 0x22
	formPrefixBytes        = 1 + len(Digest{})
	maxUncompressedBytes   = 1 << 10 // bytes of a record up to which it is not compressed
)

// snapshot is the record of a whole version.
type snapshot struct {
	Header  Header  `cbor:"1,keyasint"`
	Content Content `cbor:"2,keyasint"`
}

// The records as they are read: entry by entry, so that what is read of a short
// text is bounded by the entries, not by what their lists could hold together.
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

func newDecoder(elements int) cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxMapPairs: 16, MaxArrayElements: elements,
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// Records are read by the first, entries by the second.
var (
	recordDecoder = sync.OnceValue(func() cbor.DecMode { return newDecoder(maxChanges) })
	entryDecoder  = sync.OnceValue(func() cbor.DecMode { return newDecoder(MaxContracts) })
)

// Both are safe for use by several goroutines at a time: these take turns.
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

// encodeForm puts form and digest before a record.
func encodeForm(plain, packed byte, digest Digest, record []byte) []byte {
	if len(record) > maxUncompressedBytes {
		b := append(append(make([]byte, 0, formPrefixBytes+len(record)/2), packed), digest[:]...)
		return compressor().EncodeAll(record, b)
	}
	return append(append(append(make([]byte, 0, formPrefixBytes+len(record)), plain), digest[:]...), record...)
}

// decodeForm returns the digest and the record.
func decodeForm(plain, packed byte, b []byte) (digest Digest, record []byte, err error) {
	if len(b) < formPrefixBytes || len(b) > formPrefixBytes+MaxRecordBytes {
		return digest, nil, fmt.Errorf("document: %d bytes, want %d to %d", len(b), formPrefixBytes, formPrefixBytes+MaxRecordBytes)
	}
	digest, record = Digest(b[1:formPrefixBytes]), b[formPrefixBytes:]
	switch b[0] {
	case plain:
		return digest, record, nil
	case packed:
	default:
		return digest, nil, fmt.Errorf("document: form %#02x, want %#02x or %#02x", b[0], plain, packed)
	}
	if record, err = decompressor().DecodeAll(record, nil); err != nil {
		return digest, nil, fmt.Errorf("document: %w", err)
	}
	if len(record) > MaxRecordBytes {
		return digest, nil, fmt.Errorf("document: over %d bytes unpacked", MaxRecordBytes)
	}
	return digest, record, nil
}

// encodeRecord is the delta as a record.
func (d *Delta) encodeRecord() ([]byte, error) { return checkSize(encode(d)) }

func checkSize(record []byte) ([]byte, error) {
	if len(record) > MaxRecordBytes {
		return nil, fmt.Errorf("document: %d bytes, want at most %d", len(record), MaxRecordBytes)
	}
	return record, nil
}

// Encode words a delta; one over 1 KB is compressed. It has the version's digest in
// it, so that no byte of it can change unseen.
func (d *Delta) Encode() ([]byte, error) {
	if d == nil {
		return nil, errors.New("document: there is no delta")
	}
	record, err := d.encodeRecord()
	if err != nil {
		return nil, err
	}
	return encodeForm(formDelta, formDeltaCompressed, d.Header.Digest(), record), nil
}

// DecodeDelta reads what Encode worded. It is bounded by MostBytes unpacked. The
// error is ErrDigest where the header is not the one that was worded; the changes
// are checked by Apply.
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
	var room listBudget
	for i, words := range raw.Changes {
		c := &d.Changes[i]
		if err := entryDecoder().Unmarshal(words, c); err != nil {
			return nil, fmt.Errorf("document: delta: change[%d]: %w", i, err)
		}
		if err := room.spend(c.Service, c.Pool); err != nil {
			return nil, fmt.Errorf("document: delta: change[%d]: %w", i, err)
		}
	}
	return d, nil
}

// listBudget bounds what the lists in entries hold together: a few bytes can word many of them.
type listBudget struct{ contracts, pooledClasses int }

func (r *listBudget) spend(s *Service, p *Pool) error {
	if s != nil {
		r.contracts += len(s.Contracts)
	}
	if p != nil {
		r.pooledClasses += len(p.Classes)
	}
	if r.contracts > MaxContracts || r.pooledClasses > MaxContracts {
		return fmt.Errorf("over %d contracts, or classes in pools", MaxContracts)
	}
	return nil
}

// Snapshot words the whole version, compressed over 1 KB: it costs by all.
func (d *Document) Snapshot() ([]byte, error) {
	record, err := checkSize(encode(&snapshot{Header: d.header, Content: d.state.sharedContent()}))
	if err != nil {
		return nil, err
	}
	return encodeForm(formSnapshot, formSnapshotCompressed, d.digest, record), nil
}

// DecodeSnapshot reads what Snapshot worded, and checks it whole: all entries as Apply does,
// and both digests (ErrDigest). It is bounded by MostBytes unpacked.
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

// changes reads the entries.
func (r *rawContent) changes() ([]Change, error) {
	changes := make([]Change, 0, len(r.Teams)+len(r.Services)+len(r.Pools)+1)
	var room listBudget
	for i, words := range r.Teams {
		t := new(Team)
		if err := entryDecoder().Unmarshal(words, t); err != nil {
			return nil, fmt.Errorf("team[%d]: %w", i, err)
		}
		changes = append(changes, Change{Team: t})
	}
	for i, words := range r.Services {
		s := new(Service)
		if err := entryDecoder().Unmarshal(words, s); err != nil {
			return nil, fmt.Errorf("service[%d]: %w", i, err)
		}
		if err := room.spend(s, nil); err != nil {
			return nil, fmt.Errorf("service[%d]: %w", i, err)
		}
		changes = append(changes, Change{Service: s})
	}
	for i, words := range r.Pools {
		p := new(Pool)
		if err := entryDecoder().Unmarshal(words, p); err != nil {
			return nil, fmt.Errorf("pool[%d]: %w", i, err)
		}
		if err := room.spend(nil, p); err != nil {
			return nil, fmt.Errorf("pool[%d]: %w", i, err)
		}
		changes = append(changes, Change{Pool: p})
	}
	if r.CheapReserve != 0 {
		changes = append(changes, Change{CheapReserve: &r.CheapReserve})
	}
	return changes, nil
}
