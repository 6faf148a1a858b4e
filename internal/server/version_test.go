package server

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// nextVersion is the version that comes after d when these changes are made.
func nextVersion(t testing.TB, d *document.Document, changes ...document.Change) (*document.Document, *document.Delta) {
	t.Helper()
	delta, err := d.Draft(changes, document.Meta{Author: "anna", Reason: "a test", Time: 1})
	if err != nil {
		t.Fatal(err)
	}
	next, err := d.Apply(delta)
	if err != nil {
		t.Fatal(err)
	}
	return next, delta
}

func team(name string, quota float64) document.Change {
	return document.Change{Team: &document.Team{Name: name, Quota: quota}}
}

func drop(c document.Change) document.Change { c.Drop = true; return c }

// service is one with a class of its name that the engine serves.
func service(name string) document.Change {
	deadline := 4000.0
	return document.Change{Service: &document.Service{Name: name, Contracts: []document.Contract{
		{Class: name, Effect: "repeatable", DeadlineMS: &deadline}}}}
}

// Versions are taken over one after the other while requests are open: a request
// of a class or team that goes ends as usual, later ones are refused; a version
// that cannot be used here is refused with all its faults, and changes nothing.
func TestApplyVersion(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, work)
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c, stream := standin.Dial(t, r.framesAddr), uint32(0)
	send := func(class, tenant, body string) {
		stream++
		c.Send(stream, standin.Fields(class, tenant, "", uint64(stream), 3*time.Second), body)
	}
	expect := func(what string, code byte) {
		t.Helper()
		if got, ok := c.Next(); !ok || got.Code != code {
			t.Errorf("%s: %+v, want code %d", what, got, code)
		}
	}
	take := func(doc *document.Document, delta *document.Delta) error {
		ctx, end := context.WithTimeout(t.Context(), 10*time.Second)
		defer end()
		return r.applyVersion(ctx, doc, delta)
	}
	first, _ := nextVersion(t, document.Empty(), team("teal", 50), service("sum"))
	if err := take(first, nil); err != nil {
		t.Fatal(err)
	}
	send("sum", "teal", "quick")
	expect("a class and team of a version", frame.Served)
	send("look", "red", "quick")
	expect("a class and team of the platform", frame.Served)
	send("sum", "teal", "slow open")
	r.eventually(t, "a run", func() bool { return r.link.Running() == 1 })
	second, step := nextVersion(t, first, drop(team("teal", 0)), team("lime", 20), drop(service("sum")), service("count"))
	if err := take(second, step); err != nil {
		t.Fatal(err)
	}
	expect("what was open under the version before", frame.Served)
	send("sum", "red", "quick")
	expect("a class that went", frame.Refused)
	send("count", "teal", "quick")
	expect("a team that went", frame.Failed)
	send("count", "lime", "quick")
	expect("a class and team that came", frame.Served)

	bad, step := nextVersion(t, second, document.Change{Service: &document.Service{Name: "a", Contracts: []document.Contract{{Class: "a", Effect: "once"}}}},
		document.Change{Service: &document.Service{Name: "b", Contracts: []document.Contract{{Class: "b", Effect: "keyed", DeadlineMS: &[]float64{9}[0]}}}})
	if err := take(bad, step); err == nil || !strings.Contains(err.Error(), "deadline_ms") || !strings.Contains(err.Error(), "window_ms") {
		t.Errorf("a version that cannot be used here: %v", err)
	}
	third, step := nextVersion(t, bad, drop(service("a")), drop(service("b")), service("draw"))
	if err := take(third, step); err != nil { // on a parent that is not in force here
		t.Fatal(err)
	}
	send("draw", "lime", "quick")
	expect("a class, after a version that was refused", frame.Served)
	r.onLoopWait(func() {
		if r.cfg.Version() != third {
			t.Errorf("version %d is in force", r.cfg.Version().Header().Number)
		}
	})
}

// A file and versions that come at once are taken over one after the other, and
// the file changes the machine's part alone.
func TestVersionsAndReload(t *testing.T) {
	t.Parallel()
	r := start(t, "127.0.0.1:1", "", "")
	doc, _ := nextVersion(t, document.Empty(), team("teal", 1), service("sum"))
	if err := r.applyVersion(t.Context(), doc, nil); err != nil {
		t.Fatal(err)
	}
	file := strings.Replace(platformJSON("127.0.0.1:1", ""), `"find"`, `"fetch"`, 1)
	r.LoadConfig = func() (*config.Config, error) { return config.Parse([]byte(file), func(string) string { return "" }) }
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20 {
			r.signals <- syscall.SIGHUP
		}
	}()
	for i := range 50 {
		next, delta := nextVersion(t, doc, team("teal", float64(i+2)), service(fmt.Sprint("sum", i)))
		if err := r.applyVersion(t.Context(), next, delta); err != nil {
			t.Fatal(err)
		}
		doc = next
	}
	<-done
	r.eventually(t, "the files", func() bool { return r.reloadsApplied > 0 })
	r.onLoopWait(func() {
		on := map[string]float64{}
		for i, name := range r.cfg.Tenants {
			if !config.IsRetired(r.cfg.RetiredTenants, i) {
				on[name] = r.cfg.Policy.Tenants[i].Quota
			}
		}
		if _, fetch := r.names.Classes["fetch"]; r.cfg.Version() != doc || on["teal"] != 51 || r.reloadsRejected != 0 || !fetch || r.names.Classes["sum49"] == 0 {
			t.Errorf("version %d, teams %v, %d files refused, classes %v", r.cfg.Version().Header().Number, on, r.reloadsRejected, r.names.Classes)
		}
	})
}

// No version is taken over once the notice to leave has come, and nobody who asks
// waits for a server that has ended.
func TestNoVersionAfterShutdownNotice(t *testing.T) {
	t.Parallel()
	r := start(t, "127.0.0.1:1", "", "")
	doc, _ := nextVersion(t, document.Empty(), team("teal", 1))
	r.onLoopWait(func() { r.killAt = 1 })
	if err := r.applyVersion(t.Context(), doc, nil); !errors.Is(err, errShuttingDown) {
		t.Errorf("after the notice: %v", err)
	}
	r.onLoopWait(func() {
		if r.cfg.Version() != nil {
			t.Error("the version is in force")
		}
		r.killAt = 0
	})
	ended, err := New(platformConfig(t, "127.0.0.1:1", ""), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended.cancelRun()
	if err := ended.applyVersion(t.Context(), doc, nil); !errors.Is(err, errEnded) {
		t.Errorf("after the end: %v", err)
	}
}
