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

// The files that the deploy file lists under policy are all the policy files, and their lines are short.
func TestModuleSize(t *testing.T) {
	var deploy struct{ Policy []string }
	if _, err := toml.DecodeFile("deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	named := map[string]bool{}
	for _, file := range deploy.Policy {
		named[file] = true
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			if len([]rune(strings.TrimRight(line, "\n"))) > 110 {
				t.Errorf("%s has a line over 110 characters: %s", file, line)
			}
		}
	}
	files, err := filepath.Glob("policy*.go")
	if err != nil {
		t.Fatal(err)
	}
	files = slices.DeleteFunc(files, func(file string) bool { return strings.HasSuffix(file, "_test.go") })
	if len(files) != len(named) {
		t.Errorf("%v, of which the deploy file names %v", files, deploy.Policy)
	}
	for _, file := range files {
		if !named[file] {
			t.Errorf("the deploy file does not name %s", file)
		}
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
