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

// Links to the engine and the registry that break, go quiet or cannot be had: see
// docs/design/crossings.md.

// A process that cannot reach its registry at the start serves, and looks for it again.
func TestRegistryCannotBeReachedAtStart(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "[fe80::1]:9", "") // the system does not connect without a zone
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, time.Second), "b")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("%+v", got)
	}
}

// An engine whose links break as soon as they stand is not asked without a pause.
func TestEngineRedialIsRateLimited(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var links atomic.Int64
	twenty := make(chan time.Time, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			bufio.NewReader(c).ReadString('\n') //nolint:errcheck // the ATTACH
			c.Close()
			if links.Add(1) == 20 {
				twenty <- time.Now()
			}
		}
	}()
	began := time.Now()
	start(t, l.Addr().String(), "", "")
	if took := (<-twenty).Sub(began); took < 19*engineRedialIntervalUS*time.Microsecond/2 {
		t.Errorf("20 links in %v", took)
	}
}

// A link to the engine that goes quiet without a word, its bytes not taken any
// more, is given up and sought anew; requests are served again.
func TestSilentEngineLinkIsReplaced(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	quiet := make(chan struct{})
	go func() { // the first link is read up to its HELLO, and never again; the next ones are passed on
		for n := 0; ; n++ {
			near, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { near.Close() })
			if n == 0 {
				near.(*net.TCPConn).SetReadBuffer(1)           //nolint:errcheck // the smallest that there is
				bufio.NewReaderSize(near, 16).ReadString('\n') //nolint:errcheck // the ATTACH
				io.WriteString(near, "HELLO hot 60000\r\nSTATS fence 0 0 0 0\r\n")
				close(quiet)
				continue
			}
			far, err := net.Dial("tcp", engine.Address)
			if err != nil {
				return
			}
			t.Cleanup(func() { far.Close() })
			go io.Copy(far, near) //nolint:errcheck // until either ends
			go io.Copy(near, far) //nolint:errcheck // until either ends
		}
	}()
	cfg := platformConfig(t, l.Addr().String(), "")
	for i := range cfg.Policy.Classes {
		cfg.Policy.Classes[i].Timeout = 1_000_000
	}
	r := launch(t, cfg)
	<-quiet
	r.eventually(t, "the link", r.link.Ready)
	// Fills what the two systems hold for the link, so that nothing more is taken.
	filler := make([]byte, 1<<20)
	for i := range filler {
		filler[i] = ' '
	}
	r.onLoopWait(func() {
		for range 8 {
			r.engine.send(filler)
		}
		r.engine.flush()
	})
	first := r.engine
	r.eventually(t, "another link", func() bool { return r.engine != nil && r.engine != first && r.link.Ready() })
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("look", "red", "", 1, time.Second), "b")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("%+v", got)
	}
}

// The socket of the reports becomes of no use while the process serves: another
// one is opened, and the reports go on before the registry drops the server.
func TestRegistrySocketIsReopened(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	registry, reports := standin.NewRegistry(t)
	r := start(t, engine.Address, registry, "")
	<-reports
	r.onLoopWait(func() {
		if err := r.heartbeat.Close(); err != nil {
			t.Error(err)
		}
	})
	for len(reports) > 0 {
		<-reports
	}
	select {
	case got := <-reports:
		if got != "BEAT t ready" {
			t.Errorf("report %q", got)
		}
	case <-time.After(3 * time.Second): // then the registry drops the server
		t.Error("no report within 3 s")
	}
}
