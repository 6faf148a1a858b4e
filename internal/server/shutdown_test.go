package server

import (
	"errors"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/config"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// The end of the process, the crossings of it: docs/design/crossings.md lists them.
// The order that does harm is forced by holding the loop, a slot or a file.

// runUnlessEnded runs f on the loop, unless the process has ended.
func (r *testServer) runUnlessEnded(f func()) bool {
	done := make(chan struct{})
	r.onLoop(func() { f(); close(done) })
	select {
	case <-done:
		return true
	case err := <-r.serveErr:
		r.serveErr <- err
		return false
	}
}

// What the system has accepted when the listeners close, and the process has
// not, is taken in and answered.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(3*time.Second))
	cfg := platformConfig(t, engine.Address, "")
	cfg.Policy.DrainGrace = 0
	r := launch(t, cfg)
	r.eventually(t, "the engine's link", r.link.Ready)
	ask := func(name uint64) *standin.Caller {
		c := standin.Dial(t, r.framesAddr)
		c.Send(1, standin.Fields("look", "red", "", name, 3*time.Second), "b")
		return c
	}
	held := 0
	for len(r.slots) < cap(r.slots) { // but for the place that is held for the next one
		r.slots <- struct{}{}
		held++
	}
	first := ask(1) // takes that place, and is in use until after the listeners close
	r.eventually(t, "it runs", func() bool { return r.link.Running() == 1 })
	second, third := ask(2), ask(3) // stand in the system's queue
	r.signals <- syscall.SIGTERM
	r.eventually(t, "the listeners are to close", r.closingListeners.Load)
	r.onLoopWait(func() {
		if r.frameConnCount() != 1 {
			t.Errorf("%d callers are in, want 1", r.frameConnCount())
		}
	})
	for range held {
		<-r.slots
	}
	for what, c := range map[string]*standin.Caller{"first": first, "second": second, "third": third} {
		if _, refused, failed, _ := countByCode(readAll(c)); refused+failed != 1 {
			t.Errorf("%s: %d answers, want 1", what, refused+failed)
		}
	}
	r.signals = nil
	if err := <-r.serveErr; err != nil {
		t.Error(err)
	}
}

// However short the time from the notice to the kill, all that was read is
// answered, and the answers arrive.
func TestShortStopAnswersAll(t *testing.T) {
	t.Parallel()
	for _, stop := range []int64{1_000, 40_000, 120_000, 400_000} {
		engine := standin.NewEngine(t, standin.Echo(3*time.Second))
		cfg := platformConfig(t, engine.Address, "")
		cfg.StopTimeoutUS = stop
		r := launch(t, cfg)
		r.eventually(t, "the engine's link", r.link.Ready)
		c := standin.Dial(t, r.framesAddr)
		c.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
		c.Send(2, standin.Fields("note", "red", "key", 2, 3*time.Second), "b")
		r.eventually(t, "both run", func() bool { return r.link.Running() == 2 })
		r.signals <- syscall.SIGTERM
		r.signals = nil
		if _, refused, failed, _ := countByCode(readAll(c)); refused+failed != 2 {
			t.Errorf("stop after %d us: %d of 2 answered", stop, refused+failed)
		}
		if err := <-r.serveErr; err != nil {
			t.Errorf("stop after %d us: %v", stop, err)
		}
	}
}

// Two files and a notice to leave cross: the notice is not lost behind the files.
func TestShutdownNoticeIsNotLostBehindReloads(t *testing.T) {
	s := Notify()
	for range 20 {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
			if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
				t.Fatal(err)
			}
		}
	}
	began := time.Now()
	n := <-s.Stop // nobody has taken a SIGHUP
	if n.Signal != syscall.SIGTERM || n.At.After(began.Add(time.Second)) {
		t.Errorf("%+v", n)
	}
	<-s.Reload
}

// A file taken over while the process leaves lengthens neither its time nor its grace.
func TestReloadDuringDrain(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	text := strings.Replace(platformJSON(engine.Address, ""), `"drain_grace_us": 2000000`, `"drain_grace_us": 0`, 1)
	parse := func(text string) *config.Config {
		cfg, err := config.Parse([]byte(text), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	next := parse(strings.Replace(platformJSON(engine.Address, ""), `"stop_ms": 2000`, `"stop_ms": 9000`, 1))
	r := launchWith(t, parse(text), func(s *Server) { s.LoadConfig = func() (*config.Config, error) { return next, nil } })
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, time.Second), "before")
	c.Next()
	r.signals <- syscall.SIGTERM
	r.eventually(t, "it leaves", func() bool { return r.killAt != 0 })
	r.signals <- syscall.SIGHUP
	r.eventually(t, "the file is taken", func() bool { return r.reloadsApplied == 1 })
	c.Send(2, standin.Fields("look", "red", "", 2, time.Second), "after")
	for got, ok := c.Next(); ok; got, ok = c.Next() {
		if got.Stream == 2 && got.Code != frame.Refused {
			t.Errorf("a request after the grace: %+v", got)
		}
	}
	r.signals = nil
	select {
	case err := <-r.serveErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the longer time of the new file is taken")
	}
	if n := engine.Runs()["after"]; n > 0 {
		t.Error("what came after the grace ran")
	}
}

