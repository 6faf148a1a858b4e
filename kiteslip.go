// Package kiteslip decides, inside one server of a fleet, what it takes,
// runs and turns away.
//
// A host owns one Worker for each server process. It hands the worker what
// happened since the last call (arrivals, finished runs, calls, timers) and
// carries out the actions that come back, in their order. The contract:
//
//   - A Worker belongs to one goroutine at a time. It reads no clock, starts no
//     goroutine and does no I/O; the same events give the same actions.
//   - Times are microseconds on any clock that only advances. Durations are
//     microseconds too, sizes are kilobytes.
//   - An arrival is held until the worker says Run, Refuse or Fail. Refuse and
//     Fail are final answers which the host sends; after Run or Reuse the host
//     sends the result itself when the work ends, unless an answer was given.
//   - Each Run and each Reuse that took effect ends with one Done event. A run
//     that needs a call below stops and reports Needs; Call, Skip or Fail
//     releases it. Each Call ends with one Called event unless Done comes first.
//   - Halt, Call, Skip, Keep and Forget about a request that is over are legal
//     to ignore. Say, Refuse's advice, Idle, Health and Log are advice: a host
//     with no use for them may ignore them, the rules do not rest on them.
//   - A Timer action asks for one Timer event at or after its time; a host must
//     honour it, for deadlines hang on it.
package kiteslip

// RequestID names one try of a request on this worker; it is never used again
// while the worker lives. Zero is no request.
type RequestID uint32

// Effect says what running a request twice would do.
type Effect uint8

// The effects.
const (
	Repeatable Effect = iota // running twice does no harm
	Keyed                    // repeats carry a key and are recognised through kept entries
	Once                     // must not run twice and cannot be recognised
)

// Downstream says what requests call while they run.
type Downstream uint8

// The kinds of dependency.
const (
	DownstreamNone   Downstream = iota // no calls
	DownstreamShared                   // one dependency serves every worker
	DownstreamTier                     // another tier of workers
)

// Stop says whether running work can be stopped.
type Stop uint8

// The ways to stop work.
const (
	StopNever   Stop = iota // Halt is not allowed
	StopDiscard             // a stopped run loses its work and is held again
	StopFreeze              // a stopped run keeps its work and memory until Run
)

// LoadSignal says what callers make of the value set by Say.
type LoadSignal uint8

// The meanings of the free value.
const (
	LoadSignalNone      LoadSignal = iota // Say is not allowed
	LoadSignalMinRank                     // nothing of a lower rank is sent here
	LoadSignalAllowance                   // requests each caller may have outstanding here
	LoadSignalWeight                      // probability that a caller does not pass by
)

// Class describes one class of requests.
type Class struct {
	Effect          Effect
	TargetTime      int64   // an answer within this of the first try earns the full worth
	Timeout         int64   // the time a client waits, all tries together
	Window          int64   // Keyed: how long after its arrival a request may come again
	Worth           float64 // worth of one answer
	LateWorth       float64 // share of the worth earned after the aim
	CallsDownstream bool    // its requests may call below
	Prepare         bool    // its requests begin only once they are Ready, which Prepare asks for
	SkipWorth       float64 // share of the worth earned without the call; 0 = must not be left out
}

// Tenant describes one tenant.
type Tenant struct {
	Quota float64 // requests a second, over all workers, within its share
}

// Goal weighs the parts of the result: all of it, its poorest class, tenant and window.
type Goal struct{ Whole, WorstClass, WorstTenant, WorstWindow float64 }

// Settings are what a worker is told at its start. A zero value means that
// the thing is absent, unless New says that it is needed.
type Settings struct {
	Cores           int     // needed
	MemoryKB        float64 // needed
	RunFactor       float64 // memory of a running request over that of a held one
	KeyKB           float64 // memory of one kept entry
	Classes         []Class // needed
	Tenants         []Tenant
	WorthByWork     bool    // worth is counted for each unit of work, not for each request
	OverShareWorth  float64 // share of the worth earned beyond a tenant's quota
	Goal            Goal
	Workers         int   // workers of this tier, as at the start
	Callers         int   // callers of this tier, as at the start
	Stage           int   // 0 = the first tier
	Tick            int64 // batches come no more often than this
	Stop            Stop
	LoadSignal      LoadSignal
	LoadSignalTTL   int64 // how long a caller minds the free value
	MaxRetryAfter   int64 // longest advice to stay away; 0 = none is passed on
	ReuseFor        int64 // how long a read's answer may serve other requests; 0 = never
	IdleAfter       int64 // callers close idle connections after this
	MarksRetries    bool  // further tries are marked
	Downstream      Downstream
	CallShare       float64 // BelowShared: mean calls in hand that this worker's part can bear
	CallShareWindow int64   // ... averaged over this
	MaxCallLinger   int64   // longest that an abandoned call stays in the dependency's hands
	JustStarted     bool    // starts cold
	ColdSpeed       float64 // least share of its speed that a cold worker starts at
	WarmupTime      int64   // and is warm within this
	MaxRunsPerCore  float64 // running requests a core that a warm worker survives
	MaxRunsWindow   int64   // ... in the mean of this
	DrainGrace      int64   // what arrives this long after Drain must not run
	AnswerSlack     int64   // an answer counts as in time until this long after it was due
	WastePrice      float64 // price of work that served no answer
	LateFailPrice   float64 // price of worth unserved after its aim
}

