// Package fleet simulates a whole fleet: many boxes, each a machine with a server
// that runs the real core and policy, the callers in front of them, and failures.
// A simulation is called a day. The same day and seed give the same outcome, byte
// for byte. A day can also be played in real time against real programs, see
// PlayLive.
//
// Instants and durations are int64 microseconds of the simulated clock.
package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"

	"kiteslip"
	"kiteslip/internal/core"
	"kiteslip/internal/pool"
	"kiteslip/internal/standin/box"
)

// Second is one second of the simulated clock.
const Second = 1_000_000

// epoch is the instant at which a day starts.
const epoch = 1_000 * Second

// Balancing is how a caller chooses a box.
type Balancing uint8

// The ways to choose.
const (
	RoundRobin Balancing = iota // in turn
	LeastOpen                   // the one with the fewest open tries of four drawn at random
	BySubject                   // by a hash of the request's subject
)

// Caller is one caller with its share of the traffic and its manner of retrying.
type Caller struct {
	Weight        float64 // its share of the traffic, relative to the other callers
	Balancing     Balancing
	MaxTries      int   // for each request, the first included
	HedgeDelay    int64 // after this time without an answer it also tries another box; 0 = never
	FollowsAdvice bool  // it obeys retry-after and no failover
}

// Class is a class of requests: the settings of the policy, and its traffic.
type Class struct {
	kiteslip.Class
	Name             string
	TrafficShare     float64 // relative to the other classes
	MinWork, MaxWork float64 // bounds of the core time of a run, microseconds at speed 1
}

// Team is one team, with its share of the traffic.
type Team struct {
	Name         string
	TrafficShare float64 // relative to the other teams
}

// RatePoint is the arrival rate at an instant of the day; between two points it is
// interpolated linearly.
type RatePoint struct {
	At   int64
	Rate float64 // times the mean rate
}

// FailureKind is the kind of a failure.
type FailureKind uint8

// The kinds of failures of boxes; LedgerDown is one more.
const (
	Die    FailureKind = iota // the box stops at once, and restarts cold after Duration
	Slow                      // the box runs at SpeedFactor of its speed
	Pause                     // box and server stand still; what becomes due meanwhile happens at the end
	Deploy                    // boxes are drained and replaced cold one after the other, within Duration
)

// String returns the kind's name in scenario files.
func (k FailureKind) String() string {
	return [...]string{"die", "slow", "pause", "deploy", "ledger_down"}[min(k, LedgerDown)]
}

// Failure is one failure of a day.
type Failure struct {
	Kind        FailureKind `json:"Kind"`
	At          int64       `json:"At"`
	Duration    int64       `json:"For"`
	BoxShare    float64     `json:"Share"`  // of the boxes that fail
	FirstBox    int         `json:"First"`  // number of the first box that fails; the others follow by number
	SpeedFactor float64     `json:"Factor"` // share of the speed: during Slow; at the restart after Die or Deploy
	WarmupTime  int64       `json:"Warm"`   // Die, Deploy: from the restart to full speed
}

// Day describes one simulation: the fleet, its settings, the traffic and the
// failures.
type Day struct {
	Boxes            int
	Box              box.Spec
	SpeedSpread      float64 // speeds are uniform within this share above and below the mean
	Policy           kiteslip.Settings
	Pools            *pool.Settings
	Classes          []Class
	Teams            []Team
	Callers          []Caller
	Load             float64 // mean offered work, as a share of the capacity of all cores
	RateCurve        []RatePoint
	SubjectSkew      float64 // Zipf exponent of the subjects' popularity, above 1; 0 = uniform
	Subjects         uint64
	UWSGI            bool    // live days: a uwsgi server does the work, not the engine
	TopSubjectFactor float64 // multiplies the work for the most popular subject; 0 = 1
	Failures         []Failure
	Length           int64
	Warmup           int64 // requests that begin before this time are not counted
	Seed             uint64
	NetworkDelay     int64       // one way between callers and boxes
	Ledger           *LedgerSpec // nil = no downstream calls
	TimeoutsNotSent  bool        // requests carry no deadline
}

