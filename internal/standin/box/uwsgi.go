package box

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"kiteslip/internal/uwsgi"
)

// A call by uwsgi must be whole within this, and its answer be taken.
const uwsgiPatience = 30 * time.Second

// ServeUWSGI lets the same cores do work for uwsgi clients on a loopback address
// of its own. It ends with the engine.
func (e *Engine) ServeUWSGI() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("uwsgi stand-in: %w", err)
	}
	e.mu.Lock()
	e.web = l
	e.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.call(c)
		}
	}()
	return l.Addr().String(), nil
}

// call serves one connection, which carries one request.
func (e *Engine) call(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(uwsgiPatience)) //nolint:errcheck // a TCP connection takes it
	body, err := ReadCall(c)
	if err != nil {
		return
	}
	if work := Work(body); work > 0 {
		done := make(chan struct{})
		e.mu.Lock()
		if e.began != nil {
			e.began(string(body))
		}
		e.next++
		e.live[e.next] = &running{body: body, done: done}
		e.box.Begin(clock(), e.next, work)
		e.settle()
		e.mu.Unlock()
		<-done
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body) //nolint:errcheck // a lost caller needs no answer
}

// ReadCall reads one uwsgi request and returns its body.
func ReadCall(c io.Reader) ([]byte, error) {
	var buf []byte
	chunk := make([]byte, 4096)
	for {
		n, err := c.Read(chunk)
		buf = append(buf, chunk[:n]...)
		vars, size, bad := uwsgi.Split(buf)
		if bad != nil {
			return nil, bad
		}
		if size > 0 {
			length := 0
			for name, value := range vars.All() {
				if string(name) == uwsgi.VarLength {
					length, _ = strconv.Atoi(string(value))
				}
			}
			if length < 0 || length > bodyMost {
				return nil, errCommand
			}
			if len(buf) >= size+length {
				return buf[size : size+length], nil
			}
		}
		if err != nil || len(buf) > bodyMost {
			return nil, fmt.Errorf("uwsgi stand-in: the request breaks off: %w", err)
		}
	}
}
