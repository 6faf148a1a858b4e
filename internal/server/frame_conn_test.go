package server

import (
	"encoding/binary"
	"flag"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// TestMain lowers the number of rapid's checks to 20, as checks over real sockets are slow.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		f.Value.Set("20") //nolint:errcheck // it is a number
	}
	os.Exit(m.Run())
}

// connModel holds the answers that are expected on one connection: for each stream
// the codes that are legal for its only answer, and the body that was sent.
type connModel struct {
	legal         map[uint32][]byte
	bodies        map[uint32]string
	lastStream    uint32
	malformed     int // malformed requests so far, at most maxMalformedInRow
	pendingChecks int
}

// expectAnswers reads the outstanding answers and compares them with the model.
func (m *connModel) expectAnswers(t *rapid.T, caller *standin.Caller, cancelled map[uint32]bool) {
	for len(m.legal) > len(cancelled) || m.pendingChecks > 0 {
		got, ok := caller.Next()
		if !ok {
			t.Fatalf("the connection ended with answers outstanding: %v", m.legal)
		}
		switch {
		case got.Type == frame.GoAway:
		case got.Type == frame.HealthStatus && got.Code == frame.Healthy:
			m.pendingChecks--
		default:
			codes, known := m.legal[got.Stream]
			if !known || got.Type != frame.Answer {
				t.Fatalf("unexpected frame: %+v", got)
			}
			fits := false
			for _, code := range codes {
				fits = fits || code == got.Code
			}
			if !fits || got.Code == frame.Served && got.Body != "did "+m.bodies[got.Stream] {
				t.Fatalf("stream %d: got %+v, want a code of %v", got.Stream, got, codes)
			}
			delete(m.legal, got.Stream)
			delete(cancelled, got.Stream)
		}
	}
}

// A connection of the frame front end with random requests, malformed ones,
// cancels and health checks, cut into random pieces, gives each stream the one
// answer that the model allows, however the connection is closed.
func TestConnectionAgainstModel(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	tryID := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		caller := standin.Dial(srv.test, srv.framesAddr)
		defer caller.Conn.Close()
		expected := &connModel{legal: map[uint32][]byte{}, bodies: map[uint32]string{}}
		cancelled := map[uint32]bool{}
		var out []byte
		request := func(fields []frame.Field, codes ...byte) {
			expected.lastStream += rapid.Uint32Range(1, 3).Draw(t, "step")
			expected.bodies[expected.lastStream] = fmt.Sprint("body ", tryID)
			expected.legal[expected.lastStream] = codes
			out = frame.AppendRequest(out, expected.lastStream, fields, []byte(expected.bodies[expected.lastStream]))
		}
		validFields := func() []frame.Field {
			tryID++
			return standin.Fields("look", "red", "", tryID, 3*time.Second)
		}
		malformed := func(change func(f []frame.Field) []frame.Field) func(*rapid.T) {
			return func(t *rapid.T) {
				if expected.malformed++; expected.malformed >= maxMalformedInRow {
					t.Skip("one more closes the connection")
				}
				request(change(validFields()), frame.Failed)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(expected.legal) < 24 {
					return
				}
				caller.Write(out)
				out = nil
				expected.expectAnswers(t, caller, cancelled)
			},
			"request":       func(t *rapid.T) { request(validFields(), frame.Served) },
			"unknown class": malformed(func(f []frame.Field) []frame.Field { f[0].Value = "nil"; return f }),
			"no tenant":     malformed(func(f []frame.Field) []frame.Field { return append(f[:1], f[2:]...) }),
			"bad field":     malformed(func(f []frame.Field) []frame.Field { f[4].Value = "now"; return f }),
			"cancel": func(t *rapid.T) {
				// A cancel of a request that was answered already has no effect.
				stream := rapid.Uint32Range(1, expected.lastStream+2).Draw(t, "stream")
				if _, open := expected.legal[stream]; open {
					cancelled[stream] = true
				}
				out = frame.AppendHeader(out, frame.Cancel, stream, 0)
			},
			"check": func(t *rapid.T) {
				out = append(frame.AppendHeader(out, frame.HealthCheck, expected.lastStream+1, 1+3+4+1), "\x01\x04real\x00\x011"...)
				expected.pendingChecks++
			},
			"write": func(t *rapid.T) {
				n := rapid.IntRange(0, len(out)).Draw(t, "cut")
				caller.Write(out[:n])
				out = out[n:]
			},
		})
		caller.Write(out)
		expected.closeConn(t, caller, cancelled)
	})
	srv.eventually(t, "all connection slots released", func() bool { return srv.frameConnCount() == 0 && srv.closingConns == 0 })
}

