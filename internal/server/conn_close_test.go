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

// Races at the close of connections; docs/design/crossings.md lists them. The
// harmful order of events is forced by blocking the loop or a peer.

// readAll reads frames until the end of the connection.
func readAll(c *standin.Caller) (all []standin.Reply) {
	for got, ok := c.Next(); ok; got, ok = c.Next() {
		all = append(all, got)
	}
	return all
}

// countByCode counts answers by their code; others is the number of all other frames.
func countByCode(all []standin.Reply) (served, refused, failed, others int) {
	for _, reply := range all {
		switch {
		case reply.Type != frame.Answer || reply.Stream == 0:
			others++
		case reply.Code == frame.Served:
			served++
		case reply.Code == frame.Refused:
			refused++
		default:
			failed++
		}
	}
	return
}

// frameConnCount returns the number of callers' connections of the frame front end.
func (r *testServer) frameConnCount() int {
	n := 0
	for h := range r.conns {
		if _, ok := h.(*frameConn); ok {
			n++
		}
	}
	return n
}

// After a malformed frame nothing more is read from a connection, but the
// requests before it are answered. The failure: the connection is closed at once
// and the earlier answers are lost.
func TestMalformedFrameKeepsEarlierAnswers(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(100*time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	for what, malformed := range map[string][]byte{
		"unknown type":    frame.AppendHeader(nil, 99, 9, 0),
		"too long":        {0xff, 0xff, 0xff, 0xff},
		"request on 0":    frame.AppendRequest(nil, 0, standin.Fields("look", "red", "", 1, time.Second), nil),
		"malformed check": append(frame.AppendHeader(nil, frame.HealthCheck, 9, 1), 9),
	} {
		caller := standin.Dial(t, srv.framesAddr)
		for i := range uint32(3) {
			caller.Send(i+1, standin.Fields("look", "red", "", uint64(len(what))<<8+uint64(i), 3*time.Second), "b")
		}
		caller.Write(malformed)
		caller.Send(10, standin.Fields("look", "red", "", uint64(len(what))<<8+10, 3*time.Second), "after")
		if served, _, _, others := countByCode(readAll(caller)); served != 3 || others != 1 {
			t.Errorf("%s: %d of 3 served, %d other frames, want 1 error on stream 0", what, served, others)
		}
	}
	if n := engine.Runs()["after"]; n > 0 {
		t.Errorf("the request after a malformed frame ran %d times, want 0", n)
	}
}

// A caller that shuts its write side after its last request still reads. The
// failure: the end of its input is taken for a disconnect and the answers are dropped.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(100*time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	for i := range uint32(5) {
		caller.Send(i+1, standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
	}
	if err := caller.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if served, _, _, _ := countByCode(readAll(caller)); served != 5 {
		t.Errorf("%d of 5 served", served)
	}
	srv.eventually(t, "connection slot released", func() bool { return srv.frameConnCount() == 0 && len(srv.slots) == len(srv.listeners) })
}

// A caller that closes its connection with requests open is detected as
// disconnected long before their runs end. The failure: the close is taken for a
// half-close and the connection slot stays in use until then.
func TestClosedCallerIsDetected(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(5*time.Second))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
	srv.eventually(t, "request running", func() bool { return srv.link.Running() == 1 })
	caller.Conn.Close()
	began := time.Now()
	srv.eventually(t, "disconnect detected", func() bool { return srv.core.Counts().Disconnected == 1 && srv.frameConnCount() == 0 })
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("detected after %v, want 2 s at most", took)
	}
}

