package core

import "kiteslip"

// Downstream calls and pauses; docs/design/calls.md has the states of a run. The
// policy decides which calls are made. The Core ensures that each call ends once,
// that a reply reaches only the run that asked for it, and that a call whose run
// is over is abandoned.

// Engine is a Runner that can halt runs and continue those that wait for a
// downstream call. With a Runner that is no Engine, no run can call or be paused.
type Engine interface {
	Runner
	Halt(r *Request)                // stops the run as Settings.Stop says; ends with a Done
	Resume(r *Request)              // continues a paused run
	Reply(r *Request, reply []byte) // continues with the reply to its call
	Skip(r *Request, notice uint64) // continues without the call that was requested under that number
}

// Ledger makes downstream calls. Its methods do not block: each Call ends with
// one CallDone with its token, unless it is abandoned before.
type Ledger interface {
	Call(token uint64, ref string, body []byte, timeout int64)
	Abandon(token uint64)
}

// pendingCall is the downstream call that a run waits for.
type pendingCall struct {
	notice uint64 // the number of the engine's notice that requested it
	body   []byte
	token  uint64 // of the call in flight; 0 = none
	madeAt int64  // when the call in flight was made
}

// callState holds the downstream calls of a Core.
type callState struct {
	engine    Engine // nil = the Runner is no Engine
	ledger    Ledger // nil = there is no downstream
	lastToken uint64
	inFlight  map[uint64]*Request // by token
}

// SetLedger sets where calls go; with nil each call ends as Unreachable.
func (c *Core) SetLedger(l Ledger) { c.calls.ledger = l }

// CallsInFlight returns the number of calls that have not ended.
func (c *Core) CallsInFlight() int { return len(c.calls.inFlight) }

// NeedsCall reports that the run of r waits for a downstream call. An earlier
// call of the run is over: a run requests another only once it has continued.
func (c *Core) NeedsCall(r *Request, notice uint64, body []byte) {
	if r.phase != running {
		return
	}
	c.abandonCall(r)
	r.call = &pendingCall{notice: notice, body: body}
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.NeedsCall, ID: r.id})
}

// call makes the call that r waits for.
func (c *Core) call(now int64, r *Request, timeout int64) {
	s := r.call
	if s == nil || s.token != 0 || r.phase != running {
		return
	}
	if timeout <= 0 {
		timeout = c.settings.Policy.Classes[r.Class].Timeout
	}
	c.calls.lastToken++
	s.token, s.madeAt = c.calls.lastToken, now
	c.calls.inFlight[s.token] = r
	if c.calls.ledger == nil {
		c.CallDone(now, s.token, kiteslip.Unreachable, nil)
		return
	}
	c.calls.ledger.Call(s.token, r.TryID, s.body, timeout)
}

// CallDone handles the end of a call and reports whether a run waited for it.
// After OK the run continues with the reply; otherwise it still waits for a call.
func (c *Core) CallDone(now int64, token uint64, outcome kiteslip.Outcome, reply []byte) bool {
	r := c.calls.inFlight[token]
	if r == nil {
		return false // its run is over, or it was abandoned
	}
	delete(c.calls.inFlight, token)
	s := r.call
	s.token = 0
	if outcome == kiteslip.OK {
		r.call = nil
		c.calls.engine.Reply(r, reply)
	}
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.CallDone, ID: r.id, Outcome: outcome, Elapsed: max(0, now-s.madeAt)})
	return true
}

// skip continues the run of r without its call.
func (c *Core) skip(r *Request) {
	if s := r.call; s != nil && s.token == 0 && r.phase == running {
		r.call = nil
		c.calls.engine.Skip(r, s.notice)
	}
}

// abandonCall abandons the call in flight for r, if there is one.
func (c *Core) abandonCall(r *Request) {
	if r.call != nil && r.call.token != 0 {
		delete(c.calls.inFlight, r.call.token)
		if c.calls.ledger != nil {
			c.calls.ledger.Abandon(r.call.token)
		}
		r.call.token = 0
	}
}

// abandonUnneededCall abandons the call of a request that was answered or whose
// caller is gone, if the class is repeatable. The calls of other classes go on:
// another try may want the result.
func (c *Core) abandonUnneededCall(r *Request) {
	if c.settings.Policy.Classes[r.Class].Effect == kiteslip.Repeatable {
		c.abandonCall(r)
	}
}

// halt stops the run of r.
func (c *Core) halt(r *Request) {
	if c.calls.engine != nil && r.phase == running && !r.remote && c.awaitingStart[r.id] == nil {
		r.halting = true
		c.calls.engine.Halt(r)
	}
}

// runHalted handles the end of a run that the policy halted before its answer,
// and reports whether that is what ended it. The run is paused with its work
// kept, or queued to run again if it is repeatable. A run of another class whose
// work is lost has failed, because it must not run twice.
func (c *Core) runHalted(r *Request) bool {
	if !r.halting || r.answered {
		return false
	}
	switch {
	case c.settings.Policy.Stop == kiteslip.StopFreeze:
		r.phase = paused
	case c.settings.Policy.Classes[r.Class].Effect == kiteslip.Repeatable:
		r.phase = queued
	default:
		return false
	}
	r.halting, r.call = false, nil
	c.markChanged(r)
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: kiteslip.Cancelled})
	return true
}

// resume continues a paused run.
func (c *Core) resume(r *Request) {
	r.phase = running
	c.markChanged(r)
	c.calls.engine.Resume(r)
}
