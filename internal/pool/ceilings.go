package pool

import (
	"math"

	"kiteslip"
)

const (
	minQueued            = 16  // may always wait in a pool
	maxQueued            = 1e5 // whatever the rate
	queuedShare          = 1.0 // of what is done within the longest deadline may wait
	maxCreditRuns        = 4.0 // mean runs in each of its places that a pool may save up
	maxDebtRuns          = 1.0 // mean runs that it may owe
	initialWorkShare     = 0.1 // of its aim is the work of a class taken as, until one has run
	maxStretchShare      = 0.5 // of its aim a run may take where the cores are shared
	minStretchRuns       = 5   // runs of a class before that counts
	maxRetryAfterTargets = 2.0 // advice is at most this many times the longest aim of the pool's classes
)

// sharedSlots is the number of places that shares are counted on. What runs shares
// the cores evenly, so a part of the cores is that part of what runs.
func (b *Allocator) sharedSlots() float64 {
	return max(float64(b.cfg.Cores), min(float64(b.running+b.peerRuns), b.maxConcurrent))
}

// findMaxConcurrent works out how many runs together may share the cores: so many that none takes
// more than a part of its aim. It is a delay target for the runs, below the
// module's running limit, which looks at the mean of all classes.
func (b *Allocator) findMaxConcurrent() float64 {
	stretch := math.Inf(1)
	for c := range b.classes {
		if k := &b.classes[c]; k.runsSeen >= minStretchRuns && (k.running > 0 || k.waiting > 0) {
			stretch = min(stretch, maxStretchShare*float64(b.cfg.Classes[c].TargetTime)/k.meanWork)
		}
	}
	return float64(b.cfg.Cores) * max(1, stretch)
}

// updateCredit moves the credits: a pool earns its share and pays for the places that
// it has. What it has saved up, or owes, is bounded.
func (b *Allocator) updateCredit(dt float64) {
	places := b.sharedSlots()
	for i := range b.pools {
		p := &b.pools[i]
		if p.Share == 0 {
			continue
		}
		p.credit += dt * (p.Share*places - float64(p.running))
		p.credit = max(-maxDebtRuns*p.meanWork, min(maxCreditRuns*float64(b.cfg.Cores)*p.Share*p.meanWork, p.credit))
	}
}

// meanWork is the mean work of the pool's classes, weighed by what is there of them.
func (b *Allocator) meanWork(p *poolState) float64 {
	sum, n := 0.0, 0.0
	for _, c := range p.Classes {
		k := &b.classes[c]
		w := float64(k.waiting+k.running) + 1e-3
		base := k.meanWork
		if k.runsSeen == 0 {
			base = initialWorkShare * float64(b.cfg.Classes[c].TargetTime)
		}
		sum, n = sum+w*base, n+w
	}
	if n == 0 {
		return 1
	}
	return max(1, sum/n)
}

// guaranteedRuns is the pool's own running places now: its share, rounded up while it has
// credit and down while it owes, and one more for each whole run that it has
// saved up, so that a pool which asks for less than its share does not queue
// for the chance that several of its requests come together.
func (b *Allocator) guaranteedRuns(p *poolState, places float64) int {
	exact := p.Share * places
	n := math.Floor(exact)
	if p.credit > 0 && exact > 0 {
		if exact > n {
			n++
		}
		n += math.Floor(min(p.credit/p.meanWork, maxCreditRuns*exact))
	}
	return int(n)
}

