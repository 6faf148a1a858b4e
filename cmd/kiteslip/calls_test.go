package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"kiteslip/internal/faultnet"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
	"kiteslip/internal/standin/box"
	"kiteslip/internal/standin/ledger"
	"kiteslip/internal/testfleet"
)

// ledgerSettings are platform settings with downstream calls, and with callers that do
// not state a deadline.
const ledgerSettings = `{"classes": [
  {"name": "look", "effect": "repeatable", "on_time_us": 1500000, "hard_limit_us": 1500000, "worth": 1},
  {"name": "note", "effect": "by_key", "on_time_us": 1500000, "hard_limit_us": 1500000, "worth": 4, "window_us": 60000000}],
 "tenants": [{"name": "red", "quota_per_s": 500}], "clients": {"marks_retry": true},
 "family_info": {"cores": 16, "memory_kb": 400000, "blowup": 4, "key_kb": 8, "below": "tier", "preemption": "freeze", "passes_deadline": false,
  "class_calls": [true, true], "class_skip_worth": [0.5, 0], "calls_over_us": 5000000, "lingers_us": 200000},
 "rules": {"drain_grace_us": 2000000, "answer_slack_us": 60000}, "tick_us": 4000}`

// member is a server of a fleet that shares a ledger, with its own link to the ledger.
type member struct {
	*testfleet.Program
	engine *box.Engine
	link   *faultnet.Link
}

// newMember starts a server with an engine of its own.
func newMember(t *testing.T, n int, shared *ledger.Ledger) *member {
	t.Helper()
	m := &member{}
	var err error
	if m.engine, err = box.Serve(box.Spec{Cores: 16}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.engine.Close)
	m.engine.CountStarts()
	if m.link, err = faultnet.New(shared.Address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.link.Close)
	m.Program = testfleet.Start(t, testfleet.Spec{Path: os.Args[0], Env: []string{serverEnv + "=1"}, Name: fmt.Sprint("n", n),
		Config: map[string]any{"engine": m.engine.Address, "ledger": m.link.Address, "stop_ms": 1500, "settings": json.RawMessage(ledgerSettings)}})
	return m
}

// sendAll sends n requests without a deadline, half of them keyed, on one connection.
func (m *member) sendAll(t *testing.T, mark string, from, n int) *standin.Caller {
	t.Helper()
	c := standin.Dial(t, m.CallerAddress)
	for i := range n {
		class, key := "look", ""
		if i%2 == 0 {
			class, key = "note", fmt.Sprint(mark, i)
		}
		var fields []frame.Field
		for _, f := range standin.Fields(class, "red", key, uint64(from+i), time.Second) {
			if f.Name != "timeout" {
				fields = append(fields, f)
			}
		}
		c.Send(uint32(i+1), fields, fmt.Sprintf("1000*1 %s %d", mark, i))
	}
	return c
}

// countAnswers reads n answers and counts them by code; none may come after latest.
func countAnswers(t *testing.T, c *standin.Caller, n int, latest time.Time) map[byte]int {
	t.Helper()
	codes, streams := map[byte]int{}, map[uint32]bool{}
	for range n {
		got, ok := c.Next()
		if !ok {
			t.Fatalf("the connection ended after %d of %d answers", len(streams), n)
		}
		if streams[got.Stream] {
			t.Errorf("stream %d is answered twice", got.Stream)
		}
		if !latest.IsZero() && got.At.After(latest) {
			t.Errorf("stream %d is answered %v late", got.Stream, got.At.Sub(latest))
		}
		streams[got.Stream] = true
		codes[got.Code]++
	}
	return codes
}

