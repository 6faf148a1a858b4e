package fleet

import (
	"errors"
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kiteslip/internal/core"
)

// window is how long the worst part of a day is.
const window = 10 * Second

// Parts are the parts of a score, each from 0 to 1: worth served in time over
// worth asked for, by work.
type Parts struct {
	Whole       float64 `json:"Whole"`
	WorstWindow float64 `json:"WorstWindow"`
	WorstClass  float64 `json:"WorstClass"`
	WorstTeam   float64 `json:"WorstTeam"`
	Score       float64 `json:"Score"` // weighed by the module's goal
}

// Group is what became of the requests of one class or team.
type Group struct {
	Name     string  `json:"Name"`
	Asked    int     `json:"Asked"`
	InTime   int     `json:"InTime"`
	Late     int     `json:"Late"`
	Refused  int     `json:"Refused"`
	Failed   int     `json:"Failed"`
	MedianMS float64 `json:"MedianMS"` // of what was served, from when it was asked
	P99MS    float64 `json:"P99MS"`    // likewise
	Share    float64 `json:"Share"`    // of the worth
}

// Outcome is what became of a day.
type Outcome struct {
	Boxes   int `json:"Boxes"`
	Asked   int `json:"Asked"`
	Tries   int `json:"Tries"`
	Runs    int `json:"Runs"`
	Deaths  int `json:"Deaths"`
	Calls   int `json:"Calls"`   // calls below that were made
	Skips   int `json:"Skips"`   // runs that went on without theirs
	Fallen  int `json:"Fallen"`  // boxes that fell over
	Overdue int `json:"Overdue"` // rule broken: answers after their due time
	Twice   int `json:"Twice"`   // rule broken: second runs of a key on one box
	Parts
	Classes     []Group     `json:"Classes"`
	Teams       []Group     `json:"Teams"`
	Windows     []float64   `json:"Windows"`     // the part of the worth served, by second
	Refused     []int       `json:"Refused"`     // requests that ended refused, by the second they were asked in
	Percentiles [][]float64 `json:"Percentiles"` // by class: latency in ms at each of Quantiles
}

// Quantiles are those of Percentiles, in percent.
var Quantiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9}

// tally adds up worth.
type tally struct {
	asked, got float64
	group      Group
	times      *hdrhistogram.Histogram
}

func (t *tally) share() float64 {
	if t.asked == 0 {
		return 1
	}
	return t.got / t.asked
}

type scorer struct {
	day            *Day
	open           int
	whole          tally
	classes, teams []tally
	seconds        []tally
}

func (s *scorer) start(day *Day) {
	s.day = day
	group := func(name string) tally {
		return tally{group: Group{Name: name}, times: hdrhistogram.New(1, 120*Second, 3)}
	}
	for i := range day.Classes {
		s.classes = append(s.classes, group(day.Classes[i].Name))
	}
	for i := range day.Teams {
		s.teams = append(s.teams, group(day.Teams[i].Name))
	}
	s.seconds = make([]tally, (day.Length+Second-1)/Second)
}

func (s *scorer) all(r *request) [4]*tally {
	return [4]*tally{&s.whole, &s.classes[r.class], &s.teams[r.team], &s.seconds[(r.first-epoch)/Second]}
}

func (s *scorer) asked(r *request) {
	s.open++
	if r.first < epoch+s.day.From {
		return
	}
	for _, t := range s.all(r) {
		t.asked += s.day.Classes[r.class].Worth * r.work
		t.group.Asked++
	}
}

func (s *scorer) ended(r *request, now int64, a *core.Answer) {
	s.open--
	if r.first < epoch+s.day.From {
		return
	}
	c := &s.day.Classes[r.class]
	for _, t := range s.all(r) {
		switch {
		case a == nil || a.Code == core.Refused:
			t.group.Refused++
		case a.Code != core.Served:
			t.group.Failed++
		case now <= r.first+c.TargetTime:
			t.group.InTime++
			t.got += c.Worth * r.work
		default:
			t.group.Late++
			t.got += c.Worth * c.LateWorth * r.work
		}
		if t.times != nil && a != nil && a.Code == core.Served {
			t.times.RecordValue(max(1, now-r.first)) //nolint:errcheck // a longer one counts as the bound
		}
	}
}

func (s *scorer) finish(o *Outcome) {
	least := func(list []tally) float64 {
		share := 1.0
		for i := range list {
			share = min(share, list[i].share())
		}
		return share
	}
	groups := func(list []tally) (out []Group) {
		for i := range list {
			g := list[i].group
			g.Share = list[i].share()
			g.MedianMS, g.P99MS = float64(list[i].times.ValueAtQuantile(50))/1000, float64(list[i].times.ValueAtQuantile(99))/1000
			out = append(out, g)
		}
		return out
	}
	o.Asked = s.whole.group.Asked
	o.Whole, o.WorstClass, o.WorstTeam = s.whole.share(), least(s.classes), least(s.teams)
	o.Classes, o.Teams = groups(s.classes), groups(s.teams)
	for i := range s.classes {
		var at []float64
		for _, q := range Quantiles {
			at = append(at, float64(s.classes[i].times.ValueAtQuantile(q))/1000)
		}
		o.Percentiles = append(o.Percentiles, at)
	}
	o.WorstWindow = 1
	for i := range s.seconds {
		o.Windows = append(o.Windows, s.seconds[i].share())
		o.Refused = append(o.Refused, s.seconds[i].group.Refused)
		if i+window/Second > len(s.seconds) || int64(i)*Second < s.day.From {
			continue
		}
		var t tally
		for j := i; j < i+window/Second; j++ {
			t.asked += s.seconds[j].asked
			t.got += s.seconds[j].got
		}
		o.WorstWindow = min(o.WorstWindow, t.share())
	}
	g := s.day.Policy.Goal
	sum := g.Whole + g.WorstWindow + g.WorstClass + g.WorstTenant
	o.Score = (g.Whole*o.Whole + g.WorstWindow*o.WorstWindow + g.WorstClass*o.WorstClass + g.WorstTenant*o.WorstTeam) / sum
}

