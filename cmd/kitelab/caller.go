package main

import (
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"kiteslip/internal/frame"
)

// caller is one connection that asks and waits.
type caller struct {
	net.Conn
	buf    []byte
	stream uint32
}

// reply is a final answer.
type reply struct {
	stream uint32
	code   byte
	body   string
}

var tries atomic.Uint64 // names each try

func dial(address string) (*caller, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &caller{Conn: conn}, nil
}

// fields are those of a request of team red that is sent at that time.
func fields(class, name string, at time.Time, wait time.Duration) []frame.Field {
	return []frame.Field{{Name: "kind", Value: class}, {Name: "owner", Value: "red"},
		{Name: "req", Value: name}, {Name: "via", Value: "1"},
		{Name: "ts", Value: strconv.FormatInt(at.UnixMilli(), 10)},
		{Name: "timeout", Value: strconv.FormatInt(wait.Milliseconds(), 10)},
		{Name: "ms", Value: "1.0"}, {Name: "need", Value: "16"}, {Name: "level", Value: "0.5"}}
}

// send asks; it returns the stream.
func (c *caller) send(class, key, body string, wait time.Duration) (uint32, error) {
	c.stream++
	f := fields(class, fmt.Sprintf("%016x", tries.Add(1)), time.Now(), wait)
	if key != "" {
		f = append(f, frame.Field{Name: "opkey", Value: key})
	}
	_, err := c.Write(frame.AppendRequest(nil, c.stream, f, []byte(body)))
	return c.stream, err
}

// next waits for the next final answer.
func (c *caller) next() (reply, error) {
	c.SetReadDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a TCP connection takes it
	for {
		f, n, err := frame.Split(c.buf)
		if err != nil {
			return reply{}, err
		}
		if n > 0 {
			r := reply{stream: f.Stream}
			if f.Type == frame.Answer && len(f.Payload) > 0 {
				r.code = f.Payload[0]
				if _, body, err := frame.ParseFields(f.Payload[1:]); err == nil {
					r.body = string(body)
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
			return reply{}, err
		}
		c.buf = append(c.buf, chunk[:n]...)
	}
}
