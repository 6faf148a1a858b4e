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

// operatorTOML returns an operator's file with a uwsgi front end, whose classes go
// to the given backend, or to the engine if backend is empty.
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

// workByBody returns what a stand-in does with a request, by the first word of its body.
func workByBody(body string) standin.Work {
	kind, _, _ := strings.Cut(body, " ")
	switch kind {
	case "slow":
		return standin.Work{Duration: 150 * time.Millisecond, Result: "did " + body}
	case "long":
		return standin.Work{Duration: 3300 * time.Millisecond, Result: "did " + body}
	case "bad":
		return standin.Work{Duration: 10 * time.Millisecond, Outcome: "error"}
	case "break", "close":
		return standin.Work{Duration: 10 * time.Millisecond, Outcome: kind}
	}
	return standin.Work{Duration: 10 * time.Millisecond, Result: "did " + body}
}

// try is one request of the traffic; at is the time since its start.
type try struct {
	at               time.Duration
	class, key, body string
	timeout          time.Duration
}

// traffic returns the requests that each path is given: quick and slow ones, ones
// that fail or run past their deadline, keyed ones with retries, and ones whose
// timeout has passed when they arrive.
func traffic() []try {
	var all []try
	for i := range 72 {
		req := try{at: time.Duration(i) * 15 * time.Millisecond, class: "look", timeout: 3 * time.Second}
		// Few enough fail that the policy does not consider the server unhealthy.
		kind := []string{"quick", "slow", "quick", "note", "quick", "none"}[i%6]
		if i%24 == 16 {
			kind = "bad"
		}
		if i%24 == 0 {
			kind = "long"
		}
		req.body = fmt.Sprint(kind, " ", i)
		switch kind {
		case "none":
			req.timeout = 0
		case "note":
			req.class, req.key = "note", fmt.Sprint("key", i/24) // four tries of each
			req.body = "note " + req.key
		}
		all = append(all, req)
	}
	return all
}

// result is an answer in terms that both front ends share.
type result struct {
	outcome string
	body    string
	latency time.Duration
}

// outcome names the outcome of a request by its code or status.
func outcome(reply standin.Reply) string {
	switch {
	case reply.Code == frame.Served || reply.Status == http.StatusOK:
		return "served"
	case reply.Code == frame.Refused || reply.Status == http.StatusServiceUnavailable:
		return "refused"
	case reply.Code == frame.Failed || reply.Status >= 500:
		return "failed"
	}
	return fmt.Sprintf("%d/%d %s", reply.Code, reply.Status, reply.Body)
}

// runTraffic sends the traffic through one front end and returns the result of each try.
func runTraffic(t *testing.T, srv *testServer, overUWSGI bool) []result {
	tries := traffic()
	results := make([]result, len(tries))
	began := make([]time.Time, len(tries))
	var wait sync.WaitGroup
	var caller *standin.Caller
	if !overUWSGI {
		caller = standin.Dial(t, srv.framesAddr)
	}
	origin := time.Now()
	for i, try := range tries {
		time.Sleep(time.Until(origin.Add(try.at)))
		began[i] = time.Now()
		if !overUWSGI {
			caller.Send(uint32(i+1), standin.Fields(try.class, "red", try.key, uint64(i+1), try.timeout), try.body)
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			reply := standin.UWSGIExchange(srv.uwsgiAddr, standin.UWSGIRequest(t, standin.UWSGIVars(try.class, "red", try.key, try.timeout), try.body))
			results[i] = result{outcome(reply), reply.Body, reply.At.Sub(began[i])}
		}()
	}
	wait.Wait()
	if !overUWSGI {
		for range tries {
			reply, ok := caller.Next()
			if !ok || reply.Stream == 0 || int(reply.Stream) > len(tries) {
				t.Errorf("unexpected answer: %+v", reply)
				return results
			}
			i := reply.Stream - 1
			if results[i].outcome != "" {
				t.Errorf("second answer on stream %d", reply.Stream)
			}
			results[i] = result{outcome(reply), reply.Body, reply.At.Sub(began[i])}
		}
	}
	return results
}

