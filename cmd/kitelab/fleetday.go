package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/fleetday"
	"kiteslip/internal/lab/scale/hollow"
)

// fleetdayCmd plays the day of the target fleet, compressed in time.
type fleetdayCmd struct {
	Program        string `default:"bin/kiteslip" help:"The program that is measured."`
	Seed           uint64 `default:"32" help:"Of the content, the changes, the plan and the callers."`
	Small          bool   `help:"The form of some seconds, with 33 servers: its figures are no measurement."`
	WithoutControl bool   `help:"The real servers alone, by their files: what the day costs without control."`
	Plan           bool   `help:"Print the day's plan, and play nothing."`
	Out            string `default:"docs/capacity/fleetday.json" help:"Where the figures of a whole day are kept; \"\" = nowhere."`
}

// Run plays the day, or prints its plan.
func (c *fleetdayCmd) Run() error {
	form := fleetday.Full()
	if c.Small {
		form = fleetday.Short()
	}
	form.Seed = c.Seed
	if c.Plan {
		for _, e := range form.Plan().Events {
			fmt.Println(e)
		}
		return nil
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	file := figures.New("bin/kitelab fleetday")
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := fleetday.Play(ctx, fleetday.Options{Form: form, Program: c.Program, Self: []string{self},
		WithoutControl: c.WithoutControl, Progress: os.Stderr})
	if err != nil {
		return err
	}
	report.Write(os.Stdout)
	if c.Out != "" && !c.Small && !c.WithoutControl {
		file.Figures = report.Figures
		if err = file.Save(c.Out); err != nil {
			return err
		}
	}
	if len(report.Unmet) > 0 {
		return errUnmet
	}
	return nil
}

type (
	// hollowServersCmd is the process of hollow servers that a fleet day starts from
	// this binary.
	hollowServersCmd struct {
		Spec string `arg:"" help:"What the servers are to be."`
	}
	// hollowCallersCmd is the process of callers that a fleet day starts from this
	// binary.
	hollowCallersCmd struct {
		Spec string `arg:"" help:"What the callers are to be."`
	}
)

// Run runs the servers, commanded on the standard input.
func (c *hollowServersCmd) Run() error { return hollow.RunServers(c.Spec, os.Stdin, os.Stdout) }

// Run runs the callers, commanded on the standard input.
func (c *hollowCallersCmd) Run() error { return hollow.RunCallers(c.Spec, os.Stdin, os.Stdout) }
