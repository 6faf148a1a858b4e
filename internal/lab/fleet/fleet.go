// Package fleet plays days of a whole fleet in simulated time: many boxes, each
// with the real core and module, callers with habits of their own in front of
// them, and failures. The same day and seed give the same outcome to the byte.
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

// epoch is when a day starts on that clock.
const epoch = 1_000 * Second

// Choice is how a caller chooses a box.
type Choice uint8

// The choices.
const (
	Turn    Choice = iota // in turn
	Two                   // the one with fewer open requests of two drawn
	Subject               // by the request's subject
)

// Caller is one caller, in front of one client process.
type Caller struct {
	Weight float64 // its part of the traffic
	Choose Choice
	Tries  int   // at most, the first included
	Hasty  int64 // after so long without an answer it tries another box; 0 = never
	Heeds  bool  // advice to stay away, and the wish not to try elsewhere
}

// Class is a class of requests: the module's view, and its traffic.
type Class struct {
	kiteslip.Class
	Name        string
	Part        float64 // of the requests
	Least, Most float64 // work, microseconds at the yardstick's speed
}

// Team is one team, with its part of the traffic.
type Team struct {
	Name string
	Part float64
}

// Point is the rate at a time: between points it changes evenly.
type Point struct {
	At   int64
	Rate float64 // times the mean rate
}

// FailureKind is what befalls boxes.
type FailureKind uint8

// The kinds.
const (
	Die    FailureKind = iota // gone, and back cold after For
	Slow                      // at Factor of the speed
	Pause                     // nothing moves, then everything at once
	Deploy                    // drained and replaced cold one after the other, within For
)

func (k FailureKind) String() string {
	return [...]string{"die", "slow", "pause", "deploy", "ledger_down"}[min(k, Down)]
}

// Failure is one thing that goes wrong.
type Failure struct {
	Kind   FailureKind `json:"Kind"`
	At     int64       `json:"At"`
	For    int64       `json:"For"`
	Share  float64     `json:"Share"`  // of the boxes
	First  int         `json:"First"`  // the first of them; they follow by number
	Factor float64     `json:"Factor"` // Slow: of the speed. Die, Deploy: of the speed at the return
	Warm   int64       `json:"Warm"`   // Die, Deploy: until the full speed
}

// Day is what is played.
type Day struct {
	Boxes    int
	Box      box.Spec
	Spread   float64 // speeds lie evenly within this part above and below
	Policy   kiteslip.Settings
	Pools    *pool.Settings
	Classes  []Class
	Teams    []Team
	Callers  []Caller
	Load     float64 // of what all cores can do
	Shape    []Point
	Skew     float64 // of the subjects, a Zipf exponent above 1; 0 = all alike
	Subjects uint64
	UWSGI    bool    // live days: the work is done by a uwsgi server, not by the engine
	Poison   float64 // work for the most popular subject, over the usual; 0 = as for others
	Failures []Failure
	Length   int64
	From     int64 // what came before is not counted
	Seed     uint64
	Delay    int64  // one way between callers and boxes
	Below    *Below // nil = nothing lies below
	Untold   bool   // callers do not say how long they wait
}

const (
	drainFor   = 3_000_000 // from the notice to leave to the end, in a deploy
	fallenFor  = 6_000_000 // a box that fell over is back after this
	fallenCold = 0.21      // ... at this part of its speed
	fallenWarm = 17_000_000
)

// request is one request of a client, all tries together.
type request struct {
	class, team, caller int
	subject             uint64
	first, due          int64
	work                float64
	name                string
	tries               int
	over                bool
	last                int // the box of the last try
}

// try is one try of it at a box.
type try struct {
	r      *request
	box    int
	life   int
	lively bool  // not answered yet
	due    int64 // as the box must see it
}

// inbox is what is on its way to a box.
type arrival struct {
	at int64
	t  *try
}

// machine is one box with its server.
type machine struct {
	w       *world
	number  int
	box     *box.Box
	core    *core.Core
	life    int
	dead    bool
	leaving bool
	paused  int64 // until then
	speed   float64
	inbox   []arrival // in order of time
	live    map[uint64]*core.Request
	pieces  map[*core.Request]*piece // runs that have not ended
	tries   map[uint32]*try
	runs    uint64
	stream  uint32
	open    int // tries without an answer, as callers count them
	ran     map[string]int64
	remote  Remote // the real program, on loopback; nil = emulated
}

// timer is what a caller or the day wants to be called for.
type timer struct {
	at   int64
	what func()
}