// Descriptors of connections in all their states stay within what the limits
// grant, for small limits and large, and something is left for callers.
func TestDescriptorBudgetAddsUp(t *testing.T) {
	for _, sockets := range []int{32, 48, 64, 100, 256, 512, 1024, 65536} {
		for _, change := range []func(*config.Config){
			func(*config.Config) {},
			func(c *config.Config) { c.Ops = "" },
			func(c *config.Config) { c.Ledger = "127.0.0.1:7700" },
			func(c *config.Config) { c.Backends = []string{"127.0.0.1:1", "", ""} },
			func(c *config.Config) { c.InheritedFD = 3 },
		} {
			cfg := platformConfig(t, "127.0.0.1:1", "")
			cfg.Limits.Sockets = sockets
			change(cfg)
			p := NewDescriptorBudget(cfg)
			sum := p.Internal + p.Admin + p.Ledger + enrolDescriptors*p.BackendCalls + p.CallerDescriptors
			if sockets >= 64 && sum > sockets || p.CallerConnections < minCallerConnections || p.CallerConnections > p.CallerDescriptors {
				t.Errorf("%d sockets: %+v, %d in all", sockets, p, sum)
			}
			if sockets >= 256 && p.CallerConnections < sockets/3 {
				t.Errorf("%d sockets leave %d to callers", sockets, p.CallerConnections)
			}
		}
	}
}

// The notice to leave comes while the keys are on their way to the next process:
// this one stays until they have all gone out, or the next one is in doubt of them.
func TestShutdownNoticeDuringKeyHandover(t *testing.T) {
	t.Parallel()
	s := newSharedListener(t)
	engines := [2]*standin.Engine{standin.NewEngine(t, standin.Echo(time.Millisecond)), standin.NewEngine(t, standin.Echo(time.Millisecond))}
	old := launch(t, s.processConfig(t, engines[0].Address, ""))
	old.waitReady(t)
	young := launch(t, s.processConfig(t, engines[1].Address, ""))
	young.waitReady(t)
	old.onLoopWait(func() { old.upgrade.peer.sendingTable, old.upgrade.peer.storeClosing = true, true }) // as while the store is closed
	old.signals <- syscall.SIGTERM
	old.signals = nil
	for left, rounds := false, 0; rounds < 20; {
		if !old.runUnlessEnded(func() {
			if left = old.killAt != 0; left {
				old.advanceShutdown(now() + 10*shutdownLingerUS)
				rounds++
			}
		}) {
			t.Fatal("it ends with keys in its hands")
		}
	}
	old.onLoopWait(func() { old.upgrade.peer.sendingTable, old.upgrade.peer.storeClosing = false, false })
	if err := <-old.serveErr; err != nil {
		t.Error(err)
	}
}

// The notice comes before the listener stands, twice, and before the engine has
// said a word; the time to the kill counts from when it came.
func TestShutdownNoticeDuringStart(t *testing.T) {
	t.Parallel()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes links, and never says HELLO
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	for _, early := range []bool{true, false} {
		s, err := New(platformConfig(t, silent.Addr().String(), ""), zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		stop := make(chan ShutdownNotice, 2)
		at := time.Now().Add(-500 * time.Millisecond)
		if early {
			stop <- ShutdownNotice{syscall.SIGTERM, at}
			stop <- ShutdownNotice{syscall.SIGTERM, time.Now()}
		}
		end := make(chan error, 1)
		go func() { end <- s.Serve(Signals{Stop: stop}) }()
		if !early {
			<-s.started
			c := standin.Dial(t, s.Addresses()[0])
			c.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
			c.Send(2, standin.Fields("note", "red", "k", 2, 3*time.Second), "b")
			r := &testServer{Server: s}
			r.eventually(t, "both are read", func() bool { return s.core.Outstanding() == 2 })
			stop <- ShutdownNotice{syscall.SIGTERM, at}
			if _, refused, failed, _ := countByCode(readAll(c)); refused+failed != 2 {
				t.Errorf("%d of 2 answered", refused+failed)
			}
		}
		if err := <-end; err != nil {
			t.Error(err)
		}
		if s.killAt != at.UnixMicro()+s.cfg.StopTimeoutUS {
			t.Errorf("early %v: the kill is expected %d us after the notice, not %d", early, s.killAt-at.UnixMicro(), s.cfg.StopTimeoutUS)
		}
	}
}

// The notice comes while a file is being read that does not come to its end: the
// drain begins and ends without it.
func TestShutdownNoticeDuringReload(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	reading, held := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(held) })
	r := launchWith(t, platformConfig(t, engine.Address, ""), func(s *Server) {
		s.LoadConfig = func() (*config.Config, error) {
			close(reading)
			<-held
			return nil, errors.New("it never came")
		}
	})
	r.signals <- syscall.SIGHUP
	<-reading
	r.signals <- syscall.SIGTERM
	r.signals = nil
	select {
	case err := <-r.serveErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the notice waits for the file")
	}
}

// failingListener is a listener whose accepts fail at once, as without descriptors, a few times.
type failingListener struct {
	net.Listener
	left int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left--; l.left < 0 {
		return nil, net.ErrClosed
	}
	return nil, syscall.EMFILE
}

func (l *failingListener) Close() error { return nil }

// Accepts that fail at once are not repeated without a pause, and keep no place.
func TestAcceptErrorsAreThrottled(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	const tries = 20
	slots := make(chan struct{}, 1)
	began := time.Now()
	r.acceptLoop(frontend{Listener: &failingListener{left: tries}, slots: slots, admin: true})
	if took := time.Since(began); took < tries*acceptRetryInterval || len(slots) > 0 {
		t.Errorf("%d tries in %v, %d places held", tries, took, len(slots))
	}
}
