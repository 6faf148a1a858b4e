// Package kiteslip is the decision logic of one server of a fleet: admission, queueing, load shedding,
// deduplication of keyed requests, calls to downstream dependencies and graceful shutdown.
//
// A host owns one Worker for each server process. It passes the worker what happened since the last step
// (arrivals, finished runs, calls, timers) and carries out the returned actions in their order. The contract:
//
//   - A Worker belongs to one goroutine at a time. It reads no clock, starts no
//     goroutine and does no I/O; the same events give the same actions.
//   - Times are microseconds on any clock that only advances. Durations are
//     microseconds too, sizes are kilobytes.
//   - An arrival is queued until the worker returns Run, Refuse or Fail. Refuse and
//     Fail are final answers, which the host sends; after Run or Reuse the host
//     sends the result itself when the work ends, unless an answer was given.
//   - Each Run and each Reuse that took effect ends with one Done event. A run
//     that needs a downstream call stops and reports NeedsCall; Call, Skip or Fail
//     resumes it. Each Call ends with one CallDone event unless Done comes first.
//   - Halt, Call, Skip, Retain and Forget may be ignored if their request has already
//     ended. SetLoadSignal, the retry-after of Refuse, SetIdleTimeout, Health and Log are
//     advice: a host with no use for them may ignore them, no guarantee depends on them.
//   - A SetTimer action asks for one Timer event at or after its time; a host must
//     honour it, since deadlines depend on it.
package kiteslip

// RequestID identifies one try of a request on this worker; it is never reused
// during the worker's lifetime. Zero means no request.
type RequestID uint32

// Effect says what happens if a request runs twice.
type Effect uint8

// The effects.
const (
	Repeatable Effect = iota // running twice does no harm
	Keyed                    // tries carry a key; duplicates are recognised through key entries
	Once                     // must not run twice, and duplicates cannot be recognised
)

// Downstream says what requests call while they run.
type Downstream uint8

// The kinds of downstream dependency.
const (
	DownstreamNone   Downstream = iota // no calls
	DownstreamShared                   // one dependency serves all workers
	DownstreamTier                     // another tier of workers
)

// Stop says whether running work can be stopped.
type Stop uint8

// The ways to stop work.
const (
	StopNever   Stop = iota // Halt is not allowed
	StopDiscard             // a halted run loses its work and is queued again
	StopFreeze              // a halted run keeps its work and memory until the next Run
)

// LoadSignal says how callers interpret the value of SetLoadSignal.
type LoadSignal uint8

// The meanings of the load signal.
const (
	LoadSignalNone      LoadSignal = iota // SetLoadSignal is not allowed
	LoadSignalMinRank                     // requests of a lower rank are not sent here
	LoadSignalAllowance                   // requests that each caller may have outstanding here
	LoadSignalWeight                      // probability that a caller does not skip this worker
)

// Class describes one class of requests.
type Class struct {
	Effect          Effect
	TargetTime      int64   // an answer within this time after the first try earns the full worth
	Timeout         int64   // how long a caller waits, all tries together
	Window          int64   // Keyed: how long after its arrival duplicates of a request may arrive
	Worth           float64 // worth of one answer
	LateWorth       float64 // share of the worth earned after the target time
	CallsDownstream bool    // its requests may make downstream calls
	Prepare         bool    // its requests start only after Ready, which the Prepare action asks for
	SkipWorth       float64 // share of the worth earned without the call; 0 = the call is required
}

// Tenant describes one tenant.
type Tenant struct {
	Quota float64 // requests per second, over all workers, that count at full worth
}

// Goal weighs the parts of the overall result: the total, and the worst class, tenant and time window.
type Goal struct{ Whole, WorstClass, WorstTenant, WorstWindow float64 }

// Settings configure a worker. A zero value means that the feature is absent, unless marked as required.
type Settings struct {
	Cores           int     // required
	MemoryKB        float64 // required
	RunFactor       float64 // memory of a running request divided by that of a queued one
	KeyKB           float64 // memory of one key entry
	Classes         []Class // required
	Tenants         []Tenant
	WorthByWork     bool    // worth is earned per unit of work, not per request
	OverShareWorth  float64 // share of the worth earned beyond a tenant's quota
	Goal            Goal
	Workers         int   // workers of this tier, as at the start
	Callers         int   // callers of this tier, as at the start
	Stage           int   // 0 = the first tier
	Tick            int64 // minimum interval between batches
	Stop            Stop
	LoadSignal      LoadSignal
	LoadSignalTTL   int64 // how long a caller observes the load signal
	MaxRetryAfter   int64 // maximum retry-after; 0 = none is passed on
	ReuseFor        int64 // how long the answer to a read may serve other requests; 0 = never
	IdleAfter       int64 // callers close connections that have been idle for this long
	MarksRetries    bool  // retries are marked
	Downstream      Downstream
	CallShare       float64 // DownstreamShared: mean number of outstanding calls allowed to this worker
	CallShareWindow int64   // averaging window of CallShare
	MaxCallLinger   int64   // how long at most the dependency keeps working on an abandoned call
	JustStarted     bool    // the cores are cold at the start
	ColdSpeed       float64 // lowest initial speed of cold cores, as a share of full speed
	WarmupTime      int64   // time within which cold cores reach full speed
	MaxRunsPerCore  float64 // concurrent runs per core that a warm worker survives
	MaxRunsWindow   int64   // averaging window of MaxRunsPerCore
	DrainGrace      int64   // requests that arrive this long after Drain must not run
	AnswerSlack     int64   // an answer still counts as in time this long after its deadline
	WastePrice      float64 // cost of work that served no answer
	LateFailPrice   float64 // cost of worth that is not served by the end of its target time
}

