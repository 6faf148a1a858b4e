package server

import (
	"go.uber.org/zap"
)

// The times of a graceful shutdown. Each is shortened where the time from the
// notice to the kill is short: see leavingTimes.
const (
	answerTime = 950_000   // kept for answers between GOAWAY and the stop; the module takes nothing then
	refuseTime = 1_200_000 // from GOAWAY to the close of the listeners: who comes late is told to stay away
	closeTime  = 500_000   // ... which is this long before the stop at the latest
	exitMargin = 150_000   // the process is gone this long before the stop, whatever is left
)

// leaving is how far the end of the process has come. All times but partedAt are set by the notice.
type leaving struct {
	stopAt   int64 // when the process is killed; 0 = no notice yet
	awayAt   int64 // when connections are told to go
	closeAt  int64 // when listeners close
	lastAt   int64 // when all that is still owed is answered, whatever runs
	exitAt   int64 // when the process ends at the latest
	partedAt int64 // when nothing was owed any more and connections were shut; 0 = not yet
	away     bool  // connections were told
}

// leavingTimes divides the time from the notice to the kill.
func leavingTimes(at, stop, grace int64) leaving {
	part := func(most, divisor int64) int64 { return min(most, stop/divisor) }
	l := leaving{stopAt: at + stop}
	l.awayAt = at + max(0, min(grace, stop-part(answerTime, 2)))
	l.closeAt = max(l.awayAt, min(l.awayAt+refuseTime, l.stopAt-part(closeTime, 3)))
	l.exitAt = l.stopAt - part(exitMargin, 10)
	l.lastAt = l.exitAt - part(lingerClose, 10)
	return l
}

// drain takes in the notice to leave, which came at that time.
func (s *Server) drain(why string, at int64) {
	if s.stopAt != 0 {
		return
	}
	t := now()
	if s.replaced() {
		s.handOff(t)
		return
	}
	s.leaving = leavingTimes(at, s.cfg.StopTimeoutUS, s.cfg.Policy.DrainGrace)
	s.log.Info("draining", zap.String("signal", why), zap.Int64("stop_ms", s.cfg.StopTimeoutUS/1000), zap.Int64("late_ms", (t-at)/1000))
	s.core.Drain(at, s.stopAt)
	s.reportAt = 0
	s.round()
}

// shutDown ends the process in steps: at first requests still come and are
// answered, since callers learn late of the drain. Then callers are told to
// go, and what still comes is refused with advice to stay away; a listener that
// is closed would tell them nothing. Then the listeners close, once what waits
// in their queues is taken in, and the remaining answers go out. Last our side
// of every connection is shut, what crosses that is read and passed over, and
// the process ends when all callers have closed theirs or can send nothing more
// that crosses. Whatever is still owed shortly before the stop is answered then.
func (s *Server) shutDown(t int64) {
	if s.stopAt == 0 || t < s.awayAt {
		return
	}
	if !s.away {
		s.away = true
		for h := range s.sessions {
			if f, ok := h.(*session); ok {
				f.goAway()
			}
		}
		s.flush()
	}
	if t >= s.closeAt && !s.stopping.Load() {
		s.endListening()
	}
	last := t >= s.lastAt
	if last {
		if n := s.core.AnswerOutstanding(); n > 0 {
			s.log.Warn("answered at the last moment", zap.Int("requests", n))
		}
		s.flush()
	}
	listened := s.stopping.Load() && s.accepting == 0 && s.entering.Load() == 0
	if s.partedAt == 0 && (last || listened && s.core.Outstanding() == 0 && s.unsent() == 0 && s.emptied()) {
		s.partedAt = t
	}
	if s.partedAt == 0 {
		return
	}
	open := 0
	for h := range s.clients {
		if h.end().shutAt == 0 {
			h.part(t)
		}
		open++
	}
	if s.core.Outstanding() > 0 && !last { // a request crossed the end of our side
		s.partedAt = 0
		return
	}
	if open == 0 && s.core.Outstanding() == 0 || t >= s.partedAt+lingerClose && s.core.Outstanding() == 0 && s.parted() || t >= s.exitAt {
		s.over.Store(true)
		s.status()
		s.done <- nil
	}
}

// parted says whether our side of every caller's connection is shut.
func (s *Server) parted() bool {
	for h := range s.clients {
		if h.end().shutAt == 0 {
			return false
		}
	}
	return true
}

// unsent is the number of bytes of answers that callers have not taken yet.
func (s *Server) unsent() int {
	n := 0
	for h := range s.sessions {
		n += h.unsent()
	}
	return n
}
