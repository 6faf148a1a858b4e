// Package core tracks every request that this process has read. It passes events
// to the policy in the root package and carries out the policy's actions. It does
// no I/O and reads no clock: the time comes in with each call, and answers and
// runs go out through the interfaces Answerer and Runner.
//
// A Core belongs to one goroutine. All times are Unix microseconds.
package core

import (
	"kiteslip"
	"kiteslip/internal/pool"
)

// Settings of a Core, besides those of the policy.
type Settings struct {
	Policy         kiteslip.Settings
	Seed           uint64
	Log            func(line string) // takes the policy's lines for the operators
	RetiredClasses []bool            // classes that are no longer served
	Pools          *pool.Settings    // nil = there are none
}

// keyMarginUS lengthens the window of each key: the promise covers tries within
// the window and 50 ms more, and the clock is read more than once.
const keyMarginUS = 100_000

// keyEntry is the entry of a key, or of a reusable read, in the key table.
type keyEntry struct {
	holder          *Request // the try that later ones duplicate
	duplicatesUntil int64    // tries that arrived up to then are duplicates of holder
	started         *Request // the try whose run was started; keyed classes only
	windowEnd       int64    // no other try that arrived up to then may run
}

// Core tracks requests, their runs and their keys. See the package comment.
type Core struct {
	settings       Settings
	policy         *kiteslip.Worker
	runner         Runner
	calls          callState
	nextID         kiteslip.RequestID
	tracked        map[kiteslip.RequestID]*Request // not over, or still running after the answer
	byTryID        map[string]*Request
	keyTable       map[string]*keyEntry
	outstanding    int // requests without a final answer
	timers         []timer
	events         []kiteslip.Event
	spare          []kiteslip.Event
	actions        []kiteslip.Action
	gauges         kiteslip.Gauges
	started        bool
	now            int64 // of the last step
	drainingSince  int64
	healthy        bool
	cachedHealth   bool
	idleTimeout    int64
	nextExpiry     int64
	overdueAt      int64
	counts         Counts
	answersByClass []AnswerCounts

	journal Journal // nil = there is none
	journalState
	pools   *pool.Allocator // nil = there are none
	changed []*Request      // their pool state may have changed

	withdrawn bool // by an operator

	role          keyRole // concerning the keys, see keys.go
	inDoubtUntil  int64   // a previous process may have run keys that arrived up to then
	peer          Peer    // nil = there is none
	waitingClaims []claim // of the peer, until this process owns the keys
	awaitingStart map[kiteslip.RequestID]*Request
}

// Counts holds totals since the start.
type Counts struct {
	Received, Disconnected int
	AnswerCounts
	PolicyViolations int // actions that the Core did not carry out, and requests that the policy left unanswered
}

// New returns a Core that gives its runs to runner.
func New(set Settings, runner Runner) (*Core, error) {
	policy, err := kiteslip.New(set.Policy, set.Seed)
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
		settings: set, pools: pools, policy: policy, runner: runner, healthy: true, cachedHealth: true,
		tracked: map[kiteslip.RequestID]*Request{}, byTryID: map[string]*Request{}, keyTable: map[string]*keyEntry{},
		awaitingStart: map[kiteslip.RequestID]*Request{}, calls: callState{engine: e, inFlight: map[uint64]*Request{}}, answersByClass: make([]AnswerCounts, len(set.Policy.Classes)),
	}, nil
}

// Reconfigure applies new settings. Classes and tenants keep their slots, and new
// ones are appended. On an error nothing has changed. Where the window of a class
// becomes longer, keys that ran under the shorter one get the longer one; no
// window is shortened, and the grace of a drain in progress is not extended.
// Pools are compared by pointer: the record already in force is not applied again.
func (c *Core) Reconfigure(policy kiteslip.Settings, retired []bool, pools *pool.Settings) error {
	samePools := pools != nil && pools == c.settings.Pools && len(policy.Classes) == len(c.settings.Policy.Classes)
	if pools != nil && !samePools {
		if err := pools.Check(); err != nil {
			return err
		}
	}
	policy = c.withPrepare(policy)
	if c.drainingSince != 0 {
		policy.DrainGrace = min(policy.DrainGrace, c.settings.Policy.DrainGrace)
	}
	if err := c.policy.Reconfigure(policy); err != nil {
		return err
	}
	longer := longerWindow(c.settings.Policy.Classes, policy.Classes)
	c.settings.Policy, c.settings.RetiredClasses = policy, retired
	if !samePools {
		if err := c.reconfigurePools(pools); err != nil {
			return err
		}
	}
	for len(c.answersByClass) < len(policy.Classes) {
		c.answersByClass = append(c.answersByClass, AnswerCounts{})
	}
	if !longer { // the key table is walked only if a window became longer
		return nil
	}
	for _, e := range c.keyTable {
		if e.started != nil && c.keyed(e.started.Class) {
			if end := c.windowEnd(e.started); end > e.windowEnd {
				e.windowEnd = end
				c.rewriteRecord(e)
			}
		}
	}
	return nil
}

// longerWindow reports whether any class has a longer window than before.
func longerWindow(old, updated []kiteslip.Class) bool {
	for i := range old {
		if updated[i].Window > old[i].Window {
			return true
		}
	}
	return false
}

// SetWarmup says when the machine's cores came up, and whether they were cold then.
func (c *Core) SetWarmup(cold bool, since int64) { c.policy.SetWarmup(cold, since) }

// SetGauges sets the machine's readings for the next step.
func (c *Core) SetGauges(g kiteslip.Gauges) { c.gauges = g }

// Drain begins the graceful shutdown after the shutdown notice: the process is stopped at deadline.
func (c *Core) Drain(now, deadline int64) {
	if c.drainingSince != 0 {
		return
	}
	c.drainingSince = now
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Drain, Deadline: deadline})
}

// Draining reports whether the shutdown notice has come.
func (c *Core) Draining() bool { return c.drainingSince != 0 }

// Outstanding returns the number of requests that still need a final answer.
func (c *Core) Outstanding() int { return c.outstanding }

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// AnswersByClass returns the final answers since the start, by class.
func (c *Core) AnswersByClass() []AnswerCounts { return c.answersByClass }

// SetWithdrawn takes the server off the registry's list on an operator's request,
// or puts it back. It only changes Health: requests are served as before.
func (c *Core) SetWithdrawn(withdrawn bool) { c.withdrawn = withdrawn }

// Withdrawn reports whether an operator has withdrawn the server.
func (c *Core) Withdrawn() bool { return c.withdrawn }

// Tracked returns the number of tracked requests, running ones included, and of key entries.
func (c *Core) Tracked() (requests, keys int) { return len(c.tracked), len(c.keyTable) }

// Health returns the health to report, and whether checks may be answered with
// that stored value or need a test run first.
func (c *Core) Health() (good, stored bool) { return c.healthy && !c.withdrawn, c.cachedHealth }

// IdleTimeout returns how long a connection may stay idle before it should be
// closed; 0 leaves that to the caller.
func (c *Core) IdleTimeout() int64 { return c.idleTimeout }
