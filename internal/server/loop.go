package server

import (
	"runtime"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"kiteslip/internal/registry"
)

// handler handles the events of one connection; all methods are called on the loop.
type handler interface {
	opened(c gnet.Conn)
	feed(b []byte) (int, error) // handles input; returns how many bytes were used
	closed()
	flush()
	unsent() int // bytes of output that the system has not taken yet
}

// scheduleIteration queues one loop iteration for after all that is ready has been
// read. gnet has no hook at the end of a poll, but runs queued tasks there.
func (s *Server) scheduleIteration() {
	if !s.scheduled {
		s.scheduled = true
		s.onLoop(s.runIteration)
	}
}

// runIteration passes all that is ready to the core in one step, carries out the
// results and does the periodic work.
func (s *Server) runIteration() {
	if s.ended.Load() {
		return
	}
	s.scheduled = false
	t := now()
	requests, _ := s.core.Tracked()
	if requests > 0 && t >= s.nextGaugeAt {
		s.nextGaugeAt = t + gaugeIntervalUS
		s.link.RequestStats()
	}
	s.core.Step(t)
	s.flush()
	s.expire(t)
	s.reapIdle(t)
	s.advanceUpgrade(t)
	s.advanceShutdown(t)
	s.report(t)
	s.armTimer()
	runtime.Gosched() // lets other goroutines (which enrol connections) run once per iteration
}

// flush writes the queued output of all connections.
func (s *Server) flush() {
	for i := 0; i < len(s.unflushed); i++ {
		s.unflushed[i].flush()
	}
	s.unflushed = s.unflushed[:0]
}

// armTimer sets the timer for the next periodic work or timeout.
func (s *Server) armTimer() {
	next := s.nextReportAt
	if at := s.core.NextStep(); at != 0 {
		next = min(next, at)
	}
	if s.killAt != 0 {
		next = min(next, now()+20_000)
	}
	if s.upgrade.peer != nil {
		next = min(next, max(s.upgrade.nextLoadAt, now()))
	}
	if s.uwsgiConns > 0 || len(s.backendConns) > 0 {
		next = min(next, max(s.nextExpiryAt, now()))
	}
	if next != s.timerAt || next <= now() {
		s.timerAt = next
		s.timer.Reset(max(time.Duration(next-now())*time.Microsecond, 0))
	}
}

// report sends the state to the registry and logs the totals, each at its interval.
func (s *Server) report(t int64) {
	if t >= s.nextReportAt {
		s.nextReportAt = t + registry.ReportIntervalUS
		s.link.Expire()
		s.watchKeyOwner(t)
		for tag, c := range s.pendingChecks {
			if t >= c.deadline {
				s.Tested(tag, false)
			}
		}
		if s.heartbeat == nil && !s.registryDialing && t >= s.nextRegistryDialAt && s.cfg.Registry != "" {
			s.reconnectRegistry()
		}
		if s.heartbeat != nil {
			// Replaces a socket that can no longer send, for instance after a change of route or address. A registry that
			// is down makes only every second report fail, so this many failures in a row have another reason.
			if err := s.heartbeat.Report(s.reportsDraining()); err == nil {
				s.failedReports = 0
			} else if s.failedReports++; s.failedReports < maxFailedReports {
				s.log.Debug("registry", zap.Error(err))
			} else {
				s.log.Warn("registry", zap.Error(err))
				s.failedReports = 0
				s.reconnectRegistry()
			}
		}
	}
	if t >= s.nextStatusAt {
		s.nextStatusAt = t + statusIntervalUS
		s.logTotals()
	}
}

// reportsDraining says whether reports are to take the server off the
// registry's list: it shuts down, an operator has withdrawn it, or, where the list
// follows health, the policy reports it as unhealthy.
func (s *Server) reportsDraining() bool {
	good, _ := s.health()
	return s.core.Draining() || s.core.Withdrawn() || s.cfg.ListFollowsHealth && !good
}

// logTotals logs the counts since the start.
func (s *Server) logTotals() {
	n := s.core.Counts()
	requests, keys := s.core.Tracked()
	s.log.Info("totals", zap.Int("read", n.Received), zap.Int("served", n.Served), zap.Int("refused", n.Refused),
		zap.Int("failed", n.Failed), zap.Int("gone", n.Disconnected), zap.Int("guarded", n.PolicyViolations),
		zap.Int("in_hand", requests), zap.Int("keys", keys), zap.Int("connections", len(s.conns)),
		zap.Int("calling", s.core.CallsInFlight()), s.rejectedFields())
}

// writevAll writes the parts in as few system calls as possible and returns
// the emptied list for reuse.
func writevAll(c answerWriter, parts [][]byte) [][]byte {
	for rest := parts; len(rest) > 0; {
		n := min(len(rest), maxIovecs)
		if _, err := c.Writev(rest[:n]); err != nil {
			break // the connection is broken; its close is reported separately
		}
		rest = rest[n:]
	}
	clear(parts)
	return parts[:0]
}
