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

// Scenario is the content of a scenario file. Day has the meaning of its values.
type Scenario struct {
	Name             string  `toml:"name"`
	Seconds          float64 `toml:"seconds"`
	WarmupS          float64 `toml:"warmup_s"` // requests that begin before are not counted
	Load             float64 `toml:"load"`     // mean offered work, as a share of the capacity of all cores
	SubjectSkew      float64 `toml:"subject_skew"`
	Subjects         uint64  `toml:"subjects"`
	TopSubjectFactor float64 `toml:"subject_poison"` // multiplies the work for the most popular subject
	DelayMS          float64 `toml:"delay_ms"`
	Fleet            struct {
		Boxes          int     `toml:"boxes"`
		Cores          int     `toml:"cores"`
		Speed          float64 `toml:"speed"`
		Spread         float64 `toml:"spread"`
		Knee           float64 `toml:"knee"`    // runs per core beyond which throughput is lost
		Loss           float64 `toml:"loss"`    // share lost for each run per core beyond the knee
		Backend        string  `toml:"backend"` // live days: engine or uwsgi
		MaxRunsPerCore float64 `toml:"falls"`   // runs per core, in the mean of 1.5 s, beyond which a box crashes; 0 = never
	} `toml:"fleet"`
	TimeoutsNotSent bool            `toml:"untold"` // requests carry no deadline
	MarksRetries    bool            `toml:"marks_retries"`
	Ledger          *ledgerFile     `toml:"ledger"`
	Server          Server          `toml:"server"`
	Classes         []classFile     `toml:"class"`
	Teams           []teamFile      `toml:"team"`
	Callers         []callerFile    `toml:"caller"`
	Shape           []ratePointFile `toml:"shape"`
	Failures        []failureFile   `toml:"failure"`
}

// Server is the part of a scenario with the settings of the server on each box.
type Server struct {
	MemoryMB        float64    `toml:"memory_mb"`
	RunFactor       float64    `toml:"run_factor"`
	MaxRetryAfterMS float64    `toml:"max_retry_after_ms"`
	MaxRunsPerCore  float64    `toml:"crowd"` // runs per core that a box bears; 0 = not known to the server
	CheapReserve    float64    `toml:"cheap_reserve"`
	StopRuns        string     `toml:"stop_runs"` // never, discard or freeze
	Pools           []poolFile `toml:"pool"`
}

// classFile is a class in a scenario file.
type classFile struct {
	Name            string     `toml:"name"`
	Effect          string     `toml:"effect"`
	TrafficShare    float64    `toml:"part"`
	WorkMS          [2]float64 `toml:"work_ms"`
	TargetTimeMS    float64    `toml:"aim_ms"`
	TimeoutMS       float64    `toml:"deadline_ms"`
	WindowMS        float64    `toml:"window_ms"`
	Worth           float64    `toml:"worth"`
	LateWorth       float64    `toml:"late_worth"`
	CallsDownstream bool       `toml:"calls"`
	SkipWorth       float64    `toml:"skip_worth"`
}

// ledgerFile is the ledger in a scenario file.
type ledgerFile struct {
	Concurrency int        `toml:"places"`
	TimeMS      [2]float64 `toml:"ms"`
	RejectShare float64    `toml:"turns_away"`
	LossShare   float64    `toml:"never_answers"`
}

// teamFile is a team in a scenario file.
type teamFile struct {
	Name         string  `toml:"name"`
	TrafficShare float64 `toml:"part"`
	Quota        float64 `toml:"requests_per_s"`
}

// callerFile is a caller in a scenario file.
type callerFile struct {
	Weight        float64 `toml:"weight"`
	Balancing     string  `toml:"choose"`
	MaxTries      int     `toml:"tries"`
	HedgeDelayMS  float64 `toml:"hasty_ms"`
	FollowsAdvice bool    `toml:"heeds"`
}

// ratePointFile is a point of the arrival rate in a scenario file.
type ratePointFile struct {
	AtS  float64 `toml:"at_s"`
	Rate float64 `toml:"rate"`
}

// failureFile is a failure in a scenario file.
type failureFile struct {
	Kind        string  `toml:"kind"`
	AtS         float64 `toml:"at_s"`
	DurationS   float64 `toml:"for_s"`
	BoxShare    float64 `toml:"share"`
	FirstBox    int     `toml:"first"`
	SpeedFactor float64 `toml:"factor"`
	WarmupS     float64 `toml:"warm_s"`
}

