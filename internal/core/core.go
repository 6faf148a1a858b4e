// Package core keeps the book on every request that this process has read. It
// hands what happened to the kiteslip module and carries out what the module
// decides. It knows no wire, no socket and no clock: the time comes in with
// each call, answers and runs go out through two small interfaces.
//
// A Core belongs to one goroutine. All times are Unix microseconds.
package core

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"kiteslip"
	"kiteslip/internal/pool"
)

// Code is the kind of a final answer.
type Code uint8

// The final answers.
const (
	Served  Code = iota // carries the result of the run
	Refused             // this try never ran
	Failed              // an error, with no assurance
)

// Answer is a final answer.
type Answer struct {
	Code    Code
	Result  []byte // Served: what the run made, unchanged
	HoldOff int64  // Refused: the caller should stay away this long; 0 = no advice
	NoMore  bool   // Refused: the caller should try no other server
	Cause   Cause  // Failed: why
}

// Cause says why a request failed.
type Cause uint8

// The causes.
const (
	GivenUp   Cause = iota // the module gave it up
	Overdue                // its due time has come
	RunFailed              // its run ended in an error
	InDoubt                // another process may have run its key
	Unknown                // its key was begun by a process that has ended since, and how that ended is not known
)

// UnknownText is what callers are told where the cause is Unknown.
const UnknownText = "this key was begun before a restart; how it ended is not known, and it is not run again within its window"

// Answerer takes the one final answer of a request. The stream tells apart
// the requests of one caller's connection.
type Answerer interface {
	Answer(stream uint32, a Answer)
}

// Runner starts a request where the work is done. Each call ends with one Done.
type Runner interface {
	Run(r *Request)
}

// Request is one try of a request, as a front has read it.
type Request struct {
	Name    string // names this try to the engine
	Class   int
	Tenant  int
	Caller  int
	Key     string // the same for all tries of one request, of keyed classes
	Subject uint64 // what a read is about; 0 = untold
	Arrived int64  // when it came to the machine
	Due     int64  // when its caller gives up
	Hint    int64  // the work to expect, 0 = untold
	SizeKB  float64
	Rank    float64
	Write   bool
	Body    []byte
	Stream  uint32
	From    Answerer

	id       kiteslip.RequestID
	sum      uint64 // of the body, in keyed classes
	entry    string // its place in the key table, "" for none
	answered bool   // a final answer was given, or nobody waits for one
	phase    phase
	began    int64
	endedAt  int64
	outcome  kiteslip.Outcome // of its run, once over
	result   []byte
	copies   []*Request // wait for the result of this one

	pooled  pooled  // what the pools' book has of it
	touched bool    // it is in the list of those to look at
	mark    float64 // of its run, for the book

	recorded bool // that it may start is on record
	ending   bool // its run is over, and the record of that under way
	unknown  bool // it was begun in an earlier life, and its end is not known

	elsewhere bool     // runs in the other process of an upgrade
	claims    []uint32 // of that one, which wait for the result too
}

type phase uint8

const (
	held    phase = iota
	running       // handed to the Runner
	copying       // waits for the result of another
	ended         // its run is over
	dropped       // over without a run
)

// Settings are what a Core needs to know besides the module's own settings.
type Settings struct {
	Module kiteslip.Settings
	Seed   uint64
	Log    func(line string) // takes the module's lines for the operators
	Off    []bool            // classes that are no longer served
	Pools  *pool.Settings    // nil = there are none
}

// keyMargin lengthens the window of a key here: a try that came within it and
// 50 ms more must not run again, and clocks are read twice.
const keyMargin = 100_000

// lateRead is how long after its end an entry is still looked up, for requests
// that came to the machine in time and were read late.
const lateRead = 2_000_000

// stampAhead is how far a caller's clock may be ahead of this one, and
// patienceMost how many times the class's deadline a caller may say it waits.
const (
	stampAhead   = 5_000_000
	patienceMost = 2
)

// dueMargin is how long before its due time a request is answered if the
// module has not done so.
const dueMargin = 2_000

