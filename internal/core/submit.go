package core

import (
	"fmt"
	"strconv"

	"kiteslip"
	"kiteslip/internal/reject"
)

// maxClockAheadUS is how far a caller's clock may be ahead of this one, and
// MaxWaitMultiple how many class timeouts a caller may say that it waits.
const (
	maxClockAheadUS = 5_000_000
	MaxWaitMultiple = 2
)

// Submit accepts a request that was read at now; it may be answered before
// Submit returns. An error means that the request was not accepted, and the Core
// will not answer it.
func (c *Core) Submit(now int64, r *Request) error {
	if c.byTryID[r.TryID] != nil {
		return rejected("id_in_use", "the id %q names an open request", r.TryID)
	}
	class := &c.settings.Policy.Classes[r.Class]
	statedDeadline := r.Deadline
	if r.Deadline == 0 {
		r.Deadline = r.Arrived + class.Timeout // the client behind the caller waits no longer
	}
	// Keeps implausible times out of the read delays and waiting times that the
	// policy learns from.
	switch {
	case class.Effect == kiteslip.Keyed && r.Key == "":
		return rejected("key_absent", "a request of a keyed class has no key")
	case r.Arrived > now+maxClockAheadUS:
		return rejected("stamp_ahead", "the stamp lies %d ms ahead of the clock", (r.Arrived-now)/1000)
	case r.Deadline-r.Arrived > MaxWaitMultiple*class.Timeout:
		return rejected("wait_too_long", "a wait of %d ms, where clients wait %d", (r.Deadline-r.Arrived)/1000, class.Timeout/1000)
	case r.Deadline <= now:
		c.answerExpired(r)
		return nil
	}
	if class.Effect == kiteslip.Keyed {
		r.entry, r.bodyHash = entryName(r.Class, r.Key), hashBody(r.Body)
		if c.keyConflict(r) {
			return rejected("key_foreign", "the key %.40q belongs to a request with another body", r.Key)
		}
	} else if class.Effect == kiteslip.Repeatable && r.Subject != 0 && c.settings.Policy.ReuseFor > 0 {
		r.entry = fmt.Sprint(r.Class, ":", r.Subject)
	}
	if c.retired(r) {
		c.answerUntracked(r, Answer{Code: Refused})
		return nil
	}
	// The caller's clock may be ahead of this one. Whether this request falls in the window of another is judged by
	// this clock, but its own window counts from the caller's time, so that it is not cut short.
	r.clientTime, r.window = r.Arrived, class.Window
	r.Arrived = min(r.Arrived, now)
	c.nextID++
	r.id = c.nextID
	c.tracked[r.id], c.byTryID[r.TryID] = r, r
	c.markChanged(r)
	c.outstanding++
	c.counts.Received++
	if c.overdueAt == 0 || r.Deadline-answerMarginUS < c.overdueAt {
		c.overdueAt = r.Deadline - answerMarginUS
	}
	c.events = append(c.events, kiteslip.Event{
		Kind: kiteslip.Arrive, ID: r.id, DuplicateOf: c.findOriginal(now, r), Class: r.Class, Tenant: r.Tenant,
		Caller: r.Caller, Key: r.Subject, Deadline: statedDeadline, Retry: r.Retry, Waited: max(0, now-r.Arrived), WorkHint: r.ExpectedWork,
		SizeKB: r.SizeKB, Rank: r.Rank, Write: r.Write,
	})
	return nil
}

// rejected returns an error with a cause to count it by.
func rejected(cause, format string, args ...any) error {
	return &reject.Error{Cause: cause, Err: fmt.Errorf(format, args...)}
}

// entryName returns the name of a key's entry in the key table.
func entryName(class int, key string) string { return strconv.Itoa(class) + "/" + key }

