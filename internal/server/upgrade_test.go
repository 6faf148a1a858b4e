package server

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"kiteslip"
	"kiteslip/internal/config"
	"kiteslip/internal/core"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// sharedListener is the clients' listening socket, as the platform holds it.
type sharedListener struct {
	*net.TCPListener
	folder string
}

// newSharedListener prepares what the processes of one server share: the folder and the socket.
func newSharedListener(t *testing.T) sharedListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return sharedListener{l.(*net.TCPListener), t.TempDir()}
}

// processConfig configures one process of the server, with an engine's address of its own.
func (s sharedListener) processConfig(t *testing.T, engine, more string) *config.Config {
	t.Helper()
	cfg := platformConfig(t, engine, "")
	cfg.HandoverDir = s.folder
	if more != "" {
		var err error
		if cfg, err = config.ParseOperator(more, cfg); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := s.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err = raw.Control(func(fd uintptr) { cfg.InheritedFD, err = unix.Dup(int(fd)) }); err != nil {
		t.Fatal(err)
	}
	return cfg
}

// waitReady waits until the process takes clients, as the platform does.
func (r *testServer) waitReady(t *testing.T) {
	t.Helper()
	for began := time.Now(); r.adminCall(t, "ready") != "done ready\n"; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 6*time.Second {
			t.Fatal("not ready within 6 s")
		}
	}
}

// dialUntilMine connects until a connection is one of r's.
func (r *testServer) dialUntilMine(t *testing.T) *standin.Caller {
	t.Helper()
	for range 200 {
		c := standin.Dial(t, r.framesAddr)
		for range 50 {
			mine := false
			r.onLoopWait(func() {
				for h := range r.conns {
					f, ok := h.(*frameConn)
					mine = mine || ok && !f.disconnected && f.conn.RemoteAddr().String() == c.Conn.LocalAddr().String()
				}
			})
			if mine {
				return c
			}
			time.Sleep(time.Millisecond)
		}
	}
	t.Fatal("no connection reaches this process")
	return nil
}

