package server

import (
	"errors"
	"strings"
	"syscall"
	"testing"
	"time"

	"kiteslip/internal/config"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// A SIGHUP with new addresses moves the engine link and the registry reports; a run
// in progress at the old address is answered through the new link and runs once. A
// file that can't be read changes nothing.
func TestReload(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(300*time.Millisecond))
	oldRegistry, oldReports := standin.NewRegistry(t)
	newRegistry, newReports := standin.NewRegistry(t)
	srv := start(t, engine.Address, oldRegistry, "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "long")
	srv.eventually(t, "request running", func() bool { return srv.link.Running() == 1 })
	<-oldReports

	oldEngine := srv.cfg.Engine
	read := make(chan struct{}, 1)
	srv.LoadConfig = func() (*config.Config, error) { read <- struct{}{}; return nil, errors.New("an invalid file") }
	srv.signals <- syscall.SIGHUP
	<-read
	srv.onLoopWait(func() {
		if srv.cfg.Engine != oldEngine || srv.cfg.Registry != oldRegistry {
			t.Errorf("a file that can't be read was applied")
		}
	})

	engine.ChangeAddress(t)
	changed := *srv.cfg
	changed.Engine, changed.Registry = engine.Address, newRegistry
	srv.LoadConfig = func() (*config.Config, error) { return &changed, nil }
	srv.signals <- syscall.SIGHUP
	if got := <-newReports; got != "BEAT t ready" {
		t.Errorf("report at the new address: got %q", got)
	}
	if got, ok := caller.Next(); !ok || got.Code != frame.Served || got.Body != "did long" {
		t.Errorf("run in progress at the reload: unexpected answer %+v", got)
	}
	caller.Send(2, standin.Fields("look", "red", "", 2, 3*time.Second), "next")
	if got, ok := caller.Next(); !ok || got.Code != frame.Served || got.Body != "did next" {
		t.Errorf("run after the reload: unexpected answer %+v", got)
	}
	if n := engine.Runs()["long"]; n != 1 {
		t.Errorf("the keyed request ran %d times, want 1", n)
	}
}

// When the operator's file changes the address of a backend, later calls go to the new one.
func TestReloadMovesBackends(t *testing.T) {
	t.Parallel()
	oldBackend, newBackend := standin.NewBackend(t, workByBody), standin.NewBackend(t, workByBody)
	srv := start(t, "127.0.0.1:1", "", operatorTOML(oldBackend.Address))
	post := func(body string) {
		t.Helper()
		if got := standin.UWSGIExchange(srv.uwsgiAddr, standin.UWSGIRequest(t, standin.UWSGIVars("find", "red", "", time.Second), body)); got.Status != 200 {
			t.Errorf("%s: got %+v, want status 200", body, got)
		}
	}
	post("quick before")
	changed, err := config.ParseOperator(operatorTOML(newBackend.Address), platformConfig(t, "127.0.0.1:1", ""))
	if err != nil {
		t.Fatal(err)
	}
	srv.LoadConfig = func() (*config.Config, error) { return changed, nil }
	srv.signals <- syscall.SIGHUP
	srv.eventually(t, "new backend address in force", func() bool { return srv.cfg.Backends[0] == newBackend.Address })
	post("quick after")
	if oldBackend.Runs()["quick after"] != 0 || newBackend.Runs()["quick after"] != 1 {
		t.Errorf("runs at the old backend %v, at the new one %v", oldBackend.Runs(), newBackend.Runs())
	}
}

// sighup reloads a platform file by SIGHUP and reports whether it was applied or rejected.
func (r *testServer) sighup(t *testing.T, text string) (applied bool) {
	t.Helper()
	return r.sighupFrom(t, func() (*config.Config, error) { return config.Parse([]byte(text), func(string) string { return "" }) })
}

// sighupOperator is sighup with an operator's file over the same platform file.
func (r *testServer) sighupOperator(t *testing.T, engine, text string) (applied bool) {
	t.Helper()
	return r.sighupFrom(t, func() (*config.Config, error) { return config.ParseOperator(text, platformConfig(t, engine, "")) })
}

// sighupFrom is sighup with the configuration that read returns.
func (r *testServer) sighupFrom(t *testing.T, read func() (*config.Config, error)) (applied bool) {
	t.Helper()
	appliedBefore, rejectedBefore := 0, 0
	r.onLoopWait(func() { appliedBefore, rejectedBefore = r.reloadsApplied, r.reloadsRejected })
	r.LoadConfig = read
	r.signals <- syscall.SIGHUP
	r.eventually(t, "file applied or rejected", func() bool { return r.reloadsApplied+r.reloadsRejected > appliedBefore+rejectedBefore })
	r.onLoopWait(func() { applied = r.reloadsApplied > appliedBefore })
	return applied
}

// Classes and teams are added, removed and added again while requests are open: each
// request ends by the configuration under which it was read, a key runs once even
// if its class was retired in between, and invalid files change nothing and are counted.
func TestReloadChangesClasses(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, workByBody)
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	file := platformJSON(engine.Address, "")
	caller := standin.Dial(t, srv.framesAddr)
	stream := uint32(0)
	send := func(class, tenant, key, body string) {
		stream++
		caller.Send(stream, standin.Fields(class, tenant, key, uint64(stream), 3*time.Second), body)
	}
	expect := func(what string, code byte) {
		t.Helper()
		if got, ok := caller.Next(); !ok || got.Code != code {
			t.Errorf("%s: got %+v, want code %d", what, got, code)
		}
	}
	send("note", "red", "key", "quick note")
	expect("keyed request", frame.Served)
	send("find", "red", "", "slow open")
	send("note", "red", "open", "slow key")
	srv.eventually(t, "both requests running", func() bool { return srv.link.Running() == 2 })

	changed := strings.Replace(strings.Replace(file, `"find"`, `"fetch"`, 1), `"note"`, `"other"`, 1)
	changed = strings.Replace(changed, `{"name": "blue", "quota_per_s": 500}`, `{"name": "green", "quota_per_s": 500}`, 1)
	if !srv.sighup(t, changed) {
		t.Fatal("valid file rejected")
	}
	expect("open request of a retired class", frame.Served)
	expect("open keyed request of a retired class", frame.Served)
	send("fetch", "green", "", "quick fetch")
	expect("new class and team", frame.Served)
	send("other", "red", "key", "quick other")
	expect("new keyed class with a key of another class", frame.Served)
	for range 2 * maxMalformedInRow { // callers learn late of changes: not counted as malformed
		send("find", "red", "", "quick late")
		expect("retired class", frame.Refused)
	}
	send("note", "red", "key", "quick note")
	expect("retry of a key of a retired class", frame.Served)
	send("look", "blue", "", "quick")
	expect("retired team", frame.Failed)

	for what, text := range map[string]string{"empty": "", "truncated file": file[:len(file)/2], "missing key": strings.Replace(file, `"seed": "1", `, "", 1),
		"no deadline": strings.Replace(file, `"hard_limit_us": 4000000`, `"hard_limit_us": 0`, 1),
		"no settings": strings.Replace(file, `"settings"`, `"else"`, 1)} {
		if srv.sighup(t, text) {
			t.Errorf("%s: file applied, want rejected", what)
		}
	}
	send("fetch", "green", "", "quick fetch")
	expect("class after invalid files", frame.Served)

	if !srv.sighup(t, file) {
		t.Fatal("first file rejected at its return")
	}
	send("note", "red", "key", "quick note")
	expect("retry of a key of a class that is back", frame.Served)
	send("find", "blue", "", "quick again")
	expect("class and team that are back", frame.Served)
	if n := engine.Runs()["quick note"]; n != 1 {
		t.Errorf("the key ran %d times, want 1", n)
	}
	if got := srv.adminCall(t, "show-stat"); !strings.Contains(got, "app.config_applied:2|c\napp.config_rejected:5|c\n") ||
		!strings.Contains(got, "app.ok.fetch:2|c\n") || !strings.Contains(got, "app.shed.find:32|c\n") {
		t.Errorf("unexpected metrics\n%s", got)
	}
}
