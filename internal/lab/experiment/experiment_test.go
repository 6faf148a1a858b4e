package experiment

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"kiteslip/internal/lab/fleet"
	"kiteslip/internal/lab/paired"
)

// scenarioText reads a scenario, shortened to five boxes and 40 seconds, and
// replaces each of changes by the one that follows it.
func scenarioText(t *testing.T, name string, changes ...string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "..", "scenarios", name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	s := strings.Replace(strings.Replace(string(b), "boxes = 10", "boxes = 5", 1), "seconds = 60", "seconds = 40", 1)
	for i := 0; i+1 < len(changes); i += 2 {
		if !strings.Contains(s, changes[i]) {
			t.Fatalf("%q is not in %s", changes[i], name)
		}
		s = strings.ReplaceAll(s, changes[i], changes[i+1])
	}
	return s
}

// ignoreProgress is a progress function that does nothing.
func ignoreProgress(int, int) {}

// A run that was stopped must resume from its state file, also if the last line was
// cut short, and give the same outcome as a run that was never stopped. Days of
// another scenario text must not be taken from the file.
func TestStopAndResume(t *testing.T) {
	t.Parallel()
	scenario, state := scenarioText(t, "calm-lunch"), filepath.Join(t.TempDir(), "state")
	uninterrupted, err := Play(scenario, 6, "", nil, ignoreProgress)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	_, err = Play(scenario, 6, state, stop, func(done, of int) {
		if done == 1 {
			close(stop)
		}
	})
	if err != nil && !errors.Is(err, ErrStopped) {
		t.Fatal(err)
	}
	stored, err := os.ReadFile(state)
	if err != nil || len(stored) == 0 {
		t.Fatalf("the state file has %d bytes, %v", len(stored), err)
	}
	if err := os.WriteFile(state, append(stored, stored[:len(stored)/2]...), 0o600); err != nil {
		t.Fatal(err)
	}
	firstDone := -1
	resumed, err := Play(scenario, 6, state, nil, func(done, of int) {
		if firstDone < 0 {
			firstDone = done
		}
	})
	if err != nil || firstDone == 0 {
		t.Fatalf("resumed with %d days done: %v", firstDone, err)
	}
	if !reflect.DeepEqual(uninterrupted, resumed) {
		t.Error("a resumed run differs from an uninterrupted one")
	}
	if _, err := Play(strings.Replace(scenario, "load = 0.7", "load = 0.6", 1), 1, state, nil, func(done, of int) { firstDone = done }); err != nil || firstDone != 1 {
		t.Errorf("a run of another text took the days of the first: %v", err)
	}
}

// findRow returns the row of a figure.
func findRow(t *testing.T, rows []Row, name string) Row {
	t.Helper()
	for _, r := range rows {
		if r.Name == name {
			return r
		}
	}
	t.Fatalf("no row %q", name)
	return Row{}
}

// compare plays two scenario texts on the same seeds and compares them.
func compare(t *testing.T, a, b string, seeds int) []Row {
	t.Helper()
	var runs [2]*Run
	for i, s := range []string{a, b} {
		var err error
		if runs[i], err = Play(s, seeds, "", nil, ignoreProgress); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := Compare(runs[0], runs[1])
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

// A short failure lowers the worst ten seconds much more than the whole, where it is
// averaged out; the verdict must name the worst ten seconds.
func TestShortFailureShowsInWorstWindow(t *testing.T) {
	t.Parallel()
	calm := scenarioText(t, "calm-lunch")
	rows := compare(t, calm, calm+"\n[[failure]]\nkind = \"slow\"\nat_s = 15\nfor_s = 6\nshare = 0.4\nfactor = 0.2\n", 8)
	worst, whole := findRow(t, rows, "worst ten seconds"), findRow(t, rows, "whole")
	if worst.Verdict != paired.Worse || worst.Mean > 2*whole.Mean {
		t.Errorf("worst ten seconds %+v, whole %+v", worst, whole)
	}
	if text := Verdict(rows); !strings.Contains(text, "hurts") || !strings.Contains(text, "worst ten seconds") {
		t.Error(text)
	}
}

// If a change improves one class and worsens another, the verdict must say both.
func TestVerdictNamesGainsAndLosses(t *testing.T) {
	t.Parallel()
	full := scenarioText(t, "month-end", "load = 0.8", "load = 1.2")
	pools := "[server]\ncheap_reserve = 0.25\n[[server.pool]]\nname = \"landmarks\"\nclasses = [\"landmark-search\"]\nshare = 0.8\n[fleet]"
	rows := compare(t, full, strings.Replace(full, "[fleet]", pools, 1), 6)
	if r := findRow(t, rows, "class landmark-search"); r.Verdict != paired.Better {
		t.Errorf("landmark-search: %+v", r)
	}
	verdict := Verdict(rows)
	if !strings.Contains(verdict, "B helps") || !strings.Contains(verdict, "B hurts") {
		t.Error(verdict)
	}
}

// A scenario compared with itself on the same seeds must show no difference in any
// figure, and runs without a common seed must be rejected.
func TestEqualSettings(t *testing.T) {
	t.Parallel()
	s := scenarioText(t, "fifth-dies")
	for _, r := range compare(t, s, s, 3) {
		if r.Verdict != paired.NoDifference {
			t.Errorf("%+v", r)
		}
	}
	if _, err := Compare(&Run{}, &Run{Days: []SeedOutcome{{1, &fleet.Outcome{}}}}); err == nil {
		t.Error("runs without a common seed were compared")
	}
}
