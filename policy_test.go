package kiteslip

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

func testSettings() Settings {
	return Settings{
		Cores: 2, MemoryKB: 10000, RunFactor: 8, KeyKB: 20,
		Classes: []Class{
			{Effect: Repeatable, TargetTime: 2_000_000, Timeout: 5_000_000, Worth: 1, CallsDownstream: true, SkipWorth: 0.5},
			{Effect: Keyed, TargetTime: 800_000, Timeout: 2_000_000, Window: 8_000_000, Worth: 3, LateWorth: 0.2, CallsDownstream: true},
			{Effect: Once, TargetTime: 800_000, Timeout: 2_000_000, Worth: 1},
		},
		Goal: Goal{Whole: 1}, Workers: 4, Callers: 2, Tick: 2000, Stop: StopDiscard,
		MaxRetryAfter: 1_000_000, Downstream: DownstreamShared, CallShare: 4, CallShareWindow: 5_000_000, MaxCallLinger: 200_000,
		ColdSpeed: 0.2, WarmupTime: 17_000_000, MaxRunsPerCore: 8, MaxRunsWindow: 2_000_000,
		DrainGrace: 2_000_000, AnswerSlack: 100_000,
	}
}

// harness is a worker with the actions of its last step.
type harness struct {
	t *testing.T
	w *Worker
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	w, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{t, w}
}

func (b *harness) step(now int64, events ...Event) []Action { return b.w.Step(now, events, nil) }

func hasAction(acts []Action, kind ActionKind, id RequestID) bool {
	for _, a := range acts {
		if a.Kind == kind && a.ID == id {
			return true
		}
	}
	return false
}

func (b *harness) want(acts []Action, kind ActionKind, id RequestID, yes bool) {
	b.t.Helper()
	if hasAction(acts, kind, id) != yes {
		b.t.Fatalf("action %d about %d: want %v, got %+v", kind, id, yes, acts)
	}
}

func arrival(id RequestID, class int) Event {
	return Event{Kind: Arrive, ID: id, Class: class, SizeKB: 10}
}

func TestRefuseChance(t *testing.T) {
	for _, c := range []struct{ x, want float64 }{{929, 0}, {930, 0.01}, {965, 0.5}, {999.999, 0.99}, {1000, 1}, {5000, 1}} {
		if got := refuseChance(c.x, 1000); got < c.want-0.001 || got > c.want+0.001 {
			t.Errorf("refuseChance(%v) = %v, want %v", c.x, got, c.want)
		}
	}
}

func TestUnusableSettings(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Cores":             func(s *Settings) { s.Cores = 0 },
		"MemoryKB":          func(s *Settings) { s.MemoryKB = 0 },
		"RunFactor":         func(s *Settings) { s.RunFactor = -1 },
		"KeyKB":             func(s *Settings) { s.KeyKB = -3 },
		"IdleAfter":         func(s *Settings) { s.IdleAfter = -1 },
		"Classes":           func(s *Settings) { s.Classes = nil },
		"Classes[0].Effect": func(s *Settings) { s.Classes[0].Effect = 9 },
		"Classes[1].Limit":  func(s *Settings) { s.Classes[1].Timeout = 0 },
		"Classes[1].Aim":    func(s *Settings) { s.Classes[1].TargetTime = -1 },
		"Classes[2].Window": func(s *Settings) { s.Classes[2].Window = -1 },
		"Classes[2].Worth":  func(s *Settings) { s.Classes[2].Worth = math.NaN() },
		"Tenants[1].Quota":  func(s *Settings) { s.Tenants = []Tenant{{Quota: 1}, {Quota: -2}} },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), "Settings."+field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

func TestKeyRetainedBeforeRun(t *testing.T) {
	b := newHarness(t, nil)
	acts := b.step(1000, arrival(1, 1))
	for _, a := range acts {
		switch a.Kind {
		case Retain:
			if a.After < 8_000_000 {
				t.Fatalf("kept for %d, under the window", a.After)
			}
			return
		case Run:
			t.Fatal("ran before it was kept")
		}
	}
	t.Fatal("never kept")
}

func TestDuplicateReusesResult(t *testing.T) {
	b := newHarness(t, nil)
	twin := arrival(2, 1)
	twin.DuplicateOf = 1
	acts := b.step(1000, arrival(1, 1), twin)
	b.want(acts, Run, 1, true)
	b.want(acts, Reuse, 2, true)
	b.want(acts, Run, 2, false)
	late := arrival(3, 1)
	late.DuplicateOf = 1
	b.step(200_000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 199_000})
	acts = b.step(300_000, late)
	b.want(acts, Reuse, 3, true)
	b.want(acts, Refuse, 3, false)
}

func TestDuplicateReplacesAbandonedRequest(t *testing.T) {
	b := newHarness(t, nil)
	b.step(1000, arrival(1, 0), arrival(2, 0)) // the cores are full
	twin := arrival(4, 1)
	twin.DuplicateOf = 3
	acts := b.step(2000, arrival(3, 1), twin)
	b.want(acts, Run, 3, false)
	acts = b.step(3000, Event{Kind: Disconnected, ID: 3})
	b.want(acts, Retain, 4, true)
	acts = b.step(4000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 3000})
	b.want(acts, Run, 4, true)
}

func TestLostWorkOfKeyedIsNeitherRunNorRefused(t *testing.T) {
	b := newHarness(t, nil)
	b.step(1000, arrival(1, 1))
	acts := b.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
	b.want(acts, Fail, 1, true)
	b.want(acts, Refuse, 1, false)
	b.want(acts, Run, 1, false)
}

func TestCallOfKeyedNotRepeatedUnlessItNeverRan(t *testing.T) {
	for outcome, again := range map[Outcome]bool{Rejected: true, Unreachable: true, TimedOut: false, Reset: false, Failed: false} {
		b := newHarness(t, nil)
		b.step(1000, arrival(1, 1))
		b.want(b.step(10_000, Event{Kind: NeedsCall, ID: 1}), Call, 1, true)
		acts := b.step(20_000, Event{Kind: CallDone, ID: 1, Outcome: outcome, Elapsed: 10_000})
		b.want(acts, Call, 1, again)
		b.want(acts, Fail, 1, !again)
	}
}

func TestAnsweredWhenDue(t *testing.T) {
	for _, stage := range []string{"running", "at call", "calling"} {
		b := newHarness(t, nil)
		b.step(1000, arrival(1, 1))
		if stage != "running" {
			b.step(2000, Event{Kind: NeedsCall, ID: 1})
		}
		acts := b.step(2_000_000, Event{Kind: Timer})
		b.want(acts, Fail, 1, true)
	}
	b := newHarness(t, nil)
	waited := arrival(1, 1)
	waited.Waited = 1_999_000 // hardly any time is left
	b.want(b.step(2_000_000, waited), Refuse, 1, true)
}

