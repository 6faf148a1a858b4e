// Package probe asks the real program over the platform's frames, one
// connection at a time, for measurements on loopback: a caller that sends and
// waits, and a platform's file for a server that is never short of cores.
package probe

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"kiteslip/internal/frame"
)

// Caller is one connection that asks and waits. It is not safe for use by
// several goroutines at once.
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

var lastTryID atomic.Uint64 // names each try

// Dial connects to the program's frames front at address.
func Dial(address string) (*Caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Caller{Conn: conn}, nil
}

// Fields are those of a request of team red that is sent at that time.
func Fields(class, name string, at time.Time, wait time.Duration) []frame.Field {
	return []frame.Field{{Name: "kind", Value: class}, {Name: "owner", Value: "red"},
		{Name: "req", Value: name}, {Name: "via", Value: "1"},
		{Name: "ts", Value: strconv.FormatInt(at.UnixMilli(), 10)},
		{Name: "timeout", Value: strconv.FormatInt(wait.Milliseconds(), 10)},
		{Name: "ms", Value: "1.0"}, {Name: "need", Value: "16"}, {Name: "level", Value: "0.5"}}
}

// Send asks for a run of class with body, keyed where key is not empty, and
// waits so long for it; it returns the stream.
func (c *Caller) Send(class, key, body string, wait time.Duration) (uint32, error) {
	_, err := c.SendTry(class, key, body, wait)
	return c.stream, err
}

// SendTry is Send, and returns the name of the try.
func (c *Caller) SendTry(class, key, body string, wait time.Duration) (name string, err error) {
	c.stream++
	name = fmt.Sprintf("%016x", lastTryID.Add(1))
	f := Fields(class, name, time.Now(), wait)
	if key != "" {
		f = append(f, frame.Field{Name: "opkey", Value: key})
	}
	_, err = c.Write(frame.AppendRequest(nil, c.stream, f, []byte(body)))
	return name, err
}

// Next waits for the next final answer, 10 s at most.
func (c *Caller) Next() (Reply, error) {
	c.SetReadDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a TCP connection takes it
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
