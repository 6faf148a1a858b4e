package kiteslip

import "testing"

// A worker that hears late how its cores started bears fewer runs while they
// are cold, counted from when they came up.
func TestSetWarmup(t *testing.T) {
	s := Settings{Cores: 4, MemoryKB: 1000, Classes: []Class{{TargetTime: 1000, Timeout: 1000}},
		MaxRunsPerCore: 8, ColdSpeed: 0.2, WarmupTime: 10_000_000}
	crowd := func(tell bool, cold bool, since int64) float64 {
		w, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		if tell {
			w.SetWarmup(cold, since)
		}
		w.Step(20_000_000, nil, nil)
		return w.safeRuns()
	}
	untold, hot := crowd(false, false, 0), crowd(true, false, 20_000_000)
	cold, warming := crowd(true, true, 20_000_000), crowd(true, true, 15_000_000)
	if warm := crowd(true, true, 10_000_000); untold != hot || warm != hot || !(cold < warming && warming < hot) {
		t.Errorf("crowds: untold %v, hot %v, cold %v, warming %v, warm %v", untold, hot, cold, warming, warm)
	}
}
