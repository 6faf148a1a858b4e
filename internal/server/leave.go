package server

import (
	"fmt"

	"go.uber.org/zap"
)

// drain takes in the notice to leave.
func (s *Server) drain(why string) {
	if s.stopAt != 0 {
		return
	}
	t := now()
	if s.replaced() {
		s.handOff(t)
		return
	}
	s.stopAt = t + s.cfg.Stop
	s.awayAt = t + max(0, min(s.cfg.Module.DrainGrace, s.cfg.Stop-answerTime))
	s.closeAt = max(s.awayAt, min(s.awayAt+refuseTime, s.stopAt-closeTime))
	s.log.Info("draining", zap.String("signal", why), zap.Int64("stop_ms", s.cfg.Stop/1000))
	s.core.Drain(t, s.stopAt)
	s.reportAt = 0
	s.round()
}

// leave ends the process in steps: at first requests still come and are
// answered, since callers learn late of the drain. Then callers are told to
// go, and what still comes is refused with advice to stay away; a listener that
// is closed would tell them nothing. Last the listeners close, and the
// remaining answers go out.
func (s *Server) leave(t int64) {
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
		s.unlisten()
	}
	quiet := t >= s.closeAt+lingerClose && s.core.Owed() == 0 && s.unsent() == 0 && s.emptied()
	if quiet || t >= s.stopAt-exitMargin {
		s.over.Store(true)
		s.status()
		var err error
		if owed := s.core.Owed(); owed > 0 {
			err = fmt.Errorf("stopped with %d requests unanswered", owed)
		}
		s.done <- err
	}
}

// unsent is the number of bytes of answers that callers have not taken yet.
func (s *Server) unsent() int {
	n := 0
	for h := range s.sessions {
		n += h.unsent()
	}
	return n
}