// outcomeDifferences lists the tries whose outcomes or bodies differ.
func outcomeDifferences(a, b []result) []string {
	var out []string
	for i, try := range traffic() {
		if a[i].outcome != b[i].outcome || a[i].outcome == "served" && a[i].body != b[i].body {
			out = append(out, fmt.Sprintf("%s: %s %q and %s %q", try.body, a[i].outcome, a[i].body, b[i].outcome, b[i].body))
		}
	}
	return out
}

// timingDifferences lists the kinds of request whose median times differ by more than
// maxTimingDifference.
// A short pause of the machine does not move a median.
func timingDifferences(a, b []result) []string {
	times := map[string][2][]time.Duration{}
	for i, try := range traffic() {
		kind, _, _ := strings.Cut(try.body, " ")
		pair := times[kind]
		times[kind] = [2][]time.Duration{append(pair[0], a[i].latency), append(pair[1], b[i].latency)}
	}
	var out []string
	for kind, pair := range times {
		for i := range pair {
			slices.Sort(pair[i])
		}
		x, y := pair[0][len(pair[0])/2], pair[1][len(pair[1])/2]
		if (x - y).Abs() > maxTimingDifference {
			out = append(out, fmt.Sprintf("%s: median times %v and %v", kind, x, y))
		}
	}
	return out
}

// maxTimingDifference is the greatest difference of median times of the same kind of request.
const maxTimingDifference = 60 * time.Millisecond

// paths are the combinations of a front end and what runs the requests.
var paths = []struct {
	name           string
	uwsgi, backend bool
}{{"frames to engine", false, false}, {"uwsgi to engine", true, false}, {"uwsgi to uwsgi", true, true}, {"frames to uwsgi", false, true}}

// The same traffic has the same outcomes on each path every time. The times are
// compared up to three times, as a busy machine may change them: a difference that
// the program makes shows each time.
func TestFrontendsAgree(t *testing.T) {
	var timing []string
	for range 3 {
		results := runTrafficOnPaths(t)
		timing = nil
		for i, path := range paths[1:] {
			for _, line := range outcomeDifferences(results[0], results[i+1]) {
				t.Errorf("%s and %s differ: %s", paths[0].name, path.name, line)
			}
			for _, line := range timingDifferences(results[0], results[i+1]) {
				timing = append(timing, fmt.Sprintf("%s and %s: %s", paths[0].name, path.name, line))
			}
		}
		if len(timing) == 0 || t.Failed() {
			break
		}
		t.Logf("times differ, sending the traffic again: %q", timing)
	}
	for _, line := range timing {
		t.Error(line)
	}
}

// runTrafficOnPaths sends the traffic on all paths in parallel, each with a server and
// stand-ins of its own, and checks the outcomes of the first path and all runs.
func runTrafficOnPaths(t *testing.T) [][]result {
	results := make([][]result, len(paths))
	runs := make([]map[string]int, len(paths))
	var wait sync.WaitGroup
	for i, path := range paths {
		engine, backend := standin.NewEngine(t, workByBody), standin.NewBackend(t, workByBody)
		address, ran := "", engine.Runs
		if path.backend {
			address, ran = backend.Address, backend.Runs
		}
		srv := start(t, engine.Address, "", operatorTOML(address))
		srv.eventually(t, "engine link ready", srv.link.Ready)
		wait.Add(1)
		go func() {
			defer wait.Done()
			results[i] = runTraffic(t, srv, path.uwsgi)
			runs[i] = ran()
		}()
	}
	wait.Wait()
	want := map[string]string{"quick": "served", "slow": "served", "note": "served", "bad": "failed", "long": "failed", "none": "refused"}
	for i, try := range traffic() {
		kind, _, _ := strings.Cut(try.body, " ")
		if got := results[0][i].outcome; got != want[kind] {
			t.Errorf("%s: %s: got %s, want %s", paths[0].name, try.body, got, want[kind])
		}
	}
	for i, path := range paths {
		for body, n := range runs[i] {
			if n != 1 {
				t.Errorf("%s: %s ran %d times, want 1", path.name, body, n)
			}
		}
	}
	return results
}

