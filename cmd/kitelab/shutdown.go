package main

import (
	"fmt"
	"time"

	"kiteslip/internal/lab/shutdown"
)

// shutdownCmd measures many processes that restart together under load.
type shutdownCmd struct {
	Program   string `default:"bin/kiteslip" help:"The program that is measured."`
	Processes int    `default:"30" help:"Processes that restart together, on one core."`
	Waves     int    `default:"3" help:"Restarts of all of them."`
	Seed      uint64 `default:"7" help:"Of the callers and the faults."`
}

// The bounds that the measurement must keep.
const (
	readyTime     = 10 * time.Second // within which a start should be ready
	minReadyShare = 0.9              // of the starts, within readyTime
)

// Run plays the measurement.
func (c *shutdownCmd) Run() error {
	o, err := shutdown.Measure(c.Program, c.Processes, c.Waves, c.Seed)
	if err != nil {
		return err
	}
	ready := o.ReadyWithin(readyTime)
	fmt.Printf("%d processes on one core, %d restarts: %d requests, %d served, %d refused, %d failed, %d crossed the end of their connection\n",
		o.Processes, o.Restarts, o.Requests, o.Served, o.Refused, o.Failed, o.Raced)
	fmt.Printf("ready: %v median, %v longest of %d starts\n", o.Ready[len(o.Ready)/2].Round(time.Millisecond),
		o.Ready[len(o.Ready)-1].Round(time.Millisecond), len(o.Ready))
	inHand, sent := shutdown.UpperBound(o.CallLimit), shutdown.UpperBound(o.WindowLimit)
	fmt.Printf("the ledger, cold after each wave: %d calls in hand at once (%.1f allowed), %d within any span (%.1f allowed)\n", o.MaxCalls, inHand, o.MaxCallsInWindow, sent)
	var v unmetBounds
	v.require(o.Lost == 0, "%d requests are lost", o.Lost)
	v.require(o.AnsweredTwice == 0, "%d requests are answered twice", o.AnsweredTwice)
	v.require(o.Late == 0, "%d answers are late", o.Late)
	v.require(o.Wrong == 0, "%d answers belong to nothing that was sent", o.Wrong)
	v.require(o.Reset == 0, "%d connections are reset with answers owed", o.Reset)
	v.require(o.RepeatedRuns == 0, "%d second runs", o.RepeatedRuns)
	v.require(o.UncleanExits == 0, "%d processes did not end well by themselves", o.UncleanExits)
	v.require(ready >= minReadyShare, "%.2f of the starts are ready within %v, want %v", ready, readyTime, minReadyShare)
	v.require(float64(o.MaxCalls) <= inHand, "%d calls in hand at once, %.1f allowed", o.MaxCalls, inHand)
	v.require(float64(o.MaxCallsInWindow) <= sent, "%d calls within a span, %.1f allowed", o.MaxCallsInWindow, sent)
	v.require(o.Served > o.Requests/4, "%d of %d requests are served", o.Served, o.Requests)
	return v.finish(fmt.Sprintf("shutdown: processes=%d restarts=%d lost=%d twice=%d second_runs=%d reset=%d late=%d ready_10s=%.2f in_hand=%d in_hand_bound=%.1f sent=%d sent_bound=%.1f",
		o.Processes, o.Restarts, o.Lost, o.AnsweredTwice, o.RepeatedRuns, o.Reset, o.Late, ready, o.MaxCalls, inHand, o.MaxCallsInWindow, sent))
}