// answerExpired answers a request whose deadline had passed when it was read.
func (c *Core) answerExpired(r *Request) {
	if c.settings.Policy.Classes[r.Class].Effect == kiteslip.Repeatable {
		c.answerUntracked(r, Answer{Code: Refused})
	} else { // another try may have run
		c.answerUntracked(r, Answer{Code: Failed, Cause: DeadlineExceeded})
	}
}

// answerUntracked answers a request that the policy is not told of.
func (c *Core) answerUntracked(r *Request, a Answer) {
	c.counts.Received++
	c.outstanding++
	r.phase = dropped
	c.answer(r, a)
}

// retired reports whether r must be refused because its class is retired, which
// callers may learn late. A key that has run, or may have, is answered as usual.
func (c *Core) retired(r *Request) bool {
	if r.Class >= len(c.settings.RetiredClasses) || !c.settings.RetiredClasses[r.Class] {
		return false
	}
	e := c.keyTable[r.entry]
	return !c.keyed(r.Class) || c.OwnsKeys() && !c.inDoubt(r.Arrived) && (e == nil || e.started == nil)
}

// keyConflict reports whether the key of r stands for a request with another
// body. Serving r with that result would give it an answer to another request.
func (c *Core) keyConflict(r *Request) bool {
	e := c.keyTable[r.entry]
	switch {
	case e == nil:
		return false
	case e.started != nil && r.Arrived <= max(e.windowEnd, e.duplicatesUntil):
		return e.started.bodyHash != r.bodyHash
	}
	return e.holder != nil && e.holder.phase == queued && !e.holder.answered && e.holder.bodyHash != r.bodyHash
}

// inProgressFor reports whether a run of the same request as r is in progress.
// It prevents two runs of a key at once where the window is shorter than a run.
func (e *keyEntry) inProgressFor(r *Request) bool {
	return e.started != nil && e.started != r && (e.started.phase == running || e.started.phase == paused || e.started.recordingEnd) && e.started.bodyHash == r.bodyHash
}

// windowEnd returns the end of the window that r opens if it runs: no other try
// of its key that arrived by then may run.
func (c *Core) windowEnd(r *Request) int64 {
	return max(r.Arrived, r.clientTime) + max(r.window, c.settings.Policy.Classes[r.Class].Window) + keyMarginUS
}

// findOriginal returns the ID of the request that r duplicates, or 0. A keyed
// request without an original gets a key entry.
func (c *Core) findOriginal(now int64, r *Request) kiteslip.RequestID {
	if r.entry == "" {
		return 0
	}
	keyed := c.settings.Policy.Classes[r.Class].Effect == kiteslip.Keyed
	e := c.keyTable[r.entry]
	switch {
	case e == nil:
	case keyed && e.started != nil && (r.Arrived <= max(e.windowEnd, e.duplicatesUntil) || e.inProgressFor(r)):
		return e.started.id
	case e.holder != nil && r.Arrived <= e.duplicatesUntil && e.holder.phase == queued && !e.holder.answered:
		return e.holder.id
	case !keyed && e.holder != nil && r.Arrived <= e.duplicatesUntil && (e.holder.phase == running ||
		e.holder.phase == ended && e.holder.outcome == kiteslip.OK && r.Arrived <= e.holder.endedAt+c.settings.Policy.ReuseFor):
		return e.holder.id
	}
	if keyed && (e == nil || e.started == nil) {
		// Entered at once, so that two duplicates in one batch are recognised before the policy asks to retain the first.
		c.keyTable[r.entry] = &keyEntry{holder: r, duplicatesUntil: max(now, r.Arrived) + c.settings.Policy.Classes[r.Class].Window}
	}
	return 0
}

// Disconnected reports that the caller of r has gone.
func (c *Core) Disconnected(r *Request) {
	if r.answered {
		return
	}
	c.counts.Disconnected++
	c.markAnswered(r)
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Disconnected, ID: r.id})
	if r.phase == queued || r.phase == awaitingResult || r.phase == paused {
		c.drop(r)
	}
	c.releaseRunningSlot(r)
}