// The comparisons used by TestFrontendsAgree detect differences and pass equal results.
func TestComparisonsDetectDifferences(t *testing.T) {
	var a []result
	for range traffic() {
		a = append(a, result{"served", "x", 10 * time.Millisecond})
	}
	b := slices.Clone(a)
	if got := append(outcomeDifferences(a, b), timingDifferences(a, b)...); len(got) != 0 {
		t.Errorf("equal results differ: %q", got)
	}
	b[3].outcome = "failed"
	b[7].body = "y"
	for i, try := range traffic() {
		if strings.HasPrefix(try.body, "slow") {
			b[i].latency += maxTimingDifference + time.Millisecond
		}
	}
	if got := append(outcomeDifferences(a, b), timingDifferences(a, b)...); len(got) != 3 {
		t.Errorf("%d of 3 differences detected: %q", len(got), got)
	}
}

// Each kind of outcome and of malformed request has its HTTP status, and an answer
// with status 503, and no other, has Retry-After.
func TestUWSGIStatuses(t *testing.T) {
	t.Parallel()
	backend := standin.NewBackend(t, workByBody)
	srv := start(t, "127.0.0.1:1", "", operatorTOML(backend.Address))
	vars := func(class, key string, timeout time.Duration) []uwsgi.Var {
		return standin.UWSGIVars(class, "red", key, timeout)
	}
	second := time.Second
	packet := func(vars []uwsgi.Var, body string) []byte { return standin.UWSGIRequest(t, vars, body) }
	for _, tc := range []struct {
		name   string
		packet []byte
		status int
	}{
		{"served", packet(vars("find", "", second), "quick"), 200},
		{"by path", packet([]uwsgi.Var{{Name: "PATH_INFO", Value: "/look/here"}, {Name: uwsgi.VarTenant, Value: "red"}}, "quick"), 200},
		{"no body", packet(vars("look", "", second), ""), 200},
		{"never run", packet(vars("look", "", 0), "quick"), 503},
		{"deadline passed", packet(vars("look", "", 200*time.Millisecond), "long"), 504},
		{"failed run", packet(vars("look", "", second), "bad"), 502},
		{"backend closes within the response", packet(vars("look", "", second), "break"), 502},
		{"backend closes before the response", packet(vars("note", "k", second), "close"), 502},
		{"unknown class", packet(vars("nil", "", second), "quick"), 400},
		{"unknown tenant", packet(standin.UWSGIVars("look", "green", "", second), "quick"), 400},
		{"no class", packet(nil, "quick"), 400},
		{"no key", packet(vars("note", "", second), "quick"), 400},
		{"bad length", packet(append(vars("look", "", second), uwsgi.Var{Name: uwsgi.VarLength, Value: "-1"}), ""), 400},
		{"bad timeout", packet([]uwsgi.Var{{Name: uwsgi.VarTimeout, Value: "soon"}}, ""), 400},
		{"other modifier", []byte{5, 0, 0, 0}, 400},
		{"truncated variable", []byte{0, 3, 0, 0, 9, 0, 'x'}, 400},
		{"too large", packet(vars("look", "", second), strings.Repeat("x", 65)), 413},
		{"far too large", packet(vars("look", "", second), strings.Repeat("x", 1<<20)), 413},
		{"too slow", packet(vars("look", "", second), "quick")[:30], 408},
	} {
		reply := standin.UWSGIExchange(srv.uwsgiAddr, tc.packet)
		if reply.Status != tc.status {
			t.Errorf("%s: got status %d %q, want %d", tc.name, reply.Status, reply.Body, tc.status)
		}
		if after := reply.Fields["retry-after"]; (tc.status == 503) != (after != "") {
			t.Errorf("%s: got Retry-After %q", tc.name, after)
		}
	}
}

