// Package handover defines the messages between the two processes of a server
// during an upgrade, and the endpoint at which the successor connects to its
// predecessor, with a lock that shows which of them owns the keys. It makes no
// decisions.
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
	Hello           Kind = iota + 1 // successor to predecessor: requests the handover. Text: the server's name
	Record                          // predecessor to successor: a key whose run was started
	KeysTransferred                 // predecessor to successor: all records were sent, the successor owns the keys
	Claim                           // to the key owner: may this request start?
	Grant                           // from the key owner: it may
	Deny                            // from the key owner: it may not; the outcome of its key
	RunEnded                        // to the key owner: the end of a run that was granted or recorded
	Load                            // both ways: the sender's load on the engine
)

// Message is one message. Kind decides which fields are used.
type Message struct {
	Kind      Kind
	ID        uint32 // Claim, Grant, Deny
	Arrived   int64  // Record, Claim, RunEnded: of the try that runs or would run
	WindowEnd int64  // Record: no other try that arrived up to then may start; KeysTransferred: the end of the in-doubt period
	BodyHash  uint64 // Record, Claim
	Finished  bool   // Record: the run has ended
	Outcome   uint8  // Record, Deny, RunEnded
	Runs      uint32 // Load: requests that run
	MemoryKB  uint32 // Load: memory reserved
	Text      string // Hello: the server's name; Record, Claim, RunEnded: the class
	Key       string // Record, Claim, RunEnded
	Result    []byte // Record, Deny, RunEnded
}

// The limits of a message, for sending and receiving.
const (
	maxTextBytes    = 255
	maxResultBytes  = 1 << 20
	fixedBytes      = 1 + 4 + 8 + 8 + 8 + 1 + 1 + 4 + 4 + 2 + 2
	maxMessageBytes = fixedBytes + 2*maxTextBytes + maxResultBytes
)

// ErrInvalidMessage says that received data is not a valid message, or that a
// message is too long to be sent.
var ErrInvalidMessage = errors.New("handover: invalid message")

// Append appends the encoded message to b. One that exceeds the limits is an error.
func Append(b []byte, m *Message) ([]byte, error) {
	if len(m.Text) > maxTextBytes || len(m.Key) > maxTextBytes || len(m.Result) > maxResultBytes {
		return b, fmt.Errorf("%w: class, key or result too long", ErrInvalidMessage)
	}
	e := binary.BigEndian
	b = e.AppendUint32(b, uint32(fixedBytes+len(m.Text)+len(m.Key)+len(m.Result)))
	b = append(b, byte(m.Kind))
	b = e.AppendUint32(b, m.ID)
	b = e.AppendUint64(b, uint64(m.Arrived))
	b = e.AppendUint64(b, uint64(m.WindowEnd))
	b = e.AppendUint64(b, m.BodyHash)
	finished := byte(0)
	if m.Finished {
		finished = 1
	}
	b = append(b, finished, m.Outcome)
	b = e.AppendUint32(b, m.Runs)
	b = e.AppendUint32(b, m.MemoryKB)
	b = e.AppendUint16(b, uint16(len(m.Text)))
	b = e.AppendUint16(b, uint16(len(m.Key)))
	b = append(append(b, m.Text...), m.Key...)
	return append(b, m.Result...), nil
}

// Split decodes the first message of b and returns the number of bytes that it
// takes; 0 means that more bytes are needed. The message shares no memory with b.
func Split(b []byte) (m Message, used int, err error) {
	e := binary.BigEndian
	if len(b) < 4 {
		return m, 0, nil
	}
	n := e.Uint32(b)
	if n < fixedBytes || n > maxMessageBytes {
		return m, 0, fmt.Errorf("%w: length %d", ErrInvalidMessage, n)
	}
	if len(b) < 4+int(n) {
		return m, 0, nil
	}
	p := b[4 : 4+n]
	m = Message{Kind: Kind(p[0]), ID: e.Uint32(p[1:]), Arrived: int64(e.Uint64(p[5:])), WindowEnd: int64(e.Uint64(p[13:])),
		BodyHash: e.Uint64(p[21:]), Finished: p[29] == 1, Outcome: p[30], Runs: e.Uint32(p[31:]), MemoryKB: e.Uint32(p[35:])}
	text, key, rest := int(e.Uint16(p[39:])), int(e.Uint16(p[41:])), p[fixedBytes:]
	switch {
	case m.Kind < Hello || m.Kind > Load:
		return m, 0, fmt.Errorf("%w: kind %d", ErrInvalidMessage, m.Kind)
	case text > maxTextBytes || key > maxTextBytes || text+key > len(rest) || len(rest)-text-key > maxResultBytes:
		return m, 0, fmt.Errorf("%w: text, key and result of %d, %d and %d bytes", ErrInvalidMessage, text, key, len(rest))
	}
	m.Text, m.Key = string(rest[:text]), string(rest[text:text+key])
	m.Result = append([]byte(nil), rest[text+key:]...)
	return m, 4 + int(n), nil
}
