package core

import (
	"cmp"
	"slices"

	"kiteslip"
)

// dueMargin is how long before its due time a request is answered if the
// module has not done so.
const dueMargin = 2_000

// AnswerCounts counts final answers by their code.
type AnswerCounts struct{ Served, Refused, Failed int }

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

// giveUp words the answer for what the module has given up. Guards the
// meaning of a refusal: the module refuses a safe request that runs, but
// callers are promised that what is refused never ran, so that one fails.
func (c *Core) giveUp(now int64, r *Request, a *kiteslip.Action) Answer {
	if a.Kind == kiteslip.Refuse && r.phase == held && !r.begun {
		return Answer{Code: Refused, RetryAfter: a.After, NoFailover: a.On}
	}
	if now >= r.Deadline-c.slack() {
		return Answer{Code: Failed, Cause: DeadlineExceeded}
	}
	return Answer{Code: Failed, Cause: Abandoned}
}

// slack is how near to its due time the module gives up what it cannot wait for.
func (c *Core) slack() int64 { return 2*c.set.Policy.Tick + 50_000 }

// answer gives r its one final answer.
func (c *Core) answer(r *Request, a Answer) {
	c.counts.add(a.Code)
	c.classes[r.Class].add(a.Code)
	from := r.ReplyTo
	c.settle(r)
	from.Answer(r.Stream, a)
}

// settle notes that nothing is owed for r any longer. What r came through is
// let go: r itself may be kept for its result.
func (c *Core) settle(r *Request) {
	r.answered, r.ReplyTo = true, nil
	c.letCallGo(r)
	c.touch(r)
	c.owed--
}

// drop takes a request out of the book that never ran, or waited for another.
func (c *Core) drop(r *Request) {
	c.forget(r)
	c.unrecord(r)
	r.phase = dropped
	c.touch(r)
	delete(c.open, r.id)
	delete(c.names, r.TryID)
	c.serveCopies(r)
	r.Body = nil
}

// forget takes the entry of r out of the table, unless another try holds it or has run.
func (c *Core) forget(r *Request) {
	if e := c.table[r.entry]; e != nil && e.kept == r && e.ran == nil {
		delete(c.table, r.entry)
	}
}

// overdue answers what is due and was left without an answer, whoever is to blame.
func (c *Core) overdue(now int64) {
	if c.dueAt == 0 || now < c.dueAt {
		return
	}
	c.dueAt = 0
	var late []*Request
	for _, r := range c.open {
		if r.answered {
			continue
		}
		if at := r.Deadline - dueMargin; at > now {
			if c.dueAt == 0 || at < c.dueAt {
				c.dueAt = at
			}
			continue
		}
		late = append(late, r)
	}
	c.endAll(late)
}

// AnswerOutstanding answers all that is still owed, since the process ends now, and says
// how many that were.
func (c *Core) AnswerOutstanding() int {
	var owed []*Request
	for _, r := range c.open {
		if !r.answered {
			owed = append(owed, r)
		}
	}
	c.endAll(owed)
	return len(owed)
}

// endAll answers requests that the module has left without an answer.
func (c *Core) endAll(late []*Request) {
	slices.SortFunc(late, func(a, b *Request) int { return cmp.Compare(a.id, b.id) }) // the same order each time
	for _, r := range late {
		if r.answered {
			continue
		}
		if r.ending { // its record comes too late to be waited for
			c.finish(r)
			continue
		}
		c.counts.PolicyViolations++
		if r.phase == held && !r.begun {
			c.answer(r, Answer{Code: Refused})
		} else {
			c.answer(r, Answer{Code: Failed, Cause: DeadlineExceeded})
		}
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Disconnected, ID: r.id})
		if r.phase != running {
			c.drop(r)
		}
		c.letGo(r)
	}
}