type world struct {
	day     *Day
	now     int64
	boxes   []*machine
	streams []stream
	places  heap // of boxes, then streams, then the agenda
	agenda  []timer
	pick    *rand.Rand
	turn    []int     // by caller
	away    [][]int64 // by caller and box: until then
	weights []float64
	names   uint64
	ledger  *ledger // nil = there is none
	score   scorer
	Outcome
}

// stream is the arrivals of one class.
type stream struct {
	rng  *rand.Rand
	zipf *rand.Zipf
	mean float64 // a second
	next int64
}

// Play plays a day to its end.
func Play(day Day) (*Outcome, error) {
	if err := day.check(); err != nil {
		return nil, err
	}
	w, err := newWorld(&day, nil)
	if err != nil {
		return nil, err
	}
	end := epoch + day.Length
	for {
		who, at := w.places.first()
		if at == math.MaxInt64 || at > end+30*Second {
			break
		}
		w.now = max(w.now, at)
		w.step(who)
		if w.now > end && w.score.open == 0 {
			break
		}
	}
	w.score.finish(&w.Outcome)
	return &w.Outcome, nil
}

// newWorld prepares a day. With remotes its boxes are real programs.
func newWorld(day *Day, remotes []Remote) (*world, error) {
	w := &world{day: day, now: epoch, pick: rand.New(rand.NewPCG(day.Seed, 99)), ledger: newLedger(day.Below)}
	w.Outcome.Boxes = day.Boxes
	w.score.start(day)
	total := 0.0
	for i, speed := range day.Speeds() {
		m := &machine{w: w, number: i, ran: map[string]int64{}, speed: speed}
		total += speed
		if remotes != nil {
			m.remote = remotes[i]
			m.life, m.tries = 1, map[uint32]*try{}
		} else if err := m.start(false); err != nil {
			return nil, err
		}
		w.boxes = append(w.boxes, m)
	}
	w.traffic(total * day.Box.Speed * float64(day.Box.Cores))
	for i := range day.Failures {
		w.plan(&day.Failures[i])
	}
	w.places.init(day.Boxes + len(w.streams) + 1)
	for i := range w.boxes {
		w.places.set(i, w.boxes[i].next())
	}
	for i := range w.streams {
		w.places.set(day.Boxes+i, w.streams[i].next)
	}
	w.rest()
	return w, nil
}

// step lets one party do what is due for it.
func (w *world) step(who int) {
	boxes := w.day.Boxes
	switch {
	case who < boxes:
		w.boxes[who].play()
		w.places.set(who, w.boxes[who].next())
	case who < boxes+len(w.streams):
		w.ask(who - boxes)
		w.places.set(who, w.streams[who-boxes].next)
	default:
		for len(w.agenda) > 0 && w.agenda[0].at <= w.now {
			what := w.agenda[0].what
			w.agenda = w.agenda[1:]
			what()
		}
		w.rest()
	}
}

// Speeds are those of the boxes, over the mean.
func (d *Day) Speeds() []float64 {
	rng := rand.New(rand.NewPCG(d.Seed, 98))
	list := make([]float64, d.Boxes)
	for i := range list {
		list[i] = 1 + d.Spread*(2*rng.Float64()-1)
	}
	return list
}

// after puts something on the agenda.
func (w *world) after(at int64, what func()) {
	i := len(w.agenda)
	w.agenda = append(w.agenda, timer{})
	for i > 0 && w.agenda[i-1].at > at {
		w.agenda[i] = w.agenda[i-1]
		i--
	}
	w.agenda[i] = timer{at, what}
	w.rest()
}

func (w *world) rest() {
	at := int64(math.MaxInt64)
	if len(w.agenda) > 0 {
		at = w.agenda[0].at
	}
	if len(w.places.at) > 0 {
		w.places.set(len(w.places.at)-1, at)
	}
}

// start begins a life of the box.
func (m *machine) start(cold bool) error {
	w, day := m.w, m.w.day
	m.life++
	m.dead, m.leaving, m.paused, m.open = false, false, 0, 0
	m.live, m.tries, m.inbox = map[uint64]*core.Request{}, map[uint32]*try{}, nil
	m.pieces = map[*core.Request]*piece{}
	spec := day.Box
	spec.Speed *= m.speed
	m.box = box.New(spec, w.now)
	module := day.Policy
	module.JustStarted = cold
	module.Workers, module.Callers = day.Boxes, len(day.Callers)
	var err error
	m.core, err = core.New(core.Settings{Policy: module, Pools: day.Pools, Seed: day.Seed<<20 ^ uint64(m.number)<<8 ^ uint64(m.life)}, m)
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if w.ledger != nil {
		m.core.SetLedger(m)
	}
	return nil
}

