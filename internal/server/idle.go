package server

import (
	"cmp"
	"slices"

	"go.uber.org/zap"
)

// Connections are few, and a caller that never lets go of one must not keep
// others out: each has to bring something soon, and while free places are
// short, those that carry nothing make room.
const (
	firstFrameTimeoutUS = 2_000_000 // for the first whole frame
	frameRestTimeoutUS  = 5_000_000 // for the rest of one that has begun, on a connection that was answered before
	goAwayLingerUS      = 1_000_000 // from GOAWAY to the close by us, once nothing is open
	evictMinIdleUS      = 100_000   // a connection that carries nothing for less than this is never closed for its place
	freeSlotsDivisor    = 8         // this part of the places is kept free
	silentSlotsDivisor  = 2         // ... and this part is taken from those that never said a word, once none is free
	reapIntervalUS      = 20_000    // between two looks
	unsentMemoryDivisor = 8         // part of the memory that answers not taken yet may fill
)

var (
	errSilent    = withCause("silent", "nothing that can be answered has come in time")
	errHalfFrame = withCause("half_frame", "the rest of a frame has not come in time")
)

// idleState is what a connection says of itself when places are short.
type idleState struct {
	since    int64 // when it last carried anything; 0 = it is in use
	answered bool  // it was given an answer before
}

// reapIdle closes connections that hold a place, memory or a caller's hope for nothing.
func (s *Server) reapIdle(t int64) {
	if t < s.nextReapAt {
		return
	}
	s.nextReapAt = t + reapIntervalUS
	after := s.core.IdleTimeout()
	if after == 0 {
		after = s.cfg.Policy.IdleAfter
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
			continue // the uwsgi front has times of its own, see expire
		}
		at, within := f.idle(), int64(firstFrameTimeoutUS)
		if at.answered {
			within = frameRestTimeoutUS // it may carry open requests, and a standstill of the machine cuts frames in two
		}
		switch {
		case f.writeShutAt != 0:
			if t >= f.closeDeadline {
				f.closeNow()
			}
		case f.halfClosed != nil && f.halfClosed.flush() != nil:
			f.closeNow()
		case f.discarding && t >= f.flushDeadline:
			f.closeNow() // it does not take what is owed
		case f.discarding:
			f.shutWhenDone(t)
		case f.partialSince != 0 && t-f.partialSince >= within:
			f.stopReading(errHalfFrame)
		case at.since == 0:
		case !at.answered && t-f.openedAt >= firstFrameTimeoutUS:
			if !hasUnread(f.conn) {
				f.stopReading(errSilent)
			}
		case f.goAwaySent && t-max(at.since, f.goAwayAt) >= goAwayLingerUS:
			f.closeGracefully(t)
		case !f.goAwaySent && after > 0 && t-at.since >= after && (f.highestStream > 0 || t-at.since >= s.cfg.Policy.IdleAfter):
			f.sendGoAway() // the caller closes, so that no request can cross
		}
	}
	s.flush()
	if unsent > s.cfg.Limits.MemoryMB<<20/unsentMemoryDivisor {
		s.closeSlowest()
	}
	s.evictIdle(t)
}

// evictIdle ends idle connections until a part of the places is free: first
// those that never brought a thing, then those idle for longest. Guards
// against clients that connect and hold on, until callers are not let in. Those
// whose end is under way leave their places once nothing can cross any more.
func (s *Server) evictIdle(t int64) {
	free := cap(s.slots) - len(s.slots)
	short := max(1, cap(s.slots)/freeSlotsDivisor) - free
	if short <= 0 {
		return
	}
	mute := 0 // that many more may go, of those that never said a word: others wait for their places
	if free == 0 {
		mute = cap(s.slots)/silentSlotsDivisor - short
	}
	type place struct {
		idleState
		h callerConn
	}
	var places []place
	var leaving []callerConn
	for h := range s.callerConns {
		if e := h.closeState(); e.writeShutAt != 0 {
			if t-e.writeShutAt >= inFlightUS {
				leaving = append(leaving, h)
			}
		} else if at := h.idle(); at.since != 0 && t-at.since >= evictMinIdleUS {
			places = append(places, place{at, h})
		}
	}
	short -= s.closingConns // their places come free in a moment
	for _, h := range leaving {
		h.closeNow()
	}
	slices.SortFunc(places, func(a, b place) int {
		if a.answered != b.answered {
			if a.answered {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.since, b.since)
	})
	for _, p := range places {
		if short <= 0 && (p.answered || short+mute <= 0) {
			return
		}
		p.h.closeGracefully(t)
		if p.h.closeState().writeShutAt != 0 {
			short--
		}
	}
}

// closeSlowest closes the caller's connection that most answers wait for.
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