// Three servers share a ledger, and each has a failure while its calls are in flight:
// one is killed, one is stopped for longer than its requests' timeout, one receives
// nothing from the ledger. No keyed run and no call with an effect happens twice; all
// requests but those of the killed server are answered, in time where the server itself
// runs; and all three serve afterwards.
func TestFleetOverOneLedgerWhilePartsFail(t *testing.T) {
	hold := make(chan struct{})
	shared, err := ledger.Serve(func(c ledger.Call) ledger.Response {
		if strings.Contains(c.Body, "struck") {
			<-hold
		}
		return ledger.Response{}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(shared.Stop)
	var fleet []*member
	for n := range 3 {
		fleet = append(fleet, newMember(t, n, shared))
	}
	const each = 12
	latest := time.Now().Add(1500*time.Millisecond + 200*time.Millisecond)
	var callers []*standin.Caller
	for n, m := range fleet {
		callers = append(callers, m.sendAll(t, fmt.Sprintf("struck%d", n), 1000*n+1, each))
	}
	testfleet.Eventually(t, "all calls are in flight", func() bool { seen, _ := shared.Received(); return seen == 3*each })
	fleet[2].link.Silence(faultnet.FromTarget)
	fleet[1].Signal(syscall.SIGSTOP)
	fleet[0].Kill()
	close(hold)
	// The server that receives nothing answers within its callers' timeout.
	if codes := countAnswers(t, callers[2], each, latest); codes[frame.Served]+codes[frame.Failed] != each || codes[frame.Failed] < each/2 {
		t.Errorf("without replies of the ledger: %v", codes)
	}
	// The stopped server answers all requests once it continues, some of them late.
	fleet[1].Signal(syscall.SIGCONT)
	countAnswers(t, callers[1], each, time.Time{})
	// The connections of the killed server end.
	for {
		if _, ok := callers[0].Next(); !ok {
			break
		}
	}
	fleet[0].Restart()
	if err := fleet[2].link.Restore(); err != nil {
		t.Fatal(err)
	}
	for n, m := range fleet {
		for i := range each {
			m.engine.RequestDone(fmt.Sprintf("%016x", 1000*n+1+i)) // the platform's engine notices the end of a run by itself
		}
		if codes := countAnswers(t, m.sendAll(t, fmt.Sprintf("after%d", n), 10_000*(n+1), each), each, time.Time{}); codes[frame.Served] != each {
			t.Errorf("server %d afterwards: %v", n, codes)
		}
		for body, runs := range m.engine.Log().Started {
			if runs > 1 {
				t.Errorf("server %d began %q %d times", n, body, runs)
			}
		}
	}
	for body, n := range shared.Effects() {
		if n > 1 {
			t.Errorf("the call %q had its effect %d times", body, n)
		}
	}
}

// The connection to the ledger ends within a reply, and the ledger's address changes
// while the server runs: the request whose call has an unknown outcome fails, no call is
// made twice, and later calls go to the new address.
func TestLedgerBreaksHalfWayAndMoves(t *testing.T) {
	old, err := ledger.Serve(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(old.Stop)
	next, err := ledger.Serve(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Stop)
	m := newMember(t, 0, old)
	m.link.CloseAfter(250) // the call has some 200 bytes, its reply as many
	if codes := countAnswers(t, m.sendAll(t, "cut", 1, 1), 1, time.Time{}); codes[frame.Failed] != 1 {
		t.Errorf("a truncated reply: %v", codes)
	}
	if err := m.link.Restore(); err != nil {
		t.Fatal(err)
	}
	m.engine.RequestDone(fmt.Sprintf("%016x", 1))
	config := map[string]any{"engine": m.engine.Address, "ledger": next.Address, "stop_ms": 1500, "settings": json.RawMessage(ledgerSettings)}
	m.Reload(config)
	testfleet.Eventually(t, "the new file is applied", func() bool {
		return strings.Contains(standin.AdminCommand(t, m.AdminAddress, "show-stat"), "app.config_applied:1|c")
	})
	if codes := countAnswers(t, m.sendAll(t, "moved", 100, 8), 8, time.Time{}); codes[frame.Served] != 8 {
		t.Errorf("at the new address: %v", codes)
	}
	if seen, _ := next.Received(); seen != 8 {
		t.Errorf("the new ledger saw %d calls, want 8", seen)
	}
	if n := old.Effects()["call 0 of 1000*1 cut 0"]; n != 1 {
		t.Errorf("the call whose reply was truncated had its effect %d times", n)
	}
	m.Stop()
}
