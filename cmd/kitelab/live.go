package main

import (
	"fmt"
	"os"

	"kiteslip/internal/lab/experiment"
	"kiteslip/internal/lab/fleet"
	"kiteslip/internal/lab/live"
)

// liveCmd plays a scenario against the real program.
type liveCmd struct {
	outputs
	Scenario string  `arg:"" type:"existingfile" help:"A scenario file."`
	Program  string  `default:"bin/kiteslip" help:"The program that is played against."`
	Seed     uint64  `default:"1" help:"Of the draws."`
	Seconds  float64 `default:"0" help:"Play only so long; 0 = the whole day."`
	Boxes    int     `default:"0" help:"Play with so many boxes; 0 = those of the scenario."`
}

// maxLateUS is by how much the callers may be late at the 99th percentile before the
// latencies of a run are no longer valid.
const maxLateUS = 1000

// Run plays the day, with its progress on the standard error, and prints the outcome.
func (c *liveCmd) Run() error {
	day, name, err := fleet.Load(c.Scenario)
	if err != nil {
		return err
	}
	day.Seed = c.Seed
	if c.Boxes > 0 {
		day.Boxes = c.Boxes
	}
	if c.Seconds > 0 {
		day.Length = int64(c.Seconds * fleet.Second)
		day.Warmup = min(day.Warmup, day.Length/4)
	}
	o, late, err := playLive(c.Program, day, interruptChannel(), func(at int64, o *fleet.Outcome) {
		second := min(int(at/fleet.Second), len(o.ServedBySecond)-1)
		now := 0.0
		if second > 0 {
			now = o.ServedBySecond[second-1]
		}
		fmt.Fprintf(os.Stderr, "\r%3d s: %6d asked, %.3f of the worth in the last second, %.3f in all, %d tries, %d boxes lost   ",
			at/fleet.Second, o.Asked, now, o.Whole, o.Tries, o.BoxesLost)
	})
	fmt.Fprintln(os.Stderr)
	if err != nil {
		return err
	}
	run := &experiment.Run{Name: name + " on loopback", Failures: day.Failures, Days: []experiment.SeedOutcome{{Seed: 1, Outcome: o}}}
	printRun(os.Stdout, run)
	fmt.Printf("the callers were late by %d us at the 99th percentile, %d us at most\n", late.P99, late.Max)
	if late.P99 > maxLateUS {
		fmt.Println("this run was late: its latencies are not to be trusted")
	}
	return c.write([]*experiment.Run{run}, nil)
}

// playLive plays a day against the program at the given path.
func playLive(program string, day fleet.Day, stop <-chan struct{}, watch func(int64, *fleet.Outcome)) (*fleet.Outcome, fleet.Lateness, error) {
	f, err := live.Launch(program, &day)
	if err != nil {
		return nil, fleet.Lateness{}, err
	}
	defer f.Close()
	return fleet.PlayLive(day, f.Remotes(), f.Replies, stop, watch)
}
