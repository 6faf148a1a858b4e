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
	boxMemoryFor        = 4 * fleet.Second // of a day whose live heap is measured, with the collector at work often
	boxMostKB           = 64               // live heap of one box of 1,000: its core, module, engine and open requests
	bindingLeast        = 0.10             // refused on the days where decisions bind, on both sides
	liveSeconds         = 10
)

// overLoads are days over capacity, made of the first three: those that bind
// must refuse at least bindingLeast on both sides.
var overLoads = []struct {
	base  int
	load  float64
	binds bool
}{{0, 1.1, false}, {0, 1.5, true}, {1, 1.5, true}}

func (c *labCmd) Run() error {
	var v verdict
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
	v.want(same, "an incident twice in simulated time is not the same")
	fmt.Printf("an incident twice in simulated time: the same %v, score %.4f\n", same, first.Score)
	cover, err := coverage(incident)
	if err != nil {
		return err
	}
	fmt.Printf("two equal settings on draws of their own: the interval covers zero in %.3f of 200 comparisons\n", cover)
	v.want(cover >= coverLow && cover <= coverHigh, "intervals cover zero in %.3f, want %.2f to %.2f", cover, coverLow, coverHigh)
	ratio, boxKB, err := scale(incident)
	if err != nil {
		return err
	}
	v.want(ratio <= scaleMost, "a request costs %.2f times as much with 1,000 boxes, want %.1f", ratio, scaleMost)
	v.want(boxKB <= boxMostKB, "a box of 1,000 holds %.0f KB, want at most %d", boxKB, boxMostKB)
	worst, late, err := c.against(&v, load)
	if err != nil {
		return err
	}
	v.want(worst.latency <= latencyMost, "latency on loopback differs by %.3f, want %.2f", worst.latency, latencyMost)
	v.want(worst.goodput <= goodputMost, "goodput on loopback differs by %.3f, want %.2f", worst.goodput, goodputMost)
	v.want(late <= lateMost, "the callers were late by %d us, want %d", late, lateMost)
	return v.end(fmt.Sprintf("lab: same=%v cover=%.3f scale=%.3f box_kb=%.0f latency=%.3f goodput=%.3f binding=%d twice=%.4f late_us=%d", same, cover, ratio,
		boxKB, worst.latency, worst.goodput, worst.binding, worst.twice, late))
}

