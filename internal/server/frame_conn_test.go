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

// A check against live sockets takes a while: twenty walks are enough.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		f.Value.Set("20") //nolint:errcheck // it is a number
	}
	os.Exit(m.Run())
}

// model is what one connection should see: for each stream the codes that are
// legal as its only answer, and how many it may bring that cannot be read.
type model struct {
	legal   map[uint32][]byte
	body    map[uint32]string
	highest uint32
	faults  int // requests that cannot be read: there may be faultsMost
	checks  int
}

// expect reads what is still to come and compares it.
func (m *model) expect(t *rapid.T, c *standin.Caller, cancelled map[uint32]bool) {
	for len(m.legal) > len(cancelled) || m.checks > 0 {
		got, ok := c.Next()
		if !ok {
			t.Fatalf("the connection ends; still to come: %v", m.legal)
		}
		switch {
		case got.Type == frame.GoAway:
		case got.Type == frame.HealthStatus && got.Code == frame.Healthy:
			m.checks--
		default:
			codes, known := m.legal[got.Stream]
			if !known || got.Type != frame.Answer {
				t.Fatalf("unexpected %+v", got)
			}
			fits := false
			for _, code := range codes {
				fits = fits || code == got.Code
			}
			if !fits || got.Code == frame.Served && got.Body != "did "+m.body[got.Stream] {
				t.Fatalf("stream %d: %+v, want code of %v", got.Stream, got, codes)
			}
			delete(m.legal, got.Stream)
			delete(cancelled, got.Stream)
		}
	}
}

func TestConnectionAgainstModel(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	name := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		c := standin.Dial(r.test, r.framesAddr)
		defer c.Conn.Close()
		m := &model{legal: map[uint32][]byte{}, body: map[uint32]string{}}
		cancelled := map[uint32]bool{}
		var out []byte
		request := func(fields []frame.Field, codes ...byte) {
			m.highest += rapid.Uint32Range(1, 3).Draw(t, "step")
			m.body[m.highest] = fmt.Sprint("body ", name)
			m.legal[m.highest] = codes
			out = frame.AppendRequest(out, m.highest, fields, []byte(m.body[m.highest]))
		}
		fresh := func() []frame.Field {
			name++
			return standin.Fields("look", "red", "", name, 3*time.Second)
		}
		bad := func(change func(f []frame.Field) []frame.Field) func(*rapid.T) {
			return func(t *rapid.T) {
				if m.faults++; m.faults >= maxMalformedInRow {
					t.Skip("one more ends the connection")
				}
				request(change(fresh()), frame.Failed)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if len(m.legal) < 24 {
					return
				}
				c.Write(out)
				out = nil
				m.expect(t, c, cancelled)
			},
			"request":       func(t *rapid.T) { request(fresh(), frame.Served) },
			"unknown class": bad(func(f []frame.Field) []frame.Field { f[0].Value = "nil"; return f }),
			"no tenant":     bad(func(f []frame.Field) []frame.Field { return append(f[:1], f[2:]...) }),
			"bad field":     bad(func(f []frame.Field) []frame.Field { f[4].Value = "now"; return f }),
			"cancel": func(t *rapid.T) {
				// An answer may have gone out already: then it does no harm.
				stream := rapid.Uint32Range(1, m.highest+2).Draw(t, "stream")
				if _, open := m.legal[stream]; open {
					cancelled[stream] = true
				}
				out = frame.AppendHeader(out, frame.Cancel, stream, 0)
			},
			"check": func(t *rapid.T) {
				out = append(frame.AppendHeader(out, frame.HealthCheck, m.highest+1, 1+3+4+1), "\x01\x04real\x00\x011"...)
				m.checks++
			},
			"write": func(t *rapid.T) {
				n := rapid.IntRange(0, len(out)).Draw(t, "cut")
				c.Write(out[:n])
				out = out[n:]
			},
		})
		c.Write(out)
		m.end(t, c, cancelled)
	})
	r.eventually(t, "all places are free", func() bool { return r.frameConnCount() == 0 && r.closingConns == 0 })
}

