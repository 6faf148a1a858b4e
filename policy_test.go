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

// testSettings are those of a small server with one class of each effect.
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

// harness is a worker under test.
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

func (h *harness) step(now int64, events ...Event) []Action { return h.w.Step(now, events, nil) }

// hasAction reports whether acts contain the action for the request.
func hasAction(acts []Action, kind ActionKind, id RequestID) bool {
	for _, a := range acts {
		if a.Kind == kind && a.ID == id {
			return true
		}
	}
	return false
}

// want fails the test unless acts contain the action for the request, or do not contain it.
func (h *harness) want(acts []Action, kind ActionKind, id RequestID, yes bool) {
	h.t.Helper()
	if hasAction(acts, kind, id) != yes {
		h.t.Fatalf("action %d about %d: want %v, got %+v", kind, id, yes, acts)
	}
}

// arrival is a first try of 10 KB.
func arrival(id RequestID, class int) Event {
	return Event{Kind: Arrive, ID: id, Class: class, SizeKB: 10}
}

// The admission draw refuses nothing below the band, everything above it, and half of the arrivals in its
// middle.
func TestRefuseChance(t *testing.T) {
	for _, c := range []struct{ x, want float64 }{{929, 0}, {930, 0.01}, {965, 0.5}, {999.999, 0.99}, {1000, 1}, {5000, 1}} {
		if got := refuseChance(c.x, 1000); got < c.want-0.001 || got > c.want+0.001 {
			t.Errorf("refuseChance(%v) = %v, want %v", c.x, got, c.want)
		}
	}
}

// An unusable setting is named in the error.
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

// A keyed request is retained, for its window at least, before it runs.
func TestKeyRetainedBeforeRun(t *testing.T) {
	h := newHarness(t, nil)
	acts := h.step(1000, arrival(1, 1))
	for _, a := range acts {
		switch a.Kind {
		case Retain:
			if a.After < 8_000_000 {
				t.Fatalf("retained for %d us, less than the window", a.After)
			}
			return
		case Run:
			t.Fatal("ran before it was retained")
		}
	}
	t.Fatal("never retained")
}

// A duplicate gets the result of its original, both while that runs and after it ended.
func TestDuplicateReusesResult(t *testing.T) {
	h := newHarness(t, nil)
	duplicate := arrival(2, 1)
	duplicate.DuplicateOf = 1
	acts := h.step(1000, arrival(1, 1), duplicate)
	h.want(acts, Run, 1, true)
	h.want(acts, Reuse, 2, true)
	h.want(acts, Run, 2, false)
	late := arrival(3, 1)
	late.DuplicateOf = 1
	h.step(200_000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 199_000})
	acts = h.step(300_000, late)
	h.want(acts, Reuse, 3, true)
	h.want(acts, Refuse, 3, false)
}

// When the caller of a queued original disconnects, its duplicate is retained and runs instead.
func TestDuplicateReplacesAbandonedRequest(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0), arrival(2, 0)) // the cores are full
	duplicate := arrival(4, 1)
	duplicate.DuplicateOf = 3
	acts := h.step(2000, arrival(3, 1), duplicate)
	h.want(acts, Run, 3, false)
	acts = h.step(3000, Event{Kind: Disconnected, ID: 3})
	h.want(acts, Retain, 4, true)
	acts = h.step(4000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 3000})
	h.want(acts, Run, 4, true)
}

// A keyed run that was cancelled may have taken effect: neither a second run nor a refusal is allowed.
func TestCancelledKeyedRunFails(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 1))
	acts := h.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
	h.want(acts, Fail, 1, true)
	h.want(acts, Refuse, 1, false)
	h.want(acts, Run, 1, false)
}

// A call of a keyed request is repeated only after outcomes that prove that it never ran.
func TestKeyedCallRepeatedOnlyIfItNeverRan(t *testing.T) {
	for outcome, repeated := range map[Outcome]bool{Rejected: true, Unreachable: true, TimedOut: false, Reset: false, Failed: false} {
		h := newHarness(t, nil)
		h.step(1000, arrival(1, 1))
		h.want(h.step(10_000, Event{Kind: NeedsCall, ID: 1}), Call, 1, true)
		acts := h.step(20_000, Event{Kind: CallDone, ID: 1, Outcome: outcome, Elapsed: 10_000})
		h.want(acts, Call, 1, repeated)
		h.want(acts, Fail, 1, !repeated)
	}
}

// A request is answered by its deadline in every phase, and refused if it arrives too late to run.
func TestAnsweredByDeadline(t *testing.T) {
	for _, stage := range []string{"running", "at call", "calling"} {
		h := newHarness(t, nil)
		h.step(1000, arrival(1, 1))
		if stage != "running" {
			h.step(2000, Event{Kind: NeedsCall, ID: 1})
		}
		acts := h.step(2_000_000, Event{Kind: Timer})
		h.want(acts, Fail, 1, true)
	}
	h := newHarness(t, nil)
	waited := arrival(1, 1)
	waited.Waited = 1_999_000 // hardly any time is left
	h.want(h.step(2_000_000, waited), Refuse, 1, true)
}

// A run that can earn nothing any more is halted, where halting is allowed, and refused without failover.
func TestUselessWorkIsStopped(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0))
	acts := h.step(2_001_001, Event{Kind: Timer}) // past its target time; late answers earn nothing
	h.want(acts, Fail, 1, false)                  // callers would answer an error with another try
	h.want(acts, Halt, 1, true)
	if acts[0].Kind != Refuse || !acts[0].On {
		t.Errorf("want a refusal for good, got %+v", acts[0])
	}
	h = newHarness(t, func(s *Settings) { s.Stop = StopNever })
	h.step(1000, arrival(1, 0))
	h.want(h.step(4_990_000, Event{Kind: Timer}), Halt, 1, false)
}