// coverage compares equal settings on days drawn apart, 200 times.
func coverage(day fleet.Day) (float64, error) {
	const rounds, pairs = 200, 8
	failure := day.Failures[0]
	failure.At, failure.Share = 8*fleet.Second, 0.5
	day.Boxes, day.Length, day.Failures = 2, 16*fleet.Second, []fleet.Failure{failure}
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

// scale plays a million requests on 10 boxes and on 1,000, and returns the
// ratio of their cost and the live heap of one box of 1,000, in KB.
func scale(day fleet.Day) (float64, float64, error) {
	day.Failures, day.From = nil, 0
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
		short.Length = boxMemoryFor
		peak, err := heapPeak(func() error { _, err := fleet.Play(short); return err })
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

// difference is how far loopback and simulated time lie apart.
type difference struct {
	latency, goodput, twice float64
	binding                 int // days compared where the module turns work away
}

// refusedShare is the part of the requests that ended refused.
func refusedShare(o *fleet.Outcome) float64 {
	n := 0
	for _, g := range o.Classes {
		n += g.Refused
	}
	return float64(n) / float64(max(1, o.Asked))
}

// played is a day on loopback and in simulated time.
type played struct {
	name           string
	day            fleet.Day
	emulated, real *fleet.Outcome
	late           int64
	binds          bool // the module is to turn work away
}

// playAll plays the days, two at a time on loopback: more would be late on four cores.
func (c *labCmd) playAll(days []played) error {
	for pair := range slices.Chunk(days, 2) {
		var all sync.WaitGroup
		errs := make([]error, len(pair))
		for i := range pair {
			p := &pair[i]
			all.Go(func() {
				if p.emulated, errs[i] = fleet.Play(p.day); errs[i] != nil {
					return
				}
				var late fleet.Lateness
				p.real, late, errs[i] = playLive(c.Program, p.day, nil, nil)
				p.late = late.P99
			})
		}
		all.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
	}
	return nil
}

// against plays three scenarios on loopback and in simulated time, one of them
// twice, and a change that is known to hurt.
func (c *labCmd) against(v *verdict, load func(string) (fleet.Day, error)) (worst difference, late int64, err error) {
	var days []played
	for i, name := range []string{"calm-lunch", "slow-zone", "pause-burst"} {
		day, err := load(name)
		if err != nil {
			return worst, 0, err
		}
		day.Seed, day.Boxes, day.Length, day.From = uint64(i+1), 4, liveSeconds*fleet.Second, 2*fleet.Second
		day.Load = min(day.Load, 0.6)
		for j := range day.Failures {
			f := &day.Failures[j]
			f.At, f.For, f.First = 4*fleet.Second, min(f.For, 4*fleet.Second), f.First%4
		}
		days = append(days, played{name: name, day: day})
	}
	again, changed := days[1], days[0]
	again.name, changed.name = "slow-zone again", "calm-lunch with the running limit halved"
	changed.day = halved(changed.day)
	days = append(days, again, changed)
	// Where the module turns work away: the comparison can fail where it matters.
	firstOver := len(days)
	for _, o := range overLoads {
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
		late = max(late, p.late)
		d := difference{goodput: math.Abs(p.real.Whole-p.emulated.Whole) / p.emulated.Whole}
		for j, g := range p.real.Classes {
			e := p.emulated.Classes[j]
			d.latency = max(d.latency, math.Abs(g.MedianMS-e.MedianMS)/e.MedianMS, math.Abs(g.P99MS-e.P99MS)/e.P99MS)
		}
		refused := [2]float64{refusedShare(p.real), refusedShare(p.emulated)}
		fmt.Printf("%s: score %.4f and goodput %.4f on loopback, %.4f and %.4f emulated; refused %.3f and %.3f; latencies lie %.3f apart at most; callers late by %d us\n",
			p.name, p.real.Score, p.real.Whole, p.emulated.Score, p.emulated.Whole, refused[0], refused[1], d.latency, p.late)
		if i < 3 || i >= firstOver { // not the repeat nor the halved limit: they are judged below
			worst.latency, worst.goodput = max(worst.latency, d.latency), max(worst.goodput, d.goodput)
		}
		if p.binds {
			worst.binding++
			v.want(min(refused[0], refused[1]) >= bindingLeast, "%s refused %.3f and %.3f, want at least %.2f", p.name, refused[0], refused[1], bindingLeast)
		}
	}
	worst.twice = math.Abs(days[1].real.Score - days[3].real.Score)
	fmt.Printf("the same incident twice on loopback: scores lie %.4f apart\n", worst.twice)
	v.want(worst.twice <= pointMost, "an incident twice on loopback scores %.4f apart, want %.2f", worst.twice, pointMost)
	return worst, late, c.known(v, &days[0], &days[4])
}

// halved is a day on which one pool of all classes has half of the running places.
func halved(day fleet.Day) fleet.Day {
	all := pool.Spec{Name: "all", MaxShare: 0.5}
	for i := range day.Classes {
		all.Classes = append(all.Classes, i)
	}
	day.Pools = pool.SettingsFor(&day.Policy)
	day.Pools.Pools = []pool.Spec{all}
	return day
}

// known compares a change that is known to hurt in simulated time, and looks
// whether loopback lies within the interval of what the same draws promise there.
func (c *labCmd) known(v *verdict, a, b *played) error {
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
	v.want(d.Verdict == paired.Worse, "a running limit halved is not found to hurt: %s", d.Verdict)
	v.want(math.Abs(real-emulated) <= max(half, pointMost), "the change is %+.4f on loopback and %+.4f emulated, the interval's half is %.4f", real, emulated, half)
	return nil
}
