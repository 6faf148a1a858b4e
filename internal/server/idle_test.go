package server

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// More callers than there are connection slots send one request and stay, and as
// many stay silent, on both front ends; each new caller is still served. The
// failure: idle connections fill all slots and keep new callers out.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "[uwsgi]\nlisten = \"127.0.0.1:0\"\n")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	for i := range cap(srv.slots) + 40 {
		standin.Dial(t, srv.framesAddr) // stays open, silent
		standin.Dial(t, srv.uwsgiAddr)  // stays open, silent
		c := standin.Dial(t, srv.framesAddr)
		c.Send(1, standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
		if got, ok := c.Next(); !ok || got.Code != frame.Served {
			t.Fatalf("caller %d: got %+v, want served", i, got)
		}
	}
	reply := standin.UWSGIExchange(srv.uwsgiAddr, standin.UWSGIRequest(t, standin.UWSGIVars("look", "red", "", 3*time.Second), "w"))
	if reply.Status != 200 {
		t.Errorf("uwsgi: got %+v, want status 200", reply)
	}
	srv.onLoopWait(func() {
		if n := len(srv.conns); n > cap(srv.slots)+1 {
			t.Errorf("%d connections are open, more than there are slots", n)
		}
	})
}

// A connection that never sends a whole request is closed within 3 s.
func TestSilentClientsAreClosed(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	whole := frame.AppendRequest(nil, 1, standin.Fields("look", "red", "", 1, 3*time.Second), []byte("b"))
	began := time.Now()
	callers := map[string]*standin.Caller{}
	for what, bytes := range map[string][]byte{
		"nothing":          nil,
		"partial request":  whole[:len(whole)/2],
		"a cancel of none": frame.AppendHeader(nil, frame.Cancel, 5, 0),
	} {
		callers[what] = standin.Dial(t, srv.framesAddr)
		callers[what].Write(bytes)
	}
	for what, caller := range callers {
		for ok := true; ok; {
			var got standin.Reply
			if got, ok = caller.Next(); ok && (got.Stream != 0 || got.Code != frame.Failed) {
				t.Errorf("%s: got %+v, want an error on stream 0", what, got)
			}
		}
		if took := time.Since(began); took > 2700*time.Millisecond {
			t.Errorf("%s: closed after %v, want 2.7 s at most", what, took)
		}
	}
}

