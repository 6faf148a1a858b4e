package follow

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kiteslip/internal/control/protocol"
)

// The times of the search for a publisher. All faults are to heal within 6 s:
// silence is seen after 2.5 s, a try takes 1 s at most, and the rest is waits.
const (
	initialJitter   = 250 * time.Millisecond // the most that a follower waits between tries at first
	maxJitter       = 1500 * time.Millisecond
	minSteadyTime   = 5 * time.Second  // a stream that stood for less is no reason to begin with short waits
	minReturnPause  = 20 * time.Second // before a better publisher is looked for while one is followed
	maxReturnPause  = 60 * time.Second
	minExclusion    = 1500 * time.Millisecond // for what a publisher sent that is faulty, doubled twice each time
	maxExclusion    = 60 * time.Second
	strikeRetention = 2 * time.Minute
)

// selector decides which publisher a follower turns to: values in, values out. It
// does no I/O and has no clock; now is the time since any fixed moment. The
// publishers go by their places in Settings.Publishers.
//
// Each follower has an order of its own: the publishers of its region by
// rendezvous hashing of its name, then the others likewise, so that followers
// spread over those that are there, and each goes elsewhere when one is gone. A
// publisher that follows has the originator first.
type selector struct {
	order      []int
	nearCount  int // so many of the order are worth returning to
	relay      bool
	rng        *rand.Rand
	publishers []publisherState // by place

	active        int           // whose stream stands; -1 = none
	establishedAt time.Duration // when it came to stand
	round         int           // how often all have been tried since a stream stood
	failures      int           // failures since a stream was steady
	retryNext     int           // to be tried at once; -1 = none

	originatorLost bool  // the one that is followed does not hear the originator
	probes         []int // to be asked in turn, while one is followed, whether they do better
	probeAt        time.Duration

	adjustPause func(time.Duration) time.Duration // what becomes of the long waits
}

// publisherState is what is known of one publisher.
type publisherState struct {
	tried         bool // in this round
	strikes       int
	lastStrike    time.Duration
	excludedUntil time.Duration // not before then, unless all are barred
}

// attempt is what to do next: turn to a publisher after a wait, which was drawn from 0 to within.
type attempt struct {
	publisher     int
	wait, maxWait time.Duration
}

func newSelector(set *Settings) *selector {
	s := &selector{relay: set.Relay, active: -1, retryNext: -1, publishers: make([]publisherState, len(set.Publishers)),
		adjustPause: func(d time.Duration) time.Duration { return d },
		rng:         rand.New(rand.NewPCG(set.Seed, xxhash.Sum64String(set.Name)))}
	score := make([]uint64, len(set.Publishers))
	for i := range set.Publishers {
		s.order = append(s.order, i)
		score[i] = xxhash.Sum64String(set.Name + "\x00" + set.Publishers[i].Address)
	}
	class := func(i int) int {
		switch {
		case set.Relay && i == 0:
			return 0
		case set.Publishers[i].Region == set.Region:
			return 1
		}
		return 2
	}
	slices.SortFunc(s.order, func(a, b int) int {
		if c := class(a) - class(b); c != 0 {
			return c
		}
		if score[a] > score[b] {
			return -1
		}
		return 1
	})
	for i := range s.order {
		if class(i) < 2 && !set.Relay || set.Relay && i == 0 {
			s.nearCount++
		}
	}
	if s.nearCount == 0 { // there is none of its region: one is as near as another
		s.nearCount = len(s.order)
	}
	return s
}

// jitter is a draw from 0 to most.
func (s *selector) jitter(most time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(most) + 1))
}