// A request for a backend that can't be reached never ran: it is refused, not failed.
func TestUnreachableBackendRefuses(t *testing.T) {
	t.Parallel()
	r := start(t, "127.0.0.1:1", "", operatorTOML("127.0.0.1:1"))
	if reply := standin.UWSGIExchange(r.uwsgiAddr, standin.UWSGIRequest(t, standin.UWSGIVars("note", "red", "k", time.Second), "x")); reply.Status != 503 {
		t.Errorf("got %+v, want status 503", reply)
	}
}

// sendPartial opens a uwsgi connection and sends the first n bytes of the packet.
func sendPartial(t *testing.T, srv *testServer, packet []byte, n int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", srv.uwsgiAddr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(packet[:n]); err != nil {
		t.Fatal(err)
	}
	return conn
}

// allReleased reports whether no connection, request or partial input is left.
func (r *testServer) allReleased() bool {
	requests, _ := r.core.Tracked()
	return len(r.conns) == 1 && r.partialBytes == 0 && requests == 0 && r.uwsgiConns == 0 && len(r.slots) == len(r.listeners)
}

// A uwsgi caller that disconnects within its request, after any number of bytes,
// leaves nothing behind, and nothing runs.
func TestUWSGICallerDisconnectsMidRequest(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, workByBody)
	srv := start(t, engine.Address, "", operatorTOML(""))
	packet := standin.UWSGIRequest(t, standin.UWSGIVars("look", "red", "", time.Second), "quick one")
	for n := range len(packet) {
		c := sendPartial(t, srv, packet, n)
		if n%7 == 3 {
			time.Sleep(5 * time.Millisecond) // until the part is read
		}
		c.Close()
	}
	srv.eventually(t, "all resources released", srv.allReleased)
	srv.onLoopWait(func() {
		if n := srv.core.Counts().Received; n != 0 {
			t.Errorf("%d partial requests reached the policy, want 0", n)
		}
	})
	if runs := engine.Runs(); len(runs) != 0 {
		t.Errorf("runs: got %v, want none", runs)
	}
}

// When the uwsgi caller of a keyed request disconnects, the run goes on, and a retry
// gets its result without a second run.
func TestUWSGICallerDisconnectsAfterRequest(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, workByBody)
	srv := start(t, engine.Address, "", operatorTOML(""))
	packet := standin.UWSGIRequest(t, standin.UWSGIVars("note", "red", "k", time.Second), "slow one")
	conn := sendPartial(t, srv, packet, len(packet))
	srv.eventually(t, "request received", func() bool { return srv.core.Counts().Received == 1 })
	conn.Close()
	srv.eventually(t, "disconnect detected", func() bool { return srv.core.Counts().Disconnected == 1 })
	if reply := standin.UWSGIExchange(srv.uwsgiAddr, packet); reply.Status != 200 || reply.Body != "did slow one" {
		t.Errorf("retry: unexpected answer %+v", reply)
	}
	srv.eventually(t, "all resources released", srv.allReleased)
	if n := engine.Runs()["slow one"]; n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
}

// Tries of one key through both front ends share one run.
func TestKeyRunsOnceAcrossFrontends(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, workByBody)
	srv := start(t, engine.Address, "", operatorTOML(""))
	caller := standin.Dial(t, srv.framesAddr)
	for i := range 3 {
		caller.Send(uint32(i+1), standin.Fields("note", "red", "k", uint64(i+1), 2*time.Second), "slow note")
		reply := standin.UWSGIExchange(srv.uwsgiAddr, standin.UWSGIRequest(t, standin.UWSGIVars("note", "red", "k", 2*time.Second), "slow note"))
		if reply.Status != 200 || reply.Body != "did slow note" {
			t.Errorf("uwsgi: unexpected answer %+v", reply)
		}
		if got, _ := caller.Next(); got.Code != frame.Served || got.Body != "did slow note" {
			t.Errorf("frames: unexpected answer %+v", got)
		}
	}
	if runs := engine.Runs(); runs["slow note"] != 1 {
		t.Errorf("runs: got %v, want 1 of slow note", runs)
	}
}

