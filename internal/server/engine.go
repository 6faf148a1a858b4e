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

// connectEngine begins to dial the engine at the configured address. An attempt
// that is still in progress for another address ends.
func (s *Server) connectEngine() {
	if s.cfg.Engine != "" {
		go s.dialEngine(s.engineDialID.Add(1), s.cfg.Engine)
	}
}

// dialEngine dials the engine until it is connected or a later attempt begins.
// Dials are at least engineRedialIntervalUS apart, across attempts too, so that
// links that break as soon as they are established load neither end.
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

// Run starts a request on the engine, or on the backend of its class.
func (s *Server) Run(r *core.Request) {
	if backend := s.cfg.Backends[r.Class]; backend != "" {
		s.callBackend(backend, r)
		return
	}
	s.link.Run(r)
}

// UnexpectedNotice counts a message of the engine that was rejected or names no run
// of this process.
func (s *Server) UnexpectedNotice(cause, line string) {
	s.reject(&reject.Error{Cause: cause, Err: fmt.Errorf("engine: %.120q", line)})
}

// Hello handles the engine's message that it is running, since up microseconds, and
// whether its cores are cold.
func (s *Server) Hello(cold bool, up int64) {
	s.log.Info("engine", zap.Bool("cold", cold), zap.Int64("up_ms", up/1000))
	s.core.SetWarmup(cold, now()-up)
}

// Done handles the end of a run.
func (s *Server) Done(r *core.Request, outcome kiteslip.Outcome, elapsed int64, result []byte) {
	s.core.Done(r, outcome, elapsed, result)
}

// Stats handles the engine's gauges.
func (s *Server) Stats(values []float32) {
	s.core.SetGauges(wire.GaugesFromValues(values, s.cfg.Gauges))
}

// Tested handles the end of a deep health check's test work.
func (s *Server) Tested(tag string, ok bool) {
	if c, pending := s.pendingChecks[tag]; pending {
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
	dialID       int64 // of the attempt that established it
	out          [][]byte
	disconnected bool
}

// opened replaces the connection in use, to which the engine no longer listens.
// Notices that the old one still had to deliver are repeated on the new one.
func (e *engineConn) opened(c gnet.Conn) {
	e.conn = c
	// Detects a link that has become silent: it ends when data stays unacknowledged by the other end's system for
	// longer than any request may last. Systems without this option keep such a link until TCP gives up.
	unix.SetsockoptInt(c.Fd(), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(e.s.maxRequestTimeUS()/1000)) //nolint:errcheck // optional, see above
	if e.dialID != e.s.engineDialID.Load() {
		e.s.onLoop(e.closeNow) // the engine's address has changed meanwhile
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

// feed handles the engine's messages. Those on a replaced connection are ignored:
// the same ones arrive on the connection in use, under the same numbers.
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
		if t := now(); t-e.s.linkLossLoggedAt >= linkLossLogIntervalUS { // a link that breaks repeatedly is logged once per interval
			e.s.linkLossLoggedAt = t
			e.s.log.Warn("engine link lost", zap.Int("running", e.s.link.Running()))
		}
		e.s.connectEngine()
	}
}

// engineLinkLost handles the end of the link in use; deep health checks that wait
// for it fail.
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

// flush writes the queued output. It does not touch a closed connection, whose
// descriptor the system may have given to another one already.
func (e *engineConn) flush() {
	if !e.disconnected {
		e.out = writevAll(e.conn, e.out)
	}
}
