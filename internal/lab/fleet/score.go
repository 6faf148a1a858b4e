package fleet

import (
	"errors"
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kiteslip/internal/core"
)

// worstWindowUS is the length of the windows of which the worst counts.
const worstWindowUS = 10 * Second

// ScoreParts are a score and its parts, each from 0 to 1. A part is the worth that
// was served over the worth that was requested, both weighted by work.
type ScoreParts struct {
	Whole       float64 `json:"Whole"`       // of all requests
	WorstWindow float64 `json:"WorstWindow"` // of the worst ten seconds
	WorstClass  float64 `json:"WorstClass"`
	WorstTeam   float64 `json:"WorstTeam"`
	Score       float64 `json:"Score"` // the parts, weighted by the policy's goal
}

// Group is the outcome of the requests of one class or team.
type Group struct {
	Name     string  `json:"Name"`
	Asked    int     `json:"Asked"`
	InTime   int     `json:"InTime"`
	Late     int     `json:"Late"`
	Refused  int     `json:"Refused"`
	Failed   int     `json:"Failed"`
	MedianMS float64 `json:"MedianMS"` // latency of what was served, from the start of the request
	P99MS    float64 `json:"P99MS"`    // as MedianMS
	Share    float64 `json:"Share"`    // served worth over requested worth
}

// Outcome is the result of a day.
type Outcome struct {
	Boxes            int `json:"Boxes"`
	Asked            int `json:"Asked"`   // requests after the warm-up
	Tries            int `json:"Tries"`   // of all requests
	Runs             int `json:"Runs"`    // of all requests
	BoxesLost        int `json:"Deaths"`  // by the failures Die and Deploy, and by crashes
	Calls            int `json:"Calls"`   // downstream calls that were made
	SkippedCalls     int `json:"Skips"`   // runs that continued without their call
	Crashes          int `json:"Fallen"`  // boxes that crashed because too many runs were on them
	DeadlineExceeded int `json:"Overdue"` // rule broken: answers after their deadline
	RepeatedRuns     int `json:"Twice"`   // rule broken: further runs of a key on one box within its window
	ScoreParts
	Classes         []Group     `json:"Classes"`
	Teams           []Group     `json:"Teams"`
	ServedBySecond  []float64   `json:"Windows"`     // served worth over requested worth, by the second in which requests began
	RefusedBySecond []int       `json:"Refused"`     // refused requests, likewise by second
	Percentiles     [][]float64 `json:"Percentiles"` // by class: latency in ms at each of PercentileRanks
}

// PercentileRanks are the percentiles that Outcome.Percentiles has, in percent.
var PercentileRanks = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9}

// tally adds up the requests and the worth of one class, team, second or the whole.
type tally struct {
	requestedWorth, servedWorth float64
	group                       Group
	latencies                   *hdrhistogram.Histogram // nil = not recorded
}

// servedShare returns the served worth over the requested worth, 1 if none was
// requested.
func (t *tally) servedShare() float64 {
	if t.requestedWorth == 0 {
		return 1
	}
	return t.servedWorth / t.requestedWorth
}

// scorer scores the requests of a day.
type scorer struct {
	day            *Day
	openRequests   int
	overall        tally
	classes, teams []tally
	seconds        []tally
}

// start prepares the tallies for a day.
func (s *scorer) start(day *Day) {
	s.day = day
	group := func(name string) tally {
		return tally{group: Group{Name: name}, latencies: hdrhistogram.New(1, 120*Second, 3)}
	}
	for i := range day.Classes {
		s.classes = append(s.classes, group(day.Classes[i].Name))
	}
	for i := range day.Teams {
		s.teams = append(s.teams, group(day.Teams[i].Name))
	}
	s.seconds = make([]tally, (day.Length+Second-1)/Second)
}

// tallies returns the tallies that a request counts in.
func (s *scorer) tallies(r *request) [4]*tally {
	return [4]*tally{&s.overall, &s.classes[r.class], &s.teams[r.team], &s.seconds[(r.arrivedAt-epoch)/Second]}
}