// next says which publisher to turn to while none is followed.
func (s *selector) next(now time.Duration) attempt {
	if p := s.retryNext; p >= 0 {
		s.retryNext = -1
		return attempt{publisher: p}
	}
	within := time.Duration(0)
	if s.failures > 0 {
		within = min(initialJitter<<min(s.round, 8), maxJitter)
	}
	if p := s.best(now); p >= 0 {
		return attempt{p, s.jitter(within), within}
	}
	s.round++
	for i := range s.publishers {
		s.publishers[i].tried = false
	}
	if s.failures > 0 {
		within = min(initialJitter<<min(s.round, 8), maxJitter)
	}
	if p := s.best(now); p >= 0 {
		return attempt{p, s.jitter(within), within}
	}
	first := s.order[0] // all are barred: the one whose time is up first
	for _, p := range s.order {
		if s.publishers[p].excludedUntil < s.publishers[first].excludedUntil {
			first = p
		}
	}
	return attempt{first, s.publishers[first].excludedUntil - now + s.jitter(within), within}
}

// best is the first in order that was not tried in this round; -1 = none.
func (s *selector) best(now time.Duration) int {
	for _, p := range s.order {
		if c := &s.publishers[p]; !c.tried && c.excludedUntil <= now {
			return p
		}
	}
	return -1
}

// retry notes that a stream has ended that is to be opened again at once.
func (s *selector) retry(p int) {
	s.active, s.retryNext = -1, p
}

// failed notes that a try has failed, or that the stream that stood has ended.
// faulty says that what came was no version that anybody can act on.
func (s *selector) failed(now time.Duration, p int, faulty bool) {
	if s.active == p {
		s.active = -1
		if now-s.establishedAt >= minSteadyTime {
			s.resetBackoff()
		}
	}
	s.failures++
	s.publishers[p].tried = true
	if faulty {
		s.exclude(now, p)
	}
}

func (s *selector) resetBackoff() {
	s.round, s.failures = 0, 0
	for i := range s.publishers {
		s.publishers[i].tried = false
	}
}

func (s *selector) exclude(now time.Duration, p int) {
	c := &s.publishers[p]
	if c.strikes > 0 && now-c.lastStrike > strikeRetention {
		c.strikes = 0
	}
	bar := min(minExclusion<<min(2*c.strikes, 16), maxExclusion)
	c.strikes++
	c.lastStrike, c.excludedUntil = now, now+bar/2+s.jitter(bar/2)
}

// established notes that a publisher has begun to speak: it is followed from now on.
func (s *selector) established(now time.Duration, p int) {
	s.active, s.establishedAt, s.originatorLost = p, now, false
	s.planProbes(now)
}

// originatorSilence notes how long the publisher that is followed has not heard the originator.
func (s *selector) originatorSilence(now, unheard time.Duration) {
	if orphan := unheard >= protocol.OriginatorTimeout; orphan != s.originatorLost {
		s.originatorLost = orphan
		s.planProbes(now)
	}
}

// planProbes lists those that may do better than the one that is followed.
func (s *selector) planProbes(now time.Duration) {
	s.probes = s.probes[:0]
	for rank, p := range s.order {
		if p == s.active {
			if !s.originatorLost {
				break
			}
			continue
		}
		if s.originatorLost || rank < s.nearCount {
			s.probes = append(s.probes, p)
		}
	}
	s.probeAt = now + s.probePause()
}

// probePause is the time to the next question.
func (s *selector) probePause() time.Duration {
	if s.originatorLost {
		return s.jitter(maxJitter)
	}
	return s.returnPause()
}

func (s *selector) returnPause() time.Duration {
	return s.adjustPause(minReturnPause + s.jitter(maxReturnPause-minReturnPause))
}

// probe says whom to ask beside the one that is followed, and when.
func (s *selector) probe() (p int, at time.Duration, any bool) {
	if s.active < 0 || len(s.probes) == 0 {
		return 0, 0, false
	}
	return s.probes[0], s.probeAt, true
}

// probeFailed notes that one does no better: it cannot be reached, does not hear the
// originator either, or is behind. Where all say the same the one that is
// followed stays, and a server asks again after tens of seconds. A publisher
// goes on asking: others heal by it.
func (s *selector) probeFailed(now time.Duration, p int) {
	s.probes = slices.DeleteFunc(s.probes, func(q int) bool { return q == p })
	if len(s.probes) > 0 {
		s.probeAt = now + s.probePause()
		return
	}
	s.planProbes(now)
	if !s.relay {
		s.probeAt = now + s.returnPause()
	}
}
