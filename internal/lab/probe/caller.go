// Package probe has what measurements of a real server on loopback need: a caller
// of the frame front end, and a platform's file for a server that never runs short
// of cores or memory.
package probe

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"kiteslip/internal/frame"
)

// Caller is a connection to the frame front end that sends requests and waits for
// answers. It is not safe for concurrent use.
type Caller struct {
	net.Conn
	buf    []byte
	stream uint32
}

// Reply is a final answer.
type Reply struct {
	Stream uint32
	Code   byte // frame.Served, frame.Refused, frame.Failed
	Body   string
}

var lastTryID atomic.Uint64 // try IDs are unique over all callers

// Dial connects to the frame front end at address.
func Dial(address string) (*Caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Caller{Conn: conn}, nil
}

// Fields returns the header fields of a request of team red that is sent at a given
// time.
func Fields(class, tryID string, sent time.Time, timeout time.Duration) []frame.Field {
	return []frame.Field{{Name: "kind", Value: class}, {Name: "owner", Value: "red"},
		{Name: "req", Value: tryID}, {Name: "via", Value: "1"},
		{Name: "ts", Value: strconv.FormatInt(sent.UnixMilli(), 10)},
		{Name: "timeout", Value: strconv.FormatInt(timeout.Milliseconds(), 10)},
		{Name: "ms", Value: "1.0"}, {Name: "need", Value: "16"}, {Name: "level", Value: "0.5"}}
}

// Send sends a request with the given timeout, keyed if key is not empty, and
// returns its stream.
func (c *Caller) Send(class, key, body string, timeout time.Duration) (uint32, error) {
	_, err := c.SendTry(class, key, body, timeout)
	return c.stream, err
}

// SendTry is Send, and returns the try ID.
func (c *Caller) SendTry(class, key, body string, timeout time.Duration) (tryID string, err error) {
	c.stream++
	tryID = fmt.Sprintf("%016x", lastTryID.Add(1))
	f := Fields(class, tryID, time.Now(), timeout)
	if key != "" {
		f = append(f, frame.Field{Name: "opkey", Value: key})
	}
	_, err = c.Write(frame.AppendRequest(nil, c.stream, f, []byte(body)))
	return tryID, err
}

// Next waits for the next final answer, for at most 10 s.
func (c *Caller) Next() (Reply, error) {
	c.SetReadDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // supported by TCP connections
	for {
		f, n, err := frame.Split(c.buf)
		if err != nil {
			return Reply{}, err
		}
		if n > 0 {
			r := Reply{Stream: f.Stream}
			if f.Type == frame.Answer && len(f.Payload) > 0 {
				r.Code = f.Payload[0]
				if _, body, err := frame.ParseFields(f.Payload[1:]); err == nil {
					r.Body = string(body)
				}
			}
			c.buf = c.buf[n:]
			if f.Type != frame.Answer {
				continue
			}
			return r, nil
		}
		chunk := make([]byte, 16<<10)
		n, err = c.Read(chunk)
		if err != nil {
			return Reply{}, err
		}
		c.buf = append(c.buf, chunk[:n]...)
	}
}