// After a drain notice and its grace nothing starts, and everything is answered before the stop. Requests
// admitted just before the last answers were due started, were cut short, and failed: they are refused.
func TestDrain(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, Event{Kind: Drain, Deadline: 4_000_000})
	h.want(h.step(1_500_000, arrival(1, 0)), Run, 1, true)
	acts := h.step(2_100_000, arrival(2, 0))
	h.want(acts, Refuse, 2, true)
	h.want(h.step(3_750_000, Event{Kind: Timer}), Refuse, 1, true)
	// Shortly before the stop: refused within the grace too.
	h = newHarness(t, nil)
	h.step(1000, Event{Kind: Drain, Deadline: 2_000_000})
	h.want(h.step(1_000_000, arrival(1, 0)), Run, 1, true)
	h.want(h.step(1_200_000, arrival(2, 0)), Refuse, 2, true)
}

// The running limit grows with runs that end in time, but not while all cores are in use: such growth left
// arrivals unread for seconds.
func TestLimitGrowsOnlyWithSpareCore(t *testing.T) {
	for runnable, grows := range map[float32]bool{1: true, 2: false, 6: false} {
		h := newHarness(t, nil)
		now, id := int64(1000), RequestID(1)
		h.step(now, Event{Kind: Timer, Gauges: Gauges{Valid: true, Runnable: runnable}}, arrival(1, 0), arrival(2, 0))
		for range 8 {
			now += 100_000
			h.step(now, Event{Kind: Done, ID: id, Outcome: OK}, arrival(id+2, 0), arrival(id+100, 0))
			id++
		}
		if got := h.w.limit > 2; got != grows {
			t.Errorf("runnable %v: limit %d, grows want %v", runnable, h.w.limit, grows)
		}
	}
}

// Workers that all used their whole share of calls at once overloaded the dependency.
func TestCallsStayBelowShare(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Cores = 8; s.MemoryKB = 1e6 })
	var arrivals, needs []Event
	for id := RequestID(1); id <= 8; id++ {
		arrivals = append(arrivals, arrival(id, 1))
		needs = append(needs, Event{Kind: NeedsCall, ID: id})
	}
	h.step(1000, arrivals...)
	calls := 0
	for _, a := range h.step(10_000, needs...) {
		if a.Kind == Call {
			calls++
		}
	}
	if calls != 2 {
		t.Fatalf("%d calls outstanding, want 2 of a share of 4", calls)
	}
}

// When calls hung, each worker with a share below one call had one outstanding all the time, which overloaded
// the dependency. However long calls take, no window may contain more than the share.
func TestCallsInAnyWindowStayBelowShare(t *testing.T) {
	for _, took := range []int64{30_000, 400_000, 3_000_000, 60_000_000} { // the last ends only by its timeout
		h := newHarness(t, func(s *Settings) {
			s.CallShare, s.MemoryKB = 0.46, 1e6
			s.Classes[1].TargetTime, s.Classes[1].Timeout = 2_800_000, 8_600_000
		})
		type call struct {
			id         RequestID
			from, ends int64
			late       bool
		}
		var open []call
		var busy [][2]int64 // intervals in which the dependency works on a call
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
				busy = append(busy, [2]int64{c.from, now + lingers})
				events = append(events, Event{Kind: CallDone, ID: c.id, Outcome: outcome})
				if outcome == OK {
					events = append(events, Event{Kind: Done, ID: c.id, Outcome: OK})
				}
				return true
			})
			acts := h.step(now, events...)
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
			for _, span := range busy {
				sum += max(0, min(span[1], now)-max(span[0], now-5_000_000))
			}
			for _, c := range open {
				sum += now - max(c.from, now-5_000_000)
			}
			if mean := float64(sum) / 5e6; mean > 0.46 {
				t.Fatalf("calls of %d us: %.2f outstanding over 5 s, share 0.46", took, mean)
			}
		}
		if made < 5 {
			t.Errorf("calls of %d us: only %d made", took, made)
		}
	}
}

// Runs started while others waited for room for a required call: they were cut off there, and a keyed one can
// never run again.
func TestRequiredCallWaitingBlocksNewCallers(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Cores, s.MemoryKB, s.CallShare = 4, 1e6, 0.4 })
	h.step(1000, arrival(1, 1), arrival(2, 1))
	h.step(2000, Event{Kind: NeedsCall, ID: 1}, Event{Kind: NeedsCall, ID: 2}) // one call takes the room
	acts := h.step(3000, arrival(3, 1), arrival(4, 0))
	h.want(acts, Run, 3, false)
	h.want(acts, Refuse, 3, false)
	h.want(acts, Run, 4, true)
}

// Servers that read slowly were sent their full part: the load signal must include the read delay.
func TestReadDelayRaisesMinRank(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.LoadSignal = LoadSignalMinRank })
	for i := range RequestID(20) {
		e := arrival(i+1, 0)
		e.Waited = 1_500_000
		h.step(1000+int64(i)*100_000, e)
	}
	if h.w.lastSignal <= 0 {
		t.Fatalf("the minimum rank sent is %v, want above 0", h.w.lastSignal)
	}
}

// After an idle period, the time since the last progress passed for a stall, and requests were refused.
func TestIdlePeriodIsNotAStall(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0))
	h.step(101_000, Event{Kind: Done, ID: 1, Outcome: OK})
	acts := h.step(60_000_000, arrival(2, 0), arrival(3, 0), arrival(4, 0))
	h.want(acts, Refuse, 4, false)
	h.want(h.step(60_010_000, Event{Kind: Timer}), Refuse, 4, false)
}

// A worker whose runs fail refuses most arrivals, but keeps trying some.
func TestFailingWorkerRefusesButProbes(t *testing.T) {
	h := newHarness(t, nil)
	now, ran, refused := int64(0), 0, 0
	for id := RequestID(1); id < 200; id++ {
		now += 50_000
		acts := h.step(now, arrival(id, 0))
		if hasAction(acts, Refuse, id) {
			refused++
		} else {
			ran++
			h.step(now+1000, Event{Kind: Done, ID: id, Outcome: Failed})
		}
	}
	if refused < 50 || ran < 20 {
		t.Fatalf("refused %d, ran %d", refused, ran)
	}
}

