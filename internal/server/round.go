package server

import (
	"runtime"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"kiteslip/internal/registry"
)

// handler is what a connection's bytes are given to.
type handler interface {
	opened(c gnet.Conn)
	feed(b []byte) (int, error) // returns how many bytes were used
	closed()
	flush()
	unsent() int // bytes that were not taken yet
}

// schedule asks for one round after all that is ready has been read. gnet has
// no hook at the end of a poll; a task queued on the loop runs there.
func (s *Server) schedule() {
	if !s.scheduled {
		s.scheduled = true
		s.onLoop(s.round)
	}
}

// round hands what is ready to the core in one go and carries out what comes back.
func (s *Server) round() {
	if s.over.Load() {
		return
	}
	s.scheduled = false
	t := now()
	requests, _ := s.core.Tracked()
	if requests > 0 && t >= s.statAt {
		s.statAt = t + gaugeEvery
		s.link.RequestStats()
	}
	s.core.Step(t)
	s.flush()
	s.expire(t)
	s.reapIdle(t)
	s.tend(t)
	s.shutDown(t)
	s.report(t)
	s.arm()
	runtime.Gosched() // what is ready beside the loop (connections to hand over) runs once a round
}

// flush writes all that is ready to go.
func (s *Server) flush() {
	for i := 0; i < len(s.dirty); i++ {
		s.dirty[i].flush()
	}
	s.dirty = s.dirty[:0]
}

// arm sets the timer for the next thing that time brings.
func (s *Server) arm() {
	next := s.reportAt
	if at := s.core.NextStep(); at != 0 {
		next = min(next, at)
	}
	if s.stopAt != 0 {
		next = min(next, now()+20_000)
	}
	if s.handing.peer != nil {
		next = min(next, max(s.handing.loadAt, now()))
	}
	if s.webs > 0 || len(s.backends) > 0 {
		next = min(next, max(s.expireAt, now()))
	}
	if next != s.timerAt || next <= now() {
		s.timerAt = next
		s.timer.Reset(max(time.Duration(next-now())*time.Microsecond, 0))
	}
}

// report tells the registry, and now and then the log, how things are.
func (s *Server) report(t int64) {
	if t >= s.reportAt {
		s.reportAt = t + registry.ReportIntervalUS
		s.link.Expire()
		s.guard(t)
		for tag, c := range s.checks {
			if t >= c.until {
				s.Tested(tag, false)
			}
		}
		if s.heartbeat == nil && !s.seeking && t >= s.seekAt && s.cfg.Registry != "" {
			s.reregister()
		}
		if s.heartbeat != nil {
			// Guards against a socket that has become of no use, as its route or its address has: a registry that is
			// down turns every second report away, and that many in a row are no registry's doing.
			if err := s.heartbeat.Report(s.leavesList()); err == nil {
				s.unheard = 0
			} else if s.unheard++; s.unheard < unheardMost {
				s.log.Debug("registry", zap.Error(err))
			} else {
				s.log.Warn("registry", zap.Error(err))
				s.unheard = 0
				s.reregister()
			}
		}
	}
	if t >= s.logAt {
		s.logAt = t + statusEvery
		s.status()
	}
}

// leavesList says whether reports are to take the server off the callers' list:
// it leaves, an operator wants it off, or, where the list follows health, the
// module says that it does no good.
func (s *Server) leavesList() bool {
	good, _ := s.health()
	return s.core.Draining() || s.core.Withdrawn() || s.cfg.ListFollowsHealth && !good
}

func (s *Server) status() {
	n := s.core.Counts()
	requests, keys := s.core.Tracked()
	s.log.Info("totals", zap.Int("read", n.Received), zap.Int("served", n.Served), zap.Int("refused", n.Refused),
		zap.Int("failed", n.Failed), zap.Int("gone", n.Disconnected), zap.Int("guarded", n.PolicyViolations),
		zap.Int("in_hand", requests), zap.Int("keys", keys), zap.Int("connections", len(s.sessions)),
		zap.Int("calling", s.core.CallsInFlight()), s.rejectedFields())
}

// gather writes the parts in as few system calls as they fit into, and
// returns the emptied list for the next ones.
func gather(c outlet, parts [][]byte) [][]byte {
	for rest := parts; len(rest) > 0; {
		n := min(len(rest), iovMost)
		if _, err := c.Writev(rest[:n]); err != nil {
			break // the connection is gone
		}
		rest = rest[n:]
	}
	clear(parts)
	return parts[:0]
}