// During a drain under load on both front ends, each request that was sent is
// answered or its connection refused, and the process ends by itself.
func TestMixedLoadDuringDrain(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, workByBody)
	srv := start(t, engine.Address, "", operatorTOML(""))
	srv.eventually(t, "engine link ready", srv.link.Ready)
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	caller := standin.Dial(t, srv.framesAddr)
	outstanding, goAway := 0, false
	signals := srv.signals
	for i := range 150 {
		if i == 50 {
			signals <- syscall.SIGTERM
		}
		for len(caller.Replies) > 0 {
			reply := <-caller.Replies
			if goAway = reply.Type == frame.GoAway || goAway; reply.Type == frame.Answer {
				outstanding--
			}
		}
		if !goAway && outstanding >= 0 && i < 100 {
			caller.Send(uint32(i+1), standin.Fields("look", "red", "", uint64(i+1), time.Second), fmt.Sprint("slow ", i))
			outstanding++
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			reply := standin.UWSGIExchange(srv.uwsgiAddr, standin.UWSGIRequest(t, standin.UWSGIVars("find", "blue", "", time.Second), fmt.Sprint("quick ", i)))
			mu.Lock()
			defer mu.Unlock()
			if reply.Status == 0 && strings.Contains(reply.Body, "refused") {
				outcomes["connection refused"]++
				return
			}
			outcomes[outcome(reply)]++
		}()
		time.Sleep(15 * time.Millisecond)
	}
	wait.Wait()
	for outstanding > 0 {
		reply, ok := caller.Next()
		if !ok {
			t.Fatalf("the connection ended with %d requests unanswered", outstanding)
		}
		if reply.Type == frame.Answer {
			outstanding--
		}
	}
	srv.signals = nil
	select {
	case err := <-srv.serveErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the drain did not end within 20 s")
	}
	for what := range outcomes {
		if what != "served" && what != "refused" && what != "connection refused" {
			t.Errorf("unexpected outcome: %s", what)
		}
	}
	if outcomes["served"] < 50 || outcomes["connection refused"] == 0 {
		t.Errorf("outcomes %v: want at least 50 served before the drain, and connections refused at its end", outcomes)
	}
}

// Over a uwsgi connection that is written in random pieces and closed at a random
// point, a whole request is answered once and a partial one never accepted.
func TestUWSGIConnectionAgainstModel(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, workByBody)
	srv := start(t, engine.Address, "", operatorTOML(""))
	srv.eventually(t, "engine link ready", srv.link.Ready)
	wholeRequests := 0
	rapid.Check(t, func(t *rapid.T) {
		body := fmt.Sprint("quick ", strings.Repeat("x", rapid.IntRange(0, 58).Draw(t, "size")))
		unsent := standin.UWSGIRequest(srv.test, standin.UWSGIVars("look", "red", "", 2*time.Second), body)
		conn, err := net.Dial("tcp", srv.uwsgiAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		closeAfter := rapid.IntRange(0, 2*len(unsent)).Draw(t, "disconnects after") // half of them send the whole request
		for sent := 0; len(unsent) > 0; {
			n := rapid.IntRange(1, len(unsent)).Draw(t, "piece")
			if sent += n; sent > closeAfter {
				return
			}
			if _, err := conn.Write(unsent[:n]); err != nil {
				t.Fatal(err)
			}
			unsent = unsent[n:]
		}
		wholeRequests++
		conn.SetDeadline(time.Now().Add(20 * time.Second)) //nolint:errcheck // a TCP connection takes it
		answer, err := io.ReadAll(conn)
		if want := "did " + body; err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200 OK\r\n") ||
			!strings.HasSuffix(string(answer), "\r\n\r\n"+want) || strings.Count(string(answer), "HTTP/1.1") != 1 {
			t.Fatalf("unexpected answer: %q, %v", answer, err)
		}
	})
	srv.eventually(t, "all resources released", srv.allReleased)
	srv.onLoopWait(func() {
		if n := srv.core.Counts(); n.Received != wholeRequests || n.Served != wholeRequests {
			t.Errorf("%d whole requests sent, but counts are %+v", wholeRequests, n)
		}
	})
}
