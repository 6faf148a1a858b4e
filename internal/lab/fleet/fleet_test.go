package fleet

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// loadScenario loads a scenario of the scenarios folder and checks its name.
func loadScenario(t *testing.T, name string, seed uint64) Day {
	t.Helper()
	day, got, err := Load(filepath.Join("..", "..", "..", "scenarios", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	if got != name {
		t.Errorf("the scenario in %s.toml has the name %s", name, got)
	}
	day.Seed = seed
	return day
}

// play plays a day that must be valid.
func play(t *testing.T, day Day) *Outcome {
	t.Helper()
	o, err := Play(day)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// Every scenario must be playable and reproducible, and break no rule: no answer
// after its deadline, no second run of a key on one box, one end for each request.
func TestScenariosAreReproducible(t *testing.T) {
	t.Parallel()
	files, err := os.ReadDir(filepath.Join("..", "..", "..", "scenarios"))
	if err != nil || len(files) < 8 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(f.Name(), ".toml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day := loadScenario(t, name, 3)
			o := play(t, day)
			if again := play(t, day); !reflect.DeepEqual(o, again) {
				t.Error("the same day and seed gave another outcome")
			}
			if o.DeadlineExceeded > 0 || o.RepeatedRuns > 0 {
				t.Errorf("%d answers after their deadline, %d repeated runs", o.DeadlineExceeded, o.RepeatedRuns)
			}
			ended := 0
			for _, g := range o.Classes {
				ended += g.InTime + g.Late + g.Refused + g.Failed
			}
			if ended != o.Asked || o.Asked < 1000 {
				t.Errorf("%d requests, %d ended", o.Asked, ended)
			}
			if other := loadScenario(t, name, 4); reflect.DeepEqual(o, play(t, other)) {
				t.Error("another seed gave the same outcome")
			}
		})
	}
}

// meanOverSeeds returns the mean of a figure of a scenario over three seeds, with
// the day modified by change unless it is nil.
func meanOverSeeds(t *testing.T, name string, change func(*Day), figure func(*Outcome) float64) float64 {
	t.Helper()
	sum := 0.0
	for seed := range uint64(3) {
		day := loadScenario(t, name, seed+1)
		if change != nil {
			change(&day)
		}
		sum += figure(play(t, day)) / 3
	}
	return sum
}

func overallScore(o *Outcome) float64     { return o.Score }
func worstWindowShare(o *Outcome) float64 { return o.WorstWindow }

// A failure that has no effect would go unnoticed: without its failures, each of
// these scenarios must have a better worst window on the same seeds.
func TestFailuresLowerWorstWindow(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"fifth-dies", "rolling-deploy", "slow-zone", "pause-burst", "retry-storm"} {
		with := meanOverSeeds(t, name, nil, worstWindowShare)
		without := meanOverSeeds(t, name, func(d *Day) { d.Failures = nil }, worstWindowShare)
		if with >= without {
			t.Errorf("%s: the worst ten seconds score %.3f with the failure and %.3f without", name, with, without)
		}
	}
}

// A deploy whose replacements start cold must score lower than one whose
// replacements run at full speed at once.
func TestOverlappingColdReplacements(t *testing.T) {
	t.Parallel()
	cold := meanOverSeeds(t, "rolling-deploy", nil, overallScore)
	warm := meanOverSeeds(t, "rolling-deploy", func(d *Day) { d.Failures[0].SpeedFactor, d.Failures[0].WarmupTime = 1, 0 }, overallScore)
	if cold >= warm {
		t.Errorf("cold replacements score %.3f, warm ones %.3f", cold, warm)
	}
	if o := play(t, loadScenario(t, "rolling-deploy", 1)); o.BoxesLost != 9 {
		t.Errorf("%d boxes of ten were lost in the deploy, want 9", o.BoxesLost)
	}
}

// A pause of all boxes must lower the share of its own second or the next, every
// request must still end, and five seconds later the fleet must have recovered.
func TestPauseDelaysAnswers(t *testing.T) {
	t.Parallel()
	day := loadScenario(t, "calm-lunch", 2)
	day.Load, day.Callers = 0.3, []Caller{{Weight: 1, MaxTries: 1}}
	quiet := play(t, day)
	day.Failures = []Failure{{Kind: Pause, At: 20 * Second, Duration: Second, BoxShare: 1}}
	o := play(t, day)
	late, ended := 0, 0
	for i, g := range o.Classes {
		late += g.Late - quiet.Classes[i].Late
		ended += g.InTime + g.Late + g.Refused
	}
	if o.ServedBySecond[19] > quiet.ServedBySecond[19]-0.05 && o.ServedBySecond[20] > quiet.ServedBySecond[20]-0.05 || ended != o.Asked {
		t.Errorf("second 19 and 20: %.3f, %.3f of the worth, without the pause %.3f, %.3f; %d of %d ended", o.ServedBySecond[19], o.ServedBySecond[20],
			quiet.ServedBySecond[19], quiet.ServedBySecond[20], ended, o.Asked)
	}
	if o.ServedBySecond[25] < quiet.ServedBySecond[25]-0.2 {
		t.Errorf("five seconds after the pause the share is %.3f, without it %.3f", o.ServedBySecond[25], quiet.ServedBySecond[25])
	}
}

// Callers that ignore retry-after and no failover must need more tries than callers
// that follow them.
func TestCallersThatIgnoreAdvice(t *testing.T) {
	t.Parallel()
	triesPerRequest := func(follow bool) float64 {
		return meanOverSeeds(t, "month-end", func(d *Day) {
			for i := range d.Callers {
				d.Callers[i].FollowsAdvice, d.Callers[i].MaxTries = follow, 20
			}
		}, func(o *Outcome) float64 { return float64(o.Tries) / float64(o.Asked) })
	}
	if following, ignoring := triesPerRequest(true), triesPerRequest(false); ignoring < 1.05*following {
		t.Errorf("%.3f tries a request where advice is ignored, %.3f where it is followed", ignoring, following)
	}
}

// An invalid value in a scenario must be reported under its key.
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
			t.Fatalf("%q is not in the scenario", c.old)
		}
		if _, _, err := Parse(changed); err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%q for %q: %v, want an error that names %s", c.new, c.old, err, c.key)
		}
	}
}

// Boxes that crash under too many runs must do so if the server does not know
// the bound, and must not if it does.
func TestOverloadedBoxesCrash(t *testing.T) {
	t.Parallel()
	crashes := func(maxRunsPerCore float64) float64 {
		return meanOverSeeds(t, "month-end", func(d *Day) {
			d.Box.MaxRunsPerCore, d.Policy.MaxRunsPerCore, d.Load = 2, maxRunsPerCore, 1.2
		}, func(o *Outcome) float64 { return float64(o.Crashes) })
	}
	if unknown, known := crashes(0), crashes(2); unknown == 0 || known > 0 {
		t.Errorf("%.1f boxes crash if the server does not know the bound, %.1f if it does", unknown, known)
	}
}

// A popular subject with expensive requests must lower the score of the worst
// window: it takes capacity from the requests about other subjects.
func TestExpensiveSubjectHurtsOthers(t *testing.T) {
	t.Parallel()
	with := meanOverSeeds(t, "poison-subject", nil, worstWindowShare)
	without := meanOverSeeds(t, "poison-subject", func(d *Day) { d.TopSubjectFactor = 0 }, worstWindowShare)
	if with >= without {
		t.Errorf("the worst ten seconds score %.3f with an expensive subject and %.3f without", with, without)
	}
}
