package server

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"kiteslip/internal/core"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// How connections end, the crossings of it: docs/design/crossings.md lists them.
// The order that does harm is forced by holding the loop or a peer.

// readAll takes the frames that still come until the end of the connection.
func readAll(c *standin.Caller) (all []standin.Reply) {
	for got, ok := c.Next(); ok; got, ok = c.Next() {
		all = append(all, got)
	}
	return all
}

// countByCode counts answers by their code, and how many other frames there are.
func countByCode(all []standin.Reply) (served, refused, failed, others int) {
	for _, r := range all {
		switch {
		case r.Type != frame.Answer || r.Stream == 0:
			others++
		case r.Code == frame.Served:
			served++
		case r.Code == frame.Refused:
			refused++
		default:
			failed++
		}
	}
	return
}

// frameConnCount is how many callers' connections there are.
func (r *testServer) frameConnCount() int {
	n := 0
	for h := range r.conns {
		if _, ok := h.(*frameConn); ok {
			n++
		}
	}
	return n
}

// A frame that cannot be told apart ends what is taken on a connection, and
// costs the requests before it nothing.
func TestMalformedFrameKeepsEarlierAnswers(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(100*time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	for what, bad := range map[string][]byte{
		"unknown type":    frame.AppendHeader(nil, 99, 9, 0),
		"too long":        {0xff, 0xff, 0xff, 0xff},
		"request on 0":    frame.AppendRequest(nil, 0, standin.Fields("look", "red", "", 1, time.Second), nil),
		"malformed check": append(frame.AppendHeader(nil, frame.HealthCheck, 9, 1), 9),
	} {
		c := standin.Dial(t, r.framesAddr)
		for i := range uint32(3) {
			c.Send(i+1, standin.Fields("look", "red", "", uint64(len(what))<<8+uint64(i), 3*time.Second), "b")
		}
		c.Write(bad)
		c.Send(10, standin.Fields("look", "red", "", uint64(len(what))<<8+10, 3*time.Second), "after")
		if served, _, _, others := countByCode(readAll(c)); served != 3 || others != 1 {
			t.Errorf("%s: %d of 3 served, %d other frames, want one error on stream 0", what, served, others)
		}
	}
	if n := engine.Runs()["after"]; n > 0 {
		t.Errorf("what follows a bad frame ran %d times", n)
	}
}

// A caller that ends its side after its last request still reads: it gets its
// answers, and the end of the connection after them.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(100*time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	for i := range uint32(5) {
		c.Send(i+1, standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
	}
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if served, _, _, _ := countByCode(readAll(c)); served != 5 {
		t.Errorf("%d of 5 served", served)
	}
	r.eventually(t, "its place is free", func() bool { return r.frameConnCount() == 0 && len(r.slots) == len(r.listeners) })
}

// A caller that has closed, with requests open, is known to be gone long before
// these are over, with whatever it left unread.
func TestClosedCallerIsDetected(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(5*time.Second))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
	r.eventually(t, "it runs", func() bool { return r.link.Running() == 1 })
	c.Conn.Close()
	began := time.Now()
	r.eventually(t, "it is gone", func() bool { return r.core.Counts().Disconnected == 1 && r.frameConnCount() == 0 })
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("that took %v", took)
	}
}

// A request that arrives in the moment in which its connection is to be closed
// as idle is taken in and answered first.
func TestRequestRacesIdleClose(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Fatalf("%+v", got)
	}
	s := r.onlyFrameConn(t)
	r.onLoopWait(func() { // the loop reads nothing meanwhile
		s.sendGoAway()
		s.flush()
		c.Send(2, standin.Fields("look", "red", "", 2, 3*time.Second), "b")
		for !hasUnread(s.conn) {
			time.Sleep(time.Millisecond)
		}
		s.goAwayAt, s.lastUsedAt = now()-2*goAwayLingerUS, now()-2*goAwayLingerUS
		r.nextReapAt = 0
		r.reapIdle(now())
	})
	if served, _, _, _ := countByCode(readAll(c)); served != 1 {
		t.Errorf("%d of 1 served", served)
	}
}

// A request that crosses the end of our side is not run: its caller, which was
// told, sends it again elsewhere. And nothing resets what was sent before.
func TestRequestRacesWriteShutdown(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	conn, err := net.Dial("tcp", r.framesAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s := r.onlyFrameConn(t)
	conn.Write(frame.AppendRequest(nil, 1, standin.Fields("look", "red", "", 1, 3*time.Second), []byte("first"))) //nolint:errcheck // seen below
	r.eventually(t, "it is answered", func() bool { return s.answered && len(s.openRequests) == 0 && s.unsent() == 0 })
	r.onLoopWait(func() {
		s.goAwaySent, s.goAwayAt, s.lastUsedAt = true, now()-2*goAwayLingerUS, now()-2*goAwayLingerUS
		r.nextReapAt = 0
		r.reapIdle(now())
		conn.Write(frame.AppendRequest(nil, 2, standin.Fields("look", "red", "", 2, 3*time.Second), []byte("crosses"))) //nolint:errcheck // it crosses
		for i := 0; i < 100 && s.conn != nil && !s.disconnected && !hasUnread(s.conn); i++ {
			time.Sleep(time.Millisecond)
		}
	})
	conn.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a TCP connection takes it
	got, err := io.ReadAll(conn)
	if err != nil || !strings.Contains(string(got), "did first") {
		t.Errorf("read %q, %v: what was answered before is lost", got, err)
	}
	if n := engine.Runs()["crosses"]; n > 0 {
		t.Errorf("what crossed ran %d times, and nobody can be told", n)
	}
}

// A caller that resets its connection is gone at once.
func TestResetIsNoHalfClose(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(2*time.Second))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
	r.eventually(t, "it runs", func() bool { return r.link.Running() == 1 })
	if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := c.Conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	r.eventually(t, "it is gone", func() bool { return r.core.Counts().Disconnected == 1 && r.frameConnCount() == 0 })
}

