// Package pool decides how many running slots and how much memory each pool of
// classes may have. It counts what is queued and running, learns the work of a
// request of each class, and before each batch computes ceilings for the
// policy, which enforces them. The reasons for the design are in
// docs/design/pools.md.
//
// An Allocator belongs to one goroutine. It reads no clock and does no I/O: the
// time is an argument of each call and only advances. Times and durations are
// microseconds, sizes kilobytes. No state grows with the number of requests:
// all of it is per class and per pool.
package pool

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"kiteslip"
)

// Spec declares one pool.
type Spec struct {
	Name           string
	Classes        []int
	Share          float64 // of the running slots: guaranteed
	MaxShare       float64 // of the running slots: at most this; 0 = all
	Reserve        float64 // of the cores: slots beyond the running limit, which are not lent
	MemoryShare    float64 // of the memory: guaranteed; 0 = as Share
	MaxMemoryShare float64 // of the memory: at most this; 0 = all
	MaxQueued      int     // queued requests; 0 = as many as can be served in time
}

// Class is what an Allocator must know of a class.
type Class struct{ TargetTime, Timeout int64 }

// Settings declare the pools of one server.
type Settings struct {
	Cores         int
	MemoryKB      float64
	RunFactor     float64 // memory of a running request divided by that of a queued one
	MaxRetryAfter int64   // maximum retry-after; 0 = none is given
	Classes       []Class
	Pools         []Spec
	CheapReserve  float64 // of the cores: slots beyond the running limit for the cheapest class
}

// SettingsFor returns settings for the machine and the classes of the policy, without pools.
func SettingsFor(m *kiteslip.Settings) *Settings {
	s := &Settings{Cores: m.Cores, MemoryKB: m.MemoryKB, RunFactor: m.RunFactor, MaxRetryAfter: m.MaxRetryAfter}
	for i := range m.Classes {
		s.Classes = append(s.Classes, Class{TargetTime: m.Classes[i].TargetTime, Timeout: m.Classes[i].Timeout})
	}
	return s
}

// ReservedRuns returns the number of slots beyond the running limit that a reserve amounts to.
func (s *Settings) ReservedRuns(reserve float64) int {
	return int(math.Ceil(reserve * float64(s.Cores)))
}

// DefaultPool is the name of the pool of all classes that are in no other. It has no share.
const DefaultPool = "rest"

// MaxPools is the maximum number of pools of one server. The time of a decision is proportional to their number.
const MaxPools = 64

// ErrSettings is wrapped by all errors about settings.
var ErrSettings = errors.New("pool")

// Check returns an error that names each faulty configuration key, joined; nil = none.
func (s *Settings) Check() error {
	var errs []error
	fail := func(key, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%w: %s %s", ErrSettings, key, fmt.Sprintf(format, args...)))
	}
	inUnit := func(key string, v float64) {
		if !(v >= 0 && v <= 1) {
			fail(key, "is %v, want 0 to 1", v)
		}
	}
	if s.Cores <= 0 {
		fail("cores", "is %d, want above 0", s.Cores)
	}
	if !(s.MemoryKB > 0) || math.IsInf(s.MemoryKB, 0) {
		fail("memory", "is %v, want above 0", s.MemoryKB)
	}
	if len(s.Pools) > MaxPools {
		fail("pool", "is there %d times, want %d at most", len(s.Pools), MaxPools)
	}
	inUnit("pools.cheap_reserve", s.CheapReserve)
	names, owner := map[string]bool{DefaultPool: true}, map[int]string{}
	share, memory := 0.0, 0.0
	for i := range s.Pools {
		p, key := &s.Pools[i], fmt.Sprintf("pool[%d]", i)
		if p.Name == "" || names[p.Name] {
			fail(key+".name", "is %q, want a name of its own other than %q", p.Name, DefaultPool)
		}
		names[p.Name] = true
		if len(p.Classes) == 0 {
			fail(key+".classes", "is empty")
		}
		for _, c := range p.Classes {
			if c < 0 || c >= len(s.Classes) {
				fail(key+".classes", "has %d, which is no class", c)
			} else if other, taken := owner[c]; taken {
				fail(key+".classes", "has class %d, which is in pool %q", c, other)
			} else {
				owner[c] = p.Name
			}
		}
		inUnit(key+".share", p.Share)
		inUnit(key+".most", p.MaxShare)
		inUnit(key+".reserve", p.Reserve)
		inUnit(key+".memory", p.MemoryShare)
		inUnit(key+".memory_most", p.MaxMemoryShare)
		if p.MaxShare > 0 && p.MaxShare < p.Share {
			fail(key+".most", "is %v, less than the share of %v", p.MaxShare, p.Share)
		}
		if p.MaxMemoryShare > 0 && p.MaxMemoryShare < p.GuaranteedMemory() {
			fail(key+".memory_most", "is %v, less than its own %v", p.MaxMemoryShare, p.GuaranteedMemory())
		}
		if p.MaxQueued < 0 {
			fail(key+".waiting", "is %d, want 0 or more", p.MaxQueued)
		}
		share += p.Share
		memory += p.GuaranteedMemory()
	}
	const rounding = 1e-9
	if share > 1+rounding {
		fail("pool.share", "adds up to %.3f over all pools, want 1 at most", share)
	}
	if memory > 1+rounding {
		fail("pool.memory", "adds up to %.3f over all pools, want 1 at most", memory)
	}
	return errors.Join(errs...)
}