func TestUselessWorkIsStopped(t *testing.T) {
	b := newHarness(t, nil)
	b.step(1000, arrival(1, 0))
	acts := b.step(2_001_001, Event{Kind: Timer}) // past its aim, and late answers earn nothing
	b.want(acts, Fail, 1, false)                  // callers would answer an error with another try
	b.want(acts, Halt, 1, true)
	if acts[0].Kind != Refuse || !acts[0].On {
		t.Errorf("want a refusal for good, got %+v", acts[0])
	}
	b = newHarness(t, func(s *Settings) { s.Stop = StopNever })
	b.step(1000, arrival(1, 0))
	b.want(b.step(4_990_000, Event{Kind: Timer}), Halt, 1, false)
}

func TestDrain(t *testing.T) {
	b := newHarness(t, nil)
	b.step(1000, Event{Kind: Drain, Deadline: 4_000_000})
	b.want(b.step(1_500_000, arrival(1, 0)), Run, 1, true)
	acts := b.step(2_100_000, arrival(2, 0))
	b.want(acts, Refuse, 2, true)
	b.want(b.step(3_750_000, Event{Kind: Timer}), Refuse, 1, true)
	// What came just before the last answers were due was begun, cut short, and failed.
	b = newHarness(t, nil)
	b.step(1000, Event{Kind: Drain, Deadline: 2_000_000})
	b.want(b.step(1_000_000, arrival(1, 0)), Run, 1, true)
	b.want(b.step(1_200_000, arrival(2, 0)), Refuse, 2, true)
}

// The running limit grows with timely finishes, but not while every core is wanted: such growth
// left arrivals unread for seconds.
func TestLimitGrowsOnlyWithACoreToSpare(t *testing.T) {
	for runnable, grows := range map[float32]bool{1: true, 2: false, 6: false} {
		b := newHarness(t, nil)
		now, id := int64(1000), RequestID(1)
		b.step(now, Event{Kind: Timer, Gauges: Gauges{Valid: true, Runnable: runnable}}, arrival(1, 0), arrival(2, 0))
		for range 8 {
			now += 100_000
			b.step(now, Event{Kind: Done, ID: id, Outcome: OK}, arrival(id+2, 0), arrival(id+100, 0))
			id++
		}
		if got := b.w.limit > 2; got != grows {
			t.Errorf("runnable %v: limit %d, grows want %v", runnable, b.w.limit, grows)
		}
	}
}

// All workers using their whole share at once killed what they called.
func TestCallsStayBelowShare(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.Cores = 8; s.MemoryKB = 1e6 })
	var arrivals, needs []Event
	for id := RequestID(1); id <= 8; id++ {
		arrivals = append(arrivals, arrival(id, 1))
		needs = append(needs, Event{Kind: NeedsCall, ID: id})
	}
	b.step(1000, arrivals...)
	calls := 0
	for _, a := range b.step(10_000, needs...) {
		if a.Kind == Call {
			calls++
		}
	}
	if calls != 2 {
		t.Fatalf("%d calls in hand, want 2 of a share of 4", calls)
	}
}

// A worker with less than one call in its share had one in hand all the time when calls hung, and so had
// all others: the dependency died of it. Whatever calls do, no told span may hold more than the share.
func TestCallsInAnyWindowStayBelowShare(t *testing.T) {
	for _, took := range []int64{30_000, 400_000, 3_000_000, 60_000_000} { // the last: only patience ends them
		b := newHarness(t, func(s *Settings) {
			s.CallShare, s.MemoryKB = 0.46, 1e6
			s.Classes[1].TargetTime, s.Classes[1].Timeout = 2_800_000, 8_600_000
		})
		type call struct {
			id         RequestID
			from, ends int64
			late       bool
		}
		var open []call
		var held [][2]int64 // from when until when each call is in the dependency's hands
		id, made := RequestID(0), 0
		events := []Event{{Kind: Timer}}
		for now := int64(1000); now < 30_000_000; now += 10_000 {
			if now%100_000 == 1000 {
				id++
				events = append(events, arrival(id, int(id)%2))
			}
			open = slices.DeleteFunc(open, func(c call) bool {
				if c.ends > now {
					return false
				}
				outcome, lingers := OK, int64(0)
				if c.late {
					outcome, lingers = TimedOut, 200_000
				}
				held = append(held, [2]int64{c.from, now + lingers})
				events = append(events, Event{Kind: CallDone, ID: c.id, Outcome: outcome})
				if outcome == OK {
					events = append(events, Event{Kind: Done, ID: c.id, Outcome: OK})
				}
				return true
			})
			acts := b.step(now, events...)
			events = []Event{{Kind: Timer}}
			for _, a := range acts {
				switch a.Kind {
				case Run:
					events = append(events, Event{Kind: NeedsCall, ID: a.ID})
				case Call:
					made++
					open = append(open, call{a.ID, now, now + min(took, a.After), took > a.After})
				case Skip:
					events = append(events, Event{Kind: Done, ID: a.ID, Outcome: OK})
				case Fail:
					events = append(events, Event{Kind: Done, ID: a.ID, Outcome: Cancelled})
				}
			}
			sum := int64(0)
			for _, h := range held {
				sum += max(0, min(h[1], now)-max(h[0], now-5_000_000))
			}
			for _, c := range open {
				sum += now - max(c.from, now-5_000_000)
			}
			if mean := float64(sum) / 5e6; mean > 0.46 {
				t.Fatalf("calls of %d: %.2f in hand over 5 s, share 0.46", took, mean)
			}
		}
		if made < 5 {
			t.Errorf("calls of %d: only %d made", took, made)
		}
	}
}

// Runs were begun while others stood at their call without room: they were cut off there, and a keyed one
// can never run again.
func TestRequiredCallWaitingBlocksNewCallers(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.Cores, s.MemoryKB, s.CallShare = 4, 1e6, 0.4 })
	b.step(1000, arrival(1, 1), arrival(2, 1))
	b.step(2000, Event{Kind: NeedsCall, ID: 1}, Event{Kind: NeedsCall, ID: 2}) // the call of one takes the room
	acts := b.step(3000, arrival(3, 1), arrival(4, 0))
	b.want(acts, Run, 3, false)
	b.want(acts, Refuse, 3, false)
	b.want(acts, Run, 4, true)
}

// Slow readers were sent their full part: the free value must count what waits unread.
func TestReadDelayRaisesMinRank(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.LoadSignal = LoadSignalMinRank })
	for i := range RequestID(20) {
		e := arrival(i+1, 0)
		e.Waited = 1_500_000
		b.step(1000+int64(i)*100_000, e)
	}
	if b.w.lastSignal <= 0 {
		t.Fatalf("floor said %v, want above 0", b.w.lastSignal)
	}
}

// An idle spell is no stall: after one, quiet days were refused.
func TestIdlePeriodIsNotAStall(t *testing.T) {
	b := newHarness(t, nil)
	b.step(1000, arrival(1, 0))
	b.step(101_000, Event{Kind: Done, ID: 1, Outcome: OK})
	acts := b.step(60_000_000, arrival(2, 0), arrival(3, 0), arrival(4, 0))
	b.want(acts, Refuse, 4, false)
	b.want(b.step(60_010_000, Event{Kind: Timer}), Refuse, 4, false)
}

