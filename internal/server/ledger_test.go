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

// ledgerSettings are those of a small site whose runs call a ledger: reads that
// may leave it out, and keyed writes that may not. Runs can be paused.
var ledgerSettings = strings.NewReplacer(`"callers": 4,`, `"callers": 4, "below": "tier", "preemption": "freeze", "passes_deadline": false, "readiness": true,
	"class_calls": [true, true, true], "class_skip_worth": [0.5, 0, 0], "calls_over_us": 5000000, "lingers_us": 200000,`).Replace(settings)

// ledgerServer is a server with an engine and a ledger.
type ledgerServer struct {
	*testServer
	engine *box.Engine
	ledger *ledger.Ledger
}

func newLedgerServer(t *testing.T, script func(ledger.Call) ledger.Act) *ledgerServer {
	t.Helper()
	k := &ledgerServer{}
	var err error
	if k.engine, err = box.Serve(box.Spec{Cores: 64}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.engine.Close)
	k.engine.Watch()
	k.engine.KeepStopped(true)
	if k.ledger, err = ledger.Serve(script); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.ledger.Down)
	cfg := k.config(t, k.ledger.Address)
	k.testServer = launch(t, cfg)
	k.eventually(t, "it serves", func() bool { return k.serving && k.link.Ready() })
	return k
}