// A request that arrives just as its connection is closed as idle is read and
// answered first. The failure: it lies unread in the socket when the close begins.
func TestRequestRacesIdleClose(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
	if got, _ := caller.Next(); got.Code != frame.Served {
		t.Fatalf("unexpected answer: %+v", got)
	}
	serverConn := srv.onlyFrameConn(t)
	srv.onLoopWait(func() { // the loop is blocked and reads nothing meanwhile
		serverConn.sendGoAway()
		serverConn.flush()
		caller.Send(2, standin.Fields("look", "red", "", 2, 3*time.Second), "b")
		for !hasUnread(serverConn.conn) {
			time.Sleep(time.Millisecond)
		}
		serverConn.goAwayAt, serverConn.lastUsedAt = now()-2*goAwayLingerUS, now()-2*goAwayLingerUS
		srv.nextReapAt = 0
		srv.reapIdle(now())
	})
	if served, _, _, _ := countByCode(readAll(caller)); served != 1 {
		t.Errorf("%d of 1 served", served)
	}
}

// A request that arrives after the server has shut its write side does not run:
// it can't be answered, and its caller, which was told, sends it elsewhere. The
// failure: it runs, or unread input turns the close into a reset that loses the
// answers sent before.
func TestRequestRacesWriteShutdown(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	conn, err := net.Dial("tcp", srv.framesAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	serverConn := srv.onlyFrameConn(t)
	conn.Write(frame.AppendRequest(nil, 1, standin.Fields("look", "red", "", 1, 3*time.Second), []byte("first"))) //nolint:errcheck // seen below
	srv.eventually(t, "request answered", func() bool {
		return serverConn.answered && len(serverConn.openRequests) == 0 && serverConn.unsent() == 0
	})
	srv.onLoopWait(func() {
		serverConn.goAwaySent, serverConn.goAwayAt, serverConn.lastUsedAt = true, now()-2*goAwayLingerUS, now()-2*goAwayLingerUS
		srv.nextReapAt = 0
		srv.reapIdle(now())
		conn.Write(frame.AppendRequest(nil, 2, standin.Fields("look", "red", "", 2, 3*time.Second), []byte("crosses"))) //nolint:errcheck // it races with the close
		for i := 0; i < 100 && serverConn.conn != nil && !serverConn.disconnected && !hasUnread(serverConn.conn); i++ {
			time.Sleep(time.Millisecond)
		}
	})
	conn.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a TCP connection takes it
	got, err := io.ReadAll(conn)
	if err != nil || !strings.Contains(string(got), "did first") {
		t.Errorf("read %q, %v: the answer sent before the close is lost", got, err)
	}
	if n := engine.Runs()["crosses"]; n > 0 {
		t.Errorf("a request that can't be answered ran %d times, want 0", n)
	}
}

// A caller that resets its connection is disconnected at once. The failure: the
// reset is taken for a half-close, and the connection is kept until the run ends.
func TestResetIsNoHalfClose(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(2*time.Second))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
	srv.eventually(t, "request running", func() bool { return srv.link.Running() == 1 })
	if err := caller.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := caller.Conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	srv.eventually(t, "disconnect detected", func() bool { return srv.core.Counts().Disconnected == 1 && srv.frameConnCount() == 0 })
}

