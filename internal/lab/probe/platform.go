package probe

import "encoding/json"

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