func TestFailingWorkerRefusesButProbes(t *testing.T) {
	b := newHarness(t, nil)
	now, ran, refused := int64(0), 0, 0
	for id := RequestID(1); id < 200; id++ {
		now += 50_000
		acts := b.step(now, arrival(id, 0))
		if hasAction(acts, Refuse, id) {
			refused++
		} else {
			ran++
			b.step(now+1000, Event{Kind: Done, ID: id, Outcome: Failed})
		}
	}
	if refused < 50 || ran < 20 {
		t.Fatalf("refused %d, ran %d", refused, ran)
	}
}

func TestUnknownEventsIgnored(t *testing.T) {
	b := newHarness(t, nil)
	acts := b.step(1000, Event{Kind: Arrive, ID: 1, Class: 77, Tenant: 9, SizeKB: 1}, Event{Kind: Done, ID: 5},
		Event{Kind: CallDone, ID: 6}, Event{Kind: NeedsCall, ID: 7}, Event{Kind: Disconnected, ID: 8}, Event{Kind: 99})
	b.want(acts, Refuse, 1, true)
	if n := len(b.step(2000, Event{Kind: Done, ID: 1, Outcome: OK})); n > 1 {
		t.Fatalf("%d actions about what is over", n)
	}
}

// A seeded stream of legal events: the invariants of the rules hold, and the same events give the same actions.
func TestRandomStream(t *testing.T) {
	for seed := range uint64(6) {
		if a, b := randomStream(t, seed), randomStream(t, seed); !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

func randomStream(t *testing.T, seed uint64) []Action {
	s := testSettings()
	s.Stop = Stop(seed % 3)
	w, err := New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 7))
	type try struct {
		class               int
		due                 int64
		ran, running, ended bool
	}
	tries := map[RequestID]*try{}
	var live []RequestID
	var all []Action
	now := int64(1)
	for id := RequestID(1); now < 20_000_000; {
		now += 2000 * (1 + rng.Int64N(4))
		events := []Event{{Kind: Timer}}
		if rng.Float64() < 0.3 && now < 15_000_000 {
			e := arrival(id, rng.IntN(3))
			e.SizeKB = 5 + 60*rng.Float64()
			tries[id] = &try{class: e.Class, due: now + s.Classes[e.Class].Timeout}
			live = append(live, id)
			events = append(events, e)
			id++
		}
		for _, l := range live {
			if r := tries[l]; r.running && rng.Float64() < 0.02 {
				r.running = false
				r.ended = true
				events = append(events, Event{Kind: Done, ID: l, Outcome: OK})
			}
		}
		acts := w.Step(now, events, nil)
		all = append(all, acts...)
		for _, a := range acts {
			r := tries[a.ID]
			switch a.Kind {
			case Run:
				if r.ended || r.ran && r.class != 0 {
					t.Fatalf("seed %d: %d run twice or after its end", seed, a.ID)
				}
				r.ran, r.running = true, true
			case Refuse, Fail:
				if r.ended || a.Kind == Refuse && r.ran && r.class != 0 {
					t.Fatalf("seed %d: %d answered twice, or refused after it ran", seed, a.ID)
				}
				r.ended = true
			case Halt:
				if s.Stop == StopNever {
					t.Fatal("halt where it is not allowed")
				}
			}
		}
		if w.recount(); w.memoryKB > s.MemoryKB {
			t.Fatalf("seed %d: memory %v", seed, w.memoryKB)
		}
		for _, l := range live {
			if r := tries[l]; !r.ended && now > r.due {
				t.Fatalf("seed %d: %d not answered by its due time", seed, l)
			}
		}
	}
	return all
}

func TestModuleSize(t *testing.T) {
	var deploy struct{ Policy []string }
	if _, err := toml.DecodeFile("deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	named, n := map[string]bool{}, 0
	for _, file := range deploy.Policy {
		named[file] = true
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if strings.TrimSpace(line) != "" {
				n++
			}
			if len([]rune(strings.TrimRight(line, "\n"))) > 110 {
				t.Errorf("%s has a line over 110 characters: %s", file, line)
			}
		}
	}
	if n > 1010 {
		t.Errorf("the files named under policy have %d lines, 1010 at most", n)
	}
	if files, _ := filepath.Glob("policy*.go"); len(files) != len(named)+1 { // this one is none of them
		t.Errorf("%v, of which the deploy file names %v", files, deploy.Policy)
	}
}

func Example() {
	w, err := New(Settings{Cores: 1, MemoryKB: 1 << 20, Classes: []Class{
		{Effect: Repeatable, TargetTime: 1_000_000, Timeout: 3_000_000, Worth: 1}}}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	var acts []Action
	for _, batch := range []struct {
		now    int64
		events []Event
	}{
		{1000, []Event{{Kind: Arrive, ID: 1, SizeKB: 20}, {Kind: Arrive, ID: 2, SizeKB: 20}}},
		{51_000, []Event{{Kind: Done, ID: 1, Outcome: OK, Elapsed: 50_000}}},
	} {
		acts = w.Step(batch.now, batch.events, acts[:0])
		for _, a := range acts {
			if a.Kind == Run {
				fmt.Println("run", a.ID)
			}
		}
	}
	// Output:
	// run 1
	// run 2
}

// Behind a backlog that callers leave before it is read, half of the cores are left to reading.
func TestReadBacklogHalvesRuns(t *testing.T) {
	for waited, want := range map[int64]int{0: 2, 1_500_000: 1} {
		b := newHarness(t, nil)
		b.w.readDelay = float64(waited)
		one, two := arrival(1, 0), arrival(2, 0)
		one.Waited, two.Waited = waited, waited
		runs := 0
		for _, a := range b.step(2_000_000, one, two) {
			if a.Kind == Run {
				runs++
			}
		}
		if runs != want {
			t.Errorf("waited %d: %d runs, want %d", waited, runs, want)
		}
	}
}

// A repeat of a try that was turned away in the same batch is a request of its own.
func TestDuplicateOfRefusedRequestRuns(t *testing.T) {
	b := newHarness(t, nil)
	first, twin := arrival(1, 1), arrival(2, 1)
	first.Waited = 1_990_000 // due at once
	twin.DuplicateOf = 1
	acts := b.step(2_000_000, first, twin)
	b.want(acts, Refuse, 1, true)
	b.want(acts, Reuse, 2, false)
	b.want(acts, Retain, 2, true)
	b.want(acts, Run, 2, true)
}

func TestReadsOfOneSubjectShareAnAnswer(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.ReuseFor = 100_000 })
	first := arrival(1, 0)
	first.Key = 5
	acts := b.step(1000, first)
	b.want(acts, Retain, 1, true)
	b.want(acts, Run, 1, true)
	again := arrival(2, 0)
	again.Key, again.DuplicateOf = 5, 1
	acts = b.step(2000, again)
	b.want(acts, Reuse, 2, true)
	b.want(acts, Run, 2, false)
}

