package pool

import (
	"math"

	"kiteslip"
)

const (
	minQueued            = 16  // requests that may always be queued in a pool
	maxQueued            = 1e5 // bound of the queue at any rate
	queuedShare          = 1.0 // share of what is done within the longest timeout that may be queued
	maxCreditRuns        = 4.0 // mean runs per guaranteed slot that a pool may save up
	maxDebtRuns          = 1.0 // mean runs that it may owe
	initialWorkShare     = 0.1 // share of the target time taken as the work of a class until it has run
	maxStretchShare      = 0.5 // share of its target time that a run may take while the cores are shared
	minStretchRuns       = 5   // runs of a class before that counts
	maxRetryAfterTargets = 2.0 // retry-after is at most this many times the longest target time of the pool
)

// sharedSlots returns the number of slots that shares refer to. Runs share the
// cores evenly, so a share of the cores is that share of the runs.
func (b *Allocator) sharedSlots() float64 {
	return max(float64(b.cfg.Cores), min(float64(b.running+b.peerRuns), b.maxConcurrent))
}

// findMaxConcurrent returns how many runs together may share the cores: as many as
// let each finish within maxStretchShare of its target time. It is a delay target
// for runs, below the policy's running limit, which uses the mean of all classes.
func (b *Allocator) findMaxConcurrent() float64 {
	stretch := math.Inf(1)
	for c := range b.classes {
		if k := &b.classes[c]; k.runsSeen >= minStretchRuns && (k.running > 0 || k.waiting > 0) {
			stretch = min(stretch, maxStretchShare*float64(b.cfg.Classes[c].TargetTime)/k.meanWork)
		}
	}
	return float64(b.cfg.Cores) * max(1, stretch)
}

// updateCredit moves the credits: a pool earns its share and pays for the slots
// that it uses. Credit and debt are bounded.
func (b *Allocator) updateCredit(dt float64) {
	slots := b.sharedSlots()
	for i := range b.pools {
		p := &b.pools[i]
		if p.Share == 0 {
			continue
		}
		p.credit += dt * (p.Share*slots - float64(p.running))
		p.credit = max(-maxDebtRuns*p.meanWork, min(maxCreditRuns*float64(b.cfg.Cores)*p.Share*p.meanWork, p.credit))
	}
}

// meanWork returns the mean work of the pool's classes, weighted by their requests.
func (b *Allocator) meanWork(p *poolState) float64 {
	sum, n := 0.0, 0.0
	for _, c := range p.Classes {
		k := &b.classes[c]
		weight := float64(k.waiting+k.running) + 1e-3
		work := k.meanWork
		if k.runsSeen == 0 {
			work = initialWorkShare * float64(b.cfg.Classes[c].TargetTime)
		}
		sum, n = sum+weight*work, n+weight
	}
	if n == 0 {
		return 1
	}
	return max(1, sum/n)
}

// guaranteedRuns returns the pool's guaranteed slots now: its share, rounded up
// while it has credit and down while it is in debt, plus one for each whole run of
// credit, so that a pool which uses less than its share does not queue when
// several of its requests happen to arrive together.
func (b *Allocator) guaranteedRuns(p *poolState, slots float64) int {
	exact := p.Share * slots
	n := math.Floor(exact)
	if p.credit > 0 && exact > 0 {
		if exact > n {
			n++
		}
		n += math.Floor(min(p.credit/p.meanWork, maxCreditRuns*exact))
	}
	return int(n)
}

