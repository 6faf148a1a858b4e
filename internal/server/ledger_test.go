package server

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kiteslip/internal/config"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
	"kiteslip/internal/standin/box"
	"kiteslip/internal/standin/ledger"
)

// ledgerSettingsJSON are policy settings for runs that call a ledger: of the class look
// the call may be skipped, of find and note it may not. Runs can be paused.
var ledgerSettingsJSON = strings.NewReplacer(`"callers": 4,`, `"callers": 4, "below": "tier", "preemption": "freeze", "passes_deadline": false, "readiness": true,
	"class_calls": [true, true, true], "class_skip_worth": [0.5, 0, 0], "calls_over_us": 5000000, "lingers_us": 200000,`).Replace(settingsJSON)

// ledgerServer is a server under test with an engine and a ledger.
type ledgerServer struct {
	*testServer
	engine *box.Engine
	ledger *ledger.Ledger
}

// newLedgerServer starts a server with an engine and a ledger that answers by script.
func newLedgerServer(t *testing.T, script func(ledger.Call) ledger.Response) *ledgerServer {
	t.Helper()
	srv := &ledgerServer{}
	var err error
	if srv.engine, err = box.Serve(box.Spec{Cores: 64}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.engine.Close)
	srv.engine.CountStarts()
	srv.engine.KeepHalted(true)
	if srv.ledger, err = ledger.Serve(script); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(srv.ledger.Stop)
	cfg := srv.config(t, srv.ledger.Address)
	srv.testServer = launch(t, cfg)
	srv.eventually(t, "server serves requests", func() bool { return srv.serving && srv.link.Ready() })
	return srv
}

