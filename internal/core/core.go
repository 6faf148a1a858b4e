// Package core keeps the book on every request that this process has read. It
// hands what happened to the kiteslip module and carries out what the module
// decides. It knows no wire, no socket and no clock: the time comes in with
// each call, answers and runs go out through two small interfaces.
//
// A Core belongs to one goroutine. All times are Unix microseconds.
package core

import (
	"kiteslip"
	"kiteslip/internal/pool"
)

// Settings are what a Core needs to know besides the module's own settings.
type Settings struct {
	Policy         kiteslip.Settings
	Seed           uint64
	Log            func(line string) // takes the module's lines for the operators
	RetiredClasses []bool            // classes that are no longer served
	Pools          *pool.Settings    // nil = there are none
}

// keyMargin lengthens the window of a key here: a try that came within it and
// 50 ms more must not run again, and clocks are read twice.
const keyMargin = 100_000

// entry is one record of the key table.
type entry struct {
	kept  *Request // the try that holds the entry
	until int64    // arrivals up to then repeat it
	ran   *Request // the try that ran; it stands for all others
	guard int64    // no try that arrived up to then may run beside it
}

// Core is the book. See the package comment.
type Core struct {
	set     Settings
	worker  *kiteslip.Worker
	runner  Runner
	calls   calls
	nextID  kiteslip.RequestID
	open    map[kiteslip.RequestID]*Request // not over, or running on
	names   map[string]*Request
	table   map[string]*entry
	owed    int // requests without a final answer
	timers  []timer
	events  []kiteslip.Event
	spare   []kiteslip.Event
	acts    []kiteslip.Action
	gauges  kiteslip.Gauges
	started bool
	now     int64 // of the last step
	drainAt int64
	good    bool
	stored  bool
	idle    int64
	sweepAt int64
	dueAt   int64
	counts  Counts
	classes []AnswerCounts

	journal Journal // nil = there is none
	journalled
	pools   *pool.Allocator // nil = there are none
	touched []*Request      // may have moved in the pools' book

	withdrawn bool // by an operator

	owner  bool  // of the keys, see keys.go
	doubt  int64 // keyed requests that came up to then may have run unknown to us
	peer   Peer  // nil = there is none
	claims map[kiteslip.RequestID]*Request
}

// Counts are totals since the start.
type Counts struct {
	Received, Disconnected int
	AnswerCounts
	PolicyViolations int // actions that a rule forbade, and answers that the module left out
}

// New returns a Core that gives its runs to runner.
func New(set Settings, runner Runner) (*Core, error) {
	worker, err := kiteslip.New(set.Policy, set.Seed)
	if err != nil {
		return nil, err
	}
	if set.Log == nil {
		set.Log = func(string) {}
	}
	var pools *pool.Allocator
	if set.Pools != nil {
		if pools, err = pool.New(*set.Pools); err != nil {
			return nil, err
		}
	}
	e, _ := runner.(Engine)
	return &Core{
		set: set, pools: pools, worker: worker, runner: runner, good: true, stored: true, owner: true,
		open: map[kiteslip.RequestID]*Request{}, names: map[string]*Request{}, table: map[string]*entry{},
		claims: map[kiteslip.RequestID]*Request{}, calls: calls{engine: e, out: map[uint64]*Request{}}, classes: make([]AnswerCounts, len(set.Policy.Classes)),
	}, nil
}

// Reconfigure takes over new settings, in which classes and tenants have the places
// that they had, and new ones follow. On an error nothing has changed. A key
// whose request ran under a shorter window is kept for the longer one, and no
// window that was promised, nor the grace of a drain under way, gets longer or
// shorter by it: what the older settings forbade stays forbidden. Pools that are
// the very record in force (the same pointer) are the same, and cost nothing.
func (c *Core) Reconfigure(module kiteslip.Settings, off []bool, pools *pool.Settings) error {
	same := pools != nil && pools == c.set.Pools && len(module.Classes) == len(c.set.Policy.Classes)
	if pools != nil && !same {
		if err := pools.Check(); err != nil {
			return err
		}
	}
	module = c.prepared(module)
	if c.drainAt != 0 {
		module.DrainGrace = min(module.DrainGrace, c.set.Policy.DrainGrace)
	}
	if err := c.worker.Reconfigure(module); err != nil {
		return err
	}
	longer := longerWindow(c.set.Policy.Classes, module.Classes)
	c.set.Policy, c.set.RetiredClasses = module, off
	if !same {
		if err := c.repool(pools); err != nil {
			return err
		}
	}
	for len(c.classes) < len(module.Classes) {
		c.classes = append(c.classes, AnswerCounts{})
	}
	if !longer { // what is kept bounds the cost only of a change that concerns it
		return nil
	}
	for _, e := range c.table {
		if e.ran != nil && c.keyed(e.ran.Class) {
			if guard := c.windowEnd(e.ran); guard > e.guard {
				e.guard = guard
				c.rerecord(e)
			}
		}
	}
	return nil
}

// longerWindow says whether any class has a longer window than it had.
func longerWindow(was, is []kiteslip.Class) bool {
	for i := range was {
		if is[i].Window > was[i].Window {
			return true
		}
	}
	return false
}

// SetWarmup tells when the machine's cores came up, and whether they were cold then.
func (c *Core) SetWarmup(cold bool, since int64) { c.worker.SetWarmup(cold, since) }

// SetGauges takes in the machine's own readings.
func (c *Core) SetGauges(g kiteslip.Gauges) { c.gauges = g }

// Drain takes in the notice to leave: the process is stopped at stop.
func (c *Core) Drain(now, stop int64) {
	if c.drainAt != 0 {
		return
	}
	c.drainAt = now
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Drain, Deadline: stop})
}

// Draining says whether the notice to leave has come.
func (c *Core) Draining() bool { return c.drainAt != 0 }

// Outstanding is the number of requests that still need a final answer.
func (c *Core) Outstanding() int { return c.owed }

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// AnswersByClass returns the final answers since the start, by class.
func (c *Core) AnswersByClass() []AnswerCounts { return c.classes }

// SetWithdrawn takes in that an operator wants the server off the callers' list,
// or on it again. Only health is told of it: what comes is served as ever.
func (c *Core) SetWithdrawn(on bool) { c.withdrawn = on }

// Withdrawn says whether an operator has taken the server off the list.
func (c *Core) Withdrawn() bool { return c.withdrawn }

// Tracked is the number of requests in the book, running ones included, and of keys.
func (c *Core) Tracked() (requests, keys int) { return len(c.open), len(c.table) }

// Health is what checks are told: whether all is good, and whether that is to
// be told as stored or only after a trial run.
func (c *Core) Health() (good, stored bool) { return c.good && !c.withdrawn, c.stored }

// IdleTimeout is how long a connection may carry nothing before it should be
// closed; 0 = leave that to the caller.
func (c *Core) IdleTimeout() int64 { return c.idle }