func TestCallSkippedWhenTargetWouldBeMissed(t *testing.T) {
	b := newHarness(t, nil)
	b.step(1000, arrival(1, 0))
	b.w.callMean, b.w.callBaseline = 3_000_000, 3_000_000 // calls take longer than the aim
	acts := b.step(10_000, Event{Kind: NeedsCall, ID: 1})
	b.want(acts, Skip, 1, true)
	b.want(acts, Call, 1, false)
}

// A cold server dies of a smaller crowd than a warm one.
func TestSafeRunsOfColdServer(t *testing.T) {
	for cold, want := range map[bool]float64{false: 0.8 * 2 * 8, true: 0.8 * 2 * (1 + 7*0.2)} {
		b := newHarness(t, func(s *Settings) { s.JustStarted = cold })
		b.step(1000)
		if got := b.w.safeRuns(); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("cold %v: crowd %v, want %v", cold, got, want)
		}
	}
}

func TestRefusesAtMemoryTop(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.MemoryKB = 600 })
	refused := 0
	for id := RequestID(1); id <= 60; id++ {
		if hasAction(b.step(1000+int64(id)*2000, arrival(id, 0)), Refuse, id) {
			refused++
		}
		if b.w.recount(); b.w.memoryKB > b.w.memoryTop() {
			t.Fatalf("memory %v over the top %v", b.w.memoryKB, b.w.memoryTop())
		}
	}
	if refused == 0 {
		t.Fatal("nothing refused")
	}
}

func TestNoRoomForAKeyIsRefusedBeforeItRuns(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.KeyKB = 9990 })
	acts := b.step(1000, arrival(1, 1))
	b.want(acts, Refuse, 1, true)
	b.want(acts, Run, 1, false)
}

func TestWithinQuotaBeforeOverQuota(t *testing.T) {
	b := newHarness(t, func(s *Settings) {
		s.Cores, s.Tenants = 1, []Tenant{{Quota: 4}, {Quota: 4}}
		s.OverShareWorth = 0.05
	})
	for id := RequestID(100); id < 140; id++ { // tenant 0 asks far beyond its share
		b.step(1000+int64(id), arrival(id, 0), Event{Kind: Done, ID: id, Outcome: OK})
		b.step(1000+int64(id), Event{Kind: Done, ID: id, Outcome: OK})
	}
	flood, within := arrival(1, 0), arrival(2, 0)
	within.Tenant = 1
	acts := b.step(100_000, flood, within)
	b.want(acts, Run, 2, true)
	b.want(acts, Run, 1, false)
}

func TestHealthFollowsStall(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.Classes[1].Timeout = 8_000_000 })
	b.step(1000, arrival(1, 1))
	turned := func(acts []Action, on bool) bool {
		for _, a := range acts {
			if a.Kind == Health && a.On == on {
				return true
			}
		}
		return false
	}
	if !turned(b.step(3_500_000, Event{Kind: Timer}), false) {
		t.Error("nothing got on for 3.5 s, health still good")
	}
	if !turned(b.step(3_600_000, Event{Kind: Done, ID: 1, Outcome: OK}), true) {
		t.Error("work got on, health still bad")
	}
}

func TestLoadSignalFollowsWaitRatio(t *testing.T) {
	for _, free := range []LoadSignal{LoadSignalAllowance, LoadSignalWeight} {
		said := map[bool]float64{}
		for _, behind := range []bool{false, true} {
			b := newHarness(t, func(s *Settings) { s.LoadSignal, s.Cores = free, 16 })
			if behind {
				b.w.readDelay = 2_000_000
			}
			b.step(1000, Event{Kind: Timer})
			said[behind] = b.w.lastSignal
		}
		if said[true] >= said[false] {
			t.Errorf("free %d: said %v behind, %v without", free, said[true], said[false])
		}
	}
}

// overload lets a worker learn its base and then gives it far more at once than it can do in time.
func (b *harness) overload() []Action {
	for id := RequestID(1); id < 30; id++ {
		b.step(int64(id)*400_000, arrival(id, 0))
		b.step(int64(id)*400_000+300_000, Event{Kind: Done, ID: id, Outcome: OK})
	}
	b.step(12_990_000, arrival(98, 0), arrival(99, 0))
	var crowd []Event
	for id := RequestID(100); id < 140; id++ {
		crowd = append(crowd, arrival(id, 0))
	}
	return b.step(13_000_000, crowd...)
}

// Refused tries that walked on from server to server were read a dozen times in a fleet of hundreds.
func TestLateRefusalForbidsRetryElsewhere(t *testing.T) {
	b := newHarness(t, nil)
	refused := 0
	for _, a := range b.overload() {
		if a.Kind == Refuse {
			if refused++; !a.On {
				t.Errorf("%d was refused and may try elsewhere", a.ID)
			}
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}

// Advice of just what came too much brought all back at once. It is longer than that now, and within the setting.
func TestRetryAfterExceedsBacklog(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.MaxRetryAfter = 3_000_000 })
	c := &b.w.cfg.Classes[0]
	for _, over := range []int64{0, 50_000, 400_000, 2_000_000} {
		b.w.reqs = append(b.w.reqs[:0], request{id: 1, phase: queued, deadline: 9_000_000, softDeadline: 2_000_000})
		acts := b.w.refuse(&b.w.reqs[0], b.w.retryAfter(over, c), true, nil)
		if got := acts[0].After; got > b.w.cfg.MaxRetryAfter || got < min(2*over+c.TargetTime/10, b.w.cfg.MaxRetryAfter) {
			t.Errorf("%d us too late: stay away for %d us", over, got)
		}
	}
	refused := 0
	for _, a := range b.overload() {
		if a.Kind == Refuse {
			if refused++; a.After < c.TargetTime/10 {
				t.Errorf("%d was refused for %d us", a.ID, a.After)
			}
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}

// Sixteen of the largest sizes were most of a small machine's memory: the draw refused three of four.
func TestMemoryTopOnSmallMachine(t *testing.T) {
	for cores, want := range map[int]float64{1: 2, 2: 4, 8: 16, 64: 16} {
		b := newHarness(t, func(s *Settings) { s.Cores = cores })
		b.step(1000, arrival(1, 0))
		if got := (10000 - b.w.memoryTop()) / 10; got != want {
			t.Errorf("%d cores: the top lies %v sizes below the memory, want %v", cores, got, want)
		}
	}
}

// Hundreds of callers filled the table with connections that none of them used again.
func TestIdleConnectionsAreClosedWhenTheyAreNotUsedAgain(t *testing.T) {
	for callers, want := range map[int]int64{4: 30_000_000, 1000: shortIdleTimeoutUS} {
		b := newHarness(t, func(s *Settings) { s.Callers, s.IdleAfter = callers, 30_000_000 })
		after := int64(30_000_000)
		for id := RequestID(1); id < 60; id++ { // five arrivals a second
			acts := b.step(int64(id)*200_000, arrival(id, 0))
			acts = append(acts, b.step(int64(id)*200_000+100_000, Event{Kind: Done, ID: id, Outcome: OK})...)
			for _, a := range acts {
				if a.Kind == SetIdleTimeout {
					after = a.After
				}
			}
		}
		if after != want {
			t.Errorf("%d callers: idle connections are closed after %d, want %d", callers, after, want)
		}
	}
	b := newHarness(t, nil)
	if hasAction(b.step(1000, arrival(1, 0)), SetIdleTimeout, 0) {
		t.Error("connections are steered where no idle time is told")
	}
}

// In turn, a long hold was served just before its aims, too late for tries that had lost time elsewhere.
func TestNewestFirstWhileTheWaitIsTooLong(t *testing.T) {
	b := newHarness(t, nil)
	b.step(1000, arrival(1, 0), arrival(2, 0))
	b.step(2000, arrival(3, 0))
	b.step(300_000, arrival(4, 0))
	for _, c := range []struct {
		pressure float64
		first    RequestID
	}{{0.5, 3}, {2, 4}} {
		b.w.waitRatio = c.pressure
		if compareSortKeys(b.w.sortKey(b.w.byID[3]), b.w.sortKey(b.w.byID[4])) < 0 != (c.first == 3) {
			t.Errorf("pressure %v: want %d first", c.pressure, c.first)
		}
	}
}

// A floor of one a caller asked hundreds of callers for hundreds of requests on two cores.
func TestAllowanceOfManyCallersIsAFraction(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.LoadSignal, s.Callers = LoadSignalAllowance, 300 })
	b.step(1000, Event{Kind: Timer})
	if b.w.lastSignal <= 0 || b.w.lastSignal >= 1 {
		t.Errorf("300 callers are allowed %v each on two cores", b.w.lastSignal)
	}
}

