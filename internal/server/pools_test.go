package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// poolsTOML is an operator's file with two pools; %s stands for the share of notes.
const poolsTOML = `
[pools]
cheap_reserve = 0.25
[[pool]]
name = "reads"
classes = ["look", "find"]
share = 0.5
[[pool]]
name = "notes"
classes = ["note"]
share = %s
`

// Pools show in show-stat, and are resized and removed at SIGHUP with runs in them;
// a rejected file changes nothing.
func TestPoolsInStatsAndReload(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	engine := standin.NewEngine(t, func(body string) standin.Work {
		if strings.HasPrefix(body, "long") {
			return standin.Work{Duration: time.Second, Result: "did " + body}
		}
		return standin.Work{Result: "did " + body}
	})
	defer close(release)
	withNotesShare := func(share string) string { return fmt.Sprintf(poolsTOML, share) }
	srv := start(t, engine.Address, "", withNotesShare("0.25"))
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	stream := uint32(0)
	send := func(class, key, body string) {
		stream++
		caller.Send(stream, standin.Fields(class, "red", key, uint64(stream), 3*time.Second), body)
	}
	send("look", "", "long 1")
	send("note", "k", "long 2")
	send("note", "k", "long 2") // a duplicate: takes no running slot
	expectMetrics := func(want ...string) {
		t.Helper()
		var got string
		for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
			got = srv.adminCall(t, "show-stat")
			missing := ""
			for _, w := range want {
				if !strings.Contains(got, "app.pool."+w+"\n") {
					missing = w
				}
			}
			if missing == "" {
				return
			}
		}
		t.Errorf("want %q, got metrics\n%s", want, got)
	}
	expectMetrics("reads.running:1|g", "notes.running:1|g", "notes.waiting:0|g", "notes.own:2|g", "rest.running:0|g")
	reload := func(text string) bool {
		t.Helper()
		return srv.sighupOperator(t, engine.Address, text)
	}
	if reload(withNotesShare("0.75")) {
		t.Error("file with shares over 1 in sum accepted")
	}
	if !reload(withNotesShare("0.5")) {
		t.Error("file with other shares rejected")
	}
	expectMetrics("notes.running:1|g", "notes.own:4|g", "reads.running:1|g")
	if !reload("[[pool]]\nname = \"reads\"\nclasses = [\"find\"]\nshare = 0.1\n") {
		t.Error("file with one pool less rejected")
	}
	expectMetrics("rest.running:2|g", "reads.running:0|g")
	for range 3 {
		if got, ok := caller.Next(); !ok || got.Code != frame.Served {
			t.Errorf("unexpected answer: %+v", got)
		}
	}
	expectMetrics("rest.running:0|g", "rest.waiting:0|g")
	if got := engine.Runs()["long 2"]; got != 1 {
		t.Errorf("the key ran %d times, want 1", got)
	}
	if !reload("") {
		t.Error("file without pools rejected")
	}
	if got := srv.adminCall(t, "show-stat"); strings.Contains(got, "app.pool.") {
		t.Errorf("metrics show removed pools:\n%s", got)
	}
}

// A retry that arrives after its class has moved to another pool gets the result of
// the run in the old pool.
func TestRetryAcrossPools(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(300*time.Millisecond))
	srv := start(t, engine.Address, "", fmt.Sprintf(poolsTOML, "0.25"))
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("note", "red", "k", 1, 3*time.Second), "b")
	srv.eventually(t, "request running", func() bool { return srv.link.Running() == 1 })
	if !srv.sighupOperator(t, engine.Address, "[[pool]]\nname = \"all\"\nclasses = [\"note\", \"look\", \"find\"]\nshare = 1.0\n") {
		t.Fatal("valid file rejected")
	}
	caller.Send(2, standin.Fields("note", "red", "k", 2, 3*time.Second), "b")
	for range 2 {
		if got, ok := caller.Next(); !ok || got.Code != frame.Served || got.Body != "did b" {
			t.Errorf("unexpected answer: %+v", got)
		}
	}
	if n := engine.Runs()["b"]; n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

// The successor in an upgrade has the pools of the same file, and a key that runs in
// a pool of the old process isn't run again.
func TestPoolsSurviveAnUpgrade(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	file := fmt.Sprintf(poolsTOML, "0.25")
	engine := standin.NewEngine(t, standin.Echo(200*time.Millisecond))
	predecessor := launch(t, shared.processConfig(t, engine.Address, file))
	predecessor.waitReady(t)
	caller := predecessor.dialUntilMine(t)
	caller.Send(1, standin.Fields("note", "red", "k", 1, 3*time.Second), "b")
	successor := launch(t, shared.processConfig(t, standin.NewEngine(t, standin.Echo(time.Millisecond)).Address, file))
	successor.waitReady(t)
	if got := successor.adminCall(t, "show-stat"); !strings.Contains(got, "app.pool.notes.own:2|g") {
		t.Errorf("metrics of the new process:\n%s", got)
	}
	d := successor.dialUntilMine(t)
	d.Send(1, standin.Fields("note", "red", "k", 2, 3*time.Second), "b")
	for _, waiting := range []*standin.Caller{caller, d} {
		if got, ok := waiting.Next(); !ok || got.Code != frame.Served || got.Body != "did b" {
			t.Errorf("unexpected answer: %+v", got)
		}
	}
}
