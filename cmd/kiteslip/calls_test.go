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

// ledgerSettings is a site whose runs call a ledger, whose callers tell no deadline.
const ledgerSettings = `{"classes": [
  {"name": "look", "effect": "repeatable", "on_time_us": 1500000, "hard_limit_us": 1500000, "worth": 1},
  {"name": "note", "effect": "by_key", "on_time_us": 1500000, "hard_limit_us": 1500000, "worth": 4, "window_us": 60000000}],
 "tenants": [{"name": "red", "quota_per_s": 500}], "clients": {"marks_retry": true},
 "family_info": {"cores": 16, "memory_kb": 400000, "blowup": 4, "key_kb": 8, "below": "tier", "preemption": "freeze", "passes_deadline": false,
  "class_calls": [true, true], "class_skip_worth": [0.5, 0], "calls_over_us": 5000000, "lingers_us": 200000},
 "rules": {"drain_grace_us": 2000000, "answer_slack_us": 60000}, "tick_us": 4000}`

// member is one server of a fleet over one ledger, with a link of its own to it.
type member struct {
	*testfleet.Program
	engine *box.Engine
	link   *faultnet.Link
}

func newMember(t *testing.T, n int, below *ledger.Ledger) *member {
	t.Helper()
	m := &member{}
	var err error
	if m.engine, err = box.Serve(box.Spec{Cores: 16}); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.engine.Close)
	m.engine.Watch()
	if m.link, err = faultnet.New(below.Address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.link.Close)
	m.Program = testfleet.Start(t, testfleet.Spec{Path: os.Args[0], Env: []string{serverEnv + "=1"}, Name: fmt.Sprint("n", n),
		Config: map[string]any{"engine": m.engine.Address, "ledger": m.link.Address, "stop_ms": 1500, "settings": json.RawMessage(ledgerSettings)}})
	return m
}

// sendAll sends requests that tell no deadline, half of them keyed, on one connection.
func (m *member) sendAll(t *testing.T, mark string, from, n int) *standin.Caller {
	t.Helper()
	c := standin.Dial(t, m.Clients)
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

// countAnswers takes n answers and counts them by code.
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

// Three servers over one ledger, each struck in its own way while calls are in
// hand: one is killed, one is stopped for longer than its requests have, one
// hears nothing from the ledger. No keyed run and no call with an effect is made
// twice, all who can be are answered, in time where the server itself is well,
// and all three serve when it is over.
func TestFleetOverOneLedgerWhilePartsFail(t *testing.T) {
	hold := make(chan struct{})
	below, err := ledger.Serve(func(c ledger.Call) ledger.Act {
		if strings.Contains(c.Body, "struck") {
			<-hold
		}
		return ledger.Act{}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(below.Down)
	var fleet []*member
	for n := range 3 {
		fleet = append(fleet, newMember(t, n, below))
	}
	const each = 12
	latest := time.Now().Add(1500*time.Millisecond + 200*time.Millisecond)
	var callers []*standin.Caller
	for n, m := range fleet {
		callers = append(callers, m.sendAll(t, fmt.Sprintf("struck%d", n), 1000*n+1, each))
	}
	testfleet.Eventually(t, "all calls are out", func() bool { seen, _ := below.Seen(); return seen == 3*each })
	fleet[2].link.Silence(faultnet.Back)
	fleet[1].Signal(syscall.SIGSTOP)
	fleet[0].Kill()
	close(hold)
	// The one that hears nothing answers by the time its callers give up.
	if codes := countAnswers(t, callers[2], each, latest); codes[frame.Served]+codes[frame.Failed] != each || codes[frame.Failed] < each/2 {
		t.Errorf("without a word from the ledger: %v", codes)
	}
	// The one that stood still answers all once it goes on; what it missed is late.
	fleet[1].Signal(syscall.SIGCONT)
	countAnswers(t, callers[1], each, time.Time{})
	// The one that was killed is known to its callers by the end of their connection.
	for {
		if _, ok := callers[0].Next(); !ok {
			break
		}
	}
	fleet[0].Again()
	if err := fleet[2].link.Heal(); err != nil {
		t.Fatal(err)
	}
	for n, m := range fleet {
		for i := range each {
			m.engine.Over(fmt.Sprintf("%016x", 1000*n+1+i)) // as the platform's engine sees for itself
		}
		if codes := countAnswers(t, m.sendAll(t, fmt.Sprintf("after%d", n), 10_000*(n+1), each), each, time.Time{}); codes[frame.Served] != each {
			t.Errorf("server %d afterwards: %v", n, codes)
		}
		for body, runs := range m.engine.Log().Begun {
			if runs > 1 {
				t.Errorf("server %d began %q %d times", n, body, runs)
			}
		}
	}
	for body, n := range below.Effects() {
		if n > 1 {
			t.Errorf("the call %q had its effect %d times", body, n)
		}
	}
}

// The ledger moves while a server serves and a connection to the old one breaks
// half-way through a reply: what is in doubt fails, nothing is called twice, and
// later calls go to the new address.
func TestLedgerBreaksHalfWayAndMoves(t *testing.T) {
	below, err := ledger.Serve(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(below.Down)
	next, err := ledger.Serve(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Down)
	m := newMember(t, 0, below)
	m.link.EndAfter(250) // the call is some 200 bytes, its reply as many
	if codes := countAnswers(t, m.sendAll(t, "cut", 1, 1), 1, time.Time{}); codes[frame.Failed] != 1 {
		t.Errorf("a reply that was cut: %v", codes)
	}
	if err := m.link.Heal(); err != nil {
		t.Fatal(err)
	}
	m.engine.Over(fmt.Sprintf("%016x", 1))
	config := map[string]any{"engine": m.engine.Address, "ledger": next.Address, "stop_ms": 1500, "settings": json.RawMessage(ledgerSettings)}
	m.Reload(config)
	testfleet.Eventually(t, "the new file is taken", func() bool {
		return strings.Contains(standin.Ask(t, m.Ops, "show-stat"), "app.config_applied:1|c")
	})
	if codes := countAnswers(t, m.sendAll(t, "moved", 100, 8), 8, time.Time{}); codes[frame.Served] != 8 {
		t.Errorf("at the new address: %v", codes)
	}
	if seen, _ := next.Seen(); seen != 8 {
		t.Errorf("the new ledger saw %d calls, want 8", seen)
	}
	if n := below.Effects()["call 0 of 1000*1 cut 0"]; n != 1 {
		t.Errorf("the call whose reply was cut had its effect %d times", n)
	}
	m.Leave()
}
