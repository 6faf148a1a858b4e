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

// Races at the shutdown of the process; docs/design/crossings.md lists them. The
// harmful order of events is forced by blocking the loop, a connection slot or a file.

// runUnlessEnded runs f on the loop and reports whether it did before the server ended.
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

// Connections that wait in the listen queue when the listeners are to close are
// accepted and answered. The failure: the system resets them with the listener.
func TestDrainAcceptsQueuedConnections(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(3*time.Second))
	cfg := platformConfig(t, engine.Address, "")
	cfg.Policy.DrainGrace = 0
	srv := launch(t, cfg)
	srv.eventually(t, "engine link ready", srv.link.Ready)
	request := func(tryID uint64) *standin.Caller {
		c := standin.Dial(t, srv.framesAddr)
		c.Send(1, standin.Fields("look", "red", "", tryID, 3*time.Second), "b")
		return c
	}
	occupied := 0
	for len(srv.slots) < cap(srv.slots) { // leaves the slot that is acquired for the next one
		srv.slots <- struct{}{}
		occupied++
	}
	first := request(1) // takes that slot until after the listeners have closed
	srv.eventually(t, "request running", func() bool { return srv.link.Running() == 1 })
	second, third := request(2), request(3) // wait in the listen queue
	srv.signals <- syscall.SIGTERM
	srv.eventually(t, "listeners closing", srv.closingListeners.Load)
	srv.onLoopWait(func() {
		if srv.frameConnCount() != 1 {
			t.Errorf("%d callers connected, want 1", srv.frameConnCount())
		}
	})
	for range occupied {
		<-srv.slots
	}
	for what, c := range map[string]*standin.Caller{"first": first, "second": second, "third": third} {
		if _, refused, failed, _ := countByCode(readAll(c)); refused+failed != 1 {
			t.Errorf("%s caller: %d answers, want 1", what, refused+failed)
		}
	}
	srv.signals = nil
	if err := <-srv.serveErr; err != nil {
		t.Error(err)
	}
}

// Even if the time from the shutdown notice to the kill is very short, all requests
// that were read are answered, and the answers arrive.
func TestShortStopAnswersAll(t *testing.T) {
	t.Parallel()
	for _, stop := range []int64{1_000, 40_000, 120_000, 400_000} {
		engine := standin.NewEngine(t, standin.Echo(3*time.Second))
		cfg := platformConfig(t, engine.Address, "")
		cfg.StopTimeoutUS = stop
		srv := launch(t, cfg)
		srv.eventually(t, "engine link ready", srv.link.Ready)
		caller := standin.Dial(t, srv.framesAddr)
		caller.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
		caller.Send(2, standin.Fields("note", "red", "key", 2, 3*time.Second), "b")
		srv.eventually(t, "both requests running", func() bool { return srv.link.Running() == 2 })
		srv.signals <- syscall.SIGTERM
		srv.signals = nil
		if _, refused, failed, _ := countByCode(readAll(caller)); refused+failed != 2 {
			t.Errorf("stop timeout %d us: %d of 2 answered", stop, refused+failed)
		}
		if err := <-srv.serveErr; err != nil {
			t.Errorf("stop timeout %d us: %v", stop, err)
		}
	}
}

// A shutdown notice that arrives behind SIGHUPs that nobody has handled yet is not lost.
func TestShutdownNoticeIsNotLostBehindReloads(t *testing.T) {
	signals := Notify()
	for range 20 {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
			if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
				t.Fatal(err)
			}
		}
	}
	began := time.Now()
	notice := <-signals.Stop // no SIGHUP has been received from the channel
	if notice.Signal != syscall.SIGTERM || notice.At.After(began.Add(time.Second)) {
		t.Errorf("unexpected shutdown notice: %+v", notice)
	}
	<-signals.Reload
}

// A configuration applied during a drain extends neither the time to the kill nor the
// grace period in which late requests are still run.
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
	longer := parse(strings.Replace(platformJSON(engine.Address, ""), `"stop_ms": 2000`, `"stop_ms": 9000`, 1))
	srv := launchWith(t, parse(text), func(s *Server) { s.LoadConfig = func() (*config.Config, error) { return longer, nil } })
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("look", "red", "", 1, time.Second), "before")
	caller.Next()
	srv.signals <- syscall.SIGTERM
	srv.eventually(t, "shutdown notice received", func() bool { return srv.killAt != 0 })
	srv.signals <- syscall.SIGHUP
	srv.eventually(t, "file applied", func() bool { return srv.reloadsApplied == 1 })
	caller.Send(2, standin.Fields("look", "red", "", 2, time.Second), "after")
	for got, ok := caller.Next(); ok; got, ok = caller.Next() {
		if got.Stream == 2 && got.Code != frame.Refused {
			t.Errorf("request after the grace period: got %+v, want refused", got)
		}
	}
	srv.signals = nil
	select {
	case err := <-srv.serveErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("not ended within 5 s: the longer stop timeout of the new file is in force")
	}
	if n := engine.Runs()["after"]; n > 0 {
		t.Error("a request after the grace period ran")
	}
}

