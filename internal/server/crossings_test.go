package server

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/config"
	"kiteslip/internal/core"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// Two events that cross, in the order that does harm: docs/design/crossings.md
// lists them. The order is forced by holding the loop, a slot or a peer.

// rest takes the frames that still come until the end of the connection.
func rest(c *standin.Caller) (all []standin.Reply) {
	for got, ok := c.Next(); ok; got, ok = c.Next() {
		all = append(all, got)
	}
	return all
}

// count counts answers by their code, and how many other frames there are.
func count(all []standin.Reply) (served, refused, failed, others int) {
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

// callers is how many callers' connections there are.
func (r *running) callers() int {
	n := 0
	for h := range r.sessions {
		if _, ok := h.(*session); ok {
			n++
		}
	}
	return n
}

// alive runs f on the loop, unless the process has ended.
func (r *running) alive(f func()) bool {
	done := make(chan struct{})
	r.onLoop(func() { f(); close(done) })
	select {
	case <-done:
		return true
	case err := <-r.end:
		r.end <- err
		return false
	}
}

// A frame that cannot be told apart ends what is taken on a connection, and
// costs the requests before it nothing.
func TestFaultyFrameCostsNoOtherAnswer(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(100*time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	for what, bad := range map[string][]byte{
		"unknown type":    frame.AppendHead(nil, 99, 9, 0),
		"too long":        {0xff, 0xff, 0xff, 0xff},
		"request on 0":    frame.AppendRequest(nil, 0, standin.Fields("look", "red", "", 1, time.Second), nil),
		"malformed check": append(frame.AppendHead(nil, frame.Check, 9, 1), 9),
	} {
		c := standin.Dial(t, r.frames)
		for i := range uint32(3) {
			c.Send(i+1, standin.Fields("look", "red", "", uint64(len(what))<<8+uint64(i), 3*time.Second), "b")
		}
		c.Write(bad)
		c.Send(10, standin.Fields("look", "red", "", uint64(len(what))<<8+10, 3*time.Second), "after")
		if served, _, _, others := count(rest(c)); served != 3 || others != 1 {
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
	c := standin.Dial(t, r.frames)
	for i := range uint32(5) {
		c.Send(i+1, standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
	}
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if served, _, _, _ := count(rest(c)); served != 5 {
		t.Errorf("%d of 5 served", served)
	}
	r.eventually(t, "its place is free", func() bool { return r.callers() == 0 && len(r.slots) == len(r.listeners) })
}

// A caller that has closed, with requests open, is known to be gone long before
// these are over, with whatever it left unread.
func TestClosedCallerIsGone(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(5*time.Second))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.frames)
	c.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
	r.eventually(t, "it runs", func() bool { return r.link.Running() == 1 })
	c.Conn.Close()
	began := time.Now()
	r.eventually(t, "it is gone", func() bool { return r.core.Counts().Gone == 1 && r.callers() == 0 })
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("that took %v", took)
	}
}

// A request that arrives in the moment in which its connection is to be closed
// as idle is taken in and answered first.
func TestRequestCrossesTheCloseOfAnIdleConnection(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.frames)
	c.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Fatalf("%+v", got)
	}
	s := r.session(t)
	r.look(func() { // the loop reads nothing meanwhile
		s.goAway()
		s.flush()
		c.Send(2, standin.Fields("look", "red", "", 2, 3*time.Second), "b")
		for !unread(s.conn) {
			time.Sleep(time.Millisecond)
		}
		s.awayAt, s.usedAt = now()-2*awayLinger, now()-2*awayLinger
		r.reapAt = 0
		r.reapIdle(now())
	})
	if served, _, _, _ := count(rest(c)); served != 1 {
		t.Errorf("%d of 1 served", served)
	}
}

