package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
	"kiteslip/internal/uwsgi"
)

// operatorTOML sets up the second front; classes go to the engine, or to the backend given.
func operatorTOML(backend string) string {
	if backend != "" {
		backend = fmt.Sprintf("backend = %q", backend)
	}
	return fmt.Sprintf(`
[uwsgi]
listen = "127.0.0.1:0"
read_ms = 400
[[service]]
name = "all"
%s
[[service.contract]]
class = "look"
path = "/look"
max_body = 64
[[service.contract]]
class = "find"
[[service.contract]]
class = "note"
`, backend)
}

// work is told by the body's first word.
func work(body string) standin.Work {
	kind, _, _ := strings.Cut(body, " ")
	switch kind {
	case "slow":
		return standin.Work{For: 150 * time.Millisecond, Result: "did " + body}
	case "long":
		return standin.Work{For: 3300 * time.Millisecond, Result: "did " + body}
	case "bad":
		return standin.Work{For: 10 * time.Millisecond, End: "error"}
	case "break", "close":
		return standin.Work{For: 10 * time.Millisecond, End: kind}
	}
	return standin.Work{For: 10 * time.Millisecond, Result: "did " + body}
}

// try is one request of the traffic.
type try struct {
	at               time.Duration
	class, key, body string
	timeout          time.Duration
}

// traffic is the same for each front: quick, slow, failing, too long, keyed
// with repeats, and late from the start.
func traffic() []try {
	var all []try
	for i := range 72 {
		t := try{at: time.Duration(i) * 15 * time.Millisecond, class: "look", timeout: 3 * time.Second}
		// Few enough fail that the module does not take the server for a failing one.
		kind := []string{"quick", "slow", "quick", "note", "quick", "none"}[i%6]
		if i%24 == 16 {
			kind = "bad"
		}
		if i%24 == 0 {
			kind = "long"
		}
		t.body = fmt.Sprint(kind, " ", i)
		switch kind {
		case "none":
			t.timeout = 0
		case "note":
			t.class, t.key = "note", fmt.Sprint("key", i/24) // four tries of each
			t.body = "note " + t.key
		}
		all = append(all, t)
	}
	return all
}

// result is an answer in the terms that both fronts share.
type result struct {
	outcome string
	body    string
	took    time.Duration
}

func outcome(r standin.Reply) string {
	switch {
	case r.Code == frame.Served || r.Status == http.StatusOK:
		return "served"
	case r.Code == frame.Refused || r.Status == http.StatusServiceUnavailable:
		return "refused"
	case r.Code == frame.Failed || r.Status >= 500:
		return "failed"
	}
	return fmt.Sprintf("%d/%d %s", r.Code, r.Status, r.Body)
}

// play sends the traffic and returns what became of each try.
func play(t *testing.T, r *testServer, web bool) []result {
	tries := traffic()
	results := make([]result, len(tries))
	began := make([]time.Time, len(tries))
	var wait sync.WaitGroup
	var caller *standin.Caller
	if !web {
		caller = standin.Dial(t, r.framesAddr)
	}
	origin := time.Now()
	for i, try := range tries {
		time.Sleep(time.Until(origin.Add(try.at)))
		began[i] = time.Now()
		if !web {
			caller.Send(uint32(i+1), standin.Fields(try.class, "red", try.key, uint64(i+1), try.timeout), try.body)
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			reply := standin.Post(r.uwsgiAddr, standin.Packet(t, standin.Vars(try.class, "red", try.key, try.timeout), try.body))
			results[i] = result{outcome(reply), reply.Body, reply.At.Sub(began[i])}
		}()
	}
	wait.Wait()
	if !web {
		for range tries {
			reply, ok := caller.Next()
			if !ok || reply.Stream == 0 || int(reply.Stream) > len(tries) {
				t.Errorf("answer %+v", reply)
				return results
			}
			i := reply.Stream - 1
			if results[i].outcome != "" {
				t.Errorf("a second answer on stream %d", reply.Stream)
			}
			results[i] = result{outcome(reply), reply.Body, reply.At.Sub(began[i])}
		}
	}
	return results
}

// differ lists where outcomes and results of b are not those of a.
func differ(a, b []result) []string {
	var out []string
	for i, try := range traffic() {
		if a[i].outcome != b[i].outcome || a[i].outcome == "served" && a[i].body != b[i].body {
			out = append(out, fmt.Sprintf("%s: %s %q and %s %q", try.body, a[i].outcome, a[i].body, b[i].outcome, b[i].body))
		}
	}
	return out
}

