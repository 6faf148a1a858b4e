package rig

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"kiteslip/internal/frame"
)

// Answer is the final answer to a frame request. Code is 0 if the connection ended
// without one, else frame.Served, frame.Refused or frame.Failed.
type Answer struct {
	Code byte
	Body string
	At   time.Time
}

// String describes an answer for the record.
func (a Answer) String() string {
	switch a.Code {
	case frame.Served:
		return fmt.Sprintf("served with %q", a.Body)
	case frame.Refused:
		return "refused"
	case frame.Failed:
		return fmt.Sprintf("failed: %q", a.Body)
	}
	return "no answer, the connection ended"
}

// Conn is a caller's connection on the platform's frames.
type Conn struct {
	conn net.Conn

	mu      sync.Mutex
	stream  uint32
	waiting map[uint32]chan Answer
	ended   bool
}

// Dial opens a caller's connection.
func Dial(address string) (*Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Conn{conn: conn, waiting: map[uint32]chan Answer{}}
	go c.read()
	return c, nil
}

// Close closes the connection.
func (c *Conn) Close() { c.conn.Close() } //nolint:errcheck // it is closed in any case

// Try is one try of a request. TS is when it came to the machine; its caller says that it
// waits for Timeout, or does not say it where that is 0.
type Try struct {
	ID, Class, Tenant, Key, Body string
	TS                           time.Time
	Timeout                      time.Duration
}

// Send writes one request; its answer comes on the channel.
func (c *Conn) Send(t Try) <-chan Answer {
	fields := []frame.Field{{Name: "kind", Value: t.Class}, {Name: "req", Value: t.ID}, {Name: "via", Value: "1"},
		{Name: "ts", Value: strconv.FormatInt(t.TS.UnixMilli(), 10)}, {Name: "owner", Value: t.Tenant},
		{Name: "ms", Value: "300.0"}, {Name: "need", Value: "24.5"}, {Name: "level", Value: "0.5"}}
	if t.Timeout > 0 {
		fields = append(fields, frame.Field{Name: "timeout", Value: strconv.FormatInt(t.Timeout.Milliseconds(), 10)})
	}
	if t.Key != "" {
		fields = append(fields, frame.Field{Name: "opkey", Value: t.Key})
	}
	answer := make(chan Answer, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream++
	if c.ended {
		answer <- Answer{At: time.Now()}
		return answer
	}
	c.waiting[c.stream] = answer
	c.conn.Write(frame.AppendRequest(nil, c.stream, fields, []byte(t.Body))) //nolint:errcheck // a broken connection is seen by read
	return answer
}

func (c *Conn) read() {
	var buf []byte
	chunk := make([]byte, 64<<10)
	for {
		n, err := c.conn.Read(chunk)
		buf = append(buf, chunk[:n]...)
		for {
			f, used, bad := frame.Split(buf)
			if bad != nil || used == 0 {
				break
			}
			if f.Type == frame.Answer && len(f.Payload) > 0 {
				a := Answer{Code: f.Payload[0], At: time.Now()}
				if _, body, err := frame.ParseFields(f.Payload[1:]); err == nil {
					a.Body = string(body)
				}
				c.mu.Lock()
				if answer := c.waiting[f.Stream]; answer != nil {
					answer <- a
					delete(c.waiting, f.Stream)
				}
				c.mu.Unlock()
			}
			buf = buf[used:]
		}
		if err != nil {
			c.mu.Lock()
			c.ended = true
			for stream, answer := range c.waiting {
				answer <- Answer{At: time.Now()}
				delete(c.waiting, stream)
			}
			c.mu.Unlock()
			return
		}
	}
}