// Events with unknown IDs, classes and kinds do no harm.
func TestUnknownEventsIgnored(t *testing.T) {
	h := newHarness(t, nil)
	acts := h.step(1000, Event{Kind: Arrive, ID: 1, Class: 77, Tenant: 9, SizeKB: 1}, Event{Kind: Done, ID: 5},
		Event{Kind: CallDone, ID: 6}, Event{Kind: NeedsCall, ID: 7}, Event{Kind: Disconnected, ID: 8}, Event{Kind: 99})
	h.want(acts, Refuse, 1, true)
	if n := len(h.step(2000, Event{Kind: Done, ID: 1, Outcome: OK})); n > 1 {
		t.Fatalf("%d actions for finished requests", n)
	}
}

// A seeded random stream of legal events: the contract's invariants hold, and the same events give the same
// actions.
func TestRandomStream(t *testing.T) {
	for seed := range uint64(6) {
		if a, b := randomStream(t, seed), randomStream(t, seed); !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d: two runs differ", seed)
		}
	}
}

// randomStream plays the stream of a seed and returns all actions.
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
		deadline            int64
		ran, running, ended bool
	}
	tries := map[RequestID]*try{}
	var open []RequestID
	var all []Action
	now := int64(1)
	for id := RequestID(1); now < 20_000_000; {
		now += 2000 * (1 + rng.Int64N(4))
		events := []Event{{Kind: Timer}}
		if rng.Float64() < 0.3 && now < 15_000_000 {
			e := arrival(id, rng.IntN(3))
			e.SizeKB = 5 + 60*rng.Float64()
			tries[id] = &try{class: e.Class, deadline: now + s.Classes[e.Class].Timeout}
			open = append(open, id)
			events = append(events, e)
			id++
		}
		for _, l := range open {
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
					t.Fatal("Halt though it is not allowed")
				}
			}
		}
		if w.recount(); w.memoryKB > s.MemoryKB {
			t.Fatalf("seed %d: %v KB in use", seed, w.memoryKB)
		}
		for _, l := range open {
			if r := tries[l]; !r.ended && now > r.deadline {
				t.Fatalf("seed %d: %d not answered by its deadline", seed, l)
			}
		}
	}
	return all
}

// The files that the deploy file lists under policy are all the policy files, and keep their bounds on size.
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
	if files, _ := filepath.Glob("policy*.go"); len(files) != len(named)+1 { // policy_test.go is not listed
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

// Callers left before a backlog of unread requests was read: half of the cores are left to reading it.
func TestReadBacklogHalvesRuns(t *testing.T) {
	for waited, want := range map[int64]int{0: 2, 1_500_000: 1} {
		h := newHarness(t, nil)
		h.w.readDelay = float64(waited)
		one, two := arrival(1, 0), arrival(2, 0)
		one.Waited, two.Waited = waited, waited
		runs := 0
		for _, a := range h.step(2_000_000, one, two) {
			if a.Kind == Run {
				runs++
			}
		}
		if runs != want {
			t.Errorf("waited %d: %d runs, want %d", waited, runs, want)
		}
	}
}

// A duplicate of a try that is refused in the same batch runs itself.
func TestDuplicateOfRefusedRequestRuns(t *testing.T) {
	h := newHarness(t, nil)
	first, duplicate := arrival(1, 1), arrival(2, 1)
	first.Waited = 1_990_000 // to be answered at once
	duplicate.DuplicateOf = 1
	acts := h.step(2_000_000, first, duplicate)
	h.want(acts, Refuse, 1, true)
	h.want(acts, Reuse, 2, false)
	h.want(acts, Retain, 2, true)
	h.want(acts, Run, 2, true)
}

// A read with the key of one that runs is served from its result.
func TestReadsWithOneKeyShareResult(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.ReuseFor = 100_000 })
	first := arrival(1, 0)
	first.Key = 5
	acts := h.step(1000, first)
	h.want(acts, Retain, 1, true)
	h.want(acts, Run, 1, true)
	second := arrival(2, 0)
	second.Key, second.DuplicateOf = 5, 1
	acts = h.step(2000, second)
	h.want(acts, Reuse, 2, true)
	h.want(acts, Run, 2, false)
}

// An optional call that would take longer than the target time is skipped.
func TestCallSkippedWhenTargetWouldBeMissed(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0))
	h.w.callMean, h.w.callBaseline = 3_000_000, 3_000_000 // longer than the target time
	acts := h.step(10_000, Event{Kind: NeedsCall, ID: 1})
	h.want(acts, Skip, 1, true)
	h.want(acts, Call, 1, false)
}

// A cold server survives fewer concurrent runs than a warm one.
func TestSafeRunsOfColdServer(t *testing.T) {
	for cold, want := range map[bool]float64{false: 0.8 * 2 * 8, true: 0.8 * 2 * (1 + 7*0.2)} {
		h := newHarness(t, func(s *Settings) { s.JustStarted = cold })
		h.step(1000)
		if got := h.w.safeRuns(); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("cold %v: %v safe runs, want %v", cold, got, want)
		}
	}
}

// Arrivals beyond the memory are refused; the memory in use never exceeds the top of the draw's band.
func TestRefusesAtMemoryTop(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MemoryKB = 600 })
	refused := 0
	for id := RequestID(1); id <= 60; id++ {
		if hasAction(h.step(1000+int64(id)*2000, arrival(id, 0)), Refuse, id) {
			refused++
		}
		if h.w.recount(); h.w.memoryKB > h.w.memoryTop() {
			t.Fatalf("memory %v over the top %v", h.w.memoryKB, h.w.memoryTop())
		}
	}
	if refused == 0 {
		t.Fatal("nothing refused")
	}
}

// A keyed request is refused if there is no memory for its key entry.
func TestRefusedWithoutRoomForKeyEntry(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.KeyKB = 9990 })
	acts := h.step(1000, arrival(1, 1))
	h.want(acts, Refuse, 1, true)
	h.want(acts, Run, 1, false)
}