// requestStarted counts a new request; those of the warm-up only as open.
func (s *scorer) requestStarted(r *request) {
	s.openRequests++
	if r.arrivedAt < epoch+s.day.Warmup {
		return
	}
	for _, t := range s.tallies(r) {
		t.requestedWorth += s.day.Classes[r.class].Worth * r.work
		t.group.Asked++
	}
}

// requestEnded counts the end of a request with its final answer; nil means that no
// try could be sent.
func (s *scorer) requestEnded(r *request, now int64, a *core.Answer) {
	s.openRequests--
	if r.arrivedAt < epoch+s.day.Warmup {
		return
	}
	c := &s.day.Classes[r.class]
	for _, t := range s.tallies(r) {
		switch {
		case a == nil || a.Code == core.Refused:
			t.group.Refused++
		case a.Code != core.Served:
			t.group.Failed++
		case now <= r.arrivedAt+c.TargetTime:
			t.group.InTime++
			t.servedWorth += c.Worth * r.work
		default:
			t.group.Late++
			t.servedWorth += c.Worth * c.LateWorth * r.work
		}
		if t.latencies != nil && a != nil && a.Code == core.Served {
			t.latencies.RecordValue(max(1, now-r.arrivedAt)) //nolint:errcheck // values above the range of the histogram are left out
		}
	}
}

// finish enters the scores and groups into the outcome.
func (s *scorer) finish(o *Outcome) {
	minShare := func(list []tally) float64 {
		share := 1.0
		for i := range list {
			share = min(share, list[i].servedShare())
		}
		return share
	}
	groups := func(list []tally) (out []Group) {
		for i := range list {
			g := list[i].group
			g.Share = list[i].servedShare()
			g.MedianMS, g.P99MS = float64(list[i].latencies.ValueAtQuantile(50))/1000, float64(list[i].latencies.ValueAtQuantile(99))/1000
			out = append(out, g)
		}
		return out
	}
	o.Asked = s.overall.group.Asked
	o.Whole, o.WorstClass, o.WorstTeam = s.overall.servedShare(), minShare(s.classes), minShare(s.teams)
	o.Classes, o.Teams = groups(s.classes), groups(s.teams)
	for i := range s.classes {
		var latencies []float64
		for _, q := range PercentileRanks {
			latencies = append(latencies, float64(s.classes[i].latencies.ValueAtQuantile(q))/1000)
		}
		o.Percentiles = append(o.Percentiles, latencies)
	}
	o.WorstWindow = 1
	for i := range s.seconds {
		o.ServedBySecond = append(o.ServedBySecond, s.seconds[i].servedShare())
		o.RefusedBySecond = append(o.RefusedBySecond, s.seconds[i].group.Refused)
		if i+worstWindowUS/Second > len(s.seconds) || int64(i)*Second < s.day.Warmup {
			continue
		}
		var window tally
		for j := i; j < i+worstWindowUS/Second; j++ {
			window.requestedWorth += s.seconds[j].requestedWorth
			window.servedWorth += s.seconds[j].servedWorth
		}
		o.WorstWindow = min(o.WorstWindow, window.servedShare())
	}
	g := s.day.Policy.Goal
	sum := g.Whole + g.WorstWindow + g.WorstClass + g.WorstTenant
	o.Score = (g.Whole*o.Whole + g.WorstWindow*o.WorstWindow + g.WorstClass*o.WorstClass + g.WorstTenant*o.WorstTeam) / sum
}

// ErrInvalidDay is wrapped by all errors about a day.
var ErrInvalidDay = errors.New("fleet")

// The bounds of a day.
const (
	maxBoxes    = 10_000
	maxLengthUS = 24 * 3600 * Second
	maxSubjects = 1 << 32
)

