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

// A SIGHUP moves the link to the engine and the reports; a run that is under
// way at the old address is answered through the new one, and runs once. A
// faulty file changes nothing.
func TestReload(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(300*time.Millisecond))
	oldRegistry, oldReports := standin.NewRegistry(t)
	newRegistry, newReports := standin.NewRegistry(t)
	r := start(t, engine.Address, oldRegistry, "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "long")
	r.eventually(t, "a run", func() bool { return r.link.Running() == 1 })
	<-oldReports

	was := r.cfg.Engine
	read := make(chan struct{}, 1)
	r.LoadConfig = func() (*config.Config, error) { read <- struct{}{}; return nil, errors.New("a faulty file") }
	r.signals <- syscall.SIGHUP
	<-read
	r.onLoopWait(func() {
		if r.cfg.Engine != was || r.cfg.Registry != oldRegistry {
			t.Errorf("a faulty file was taken over")
		}
	})

	engine.Move(t)
	next := *r.cfg
	next.Engine, next.Registry = engine.Address, newRegistry
	r.LoadConfig = func() (*config.Config, error) { return &next, nil }
	r.signals <- syscall.SIGHUP
	if got := <-newReports; got != "BEAT t ready" {
		t.Errorf("report %q at the new address", got)
	}
	if got, ok := c.Next(); !ok || got.Code != frame.Served || got.Body != "did long" {
		t.Errorf("the run that was under way: %+v", got)
	}
	c.Send(2, standin.Fields("look", "red", "", 2, 3*time.Second), "next")
	if got, ok := c.Next(); !ok || got.Code != frame.Served || got.Body != "did next" {
		t.Errorf("a run after the move: %+v", got)
	}
	if n := engine.Runs()["long"]; n != 1 {
		t.Errorf("the keyed run ran %d times", n)
	}
}

// The operator's file moves a backend the same way: later calls go to the new one.
func TestReloadMovesBackends(t *testing.T) {
	t.Parallel()
	before, after := standin.NewBackend(t, work), standin.NewBackend(t, work)
	r := start(t, "127.0.0.1:1", "", operatorTOML(before.Address))
	post := func(body string) {
		t.Helper()
		if got := standin.Post(r.uwsgiAddr, standin.Packet(t, standin.Vars("find", "red", "", time.Second), body)); got.Status != 200 {
			t.Errorf("%s: %+v", body, got)
		}
	}
	post("quick before")
	next, err := config.ParseOperator(operatorTOML(after.Address), platformConfig(t, "127.0.0.1:1", ""))
	if err != nil {
		t.Fatal(err)
	}
	r.LoadConfig = func() (*config.Config, error) { return next, nil }
	r.signals <- syscall.SIGHUP
	r.eventually(t, "the new address", func() bool { return r.cfg.Backends[0] == after.Address })
	post("quick after")
	if before.Runs()["quick after"] != 0 || after.Runs()["quick after"] != 1 {
		t.Errorf("runs %v, then %v", before.Runs(), after.Runs())
	}
}

// sighup gives the server a file and waits until it has taken it or turned it down.
func (r *testServer) sighup(t *testing.T, text string) (applied bool) {
	t.Helper()
	return r.sighupFrom(t, func() (*config.Config, error) { return config.Parse([]byte(text), func(string) string { return "" }) })
}

// sighupOperator does the same with an operator's file over the same platform file.
func (r *testServer) sighupOperator(t *testing.T, engine, text string) (applied bool) {
	t.Helper()
	return r.sighupFrom(t, func() (*config.Config, error) { return config.ParseOperator(text, platformConfig(t, engine, "")) })
}

func (r *testServer) sighupFrom(t *testing.T, read func() (*config.Config, error)) (applied bool) {
	t.Helper()
	was, no := 0, 0
	r.onLoopWait(func() { was, no = r.reloadsApplied, r.reloadsRejected })
	r.LoadConfig = read
	r.signals <- syscall.SIGHUP
	r.eventually(t, "the file is read", func() bool { return r.reloadsApplied+r.reloadsRejected > was+no })
	r.onLoopWait(func() { applied = r.reloadsApplied > was })
	return applied
}

// Classes come, go and return while requests are open: each request ends by the
// promise it came under, a key runs once across the absence of its class, and
// files that cannot be used whole change nothing and are counted.
func TestReloadChangesClasses(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, work)
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	file := platformJSON(engine.Address, "")
	c := standin.Dial(t, r.framesAddr)
	stream := uint32(0)
	send := func(class, tenant, key, body string) {
		stream++
		c.Send(stream, standin.Fields(class, tenant, key, uint64(stream), 3*time.Second), body)
	}
	expect := func(what string, code byte) {
		t.Helper()
		if got, ok := c.Next(); !ok || got.Code != code {
			t.Errorf("%s: %+v, want code %d", what, got, code)
		}
	}
	send("note", "red", "key", "quick note")
	expect("a keyed request", frame.Served)
	send("find", "red", "", "slow open")
	send("note", "red", "open", "slow key")
	r.eventually(t, "runs", func() bool { return r.link.Running() == 2 })

	next := strings.Replace(strings.Replace(file, `"find"`, `"fetch"`, 1), `"note"`, `"other"`, 1)
	next = strings.Replace(next, `{"name": "blue", "quota_per_s": 500}`, `{"name": "green", "quota_per_s": 500}`, 1)
	if !r.sighup(t, next) {
		t.Fatal("a good file is turned down")
	}
	expect("a request of a class that went", frame.Served)
	expect("a keyed request of a class that went", frame.Served)
	send("fetch", "green", "", "quick fetch")
	expect("a new class and team", frame.Served)
	send("other", "red", "key", "quick other")
	expect("a new keyed class, with a key that another class has", frame.Served)
	for range 2 * maxMalformedInRow { // callers learn late: no fault of theirs
		send("find", "red", "", "quick late")
		expect("a class that went", frame.Refused)
	}
	send("note", "red", "key", "quick note")
	expect("a try of what has run, of a class that went", frame.Served)
	send("look", "blue", "", "quick")
	expect("a team that went", frame.Failed)

	for what, text := range map[string]string{"empty": "", "cut short": file[:len(file)/2], "a key lacks": strings.Replace(file, `"seed": "1", `, "", 1),
		"no deadline": strings.Replace(file, `"hard_limit_us": 4000000`, `"hard_limit_us": 0`, 1),
		"no settings": strings.Replace(file, `"settings"`, `"else"`, 1)} {
		if r.sighup(t, text) {
			t.Errorf("%s: the file is taken", what)
		}
	}
	send("fetch", "green", "", "quick fetch")
	expect("a class, after bad files", frame.Served)

	if !r.sighup(t, file) {
		t.Fatal("the first file is turned down")
	}
	send("note", "red", "key", "quick note")
	expect("a try of what has run, of a class that returned", frame.Served)
	send("find", "blue", "", "quick again")
	expect("a class and team that returned", frame.Served)
	if n := engine.Runs()["quick note"]; n != 1 {
		t.Errorf("a key ran %d times", n)
	}
	if got := r.adminCall(t, "show-stat"); !strings.Contains(got, "app.config_applied:2|c\napp.config_rejected:5|c\n") ||
		!strings.Contains(got, "app.ok.fetch:2|c\n") || !strings.Contains(got, "app.shed.find:32|c\n") {
		t.Errorf("figures\n%s", got)
	}
}
