package core

import "kiteslip"

// Calls below and pauses: docs/design/calls.md has the states of a run. The
// module decides which calls are made; here each call ends once, a reply
// reaches its own run only, and a call whose run is over is given up.

// Engine is a Runner that stops runs and answers those that stand at a call.
// With a Runner that is none, no run can stand or be paused.
type Engine interface {
	Runner
	Halt(r *Request)                // stop it, in the way that the settings name; ends with a Done
	Resume(r *Request)              // go on with a paused one
	Reply(r *Request, reply []byte) // go on with the reply to its call
	Skip(r *Request, notice uint64) // go on without the call that was asked for under that number
}

// Ledger makes calls. Its methods do not wait: each Call ends with one Called
// under its token, unless it is abandoned before.
type Ledger interface {
	Call(token uint64, ref string, body []byte, patience int64)
	Abandon(token uint64)
}

// stand is the call that a run needs.
type stand struct {
	notice uint64 // under which the engine asked for it
	body   []byte
	token  uint64 // of the call that is out; 0 = none is
	since  int64  // when it was made
}

// calls is what a Core knows of calls below.
type calls struct {
	engine Engine // nil = the Runner is none
	ledger Ledger // nil = nothing lies below
	last   uint64
	out    map[uint64]*Request // by token
}

// SetLedger makes l the one that calls go to; nil = each call ends as unreachable.
func (c *Core) SetLedger(l Ledger) { c.calls.ledger = l }

// CallsInFlight is the number of calls that are out.
func (c *Core) CallsInFlight() int { return len(c.calls.out) }

// NeedsCall takes in that the run of r stands at a call. What stood before is over:
// a run asks again only once it has gone on.
func (c *Core) NeedsCall(r *Request, notice uint64, body []byte) {
	if r.phase != running {
		return
	}
	c.abandon(r)
	r.stand = &stand{notice: notice, body: body}
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.NeedsCall, ID: r.id})
}

// call makes the call that r stands at.
func (c *Core) call(now int64, r *Request, patience int64) {
	s := r.stand
	if s == nil || s.token != 0 || r.phase != running {
		return
	}
	if patience <= 0 {
		patience = c.set.Policy.Classes[r.Class].Timeout
	}
	c.calls.last++
	s.token, s.since = c.calls.last, now
	c.calls.out[s.token] = r
	if c.calls.ledger == nil {
		c.CallDone(now, s.token, kiteslip.Unreachable, nil)
		return
	}
	c.calls.ledger.Call(s.token, r.TryID, s.body, patience)
}

// CallDone takes in the end of a call and reports whether anybody waited for it.
// Where it went well the run goes on with the reply; else it stands as before.
func (c *Core) CallDone(now int64, token uint64, outcome kiteslip.Outcome, reply []byte) bool {
	r := c.calls.out[token]
	if r == nil {
		return false // its run is over, or it was given up
	}
	delete(c.calls.out, token)
	s := r.stand
	s.token = 0
	if outcome == kiteslip.OK {
		r.stand = nil
		c.calls.engine.Reply(r, reply)
	}
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.CallDone, ID: r.id, Outcome: outcome, Elapsed: max(0, now-s.since)})
	return true
}

// skip lets r go on without its call.
func (c *Core) skip(r *Request) {
	if s := r.stand; s != nil && s.token == 0 && r.phase == running {
		r.stand = nil
		c.calls.engine.Skip(r, s.notice)
	}
}

// abandon gives up the call that is out for r, if there is one.
func (c *Core) abandon(r *Request) {
	if r.stand != nil && r.stand.token != 0 {
		delete(c.calls.out, r.stand.token)
		if c.calls.ledger != nil {
			c.calls.ledger.Abandon(r.stand.token)
		}
		r.stand.token = 0
	}
}

// letCallGo gives up the call of a request that was answered, or that nobody
// waits for, where running it anew does no harm. What has an effect goes on:
// another try may want the result.
func (c *Core) letCallGo(r *Request) {
	if c.set.Policy.Classes[r.Class].Effect == kiteslip.Repeatable {
		c.abandon(r)
	}
}

// halt stops the run of r.
func (c *Core) halt(r *Request) {
	if c.calls.engine != nil && r.phase == running && !r.elsewhere && c.claims[r.id] == nil {
		r.halting = true
		c.calls.engine.Halt(r)
	}
}

// stopped takes in the end of a run that the module had stopped before its
// answer, and says whether it was that: its work is kept or lost, as the
// settings say, and the module may run it again. Guards the single run of a
// key, and of what cannot be recognised: with its work lost it has failed.
func (c *Core) stopped(r *Request) bool {
	if !r.halting || r.answered {
		return false
	}
	switch {
	case c.set.Policy.Stop == kiteslip.StopFreeze:
		r.phase = paused
	case c.set.Policy.Classes[r.Class].Effect == kiteslip.Repeatable:
		r.phase = held
	default:
		return false
	}
	r.halting, r.stand = false, nil
	c.touch(r)
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: kiteslip.Cancelled})
	return true
}

// resume lets a paused run go on.
func (c *Core) resume(r *Request) {
	r.phase = running
	c.touch(r)
	c.calls.engine.Resume(r)
}
