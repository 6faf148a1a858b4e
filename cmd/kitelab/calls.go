package main

import (
	"fmt"
	"time"

	"kiteslip/internal/lab/calls"
)

// callsCmd measures downstream calls under faults, and their cost.
type callsCmd struct {
	Program string `default:"bin/kiteslip" help:"The program that is measured."`
	Runs    int    `default:"10000" help:"Runs with calls, under faults."`
	Cost    int    `default:"20000" help:"Requests of each measurement of cost."`
	Seed    uint64 `default:"5" help:"Of the runs and the faults."`
}

// The bounds that the measurement must keep.
const (
	maxCallAddedP99 = time.Millisecond       // latency that one call adds at the 99th percentile
	maxCallCPU      = 500 * time.Microsecond // processor time that one call adds
	minServedShare  = 0.6                    // of the runs, while one call in four fails and the ledger and its link are down at times
)

// Run plays the measurement.
func (c *callsCmd) Run() error {
	var v unmetBounds
	rig, err := calls.Open(c.Program, calls.Faulty)
	if err != nil {
		return err
	}
	o, err := rig.Faults(c.Runs, c.Seed)
	rig.Close()
	if err != nil {
		return err
	}
	fmt.Println(o)
	v.require(o.Late == 0 && o.Unanswered == 0, "%d answers late, %d absent", o.Late, o.Unanswered)
	v.require(o.Wrong == 0, "%d results that no run made", o.Wrong)
	v.require(o.RepeatedRuns == 0 && o.RepeatedEffects == 0, "%d keyed runs and %d calls with an effect made twice", o.RepeatedRuns, o.RepeatedEffects)
	v.require(o.UnfinishedCalls == 0, "%d calls without one end", o.UnfinishedCalls)
	v.require(float64(o.Served) >= minServedShare*float64(o.Runs), "%d of %d runs served, want %v", o.Served, o.Runs, minServedShare)
	if rig, err = calls.Open(c.Program, nil); err != nil {
		return err
	}
	defer rig.Close()
	if _, err = rig.Cost(c.Cost/10, 1); err != nil { // warm-up: the first requests also pay for state that is set up once
		return err
	}
	none, err := rig.Cost(c.Cost, 0)
	if err != nil {
		return err
	}
	one, err := rig.Cost(c.Cost, 1)
	if err != nil {
		return err
	}
	fmt.Printf("a request without a call: %v of the processor, median %v, 99th %v\n", none.CPU, none.Median, none.P99)
	fmt.Printf("a request with one call:  %v of the processor, median %v, 99th %v\n", one.CPU, one.Median, one.P99)
	cost, added := one.CPU-none.CPU, one.P99-none.P99
	v.require(added <= maxCallAddedP99, "a call adds %v to the 99th percentile, want %v", added, maxCallAddedP99)
	v.require(cost <= maxCallCPU, "a call costs %v of the processor, want %v", cost, maxCallCPU)
	return v.finish(fmt.Sprintf("calls: runs=%d calls=%d given_up=%d served=%d refused=%d failed=%d cuts=%d downs=%d late=%d absent=%d wrong=%d "+
		"second_runs=%d second_effects=%d unended=%d cost_us=%d added_p50_us=%d added_p99_us=%d", o.Runs, o.Calls, o.GivenUp, o.Served, o.Refused, o.Failed,
		o.LinkCuts, o.LedgerOutages, o.Late, o.Unanswered, o.Wrong, o.RepeatedRuns, o.RepeatedEffects, o.UnfinishedCalls, cost.Microseconds(),
		(one.Median - none.Median).Microseconds(), added.Microseconds()))
}
