package live

import (
	"os/exec"
	"path/filepath"
	"testing"

	"kiteslip/internal/lab/fleet"
)

// buildProgram builds the program.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "kiteslip")
	if out, err := exec.Command("go", "build", "-o", program, "kiteslip/cmd/kiteslip").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// A short day against the real program, in which a box dies and comes back:
// every request has its end, none late by the rules, and the draws are those of
// simulated time.
func TestLiveDayWithCrash(t *testing.T) {
	program := buildProgram(t)
	day, _, err := fleet.Load(filepath.Join("..", "..", "..", "scenarios", "fifth-dies.toml"))
	if err != nil {
		t.Fatal(err)
	}
	day.Seed, day.Boxes, day.Length, day.Warmup, day.Load = 1, 3, 5*fleet.Second, 0, 0.5
	day.Failures[0].At, day.Failures[0].Duration, day.Failures[0].BoxShare = 2*fleet.Second, fleet.Second, 0.33
	f, err := Launch(program, &day)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	looks := 0
	o, _, err := fleet.PlayLive(day, f.Remotes(), f.Replies, nil, func(int64, *fleet.Outcome) { looks++ })
	if err != nil {
		t.Fatal(err)
	}
	ended := 0
	for _, g := range o.Classes {
		ended += g.InTime + g.Late + g.Refused + g.Failed
	}
	if ended != o.Asked || o.Asked < 50 || o.DeadlineExceeded > 0 || o.BoxesLost != 1 || o.Whole < 0.3 || looks < 10 {
		t.Errorf("%d asked, %d ended, %d overdue, %d deaths, %.3f of the worth, %d looks", o.Asked, ended, o.DeadlineExceeded, o.BoxesLost, o.Whole, looks)
	}
	emulated, err := fleet.Play(day)
	if err != nil {
		t.Fatal(err)
	}
	if emulated.Asked != o.Asked {
		t.Errorf("%d requests on loopback, %d in simulated time", o.Asked, emulated.Asked)
	}
}

// The same with the work done by uwsgi servers: what is served is what they made.
func TestLiveDayWithUWSGI(t *testing.T) {
	program := buildProgram(t)
	day, _, err := fleet.Load(filepath.Join("..", "..", "..", "scenarios", "calm-lunch.toml"))
	if err != nil {
		t.Fatal(err)
	}
	day.Seed, day.Boxes, day.Length, day.Warmup, day.Load, day.UWSGI = 2, 2, 3*fleet.Second, 0, 0.4, true
	f, err := Launch(program, &day)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	o, _, err := fleet.PlayLive(day, f.Remotes(), f.Replies, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if o.Asked < 10 || o.DeadlineExceeded > 0 || o.Whole < 0.9 {
		t.Errorf("%d asked, %d overdue, %.3f of the worth", o.Asked, o.DeadlineExceeded, o.Whole)
	}
}
