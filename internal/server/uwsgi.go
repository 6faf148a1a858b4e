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

// uwsgiConn is a caller's connection on the uwsgi protocol. It carries one
// request: variables, body, answer, close.
type uwsgiConn struct {
	s            *Server
	conn         gnet.Conn
	request      *core.Request // nil until the variables have been read
	bodyLen      int           // of the body
	submitted    bool          // the request was submitted to the core
	answered     bool
	disconnected bool
	partialLen   int
	openedAt     int64
	readDeadline int64
	out          [][]byte
	connClose
}

func newUWSGIConn(s *Server) *uwsgiConn { return &uwsgiConn{s: s} }

func (f *uwsgiConn) opened(c gnet.Conn) {
	f.conn = c
	f.openedAt = now()
	f.s.uwsgiConns++
	f.readDeadline = now() + f.s.cfg.UWSGI.ReadTimeoutUS
}

// closed releases what the connection takes. A request whose body never arrived
// whole was never submitted; one that was submitted has lost its caller.
func (f *uwsgiConn) closed() {
	f.disconnected = true
	f.trackPartial(0)
	f.s.uwsgiConns--
	f.s.closeFinished(&f.connClose)
	f.s.releaseCallerSlot()
	if f.submitted && !f.answered {
		f.s.core.Disconnected(f.request)
	}
	f.request = nil
}

// idle counts a connection as idle from its start: one with a partial request can be
// evicted too.
func (f *uwsgiConn) idle() idleState {
	if f.submitted && !f.answered {
		return idleState{}
	}
	return idleState{since: f.openedAt, answered: f.answered}
}

func (f *uwsgiConn) unsent() int        { return f.conn.OutboundBuffered() }
func (f *uwsgiConn) netConn() gnet.Conn { return f.conn }

func (f *uwsgiConn) trackPartial(n int) {
	f.s.partialBytes += n - f.partialLen
	f.partialLen = n
}

func (f *uwsgiConn) feed(b []byte) (int, error) {
	used := 0
	if f.submitted || f.answered || f.discarding {
		return len(b), nil // the connection carries one request; further input is discarded
	}
	if f.request == nil {
		vars, n, err := uwsgi.Split(b)
		if err != nil {
			f.refuse(&uwsgi.RequestError{Status: http.StatusBadRequest, Reason: err.Error()})
			return len(b), nil
		}
		if n == 0 {
			f.trackPartial(len(b))
			return 0, nil
		}
		r, length, problem := uwsgi.ParseRequest(vars, f.s.uwsgiContracts, now())
		if problem != nil {
			f.refuse(problem)
			return len(b), nil
		}
		f.request, f.bodyLen, used = r, length, n
	}
	if len(b)-used < f.bodyLen {
		f.trackPartial(len(b) - used)
		if f.s.partialBytes > f.s.cfg.Limits.MemoryMB<<20/partialMemoryDivisor {
			f.refuse(&uwsgi.RequestError{Status: http.StatusServiceUnavailable, Reason: "too many half-sent requests"})
		}
		return used, nil
	}
	f.trackPartial(0)
	f.submit(slices.Clone(b[used : used+f.bodyLen]))
	return len(b), nil
}

// submit passes the whole request to the core.
func (f *uwsgiConn) submit(body []byte) {
	r := f.request
	f.s.lastUWSGIID++
	// Not 16 hex digits, so that it differs from every try ID that a caller of the frame protocol chooses.
	r.TryID = fmt.Sprintf("w%015x", f.s.lastUWSGIID)
	r.Body, r.Stream, r.ReplyTo = body, 1, f
	f.submitted = true
	if err := f.s.core.Submit(now(), r); err != nil {
		f.submitted = false
		f.refuse(&uwsgi.RequestError{Status: http.StatusBadRequest, Reason: err.Error()})
	}
}

// refuse answers a request that is not submitted to the core.
func (f *uwsgiConn) refuse(p *uwsgi.RequestError) {
	f.s.reject(&reject.Error{Cause: "uwsgi_" + strconv.Itoa(p.Status), Err: p})
	f.respond(p.Status, 0, []byte(p.Reason+"\n"))
}

// Answer sends the final answer.
func (f *uwsgiConn) Answer(_ uint32, a core.Answer) {
	f.s.traceAnswer("uwsgi", f.request, a)
	status, retryAfter := uwsgi.Status(&a)
	body := a.Result
	if a.Code == core.Failed && a.Cause == core.OutcomeUnknown {
		body = []byte(core.OutcomeUnknownText)
	}
	f.respond(status, retryAfter, body)
}

func (f *uwsgiConn) respond(status, retryAfter int, body []byte) {
	if f.answered || f.disconnected {
		return
	}
	f.answered = true
	f.trackPartial(0)
	f.out = append(f.out, uwsgi.AppendResponse(nil, status, retryAfter, len(body)))
	if len(body) > 0 {
		f.out = append(f.out, body)
	}
	f.s.unflushed = append(f.s.unflushed, f)
	f.s.scheduleIteration()
}