const (
	drainUS          = 3_000_000  // from the shutdown notice to the end, in a deploy
	crashDowntimeUS  = 6_000_000  // from the crash of an overloaded box to its restart
	crashSpeedFactor = 0.21       // share of the speed after that restart
	crashWarmupUS    = 17_000_000 // from that restart to full speed
)

// request is one request of a client, with all its tries.
type request struct {
	class, team, caller int
	subject             uint64
	arrivedAt, deadline int64
	work                float64
	key                 string
	tries               int
	ended               bool
	lastBox             int // the box of the last try; -1 = none yet
}

// try is one try of a request at a box.
type try struct {
	request     *request
	box         int
	incarnation int
	pending     bool  // its caller has no answer yet
	deadline    int64 // by which the box must answer
}

// arrival is a try on its way to a box, and when it arrives.
type arrival struct {
	at int64
	t  *try
}

// machine is one box with its server.
type machine struct {
	sim            *simulation
	number         int
	box            *box.Machine
	core           *core.Core
	incarnation    int
	down           bool
	draining       bool
	pausedUntil    int64 // in the past = not paused
	speed          float64
	inbox          []arrival // ordered by time
	runsByID       map[uint64]*core.Request
	runStates      map[*core.Request]*runState // runs that have not ended
	tries          map[uint32]*try
	lastRunID      uint64
	lastStream     uint32
	openTries      int              // tries without an answer, as their callers count them
	lastRunArrival map[string]int64 // by key: when the request of its last run arrived
	remote         Remote           // the real program; nil = simulated
}

// timer is a scheduled action that belongs to no box.
type timer struct {
	at     int64
	action func()
}

// simulation is the state of a day that is played. Its parties, as schedule numbers
// them, are the boxes, the arrival streams and, last, the timers.
type simulation struct {
	day               *Day
	now               int64
	boxes             []*machine
	streams           []arrivalStream
	schedule          eventHeap
	timers            []timer // ordered by time
	rng               *rand.Rand
	roundRobin        []int     // by caller: the next box in turn
	avoidUntil        [][]int64 // by caller and box: when the last retry-after ends
	cumulativeWeights []float64 // by caller
	nameCount         uint64    // keys and try IDs given out
	ledger            *ledger   // nil = there is none
	score             scorer
	Outcome
}

// arrivalStream generates the requests of one class.
type arrivalStream struct {
	rng      *rand.Rand
	zipf     *rand.Zipf // of the subjects; nil = uniform
	meanRate float64    // requests a second
	next     int64      // the next arrival; math.MaxInt64 = none
}

// Play simulates a day to its end, and at most 30 s longer for requests that are
// still open.
func Play(day Day) (*Outcome, error) {
	if err := day.check(); err != nil {
		return nil, err
	}
	sim, err := newSimulation(&day, nil)
	if err != nil {
		return nil, err
	}
	end := epoch + day.Length
	for {
		party, at := sim.schedule.earliest()
		if at == math.MaxInt64 || at > end+30*Second {
			break
		}
		sim.now = max(sim.now, at)
		sim.runParty(party)
		if sim.now > end && sim.score.openRequests == 0 {
			break
		}
	}
	sim.score.finish(&sim.Outcome)
	return &sim.Outcome, nil
}

// newSimulation prepares a day. If remotes is not nil, its boxes are real programs.
func newSimulation(day *Day, remotes []Remote) (*simulation, error) {
	sim := &simulation{day: day, now: epoch, rng: rand.New(rand.NewPCG(day.Seed, 99)), ledger: newLedger(day.Ledger)}
	sim.Outcome.Boxes = day.Boxes
	sim.score.start(day)
	total := 0.0
	for i, speed := range day.BoxSpeeds() {
		m := &machine{sim: sim, number: i, lastRunArrival: map[string]int64{}, speed: speed}
		total += speed
		if remotes != nil {
			m.remote = remotes[i]
			m.incarnation, m.tries = 1, map[uint32]*try{}
		} else if err := m.start(false); err != nil {
			return nil, err
		}
		sim.boxes = append(sim.boxes, m)
	}
	sim.initTraffic(total * day.Box.Speed * float64(day.Box.Cores))
	for i := range day.Failures {
		sim.scheduleFailure(&day.Failures[i])
	}
	sim.schedule.init(day.Boxes + len(sim.streams) + 1)
	for i := range sim.boxes {
		sim.schedule.set(i, sim.boxes[i].nextEvent())
	}
	for i := range sim.streams {
		sim.schedule.set(day.Boxes+i, sim.streams[i].next)
	}
	sim.rescheduleTimers()
	return sim, nil
}

