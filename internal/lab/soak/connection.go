package soak

import (
	"fmt"
	"net"
	"sync"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/lab/probe"
)

// maxPending limits the open requests of a connection; the protocol allows 32.
const maxPending = 24

// connection is a caller's connection to the frame front end of a place.
type connection struct {
	place *place
	conn  net.Conn
	ended chan struct{} // closed when nothing more can be read

	mu            sync.Mutex
	stream        uint32
	pending       map[uint32]*request
	answered      map[uint32]*request
	goAway        bool // the server asked to close it
	retired       bool // nothing more is sent; it is closed once all is answered
	inputEnded    bool // the write side is shut, something malformed was sent, or the connection has ended
	sentMalformed bool
}

// dialFrames opens a connection; an error means that nothing listens.
func dialFrames(p *place) (*connection, error) {
	conn, err := net.DialTimeout("tcp", p.frameAddress, time.Second)
	if err != nil {
		return nil, err
	}
	c := &connection{place: p, conn: conn, ended: make(chan struct{}), pending: map[uint32]*request{}, answered: map[uint32]*request{}}
	go c.read()
	return c, nil
}

// send sends requests in one write. It reports false if the connection takes no more.
func (c *connection) send(requests ...*request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inputEnded || c.retired || len(c.pending)+len(requests) > maxPending {
		return false
	}
	var out []byte
	for _, r := range requests {
		c.stream++
		r.tryID, r.sent = c.place.game.nextTryID(), time.Now()
		if r.class == classRepeatable {
			r.body = fmt.Sprintf("%s %s", r.body, r.tryID)
		}
		fields := probe.Fields(r.class, r.tryID, r.sent, r.timeout)
		if r.key != "" {
			fields = append(fields, frame.Field{Name: "opkey", Value: r.key})
		}
		out = frame.AppendRequest(out, c.stream, fields, []byte(r.body))
		c.pending[c.stream] = r
		c.place.game.history.addRequest(r)
	}
	c.conn.Write(out) //nolint:errcheck // a failure shows when reading
	return true
}

// sendMalformed sends bytes that are no frame, or not all of one, and nothing after.
func (c *connection) sendMalformed(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentMalformed, c.inputEnded = true, true
	c.conn.Write(b) //nolint:errcheck // as above
}

// closeWrite shuts the write side with requests open.
func (c *connection) closeWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inputEnded = true
	c.conn.(*net.TCPConn).CloseWrite() //nolint:errcheck // the server may have closed it
}

// retire sends nothing more; the connection closes once all is answered.
func (c *connection) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if len(c.pending) == 0 {
		c.conn.Close()
	}
}

// state returns what the caller goes by.
func (c *connection) state() (pending int, goAway, inputEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending), c.goAway, c.inputEnded
}

// read handles all frames until the connection ends.
func (c *connection) read() {
	var buf []byte
	chunk := make([]byte, 32<<10)
	for {
		n, err := c.conn.Read(chunk)
		at := time.Now()
		buf = append(buf, chunk[:n]...)
		for {
			f, used, bad := frame.Split(buf)
			if bad != nil {
				c.place.game.violate("malformed", fmt.Sprintf("%s sent a malformed frame: %v", c.place.name, bad))
				err = bad
				break
			}
			if used == 0 {
				break
			}
			c.handle(&f, at)
			buf = buf[used:]
		}
		if err != nil {
			c.finish(at, err)
			return
		}
	}
}

// handle handles one frame of the server.
func (c *connection) handle(f *frame.Frame, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case f.Type == frame.GoAway:
		c.goAway = true
	case f.Type != frame.Answer:
	case f.Stream == 0:
		if !c.sentMalformed && c.stream > 0 {
			c.place.game.violate("error", fmt.Sprintf("%s reports an error of a connection on which all was well: %.100q", c.place.name, f.Payload))
		}
	default:
		r := c.pending[f.Stream]
		if r == nil {
			r = c.answered[f.Stream]
		}
		if r == nil {
			c.place.game.violate("unasked", fmt.Sprintf("%s answers stream %d, which was never opened", c.place.name, f.Stream))
			return
		}
		delete(c.pending, f.Stream)
		c.answered[f.Stream] = r
		c.place.game.history.addAnswer(r, frameAnswer(f, at))
		if c.retired && len(c.pending) == 0 {
			c.conn.Close()
		}
	}
}

// frameAnswer decodes an answer.
func frameAnswer(f *frame.Frame, at time.Time) answer {
	a := answer{at: at, outcome: failed}
	switch f.Payload[0] {
	case frame.Served:
		a.outcome = served
	case frame.Refused:
		a.outcome = refused
	}
	if _, body, err := frame.ParseFields(f.Payload[1:]); err == nil {
		a.body = string(body)
	}
	return a
}

// finish records the end of the connection for the requests that are open on it.
func (c *connection) finish(at time.Time, err error) {
	c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inputEnded = true
	c.place.game.history.update(func() {
		for _, r := range c.pending {
			r.connEnded, r.connError = at, err
		}
	})
	close(c.ended)
}

// abandon closes the connection at the end of the load; what is open then has waited
// longer than any answer may take.
func (c *connection) abandon() {
	c.conn.Close()
	<-c.ended
}