// A tenant within its quota goes before one that floods.
func TestWithinQuotaBeforeOverQuota(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		s.Cores, s.Tenants = 1, []Tenant{{Quota: 4}, {Quota: 4}}
		s.OverShareWorth = 0.05
	})
	for id := RequestID(100); id < 140; id++ { // tenant 0 requests far more than its quota
		h.step(1000+int64(id), arrival(id, 0), Event{Kind: Done, ID: id, Outcome: OK})
		h.step(1000+int64(id), Event{Kind: Done, ID: id, Outcome: OK})
	}
	flood, within := arrival(1, 0), arrival(2, 0)
	within.Tenant = 1
	acts := h.step(100_000, flood, within)
	h.want(acts, Run, 2, true)
	h.want(acts, Run, 1, false)
}

// Health turns bad when no run makes progress, and good when one ends.
func TestHealthFollowsStall(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Classes[1].Timeout = 8_000_000 })
	h.step(1000, arrival(1, 1))
	setHealth := func(acts []Action, on bool) bool {
		for _, a := range acts {
			if a.Kind == Health && a.On == on {
				return true
			}
		}
		return false
	}
	if !setHealth(h.step(3_500_000, Event{Kind: Timer}), false) {
		t.Error("no progress for 3.5 s, health is still good")
	}
	if !setHealth(h.step(3_600_000, Event{Kind: Done, ID: 1, Outcome: OK}), true) {
		t.Error("a run ended, health is still bad")
	}
}

// A worker that is behind advertises less than one that is not.
func TestLoadSignalFollowsWaitRatio(t *testing.T) {
	for _, kind := range []LoadSignal{LoadSignalAllowance, LoadSignalWeight} {
		signal := map[bool]float64{}
		for _, behind := range []bool{false, true} {
			h := newHarness(t, func(s *Settings) { s.LoadSignal, s.Cores = kind, 16 })
			if behind {
				h.w.readDelay = 2_000_000
			}
			h.step(1000, Event{Kind: Timer})
			signal[behind] = h.w.lastSignal
		}
		if signal[true] >= signal[false] {
			t.Errorf("load signal %d: %v behind, %v otherwise", kind, signal[true], signal[false])
		}
	}
}

// overload lets a worker learn its mean work and then gives it far more requests at once than it can answer
// in time.
func (h *harness) overload() []Action {
	for id := RequestID(1); id < 30; id++ {
		h.step(int64(id)*400_000, arrival(id, 0))
		h.step(int64(id)*400_000+300_000, Event{Kind: Done, ID: id, Outcome: OK})
	}
	h.step(12_990_000, arrival(98, 0), arrival(99, 0))
	var burst []Event
	for id := RequestID(100); id < 140; id++ {
		burst = append(burst, arrival(id, 0))
	}
	return h.step(13_000_000, burst...)
}

// Refused tries that went on from server to server were read a dozen times each in a fleet of hundreds.
func TestLateRefusalForbidsRetryElsewhere(t *testing.T) {
	h := newHarness(t, nil)
	refused := 0
	for _, a := range h.overload() {
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

// A retry-after of just the excess delay brought all callers back at once: it must be longer, within the
// setting.
func TestRetryAfterExceedsBacklog(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.MaxRetryAfter = 3_000_000 })
	c := &h.w.cfg.Classes[0]
	for _, excess := range []int64{0, 50_000, 400_000, 2_000_000} {
		h.w.reqs = append(h.w.reqs[:0], request{id: 1, phase: queued, deadline: 9_000_000, softDeadline: 2_000_000})
		acts := h.w.refuse(&h.w.reqs[0], h.w.retryAfter(excess, c), true, nil)
		if got := acts[0].After; got > h.w.cfg.MaxRetryAfter || got < min(2*excess+c.TargetTime/10, h.w.cfg.MaxRetryAfter) {
			t.Errorf("%d us too late: retry-after is %d us", excess, got)
		}
	}
	refused := 0
	for _, a := range h.overload() {
		if a.Kind == Refuse {
			if refused++; a.After < c.TargetTime/10 {
				t.Errorf("%d was refused with a retry-after of %d us", a.ID, a.After)
			}
		}
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
}

// Sixteen of the largest sizes were most of a small machine's memory: the draw refused three of four
// arrivals.
func TestMemoryTopOnSmallMachine(t *testing.T) {
	for cores, want := range map[int]float64{1: 2, 2: 4, 8: 16, 64: 16} {
		h := newHarness(t, func(s *Settings) { s.Cores = cores })
		h.step(1000, arrival(1, 0))
		if got := (10000 - h.w.memoryTop()) / 10; got != want {
			t.Errorf("%d cores: the top lies %v sizes below the memory, want %v", cores, got, want)
		}
	}
}

// Hundreds of callers filled the connection table with connections that none of them used again.
func TestUnusedIdleConnectionsAreClosed(t *testing.T) {
	for callers, want := range map[int]int64{4: 30_000_000, 1000: shortIdleTimeoutUS} {
		h := newHarness(t, func(s *Settings) { s.Callers, s.IdleAfter = callers, 30_000_000 })
		timeout := int64(30_000_000)
		for id := RequestID(1); id < 60; id++ { // five arrivals a second
			acts := h.step(int64(id)*200_000, arrival(id, 0))
			acts = append(acts, h.step(int64(id)*200_000+100_000, Event{Kind: Done, ID: id, Outcome: OK})...)
			for _, a := range acts {
				if a.Kind == SetIdleTimeout {
					timeout = a.After
				}
			}
		}
		if timeout != want {
			t.Errorf("%d callers: the idle timeout is %d us, want %d", callers, timeout, want)
		}
	}
	h := newHarness(t, nil)
	if hasAction(h.step(1000, arrival(1, 0)), SetIdleTimeout, 0) {
		t.Error("an idle timeout is set though IdleAfter is not")
	}
}

// In order of arrival, all of a long queue was answered just before its target time, too late for requests
// that had lost time with earlier tries.
func TestNewestFirstWhileQueueIsTooLong(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0), arrival(2, 0))
	h.step(2000, arrival(3, 0))
	h.step(300_000, arrival(4, 0))
	for _, c := range []struct {
		pressure float64
		first    RequestID
	}{{0.5, 3}, {2, 4}} {
		h.w.waitRatio = c.pressure
		if compareSortKeys(h.w.sortKey(h.w.byID[3]), h.w.sortKey(h.w.byID[4])) < 0 != (c.first == 3) {
			t.Errorf("wait ratio %v: want %d first", c.pressure, c.first)
		}
	}
}

