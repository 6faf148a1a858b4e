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
	firstJitter = 250 * time.Millisecond // the most that a follower waits between tries at first
	mostJitter  = 1500 * time.Millisecond
	steadyAfter = 5 * time.Second  // a stream that stood for less is no reason to begin with short waits
	returnLeast = 20 * time.Second // before a better publisher is looked for while one is followed
	returnMost  = 60 * time.Second
	barLeast    = 1500 * time.Millisecond // for what a publisher sent that is faulty, doubled twice each time
	barMost     = 60 * time.Second
	strikesKept = 2 * time.Minute
)

// seeker decides which publisher a follower turns to: values in, values out. It
// does no I/O and has no clock; now is the time since any fixed moment. The
// publishers go by their places in Settings.Publishers.
//
// Each follower has an order of its own: the publishers of its region by
// rendezvous hashing of its name, then the others likewise, so that followers
// spread over those that are there, and each goes elsewhere when one is gone. A
// publisher that follows has the originator first.
type seeker struct {
	order  []int
	near   int // so many of the order are worth returning to
	relay  bool
	draw   *rand.Rand
	states []candidate // by place

	at    int           // whose stream stands; -1 = none
	since time.Duration // when it came to stand
	round int           // how often all have been tried since a stream stood
	tries int           // failures since a stream was steady
	again int           // to be tried at once; -1 = none

	orphan  bool  // the one that is followed does not hear the originator
	probes  []int // to be asked in turn, while one is followed, whether they do better
	probeAt time.Duration

	pauses func(time.Duration) time.Duration // what becomes of the long waits
}

// candidate is what is known of one publisher.
type candidate struct {
	tried   bool // in this round
	strikes int
	struck  time.Duration
	barred  time.Duration // not before then, unless all are barred
}

// try is what to do next: turn to a publisher after a wait, which was drawn from 0 to within.
type try struct {
	publisher    int
	wait, within time.Duration
}

func newSeeker(set *Settings) *seeker {
	s := &seeker{relay: set.Relay, at: -1, again: -1, states: make([]candidate, len(set.Publishers)),
		pauses: func(d time.Duration) time.Duration { return d },
		draw:   rand.New(rand.NewPCG(set.Seed, xxhash.Sum64String(set.Name)))}
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
			s.near++
		}
	}
	if s.near == 0 { // there is none of its region: one is as near as another
		s.near = len(s.order)
	}
	return s
}

// jitter is a draw from 0 to most.
func (s *seeker) jitter(most time.Duration) time.Duration {
	return time.Duration(s.draw.Int64N(int64(most) + 1))
}

// next says which publisher to turn to while none is followed.
func (s *seeker) next(now time.Duration) try {
	if p := s.again; p >= 0 {
		s.again = -1
		return try{publisher: p}
	}
	within := time.Duration(0)
	if s.tries > 0 {
		within = min(firstJitter<<min(s.round, 8), mostJitter)
	}
	if p := s.best(now); p >= 0 {
		return try{p, s.jitter(within), within}
	}
	s.round++
	for i := range s.states {
		s.states[i].tried = false
	}
	if s.tries > 0 {
		within = min(firstJitter<<min(s.round, 8), mostJitter)
	}
	if p := s.best(now); p >= 0 {
		return try{p, s.jitter(within), within}
	}
	first := s.order[0] // all are barred: the one whose time is up first
	for _, p := range s.order {
		if s.states[p].barred < s.states[first].barred {
			first = p
		}
	}
	return try{first, s.states[first].barred - now + s.jitter(within), within}
}

// best is the first in order that was not tried in this round; -1 = none.
func (s *seeker) best(now time.Duration) int {
	for _, p := range s.order {
		if c := &s.states[p]; !c.tried && c.barred <= now {
			return p
		}
	}
	return -1
}

// retry notes that a stream has ended that is to be opened again at once.
func (s *seeker) retry(p int) {
	s.at, s.again = -1, p
}

// failed notes that a try has failed, or that the stream that stood has ended.
// faulty says that what came was no version that anybody can act on.
func (s *seeker) failed(now time.Duration, p int, faulty bool) {
	if s.at == p {
		s.at = -1
		if now-s.since >= steadyAfter {
			s.calm()
		}
	}
	s.tries++
	s.states[p].tried = true
	if faulty {
		s.strike(now, p)
	}
}

func (s *seeker) calm() {
	s.round, s.tries = 0, 0
	for i := range s.states {
		s.states[i].tried = false
	}
}

func (s *seeker) strike(now time.Duration, p int) {
	c := &s.states[p]
	if c.strikes > 0 && now-c.struck > strikesKept {
		c.strikes = 0
	}
	bar := min(barLeast<<min(2*c.strikes, 16), barMost)
	c.strikes++
	c.struck, c.barred = now, now+bar/2+s.jitter(bar/2)
}

// stood notes that a publisher has begun to speak: it is followed from now on.
func (s *seeker) stood(now time.Duration, p int) {
	s.at, s.since, s.orphan = p, now, false
	s.plan(now)
}

// heard notes how long the publisher that is followed has not heard the originator.
func (s *seeker) heard(now, unheard time.Duration) {
	if orphan := unheard >= protocol.OriginatorTimeout; orphan != s.orphan {
		s.orphan = orphan
		s.plan(now)
	}
}

// plan lists those that may do better than the one that is followed.
func (s *seeker) plan(now time.Duration) {
	s.probes = s.probes[:0]
	for rank, p := range s.order {
		if p == s.at {
			if !s.orphan {
				break
			}
			continue
		}
		if s.orphan || rank < s.near {
			s.probes = append(s.probes, p)
		}
	}
	s.probeAt = now + s.pause()
}

// pause is the time to the next question.
func (s *seeker) pause() time.Duration {
	if s.orphan {
		return s.jitter(mostJitter)
	}
	return s.rest()
}

func (s *seeker) rest() time.Duration {
	return s.pauses(returnLeast + s.jitter(returnMost-returnLeast))
}

// probe says whom to ask beside the one that is followed, and when.
func (s *seeker) probe() (p int, at time.Duration, any bool) {
	if s.at < 0 || len(s.probes) == 0 {
		return 0, 0, false
	}
	return s.probes[0], s.probeAt, true
}

// probed notes that one does no better: it cannot be reached, does not hear the
// originator either, or is behind. Where all say the same the one that is
// followed stays, and a server asks again after tens of seconds. A publisher
// goes on asking: others heal by it.
func (s *seeker) probed(now time.Duration, p int) {
	s.probes = slices.DeleteFunc(s.probes, func(q int) bool { return q == p })
	if len(s.probes) > 0 {
		s.probeAt = now + s.pause()
		return
	}
	s.plan(now)
	if !s.relay {
		s.probeAt = now + s.rest()
	}
}
