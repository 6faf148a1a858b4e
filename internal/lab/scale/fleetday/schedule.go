package fleetday

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	Publish      Kind = iota + 1 // publishes a change of Tenants tenants
	Restart                      // Servers get a shutdown notice, and start again when they have ended
	Kill                         // Servers are killed
	StartAgain                   // killed Servers start with the state in their folders
	StartCold                    // killed Servers start with empty folders
	KillControl                  // control Machines are killed
	StartControl                 // killed control Machines start again
	CutRegion                    // Region is cut off from the others in both directions
	HealRegion                   // Region is reconnected
	Phase                        // the phase Name begins
)

// Event is one event of the day.
type Event struct {
	At       time.Duration // since the start of the day
	Kind     Kind
	Name     string // of a phase
	Tenants  int
	Servers  []int // numbers within the fleet
	Machines []int
	Region   int
}

// String returns the event as the printed plan shows it.
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
	case StartAgain:
		return at + "  start of " + several(e.Servers, "server")
	case StartCold:
		return at + "  cold start of " + several(e.Servers, "server")
	case KillControl:
		return at + "  kill of " + several(e.Machines, "control machine")
	case StartControl:
		return at + "  start of " + several(e.Machines, "control machine")
	case CutRegion:
		return at + fmt.Sprintf("  region %d is cut off", e.Region)
	case HealRegion:
		return at + fmt.Sprintf("  region %d is healed", e.Region)
	case Phase:
		return at + "phase: " + e.Name
	}
	return at + fmt.Sprintf("event of kind %d", e.Kind)
}

// The phases.
const (
	Calm           = "calm"
	Burst          = "burst"
	Large          = "large change"
	Rack           = "rack"
	Zone           = "zone cold"
	ControlKilled  = "3 control machines"
	RegionCutOff   = "region cut off"
	RegionHealed   = "region healed"
	AllRestart     = "all together"
	OneMachine     = "one control machine"
	Afterwards     = "afterwards"
	changeInterval = 86_400 * time.Second / 5_300 // ten times the day's rate
	// One of 470 servers restarts every 13 s at ten times the day's rate.
	restartInterval = 86_400 * time.Second / 6_700
)

// Plan is a day: its events sorted by time, and its length.
type Plan struct {
	Events []Event
	Length time.Duration
}

// planner builds a plan step by step.
type planner struct {
	form *Form
	rng  *rand.Rand
	now  time.Duration
	list []Event
}

func (p *planner) add(e Event) { e.At = p.now; p.list = append(p.list, e) }

// phase adds a phase of the given length, with changes spread evenly over it.
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

// changes returns how many changes fall into a time at ten times the day's rate, rounded up.
func changes(length time.Duration) int { return int((length + changeInterval - 1) / changeInterval) }

// Plan returns the plan of the day. Each fault has its own phase, long enough for all
// servers to be up to date at its end.
func (f *Form) Plan() Plan {
	p := &planner{form: f, rng: rand.New(rand.NewPCG(f.Seed, 3))}
	if f.Short {
		p.short()
	} else {
		p.full()
	}
	for at := restartInterval / 2; at < p.now; at += restartInterval {
		if f.Short && at > restartInterval {
			break
		}
		p.list = append(p.list, Event{At: at, Kind: Restart, Servers: []int{p.pick(at)}})
	}
	slices.SortStableFunc(p.list, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return Plan{p.list, p.now}
}

// pick returns the server of an ordinary restart. Every third is a real one, but none
// that is compared with a twin; the hollow ones belong to the last process, so that the
// other processes have an interval with changes only.
func (p *planner) pick(at time.Duration) int {
	f := p.form
	if int(at/restartInterval)%3 == 0 {
		return f.paired() + p.rng.IntN(f.Real-f.paired())
	}
	last := f.Real + (f.Servers-f.Real-1)/f.HollowPerProcess*f.HollowPerProcess
	return last + p.rng.IntN(f.Servers-last)
}

func (p *planner) full() {
	f := p.form
	s := time.Second
	rack, zone := f.rack(), f.zone(f.Zones/2)
	p.phase(Calm, 62*s, changes(62*s))
	p.phase(Burst, 25*s, 50)
	p.phase(Large, 8*s, 0, Event{At: s, Kind: Publish, Tenants: f.LargeChange})
	p.phase(Rack, 11*s, 2, Event{Kind: Kill, Servers: rack}, Event{At: 4 * s, Kind: StartAgain, Servers: rack})
	p.phase(Zone, 13*s, 2, Event{Kind: Kill, Servers: zone}, Event{At: 5 * s, Kind: StartCold, Servers: zone})
	p.phase(ControlKilled, 12*s, 3, Event{Kind: KillControl, Machines: []int{1, 3, 6}}, Event{At: 6 * s, Kind: StartControl, Machines: []int{1, 3, 6}})
	p.phase(RegionCutOff, 14*s, 5, Event{Kind: CutRegion, Region: f.Regions - 1})
	p.phase(RegionHealed, 8*s, 1, Event{Kind: HealRegion, Region: f.Regions - 1})
	p.phase(AllRestart, 14*s, 2, Event{Kind: Restart, Servers: f.all()})
	p.phase(OneMachine, 22*s, 6, Event{Kind: KillControl, Machines: f.relays()})
	p.phase(Afterwards, 8*s, 1, Event{Kind: StartControl, Machines: f.relays()})
}

// short builds the plan with the same faults, one after the other within seconds.
func (p *planner) short() {
	f := p.form
	ms := time.Millisecond
	rack, zone := f.rack(), f.zone(1)
	p.phase(Calm, 1500*ms, 3)
	p.phase(Burst, 500*ms, 20)
	p.phase(Large, 400*ms, 0, Event{Kind: Publish, Tenants: f.LargeChange})
	p.phase(Rack, 1000*ms, 1, Event{Kind: Kill, Servers: rack}, Event{At: 300 * ms, Kind: StartAgain, Servers: rack})
	p.phase(Zone, 1000*ms, 1, Event{Kind: Kill, Servers: zone}, Event{At: 300 * ms, Kind: StartCold, Servers: zone})
	p.phase(ControlKilled, 1000*ms, 2, Event{Kind: KillControl, Machines: []int{1}}, Event{At: 500 * ms, Kind: StartControl, Machines: []int{1}})
	p.phase(RegionCutOff, 800*ms, 3, Event{Kind: CutRegion, Region: f.Regions - 1})
	p.phase(RegionHealed, 500*ms, 1, Event{Kind: HealRegion, Region: f.Regions - 1})
	p.phase(AllRestart, 2200*ms, 1, Event{Kind: Restart, Servers: f.all()})
	p.phase(OneMachine, 1000*ms, 3, Event{Kind: KillControl, Machines: f.relays()})
	p.phase(Afterwards, 500*ms, 1, Event{Kind: StartControl, Machines: f.relays()})
}