// An allowance of at least one per caller let hundreds of callers send hundreds of requests to two cores.
func TestAllowanceOfManyCallersIsAFraction(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.LoadSignal, s.Callers = LoadSignalAllowance, 300 })
	h.step(1000, Event{Kind: Timer})
	if h.w.lastSignal <= 0 || h.w.lastSignal >= 1 {
		t.Errorf("300 callers are allowed %v each on two cores", h.w.lastSignal)
	}
}

// A tenant refused because it floods passed for the worst served, and was put first.
func TestOverQuotaTenantHasNoDeficit(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		s.Tenants = []Tenant{{Quota: 8}, {Quota: 8}}
		s.Goal = Goal{Whole: 1, WorstTenant: 1}
	})
	for id := RequestID(1); id < 200; id++ {
		e := arrival(id, 0)
		if id%10 == 0 { // two a second, its quota; every second one is served
			e.Tenant = 1
		}
		now := int64(id) * 50_000
		h.step(now, e)
		if id%20 == 0 || id%4 == 1 {
			h.step(now+20_000, Event{Kind: Done, ID: id, Outcome: OK})
		} else {
			h.step(now+20_000, Event{Kind: Disconnected, ID: id})
		}
	}
	if flood, within := h.w.serviceDeficit(&h.w.tenants[0].usage, &h.w.allTenants), h.w.serviceDeficit(&h.w.tenants[1].usage, &h.w.allTenants); flood >= within {
		t.Errorf("service deficits: %v of the flood, %v of the tenant within its quota", flood, within)
	}
}

// One very large request put the top of the draw's band at zero for good: everything after it was refused.
func TestOneLargeRequestDoesNotBlockAdmission(t *testing.T) {
	h := newHarness(t, nil)
	large := arrival(1, 0)
	large.SizeKB = 9000
	h.step(1000, large)
	h.step(2000, Event{Kind: Done, ID: 1, Outcome: OK}, Event{Kind: Disconnected, ID: 1})
	h.want(h.step(3000, arrival(2, 0)), Run, 2, true)
}

// Duplicates that await one result can be neither refused nor shed: they must not outgrow the memory.
func TestDuplicatesStayWithinMemory(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Classes[1].Timeout, s.Classes[1].TargetTime = 60_000_000, 50_000_000 })
	first := arrival(1, 1)
	h.step(1000, first)
	waiting := 0
	for id := RequestID(2); id < 1200; id++ {
		duplicate := arrival(id, 1)
		duplicate.DuplicateOf = 1
		if hasAction(h.step(int64(id)*1000, duplicate), Reuse, id) {
			waiting++
		}
		if h.w.recount(); h.w.memoryKB > h.w.cfg.MemoryKB {
			t.Fatalf("%v of %v KB in use with %d duplicates", h.w.memoryKB, h.w.cfg.MemoryKB, id)
		}
	}
	if waiting < 500 {
		t.Errorf("only %d duplicates await the result", waiting)
	}
}

// One run of five times the mean work turned the health of a small machine bad, and callers that check it
// left.
func TestOneLongRunIsNoStall(t *testing.T) {
	for runs, healthy := range map[int]bool{1: true, 2: false} {
		h := newHarness(t, func(s *Settings) { s.Classes[0].TargetTime = 4_000_000 })
		for id := RequestID(1); id <= RequestID(runs); id++ {
			h.step(1000, arrival(id, 0))
		}
		h.step(1000+int64(11*h.w.meanWork), Event{Kind: Timer})
		if h.w.healthy != healthy {
			t.Errorf("%d runs without progress for eleven mean works: healthy is %v", runs, h.w.healthy)
		}
	}
}

// A minimum rank above the most requested class refused nearly all, fell to zero, and rose again.
func TestMinRankStopsAtLeastValuableClass(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.LoadSignal = LoadSignalMinRank })
	for now := int64(1); now < 20; now++ {
		h.w.readDelay = 3_000_000
		h.step(now*1_000_000, Event{Kind: Timer})
	}
	for now := int64(200); now < 400; now++ {
		h.w.readDelay = 3_000_000
		h.step(now*100_000, Event{Kind: Timer})
	}
	if want := 1.0 / 3; h.w.minRank < want-0.01 || h.w.minRank > want {
		t.Errorf("the minimum rank is %v, want %v for three classes", h.w.minRank, want)
	}
}

// One short first run set a mean work of a few milliseconds: health flapped and the limit was cut at every
// start.
func TestOneShortRunDoesNotSetMeanWork(t *testing.T) {
	h := newHarness(t, nil)
	initial := h.w.classes[0].meanWork
	h.step(1000, arrival(1, 0))
	h.step(3000, Event{Kind: Done, ID: 1, Outcome: OK})
	if h.w.classes[0].meanWork < initial/2 || h.w.classes[0].meanWork >= initial {
		t.Errorf("the mean work went from %v to %v by one run of 2000 us", initial, h.w.classes[0].meanWork)
	}
}

// With work that varies so that a tenth of the runs takes twice the mean, and two or three runs in a window,
// one long run cut the limit each time: fast servers were half idle while they refused requests.
func TestOneLongRunDoesNotCutTheLimit(t *testing.T) {
	h := newHarness(t, nil)
	h.w.limit = 6
	h.w.setMeanWork(0, 200_000)
	h.step(1000, arrival(1, 0))
	h.step(901_000, Event{Kind: Done, ID: 1, Outcome: OK})
	if h.w.limit < 6 {
		t.Errorf("one long run cut the limit to %d", h.w.limit)
	}
	now, id := int64(1_000_000), RequestID(2)
	for range 12 { // all late
		h.step(now, arrival(id, 0))
		h.w.setMeanWork(0, 200_000)
		now += 900_000
		h.step(now, Event{Kind: Done, ID: id, Outcome: OK})
		id++
	}
	if h.w.limit >= 6 {
		t.Errorf("twelve late runs left the limit at %d", h.w.limit)
	}
}