// entry is one record of the key table.
type entry struct {
	kept  *Request // the try that holds the entry
	until int64    // arrivals up to then repeat it
	ran   *Request // the try that ran; it stands for all others
	guard int64    // no try that arrived up to then may run beside it
}

type timer struct {
	at    int64
	token uint64
}

// Core is the book. See the package comment.
type Core struct {
	set     Settings
	worker  *kiteslip.Worker
	runner  Runner
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
	classes []Answers

	journal Journal // nil = there is none
	journalled
	pools   *pool.Book // nil = there are none
	touched []*Request // may have moved in the pools' book

	withdrawn bool // by an operator

	owner  bool  // of the keys, see keys.go
	doubt  int64 // keyed requests that came up to then may have run unknown to us
	peer   Peer  // nil = there is none
	claims map[kiteslip.RequestID]*Request
}

// Counts are totals since the start.
type Counts struct {
	Read, Gone int
	Answers
	Guarded int // actions that a rule forbade, and answers that the module left out
}

// Answers counts final answers by their code.
type Answers struct{ Served, Refused, Failed int }

func (n *Answers) add(code Code) {
	switch code {
	case Served:
		n.Served++
	case Refused:
		n.Refused++
	default:
		n.Failed++
	}
}

// New returns a Core that gives its runs to runner.
func New(set Settings, runner Runner) (*Core, error) {
	worker, err := kiteslip.New(set.Module, set.Seed)
	if err != nil {
		return nil, err
	}
	if set.Log == nil {
		set.Log = func(string) {}
	}
	var pools *pool.Book
	if set.Pools != nil {
		if pools, err = pool.New(*set.Pools); err != nil {
			return nil, err
		}
	}
	return &Core{
		set: set, pools: pools, worker: worker, runner: runner, good: true, stored: true, owner: true,
		open: map[kiteslip.RequestID]*Request{}, names: map[string]*Request{}, table: map[string]*entry{},
		claims: map[kiteslip.RequestID]*Request{}, classes: make([]Answers, len(set.Module.Classes)),
	}, nil
}

// Retune takes over new settings, in which classes and tenants have the places
// that they had, and new ones follow. On an error nothing has changed. A key
// whose request ran under a shorter window is kept for the longer one.
func (c *Core) Retune(module kiteslip.Settings, off []bool, pools *pool.Settings) error {
	if pools != nil {
		if err := pools.Check(); err != nil {
			return err
		}
	}
	module = c.prepared(module)
	if err := c.worker.Retune(module); err != nil {
		return err
	}
	c.set.Module, c.set.Off = module, off
	if err := c.repool(pools); err != nil {
		return err
	}
	for len(c.classes) < len(module.Classes) {
		c.classes = append(c.classes, Answers{})
	}
	for _, e := range c.table {
		if e.ran != nil && c.keyed(e.ran.Class) {
			if guard := e.ran.Arrived + module.Classes[e.ran.Class].Window + keyMargin; guard > e.guard {
				e.guard = guard
				c.rerecord(e)
			}
		}
	}
	return nil
}

// Warmth tells when the machine's cores came up, and whether they were cold then.
func (c *Core) Warmth(cold bool, since int64) { c.worker.Warmth(cold, since) }