// drift lists the kinds of request that take longer on one front than on the
// other, by the median of each kind, which a short pause of the machine does not move.
func drift(a, b []result) []string {
	times := map[string][2][]time.Duration{}
	for i, try := range traffic() {
		kind, _, _ := strings.Cut(try.body, " ")
		pair := times[kind]
		times[kind] = [2][]time.Duration{append(pair[0], a[i].took), append(pair[1], b[i].took)}
	}
	var out []string
	for kind, pair := range times {
		for i := range pair {
			slices.Sort(pair[i])
		}
		x, y := pair[0][len(pair[0])/2], pair[1][len(pair[1])/2]
		if (x - y).Abs() > apart {
			out = append(out, fmt.Sprintf("%s takes %v and %v", kind, x, y))
		}
	}
	return out
}

const apart = 60 * time.Millisecond

// paths are the ways from a front to where the work is done.
var paths = []struct {
	name         string
	web, backend bool
}{{"frames to engine", false, false}, {"uwsgi to engine", true, false}, {"uwsgi to uwsgi", true, true}, {"frames to uwsgi", false, true}}

// The same traffic on each path gives the same outcomes every time. Its timing
// is compared up to three times, for a machine that is busy with other things:
// a difference that the program makes is there each time.
func TestFrontendsAgree(t *testing.T) {
	var late []string
	for range 3 {
		results := playAll(t)
		late = nil
		for i, path := range paths[1:] {
			for _, line := range differ(results[0], results[i+1]) {
				t.Errorf("%s and %s differ: %s", paths[0].name, path.name, line)
			}
			for _, line := range drift(results[0], results[i+1]) {
				late = append(late, fmt.Sprintf("%s and %s: %s", paths[0].name, path.name, line))
			}
		}
		if len(late) == 0 || t.Failed() {
			break
		}
		t.Logf("timing, to be played again: %q", late)
	}
	for _, line := range late {
		t.Error(line)
	}
}

// playAll plays the traffic on all paths side by side, each with a server and
// stand-ins of its own, and checks what was run.
func playAll(t *testing.T) [][]result {
	results := make([][]result, len(paths))
	runs := make([]map[string]int, len(paths))
	var wait sync.WaitGroup
	for i, path := range paths {
		engine, backend := standin.NewEngine(t, work), standin.NewBackend(t, work)
		address, ran := "", engine.Runs
		if path.backend {
			address, ran = backend.Address, backend.Runs
		}
		r := start(t, engine.Address, "", operatorTOML(address))
		r.eventually(t, "the engine's link", r.link.Ready)
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = play(t, r, path.web)
			runs[i] = ran()
		}()
	}
	wait.Wait()
	want := map[string]string{"quick": "served", "slow": "served", "note": "served", "bad": "failed", "long": "failed", "none": "refused"}
	for i, try := range traffic() {
		kind, _, _ := strings.Cut(try.body, " ")
		if got := results[0][i].outcome; got != want[kind] {
			t.Errorf("%s: %s is %s, want %s", paths[0].name, try.body, got, want[kind])
		}
	}
	for i, path := range paths {
		for body, n := range runs[i] {
			if n != 1 {
				t.Errorf("%s: %s ran %d times", path.name, body, n)
			}
		}
	}
	return results
}

// The comparisons themselves must be able to fail.
func TestComparisonsDetectDifferences(t *testing.T) {
	var a []result
	for range traffic() {
		a = append(a, result{"served", "x", 10 * time.Millisecond})
	}
	b := slices.Clone(a)
	if got := append(differ(a, b), drift(a, b)...); len(got) != 0 {
		t.Errorf("equal results differ: %q", got)
	}
	b[3].outcome = "failed"
	b[7].body = "y"
	for i, try := range traffic() {
		if strings.HasPrefix(try.body, "slow") {
			b[i].took += apart + time.Millisecond
		}
	}
	if got := append(differ(a, b), drift(a, b)...); len(got) != 3 {
		t.Errorf("%d differences of 3 are seen: %q", len(got), got)
	}
}

