package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"kiteslip/internal/lab/fleet"
	"kiteslip/internal/lab/paired"
)

type labCmd struct {
	Program   string `default:"bin/kiteslip" help:"The program that is played against."`
	Scenarios string `default:"scenarios" type:"existingdir" help:"The shelf."`
}

// The promises.
const (
	coverLow, coverHigh = 0.93, 0.97
	scaleMost           = 1.3
	latencyMost         = 0.10
	goodputMost         = 0.03
	pointMost           = 0.01
	liveSeconds         = 12
)

func (c *labCmd) Run() error {
	var v verdict
	load := func(name string) (fleet.Day, string, error) {
		path := filepath.Join(c.Scenarios, name+".toml")
		text, err := os.ReadFile(path)
		if err != nil {
			return fleet.Day{}, "", err
		}
		day, _, err := fleet.Parse(string(text))
		return day, string(text), err
	}
	incident, text, err := load("fifth-dies")
	if err != nil {
		return err
	}
	incident.Seed = 1
	first, err := fleet.Play(incident)
	if err != nil {
		return err
	}
	second, err := fleet.Play(incident)
	if err != nil {
		return err
	}
	same := reflect.DeepEqual(first, second)
	v.want(same, "an incident twice in simulated time is not the same")
	fmt.Printf("an incident twice in simulated time: the same %v, score %.4f\n", same, first.Score)
	cover, err := coverage(text)
	if err != nil {
		return err
	}
	fmt.Printf("two equal settings on draws of their own: the interval covers zero in %.3f of 200 comparisons\n", cover)
	v.want(cover >= coverLow && cover <= coverHigh, "intervals cover zero in %.3f, want %.2f to %.2f", cover, coverLow, coverHigh)
	ratio, err := scale(incident)
	if err != nil {
		return err
	}
	v.want(ratio <= scaleMost, "a request costs %.2f times as much with 1,000 boxes, want %.1f", ratio, scaleMost)
	worst, late, err := c.against(load)
	if err != nil {
		return err
	}
	v.want(worst.latency <= latencyMost, "latency on loopback differs by %.3f, want %.2f", worst.latency, latencyMost)
	v.want(worst.goodput <= goodputMost, "goodput on loopback differs by %.3f, want %.2f", worst.goodput, goodputMost)
	v.want(late <= lateMost, "the callers were late by %d us, want %d", late, lateMost)
	return v.end(fmt.Sprintf("lab: same=%v cover=%.3f scale=%.3f latency=%.3f goodput=%.3f late_us=%d", same, cover, ratio, worst.latency, worst.goodput, late))
}

// coverage compares equal settings on days drawn apart, 200 times.
func coverage(text string) (float64, error) {
	const rounds, pairs = 200, 8
	text = strings.Replace(strings.Replace(text, "boxes = 10", "boxes = 2", 1), "seconds = 60", "seconds = 16", 1)
	text = strings.Replace(strings.Replace(text, "at_s = 20", "at_s = 8", 1), "share = 0.2\n", "share = 0.5\n", 1)
	day, _, err := fleet.Parse(text)
	if err != nil {
		return 0, err
	}
	scores := make([]float64, 2*rounds*pairs)
	var next, covered atomic.Int64
	var all sync.WaitGroup
	errs := make([]error, len(scores))
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(scores)); i = next.Add(1) - 1 {
				d := day
				d.Seed = uint64(i + 1)
				var o *fleet.Outcome
				if o, errs[i] = fleet.Play(d); errs[i] == nil {
					scores[i] = o.Score
				}
			}
		})
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return 0, err
		}
	}
	for i := range rounds {
		at := scores[2*i*pairs:]
		d, err := paired.Compare(at[:pairs], at[pairs:2*pairs])
		if err != nil {
			return 0, err
		}
		if d.Low <= 0 && d.High >= 0 {
			covered.Add(1)
		}
	}
	return float64(covered.Load()) / rounds, nil
}

// scale plays a million requests on 10 boxes and on 1,000, and returns the ratio of their cost.
func scale(day fleet.Day) (float64, error) {
	day.Failures, day.From = nil, 0
	cost := func(boxes int, requests float64) (time.Duration, int, error) {
		d := day
		d.Boxes = boxes
		d.Length = int64(requests / (0.85 * 4 / 0.3 * float64(boxes)) * fleet.Second)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		began := time.Now()
		o, err := fleet.Play(d)
		if err != nil {
			return 0, 0, err
		}
		took := time.Since(began)
		runtime.ReadMemStats(&after)
		fmt.Printf("%d boxes: %d requests in %v, %.1f us a request, %d MB taken from the system\n", boxes, o.Asked, took.Round(time.Millisecond),
			float64(took.Microseconds())/float64(o.Asked), after.Sys>>20)
		return took, o.Asked, nil
	}
	small, n, err := cost(10, 200_000)
	if err != nil {
		return 0, err
	}
	large, m, err := cost(1000, 1_000_000)
	if err != nil {
		return 0, err
	}
	return (float64(large) / float64(m)) / (float64(small) / float64(n)), nil
}

// difference is how far loopback and simulated time lie apart.
type difference struct{ latency, goodput float64 }

// against plays three scenarios on loopback and in simulated time.
func (c *labCmd) against(load func(string) (fleet.Day, string, error)) (worst difference, late int64, err error) {
	for i, name := range []string{"calm-lunch", "slow-zone", "pause-burst"} {
		day, _, err := load(name)
		if err != nil {
			return worst, 0, err
		}
		day.Seed, day.Boxes, day.Length, day.From = uint64(i+1), 4, liveSeconds*fleet.Second, 2*fleet.Second
		day.Load = min(day.Load, 0.6)
		for j := range day.Failures {
			f := &day.Failures[j]
			f.At, f.For, f.First = 4*fleet.Second, min(f.For, 4*fleet.Second), f.First%4
		}
		emulated, err := fleet.Play(day)
		if err != nil {
			return worst, 0, err
		}
		real, l, err := playLive(c.Program, day, nil, nil)
		if err != nil {
			return worst, 0, err
		}
		late = max(late, l.P99)
		d := difference{goodput: math.Abs(real.Whole-emulated.Whole) / emulated.Whole}
		for j, g := range real.Classes {
			e := emulated.Classes[j]
			d.latency = max(d.latency, math.Abs(g.MedianMS-e.MedianMS)/e.MedianMS, math.Abs(g.P99MS-e.P99MS)/e.P99MS)
		}
		fmt.Printf("%s: goodput %.4f on loopback, %.4f emulated; latencies lie %.3f apart at most; callers late by %d us\n", name, real.Whole,
			emulated.Whole, d.latency, l.P99)
		worst.latency, worst.goodput = max(worst.latency, d.latency), max(worst.goodput, d.goodput)
	}
	return worst, late, nil
}