// A flood refused beyond its share passed for the tenant served worst, and was put first.
func TestOverQuotaTenantHasNoDeficit(t *testing.T) {
	b := newHarness(t, func(s *Settings) {
		s.Tenants = []Tenant{{Quota: 8}, {Quota: 8}}
		s.Goal = Goal{Whole: 1, WorstTenant: 1}
	})
	for id := RequestID(1); id < 200; id++ {
		e := arrival(id, 0)
		if id%10 == 0 { // two a second, its share; every second one is served
			e.Tenant = 1
		}
		now := int64(id) * 50_000
		b.step(now, e)
		if id%20 == 0 || id%4 == 1 {
			b.step(now+20_000, Event{Kind: Done, ID: id, Outcome: OK})
		} else {
			b.step(now+20_000, Event{Kind: Disconnected, ID: id})
		}
	}
	if flood, within := b.w.serviceDeficit(&b.w.tenants[0].usage, &b.w.allTenants), b.w.serviceDeficit(&b.w.tenants[1].usage, &b.w.allTenants); flood >= within {
		t.Errorf("the flood lags by %v, the tenant within its share by %v", flood, within)
	}
}

// One giant request put the top at zero for good: everything after it was refused.
func TestOneLargeRequestDoesNotBlockAdmission(t *testing.T) {
	b := newHarness(t, nil)
	giant := arrival(1, 0)
	giant.SizeKB = 9000
	b.step(1000, giant)
	b.step(2000, Event{Kind: Done, ID: 1, Outcome: OK}, Event{Kind: Disconnected, ID: 1})
	b.want(b.step(3000, arrival(2, 0)), Run, 2, true)
}

// Repeats that wait on one run can neither be refused nor shed; they must not outgrow the memory.
func TestDuplicatesStayWithinMemory(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.Classes[1].Timeout, s.Classes[1].TargetTime = 60_000_000, 50_000_000 })
	first := arrival(1, 1)
	b.step(1000, first)
	waiting := 0
	for id := RequestID(2); id < 1200; id++ {
		again := arrival(id, 1)
		again.DuplicateOf = 1
		if hasAction(b.step(int64(id)*1000, again), Reuse, id) {
			waiting++
		}
		if b.w.recount(); b.w.memoryKB > b.w.cfg.MemoryKB {
			t.Fatalf("%v of %v kB in use with %d repeats", b.w.memoryKB, b.w.cfg.MemoryKB, id)
		}
	}
	if waiting < 500 {
		t.Errorf("only %d repeats wait", waiting)
	}
}

// One run of five means turned a small machine's health bad, and callers that check went away.
func TestOneLongRunIsNoStall(t *testing.T) {
	for runs, healthy := range map[int]bool{1: true, 2: false} {
		b := newHarness(t, func(s *Settings) { s.Classes[0].TargetTime = 4_000_000 })
		for id := RequestID(1); id <= RequestID(runs); id++ {
			b.step(1000, arrival(id, 0))
		}
		b.step(1000+int64(11*b.w.meanWork), Event{Kind: Timer})
		if b.w.healthy != healthy {
			t.Errorf("%d runs without progress for eleven means: healthy is %v", runs, b.w.healthy)
		}
	}
}

// A floor over the class that most ask for turned nearly all away, fell to zero, and rose again.
func TestMinRankStopsAtLeastValuableClass(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.LoadSignal = LoadSignalMinRank })
	for now := int64(1); now < 20; now++ {
		b.w.readDelay = 3_000_000
		b.step(now*1_000_000, Event{Kind: Timer})
	}
	for now := int64(200); now < 400; now++ {
		b.w.readDelay = 3_000_000
		b.step(now*100_000, Event{Kind: Timer})
	}
	if want := 1.0 / 3; b.w.minRank < want-0.01 || b.w.minRank > want {
		t.Errorf("the floor is %v, want %v for three classes", b.w.minRank, want)
	}
}

// One short first run made a base of a few milliseconds: health flapped and the limit was cut at every start.
func TestOneShortRunDoesNotSetMeanWork(t *testing.T) {
	b := newHarness(t, nil)
	guess := b.w.classes[0].meanWork
	b.step(1000, arrival(1, 0))
	b.step(3000, Event{Kind: Done, ID: 1, Outcome: OK})
	if b.w.classes[0].meanWork < guess/2 || b.w.classes[0].meanWork >= guess {
		t.Errorf("the base went from %v to %v by one run of 2000", guess, b.w.classes[0].meanWork)
	}
}

// Costs spread so that a tenth of all runs takes two means: with two or three finishes in a base latency one
// long run cut the limit each time, and quick servers stood half idle while they refused.
func TestOneLongRunDoesNotCutTheLimit(t *testing.T) {
	b := newHarness(t, nil)
	b.w.limit = 6
	b.w.setMeanWork(0, 200_000)
	b.step(1000, arrival(1, 0))
	b.step(901_000, Event{Kind: Done, ID: 1, Outcome: OK})
	if b.w.limit < 6 {
		t.Errorf("one long run cut the limit to %d", b.w.limit)
	}
	now, id := int64(1_000_000), RequestID(2)
	for range 12 { // all late
		b.step(now, arrival(id, 0))
		b.w.setMeanWork(0, 200_000)
		now += 900_000
		b.step(now, Event{Kind: Done, ID: id, Outcome: OK})
		id++
	}
	if b.w.limit >= 6 {
		t.Errorf("twelve late runs left the limit at %d", b.w.limit)
	}
}

