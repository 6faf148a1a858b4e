package fleet

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"

	"kiteslip"
	"kiteslip/internal/pool"
	"kiteslip/internal/standin/box"
)

// Scenario is a scenario file.
type Scenario struct {
	Name     string  `toml:"name"`
	Seconds  float64 `toml:"seconds"`
	Warmup   float64 `toml:"warmup_s"` // what comes before is not counted
	Load     float64 `toml:"load"`     // of what all cores can do
	Skew     float64 `toml:"subject_skew"`
	Subjects uint64  `toml:"subjects"`
	Poison   float64 `toml:"subject_poison"` // work for the most popular subject, over the usual
	Delay    float64 `toml:"delay_ms"`
	Fleet    struct {
		Boxes   int     `toml:"boxes"`
		Cores   int     `toml:"cores"`
		Speed   float64 `toml:"speed"`
		Spread  float64 `toml:"spread"`
		Knee    float64 `toml:"knee"`    // runs a core beyond which throughput is lost
		Loss    float64 `toml:"loss"`    // part lost for each run a core beyond it
		Backend string  `toml:"backend"` // of live days: engine or uwsgi
		Falls   float64 `toml:"falls"`   // runs a core, in the mean of 1.5 s, at which a box falls over; 0 = never
	} `toml:"fleet"`
	Untold   bool          `toml:"untold"` // callers do not say how long they wait
	Marks    bool          `toml:"marks_retries"`
	Ledger   *ledgerFile   `toml:"ledger"`
	Server   Server        `toml:"server"`
	Classes  []classFile   `toml:"class"`
	Teams    []teamFile    `toml:"team"`
	Callers  []callerFile  `toml:"caller"`
	Shape    []pointFile   `toml:"shape"`
	Failures []failureFile `toml:"failure"`
}

// Server is the settings under test: those of the program on each box.
type Server struct {
	MemoryMB     float64    `toml:"memory_mb"`
	RunFactor    float64    `toml:"run_factor"`
	MaxRetryMS   float64    `toml:"max_retry_after_ms"`
	Crowd        float64    `toml:"crowd"` // runs a core that a box survives; 0 = not told
	CheapReserve float64    `toml:"cheap_reserve"`
	StopRuns     string     `toml:"stop_runs"` // never, discard or freeze
	Pools        []poolFile `toml:"pool"`
}

type classFile struct {
	Name      string     `toml:"name"`
	Effect    string     `toml:"effect"`
	Part      float64    `toml:"part"`
	WorkMS    [2]float64 `toml:"work_ms"`
	AimMS     float64    `toml:"aim_ms"`
	LimitMS   float64    `toml:"deadline_ms"`
	WindowMS  float64    `toml:"window_ms"`
	Worth     float64    `toml:"worth"`
	LateWorth float64    `toml:"late_worth"`
	Calls     bool       `toml:"calls"`
	SkipWorth float64    `toml:"skip_worth"`
}

type ledgerFile struct {
	Places int        `toml:"places"`
	MS     [2]float64 `toml:"ms"`
	Turns  float64    `toml:"turns_away"`
	Loses  float64    `toml:"never_answers"`
}

type teamFile struct {
	Name  string  `toml:"name"`
	Part  float64 `toml:"part"`
	Quota float64 `toml:"requests_per_s"`
}

type callerFile struct {
	Weight float64 `toml:"weight"`
	Choose string  `toml:"choose"`
	Tries  int     `toml:"tries"`
	Hasty  float64 `toml:"hasty_ms"`
	Heeds  bool    `toml:"heeds"`
}

type pointFile struct {
	At   float64 `toml:"at_s"`
	Rate float64 `toml:"rate"`
}

type failureFile struct {
	Kind   string  `toml:"kind"`
	At     float64 `toml:"at_s"`
	For    float64 `toml:"for_s"`
	Share  float64 `toml:"share"`
	First  int     `toml:"first"`
	Factor float64 `toml:"factor"`
	Warm   float64 `toml:"warm_s"`
}

type poolFile struct {
	Name    string   `toml:"name"`
	Classes []string `toml:"classes"`
	Share   float64  `toml:"share"`
	Most    float64  `toml:"most"`
	Reserve float64  `toml:"reserve"`
}