// One run of thirty times the usual work doubled the mean work of its class.
func TestHeavyRunIsClampedInMeanWork(t *testing.T) {
	h := newHarness(t, nil)
	h.w.setMeanWork(0, 200_000)
	h.w.classes[0].runs = 100
	h.w.cfg.Classes[0].TargetTime, h.w.cfg.Classes[0].Timeout = 20_000_000, 20_000_000
	h.step(1000, arrival(1, 0))
	h.step(6_001_000, Event{Kind: Done, ID: 1, Outcome: OK})
	if h.w.classes[0].meanWork > 260_000 {
		t.Errorf("the mean work went from 200000 to %v by one heavy run", h.w.classes[0].meanWork)
	}
}

// Two heavy runs on two cores kept everything else waiting, and turned health bad for lack of progress.
func TestHeavyRunsLeaveRoomForOthers(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Classes[0].TargetTime, s.Classes[0].Timeout = 20_000_000, 20_000_000 })
	h.w.setMeanWork(0, 200_000)
	h.w.classes[0].runs = 100
	h.step(1000, arrival(1, 0), arrival(2, 0))
	h.want(h.step(500_000, arrival(3, 0)), Run, 3, false)
	h.want(h.step(1_500_000, Event{Kind: Timer}), Run, 3, true)
	h.step(1_900_000, Event{Kind: Done, ID: 3, Outcome: OK})
	if h.step(3_000_000, Event{Kind: Timer}); !h.w.healthy {
		t.Error("two heavy runs turned health bad")
	}
}

// Retries were answered after the target time, which counts from the first try, and earned nothing.
func TestRetriesHaveEarlierSoftDeadline(t *testing.T) {
	left := func(h *harness, id RequestID) int64 { return h.w.find(id).latestUseful - h.w.find(id).arrivedAt }
	h := newHarness(t, nil)
	marked := arrival(2, 0)
	marked.Retry = true
	h.step(1000, arrival(1, 0), marked)
	if left(h, 1) != 2_000_000 || left(h, 2) != 1_400_000 {
		t.Errorf("a first try has %d left, a marked one %d", left(h, 1), left(h, 2))
	}
	// Unmarked: the time that the caller has left shows its age, unless it is a common timeout.
	h = newHarness(t, func(s *Settings) { s.MemoryKB = 1e6 })
	for id := RequestID(1); id <= 60; id++ {
		e := arrival(id, 0)
		e.Deadline = 1000 + 4_000_000
		if id%3 == 0 { // callers with a short timeout of their own: no age
			e.Deadline = 1000 + 1_000_000
		}
		h.step(1000, e)
	}
	old := arrival(100, 0)
	old.Deadline = 1000 + 3_000_000
	h.step(1000, old)
	for id, want := range map[RequestID]int64{58: 2_000_000, 60: 2_000_000, 100: 1_000_000} {
		if got := left(h, id); got < want-100_000 || got > want+100_000 {
			t.Errorf("request %d has %d us of its target time left, want %d", id, got, want)
		}
	}
}

// Where worth is earned by work, classes of long runs were put last without reason.
func TestWorthByWork(t *testing.T) {
	for byWork, first := range map[bool]RequestID{false: 2, true: 1} {
		h := newHarness(t, func(s *Settings) {
			s.Cores, s.WorthByWork = 1, byWork
			s.Classes = []Class{{TargetTime: 3_000_000, Timeout: 5_000_000, Worth: 2}, {TargetTime: 3_000_000, Timeout: 5_000_000, Worth: 1}}
		})
		h.w.setMeanWork(0, 400_000)
		h.w.setMeanWork(1, 100_000)
		h.want(h.step(1000, arrival(1, 0), arrival(2, 1)), Run, first, true)
	}
}

// A request that waited at a call and could earn nothing more was left until its deadline: it is answered at
// once.
func TestExpiredRequestIsAnsweredAtOnce(t *testing.T) {
	for _, stop := range []Stop{StopNever, StopDiscard, StopFreeze} {
		for _, phase := range []string{"held", "running", "at call", "calling", "copying"} {
			h := newHarness(t, func(s *Settings) {
				s.Cores, s.Stop, s.CallShare = 1, stop, 40
				s.Classes[0].Timeout, s.ReuseFor, s.Classes[0].SkipWorth = 9_000_000, 1000, 0
			})
			e := arrival(1, 0)
			switch phase {
			case "held":
				h.w.limit = 1
				h.w.setMeanWork(0, 1)
				h.step(1000, arrival(9, 2))
				h.step(1000, e)
			case "copying":
				e.DuplicateOf = 9
				h.step(1000, arrival(9, 0))
				h.want(h.step(1000, e), Reuse, 1, true)
			default:
				h.step(1000, e)
			}
			if phase == "at call" || phase == "calling" {
				if phase == "at call" {
					h.w.nextFirstCall = 1 << 60
				}
				h.step(2000, Event{Kind: NeedsCall, ID: 1})
			}
			acts := h.step(2_001_001, Event{Kind: Timer}) // its target time has passed, late answers earn nothing
			ended := hasAction(acts, Refuse, 1) || hasAction(acts, Fail, 1)
			if want := phase != "running" || stop != StopNever; ended != want {
				t.Errorf("stop %d, %s: answered %v, want %v: %+v", stop, phase, ended, want, acts)
			}
		}
	}
}

// In a retry storm each try on a new connection was read at a cost; a full connection table rejects it
// unread.
func TestIdleTimeoutNotShortenedInRetryStorm(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Callers, s.IdleAfter = 1000, 30_000_000 })
	idle := func(now int64) (after int64) {
		for _, a := range h.step(now, Event{Kind: Timer}) {
			if a.Kind == SetIdleTimeout {
				after = a.After
			}
		}
		return after
	}
	h.step(1000, arrival(1, 0))
	h.w.readDelay, h.w.refusalRate = 1_500_000, 0.9
	if got := idle(1_000_000); got != 30_000_000 {
		t.Errorf("in a retry storm the idle timeout is %d us", got)
	}
	h.w.readDelay, h.w.refusalRate = 0, 0.2
	if got := idle(2_000_000); got != shortIdleTimeoutUS {
		t.Errorf("after a retry storm the idle timeout is %d us", got)
	}
}

