package publish

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// session is one stream, as the registry has it. Its fields are guarded by the
// registry's lock.
type session struct {
	name, region  string
	publisher     bool
	number        uint64 // in force at the follower, as it last acknowledged
	digest        document.Digest
	refusalReason string
	fork          bool
	leaving       bool
	joined        time.Time
	lastSeen      time.Time // when it last sent anything, or disconnected
	sentNumber    uint64    // the version that it was sent last
	unackedSince  time.Time // when the first version without an acknowledgement was sent; zero = none
}

// followerRegistry has the connected followers and those that disconnected lately.
// It is bounded by the streams served and by maxDisconnected.
type followerRegistry struct {
	mu           sync.Mutex
	connected    map[*session]struct{}
	disconnected map[string]*session // by name
	forks        int
}

// newFollowerRegistry returns an empty registry.
func newFollowerRegistry() *followerRegistry {
	return &followerRegistry{connected: map[*session]struct{}{}, disconnected: map[string]*session{}}
}

// join adds a connected follower.
func (r *followerRegistry) join(h *protocol.Hello, now time.Time) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &session{name: h.Name, region: h.Region, publisher: h.Publisher, number: h.Number, digest: h.Digest, joined: now, lastSeen: now}
	if previous := r.disconnected[h.Name]; previous != nil {
		s.refusalReason = previous.refusalReason // until its next acknowledgement
		delete(r.disconnected, h.Name)
	}
	r.connected[s] = struct{}{}
	return s
}

// leave removes a stream, and lists its last state for a while.
func (r *followerRegistry) leave(s *session, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connected, s)
	for other := range r.connected {
		if other.name == s.name {
			return // it has reconnected already
		}
	}
	s.lastSeen = now
	if r.disconnected[s.name] = s; len(r.disconnected) > maxDisconnected {
		r.expire(now)
	}
}

// expire drops those that disconnected long ago, and the oldest one beyond the
// bound.
func (r *followerRegistry) expire(now time.Time) {
	var oldest *session
	for name, s := range r.disconnected {
		if now.Sub(s.lastSeen) > disconnectedRetention {
			delete(r.disconnected, name)
		} else if oldest == nil || s.lastSeen.Before(oldest.lastSeen) {
			oldest = s
		}
	}
	if len(r.disconnected) > maxDisconnected {
		delete(r.disconnected, oldest.name)
	}
}

// noteFork records a fork, and reports whether it is the first on this stream.
func (r *followerRegistry) noteFork(s *session) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.fork {
		return false
	}
	s.fork = true
	r.forks++
	return true
}

// noteAck records an acknowledgement.
func (r *followerRegistry) noteAck(s *session, a *protocol.Ack, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.number, s.digest, s.lastSeen = a.Number, a.Digest, now
	s.refusalReason = a.RefusalReason[:min(len(a.RefusalReason), maxRefusalBytes)]
	s.leaving = s.leaving || a.Leaving
	if s.refusalReason != "" || s.number >= s.sentNumber {
		s.unackedSince = time.Time{}
	}
}

// noteSent records that a version was sent.
func (r *followerRegistry) noteSent(s *session, number uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.sentNumber = number
	if s.unackedSince.IsZero() && s.number < number {
		s.unackedSince = now
	}
}

// unackedFor is how long a version has been without an acknowledgement.
func (r *followerRegistry) unackedFor(s *session, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.unackedSince.IsZero() {
		return 0
	}
	return now.Sub(s.unackedSince)
}

// counts returns the connected streams, and the forks seen since the start.
func (r *followerRegistry) counts() (connected, forks int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connected), r.forks
}

// list returns all followers, by name.
func (r *followerRegistry) list(v *versionLog, now time.Time) []protocol.Follower {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	followers := make([]protocol.Follower, 0, len(r.connected)+len(r.disconnected))
	for s := range r.connected {
		followers = append(followers, s.describe(v, now, true))
	}
	for _, s := range r.disconnected {
		followers = append(followers, s.describe(v, now, false))
	}
	slices.SortFunc(followers, func(x, y protocol.Follower) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Region, y.Region), cmp.Compare(y.LastSeenAgoMS, x.LastSeenAgoMS))
	})
	return followers
}

// describe returns a follower's line. A follower that started without a version lags
// since it connected; one that is shutting down does not lag.
func (s *session) describe(v *versionLog, now time.Time, connected bool) protocol.Follower {
	lag := v.lag(s.number, now)
	if s.number == 0 {
		lag = min(lag, now.Sub(s.joined))
	}
	if s.leaving {
		lag = 0
	}
	return protocol.Follower{Name: s.name, Region: s.region, Publisher: s.publisher, Number: s.number, Digest: s.digest.String(),
		LagMS: roundUpMS(lag), RefusalReason: s.refusalReason, Fork: s.fork, Leaving: s.leaving, Connected: connected, LastSeenAgoMS: now.Sub(s.lastSeen).Milliseconds()}
}

// roundUpMS rounds up to milliseconds, so that any lag is shown as more than 0.
func roundUpMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