var (
	effects  = map[string]kiteslip.Effect{"repeatable": kiteslip.Repeatable, "keyed": kiteslip.Keyed}
	choices  = map[string]Choice{"": Turn, "turn": Turn, "two": Two, "subject": Subject}
	failures = map[string]FailureKind{"die": Die, "slow": Slow, "pause": Pause, "deploy": Deploy, "ledger_down": Down}
	stops    = map[string]kiteslip.Stop{"": kiteslip.StopNever, "never": kiteslip.StopNever, "discard": kiteslip.StopDiscard, "freeze": kiteslip.StopFreeze}
)

// Load reads a scenario file.
func Load(path string) (Day, string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Day{}, "", fmt.Errorf("scenario: %w", err)
	}
	day, name, err := Parse(string(text))
	if err != nil {
		return Day{}, "", fmt.Errorf("scenario %s: %w", path, err)
	}
	return day, name, nil
}

// Parse reads a scenario; its error names every faulty key.
func Parse(text string) (Day, string, error) {
	var s Scenario
	meta, err := toml.Decode(text, &s)
	if err != nil {
		return Day{}, "", err
	}
	var errs []error
	fail := func(key, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s %s", key, fmt.Sprintf(format, args...)))
	}
	for _, key := range meta.Undecoded() {
		fail(key.String(), "is not known")
	}
	if s.Name == "" {
		fail("name", "is absent")
	}
	day := s.day(fail)
	if len(errs) == 0 {
		if err := day.check(); err != nil {
			errs = append(errs, err)
		}
		if _, err := kiteslip.New(day.Policy, 0); err != nil {
			errs = append(errs, err)
		}
		if day.Pools != nil {
			if err := day.Pools.Check(); err != nil {
				errs = append(errs, err)
			}
		}
	}
	return day, s.Name, errors.Join(errs...)
}

func us(ms float64) int64 { return int64(ms * 1000) }
func sec(s float64) int64 { return int64(s * Second) }

// day puts the scenario in the form that is played.
func (s *Scenario) day(fail func(key, format string, args ...any)) Day {
	or := func(v, otherwise float64) float64 {
		if v == 0 {
			return otherwise
		}
		return v
	}
	day := Day{Boxes: s.Fleet.Boxes, Spread: s.Fleet.Spread, Load: s.Load, Skew: s.Skew, Subjects: max(1, s.Subjects), Poison: s.Poison,
		Box:    box.Spec{Cores: s.Fleet.Cores, Speed: or(s.Fleet.Speed, 1), Knee: s.Fleet.Knee, Loss: s.Fleet.Loss, Falls: s.Fleet.Falls},
		Length: sec(s.Seconds), From: sec(s.Warmup), Delay: us(or(s.Delay, 1))}
	switch s.Fleet.Backend {
	case "", "engine":
	case "uwsgi":
		day.UWSGI = true
	default:
		fail("fleet.backend", "is %q, want engine or uwsgi", s.Fleet.Backend)
	}
	day.Policy = kiteslip.Settings{Cores: s.Fleet.Cores, MemoryKB: or(s.Server.MemoryMB, 256) * 1024, RunFactor: or(s.Server.RunFactor, 4),
		KeyKB: 8, MaxRetryAfter: us(or(s.Server.MaxRetryMS, 1000)), OverShareWorth: 0.05, WorthByWork: true, Tick: 4_000,
		DrainGrace: 2_000_000, AnswerSlack: 60_000, MaxRunsPerCore: s.Server.Crowd, MaxRunsWindow: 1_500_000,
		Goal: kiteslip.Goal{Whole: 0.5, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.2}}
	s.below(&day, fail)
	places := map[string]int{}
	for i, c := range s.Classes {
		key := fmt.Sprintf("class[%d]", i)
		effect, ok := effects[c.Effect]
		if !ok {
			fail(key+".effect", "is %q, want repeatable or keyed", c.Effect)
		}
		if _, twice := places[c.Name]; c.Name == "" || twice {
			fail(key+".name", "is %q, want a name of its own", c.Name)
		}
		places[c.Name] = i
		if c.AimMS <= 0 || c.LimitMS < c.AimMS {
			fail(key+".aim_ms", "is %v, want above 0 and at most the deadline of %v", c.AimMS, c.LimitMS)
		}
		class := kiteslip.Class{Effect: effect, TargetTime: us(c.AimMS), Timeout: us(c.LimitMS), Window: us(c.WindowMS),
			Worth: or(c.Worth, 1), LateWorth: c.LateWorth, CallsDownstream: c.Calls, SkipWorth: c.SkipWorth}
		if c.Calls && s.Ledger == nil {
			fail(key+".calls", "is true, and there is no [ledger]")
		}
		day.Classes = append(day.Classes, Class{Class: class, Name: c.Name, Part: c.Part, Least: c.WorkMS[0] * 1000, Most: c.WorkMS[1] * 1000})
		day.Policy.Classes = append(day.Policy.Classes, class)
	}
	for _, t := range s.Teams {
		day.Teams = append(day.Teams, Team{t.Name, t.Part})
		day.Policy.Tenants = append(day.Policy.Tenants, kiteslip.Tenant{Quota: or(t.Quota, 1e9)})
	}
	for i, c := range s.Callers {
		choose, ok := choices[c.Choose]
		if !ok {
			fail(fmt.Sprintf("caller[%d].choose", i), "is %q, want turn, two or subject", c.Choose)
		}
		day.Callers = append(day.Callers, Caller{Weight: or(c.Weight, 1), Choose: choose, Tries: max(1, c.Tries), Hasty: us(c.Hasty), Heeds: c.Heeds})
	}
	for _, p := range s.Shape {
		day.Shape = append(day.Shape, Point{sec(p.At), p.Rate})
	}
	for i, f := range s.Failures {
		kind, ok := failures[f.Kind]
		if !ok {
			fail(fmt.Sprintf("failure[%d].kind", i), "is %q, want die, slow, pause, deploy or ledger_down", f.Kind)
		}
		day.Failures = append(day.Failures, Failure{Kind: kind, At: sec(f.At), For: sec(f.For), Share: f.Share, First: f.First,
			Factor: or(f.Factor, 1), Warm: sec(f.Warm)})
	}
	s.pools(&day, places, fail)
	return day
}

