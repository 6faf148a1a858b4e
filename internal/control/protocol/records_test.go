package protocol

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"
	"testing/iotest"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"kiteslip/internal/control/document"
)

// TestRecords: records are read as they were written, however the stream is split,
// large ones among small ones.
func TestRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var in []PublisherMessage
		for range rapid.IntRange(0, 8).Draw(t, "records") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				in = append(in, PublisherMessage{Heartbeat: &Heartbeat{Number: rapid.Uint64().Draw(t, "number"),
					Digest: document.Digest{1, 2, 3}, OriginatorSilenceMS: rapid.Int64().Draw(t, "unheard")}})
			case 1:
				in = append(in, PublisherMessage{Delta: rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "delta")})
			default:
				in = append(in, PublisherMessage{Snapshot: bytes.Repeat([]byte{7}, rapid.IntRange(1, 4*maxIdleBufferBytes).Draw(t, "bytes"))})
			}
		}
		var wire bytes.Buffer
		w := NewWriter(&wire)
		for i := range in {
			if err := w.Write(&in[i]); err != nil {
				t.Fatal(err)
			}
		}
		var from io.Reader = &wire
		if rapid.Bool().Draw(t, "cut") {
			from = iotest.HalfReader(from)
		}
		r := NewReader(from)
		for i := range in {
			var got PublisherMessage
			if err := r.Read(&got); err != nil {
				t.Fatalf("record %d of %d: %v", i, len(in), err)
			}
			if !reflect.DeepEqual(got, in[i]) {
				t.Fatalf("record %d: %+v, want %+v", i, got, in[i])
			}
		}
		if err := r.Read(new(PublisherMessage)); err != io.EOF {
			t.Fatalf("at the end: %v", err)
		}
	})
}

// TestReadAheadIsKept: a long record is followed by several that are over
// maxIdleBufferBytes too. The failure: after each one the Reader sets aside what was
// read ahead, and the second one lost what the decoder had not taken of it yet.
func TestReadAheadIsKept(t *testing.T) {
	sizes := []int{140_000}
	for range 8 {
		sizes = append(sizes, maxIdleBufferBytes+300)
	}
	var wire bytes.Buffer
	w := NewWriter(&wire)
	for i, size := range sizes {
		if err := w.Write(&PublisherMessage{Snapshot: bytes.Repeat([]byte{byte(i)}, size)}); err != nil {
			t.Fatal(err)
		}
	}
	r := NewReader(&wire)
	for i, size := range sizes {
		var got PublisherMessage
		if err := r.Read(&got); err != nil {
			t.Fatalf("record %d of %d: %v", i, len(sizes), err)
		}
		if !bytes.Equal(got.Snapshot, bytes.Repeat([]byte{byte(i)}, size)) {
			t.Fatalf("record %d: %d bytes, want %d of %d", i, len(got.Snapshot), size, i)
		}
	}
	if err := r.Read(new(PublisherMessage)); err != io.EOF {
		t.Fatalf("at the end: %v", err)
	}
}

// TestRecordTruncated: a sequence that ends within a record is reported as such,
// wherever it ends.
func TestRecordTruncated(t *testing.T) {
	encoded, err := cbor.Marshal(FollowerMessage{Hello: &Hello{Name: "a", Region: "b", Number: 3, Digest: document.Digest{9}}})
	if err != nil {
		t.Fatal(err)
	}
	for n := 1; n < len(encoded); n++ {
		if err := NewReader(bytes.NewReader(encoded[:n])).Read(new(FollowerMessage)); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%d bytes of %d: %v", n, len(encoded), err)
		}
	}
}

// endless is a stream of one byte string whose claimed length is far over the bound.
type endless struct {
	head []byte
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.head)
	if e.head = e.head[n:]; n == 0 {
		n = len(p)
	}
	e.read += n
	return n, nil
}

// TestRecordBound: the bound holds for a record that claims little and for one that
// claims much, and no more than the bound is read.
func TestRecordBound(t *testing.T) {
	huge := &endless{head: []byte{0xa1, 0x02, 0x5b, 0, 0, 1, 0, 0, 0, 0, 0}} // {2: a byte string of 2^40 bytes
	if err := NewReader(huge).Read(new(PublisherMessage)); !errors.Is(err, ErrTooLong) {
		t.Errorf("%v", err)
	}
	if huge.read > MaxMessageBytes+recordOverheadBytes {
		t.Errorf("%d bytes were read", huge.read)
	}
	if err := NewWriter(io.Discard).Write(&PublisherMessage{Snapshot: make([]byte, MaxMessageBytes+recordOverheadBytes)}); !errors.Is(err, ErrTooLong) {
		t.Errorf("%v", err)
	}
	largest := &PublisherMessage{Snapshot: make([]byte, MaxMessageBytes)}
	var wire bytes.Buffer
	for range 2 {
		if err := NewWriter(&wire).Write(largest); err != nil {
			t.Fatal(err)
		}
	}
	r := NewReader(&wire)
	for range 2 {
		var got PublisherMessage
		if err := r.Read(&got); err != nil || len(got.Snapshot) != MaxMessageBytes {
			t.Errorf("%d bytes, %v", len(got.Snapshot), err)
		}
	}
}

// TestRecordInvalid: invalid input causes an error, never a panic.
func TestRecordInvalid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := NewReader(bytes.NewReader(rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")))
		for range 300 {
			if err := r.Read(new(FollowerMessage)); err != nil {
				return
			}
		}
		t.Fatal("no end")
	})
}
