package fleet

import (
	"strings"
	"testing"
)

// With the ledger away, what may go on without it does, and what may not is
// lost; with it back all is as before. Without calls the day is another one.
func TestLedgerDown(t *testing.T) {
	t.Parallel()
	day := shelf(t, "tills-friday", 5)
	day.Length, day.From, day.Load = 12*Second, 1*Second, 0.5
	day.Failures = []Failure{{Kind: Down, At: 4 * Second, For: 4 * Second, Factor: 1}}
	o := play(t, day)
	well := day
	well.Failures = nil
	up := play(t, well)
	if o.Skips < 20*max(1, up.Skips) || o.Calls == 0 {
		t.Errorf("%d of %d runs go on without their call while it is down for a third of the day, %d while it is up", o.Skips, o.Runs, up.Skips)
	}
	lost := func(o *Outcome, name string) float64 {
		for i := range o.Classes {
			if day.Classes[i].Name == name {
				return float64(o.Classes[i].Failed) / float64(o.Classes[i].Asked)
			}
		}
		return -1
	}
	if down, up := lost(o, "sale-record"), lost(up, "sale-record"); down < 0.15 || up > 0.02 {
		t.Errorf("sale-record fails %.2f of its requests while the ledger is down, %.2f else", down, up)
	}
	if o.Overdue > 0 || o.Twice > 0 {
		t.Errorf("%d answers late, %d second runs", o.Overdue, o.Twice)
	}
}

func TestLedgerSettings(t *testing.T) {
	const head = "name = \"x\"\nseconds = 10\nload = 0.5\n[fleet]\nboxes = 1\ncores = 2\n[[team]]\nname = \"a\"\npart = 1.0\n[[caller]]\n"
	const class = "[[class]]\nname = \"c\"\neffect = \"repeatable\"\npart = 1.0\nwork_ms = [1, 2]\naim_ms = 10\ndeadline_ms = 20\n"
	for _, c := range []struct{ text, want string }{
		{head + class + "calls = true\n", "class[0].calls"},
		{head + class + "[ledger]\nplaces = 0\nms = [1, 2]\n", "ledger.places"},
		{head + class + "[ledger]\nplaces = 1\nms = [0, 2]\n", "ledger.ms"},
		{head + class + "[ledger]\nplaces = 1\nms = [1, 2]\nturns_away = 2.0\n", "ledger.turns_away"},
		{head + class + "[server]\nstop_runs = \"maybe\"\n", "server.stop_runs"},
		{head + class + "[[failure]]\nkind = \"ledger_down\"\nat_s = 1\nfor_s = 1\n", "a ledger that can be down"},
		{head + class + "calls = true\n[ledger]\nplaces = 1\nms = [1, 2]\n", ""},
	} {
		if _, _, err := Parse(c.text); (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %q", err, c.want)
		}
	}
}
