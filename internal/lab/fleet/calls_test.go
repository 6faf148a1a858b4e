package fleet

import (
	"strings"
	"testing"
)

// While the ledger is unreachable, runs that may skip their call must go on
// without it, and the others fail; no rule may be broken. The same day without
// the failure serves as the reference.
func TestLedgerDown(t *testing.T) {
	t.Parallel()
	day := loadScenario(t, "tills-friday", 5)
	day.Length, day.Warmup, day.Load = 12*Second, 1*Second, 0.5
	day.Failures = []Failure{{Kind: LedgerDown, At: 4 * Second, Duration: 4 * Second, SpeedFactor: 1}}
	o := play(t, day)
	healthy := day
	healthy.Failures = nil
	up := play(t, healthy)
	if o.SkippedCalls < 20*max(1, up.SkippedCalls) || o.Calls == 0 {
		t.Errorf("%d of %d runs skip their call with the ledger down for a third of the day, %d with it up", o.SkippedCalls, o.Runs, up.SkippedCalls)
	}
	failedShare := func(o *Outcome, name string) float64 {
		for i := range o.Classes {
			if day.Classes[i].Name == name {
				return float64(o.Classes[i].Failed) / float64(o.Classes[i].Asked)
			}
		}
		return -1
	}
	if down, up := failedShare(o, "sale-record"), failedShare(up, "sale-record"); down < 0.15 || up > 0.02 {
		t.Errorf("sale-record fails %.2f of its requests with the ledger down, %.2f with it up", down, up)
	}
	if o.DeadlineExceeded > 0 || o.RepeatedRuns > 0 {
		t.Errorf("%d answers after their deadline, %d repeated runs", o.DeadlineExceeded, o.RepeatedRuns)
	}
}

// A mistake in the ledger's part of a scenario must be reported under its key.
func TestLedgerSettings(t *testing.T) {
	const header = "name = \"x\"\nseconds = 10\nload = 0.5\n[fleet]\nboxes = 1\ncores = 2\n[[team]]\nname = \"a\"\npart = 1.0\n[[caller]]\n"
	const class = "[[class]]\nname = \"c\"\neffect = \"repeatable\"\npart = 1.0\nwork_ms = [1, 2]\naim_ms = 10\ndeadline_ms = 20\n"
	for _, c := range []struct{ text, wantKey string }{
		{header + class + "calls = true\n", "class[0].calls"},
		{header + class + "[ledger]\nplaces = 0\nms = [1, 2]\n", "ledger.places"},
		{header + class + "[ledger]\nplaces = 1\nms = [0, 2]\n", "ledger.ms"},
		{header + class + "[ledger]\nplaces = 1\nms = [1, 2]\nturns_away = 2.0\n", "ledger.turns_away"},
		{header + class + "[server]\nstop_runs = \"maybe\"\n", "server.stop_runs"},
		{header + class + "[[failure]]\nkind = \"ledger_down\"\nat_s = 1\nfor_s = 1\n", "a ledger that can be down"},
		{header + class + "calls = true\n[ledger]\nplaces = 1\nms = [1, 2]\n", ""},
	} {
		if _, _, err := Parse(c.text); (err == nil) != (c.wantKey == "") || err != nil && !strings.Contains(err.Error(), c.wantKey) {
			t.Errorf("%v, want %q", err, c.wantKey)
		}
	}
}
