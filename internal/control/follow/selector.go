package follow

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kiteslip/internal/control/protocol"
)

// The times of the choice of a publisher. Any single failure must heal within 6 s: a
// timeout is noticed after 2.5 s, an attempt takes 1 s at most, the rest is for
// waits.
const (
	initialJitter   = 250 * time.Millisecond // the longest wait between the first attempts
	maxJitter       = 1500 * time.Millisecond
	minSteadyTime   = 5 * time.Second  // a stream that was established for less does not reset the waits
	minReturnPause  = 20 * time.Second // until a better publisher is probed while one is followed
	maxReturnPause  = 60 * time.Second
	minExclusion    = 1500 * time.Millisecond // after invalid data; quadrupled each time
	maxExclusion    = 60 * time.Second
	strikeRetention = 2 * time.Minute // a publisher without invalid data for so long starts again at minExclusion
)

// selector decides which publisher a follower connects to. It does no I/O and has no
// clock; now is the time since any fixed instant. Publishers are identified by their
// index in Settings.Publishers.
//
// Each follower has an order of its own: the publishers of its region by rendezvous
// hashing of its name, then the others likewise. So followers spread over the
// available publishers, and those of a failed one spread over the rest. A relay has
// the originator first.
type selector struct {
	order          []int
	preferredCount int // this many of order, from its start, are worth returning to
	relay          bool
	rng            *rand.Rand
	publishers     []publisherState // by publisher index

	active        int           // the publisher that is followed; -1 = none
	establishedAt time.Duration // when active was established
	round         int           // how often all have been tried since a stream was steady
	failures      int           // since a stream was steady
	retryNext     int           // to be tried next, without a wait; -1 = none

	originatorLost bool  // the active publisher does not hear the originator
	probes         []int // publishers to probe in turn while one is followed
	probeAt        time.Duration

	adjustPause func(time.Duration) time.Duration // applied to the return pause; a test shortens it
}

// publisherState is what is known of one publisher.
type publisherState struct {
	tried         bool // in this round
	strikes       int  // times that it sent invalid data
	lastStrike    time.Duration
	excludedUntil time.Duration // not tried before then, unless all are excluded
}

// attempt says to connect to a publisher after wait, which was drawn from 0 to
// maxWait.
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
	preference := func(i int) int {
		switch {
		case set.Relay && i == 0:
			return 0
		case set.Publishers[i].Region == set.Region:
			return 1
		}
		return 2
	}
	slices.SortFunc(s.order, func(a, b int) int {
		if c := preference(a) - preference(b); c != 0 {
			return c
		}
		if score[a] > score[b] {
			return -1
		}
		return 1
	})
	for i := range s.order {
		if preference(i) < 2 && !set.Relay || set.Relay && i == 0 {
			s.preferredCount++
		}
	}
	if s.preferredCount == 0 { // no publisher in its region: all are equally near
		s.preferredCount = len(s.order)
	}
	return s
}

// jitter draws a duration from 0 to limit.
func (s *selector) jitter(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit) + 1))
}

// next returns the next attempt while no publisher is followed.
func (s *selector) next(now time.Duration) attempt {
	if p := s.retryNext; p >= 0 {
		s.retryNext = -1
		return attempt{publisher: p}
	}
	maxWait := time.Duration(0)
	if s.failures > 0 {
		maxWait = min(initialJitter<<min(s.round, 8), maxJitter)
	}
	if p := s.best(now); p >= 0 {
		return attempt{p, s.jitter(maxWait), maxWait}
	}
	s.round++
	for i := range s.publishers {
		s.publishers[i].tried = false
	}
	if s.failures > 0 {
		maxWait = min(initialJitter<<min(s.round, 8), maxJitter)
	}
	if p := s.best(now); p >= 0 {
		return attempt{p, s.jitter(maxWait), maxWait}
	}
	first := s.order[0] // all are excluded: the one whose exclusion ends first
	for _, p := range s.order {
		if s.publishers[p].excludedUntil < s.publishers[first].excludedUntil {
			first = p
		}
	}
	return attempt{first, s.publishers[first].excludedUntil - now + s.jitter(maxWait), maxWait}
}

// best is the first publisher in order that was not tried in this round and is not
// excluded; -1 = none.
func (s *selector) best(now time.Duration) int {
	for _, p := range s.order {
		if c := &s.publishers[p]; !c.tried && c.excludedUntil <= now {
			return p
		}
	}
	return -1
}

// retry records that a stream has ended and is to be opened again at once.
func (s *selector) retry(p int) {
	s.active, s.retryNext = -1, p
}

// failed records that an attempt has failed or that the active stream has ended.
// invalid says that the publisher sent invalid data.
func (s *selector) failed(now time.Duration, p int, invalid bool) {
	if s.active == p {
		s.active = -1
		if now-s.establishedAt >= minSteadyTime {
			s.resetBackoff()
		}
	}
	s.failures++
	s.publishers[p].tried = true
	if invalid {
		s.exclude(now, p)
	}
}

// resetBackoff ends the long waits after a steady stream.
func (s *selector) resetBackoff() {
	s.round, s.failures = 0, 0
	for i := range s.publishers {
		s.publishers[i].tried = false
	}
}

// exclude keeps a publisher from being tried for a while.
func (s *selector) exclude(now time.Duration, p int) {
	c := &s.publishers[p]
	if c.strikes > 0 && now-c.lastStrike > strikeRetention {
		c.strikes = 0
	}
	period := min(minExclusion<<min(2*c.strikes, 16), maxExclusion)
	c.strikes++
	c.lastStrike, c.excludedUntil = now, now+period/2+s.jitter(period/2)
}

// established records that the first message of a publisher has arrived: it is the
// active one from now on.
func (s *selector) established(now time.Duration, p int) {
	s.active, s.establishedAt, s.originatorLost = p, now, false
	s.planProbes(now)
}

// originatorSilence records how long the active publisher has not heard the
// originator.
func (s *selector) originatorSilence(now, silence time.Duration) {
	if lost := silence >= protocol.OriginatorTimeout; lost != s.originatorLost {
		s.originatorLost = lost
		s.planProbes(now)
	}
}

// planProbes lists the publishers that may be better than the active one.
func (s *selector) planProbes(now time.Duration) {
	s.probes = s.probes[:0]
	for rank, p := range s.order {
		if p == s.active {
			if !s.originatorLost {
				break
			}
			continue
		}
		if s.originatorLost || rank < s.preferredCount {
			s.probes = append(s.probes, p)
		}
	}
	s.probeAt = now + s.probePause()
}

// probePause is the time until the next probe.
func (s *selector) probePause() time.Duration {
	if s.originatorLost {
		return s.jitter(maxJitter)
	}
	return s.returnPause()
}

// returnPause is the time until a preferred publisher is probed again.
func (s *selector) returnPause() time.Duration {
	return s.adjustPause(minReturnPause + s.jitter(maxReturnPause-minReturnPause))
}

// probe returns which publisher to probe, and when; ok is false if there is none.
func (s *selector) probe() (p int, at time.Duration, ok bool) {
	if s.active < 0 || len(s.probes) == 0 {
		return 0, 0, false
	}
	return s.probes[0], s.probeAt, true
}

// probeFailed records that a publisher is no better: it cannot be reached, does not
// hear the originator either, or is behind. When all have failed, the active one
// stays, and a server probes again after tens of seconds. A relay goes on probing
// without that pause, since others depend on it.
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