// flush writes the answer and begins the close: the protocol carries one request
// per connection. What the socket does not take at once has until readDeadline.
func (f *uwsgiConn) flush() {
	if f.disconnected || len(f.out) == 0 {
		return
	}
	f.out = writevAll(f.conn, f.out)
	f.readDeadline = now() + f.s.cfg.UWSGI.ReadTimeoutUS
	f.shutWhenDone()
}

// shutWhenDone shuts the write side of a connection whose answer has gone out.
// Closing with unread input would make the system reset the connection, and the
// answer could be lost, so input is discarded until the caller closes or
// readDeadline has passed.
func (f *uwsgiConn) shutWhenDone() {
	if f.disconnected || f.writeShutAt != 0 || !f.answered && !f.discarding || len(f.out) > 0 || f.conn.OutboundBuffered() > 0 {
		return
	}
	t := now()
	f.s.shutWrite(f, t, max(0, f.readDeadline-t))
}

// closeGracefully begins the close of the connection, unless a request is open or
// waits unread.
func (f *uwsgiConn) closeGracefully(int64) {
	if f.submitted && !f.answered || !f.answered && hasUnread(f.conn) {
		return
	}
	f.discarding = true
	f.shutWhenDone()
}

func (f *uwsgiConn) closeNow() {
	if !f.disconnected {
		closeNow(f.conn)
	}
}

// expire ends what has exceeded its time limit: callers that send their request
// or read the answer too slowly, and backend calls.
func (s *Server) expire(t int64) {
	if t < s.nextExpiryAt {
		return
	}
	s.nextExpiryAt = t + expiryIntervalUS
	for h := range s.conns {
		f, ok := h.(*uwsgiConn)
		switch {
		case !ok || f.submitted && !f.answered:
		case (f.answered || f.discarding) && t >= f.readDeadline:
			closeNow(f.conn)
		case f.answered:
			f.shutWhenDone()
		case t >= f.readDeadline:
			f.refuse(&uwsgi.RequestError{Status: http.StatusRequestTimeout, Reason: "the request did not come in time"})
		}
	}
	for b := range s.backendConns {
		if t >= b.deadline {
			b.finish(kiteslip.Failed, nil)
		}
	}
	s.flush()
}

// backendConn is one backend call, a request sent to a uwsgi server.
type backendConn struct {
	s         *Server
	r         *core.Request
	conn      gnet.Conn
	startedAt int64
	deadline  int64 // when the call is abandoned
	in        []byte
	finished  bool
}

// callBackend runs r on the uwsgi server at address.
func (s *Server) callBackend(address string, r *core.Request) {
	b := &backendConn{s: s, r: r, startedAt: now(), deadline: r.Deadline}
	if class := &s.cfg.Policy.Classes[r.Class]; class.Effect == kiteslip.Keyed {
		// Until the window ends another try may ask for the result, and none may run at the same time.
		b.deadline = max(b.deadline, r.Arrived+class.Window)
	}
	s.backendConns[b] = struct{}{}
	if len(s.backendConns) > s.maxBackendCalls { // bounds the sockets in use, whatever the policy starts
		b.finish(kiteslip.NotStarted, nil)
		return
	}
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), time.UnixMicro(b.deadline))
		defer cancel()
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			_, err = s.client.EnrollContext(c, b)
		}
		if err != nil {
			s.log.Debug("backend", zap.String("address", address), zap.Error(err))
			s.onLoop(func() {
				if b.conn == nil { // nothing was sent, so it did not run
					b.finish(kiteslip.NotStarted, nil)
				}
			})
		}
	}()
}

func (b *backendConn) opened(c gnet.Conn) {
	b.conn = c
	if b.finished {
		closeNow(c)
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
		b.finish(kiteslip.NotStarted, nil)
		return
	}
	b.s.backendCalls++
	writevAll(c, [][]byte{head, r.Body})
}

func (b *backendConn) feed(p []byte) (int, error) {
	b.in = append(b.in, p...)
	b.parse(false)
	return len(p), nil
}

// closed handles the end of the connection. The request was sent, so without a
// whole response it may have run: it has failed and is not refused.
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
		b.finish(kiteslip.Failed, nil)
	case whole && response.Status/100 == 2:
		b.finish(kiteslip.OK, slices.Clone(response.Body))
	case whole:
		b.finish(kiteslip.Failed, nil)
	}
}

// finish reports the end of the run to the core, once, and closes the connection.
func (b *backendConn) finish(outcome kiteslip.Outcome, result []byte) {
	if b.finished {
		return
	}
	b.finished, b.in = true, nil
	delete(b.s.backendConns, b)
	b.s.core.Done(b.r, outcome, now()-b.startedAt, result)
	b.s.scheduleIteration()
	if b.conn != nil {
		closeNow(b.conn)
	}
}
