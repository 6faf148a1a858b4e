package server

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/config"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// settings are those of a small site: three classes, two tenants, room for all.
const settings = `{"classes": [
  {"name": "look", "effect": "repeatable", "on_time_us": 2000000, "hard_limit_us": 4000000, "worth": 1},
  {"name": "find", "effect": "repeatable", "on_time_us": 2000000, "hard_limit_us": 4000000, "worth": 2},
  {"name": "note", "effect": "by_key", "on_time_us": 2000000, "hard_limit_us": 4000000, "worth": 4, "window_us": 9000000}],
 "tenants": [{"name": "red", "quota_per_s": 500}, {"name": "blue", "quota_per_s": 500}],
 "ceilings": {"max_retry_after_us": 1000000, "retry_after": true},
 "family_info": {"cores": 8, "memory_kb": 400000, "blowup": 4, "key_kb": 8, "idle_us": 60000000, "callers": 4, "gauges": ["cpu_busy", "runnable"]},
 "rules": {"answer_slack_us": 60000, "drain_grace_us": 2000000, "fall_multiple": 8, "fall_us": 1500000},
 "goal": {"whole": 1}, "tick_us": 4000, "group_size": 1}`

// testServer is a server under test.
type testServer struct {
	*Server
	test                  testing.TB
	framesAddr, uwsgiAddr string // addresses
	signals               chan os.Signal
	serveErr              chan error
}

// platformJSON is the file that the platform would write.
func platformJSON(engine, registry string) string {
	return fmt.Sprintf(`{"name": "t", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "engine": %q, "registry": %q,
		"seed": "1", "stop_ms": 2000, "limits": {"cores": 1, "memory_mb": 64, "sockets": 288}, "settings": %s}`,
		engine, registry, settings)
}

// platformConfig is what the platform would configure.
func platformConfig(t testing.TB, engine, registry string) *config.Config {
	t.Helper()
	cfg, err := config.Parse([]byte(platformJSON(engine, registry)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// start runs a server against an engine and, if operator is given, with that
// operator's file, in which %s stands for a free loopback address.
func start(t testing.TB, engine, registry, operator string) *testServer {
	t.Helper()
	cfg := platformConfig(t, engine, registry)
	if operator != "" {
		var err error
		if cfg, err = config.ParseOperator(operator, cfg); err != nil {
			t.Fatal(err)
		}
	}
	r := launch(t, cfg)
	r.eventually(t, "it serves", func() bool { return r.serving })
	return r
}

// launch runs a server set up by cfg, which need not serve yet.
func launch(t testing.TB, cfg *config.Config) *testServer {
	t.Helper()
	return launchWith(t, cfg, func(*Server) {})
}

// launchWith does the same with a server that is changed before it starts.
func launchWith(t testing.TB, cfg *config.Config, change func(*Server)) *testServer {
	t.Helper()
	s, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	change(s)
	if cfg.InheritedFD == 0 {
		if err := s.Listen(); err != nil {
			t.Fatal(err)
		}
	}
	r := &testServer{Server: s, test: t, signals: make(chan os.Signal, 1), serveErr: make(chan error, 1)}
	stop, reload := make(chan ShutdownNotice, 1), make(chan os.Signal, 1)
	go func(signals <-chan os.Signal) {
		for {
			select {
			case sig := <-signals:
				if sig == syscall.SIGHUP {
					reload <- sig
				} else {
					stop <- ShutdownNotice{sig, time.Now()}
				}
			case <-s.runCtx.Done():
				return
			}
		}
	}(r.signals)
	go func() { r.serveErr <- s.Serve(Signals{Stop: stop, Reload: reload}) }()
	select {
	case <-s.started:
	case err := <-r.serveErr:
		t.Fatalf("it does not start: %v", err)
	}
	r.framesAddr = s.Addresses()[0]
	if cfg.UWSGI.Listen != "" {
		r.uwsgiAddr = s.Addresses()[1]
	}
	t.Cleanup(func() { r.stop(t) })
	return r
}

// stop drains the server and fails the test unless it ends well in time.
func (r *testServer) stop(t testing.TB) {
	t.Helper()
	if r.signals == nil {
		return
	}
	r.signals <- syscall.SIGTERM
	r.signals = nil
	select {
	case err := <-r.serveErr:
		if err != nil {
			t.Errorf("the drain ended with: %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the drain does not end")
	}
}

// onLoopWait runs f on the loop.
func (r *testServer) onLoopWait(f func()) {
	done := make(chan struct{})
	r.onLoop(func() { f(); close(done) })
	<-done
}

// eventually waits for what the loop reports, bounded.
func (r *testServer) eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		is := false
		r.onLoopWait(func() { is = ok() })
		if is {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not within 10 s", what)
}

func TestServesAndReports(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(5*time.Millisecond))
	registry, reports := standin.NewRegistry(t)
	r := start(t, engine.Address, registry, "")
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, time.Second), "\x00\r\nbody")
	if got, _ := c.Next(); got.Code != 79 || got.Stream != 1 || got.Body != "did \x00\r\nbody" {
		t.Errorf("answer %+v", got)
	}
	if got := <-reports; got != "BEAT t ready" {
		t.Errorf("report %q", got)
	}
	r.stop(t)
	last := ""
	for len(reports) > 0 {
		last = <-reports
	}
	if last != "BEAT t draining" {
		t.Errorf("last report %q", last)
	}
	if got, ok := c.Next(); !ok || got.Type != 90 {
		t.Errorf("want GOAWAY at the drain, got %+v", got)
	}
}

// A registry that is down costs its reports and nothing else, and hears again
// of the server, by its state of then, when it is back.
func TestRegistryDownAndBack(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	registry, reports, down := standin.NewRegistryAt(t, "127.0.0.1:0")
	r := start(t, engine.Address, registry, "")
	<-reports
	down()
	c := standin.Dial(t, r.framesAddr)
	for i := range uint64(20) { // over more than three reports
		c.Send(uint32(i+1), standin.Fields("look", "red", "", i+1, time.Second), "b")
		if got, _ := c.Next(); got.Code != frame.Served {
			t.Errorf("while the registry is down: %+v", got)
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.adminCall(t, "drain")
	_, reports, _ = standin.NewRegistryAt(t, registry)
	if got := <-reports; got != "BEAT t draining" {
		t.Errorf("report %q when it is back", got)
	}
}