// A request that crosses the end of our side is not run: its caller, which was
// told, sends it again elsewhere. And nothing resets what was sent before.
func TestRequestCrossesTheEndOfOurSide(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	conn, err := net.Dial("tcp", r.frames)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	s := r.session(t)
	conn.Write(frame.AppendRequest(nil, 1, standin.Fields("look", "red", "", 1, 3*time.Second), []byte("first"))) //nolint:errcheck // seen below
	r.eventually(t, "it is answered", func() bool { return s.served && len(s.open) == 0 && s.unsent() == 0 })
	r.look(func() {
		s.away, s.awayAt, s.usedAt = true, now()-2*awayLinger, now()-2*awayLinger
		r.reapAt = 0
		r.reapIdle(now())
		conn.Write(frame.AppendRequest(nil, 2, standin.Fields("look", "red", "", 2, 3*time.Second), []byte("crosses"))) //nolint:errcheck // it crosses
		for i := 0; i < 100 && s.conn != nil && !s.gone && !unread(s.conn); i++ {
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

// What the system has accepted when the listeners close, and the process has
// not, is taken in and answered.
func TestDrainTakesInTheQueue(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(3*time.Second))
	cfg := platform(t, engine.Address, "")
	cfg.Module.DrainGrace = 0
	r := launch(t, cfg)
	r.eventually(t, "the engine's link", r.link.Ready)
	ask := func(name uint64) *standin.Caller {
		c := standin.Dial(t, r.frames)
		c.Send(1, standin.Fields("look", "red", "", name, 3*time.Second), "b")
		return c
	}
	held := 0
	for len(r.slots) < cap(r.slots) { // but for the place that is held for the next one
		r.slots <- struct{}{}
		held++
	}
	first := ask(1) // takes that place, and is in use until after the listeners close
	r.eventually(t, "it runs", func() bool { return r.link.Running() == 1 })
	second, third := ask(2), ask(3) // stand in the system's queue
	r.signals <- syscall.SIGTERM
	r.eventually(t, "the listeners are to close", r.stopping.Load)
	r.look(func() {
		if r.callers() != 1 {
			t.Errorf("%d callers are in, want 1", r.callers())
		}
	})
	for range held {
		<-r.slots
	}
	for what, c := range map[string]*standin.Caller{"first": first, "second": second, "third": third} {
		if _, refused, failed, _ := count(rest(c)); refused+failed != 1 {
			t.Errorf("%s: %d answers, want 1", what, refused+failed)
		}
	}
	r.signals = nil
	if err := <-r.end; err != nil {
		t.Error(err)
	}
}

// However short the time from the notice to the kill, all that was read is
// answered, and the answers arrive.
func TestShortStopAnswersAll(t *testing.T) {
	t.Parallel()
	for _, stop := range []int64{1_000, 40_000, 120_000, 400_000} {
		engine := standin.NewEngine(t, standin.Echo(3*time.Second))
		cfg := platform(t, engine.Address, "")
		cfg.Stop = stop
		r := launch(t, cfg)
		r.eventually(t, "the engine's link", r.link.Ready)
		c := standin.Dial(t, r.frames)
		c.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
		c.Send(2, standin.Fields("note", "red", "key", 2, 3*time.Second), "b")
		r.eventually(t, "both run", func() bool { return r.link.Running() == 2 })
		r.signals <- syscall.SIGTERM
		r.signals = nil
		if _, refused, failed, _ := count(rest(c)); refused+failed != 2 {
			t.Errorf("stop after %d us: %d of 2 answered", stop, refused+failed)
		}
		if err := <-r.end; err != nil {
			t.Errorf("stop after %d us: %v", stop, err)
		}
	}
}

// A process that cannot reach its registry at the start serves, and looks for it again.
func TestRegistryCannotBeReachedAtStart(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "[fe80::1]:9", "") // the system does not connect without a zone
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.frames)
	c.Send(1, standin.Fields("look", "red", "", 1, time.Second), "b")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("%+v", got)
	}
}

// An engine whose links break as soon as they stand is not asked without a pause.
func TestBreakingEngineLinkIsSoughtWithPauses(t *testing.T) {
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
	if took := (<-twenty).Sub(began); took < 19*redial*time.Microsecond/2 {
		t.Errorf("20 links in %v", took)
	}
}

// Two files and a notice to leave cross: the notice is not lost behind the files.
func TestNoticeIsNotLostBehindReloads(t *testing.T) {
	s := Notify()
	for range 20 {
		for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
			if err := syscall.Kill(syscall.Getpid(), sig); err != nil {
				t.Fatal(err)
			}
		}
	}
	began := time.Now()
	n := <-s.Stop // nobody has taken a SIGHUP
	if n.Signal != syscall.SIGTERM || n.At.After(began.Add(time.Second)) {
		t.Errorf("%+v", n)
	}
	<-s.Reload
}

