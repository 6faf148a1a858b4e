package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"kiteslip"
	"kiteslip/internal/core"
	"kiteslip/internal/reject"
	"kiteslip/internal/uwsgi"
)

// webSession is one caller's connection on the uwsgi protocol. It carries one
// request: variables, body, answer, close.
type webSession struct {
	s        *Server
	conn     gnet.Conn
	request  *core.Request // nil until the variables are in
	length   int           // of the body
	waits    bool          // the request is in the core
	answered bool
	gone     bool
	held     int
	openedAt int64
	readBy   int64
	out      [][]byte
	closing
}

func newWebSession(s *Server) *webSession { return &webSession{s: s} }

func (f *webSession) opened(c gnet.Conn) {
	f.conn = c
	f.openedAt = now()
	f.s.webs++
	f.readBy = now() + f.s.cfg.UWSGI.ReadTimeoutUS
}

// closed frees all; a request whose body never came whole was never entered,
// and one that was entered has no caller any longer.
func (f *webSession) closed() {
	f.gone = true
	f.hold(0)
	f.s.webs--
	f.s.lingered(&f.closing)
	f.s.leaveSlot()
	if f.waits && !f.answered {
		f.s.core.Disconnected(f.request)
	}
	f.request = nil
}

// idle counts a connection from its start: what is half sent makes room too.
func (f *webSession) idle() idle {
	if f.waits && !f.answered {
		return idle{}
	}
	return idle{since: f.openedAt, served: f.answered}
}

func (f *webSession) unsent() int     { return f.conn.OutboundBuffered() }
func (f *webSession) peer() gnet.Conn { return f.conn }

func (f *webSession) hold(n int) {
	f.s.buffered += n - f.held
	f.held = n
}

func (f *webSession) feed(b []byte) (int, error) {
	used := 0
	if f.waits || f.answered || f.deaf {
		return len(b), nil // nothing more is owed an ear on this connection
	}
	if f.request == nil {
		vars, n, err := uwsgi.Split(b)
		if err != nil {
			f.refuse(&uwsgi.RequestError{Status: http.StatusBadRequest, Reason: err.Error()})
			return len(b), nil
		}
		if n == 0 {
			f.hold(len(b))
			return 0, nil
		}
		r, length, problem := uwsgi.ParseRequest(vars, f.s.book, now())
		if problem != nil {
			f.refuse(problem)
			return len(b), nil
		}
		f.request, f.length, used = r, length, n
	}
	if len(b)-used < f.length {
		f.hold(len(b) - used)
		if f.s.buffered > f.s.cfg.Limits.MemoryMB<<20/heldDivisor {
			f.refuse(&uwsgi.RequestError{Status: http.StatusServiceUnavailable, Reason: "too many half-sent requests"})
		}
		return used, nil
	}
	f.hold(0)
	f.enter(slices.Clone(b[used : used+f.length]))
	return len(b), nil
}

// enter gives the whole request to the core.
func (f *webSession) enter(body []byte) {
	r := f.request
	f.s.webID++
	// Not 16 hex digits: guards against a name that a caller of the other front has chosen.
	r.TryID = fmt.Sprintf("w%015x", f.s.webID)
	r.Body, r.Stream, r.ReplyTo = body, 1, f
	f.waits = true
	if err := f.s.core.Submit(now(), r); err != nil {
		f.waits = false
		f.refuse(&uwsgi.RequestError{Status: http.StatusBadRequest, Reason: err.Error()})
	}
}

// refuse answers a request that does not enter the core.
func (f *webSession) refuse(p *uwsgi.RequestError) {
	f.s.reject(&reject.Error{Cause: "uwsgi_" + strconv.Itoa(p.Status), Err: p})
	f.respond(p.Status, 0, []byte(p.Reason+"\n"))
}

// Answer writes the final answer.
func (f *webSession) Answer(_ uint32, a core.Answer) {
	f.s.traceAnswer("uwsgi", f.request, a)
	status, retryAfter := uwsgi.Status(&a)
	body := a.Result
	if a.Code == core.Failed && a.Cause == core.OutcomeUnknown {
		body = []byte(core.OutcomeUnknownText)
	}
	f.respond(status, retryAfter, body)
}

func (f *webSession) respond(status, retryAfter int, body []byte) {
	if f.answered || f.gone {
		return
	}
	f.answered = true
	f.hold(0)
	f.out = append(f.out, uwsgi.AppendResponse(nil, status, retryAfter, len(body)))
	if len(body) > 0 {
		f.out = append(f.out, body)
	}
	f.s.dirty = append(f.s.dirty, f)
	f.s.schedule()
}

// flush writes the answer and closes: the protocol carries one request for
// each connection. What the socket does not take at once is given the time
// until readBy.
func (f *webSession) flush() {
	if f.gone || len(f.out) == 0 {
		return
	}
	f.out = gather(f.conn, f.out)
	f.readBy = now() + f.s.cfg.UWSGI.ReadTimeoutUS
	f.settle()
}

// settle shuts our side of a connection whose answer has gone out. Guards the
// answer: closing with bytes unread would make the system reset the connection,
// so the rest is read until the caller closes or readBy comes.
func (f *webSession) settle() {
	if f.gone || f.shutAt != 0 || !f.answered && !f.deaf || len(f.out) > 0 || f.conn.OutboundBuffered() > 0 {
		return
	}
	t := now()
	f.s.shut(f, t, max(0, f.readBy-t))
}