// end ends the connection in one of the ways that there are, while answers are
// still to come: whichever it is costs none of them.
func (m *model) end(t *rapid.T, c *standin.Caller, cancelled map[uint32]bool) {
	checks := m.checks
	switch rapid.SampledFrom([]string{"close", "half-close", "a bad frame", "half a frame", "reset"}).Draw(t, "end") {
	case "half-close":
		if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	case "a bad frame":
		c.Write(frame.AppendHeader(nil, 99, 0, 0))
		m.legal[0], m.body[0] = []byte{frame.Failed}, ""
	case "half a frame": // with the caller's side ended in it
		c.Write([]byte{0, 0, 0})
		if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	case "reset": // nothing is owed then
		if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			t.Fatal(err)
		}
		c.Conn.Close()
		return
	default:
		m.expect(t, c, cancelled)
		return
	}
	m.expect(t, c, cancelled)
	if m.checks > 0 {
		t.Fatalf("%d of %d checks are not answered", m.checks, checks)
	}
	for {
		got, ok := c.Next()
		if !ok {
			return
		}
		if got.Type != frame.GoAway && !cancelled[got.Stream] {
			t.Fatalf("unexpected at the end: %+v", got)
		}
	}
}

// What cannot be told apart any more ends the connection, after an error on stream 0.
func TestMalformedStreamCloses(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	for name, bytes := range map[string][]byte{
		"too short":       {0, 0, 0, 1, 65},
		"too long":        {0xff, 0xff, 0xff, 0xff},
		"unknown type":    frame.AppendHeader(nil, 99, 1, 0),
		"an answer":       frame.AppendHeader(nil, frame.Answer, 1, 0),
		"request on 0":    frame.AppendRequest(nil, 0, standin.Fields("look", "red", "", 1, time.Second), nil),
		"malformed check": append(frame.AppendHeader(nil, frame.HealthCheck, 1, 1), 9),
	} {
		c := standin.Dial(t, r.framesAddr)
		c.Write(bytes)
		if got, ok := c.Next(); !ok || got.Stream != 0 || got.Code != frame.Failed {
			t.Errorf("%s: %+v", name, got)
		}
		if got, ok := c.Next(); ok {
			t.Errorf("%s: the connection goes on with %+v", name, got)
		}
	}
	c := standin.Dial(t, r.framesAddr)
	c.Write([]byte("\x00\x00\x00\x06\x41\x00\x00\x00\x07\xff"))
	if got, _ := c.Next(); got.Stream != 7 || got.Code != frame.Failed {
		t.Errorf("fields cut short: %+v", got)
	}
}

// Large frames that never come whole are bounded over all connections.
func TestPartialFramesAreBounded(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	part := make([]byte, frame.MaxLength)
	binary.BigEndian.PutUint32(part, frame.MaxLength)
	part[4] = frame.Request
	var callers []*standin.Caller
	for range 40 { // 10 MB against an eighth of 64 MB
		c := standin.Dial(t, r.framesAddr)
		c.Write(part)
		callers = append(callers, c)
	}
	r.eventually(t, "the memory is bounded", func() bool {
		return len(r.conns) < 40 && r.partialBytes <= r.cfg.Limits.MemoryMB<<20/partialMemoryDivisor+frame.MaxLength
	})
	for _, c := range callers {
		c.Conn.Close()
	}
	r.eventually(t, "all is freed", func() bool { return r.partialBytes == 0 })
}

// A caller that does not read is closed once too much waits for it.
func TestSlowReaderIsClosed(t *testing.T) {
	t.Parallel()
	result := make([]byte, frame.MaxResult)
	engine := standin.NewEngine(t, func(string) standin.Work { return standin.Work{Result: string(result)} })
	r := start(t, engine.Address, "", "")
	c := standin.Dial(t, r.framesAddr)
	s := r.onlyFrameConn(t)
	// Fill the socket on the loop: the reader of the stand-in cannot run dry of it in between.
	r.onLoopWait(func() {
		for range 16_384 {
			s.queueAnswer(frame.Answer, 0, frame.Failed, nil, result)
		}
		s.flush()
	})
	r.eventually(t, "the connection is closed", func() bool { return s.disconnected })
	for range c.Replies { //nolint:revive // until the end of the connection
	}
}

