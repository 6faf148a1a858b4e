package fleet

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// shelf is a ready scenario, made short.
func shelf(t *testing.T, name string, seed uint64) Day {
	t.Helper()
	day, got, err := Load(filepath.Join("..", "..", "..", "scenarios", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	if got != name {
		t.Errorf("%s calls itself %s", name, got)
	}
	day.Seed = seed
	return day
}

func play(t *testing.T, day Day) *Outcome {
	t.Helper()
	o, err := Play(day)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// Every scenario of the shelf can be played, is the same the second time, and
// breaks no rule: no answer after its due time, no second run of a key on one box,
// one end for each request.
func TestShelf(t *testing.T) {
	t.Parallel()
	files, err := os.ReadDir(filepath.Join("..", "..", "..", "scenarios"))
	if err != nil || len(files) < 8 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(f.Name(), ".toml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day := shelf(t, name, 3)
			o := play(t, day)
			if again := play(t, day); !reflect.DeepEqual(o, again) {
				t.Error("a second play differs")
			}
			if o.Overdue > 0 || o.Twice > 0 {
				t.Errorf("%d answers after their due time, %d second runs", o.Overdue, o.Twice)
			}
			ended := 0
			for _, g := range o.Classes {
				ended += g.InTime + g.Late + g.Refused + g.Failed
			}
			if ended != o.Asked || o.Asked < 1000 {
				t.Errorf("%d asked, %d ended", o.Asked, ended)
			}
			if other := shelf(t, name, 4); reflect.DeepEqual(o, play(t, other)) {
				t.Error("another seed gives the same day")
			}
		})
	}
}

// mean is the mean of f over some seeds.
func mean(t *testing.T, name string, change func(*Day), f func(*Outcome) float64) float64 {
	t.Helper()
	sum := 0.0
	for seed := range uint64(3) {
		day := shelf(t, name, seed+1)
		if change != nil {
			change(&day)
		}
		sum += f(play(t, day)) / 3
	}
	return sum
}

func score(o *Outcome) float64 { return o.Score }
func worst(o *Outcome) float64 { return o.WorstWindow }

// Failures hurt, each in its place: without them the same draws go better.
func TestFailuresHurt(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"fifth-dies", "rolling-deploy", "slow-zone", "pause-burst", "retry-storm"} {
		with := mean(t, name, nil, worst)
		without := mean(t, name, func(d *Day) { d.Failures = nil }, worst)
		if with >= without {
			t.Errorf("%s: the worst ten seconds are %.3f with the failure and %.3f without", name, with, without)
		}
	}
}

// Cold replacements that overlap hurt more than ones that follow each other warm.
func TestOverlappingColdReplacements(t *testing.T) {
	t.Parallel()
	cold := mean(t, "rolling-deploy", nil, score)
	warm := mean(t, "rolling-deploy", func(d *Day) { d.Failures[0].Factor, d.Failures[0].Warm = 1, 0 }, score)
	if cold >= warm {
		t.Errorf("cold replacements score %.3f, warm ones %.3f", cold, warm)
	}
	if o := play(t, shelf(t, "rolling-deploy", 1)); o.Deaths != 9 {
		t.Errorf("%d boxes of ten were replaced, want 9", o.Deaths)
	}
}

// A pause shows in what waited through it, and all of that is answered once it is over.
func TestPauseAnswersAtOnce(t *testing.T) {
	t.Parallel()
	day := shelf(t, "calm-lunch", 2)
	day.Load, day.Callers = 0.3, []Caller{{Weight: 1, Tries: 1}}
	quiet := play(t, day)
	day.Failures = []Failure{{Kind: Pause, At: 20 * Second, For: Second, Share: 1}}
	o := play(t, day)
	late, ended := 0, 0
	for i, g := range o.Classes {
		late += g.Late - quiet.Classes[i].Late
		ended += g.InTime + g.Late + g.Refused
	}
	if o.Windows[19] > quiet.Windows[19]-0.05 && o.Windows[20] > quiet.Windows[20]-0.05 || ended != o.Asked {
		t.Errorf("second 19 and 20: %.3f, %.3f of the worth, without the pause %.3f, %.3f; %d of %d ended", o.Windows[19], o.Windows[20],
			quiet.Windows[19], quiet.Windows[20], ended, o.Asked)
	}
	if o.Windows[25] < quiet.Windows[25]-0.2 {
		t.Errorf("five seconds after the pause the share is %.3f, without it %.3f", o.Windows[25], quiet.Windows[25])
	}
}

