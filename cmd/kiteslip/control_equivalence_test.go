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

// smallSettings is a platform's file of an overloaded machine, with a class and a team of
// its own beside those of a version.
const smallSettings = `{"name": "n", "listen": "127.0.0.1:0", "engine": "127.0.0.1:1", "settings": {"classes": [
  {"name": "look", "effect": "repeatable", "on_time_us": 300000, "hard_limit_us": 900000, "worth": 1}],
 "tenants": [{"name": "red", "quota_per_s": 20}],
 "ceilings": {"max_retry_after_us": 1000000, "retry_after": true},
 "family_info": {"cores": 2, "memory_kb": 4000, "blowup": 4, "key_kb": 8, "idle_us": 60000000, "callers": 4, "gauges": ["cpu_busy", "runnable"]},
 "rules": {"answer_slack_us": 60000, "drain_grace_us": 2000000, "fall_multiple": 8, "fall_us": 1500000},
 "goal": {"whole": 1}, "tick_us": 4000, "group_size": 1}}`

// contentEntry is a service with one class, or a team.
type contentEntry struct {
	name                       string
	targetMS, timeoutMS, worth float64 // of a class; 0 for a team
	quota                      float64
}

// operatorText returns the entries as an operator's file.
func operatorText(entries []contentEntry) string {
	var b strings.Builder
	for _, d := range entries {
		if d.quota > 0 {
			fmt.Fprintf(&b, "[[team]]\nname = %q\nrequests_per_s = %v\n", d.name, d.quota)
			continue
		}
		fmt.Fprintf(&b, "[[service]]\nname = %q\n[[service.contract]]\nclass = %q\neffect = \"repeatable\"\naim_ms = %v\ndeadline_ms = %v\nworth = %v\n",
			d.name, d.name, d.targetMS, d.timeoutMS, d.worth)
	}
	return b.String()
}

// versionContent returns the entries as the content of a version.
func versionContent(entries []contentEntry) *document.Content {
	c := &document.Content{}
	for i := range entries {
		d := &entries[i]
		if d.quota > 0 {
			c.Teams = append(c.Teams, document.Team{Name: d.name, Quota: d.quota})
			continue
		}
		c.Services = append(c.Services, document.Service{Name: d.name, Contracts: []document.Contract{
			{Class: d.name, Effect: "repeatable", TargetTimeMS: &d.targetMS, DeadlineMS: &d.timeoutMS, Worth: &d.worth}}})
	}
	return c
}

// simulation submits requests to a core on a simulated clock and records its decisions
// by the requests' names.
type simulation struct {
	t    *testing.T
	core *core.Core
	now  int64
	runs []run
	log  []string
}

// run is a run in progress.
type run struct {
	request *core.Request
	end     int64
}

// Run starts a run whose work is a millisecond for each byte of the body.
func (d *simulation) Run(r *core.Request) {
	d.log = append(d.log, fmt.Sprintf("%d run %s", d.now, r.TryID))
	d.runs = append(d.runs, run{r, d.now + int64(len(r.Body))*1000})
}

// answerLog records the answer of one request.
type answerLog struct {
	d *simulation
	r *core.Request
}

func (a answerLog) Answer(_ uint32, b core.Answer) {
	a.d.log = append(a.d.log, fmt.Sprintf("%d %s: Code:%d %d bytes, hold off %d, no more %t, cause %v", a.d.now, a.r.TryID, b.Code,
		len(b.Result), b.RetryAfter, b.NoFailover, b.Cause))
}

// advance sets the clock to t, with the ends of runs and the steps of the core until then.
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

// play submits a fixed sequence of requests, which does not depend on the slots of their
// classes and teams, and returns the decisions.
func (d *simulation) play(cfg *config.Config, entries []contentEntry) []string {
	d.t.Helper()
	var classes, teams []int
	for _, e := range entries {
		if e.quota > 0 {
			teams = append(teams, slices.Index(cfg.Tenants, e.name))
		} else {
			classes = append(classes, slices.Index(cfg.Classes, e.name))
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

// newSimulation returns a simulation of a server with this configuration.
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

// A server decides the same with a version as with a file of the same content, from the
// start and after a change while it runs. Guards against settings that one of the two
// ways loses or applies differently.
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
	version := func(parent *document.Document, entries []contentEntry) (*document.Document, *document.Delta) {
		t.Helper()
		delta, err := parent.Draft(parent.Diff(versionContent(entries)), document.Meta{Author: "anna", Reason: "the same", Time: 1})
		if err != nil {
			t.Fatal(err)
		}
		doc, err := parent.Apply(delta)
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
				t.Fatalf("%s: decision %d with the file\n%s\nwith the version\n%v", what, i, a[i], b[min(i, len(b)-1)])
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

	withVersion, err := read("").WithDocument(second)
	if err != nil {
		t.Fatal(err)
	}
	file := read(operatorText(after))
	same("from the start", newSimulation(t, file).play(file, after), newSimulation(t, withVersion).play(withVersion, after))

	// A change while the server runs: SIGHUP with a file, and a delta.
	fileUpdater, versionUpdater := config.NewUpdater(read(operatorText(before))), (*config.Updater)(nil)
	started, err := read("").WithDocument(first)
	if err != nil {
		t.Fatal(err)
	}
	versionUpdater = config.NewUpdater(started)
	playAfterChange := func(cfg *config.Config, change func() (*config.Change, error)) []string {
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
	a := playAfterChange(read(operatorText(before)), func() (*config.Change, error) { return fileUpdater.PrepareFile(read(operatorText(after))) })
	same("after a change", a, playAfterChange(started, func() (*config.Change, error) { return versionUpdater.PrepareVersion(second, delta) }))
}
