package core

import (
	"kiteslip"
	"kiteslip/internal/pool"
)

// pooled is what the pools' book has of a request.
type pooled uint8

const (
	nowhere pooled = iota
	waits
	runs
)

// unknown is the mark of a run that began before the book.
const unknown = -1

// touch notes that r may have moved. It is looked at before and after each
// batch, so that a request that moved twice between counts once, and a place
// that is told twice is told in vain.
func (c *Core) touch(r *Request) {
	if c.pools != nil && !r.touched && !r.elsewhere {
		r.touched = true
		c.touched = append(c.touched, r)
	}
}

// where says what the book should have of r.
func (r *Request) where() pooled {
	switch {
	case r.id == 0 || r.elsewhere:
		return nowhere // the module never heard of it
	case r.phase == held && !r.answered:
		return waits
	case r.phase == running:
		return runs
	}
	return nowhere
}

// movePools brings the book up to date.
func (c *Core) movePools(now int64) {
	for _, r := range c.touched {
		r.touched = false
		was, is := r.pooled, r.where()
		if was == is || c.pools == nil {
			continue
		}
		r.pooled = is
		if was == nowhere {
			c.pools.Arrive(now, r.Class, r.SizeKB)
			was = waits
		}
		if was == waits && is == runs {
			r.mark = c.pools.Begin(now, r.Class, r.SizeKB)
			continue
		}
		if was == waits && is == nowhere {
			c.pools.Leave(now, r.Class, r.SizeKB)
		}
		if was == runs {
			c.pools.End(now, r.Class, r.SizeKB, r.mark, r.endedAt-r.began, r.outcome == kiteslip.OK && r.mark != unknown)
		}
	}
	clear(c.touched)
	c.touched = c.touched[:0]
}

// bookPools hands the ceilings that hold now to the module, for its next batch.
func (c *Core) bookPools(now int64) {
	if c.pools == nil {
		return
	}
	c.movePools(now)
	c.worker.SetCeilings(c.pools.Ceilings(now, c.worker.Limit()))
}

// repool takes over other pools, with requests in flight. The settings passed
// their check.
func (c *Core) repool(s *pool.Settings) error {
	c.set.Pools = s
	if s == nil {
		c.pools = nil
		c.worker.SetCeilings(nil)
	} else if c.pools != nil {
		c.movePools(c.now)
		return c.pools.Reconfigure(*s)
	} else if book, err := pool.New(*s); err != nil {
		return err
	} else {
		c.pools = book
	}
	c.touched = c.touched[:0]
	for _, r := range c.open {
		r.pooled, r.touched = nowhere, false
		c.touch(r)
	}
	c.movePools(c.now)
	for _, r := range c.open {
		r.mark = unknown
	}
	return nil
}

// Pools returns the figures of the pools; nil = there are none.
func (c *Core) Pools() []pool.Stats {
	if c.pools == nil {
		return nil
	}
	return c.pools.Stats()
}
