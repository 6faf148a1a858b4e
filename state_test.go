package kiteslip

import "testing"

// A worker that learns late how its cores started bears fewer runs while they are cold, counted from their
// start.
func TestSetWarmup(t *testing.T) {
	s := Settings{Cores: 4, MemoryKB: 1000, Classes: []Class{{TargetTime: 1000, Timeout: 1000}},
		MaxRunsPerCore: 8, ColdSpeed: 0.2, WarmupTime: 10_000_000}
	safeRuns := func(set bool, cold bool, since int64) float64 {
		w, err := New(s, 1)
		if err != nil {
			t.Fatal(err)
		}
		if set {
			w.SetWarmup(cold, since)
		}
		w.Step(20_000_000, nil, nil)
		return w.safeRuns()
	}
	unset, hot := safeRuns(false, false, 0), safeRuns(true, false, 20_000_000)
	cold, warming := safeRuns(true, true, 20_000_000), safeRuns(true, true, 15_000_000)
	if warm := safeRuns(true, true, 10_000_000); unset != hot || warm != hot || !(cold < warming && warming < hot) {
		t.Errorf("safe runs: unset %v, hot %v, cold %v, warming %v, warm %v", unset, hot, cold, warming, warm)
	}
}
