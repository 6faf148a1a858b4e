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

// The settings that the fleet is to bear.
const (
	fleetTeams   = 21_000
	fleetClasses = 2_800
)

// newFleetServer is a server, not started, that serves by a version of that size, in which
// each of so many pools has ten classes.
func newFleetServer(t testing.TB, pools int) (*Server, *config.Updater, *document.Document) {
	t.Helper()
	var all []document.Change
	for i := range fleetTeams {
		all = append(all, team(fmt.Sprint("team", i), 3))
	}
	for i := range fleetClasses {
		all = append(all, service(fmt.Sprint("class", i)))
	}
	for i := range pools {
		p := &document.Pool{Name: fmt.Sprint("pool", i), Share: 0.5 / float64(pools)}
		for k := range 10 {
			p.Classes = append(p.Classes, fmt.Sprint("class", 10*i+k))
		}
		all = append(all, document.Change{Pool: p})
	}
	doc, _ := nextVersion(t, document.Empty(), all...)
	places := config.NewUpdater(platformConfig(t, "127.0.0.1:1", ""))
	ch, err := places.PrepareVersion(doc, nil)
	if err != nil {
		t.Fatal(err)
	}
	places.Commit(ch)
	s, err := New(ch.Config, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	s.scheduled = true // there is no loop that would run the round
	return s, places, doc
}

// loopBlockTimes says how long the loop is held by each of a number of changes, and how
// long each is made ready beside it, in order, and what it takes to make the last
// one ready at the cost of all, the fastest of three.
func loopBlockTimes(t *testing.T, pools, times int, change func(i int) []document.Change) (beside, loop []time.Duration, whole time.Duration) {
	t.Helper()
	s, places, doc := newFleetServer(t, pools)
	for i := range times {
		next, delta := nextVersion(t, doc, change(i)...)
		began := time.Now()
		ch, err := places.PrepareVersion(next, delta)
		if err != nil {
			t.Fatal(err)
		}
		ready := time.Now()
		if err := s.applyChange(ch); err != nil {
			t.Fatal(err)
		}
		loop, beside = append(loop, time.Since(ready)), append(beside, ready.Sub(began))
		places.Commit(ch)
		doc = next
	}
	whole = time.Hour
	for range 3 {
		began := time.Now()
		if _, err := places.PrepareVersion(doc, nil); err != nil {
			t.Fatal(err)
		}
		whole = min(whole, time.Since(began))
	}
	slices.Sort(loop)
	slices.Sort(beside)
	return beside, loop, whole
}

// A change holds the loop by what it changes, and not by all. What is asserted is
// a part of what all costs in the same run: a time by itself says more of a busy
// machine than of the loop.
func TestConfigChangeBlocksLoopBriefly(t *testing.T) {
	for _, c := range []struct {
		what  string
		pools int
		part  int // of what all costs
		times int
		make  func(i int) []document.Change
	}{
		{"one team's budget", 0, 10, 31, func(i int) []document.Change { return []document.Change{team("team7", float64(i+10))} }},
		{"a new team", 0, 10, 31, func(i int) []document.Change { return []document.Change{team(fmt.Sprint("new", i), 1)} }},
		{"a new class", 0, 10, 31, func(i int) []document.Change { return []document.Change{service(fmt.Sprint("new", i))} }},
		{"one team's budget, with 60 pools", 60, 10, 31, func(i int) []document.Change { return []document.Change{team("team7", float64(i+10))} }},
		{"a new class, with 60 pools", 60, 10, 31, func(i int) []document.Change { return []document.Change{service(fmt.Sprint("new", i))} }},
		{"5,000 teams", 0, 2, 11, func(i int) []document.Change {
			var all []document.Change
			for k := range 5_000 {
				all = append(all, team(fmt.Sprint("team", 4*k), float64(i+10)))
			}
			return all
		}},
		{"5,000 teams dropped, 2,000 new", 0, 2, 3, func(i int) []document.Change {
			var all []document.Change
			for k := range 5_000 {
				all = append(all, drop(team(fmt.Sprint("team", 5_000*i+k), 0)))
			}
			for k := range 2_000 {
				all = append(all, team(fmt.Sprint("more", 2_000*i+k), 1))
			}
			return all
		}},
	} {
		beside, loop, whole := loopBlockTimes(t, c.pools, c.times, c.make)
		t.Logf("%s of %d, %d classes: the loop is held %v (median of %d, worst %v), beside it %v; all costs %v",
			c.what, fleetTeams, fleetClasses, loop[c.times/2], c.times, loop[c.times-1], beside[c.times/2], whole)
		if loop[0]*time.Duration(c.part) > whole {
			t.Errorf("%s: the loop is held %v at least, want a part in %d of %v", c.what, loop[0], c.part, whole)
		}
	}
}