// Arrive takes in a request that was read at now; it may be answered before
// Arrive returns. An error means that the request was not taken and nothing is
// owed for it by the Core.
func (c *Core) Arrive(now int64, r *Request) error {
	if c.names[r.Name] != nil {
		return fmt.Errorf("the id %q names an open request", r.Name)
	}
	class := &c.set.Module.Classes[r.Class]
	// Guards what the module learns, of the time to be read and of patience,
	// against figures that no caller of this site can mean.
	switch {
	case class.Effect == kiteslip.Keyed && r.Key == "":
		return fmt.Errorf("a request of a keyed class has no key")
	case r.Arrived > now+stampAhead:
		return fmt.Errorf("the stamp lies %d ms ahead of the clock", (r.Arrived-now)/1000)
	case r.Due-r.Arrived > patienceMost*class.Limit:
		return fmt.Errorf("a wait of %d ms, where clients wait %d", (r.Due-r.Arrived)/1000, class.Limit/1000)
	case r.Due <= now:
		c.tooLate(r)
		return nil
	}
	if class.Effect == kiteslip.Keyed {
		r.entry, r.sum = keyName(r.Class, r.Key), bodySum(r.Body)
		if c.foreign(r) {
			return fmt.Errorf("the key %.40q belongs to a request with another body", r.Key)
		}
	} else if class.Effect == kiteslip.Repeatable && r.Subject != 0 && c.set.Module.ReuseFor > 0 {
		r.entry = fmt.Sprint(r.Class, ":", r.Subject)
	}
	if c.retired(r) {
		c.turnAway(r, Answer{Code: Refused})
		return nil
	}
	// Guards the window of a key: counted from a stamp ahead of the clock, it would end late or begin anew.
	r.Arrived = min(r.Arrived, now)
	c.nextID++
	r.id = c.nextID
	c.open[r.id], c.names[r.Name] = r, r
	c.touch(r)
	c.owed++
	c.counts.Read++
	if c.dueAt == 0 || r.Due-dueMargin < c.dueAt {
		c.dueAt = r.Due - dueMargin
	}
	c.events = append(c.events, kiteslip.Event{
		Kind: kiteslip.Arrive, ID: r.id, Prior: c.prior(now, r), Class: r.Class, Tenant: r.Tenant,
		Sender: r.Caller, Key: r.Subject, Deadline: r.Due, Waited: max(0, now-r.Arrived), Hint: r.Hint,
		SizeKB: r.SizeKB, Rank: r.Rank, Write: r.Write,
	})
	return nil
}

// keyName names the entry of a key in the table.
func keyName(class int, key string) string { return strconv.Itoa(class) + "/" + key }

// tooLate answers a request whose caller had given up when it was read.
func (c *Core) tooLate(r *Request) {
	if c.set.Module.Classes[r.Class].Effect == kiteslip.Repeatable {
		c.turnAway(r, Answer{Code: Refused})
	} else { // another try may have run
		c.turnAway(r, Answer{Code: Failed, Cause: Overdue})
	}
}

// turnAway answers a request that the module never hears of.
func (c *Core) turnAway(r *Request, a Answer) {
	c.counts.Read++
	c.owed++
	r.phase = dropped
	c.answer(r, a)
}

// retired says whether r is of a class that is no longer served, which callers
// may learn late. A key that has run, or may have, is still answered as ever.
func (c *Core) retired(r *Request) bool {
	if r.Class >= len(c.set.Off) || !c.set.Off[r.Class] {
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

// prior finds the request that r repeats, and enters r where there is none.
func (c *Core) prior(now int64, r *Request) kiteslip.RequestID {
	if r.entry == "" {
		return 0
	}
	keyed := c.set.Module.Classes[r.Class].Effect == kiteslip.Keyed
	e := c.table[r.entry]
	switch {
	case e == nil:
	case keyed && e.ran != nil && r.Arrived <= max(e.guard, e.until):
		return e.ran.id
	case e.kept != nil && r.Arrived <= e.until && e.kept.phase == held && !e.kept.answered:
		return e.kept.id
	case !keyed && e.kept != nil && r.Arrived <= e.until && (e.kept.phase == running ||
		e.kept.phase == ended && e.kept.outcome == kiteslip.OK && r.Arrived <= e.kept.endedAt+c.set.Module.ReuseFor):
		return e.kept.id
	}
	if keyed && (e == nil || e.ran == nil) {
		// Two that come in one batch know of each other before the module has kept the first.
		c.table[r.entry] = &entry{kept: r, until: max(now, r.Arrived) + c.set.Module.Classes[r.Class].Window}
	}
	return 0
}

// Gone takes in that nobody waits for r any longer.
func (c *Core) Gone(r *Request) {
	if r.answered {
		return
	}
	c.counts.Gone++
	c.settle(r)
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Gone, ID: r.id})
	if r.phase == held || r.phase == copying {
		c.drop(r)
	}
	c.letGo(r)
}

