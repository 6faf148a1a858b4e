package publish

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// session is one stream, as the book of followers has it. Its fields are the book's.
type session struct {
	name, region  string
	publisher     bool
	number        uint64
	digest        document.Digest
	refusalReason string
	fork          bool
	leaving       bool
	joined        time.Time
	lastSeen      time.Time
	sentNumber    uint64    // the version that it was sent last
	unackedSince  time.Time // since when it has said nothing to what it was sent; zero = it owes nothing
}

// followerRegistry is who follows, and who did lately. It is bounded by the streams served
// and by mostGone.
type followerRegistry struct {
	mu           sync.Mutex
	connected    map[*session]struct{}
	disconnected map[string]*session // by name; seen is when it went
	forks        int
}

func newFollowerRegistry() *followerRegistry {
	return &followerRegistry{connected: map[*session]struct{}{}, disconnected: map[string]*session{}}
}

// join enters a follower; false = there is no place.
func (b *followerRegistry) join(h *protocol.Hello, now time.Time) *session {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &session{name: h.Name, region: h.Region, publisher: h.Publisher, number: h.Number, digest: h.Digest, joined: now, lastSeen: now}
	if was := b.disconnected[h.Name]; was != nil {
		m.refusalReason = was.refusalReason // until it says otherwise
		delete(b.disconnected, h.Name)
	}
	b.connected[m] = struct{}{}
	return m
}

// leave takes a stream out, and keeps its last state for a while.
func (b *followerRegistry) leave(m *session, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.connected, m)
	for other := range b.connected {
		if other.name == m.name {
			return // it has come back already
		}
	}
	m.lastSeen = now
	if b.disconnected[m.name] = m; len(b.disconnected) > maxDisconnected {
		b.expire(now)
	}
}

// expire drops those gone for long, and the longest gone beyond the bound.
func (b *followerRegistry) expire(now time.Time) {
	var oldest *session
	for name, m := range b.disconnected {
		if now.Sub(m.lastSeen) > disconnectedRetention {
			delete(b.disconnected, name)
		} else if oldest == nil || m.lastSeen.Before(oldest.lastSeen) {
			oldest = m
		}
	}
	if len(b.disconnected) > maxDisconnected {
		delete(b.disconnected, oldest.name)
	}
}

// noteFork notes a fork, and says whether it is news.
func (b *followerRegistry) noteFork(m *session) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.fork {
		return false
	}
	m.fork = true
	b.forks++
	return true
}

// noteAck takes a follower's word over.
func (b *followerRegistry) noteAck(m *session, a *protocol.Ack, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m.number, m.digest, m.lastSeen = a.Number, a.Digest, now
	m.refusalReason = a.RefusalReason[:min(len(a.RefusalReason), maxRefusalBytes)]
	m.leaving = m.leaving || a.Leaving
	if m.refusalReason != "" || m.number >= m.sentNumber {
		m.unackedSince = time.Time{}
	}
}

// noteSent notes that a version went out.
func (b *followerRegistry) noteSent(m *session, number uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m.sentNumber = number
	if m.unackedSince.IsZero() && m.number < number {
		m.unackedSince = now
	}
}

// unackedFor is how long it has owed a word.
func (b *followerRegistry) unackedFor(m *session, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.unackedSince.IsZero() {
		return 0
	}
	return now.Sub(m.unackedSince)
}

// counts are the streams that stand, and the forks seen.
func (b *followerRegistry) counts() (live, forks int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.connected), b.forks
}

// list is who follows, by name.
func (b *followerRegistry) list(v *versionLog, now time.Time) []protocol.Follower {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	lines := make([]protocol.Follower, 0, len(b.connected)+len(b.disconnected))
	for m := range b.connected {
		lines = append(lines, m.describe(v, now, true))
	}
	for _, m := range b.disconnected {
		lines = append(lines, m.describe(v, now, false))
	}
	slices.SortFunc(lines, func(x, y protocol.Follower) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Region, y.Region), cmp.Compare(y.LastSeenAgoMS, x.LastSeenAgoMS))
	})
	return lines
}

// describe words one follower. One that started with nothing lags since it came; one
// that said that it leaves does not lag.
func (m *session) describe(v *versionLog, now time.Time, connected bool) protocol.Follower {
	lag := v.lag(m.number, now)
	if m.number == 0 {
		lag = min(lag, now.Sub(m.joined))
	}
	if m.leaving {
		lag = 0
	}
	return protocol.Follower{Name: m.name, Region: m.region, Publisher: m.publisher, Number: m.number, Digest: m.digest.String(),
		LagMS: roundUpMS(lag), RefusalReason: m.refusalReason, Fork: m.fork, Leaving: m.leaving, Connected: connected, LastSeenAgoMS: now.Sub(m.lastSeen).Milliseconds()}
}

// roundUpMS rounds up: what lags at all does not read as current.
func roundUpMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
