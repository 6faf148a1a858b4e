package main

import (
	"fmt"

	"kiteslip/internal/lab/scale/slopes"
	"kiteslip/internal/lab/scale/target"
)

// slopesCmd measures how the figures of one server grow with the size of the fleet.
type slopesCmd struct {
	Program string   `default:"bin/kiteslip" help:"The program that is measured."`
	Target  string   `default:"docs/capacity/target-fleet.toml" help:"The operators' target."`
	Out     string   `default:"docs/capacity/slopes.json" help:"Where the slopes are kept; empty = nowhere."`
	Short   bool     `help:"Three small sizes, within seconds: its times are no figures, and nothing is kept."`
	Only    []string `help:"Parts to measure: decision, memory, start, traffic, delta, version, follow, connections, latency. Nothing is kept then."`
}

// Run plays the measurement and saves the slopes.
func (c *slopesCmd) Run() error {
	t, err := target.Load(c.Target)
	if err != nil {
		return err
	}
	file, unmet, err := slopes.Run(slopes.Options{Program: c.Program, Target: t, Short: c.Short, Only: c.Only,
		Log: func(line string) { fmt.Println(line) }}, "bin/kitelab slopes")
	if err != nil {
		return err
	}
	knees := 0
	for _, s := range file.Slopes {
		if s.Knee != "" {
			knees++
		}
	}
	kept := "nowhere"
	if c.Out != "" && !c.Short && len(c.Only) == 0 {
		if err = file.Save(c.Out); err != nil {
			return err
		}
		kept = c.Out
	}
	return unmetBounds(unmet).finish(fmt.Sprintf("slopes: build=%s slopes=%d knees=%d short=%d kept=%s", file.Build, len(file.Slopes), knees, len(unmet), kept))
}
