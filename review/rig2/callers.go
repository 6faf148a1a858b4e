package rig2

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/uwsgi"
)

var errNoAnswer = errors.New("no answer")

// uwsgiAnswer is the answer to a uwsgi request.
type uwsgiAnswer struct {
	status int // 0 = none came
	body   string
	err    error
}

// askUWSGI sends one uwsgi request and waits for its answer.
func (r *rig) askUWSGI(address, body string, wait time.Duration, vars map[string]string) uwsgiAnswer {
	a := r.doUWSGI(address, body, wait, vars)
	r.note("uwsgi %v, body %q: answer %d %q %v", vars, body, a.status, a.body, a.err)
	return a
}

func (r *rig) doUWSGI(address, body string, wait time.Duration, vars map[string]string) uwsgiAnswer {
	list := []uwsgi.Var{{Name: "REQUEST_METHOD", Value: "POST"}, {Name: uwsgi.VarLength, Value: strconv.Itoa(len(body))}}
	for name, value := range vars {
		list = append(list, uwsgi.Var{Name: name, Value: value})
	}
	b, err := uwsgi.AppendRequest(nil, list)
	r.must(err)
	until := time.Now().Add(wait)
	c, err := net.DialTimeout("tcp", address, wait)
	if err != nil {
		return uwsgiAnswer{err: err}
	}
	defer c.Close()
	c.SetDeadline(until) //nolint:errcheck // a closed connection shows below
	if _, err := c.Write(append(b, body...)); err != nil {
		return uwsgiAnswer{err: err}
	}
	in, err := io.ReadAll(c)
	response, whole, parseErr := uwsgi.ParseResponse(in, true, 1<<20)
	if err != nil || parseErr != nil || !whole {
		return uwsgiAnswer{err: fmt.Errorf("%w: %v %v", errNoAnswer, err, parseErr)}
	}
	return uwsgiAnswer{status: response.Status, body: string(response.Body)}
}

// frameRequest is a request in frames.
type frameRequest struct {
	kind, key, body string
	timeout         time.Duration
}

// frameAnswer is the answer to one.
type frameAnswer struct {
	code byte // 0 = none came
	body string
	err  error
}

// caller is a caller's connection.
type caller struct {
	r      *rig
	conn   net.Conn
	stream uint32 // the last one
}

// dial opens a connection; the caller closes it.
func (r *rig) dial(address string) (*caller, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	return &caller{r: r, conn: c}, err
}

// askFrames sends one request on a connection of its own and waits for its answer.
// It returns the stamp that the request carried, in Unix milliseconds.
func (r *rig) askFrames(address string, q frameRequest) (frameAnswer, int64) {
	c, err := r.dial(address)
	if err != nil {
		r.note("frames %+v: %v", q, err)
		return frameAnswer{err: err}, 0
	}
	defer c.conn.Close()
	return c.ask(q)
}

// ask sends one request and waits for its answer.
func (c *caller) ask(q frameRequest) (frameAnswer, int64) {
	ts := time.Now().UnixMilli()
	fields := []frame.Field{{Name: "kind", Value: q.kind}, {Name: "req", Value: fmt.Sprintf("%016x", rand.Uint64())},
		{Name: "ts", Value: strconv.FormatInt(ts, 10)}, {Name: "via", Value: "1"}, {Name: "owner", Value: "nkwa-bank"},
		{Name: "timeout", Value: strconv.FormatInt(q.timeout.Milliseconds(), 10)}, {Name: "ms", Value: "300"},
		{Name: "need", Value: "24.5"}, {Name: "level", Value: "0.5"}}
	if q.key != "" {
		fields = append(fields, frame.Field{Name: "opkey", Value: q.key})
	}
	c.r.note("frames %s key %s body %q ts %d: written", q.kind, q.key, q.body, ts)
	c.conn.SetDeadline(time.UnixMilli(ts).Add(q.timeout + time.Second)) //nolint:errcheck // a closed connection shows below
	c.stream++
	if _, err := c.conn.Write(frame.AppendRequest(nil, c.stream, fields, []byte(q.body))); err != nil {
		return frameAnswer{err: err}, ts
	}
	a := readAnswer(c.conn, c.stream)
	c.r.note("frames %s key %s body %q ts %d: answer %d %q %v", q.kind, q.key, q.body, ts, a.code, a.body, a.err)
	return a, ts
}

// readAnswer reads frames until the answer on that stream.
func readAnswer(c net.Conn, stream uint32) frameAnswer {
	for {
		head := make([]byte, 4)
		if _, err := io.ReadFull(c, head); err != nil {
			return frameAnswer{err: err}
		}
		n := binary.BigEndian.Uint32(head)
		if n < frame.MinLength || n > frame.MaxLength {
			return frameAnswer{err: errNoAnswer}
		}
		p := make([]byte, n)
		if _, err := io.ReadFull(c, p); err != nil {
			return frameAnswer{err: err}
		}
		if p[0] != frame.Answer || binary.BigEndian.Uint32(p[1:]) != stream || n < frame.MinLength+1 {
			continue
		}
		_, body, err := frame.ParseFields(p[frame.MinLength+1:])
		return frameAnswer{code: p[frame.MinLength], body: string(body), err: err}
	}
}
