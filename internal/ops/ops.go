// Package ops is what is spoken at the operators' door: one line in, one
// answer out. It parses and words, and decides nothing.
package ops

import (
	"bytes"
	"fmt"
)

// Call is what an operator asks for.
type Call uint8

// The calls.
const (
	Ready    Call = iota + 1 // does this process take clients?
	ShowStat                 // the figures
	Drain                    // be taken off the callers' list
	Resume                   // take clients again
)

var calls = map[string]Call{"ready": Ready, "show-stat": ShowStat, "drain": Drain, "resume": Resume}

// MaxLine is the longest line that is read, its end included.
const MaxLine = 256

// Split returns the first line of b without its end (LF or CR LF); false
// means that more bytes are needed.
func Split(b []byte) (line []byte, whole bool, err error) {
	end := bytes.IndexByte(b[:min(len(b), MaxLine)], '\n')
	switch {
	case end >= 0:
		return bytes.TrimSuffix(b[:end], []byte("\r")), true, nil
	case len(b) >= MaxLine:
		return nil, false, fmt.Errorf("a line of over %d bytes", MaxLine)
	}
	return nil, false, nil
}

// Parse reads a line.
func Parse(line []byte) (Call, error) {
	if call, known := calls[string(bytes.TrimSpace(line))]; known {
		return call, nil
	}
	return 0, fmt.Errorf("unknown call %.40q; known are ready, show-stat, drain, resume", line)
}

// Done says that the call was carried out, or yes.
func Done(what string) []byte { return []byte("done " + what + "\n") }

// Error says that the call was not carried out, or no.
func Error(why string) []byte { return []byte("error " + why + "\n") }

// Stat ends the figures.
func Stat(figures []byte) []byte { return append(figures, "end\n"...) }
