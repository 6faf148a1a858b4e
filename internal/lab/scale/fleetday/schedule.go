package fleetday

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind says what an event of the day does.
type Kind uint8

// The kinds.
const (
	Publish     Kind = iota + 1 // a change that touches Tenants tenants
	Restart                     // Servers get the notice to leave, and start again when they are gone
	Kill                        // Servers are killed at once
	Back                        // killed Servers start with what they keep
	BackCold                    // ... with empty folders
	KillControl                 // control Machines are killed at once
	BackControl                 // ... and start again
	Cut                         // Region hears nothing of the others, nor they of it
	Heal                        // it does again
	Phase                       // what comes from now on belongs to the phase of that Name
)

// Event is one thing that happens on the day.
type Event struct {
	At       time.Duration // since the day's begin
	Kind     Kind
	Name     string // of a phase
	Tenants  int
	Servers  []int // of the fleet, by number
	Machines []int
	Region   int
}

// String words an event as the plan shows it.
func (e Event) String() string {
	at := fmt.Sprintf("%7.2f s  ", e.At.Seconds())
	several := func(list []int, what string) string {
		if len(list) == 1 {
			return fmt.Sprintf("%s %d", what, list[0])
		}
		return fmt.Sprintf("%d %ss", len(list), what)
	}
	switch e.Kind {
	case Publish:
		return at + fmt.Sprintf("  a change of %d tenants", e.Tenants)
	case Restart:
		return at + "  restart of " + several(e.Servers, "server")
	case Kill:
		return at + "  kill of " + several(e.Servers, "server")
	case Back:
		return at + "  start of " + several(e.Servers, "server")
	case BackCold:
		return at + "  cold start of " + several(e.Servers, "server")
	case KillControl:
		return at + "  kill of " + several(e.Machines, "control machine")
	case BackControl:
		return at + "  start of " + several(e.Machines, "control machine")
	case Cut:
		return at + fmt.Sprintf("  region %d is cut off", e.Region)
	case Heal:
		return at + fmt.Sprintf("  region %d is healed", e.Region)
	case Phase:
		return at + "phase: " + e.Name
	}
	return at + fmt.Sprintf("event of kind %d", e.Kind)
}

// The phases.
const (
	Calm        = "calm"
	Burst       = "burst"
	Large       = "large change"
	Rack        = "rack"
	Zone        = "zone cold"
	Killed      = "3 control machines"
	Apart       = "region cut off"
	Healed      = "region healed"
	Together    = "all together"
	OneMachine  = "one control machine"
	Afterwards  = "afterwards"
	changeEvery = 86_400 * time.Second / 5_300 // ten times the day's pace
	// One server of 470 restarts each 13 s at ten times the day's pace.
	restartEvery = 86_400 * time.Second / 6_700
)

// Plan is a day: events in the order of their time, and its length.
type Plan struct {
	Events []Event
	Length time.Duration
}

// planner writes a plan down, one step after the other.
type planner struct {
	form *Form
	rng  *rand.Rand
	now  time.Duration
	list []Event
}

func (p *planner) add(e Event) { e.At = p.now; p.list = append(p.list, e) }

// phase begins a phase that lasts so long, with changes spread over it.
func (p *planner) phase(name string, length time.Duration, changes int, during ...Event) {
	p.add(Event{Kind: Phase, Name: name})
	start := p.now
	for i := range changes {
		p.now = start + length*time.Duration(2*i+1)/time.Duration(2*changes)
		p.add(Event{Kind: Publish, Tenants: 1})
	}
	for _, e := range during {
		p.now = start + e.At
		p.add(e)
	}
	p.now = start + length
}

// changes is how many changes at ten times the pace fall into a time, rounded up.
func changes(length time.Duration) int { return int((length + changeEvery - 1) / changeEvery) }