// config returns the configuration of k with the given ledger address.
func (k *ledgerServer) config(t *testing.T, ledger string) *config.Config {
	t.Helper()
	text := fmt.Sprintf(`{"name": "t", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "engine": %q, "ledger": %q,
		"seed": "1", "stop_ms": 2000, "limits": {"cores": 1, "memory_mb": 64, "sockets": 288}, "settings": %s}`,
		k.engine.Address, ledger, ledgerSettingsJSON)
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// fieldsWithoutTimeout returns the fields of a request that does not state its timeout.
func fieldsWithoutTimeout(class, key string, tryID uint64) []frame.Field {
	var fields []frame.Field
	for _, f := range standin.Fields(class, "red", key, tryID, time.Second) {
		if f.Name != "timeout" && f.Name != "ms" {
			fields = append(fields, f)
		}
	}
	return fields
}

// Codes of answers.
const served, refused, failed = frame.Served, frame.Refused, frame.Failed

// Each outcome of a downstream call gives the right answer: a call that may have
// had its effect is not repeated unless that is harmless, one that never ran is.
func TestAnswersByLedgerOutcome(t *testing.T) {
	t.Parallel()
	srv := newLedgerServer(t, func(call ledger.Call) ledger.Response {
		first := call.Try == 1
		switch {
		case strings.Contains(call.Body, "untouched-once") && first:
			return ledger.Response{Status: 503, Untouched: true}
		case strings.Contains(call.Body, "no-run-once") && first:
			return ledger.Response{Status: 409, Untouched: true}
		case strings.Contains(call.Body, "doubtful"):
			return ledger.Response{Status: 503, TakesEffect: true}
		case strings.Contains(call.Body, "errs"):
			return ledger.Response{Status: 500, TakesEffect: true}
		case strings.Contains(call.Body, "breaks"):
			return ledger.Response{CloseEarly: true, TakesEffect: true}
		case strings.Contains(call.Body, "garbles"):
			return ledger.Response{Malformed: true, TakesEffect: true}
		case strings.Contains(call.Body, "floods"):
			return ledger.Response{ReplyBytes: 100 << 10}
		}
		return ledger.Response{}
	})
	caller := standin.Dial(t, srv.framesAddr)
	cases := []struct {
		class, body string
		code        byte
		calls       int
	}{
		{"note", "1000*1 good", served, 1}, {"note", "1000*2 good twice", served, 2},
		{"note", "1000*1 untouched-once", served, 2}, {"note", "1000*1 no-run-once", served, 2},
		{"note", "1000*1 doubtful", failed, 1}, {"note", "1000*1 errs", failed, 1}, {"note", "1000*1 breaks", failed, 1},
		{"note", "1000*1 garbles", failed, 1}, {"note", "1000*1 floods", failed, 1},
		{"find", "1000*1 errs", failed, 3}, // repeatable, but not to be skipped: called again
		{"look", "1000*1 errs", served, 3}, // skipped in the end
	}
	before := 0
	for i, want := range cases {
		key := ""
		if want.class == "note" {
			key = fmt.Sprint("k", i)
		}
		caller.Send(uint32(i+1), fieldsWithoutTimeout(want.class, key, uint64(i+1)), want.body)
		got, ok := caller.Next()
		if !ok || got.Code != want.code {
			t.Errorf("%s %q: got %+v, want code %d", want.class, want.body, got, want.code)
		}
		if got.Code == served && !strings.HasPrefix(got.Body, want.body+"|") {
			t.Errorf("%q: got body %q", want.body, got.Body)
		}
		seen, _ := srv.ledger.Received()
		if seen-before != want.calls {
			t.Errorf("%s %q: got %d calls, want %d", want.class, want.body, seen-before, want.calls)
		}
		before = seen
	}
	if got := srv.adminCall(t, "show-stat"); !strings.Contains(got, "app.rejected.ledger_broken:1|c") || !strings.Contains(got, "app.ledger.ok:5|c") {
		t.Errorf("metrics:\n%s", got)
	}
}

// While the ledger is down, requests that need it fail by their deadline and others
// are served without it; when it is back, it is called again.
func TestLedgerDownAndBack(t *testing.T) {
	t.Parallel()
	srv := newLedgerServer(t, nil)
	caller := standin.Dial(t, srv.framesAddr)
	srv.ledger.Stop()
	caller.Send(1, fieldsWithoutTimeout("note", "a", 1), "1000*1 a")
	caller.Send(2, fieldsWithoutTimeout("look", "", 2), "1000*1 b")
	for range 2 {
		if got, ok := caller.Next(); !ok || got.Stream == 1 && got.Code != failed || got.Stream == 2 && got.Body != "1000*1 b|skipped" {
			t.Errorf("while the ledger is down: unexpected answer %+v", got)
		}
	}
	if err := srv.ledger.Start(); err != nil {
		t.Fatal(err)
	}
	caller.Send(3, fieldsWithoutTimeout("note", "b", 3), "1000*1 c")
	if got, _ := caller.Next(); got.Code != served || got.Body != "1000*1 c|posted call 0 of 1000*1 c" {
		t.Errorf("when the ledger is back: unexpected answer %+v", got)
	}
}

// When the ledger does not answer, requests that wait for it are answered by their
// deadline, and requests that need no call are served meanwhile.
func TestLedgerHangs(t *testing.T) {
	t.Parallel()
	srv := newLedgerServer(t, func(c ledger.Call) ledger.Response {
		if strings.Contains(c.Body, "hang") {
			return ledger.Response{Delay: 10 * time.Second}
		}
		return ledger.Response{}
	})
	caller := standin.Dial(t, srv.framesAddr)
	fields := standin.Fields("note", "red", "a", 1, 700*time.Millisecond)
	deadline := time.Now().Add(760 * time.Millisecond)
	caller.Send(1, fields, "1000*1 hang")
	caller.Send(2, fieldsWithoutTimeout("look", "", 2), "1000 quick")
	if got, _ := caller.Next(); got.Stream != 2 || got.Code != served {
		t.Errorf("request without a call: unexpected answer %+v", got)
	}
	if got, _ := caller.Next(); got.Stream != 1 || got.Code != failed || got.At.After(deadline) {
		t.Errorf("request that waits for the ledger: got %+v, %v after its deadline", got, got.At.Sub(deadline))
	}
	srv.engine.RequestDone("0000000000000001")
	srv.eventually(t, "call cancelled after the end of its run", func() bool { return srv.core.CallsInFlight() == 0 })
}

// Many runs wait for calls over few connections: each gets its own reply, once, and
// the number of connections keeps its limit.
func TestManyCallsFewConnections(t *testing.T) {
	t.Parallel()
	const runs = 100
	srv := newLedgerServer(t, func(ledger.Call) ledger.Response { return ledger.Response{Delay: 5 * time.Millisecond} })
	var callers []*standin.Caller
	for i := range runs {
		if i%25 == 0 {
			callers = append(callers, standin.Dial(t, srv.framesAddr))
		}
		callers[i/25].Send(uint32(i%25+1), fieldsWithoutTimeout("find", "", uint64(i+1)), fmt.Sprintf("100*1 r%d", i))
	}
	codes := map[byte]int{}
	for i := range runs {
		got, _ := callers[i/25].Next()
		codes[got.Code]++
		if got.Code == served && !strings.Contains(got.Body, "|posted call 0 of "+strings.Split(got.Body, "|")[0]) {
			t.Errorf("reply of another run: %q", got.Body)
		}
	}
	if codes[served]+codes[refused] != runs || codes[served] < runs/4 {
		t.Errorf("answers by code: %v, want each served or refused and a quarter served", codes)
	}
	if _, peakConns := srv.ledger.Connections(); peakConns > srv.downstream.maxConns {
		t.Errorf("%d connections to the ledger, want %d at most", peakConns, srv.downstream.maxConns)
	}
	if log := srv.engine.Log(); log.CallResults != codes[served] || log.Unexpected != 0 {
		t.Errorf("engine log %+v, but %d requests served", log, codes[served])
	}
}

// When a caller disconnects while its run waits for a call, the call is cancelled
// if the run is repeatable, and the request is released when the engine has ended
// the run.
func TestCallerDisconnectsDuringCall(t *testing.T) {
	t.Parallel()
	called := make(chan struct{}, 1)
	srv := newLedgerServer(t, func(ledger.Call) ledger.Response { called <- struct{}{}; return ledger.Response{Delay: time.Minute} })
	c := standin.Dial(t, srv.framesAddr)
	c.Send(1, fieldsWithoutTimeout("find", "", 1), "1000*1 a")
	<-called
	c.Conn.Close()
	srv.eventually(t, "call cancelled", func() bool { return srv.core.CallsInFlight() == 0 })
	srv.engine.RequestDone("0000000000000001")
	srv.eventually(t, "request released", func() bool { n, _ := srv.core.Tracked(); return n == 0 })
}

// The engine link breaks while a run waits for its call, between NEED and FEED. The
// reply still reaches the run, once.
func TestLinkBreaksBetweenNeedAndFeed(t *testing.T) {
	t.Parallel()
	called, release := make(chan struct{}, 1), make(chan struct{})
	srv := newLedgerServer(t, func(ledger.Call) ledger.Response { called <- struct{}{}; <-release; return ledger.Response{} })
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, fieldsWithoutTimeout("note", "a", 1), "1000*1 a")
	<-called
	srv.engine.Disconnect()
	srv.eventually(t, "engine link reconnected", func() bool { return srv.link.Ready() && srv.engineDialID.Load() > 1 })
	close(release)
	if got, _ := caller.Next(); got.Code != served || got.Body != "1000*1 a|posted call 0 of 1000*1 a" {
		t.Errorf("unexpected answer: %+v", got)
	}
	if log := srv.engine.Log(); log.Started["1000*1 a"] != 1 || log.CallResults != 1 {
		t.Errorf("engine log: got %+v, want 1 run and 1 reply", log)
	}
}