// The whole way: keys that the old process ran, runs and is asked for run once
// whichever process their tries come to; the old one answers all that it read
// and ends; callers are let in all along, on both fronts.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	at := newSharedListener(t)
	first := standin.NewEngine(t, work)
	old := launch(t, at.processConfig(t, first.Address, operatorTOML("")))
	old.waitReady(t)
	c := old.dialUntilMine(t)
	c.Send(1, standin.Fields("note", "red", "had", 1, 3*time.Second), "had")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Fatalf("%+v", got)
	}
	c.Send(2, standin.Fields("note", "red", "under", 2, 3*time.Second), "slow under")
	old.eventually(t, "a run", func() bool { return old.link.Running() == 1 })

	second := standin.NewEngine(t, work)
	next := at.processConfig(t, second.Address, operatorTOML(""))
	next.UWSGI.Listen = old.uwsgiAddr // the same address: it is passed on
	young := launch(t, next)
	young.waitReady(t)
	if got := young.uwsgiAddr; got != old.uwsgiAddr {
		t.Errorf("the uwsgi front is at %s, not at %s", got, old.uwsgiAddr)
	}
	d := young.dialUntilMine(t)
	d.Send(1, standin.Fields("note", "red", "had", 3, 3*time.Second), "had")
	d.Send(2, standin.Fields("note", "red", "under", 4, 3*time.Second), "slow under")
	for range 2 {
		if got, _ := d.Next(); got.Code != frame.Served {
			t.Errorf("a key of the old process: %+v", got)
		}
	}
	c.Next()
	d.Send(3, standin.Fields("note", "red", "young", 5, 3*time.Second), "slow young")
	young.eventually(t, "a run", func() bool { return young.link.Running() == 1 })
	c.Send(3, standin.Fields("note", "red", "young", 6, 3*time.Second), "slow young")
	c.Send(4, standin.Fields("note", "red", "asked", 7, 3*time.Second), "asked")
	c.Send(5, standin.Fields("look", "red", "", 8, 3*time.Second), "slow look")
	for range 3 {
		if got, _ := c.Next(); got.Code != frame.Served {
			t.Errorf("at the old process: %+v", got)
		}
	}

	old.signals <- syscall.SIGTERM
	if got, _ := c.Next(); got.Type != frame.GoAway {
		t.Errorf("want GOAWAY, got %+v", got)
	}
	old.eventually(t, "leaving", func() bool { return old.killAt != 0 })
	if got := old.adminCall(t, "ready"); got != "error stopping\n" {
		t.Errorf("the old process: %q", got)
	}
	c.Send(6, standin.Fields("note", "red", "crossed", 9, 3*time.Second), "crossed") // it crosses GOAWAY
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("a request that crossed GOAWAY: %+v", got)
	}
	c.Conn.Close()
	for i := range 30 { // each reaches the new process
		e := standin.Dial(t, old.framesAddr)
		e.Send(1, standin.Fields("look", "red", "", uint64(100+i), 3*time.Second), "look")
		got, _ := e.Next()
		if got.Type == frame.GoAway {
			got, _ = e.Next()
		}
		if got.Code != frame.Served {
			t.Fatalf("a caller during the upgrade: %+v", got)
		}
	}
	vars := standin.Vars("note", "red", "asked", 3*time.Second)
	if got := standin.Post(old.uwsgiAddr, standin.Packet(t, vars, "asked")); got.Status != 200 {
		t.Errorf("uwsgi: %+v", got)
	}
	select {
	case err := <-old.serveErr:
		if err != nil {
			t.Errorf("the old process ends with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the old process does not end")
	}
	old.signals = nil
	d.Send(4, standin.Fields("note", "red", "crossed", 11, 3*time.Second), "crossed")
	for range 2 {
		if got, _ := d.Next(); got.Code != frame.Served {
			t.Errorf("after the end of the old process: %+v", got)
		}
	}
	for _, engine := range []*standin.Engine{first, second} {
		for body, n := range engine.Runs() {
			if body != "look" && n != 1 {
				t.Errorf("%q ran %d times", body, n)
			}
		}
	}
	one, two := first.Runs(), second.Runs()
	for _, body := range []string{"had", "slow under", "slow young", "asked", "crossed"} {
		if one[body]+two[body] != 1 {
			t.Errorf("%q ran %d times at the old process and %d at the new one", body, one[body], two[body])
		}
	}
	young.eventually(t, "its places are its own again", func() bool { return young.upgrade.reservedSlots == 0 && young.upgrade.peer == nil })
}

// A third process can take the place of the second.
func TestUpgradeAgain(t *testing.T) {
	t.Parallel()
	at := newSharedListener(t)
	engine := standin.NewEngine(t, work)
	before := launch(t, at.processConfig(t, engine.Address, ""))
	before.waitReady(t)
	c := before.dialUntilMine(t)
	c.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "once")
	c.Next()
	c.Conn.Close()
	for i := range 2 {
		engine := standin.NewEngine(t, work)
		next := launch(t, at.processConfig(t, engine.Address, ""))
		next.waitReady(t)
		before.signals <- syscall.SIGTERM
		if err := <-before.serveErr; err != nil {
			t.Errorf("process %d ends with %v", i, err)
		}
		before.signals = nil
		d := next.dialUntilMine(t)
		d.Send(1, standin.Fields("note", "red", "key", uint64(10+i), 3*time.Second), "once")
		if got, _ := d.Next(); got.Code != frame.Served || engine.Runs()["once"] != 0 {
			t.Errorf("process %d: %+v, runs %v", i+1, got, engine.Runs())
		}
		d.Conn.Close()
		before = next
	}
}

