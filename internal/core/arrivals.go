package core

import (
	"fmt"
	"strconv"

	"kiteslip"
	"kiteslip/internal/reject"
)

// stampAhead is how far a caller's clock may be ahead of this one, and
// PatienceMost how many times the class's deadline a caller may say it waits.
const (
	stampAhead      = 5_000_000
	MaxWaitMultiple = 2
)

// Submit takes in a request that was read at now; it may be answered before
// Arrive returns. An error means that the request was not taken and nothing is
// owed for it by the Core.
func (c *Core) Submit(now int64, r *Request) error {
	if c.names[r.TryID] != nil {
		return turnedDown("id_in_use", "the id %q names an open request", r.TryID)
	}
	class := &c.set.Policy.Classes[r.Class]
	told := r.Deadline
	if r.Deadline == 0 {
		r.Deadline = r.Arrived + class.Timeout // the client waits no longer, whatever its caller does
	}
	// Guards what the module learns, of the time to be read and of patience,
	// against figures that no caller of this site can mean.
	switch {
	case class.Effect == kiteslip.Keyed && r.Key == "":
		return turnedDown("key_absent", "a request of a keyed class has no key")
	case r.Arrived > now+stampAhead:
		return turnedDown("stamp_ahead", "the stamp lies %d ms ahead of the clock", (r.Arrived-now)/1000)
	case r.Deadline-r.Arrived > MaxWaitMultiple*class.Timeout:
		return turnedDown("wait_too_long", "a wait of %d ms, where clients wait %d", (r.Deadline-r.Arrived)/1000, class.Timeout/1000)
	case r.Deadline <= now:
		c.tooLate(r)
		return nil
	}
	if class.Effect == kiteslip.Keyed {
		r.entry, r.sum = keyName(r.Class, r.Key), bodySum(r.Body)
		if c.foreign(r) {
			return turnedDown("key_foreign", "the key %.40q belongs to a request with another body", r.Key)
		}
	} else if class.Effect == kiteslip.Repeatable && r.Subject != 0 && c.set.Policy.ReuseFor > 0 {
		r.entry = fmt.Sprint(r.Class, ":", r.Subject)
	}
	if c.retired(r) {
		c.turnAway(r, Answer{Code: Refused})
		return nil
	}
	// Guards the window of a key where a stamp lies ahead of the clock: whether this one falls in another's is
	// judged by the clock, and its own is counted from the stamp.
	r.stamp, r.window = r.Arrived, class.Window
	r.Arrived = min(r.Arrived, now)
	c.nextID++
	r.id = c.nextID
	c.open[r.id], c.names[r.TryID] = r, r
	c.touch(r)
	c.owed++
	c.counts.Received++
	if c.dueAt == 0 || r.Deadline-dueMargin < c.dueAt {
		c.dueAt = r.Deadline - dueMargin
	}
	c.events = append(c.events, kiteslip.Event{
		Kind: kiteslip.Arrive, ID: r.id, DuplicateOf: c.prior(now, r), Class: r.Class, Tenant: r.Tenant,
		Caller: r.Caller, Key: r.Subject, Deadline: told, Retry: r.Retry, Waited: max(0, now-r.Arrived), WorkHint: r.ExpectedWork,
		SizeKB: r.SizeKB, Rank: r.Rank, Write: r.Write,
	})
	return nil
}

func turnedDown(cause, format string, args ...any) error {
	return &reject.Error{Cause: cause, Err: fmt.Errorf(format, args...)}
}

// keyName names the entry of a key in the table.
func keyName(class int, key string) string { return strconv.Itoa(class) + "/" + key }

// tooLate answers a request whose caller had given up when it was read.
func (c *Core) tooLate(r *Request) {
	if c.set.Policy.Classes[r.Class].Effect == kiteslip.Repeatable {
		c.turnAway(r, Answer{Code: Refused})
	} else { // another try may have run
		c.turnAway(r, Answer{Code: Failed, Cause: DeadlineExceeded})
	}
}

// turnAway answers a request that the module never hears of.
func (c *Core) turnAway(r *Request, a Answer) {
	c.counts.Received++
	c.owed++
	r.phase = dropped
	c.answer(r, a)
}

// retired says whether r is of a class that is no longer served, which callers
// may learn late. A key that has run, or may have, is still answered as ever.
func (c *Core) retired(r *Request) bool {
	if r.Class >= len(c.set.RetiredClasses) || !c.set.RetiredClasses[r.Class] {
		return false
	}
	e := c.table[r.entry]
	return !c.keyed(r.Class) || c.owner && !c.inDoubt(r.Arrived) && (e == nil || e.ran == nil)
}

// foreign says whether the key of r stands for another request. Guards the
// meaning of 'served': the result of that one was not made for this body.
func (c *Core) foreign(r *Request) bool {
	e := c.table[r.entry]
	switch {
	case e == nil:
		return false
	case e.ran != nil && r.Arrived <= max(e.guard, e.until):
		return e.ran.sum != r.sum
	}
	return e.kept != nil && e.kept.phase == held && !e.kept.answered && e.kept.sum != r.sum
}

// runsFor says whether a run of the same request goes on. Guards what is keyed
// against two runs at once, where a window is shorter than a run.
func (e *entry) runsFor(r *Request) bool {
	return e.ran != nil && e.ran != r && (e.ran.phase == running || e.ran.phase == paused || e.ran.ending) && e.ran.sum == r.sum
}

// windowEnd is until when no other try of the key of r may run, if r does.
func (c *Core) windowEnd(r *Request) int64 {
	return max(r.Arrived, r.stamp) + max(r.window, c.set.Policy.Classes[r.Class].Window) + keyMargin
}

// prior finds the request that r repeats, and enters r where there is none.
func (c *Core) prior(now int64, r *Request) kiteslip.RequestID {
	if r.entry == "" {
		return 0
	}
	keyed := c.set.Policy.Classes[r.Class].Effect == kiteslip.Keyed
	e := c.table[r.entry]
	switch {
	case e == nil:
	case keyed && e.ran != nil && (r.Arrived <= max(e.guard, e.until) || e.runsFor(r)):
		return e.ran.id
	case e.kept != nil && r.Arrived <= e.until && e.kept.phase == held && !e.kept.answered:
		return e.kept.id
	case !keyed && e.kept != nil && r.Arrived <= e.until && (e.kept.phase == running ||
		e.kept.phase == ended && e.kept.outcome == kiteslip.OK && r.Arrived <= e.kept.endedAt+c.set.Policy.ReuseFor):
		return e.kept.id
	}
	if keyed && (e == nil || e.ran == nil) {
		// Two that come in one batch know of each other before the module has kept the first.
		c.table[r.entry] = &entry{kept: r, until: max(now, r.Arrived) + c.set.Policy.Classes[r.Class].Window}
	}
	return 0
}

// Disconnected takes in that nobody waits for r any longer.
func (c *Core) Disconnected(r *Request) {
	if r.answered {
		return
	}
	c.counts.Disconnected++
	c.settle(r)
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Disconnected, ID: r.id})
	if r.phase == held || r.phase == copying || r.phase == paused {
		c.drop(r)
	}
	c.letGo(r)
}