// Done takes in the end of r's run, after elapsed microseconds.
func (c *Core) Done(r *Request, outcome kiteslip.Outcome, elapsed int64, result []byte) {
	if r.phase != running {
		return
	}
	r.phase, r.outcome, r.result, r.endedAt = ended, outcome, result, r.began+elapsed
	c.touch(r)
	r.unknown = r.unknown && outcome != kiteslip.OK
	if e := c.table[r.entry]; outcome == kiteslip.Moot && e != nil && e.ran == r {
		e.ran, e.guard = nil, 0 // proved never to have run
	}
	if outcome == kiteslip.Cancelled && !r.answered {
		// Guards a place in the module's limit: the module would take the
		// request back into the hold, where nothing ends it any more.
		outcome = kiteslip.Failed
	}
	if !r.elsewhere {
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: outcome, Elapsed: elapsed})
	}
	if !c.recordEnd(r) {
		c.finish(r)
	}
}

// finish tells all who wait what became of r, whose run is over.
func (c *Core) finish(r *Request) {
	r.ending = false
	c.tell(r)
	if r.elsewhere {
		c.serveCopies(r)
		return
	}
	c.close(r)
}

// over ends a run or a copy and tells the module the outcome given.
func (c *Core) over(r *Request, elapsed int64, outcome kiteslip.Outcome) {
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: outcome, Elapsed: elapsed})
	c.close(r)
}

// close answers the caller of r, which is over, and those that wait for the same.
func (c *Core) close(r *Request) {
	delete(c.open, r.id)
	delete(c.names, r.Name)
	if !r.answered {
		switch r.outcome {
		case kiteslip.OK:
			c.answer(r, Answer{Code: Served, Result: r.result})
		case kiteslip.Moot:
			c.answer(r, Answer{Code: Refused})
		default:
			cause := RunFailed
			if r.unknown {
				cause = Unknown
			}
			c.answer(r, Answer{Code: Failed, Cause: cause})
		}
	}
	r.Body = nil
	c.serveCopies(r)
}

// serveCopies answers those that wait for the result of r.
func (c *Core) serveCopies(r *Request) {
	for _, t := range r.copies {
		c.serveCopy(t, r)
	}
	r.copies = nil
}

// serveCopy answers t with what became of the request that it repeats.
func (c *Core) serveCopy(t, of *Request) {
	if t.phase != copying {
		return
	}
	t.phase, t.outcome, t.result, t.unknown = ended, of.outcome, of.result, of.unknown
	if of.outcome != kiteslip.OK {
		t.outcome = kiteslip.Failed
	}
	c.over(t, 0, t.outcome)
}

// Gauges takes in the machine's own readings.
func (c *Core) Gauges(g kiteslip.Gauges) { c.gauges = g }

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

// Owed is the number of requests that still need a final answer.
func (c *Core) Owed() int { return c.owed }

// Counts returns the totals since the start.
func (c *Core) Counts() Counts { return c.counts }

// Classes returns the final answers since the start, by class.
func (c *Core) Classes() []Answers { return c.classes }

// Withdraw takes in that an operator wants the server off the callers' list,
// or on it again. Only health is told of it: what comes is served as ever.
func (c *Core) Withdraw(on bool) { c.withdrawn = on }

// Withdrawn says whether an operator has taken the server off the list.
func (c *Core) Withdrawn() bool { return c.withdrawn }

// Held is the number of requests in the book, running ones included, and of keys.
func (c *Core) Held() (requests, keys int) { return len(c.open), len(c.table) }

// Health is what checks are told: whether all is good, and whether that is to
// be told as stored or only after a trial run.
func (c *Core) Health() (good, stored bool) { return c.good && !c.withdrawn, c.stored }

// IdleAfter is how long a connection may carry nothing before it should be
// closed; 0 = leave that to the caller.
func (c *Core) IdleAfter() int64 { return c.idle }

// Pending says whether anything waits for the next Step.
func (c *Core) Pending() bool { return len(c.events) > 0 }

// Next is the time at which Step is wanted even if nothing happens; 0 = never.
func (c *Core) Next() int64 {
	next := c.dueAt
	for _, t := range c.timers {
		if next == 0 || t.at < next {
			next = t.at
		}
	}
	return next
}