// A process that starts while another drains gets its keys all the same.
func TestStartDuringDrain(t *testing.T) {
	t.Parallel()
	at := newSharedListener(t)
	engine := standin.NewEngine(t, work)
	old := launch(t, at.processConfig(t, engine.Address, ""))
	old.waitReady(t)
	c := old.dialUntilMine(t)
	c.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "once")
	c.Next()
	old.signals <- syscall.SIGTERM
	old.eventually(t, "the notice", func() bool { return old.killAt != 0 })
	next := standin.NewEngine(t, work)
	young := launch(t, at.processConfig(t, next.Address, ""))
	young.waitReady(t)
	if err := <-old.serveErr; err != nil {
		t.Errorf("the drain ends with %v", err)
	}
	old.signals = nil
	d := young.dialUntilMine(t)
	d.Send(1, standin.Fields("note", "red", "key", 2, 3*time.Second), "once")
	if got, _ := d.Next(); got.Code != frame.Served || next.Runs()["once"] != 0 {
		t.Errorf("the key of the one that drained: %+v, runs %v", got, next.Runs())
	}
	d.Send(2, standin.Fields("note", "red", "fresh", 3, 3*time.Second), "fresh")
	if got, _ := d.Next(); got.Code != frame.Served {
		t.Errorf("a fresh key: %+v", got)
	}
}

// A new process that dies before it is told to be alone leaves the server to
// the old one: what it may have started is in doubt and fails, all else is served.
func TestNewProcessDies(t *testing.T) {
	t.Parallel()
	at := newSharedListener(t)
	engine := standin.NewEngine(t, work)
	old := launch(t, at.processConfig(t, engine.Address, ""))
	old.waitReady(t)
	c := old.dialUntilMine(t)
	c.Send(1, standin.Fields("note", "red", "had", 1, 3*time.Second), "had")
	c.Next()
	young := launch(t, at.processConfig(t, "127.0.0.1:1", "")) // its engine never answers, so it takes no clients
	old.eventually(t, "the keys are handed over", func() bool { return old.upgrade.keysHandedOver })
	young.eventually(t, "the keys are owned", young.core.OwnsKeys)
	young.onLoopWait(func() { // its death, as the system makes it
		young.upgrade.endpoint.Unlock() //nolint:errcheck // as above
		closeNow(young.upgrade.peer.conn)
	})
	old.eventually(t, "the keys are back", func() bool { return old.core.OwnsKeys() && !old.upgrade.keysHandedOver })
	c.Send(2, standin.Fields("note", "red", "had", 2, 3*time.Second), "had")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("a known key: %+v", got)
	}
	c.Send(3, standin.Fields("note", "red", "other", 3, 3*time.Second), "other")
	if got, _ := c.Next(); got.Code != frame.Failed {
		t.Errorf("a key in doubt: %+v", got)
	}
	c.Send(4, standin.Fields("look", "red", "", 4, 3*time.Second), "look")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("a read: %+v", got)
	}
	if n := engine.Runs()["other"] + engine.Runs()["had"]; n != 1 {
		t.Errorf("%d runs of keys", n)
	}
	third := launch(t, at.processConfig(t, standin.NewEngine(t, work).Address, "")) // finds the old one, whose name the dead one took
	third.waitReady(t)
	third.onLoopWait(func() {
		if !third.core.OwnsKeys() || third.core.ReleaseKeys(nil) == 0 {
			t.Error("the keys, or the doubt about some, do not pass on")
		}
	})
}

// An old process that comes back to itself hands its keys over after all.
func TestOldProcessRecovers(t *testing.T) {
	t.Parallel()
	at := newSharedListener(t)
	engine := standin.NewEngine(t, work)
	old := launch(t, at.processConfig(t, engine.Address, ""))
	old.waitReady(t)
	c := old.dialUntilMine(t)
	c.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "once")
	c.Next()
	old.onLoopWait(func() { old.upgrade.listener.Close() })
	stuck, err := old.upgrade.endpoint.Listen() // greets nobody
	if err != nil {
		t.Fatal(err)
	}
	young := launch(t, at.processConfig(t, standin.NewEngine(t, work).Address, ""))
	stuck.Close()
	old.onLoopWait(old.awaitSuccessor)
	young.eventually(t, "the keys are owned", young.core.OwnsKeys)
	young.waitReady(t)
	d := young.dialUntilMine(t)
	d.Send(1, standin.Fields("note", "red", "key", 2, 3*time.Second), "once")
	if got, _ := d.Next(); got.Code != frame.Served {
		t.Errorf("a key of the old process: %+v", got)
	}
}