// Only completed, short runs counted in the mean work: those halted at their soft deadline looked quick again
// and again.
func TestStoppedRunsCountInMeanWork(t *testing.T) {
	h := newHarness(t, nil)
	h.w.setMeanWork(0, 200_000)
	h.w.classes[0].runs = 100
	h.step(1000, arrival(1, 0))
	h.step(2_001_001, Event{Kind: Timer}) // halted and answered at its soft deadline
	h.step(2_002_000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
	if h.w.classes[0].meanWork <= 210_000 {
		t.Errorf("the mean work stays at %v after a run halted at 2000000 us", h.w.classes[0].meanWork)
	}
}

// A class that must run once and has no key: no second run, and no refusal once it has started.
func TestOnceIsNeverRunAgain(t *testing.T) {
	for _, stop := range []Stop{StopNever, StopDiscard, StopFreeze} {
		h := newHarness(t, func(s *Settings) { s.Stop = stop })
		h.want(h.step(1000, arrival(1, 2)), Run, 1, true)
		if stop == StopDiscard { // its work was lost
			acts := h.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
			h.want(acts, Run, 1, false)
			h.want(acts, Refuse, 1, false)
			h.want(acts, Fail, 1, true)
			continue
		}
		if stop == StopFreeze { // a pause keeps its work: resuming it is no second run
			h.want(h.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled}), Run, 1, true)
		}
		h.want(h.step(3000, Event{Kind: Drain, Deadline: 1_000_000}), Refuse, 1, false)
		acts := h.step(700_000, Event{Kind: Timer})
		h.want(acts, Refuse, 1, false)
		h.want(acts, Halt, 1, false)
		h.want(acts, Fail, 1, true)
		h.want(h.step(701_000, Event{Kind: Done, ID: 1, Outcome: Failed}), Run, 1, false)
	}
	for outcome, repeated := range map[Outcome]bool{Rejected: true, Unreachable: true, TimedOut: false, Reset: false, Failed: false} {
		h := newHarness(t, nil) // a call that may have taken effect is not repeated
		h.step(1000, arrival(1, 2))
		h.step(10_000, Event{Kind: NeedsCall, ID: 1})
		acts := h.step(20_000, Event{Kind: CallDone, ID: 1, Outcome: outcome})
		h.want(acts, Call, 1, repeated)
		h.want(acts, Refuse, 1, false)
	}
	h := newHarness(t, func(s *Settings) { s.MemoryKB = 30 }) // full: never started, so it may be refused
	h.step(1000, arrival(1, 2), arrival(2, 2), arrival(3, 2))
	for id := RequestID(1); id <= 3; id++ {
		if r := h.w.find(id); r != nil && r.answered && r.ran {
			t.Errorf("%d ran and was refused", id)
		}
	}
}

// Paused work keeps the memory of a running request until it is answered.
func TestPausedWorkCountsAgainstTheMemory(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Stop = StopFreeze })
	h.step(1000, arrival(1, 0), arrival(2, 0))
	h.w.limit = 0
	h.step(2000, Event{Kind: Done, ID: 1, Outcome: Cancelled})
	if h.w.recount(); h.w.find(1).phase != paused || h.w.memoryKB != 160 {
		t.Fatalf("phase %d, memory %v, want paused and 160", h.w.find(1).phase, h.w.memoryKB)
	}
	h.w.limit = 0
	acts := h.step(2_001_001, Event{Kind: Timer})
	h.want(acts, Refuse, 1, true)
	h.step(2_002_000, Event{Kind: Done, ID: 2, Outcome: Cancelled})
	if h.w.recount(); h.w.memoryKB != 0 {
		t.Errorf("%v kB left behind", h.w.memoryKB)
	}
}

// Many calls that return at once must not bring more runs onto the cores than a warm or cold worker survives.
func TestCallsReturningTogetherStayWithinSafeRuns(t *testing.T) {
	for cold, maxRuns := range map[bool]float64{false: 2 * 5, true: 2 * (1 + 4*0.32)} {
		h := newHarness(t, func(s *Settings) {
			s.JustStarted, s.ColdSpeed, s.MaxRunsPerCore, s.CallShare, s.MemoryKB = cold, 0.32, 5, 400, 1e6
		})
		h.w.limit = 100
		var returns []Event
		for id := RequestID(1); id <= 60; id++ {
			for _, a := range h.step(1000+int64(id), arrival(id, 0)) {
				if a.Kind != Run {
					continue
				}
				for _, c := range h.step(1000+int64(id), Event{Kind: NeedsCall, ID: a.ID}) {
					if c.Kind == Call {
						returns = append(returns, Event{Kind: CallDone, ID: c.ID, Outcome: OK})
					}
				}
			}
		}
		h.step(2000, returns...)
		if h.w.recount(); float64(h.w.onCore) > maxRuns || h.w.onCore == 0 {
			t.Errorf("cold %v: %d runs on the cores at once, at most %v are safe", cold, h.w.onCore, maxRuns)
		}
	}
}

// A dependency of all servers failed half of their runs, and half of the fleet left the registry's list at
// once.
func TestHalfOfRunsFailingKeepsHealthGood(t *testing.T) {
	for of, healthy := range map[int]bool{2: true, 1: false} { // every second run fails, or all
		h := newHarness(t, nil)
		for id := RequestID(1); id < 120; id++ {
			now := int64(id) * 400_000
			h.step(now, arrival(id, 0))
			outcome := OK
			if int(id)%of == 0 {
				outcome = Failed
			}
			h.step(now+50_000, Event{Kind: Done, ID: id, Outcome: outcome})
		}
		if h.w.healthy != healthy {
			t.Errorf("one in %d fails: healthy %v, failing %.2f", of, h.w.healthy, h.w.failureRate)
		}
	}
}