// One run of thirty times the usual work doubled what was expected of all.
func TestHeavyRunIsClampedInMeanWork(t *testing.T) {
	b := newHarness(t, nil)
	b.w.setMeanWork(0, 200_000)
	b.w.classes[0].runs = 100
	b.w.cfg.Classes[0].TargetTime, b.w.cfg.Classes[0].Timeout = 20_000_000, 20_000_000
	b.step(1000, arrival(1, 0))
	b.step(6_001_000, Event{Kind: Done, ID: 1, Outcome: OK})
	if b.w.classes[0].meanWork > 260_000 {
		t.Errorf("the base went from 200000 to %v by one heavy run", b.w.classes[0].meanWork)
	}
}

// Two heavy runs on two cores kept all else out, and turned health off for want of progress.
func TestHeavyRunsLeaveRoomForOthers(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.Classes[0].TargetTime, s.Classes[0].Timeout = 20_000_000, 20_000_000 })
	b.w.setMeanWork(0, 200_000)
	b.w.classes[0].runs = 100
	b.step(1000, arrival(1, 0), arrival(2, 0))
	b.want(b.step(500_000, arrival(3, 0)), Run, 3, false)
	b.want(b.step(1_500_000, Event{Kind: Timer}), Run, 3, true)
	b.step(1_900_000, Event{Kind: Done, ID: 3, Outcome: OK})
	if b.step(3_000_000, Event{Kind: Timer}); !b.w.healthy {
		t.Error("two heavy runs turned health bad")
	}
}

// Answers to further tries came after the aim of the first, and earned nothing.
func TestRetriesHaveEarlierSoftDeadline(t *testing.T) {
	left := func(b *harness, id RequestID) int64 { return b.w.find(id).latestUseful - b.w.find(id).arrivedAt }
	b := newHarness(t, nil)
	marked := arrival(2, 0)
	marked.Retry = true
	b.step(1000, arrival(1, 0), marked)
	if left(b, 1) != 2_000_000 || left(b, 2) != 1_400_000 {
		t.Errorf("a first try has %d left, a marked one %d", left(b, 1), left(b, 2))
	}
	// Unmarked: what is left of the caller's time tells it, unless it is a usual patience.
	b = newHarness(t, func(s *Settings) { s.MemoryKB = 1e6 })
	for id := RequestID(1); id <= 60; id++ {
		e := arrival(id, 0)
		e.Deadline = 1000 + 4_000_000
		if id%3 == 0 { // hasty callers: a patience of their own, no age
			e.Deadline = 1000 + 1_000_000
		}
		b.step(1000, e)
	}
	old := arrival(100, 0)
	old.Deadline = 1000 + 3_000_000
	b.step(1000, old)
	for id, want := range map[RequestID]int64{58: 2_000_000, 60: 2_000_000, 100: 1_000_000} {
		if got := left(b, id); got < want-100_000 || got > want+100_000 {
			t.Errorf("request %d has %d of its aim left, want %d", id, got, want)
		}
	}
}

// Where worth is counted by work, long classes were put last for nothing.
func TestWorthByWork(t *testing.T) {
	for byWork, first := range map[bool]RequestID{false: 2, true: 1} {
		b := newHarness(t, func(s *Settings) {
			s.Cores, s.WorthByWork = 1, byWork
			s.Classes = []Class{{TargetTime: 3_000_000, Timeout: 5_000_000, Worth: 2}, {TargetTime: 3_000_000, Timeout: 5_000_000, Worth: 1}}
		})
		b.w.setMeanWork(0, 400_000)
		b.w.setMeanWork(1, 100_000)
		b.want(b.step(1000, arrival(1, 0), arrival(2, 1)), Run, first, true)
	}
}

// Final answers are given at once: what stood at a call past all that it could earn was left until it was due.
func TestExpiredRequestIsAnsweredAtOnce(t *testing.T) {
	for _, stop := range []Stop{StopNever, StopDiscard, StopFreeze} {
		for _, phase := range []string{"held", "running", "at call", "calling", "copying"} {
			b := newHarness(t, func(s *Settings) {
				s.Cores, s.Stop, s.CallShare = 1, stop, 40
				s.Classes[0].Timeout, s.ReuseFor, s.Classes[0].SkipWorth = 9_000_000, 1000, 0
			})
			e := arrival(1, 0)
			switch phase {
			case "held":
				b.w.limit = 1
				b.w.setMeanWork(0, 1)
				b.step(1000, arrival(9, 2))
				b.step(1000, e)
			case "copying":
				e.DuplicateOf = 9
				b.step(1000, arrival(9, 0))
				b.want(b.step(1000, e), Reuse, 1, true)
			default:
				b.step(1000, e)
			}
			if phase == "at call" || phase == "calling" {
				if phase == "at call" {
					b.w.nextFirstCall = 1 << 60
				}
				b.step(2000, Event{Kind: NeedsCall, ID: 1})
			}
			acts := b.step(2_001_001, Event{Kind: Timer}) // its aim has passed, late worth is nothing
			ended := hasAction(acts, Refuse, 1) || hasAction(acts, Fail, 1)
			if want := phase != "running" || stop != StopNever; ended != want {
				t.Errorf("stop %d, %s: answered %v, want %v: %+v", stop, phase, ended, want, acts)
			}
		}
	}
}

// In a storm each try on a new connection was read at a cost; a full table turns it away unread.
func TestIdleTimeoutNotShortenedInRetryStorm(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.Callers, s.IdleAfter = 1000, 30_000_000 })
	idle := func(now int64) (after int64) {
		for _, a := range b.step(now, Event{Kind: Timer}) {
			if a.Kind == SetIdleTimeout {
				after = a.After
			}
		}
		return after
	}
	b.step(1000, arrival(1, 0))
	b.w.readDelay, b.w.refusalRate = 1_500_000, 0.9
	if got := idle(1_000_000); got != 30_000_000 {
		t.Errorf("in a storm idle connections are closed after %d", got)
	}
	b.w.readDelay, b.w.refusalRate = 0, 0.2
	if got := idle(2_000_000); got != shortIdleTimeoutUS {
		t.Errorf("after it idle connections are closed after %d", got)
	}
}