// check returns an error that names every invalid value of the day.
func (d *Day) check() error {
	var errs []error
	want := func(ok bool, key string, value any, wanted string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%w: %s is %v, want %s", ErrInvalidDay, key, value, wanted))
		}
	}
	want(d.Boxes > 0 && d.Boxes <= maxBoxes, "boxes", d.Boxes, "1 to 10,000")
	want(d.Box.Cores > 0, "cores", d.Box.Cores, "above 0")
	want(d.Box.MaxRunsPerCore >= 0 && d.Box.MaxRunsPerCore < 1e6, "falls", d.Box.MaxRunsPerCore, "0 or more")
	want(d.Box.Speed > 0 && d.Box.Speed < 1e6, "speed", d.Box.Speed, "above 0")
	want(d.SpeedSpread >= 0 && d.SpeedSpread < 1, "spread", d.SpeedSpread, "0 to below 1")
	want(d.Load > 0 && d.Load <= 100, "load", d.Load, "above 0 and at most 100")
	want(d.Length > 0 && d.Length <= maxLengthUS, "length", d.Length, "above 0 and at most a day")
	want(d.Warmup >= 0 && d.Warmup < d.Length, "from", d.Warmup, "less than the length")
	want(d.SubjectSkew == 0 || d.SubjectSkew > 1 && d.SubjectSkew < 10, "skew", d.SubjectSkew, "0, or above 1 and below 10")
	want(d.Subjects > 0 && d.Subjects <= maxSubjects, "subjects", d.Subjects, "1 to 2^32")
	want(d.TopSubjectFactor >= 0 && d.TopSubjectFactor <= 1000, "poison", d.TopSubjectFactor, "0 to 1,000")
	want(d.NetworkDelay >= 0 && d.NetworkDelay <= Second, "delay", d.NetworkDelay, "0 to a second")
	want(len(d.Classes) > 0, "classes", len(d.Classes), "one at least")
	want(len(d.Classes) == len(d.Policy.Classes), "classes", len(d.Classes), "those of the policy")
	want(len(d.Teams) > 0, "teams", len(d.Teams), "one at least")
	want(len(d.Callers) > 0, "callers", len(d.Callers), "one at least")
	totalShare := 0.0
	for i := range d.Classes {
		c := &d.Classes[i]
		want(c.TrafficShare >= 0 && !math.IsInf(c.TrafficShare, 0), "class.part", c.TrafficShare, "0 or more")
		want(c.MinWork >= 1 && c.MaxWork >= c.MinWork && c.MaxWork <= 3600*Second, "class.work", [2]float64{c.MinWork, c.MaxWork}, "from 1 us up to an hour, in order")
		totalShare += c.TrafficShare
	}
	want(totalShare > 0, "class.part", totalShare, "above 0 in all")
	for i := range d.Teams {
		want(d.Teams[i].TrafficShare >= 0, "team.part", d.Teams[i].TrafficShare, "0 or more")
	}
	for i := range d.Callers {
		c := &d.Callers[i]
		want(c.Weight > 0, "caller.weight", c.Weight, "above 0")
		want(c.MaxTries > 0 && c.MaxTries <= 1000, "caller.tries", c.MaxTries, "1 to 1,000")
		want(c.HedgeDelay >= 0, "caller.hasty", c.HedgeDelay, "0 or more")
	}
	for i := range d.RateCurve {
		want(d.RateCurve[i].Rate >= 0 && d.RateCurve[i].Rate <= 100, "shape.rate", d.RateCurve[i].Rate, "0 to 100")
		want(i == 0 || d.RateCurve[i].At > d.RateCurve[i-1].At, "shape.at", d.RateCurve[i].At, "later than the one before")
	}
	for i := range d.Failures {
		f := &d.Failures[i]
		want(f.Kind <= LedgerDown, "failure.kind", f.Kind, "a known one")
		want(f.At >= 0 && f.Duration > 0 && f.At+f.Duration <= maxLengthUS, "failure.at", f.At, "0 or more, and a length")
		want(f.Kind != LedgerDown || d.Ledger != nil, "failure.kind", f.Kind, "a ledger that can be down")
		want(f.Kind == LedgerDown || f.BoxShare > 0 && f.BoxShare <= 1, "failure.share", f.BoxShare, "above 0 and at most 1")
		want(f.FirstBox >= 0 && f.FirstBox < max(1, d.Boxes), "failure.first", f.FirstBox, "a box")
		want(f.Kind == Pause || f.SpeedFactor > 0 && f.SpeedFactor <= 1, "failure.factor", f.SpeedFactor, "above 0 and at most 1")
		want(f.WarmupTime >= 0, "failure.warm", f.WarmupTime, "0 or more")
	}
	return errors.Join(errs...)
}