func TestUWSGIStatuses(t *testing.T) {
	t.Parallel()
	backend := standin.NewBackend(t, work)
	r := start(t, "127.0.0.1:1", "", operatorTOML(backend.Address))
	vars := func(class, key string, timeout time.Duration) []uwsgi.Var {
		return standin.Vars(class, "red", key, timeout)
	}
	second := time.Second
	packet := func(vars []uwsgi.Var, body string) []byte { return standin.Packet(t, vars, body) }
	for _, c := range []struct {
		name   string
		packet []byte
		status int
	}{
		{"served", packet(vars("find", "", second), "quick"), 200},
		{"by path", packet([]uwsgi.Var{{Name: "PATH_INFO", Value: "/look/here"}, {Name: uwsgi.VarTenant, Value: "red"}}, "quick"), 200},
		{"no body", packet(vars("look", "", second), ""), 200},
		{"never run", packet(vars("look", "", 0), "quick"), 503},
		{"due time passed", packet(vars("look", "", 200*time.Millisecond), "long"), 504},
		{"failed run", packet(vars("look", "", second), "bad"), 502},
		{"breaks off in the response", packet(vars("look", "", second), "break"), 502},
		{"breaks off before it", packet(vars("note", "k", second), "close"), 502},
		{"unknown class", packet(vars("nil", "", second), "quick"), 400},
		{"unknown tenant", packet(standin.Vars("look", "green", "", second), "quick"), 400},
		{"no class", packet(nil, "quick"), 400},
		{"no key", packet(vars("note", "", second), "quick"), 400},
		{"bad length", packet(append(vars("look", "", second), uwsgi.Var{Name: uwsgi.VarLength, Value: "-1"}), ""), 400},
		{"bad timeout", packet([]uwsgi.Var{{Name: uwsgi.VarTimeout, Value: "soon"}}, ""), 400},
		{"other modifier", []byte{5, 0, 0, 0}, 400},
		{"variable cut short", []byte{0, 3, 0, 0, 9, 0, 'x'}, 400},
		{"too large", packet(vars("look", "", second), strings.Repeat("x", 65)), 413},
		{"far too large", packet(vars("look", "", second), strings.Repeat("x", 1<<20)), 413},
		{"too slow", packet(vars("look", "", second), "quick")[:30], 408},
	} {
		reply := standin.Post(r.uwsgiAddr, c.packet)
		if reply.Status != c.status {
			t.Errorf("%s: status %d %q, want %d", c.name, reply.Status, reply.Body, c.status)
		}
		if after := reply.Fields["retry-after"]; (c.status == 503) != (after != "") {
			t.Errorf("%s: Retry-After %q", c.name, after)
		}
	}
}

// A uwsgi server that was never reached has run nothing: refused, not failed.
func TestUnreachableBackendRefuses(t *testing.T) {
	t.Parallel()
	r := start(t, "127.0.0.1:1", "", operatorTOML("127.0.0.1:1"))
	if reply := standin.Post(r.uwsgiAddr, standin.Packet(t, standin.Vars("note", "red", "k", time.Second), "x")); reply.Status != 503 {
		t.Errorf("%+v", reply)
	}
}

// sendPartial opens a uwsgi connection and sends n bytes of the packet.
func sendPartial(t *testing.T, r *testServer, packet []byte, n int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.uwsgiAddr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Write(packet[:n]); err != nil {
		t.Fatal(err)
	}
	return c
}

// allReleased says that no connection, request or half-read byte is left.
func (r *testServer) allReleased() bool {
	requests, _ := r.core.Tracked()
	return len(r.conns) == 1 && r.partialBytes == 0 && requests == 0 && r.uwsgiConns == 0 && len(r.slots) == len(r.listeners)
}

func TestUWSGICallerDisconnectsMidRequest(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, work)
	r := start(t, engine.Address, "", operatorTOML(""))
	packet := standin.Packet(t, standin.Vars("look", "red", "", time.Second), "quick one")
	for n := range len(packet) {
		c := sendPartial(t, r, packet, n)
		if n%7 == 3 {
			time.Sleep(5 * time.Millisecond) // let the part be read
		}
		c.Close()
	}
	r.eventually(t, "all is freed", r.allReleased)
	r.onLoopWait(func() {
		if n := r.core.Counts().Received; n != 0 {
			t.Errorf("%d half-sent requests entered the core", n)
		}
	})
	if runs := engine.Runs(); len(runs) != 0 {
		t.Errorf("runs %v", runs)
	}
}

func TestUWSGICallerDisconnectsAfterRequest(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, work)
	r := start(t, engine.Address, "", operatorTOML(""))
	packet := standin.Packet(t, standin.Vars("note", "red", "k", time.Second), "slow one")
	c := sendPartial(t, r, packet, len(packet))
	r.eventually(t, "the request is in", func() bool { return r.core.Counts().Received == 1 })
	c.Close()
	r.eventually(t, "the caller is gone", func() bool { return r.core.Counts().Disconnected == 1 })
	// The run goes on, and the next try takes its result.
	if reply := standin.Post(r.uwsgiAddr, packet); reply.Status != 200 || reply.Body != "did slow one" {
		t.Errorf("next try: %+v", reply)
	}
	r.eventually(t, "all is freed", r.allReleased)
	if n := engine.Runs()["slow one"]; n != 1 {
		t.Errorf("%d runs", n)
	}
}

