package server

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"kiteslip"
	"kiteslip/internal/core"
	"kiteslip/internal/reject"
	"kiteslip/internal/wire"
)

// pendingCheck is a deep health check that waits for the engine.
type pendingCheck struct {
	conn     *frameConn
	stream   uint32
	deadline int64
}

// connectEngine starts the search for the engine at the address that holds now. A
// search that is still under way for another address ends.
func (s *Server) connectEngine() {
	if s.cfg.Engine != "" {
		go s.dialEngine(s.engineDialID.Add(1), s.cfg.Engine)
	}
}

// dialEngine tries to reach the engine until a link stands or another search begins.
// Guards both ends against links that break as soon as they stand: however a
// search comes about, tries lie apart.
func (s *Server) dialEngine(search int64, address string) {
	for !s.ended.Load() && s.engineDialID.Load() == search {
		t := now()
		if last := s.engineDialedAt.Swap(t); t-last < engineRedialIntervalUS {
			time.Sleep(time.Duration(engineRedialIntervalUS-(t-last)) * time.Microsecond)
			s.engineDialedAt.Store(now())
		}
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(engineDialTimeout))
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		cancel()
		if err == nil {
			if _, err = s.client.EnrollContext(c, &engineConn{s: s, dialID: search}); err == nil {
				return
			}
		}
		s.log.Debug("engine", zap.Error(err))
	}
}

// Run starts a request where its class is served.
func (s *Server) Run(r *core.Request) {
	if backend := s.cfg.Backends[r.Class]; backend != "" {
		s.callBackend(backend, r)
		return
	}
	s.link.Run(r)
}

// UnexpectedNotice takes in what the engine said that was turned away or names no run here.
func (s *Server) UnexpectedNotice(cause, line string) {
	s.reject(&reject.Error{Cause: cause, Err: fmt.Errorf("engine: %.120q", line)})
}

// Hello takes in that the engine is up.
func (s *Server) Hello(cold bool, up int64) {
	s.log.Info("engine", zap.Bool("cold", cold), zap.Int64("up_ms", up/1000))
	s.core.SetWarmup(cold, now()-up)
}

// Done takes in the end of a run.
func (s *Server) Done(r *core.Request, outcome kiteslip.Outcome, elapsed int64, result []byte) {
	s.core.Done(r, outcome, elapsed, result)
}

// Stats takes in the gauges.
func (s *Server) Stats(values []float32) {
	s.core.SetGauges(wire.GaugesFromValues(values, s.cfg.Gauges))
}

// Tested takes in the end of a deep health check's work.
func (s *Server) Tested(tag string, ok bool) {
	if c, waits := s.pendingChecks[tag]; waits {
		delete(s.pendingChecks, tag)
		c.conn.pendingChecks--
		good, _ := s.health()
		c.conn.answerHealth(c.stream, ok && good)
	}
}

// engineConn is the connection to the engine.
type engineConn struct {
	s            *Server
	conn         gnet.Conn
	dialID       int64 // that found it
	out          [][]byte
	disconnected bool
}

// opened takes the connection into use in place of the one before, which the
// engine no longer minds. What that one still had to say is said again here.
func (e *engineConn) opened(c gnet.Conn) {
	e.conn = c
	// Guards against a link that goes quiet without a word: what the other end's system has not acknowledged for as
	// long as any request may last ends it. Not every system has this; without it the link is as before.
	unix.SetsockoptInt(c.Fd(), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(e.s.maxRequestTimeUS()/1000)) //nolint:errcheck // see above
	if e.dialID != e.s.engineDialID.Load() {
		e.s.onLoop(e.closeNow) // the engine has moved meanwhile
		return
	}
	old := e.s.engine
	if old != nil {
		old.flush()
		e.s.engineLinkLost()
	}
	e.s.engine = e
	e.s.link.Attach(e.send)
	if old != nil {
		old.closeNow()
	}
}

func (e *engineConn) closeNow() {
	if !e.disconnected {
		closeNow(e.conn)
	}
}

func (e *engineConn) unsent() int { return 0 }

// feed takes in notices. Guards against those that a replaced link still
// brings: the same ones come on the link in use, under the same numbers.
func (e *engineConn) feed(b []byte) (int, error) {
	if e.s.engine != e {
		return len(b), nil
	}
	n, err := e.s.link.Feed(b)
	if err != nil {
		e.s.reject(&reject.Error{Cause: "engine_protocol", Err: err})
	}
	return n, err
}

func (e *engineConn) closed() {
	e.disconnected = true
	if e.s.engine != e {
		return
	}
	e.s.engine = nil
	e.s.engineLinkLost()
	if !e.s.ended.Load() {
		if t := now(); t-e.s.linkLossLoggedAt >= linkLossLogIntervalUS { // one that breaks again and again says so once in a while
			e.s.linkLossLoggedAt = t
			e.s.log.Warn("the link to the engine is gone", zap.Int("running", e.s.link.Running()))
		}
		e.s.connectEngine()
	}
}

// engineLinkLost takes in the end of the link in use; deep checks that wait for it fail.
func (s *Server) engineLinkLost() {
	s.link.ConnectionLost()
	for tag := range s.pendingChecks {
		s.Tested(tag, false)
	}
}

func (e *engineConn) send(parts ...[]byte) {
	if len(e.out) == 0 {
		e.s.unflushed = append(e.s.unflushed, e)
	}
	e.out = append(e.out, parts...)
	e.s.scheduleIteration()
}

// flush writes what waits. Guards the descriptor of a closed connection, which
// the system may have given to another one already.
func (e *engineConn) flush() {
	if !e.disconnected {
		e.out = writevAll(e.conn, e.out)
	}
}
