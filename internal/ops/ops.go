// Package ops parses the commands of the admin endpoint and formats their replies: each
// command is one line and has one reply. The commands are carried out elsewhere.
package ops

import (
	"bytes"
	"fmt"
	"strings"
)

// Command is an admin command.
type Command uint8

// The admin commands.
const (
	Ready       Command = iota + 1 // ask whether the process accepts callers
	ShowStat                       // show the metrics
	Drain                          // withdraw the server from the registry's list
	Resume                         // undo Drain
	ShowVersion                    // show the version in force
)

var commands = map[string]Command{"ready": Ready, "show-stat": ShowStat, "drain": Drain, "resume": Resume,
	"show-version": ShowVersion}

// MaxLine is the limit of a line in bytes, its line end included.
const MaxLine = 256

// Split returns the first line of b without its line end (LF or CR LF); false means that
// the line is not complete.
func Split(b []byte) (line []byte, complete bool, err error) {
	end := bytes.IndexByte(b[:min(len(b), MaxLine)], '\n')
	switch {
	case end >= 0:
		return bytes.TrimSuffix(b[:end], []byte("\r")), true, nil
	case len(b) >= MaxLine:
		return nil, false, fmt.Errorf("a line of over %d bytes", MaxLine)
	}
	return nil, false, nil
}

// Parse parses a line. Its error is sent to the operator.
func Parse(line []byte) (Command, error) {
	if command, known := commands[string(bytes.TrimSpace(line))]; known {
		return command, nil
	}
	return 0, fmt.Errorf("unknown call %.40q; known are ready, show-stat, show-version, drain, resume", line)
}

// DoneReply formats the reply to a command that was carried out.
func DoneReply(what string) []byte { return []byte("done " + what + "\n") }

// ErrorReply formats the reply to a command that was not carried out.
func ErrorReply(why string) []byte { return []byte("error " + why + "\n") }

// StatReply formats the reply to ShowStat.
func StatReply(metrics []byte) []byte { return append(metrics, "end\n"...) }

// VersionState is the content of the reply to ShowVersion.
type VersionState struct {
	Number                   uint64
	Digest                   [32]byte
	Source                   string // none, folder or publisher
	Publisher                string // address of the publisher that is followed; "" = none
	AgeMS                    int64  // time since the originator was last heard
	LagMS                    int64  // time since a version was announced that is not in force here; 0 = current
	RefusalReason            string // why the last version received is not in force; "" = it is
	Fork                     bool   // another version with this number was received
	Applied                  int    // versions
	Snapshots, Switches      int    // snapshots received; changes of the publisher
	SentBytes, ReceivedBytes int64
}

// VersionReply formats the reply to ShowVersion, a line for each value.
func VersionReply(v *VersionState) []byte {
	oneLine := func(text string) string {
		if text == "" {
			return "-"
		}
		return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r < ' ' || r == 0x7f }), "; ")
	}
	b := fmt.Appendf(nil, "version %d\ndigest %x\norigin %s\npublisher %s\nage_ms %d\nlag_ms %d\n", v.Number, v.Digest, oneLine(v.Source),
		oneLine(v.Publisher), v.AgeMS, v.LagMS)
	b = fmt.Appendf(b, "refused %s\nfork %t\napplied %d\nsnapshots %d\nswitches %d\nsent_bytes %d\nreceived_bytes %d\n", oneLine(v.RefusalReason),
		v.Fork, v.Applied, v.Snapshots, v.Switches, v.SentBytes, v.ReceivedBytes)
	return append(b, "end\n"...)
}
