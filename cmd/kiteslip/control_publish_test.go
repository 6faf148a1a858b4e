package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/follow"
	"kiteslip/internal/control/publish"
	"kiteslip/internal/faultnet"
	"kiteslip/internal/testfleet"
)

// testFollower is a follower in the test's process that records the versions it applies.
type testFollower struct {
	mu       sync.Mutex
	headers  []document.Header
	last     document.Digest
	orderErr error
}

// startTestFollower starts a follower that runs until the test ends.
func startTestFollower(t *testing.T, name string, publishers ...follow.Endpoint) *testFollower {
	t.Helper()
	f, err := follow.New(follow.Settings{Name: name, Region: "north", Publishers: publishers, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	a := &testFollower{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx, a.apply)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return a
}

// apply records a version and whether it came out of order.
func (a *testFollower) apply(_ context.Context, doc *document.Document, delta *document.Delta) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := doc.Header()
	if n := len(a.headers); n > 0 && (h.Number <= a.headers[n-1].Number || delta != nil && (h.Number != a.headers[n-1].Number+1 || h.Parent != a.last)) {
		a.orderErr = errors.Join(a.orderErr, fmt.Errorf("version %d came after %d", h.Number, a.headers[n-1].Number))
	}
	a.headers, a.last = append(a.headers, h), doc.Digest()
	return nil
}

// current returns the number and the digest of the last version applied.
func (a *testFollower) current() (uint64, document.Digest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.headers) == 0 {
		return 0, document.Digest{}
	}
	return a.headers[len(a.headers)-1].Number, a.last
}

// check fails the test unless the versions were applied in order and each is the accepted
// one.
func (a *testFollower) check(t *testing.T, name string, accepted map[uint64]document.Digest) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.orderErr != nil {
		t.Errorf("%s: %v", name, a.orderErr)
	}
	for _, h := range a.headers {
		if want, known := accepted[h.Number]; known && want != h.Digest() {
			t.Errorf("%s: version %d is %v, accepted was %v", name, h.Number, h.Digest(), want)
		}
	}
}

// teamChanges is the change of a team's budget.
func teamChanges(name string, quota float64) []document.Change {
	return []document.Change{{Team: &document.Team{Name: name, Quota: quota}}}
}

// requestContext returns the context of one request.
func requestContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

var testMeta = document.Meta{Author: "test", Reason: "a race"}

// The originator is killed 30 times at random instants while versions are published:
// accepted versions are in force after its start with the same digest, and a relay and
// two followers receive them in order. Guards against an acknowledgement before the
// version is on disk, and against versions in part.
func TestOriginatorKilledWhilePublishing(t *testing.T) {
	a := startControl(t, "c0", "north", 0)
	b := startControl(t, "c1", "north", 0, testfleet.ControlTarget{Address: a.Address, Region: "north"})
	one := startTestFollower(t, "s1", follow.Endpoint{Address: a.Address, Region: "north"}, follow.Endpoint{Address: b.Address, Region: "north"})
	two := startTestFollower(t, "s2", follow.Endpoint{Address: b.Address, Region: "north"})
	rng := rand.New(rand.NewPCG(7, 7))
	client := &publish.Client{Address: a.Address}
	accepted := map[uint64]document.Digest{} // by the originator's reply
	interrupted := 0
	for kill := range 30 {
		dead := make(chan struct{})
		var writer sync.WaitGroup
		writer.Go(func() {
			for n := 0; ; n++ {
				changes := teamChanges(fmt.Sprint("t", n%20), float64(1+kill*1000+n))
				for i := range 1 + n%3*100 { // some versions are large
					changes = append(changes, teamChanges(fmt.Sprintf("bulk-%03d", i), float64(2+kill*1000+n))...)
				}
				h, err := client.PublishChanges(requestContext(t), changes, testMeta, document.Digest{})
				if err != nil {
					interrupted++
					return // the originator was killed: this version may be in force or not
				}
				accepted[h.Number] = h.Digest()
				select {
				case <-dead:
					return
				default:
				}
			}
		})
		time.Sleep(time.Duration(rng.Int64N(int64(60 * time.Millisecond))))
		a.Kill()
		close(dead)
		writer.Wait()
		if err := a.Restart(); err != nil {
			t.Fatal(err)
		}
		v, err := client.Version(requestContext(t))
		if err != nil {
			t.Fatal(err)
		}
		last := uint64(0)
		for n := range accepted {
			last = max(last, n)
		}
		if v.Number < last || v.Number > last+1 {
			t.Fatalf("kill %d: version %d after the start, %d were accepted", kill, v.Number, last)
		}
		digest, err := v.ParseDigest()
		if err != nil || v.Number == last && last > 0 && digest != accepted[last] {
			t.Errorf("kill %d: version %d is %v, want the accepted %v, %v", kill, v.Number, digest, accepted[last], err)
		}
		if v.Number > last {
			accepted[v.Number] = digest // it was on disk already, and is in force now
		}
	}
	h, err := client.PublishChanges(requestContext(t), teamChanges("end", 1), testMeta, document.Digest{})
	if err != nil {
		t.Fatal(err)
	}
	accepted[h.Number] = h.Digest()
	for name, f := range map[string]*testFollower{"s1": one, "s2": two} {
		testfleet.Eventually(t, name+" has the last version", func() bool { n, d := f.current(); return n == h.Number && d == h.Digest() })
		f.check(t, name, accepted)
	}
	// The relay has the log from its beginning.
	v, err := (&publish.Client{Address: b.Address}).Version(requestContext(t))
	if err != nil || v.Number != h.Number {
		t.Errorf("the relay: %+v, %v", v, err)
	}
	if a.Logged("fork") || b.Logged("fork") || b.Logged("FORK") {
		t.Error("a fork")
	}
	t.Logf("%d versions accepted, %d interrupted by a kill", len(accepted), interrupted)
}