// EventKind says what happened.
type EventKind uint8

// The events.
const (
	Arrive       EventKind = iota + 1 // a request was read and is now queued
	Done                              // a run or a reuse ended: Outcome, Elapsed
	NeedsCall                         // a run needs a downstream call
	CallDone                          // a downstream call ended: Outcome, Elapsed
	Disconnected                      // the caller of this request has gone
	Timer                             // a timer expired: Token, Gauges
	Drain                             // shutdown notice: the worker will be stopped at Deadline
	Handover                          // a successor took over: this one serves what arrives, until Deadline
	Ready                             // the preparation of a request is complete: it may start
	PeerLoad                          // load of another worker on the machine: Runs on the cores, SizeKB booked
)

// Outcome says how a run or a call ended.
type Outcome uint8

// The outcomes. Only Rejected, Unreachable and NotStarted prove that nothing ran.
const (
	Failed Outcome = iota
	OK
	Rejected    // the call was rejected without being looked at
	TimedOut    // the call was abandoned
	Unreachable // the dependency could not be reached
	Reset       // the call was cut short
	Cancelled   // the run was halted
	NotStarted  // the request had ended before anything started
)

// Gauges are the worker's own measurements; Valid is false where there were none.
type Gauges struct {
	Valid                                   bool
	Busy, Runnable, MemoryUsed, Connections float32
}

// Event is one thing that happened. Which fields are used depends on Kind.
type Event struct {
	Kind        EventKind
	Outcome     Outcome
	Retry       bool // Arrive: marked as a retry or as a second copy
	Write       bool // Arrive: a write
	ID          RequestID
	DuplicateOf RequestID // Arrive: the retained request that this one duplicates
	Class       int
	Tenant      int
	Caller      int
	Key         uint64
	Deadline    int64 // Arrive: when the caller gives up (0 = unknown); Drain, Handover: when the worker stops
	Runs        int   // PeerLoad
	Waited      int64 // Arrive: read delay, the time since the request reached the machine
	WorkHint    int64 // Arrive: expected work, 0 = unknown
	Elapsed     int64 // Done, CallDone
	SizeKB      float64
	Rank        float64
	Token       uint64
	Gauges      Gauges
}

// ActionKind says what the host is to do.
type ActionKind uint8

// The actions.
const (
	Run            ActionKind = iota + 1 // start or resume a request
	Refuse                               // final answer: never ran or Repeatable; After = retry-after, On = no failover
	Fail                                 // final answer: an error, the request may have run
	Halt                                 // stop a run
	Call                                 // make the downstream call; After = its timeout
	Skip                                 // resume without the downstream call
	Reuse                                // serve from the result of the request that this one duplicates
	Retain                               // keep a key entry of the request for After
	Forget                               // delete its key entry
	SetLoadSignal                        // set the load signal to Value
	Health                               // On = health checks succeed, Cached = they are answered without work
	SetIdleTimeout                       // close connections that have been idle for After
	SetTimer                             // send a Timer event with Token after After
	Log                                  // log Text for the operators
	Prepare                              // prepare a queued request: one Ready event follows, unless it ends
)

// Action is one thing to do. Which fields are used depends on Kind.
type Action struct {
	Kind   ActionKind
	On     bool
	Cached bool
	ID     RequestID
	After  int64
	Token  uint64
	Value  float64
	Text   string
}

// Ceiling bounds what one pool of classes may have in the batches that follow.
type Ceiling struct {
	GuaranteedRuns  int     // running slots of its own: filled before all others
	MaxRuns         int     // running slots it may have at most
	ReservedRuns    int     // slots beyond the running limit, while it has fewer runs than this
	MaxQueued       int     // queued requests it may have
	GuaranteedCores float64 // cores that its own slots amount to: the lowest rate at which its queue is served
	GuaranteedKB    float64 // memory of its own: below it arrivals pass the admission draw
	MaxKB           float64 // memory that it may have booked
	RetryAfter      int64   // retry-after of what it refuses
}

// Ceilings are those of all pools. The cheapest class, if it is known, has
// running slots of its own beyond the limit.
type Ceilings struct {
	PoolOf                          []int // by class: its pool
	Pools                           []Ceiling
	MaxRuns                         int // running slots of all pools together
	CheapestClass, CheapestReserved int // CheapestClass: -1 = not known
}
