package live

import (
	"os/exec"
	"path/filepath"
	"testing"

	"kiteslip/internal/lab/fleet"
)

// buildProgram builds kiteslip and returns the path of the program.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "kiteslip")
	if out, err := exec.Command("go", "build", "-o", program, "kiteslip/cmd/kiteslip").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// A short day against the real program in which a box dies and restarts. Requests
// open at that time must end, none after its deadline, and the requests must be the
// same as in simulated time.
func TestLiveDayWithKilledBox(t *testing.T) {
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
	watchCalls := 0
	o, _, err := fleet.PlayLive(day, f.Remotes(), f.Replies, nil, func(int64, *fleet.Outcome) { watchCalls++ })
	if err != nil {
		t.Fatal(err)
	}
	ended := 0
	for _, g := range o.Classes {
		ended += g.InTime + g.Late + g.Refused + g.Failed
	}
	if ended != o.Asked || o.Asked < 50 || o.DeadlineExceeded > 0 || o.BoxesLost != 1 || o.Whole < 0.3 || watchCalls < 10 {
		t.Errorf("%d requests, %d ended, %d after their deadline, %d boxes lost, %.3f of the worth served, %d calls of watch", o.Asked, ended, o.DeadlineExceeded, o.BoxesLost, o.Whole, watchCalls)
	}
	emulated, err := fleet.Play(day)
	if err != nil {
		t.Fatal(err)
	}
	if emulated.Asked != o.Asked {
		t.Errorf("%d requests on loopback, %d in simulated time", o.Asked, emulated.Asked)
	}
}

// A short day against the real program with uwsgi servers that do the work; nearly
// all of the worth must be served.
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
		t.Errorf("%d requests, %d after their deadline, %.3f of the worth served", o.Asked, o.DeadlineExceeded, o.Whole)
	}
}