// A link ends at random positions within a delta: the follower has the version before,
// and the new one once the link heals, never a part of it.
func TestCutHalfwayThroughADelta(t *testing.T) {
	a := startControl(t, "c0", "north", 0)
	link := newLink(t, a.Address)
	f := startTestFollower(t, "s1", follow.Endpoint{Address: link.Address, Region: "north"})
	client := &publish.Client{Address: a.Address}
	accepted := map[uint64]document.Digest{}
	rng := rand.New(rand.NewPCG(3, 3))
	for round := range 12 {
		changes := teamChanges(fmt.Sprint("round-", round), 1)
		for i := range 2000 {
			changes = append(changes, teamChanges(fmt.Sprintf("%016x", rng.Uint64()), float64(i+1))...)
		}
		link.CloseAfter(1 + rng.IntN(40_000)) // the version is larger
		carried := link.Forwarded(faultnet.FromTarget)
		h, err := client.PublishChanges(requestContext(t), changes, testMeta, document.Digest{})
		if err != nil {
			t.Fatal(err)
		}
		accepted[h.Number] = h.Digest()
		testfleet.Eventually(t, "a part of the delta has arrived", func() bool { return link.Forwarded(faultnet.FromTarget) > carried })
		if n, _ := f.current(); n > h.Number {
			t.Errorf("version %d is applied, the newest is %d", n, h.Number)
		}
		if err := link.Restore(); err != nil {
			t.Fatal(err)
		}
		testfleet.Eventually(t, "the version is applied", func() bool { n, d := f.current(); return n == h.Number && d == h.Digest() })
	}
	f.check(t, "s1", accepted)
}

// The originator is killed after it has accepted a version and before any follower has
// received it: after its start all receive it.
func TestKilledBetweenAcceptAndSpread(t *testing.T) {
	a := startControl(t, "c0", "north", 0)
	link := newLink(t, a.Address)
	b := startControl(t, "c1", "south", 0, testfleet.ControlTarget{Address: link.Address, Region: "north"})
	f := startTestFollower(t, "s1", follow.Endpoint{Address: b.Address, Region: "south"})
	client := &publish.Client{Address: a.Address}
	for round := range 5 {
		link.Silence(faultnet.FromTarget) // followers receive nothing
		h, err := client.PublishChanges(requestContext(t), teamChanges("a", float64(round+1)), testMeta, document.Digest{})
		if err != nil {
			t.Fatal(err)
		}
		a.Kill()
		if n, _ := f.current(); n >= h.Number {
			t.Errorf("the follower has version %d already", n)
		}
		link.Disconnect()
		if err := link.Restore(); err != nil {
			t.Fatal(err)
		}
		if err := a.Restart(); err != nil {
			t.Fatal(err)
		}
		testfleet.Eventually(t, "the accepted version is applied", func() bool { n, d := f.current(); return n == h.Number && d == h.Digest() })
	}
}