// GuaranteedMemory returns the share of the memory that is guaranteed to the pool.
func (p *Spec) GuaranteedMemory() float64 {
	if p.MemoryShare > 0 {
		return p.MemoryShare
	}
	return p.Share
}

// EffectiveMaxShare returns the share of the running slots that the pool never exceeds.
func (p *Spec) EffectiveMaxShare() float64 {
	if p.MaxShare > 0 {
		return p.MaxShare
	}
	return 1
}

// EffectiveMaxMemory returns the share of the memory that the pool never exceeds.
func (p *Spec) EffectiveMaxMemory() float64 {
	if p.MaxMemoryShare > 0 {
		return p.MaxMemoryShare
	}
	return 1
}

// poolState is the state of one pool.
type poolState struct {
	Spec
	waiting, running    int
	queuedKB, runningKB float64 // memory booked for queued and running requests
	meanWork            float64 // mean work of one of its runs, as of the last Ceilings
	credit              float64 // in microseconds of one slot, see guaranteedRuns
	limiter             limiter
	doneRate            decayingRate // of its completed runs
	refused             int
	guaranteed          int // as of the last Ceilings
	maxRuns             int
}

// Allocator is the state of all pools of a server. The pool at index 0 is the default pool.
type Allocator struct {
	cfg           Settings
	pools         []poolState
	poolOf        []int // by class: its pool
	classes       []classCost
	cheapest      int // the cheapest class; -1 = not known yet
	now           int64
	virtualTime   float64 // the work done by one run so far, see advance
	running       int
	maxConcurrent float64 // how many runs together may share the cores, as of the last Ceilings
	peerRuns      int     // runs of the peer on the same cores
	runningLimit  int     // the policy's running limit, as of the last Ceilings
	ceilings      kiteslip.Ceilings
}

// New returns an allocator for settings that pass Check.
func New(s Settings) (*Allocator, error) {
	b := &Allocator{cheapest: -1}
	if err := b.Reconfigure(s); err != nil {
		return nil, err
	}
	return b, nil
}

