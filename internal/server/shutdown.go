package server

import (
	"go.uber.org/zap"
)

// The times of a graceful shutdown. Each is shortened where the time from the
// notice to the kill is short: see leavingTimes.
const (
	answerReserveUS = 950_000   // kept for answers between GOAWAY and the stop; the module takes nothing then
	refusalPeriodUS = 1_200_000 // from GOAWAY to the close of the listeners: who comes late is told to stay away
	closeReserveUS  = 500_000   // ... which is this long before the stop at the latest
	exitMarginUS    = 150_000   // the process is gone this long before the stop, whatever is left
)

// shutdownState is how far the end of the process has come. All times but partedAt are set by the notice.
type shutdownState struct {
	killAt           int64 // when the process is killed; 0 = no notice yet
	goAwayAt         int64 // when connections are told to go
	closeListenersAt int64 // when listeners close
	forceAnswerAt    int64 // when all that is still owed is answered, whatever runs
	exitAt           int64 // when the process ends at the latest
	drainedAt        int64 // when nothing was owed any more and connections were shut; 0 = not yet
	goAwaySent       bool  // connections were told
}

// shutdownTimes divides the time from the notice to the kill.
func shutdownTimes(at, stop, grace int64) shutdownState {
	part := func(most, divisor int64) int64 { return min(most, stop/divisor) }
	l := shutdownState{killAt: at + stop}
	l.goAwayAt = at + max(0, min(grace, stop-part(answerReserveUS, 2)))
	l.closeListenersAt = max(l.goAwayAt, min(l.goAwayAt+refusalPeriodUS, l.killAt-part(closeReserveUS, 3)))
	l.exitAt = l.killAt - part(exitMarginUS, 10)
	l.forceAnswerAt = l.exitAt - part(shutdownLingerUS, 10)
	return l
}

// beginShutdown takes in the notice to leave, which came at that time.
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

// advanceShutdown ends the process in steps: at first requests still come and are
// answered, since callers learn late of the drain. Then callers are told to
// go, and what still comes is refused with advice to stay away; a listener that
// is closed would tell them nothing. Then the listeners close, once what waits
// in their queues is taken in, and the remaining answers go out. Last our side
// of every connection is shut, what crosses that is read and passed over, and
// the process ends when all callers have closed theirs or can send nothing more
// that crosses. Whatever is still owed shortly before the stop is answered then.
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
			s.log.Warn("answered at the last moment", zap.Int("requests", n))
		}
		s.flush()
	}
	listened := s.closingListeners.Load() && s.activeListeners == 0 && s.enrolling.Load() == 0
	if s.drainedAt == 0 && (last || listened && s.core.Outstanding() == 0 && s.unsentBytes() == 0 && s.handoverComplete()) {
		s.drainedAt = t
	}
	if s.drainedAt == 0 {
		return
	}
	open := 0
	for h := range s.callerConns {
		if h.closeState().writeShutAt == 0 {
			h.closeGracefully(t)
		}
		open++
	}
	if s.core.Outstanding() > 0 && !last { // a request crossed the end of our side
		s.drainedAt = 0
		return
	}
	if open == 0 && s.core.Outstanding() == 0 || t >= s.drainedAt+shutdownLingerUS && s.core.Outstanding() == 0 && s.allWritesShut() || t >= s.exitAt {
		s.ended.Store(true)
		s.logTotals()
		s.done <- nil
	}
}

// allWritesShut says whether our side of every caller's connection is shut.
func (s *Server) allWritesShut() bool {
	for h := range s.callerConns {
		if h.closeState().writeShutAt == 0 {
			return false
		}
	}
	return true
}

// unsentBytes is the number of bytes of answers that callers have not taken yet.
func (s *Server) unsentBytes() int {
	n := 0
	for h := range s.conns {
		n += h.unsent()
	}
	return n
}