// Thousands of health checks, cancels, requests of unknown classes, new
// connections and partial frames delay another caller little, and the memory that
// they take is bounded.
func TestFloodsDoNotStarveCallers(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
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
		c, err := net.Dial("tcp", srv.framesAddr)
		if err != nil {
			t.Fatal(err)
		}
		go io.Copy(io.Discard, c) //nolint:errcheck // it reads to the end
		t.Cleanup(func() { c.Close() })
		return c
	}
	deepCheck := func(i uint32) []byte {
		return append(frame.AppendHeader(nil, frame.HealthCheck, i, 1+3+4+1), "\x01\x04real\x00\x011"...)
	}
	checks, cancels, unknown := dial(), dial(), dial()
	flood(func(i uint32) { checks.Write(deepCheck(i)) })                                 //nolint:errcheck // a flood
	flood(func(i uint32) { cancels.Write(frame.AppendHeader(nil, frame.Cancel, i, 0)) }) //nolint:errcheck // a flood
	flood(func(i uint32) {
		unknown.Write(frame.AppendRequest(nil, i, standin.Fields("none", "red", "", 1<<40+uint64(i), time.Second), nil))
	}) //nolint:errcheck // a flood
	flood(func(i uint32) {
		if c, err := net.Dial("tcp", srv.framesAddr); err == nil {
			c.Write([]byte{0, 0, 1, 0, 65}[:1+i%5]) //nolint:errcheck // a flood
			c.Close()
		}
	})
	caller := standin.Dial(t, srv.framesAddr)
	slowest := time.Duration(0)
	for i := range uint32(100) {
		began := time.Now()
		caller.Send(i+1, standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
		if got, ok := caller.Next(); !ok || got.Code != frame.Served {
			t.Fatalf("request %d: got %+v, want served", i, got)
		}
		slowest = max(slowest, time.Since(began))
	}
	close(stop)
	floods.Wait()
	if slowest > 2*time.Second {
		t.Errorf("the slowest of 100 requests took %v, want 2 s at most", slowest)
	}
	srv.onLoopWait(func() {
		if len(srv.pendingChecks) > maxPendingChecks || srv.partialBytes > srv.cfg.Limits.MemoryMB<<20/partialMemoryDivisor {
			t.Errorf("%d pending health checks, %d bytes of partial frames", len(srv.pendingChecks), srv.partialBytes)
		}
	})
}

// A connection whose caller has stopped reading is closed after a timeout. The
// failure: the close waits for ever until the unsent answers are taken.
func TestCloseOfNonReadingCaller(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	cfg := platformConfig(t, engine.Address, "")
	for i := range cfg.Policy.Classes {
		cfg.Policy.Classes[i].Timeout = 200_000
	}
	srv := launch(t, cfg)
	result := make([]byte, frame.MaxResult)
	for _, cause := range []string{"malformed frame", "half-closed by the caller", "idle"} {
		conn, err := net.Dial("tcp", srv.framesAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close() // it never reads
		serverConn := srv.onlyFrameConn(t)
		srv.onLoopWait(func() {
			for serverConn.unsent() == 0 && !serverConn.disconnected {
				serverConn.queueAnswer(frame.Answer, 0, frame.Failed, nil, result)
				serverConn.flush()
			}
			if cause == "idle" {
				serverConn.closeGracefully(now())
			}
		})
		switch cause {
		case "malformed frame":
			conn.Write(frame.AppendHeader(nil, 99, 0, 0)) //nolint:errcheck // seen below
		case "half-closed by the caller":
			conn.(*net.TCPConn).CloseWrite() //nolint:errcheck // seen below
		}
		srv.eventually(t, cause+": connection closed", func() bool { return serverConn.disconnected && srv.frameConnCount() == 0 })
	}
}

// Bytes that follow a uwsgi request are still unread when its answer is sent. The
// failure: a close with unread input is a reset, and the caller loses the answer.
func TestTrailingBytesAfterUWSGIRequest(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(2*time.Second))
	srv := start(t, engine.Address, "", "[uwsgi]\nlisten = \"127.0.0.1:0\"\n")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	conn, err := net.Dial("tcp", srv.uwsgiAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(standin.UWSGIRequest(t, standin.UWSGIVars("look", "red", "", 3*time.Second), "b")) //nolint:errcheck // seen below
	srv.eventually(t, "request running", func() bool { return srv.link.Running() == 1 })
	srv.onLoopWait(func() {
		for h := range srv.conns {
			candidate, ok := h.(*uwsgiConn)
			if !ok {
				continue
			}
			conn.Write([]byte("more")) //nolint:errcheck // seen in the next line
			for !hasUnread(candidate.conn) {
				time.Sleep(time.Millisecond)
			}
			candidate.Answer(1, core.Answer{Code: core.Served, Result: []byte("the answer")})
			candidate.flush()
		}
	})
	conn.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a TCP connection takes it
	if got, err := io.ReadAll(conn); err != nil || !strings.HasSuffix(string(got), "the answer") {
		t.Errorf("read %q, %v, want the whole answer", got, err)
	}
}
