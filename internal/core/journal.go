package core

import (
	"kiteslip"
)

// The journal keeps the record of keyed runs beyond the life of this process. A
// start is recorded before the run begins, and its end before it is answered,
// unless the deadline comes first. docs/design/keys.md states the full guarantee.

// Journal stores records. Its calls do not block; each Begin and End with a token
// other than 0 is followed by one Recorded.
type Journal interface {
	Begin(token uint32, r Record)
	End(token uint32, r Record)
	Delete(r Record) // the run has not started and will not
}

// journalState is the state of a Core concerning its journal.
type journalState struct {
	failOpen       bool // runs start unrecorded where the journal fails
	pendingGrants  map[kiteslip.RequestID]pendingGrant
	pendingEnds    map[kiteslip.RequestID]*Request // runs whose end is being recorded
	unrecordedRuns int                             // runs that started although nothing could be recorded
}

// pendingGrant is a claimed run of the peer that waits for its record.
type pendingGrant struct {
	r     *Request
	claim uint32
}

// SetJournal sets the journal; nil = there is none. failOpen says what to do with
// keyed requests while it fails: run them unrecorded, or refuse them.
func (c *Core) SetJournal(j Journal, failOpen bool) {
	c.journal, c.failOpen = j, failOpen
	if c.pendingGrants == nil {
		c.pendingGrants, c.pendingEnds = map[kiteslip.RequestID]pendingGrant{}, map[kiteslip.RequestID]*Request{}
	}
	c.policy.Reconfigure(c.withPrepare(c.settings.Policy)) //nolint:errcheck // these settings are already in force
}

// withPrepare returns settings in which keyed classes are prepared if there is a
// journal. While the peer owns the keys there is none.
func (c *Core) withPrepare(s kiteslip.Settings) kiteslip.Settings {
	classes := make([]kiteslip.Class, len(s.Classes))
	for i, class := range s.Classes {
		class.Prepare = c.journal != nil && class.Effect == kiteslip.Keyed
		classes[i] = class
	}
	s.Classes = classes
	return s
}

// recordOf returns the record of r.
func (c *Core) recordOf(r *Request, windowEnd int64) Record {
	return Record{Class: r.Class, Key: r.Key, Arrived: r.Arrived, WindowEnd: windowEnd, BodyHash: r.bodyHash, Finished: r.phase == ended,
		Outcome: r.outcome, Result: r.result, TryID: r.TryID, Deadline: r.Deadline}
}

// windowEndOf returns the end of the window of r's key.
func (c *Core) windowEndOf(r *Request) int64 {
	if e := c.keyTable[r.entry]; e != nil && e.started == r {
		return e.windowEnd
	}
	return c.windowEnd(r)
}

// recordStart has the start of r recorded.
func (c *Core) recordStart(r *Request) {
	r.recorded = true
	c.journal.Begin(uint32(r.id), c.recordOf(r, c.windowEndOf(r)))
}

// prepare makes a queued request ready to start. One that will not start here by
// itself, because its key has run or the peer must be asked, needs no record.
func (c *Core) prepare(r *Request) {
	if r.phase != queued || r.answered {
		return
	}
	e := c.keyTable[r.entry]
	if c.journal == nil || !c.OwnsKeys() || !c.keyed(r.Class) || e != nil && e.started != nil && r.Arrived <= e.windowEnd || c.inDoubt(r.Arrived) {
		c.reportReady(r)
		return
	}
	c.recordStart(r)
}

// reportReady tells the policy that r is prepared.
func (c *Core) reportReady(r *Request) {
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Ready, ID: r.id})
}

// Recorded reports that the record written under that token is durable, or failed.
func (c *Core) Recorded(now int64, token uint32, err error) {
	id := kiteslip.RequestID(token)
	if r := c.pendingEnds[id]; r != nil {
		delete(c.pendingEnds, id)
		if r.recordingEnd {
			c.finish(r) // also if the write failed: it has run, and this is its result
		}
		return
	}
	if g, ok := c.pendingGrants[id]; ok {
		delete(c.pendingGrants, id)
		c.grantRecorded(g, err)
		return
	}
	r := c.tracked[id]
	if r == nil || !r.recorded {
		return // it ended before; its record was deleted
	}
	if err != nil && c.failOpen {
		c.unrecordedRuns++
		err = nil
	}
	switch {
	case c.awaitingStart[id] != nil && err == nil:
		c.Granted(now, token)
	case c.awaitingStart[id] != nil:
		delete(c.awaitingStart, id)
		c.endUnstarted(r, kiteslip.NotStarted, nil)
	case r.phase != queued:
	case err == nil:
		c.reportReady(r)
	default:
		c.refuseUnrecorded(r)
	}
}

// refuseUnrecorded refuses a queued request whose start can't be recorded, and
// which therefore will not run.
func (c *Core) refuseUnrecorded(r *Request) {
	if !r.answered {
		c.answer(r, Answer{Code: Refused, RetryAfter: c.settings.Policy.MaxRetryAfter})
	}
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Disconnected, ID: r.id})
	c.drop(r)
}

// grantRecorded answers the peer's claim once the start is recorded, or can't be.
func (c *Core) grantRecorded(g pendingGrant, err error) {
	if err != nil && !c.failOpen {
		if e := c.keyTable[g.r.entry]; e != nil && e.started == g.r {
			e.started, e.windowEnd = nil, 0
		}
		c.deleteRecord(g.r)
		g.r.phase, g.r.outcome = ended, kiteslip.Failed
		c.serveDuplicates(g.r)
		if c.peer != nil {
			c.peer.Deny(g.claim, kiteslip.Failed, nil)
		}
		return
	}
	if c.peer != nil {
		c.peer.Grant(g.claim)
	}
}

// deleteRecord deletes the record of r, which never ran.
func (c *Core) deleteRecord(r *Request) {
	if r.recorded && c.journal != nil {
		c.journal.Delete(c.recordOf(r, c.windowEndOf(r)))
	}
	r.recorded = false
}

// recordEnd has the end of r recorded and reports whether to wait for that.
func (c *Core) recordEnd(r *Request) bool {
	if c.journal == nil || !c.OwnsKeys() || !c.keyed(r.Class) {
		return false
	}
	rec := c.recordOf(r, c.windowEndOf(r))
	if r.outcome == kiteslip.NotStarted {
		c.journal.Delete(rec)
		return false
	}
	r.recordingEnd = true
	c.pendingEnds[r.id] = r
	c.journal.End(uint32(r.id), rec)
	return true
}

// RecordKnownEnd records the end of a run whose stored record rec has none, if this
// process has learned the end meanwhile, from the peer.
func (c *Core) RecordKnownEnd(rec Record) {
	e := c.keyTable[entryName(rec.Class, rec.Key)]
	if c.journal == nil || e == nil || e.started == nil || e.started.phase != ended || e.started.outcomeUnknown || e.started.Arrived != rec.Arrived {
		return
	}
	c.journal.End(0, c.recordOf(e.started, e.windowEnd))
}

// rewriteRecord writes the record again after its window has become longer.
func (c *Core) rewriteRecord(e *keyEntry) {
	if c.journal == nil || !c.OwnsKeys() {
		return
	}
	if rec := c.recordOf(e.started, e.windowEnd); rec.Finished {
		c.journal.End(0, rec)
	} else {
		c.journal.Begin(0, rec)
	}
}

// UnrecordedRuns returns the number of runs that started although nothing could be recorded.
func (c *Core) UnrecordedRuns() int { return c.unrecordedRuns }
