package main

import (
	"errors"
	"fmt"
	"math"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kiteslip/internal/lab/fleet"
	"kiteslip/internal/lab/paired"
	"kiteslip/internal/pool"
)

// labCmd measures the laboratory itself: whether simulated days are reproducible,
// its intervals are right and it agrees with the real program.
type labCmd struct {
	Program   string `default:"bin/kiteslip" help:"The program that is played against."`
	Scenarios string `default:"scenarios" type:"existingdir" help:"The shelf."`
}

// The parameters of the measurement, and the bounds that it must keep.
const (
	minCoverage, maxCoverage = 0.93, 0.97       // how often 95% intervals cover the truth
	maxScaleRatio            = 1.3              // cost of a request with 1,000 boxes, over that with 10
	maxLatencyGap            = 0.10             // loopback against simulated time, relative
	maxGoodputGap            = 0.03             // likewise
	maxScoreGap              = 0.01             // between two runs of a day on loopback
	boxMemoryDayUS           = 4 * fleet.Second // length of the day whose live heap is measured; the frequent collections make it slow
	maxBoxKB                 = 64               // live heap of one box of 1,000: its core, policy, engine and open requests
	minBindingRefusals       = 0.10             // share refused on overloaded days that bind, on loopback and in simulated time
	liveSeconds              = 10               // length of the days on loopback
)

// overloadedDays are days over capacity, derived from the first three days of the
// comparison. On those that bind, loopback and simulated time must both refuse at
// least minBindingRefusals.
var overloadedDays = []struct {
	base  int
	load  float64
	binds bool
}{{0, 1.1, false}, {0, 1.5, true}, {1, 1.5, true}}

// Run plays the measurement.
func (c *labCmd) Run() error {
	var v unmetBounds
	load := func(name string) (fleet.Day, error) {
		day, _, err := fleet.Load(filepath.Join(c.Scenarios, name+".toml"))
		return day, err
	}
	incident, err := load("fifth-dies")
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
	v.require(same, "an incident twice in simulated time is not the same")
	fmt.Printf("an incident twice in simulated time: the same %v, score %.4f\n", same, first.Score)
	cover, err := intervalCoverage(incident)
	if err != nil {
		return err
	}
	fmt.Printf("two equal settings on draws of their own: the interval covers zero in %.3f of 200 comparisons\n", cover)
	v.require(cover >= minCoverage && cover <= maxCoverage, "intervals cover zero in %.3f, want %.2f to %.2f", cover, minCoverage, maxCoverage)
	ratio, boxKB, err := measureScale(incident)
	if err != nil {
		return err
	}
	v.require(ratio <= maxScaleRatio, "a request costs %.2f times as much with 1,000 boxes, want %.1f", ratio, maxScaleRatio)
	v.require(boxKB <= maxBoxKB, "a box of 1,000 holds %.0f KB, want at most %d", boxKB, maxBoxKB)
	worst, late, err := c.compareWithLoopback(&v, load)
	if err != nil {
		return err
	}
	v.require(worst.latency <= maxLatencyGap, "latency on loopback differs by %.3f, want %.2f", worst.latency, maxLatencyGap)
	v.require(worst.goodput <= maxGoodputGap, "goodput on loopback differs by %.3f, want %.2f", worst.goodput, maxGoodputGap)
	v.require(late <= maxLateUS, "the callers were late by %d us, want %d", late, maxLateUS)
	return v.finish(fmt.Sprintf("lab: same=%v cover=%.3f scale=%.3f box_kb=%.0f latency=%.3f goodput=%.3f binding=%d twice=%.4f late_us=%d", same, cover, ratio,
		boxKB, worst.latency, worst.goodput, worst.bindingDays, worst.repeatGap, late))
}