// poolFile is a pool of classes in a scenario file.
type poolFile struct {
	Name     string   `toml:"name"`
	Classes  []string `toml:"classes"`
	Share    float64  `toml:"share"`
	MaxShare float64  `toml:"most"`
	Reserve  float64  `toml:"reserve"`
}

// The words of scenario files for the values of enumerations.
var (
	effects      = map[string]kiteslip.Effect{"repeatable": kiteslip.Repeatable, "keyed": kiteslip.Keyed}
	balancings   = map[string]Balancing{"": RoundRobin, "turn": RoundRobin, "two": LeastOpen, "subject": BySubject}
	failureKinds = map[string]FailureKind{"die": Die, "slow": Slow, "pause": Pause, "deploy": Deploy, "ledger_down": LedgerDown}
	stopModes    = map[string]kiteslip.Stop{"": kiteslip.StopNever, "never": kiteslip.StopNever, "discard": kiteslip.StopDiscard, "freeze": kiteslip.StopFreeze}
)

// Load reads a scenario file and returns its day and its name.
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

// Parse reads a scenario from text and returns its day and its name. The error
// names every key with an invalid value.
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
	day := s.toDay(fail)
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

// msToUS converts milliseconds to microseconds.
func msToUS(ms float64) int64 { return int64(ms * 1000) }

// secondsToUS converts seconds to microseconds.
func secondsToUS(s float64) int64 { return int64(s * Second) }

// toDay converts the scenario to a day and reports invalid values to fail.
func (s *Scenario) toDay(fail func(key, format string, args ...any)) Day {
	orDefault := func(v, defaultValue float64) float64 {
		if v == 0 {
			return defaultValue
		}
		return v
	}
	day := Day{Boxes: s.Fleet.Boxes, SpeedSpread: s.Fleet.Spread, Load: s.Load, SubjectSkew: s.SubjectSkew, Subjects: max(1, s.Subjects), TopSubjectFactor: s.TopSubjectFactor,
		Box:    box.Spec{Cores: s.Fleet.Cores, Speed: orDefault(s.Fleet.Speed, 1), Knee: s.Fleet.Knee, Loss: s.Fleet.Loss, MaxRunsPerCore: s.Fleet.MaxRunsPerCore},
		Length: secondsToUS(s.Seconds), Warmup: secondsToUS(s.WarmupS), NetworkDelay: msToUS(orDefault(s.DelayMS, 1))}
	switch s.Fleet.Backend {
	case "", "engine":
	case "uwsgi":
		day.UWSGI = true
	default:
		fail("fleet.backend", "is %q, want engine or uwsgi", s.Fleet.Backend)
	}
	day.Policy = kiteslip.Settings{Cores: s.Fleet.Cores, MemoryKB: orDefault(s.Server.MemoryMB, 256) * 1024, RunFactor: orDefault(s.Server.RunFactor, 4),
		KeyKB: 8, MaxRetryAfter: msToUS(orDefault(s.Server.MaxRetryAfterMS, 1000)), OverShareWorth: 0.05, WorthByWork: true, Tick: 4_000,
		DrainGrace: 2_000_000, AnswerSlack: 60_000, MaxRunsPerCore: s.Server.MaxRunsPerCore, MaxRunsWindow: 1_500_000,
		Goal: kiteslip.Goal{Whole: 0.5, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.2}}
	s.setLedger(&day, fail)
	classIndex := map[string]int{}
	for i, c := range s.Classes {
		key := fmt.Sprintf("class[%d]", i)
		effect, ok := effects[c.Effect]
		if !ok {
			fail(key+".effect", "is %q, want repeatable or keyed", c.Effect)
		}
		if _, duplicate := classIndex[c.Name]; c.Name == "" || duplicate {
			fail(key+".name", "is %q, want a name of its own", c.Name)
		}
		classIndex[c.Name] = i
		if c.TargetTimeMS <= 0 || c.TimeoutMS < c.TargetTimeMS {
			fail(key+".aim_ms", "is %v, want above 0 and at most the deadline of %v", c.TargetTimeMS, c.TimeoutMS)
		}
		class := kiteslip.Class{Effect: effect, TargetTime: msToUS(c.TargetTimeMS), Timeout: msToUS(c.TimeoutMS), Window: msToUS(c.WindowMS),
			Worth: orDefault(c.Worth, 1), LateWorth: c.LateWorth, CallsDownstream: c.CallsDownstream, SkipWorth: c.SkipWorth}
		if c.CallsDownstream && s.Ledger == nil {
			fail(key+".calls", "is true, and there is no [ledger]")
		}
		day.Classes = append(day.Classes, Class{Class: class, Name: c.Name, TrafficShare: c.TrafficShare, MinWork: c.WorkMS[0] * 1000, MaxWork: c.WorkMS[1] * 1000})
		day.Policy.Classes = append(day.Policy.Classes, class)
	}
	for _, t := range s.Teams {
		day.Teams = append(day.Teams, Team{t.Name, t.TrafficShare})
		day.Policy.Tenants = append(day.Policy.Tenants, kiteslip.Tenant{Quota: orDefault(t.Quota, 1e9)})
	}
	for i, c := range s.Callers {
		choose, ok := balancings[c.Balancing]
		if !ok {
			fail(fmt.Sprintf("caller[%d].choose", i), "is %q, want turn, two or subject", c.Balancing)
		}
		day.Callers = append(day.Callers, Caller{Weight: orDefault(c.Weight, 1), Balancing: choose, MaxTries: max(1, c.MaxTries), HedgeDelay: msToUS(c.HedgeDelayMS), FollowsAdvice: c.FollowsAdvice})
	}
	for _, p := range s.Shape {
		day.RateCurve = append(day.RateCurve, RatePoint{secondsToUS(p.AtS), p.Rate})
	}
	for i, f := range s.Failures {
		kind, ok := failureKinds[f.Kind]
		if !ok {
			fail(fmt.Sprintf("failure[%d].kind", i), "is %q, want die, slow, pause, deploy or ledger_down", f.Kind)
		}
		day.Failures = append(day.Failures, Failure{Kind: kind, At: secondsToUS(f.AtS), Duration: secondsToUS(f.DurationS), BoxShare: f.BoxShare, FirstBox: f.FirstBox,
			SpeedFactor: orDefault(f.SpeedFactor, 1), WarmupTime: secondsToUS(f.WarmupS)})
	}
	s.setPools(&day, classIndex, fail)
	return day
}

