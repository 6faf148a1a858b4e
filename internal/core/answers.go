package core

import (
	"cmp"
	"slices"

	"kiteslip"
)

// answerMarginUS is how long before its deadline a request is answered if the
// policy has not done so.
const answerMarginUS = 2_000

// AnswerCounts counts final answers by their code.
type AnswerCounts struct{ Served, Refused, Failed int }

// add counts one answer.
func (n *AnswerCounts) add(code Code) {
	switch code {
	case Served:
		n.Served++
	case Refused:
		n.Refused++
	default:
		n.Failed++
	}
}

// answerFor returns the answer to a request that the policy has given up. The
// policy may refuse a repeatable request that is running, but callers are
// promised that a refused request never ran, so that one fails instead.
func (c *Core) answerFor(now int64, r *Request, a *kiteslip.Action) Answer {
	if a.Kind == kiteslip.Refuse && r.phase == queued && !r.everStarted {
		return Answer{Code: Refused, RetryAfter: a.After, NoFailover: a.On}
	}
	if now >= r.Deadline-c.deadlineSlack() {
		return Answer{Code: Failed, Cause: DeadlineExceeded}
	}
	return Answer{Code: Failed, Cause: Abandoned}
}

// deadlineSlack is the time before its deadline from which a request that the
// policy gives up fails with the cause DeadlineExceeded.
func (c *Core) deadlineSlack() int64 { return 2*c.settings.Policy.Tick + 50_000 }

// answer sends r its final answer, which must be its only one.
func (c *Core) answer(r *Request, a Answer) {
	c.counts.add(a.Code)
	c.answersByClass[r.Class].add(a.Code)
	from := r.ReplyTo
	c.markAnswered(r)
	from.Answer(r.Stream, a)
}

// markAnswered records that no answer is due for r any longer. ReplyTo is
// released because r itself may be kept for its result.
func (c *Core) markAnswered(r *Request) {
	r.answered, r.ReplyTo = true, nil
	c.abandonUnneededCall(r)
	c.markChanged(r)
	c.outstanding--
}

// drop removes a request that never ran, or that awaited another's result.
func (c *Core) drop(r *Request) {
	c.removeEntry(r)
	c.deleteRecord(r)
	r.phase = dropped
	c.markChanged(r)
	delete(c.tracked, r.id)
	delete(c.byTryID, r.TryID)
	c.serveDuplicates(r)
	r.Body = nil
}

// removeEntry removes the key entry of r, unless another try holds it or one has started.
func (c *Core) removeEntry(r *Request) {
	if e := c.keyTable[r.entry]; e != nil && e.holder == r && e.started == nil {
		delete(c.keyTable, r.entry)
	}
}

// answerOverdue answers the requests whose deadline has come and that the policy left unanswered.
func (c *Core) answerOverdue(now int64) {
	if c.overdueAt == 0 || now < c.overdueAt {
		return
	}
	c.overdueAt = 0
	var overdue []*Request
	for _, r := range c.tracked {
		if r.answered {
			continue
		}
		if at := r.Deadline - answerMarginUS; at > now {
			if c.overdueAt == 0 || at < c.overdueAt {
				c.overdueAt = at
			}
			continue
		}
		overdue = append(overdue, r)
	}
	c.answerAll(overdue)
}

// AnswerOutstanding answers all requests that still need a final answer, because
// the process ends now, and returns how many there were.
func (c *Core) AnswerOutstanding() int {
	var unanswered []*Request
	for _, r := range c.tracked {
		if !r.answered {
			unanswered = append(unanswered, r)
		}
	}
	c.answerAll(unanswered)
	return len(unanswered)
}

// answerAll answers requests that the policy has left without an answer.
func (c *Core) answerAll(requests []*Request) {
	slices.SortFunc(requests, func(a, b *Request) int { return cmp.Compare(a.id, b.id) }) // a map has no order; answers are given in a fixed one
	for _, r := range requests {
		if r.answered {
			continue
		}
		if r.recordingEnd { // no time is left to wait for the record of its end
			c.finish(r)
			continue
		}
		c.counts.PolicyViolations++
		if r.phase == queued && !r.everStarted {
			c.answer(r, Answer{Code: Refused})
		} else {
			c.answer(r, Answer{Code: Failed, Cause: DeadlineExceeded})
		}
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Disconnected, ID: r.id})
		if r.phase != running {
			c.drop(r)
		}
		c.releaseRunningSlot(r)
	}
}