// A second originator, started by mistake, makes versions with the same numbers: the
// followers of the first keep their version, and the fork is logged and listed.
func TestTwoOriginatorsAreAFork(t *testing.T) {
	a := startControl(t, "c0", "north", 0)
	link := newLink(t, a.Address)
	first := &publish.Client{Address: a.Address}
	h1, err := first.PublishChanges(requestContext(t), teamChanges("a", 1), testMeta, document.Digest{})
	if err != nil {
		t.Fatal(err)
	}
	f := startTestFollower(t, "s1", follow.Endpoint{Address: link.Address, Region: "north"})
	testfleet.Eventually(t, "the first version", func() bool { n, d := f.current(); return n == 1 && d == h1.Digest() })
	// The originator loses its folder, starts empty at its address, and publishes.
	a.Kill()
	a.Folder = filepath.Join(t.TempDir(), "empty")
	if err := a.Restart(); err != nil {
		t.Fatal(err)
	}
	for n := range 3 {
		if _, err := first.PublishChanges(requestContext(t), teamChanges("b", float64(n+1)), testMeta, document.Digest{}); err != nil {
			t.Fatal(err)
		}
	}
	testfleet.Eventually(t, "the publisher logs the fork", func() bool { return a.Logged("fork: a follower") })
	testfleet.Eventually(t, "the followers' list has the fork", func() bool {
		lines, err := first.Followers(requestContext(t), true)
		return err == nil && len(lines) == 1 && lines[0].Fork && lines[0].Name == "s1" && lines[0].Number == 1
	})
	if n, d := f.current(); n != 1 || d != h1.Digest() {
		t.Errorf("the follower has switched to version %d", n)
	}
	var out strings.Builder
	if err := (&controlStatus{At: []string{a.Address}, Lagging: true}).run(&out); err == nil || !strings.Contains(out.String(), "FORK") {
		t.Errorf("%v:\n%s", err, &out)
	}
}

// The operator's commands print the new version and the state, and each refusal says
// what is wrong.
func TestControlCommands(t *testing.T) {
	a := startControl(t, "c0", "north", 16)
	b := startControl(t, "c1", "south", 16, testfleet.ControlTarget{Address: a.Address, Region: "north"})
	file := filepath.Join(t.TempDir(), "operator.toml")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run := func(to, base string) (string, error) {
		var out strings.Builder
		err := (&controlPublish{File: file, To: to, Author: "ana", Reason: "more for red", Base: base}).run(&out)
		return out.String(), err
	}
	want := func(what, out string, err error, texts ...string) {
		t.Helper()
		all := out + fmt.Sprint(err)
		for _, text := range texts {
			if !strings.Contains(all, text) {
				t.Errorf("%s: %s does not say %q", what, all, text)
			}
		}
	}
	write("[[team]]\nname = \"red\"\nrequests_per_s = 5\n")
	out, err := run(a.Address, "")
	if err != nil {
		t.Fatal(err)
	}
	want("the first version", out, err, "version 1 ", "is in force at "+a.Address)
	out, err = run(a.Address, "")
	want("the same content", out, err, "nothing differs")
	write("[[team]]\nname = \"red\"\nrequests_per_s = -5\n[[team]]\nname = \"blue\"\nrequests_per_s = -1\n")
	out, err = run(a.Address, "")
	want("two invalid teams", out, err, "red", "blue")
	write("[[team]]\nname = \"red\"\nrequests_per_s = 7\n")
	out, err = run(b.Address, "")
	want("at a relay", out, err, a.Address)
	out, err = run(a.Address, "0123456789ab")
	want("a wrong base", out, err, "--base", "in force is version 1")
	v, err := (&publish.Client{Address: a.Address}).Version(requestContext(t))
	if err != nil {
		t.Fatal(err)
	}
	out, err = run(a.Address, v.Digest[:12])
	want("the right base", out, err, "version 2 ", v.Digest[:12])
	testfleet.Eventually(t, "the relay has the version", func() bool {
		v, err := (&publish.Client{Address: b.Address}).Version(requestContext(t))
		return err == nil && v.Number == 2
	})
	var text strings.Builder
	testfleet.Eventually(t, "the relay is listed as current", func() bool {
		text.Reset()
		err = (&controlStatus{At: []string{a.Address, b.Address}}).run(&text)
		return strings.Contains(text.String(), "connected, control machine") && strings.Contains(text.String(), " 0 ms")
	})
	want("the status", text.String(), err, "c0 in north at "+a.Address+": originates", "c1 in south at "+b.Address+": follows "+a.Address,
		"by ana: more for red", "version 2 ")
	b.Stop()
	text.Reset()
	err = (&controlStatus{At: []string{a.Address, b.Address}}).run(&text)
	want("a machine that does not answer", text.String(), err, b.Address+" does not answer", "left ")
	a.Stop()
}

// A control machine does not start with an invalid file, and the error names all keys.
func TestControlServeNamesFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "control.toml")
	if err := os.WriteFile(file, []byte("name = \"\"\nlisten = \"x\"\nfolder = \"log\"\nwings = 2\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	err := (&controlServe{Config: file, LogLevel: "info"}).Run()
	for _, key := range []string{"name ", "region ", "listen ", "folder ", "wings "} {
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%v does not name %s", err, key)
		}
	}
}
