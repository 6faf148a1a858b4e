package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"kiteslip"
	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
	"kiteslip/internal/core"
)

// smallSettings is a machine with less room than it is asked for, and settings of its
// own that hold beside a version's.
const smallSettings = `{"name": "n", "listen": "127.0.0.1:0", "engine": "127.0.0.1:1", "settings": {"classes": [
  {"name": "look", "effect": "repeatable", "on_time_us": 300000, "hard_limit_us": 900000, "worth": 1}],
 "tenants": [{"name": "red", "quota_per_s": 20}],
 "ceilings": {"max_retry_after_us": 1000000, "retry_after": true},
 "family_info": {"cores": 2, "memory_kb": 4000, "blowup": 4, "key_kb": 8, "idle_us": 60000000, "callers": 4, "gauges": ["cpu_busy", "runnable"]},
 "rules": {"answer_slack_us": 60000, "drain_grace_us": 2000000, "fall_multiple": 8, "fall_us": 1500000},
 "goal": {"whole": 1}, "tick_us": 4000, "group_size": 1}}`

// contentEntry is one class of a service, or one team.
type contentEntry struct {
	name                       string
	targetMS, timeoutMS, worth float64 // of a class; a team has none
	quota                      float64
}

// operatorText words deals as an operator's file.
func operatorText(deals []contentEntry) string {
	var b strings.Builder
	for _, d := range deals {
		if d.quota > 0 {
			fmt.Fprintf(&b, "[[team]]\nname = %q\nrequests_per_s = %v\n", d.name, d.quota)
			continue
		}
		fmt.Fprintf(&b, "[[service]]\nname = %q\n[[service.contract]]\nclass = %q\neffect = \"repeatable\"\naim_ms = %v\ndeadline_ms = %v\nworth = %v\n",
			d.name, d.name, d.targetMS, d.timeoutMS, d.worth)
	}
	return b.String()
}

// versionContent is the same as a version holds it.
func versionContent(deals []contentEntry) *document.Content {
	c := &document.Content{}
	for i := range deals {
		d := &deals[i]
		if d.quota > 0 {
			c.Teams = append(c.Teams, document.Team{Name: d.name, Quota: d.quota})
			continue
		}
		c.Services = append(c.Services, document.Service{Name: d.name, Contracts: []document.Contract{
			{Class: d.name, Effect: "repeatable", TargetTimeMS: &d.targetMS, DeadlineMS: &d.timeoutMS, Worth: &d.worth}}})
	}
	return c
}

// simulation plays requests on a core and notes all that it decides, by name.
type simulation struct {
	t    *testing.T
	core *core.Core
	now  int64
	runs []run
	log  []string
}

type run struct {
	request *core.Request
	end     int64
}

func (d *simulation) Run(r *core.Request) {
	d.log = append(d.log, fmt.Sprintf("%d run %s", d.now, r.TryID))
	d.runs = append(d.runs, run{r, d.now + int64(len(r.Body))*1000})
}

// answerLog notes what becomes of one request.
type answerLog struct {
	d *simulation
	r *core.Request
}

func (a answerLog) Answer(_ uint32, b core.Answer) {
	a.d.log = append(a.d.log, fmt.Sprintf("%d %s: Code:%d %d bytes, hold off %d, no more %t, cause %v", a.d.now, a.r.TryID, b.Code,
		len(b.Result), b.RetryAfter, b.NoFailover, b.Cause))
}

// advance lets time go by, with the ends of runs and the core's own times.
func (d *simulation) advance(t int64) {
	for {
		next := t
		for _, r := range d.runs {
			next = min(next, r.end)
		}
		if at := d.core.NextStep(); at != 0 {
			next = min(next, max(at, d.now+1))
		}
		d.now = max(d.now, next)
		var ended []run
		d.runs = slices.DeleteFunc(d.runs, func(r run) bool {
			if r.end <= d.now {
				ended = append(ended, r)
				return true
			}
			return false
		})
		for _, r := range ended {
			d.core.Done(r.request, kiteslip.OK, int64(len(r.request.Body))*1000, r.request.Body)
		}
		d.core.Step(d.now)
		if d.now >= t {
			return
		}
	}
}