// Ceilings computes the ceilings for the next batch. limit is the policy's running
// limit. The result is valid until the next call.
func (b *Allocator) Ceilings(now int64, limit int) *kiteslip.Ceilings {
	b.advance(now)
	b.runningLimit = max(1, limit)
	onCore := b.running + b.peerRuns
	b.maxConcurrent = b.findMaxConcurrent()
	b.ceilings.MaxRuns = int(min(1e6, b.maxConcurrent))
	slots := b.sharedSlots()
	booked, claimed := 0.0, 0.0
	for i := range b.pools {
		p := &b.pools[i]
		p.meanWork = b.meanWork(p)
		usedKB := p.queuedKB + p.runningKB
		booked += usedKB
		if p.waiting+p.running > 0 {
			claimed += max(0, p.GuaranteedMemory()*b.cfg.MemoryKB-usedKB)
		}
	}
	for i := range b.pools {
		p := &b.pools[i]
		out := &b.ceilings.Pools[i]
		p.guaranteed = b.guaranteedRuns(p, slots)
		reserved := b.cfg.ReservedRuns(p.Reserve)
		// The limit applies only beyond the cores: none is left idle because of it.
		maxRuns := max(int(p.limiter.limit), p.guaranteed, p.running+b.cfg.Cores-onCore, reserved)
		p.maxRuns = max(1, min(maxRuns, max(p.guaranteed, int(math.Ceil(p.EffectiveMaxShare()*float64(b.runningLimit))))))
		rate := b.drainRate(now, p)
		out.GuaranteedRuns, out.MaxRuns, out.ReservedRuns = p.guaranteed, p.maxRuns, reserved
		out.GuaranteedCores = min(max(p.Share*float64(b.cfg.Cores), float64(p.guaranteed))+float64(reserved), float64(b.cfg.Cores))
		out.MaxQueued = b.queueLimit(p, rate)
		ownKB := p.GuaranteedMemory() * b.cfg.MemoryKB
		usedKB := p.queuedKB + p.runningKB
		unusedKB := 0.0
		if p.waiting+p.running > 0 {
			unusedKB = max(0, ownKB-usedKB)
		}
		free := b.cfg.MemoryKB - (booked - usedKB) - (claimed - unusedKB)
		out.GuaranteedKB = ownKB
		out.MaxKB = min(p.EffectiveMaxMemory()*b.cfg.MemoryKB, max(ownKB, free))
		out.RetryAfter = b.retryAfter(p, rate, out.MaxQueued)
	}
	b.findCheapest()
	b.ceilings.CheapestClass, b.ceilings.CheapestReserved = b.cheapest, 0
	if b.cheapest >= 0 {
		b.ceilings.CheapestReserved = b.cfg.ReservedRuns(b.cfg.CheapReserve)
	}
	return &b.ceilings
}

// drainRate returns how many requests per second the pool completes: the recent
// rate, or the one that its share promises if that is higher.
func (b *Allocator) drainRate(now int64, p *poolState) float64 {
	promised := p.Share * float64(b.cfg.Cores) / p.meanWork * 1e6
	return max(p.doneRate.perSecond(now), promised, 1e-3)
}

// queueLimit returns how many requests may be queued: by Little's law, as many as
// are done within the longest timeout. Requests behind those can't be served.
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

// retryAfter returns how long callers of a pool should stay away: until the excess has drained.
func (b *Allocator) retryAfter(p *poolState, rate float64, maxQueued int) int64 {
	if b.cfg.MaxRetryAfter == 0 {
		return 0
	}
	excess := max(0, float64(p.waiting-maxQueued)) + 1 + float64(p.waiting)/4
	target := int64(0)
	for _, c := range p.Classes {
		target = max(target, b.cfg.Classes[c].TargetTime)
	}
	after := min(int64(excess/rate*1e6), int64(maxRetryAfterTargets*float64(target)))
	return max(1000, min(after, b.cfg.MaxRetryAfter))
}

// Stats are what operators see of one pool.
type Stats struct {
	Name             string
	Limit            int // runs that it may have now
	Running, Waiting int
	Guaranteed       int // guaranteed slots: its share of the cores
	SavedRuns        int // credit in runs, which it may have beyond its guaranteed slots
	Borrowed, Lent   int // runs beyond the guaranteed slots; guaranteed slots left to others
	Refused          int // since the start
	BookedKB         float64
	HasCheapest      bool // the cheapest class is one of its own
	MaxQueued        int
}

// Stats lists the pools, the default pool first.
func (b *Allocator) Stats() []Stats {
	list := make([]Stats, 0, len(b.pools))
	for i := range b.pools {
		p := &b.pools[i]
		guaranteed := int(math.Round(p.Share * float64(b.cfg.Cores)))
		list = append(list, Stats{Name: p.Name, Limit: min(p.maxRuns, b.ceilings.MaxRuns), Running: p.running, Waiting: p.waiting, Guaranteed: guaranteed,
			Borrowed: max(0, p.running-guaranteed), Lent: max(0, guaranteed-p.running-p.waiting), Refused: p.refused,
			SavedRuns: int(max(0, p.credit/p.meanWork)),
			BookedKB:  p.queuedKB + p.runningKB, HasCheapest: b.cheapest >= 0 && b.poolOf[b.cheapest] == i,
			MaxQueued: b.ceilings.Pools[i].MaxQueued})
	}
	return list
}
