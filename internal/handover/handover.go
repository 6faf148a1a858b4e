// Package handover is what two processes of one server say to each other while
// the one takes the other's place: messages, and a lock that tells who owns the
// keys. It does no I/O on the connection and decides nothing.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Kind is the kind of a message.
type Kind uint8

// The messages.
const (
	Hello           Kind = iota + 1 // new to old: I am here to take your place. Text: the server's name
	Record                          // old to new: a key whose request was started
	KeysTransferred                 // old to new: that was the table, the keys are yours from now on
	Claim                           // to the owner: may this request start?
	Grant                           // from the owner: it may
	Deny                            // from the owner: it may not; what became of its key
	RunEnded                        // to the owner: the end of a run that was granted or recorded
	Load                            // both ways: what the sender has on the engine
)

// Message is one message. Which fields count depends on Kind.
type Message struct {
	Kind      Kind
	ID        uint32 // Claim, Grant, Had
	Arrived   int64  // Record, Claim, Ended: of the try that runs or would
	WindowEnd int64  // Record: no try that arrived up to then may start
	BodyHash  uint64 // Record, Claim: of the body
	Finished  bool   // Record: the run is over
	Outcome   uint8  // Record, Had, Ended
	Runs      uint32 // Load: requests on the cores
	MemoryKB  uint32 // Load: memory booked
	Text      string // Hello: the name; Record, Claim, Ended: the class
	Key       string // Record, Claim, Ended
	Result    []byte // Record, Had, Ended
}

// The bounds of a message. Nothing longer is sent, and nothing longer is read.
const (
	maxText   = 255
	maxResult = 1 << 20
	fixed     = 1 + 4 + 8 + 8 + 8 + 1 + 1 + 4 + 4 + 2 + 2
	maxLength = fixed + 2*maxText + maxResult
)

// ErrInvalidMessage says that what came is no message.
var ErrInvalidMessage = errors.New("handover: not a message")

// Append appends a message to b. One that does not fit is an error of the caller's.
func Append(b []byte, m *Message) ([]byte, error) {
	if len(m.Text) > maxText || len(m.Key) > maxText || len(m.Result) > maxResult {
		return b, fmt.Errorf("%w: class, key or result is too long", ErrInvalidMessage)
	}
	e := binary.BigEndian
	b = e.AppendUint32(b, uint32(fixed+len(m.Text)+len(m.Key)+len(m.Result)))
	b = append(b, byte(m.Kind))
	b = e.AppendUint32(b, m.ID)
	b = e.AppendUint64(b, uint64(m.Arrived))
	b = e.AppendUint64(b, uint64(m.WindowEnd))
	b = e.AppendUint64(b, m.BodyHash)
	over := byte(0)
	if m.Finished {
		over = 1
	}
	b = append(b, over, m.Outcome)
	b = e.AppendUint32(b, m.Runs)
	b = e.AppendUint32(b, m.MemoryKB)
	b = e.AppendUint16(b, uint16(len(m.Text)))
	b = e.AppendUint16(b, uint16(len(m.Key)))
	b = append(append(b, m.Text...), m.Key...)
	return append(b, m.Result...), nil
}

// Split returns the first message of b and the number of bytes that it takes;
// 0 means that more bytes are needed. The message shares no memory with b.
func Split(b []byte) (m Message, used int, err error) {
	e := binary.BigEndian
	if len(b) < 4 {
		return m, 0, nil
	}
	n := e.Uint32(b)
	if n < fixed || n > maxLength {
		return m, 0, fmt.Errorf("%w: a length of %d", ErrInvalidMessage, n)
	}
	if len(b) < 4+int(n) {
		return m, 0, nil
	}
	p := b[4 : 4+n]
	m = Message{Kind: Kind(p[0]), ID: e.Uint32(p[1:]), Arrived: int64(e.Uint64(p[5:])), WindowEnd: int64(e.Uint64(p[13:])),
		BodyHash: e.Uint64(p[21:]), Finished: p[29] == 1, Outcome: p[30], Runs: e.Uint32(p[31:]), MemoryKB: e.Uint32(p[35:])}
	text, key, rest := int(e.Uint16(p[39:])), int(e.Uint16(p[41:])), p[fixed:]
	switch {
	case m.Kind < Hello || m.Kind > Load:
		return m, 0, fmt.Errorf("%w: kind %d", ErrInvalidMessage, m.Kind)
	case text > maxText || key > maxText || text+key > len(rest) || len(rest)-text-key > maxResult:
		return m, 0, fmt.Errorf("%w: parts of %d, %d and %d bytes", ErrInvalidMessage, text, key, len(rest))
	}
	m.Text, m.Key = string(rest[:text]), string(rest[text:text+key])
	m.Result = append([]byte(nil), rest[text+key:]...)
	return m, 4 + int(n), nil
}