// A retry that arrives while the run of its key waits for a call gets the result of
// that run; neither the run nor the call is repeated.
func TestRetryWhileRunAwaitsCall(t *testing.T) {
	t.Parallel()
	called, release := make(chan struct{}, 1), make(chan struct{})
	srv := newLedgerServer(t, func(ledger.Call) ledger.Response { called <- struct{}{}; <-release; return ledger.Response{} })
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, fieldsWithoutTimeout("note", "a", 1), "1000*1 a")
	<-called
	caller.Send(2, append(fieldsWithoutTimeout("note", "a", 2), frame.Field{Name: "resent", Value: "1"}), "1000*1 a")
	srv.eventually(t, "retry received", func() bool { return srv.core.Counts().Received == 2 })
	close(release)
	for range 2 {
		if got, _ := caller.Next(); got.Code != served || got.Body != "1000*1 a|posted call 0 of 1000*1 a" {
			t.Errorf("unexpected answer: %+v", got)
		}
	}
	if effects := srv.ledger.Effects()["call 0 of 1000*1 a"]; effects != 1 || srv.engine.Log().Started["1000*1 a"] != 1 {
		t.Errorf("%d effects, want 1; engine log %+v", effects, srv.engine.Log())
	}
}

// At SIGTERM with pending calls, runs that end in time are served, the others are
// answered before the process is killed, and the process ends.
func TestDrainWithPendingCalls(t *testing.T) {
	t.Parallel()
	called := make(chan struct{}, 2)
	srv := newLedgerServer(t, func(c ledger.Call) ledger.Response {
		called <- struct{}{}
		if strings.Contains(c.Body, "slow") {
			return ledger.Response{Delay: time.Minute}
		}
		return ledger.Response{Delay: 300 * time.Millisecond}
	})
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, fieldsWithoutTimeout("note", "a", 1), "1000*1 soon")
	caller.Send(2, fieldsWithoutTimeout("note", "b", 2), "1000*1 slow")
	<-called
	<-called
	srv.signals <- syscall.SIGTERM
	srv.signals = nil
	codes := map[uint32]byte{}
	for len(codes) < 2 {
		got, ok := caller.Next()
		if !ok {
			t.Fatal("connection closed with requests unanswered")
		}
		if got.Type == frame.Answer {
			codes[got.Stream] = got.Code
		}
	}
	if codes[1] != served || codes[2] != failed {
		t.Errorf("codes by stream: got %v, want served and failed", codes)
	}
	if err := <-srv.serveErr; err != nil {
		t.Errorf("drain: %v", err)
	}
}