// intervalCoverage compares equal settings on independently drawn days 200 times and
// returns how often the interval covers zero.
func intervalCoverage(day fleet.Day) (float64, error) {
	const rounds, pairs = 200, 8
	failure := day.Failures[0]
	failure.At, failure.BoxShare = 8*fleet.Second, 0.5
	day.Boxes, day.Length, day.Failures = 2, 16*fleet.Second, []fleet.Failure{failure}
	scores := make([]float64, 2*rounds*pairs)
	var next, covered atomic.Int64
	var wg sync.WaitGroup
	errs := make([]error, len(scores))
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
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
	wg.Wait()
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

// measureScale plays 200,000 requests on 10 boxes and a million on 1,000. It returns
// the ratio of the costs of one request and the live heap of one box of 1,000, in KB.
func measureScale(day fleet.Day) (float64, float64, error) {
	day.Failures, day.Warmup = nil, 0
	cost := func(boxes int, requests float64) (time.Duration, int, float64, error) {
		d := day
		d.Boxes = boxes
		d.Length = int64(requests / (0.85 * 4 / 0.3 * float64(boxes)) * fleet.Second)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		began := time.Now()
		o, err := fleet.Play(d)
		if err != nil {
			return 0, 0, 0, err
		}
		took := time.Since(began)
		runtime.ReadMemStats(&after)
		short := d
		short.Length = boxMemoryDayUS
		peak, err := peakLiveHeap(func() error { _, err := fleet.Play(short); return err })
		if err != nil {
			return 0, 0, 0, err
		}
		kb := float64(peak) / 1024 / float64(boxes)
		fmt.Printf("%d boxes: %d requests in %v, %.1f us a request, %d MB taken from the system, %.0f KB live a box at most\n", boxes, o.Asked,
			took.Round(time.Millisecond), float64(took.Microseconds())/float64(o.Asked), after.Sys>>20, kb)
		return took, o.Asked, kb, nil
	}
	small, n, _, err := cost(10, 200_000)
	if err != nil {
		return 0, 0, err
	}
	large, m, kb, err := cost(1000, 1_000_000)
	if err != nil {
		return 0, 0, err
	}
	return (float64(large) / float64(m)) / (float64(small) / float64(n)), kb, nil
}

// loopbackGap is by how much loopback and simulated time differ at most.
type loopbackGap struct {
	latency, goodput, repeatGap float64
	bindingDays                 int // days compared on which the policy must refuse work
}

// refusedShare returns the share of the requests that were refused.
func refusedShare(o *fleet.Outcome) float64 {
	n := 0
	for _, g := range o.Classes {
		n += g.Refused
	}
	return float64(n) / float64(max(1, o.Asked))
}

// playedDay is a day with its outcomes on loopback and in simulated time.
type playedDay struct {
	name           string
	day            fleet.Day
	emulated, real *fleet.Outcome
	lateUS         int64
	binds          bool // the policy must refuse work
}

// playAll plays the days on loopback and in simulated time. Two at a time run on
// loopback: on four cores the callers of more would be late.
func (c *labCmd) playAll(days []playedDay) error {
	for pair := range slices.Chunk(days, 2) {
		var wg sync.WaitGroup
		errs := make([]error, len(pair))
		for i := range pair {
			p := &pair[i]
			wg.Go(func() {
				if p.emulated, errs[i] = fleet.Play(p.day); errs[i] != nil {
					return
				}
				var late fleet.Lateness
				p.real, late, errs[i] = playLive(c.Program, p.day, nil, nil)
				p.lateUS = late.P99
			})
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	return nil
}

// compareWithLoopback plays three scenarios on loopback and in simulated time, also
// overloaded, one of them twice, and a change that is known to lower the score. It
// returns the largest differences and lateness.
func (c *labCmd) compareWithLoopback(v *unmetBounds, load func(string) (fleet.Day, error)) (worst loopbackGap, late int64, err error) {
	var days []playedDay
	for i, name := range []string{"calm-lunch", "slow-zone", "pause-burst"} {
		day, err := load(name)
		if err != nil {
			return worst, 0, err
		}
		day.Seed, day.Boxes, day.Length, day.Warmup = uint64(i+1), 4, liveSeconds*fleet.Second, 2*fleet.Second
		day.Load = min(day.Load, 0.6)
		for j := range day.Failures {
			f := &day.Failures[j]
			f.At, f.Duration, f.FirstBox = 4*fleet.Second, min(f.Duration, 4*fleet.Second), f.FirstBox%4
		}
		days = append(days, playedDay{name: name, day: day})
	}
	again, changed := days[1], days[0]
	again.name, changed.name = "slow-zone again", "calm-lunch with the running limit halved"
	changed.day = withHalvedLimit(changed.day)
	days = append(days, again, changed)
	// Overloaded days: agreement counts most where the policy must refuse work.
	firstOver := len(days)
	for _, o := range overloadedDays {
		p := days[o.base]
		p.day.Load, p.binds = o.load, o.binds
		p.name = fmt.Sprintf("%s at %.1f times capacity", p.name, o.load)
		days = append(days, p)
	}
	if err := c.playAll(days); err != nil {
		return worst, 0, err
	}
	for i := range days {
		p := &days[i]
		late = max(late, p.lateUS)
		d := loopbackGap{goodput: math.Abs(p.real.Whole-p.emulated.Whole) / p.emulated.Whole}
		for j, g := range p.real.Classes {
			e := p.emulated.Classes[j]
			d.latency = max(d.latency, math.Abs(g.MedianMS-e.MedianMS)/e.MedianMS, math.Abs(g.P99MS-e.P99MS)/e.P99MS)
		}
		refused := [2]float64{refusedShare(p.real), refusedShare(p.emulated)}
		fmt.Printf("%s: score %.4f and goodput %.4f on loopback, %.4f and %.4f emulated; refused %.3f and %.3f; latencies lie %.3f apart at most; callers late by %d us\n",
			p.name, p.real.Score, p.real.Whole, p.emulated.Score, p.emulated.Whole, refused[0], refused[1], d.latency, p.lateUS)
		if i < 3 || i >= firstOver { // the repeat and the halved limit are judged below
			worst.latency, worst.goodput = max(worst.latency, d.latency), max(worst.goodput, d.goodput)
		}
		if p.binds {
			worst.bindingDays++
			v.require(min(refused[0], refused[1]) >= minBindingRefusals, "%s refused %.3f and %.3f, want at least %.2f", p.name, refused[0], refused[1], minBindingRefusals)
		}
	}
	worst.repeatGap = math.Abs(days[1].real.Score - days[3].real.Score)
	fmt.Printf("the same incident twice on loopback: scores lie %.4f apart\n", worst.repeatGap)
	v.require(worst.repeatGap <= maxScoreGap, "an incident twice on loopback scores %.4f apart, want %.2f", worst.repeatGap, maxScoreGap)
	return worst, late, c.checkKnownChange(v, &days[0], &days[4])
}

// withHalvedLimit returns the day with one pool of all classes that may use half of
// the running slots.
func withHalvedLimit(day fleet.Day) fleet.Day {
	all := pool.Spec{Name: "all", MaxShare: 0.5}
	for i := range day.Classes {
		all.Classes = append(all.Classes, i)
	}
	day.Pools = pool.SettingsFor(&day.Policy)
	day.Pools.Pools = []pool.Spec{all}
	return day
}

// checkKnownChange checks that a change that is known to lower the score, from a to b,
// is found to do so in simulated time, and that its effect on loopback is within half
// an interval of its effect in simulated time on the same draws.
func (c *labCmd) checkKnownChange(v *unmetBounds, a, b *playedDay) error {
	const seeds = 24
	before, after := make([]float64, seeds), make([]float64, seeds)
	for i := range seeds {
		for j, day := range []fleet.Day{a.day, b.day} {
			day.Seed = uint64(i + 1)
			o, err := fleet.Play(day)
			if err != nil {
				return err
			}
			[][]float64{before, after}[j][i] = o.Score
		}
	}
	d, err := paired.Compare(before, after)
	if err != nil {
		return err
	}
	emulated, real := b.emulated.Score-a.emulated.Score, b.real.Score-a.real.Score
	half := (d.High - d.Low) / 2
	fmt.Printf("a running limit halved: score %+.4f, 95%% interval %+.4f to %+.4f, %s; on one seed %+.4f emulated, %+.4f on loopback\n",
		d.Mean, d.Low, d.High, d.Verdict, emulated, real)
	v.require(d.Verdict == paired.Worse, "a running limit halved is not found to hurt: %s", d.Verdict)
	v.require(math.Abs(real-emulated) <= max(half, maxScoreGap), "the change is %+.4f on loopback and %+.4f emulated, the interval's half is %.4f", real, emulated, half)
	return nil
}
