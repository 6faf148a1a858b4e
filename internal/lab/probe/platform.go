package probe

import (
	"encoding/json"
	"time"
)

// PlatformFile returns a platform's file for a server whose policy never runs short
// of cores or memory: cores is the number of cores, keyKB the memory accounted for
// each key. The only team is red.
func PlatformFile(listen, engine string, stopMS int, limits map[string]any, cores, keyKB int, classes ...map[string]any) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": "lab", "listen": listen, "engine": engine, "seed": "1", "stop_ms": stopMS, "limits": limits,
		"settings": map[string]any{
			"classes": classes,
			"tenants": []any{map[string]any{"name": "red", "quota_per_s": 1e9}},
			"family_info": map[string]any{"cores": cores, "memory_kb": 4_000_000, "blowup": 4, "key_kb": keyKB, "idle_us": 60_000_000,
				"callers": 4, "gauges": []string{"cpu_busy", "runnable"}},
			"rules": map[string]any{"answer_slack_us": 60_000, "drain_grace_us": 2_000_000},
			"goal":  map[string]any{"whole": 1}, "tick_us": 4000, "group_size": 1,
		},
	})
}

// WithLedger adds the ledger to a platform's file. By class, calls says whether its
// runs make downstream calls, and skip is the share of the worth that a run keeps
// whose call is skipped.
func WithLedger(text []byte, ledger string, calls []bool, skip []float64) ([]byte, error) {
	var file map[string]any
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	file["ledger"] = ledger
	family := file["settings"].(map[string]any)["family_info"].(map[string]any)
	family["below"], family["class_calls"], family["class_skip_worth"] = "tier", calls, skip
	family["calls_over_us"], family["lingers_us"] = 5_000_000, 200_000
	return json.Marshal(file)
}

// Rules are the rules of a fleet whose servers start cold and share one ledger.
type Rules struct {
	CallShare       float64       // downstream calls at once for each server, on average
	CallShareWindow time.Duration // over which they are averaged
	DrainGrace      time.Duration
	ColdSpeed       float64 // of a server's cores at its start
	WarmupTime      time.Duration
}

// Apply sets the rules in the settings of a platform's file.
func (r Rules) Apply(settings map[string]any) {
	family := settings["family_info"].(map[string]any)
	family["below"], family["dep_share"], family["calls_over_us"] = "one_for_all", r.CallShare, r.CallShareWindow.Microseconds()
	rules := settings["rules"].(map[string]any)
	rules["drain_grace_us"], rules["cold_from"], rules["warm_within_us"] = r.DrainGrace.Microseconds(), r.ColdSpeed, r.WarmupTime.Microseconds()
	rules["fall_multiple"], rules["fall_us"] = 8, 1_500_000
}
