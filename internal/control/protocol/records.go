package protocol

import (
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// recordOverheadBytes is what a record holds at most besides one message of MostMessage bytes.
const recordOverheadBytes = 4 << 10

// maxIdleBufferBytes is the most bytes that a Reader keeps room for between two records:
// one that has read a snapshot gives its room back.
const maxIdleBufferBytes = 32 << 10

// ErrTooLong is returned for a record of over MostMessage bytes.
var ErrTooLong = errors.New("protocol: a record is too long")

// decoder guards against records that would take more room than their bytes.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxMapPairs: 64, MaxArrayElements: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// Reader reads a sequence of CBOR records. Its room grows with the bytes that
// have come, up to MostMessage, never by what a record claims to hold. It
// belongs to one goroutine.
type Reader struct {
	from     boundedReader
	dec      *cbor.Decoder
	consumed int // bytes of records that the decoder has returned
}

// NewReader returns a Reader of what r carries.
func NewReader(r io.Reader) *Reader {
	s := &Reader{from: boundedReader{r: r}}
	s.dec = decoder.NewDecoder(&s.from)
	return s
}

// Read reads the next record into *record. It returns io.EOF where the sequence
// ends between two records, io.ErrUnexpectedEOF where it ends within one, and
// ErrTooLong, after which nothing more can be read.
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
	s.from.ahead = rest
	s.dec, s.consumed = decoder.NewDecoder(&s.from), 0
	return nil
}

// boundedReader reads at most left bytes more; ahead comes first, and is not counted again.
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

// Writer writes a sequence of CBOR records, each with one call of the writer
// below. It belongs to one goroutine.
type Writer struct{ to io.Writer }

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{w} }

// Write writes one record. A record that a Reader would not take is not begun.
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