// When a new configuration changes the ledger's address, a pending call ends at the
// old address and later calls go to the new one.
func TestLedgerAddressChanges(t *testing.T) {
	t.Parallel()
	called, release := make(chan struct{}, 1), make(chan struct{})
	var once sync.Once
	srv := newLedgerServer(t, func(ledger.Call) ledger.Response {
		once.Do(func() { called <- struct{}{} })
		<-release
		return ledger.Response{}
	})
	newLedger, err := ledger.Serve(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(newLedger.Stop)
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, fieldsWithoutTimeout("note", "a", 1), "1000*1 a")
	<-called
	cfg := srv.config(t, newLedger.Address)
	if !srv.sighupFrom(t, func() (*config.Config, error) { return cfg, nil }) {
		t.Fatal("valid configuration rejected")
	}
	caller.Send(2, fieldsWithoutTimeout("note", "b", 2), "1000*1 b")
	if got, _ := caller.Next(); got.Stream != 2 || got.Code != served {
		t.Errorf("unexpected answer: %+v", got)
	}
	close(release)
	if got, _ := caller.Next(); got.Stream != 1 || got.Code != served {
		t.Errorf("unexpected answer: %+v", got)
	}
	if seen, _ := newLedger.Received(); seen != 1 {
		t.Errorf("the new ledger got %d calls, want 1", seen)
	}
}

// The caller of a long run is answered at its deadline; the engine halts the run,
// and its memory stays accounted until the engine has ended it.
func TestPausedRunAtDeadline(t *testing.T) {
	t.Parallel()
	srv := newLedgerServer(t, nil)
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("look", "red", "", 1, 600*time.Millisecond), "5000000 long")
	srv.eventually(t, "request running", func() bool { return srv.engine.Log().Started["5000000 long"] == 1 })
	if got, _ := caller.Next(); got.Code != failed {
		t.Errorf("at the deadline: got %+v, want failed", got) // it ran, so it is not refused
	}
	srv.eventually(t, "run halted by the engine", func() bool { return srv.engine.Log().HaltedRuns == 1 })
	srv.engine.RequestDone("0000000000000001")
	srv.eventually(t, "request released", func() bool { n, _ := srv.core.Tracked(); return n == 0 && srv.engine.ActiveRuns() == 0 })
}

// A connection may carry requests with a stated timeout and others without one.
func TestRequestsWithAndWithoutTimeout(t *testing.T) {
	t.Parallel()
	srv := newLedgerServer(t, nil)
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, fieldsWithoutTimeout("look", "", 1), "100 a")
	caller.Send(2, standin.Fields("look", "red", "", 2, time.Second), "100 b")
	for range 2 {
		if got, _ := caller.Next(); got.Code != served {
			t.Errorf("unexpected answer: %+v", got)
		}
	}
}

// When the engine accepts runs and ends none, every request is answered by its
// deadline, and with readiness set the server is reported as draining.
func TestEngineThatHangs(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, func(body string) standin.Work { return standin.Work{Duration: time.Hour} })
	registry, reports := standin.NewRegistry(t)
	text := strings.NewReplacer(settingsJSON, ledgerSettingsJSON).Replace(platformJSON(engine.Address, registry))
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	srv := launch(t, cfg)
	srv.eventually(t, "server serves requests", func() bool { return srv.serving })
	caller := standin.Dial(t, srv.framesAddr)
	deadline := time.After(20 * time.Second)
	for i, draining := uint32(1), false; !draining; i++ {
		caller.Send(i, standin.Fields("look", "red", "", uint64(i), 300*time.Millisecond), "x")
		if got, ok := caller.Next(); !ok || got.Code == served {
			t.Fatalf("unexpected answer of a hanging engine: %+v", got)
		}
		select {
		case <-deadline:
			t.Fatal("no draining report within 20 s")
		case report := <-reports:
			draining = report == "BEAT t draining"
		default:
		}
	}
}

// Rejected requests are counted by cause.
func TestRejectionsAreCounted(t *testing.T) {
	t.Parallel()
	srv := newLedgerServer(t, nil)
	caller := standin.Dial(t, srv.framesAddr)
	for i := range uint32(3) {
		caller.Send(i+1, []frame.Field{{Name: "kind", Value: "look"}}, "x")
		caller.Next()
	}
	caller.Send(4, append(fieldsWithoutTimeout("look", "", 1), frame.Field{Name: "level", Value: "9"}), "x")
	caller.Next()
	got := srv.adminCall(t, "show-stat")
	for _, want := range []string{"app.rejected.field_absent_req:3|c", "app.rejected.field_unusable_level:1|c"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s missing in metrics\n%s", want, got)
		}
	}
}