// An old process that is stuck holds the new one up for some seconds only. The
// keys stay out of its hands until the other is dead and a window has passed.
func TestOldProcessStalls(t *testing.T) {
	t.Parallel()
	at := newSharedListener(t)
	engine := standin.NewEngine(t, work)
	old := launch(t, at.processConfig(t, engine.Address, ""))
	old.waitReady(t)
	old.onLoopWait(func() { old.upgrade.listener.Close() })
	stuck, err := old.upgrade.endpoint.Listen() // greets nobody
	if err != nil {
		t.Fatal(err)
	}
	defer stuck.Close()
	young := launch(t, at.processConfig(t, engine.Address, ""))
	young.waitReady(t)
	c := young.dialUntilMine(t)
	c.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "key")
	if got, _ := c.Next(); got.Code != frame.Failed {
		t.Errorf("a key that the old process owns: %+v", got)
	}
	c.Send(2, standin.Fields("look", "red", "", 2, 3*time.Second), "look")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("a read: %+v", got)
	}
	old.onLoopWait(func() { old.upgrade.endpoint.Unlock() }) //nolint:errcheck // its death
	young.eventually(t, "the keys are owned", young.core.OwnsKeys)
	if engine.Runs()["key"] != 0 {
		t.Error("a key in doubt ran")
	}
}

// What other connections at the meeting place say ends them and nothing else.
func TestUnknownPeersAtHandoverEndpoint(t *testing.T) {
	t.Parallel()
	at := newSharedListener(t)
	engine := standin.NewEngine(t, work)
	old := launch(t, at.processConfig(t, engine.Address, ""))
	old.waitReady(t)
	for _, bytes := range []string{"\xff\xff\xff\xff", strings.Repeat("\x00", 99), "\x00\x00\x00\x2b\x03" + strings.Repeat("\x00", 42)} {
		c := old.upgrade.endpoint.Dial()
		if c == nil {
			t.Fatal("nobody listens")
		}
		c.Write([]byte(bytes))                             //nolint:errcheck // the end shows
		c.SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // as above
		buf := make([]byte, 99)
		for n, err := 1, error(nil); err == nil; n, err = c.Read(buf) {
			_ = n
		}
		c.Close()
	}
	old.onLoopWait(func() {
		if !old.core.OwnsKeys() || old.upgrade.peer != nil || old.upgrade.waitingSuccessor != nil {
			t.Error("a stranger has taken the keys")
		}
	})
}

// A descriptor that is no listening socket is a plain error at the start.
func TestBadInheritedDescriptor(t *testing.T) {
	newSharedListener(t)
	cfg := platformConfig(t, "127.0.0.1:1", "")
	cfg.InheritedFD = 1 << 19
	s, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Serve(Signals{}); err == nil || !strings.Contains(err.Error(), "descriptor 524288") {
		t.Errorf("Serve: %v", err)
	}
}

// A table of keys larger than what may wait unsent passes over whole, and what
// is said meanwhile comes after it.
func TestLargeTable(t *testing.T) {
	t.Parallel()
	at := newSharedListener(t)
	engine := standin.NewEngine(t, work)
	old := launch(t, at.processConfig(t, engine.Address, ""))
	old.waitReady(t)
	const keys = 2 * maxPeerUnsentBytes / frame.MaxResult
	old.onLoopWait(func() {
		result := make([]byte, frame.MaxResult)
		for i := range keys {
			old.core.ImportRecord(core.Record{Class: 2, Key: fmt.Sprint("key", i), Arrived: now(), WindowEnd: now() + 60_000_000, Finished: true,
				Outcome: kiteslip.OK, Result: result})
		}
	})
	young := launch(t, at.processConfig(t, standin.NewEngine(t, work).Address, ""))
	old.eventually(t, "the table is under way", func() bool { return old.upgrade.keysHandedOver })
	c := old.dialUntilMine(t)
	c.Send(1, standin.Fields("note", "red", "asked meanwhile", 1, 3*time.Second), "asked")
	if got, _ := c.Next(); got.Code != frame.Served {
		t.Errorf("a key that is asked for meanwhile: %+v", got)
	}
	young.waitReady(t)
	young.onLoopWait(func() {
		if _, n := young.core.Tracked(); n != keys+1 {
			t.Errorf("%d keys of %d have come", n, keys+1)
		}
	})
}
