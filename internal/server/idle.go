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
	firstWord  = 2_000_000 // for the first whole frame
	restOf     = 5_000_000 // for the rest of one that has begun, on a connection that was answered before
	awayLinger = 1_000_000 // from GOAWAY to the close by us, once nothing is open
	settled    = 100_000   // a connection that carries nothing for less than this is never closed for its place
	freeShare  = 8         // this part of the places is kept free
	mutePart   = 2         // ... and this part is taken from those that never said a word, once none is free
	reapEvery  = 20_000    // between two looks
	unsentPart = 8         // part of the memory that answers not taken yet may fill
)

var (
	errSilent = caused("silent", "nothing that can be answered has come in time")
	errPart   = caused("half_frame", "the rest of a frame has not come in time")
)

// idle is what a connection says of itself when places are short.
type idle struct {
	since  int64 // when it last carried anything; 0 = it is in use
	served bool  // it was given an answer before
}

// reapIdle closes connections that hold a place, memory or a caller's hope for nothing.
func (s *Server) reapIdle(t int64) {
	if t < s.reapAt {
		return
	}
	s.reapAt = t + reapEvery
	after := s.core.IdleTimeout()
	if after == 0 {
		after = s.cfg.Policy.IdleAfter
	}
	unsent := 0
	for h := range s.sessions {
		if c, ok := h.(clientConn); ok {
			unsent += c.unsent()
		}
		if e, ok := h.(interface{ expire(int64) }); ok {
			e.expire(t)
			continue
		}
		f, ok := h.(*session)
		if !ok {
			continue // the uwsgi front has times of its own, see expire
		}
		at, within := f.idle(), int64(firstWord)
		if at.served {
			within = restOf // it may carry open requests, and a standstill of the machine cuts frames in two
		}
		switch {
		case f.shutAt != 0:
			if t >= f.until {
				f.hangUp()
			}
		case f.half != nil && f.half.push() != nil:
			f.hangUp()
		case f.deaf && t >= f.endBy:
			f.hangUp() // it does not take what is owed
		case f.deaf:
			f.settle(t)
		case f.partAt != 0 && t-f.partAt >= within:
			f.quit(errPart)
		case at.since == 0:
		case !at.served && t-f.openedAt >= firstWord:
			if !unread(f.conn) {
				f.quit(errSilent)
			}
		case f.away && t-max(at.since, f.awayAt) >= awayLinger:
			f.part(t)
		case !f.away && after > 0 && t-at.since >= after && (f.highest > 0 || t-at.since >= s.cfg.Policy.IdleAfter):
			f.goAway() // the caller closes, so that no request can cross
		}
	}
	s.flush()
	if unsent > s.cfg.Limits.MemoryMB<<20/unsentPart {
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
	short := max(1, cap(s.slots)/freeShare) - free
	if short <= 0 {
		return
	}
	mute := 0 // that many more may go, of those that never said a word: others wait for their places
	if free == 0 {
		mute = cap(s.slots)/mutePart - short
	}
	type place struct {
		idle
		h clientConn
	}
	var places []place
	var leaving []clientConn
	for h := range s.clients {
		if e := h.end(); e.shutAt != 0 {
			if t-e.shutAt >= crossing {
				leaving = append(leaving, h)
			}
		} else if at := h.idle(); at.since != 0 && t-at.since >= settled {
			places = append(places, place{at, h})
		}
	}
	short -= s.lingering // their places come free in a moment
	for _, h := range leaving {
		h.hangUp()
	}
	slices.SortFunc(places, func(a, b place) int {
		if a.served != b.served {
			if a.served {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.since, b.since)
	})
	for _, p := range places {
		if short <= 0 && (p.served || short+mute <= 0) {
			return
		}
		p.h.part(t)
		if p.h.end().shutAt != 0 {
			short--
		}
	}
}

// closeSlowest closes the caller's connection that most answers wait for.
func (s *Server) closeSlowest() {
	var slowest clientConn
	for h := range s.clients {
		if slowest == nil || h.unsent() > slowest.unsent() {
			slowest = h
		}
	}
	if slowest != nil {
		s.log.Warn("closing", zap.Error(errSlow))
		slowest.hangUp()
	}
}