// Only finished, short runs were learned, and those stopped at their aim looked in time again and again.
func TestStoppedRunsCountInMeanWork(t *testing.T) {
	b := newHarness(t, nil)
	b.w.setMeanWork(0, 200_000)
	b.w.classes[0].runs = 100
	b.step(1000, arrival(1, 0))
	b.step(2_001_001, Event{Kind: Timer}) // stopped and answered at its aim
	b.step(2_002_000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
	if b.w.classes[0].meanWork <= 210_000 {
		t.Errorf("the base stays at %v after a run stopped at 2000000", b.w.classes[0].meanWork)
	}
}

// A class that must run once and carries no key: no second run, no refusal once it has begun.
func TestOnceIsNeverRunAgain(t *testing.T) {
	for _, stop := range []Stop{StopNever, StopDiscard, StopFreeze} {
		b := newHarness(t, func(s *Settings) { s.Stop = stop })
		b.want(b.step(1000, arrival(1, 2)), Run, 1, true)
		if stop == StopDiscard { // its work was lost
			acts := b.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
			b.want(acts, Run, 1, false)
			b.want(acts, Refuse, 1, false)
			b.want(acts, Fail, 1, true)
			continue
		}
		if stop == StopFreeze { // a pause keeps its work: taken up again, that is no second run
			b.want(b.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled}), Run, 1, true)
		}
		b.want(b.step(3000, Event{Kind: Drain, Deadline: 1_000_000}), Refuse, 1, false)
		acts := b.step(700_000, Event{Kind: Timer})
		b.want(acts, Refuse, 1, false)
		b.want(acts, Halt, 1, false)
		b.want(acts, Fail, 1, true)
		b.want(b.step(701_000, Event{Kind: Done, ID: 1, Outcome: Failed}), Run, 1, false)
	}
	for outcome, again := range map[Outcome]bool{Rejected: true, Unreachable: true, TimedOut: false, Reset: false, Failed: false} {
		b := newHarness(t, nil) // an uncertain call is not made again
		b.step(1000, arrival(1, 2))
		b.step(10_000, Event{Kind: NeedsCall, ID: 1})
		acts := b.step(20_000, Event{Kind: CallDone, ID: 1, Outcome: outcome})
		b.want(acts, Call, 1, again)
		b.want(acts, Refuse, 1, false)
	}
	b := newHarness(t, func(s *Settings) { s.MemoryKB = 30 }) // full: never begun, so it may be refused
	b.step(1000, arrival(1, 2), arrival(2, 2), arrival(3, 2))
	for id := RequestID(1); id <= 3; id++ {
		if r := b.w.find(id); r != nil && r.answered && r.ran {
			t.Errorf("%d ran and was refused", id)
		}
	}
}

// Paused work keeps the memory of a running request until it is answered.
func TestPausedWorkCountsAgainstTheMemory(t *testing.T) {
	b := newHarness(t, func(s *Settings) { s.Stop = StopFreeze })
	b.step(1000, arrival(1, 0), arrival(2, 0))
	b.w.limit = 0
	b.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
	if b.w.recount(); b.w.find(1).phase != paused || b.w.memoryKB != 160 {
		t.Fatalf("phase %d, memory %v, want paused and 160", b.w.find(1).phase, b.w.memoryKB)
	}
	b.w.limit = 0
	acts := b.step(2_001_001, Event{Kind: Timer})
	b.want(acts, Refuse, 1, true)
	b.step(2_002_000, Event{Kind: Done, ID: 2, Outcome: Cancelled})
	if b.w.recount(); b.w.memoryKB != 0 {
		t.Errorf("%v kB left behind", b.w.memoryKB)
	}
}

// A crowd of calls that come back all at once stays under the crowd that kills, warm or cold.
func TestCallsReturningTogetherStayWithinSafeRuns(t *testing.T) {
	for cold, most := range map[bool]float64{false: 2 * 5, true: 2 * (1 + 4*0.32)} {
		b := newHarness(t, func(s *Settings) {
			s.JustStarted, s.ColdSpeed, s.MaxRunsPerCore, s.CallShare, s.MemoryKB = cold, 0.32, 5, 400, 1e6
		})
		b.w.limit = 100
		var calling []Event
		for id := RequestID(1); id <= 60; id++ {
			for _, a := range b.step(1000+int64(id), arrival(id, 0)) {
				if a.Kind != Run {
					continue
				}
				for _, c := range b.step(1000+int64(id), Event{Kind: NeedsCall, ID: a.ID}) {
					if c.Kind == Call {
						calling = append(calling, Event{Kind: CallDone, ID: c.ID, Outcome: OK})
					}
				}
			}
		}
		b.step(2000, calling...)
		if b.w.recount(); float64(b.w.onCore) > most || b.w.onCore == 0 {
			t.Errorf("cold %v: %d on the cores at once, %v kill", cold, b.w.onCore, most)
		}
	}
}

// What all servers call failed half of their runs, and half of a fleet left the list at once.
func TestHalfOfRunsFailingLeavesHealthOn(t *testing.T) {
	for of, healthy := range map[int]bool{2: true, 1: false} { // every second run fails, or all
		b := newHarness(t, nil)
		for id := RequestID(1); id < 120; id++ {
			now := int64(id) * 400_000
			b.step(now, arrival(id, 0))
			outcome := OK
			if int(id)%of == 0 {
				outcome = Failed
			}
			b.step(now+50_000, Event{Kind: Done, ID: id, Outcome: outcome})
		}
		if b.w.healthy != healthy {
			t.Errorf("one in %d fails: healthy %v, failing %.2f", of, b.w.healthy, b.w.failureRate)
		}
	}
}

// A standstill of six tenths of a second just before the stop must not hold the last answers back past it.
func TestDrainToleratesPauseBeforeStop(t *testing.T) {
	b := newHarness(t, nil)
	b.step(1000, arrival(1, 0), arrival(2, 1), arrival(3, 0), Event{Kind: Drain, Deadline: 1_600_000})
	acts := b.step(1_600_000-640_000, Event{Kind: Timer})
	for id := RequestID(1); id <= 3; id++ {
		if !hasAction(acts, Refuse, id) && !hasAction(acts, Fail, id) {
			t.Errorf("%d is not answered 0.64 s before the stop", id)
		}
	}
}

func TestHandoverIsNoDrain(t *testing.T) {
	b := newHarness(t, func(s *Settings) {
		s.Downstream, s.Classes[0].CallsDownstream, s.Classes[0].SkipWorth = DownstreamNone, false, 0
	})
	b.step(0)
	acts := b.step(1000, Event{Kind: Handover, Deadline: 6_000_000})
	for _, a := range acts {
		if a.Kind == Health && !a.On {
			t.Fatal("health is bad though another has the place")
		}
	}
	late := arrival(1, 0)
	b.want(b.step(3_500_000, late), Run, 1, true) // long past the grace of a drain
	b.want(b.step(5_200_000, arrival(2, 0)), Refuse, 2, true)
	b.step(5_200_000, Event{Kind: Drain, Deadline: 20_000_000})
	b.want(b.step(8_000_000, arrival(3, 0)), Refuse, 3, true)
}