// Step hands all that happened since the last one to the module in one batch
// and carries out what comes back. What an action brings about at once (the
// result of a repeat) is handed over before Step returns.
func (c *Core) Step(now int64) {
	now = max(now, c.now) // the system's clock may be set back; the module's only advances
	c.now = now
	kept := c.timers[:0]
	for _, t := range c.timers {
		if t.at > now {
			kept = append(kept, t)
			continue
		}
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Timer, Token: t.token, Gauges: c.gauges})
	}
	c.timers = kept
	for first := true; len(c.events) > 0 || first && !c.started; first = false {
		c.started = true
		batch := c.events
		c.events = c.spare[:0]
		c.bookPools(now)
		c.acts = c.worker.Step(now, batch, c.acts[:0])
		c.spare = batch
		for i := range c.acts {
			c.carryOut(now, &c.acts[i])
		}
	}
	c.overdue(now)
	c.movePools(now)
	c.sweep(now)
}

// carryOut does one thing that the module asks for.
func (c *Core) carryOut(now int64, a *kiteslip.Action) {
	r := c.open[a.ID]
	switch a.Kind {
	case kiteslip.SetTimer:
		c.timers = append(c.timers, timer{now + a.After, a.Token})
		return
	case kiteslip.Health:
		c.good, c.stored = a.On, a.Stored
		return
	case kiteslip.Idle:
		c.idle = a.After
		return
	case kiteslip.Log:
		c.set.Log(a.Text)
		return
	}
	if r == nil {
		return // it was over before the module heard of it
	}
	switch a.Kind {
	case kiteslip.Run:
		c.run(now, r)
	case kiteslip.Prepare:
		c.prepare(r)
	case kiteslip.Refuse, kiteslip.Fail:
		if !r.answered {
			if a.Kind == kiteslip.Refuse && r.phase == held && c.pools != nil {
				c.pools.Refused(r.Class)
			}
			c.answer(r, c.giveUp(now, r, a))
		}
		if r.phase != running {
			c.drop(r)
		}
		c.letGo(r)
	case kiteslip.Reuse:
		c.reuse(r)
	case kiteslip.Keep:
		if r.entry != "" {
			e := c.table[r.entry]
			if e == nil {
				e = &entry{}
				c.table[r.entry] = e
			}
			e.kept, e.until = r, now+a.After
		}
	case kiteslip.Forget:
		c.forget(r)
	}
}

// giveUp words the answer for what the module has given up. Guards the
// meaning of a refusal: the module refuses a safe request that runs, but
// callers are promised that what is refused never ran, so that one fails.
func (c *Core) giveUp(now int64, r *Request, a *kiteslip.Action) Answer {
	if a.Kind == kiteslip.Refuse && r.phase == held {
		return Answer{Code: Refused, HoldOff: a.After, NoMore: a.On}
	}
	if now >= r.Due-c.slack() {
		return Answer{Code: Failed, Cause: Overdue}
	}
	return Answer{Code: Failed, Cause: GivenUp}
}

// slack is how near to its due time the module gives up what it cannot wait for.
func (c *Core) slack() int64 { return 2*c.set.Module.Tick + 50_000 }

// run starts r unless a rule forbids it.
func (c *Core) run(now int64, r *Request) {
	if r.phase != held {
		return
	}
	class := &c.set.Module.Classes[r.Class]
	// Guards the drain: what came after the grace must not run, whatever the module holds.
	if c.drainAt != 0 && r.Arrived > c.drainAt+c.set.Module.DrainGrace {
		c.counts.Guarded++
		c.never(r)
		return
	}
	if class.Effect == kiteslip.Keyed {
		e := c.table[r.entry]
		if e == nil {
			e = &entry{kept: r, until: r.Arrived + class.Window + keyMargin}
			c.table[r.entry] = e
		}
		// Guards the single run of a key: a try that came in the window of one that ran takes its result.
		if e.ran != nil && r.Arrived <= e.guard {
			c.counts.Guarded++
			c.copyOf(r, e.ran)
			return
		}
		if c.inDoubt(r.Arrived) {
			c.answer(r, Answer{Code: Failed, Cause: InDoubt})
			c.drop(r)
			c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: kiteslip.Moot})
			return
		}
		e.ran, e.guard = r, r.Arrived+class.Window+keyMargin
	}
	r.phase, r.began = running, now
	c.touch(r)
	if class.Effect == kiteslip.Keyed && c.owner && c.journal != nil && !r.recorded {
		c.claims[r.id] = r // it was not prepared: its place waits for the record
		c.record(r)
		return
	}
	if class.Effect == kiteslip.Keyed && !c.owner {
		c.claims[r.id] = r
		c.peer.Claim(uint32(r.id), r.Class, r.Key, r.Arrived, r.sum)
		return
	}
	c.runner.Run(r)
}