func (k *ledgerServer) config(t *testing.T, ledger string) *config.Config {
	t.Helper()
	text := fmt.Sprintf(`{"name": "t", "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "engine": %q, "ledger": %q,
		"seed": "1", "stop_ms": 2000, "limits": {"cores": 1, "memory_mb": 64, "sockets": 288}, "settings": %s}`,
		k.engine.Address, ledger, ledgerSettings)
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// fieldsWithoutTimeout are the fields of a request that does not say how long its caller waits.
func fieldsWithoutTimeout(class, key string, name uint64) []frame.Field {
	var fields []frame.Field
	for _, f := range standin.Fields(class, "red", key, name, time.Second) {
		if f.Name != "timeout" && f.Name != "ms" {
			fields = append(fields, f)
		}
	}
	return fields
}

const served, refused, failed = frame.Served, frame.Refused, frame.Failed

// Each way in which a call ends becomes the answer it must: what may have had
// its effect is not called again, what never ran is.
func TestAnswersByLedgerOutcome(t *testing.T) {
	t.Parallel()
	k := newLedgerServer(t, func(c ledger.Call) ledger.Act {
		first := c.Try == 1
		switch {
		case strings.Contains(c.Body, "untouched-once") && first:
			return ledger.Act{Status: 503, Untouched: true}
		case strings.Contains(c.Body, "no-run-once") && first:
			return ledger.Act{Status: 409, Untouched: true}
		case strings.Contains(c.Body, "doubtful"):
			return ledger.Act{Status: 503, Ran: true}
		case strings.Contains(c.Body, "errs"):
			return ledger.Act{Status: 500, Ran: true}
		case strings.Contains(c.Body, "breaks"):
			return ledger.Act{Break: true, Ran: true}
		case strings.Contains(c.Body, "garbles"):
			return ledger.Act{Garble: true, Ran: true}
		case strings.Contains(c.Body, "floods"):
			return ledger.Act{Size: 100 << 10}
		}
		return ledger.Act{}
	})
	c := standin.Dial(t, k.framesAddr)
	cases := []struct {
		class, body string
		code        byte
		calls       int
	}{
		{"note", "1000*1 good", served, 1}, {"note", "1000*2 good twice", served, 2},
		{"note", "1000*1 untouched-once", served, 2}, {"note", "1000*1 no-run-once", served, 2},
		{"note", "1000*1 doubtful", failed, 1}, {"note", "1000*1 errs", failed, 1}, {"note", "1000*1 breaks", failed, 1},
		{"note", "1000*1 garbles", failed, 1}, {"note", "1000*1 floods", failed, 1},
		{"find", "1000*1 errs", failed, 3}, // safe to repeat, not to leave out: tried again
		{"look", "1000*1 errs", served, 3}, // left out in the end
	}
	before := 0
	for i, want := range cases {
		key := ""
		if want.class == "note" {
			key = fmt.Sprint("k", i)
		}
		c.Send(uint32(i+1), fieldsWithoutTimeout(want.class, key, uint64(i+1)), want.body)
		got, ok := c.Next()
		if !ok || got.Code != want.code {
			t.Errorf("%s %q: %+v, want code %d", want.class, want.body, got, want.code)
		}
		if got.Code == served && !strings.HasPrefix(got.Body, want.body+"|") {
			t.Errorf("%q is served with %q", want.body, got.Body)
		}
		seen, _ := k.ledger.Seen()
		if seen-before != want.calls {
			t.Errorf("%s %q: %d calls, want %d", want.class, want.body, seen-before, want.calls)
		}
		before = seen
	}
	if got := k.adminCall(t, "show-stat"); !strings.Contains(got, "app.rejected.ledger_broken:1|c") || !strings.Contains(got, "app.ledger.ok:5|c") {
		t.Errorf("it shows %s", got)
	}
}

// The ledger is down: what can't do without it fails at once or in its time,
// what can is served without, nothing waits for ever; it is used again when back.
func TestLedgerDownAndBack(t *testing.T) {
	t.Parallel()
	k := newLedgerServer(t, nil)
	c := standin.Dial(t, k.framesAddr)
	k.ledger.Down()
	c.Send(1, fieldsWithoutTimeout("note", "a", 1), "1000*1 a")
	c.Send(2, fieldsWithoutTimeout("look", "", 2), "1000*1 b")
	for range 2 {
		if got, ok := c.Next(); !ok || got.Stream == 1 && got.Code != failed || got.Stream == 2 && got.Body != "1000*1 b|skipped" {
			t.Errorf("while it is down: %+v", got)
		}
	}
	if err := k.ledger.Up(); err != nil {
		t.Fatal(err)
	}
	c.Send(3, fieldsWithoutTimeout("note", "b", 3), "1000*1 c")
	if got, _ := c.Next(); got.Code != served || got.Body != "1000*1 c|posted call 0 of 1000*1 c" {
		t.Errorf("when it is back: %+v", got)
	}
}

// The ledger hangs: what waits for it is answered by its due time, and others
// that need no call are served meanwhile.
func TestLedgerHangs(t *testing.T) {
	t.Parallel()
	k := newLedgerServer(t, func(c ledger.Call) ledger.Act {
		if strings.Contains(c.Body, "hang") {
			return ledger.Act{After: 10 * time.Second}
		}
		return ledger.Act{}
	})
	c := standin.Dial(t, k.framesAddr)
	fields := standin.Fields("note", "red", "a", 1, 700*time.Millisecond)
	due := time.Now().Add(760 * time.Millisecond)
	c.Send(1, fields, "1000*1 hang")
	c.Send(2, fieldsWithoutTimeout("look", "", 2), "1000 quick")
	if got, _ := c.Next(); got.Stream != 2 || got.Code != served {
		t.Errorf("beside it: %+v", got)
	}
	if got, _ := c.Next(); got.Stream != 1 || got.Code != failed || got.At.After(due) {
		t.Errorf("%+v, %v after it was due", got, got.At.Sub(due))
	}
	k.engine.Over("0000000000000001")
	k.eventually(t, "its call is given up once the run is over", func() bool { return k.core.CallsInFlight() == 0 })
}

// A hundred runs stand at calls with few connections: none is lost, each goes on once.
func TestManyCallsFewConnections(t *testing.T) {
	t.Parallel()
	const runs = 100
	k := newLedgerServer(t, func(ledger.Call) ledger.Act { return ledger.Act{After: 5 * time.Millisecond} })
	var callers []*standin.Caller
	for i := range runs {
		if i%25 == 0 {
			callers = append(callers, standin.Dial(t, k.framesAddr))
		}
		callers[i/25].Send(uint32(i%25+1), fieldsWithoutTimeout("find", "", uint64(i+1)), fmt.Sprintf("100*1 r%d", i))
	}
	codes := map[byte]int{}
	for i := range runs {
		got, _ := callers[i/25].Next()
		codes[got.Code]++
		if got.Code == served && !strings.Contains(got.Body, "|posted call 0 of "+strings.Split(got.Body, "|")[0]) {
			t.Errorf("another run's reply: %q", got.Body)
		}
	}
	if codes[served]+codes[refused] != runs || codes[served] < runs/4 {
		t.Errorf("answers by code: %v", codes)
	}
	if _, most := k.ledger.Connections(); most > k.downstream.maxConns {
		t.Errorf("%d connections to the ledger, %d are set aside", most, k.downstream.maxConns)
	}
	if log := k.engine.Log(); log.Fed != codes[served] || log.Stray != 0 {
		t.Errorf("the engine saw %+v, %d were served", log, codes[served])
	}
}

// A caller goes while its run stands at a call: the call is given up where
// running anew does no harm, and its place is free once the engine says so.
func TestCallerDisconnectsDuringCall(t *testing.T) {
	t.Parallel()
	came := make(chan struct{}, 1)
	k := newLedgerServer(t, func(ledger.Call) ledger.Act { came <- struct{}{}; return ledger.Act{After: time.Minute} })
	c := standin.Dial(t, k.framesAddr)
	c.Send(1, fieldsWithoutTimeout("find", "", 1), "1000*1 a")
	<-came
	c.Conn.Close()
	k.eventually(t, "the call is given up", func() bool { return k.core.CallsInFlight() == 0 })
	k.engine.Over("0000000000000001")
	k.eventually(t, "the run is over", func() bool { n, _ := k.core.Tracked(); return n == 0 })
}

// The engine's link breaks between NEED and FEED: the reply still reaches the run, once.
func TestLinkBreaksBetweenNeedAndFeed(t *testing.T) {
	t.Parallel()
	came, release := make(chan struct{}, 1), make(chan struct{})
	k := newLedgerServer(t, func(ledger.Call) ledger.Act { came <- struct{}{}; <-release; return ledger.Act{} })
	c := standin.Dial(t, k.framesAddr)
	c.Send(1, fieldsWithoutTimeout("note", "a", 1), "1000*1 a")
	<-came
	k.engine.Cut()
	k.eventually(t, "the link is lost, and back", func() bool { return k.link.Ready() && k.engineDialID.Load() > 1 })
	close(release)
	if got, _ := c.Next(); got.Code != served || got.Body != "1000*1 a|posted call 0 of 1000*1 a" {
		t.Errorf("%+v", got)
	}
	if log := k.engine.Log(); log.Begun["1000*1 a"] != 1 || log.Fed != 1 {
		t.Errorf("%+v", log)
	}
}

// A keyed run stands at its call when a marked repeat comes: both get its result.
func TestRetryWhileRunAwaitsCall(t *testing.T) {
	t.Parallel()
	came, release := make(chan struct{}, 1), make(chan struct{})
	k := newLedgerServer(t, func(ledger.Call) ledger.Act { came <- struct{}{}; <-release; return ledger.Act{} })
	c := standin.Dial(t, k.framesAddr)
	c.Send(1, fieldsWithoutTimeout("note", "a", 1), "1000*1 a")
	<-came
	c.Send(2, append(fieldsWithoutTimeout("note", "a", 2), frame.Field{Name: "resent", Value: "1"}), "1000*1 a")
	k.eventually(t, "the repeat is in", func() bool { return k.core.Counts().Received == 2 })
	close(release)
	for range 2 {
		if got, _ := c.Next(); got.Code != served || got.Body != "1000*1 a|posted call 0 of 1000*1 a" {
			t.Errorf("%+v", got)
		}
	}
	if effects := k.ledger.Effects()["call 0 of 1000*1 a"]; effects != 1 || k.engine.Log().Begun["1000*1 a"] != 1 {
		t.Errorf("%d effects, %+v", effects, k.engine.Log())
	}
}

// SIGTERM with calls in hand: what ends in time is served, the rest is
// answered before the stop, and the process ends.
func TestDrainWithPendingCalls(t *testing.T) {
	t.Parallel()
	came := make(chan struct{}, 2)
	k := newLedgerServer(t, func(c ledger.Call) ledger.Act {
		came <- struct{}{}
		if strings.Contains(c.Body, "slow") {
			return ledger.Act{After: time.Minute}
		}
		return ledger.Act{After: 300 * time.Millisecond}
	})
	c := standin.Dial(t, k.framesAddr)
	c.Send(1, fieldsWithoutTimeout("note", "a", 1), "1000*1 soon")
	c.Send(2, fieldsWithoutTimeout("note", "b", 2), "1000*1 slow")
	<-came
	<-came
	k.signals <- syscall.SIGTERM
	k.signals = nil
	codes := map[uint32]byte{}
	for len(codes) < 2 {
		got, ok := c.Next()
		if !ok {
			t.Fatal("the connection ended before its answers")
		}
		if got.Type == frame.Answer {
			codes[got.Stream] = got.Code
		}
	}
	if codes[1] != served || codes[2] != failed {
		t.Errorf("codes %v", codes)
	}
	if err := <-k.serveErr; err != nil {
		t.Errorf("the drain ends with %v", err)
	}
}

// The ledger moves with a new configuration: the call that is out ends where it
// was made, later ones go to the new address.
func TestLedgerAddressChanges(t *testing.T) {
	t.Parallel()
	came, release := make(chan struct{}, 1), make(chan struct{})
	var once sync.Once
	k := newLedgerServer(t, func(ledger.Call) ledger.Act { once.Do(func() { came <- struct{}{} }); <-release; return ledger.Act{} })
	next, err := ledger.Serve(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Down)
	c := standin.Dial(t, k.framesAddr)
	c.Send(1, fieldsWithoutTimeout("note", "a", 1), "1000*1 a")
	<-came
	cfg := k.config(t, next.Address)
	if !k.sighupFrom(t, func() (*config.Config, error) { return cfg, nil }) {
		t.Fatal("a good configuration is turned down")
	}
	c.Send(2, fieldsWithoutTimeout("note", "b", 2), "1000*1 b")
	if got, _ := c.Next(); got.Stream != 2 || got.Code != served {
		t.Errorf("%+v", got)
	}
	close(release)
	if got, _ := c.Next(); got.Stream != 1 || got.Code != served {
		t.Errorf("%+v", got)
	}
	if seen, _ := next.Seen(); seen != 1 {
		t.Errorf("the new ledger saw %d calls", seen)
	}
}

// A run that is paused holds its memory, and its caller is answered when it is due.
func TestPausedRunAtDeadline(t *testing.T) {
	t.Parallel()
	k := newLedgerServer(t, nil)
	c := standin.Dial(t, k.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, 600*time.Millisecond), "5000000 long")
	k.eventually(t, "it runs", func() bool { return k.engine.Log().Begun["5000000 long"] == 1 })
	if got, _ := c.Next(); got.Code != failed {
		t.Errorf("at its due time: %+v", got) // it ran, so it is not refused
	}
	k.eventually(t, "the engine has stopped it", func() bool { return k.engine.Log().Halted == 1 })
	k.engine.Over("0000000000000001")
	k.eventually(t, "its place is free", func() bool { n, _ := k.core.Tracked(); return n == 0 && k.engine.Open() == 0 })
}