// Callers that ignore advice cost more tries than ones that heed it.
func TestCallersThatIgnoreAdvice(t *testing.T) {
	t.Parallel()
	tries := func(heeds bool) float64 {
		return mean(t, "month-end", func(d *Day) {
			for i := range d.Callers {
				d.Callers[i].Heeds, d.Callers[i].Tries = heeds, 20
			}
		}, func(o *Outcome) float64 { return float64(o.Tries) / float64(o.Asked) })
	}
	if heeding, ignoring := tries(true), tries(false); ignoring < 1.05*heeding {
		t.Errorf("%.3f tries a request where advice is ignored, %.3f where it is heeded", ignoring, heeding)
	}
}

func TestScenarioErrorsNameTheKey(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "scenarios", "fifth-dies.toml"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, key string }{
		{`name = "fifth-dies"`, "", "name"}, {"load = 0.85", "load = -1", "load"}, {"load = 0.85", "laod = 0.85", "laod"},
		{"boxes = 10", "boxes = 0", "boxes"}, {"cores = 4", "cores = 4\nbackend = \"http\"", "fleet.backend"}, {"cores = 4", "cores = 0", "cores"}, {"spread = 0.2", "spread = 1.0", "spread"},
		{"seconds = 60", "seconds = 0", "length"}, {"warmup_s = 5", "warmup_s = 60", "from"}, {"subject_skew = 1.2", "subject_skew = 0.5", "skew"},
		{`effect = "keyed"`, `effect = "once"`, "class[3].effect"}, {`"point-to-code"`, `"code-to-point"`, "class[1].name"},
		{"aim_ms = 1100", "aim_ms = 9000", "class[2].aim_ms"}, {"work_ms = [150, 260]", "work_ms = [260, 150]", "class.work"},
		{`choose = "two"`, `choose = "best"`, "caller[1].choose"}, {`kind = "die"`, `kind = "explode"`, "failure[0].kind"},
		{"share = 0.2", "share = 2.0", "failure.share"}, {"factor = 0.21", "factor = 3.0", "failure.factor"},
		{"[fleet]", "[[server.pool]]\nname = \"p\"\nclasses = [\"x\"]\n[fleet]", "server.pool[0].classes"},
		{"[fleet]", "[[server.pool]]\nname = \"p\"\nclasses = [\"landmark-search\"]\nshare = 3.0\n[fleet]", "pool[0].share"},
		{"[fleet]", "[[shape]]\nat_s = 5\nrate = 1\n[[shape]]\nat_s = 5\nrate = 1\n[fleet]", "shape.at"},
	} {
		changed := strings.Replace(string(text), c.old, c.new, 1)
		if changed == string(text) {
			t.Fatalf("%q is not in the file", c.old)
		}
		if _, _, err := Parse(changed); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%q for %q: %v, want an error that names %s", c.new, c.old, err, c.key)
		}
	}
}

// Boxes that fall over when crowded do so under a program that is not told of
// it, and do not under one that is.
func TestBoxesFallOver(t *testing.T) {
	t.Parallel()
	fallen := func(told float64) float64 {
		return mean(t, "month-end", func(d *Day) {
			d.Box.Falls, d.Policy.MaxRunsPerCore, d.Load = 2, told, 1.2
		}, func(o *Outcome) float64 { return float64(o.Fallen) })
	}
	if untold, told := fallen(0), fallen(2); untold == 0 || told > 0 {
		t.Errorf("%.1f boxes fall over where the program is not told, %.1f where it is", untold, told)
	}
}

// A poisonous subject hurts requests that are not about it.
func TestPoisonousSubject(t *testing.T) {
	t.Parallel()
	with := mean(t, "poison-subject", nil, worst)
	without := mean(t, "poison-subject", func(d *Day) { d.Poison = 0 }, worst)
	if with >= without {
		t.Errorf("the worst ten seconds are %.3f with a poisonous subject and %.3f without", with, without)
	}
}