// next is when the box wants to be played.
func (m *machine) next() int64 {
	if m.dead || m.remote != nil {
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
	return max(at, m.paused)
}

// play lets the box do what is due. After a pause that is everything at once.
func (m *machine) play() {
	now := m.w.now
	if m.dead || now < m.paused {
		return
	}
	for _, e := range m.box.Advance(now) {
		r := m.live[e.ID]
		delete(m.live, e.ID)
		m.pieceOver(r, e.At)
	}
	for len(m.inbox) > 0 && m.inbox[0].at <= now {
		a := m.inbox[0]
		m.inbox = m.inbox[1:]
		m.take(a)
	}
	m.core.Step(now)
	if m.box.Fallen() {
		m.w.Fallen++
		m.die()
		m.w.after(now+fallenFor, func() { m.back(&Failure{Factor: fallenCold, Warm: fallenWarm}) })
	}
}

// take hands a try to the core.
func (m *machine) take(a arrival) {
	r := a.t.r
	m.stream++
	m.tries[m.stream] = a.t
	m.w.names++
	due := r.due
	if a.t.due = due; m.w.day.Untold {
		due, a.t.due = 0, a.at+m.w.day.Classes[r.class].Timeout
	}
	err := m.core.Submit(m.w.now, &core.Request{TryID: strconv.FormatUint(m.w.names, 16), Class: r.class, Tenant: r.team, Caller: r.caller,
		Key: r.name, Subject: r.subject, Arrived: a.at, Deadline: due, SizeKB: 16, Retry: m.w.day.Policy.MarksRetries && r.tries > 1, Body: strconv.AppendInt(nil, int64(r.work), 10),
		Stream: m.stream, ReplyTo: m})
	if err != nil {
		m.Answer(m.stream, core.Answer{Code: core.Failed})
	}
}

// Run puts a request on the cores.
func (m *machine) Run(r *core.Request) {
	m.w.Runs++
	if r.Key != "" && m.w.day.Classes[r.Class].Effect == kiteslip.Keyed {
		if last, ran := m.ran[r.Key]; ran && r.Arrived <= last+m.w.day.Classes[r.Class].Window {
			m.w.Twice++
		}
		m.ran[r.Key] = r.Arrived
	}
	m.begin(r, box.Work(r.Body))
}

// Answer takes a final answer on its way to the caller.
func (m *machine) Answer(stream uint32, a core.Answer) {
	t := m.tries[stream]
	delete(m.tries, stream)
	if m.w.ledger != nil {
		m.requestOver(stream)
	}
	if t == nil || !t.lively {
		return
	}
	t.lively = false
	m.open--
	w := m.w
	if w.now > t.due+60_000 {
		w.Overdue++
	}
	w.after(w.now+w.day.Delay, func() { w.answered(t, a) })
}

// die ends the box's life: what it held is lost, and its callers see the connections end.
func (m *machine) die() {
	if m.dead {
		return
	}
	m.dead = true
	m.w.Deaths++
	lost := make([]*try, 0, len(m.tries)+len(m.inbox))
	for stream := uint32(1); stream <= m.stream; stream++ {
		if t := m.tries[stream]; t != nil {
			lost = append(lost, t)
		}
	}
	for _, a := range m.inbox {
		lost = append(lost, a.t)
	}
	m.tries, m.inbox, m.live = map[uint32]*try{}, nil, map[uint64]*core.Request{}
	m.pieces = map[*core.Request]*piece{}
	if m.remote != nil {
		m.remote.Die()
	} else {
		m.box.Die(m.w.now)
	}
	m.w.places.set(m.number, math.MaxInt64)
	for _, t := range lost {
		if t.lively {
			t.lively = false
			m.w.after(m.w.now+m.w.day.Delay, func() { m.w.answered(t, core.Answer{Code: core.Failed}) })
		}
	}
}

// back starts the box anew, cold.
func (m *machine) back(f *Failure) {
	if !m.dead {
		return
	}
	if m.remote != nil {
		m.life++
		m.dead, m.leaving, m.open = false, false, 0
		m.remote.Back(f.Factor, f.Warm)
		return
	}
	if err := m.start(true); err != nil {
		panic(err) // the settings were good before
	}
	m.box.Cold(m.w.now, f.Factor, f.Warm)
	m.w.places.set(m.number, m.w.now)
}