// closeConn closes the connection in a random way while answers are outstanding; only
// a reset by the caller may lose any of them.
func (m *connModel) closeConn(t *rapid.T, caller *standin.Caller, cancelled map[uint32]bool) {
	checks := m.pendingChecks
	switch rapid.SampledFrom([]string{"close", "half-close", "malformed frame", "partial frame", "reset"}).Draw(t, "end") {
	case "half-close":
		if err := caller.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	case "malformed frame":
		caller.Write(frame.AppendHeader(nil, 99, 0, 0))
		m.legal[0], m.bodies[0] = []byte{frame.Failed}, ""
	case "partial frame": // followed by a half-close
		caller.Write([]byte{0, 0, 0})
		if err := caller.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	case "reset": // no answers are outstanding then
		if err := caller.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			t.Fatal(err)
		}
		caller.Conn.Close()
		return
	default:
		m.expectAnswers(t, caller, cancelled)
		return
	}
	m.expectAnswers(t, caller, cancelled)
	if m.pendingChecks > 0 {
		t.Fatalf("%d of %d health checks not answered", m.pendingChecks, checks)
	}
	for {
		got, ok := caller.Next()
		if !ok {
			return
		}
		if got.Type != frame.GoAway && !cancelled[got.Stream] {
			t.Fatalf("unexpected frame after the last answer: %+v", got)
		}
	}
}

// A malformed frame closes the connection after an error on stream 0; a malformed
// request in a frame of valid length is an error on its own stream.
func TestMalformedStreamCloses(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	for name, bytes := range map[string][]byte{
		"too short":       {0, 0, 0, 1, 65},
		"too long":        {0xff, 0xff, 0xff, 0xff},
		"unknown type":    frame.AppendHeader(nil, 99, 1, 0),
		"an answer":       frame.AppendHeader(nil, frame.Answer, 1, 0),
		"request on 0":    frame.AppendRequest(nil, 0, standin.Fields("look", "red", "", 1, time.Second), nil),
		"malformed check": append(frame.AppendHeader(nil, frame.HealthCheck, 1, 1), 9),
	} {
		caller := standin.Dial(t, srv.framesAddr)
		caller.Write(bytes)
		if got, ok := caller.Next(); !ok || got.Stream != 0 || got.Code != frame.Failed {
			t.Errorf("%s: got %+v, want failed on stream 0", name, got)
		}
		if got, ok := caller.Next(); ok {
			t.Errorf("%s: the connection is still open, got %+v", name, got)
		}
	}
	caller := standin.Dial(t, srv.framesAddr)
	caller.Write([]byte("\x00\x00\x00\x06\x41\x00\x00\x00\x07\xff"))
	if got, _ := caller.Next(); got.Stream != 7 || got.Code != frame.Failed {
		t.Errorf("truncated fields: got %+v, want failed on stream 7", got)
	}
}

// The memory of partial frames is bounded over all connections. The failure: each
// connection keeps within its own limit, and many of them together exhaust the memory.
func TestPartialFramesAreBounded(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	partial := make([]byte, frame.MaxLength)
	binary.BigEndian.PutUint32(partial, frame.MaxLength)
	partial[4] = frame.Request
	var callers []*standin.Caller
	for range 40 { // 10 MB against an eighth of 64 MB
		c := standin.Dial(t, srv.framesAddr)
		c.Write(partial)
		callers = append(callers, c)
	}
	srv.eventually(t, "memory of partial frames bounded", func() bool {
		return len(srv.conns) < 40 && srv.partialBytes <= srv.cfg.Limits.MemoryMB<<20/partialMemoryDivisor+frame.MaxLength
	})
	for _, c := range callers {
		c.Conn.Close()
	}
	srv.eventually(t, "memory of partial frames released", func() bool { return srv.partialBytes == 0 })
}

// A connection whose caller does not read is closed when too much is unsent on it.
func TestSlowReaderIsClosed(t *testing.T) {
	t.Parallel()
	result := make([]byte, frame.MaxResult)
	engine := standin.NewEngine(t, func(string) standin.Work { return standin.Work{Result: string(result)} })
	srv := start(t, engine.Address, "", "")
	caller := standin.Dial(t, srv.framesAddr)
	serverConn := srv.onlyFrameConn(t)
	// Fill the socket on the loop, so that the reader of the stand-in cannot empty it in between.
	srv.onLoopWait(func() {
		for range 16_384 {
			serverConn.queueAnswer(frame.Answer, 0, frame.Failed, nil, result)
		}
		serverConn.flush()
	})
	srv.eventually(t, "connection closed", func() bool { return serverConn.disconnected })
	for range caller.Replies { //nolint:revive // until the end of the connection
	}
}

