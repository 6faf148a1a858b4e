// Package uwsgi parses and formats the uwsgi protocol: requests of a web server, and
// their answers, which are HTTP responses. Parsing does not copy, and there is no I/O.
package uwsgi

import (
	"encoding/binary"
	"errors"
	"fmt"
	"iter"
)

const (
	headerSize = 4 // bytes: two modifiers and the size of the variables
	// ModifierRequest is the first modifier of a packet with the variables of a request.
	ModifierRequest = 0
)

// ErrModifier is the error of a packet that is not a request.
var ErrModifier = errors.New("uwsgi: not a request packet")

var errTruncated = errors.New("uwsgi: a variable is cut short")

// Vars are the encoded variables of a request.
type Vars struct{ raw []byte }

// Split returns the variables at the start of b and their size in bytes with the
// header; a size of 0 means that they are not complete. The body follows them.
func Split(b []byte) (Vars, int, error) {
	if len(b) >= 1 && b[0] != ModifierRequest {
		return Vars{}, 0, fmt.Errorf("%w: modifier %d", ErrModifier, b[0])
	}
	if len(b) < headerSize {
		return Vars{}, 0, nil
	}
	end := headerSize + int(binary.LittleEndian.Uint16(b[1:]))
	if len(b) < end {
		return Vars{}, 0, nil
	}
	raw := b[headerSize:end]
	for rest := raw; len(rest) > 0; {
		var err error
		if _, rest, err = takeString(rest); err == nil {
			_, rest, err = takeString(rest)
		}
		if err != nil {
			return Vars{}, 0, err
		}
	}
	return Vars{raw}, end, nil
}

// takeString splits b after its first string, which is prefixed by its size.
func takeString(b []byte) (s, rest []byte, err error) {
	if len(b) < 2 {
		return nil, nil, errTruncated
	}
	end := 2 + int(binary.LittleEndian.Uint16(b))
	if len(b) < end {
		return nil, nil, errTruncated
	}
	return b[2:end], b[end:], nil
}

// All yields each variable's name and value, in order.
func (v Vars) All() iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for rest := v.raw; len(rest) > 0; {
			var name, value []byte
			name, rest, _ = takeString(rest) // Split has validated them
			value, rest, _ = takeString(rest)
			if !yield(name, value) {
				return
			}
		}
	}
}

// Var is a variable to encode.
type Var struct{ Name, Value string }

// AppendRequest appends the header and the variables of a request; the caller appends
// the body. It fails if the variables do not fit in a packet.
func AppendRequest(b []byte, vars []Var) ([]byte, error) {
	size := 0
	for _, v := range vars {
		size += 4 + len(v.Name) + len(v.Value)
	}
	if size > 0xffff {
		return b, fmt.Errorf("uwsgi: variables of %d bytes do not fit in a packet", size)
	}
	b = append(b, ModifierRequest)
	b = binary.LittleEndian.AppendUint16(b, uint16(size))
	b = append(b, 0)
	for _, v := range vars {
		b = appendString(appendString(b, v.Name), v.Value)
	}
	return b, nil
}

func appendString(b []byte, s string) []byte {
	return append(binary.LittleEndian.AppendUint16(b, uint16(len(s))), s...)
}