// A connection may carry requests that state their patience and others that do not.
func TestRequestsWithAndWithoutTimeout(t *testing.T) {
	t.Parallel()
	k := newLedgerServer(t, nil)
	c := standin.Dial(t, k.framesAddr)
	c.Send(1, fieldsWithoutTimeout("look", "", 1), "100 a")
	c.Send(2, standin.Fields("look", "red", "", 2, time.Second), "100 b")
	for range 2 {
		if got, _ := c.Next(); got.Code != served {
			t.Errorf("%+v", got)
		}
	}
}

// A machine that takes runs and answers none: reports take it off the list,
// where the list follows health; every request is answered in its time.
func TestEngineThatHangs(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, func(body string) standin.Work { return standin.Work{For: time.Hour} })
	registry, reports := standin.NewRegistry(t)
	text := strings.NewReplacer(settings, ledgerSettings).Replace(platformJSON(engine.Address, registry))
	cfg, err := config.Parse([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	r := launch(t, cfg)
	r.eventually(t, "it serves", func() bool { return r.serving })
	c := standin.Dial(t, r.framesAddr)
	deadline := time.After(20 * time.Second)
	for i, stalled := uint32(1), false; !stalled; i++ {
		c.Send(i, standin.Fields("look", "red", "", uint64(i), 300*time.Millisecond), "x")
		if got, ok := c.Next(); !ok || got.Code == served {
			t.Fatalf("%+v", got)
		}
		select {
		case <-deadline:
			t.Fatal("no report takes it off the list")
		case report := <-reports:
			stalled = report == "BEAT t draining"
		default:
		}
	}
}

// A server to which nothing it can read is sent says so, at once, in its log,
// and counts it by cause.
func TestRejectionsAreCounted(t *testing.T) {
	t.Parallel()
	k := newLedgerServer(t, nil)
	c := standin.Dial(t, k.framesAddr)
	for i := range uint32(3) {
		c.Send(i+1, []frame.Field{{Name: "kind", Value: "look"}}, "x")
		c.Next()
	}
	c.Send(4, append(fieldsWithoutTimeout("look", "", 1), frame.Field{Name: "level", Value: "9"}), "x")
	c.Next()
	got := k.adminCall(t, "show-stat")
	for _, want := range []string{"app.rejected.field_absent_req:3|c", "app.rejected.field_unusable_level:1|c"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s is not in %s", want, got)
		}
	}
}