func (s *Scenario) pools(day *Day, places map[string]int, fail func(key, format string, args ...any)) {
	if len(s.Server.Pools) == 0 {
		return
	}
	day.Pools = pool.SettingsFor(&day.Policy)
	day.Pools.CheapReserve = s.Server.CheapReserve
	for i, p := range s.Server.Pools {
		spec := pool.Spec{Name: p.Name, Share: p.Share, MaxShare: p.Most, Reserve: p.Reserve}
		for _, name := range p.Classes {
			at, known := places[name]
			if !known {
				fail(fmt.Sprintf("server.pool[%d].classes", i), "has %q, which is no class", name)
				continue
			}
			spec.Classes = append(spec.Classes, at)
		}
		day.Pools.Pools = append(day.Pools.Pools, spec)
	}
}

// below enters what the boxes call, and how their runs are stopped.
func (s *Scenario) below(day *Day, fail func(key, format string, args ...any)) {
	stop, known := stops[s.Server.StopRuns]
	if !known {
		fail("server.stop_runs", "is %q, want never, discard or freeze", s.Server.StopRuns)
	}
	day.Untold, day.Policy.MarksRetries, day.Policy.Stop = s.Untold, s.Marks, stop
	l := s.Ledger
	if l == nil {
		return
	}
	if l.Places < 1 || l.Places > 1<<20 {
		fail("ledger.places", "is %d, want 1 at least", l.Places)
	}
	if !(l.MS[0] > 0) || l.MS[1] < l.MS[0] {
		fail("ledger.ms", "is %v, want the least and the most, above 0", l.MS)
	}
	if l.Turns < 0 || l.Turns+l.Loses > 1 || l.Loses < 0 {
		fail("ledger.turns_away", "is %v and never_answers %v, want shares", l.Turns, l.Loses)
	}
	day.Below = &Below{Places: max(1, l.Places), Least: us(l.MS[0]), Most: us(l.MS[1]), Turns: l.Turns, Loses: l.Loses}
	day.Policy.Downstream, day.Policy.CallShareWindow, day.Policy.MaxCallLinger = kiteslip.DownstreamTier, 5*Second, 200_000
}
