package server

import (
	"cmp"
	"slices"

	"go.uber.org/zap"
)

// Connection slots are few, and callers that hold idle connections must not keep
// others out: each connection has to carry a request soon, and while free slots
// are short, idle connections are evicted.
const (
	firstFrameTimeoutUS = 2_000_000 // for the first whole frame
	frameRestTimeoutUS  = 5_000_000 // for the rest of a partial frame on a connection that has carried an answer
	goAwayLingerUS      = 1_000_000 // from GOAWAY to the close by the server, once no request is open
	evictMinIdleUS      = 100_000   // a connection idle for less than this is not evicted
	freeSlotsDivisor    = 8         // this fraction of the slots is kept free
	silentSlotsDivisor  = 2         // ... and this fraction is taken from silent connections once no slot is free
	reapIntervalUS      = 20_000    // between two checks of all connections
	unsentMemoryDivisor = 8         // unsent answers may take this fraction of the memory
)

var (
	errSilent              = withCause("silent", "nothing that can be answered has come in time")
	errPartialFrameTimeout = withCause("half_frame", "the rest of a frame has not come in time")
)

// idleState says whether a connection can be evicted when slots are short.
type idleState struct {
	since    int64 // when it last carried bytes; 0 = it is in use
	answered bool  // it has carried an answer
}

// reapIdle closes connections that exceed their time limits or that take slots or
// memory without use.
func (s *Server) reapIdle(t int64) {
	if t < s.nextReapAt {
		return
	}
	s.nextReapAt = t + reapIntervalUS
	idleAfter := s.core.IdleTimeout()
	if idleAfter == 0 {
		idleAfter = s.cfg.Policy.IdleAfter
	}
	unsent := 0
	for h := range s.conns {
		if c, ok := h.(callerConn); ok {
			unsent += c.unsent()
		}
		if e, ok := h.(interface{ expire(int64) }); ok {
			e.expire(t)
			continue
		}
		f, ok := h.(*frameConn)
		if !ok {
			continue // the uwsgi front end has its own time limits, see expire
		}
		state, within := f.idle(), int64(firstFrameTimeoutUS)
		if state.answered {
			within = frameRestTimeoutUS // it may carry open requests, and a stall of the machine can split a frame
		}
		switch {
		case f.writeShutAt != 0:
			if t >= f.closeDeadline {
				f.closeNow()
			}
		case f.halfClosed != nil && f.halfClosed.flush() != nil:
			f.closeNow()
		case f.discarding && t >= f.flushDeadline:
			f.closeNow() // the caller does not read its answers
		case f.discarding:
			f.shutWhenDone(t)
		case f.partialSince != 0 && t-f.partialSince >= within:
			f.stopReading(errPartialFrameTimeout)
		case state.since == 0:
		case !state.answered && t-f.openedAt >= firstFrameTimeoutUS:
			if !hasUnread(f.conn) {
				f.stopReading(errSilent)
			}
		case f.goAwaySent && t-max(state.since, f.goAwayAt) >= goAwayLingerUS:
			f.closeGracefully(t)
		case !f.goAwaySent && idleAfter > 0 && t-state.since >= idleAfter && (f.highestStream > 0 || t-state.since >= s.cfg.Policy.IdleAfter):
			f.sendGoAway() // the caller closes, so that no request can race the close
		}
	}
	s.flush()
	if unsent > s.cfg.Limits.MemoryMB<<20/unsentMemoryDivisor {
		s.closeSlowest()
	}
	s.evictIdle(t)
}

// evictIdle closes idle connections until a fraction of the slots is free: first
// those that never carried an answer, then those idle for longest. Otherwise
// clients that connect and stay idle would keep callers out. Connections that
// are being closed free their slots once no request can race the close any more.
func (s *Server) evictIdle(t int64) {
	free := cap(s.slots) - len(s.slots)
	short := max(1, cap(s.slots)/freeSlotsDivisor) - free
	if short <= 0 {
		return
	}
	silent := 0 // this many more silent ones may be evicted, as others wait for their slots
	if free == 0 {
		silent = cap(s.slots)/silentSlotsDivisor - short
	}
	type candidate struct {
		idleState
		h callerConn
	}
	var candidates []candidate
	var closing []callerConn
	for h := range s.callerConns {
		if e := h.closeState(); e.writeShutAt != 0 {
			if t-e.writeShutAt >= inFlightUS {
				closing = append(closing, h)
			}
		} else if state := h.idle(); state.since != 0 && t-state.since >= evictMinIdleUS {
			candidates = append(candidates, candidate{state, h})
		}
	}
	short -= s.closingConns // their slots are about to become free
	for _, h := range closing {
		h.closeNow()
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.answered != b.answered {
			if a.answered {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.since, b.since)
	})
	for _, p := range candidates {
		if short <= 0 && (p.answered || short+silent <= 0) {
			return
		}
		p.h.closeGracefully(t)
		if p.h.closeState().writeShutAt != 0 {
			short--
		}
	}
}

// closeSlowest closes the caller's connection with the most unsent bytes.
func (s *Server) closeSlowest() {
	var slowest callerConn
	for h := range s.callerConns {
		if slowest == nil || h.unsent() > slowest.unsent() {
			slowest = h
		}
	}
	if slowest != nil {
		s.log.Warn("closing", zap.Error(errSlowReader))
		slowest.closeNow()
	}
}