// Ceilings works out what the module is to keep to in the next batch. limit is
// the module's running limit. What is returned is valid until the next call.
func (b *Allocator) Ceilings(now int64, limit int) *kiteslip.Ceilings {
	b.advance(now)
	b.runningLimit = max(1, limit)
	onCore := b.running + b.peerRuns
	b.maxConcurrent = b.findMaxConcurrent()
	b.ceilings.MaxRuns = int(min(1e6, b.maxConcurrent))
	places := b.sharedSlots()
	booked, claimed := 0.0, 0.0
	for i := range b.pools {
		p := &b.pools[i]
		p.meanWork = b.meanWork(p)
		kb := p.queuedKB + p.runningKB
		booked += kb
		if p.waiting+p.running > 0 {
			claimed += max(0, p.GuaranteedMemory()*b.cfg.MemoryKB-kb)
		}
	}
	for i := range b.pools {
		p := &b.pools[i]
		out := &b.ceilings.Pools[i]
		p.guaranteed = b.guaranteedRuns(p, places)
		spare := b.cfg.ReservedRuns(p.Reserve)
		// The limit binds only beyond the cores: none is left idle for it.
		most := max(int(p.limiter.limit), p.guaranteed, p.running+b.cfg.Cores-onCore, spare)
		p.maxRuns = max(1, min(most, max(p.guaranteed, int(math.Ceil(p.EffectiveMaxShare()*float64(b.runningLimit))))))
		rate := b.drainRate(now, p)
		out.GuaranteedRuns, out.MaxRuns, out.ReservedRuns = p.guaranteed, p.maxRuns, spare
		out.GuaranteedCores = min(max(p.Share*float64(b.cfg.Cores), float64(p.guaranteed))+float64(spare), float64(b.cfg.Cores))
		out.MaxQueued = b.queueLimit(p, rate)
		own := p.GuaranteedMemory() * b.cfg.MemoryKB
		kb := p.queuedKB + p.runningKB
		mine := 0.0
		if p.waiting+p.running > 0 {
			mine = max(0, own-kb)
		}
		free := b.cfg.MemoryKB - (booked - kb) - (claimed - mine)
		out.GuaranteedKB = own
		out.MaxKB = min(p.EffectiveMaxMemory()*b.cfg.MemoryKB, max(own, free))
		out.RetryAfter = b.retryAfter(p, rate, out.MaxQueued)
	}
	b.findCheapest()
	b.ceilings.CheapestClass, b.ceilings.CheapestReserved = b.cheapest, 0
	if b.cheapest >= 0 {
		b.ceilings.CheapestReserved = b.cfg.ReservedRuns(b.cfg.CheapReserve)
	}
	return &b.ceilings
}

// drainRate is how many requests a second the pool gets done: as seen of late, or
// as its share promises if that is more.
func (b *Allocator) drainRate(now int64, p *poolState) float64 {
	promised := p.Share * float64(b.cfg.Cores) / p.meanWork * 1e6
	return max(p.doneRate.perSecond(now), promised, 1e-3)
}

// queueLimit is how many requests may wait: by Little's law what is done within
// the longest deadline. What comes behind that can't be served.
func (b *Allocator) queueLimit(p *poolState, rate float64) int {
	if p.MaxQueued > 0 {
		return p.MaxQueued
	}
	longest := int64(0)
	for _, c := range p.Classes {
		longest = max(longest, b.cfg.Classes[c].Timeout)
	}
	if p.Name == DefaultPool {
		return maxQueued
	}
	return max(minQueued, int(min(queuedShare*rate*float64(longest)/1e6, maxQueued)))
}

// retryAfter is how long what a pool turns away should stay away: until the excess has drained.
func (b *Allocator) retryAfter(p *poolState, rate float64, most int) int64 {
	if b.cfg.MaxRetryAfter == 0 {
		return 0
	}
	over := max(0, float64(p.waiting-most)) + 1 + float64(p.waiting)/4
	aim := int64(0)
	for _, c := range p.Classes {
		aim = max(aim, b.cfg.Classes[c].TargetTime)
	}
	after := min(int64(over/rate*1e6), int64(maxRetryAfterTargets*float64(aim)))
	return max(1000, min(after, b.cfg.MaxRetryAfter))
}

// Stats is what operators see of one pool.
type Stats struct {
	Name             string
	Limit            int // runs that it may have now
	Running, Waiting int
	Guaranteed       int // places of its own: its share of the cores
	SavedRuns        int // runs saved up, which it may have beyond its own places
	Borrowed, Lent   int // runs beyond its own; own places that it leaves to others
	Refused          int // since the start
	BookedKB         float64
	HasCheapest      bool // the cheapest class is one of its own
	MaxQueued        int
}

// Stats lists the pools, the rest first.
func (b *Allocator) Stats() []Stats {
	list := make([]Stats, 0, len(b.pools))
	for i := range b.pools {
		p := &b.pools[i]
		own := int(math.Round(p.Share * float64(b.cfg.Cores)))
		list = append(list, Stats{Name: p.Name, Limit: min(p.maxRuns, b.ceilings.MaxRuns), Running: p.running, Waiting: p.waiting, Guaranteed: own,
			Borrowed: max(0, p.running-own), Lent: max(0, own-p.running-p.waiting), Refused: p.refused,
			SavedRuns: int(max(0, p.credit/p.meanWork)),
			BookedKB:  p.queuedKB + p.runningKB, HasCheapest: b.cheapest >= 0 && b.poolOf[b.cheapest] == i,
			MaxQueued: b.ceilings.Pools[i].MaxQueued})
	}
	return list
}
