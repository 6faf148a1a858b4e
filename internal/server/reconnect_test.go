package server

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// Links to the engine and the registry that break, are silent or can't be opened:
// see docs/design/crossings.md.

// A server that can't connect to its registry at the start serves requests all the same.
func TestRegistryCannotBeReachedAtStart(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "[fe80::1]:9", "") // the system does not connect without a zone
	r.eventually(t, "engine link ready", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, time.Second), "b")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("unexpected answer: %+v", got)
	}
}

// Redials of an engine that closes each link at once are spaced by an interval. The
// failure: the server redials in a busy loop.
func TestEngineRedialIsRateLimited(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	var links atomic.Int64
	twentieth := make(chan time.Time, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			bufio.NewReader(conn).ReadString('\n') //nolint:errcheck // the ATTACH
			conn.Close()
			if links.Add(1) == 20 {
				twentieth <- time.Now()
			}
		}
	}()
	began := time.Now()
	start(t, listener.Addr().String(), "", "")
	if took := (<-twentieth).Sub(began); took < 19*engineRedialIntervalUS*time.Microsecond/2 {
		t.Errorf("20 links within %v, want a pause between them", took)
	}
}

// An engine link whose peer falls silent and reads nothing more, without closing, is
// replaced, and requests are served again. The failure: the server waits on the
// dead link for ever.
func TestSilentEngineLinkIsReplaced(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	silenced := make(chan struct{})
	go func() { // reads only the ATTACH of the first link; the next ones are forwarded
		for accepted := 0; ; accepted++ {
			serverSide, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { serverSide.Close() })
			if accepted == 0 {
				serverSide.(*net.TCPConn).SetReadBuffer(1)           //nolint:errcheck // the smallest possible
				bufio.NewReaderSize(serverSide, 16).ReadString('\n') //nolint:errcheck // the ATTACH
				io.WriteString(serverSide, "HELLO hot 60000\r\nSTATS fence 0 0 0 0\r\n")
				close(silenced)
				continue
			}
			engineSide, err := net.Dial("tcp", engine.Address)
			if err != nil {
				return
			}
			t.Cleanup(func() { engineSide.Close() })
			go io.Copy(engineSide, serverSide) //nolint:errcheck // until either ends
			go io.Copy(serverSide, engineSide) //nolint:errcheck // until either ends
		}
	}()
	cfg := platformConfig(t, listener.Addr().String(), "")
	for i := range cfg.Policy.Classes {
		cfg.Policy.Classes[i].Timeout = 1_000_000
	}
	srv := launch(t, cfg)
	<-silenced
	srv.eventually(t, "engine link ready", srv.link.Ready)
	// Fills the socket buffers of the link, so that nothing more can be sent.
	filler := make([]byte, 1<<20)
	for i := range filler {
		filler[i] = ' '
	}
	srv.onLoopWait(func() {
		for range 8 {
			srv.engine.send(filler)
		}
		srv.engine.flush()
	})
	first := srv.engine
	srv.eventually(t, "engine link replaced", func() bool { return srv.engine != nil && srv.engine != first && srv.link.Ready() })
	c := standin.Dial(t, srv.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, time.Second), "b")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("unexpected answer: %+v", got)
	}
}

// When the socket of the registry reports becomes unusable while the server runs,
// another is opened, and reports resume before the registry drops the server.
func TestRegistrySocketIsReopened(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	registry, reports := standin.NewRegistry(t)
	srv := start(t, engine.Address, registry, "")
	<-reports
	srv.onLoopWait(func() {
		if err := srv.heartbeat.Close(); err != nil {
			t.Error(err)
		}
	})
	for len(reports) > 0 {
		<-reports
	}
	select {
	case got := <-reports:
		if got != "BEAT t ready" {
			t.Errorf("report: got %q", got)
		}
	case <-time.After(3 * time.Second): // then the registry drops the server
		t.Error("no report within 3 s")
	}
}