// EventKind says what happened.
type EventKind uint8

// The events.
const (
	Arrive       EventKind = iota + 1 // a request was read and is now held
	Done                              // a run or a reuse ended: Outcome, Elapsed
	NeedsCall                         // a run stands at a call below
	CallDone                          // a call ended: Outcome, Elapsed
	Disconnected                      // nobody waits for this request any longer
	Timer                             // a timer is due: Token, Gauges
	Drain                             // the worker will be stopped at Deadline
	Handover                          // another has its place: it still answers what comes, and is stopped at Deadline
	Ready                             // what Prepare asked for is done: the request may begin
	PeerLoad                          // another worker shares its machine: Runs on the cores, SizeKB booked
)

// Outcome says how a run or a call ended.
type Outcome uint8

// The outcomes. Only Full, Unreachable and Moot prove that nothing ran.
const (
	Failed Outcome = iota
	OK
	Rejected    // the call was turned away unseen
	TimedOut    // the call was abandoned
	Unreachable // what lies below was not reached
	Reset       // the call was cut short
	Cancelled   // the run was stopped
	NotStarted  // nothing began, the request was over
)

// Gauges are the worker's own readings; Set is false where there were none.
type Gauges struct {
	Valid                                   bool
	Busy, Runnable, MemoryUsed, Connections float32
}

// Event is one thing that happened. Which fields count depends on Kind.
type Event struct {
	Kind        EventKind
	Outcome     Outcome
	Retry       bool // Arrive: marked as a further try or second copy
	Write       bool // Arrive: a write
	ID          RequestID
	DuplicateOf RequestID // Arrive: the kept request that this one repeats
	Class       int
	Tenant      int
	Caller      int
	Key         uint64
	Deadline    int64 // Arrive: when its caller gives up (0 = untold); Drain, Handover: when the worker is stopped
	Runs        int   // Beside
	Waited      int64 // Arrive: time since it reached the machine
	WorkHint    int64 // Arrive: expected work, 0 = untold
	Elapsed     int64 // Done, Called
	SizeKB      float64
	Rank        float64
	Token       uint64
	Gauges      Gauges
}

// ActionKind says what the host is to do.
type ActionKind uint8

// The actions.
const (
	Run            ActionKind = iota + 1 // begin or resume a request
	Refuse                               // final answer: never ran, or is Repeatable; After = stay away so long, On = go nowhere else
	Fail                                 // final answer: an error, no assurance
	Halt                                 // stop running work
	Call                                 // make the call; After = patience
	Skip                                 // go on without the call
	Reuse                                // serve from the result of the request it repeats
	Retain                               // record the request for After
	Forget                               // drop its entry
	SetLoadSignal                        // set the free value
	Health                               // On = checks are told good, Stored = without work
	SetIdleTimeout                       // close connections idle for After
	SetTimer                             // ask for a Timer event after After with Token
	Log                                  // a line for the operators
	Prepare                              // make a held request ready to begin; ends with one Ready event, unless it is over first
)

// Action is one thing to do. Which fields count depends on Kind.
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

// Ceiling is what one pool of classes may have in the next batch.
type Ceiling struct {
	GuaranteedRuns  int     // running places that are its own: filled before all others
	MaxRuns         int     // running places it may have at all
	ReservedRuns    int     // places beyond the running limit, while it has fewer runs than this
	MaxQueued       int     // held requests it may have
	GuaranteedCores float64 // that its own places amount to: how fast what it holds gets done at the least
	GuaranteedKB    float64 // memory that is its own: below it arrivals pass the draw
	MaxKB           float64 // memory that it may have booked
	RetryAfter      int64   // advice for what it turns away
}

// Ceilings are those of all pools. The cheapest class, if it is known, has
// places beyond the limit of its own.
type Ceilings struct {
	PoolOf                          []int // by class: its pool
	Pools                           []Ceiling
	MaxRuns                         int // running places of all pools together
	CheapestClass, CheapestReserved int // Cheap: -1 = not known
}