// A file taken over while the process leaves lengthens neither its time nor its grace.
func TestReloadWhileLeaving(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	text := strings.Replace(platformText(engine.Address, ""), `"drain_grace_us": 2000000`, `"drain_grace_us": 0`, 1)
	parse := func(text string) *config.Config {
		cfg, err := config.Parse([]byte(text), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		return cfg
	}
	next := parse(strings.Replace(platformText(engine.Address, ""), `"stop_ms": 2000`, `"stop_ms": 9000`, 1))
	r := launchWith(t, parse(text), func(s *Server) { s.Reload = func() (*config.Config, error) { return next, nil } })
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.frames)
	c.Send(1, standin.Fields("look", "red", "", 1, time.Second), "before")
	c.Next()
	r.signals <- syscall.SIGTERM
	r.eventually(t, "it leaves", func() bool { return r.stopAt != 0 })
	r.signals <- syscall.SIGHUP
	r.eventually(t, "the file is taken", func() bool { return r.applied == 1 })
	c.Send(2, standin.Fields("look", "red", "", 2, time.Second), "after")
	for got, ok := c.Next(); ok; got, ok = c.Next() {
		if got.Stream == 2 && got.Code != frame.Refused {
			t.Errorf("a request after the grace: %+v", got)
		}
	}
	r.signals = nil
	select {
	case err := <-r.end:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the longer time of the new file is taken")
	}
	if n := engine.Runs()["after"]; n > 0 {
		t.Error("what came after the grace ran")
	}
}

// Descriptors of connections in all their states stay within what the limits
// grant, for small limits and large, and something is left for callers.
func TestPlacesAddUp(t *testing.T) {
	for _, sockets := range []int{32, 48, 64, 100, 256, 512, 1024, 65536} {
		for _, change := range []func(*config.Config){
			func(*config.Config) {},
			func(c *config.Config) { c.Ops = "" },
			func(c *config.Config) { c.Ledger = "127.0.0.1:7700" },
			func(c *config.Config) { c.Backends = []string{"127.0.0.1:1", "", ""} },
			func(c *config.Config) { c.InheritedFD = 3 },
		} {
			cfg := platform(t, "127.0.0.1:1", "")
			cfg.Limits.Sockets = sockets
			change(cfg)
			p := PlacesOf(cfg)
			sum := p.Own + p.Admin + p.Ledger + enterDescriptors*p.Backends + p.Descriptors
			if sockets >= 64 && sum > sockets || p.Callers < callersLeast || p.Callers > p.Descriptors {
				t.Errorf("%d sockets: %+v, %d in all", sockets, p, sum)
			}
			if sockets >= 256 && p.Callers < sockets/3 {
				t.Errorf("%d sockets leave %d to callers", sockets, p.Callers)
			}
		}
	}
}

// A caller that resets its connection is gone at once.
func TestResetIsNoHalfClose(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(2*time.Second))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.frames)
	c.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
	r.eventually(t, "it runs", func() bool { return r.link.Running() == 1 })
	if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := c.Conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	r.eventually(t, "it is gone", func() bool { return r.core.Counts().Gone == 1 && r.callers() == 0 })
}

// The notice to leave comes while the keys are on their way to the next process:
// this one stays until they have all gone out, or the next one is in doubt of them.
func TestNoticeWhileKeysAreHandedOver(t *testing.T) {
	t.Parallel()
	s := site(t)
	engines := [2]*standin.Engine{standin.NewEngine(t, standin.Echo(time.Millisecond)), standin.NewEngine(t, standin.Echo(time.Millisecond))}
	old := launch(t, s.process(t, engines[0].Address, ""))
	old.ready(t)
	young := launch(t, s.process(t, engines[1].Address, ""))
	young.ready(t)
	old.look(func() { old.handing.peer.handing, old.handing.peer.closing = true, true }) // as while the store is closed
	old.signals <- syscall.SIGTERM
	old.signals = nil
	for left, rounds := false, 0; rounds < 20; {
		if !old.alive(func() {
			if left = old.stopAt != 0; left {
				old.shutDown(now() + 10*lingerClose)
				rounds++
			}
		}) {
			t.Fatal("it ends with keys in its hands")
		}
	}
	old.look(func() { old.handing.peer.handing, old.handing.peer.closing = false, false })
	if err := <-old.end; err != nil {
		t.Error(err)
	}
}

