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

// nextVersion returns the version that follows doc with the given changes, and its delta.
func nextVersion(t testing.TB, doc *document.Document, changes ...document.Change) (*document.Document, *document.Delta) {
	t.Helper()
	delta, err := doc.Draft(changes, document.Meta{Author: "anna", Reason: "a test", Time: 1})
	if err != nil {
		t.Fatal(err)
	}
	next, err := doc.Apply(delta)
	if err != nil {
		t.Fatal(err)
	}
	return next, delta
}

// teamChange returns a change that sets a team's quota.
func teamChange(name string, quota float64) document.Change {
	return document.Change{Team: &document.Team{Name: name, Quota: quota}}
}

// dropChange returns the change that removes what c sets.
func dropChange(c document.Change) document.Change { c.Drop = true; return c }

// serviceChange returns a change that sets a service with one class of the same name, run by the engine.
func serviceChange(name string) document.Change {
	deadlineMS := 4000.0
	return document.Change{Service: &document.Service{Name: name, Contracts: []document.Contract{
		{Class: name, Effect: "repeatable", DeadlineMS: &deadlineMS}}}}
}

// Versions are applied in turn while requests are open: an open request of a retired
// class or team ends as usual, later ones are not run; a version that can't be used
// here is rejected with all its errors, and changes nothing.
func TestApplyVersion(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, workByBody)
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller, stream := standin.Dial(t, srv.framesAddr), uint32(0)
	send := func(class, tenant, body string) {
		stream++
		caller.Send(stream, standin.Fields(class, tenant, "", uint64(stream), 3*time.Second), body)
	}
	expect := func(what string, code byte) {
		t.Helper()
		if got, ok := caller.Next(); !ok || got.Code != code {
			t.Errorf("%s: got %+v, want code %d", what, got, code)
		}
	}
	apply := func(doc *document.Document, delta *document.Delta) error {
		ctx, end := context.WithTimeout(t.Context(), 10*time.Second)
		defer end()
		return srv.applyVersion(ctx, doc, delta)
	}
	first, _ := nextVersion(t, document.Empty(), teamChange("teal", 50), serviceChange("sum"))
	if err := apply(first, nil); err != nil {
		t.Fatal(err)
	}
	send("sum", "teal", "quick")
	expect("class and team of a version", frame.Served)
	send("look", "red", "quick")
	expect("class and team of the platform file", frame.Served)
	send("sum", "teal", "slow open")
	srv.eventually(t, "request running", func() bool { return srv.link.Running() == 1 })
	second, nextDelta := nextVersion(t, first, dropChange(teamChange("teal", 0)), teamChange("lime", 20), dropChange(serviceChange("sum")), serviceChange("count"))
	if err := apply(second, nextDelta); err != nil {
		t.Fatal(err)
	}
	expect("open request of the version before", frame.Served)
	send("sum", "red", "quick")
	expect("retired class", frame.Refused)
	send("count", "teal", "quick")
	expect("retired team", frame.Failed)
	send("count", "lime", "quick")
	expect("new class and team", frame.Served)

	invalid, nextDelta := nextVersion(t, second, document.Change{Service: &document.Service{Name: "a", Contracts: []document.Contract{{Class: "a", Effect: "once"}}}},
		document.Change{Service: &document.Service{Name: "b", Contracts: []document.Contract{{Class: "b", Effect: "keyed", DeadlineMS: &[]float64{9}[0]}}}})
	if err := apply(invalid, nextDelta); err == nil || !strings.Contains(err.Error(), "deadline_ms") || !strings.Contains(err.Error(), "window_ms") {
		t.Errorf("invalid version: got error %v", err)
	}
	third, nextDelta := nextVersion(t, invalid, dropChange(serviceChange("a")), dropChange(serviceChange("b")), serviceChange("draw"))
	if err := apply(third, nextDelta); err != nil { // its parent is not in force here
		t.Fatal(err)
	}
	send("draw", "lime", "quick")
	expect("class of the version after a rejected one", frame.Served)
	srv.onLoopWait(func() {
		if srv.cfg.Version() != third {
			t.Errorf("version in force: got %d, want the third", srv.cfg.Version().Header().Number)
		}
	})
}

// Files and versions that arrive at the same time are applied one after the other,
// and a file changes only the settings of the machine.
func TestVersionsAndReload(t *testing.T) {
	t.Parallel()
	srv := start(t, "127.0.0.1:1", "", "")
	doc, _ := nextVersion(t, document.Empty(), teamChange("teal", 1), serviceChange("sum"))
	if err := srv.applyVersion(t.Context(), doc, nil); err != nil {
		t.Fatal(err)
	}
	file := strings.Replace(platformJSON("127.0.0.1:1", ""), `"find"`, `"fetch"`, 1)
	srv.LoadConfig = func() (*config.Config, error) { return config.Parse([]byte(file), func(string) string { return "" }) }
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 20 {
			srv.signals <- syscall.SIGHUP
		}
	}()
	for i := range 50 {
		next, delta := nextVersion(t, doc, teamChange("teal", float64(i+2)), serviceChange(fmt.Sprint("sum", i)))
		if err := srv.applyVersion(t.Context(), next, delta); err != nil {
			t.Fatal(err)
		}
		doc = next
	}
	<-done
	srv.eventually(t, "file applied", func() bool { return srv.reloadsApplied > 0 })
	srv.onLoopWait(func() {
		quotas := map[string]float64{}
		for i, name := range srv.cfg.Tenants {
			if !config.IsRetired(srv.cfg.RetiredTenants, i) {
				quotas[name] = srv.cfg.Policy.Tenants[i].Quota
			}
		}
		if _, fetch := srv.names.Classes["fetch"]; srv.cfg.Version() != doc || quotas["teal"] != 51 || srv.reloadsRejected != 0 || !fetch || srv.names.Classes["sum49"] == 0 {
			t.Errorf("version in force %d, teams %v, %d files rejected, classes %v", srv.cfg.Version().Header().Number, quotas, srv.reloadsRejected, srv.names.Classes)
		}
	})
}

// No version is applied after the shutdown notice, and applyVersion does not wait for
// a server that has ended.
func TestNoVersionAfterShutdownNotice(t *testing.T) {
	t.Parallel()
	srv := start(t, "127.0.0.1:1", "", "")
	doc, _ := nextVersion(t, document.Empty(), teamChange("teal", 1))
	srv.onLoopWait(func() { srv.killAt = 1 })
	if err := srv.applyVersion(t.Context(), doc, nil); !errors.Is(err, errShuttingDown) {
		t.Errorf("after the shutdown notice: got error %v", err)
	}
	srv.onLoopWait(func() {
		if srv.cfg.Version() != nil {
			t.Error("the version is in force, want none")
		}
		srv.killAt = 0
	})
	ended, err := New(platformConfig(t, "127.0.0.1:1", ""), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ended.cancelRun()
	if err := ended.applyVersion(t.Context(), doc, nil); !errors.Is(err, errEnded) {
		t.Errorf("after the end: got error %v", err)
	}
}