// A pause of 0.6 s just before the stop must not delay the last answers past it.
func TestDrainToleratesPauseBeforeStop(t *testing.T) {
	h := newHarness(t, nil)
	h.step(1000, arrival(1, 0), arrival(2, 1), arrival(3, 0), Event{Kind: Drain, Deadline: 1_600_000})
	acts := h.step(1_600_000-640_000, Event{Kind: Timer})
	for id := RequestID(1); id <= 3; id++ {
		if !hasAction(acts, Refuse, id) && !hasAction(acts, Fail, id) {
			t.Errorf("%d is not answered 0.64 s before the stop", id)
		}
	}
}

// After a handover the predecessor stays healthy and serves what arrives, until shortly before it is stopped.
func TestHandoverIsNoDrain(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		s.Downstream, s.Classes[0].CallsDownstream, s.Classes[0].SkipWorth = DownstreamNone, false, 0
	})
	h.step(0)
	acts := h.step(1000, Event{Kind: Handover, Deadline: 6_000_000})
	for _, a := range acts {
		if a.Kind == Health && !a.On {
			t.Fatal("health is bad after a handover")
		}
	}
	late := arrival(1, 0)
	h.want(h.step(3_500_000, late), Run, 1, true) // long past the grace of a drain
	h.want(h.step(5_200_000, arrival(2, 0)), Refuse, 2, true)
	h.step(5_200_000, Event{Kind: Drain, Deadline: 20_000_000})
	h.want(h.step(8_000_000, arrival(3, 0)), Refuse, 3, true)
}

// Runs and memory of the peer count as this worker's own, but not as a stall of it.
func TestPeerRunsCount(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		s.Downstream, s.Classes[0].CallsDownstream, s.Classes[0].SkipWorth = DownstreamNone, false, 0
	})
	h.step(0)
	h.want(h.step(1000, Event{Kind: PeerLoad, Runs: 2, SizeKB: 100}, arrival(1, 0)), Run, 1, false)
	h.want(h.step(2000, Event{Kind: PeerLoad}), Run, 1, true)
	h.step(3000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 1000})
	h.step(4000, Event{Kind: PeerLoad, SizeKB: 10_000})
	h.want(h.step(5000, arrival(2, 0)), Refuse, 2, true) // the peer uses all memory
	h.step(6000, Event{Kind: PeerLoad, Runs: 2})
	for now := int64(10_000); now < 60_000_000; now += 10_000 {
		for _, a := range h.step(now) {
			if a.Kind == Health && !a.On {
				t.Fatal("runs of the peer count as a stall")
			}
		}
	}
}

// New settings may add classes and tenants, not remove any; open requests and learned values survive.
func TestReconfigure(t *testing.T) {
	h := newHarness(t, nil)
	h.step(0)
	open := h.step(1000, arrival(1, 1))
	h.want(open, Run, 1, true)
	next := testSettings()
	next.Classes = append(next.Classes, Class{Effect: Repeatable, TargetTime: 1_000_000, Timeout: 2_000_000, Worth: 1})
	next.Tenants = []Tenant{{Quota: 5}, {Quota: 7}}
	if err := h.w.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	late := arrival(2, 3)
	late.Tenant = 1
	h.want(h.step(2000, late), Run, 2, true)
	h.step(3000, Event{Kind: Done, ID: 1, Outcome: OK, Elapsed: 2000}, Event{Kind: Done, ID: 2, Outcome: OK, Elapsed: 1000})
	if h.w.classes[1].runs != 1 || h.w.classes[3].runs != 1 || h.w.inProgress != 0 {
		t.Errorf("open requests were lost: %v, %d in progress", h.w.classes, h.w.inProgress)
	}
	before := h.w.cfg.Classes
	for what, s := range map[string]Settings{"fewer classes": testSettings(), "no classes": {Cores: 1, MemoryKB: 1}} {
		if err := h.w.Reconfigure(s); err == nil || !reflect.DeepEqual(h.w.cfg.Classes, before) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

// The ceilings of pools hold: guaranteed slots go before worth, the maximum is not exceeded, reserved slots
// lie beyond the limit, and the queue is bounded.
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
	costly, cheap := []int{0, 0, 1, 1, 1}, []int{1, 1}
	for name, c := range map[string]struct {
		ceil          *Ceilings
		runs, refused []int
	}{
		"none":             {nil, cheap, nil},
		"no bounds":        {with(func(a, b *Ceiling, c *Ceilings) {}), cheap, nil},
		"guaranteed slots": {with(func(a, b *Ceiling, c *Ceilings) { a.GuaranteedRuns = 1 }), []int{0, 1}, nil},
		"most":             {with(func(a, b *Ceiling, c *Ceilings) { b.MaxRuns = 1 }), []int{1, 0}, nil},
		"spare":            {with(func(a, b *Ceiling, c *Ceilings) { a.ReservedRuns = 1 }), []int{0, 1}, nil},
		"cheap": {with(func(a, b *Ceiling, c *Ceilings) {
			c.CheapestClass, c.CheapestReserved, a.GuaranteedRuns, b.GuaranteedRuns = 0, 1, 1, 2
		}), []int{1, 1, 0}, nil},
		"places":  {with(func(a, b *Ceiling, c *Ceilings) { c.MaxRuns = 1 }), []int{1}, nil},
		"waiting": {with(func(a, b *Ceiling, c *Ceilings) { b.MaxQueued = 2 }), cheap, []int{1}},
		"memory":  {with(func(a, b *Ceiling, c *Ceilings) { a.MaxKB = 15 }), cheap, []int{0}},
	} {
		if runs, refused := play(c.ceil, costly...); !slices.Equal(runs, c.runs) || !slices.Equal(refused, c.refused) {
			t.Errorf("%s: runs %v, refuses %v; want %v, %v", name, runs, refused, c.runs, c.refused)
		}
	}
}

// A class with preparation starts only requests that are ready: at most as many are prepared at once as there
// are cores, no slot waits for them, and each is prepared once.
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
		t.Errorf("with one disconnected: prepares %v, runs %v", prepare, run)
	}
}