// The notice comes before the listener stands, twice, and before the engine has
// said a word; the time to the kill counts from when it came.
func TestNoticeBeforeAnythingStands(t *testing.T) {
	t.Parallel()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes links, and never says HELLO
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	for _, early := range []bool{true, false} {
		s, err := New(platform(t, silent.Addr().String(), ""), zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		stop := make(chan Notice, 2)
		at := time.Now().Add(-500 * time.Millisecond)
		if early {
			stop <- Notice{syscall.SIGTERM, at}
			stop <- Notice{syscall.SIGTERM, time.Now()}
		}
		end := make(chan error, 1)
		go func() { end <- s.Serve(Signals{Stop: stop}) }()
		if !early {
			<-s.up
			c := standin.Dial(t, s.Addresses()[0])
			c.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "b")
			c.Send(2, standin.Fields("note", "red", "k", 2, 3*time.Second), "b")
			r := &running{Server: s}
			r.eventually(t, "both are read", func() bool { return s.core.Owed() == 2 })
			stop <- Notice{syscall.SIGTERM, at}
			if _, refused, failed, _ := count(rest(c)); refused+failed != 2 {
				t.Errorf("%d of 2 answered", refused+failed)
			}
		}
		if err := <-end; err != nil {
			t.Error(err)
		}
		if s.stopAt != at.UnixMicro()+s.cfg.Stop {
			t.Errorf("early %v: the kill is expected %d us after the notice, not %d", early, s.stopAt-at.UnixMicro(), s.cfg.Stop)
		}
	}
}

// Checks, cancels, requests of unknown classes, new connections and half frames
// by the thousand cost a working caller little, and what they take has a bound.
func TestFloodsBesideWork(t *testing.T) {
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
		c, err := net.Dial("tcp", r.frames)
		if err != nil {
			t.Fatal(err)
		}
		go io.Copy(io.Discard, c) //nolint:errcheck // it reads to the end
		t.Cleanup(func() { c.Close() })
		return c
	}
	deep := func(i uint32) []byte {
		return append(frame.AppendHead(nil, frame.Check, i, 1+3+4+1), "\x01\x04real\x00\x011"...)
	}
	checks, cancels, unknown := dial(), dial(), dial()
	flood(func(i uint32) { checks.Write(deep(i)) })                                    //nolint:errcheck // a flood
	flood(func(i uint32) { cancels.Write(frame.AppendHead(nil, frame.Cancel, i, 0)) }) //nolint:errcheck // a flood
	flood(func(i uint32) {
		unknown.Write(frame.AppendRequest(nil, i, standin.Fields("none", "red", "", 1<<40+uint64(i), time.Second), nil))
	}) //nolint:errcheck // a flood
	flood(func(i uint32) {
		if c, err := net.Dial("tcp", r.frames); err == nil {
			c.Write([]byte{0, 0, 1, 0, 65}[:1+i%5]) //nolint:errcheck // a flood
			c.Close()
		}
	})
	c := standin.Dial(t, r.frames)
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
	r.look(func() {
		if len(r.checks) > checksMost || r.buffered > r.cfg.Limits.MemoryMB<<20/heldDivisor {
			t.Errorf("%d checks wait, %d bytes are held", len(r.checks), r.buffered)
		}
	})
}

// A link to the engine that goes quiet without a word, its bytes not taken any
// more, is given up and sought anew; requests are served again.
func TestEngineLinkGoesQuiet(t *testing.T) {
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
	cfg := platform(t, l.Addr().String(), "")
	for i := range cfg.Module.Classes {
		cfg.Module.Classes[i].Limit = 1_000_000
	}
	r := launch(t, cfg)
	<-quiet
	r.eventually(t, "the link", r.link.Ready)
	// Fills what the two systems hold for the link, so that nothing more is taken.
	filler := make([]byte, 1<<20)
	for i := range filler {
		filler[i] = ' '
	}
	r.look(func() {
		for range 8 {
			r.engine.send(filler)
		}
		r.engine.flush()
	})
	first := r.engine
	r.eventually(t, "another link", func() bool { return r.engine != nil && r.engine != first && r.link.Ready() })
	c := standin.Dial(t, r.frames)
	c.Send(1, standin.Fields("look", "red", "", 1, time.Second), "b")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("%+v", got)
	}
}