// play sends the same requests, by the names of their classes and teams, as any other day.
func (d *simulation) play(cfg *config.Config, deals []contentEntry) []string {
	d.t.Helper()
	var classes, teams []int
	for _, x := range deals {
		if x.quota > 0 {
			teams = append(teams, slices.Index(cfg.Tenants, x.name))
		} else {
			classes = append(classes, slices.Index(cfg.Classes, x.name))
		}
	}
	if slices.Contains(classes, -1) || slices.Contains(teams, -1) {
		d.t.Fatalf("classes %v, teams %v", cfg.Classes, cfg.Tenants)
	}
	draw := rand.New(rand.NewPCG(3, 4))
	for i := range 3000 {
		d.advance(d.now + 50 + draw.Int64N(900))
		class, team := classes[draw.IntN(len(classes))], teams[draw.IntN(len(teams))]
		r := &core.Request{TryID: fmt.Sprintf("%016x", i+1), Class: class, Tenant: team, Arrived: d.now, SizeKB: 16 + float64(draw.IntN(64)),
			Deadline: d.now + cfg.Policy.Classes[class].Timeout, Body: make([]byte, 1+draw.IntN(40))}
		r.ReplyTo = answerLog{d, r}
		if err := d.core.Submit(d.now, r); err != nil {
			d.t.Fatal(err)
		}
	}
	d.advance(d.now + 5_000_000)
	return d.log
}

func newSimulation(t *testing.T, cfg *config.Config) *simulation {
	t.Helper()
	d := &simulation{t: t, now: 1_000_000_000_000}
	var err error
	if d.core, err = core.New(core.Settings{Policy: cfg.Policy, Seed: 9, Pools: cfg.PoolSettings()}, d); err != nil {
		t.Fatal(err)
	}
	d.core.Step(d.now)
	return d
}

// The decisions that a server makes by a version are those that it makes by a file
// with the same content: the same requests through both, from the start and
// after a change while it runs.
func TestVersionDecisionsMatchFile(t *testing.T) {
	read := func(text string) *config.Config {
		t.Helper()
		cfg, err := config.Parse([]byte(smallSettings), func(string) string { return "" })
		if err == nil && text != "" {
			cfg, err = config.ParseOperator(text, cfg)
		}
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	version := func(on *document.Document, deals []contentEntry) (*document.Document, *document.Delta) {
		t.Helper()
		delta, err := on.Draft(on.Diff(versionContent(deals)), document.Meta{Author: "anna", Reason: "the same", Time: 1})
		if err != nil {
			t.Fatal(err)
		}
		doc, err := on.Apply(delta)
		if err != nil {
			t.Fatal(err)
		}
		return doc, delta
	}
	before := []contentEntry{{name: "draw", targetMS: 200, timeoutMS: 700, worth: 3}, {name: "sum", targetMS: 300, timeoutMS: 900, worth: 1}, {name: "lime", quota: 10}, {name: "teal", quota: 30}}
	after := []contentEntry{{name: "count", targetMS: 100, timeoutMS: 300, worth: 9}, {name: "draw", targetMS: 250, timeoutMS: 500, worth: 2}, {name: "sum", targetMS: 300, timeoutMS: 900, worth: 1},
		{name: "lime", quota: 40}, {name: "plum", quota: 5}, {name: "teal", quota: 12}}
	first, _ := version(document.Empty(), before)
	second, delta := version(first, after)
	same := func(what string, a, b []string) {
		t.Helper()
		refused, served := 0, 0
		for i := range a {
			if i >= len(b) || a[i] != b[i] {
				t.Fatalf("%s: decision %d by the file\n%s\nby the version\n%v", what, i, a[i], b[min(i, len(b)-1)])
			}
			if strings.Contains(a[i], "Code:"+fmt.Sprint(uint8(core.Refused))) {
				refused++
			} else if strings.Contains(a[i], "Code:") {
				served++
			}
		}
		if len(a) != len(b) || refused < 100 || served < 100 {
			t.Errorf("%s: %d and %d decisions, %d refused, %d others", what, len(a), len(b), refused, served)
		}
	}

	byFile, err := read("").WithDocument(second)
	if err != nil {
		t.Fatal(err)
	}
	file := read(operatorText(after))
	same("from the start", newSimulation(t, file).play(file, after), newSimulation(t, byFile).play(byFile, after))

	// A change while it runs: SIGHUP with a file, and a delta.
	reload, step := config.NewUpdater(read(operatorText(before))), (*config.Updater)(nil)
	started, err := read("").WithDocument(first)
	if err != nil {
		t.Fatal(err)
	}
	step = config.NewUpdater(started)
	hot := func(cfg *config.Config, change func() (*config.Change, error)) []string {
		t.Helper()
		d := newSimulation(t, cfg)
		ch, err := change()
		if err == nil {
			err = d.core.Reconfigure(ch.Config.Policy, ch.Config.RetiredClasses, ch.Pools)
		}
		if err != nil {
			t.Fatal(err)
		}
		return d.play(ch.Config, after)
	}
	a := hot(read(operatorText(before)), func() (*config.Change, error) { return reload.PrepareFile(read(operatorText(after))) })
	same("after a change", a, hot(started, func() (*config.Change, error) { return step.PrepareVersion(second, delta) }))
}
