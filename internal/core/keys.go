package core

import (
	"crypto/sha256"
	"encoding/binary"

	"kiteslip"
)

// During an upgrade two processes are one server, and one of them alone, the
// owner of the keys, says which runs of keyed requests may start. Here is what
// a Core does as either; docs/design.md has the whole table.

// Peer is the other process of an upgrade.
type Peer interface {
	Claim(id uint32, class int, key string, arrived int64, sum uint64) // may this request start? Answered by Granted or Had
	Grant(id uint32)                                                   // to Claimed: it may
	Deny(id uint32, outcome kiteslip.Outcome, result []byte)           // to Claimed: it may not; what became of its key
	RunEnded(class int, key string, arrived int64, outcome kiteslip.Outcome, result []byte)
}

// Record is a key whose request was started.
type Record struct {
	Class              int
	Key                string
	Arrived, WindowEnd int64
	BodyHash           uint64
	Finished           bool
	Outcome            kiteslip.Outcome
	Result             []byte
	TryID              string // of the try, to the engine
	Deadline           int64
	OutcomeUnknown     bool // it was begun in an earlier life, and its end is not known
}

// claimsMost bounds the claims that wait for one run.
const claimsMost = 1024

// bodySum is the same in every process.
func bodySum(body []byte) uint64 {
	sum := sha256.Sum256(body)
	return binary.BigEndian.Uint64(sum[:])
}

// AcquireKeys makes this process the owner of the keys. Runs that a process before it
// may have started without this one's knowledge came until doubt at the latest,
// with their windows; 0 = there are none.
func (c *Core) AcquireKeys(doubt int64) { c.owner, c.doubt = true, doubt }

// OwnsKeys says whether this process owns the keys.
func (c *Core) OwnsKeys() bool { return c.owner }

// ReleaseKeys gives the ownership up: no run of a key starts but as peer says; nil =
// there is nobody to ask. It returns until when there is doubt, for the next owner.
func (c *Core) ReleaseKeys(peer Peer) (doubt int64) {
	for _, r := range c.open {
		if r.phase == held {
			c.unrecord(r) // the next owner will record it when it is claimed
		}
	}
	c.owner, c.peer = false, peer
	return c.doubt
}

// SetPeer takes in the other process, which asks this one.
func (c *Core) SetPeer(peer Peer) { c.peer = peer }

// MaxWindow is the longest window of any class.
func (c *Core) MaxWindow() int64 {
	window := int64(0)
	for i := range c.set.Policy.Classes {
		window = max(window, c.set.Policy.Classes[i].Window)
	}
	return window + keyMargin
}

// Records lists the keys whose requests were started.
func (c *Core) Records(yield func(Record) bool) {
	for _, e := range c.table {
		if r := e.ran; r != nil && c.keyed(r.Class) && !yield(Record{r.Class, r.Key, r.Arrived, e.guard, r.sum,
			r.phase != running, r.outcome, r.result, r.TryID, r.Deadline, r.unknown}) {
			return
		}
	}
}

func (c *Core) keyed(class int) bool { return c.set.Policy.Classes[class].Effect == kiteslip.Keyed }

// ImportRecord enters a key that the other process has started. What is known here
// already stands, and so does the window of the settings here if it is longer.
// A run whose end is not known may still go on at the engine: it is returned,
// and ends with Done; nil = there is nothing to wait for.
func (c *Core) ImportRecord(rec Record) *Request {
	rec.WindowEnd = max(rec.WindowEnd, rec.Arrived+c.set.Policy.Classes[rec.Class].Window+keyMargin)
	if e := c.table[keyName(rec.Class, rec.Key)]; e != nil && e.ran != nil && e.guard >= rec.WindowEnd {
		return nil
	}
	r := c.foreignRun(rec.Class, rec.Key, rec.Arrived, rec.WindowEnd, rec.BodyHash)
	r.TryID, r.Deadline, r.unknown = rec.TryID, rec.Deadline, rec.OutcomeUnknown
	if rec.Finished {
		r.phase, r.outcome, r.result = ended, rec.Outcome, rec.Result
		return nil
	}
	return r
}

// foreignRun enters a run of the other process.
func (c *Core) foreignRun(class int, key string, arrived, guard int64, sum uint64) *Request {
	c.nextID++ // the module knows a repeat by the id of the first
	r := &Request{Class: class, Key: key, Arrived: arrived, entry: keyName(class, key), id: c.nextID, sum: sum,
		answered: true, phase: running, began: arrived, elsewhere: true}
	e := c.table[r.entry]
	if e == nil {
		e = &entry{kept: r, until: guard}
		c.table[r.entry] = e
	}
	e.ran, e.guard = r, guard
	return r
}

// inDoubt says whether another process may have run the key of a request that
// came then, and there is none to ask.
func (c *Core) inDoubt(arrived int64) bool {
	return c.owner && arrived <= c.doubt || !c.owner && c.peer == nil
}

