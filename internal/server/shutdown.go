package server

import (
	"go.uber.org/zap"
)

// The times of a graceful shutdown. Each is shortened where the time from the
// shutdown notice to the kill is short: see shutdownTimes.
const (
	answerReserveUS = 950_000   // from GOAWAY to the kill, for answers; the policy admits nothing then
	refusalPeriodUS = 1_200_000 // from GOAWAY to the close of the listeners: late callers are refused with retry-after
	closeReserveUS  = 500_000   // ... which comes this long before the kill at the latest
	exitMarginUS    = 150_000   // the process ends this long before the kill, whatever is outstanding
)

// shutdownState is the progress of a graceful shutdown. All times but drainedAt are
// set by the shutdown notice.
type shutdownState struct {
	killAt           int64 // when the platform kills the process; 0 = no shutdown notice yet
	goAwayAt         int64 // when GOAWAY is sent on all connections
	closeListenersAt int64 // when the listeners begin to close
	forceAnswerAt    int64 // when all outstanding requests are answered, whatever still runs
	exitAt           int64 // when the process ends at the latest
	drainedAt        int64 // when no answer was outstanding any more and connections began to close; 0 = not yet
	goAwaySent       bool  // GOAWAY was sent
}

// shutdownTimes divides the time from the shutdown notice, at the instant at, to the
// kill, stop later.
func shutdownTimes(at, stop, grace int64) shutdownState {
	bounded := func(most, divisor int64) int64 { return min(most, stop/divisor) }
	l := shutdownState{killAt: at + stop}
	l.goAwayAt = at + max(0, min(grace, stop-bounded(answerReserveUS, 2)))
	l.closeListenersAt = max(l.goAwayAt, min(l.goAwayAt+refusalPeriodUS, l.killAt-bounded(closeReserveUS, 3)))
	l.exitAt = l.killAt - bounded(exitMarginUS, 10)
	l.forceAnswerAt = l.exitAt - bounded(shutdownLingerUS, 10)
	return l
}

// beginShutdown handles the shutdown notice, which came at the instant at.
func (s *Server) beginShutdown(why string, at int64) {
	if s.killAt != 0 {
		return
	}
	t := now()
	if s.superseded() {
		s.drainSuperseded(t)
		return
	}
	s.shutdownState = shutdownTimes(at, s.cfg.StopTimeoutUS, s.cfg.Policy.DrainGrace)
	s.log.Info("draining", zap.String("signal", why), zap.Int64("stop_ms", s.cfg.StopTimeoutUS/1000), zap.Int64("late_ms", (t-at)/1000))
	s.core.Drain(at, s.killAt)
	s.nextReportAt = 0
	s.runIteration()
}

// advanceShutdown ends the process in steps. At first requests still arrive and are
// run, since callers learn of the shutdown late. Then GOAWAY is sent on all
// connections, and new requests are refused with retry-after advice; a closed
// listener could not give it. Then the listeners close, once the connections in
// their accept queues have been accepted, and the outstanding answers go out. Last
// the write side of every connection is shut, input that races this is read and
// discarded, and the process ends when all callers have closed their side or
// nothing of theirs can be in flight any more. What is still outstanding shortly
// before the kill is answered then.
func (s *Server) advanceShutdown(t int64) {
	if s.killAt == 0 || t < s.goAwayAt {
		return
	}
	if !s.goAwaySent {
		s.goAwaySent = true
		for h := range s.conns {
			if f, ok := h.(*frameConn); ok {
				f.sendGoAway()
			}
		}
		s.flush()
	}
	if t >= s.closeListenersAt && !s.closingListeners.Load() {
		s.drainListeners()
	}
	last := t >= s.forceAnswerAt
	if last {
		if n := s.core.AnswerOutstanding(); n > 0 {
			s.log.Warn("outstanding requests answered shortly before the kill", zap.Int("requests", n))
		}
		s.flush()
	}
	listenersClosed := s.closingListeners.Load() && s.activeListeners == 0 && s.enrolling.Load() == 0
	if s.drainedAt == 0 && (last || listenersClosed && s.core.Outstanding() == 0 && s.unsentBytes() == 0 && s.handoverComplete()) {
		s.drainedAt = t
	}
	if s.drainedAt == 0 {
		return
	}
	remaining := 0
	for h := range s.callerConns {
		if h.closeState().writeShutAt == 0 {
			h.closeGracefully(t)
		}
		remaining++
	}
	if s.core.Outstanding() > 0 && !last { // a request has raced the shutdown of the write side
		s.drainedAt = 0
		return
	}
	if remaining == 0 && s.core.Outstanding() == 0 || t >= s.drainedAt+shutdownLingerUS && s.core.Outstanding() == 0 && s.allWritesShut() || t >= s.exitAt {
		s.ended.Store(true)
		s.logTotals()
		s.done <- nil
	}
}

// allWritesShut reports whether the write side of every caller's connection is shut.
func (s *Server) allWritesShut() bool {
	for h := range s.callerConns {
		if h.closeState().writeShutAt == 0 {
			return false
		}
	}
	return true
}

// unsentBytes is the number of bytes written to connections but not taken by the
// system yet.
func (s *Server) unsentBytes() int {
	n := 0
	for h := range s.conns {
		n += h.unsent()
	}
	return n
}