// A caller that reuses a stream ID or has too many streams open gets an error on
// stream 0, and nothing more is read from it. Each request before that is answered
// once; neither the invalid request nor a later one runs.
func TestInvalidStreamIDsStopReading(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(100*time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	for what, count := range map[string]int{"duplicate stream ID": 2, "too many": frame.MaxStreams + 1} {
		caller := standin.Dial(t, srv.framesAddr)
		var out []byte
		for i := range count {
			stream := uint32(i + 1)
			if count == 2 {
				stream = 1
			}
			out = frame.AppendRequest(out, stream, standin.Fields("look", "red", "", uint64(100*count+i), 3*time.Second), fmt.Appendf(nil, "%s %d", what, i))
		}
		out = frame.AppendRequest(out, 90, standin.Fields("look", "red", "", uint64(100*count+99), 3*time.Second), []byte(what+" after"))
		caller.Write(out)
		if got, ok := caller.Next(); !ok || got.Stream != 0 || got.Code != frame.Failed {
			t.Errorf("%s: got %+v, want an error on stream 0", what, got)
		}
		seen := map[uint32]bool{}
		for got, ok := caller.Next(); ok; got, ok = caller.Next() {
			want := fmt.Sprintf("did %s %d", what, got.Stream-1)
			if seen[got.Stream] || got.Stream == 0 || int(got.Stream) >= count ||
				got.Code != frame.Refused && (got.Code != frame.Served || got.Body != want) {
				t.Errorf("%s: unexpected answer: %+v", what, got)
			}
			seen[got.Stream] = true
		}
		if len(seen) != count-1 {
			t.Errorf("%s: %d of %d requests before the invalid one were answered", what, len(seen), count-1)
		}
		for _, body := range []string{fmt.Sprintf("%s %d", what, count-1), what + " after"} {
			if engine.Runs()[body] > 0 {
				t.Errorf("%q ran, want no run", body)
			}
		}
	}
	srv.eventually(t, "no request tracked", func() bool { count, _ := srv.core.Tracked(); return count == 0 })
}

// A caller that sends malformed requests only is disconnected after maxMalformedInRow of them.
func TestMalformedRequestsAreBounded(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	caller := standin.Dial(t, srv.framesAddr)
	var out []byte
	for i := range 2 * maxMalformedInRow {
		out = frame.AppendRequest(out, uint32(i+1), standin.Fields("none", "red", "", uint64(i+1), time.Second), nil)
	}
	caller.Write(out)
	answers := 0
	for got, ok := caller.Next(); ok; got, ok = caller.Next() {
		if got.Code != frame.Failed {
			t.Errorf("unexpected answer: %+v", got)
		}
		answers++
	}
	if answers != maxMalformedInRow+1 {
		t.Errorf("%d answers, want %d and 1 on stream 0", answers, maxMalformedInRow)
	}
}

// Malformed requests among valid ones each get an error and leave the connection
// open: a caller may know a class that this server does not know yet.
func TestMalformedAmongValidRequests(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	for i := range 3 * maxMalformedInRow {
		class, want := "look", byte(frame.Served)
		if i%3 > 0 {
			class, want = "unknown", frame.Failed
		}
		caller.Send(uint32(i+1), standin.Fields(class, "red", "", uint64(i+1), 3*time.Second), "b")
		if got, ok := caller.Next(); !ok || got.Code != want {
			t.Fatalf("request %d of class %s: unexpected answer %+v", i, class, got)
		}
	}
}

// A key that is reused with another body is an error on either front end, and gets no result.
func TestKeyReusedWithAnotherBody(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "[uwsgi]\nlisten = \"127.0.0.1:0\"\n")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	for i, body := range []string{"mine", "other", "mine"} {
		caller.Send(uint32(i+1), standin.Fields("note", "red", "key", uint64(i+1), 3*time.Second), body)
		got, _ := caller.Next()
		if want := map[string]byte{"mine": frame.Served, "other": frame.Failed}[body]; got.Code != want {
			t.Errorf("try %d with body %s: unexpected answer %+v", i, body, got)
		}
	}
	vars := standin.UWSGIVars("note", "red", "key", 3*time.Second)
	if got := standin.UWSGIExchange(srv.uwsgiAddr, standin.UWSGIRequest(t, vars, "other")); got.Status != 400 || !strings.Contains(got.Body, "another body") {
		t.Errorf("uwsgi, another body: got %+v, want status 400", got)
	}
	if got := standin.UWSGIExchange(srv.uwsgiAddr, standin.UWSGIRequest(t, vars, "mine")); got.Status != 200 || got.Body != "did mine" {
		t.Errorf("uwsgi, same body: got %+v, want status 200", got)
	}
	if runs := fmt.Sprint(engine.Runs()); runs != "map[mine:1]" {
		t.Errorf("runs: got %s, want one of mine", runs)
	}
}

// onlyFrameConn waits for the only connection of the frame front end and returns it.
func (r *testServer) onlyFrameConn(t *testing.T) *frameConn {
	t.Helper()
	var serverConn *frameConn
	r.eventually(t, "caller connected", func() bool {
		for h := range r.conns {
			if candidate, ok := h.(*frameConn); ok {
				serverConn = candidate
			}
		}
		return serverConn != nil
	})
	return serverConn
}

// The memory of unsent answers is bounded over all connections too. The failure:
// many callers that read slowly, each within its own limit, exhaust the memory.
func TestUnsentAnswersAreBounded(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	conn, err := net.Dial("tcp", srv.framesAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close() // it never reads
	serverConn := srv.onlyFrameConn(t)
	result := make([]byte, frame.MaxResult)
	srv.onLoopWait(func() {
		srv.cfg.Limits.MemoryMB = 1
		for serverConn.unsent() <= 1<<20/unsentMemoryDivisor && !serverConn.disconnected {
			serverConn.queueAnswer(frame.Answer, 0, frame.Failed, nil, result)
			serverConn.flush()
		}
		if serverConn.disconnected || serverConn.unsent() > maxUnsentBytes {
			t.Error("the limit of one connection was reached first")
		}
	})
	srv.eventually(t, "connection closed", func() bool { return serverConn.disconnected })
}

// A deep health check that the engine does not answer is answered as unhealthy after a timeout.
func TestDeepCheckTimesOut(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	caller := standin.Dial(t, srv.framesAddr)
	serverConn := srv.onlyFrameConn(t)
	srv.onLoopWait(func() {
		srv.pendingChecks["unanswered"] = pendingCheck{serverConn, 7, now() + 100_000}
		serverConn.pendingChecks++
	})
	if got, ok := caller.Next(); !ok || got.Type != frame.HealthStatus || got.Stream != 7 || got.Code != frame.Unhealthy {
		t.Errorf("unexpected answer: %+v", got)
	}
	srv.onLoopWait(func() {
		if serverConn.pendingChecks != 0 || len(srv.pendingChecks) != 0 {
			t.Errorf("%d checks pending on the connection, %d in all, want 0", serverConn.pendingChecks, len(srv.pendingChecks))
		}
	})
}