// runParty processes the events of one party that are due.
func (sim *simulation) runParty(party int) {
	boxes := sim.day.Boxes
	switch {
	case party < boxes:
		sim.boxes[party].advance()
		sim.schedule.set(party, sim.boxes[party].nextEvent())
	case party < boxes+len(sim.streams):
		sim.startRequest(party - boxes)
		sim.schedule.set(party, sim.streams[party-boxes].next)
	default:
		for len(sim.timers) > 0 && sim.timers[0].at <= sim.now {
			action := sim.timers[0].action
			sim.timers = sim.timers[1:]
			action()
		}
		sim.rescheduleTimers()
	}
}

// BoxSpeeds returns the speed of each box, as a multiple of the mean.
func (d *Day) BoxSpeeds() []float64 {
	rng := rand.New(rand.NewPCG(d.Seed, 98))
	list := make([]float64, d.Boxes)
	for i := range list {
		list[i] = 1 + d.SpeedSpread*(2*rng.Float64()-1)
	}
	return list
}

// scheduleAt schedules an action, after those of the same instant.
func (sim *simulation) scheduleAt(at int64, action func()) {
	i := len(sim.timers)
	sim.timers = append(sim.timers, timer{})
	for i > 0 && sim.timers[i-1].at > at {
		sim.timers[i] = sim.timers[i-1]
		i--
	}
	sim.timers[i] = timer{at, action}
	sim.rescheduleTimers()
}

// rescheduleTimers enters the first timer into the schedule.
func (sim *simulation) rescheduleTimers() {
	at := int64(math.MaxInt64)
	if len(sim.timers) > 0 {
		at = sim.timers[0].at
	}
	if len(sim.schedule.at) > 0 {
		sim.schedule.set(len(sim.schedule.at)-1, at)
	}
}

// start starts the box and its server with empty state. cold tells the policy that
// it has just been started.
func (m *machine) start(cold bool) error {
	sim, day := m.sim, m.sim.day
	m.incarnation++
	m.down, m.draining, m.pausedUntil, m.openTries = false, false, 0, 0
	m.runsByID, m.tries, m.inbox = map[uint64]*core.Request{}, map[uint32]*try{}, nil
	m.runStates = map[*core.Request]*runState{}
	spec := day.Box
	spec.Speed *= m.speed
	m.box = box.New(spec, sim.now)
	policy := day.Policy
	policy.JustStarted = cold
	policy.Workers, policy.Callers = day.Boxes, len(day.Callers)
	var err error
	m.core, err = core.New(core.Settings{Policy: policy, Pools: day.Pools, Seed: day.Seed<<20 ^ uint64(m.number)<<8 ^ uint64(m.incarnation)}, m)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if sim.ledger != nil {
		m.core.SetLedger(m)
	}
	return nil
}

// nextEvent returns when the box has something to do next.
func (m *machine) nextEvent() int64 {
	if m.down || m.remote != nil {
		return math.MaxInt64
	}
	at := int64(math.MaxInt64)
	if len(m.inbox) > 0 {
		at = m.inbox[0].at
	}
	for _, t := range []int64{m.box.Next(), m.core.NextStep()} {
		if t != 0 {
			at = min(at, t)
		}
	}
	return max(at, m.pausedUntil)
}

// advance processes what is due at the box: ends of runs, arrivals, a step of the
// core, and its crash. After a pause that is all that became due meanwhile.
func (m *machine) advance() {
	now := m.sim.now
	if m.down || now < m.pausedUntil {
		return
	}
	for _, e := range m.box.Advance(now) {
		r := m.runsByID[e.ID]
		delete(m.runsByID, e.ID)
		m.phaseDone(r, e.At)
	}
	for len(m.inbox) > 0 && m.inbox[0].at <= now {
		a := m.inbox[0]
		m.inbox = m.inbox[1:]
		m.submit(a)
	}
	m.core.Step(now)
	if m.box.Crashed() {
		m.sim.Crashes++
		m.kill()
		m.sim.scheduleAt(now+crashDowntimeUS, func() { m.restart(&Failure{SpeedFactor: crashSpeedFactor, WarmupTime: crashWarmupUS}) })
	}
}

