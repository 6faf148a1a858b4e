// Package frame parses and formats the platform's length-prefixed frames. Parsing does
// not copy: results point into the input, except those of ParseRequest.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"

	"kiteslip/internal/reject"
)

// The types of frames.
const (
	Request      = 65
	Answer       = 66
	Cancel       = 67
	HealthCheck  = 80
	HealthStatus = 81
	GoAway       = 90
)

// The codes of an answer.
const (
	Served    = 79
	Refused   = 66
	Failed    = 69
	Healthy   = 79 // of a health status
	Unhealthy = 69
)

// The limits of the protocol.
const (
	MinLength  = 5
	MaxLength  = 262_144
	MaxBody    = 2 << 10
	MaxResult  = 4 << 10
	MaxStreams = 32 // open requests on one connection
	headerSize = 4 + MinLength
)

// ErrLength is the error of a frame whose length is outside the protocol's limits.
var ErrLength = errors.New("frame: length out of bounds")

// Frame is one frame. The payload points into the input.
type Frame struct {
	Type    byte
	Stream  uint32
	Payload []byte
}

// Split returns the first frame of b and its size in bytes; a size of 0 means that the
// frame is not complete.
func Split(b []byte) (Frame, int, error) {
	if len(b) < 4 {
		return Frame{}, 0, nil
	}
	n := binary.BigEndian.Uint32(b)
	if n < MinLength || n > MaxLength {
		return Frame{}, 0, &reject.Error{Cause: "frame_length", Err: fmt.Errorf("%w: %d", ErrLength, n)}
	}
	end := 4 + int(n)
	if len(b) < end {
		return Frame{}, 0, nil
	}
	return Frame{Type: b[4], Stream: binary.BigEndian.Uint32(b[5:]), Payload: b[headerSize:end]}, end, nil
}

// Fields are the encoded fields of a payload.
type Fields struct {
	raw   []byte
	count int
}

func errTruncatedField(i int) error {
	return &reject.Error{Cause: "fields_cut_short", Err: fmt.Errorf("frame: field %d is cut short", i)}
}

// ParseFields validates the fields at the start of a payload and returns them and the
// body, which follows them.
func ParseFields(p []byte) (Fields, []byte, error) {
	if len(p) < 1 {
		return Fields{}, nil, &reject.Error{Cause: "fields_cut_short", Err: errors.New("frame: no field count")}
	}
	f := Fields{count: int(p[0])}
	rest := p[1:]
	for i := range f.count {
		if len(rest) < 1 || len(rest) < 1+int(rest[0])+2 {
			return Fields{}, nil, errTruncatedField(i)
		}
		name := int(rest[0])
		size := int(binary.BigEndian.Uint16(rest[1+name:]))
		if len(rest) < 3+name+size {
			return Fields{}, nil, errTruncatedField(i)
		}
		rest = rest[3+name+size:]
	}
	f.raw = p[1 : len(p)-len(rest)]
	return f, rest, nil
}

// All yields each field's name and value, in order.
func (f Fields) All(yield func(name, value []byte) bool) {
	b := f.raw
	for range f.count {
		name := int(b[0])
		size := int(binary.BigEndian.Uint16(b[1+name:]))
		if !yield(b[1:1+name], b[3+name:3+name+size]) {
			return
		}
		b = b[3+name+size:]
	}
}

// AppendHeader appends the header of a frame whose payload has size bytes.
func AppendHeader(b []byte, kind byte, stream uint32, size int) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(MinLength+size))
	b = append(b, kind)
	return binary.BigEndian.AppendUint32(b, stream)
}

// Field is a field to encode.
type Field struct{ Name, Value string }

// AppendAnswer appends the header of an answer, its code and its fields; the caller
// appends the body of size bytes. Names are limited to 255 bytes, values to 65,535.
func AppendAnswer(b []byte, kind byte, stream uint32, code byte, fields []Field, size int) []byte {
	n := 2 + size
	for _, f := range fields {
		n += 3 + len(f.Name) + len(f.Value)
	}
	b = AppendHeader(b, kind, stream, n)
	return AppendFields(append(b, code), fields)
}

// AppendFields appends the number of fields and the fields.
func AppendFields(b []byte, fields []Field) []byte {
	b = append(b, byte(len(fields)))
	for _, f := range fields {
		b = append(b, byte(len(f.Name)))
		b = append(b, f.Name...)
		b = binary.BigEndian.AppendUint16(b, uint16(len(f.Value)))
		b = append(b, f.Value...)
	}
	return b
}