// Plan writes the day down. Each fault has its own phase, which is long
// enough for all to be current again at its end.
func (f *Form) Plan() Plan {
	p := &planner{form: f, rng: rand.New(rand.NewPCG(f.Seed, 3))}
	if f.Short {
		p.short()
	} else {
		p.full()
	}
	for at := restartEvery / 2; at < p.now; at += restartEvery {
		if f.Short && at > restartEvery {
			break
		}
		p.list = append(p.list, Event{At: at, Kind: Restart, Servers: []int{p.pick(at)}})
	}
	slices.SortStableFunc(p.list, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return Plan{p.list, p.now}
}

// pick draws the server of an ordinary restart: each third is a real one, but
// none of those that are compared with a twin; the hollow ones are of the last
// process, so that the others have a stretch that nothing but changes come in.
func (p *planner) pick(at time.Duration) int {
	f := p.form
	if int(at/restartEvery)%3 == 0 {
		return f.paired() + p.rng.IntN(f.Real-f.paired())
	}
	last := f.Real + (f.Servers-f.Real-1)/f.HollowPer*f.HollowPer
	return last + p.rng.IntN(f.Servers-last)
}

func (p *planner) full() {
	f := p.form
	s := time.Second
	rack, zone := f.rack(), f.zone(f.Zones/2)
	p.phase(Calm, 62*s, changes(62*s))
	p.phase(Burst, 25*s, 50)
	p.phase(Large, 8*s, 0, Event{At: s, Kind: Publish, Tenants: f.LargeChange})
	p.phase(Rack, 11*s, 2, Event{Kind: Kill, Servers: rack}, Event{At: 4 * s, Kind: Back, Servers: rack})
	p.phase(Zone, 13*s, 2, Event{Kind: Kill, Servers: zone}, Event{At: 5 * s, Kind: BackCold, Servers: zone})
	p.phase(Killed, 12*s, 3, Event{Kind: KillControl, Machines: []int{1, 3, 6}}, Event{At: 6 * s, Kind: BackControl, Machines: []int{1, 3, 6}})
	p.phase(Apart, 14*s, 5, Event{Kind: Cut, Region: f.Regions - 1})
	p.phase(Healed, 8*s, 1, Event{Kind: Heal, Region: f.Regions - 1})
	p.phase(Together, 14*s, 2, Event{Kind: Restart, Servers: f.all()})
	p.phase(OneMachine, 22*s, 6, Event{Kind: KillControl, Machines: f.relays()})
	p.phase(Afterwards, 8*s, 1, Event{Kind: BackControl, Machines: f.relays()})
}

// short has the same faults, one after the other within some seconds.
func (p *planner) short() {
	f := p.form
	ms := time.Millisecond
	rack, zone := f.rack(), f.zone(1)
	p.phase(Calm, 1500*ms, 3)
	p.phase(Burst, 500*ms, 20)
	p.phase(Large, 400*ms, 0, Event{Kind: Publish, Tenants: f.LargeChange})
	p.phase(Rack, 1000*ms, 1, Event{Kind: Kill, Servers: rack}, Event{At: 300 * ms, Kind: Back, Servers: rack})
	p.phase(Zone, 1000*ms, 1, Event{Kind: Kill, Servers: zone}, Event{At: 300 * ms, Kind: BackCold, Servers: zone})
	p.phase(Killed, 1000*ms, 2, Event{Kind: KillControl, Machines: []int{1}}, Event{At: 500 * ms, Kind: BackControl, Machines: []int{1}})
	p.phase(Apart, 800*ms, 3, Event{Kind: Cut, Region: f.Regions - 1})
	p.phase(Healed, 500*ms, 1, Event{Kind: Heal, Region: f.Regions - 1})
	p.phase(Together, 2200*ms, 1, Event{Kind: Restart, Servers: f.all()})
	p.phase(OneMachine, 1000*ms, 3, Event{Kind: KillControl, Machines: f.relays()})
	p.phase(Afterwards, 500*ms, 1, Event{Kind: BackControl, Machines: f.relays()})
}
