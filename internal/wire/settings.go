package wire

import (
	"encoding/json"
	"fmt"

	"kiteslip"
)

// rawSettings mirrors the settings object of the wire; unknown keys are ignored.
type rawSettings struct {
	Ceilings struct {
		MaxRetryAfter int64 `json:"max_retry_after_us"`
		RetryAfter    bool  `json:"retry_after"`
	} `json:"ceilings"`
	Classes []struct {
		Effect    string  `json:"effect"`
		HardLimit int64   `json:"hard_limit_us"`
		LateWorth float64 `json:"late_worth"`
		OnTime    int64   `json:"on_time_us"`
		Window    int64   `json:"window_us"`
		Worth     float64 `json:"worth"`
	} `json:"classes"`
	Clients struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"clients"`
	Family struct {
		Below          string    `json:"below"`
		Blowup         float64   `json:"blowup"`
		Callers        int       `json:"callers"`
		CallsOver      int64     `json:"calls_over_us"`
		ClassCalls     []bool    `json:"class_calls"`
		ClassSkipWorth []float64 `json:"class_skip_worth"`
		Cores          int       `json:"cores"`
		DepShare       float64   `json:"dep_share"`
		Gauges         []string  `json:"gauges"`
		HeededFor      int64     `json:"heeded_us"`
		IdleAfter      int64     `json:"idle_us"`
		JustStarted    bool      `json:"just_started"`
		KeyKB          float64   `json:"key_kb"`
		Lingers        int64     `json:"lingers_us"`
		MemoryKB       float64   `json:"memory_kb"`
		Preemption     string    `json:"preemption"`
		Say            string    `json:"say"`
		ShareFor       int64     `json:"share_for_us"`
	} `json:"family_info"`
	Fees struct {
		LateFail float64 `json:"late_fail"`
		Waste    float64 `json:"waste"`
	} `json:"fees"`
	Goal struct {
		Whole       float64 `json:"whole"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
		WorstWindow float64 `json:"worst_window"`
	} `json:"goal"`
	GroupSize      int     `json:"group_size"`
	OverShareWorth float64 `json:"over_share_worth"`
	Rules          struct {
		AnswerSlack  int64   `json:"answer_slack_us"`
		ColdFrom     float64 `json:"cold_from"`
		DrainGrace   int64   `json:"drain_grace_us"`
		FallMultiple float64 `json:"fall_multiple"`
		FallOver     int64   `json:"fall_us"`
		WarmWithin   int64   `json:"warm_within_us"`
	} `json:"rules"`
	Stage   int `json:"stage"`
	Tenants []struct {
		Quota float64 `json:"quota_per_s"`
	} `json:"tenants"`
	Tick    int64  `json:"tick_us"`
	WorthBy string `json:"worth_by"`
}

// pick looks up a word of the settings; an absent or unknown word gives the zero value.
func pick[T any](words map[string]T, word string) T { return words[word] }

// The words of the settings for values of the policy.
var (
	effects = map[string]kiteslip.Effect{
		"repeatable": kiteslip.Repeatable, "by_key": kiteslip.Keyed, "once": kiteslip.Once,
	}
	downstreams = map[string]kiteslip.Downstream{"one_for_all": kiteslip.DownstreamShared, "tier": kiteslip.DownstreamTier}
	stopModes   = map[string]kiteslip.Stop{"discard": kiteslip.StopDiscard, "freeze": kiteslip.StopFreeze}
	loadSignals = map[string]kiteslip.LoadSignal{
		"floor": kiteslip.LoadSignalMinRank, "allowance": kiteslip.LoadSignalAllowance, "weight": kiteslip.LoadSignalWeight,
	}
)

// ParseSettings parses the settings of an enlist record. It also returns the names of
// the gauges in the order in which timer records have their values.
func ParseSettings(text []byte) (kiteslip.Settings, []string, error) {
	var raw rawSettings
	if err := json.Unmarshal(text, &raw); err != nil {
		return kiteslip.Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	f := &raw.Family
	s := kiteslip.Settings{
		Cores: f.Cores, MemoryKB: f.MemoryKB, RunFactor: f.Blowup, KeyKB: f.KeyKB,
		OverShareWorth: raw.OverShareWorth, WorthByWork: raw.WorthBy == "work",
		Goal: kiteslip.Goal{Whole: raw.Goal.Whole, WorstClass: raw.Goal.WorstClass,
			WorstTenant: raw.Goal.WorstTenant, WorstWindow: raw.Goal.WorstWindow},
		Workers: raw.GroupSize, Callers: f.Callers, Stage: raw.Stage, Tick: raw.Tick,
		Stop: pick(stopModes, f.Preemption), LoadSignal: pick(loadSignals, f.Say), LoadSignalTTL: f.HeededFor,
		ReuseFor: f.ShareFor, IdleAfter: f.IdleAfter, MarksRetries: raw.Clients.MarksRetry,
		Downstream: pick(downstreams, f.Below), CallShare: f.DepShare, CallShareWindow: f.CallsOver, MaxCallLinger: f.Lingers,
		JustStarted: f.JustStarted, ColdSpeed: raw.Rules.ColdFrom, WarmupTime: raw.Rules.WarmWithin,
		MaxRunsPerCore: raw.Rules.FallMultiple, MaxRunsWindow: raw.Rules.FallOver,
		DrainGrace: raw.Rules.DrainGrace, AnswerSlack: raw.Rules.AnswerSlack,
		WastePrice: raw.Fees.Waste, LateFailPrice: raw.Fees.LateFail,
	}
	if raw.Ceilings.RetryAfter {
		s.MaxRetryAfter = raw.Ceilings.MaxRetryAfter
	}
	for i, c := range raw.Classes {
		effect, known := effects[c.Effect]
		if !known {
			return s, nil, fmt.Errorf("settings: classes[%d].effect is %q, want repeatable, by_key or once",
				i, c.Effect)
		}
		class := kiteslip.Class{Effect: effect, TargetTime: c.OnTime, Timeout: c.HardLimit, Window: c.Window,
			Worth: c.Worth, LateWorth: c.LateWorth}
		if i < len(f.ClassCalls) {
			class.CallsDownstream = f.ClassCalls[i]
		}
		if i < len(f.ClassSkipWorth) {
			class.SkipWorth = f.ClassSkipWorth[i]
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range raw.Tenants {
		s.Tenants = append(s.Tenants, kiteslip.Tenant{Quota: t.Quota})
	}
	return s, f.Gauges, nil
}
