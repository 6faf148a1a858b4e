package server

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

const poolFile = `
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

// Pools show at the door, are resized and dropped at SIGHUP with work running
// in them, and a file that is wrong changes nothing.
func TestPoolsInStatsAndReload(t *testing.T) {
	t.Parallel()
	hold := make(chan struct{})
	engine := standin.NewEngine(t, func(body string) standin.Work {
		if strings.HasPrefix(body, "long") {
			return standin.Work{For: time.Second, Result: "did " + body}
		}
		return standin.Work{Result: "did " + body}
	})
	defer close(hold)
	with := func(share string) string { return fmt.Sprintf(poolFile, share) }
	r := start(t, engine.Address, "", with("0.25"))
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	stream := uint32(0)
	ask := func(class, key, body string) {
		stream++
		c.Send(stream, standin.Fields(class, "red", key, uint64(stream), 3*time.Second), body)
	}
	ask("look", "", "long 1")
	ask("note", "k", "long 2")
	ask("note", "k", "long 2") // waits for the first, in no pool's place
	shows := func(want ...string) {
		t.Helper()
		var got string
		for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
			got = r.adminCall(t, "show-stat")
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
		t.Errorf("%q not all in %s", want, got)
	}
	shows("reads.running:1|g", "notes.running:1|g", "notes.waiting:0|g", "notes.own:2|g", "rest.running:0|g")
	reload := func(text string) bool {
		t.Helper()
		return r.sighupOperator(t, engine.Address, text)
	}
	if reload(with("0.75")) {
		t.Error("shares of over 1 are taken")
	}
	if !reload(with("0.5")) {
		t.Error("other shares are not taken")
	}
	shows("notes.running:1|g", "notes.own:4|g", "reads.running:1|g")
	if !reload("[[pool]]\nname = \"reads\"\nclasses = [\"find\"]\nshare = 0.1\n") {
		t.Error("a file without a pool is not taken")
	}
	shows("rest.running:2|g", "reads.running:0|g")
	for range 3 {
		if got, ok := c.Next(); !ok || got.Code != frame.Served {
			t.Errorf("%+v", got)
		}
	}
	shows("rest.running:0|g", "rest.waiting:0|g")
	if got := engine.Runs()["long 2"]; got != 1 {
		t.Errorf("the key ran %d times", got)
	}
	if !reload("") {
		t.Error("a file without pools is not taken")
	}
	if got := r.adminCall(t, "show-stat"); strings.Contains(got, "app.pool.") {
		t.Errorf("pools are shown that are gone: %s", got)
	}
}

// A repeat that comes after its class has moved to another pool takes the
// result of the run in the old one.
func TestRetryAcrossPools(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(300*time.Millisecond))
	r := start(t, engine.Address, "", fmt.Sprintf(poolFile, "0.25"))
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("note", "red", "k", 1, 3*time.Second), "b")
	r.eventually(t, "it runs", func() bool { return r.link.Running() == 1 })
	if !r.sighupOperator(t, engine.Address, "[[pool]]\nname = \"all\"\nclasses = [\"note\", \"look\", \"find\"]\nshare = 1.0\n") {
		t.Fatal("the file is not taken")
	}
	c.Send(2, standin.Fields("note", "red", "k", 2, 3*time.Second), "b")
	for range 2 {
		if got, ok := c.Next(); !ok || got.Code != frame.Served || got.Body != "did b" {
			t.Errorf("%+v", got)
		}
	}
	if n := engine.Runs()["b"]; n != 1 {
		t.Errorf("it ran %d times", n)
	}
}

// The next process of an upgrade has the pools of the same file.
func TestPoolsSurviveAnUpgrade(t *testing.T) {
	t.Parallel()
	s := newSharedListener(t)
	file := fmt.Sprintf(poolFile, "0.25")
	engine := standin.NewEngine(t, standin.Echo(200*time.Millisecond))
	old := launch(t, s.processConfig(t, engine.Address, file))
	old.waitReady(t)
	c := old.dialUntilMine(t)
	c.Send(1, standin.Fields("note", "red", "k", 1, 3*time.Second), "b")
	next := launch(t, s.processConfig(t, standin.NewEngine(t, standin.Echo(time.Millisecond)).Address, file))
	next.waitReady(t)
	if got := next.adminCall(t, "show-stat"); !strings.Contains(got, "app.pool.notes.own:2|g") {
		t.Errorf("the new process shows %s", got)
	}
	d := next.dialUntilMine(t)
	d.Send(1, standin.Fields("note", "red", "k", 2, 3*time.Second), "b")
	for _, caller := range []*standin.Caller{c, d} {
		if got, ok := caller.Next(); !ok || got.Code != frame.Served || got.Body != "did b" {
			t.Errorf("%+v", got)
		}
	}
}