// setPools enters the pools; classIndex has the index of each class by name.
func (s *Scenario) setPools(day *Day, classIndex map[string]int, fail func(key, format string, args ...any)) {
	if len(s.Server.Pools) == 0 {
		return
	}
	day.Pools = pool.SettingsFor(&day.Policy)
	day.Pools.CheapReserve = s.Server.CheapReserve
	for i, p := range s.Server.Pools {
		spec := pool.Spec{Name: p.Name, Share: p.Share, MaxShare: p.MaxShare, Reserve: p.Reserve}
		for _, name := range p.Classes {
			at, known := classIndex[name]
			if !known {
				fail(fmt.Sprintf("server.pool[%d].classes", i), "has %q, which is no class", name)
				continue
			}
			spec.Classes = append(spec.Classes, at)
		}
		day.Pools.Pools = append(day.Pools.Pools, spec)
	}
}

// setLedger enters the ledger, how runs are halted, and what requests carry.
func (s *Scenario) setLedger(day *Day, fail func(key, format string, args ...any)) {
	stop, known := stopModes[s.Server.StopRuns]
	if !known {
		fail("server.stop_runs", "is %q, want never, discard or freeze", s.Server.StopRuns)
	}
	day.TimeoutsNotSent, day.Policy.MarksRetries, day.Policy.Stop = s.TimeoutsNotSent, s.MarksRetries, stop
	l := s.Ledger
	if l == nil {
		return
	}
	if l.Concurrency < 1 || l.Concurrency > 1<<20 {
		fail("ledger.places", "is %d, want 1 at least", l.Concurrency)
	}
	if !(l.TimeMS[0] > 0) || l.TimeMS[1] < l.TimeMS[0] {
		fail("ledger.ms", "is %v, want the least and the most, above 0", l.TimeMS)
	}
	if l.RejectShare < 0 || l.RejectShare+l.LossShare > 1 || l.LossShare < 0 {
		fail("ledger.turns_away", "is %v and never_answers %v, want shares", l.RejectShare, l.LossShare)
	}
	day.Ledger = &LedgerSpec{Concurrency: max(1, l.Concurrency), MinTime: msToUS(l.TimeMS[0]), MaxTime: msToUS(l.TimeMS[1]), RejectShare: l.RejectShare, LossShare: l.LossShare}
	day.Policy.Downstream, day.Policy.CallShareWindow, day.Policy.MaxCallLinger = kiteslip.DownstreamTier, 5*Second, 200_000
}