// Claimed answers the other process, which asks the owner for the start of a request.
func (c *Core) Claimed(id uint32, class int, key string, arrived int64, sum uint64) {
	e := c.table[keyName(class, key)]
	switch {
	case !c.owner || !c.keyed(class):
		c.peer.Deny(id, kiteslip.Failed, nil)
	case e != nil && e.ran != nil && (arrived <= max(e.guard, e.until) || e.ran.phase == running && e.ran.sum == sum):
		switch r := e.ran; {
		case r.sum != sum || r.phase == running && len(r.claims) >= claimsMost:
			c.peer.Deny(id, kiteslip.Failed, nil)
		case r.phase == running || r.ending:
			r.claims = append(r.claims, id)
		default:
			c.peer.Deny(id, r.outcome, r.result)
		}
	case c.inDoubt(arrived) || e != nil && e.kept != nil && e.kept.phase == held && !e.kept.answered && e.kept.sum != sum:
		c.peer.Deny(id, kiteslip.Failed, nil)
	default:
		r := c.foreignRun(class, key, arrived, arrived+c.set.Policy.Classes[class].Window+keyMargin, sum)
		if c.journal != nil {
			c.granting[r.id] = grant{r, id}
			c.record(r)
			return
		}
		c.peer.Grant(id)
	}
}

// Granted starts a request that was claimed, unless it has come to its end meanwhile.
func (c *Core) Granted(now int64, id uint32) {
	r := c.claims[kiteslip.RequestID(id)]
	if r == nil {
		return
	}
	delete(c.claims, r.id)
	if r.answered {
		c.unclaim(r, kiteslip.NotStarted, nil)
		if !c.owner && c.peer != nil {
			c.peer.RunEnded(r.Class, r.Key, r.Arrived, kiteslip.NotStarted, nil)
		}
		return
	}
	r.began = now
	c.runner.Run(r)
}

// Denied ends a request that was claimed and may not start.
func (c *Core) Denied(id uint32, outcome kiteslip.Outcome, result []byte) {
	if r := c.claims[kiteslip.RequestID(id)]; r != nil {
		delete(c.claims, r.id)
		c.unclaim(r, outcome, result)
	}
}

// letGo frees the place in the module's limit of an answered request that was
// only claimed. Guards that against an owner that says nothing.
func (c *Core) letGo(r *Request) {
	if c.claims[r.id] != nil {
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: kiteslip.NotStarted})
	}
}

// unclaim ends a request that never started here, with what became of its key.
// The module hears of no run: one that took no time would mislead it.
func (c *Core) unclaim(r *Request, outcome kiteslip.Outcome, result []byte) {
	r.phase, r.outcome, r.result = ended, outcome, result
	c.touch(r)
	if outcome != kiteslip.OK {
		r.outcome = kiteslip.Failed // another try may have run: no refusal
	}
	if e := c.table[r.entry]; outcome == kiteslip.NotStarted && e != nil && e.ran == r {
		e.ran, e.guard = nil, 0
		c.unrecord(r)
	}
	c.over(r, 0, kiteslip.NotStarted)
}

// PeerRunEnded takes in the end of a run of the other process.
func (c *Core) PeerRunEnded(class int, key string, arrived int64, outcome kiteslip.Outcome, result []byte) {
	if e := c.table[keyName(class, key)]; e != nil && e.ran != nil && e.ran.elsewhere && e.ran.Arrived == arrived {
		c.Done(e.ran, outcome, 0, result)
	}
}

// PeerLost takes in that the other process is gone, or is not heard any more.
// What it runs ends without a result, and what it was asked about fails.
func (c *Core) PeerLost() {
	c.peer = nil
	for _, e := range c.table {
		if e.ran != nil && e.ran.elsewhere && e.ran.phase == running {
			c.Done(e.ran, kiteslip.Failed, 0, nil)
		}
	}
	clear(c.granting)
	if c.owner {
		return // what is claimed waits for a record of our own
	}
	for id, r := range c.claims {
		delete(c.claims, id)
		c.unclaim(r, kiteslip.Failed, nil)
	}
}

// tell says to the other process what became of a key of which it keeps the record.
func (c *Core) tell(r *Request) {
	if c.peer == nil {
		return
	}
	if !c.owner && !r.elsewhere && c.keyed(r.Class) {
		c.peer.RunEnded(r.Class, r.Key, r.Arrived, r.outcome, r.result)
	}
	for _, id := range r.claims {
		outcome := r.outcome
		if outcome == kiteslip.NotStarted {
			outcome = kiteslip.Failed
		}
		c.peer.Deny(id, outcome, r.result)
	}
	r.claims = nil
}

// HandedOver takes in that another process has taken this one's place: it is
// stopped at stop, and still answers what it reads.
func (c *Core) HandedOver(stop int64) {
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Handover, Deadline: stop})
}

// SetPeerLoad takes in what the other process has on the engine that both share.
func (c *Core) SetPeerLoad(runs int, sizeKB float64) {
	if c.pools != nil {
		c.pools.SetPeerLoad(c.now, runs)
	}
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.PeerLoad, Runs: runs, SizeKB: sizeKB})
}

// KeyedRuns is the number of keyed requests that run here, or are about to.
func (c *Core) KeyedRuns() int {
	n := 0
	for _, r := range c.open {
		if r.phase == running && c.keyed(r.Class) {
			n++
		}
	}
	return n
}

// EngineLoad is the number of requests that run here and the memory booked for all that is in hand.
func (c *Core) EngineLoad() (runs int, sizeKB float64) {
	for _, r := range c.open {
		if r.phase == running && c.claims[r.id] == nil {
			runs++
			sizeKB += r.SizeKB * max(1, c.set.Policy.RunFactor)
		} else if r.phase == paused {
			sizeKB += r.SizeKB * max(1, c.set.Policy.RunFactor)
		} else if !r.answered {
			sizeKB += r.SizeKB
		}
	}
	return runs, sizeKB
}
