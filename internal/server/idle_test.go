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

// More clients than there are places ask once and hold on, and as many say
// nothing, on both fronts: each that asks is still let in and served.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "[uwsgi]\nlisten = \"127.0.0.1:0\"\n")
	r.eventually(t, "the engine's link", r.link.Ready)
	for i := range cap(r.slots) + 40 {
		standin.Dial(t, r.framesAddr) // stays
		standin.Dial(t, r.uwsgiAddr)  // stays too
		c := standin.Dial(t, r.framesAddr)
		c.Send(1, standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
		if got, ok := c.Next(); !ok || got.Code != frame.Served {
			t.Fatalf("client %d: %+v", i, got)
		}
	}
	body := standin.Post(r.uwsgiAddr, standin.Packet(t, standin.Vars("look", "red", "", 3*time.Second), "w"))
	if body.Status != 200 {
		t.Errorf("uwsgi: %+v", body)
	}
	r.onLoopWait(func() {
		if n := len(r.conns); n > cap(r.slots)+1 {
			t.Errorf("%d connections are open", n)
		}
	})
}

// What never becomes a request gets a word or a close within 3 s.
func TestSilentClientsAreClosed(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	whole := frame.AppendRequest(nil, 1, standin.Fields("look", "red", "", 1, 3*time.Second), []byte("b"))
	began := time.Now()
	clients := map[string]*standin.Caller{}
	for what, bytes := range map[string][]byte{
		"nothing":          nil,
		"half a request":   whole[:len(whole)/2],
		"a cancel of none": frame.AppendHeader(nil, frame.Cancel, 5, 0),
	} {
		clients[what] = standin.Dial(t, r.framesAddr)
		clients[what].Write(bytes)
	}
	for what, c := range clients {
		for ok := true; ok; {
			var got standin.Reply
			if got, ok = c.Next(); ok && (got.Stream != 0 || got.Code != frame.Failed) {
				t.Errorf("%s: %+v", what, got)
			}
		}
		if took := time.Since(began); took > 2700*time.Millisecond {
			t.Errorf("%s: the close came after %v", what, took)
		}
	}
}

