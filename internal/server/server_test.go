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

// settingsJSON are the policy's settings for tests: three classes and two tenants with ample quotas.
const settingsJSON = `{"classes": [
  {"name": "look", "effect": "repeatable", "on_time_us": 2000000, "hard_limit_us": 4000000, "worth": 1},
  {"name": "find", "effect": "repeatable", "on_time_us": 2000000, "hard_limit_us": 4000000, "worth": 2},
  {"name": "note", "effect": "by_key", "on_time_us": 2000000, "hard_limit_us": 4000000, "worth": 4, "window_us": 9000000}],
 "tenants": [{"name": "red", "quota_per_s": 500}, {"name": "blue", "quota_per_s": 500}],
 "ceilings": {"max_retry_after_us": 1000000, "retry_after": true},
 "family_info": {"cores": 8, "memory_kb": 400000, "blowup": 4, "key_kb": 8, "idle_us": 60000000, "callers": 4, "gauges": ["cpu_busy", "runnable"]},
 "rules": {"answer_slack_us": 60000, "drain_grace_us": 2000000, "fall_multiple": 8, "fall_us": 1500000},
 "goal": {"whole": 1}, "tick_us": 4000, "group_size": 1}`

// testServer is a running server under test.
type testServer struct {
	*Server
	test                  testing.TB
	framesAddr, uwsgiAddr string // of the front ends
	signals               chan os.Signal
	serveErr              chan error
}

// platformJSON returns a configuration file as the platform writes it.
func platformJSON(engine, registry string) string {
	return fmt.Sprintf(`{"name": "t", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "engine": %q, "registry": %q,
		"seed": "1", "stop_ms": 2000, "limits": {"cores": 1, "memory_mb": 64, "sockets": 288}, "settings": %s}`,
		engine, registry, settingsJSON)
}

// platformConfig returns the configuration parsed from platformJSON.
func platformConfig(t testing.TB, engine, registry string) *config.Config {
	t.Helper()
	cfg, err := config.Parse([]byte(platformJSON(engine, registry)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// start runs a server with the given engine and registry addresses and, if
// operator is not empty, that operator's file, and waits until it serves.
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
	r.eventually(t, "server serves requests", func() bool { return r.serving })
	return r
}

// launch runs a server configured by cfg; it may not serve yet when launch returns.
func launch(t testing.TB, cfg *config.Config) *testServer {
	t.Helper()
	return launchWith(t, cfg, func(*Server) {})
}

// launchWith is launch with a function that changes the server before it starts.
func launchWith(t testing.TB, cfg *config.Config, change func(*Server)) *testServer {
	t.Helper()
	srv, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	change(srv)
	if cfg.InheritedFD == 0 {
		if err := srv.Listen(); err != nil {
			t.Fatal(err)
		}
	}
	running := &testServer{Server: srv, test: t, signals: make(chan os.Signal, 1), serveErr: make(chan error, 1)}
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
			case <-srv.runCtx.Done():
				return
			}
		}
	}(running.signals)
	go func() { running.serveErr <- srv.Serve(Signals{Stop: stop, Reload: reload}) }()
	select {
	case <-srv.started:
	case err := <-running.serveErr:
		t.Fatalf("start failed: %v", err)
	}
	running.framesAddr = srv.Addresses()[0]
	if cfg.UWSGI.Listen != "" {
		running.uwsgiAddr = srv.Addresses()[1]
	}
	t.Cleanup(func() { running.stop(t) })
	return running
}

// stop sends SIGTERM and fails the test unless the drain ends without an error in time.
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
			t.Errorf("drain: %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the drain did not end in time")
	}
}

// onLoopWait runs f on the loop and waits for it.
func (r *testServer) onLoopWait(f func()) {
	done := make(chan struct{})
	r.onLoop(func() { f(); close(done) })
	<-done
}

// eventually polls ok on the loop and fails the test if it is not true within 10 s.
func (r *testServer) eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		met := false
		r.onLoopWait(func() { met = ok() })
		if met {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not within 10 s", what)
}

// A server answers a request, reports its state to the registry until the end,
// and tells its callers of the drain with GOAWAY.
func TestServesAndReports(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(5*time.Millisecond))
	registry, reports := standin.NewRegistry(t)
	srv := start(t, engine.Address, registry, "")
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("look", "red", "", 1, time.Second), "\x00\r\nbody")
	if got, _ := caller.Next(); got.Code != 79 || got.Stream != 1 || got.Body != "did \x00\r\nbody" {
		t.Errorf("unexpected answer: %+v", got)
	}
	if got := <-reports; got != "BEAT t ready" {
		t.Errorf("first report: got %q", got)
	}
	srv.stop(t)
	last := ""
	for len(reports) > 0 {
		last = <-reports
	}
	if last != "BEAT t draining" {
		t.Errorf("last report: got %q", last)
	}
	if got, ok := caller.Next(); !ok || got.Type != 90 {
		t.Errorf("at the drain: got %+v, want GOAWAY", got)
	}
}

// While the registry is down, only its reports fail and requests are served; when
// it is back, it gets reports of the server's present state again.
func TestRegistryDownAndBack(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	registry, reports, down := standin.NewRegistryAt(t, "127.0.0.1:0")
	srv := start(t, engine.Address, registry, "")
	<-reports
	down()
	caller := standin.Dial(t, srv.framesAddr)
	for i := range uint64(20) { // longer than three report intervals
		caller.Send(uint32(i+1), standin.Fields("look", "red", "", i+1, time.Second), "b")
		if got, _ := caller.Next(); got.Code != frame.Served {
			t.Errorf("while the registry is down: got %+v, want served", got)
		}
		time.Sleep(50 * time.Millisecond)
	}
	srv.adminCall(t, "drain")
	_, reports, _ = standin.NewRegistryAt(t, registry)
	if got := <-reports; got != "BEAT t draining" {
		t.Errorf("first report after the registry is back: got %q", got)
	}
}