// part ends the connection, unless a request is in hand or waits unread.
func (f *webSession) part(int64) {
	if f.waits && !f.answered || !f.answered && unread(f.conn) {
		return
	}
	f.deaf = true
	f.settle()
}

func (f *webSession) hangUp() {
	if !f.gone {
		hangUp(f.conn)
	}
}

// expire closes what has run out of time: callers that send their request too
// slowly or do not take the answer, and calls of uwsgi servers.
func (s *Server) expire(t int64) {
	if t < s.expireAt {
		return
	}
	s.expireAt = t + expireEvery
	for h := range s.sessions {
		f, ok := h.(*webSession)
		switch {
		case !ok || f.waits && !f.answered:
		case (f.answered || f.deaf) && t >= f.readBy:
			hangUp(f.conn)
		case f.answered:
			f.settle()
		case t >= f.readBy:
			f.refuse(&uwsgi.RequestError{Status: http.StatusRequestTimeout, Reason: "the request did not come in time"})
		}
	}
	for b := range s.backends {
		if t >= b.until {
			b.end(kiteslip.Failed, nil)
		}
	}
	s.flush()
}

// backendConn is one call of a uwsgi server.
type backendConn struct {
	s        *Server
	r        *core.Request
	conn     gnet.Conn
	began    int64
	until    int64 // when it is given up
	in       []byte
	finished bool
}

// call runs r at the uwsgi server at address.
func (s *Server) call(address string, r *core.Request) {
	b := &backendConn{s: s, r: r, began: now(), until: r.Deadline}
	if class := &s.cfg.Policy.Classes[r.Class]; class.Effect == kiteslip.Keyed {
		// Another try may yet want the result, and none may run beside this one.
		b.until = max(b.until, r.Arrived+class.Window)
	}
	s.backends[b] = struct{}{}
	if len(s.backends) > s.calls { // Guards the limit on sockets, whatever the module runs.
		b.end(kiteslip.NotStarted, nil)
		return
	}
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), time.UnixMicro(b.until))
		defer cancel()
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			_, err = s.client.EnrollContext(c, b)
		}
		if err != nil {
			s.log.Debug("backend", zap.String("address", address), zap.Error(err))
			s.onLoop(func() {
				if b.conn == nil { // nothing was sent, so nothing ran
					b.end(kiteslip.NotStarted, nil)
				}
			})
		}
	}()
}

func (b *backendConn) opened(c gnet.Conn) {
	b.conn = c
	if b.finished {
		hangUp(c)
		return
	}
	r, cfg := b.r, b.s.cfg
	vars := []uwsgi.Var{
		{Name: "REQUEST_METHOD", Value: "POST"},
		{Name: "PATH_INFO", Value: cfg.UWSGI.Contracts[r.Class].Path},
		{Name: uwsgi.VarLength, Value: strconv.Itoa(len(r.Body))},
		{Name: uwsgi.VarClass, Value: cfg.Classes[r.Class]},
		{Name: uwsgi.VarTimestamp, Value: strconv.FormatInt(r.Arrived/1000, 10)},
		{Name: uwsgi.VarTimeout, Value: strconv.FormatInt((r.Deadline-r.Arrived)/1000, 10)},
	}
	if len(cfg.Tenants) > 0 {
		vars = append(vars, uwsgi.Var{Name: uwsgi.VarTenant, Value: cfg.Tenants[r.Tenant]})
	}
	if r.Key != "" {
		vars = append(vars, uwsgi.Var{Name: uwsgi.VarKey, Value: r.Key})
	}
	head, err := uwsgi.AppendRequest(nil, vars)
	if err != nil {
		b.end(kiteslip.NotStarted, nil)
		return
	}
	b.s.called++
	gather(c, [][]byte{head, r.Body})
}

func (b *backendConn) feed(p []byte) (int, error) {
	b.in = append(b.in, p...)
	b.parse(false)
	return len(p), nil
}

// closed takes in the end of the connection. Guards the meaning of a refusal:
// the request was sent, so without a whole response it may have run, and has failed.
func (b *backendConn) closed() { b.parse(true) }

func (b *backendConn) flush() {}

func (b *backendConn) unsent() int { return 0 }

func (b *backendConn) parse(end bool) {
	if b.finished {
		return
	}
	response, whole, err := uwsgi.ParseResponse(b.in, end, b.s.cfg.MaxResultBytes[b.r.Class])
	switch {
	case err != nil:
		b.s.log.Debug("backend", zap.Error(err))
		b.end(kiteslip.Failed, nil)
	case whole && response.Status/100 == 2:
		b.end(kiteslip.OK, slices.Clone(response.Body))
	case whole:
		b.end(kiteslip.Failed, nil)
	}
}

// end books the end of the run, once, and frees the connection.
func (b *backendConn) end(outcome kiteslip.Outcome, result []byte) {
	if b.finished {
		return
	}
	b.finished, b.in = true, nil
	delete(b.s.backends, b)
	b.s.core.Done(b.r, outcome, now()-b.began, result)
	b.s.schedule()
	if b.conn != nil {
		hangUp(b.conn)
	}
}