// A client that uses a number twice, or has more open than it may, is told so on
// stream 0 and gets nothing more taken: what it sent before is answered, once
// each, and neither the bad request nor anything after it runs.
func TestInvalidStreamIDsStopReading(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(100*time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	for what, n := range map[string]int{"two under one number": 2, "too many": frame.MaxStreams + 1} {
		c := standin.Dial(t, r.framesAddr)
		var out []byte
		for i := range n {
			stream := uint32(i + 1)
			if n == 2 {
				stream = 1
			}
			out = frame.AppendRequest(out, stream, standin.Fields("look", "red", "", uint64(100*n+i), 3*time.Second), fmt.Appendf(nil, "%s %d", what, i))
		}
		out = frame.AppendRequest(out, 90, standin.Fields("look", "red", "", uint64(100*n+99), 3*time.Second), []byte(what+" after"))
		c.Write(out)
		if got, ok := c.Next(); !ok || got.Stream != 0 || got.Code != frame.Failed {
			t.Errorf("%s: %+v", what, got)
		}
		seen := map[uint32]bool{}
		for got, ok := c.Next(); ok; got, ok = c.Next() {
			want := fmt.Sprintf("did %s %d", what, got.Stream-1)
			if seen[got.Stream] || got.Stream == 0 || int(got.Stream) >= n ||
				got.Code != frame.Refused && (got.Code != frame.Served || got.Body != want) {
				t.Errorf("%s: %+v", what, got)
			}
			seen[got.Stream] = true
		}
		if len(seen) != n-1 {
			t.Errorf("%s: %d of %d requests before the bad one were answered", what, len(seen), n-1)
		}
		for _, body := range []string{fmt.Sprintf("%s %d", what, n-1), what + " after"} {
			if engine.Runs()[body] > 0 {
				t.Errorf("%q ran", body)
			}
		}
	}
	r.eventually(t, "nothing is held", func() bool { n, _ := r.core.Tracked(); return n == 0 })
}

// A client that sends what cannot be read again and again is not listened to for ever.
func TestMalformedRequestsAreBounded(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	c := standin.Dial(t, r.framesAddr)
	var out []byte
	for i := range 2 * maxMalformedInRow {
		out = frame.AppendRequest(out, uint32(i+1), standin.Fields("none", "red", "", uint64(i+1), time.Second), nil)
	}
	c.Write(out)
	answers := 0
	for got, ok := c.Next(); ok; got, ok = c.Next() {
		if got.Code != frame.Failed {
			t.Errorf("%+v", got)
		}
		answers++
	}
	if answers != maxMalformedInRow+1 {
		t.Errorf("%d answers, want %d and one on stream 0", answers, maxMalformedInRow)
	}
}

// Requests that cannot be read, with good ones between, each get an error and
// cost the good ones nothing: a caller may know of a class that we do not.
func TestMalformedAmongValidRequests(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	for i := range 3 * maxMalformedInRow {
		class, want := "look", byte(frame.Served)
		if i%3 > 0 {
			class, want = "unknown", frame.Failed
		}
		c.Send(uint32(i+1), standin.Fields(class, "red", "", uint64(i+1), 3*time.Second), "b")
		if got, ok := c.Next(); !ok || got.Code != want {
			t.Fatalf("request %d of class %s: %+v", i, class, got)
		}
	}
}

// The key of one request with the body of another gets no result, on either front.
func TestKeyReusedWithAnotherBody(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "[uwsgi]\nlisten = \"127.0.0.1:0\"\n")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	for i, body := range []string{"mine", "other", "mine"} {
		c.Send(uint32(i+1), standin.Fields("note", "red", "key", uint64(i+1), 3*time.Second), body)
		got, _ := c.Next()
		if want := map[string]byte{"mine": frame.Served, "other": frame.Failed}[body]; got.Code != want {
			t.Errorf("try %d with body %s: %+v", i, body, got)
		}
	}
	vars := standin.Vars("note", "red", "key", 3*time.Second)
	if got := standin.Post(r.uwsgiAddr, standin.Packet(t, vars, "other")); got.Status != 400 || !strings.Contains(got.Body, "another body") {
		t.Errorf("uwsgi, another body: %+v", got)
	}
	if got := standin.Post(r.uwsgiAddr, standin.Packet(t, vars, "mine")); got.Status != 200 || got.Body != "did mine" {
		t.Errorf("uwsgi, the same body: %+v", got)
	}
	if runs := fmt.Sprint(engine.Runs()); runs != "map[mine:1]" {
		t.Errorf("runs %s", runs)
	}
}

// onlyFrameConn returns the one session that the frame front has.
func (r *testServer) onlyFrameConn(t *testing.T) *frameConn {
	t.Helper()
	var s *frameConn
	r.eventually(t, "a session", func() bool {
		for h := range r.conns {
			if f, ok := h.(*frameConn); ok {
				s = f
			}
		}
		return s != nil
	})
	return s
}

// Answers that wait for slow readers are bounded in all, not only for each connection.
func TestUnsentAnswersAreBounded(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	c, err := net.Dial("tcp", r.framesAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close() // it never reads
	s := r.onlyFrameConn(t)
	result := make([]byte, frame.MaxResult)
	r.onLoopWait(func() {
		r.cfg.Limits.MemoryMB = 1
		for s.unsent() <= 1<<20/unsentMemoryDivisor && !s.disconnected {
			s.queueAnswer(frame.Answer, 0, frame.Failed, nil, result)
			s.flush()
		}
		if s.disconnected || s.unsent() > maxUnsentBytes {
			t.Error("the bound of one connection came first")
		}
	})
	r.eventually(t, "the connection is closed", func() bool { return s.disconnected })
}

// A deep check of which the engine says nothing is answered as bad in time.
func TestDeepCheckTimesOut(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	c := standin.Dial(t, r.framesAddr)
	s := r.onlyFrameConn(t)
	r.onLoopWait(func() {
		r.pendingChecks["unanswered"] = pendingCheck{s, 7, now() + 100_000}
		s.pendingChecks++
	})
	if got, ok := c.Next(); !ok || got.Type != frame.HealthStatus || got.Stream != 7 || got.Code != frame.Unhealthy {
		t.Errorf("%+v", got)
	}
	r.onLoopWait(func() {
		if s.pendingChecks != 0 || len(r.pendingChecks) != 0 {
			t.Errorf("%d checks are left, %d in all", s.pendingChecks, len(r.pendingChecks))
		}
	})
}