func TestKeyRunsOnceAcrossFrontends(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, work)
	r := start(t, engine.Address, "", operatorTOML(""))
	c := standin.Dial(t, r.framesAddr)
	for i := range 3 {
		c.Send(uint32(i+1), standin.Fields("note", "red", "k", uint64(i+1), 2*time.Second), "slow note")
		reply := standin.Post(r.uwsgiAddr, standin.Packet(t, standin.Vars("note", "red", "k", 2*time.Second), "slow note"))
		if reply.Status != 200 || reply.Body != "did slow note" {
			t.Errorf("uwsgi: %+v", reply)
		}
		if got, _ := c.Next(); got.Code != frame.Served || got.Body != "did slow note" {
			t.Errorf("frames: %+v", got)
		}
	}
	if runs := engine.Runs(); runs["slow note"] != 1 {
		t.Errorf("runs %v", runs)
	}
}

// A drain under a mixed load: each request that was sent is answered, or its
// connection was refused, and the process ends by itself.
func TestMixedLoadDuringDrain(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, work)
	r := start(t, engine.Address, "", operatorTOML(""))
	r.eventually(t, "the engine's link", r.link.Ready)
	var wait sync.WaitGroup
	var mu sync.Mutex
	seen := map[string]int{}
	c := standin.Dial(t, r.framesAddr)
	sent, away := 0, false
	signals := r.signals
	for i := range 150 {
		if i == 50 {
			signals <- syscall.SIGTERM
		}
		for len(c.Replies) > 0 {
			reply := <-c.Replies
			if away = reply.Type == frame.GoAway || away; reply.Type == frame.Answer {
				sent--
			}
		}
		if !away && sent >= 0 && i < 100 {
			c.Send(uint32(i+1), standin.Fields("look", "red", "", uint64(i+1), time.Second), fmt.Sprint("slow ", i))
			sent++
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			reply := standin.Post(r.uwsgiAddr, standin.Packet(t, standin.Vars("find", "blue", "", time.Second), fmt.Sprint("quick ", i)))
			mu.Lock()
			defer mu.Unlock()
			if reply.Status == 0 && strings.Contains(reply.Body, "refused") {
				seen["connection refused"]++
				return
			}
			seen[outcome(reply)]++
		}()
		time.Sleep(15 * time.Millisecond)
	}
	wait.Wait()
	for sent > 0 {
		reply, ok := c.Next()
		if !ok {
			t.Fatalf("the connection ended with %d requests unanswered", sent)
		}
		if reply.Type == frame.Answer {
			sent--
		}
	}
	r.signals = nil
	select {
	case err := <-r.serveErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the drain does not end")
	}
	for what := range seen {
		if what != "served" && what != "refused" && what != "connection refused" {
			t.Errorf("outcome %s", what)
		}
	}
	if seen["served"] < 50 || seen["connection refused"] == 0 {
		t.Errorf("outcomes %v: want the load before the drain served, and connections refused at its end", seen)
	}
}

// A uwsgi connection, written in any pieces and left at any point: a whole
// request is answered once, a part of one is never entered.
func TestUWSGIConnectionAgainstModel(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, work)
	r := start(t, engine.Address, "", operatorTOML(""))
	r.eventually(t, "the engine's link", r.link.Ready)
	whole := 0
	rapid.Check(t, func(t *rapid.T) {
		body := fmt.Sprint("quick ", strings.Repeat("x", rapid.IntRange(0, 58).Draw(t, "size")))
		rest := standin.Packet(r.test, standin.Vars("look", "red", "", 2*time.Second), body)
		c, err := net.Dial("tcp", r.uwsgiAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		stop := rapid.IntRange(0, 2*len(rest)).Draw(t, "leaves after") // half of them stay
		for sent := 0; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			if sent += n; sent > stop {
				return
			}
			if _, err := c.Write(rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		whole++
		c.SetDeadline(time.Now().Add(20 * time.Second)) //nolint:errcheck // a TCP connection takes it
		answer, err := io.ReadAll(c)
		if want := "did " + body; err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200 OK\r\n") ||
			!strings.HasSuffix(string(answer), "\r\n\r\n"+want) || strings.Count(string(answer), "HTTP/1.1") != 1 {
			t.Fatalf("%q, %v", answer, err)
		}
	})
	r.eventually(t, "all is freed", r.allReleased)
	r.onLoopWait(func() {
		if n := r.core.Counts(); n.Received != whole || n.Served != whole {
			t.Errorf("%d whole requests, counts %+v", whole, n)
		}
	})
}