// ErrDay is wrapped by all errors about a day.
var ErrDay = errors.New("fleet")

// The bounds of a day.
const (
	mostBoxes   = 10_000
	mostLength  = 24 * 3600 * Second
	mostSubject = 1 << 32
)

// check names each thing that can't be played.
func (d *Day) check() error {
	var errs []error
	want := func(ok bool, key string, value any, wanted string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%w: %s is %v, want %s", ErrDay, key, value, wanted))
		}
	}
	want(d.Boxes > 0 && d.Boxes <= mostBoxes, "boxes", d.Boxes, "1 to 10,000")
	want(d.Box.Cores > 0, "cores", d.Box.Cores, "above 0")
	want(d.Box.Falls >= 0 && d.Box.Falls < 1e6, "falls", d.Box.Falls, "0 or more")
	want(d.Box.Speed > 0 && d.Box.Speed < 1e6, "speed", d.Box.Speed, "above 0")
	want(d.Spread >= 0 && d.Spread < 1, "spread", d.Spread, "0 to below 1")
	want(d.Load > 0 && d.Load <= 100, "load", d.Load, "above 0 and at most 100")
	want(d.Length > 0 && d.Length <= mostLength, "length", d.Length, "above 0 and at most a day")
	want(d.From >= 0 && d.From < d.Length, "from", d.From, "less than the length")
	want(d.Skew == 0 || d.Skew > 1 && d.Skew < 10, "skew", d.Skew, "0, or above 1 and below 10")
	want(d.Subjects > 0 && d.Subjects <= mostSubject, "subjects", d.Subjects, "1 to 2^32")
	want(d.Poison >= 0 && d.Poison <= 1000, "poison", d.Poison, "0 to 1,000")
	want(d.Delay >= 0 && d.Delay <= Second, "delay", d.Delay, "0 to a second")
	want(len(d.Classes) > 0, "classes", len(d.Classes), "one at least")
	want(len(d.Classes) == len(d.Policy.Classes), "classes", len(d.Classes), "those of the module")
	want(len(d.Teams) > 0, "teams", len(d.Teams), "one at least")
	want(len(d.Callers) > 0, "callers", len(d.Callers), "one at least")
	part := 0.0
	for i := range d.Classes {
		c := &d.Classes[i]
		want(c.Part >= 0 && !math.IsInf(c.Part, 0), "class.part", c.Part, "0 or more")
		want(c.Least >= 1 && c.Most >= c.Least && c.Most <= 3600*Second, "class.work", [2]float64{c.Least, c.Most}, "from 1 us up to an hour, in order")
		part += c.Part
	}
	want(part > 0, "class.part", part, "above 0 in all")
	for i := range d.Teams {
		want(d.Teams[i].Part >= 0, "team.part", d.Teams[i].Part, "0 or more")
	}
	for i := range d.Callers {
		c := &d.Callers[i]
		want(c.Weight > 0, "caller.weight", c.Weight, "above 0")
		want(c.Tries > 0 && c.Tries <= 1000, "caller.tries", c.Tries, "1 to 1,000")
		want(c.Hasty >= 0, "caller.hasty", c.Hasty, "0 or more")
	}
	for i := range d.Shape {
		want(d.Shape[i].Rate >= 0 && d.Shape[i].Rate <= 100, "shape.rate", d.Shape[i].Rate, "0 to 100")
		want(i == 0 || d.Shape[i].At > d.Shape[i-1].At, "shape.at", d.Shape[i].At, "later than the one before")
	}
	for i := range d.Failures {
		f := &d.Failures[i]
		want(f.Kind <= Down, "failure.kind", f.Kind, "a known one")
		want(f.At >= 0 && f.For > 0 && f.At+f.For <= mostLength, "failure.at", f.At, "0 or more, and a length")
		want(f.Kind != Down || d.Below != nil, "failure.kind", f.Kind, "a ledger that can be down")
		want(f.Kind == Down || f.Share > 0 && f.Share <= 1, "failure.share", f.Share, "above 0 and at most 1")
		want(f.First >= 0 && f.First < max(1, d.Boxes), "failure.first", f.First, "a box")
		want(f.Kind == Pause || f.Factor > 0 && f.Factor <= 1, "failure.factor", f.Factor, "above 0 and at most 1")
		want(f.Warm >= 0, "failure.warm", f.Warm, "0 or more")
	}
	return errors.Join(errs...)
}
