// Package wire decodes batches of events and encodes replies in the binary protocol of
// the simulator. It makes no decisions. Numbers are little-endian, times are in
// microseconds. A Reader and a Reply belong to one goroutine each.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"kiteslip"
)

// The codes of records in a batch.
const (
	codeAccept   = 1
	codeDrain    = 2
	codeEnlist   = 3
	codeCalled   = 4
	codeElapsed  = 5
	codeShutdown = 6
	codeGone     = 7
	codeDone     = 8
	codeNeeds    = 9
)

// maxFrameBytes is the limit of a frame's size, above which the input is rejected.
const maxFrameBytes = 1 << 30

// Kind says whether a record is an event for an instance or about its life.
type Kind uint8

// The kinds of record.
const (
	Event    Kind = iota // an event for a running instance
	Enlist               // an instance starts
	Shutdown             // an instance has died
)

// Record is one record of a batch.
type Record struct {
	Kind     Kind
	Instance uint16
	Event    kiteslip.Event
	Gauges   []byte // values of a timer record, float32 in the order of the settings
	Seed     uint64 // of an enlist record
	Settings []byte // of an enlist record; valid until the next batch
	Offset   int64  // of the record's first byte in the input
}

// Reader reads batches from a stream.
type Reader struct {
	r       io.Reader
	offset  int64
	body    []byte
	header  [16]byte
	records []Record
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Next returns the time and the records of the next batch; the records are valid until
// the following call. It returns io.EOF where the input ends between frames.
func (d *Reader) Next() (int64, []Record, error) {
	n, err := io.ReadFull(d.r, d.header[:])
	if errors.Is(err, io.EOF) {
		return 0, nil, io.EOF
	}
	if err != nil {
		return 0, nil, fmt.Errorf("byte %d: header truncated, expected 16 bytes, got %d: %w", d.offset, n, err)
	}
	now := int64(binary.LittleEndian.Uint64(d.header[:]))
	size := binary.LittleEndian.Uint32(d.header[8:])
	count := binary.LittleEndian.Uint32(d.header[12:])
	if size > maxFrameBytes {
		return 0, nil, fmt.Errorf("byte %d: frame of %d bytes, expected at most %d", d.offset+8, size, maxFrameBytes)
	}
	if count > size {
		return 0, nil, fmt.Errorf("byte %d: %d records in %d bytes, expected one byte each at least",
			d.offset+12, count, size)
	}
	d.offset += int64(len(d.header))
	if cap(d.body) < int(size) {
		d.body = make([]byte, size)
	}
	d.body = d.body[:size]
	if n, err = io.ReadFull(d.r, d.body); err != nil {
		return 0, nil, fmt.Errorf("byte %d: frame truncated, expected %d bytes, got %d: %w",
			d.offset, size, n, io.ErrUnexpectedEOF)
	}
	d.records = d.records[:0]
	c := cursor{b: d.body, base: d.offset}
	for range count {
		rec, err := c.record()
		if err != nil {
			return 0, nil, err
		}
		d.records = append(d.records, rec)
	}
	if c.offset != len(c.b) {
		return 0, nil, fmt.Errorf("byte %d: %d bytes after the last record, expected none",
			c.base+int64(c.offset), len(c.b)-c.offset)
	}
	d.offset += int64(size)
	return now, d.records, nil
}

// cursor decodes the body of a frame; after an overrun all values are zero.
type cursor struct {
	b       []byte
	offset  int
	base    int64
	overrun bool
}

func (c *cursor) take(n int) []byte {
	if c.overrun || n > len(c.b)-c.offset {
		c.overrun = true
		return make([]byte, min(n, 8))
	}
	c.offset += n
	return c.b[c.offset-n : c.offset]
}

func (c *cursor) u8() uint8   { return c.take(1)[0] }
func (c *cursor) u16() uint16 { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32 { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64 { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float64 {
	return float64(math.Float32frombits(c.u32()))
}

func (c *cursor) id() kiteslip.RequestID { return kiteslip.RequestID(c.u32()) }

func (c *cursor) record() (Record, error) {
	start := c.base + int64(c.offset)
	code := c.u8()
	rec := Record{Instance: c.u16(), Offset: start}
	e := &rec.Event
	switch code {
	case codeAccept:
		e.Kind = kiteslip.Arrive
		e.ID = c.id()
		e.Class, e.Tenant = int(c.u16()), int(c.u16())
		e.Key, e.Deadline, e.WorkHint = c.u64(), int64(c.u64()), int64(c.u32())
		e.SizeKB, e.Rank = c.f32(), c.f32()
		bits := c.u8()
		e.Retry, e.Write = bits&2 != 0, bits&4 != 0
		if bits&1 == 0 {
			e.WorkHint = 0
		}
		e.Caller, e.Waited, e.DuplicateOf = int(c.u16()), int64(c.u32()), c.id()
	case codeDrain:
		e.Kind, e.Deadline = kiteslip.Drain, int64(c.u64())
	case codeEnlist:
		rec.Kind, rec.Seed = Enlist, c.u64()
		rec.Settings = c.take(int(c.u32()))
	case codeCalled:
		e.Kind, e.ID = kiteslip.CallDone, c.id()
		e.Outcome, e.Elapsed = kiteslip.Outcome(c.u16()), int64(c.u32())
	case codeElapsed:
		e.Kind, e.Token = kiteslip.Timer, c.u64()
		rec.Gauges = c.take(4 * int(c.u8()))
	case codeShutdown:
		rec.Kind = Shutdown
	case codeGone:
		e.Kind, e.ID = kiteslip.Disconnected, c.id()
	case codeDone:
		e.Kind, e.ID = kiteslip.Done, c.id()
		e.Outcome, e.Elapsed = kiteslip.Outcome(c.u16()), int64(c.u32())
	case codeNeeds:
		e.Kind, e.ID = kiteslip.NeedsCall, c.id()
	default:
		if !c.overrun {
			return rec, fmt.Errorf("byte %d: record code %d, expected 1 to 9", start, code)
		}
	}
	if c.overrun {
		return rec, fmt.Errorf("byte %d: record of code %d runs past its batch, expected it to end by byte %d",
			start, code, c.base+int64(len(c.b)))
	}
	return rec, nil
}

// ParseGauges decodes the gauges of a timer record; names are those of ParseSettings.
func ParseGauges(raw []byte, names []string) kiteslip.Gauges {
	values := make([]float32, 0, 8)
	for ; len(raw) >= 4; raw = raw[4:] {
		values = append(values, math.Float32frombits(binary.LittleEndian.Uint32(raw)))
	}
	return GaugesFromValues(values, names)
}

// GaugesFromValues assigns values to gauges; names has the gauge of each index. Unknown
// names are ignored.
func GaugesFromValues(values []float32, names []string) kiteslip.Gauges {
	g := kiteslip.Gauges{}
	for i, name := range names {
		if i >= len(values) {
			break
		}
		v := values[i]
		g.Valid = true
		switch name {
		case "cpu_busy":
			g.Busy = v
		case "runnable":
			g.Runnable = v
		case "mem_used":
			g.MemoryUsed = v
		case "sockets":
			g.Connections = v
		}
	}
	return g
}

// Reply is the frame of the actions for one batch. Reset must be called before Add.
type Reply struct{ b []byte }

// Reset empties the reply.
func (r *Reply) Reset() { r.b = append(r.b[:0], 0, 0, 0, 0) }

// Bytes returns the complete frame, valid until Reset.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.b, uint32(len(r.b)-4))
	return r.b
}

func boolByte(on bool) byte {
	if on {
		return 1
	}
	return 0
}

// clampU32 limits a duration to the range of uint32.
func clampU32(v int64) uint32 { return uint32(max(0, min(v, math.MaxUint32))) }

// Add appends one action of an instance.
func (r *Reply) Add(instance uint16, a *kiteslip.Action) error {
	le := binary.LittleEndian
	open := func(code byte) { r.b = le.AppendUint16(append(r.b, code), instance) }
	withID := func(code byte) { open(code); r.b = le.AppendUint32(r.b, uint32(a.ID)) }
	switch a.Kind {
	case kiteslip.SetTimer:
		open(65)
		r.b = le.AppendUint64(le.AppendUint32(r.b, clampU32(a.After)), a.Token)
	case kiteslip.Run:
		withID(66)
	case kiteslip.Call:
		withID(67)
		r.b = le.AppendUint32(r.b, clampU32(a.After))
	case kiteslip.Log:
		open(68)
		text := a.Text[:min(len(a.Text), math.MaxUint16)]
		r.b = append(le.AppendUint16(r.b, uint16(len(text))), text...)
	case kiteslip.Health:
		open(69)
		r.b = append(r.b, boolByte(a.On), boolByte(a.Cached))
	case kiteslip.SetIdleTimeout:
		open(70)
		r.b = le.AppendUint32(r.b, clampU32(a.After))
	case kiteslip.Halt:
		withID(71)
	case kiteslip.SetLoadSignal:
		open(72)
		r.b = le.AppendUint32(r.b, math.Float32bits(float32(a.Value)))
	case kiteslip.Reuse:
		withID(73)
	case kiteslip.Forget:
		withID(74)
	case kiteslip.Retain:
		withID(75)
		r.b = le.AppendUint32(r.b, clampU32(a.After))
	case kiteslip.Fail:
		withID(76)
	case kiteslip.Skip:
		withID(77)
	case kiteslip.Refuse:
		withID(79)
		r.b = append(le.AppendUint32(r.b, clampU32(a.After)), boolByte(a.On))
	default:
		return fmt.Errorf("action kind %d has no code in the protocol", a.Kind)
	}
	return nil
}
