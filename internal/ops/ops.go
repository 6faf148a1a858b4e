// Package ops is what is spoken at the operators' door: one line in, one
// answer out. It parses and words, and decides nothing.
package ops

import (
	"bytes"
	"fmt"
	"strings"
)

// Command is what an operator asks for.
type Command uint8

// The calls.
const (
	Ready       Command = iota + 1 // does this process take clients?
	ShowStat                       // the figures
	Drain                          // be taken off the callers' list
	Resume                         // take clients again
	ShowVersion                    // the version that is served by
)

var commands = map[string]Command{"ready": Ready, "show-stat": ShowStat, "drain": Drain, "resume": Resume,
	"show-version": ShowVersion}

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
func Parse(line []byte) (Command, error) {
	if call, known := commands[string(bytes.TrimSpace(line))]; known {
		return call, nil
	}
	return 0, fmt.Errorf("unknown call %.40q; known are ready, show-stat, show-version, drain, resume", line)
}

// DoneReply says that the call was carried out, or yes.
func DoneReply(what string) []byte { return []byte("done " + what + "\n") }

// ErrorReply says that the call was not carried out, or no.
func ErrorReply(why string) []byte { return []byte("error " + why + "\n") }

// StatReply ends the figures.
func StatReply(figures []byte) []byte { return append(figures, "end\n"...) }

// VersionState is what show-version tells.
type VersionState struct {
	Number                   uint64
	Digest                   [32]byte
	Source                   string // none, folder or publisher
	Publisher                string // that is followed; "" = none
	AgeMS                    int64  // since the originator was last heard
	LagMS                    int64  // since a version that is not in force here was told of; 0 = current
	RefusalReason            string // why the version that came last is not in force; "" = it is
	Fork                     bool   // another version with this number was seen
	Applied                  int
	Snapshots, Switches      int
	SentBytes, ReceivedBytes int64 // bytes
}

// VersionReply words the version that is served by, a line for each thing.
func VersionReply(v *VersionState) []byte {
	or := func(text string) string {
		if text == "" {
			return "-"
		}
		return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f }), "; ")
	}
	b := fmt.Appendf(nil, "version %d\ndigest %x\norigin %s\npublisher %s\nage_ms %d\nlag_ms %d\n", v.Number, v.Digest, or(v.Source),
		or(v.Publisher), v.AgeMS, v.LagMS)
	b = fmt.Appendf(b, "refused %s\nfork %t\napplied %d\nsnapshots %d\nswitches %d\nsent_bytes %d\nreceived_bytes %d\n", or(v.RefusalReason),
		v.Fork, v.Applied, v.Snapshots, v.Switches, v.SentBytes, v.ReceivedBytes)
	return append(b, "end\n"...)
}