// Cuts of the engine link while runs are in progress lose no answer and repeat no
// run, keyed or not. The one exception: a run of the repeatable class that is in doubt
// after a cut is sent again, and its end can cross that command.
func TestEngineLinkCut(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(100*time.Millisecond))
	srv := start(t, engine.Address, "", "")
	caller := standin.Dial(t, srv.framesAddr)
	srv.eventually(t, "engine link ready", srv.link.Ready)
	const tries = 24
	for i := range tries {
		class, key := "look", ""
		if i%2 == 0 {
			class, key = "note", fmt.Sprint("key", i)
		}
		caller.Send(uint32(i+1), standin.Fields(class, "red", key, uint64(i+1), 3*time.Second), fmt.Sprint("body ", i))
		time.Sleep(10 * time.Millisecond)
		if i%8 == 4 {
			srv.eventually(t, "engine has read all commands", func() bool {
				all := srv.link.Tries() > 0 && len(engine.Runs()) == srv.link.Tries()
				if all {
					engine.Disconnect()
				}
				return all
			})
		}
	}
	for range tries {
		if got, ok := caller.Next(); !ok || got.Code != frame.Served || got.Body != fmt.Sprint("did body ", got.Stream-1) {
			t.Errorf("unexpected answer: %+v", got)
		}
	}
	crossed := engine.CrossedRuns()
	for i := range tries {
		body, want := fmt.Sprint("body ", i), 1
		if i%2 == 1 { // of the repeatable class
			want += crossed[body]
		}
		if n := engine.Runs()[body]; n != want {
			t.Errorf("%s ran %d times, want %d (%d times its end crossed a command to run it)", body, n, want, crossed[body])
		}
	}
}

// A deep health check follows the policy: answered from the stored state, or by asking the engine.
func TestDeepChecks(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	deepCheck := func(stream uint32) []byte {
		return append(frame.AppendHeader(nil, frame.HealthCheck, stream, 1+3+4+1), "\x01\x04real\x00\x011"...)
	}
	for i, state := range []struct{ healthy, stored, asksEngine bool }{{true, true, false}, {false, true, false}, {true, false, true}, {false, false, false}} {
		lastID := 0
		srv.onLoopWait(func() {
			srv.health = func() (bool, bool) { return state.healthy, state.stored }
			lastID = srv.lastCheckID
		})
		caller.Write(append(deepCheck(uint32(2*i+1)), deepCheck(uint32(2*i+2))...)) // two at once are answered on their own streams
		seen := map[uint32]bool{}
		for range 2 {
			got, _ := caller.Next()
			seen[got.Stream] = true
			if healthy := got.Code == frame.Healthy; got.Type != frame.HealthStatus || healthy != state.healthy {
				t.Errorf("%+v: got %+v", state, got)
			}
		}
		if !seen[uint32(2*i+1)] || !seen[uint32(2*i+2)] {
			t.Errorf("%+v: answers on streams %v", state, seen)
		}
		srv.onLoopWait(func() {
			if asked := srv.lastCheckID > lastID; asked != state.asksEngine {
				t.Errorf("%+v: engine asked: got %v", state, asked)
			}
		})
	}
}

// Where the policy wants idle connections closed, they get GOAWAY, and a request
// that races with it is still served.
func TestIdleConnectionsGetGoAway(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("look", "red", "", 1, time.Second), "b")
	if got, _ := caller.Next(); got.Code != frame.Served {
		t.Fatalf("unexpected answer: %+v", got)
	}
	if got, ok := caller.Next(); !ok || got.Type != frame.GoAway {
		t.Errorf("got %+v, want GOAWAY", got)
	}
	caller.Send(2, standin.Fields("look", "red", "", 2, time.Second), "b") // as if sent before GOAWAY was read
	if got, ok := caller.Next(); !ok || got.Code != frame.Served {
		t.Errorf("request that races with GOAWAY: got %+v, want served", got)
	}
}

// A caller that connects during a drain, after GOAWAY was sent, still finds the
// listener open and gets an answer: the registry's list reaches callers late.
func TestLateCallerIsAnsweredInDrain(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	srv.onLoopWait(func() { srv.beginShutdown("a test", now()) })
	srv.eventually(t, "GOAWAY sent", func() bool { return srv.goAwaySent })
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("look", "red", "", 1, time.Second), "b")
	answered := false
	for got, ok := caller.Next(); ok; got, ok = caller.Next() {
		answered = answered || got.Type == frame.Answer && (got.Code == frame.Served || got.Code == frame.Refused)
	}
	if !answered {
		t.Error("the late caller got no answer")
	}
	select {
	case err := <-srv.serveErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the drain did not end within 10 s")
	}
	srv.signals = nil
}