// Reconfigure applies new settings, in which classes keep their slots and new
// ones follow. A pool that keeps its name keeps its credit and limit; queued
// and running requests are counted in the pool that their class is in now. On
// an error nothing has changed.
func (b *Allocator) Reconfigure(s Settings) error {
	if err := s.Check(); err != nil {
		return err
	}
	if len(s.Classes) < len(b.classes) {
		return fmt.Errorf("%w: the new settings have fewer classes than before", ErrSettings)
	}
	prev := b.pools
	b.cfg = s
	b.runningLimit = max(b.runningLimit, s.Cores)
	b.pools = make([]poolState, len(s.Pools)+1)
	b.pools[0].Spec = Spec{Name: DefaultPool}
	b.poolOf = make([]int, len(s.Classes))
	for i := range s.Pools {
		b.pools[i+1].Spec = s.Pools[i]
		for _, c := range s.Pools[i].Classes {
			b.poolOf[c] = i + 1
		}
	}
	for len(b.classes) < len(s.Classes) {
		b.classes = append(b.classes, classCost{})
	}
	for i := range b.pools {
		p := &b.pools[i]
		if old := slices.IndexFunc(prev, func(q poolState) bool { return q.Name == p.Name }); old >= 0 {
			p.credit, p.limiter, p.doneRate, p.refused = prev[old].credit, prev[old].limiter, prev[old].doneRate, prev[old].refused
		} else {
			p.limiter.start(float64(s.Cores))
		}
	}
	for c := range b.classes {
		k, p := &b.classes[c], &b.pools[b.poolOf[c]]
		p.waiting += k.waiting
		p.running += k.running
		p.queuedKB += k.queuedKB
		p.runningKB += k.runningKB
	}
	b.maxConcurrent = b.findMaxConcurrent()
	for i := range b.pools {
		b.pools[i].meanWork = b.meanWork(&b.pools[i])
	}
	b.ceilings = kiteslip.Ceilings{PoolOf: b.poolOf, Pools: make([]kiteslip.Ceiling, len(b.pools))}
	return nil
}

// advance moves the clocks. Virtual time is the work that one run gets done if
// all runs share the cores evenly.
func (b *Allocator) advance(now int64) {
	dt := now - b.now
	if b.now == 0 || dt <= 0 {
		b.now = max(b.now, now)
		return
	}
	b.now = now
	b.virtualTime += float64(dt) * min(1, float64(b.cfg.Cores)/float64(max(1, b.running+b.peerRuns)))
	b.updateCredit(float64(dt))
}

// Arrive adds a request that is queued from now on.
func (b *Allocator) Arrive(now int64, class int, kb float64) {
	b.advance(now)
	k, p := &b.classes[class], &b.pools[b.poolOf[class]]
	k.waiting++
	k.queuedKB += kb
	p.waiting++
	p.queuedKB += kb
}

// Leave removes a queued request.
func (b *Allocator) Leave(now int64, class int, kb float64) {
	b.advance(now)
	k, p := &b.classes[class], &b.pools[b.poolOf[class]]
	k.waiting--
	k.queuedKB -= kb
	p.waiting--
	p.queuedKB -= kb
}

// Begin records that a queued request runs from now on. The result is an
// argument of End.
func (b *Allocator) Begin(now int64, class int, kb float64) (virtualStart float64) {
	b.Leave(now, class, kb)
	k, p := &b.classes[class], &b.pools[b.poolOf[class]]
	kb *= max(1, b.cfg.RunFactor)
	k.running++
	k.runningKB += kb
	p.running++
	p.runningKB += kb
	b.running++
	return b.virtualTime
}

// End records the end of a run of that duration. Only successful runs are learned
// from: a failure may be quick or slow for other reasons.
func (b *Allocator) End(now int64, class int, kb, virtualStart float64, elapsed int64, ok bool) {
	b.advance(now)
	work := b.virtualTime - virtualStart
	k, p := &b.classes[class], &b.pools[b.poolOf[class]]
	kb *= max(1, b.cfg.RunFactor)
	k.running--
	k.runningKB -= kb
	p.running--
	p.runningKB -= kb
	b.running--
	if !ok || elapsed <= 0 {
		return
	}
	full := b.running+b.peerRuns+1 >= b.cfg.Cores
	k.learn(now, work)
	p.doneRate.add(now)
	p.limiter.runEnded(now, float64(elapsed)/k.baseline, full && p.running+1 >= p.maxRuns, k.baseline)
}

// CountRefused counts a queued request that was refused.
func (b *Allocator) CountRefused(class int) { b.pools[b.poolOf[class]].refused++ }

// SetPeerLoad sets how many runs of the peer share the cores.
func (b *Allocator) SetPeerLoad(now int64, runs int) {
	b.advance(now)
	b.peerRuns = max(0, runs)
}