// never ends a held request that the module wanted to run and a rule forbids.
func (c *Core) never(r *Request) {
	if !r.answered {
		c.answer(r, Answer{Code: Refused})
	}
	c.drop(r)
	c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Done, ID: r.id, Outcome: kiteslip.Moot})
}

// reuse serves r from the request that it repeats.
func (c *Core) reuse(r *Request) {
	if r.phase != held {
		return
	}
	e := c.table[r.entry]
	switch {
	case e != nil && e.ran != nil && e.ran != r:
		c.copyOf(r, e.ran)
	case e != nil && e.kept != nil && e.kept != r:
		c.copyOf(r, e.kept)
	default: // the other one was dropped without running
		c.counts.Guarded++
		r.phase = copying
		c.serveCopy(r, &Request{outcome: kiteslip.Failed})
	}
}

// copyOf lets r take the result of head, now or once that has ended. Guards
// the meaning of 'served': head may be a run of the other process of an upgrade
// that was let start after r had come, with another body.
func (c *Core) copyOf(r, head *Request) {
	r.phase = copying
	c.touch(r)
	if c.keyed(r.Class) && r.sum != head.sum {
		c.serveCopy(r, &Request{outcome: kiteslip.Failed})
		return
	}
	switch {
	case !head.ending && (head.phase == ended || head.phase == dropped):
		c.serveCopy(r, head)
	default:
		head.copies = append(head.copies, r)
	}
}

// answer gives r its one final answer.
func (c *Core) answer(r *Request, a Answer) {
	c.counts.add(a.Code)
	c.classes[r.Class].add(a.Code)
	from := r.From
	c.settle(r)
	from.Answer(r.Stream, a)
}

// settle notes that nothing is owed for r any longer. What r came through is
// let go: r itself may be kept for its result.
func (c *Core) settle(r *Request) {
	r.answered, r.From = true, nil
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
	delete(c.names, r.Name)
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
		if at := r.Due - dueMargin; at > now {
			if c.dueAt == 0 || at < c.dueAt {
				c.dueAt = at
			}
			continue
		}
		late = append(late, r)
	}
	slices.SortFunc(late, func(a, b *Request) int { return cmp.Compare(a.id, b.id) }) // the same order each time
	for _, r := range late {
		if r.answered {
			continue
		}
		if r.ending { // its record comes too late to be waited for
			c.finish(r)
			continue
		}
		c.counts.Guarded++
		if r.phase == held {
			c.answer(r, Answer{Code: Refused})
		} else {
			c.answer(r, Answer{Code: Failed, Cause: Overdue})
		}
		c.events = append(c.events, kiteslip.Event{Kind: kiteslip.Gone, ID: r.id})
		if r.phase != running {
			c.drop(r)
		}
		c.letGo(r)
	}
}

// sweep forgets the keys whose time is up, once a second.
func (c *Core) sweep(now int64) {
	if now < c.sweepAt {
		return
	}
	c.sweepAt = now + 1_000_000
	for key, e := range c.table {
		if now <= max(e.until, e.guard)+lateRead {
			continue
		}
		if e.ran != nil && e.ran.phase == running || e.ran == nil && e.kept != nil && e.kept.phase == held {
			continue
		}
		delete(c.table, key)
	}
}
