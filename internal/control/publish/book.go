package publish

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// member is one stream, as the book of followers has it. Its fields are the book's.
type member struct {
	name, region string
	publisher    bool
	number       uint64
	digest       document.Digest
	refused      string
	fork         bool
	leaving      bool
	joined       time.Time
	seen         time.Time
	sent         uint64    // the version that it was sent last
	owes         time.Time // since when it has said nothing to what it was sent; zero = it owes nothing
}

// book is who follows, and who did lately. It is bounded by the streams served
// and by mostGone.
type book struct {
	mu    sync.Mutex
	live  map[*member]struct{}
	gone  map[string]*member // by name; seen is when it went
	forks int
}

func newBook() *book { return &book{live: map[*member]struct{}{}, gone: map[string]*member{}} }

// join enters a follower; false = there is no place.
func (b *book) join(h *protocol.Hello, now time.Time) *member {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &member{name: h.Name, region: h.Region, publisher: h.Publisher, number: h.Number, digest: h.Digest, joined: now, seen: now}
	if was := b.gone[h.Name]; was != nil {
		m.refused = was.refused // until it says otherwise
		delete(b.gone, h.Name)
	}
	b.live[m] = struct{}{}
	return m
}

// leave takes a stream out, and keeps its last state for a while.
func (b *book) leave(m *member, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.live, m)
	for other := range b.live {
		if other.name == m.name {
			return // it has come back already
		}
	}
	m.seen = now
	if b.gone[m.name] = m; len(b.gone) > mostGone {
		b.expire(now)
	}
}

// expire drops those gone for long, and the longest gone beyond the bound.
func (b *book) expire(now time.Time) {
	var oldest *member
	for name, m := range b.gone {
		if now.Sub(m.seen) > keepFollowers {
			delete(b.gone, name)
		} else if oldest == nil || m.seen.Before(oldest.seen) {
			oldest = m
		}
	}
	if len(b.gone) > mostGone {
		delete(b.gone, oldest.name)
	}
}

// forked notes a fork, and says whether it is news.
func (b *book) forked(m *member) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.fork {
		return false
	}
	m.fork = true
	b.forks++
	return true
}

// said takes a follower's word over.
func (b *book) said(m *member, a *protocol.Ack, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m.number, m.digest, m.seen = a.Number, a.Digest, now
	m.refused = a.RefusalReason[:min(len(a.RefusalReason), mostRefused)]
	m.leaving = m.leaving || a.Leaving
	if m.refused != "" || m.number >= m.sent {
		m.owes = time.Time{}
	}
}

// sent notes that a version went out.
func (b *book) sent(m *member, number uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m.sent = number
	if m.owes.IsZero() && m.number < number {
		m.owes = now
	}
}

// owing is how long it has owed a word.
func (b *book) owing(m *member, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.owes.IsZero() {
		return 0
	}
	return now.Sub(m.owes)
}

// counts are the streams that stand, and the forks seen.
func (b *book) counts() (live, forks int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.live), b.forks
}

// list is who follows, by name.
func (b *book) list(v *versions, now time.Time) []protocol.Follower {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	lines := make([]protocol.Follower, 0, len(b.live)+len(b.gone))
	for m := range b.live {
		lines = append(lines, m.line(v, now, true))
	}
	for _, m := range b.gone {
		lines = append(lines, m.line(v, now, false))
	}
	slices.SortFunc(lines, func(x, y protocol.Follower) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Region, y.Region), cmp.Compare(y.LastSeenAgoMS, x.LastSeenAgoMS))
	})
	return lines
}

// line words one follower. One that started with nothing lags since it came; one
// that said that it leaves does not lag.
func (m *member) line(v *versions, now time.Time, connected bool) protocol.Follower {
	lag := v.behind(m.number, now)
	if m.number == 0 {
		lag = min(lag, now.Sub(m.joined))
	}
	if m.leaving {
		lag = 0
	}
	return protocol.Follower{Name: m.name, Region: m.region, Publisher: m.publisher, Number: m.number, Digest: m.digest.String(),
		LagMS: lagMS(lag), RefusalReason: m.refused, Fork: m.fork, Leaving: m.leaving, Connected: connected, LastSeenAgoMS: now.Sub(m.seen).Milliseconds()}
}

// lagMS rounds up: what lags at all does not read as current.
func lagMS(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