// submit submits a try to the core.
func (m *machine) submit(a arrival) {
	r := a.t.request
	m.lastStream++
	m.tries[m.lastStream] = a.t
	m.sim.nameCount++
	deadline := r.deadline
	if a.t.deadline = deadline; m.sim.day.TimeoutsNotSent {
		deadline, a.t.deadline = 0, a.at+m.sim.day.Classes[r.class].Timeout
	}
	err := m.core.Submit(m.sim.now, &core.Request{TryID: strconv.FormatUint(m.sim.nameCount, 16), Class: r.class, Tenant: r.team, Caller: r.caller,
		Key: r.key, Subject: r.subject, Arrived: a.at, Deadline: deadline, SizeKB: 16, Retry: m.sim.day.Policy.MarksRetries && r.tries > 1, Body: strconv.AppendInt(nil, int64(r.work), 10),
		Stream: m.lastStream, ReplyTo: m})
	if err != nil {
		m.Answer(m.lastStream, core.Answer{Code: core.Failed})
	}
}

// Run starts the run of a request, and counts keyed runs that should not happen.
func (m *machine) Run(r *core.Request) {
	m.sim.Runs++
	if r.Key != "" && m.sim.day.Classes[r.Class].Effect == kiteslip.Keyed {
		if last, ran := m.lastRunArrival[r.Key]; ran && r.Arrived <= last+m.sim.day.Classes[r.Class].Window {
			m.sim.RepeatedRuns++
		}
		m.lastRunArrival[r.Key] = r.Arrived
	}
	m.beginRun(r, box.Work(r.Body))
}

// Answer sends a final answer to the caller.
func (m *machine) Answer(stream uint32, a core.Answer) {
	t := m.tries[stream]
	delete(m.tries, stream)
	if m.sim.ledger != nil {
		m.requestAnswered(stream)
	}
	if t == nil || !t.pending {
		return
	}
	t.pending = false
	m.openTries--
	sim := m.sim
	if sim.now > t.deadline+60_000 {
		sim.DeadlineExceeded++
	}
	sim.scheduleAt(sim.now+sim.day.NetworkDelay, func() { sim.handleAnswer(t, a) })
}

// kill stops the box at once. All tries that it holds are lost; their callers see
// the connections end.
func (m *machine) kill() {
	if m.down {
		return
	}
	m.down = true
	m.sim.BoxesLost++
	lost := make([]*try, 0, len(m.tries)+len(m.inbox))
	for stream := uint32(1); stream <= m.lastStream; stream++ {
		if t := m.tries[stream]; t != nil {
			lost = append(lost, t)
		}
	}
	for _, a := range m.inbox {
		lost = append(lost, a.t)
	}
	m.tries, m.inbox, m.runsByID = map[uint32]*try{}, nil, map[uint64]*core.Request{}
	m.runStates = map[*core.Request]*runState{}
	if m.remote != nil {
		m.remote.Kill()
	} else {
		m.box.DropRuns(m.sim.now)
	}
	m.sim.schedule.set(m.number, math.MaxInt64)
	for _, t := range lost {
		if t.pending {
			t.pending = false
			m.sim.scheduleAt(m.sim.now+m.sim.day.NetworkDelay, func() { m.sim.handleAnswer(t, core.Answer{Code: core.Failed}) })
		}
	}
}

// restart starts a box that is down, cold.
func (m *machine) restart(f *Failure) {
	if !m.down {
		return
	}
	if m.remote != nil {
		m.incarnation++
		m.down, m.draining, m.openTries = false, false, 0
		m.remote.Restart(f.SpeedFactor, f.WarmupTime)
		return
	}
	if err := m.start(true); err != nil {
		panic(err) // the same settings were valid at the first start
	}
	m.box.StartWarmup(m.sim.now, f.SpeedFactor, f.WarmupTime)
	m.sim.schedule.set(m.number, m.sim.now)
}
