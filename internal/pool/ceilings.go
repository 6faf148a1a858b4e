package pool

import (
	"math"

	"kiteslip"
)

const (
	leastWaiting = 16  // may always wait in a pool
	mostWaiting  = 1e5 // whatever the rate
	waitPart     = 1.0 // of what is done within the longest deadline may wait
	creditRuns   = 4.0 // mean runs in each of its places that a pool may save up
	debtRuns     = 1.0 // mean runs that it may owe
	firstBase    = 0.1 // of its aim is the work of a class taken as, until one has run
	stretchPart  = 0.5 // of its aim a run may take where the cores are shared
	stretchSeen  = 5   // runs of a class before that counts
	idleAdvice   = 2.0 // advice is at most this many times the longest aim of the pool's classes
)

// shared is the number of places that shares are counted on. What runs shares
// the cores evenly, so a part of the cores is that part of what runs.
func (b *Allocator) shared() float64 {
	return max(float64(b.set.Cores), min(float64(b.running+b.beside), b.crowd))
}

// findCrowd works out how many runs together may share the cores: so many that none takes
// more than a part of its aim. It is a delay target for the runs, below the
// module's running limit, which looks at the mean of all classes.
func (b *Allocator) findCrowd() float64 {
	stretch := math.Inf(1)
	for c := range b.classes {
		if k := &b.classes[c]; k.seen >= stretchSeen && (k.running > 0 || k.waiting > 0) {
			stretch = min(stretch, stretchPart*float64(b.set.Classes[c].TargetTime)/k.mean)
		}
	}
	return float64(b.set.Cores) * max(1, stretch)
}

// earn moves the credits: a pool earns its share and pays for the places that
// it has. What it has saved up, or owes, is bounded.
func (b *Allocator) earn(dt float64) {
	places := b.shared()
	for i := range b.pools {
		p := &b.pools[i]
		if p.Share == 0 {
			continue
		}
		p.credit += dt * (p.Share*places - float64(p.running))
		p.credit = max(-debtRuns*p.run, min(creditRuns*float64(b.set.Cores)*p.Share*p.run, p.credit))
	}
}

// meanCost is the mean work of the pool's classes, weighed by what is there of them.
func (b *Allocator) meanCost(p *state) float64 {
	sum, n := 0.0, 0.0
	for _, c := range p.Classes {
		k := &b.classes[c]
		w := float64(k.waiting+k.running) + 1e-3
		base := k.mean
		if k.seen == 0 {
			base = firstBase * float64(b.set.Classes[c].TargetTime)
		}
		sum, n = sum+w*base, n+w
	}
	if n == 0 {
		return 1
	}
	return max(1, sum/n)
}

// own is the pool's own running places now: its share, rounded up while it has
// credit and down while it owes, and one more for each whole run that it has
// saved up, so that a pool which asks for less than its share does not queue
// for the chance that several of its requests come together.
func (b *Allocator) own(p *state, places float64) int {
	exact := p.Share * places
	n := math.Floor(exact)
	if p.credit > 0 && exact > 0 {
		if exact > n {
			n++
		}
		n += math.Floor(min(p.credit/p.run, creditRuns*exact))
	}
	return int(n)
}

// Ceilings works out what the module is to keep to in the next batch. limit is
// the module's running limit. What is returned is valid until the next call.
func (b *Allocator) Ceilings(now int64, limit int) *kiteslip.Ceilings {
	b.advance(now)
	b.places = max(1, limit)
	onCore := b.running + b.beside
	b.crowd = b.findCrowd()
	b.out.MaxRuns = int(min(1e6, b.crowd))
	places := b.shared()
	booked, claimed := 0.0, 0.0
	for i := range b.pools {
		p := &b.pools[i]
		p.run = b.meanCost(p)
		kb := p.heldKB + p.ranKB
		booked += kb
		if p.waiting+p.running > 0 {
			claimed += max(0, p.GuaranteedMemory()*b.set.MemoryKB-kb)
		}
	}
	for i := range b.pools {
		p := &b.pools[i]
		out := &b.out.Pools[i]
		p.own = b.own(p, places)
		spare := b.set.ReservedRuns(p.Reserve)
		// The limit binds only beyond the cores: none is left idle for it.
		most := max(int(p.limit.limit), p.own, p.running+b.set.Cores-onCore, spare)
		p.most = max(1, min(most, max(p.own, int(math.Ceil(p.EffectiveMaxShare()*float64(b.places))))))
		rate := b.drain(now, p)
		out.GuaranteedRuns, out.MaxRuns, out.ReservedRuns = p.own, p.most, spare
		out.GuaranteedCores = min(max(p.Share*float64(b.set.Cores), float64(p.own))+float64(spare), float64(b.set.Cores))
		out.MaxQueued = b.mayWait(p, rate)
		own := p.GuaranteedMemory() * b.set.MemoryKB
		kb := p.heldKB + p.ranKB
		mine := 0.0
		if p.waiting+p.running > 0 {
			mine = max(0, own-kb)
		}
		free := b.set.MemoryKB - (booked - kb) - (claimed - mine)
		out.GuaranteedKB = own
		out.MaxKB = min(p.EffectiveMaxMemory()*b.set.MemoryKB, max(own, free))
		out.RetryAfter = b.advice(p, rate, out.MaxQueued)
	}
	b.findCheapest()
	b.out.CheapestClass, b.out.CheapestReserved = b.cheap, 0
	if b.cheap >= 0 {
		b.out.CheapestReserved = b.set.ReservedRuns(b.set.CheapReserve)
	}
	return &b.out
}

// drain is how many requests a second the pool gets done: as seen of late, or
// as its share promises if that is more.
func (b *Allocator) drain(now int64, p *state) float64 {
	promised := p.Share * float64(b.set.Cores) / p.run * 1e6
	return max(p.rate.perSecond(now), promised, 1e-3)
}

// mayWait is how many requests may wait: by Little's law what is done within
// the longest deadline. What comes behind that can't be served.
func (b *Allocator) mayWait(p *state, rate float64) int {
	if p.MaxQueued > 0 {
		return p.MaxQueued
	}
	longest := int64(0)
	for _, c := range p.Classes {
		longest = max(longest, b.set.Classes[c].Timeout)
	}
	if p.Name == DefaultPool {
		return mostWaiting
	}
	return max(leastWaiting, int(min(waitPart*rate*float64(longest)/1e6, mostWaiting)))
}

// advice is how long what a pool turns away should stay away: until the excess has drained.
func (b *Allocator) advice(p *state, rate float64, most int) int64 {
	if b.set.MaxRetryAfter == 0 {
		return 0
	}
	over := max(0, float64(p.waiting-most)) + 1 + float64(p.waiting)/4
	aim := int64(0)
	for _, c := range p.Classes {
		aim = max(aim, b.set.Classes[c].TargetTime)
	}
	after := min(int64(over/rate*1e6), int64(idleAdvice*float64(aim)))
	return max(1000, min(after, b.set.MaxRetryAfter))
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
		own := int(math.Round(p.Share * float64(b.set.Cores)))
		list = append(list, Stats{Name: p.Name, Limit: min(p.most, b.out.MaxRuns), Running: p.running, Waiting: p.waiting, Guaranteed: own,
			Borrowed: max(0, p.running-own), Lent: max(0, own-p.running-p.waiting), Refused: p.refused,
			SavedRuns: int(max(0, p.credit/p.run)),
			BookedKB:  p.heldKB + p.ranKB, HasCheapest: b.cheap >= 0 && b.of[b.cheap] == i,
			MaxQueued: b.out.Pools[i].MaxQueued})
	}
	return list
}