// Checks, cancels, requests of unknown classes, new connections and half frames
// by the thousand cost a working caller little, and what they take has a bound.
func TestFloodsDoNotStarveCallers(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	stop := make(chan struct{})
	var floods sync.WaitGroup
	flood := func(f func(i uint32)) {
		floods.Add(1)
		go func() {
			defer floods.Done()
			for i := uint32(1); i <= 4000; i++ {
				select {
				case <-stop:
					return
				default:
					f(i)
				}
			}
		}()
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.framesAddr)
		if err != nil {
			t.Fatal(err)
		}
		go io.Copy(io.Discard, c) //nolint:errcheck // it reads to the end
		t.Cleanup(func() { c.Close() })
		return c
	}
	deep := func(i uint32) []byte {
		return append(frame.AppendHeader(nil, frame.HealthCheck, i, 1+3+4+1), "\x01\x04real\x00\x011"...)
	}
	checks, cancels, unknown := dial(), dial(), dial()
	flood(func(i uint32) { checks.Write(deep(i)) })                                      //nolint:errcheck // a flood
	flood(func(i uint32) { cancels.Write(frame.AppendHeader(nil, frame.Cancel, i, 0)) }) //nolint:errcheck // a flood
	flood(func(i uint32) {
		unknown.Write(frame.AppendRequest(nil, i, standin.Fields("none", "red", "", 1<<40+uint64(i), time.Second), nil))
	}) //nolint:errcheck // a flood
	flood(func(i uint32) {
		if c, err := net.Dial("tcp", r.framesAddr); err == nil {
			c.Write([]byte{0, 0, 1, 0, 65}[:1+i%5]) //nolint:errcheck // a flood
			c.Close()
		}
	})
	c := standin.Dial(t, r.framesAddr)
	slowest := time.Duration(0)
	for i := range uint32(100) {
		began := time.Now()
		c.Send(i+1, standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
		if got, ok := c.Next(); !ok || got.Code != frame.Served {
			t.Fatalf("request %d: %+v", i, got)
		}
		slowest = max(slowest, time.Since(began))
	}
	close(stop)
	floods.Wait()
	if slowest > 2*time.Second {
		t.Errorf("the slowest of 100 took %v", slowest)
	}
	r.onLoopWait(func() {
		if len(r.pendingChecks) > maxPendingChecks || r.partialBytes > r.cfg.Limits.MemoryMB<<20/partialMemoryDivisor {
			t.Errorf("%d checks wait, %d bytes are held", len(r.pendingChecks), r.partialBytes)
		}
	})
}

// A connection that is to end while its caller takes nothing more ends all the
// same: what is owed on it has a time to go out.
func TestCloseOfNonReadingCaller(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	cfg := platformConfig(t, engine.Address, "")
	for i := range cfg.Policy.Classes {
		cfg.Policy.Classes[i].Timeout = 200_000
	}
	r := launch(t, cfg)
	result := make([]byte, frame.MaxResult)
	for _, how := range []string{"a bad frame", "its side ended", "idle"} {
		conn, err := net.Dial("tcp", r.framesAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close() // it never reads
		s := r.onlyFrameConn(t)
		r.onLoopWait(func() {
			for s.unsent() == 0 && !s.disconnected {
				s.queueAnswer(frame.Answer, 0, frame.Failed, nil, result)
				s.flush()
			}
			if how == "idle" {
				s.closeGracefully(now())
			}
		})
		switch how {
		case "a bad frame":
			conn.Write(frame.AppendHeader(nil, 99, 0, 0)) //nolint:errcheck // seen below
		case "its side ended":
			conn.(*net.TCPConn).CloseWrite() //nolint:errcheck // seen below
		}
		r.eventually(t, how+": it ends", func() bool { return s.disconnected && r.frameConnCount() == 0 })
	}
}

// Bytes behind a uwsgi request wait unread when its answer goes out: the answer
// arrives, and the end of the connection after it, not a reset.
func TestTrailingBytesAfterUWSGIRequest(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(2*time.Second))
	r := start(t, engine.Address, "", "[uwsgi]\nlisten = \"127.0.0.1:0\"\n")
	r.eventually(t, "the engine's link", r.link.Ready)
	conn, err := net.Dial("tcp", r.uwsgiAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(standin.Packet(t, standin.Vars("look", "red", "", 3*time.Second), "b")) //nolint:errcheck // seen below
	r.eventually(t, "it runs", func() bool { return r.link.Running() == 1 })
	r.onLoopWait(func() {
		for h := range r.conns {
			f, ok := h.(*uwsgiConn)
			if !ok {
				continue
			}
			conn.Write([]byte("more")) //nolint:errcheck // seen in the next line
			for !hasUnread(f.conn) {
				time.Sleep(time.Millisecond)
			}
			f.Answer(1, core.Answer{Code: core.Served, Result: []byte("the answer")})
			f.flush()
		}
	})
	conn.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a TCP connection takes it
	if got, err := io.ReadAll(conn); err != nil || !strings.HasSuffix(string(got), "the answer") {
		t.Errorf("read %q, %v", got, err)
	}
}
