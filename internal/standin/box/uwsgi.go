package box

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"kiteslip/internal/uwsgi"
)

// uwsgiTimeout bounds the reading of a uwsgi request, its run and the answer.
const uwsgiTimeout = 30 * time.Second

// ServeUWSGI also serves uwsgi requests, on a loopback address of its own and on
// the same cores, until Close.
func (e *Engine) ServeUWSGI() (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("uwsgi stand-in: %w", err)
	}
	e.mu.Lock()
	e.uwsgiListener = l
	e.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.handleUWSGI(c)
		}
	}()
	return l.Addr().String(), nil
}

// handleUWSGI serves a connection, which carries one request.
func (e *Engine) handleUWSGI(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(uwsgiTimeout)) //nolint:errcheck // supported by TCP connections
	body, err := ReadUWSGIRequest(c)
	if err != nil {
		return
	}
	if work := Work(body); work > 0 {
		done := make(chan struct{})
		e.mu.Lock()
		if e.onBegin != nil {
			e.onBegin(string(body))
		}
		e.lastID++
		e.onCores[e.lastID] = &activeRun{body: body, done: done}
		e.box.Start(nowUS(), e.lastID, work)
		e.advance()
		e.mu.Unlock()
		<-done
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body) //nolint:errcheck // the client may have closed the connection
}

// ReadUWSGIRequest reads a uwsgi request and returns its body.
func ReadUWSGIRequest(c io.Reader) ([]byte, error) {
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
			if length < 0 || length > maxBodyBytes {
				return nil, errMalformed
			}
			if len(buf) >= size+length {
				return buf[size : size+length], nil
			}
		}
		if err != nil || len(buf) > maxBodyBytes {
			return nil, fmt.Errorf("uwsgi stand-in: request incomplete: %w", err)
		}
	}
}
