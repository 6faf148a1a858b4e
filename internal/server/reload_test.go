package server

import (
	"errors"
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
	engine := standin.NewEngine(t, standin.Echo(300*time.Millisecond))
	oldRegistry, oldReports := standin.NewRegistry(t)
	newRegistry, newReports := standin.NewRegistry(t)
	r := start(t, engine.Address, oldRegistry, "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.frames)
	c.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "long")
	r.eventually(t, "a run", func() bool { return r.link.Running() == 1 })
	<-oldReports

	was := r.cfg.Engine
	read := make(chan struct{}, 1)
	r.Reload = func() (*config.Config, error) { read <- struct{}{}; return nil, errors.New("a faulty file") }
	r.signals <- syscall.SIGHUP
	<-read
	r.look(func() {
		if r.cfg.Engine != was || r.cfg.Registry != oldRegistry {
			t.Errorf("a faulty file was taken over")
		}
	})

	engine.Move(t)
	next := *r.cfg
	next.Engine, next.Registry = engine.Address, newRegistry
	r.Reload = func() (*config.Config, error) { return &next, nil }
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
	before, after := standin.NewBackend(t, work), standin.NewBackend(t, work)
	r := start(t, "127.0.0.1:1", "", operator(before.Address))
	post := func(body string) {
		t.Helper()
		if got := standin.Post(r.web, standin.Packet(t, standin.Vars("find", "red", "", time.Second), body)); got.Status != 200 {
			t.Errorf("%s: %+v", body, got)
		}
	}
	post("quick before")
	next, err := config.ParseOperator(operator(after.Address), platform(t, "127.0.0.1:1", ""))
	if err != nil {
		t.Fatal(err)
	}
	r.Reload = func() (*config.Config, error) { return next, nil }
	r.signals <- syscall.SIGHUP
	r.eventually(t, "the new address", func() bool { return r.cfg.Backends[0] == after.Address })
	post("quick after")
	if before.Runs()["quick after"] != 0 || after.Runs()["quick after"] != 1 {
		t.Errorf("runs %v, then %v", before.Runs(), after.Runs())
	}
}
