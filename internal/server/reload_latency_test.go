package server

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
)

// Size of the fleet's configuration in the test.
const (
	fleetTeams   = 21_000
	fleetClasses = 2_800
)

// newFleetServer returns a server, not started, with a version of that size in
// force, in which each of the given number of pools has ten classes.
func newFleetServer(t testing.TB, pools int) (*Server, *config.Updater, *document.Document) {
	t.Helper()
	var changes []document.Change
	for i := range fleetTeams {
		changes = append(changes, teamChange(fmt.Sprint("team", i), 3))
	}
	for i := range fleetClasses {
		changes = append(changes, serviceChange(fmt.Sprint("class", i)))
	}
	for i := range pools {
		pool := &document.Pool{Name: fmt.Sprint("pool", i), Share: 0.5 / float64(pools)}
		for k := range 10 {
			pool.Classes = append(pool.Classes, fmt.Sprint("class", 10*i+k))
		}
		changes = append(changes, document.Change{Pool: pool})
	}
	doc, _ := nextVersion(t, document.Empty(), changes...)
	updater := config.NewUpdater(platformConfig(t, "127.0.0.1:1", ""))
	change, err := updater.PrepareVersion(doc, nil)
	if err != nil {
		t.Fatal(err)
	}
	updater.Commit(change)
	srv, err := New(change.Config, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	srv.scheduled = true // there is no loop to run the iteration
	return srv, updater, doc
}

// loopBlockTimes applies a number of changes and returns, each sorted, how long their
// preparation beside the loop took and how long they blocked the loop; wholeTime is the
// fastest of three preparations of the last version from its whole content.
func loopBlockTimes(t *testing.T, pools, times int, changes func(i int) []document.Change) (prepareTimes, blockTimes []time.Duration, wholeTime time.Duration) {
	t.Helper()
	srv, updater, doc := newFleetServer(t, pools)
	for i := range times {
		next, delta := nextVersion(t, doc, changes(i)...)
		began := time.Now()
		change, err := updater.PrepareVersion(next, delta)
		if err != nil {
			t.Fatal(err)
		}
		prepared := time.Now()
		if err := srv.applyChange(change); err != nil {
			t.Fatal(err)
		}
		blockTimes, prepareTimes = append(blockTimes, time.Since(prepared)), append(prepareTimes, prepared.Sub(began))
		updater.Commit(change)
		doc = next
	}
	wholeTime = time.Hour
	for range 3 {
		began := time.Now()
		if _, err := updater.PrepareVersion(doc, nil); err != nil {
			t.Fatal(err)
		}
		wholeTime = min(wholeTime, time.Since(began))
	}
	slices.Sort(blockTimes)
	slices.Sort(prepareTimes)
	return prepareTimes, blockTimes, wholeTime
}

// A change blocks the loop for a time that depends on the size of the change, not of
// the configuration. The limit is a fraction of the time to prepare the whole
// configuration in the same run, since absolute times vary with the load of the machine.
func TestConfigChangeBlocksLoopBriefly(t *testing.T) {
	for _, tc := range []struct {
		name    string
		pools   int
		divisor int // of the time to prepare the whole version
		times   int
		changes func(i int) []document.Change
	}{
		{"one team's budget", 0, 10, 31, func(i int) []document.Change { return []document.Change{teamChange("team7", float64(i+10))} }},
		{"a new team", 0, 10, 31, func(i int) []document.Change { return []document.Change{teamChange(fmt.Sprint("new", i), 1)} }},
		{"a new class", 0, 10, 31, func(i int) []document.Change { return []document.Change{serviceChange(fmt.Sprint("new", i))} }},
		{"one team's budget, with 60 pools", 60, 10, 31, func(i int) []document.Change { return []document.Change{teamChange("team7", float64(i+10))} }},
		{"a new class, with 60 pools", 60, 10, 31, func(i int) []document.Change { return []document.Change{serviceChange(fmt.Sprint("new", i))} }},
		{"5,000 teams", 0, 2, 11, func(i int) []document.Change {
			var changes []document.Change
			for k := range 5_000 {
				changes = append(changes, teamChange(fmt.Sprint("team", 4*k), float64(i+10)))
			}
			return changes
		}},
		{"5,000 teams dropped, 2,000 new", 0, 2, 3, func(i int) []document.Change {
			var changes []document.Change
			for k := range 5_000 {
				changes = append(changes, dropChange(teamChange(fmt.Sprint("team", 5_000*i+k), 0)))
			}
			for k := range 2_000 {
				changes = append(changes, teamChange(fmt.Sprint("more", 2_000*i+k), 1))
			}
			return changes
		}},
	} {
		prepareTimes, blockTimes, wholeTime := loopBlockTimes(t, tc.pools, tc.times, tc.changes)
		t.Logf("%s of %d, %d classes: loop blocked %v (median of %d, greatest %v), preparation %v; whole version %v",
			tc.name, fleetTeams, fleetClasses, blockTimes[tc.times/2], tc.times, blockTimes[tc.times-1], prepareTimes[tc.times/2], wholeTime)
		if blockTimes[0]*time.Duration(tc.divisor) > wholeTime {
			t.Errorf("%s: loop blocked %v at least, want at most 1/%d of %v", tc.name, blockTimes[0], tc.divisor, wholeTime)
		}
	}
}