// The socket of the reports becomes of no use while the process serves: another
// one is opened, and the reports go on before the registry drops the server.
func TestReportsOutliveTheirSocket(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	registry, reports := standin.NewRegistry(t)
	r := start(t, engine.Address, registry, "")
	<-reports
	r.look(func() {
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

// A connection that is to end while its caller takes nothing more ends all the
// same: what is owed on it has a time to go out.
func TestEndOfACallerThatTakesNothing(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	cfg := platform(t, engine.Address, "")
	for i := range cfg.Module.Classes {
		cfg.Module.Classes[i].Limit = 200_000
	}
	r := launch(t, cfg)
	result := make([]byte, frame.MaxResult)
	for _, how := range []string{"a bad frame", "its side ended", "idle"} {
		conn, err := net.Dial("tcp", r.frames)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close() // it never reads
		s := r.session(t)
		r.look(func() {
			for s.unsent() == 0 && !s.gone {
				s.put(frame.Answer, 0, frame.Failed, nil, result)
				s.flush()
			}
			if how == "idle" {
				s.part(now())
			}
		})
		switch how {
		case "a bad frame":
			conn.Write(frame.AppendHead(nil, 99, 0, 0)) //nolint:errcheck // seen below
		case "its side ended":
			conn.(*net.TCPConn).CloseWrite() //nolint:errcheck // seen below
		}
		r.eventually(t, how+": it ends", func() bool { return s.gone && r.callers() == 0 })
	}
}

// The notice comes while a file is being read that does not come to its end: the
// drain begins and ends without it.
func TestNoticeWhileAFileIsRead(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	reading, held := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(held) })
	r := launchWith(t, platform(t, engine.Address, ""), func(s *Server) {
		s.Reload = func() (*config.Config, error) {
			close(reading)
			<-held
			return nil, errors.New("it never came")
		}
	})
	r.signals <- syscall.SIGHUP
	<-reading
	r.signals <- syscall.SIGTERM
	r.signals = nil
	select {
	case err := <-r.end:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the notice waits for the file")
	}
}

// failing is a listener whose accepts fail at once, as without descriptors, a few times.
type failing struct {
	net.Listener
	left int
}

func (l *failing) Accept() (net.Conn, error) {
	if l.left--; l.left < 0 {
		return nil, net.ErrClosed
	}
	return nil, syscall.EMFILE
}

func (l *failing) Close() error { return nil }

// Accepts that fail at once are not repeated without a pause, and keep no place.
func TestFailingAcceptsHavePauses(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	const tries = 20
	slots := make(chan struct{}, 1)
	began := time.Now()
	r.accept(front{Listener: &failing{left: tries}, slots: slots, admin: true})
	if took := time.Since(began); took < tries*noRoom || len(slots) > 0 {
		t.Errorf("%d tries in %v, %d places held", tries, took, len(slots))
	}
}

// Bytes behind a uwsgi request wait unread when its answer goes out: the answer
// arrives, and the end of the connection after it, not a reset.
func TestBytesBehindAWebRequest(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(2*time.Second))
	r := start(t, engine.Address, "", "[uwsgi]\nlisten = \"127.0.0.1:0\"\n")
	r.eventually(t, "the engine's link", r.link.Ready)
	conn, err := net.Dial("tcp", r.web)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(standin.Packet(t, standin.Vars("look", "red", "", 3*time.Second), "b")) //nolint:errcheck // seen below
	r.eventually(t, "it runs", func() bool { return r.link.Running() == 1 })
	r.look(func() {
		for h := range r.sessions {
			f, ok := h.(*webSession)
			if !ok {
				continue
			}
			conn.Write([]byte("more")) //nolint:errcheck // seen in the next line
			for !unread(f.conn) {
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
