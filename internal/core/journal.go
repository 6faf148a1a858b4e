package core

import (
	"kiteslip"
)

// A journal keeps what is known of keyed requests beyond this process. That a
// run may start is on record before it does, and its end before it is answered,
// unless the due time comes first. docs/design/keys.md has the whole promise.

// Journal takes records. Its calls do not wait; each Begin and each End under a
// token other than 0 is followed by one Recorded.
type Journal interface {
	Begin(token uint32, r Record)
	End(token uint32, r Record)
	Delete(r Record) // the run did not start, and will not
}

// journalled is what a Core keeps for its journal.
type journalled struct {
	unsafe   bool // runs start without a record where none can be written
	granting map[kiteslip.RequestID]grant
	ends     map[kiteslip.RequestID]*Request // whose end is being recorded
	noRecord int                             // runs that started without a record
}

// grant is a run of the other process that waits for its record.
type grant struct {
	r     *Request
	claim uint32
}

// SetJournal makes j the journal from now on; nil = there is none. unsafe says what to
// do where it fails: to run all the same, or to refuse.
func (c *Core) SetJournal(j Journal, unsafe bool) {
	c.journal, c.unsafe = j, unsafe
	if c.granting == nil {
		c.granting, c.ends = map[kiteslip.RequestID]grant{}, map[kiteslip.RequestID]*Request{}
	}
	c.worker.Reconfigure(c.prepared(c.set.Policy)) //nolint:errcheck // these settings are in use
}

// prepared returns settings in which keyed classes are prepared where there is
// a journal. While the other process of an upgrade has the keys there is none.
func (c *Core) prepared(m kiteslip.Settings) kiteslip.Settings {
	classes := make([]kiteslip.Class, len(m.Classes))
	for i, class := range m.Classes {
		class.Prepare = c.journal != nil && class.Effect == kiteslip.Keyed
		classes[i] = class
	}
	m.Classes = classes
	return m
}

// recordOf words what is known of r.
func (c *Core) recordOf(r *Request, guard int64) Record {
	return Record{Class: r.Class, Key: r.Key, Arrived: r.Arrived, WindowEnd: guard, BodyHash: r.sum, Finished: r.phase == ended,
		Outcome: r.outcome, Result: r.result, TryID: r.TryID, Deadline: r.Deadline}
}

func (c *Core) guardOf(r *Request) int64 {
	if e := c.table[r.entry]; e != nil && e.ran == r {
		return e.guard
	}
	return c.windowEnd(r)
}

// record asks for the record of a start.
func (c *Core) record(r *Request) {
	r.recorded = true
	c.journal.Begin(uint32(r.id), c.recordOf(r, c.guardOf(r)))
}

// prepare makes a held request ready to begin. One that will not start here by
// itself (its key has run, the owner is asked) needs no record.
func (c *Core) prepare(r *Request) {
	if r.phase != held || r.answered {
		return
	}
	e := c.table[r.entry]
	if c.journal == nil || !c.owner || !c.keyed(r.Class) || e != nil && e.ran != nil && r.Arrived <= e.guard || c.inDoubt(r.Arrived) {
		c.ready(r)
		return
	}
	c.record(r)
}

func (c *Core) ready(r *Request) {
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Ready, ID: r.id})
}

// Recorded takes in that what was asked under that token is on record, or can't be.
func (c *Core) Recorded(now int64, token uint32, err error) {
	id := kiteslip.RequestID(token)
	if r := c.ends[id]; r != nil {
		delete(c.ends, id)
		if r.ending {
			c.finish(r) // also where it can't be recorded: it has run, and this is its result
		}
		return
	}
	if g, ok := c.granting[id]; ok {
		delete(c.granting, id)
		c.granted(g, err)
		return
	}
	r := c.open[id]
	if r == nil || !r.recorded {
		return // it was over before; Never was told
	}
	if err != nil && c.unsafe {
		c.noRecord++
		err = nil
	}
	switch {
	case c.claims[id] != nil && err == nil:
		c.Granted(now, token)
	case c.claims[id] != nil:
		delete(c.claims, id)
		c.unclaim(r, kiteslip.NotStarted, nil)
	case r.phase != held:
	case err == nil:
		c.ready(r)
	default:
		c.refuseUnrecorded(r)
	}
}

// refuseUnrecorded answers a held request whose start can't be recorded: it has
// not run, and will not.
func (c *Core) refuseUnrecorded(r *Request) {
	if !r.answered {
		c.answer(r, Answer{Code: Refused, RetryAfter: c.set.Policy.MaxRetryAfter})
	}
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Disconnected, ID: r.id})
	c.drop(r)
}

// granted answers the other process, whose run has its record, or can't have one.
func (c *Core) granted(g grant, err error) {
	if err != nil && !c.unsafe {
		if e := c.table[g.r.entry]; e != nil && e.ran == g.r {
			e.ran, e.guard = nil, 0
		}
		c.unrecord(g.r)
		g.r.phase, g.r.outcome = ended, kiteslip.Failed
		c.serveCopies(g.r)
		if c.peer != nil {
			c.peer.Deny(g.claim, kiteslip.Failed, nil)
		}
		return
	}
	if c.peer != nil {
		c.peer.Grant(g.claim)
	}
}

// unrecord takes the record of r back, which never ran.
func (c *Core) unrecord(r *Request) {
	if r.recorded && c.journal != nil {
		c.journal.Delete(c.recordOf(r, c.guardOf(r)))
	}
	r.recorded = false
}

// recordEnd asks for the record of r's end, and says whether that is to be waited for.
func (c *Core) recordEnd(r *Request) bool {
	if c.journal == nil || !c.owner || !c.keyed(r.Class) {
		return false
	}
	rec := c.recordOf(r, c.guardOf(r))
	if r.outcome == kiteslip.NotStarted {
		c.journal.Delete(rec)
		return false
	}
	r.ending = true
	c.ends[r.id] = r
	c.journal.End(uint32(r.id), rec)
	return true
}

// rerecord writes a record anew whose window has become longer.
func (c *Core) rerecord(e *entry) {
	if c.journal == nil || !c.owner {
		return
	}
	if rec := c.recordOf(e.ran, e.guard); rec.Finished {
		c.journal.End(0, rec)
	} else {
		c.journal.Begin(0, rec)
	}
}

// UnrecordedRuns is the number of runs that started though nothing could be recorded.
func (c *Core) UnrecordedRuns() int { return c.noRecord }