func TestPeerRunsCount(t *testing.T) {
	b := newHarness(t, func(s *Settings) {
		s.Downstream, s.Classes[0].CallsDownstream, s.Classes[0].SkipWorth = DownstreamNone, false, 0
	})
	b.step(0)
	b.want(b.step(1000, Event{Kind: PeerLoad, Runs: 2, SizeKB: 100}, arrival(1, 0)), Run, 1, false)
	b.want(b.step(2000, Event{Kind: PeerLoad}), Run, 1, true)
	b.step(3000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 1000})
	b.step(4000, Event{Kind: PeerLoad, SizeKB: 10_000})
	b.want(b.step(5000, arrival(2, 0)), Refuse, 2, true) // the memory is full of what is beside
	b.step(6000, Event{Kind: PeerLoad, Runs: 2})
	for now := int64(10_000); now < 60_000_000; now += 10_000 {
		for _, a := range b.step(now) {
			if a.Kind == Health && !a.On {
				t.Fatal("what another runs is taken for a stall here")
			}
		}
	}
}

func TestReconfigure(t *testing.T) {
	b := newHarness(t, nil)
	b.step(0)
	open := b.step(1000, arrival(1, 1))
	b.want(open, Run, 1, true)
	next := testSettings()
	next.Classes = append(next.Classes, Class{Effect: Repeatable, TargetTime: 1_000_000, Timeout: 2_000_000, Worth: 1})
	next.Tenants = []Tenant{{Quota: 5}, {Quota: 7}}
	if err := b.w.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	late := arrival(2, 3)
	late.Tenant = 1
	b.want(b.step(2000, late), Run, 2, true)
	b.step(3000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 2000}, Event{Kind: Done, ID: 2, Outcome: OK, Elapsed: 1000})
	if b.w.classes[1].runs != 1 || b.w.classes[3].runs != 1 || b.w.inProgress != 0 {
		t.Errorf("what was open is lost: %v, %d in hand", b.w.classes, b.w.inProgress)
	}
	before := b.w.cfg.Classes
	for what, s := range map[string]Settings{"fewer classes": testSettings(), "no classes": {Cores: 1, MemoryKB: 1}} {
		if err := b.w.Reconfigure(s); err == nil || !reflect.DeepEqual(b.w.cfg.Classes, before) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// The ceilings of pools hold: a pool's own places come before worth, its most
// is not passed, the reserve lies beyond the limit, and what waits has a bound.
func TestCeilings(t *testing.T) {
	t.Parallel()
	s := testSettings()
	s.Downstream, s.Classes[0].CallsDownstream, s.Classes[1].CallsDownstream, s.MaxRunsPerCore, s.ColdSpeed = 0, false, false, 0, 0
	play := func(c *Ceilings, classes ...int) (runs, refused []int) {
		w, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		w.SetCeilings(c)
		var events []Event
		for i, class := range classes {
			events = append(events, Event{Kind: Arrive, ID: RequestID(i + 1), Class: class, SizeKB: 10, Deadline: 1_800_000})
		}
		for _, a := range w.Step(1, events, nil) {
			switch a.Kind {
			case Run:
				runs = append(runs, classes[a.ID-1])
			case Refuse:
				refused = append(refused, classes[a.ID-1])
			}
		}
		return runs, refused
	}
	open := Ceiling{MaxRuns: 9, MaxQueued: 9, GuaranteedKB: 1e4, MaxKB: 1e4, GuaranteedCores: 2}
	with := func(f func(a, b *Ceiling, c *Ceilings)) *Ceilings {
		c := &Ceilings{PoolOf: []int{0, 1, 0}, Pools: []Ceiling{open, open}, MaxRuns: 2, CheapestClass: -1}
		f(&c.Pools[0], &c.Pools[1], c)
		return c
	}
	dear, cheap := []int{0, 0, 1, 1, 1}, []int{1, 1}
	for name, c := range map[string]struct {
		ceil       *Ceilings
		runs, away []int
	}{
		"none":       {nil, cheap, nil},
		"no bounds":  {with(func(a, b *Ceiling, c *Ceilings) {}), cheap, nil},
		"own places": {with(func(a, b *Ceiling, c *Ceilings) { a.GuaranteedRuns = 1 }), []int{0, 1}, nil},
		"most":       {with(func(a, b *Ceiling, c *Ceilings) { b.MaxRuns = 1 }), []int{1, 0}, nil},
		"spare":      {with(func(a, b *Ceiling, c *Ceilings) { a.ReservedRuns = 1 }), []int{0, 1}, nil},
		"cheap": {with(func(a, b *Ceiling, c *Ceilings) {
			c.CheapestClass, c.CheapestReserved, a.GuaranteedRuns, b.GuaranteedRuns = 0, 1, 1, 2
		}), []int{1, 1, 0}, nil},
		"places":  {with(func(a, b *Ceiling, c *Ceilings) { c.MaxRuns = 1 }), []int{1}, nil},
		"waiting": {with(func(a, b *Ceiling, c *Ceilings) { b.MaxQueued = 2 }), cheap, []int{1}},
		"memory":  {with(func(a, b *Ceiling, c *Ceilings) { a.MaxKB = 15 }), cheap, []int{0}},
	} {
		if runs, away := play(c.ceil, dear...); !slices.Equal(runs, c.runs) || !slices.Equal(away, c.away) {
			t.Errorf("%s: runs %v, refuses %v; want %v, %v", name, runs, away, c.runs, c.away)
		}
	}
}

// A class that must be prepared begins only what is ready: as many are asked
// for at once as there are cores, no place waits for them, and each is asked for once.
func TestPrepare(t *testing.T) {
	t.Parallel()
	s := testSettings()
	s.Downstream, s.Classes[0].CallsDownstream, s.Classes[1].CallsDownstream = 0, false, false
	s.Classes[1].Prepare = true
	w, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	step := func(now int64, events ...Event) (prepare, run []RequestID) {
		for _, a := range w.Step(now, events, nil) {
			switch a.Kind {
			case Prepare:
				prepare = append(prepare, a.ID)
			case Run:
				run = append(run, a.ID)
			}
		}
		return prepare, run
	}
	var events []Event
	for id := RequestID(1); id <= 4; id++ {
		events = append(events, Event{Kind: Arrive, ID: id, Class: 1, SizeKB: 10, Deadline: 1_900_000})
	}
	prepare, run := step(1, append(events, Event{Kind: Arrive, ID: 9, Class: 0, SizeKB: 10, Deadline: 4_000_000})...)
	if !slices.Equal(prepare, []RequestID{1, 2}) || !slices.Equal(run, []RequestID{9}) {
		t.Errorf("prepares %v, runs %v", prepare, run)
	}
	if prepare, run = step(10_000); prepare != nil || run != nil {
		t.Errorf("with nothing ready: prepares %v, runs %v", prepare, run)
	}
	if prepare, run = step(20_000, Event{Kind: Ready, ID: 2}); prepare != nil || !slices.Equal(run, []RequestID{2}) {
		t.Errorf("with one ready: prepares %v, runs %v", prepare, run)
	}
	if prepare, run = step(30_000, Event{Kind: Disconnected, ID: 1}); !slices.Equal(prepare, []RequestID{3, 4}) || run != nil {
		t.Errorf("with one gone: prepares %v, runs %v", prepare, run)
	}
}