// The shares of the descriptor budget add up to no more than the limit, for small
// limits and large, and leave enough for callers.
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
			budget := NewDescriptorBudget(cfg)
			sum := budget.Internal + budget.Admin + budget.Ledger + enrolDescriptors*budget.BackendCalls + budget.CallerDescriptors
			if sockets >= 64 && sum > sockets || budget.CallerConnections < minCallerConnections || budget.CallerConnections > budget.CallerDescriptors {
				t.Errorf("limit of %d sockets: budget %+v, %d in all", sockets, budget, sum)
			}
			if sockets >= 256 && budget.CallerConnections < sockets/3 {
				t.Errorf("limit of %d sockets: only %d for callers", sockets, budget.CallerConnections)
			}
		}
	}
}

// A shutdown notice arrives while the keys are being handed over to the successor.
// The process stays until all of them are sent. The failure: it ends before, and the
// remaining keys are in doubt at the successor.
func TestShutdownNoticeDuringKeyHandover(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	engines := [2]*standin.Engine{standin.NewEngine(t, standin.Echo(time.Millisecond)), standin.NewEngine(t, standin.Echo(time.Millisecond))}
	predecessor := launch(t, shared.processConfig(t, engines[0].Address, ""))
	predecessor.waitReady(t)
	successor := launch(t, shared.processConfig(t, engines[1].Address, ""))
	successor.waitReady(t)
	predecessor.onLoopWait(func() { predecessor.upgrade.peer.phase, predecessor.upgrade.peer.storeClosing = sendingKeys, true }) // as while the key store is closing
	predecessor.signals <- syscall.SIGTERM
	predecessor.signals = nil
	for noticed, iterations := false, 0; iterations < 20; {
		if !predecessor.runUnlessEnded(func() {
			if noticed = predecessor.killAt != 0; noticed {
				predecessor.advanceShutdown(now() + 10*shutdownLingerUS)
				iterations++
			}
		}) {
			t.Fatal("the process ended before the keys were handed over")
		}
	}
	predecessor.onLoopWait(func() { predecessor.upgrade.peer.phase, predecessor.upgrade.peer.storeClosing = keysSent, false })
	if err := <-predecessor.serveErr; err != nil {
		t.Error(err)
	}
}

// A shutdown notice that arrives, twice, before the server listens or before the
// engine has answered is acted on, and the time to the kill counts from its arrival.
func TestShutdownNoticeDuringStart(t *testing.T) {
	t.Parallel()
	silentEngine, err := net.Listen("tcp", "127.0.0.1:0") // accepts links, and never sends HELLO
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silentEngine.Close() })
	for _, early := range []bool{true, false} {
		srv, err := New(platformConfig(t, silentEngine.Addr().String(), ""), zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		stop := make(chan ShutdownNotice, 2)
		noticeAt := time.Now().Add(-500 * time.Millisecond)
		if early {
			stop <- ShutdownNotice{syscall.SIGTERM, noticeAt}
			stop <- ShutdownNotice{syscall.SIGTERM, time.Now()}
		}
		ended := make(chan error, 1)
		go func() { ended <- srv.Serve(Signals{Stop: stop}) }()
		if !early {
			<-srv.started
			caller := standin.Dial(t, srv.Addresses()[0])
			caller.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
			caller.Send(2, standin.Fields("note", "red", "k", 2, 3*time.Second), "b")
			running := &testServer{Server: srv}
			running.eventually(t, "both requests read", func() bool { return srv.core.Outstanding() == 2 })
			stop <- ShutdownNotice{syscall.SIGTERM, noticeAt}
			if _, refused, failed, _ := countByCode(readAll(caller)); refused+failed != 2 {
				t.Errorf("%d of 2 answered", refused+failed)
			}
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if srv.killAt != noticeAt.UnixMicro()+srv.cfg.StopTimeoutUS {
			t.Errorf("early=%v: kill expected %d us after the notice, want %d", early, srv.killAt-noticeAt.UnixMicro(), srv.cfg.StopTimeoutUS)
		}
	}
}

// A shutdown notice that arrives while the reading of a configuration file blocks is
// acted on: the drain begins and ends without the file.
func TestShutdownNoticeDuringReload(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	reading, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	srv := launchWith(t, platformConfig(t, engine.Address, ""), func(s *Server) {
		s.LoadConfig = func() (*config.Config, error) {
			close(reading)
			<-release
			return nil, errors.New("file not read")
		}
	})
	srv.signals <- syscall.SIGHUP
	<-reading
	srv.signals <- syscall.SIGTERM
	srv.signals = nil
	select {
	case err := <-srv.serveErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the drain did not end within 5 s: it waits for the file")
	}
}

// failingListener is a listener whose next accepts fail at once, as without free descriptors.
type failingListener struct {
	net.Listener
	remaining int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.remaining--; l.remaining < 0 {
		return nil, net.ErrClosed
	}
	return nil, syscall.EMFILE
}

func (l *failingListener) Close() error { return nil }

// Accepts that fail at once are repeated after a pause only, and keep no connection slot.
func TestAcceptErrorsAreThrottled(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	const tries = 20
	slots := make(chan struct{}, 1)
	began := time.Now()
	srv.acceptLoop(frontend{Listener: &failingListener{remaining: tries}, slots: slots, admin: true})
	if took := time.Since(began); took < tries*acceptRetryInterval || len(slots) > 0 {
		t.Errorf("%d accepts in %v, %d connection slots in use", tries, took, len(slots))
	}
}
