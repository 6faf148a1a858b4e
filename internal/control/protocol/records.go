package protocol

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// recordOverheadBytes is what a record may have besides MaxMessageBytes of delta or
// snapshot.
const recordOverheadBytes = 4 << 10

// maxIdleBufferBytes bounds the buffer that a Reader keeps between two records: one
// that has read a snapshot releases its buffer.
const maxIdleBufferBytes = 32 << 10

// ErrTooLong is returned for a record over MaxMessageBytes.
var ErrTooLong = errors.New("protocol: a record is too long")

// decoder refuses records that would take more memory than their bytes.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxMapPairs: 64, MaxArrayElements: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Reader reads a sequence of CBOR records. Its buffer grows with the bytes received,
// up to MaxMessageBytes, never by the length that a record claims. It belongs to one
// goroutine.
type Reader struct {
	from     boundedReader
	dec      *cbor.Decoder
	consumed int // bytes of records that the decoder has returned
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	s := &Reader{from: boundedReader{r: r}}
	s.dec = decoder.NewDecoder(&s.from)
	return s
}

// Read reads the next record into *record. It returns io.EOF if the sequence ends
// between two records, io.ErrUnexpectedEOF if it ends within one, and ErrTooLong,
// after which nothing more can be read.
func (s *Reader) Read(record any) error {
	s.from.left = MaxMessageBytes + recordOverheadBytes
	if err := s.dec.Decode(record); err != nil {
		if errors.Is(err, ErrTooLong) {
			return ErrTooLong
		}
		return err
	}
	n := s.dec.NumBytesRead()
	if n-s.consumed <= maxIdleBufferBytes {
		s.consumed = n
		return nil
	}
	rest, err := io.ReadAll(s.dec.Buffered())
	if err != nil {
		return fmt.Errorf("protocol: %w", err)
	}
	s.from.ahead = append(rest, s.from.ahead...) // the decoder may not have read all of the earlier ahead
	s.dec, s.consumed = decoder.NewDecoder(&s.from), 0
	return nil
}

// boundedReader reads at most left bytes more; ahead comes first, and does not count
// again.
type boundedReader struct {
	r     io.Reader
	ahead []byte
	left  int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if len(b.ahead) > 0 {
		n := copy(p, b.ahead)
		if b.ahead = b.ahead[n:]; len(b.ahead) == 0 {
			b.ahead = nil
		}
		return n, nil
	}
	if b.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// Writer writes a sequence of CBOR records, each with one call of the underlying
// writer. It belongs to one goroutine.
type Writer struct{ to io.Writer }

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w} }

// Write writes one record. Nothing is written of a record that a Reader would
// refuse.
func (s *Writer) Write(record any) error {
	b, err := cbor.Marshal(record)
	if err != nil {
		return fmt.Errorf("protocol: %w", err)
	}
	if len(b) > MaxMessageBytes+recordOverheadBytes {
		return fmt.Errorf("%w: %d bytes", ErrTooLong, len(b))
	}
	_, err = s.to.Write(b)
	return err
}