// A cut of the engine's link loses no run and repeats no keyed one.
func TestEngineLinkCut(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(100*time.Millisecond))
	r := start(t, engine.Address, "", "")
	c := standin.Dial(t, r.framesAddr)
	r.eventually(t, "the engine's link", r.link.Ready)
	const tries = 24
	for i := range tries {
		class, key := "look", ""
		if i%2 == 0 {
			class, key = "note", fmt.Sprint("key", i)
		}
		c.Send(uint32(i+1), standin.Fields(class, "red", key, uint64(i+1), 3*time.Second), fmt.Sprint("body ", i))
		time.Sleep(10 * time.Millisecond)
		if i%8 == 4 {
			time.Sleep(20 * time.Millisecond) // what was written has been read
			engine.Cut()
		}
	}
	for range tries {
		if got, ok := c.Next(); !ok || got.Code != frame.Served || got.Body != fmt.Sprint("did body ", got.Stream-1) {
			t.Errorf("%+v", got)
		}
	}
	for body, n := range engine.Runs() {
		if n != 1 {
			t.Errorf("%s ran %d times", body, n)
		}
	}
}

// A deep check follows what the module says: as stored, or the engine's word.
func TestDeepChecks(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	deep := func(stream uint32) []byte {
		return append(frame.AppendHeader(nil, frame.HealthCheck, stream, 1+3+4+1), "\x01\x04real\x00\x011"...)
	}
	for i, state := range []struct{ good, stored, asks bool }{{true, true, false}, {false, true, false}, {true, false, true}, {false, false, false}} {
		asked := 0
		r.onLoopWait(func() {
			r.health = func() (bool, bool) { return state.good, state.stored }
			asked = r.lastCheckID
		})
		c.Write(append(deep(uint32(2*i+1)), deep(uint32(2*i+2))...)) // two at once keep their streams
		seen := map[uint32]bool{}
		for range 2 {
			got, _ := c.Next()
			seen[got.Stream] = true
			if good := got.Code == frame.Healthy; got.Type != frame.HealthStatus || good != state.good {
				t.Errorf("%+v: %+v", state, got)
			}
		}
		if !seen[uint32(2*i+1)] || !seen[uint32(2*i+2)] {
			t.Errorf("%+v: streams %v", state, seen)
		}
		r.onLoopWait(func() {
			if asks := r.lastCheckID > asked; asks != state.asks {
				t.Errorf("%+v: the engine was asked: %v", state, asks)
			}
		})
	}
}

// Where the module wants idle connections closed, callers are asked to.
func TestIdleConnectionsGetGoAway(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	used := standin.Dial(t, r.framesAddr)
	used.Send(1, standin.Fields("look", "red", "", 1, time.Second), "b")
	if got, _ := used.Next(); got.Code != frame.Served {
		t.Fatalf("%+v", got)
	}
	if got, ok := used.Next(); !ok || got.Type != frame.GoAway {
		t.Errorf("%+v, want GOAWAY", got)
	}
	used.Send(2, standin.Fields("look", "red", "", 2, time.Second), "b") // it crosses
	if got, ok := used.Next(); !ok || got.Code != frame.Served {
		t.Errorf("what crosses GOAWAY: %+v", got)
	}
}

// Callers learn late of a drain: one that comes after GOAWAY went out still
// finds the listener open, and gets an answer.
func TestLateCallerIsAnsweredInDrain(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	r.onLoopWait(func() { r.beginShutdown("a test", now()) })
	r.eventually(t, "GOAWAY", func() bool { return r.goAwaySent })
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, time.Second), "b")
	answered := false
	for got, ok := c.Next(); ok; got, ok = c.Next() {
		answered = answered || got.Type == frame.Answer && (got.Code == frame.Served || got.Code == frame.Refused)
	}
	if !answered {
		t.Error("the caller that came late got no answer")
	}
	select {
	case err := <-r.serveErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(10 * time.Second):
		t.Error("the drain does not end")
	}
	r.signals = nil
}
