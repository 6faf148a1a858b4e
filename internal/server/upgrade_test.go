package server

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
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

// sharedListener is the callers' listening socket that the platform passes to each
// process, with the handover folder.
type sharedListener struct {
	*net.TCPListener
	folder string
}

// newSharedListener creates the socket and the folder that the processes of one server share.
func newSharedListener(t *testing.T) sharedListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return sharedListener{l.(*net.TCPListener), t.TempDir()}
}

// processConfig returns the configuration of one process with the given engine address
// and, if operator is not empty, that operator's file.
func (s sharedListener) processConfig(t *testing.T, engine, operator string) *config.Config {
	t.Helper()
	cfg := platformConfig(t, engine, "")
	cfg.HandoverDir = s.folder
	if operator != "" {
		var err error
		if cfg, err = config.ParseOperator(operator, cfg); err != nil {
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

// waitReady waits until the process accepts callers, as the platform does.
func (r *testServer) waitReady(t *testing.T) {
	t.Helper()
	for began := time.Now(); r.adminCall(t, "ready") != "done ready\n"; time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 6*time.Second {
			t.Fatal("not ready within 6 s")
		}
	}
}

// dialUntilMine opens connections until r, and not the other process, accepts one, and
// returns its caller.
func (r *testServer) dialUntilMine(t *testing.T) *standin.Caller {
	t.Helper()
	for range 200 {
		caller := standin.Dial(t, r.framesAddr)
		for range 50 {
			mine := false
			r.onLoopWait(func() {
				for h := range r.conns {
					candidate, ok := h.(*frameConn)
					mine = mine || ok && !candidate.disconnected && candidate.conn.RemoteAddr().String() == caller.Conn.LocalAddr().String()
				}
			})
			if mine {
				return caller
			}
			time.Sleep(time.Millisecond)
		}
	}
	t.Fatal("no connection of 200 reached this process")
	return nil
}

// A complete upgrade: keys that the old process has run, is running or is asked for
// run once, whichever process gets their tries; the old process answers all that it
// has read and ends; callers are accepted throughout, on both front ends.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	predecessorEngine := standin.NewEngine(t, workByBody)
	predecessor := launch(t, shared.processConfig(t, predecessorEngine.Address, operatorTOML("")))
	predecessor.waitReady(t)
	caller := predecessor.dialUntilMine(t)
	caller.Send(1, standin.Fields("note", "red", "had", 1, 3*time.Second), "had")
	if got, _ := caller.Next(); got.Code != frame.Served {
		t.Fatalf("unexpected answer: %+v", got)
	}
	caller.Send(2, standin.Fields("note", "red", "under", 2, 3*time.Second), "slow under")
	predecessor.eventually(t, "request running", func() bool { return predecessor.link.Running() == 1 })

	successorEngine := standin.NewEngine(t, workByBody)
	successorConfig := shared.processConfig(t, successorEngine.Address, operatorTOML(""))
	successorConfig.UWSGI.Listen = predecessor.uwsgiAddr // the same address: the listener is handed over
	successor := launch(t, successorConfig)
	successor.waitReady(t)
	if got := successor.uwsgiAddr; got != predecessor.uwsgiAddr {
		t.Errorf("uwsgi address: got %s, want %s", got, predecessor.uwsgiAddr)
	}
	newCaller := successor.dialUntilMine(t)
	newCaller.Send(1, standin.Fields("note", "red", "had", 3, 3*time.Second), "had")
	newCaller.Send(2, standin.Fields("note", "red", "under", 4, 3*time.Second), "slow under")
	for range 2 {
		if got, _ := newCaller.Next(); got.Code != frame.Served {
			t.Errorf("key of the old process: got %+v, want served", got)
		}
	}
	caller.Next()
	newCaller.Send(3, standin.Fields("note", "red", "young", 5, 3*time.Second), "slow young")
	successor.eventually(t, "request running", func() bool { return successor.link.Running() == 1 })
	caller.Send(3, standin.Fields("note", "red", "young", 6, 3*time.Second), "slow young")
	caller.Send(4, standin.Fields("note", "red", "asked", 7, 3*time.Second), "asked")
	caller.Send(5, standin.Fields("look", "red", "", 8, 3*time.Second), "slow look")
	for range 3 {
		if got, _ := caller.Next(); got.Code != frame.Served {
			t.Errorf("at the old process: got %+v, want served", got)
		}
	}

	predecessor.signals <- syscall.SIGTERM
	if got, _ := caller.Next(); got.Type != frame.GoAway {
		t.Errorf("got %+v, want GOAWAY", got)
	}
	predecessor.eventually(t, "shutdown notice received", func() bool { return predecessor.killAt != 0 })
	if got := predecessor.adminCall(t, "ready"); got != "error stopping\n" {
		t.Errorf("ready at the old process: got %q", got)
	}
	caller.Send(6, standin.Fields("note", "red", "crossed", 9, 3*time.Second), "crossed") // as if sent before GOAWAY was read
	if got, _ := caller.Next(); got.Code != frame.Served {
		t.Errorf("request that races with GOAWAY: got %+v, want served", got)
	}
	caller.Conn.Close()
	for i := range 30 { // each reaches the new process
		lateCaller := standin.Dial(t, predecessor.framesAddr)
		lateCaller.Send(1, standin.Fields("look", "red", "", uint64(100+i), 3*time.Second), "look")
		got, _ := lateCaller.Next()
		if got.Type == frame.GoAway {
			got, _ = lateCaller.Next()
		}
		if got.Code != frame.Served {
			t.Fatalf("caller during the upgrade: got %+v, want served", got)
		}
	}
	vars := standin.UWSGIVars("note", "red", "asked", 3*time.Second)
	if got := standin.UWSGIExchange(predecessor.uwsgiAddr, standin.UWSGIRequest(t, vars, "asked")); got.Status != 200 {
		t.Errorf("uwsgi: got %+v, want status 200", got)
	}
	select {
	case err := <-predecessor.serveErr:
		if err != nil {
			t.Errorf("drain of the old process: %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the old process did not end within 5 s")
	}
	predecessor.signals = nil
	newCaller.Send(4, standin.Fields("note", "red", "crossed", 11, 3*time.Second), "crossed")
	for range 2 {
		if got, _ := newCaller.Next(); got.Code != frame.Served {
			t.Errorf("after the end of the old process: got %+v, want served", got)
		}
	}
	for _, engine := range []*standin.Engine{predecessorEngine, successorEngine} {
		for body, n := range engine.Runs() {
			if body != "look" && n != 1 {
				t.Errorf("%q ran %d times, want 1", body, n)
			}
		}
	}
	predecessorRuns, successorRuns := predecessorEngine.Runs(), successorEngine.Runs()
	for _, body := range []string{"had", "slow under", "slow young", "asked", "crossed"} {
		if predecessorRuns[body]+successorRuns[body] != 1 {
			t.Errorf("%q ran %d times at the old process and %d at the new one, want 1 in all", body, predecessorRuns[body], successorRuns[body])
		}
	}
	successor.eventually(t, "no connection slot reserved for the peer", func() bool { return successor.upgrade.reservedSlots == 0 && successor.upgrade.peer == nil })
}

// The successor of an upgrade can be upgraded in turn, and keys are kept throughout.
func TestUpgradeAgain(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	engine := standin.NewEngine(t, workByBody)
	current := launch(t, shared.processConfig(t, engine.Address, ""))
	current.waitReady(t)
	caller := current.dialUntilMine(t)
	caller.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "once")
	caller.Next()
	caller.Conn.Close()
	for i := range 2 {
		engine := standin.NewEngine(t, workByBody)
		successor := launch(t, shared.processConfig(t, engine.Address, ""))
		successor.waitReady(t)
		current.signals <- syscall.SIGTERM
		if err := <-current.serveErr; err != nil {
			t.Errorf("drain of process %d: %v", i, err)
		}
		current.signals = nil
		newCaller := successor.dialUntilMine(t)
		newCaller.Send(1, standin.Fields("note", "red", "key", uint64(10+i), 3*time.Second), "once")
		if got, _ := newCaller.Next(); got.Code != frame.Served || engine.Runs()["once"] != 0 {
			t.Errorf("process %d: got %+v, runs %v, want served without a run", i+1, got, engine.Runs())
		}
		newCaller.Conn.Close()
		current = successor
	}
}

// A process that starts while its predecessor is already draining gets the keys too.
func TestStartDuringDrain(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	engine := standin.NewEngine(t, workByBody)
	predecessor := launch(t, shared.processConfig(t, engine.Address, ""))
	predecessor.waitReady(t)
	caller := predecessor.dialUntilMine(t)
	caller.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "once")
	caller.Next()
	predecessor.signals <- syscall.SIGTERM
	predecessor.eventually(t, "shutdown notice received", func() bool { return predecessor.killAt != 0 })
	successorEngine := standin.NewEngine(t, workByBody)
	successor := launch(t, shared.processConfig(t, successorEngine.Address, ""))
	successor.waitReady(t)
	if err := <-predecessor.serveErr; err != nil {
		t.Errorf("drain: %v", err)
	}
	predecessor.signals = nil
	newCaller := successor.dialUntilMine(t)
	newCaller.Send(1, standin.Fields("note", "red", "key", 2, 3*time.Second), "once")
	if got, _ := newCaller.Next(); got.Code != frame.Served || successorEngine.Runs()["once"] != 0 {
		t.Errorf("key of the old process: got %+v, runs %v, want served without a run", got, successorEngine.Runs())
	}
	newCaller.Send(2, standin.Fields("note", "red", "fresh", 3, 3*time.Second), "fresh")
	if got, _ := newCaller.Next(); got.Code != frame.Served {
		t.Errorf("new key: got %+v, want served", got)
	}
}

// When the successor dies before the old process has ended, the old one acquires the
// keys again: keys that the successor may have started are in doubt and fail,
// everything else is served.
func TestNewProcessDies(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	engine := standin.NewEngine(t, workByBody)
	predecessor := launch(t, shared.processConfig(t, engine.Address, ""))
	predecessor.waitReady(t)
	caller := predecessor.dialUntilMine(t)
	caller.Send(1, standin.Fields("note", "red", "had", 1, 3*time.Second), "had")
	caller.Next()
	successor := launch(t, shared.processConfig(t, "127.0.0.1:1", "")) // its engine never answers, so it accepts no callers
	predecessor.eventually(t, "keys handed over", func() bool { return predecessor.upgrade.keysHandedOver })
	successor.eventually(t, "keys owned", successor.core.OwnsKeys)
	successor.onLoopWait(func() { // what the system does at its death
		successor.upgrade.endpoint.Unlock() //nolint:errcheck // as above
		closeNow(successor.upgrade.peer.conn)
	})
	predecessor.eventually(t, "keys owned by the old process again", func() bool { return predecessor.core.OwnsKeys() && !predecessor.upgrade.keysHandedOver })
	caller.Send(2, standin.Fields("note", "red", "had", 2, 3*time.Second), "had")
	if got, _ := caller.Next(); got.Code != frame.Served {
		t.Errorf("known key: got %+v, want served", got)
	}
	caller.Send(3, standin.Fields("note", "red", "other", 3, 3*time.Second), "other")
	if got, _ := caller.Next(); got.Code != frame.Failed {
		t.Errorf("key in doubt: got %+v, want failed", got)
	}
	caller.Send(4, standin.Fields("look", "red", "", 4, 3*time.Second), "look")
	if got, _ := caller.Next(); got.Code != frame.Served {
		t.Errorf("unkeyed request: got %+v, want served", got)
	}
	if n := engine.Runs()["other"] + engine.Runs()["had"]; n != 1 {
		t.Errorf("%d runs of keyed requests, want 1", n)
	}
	third := launch(t, shared.processConfig(t, standin.NewEngine(t, workByBody).Address, "")) // connects to the old one, though the dead one had taken over the endpoint's name
	third.waitReady(t)
	third.onLoopWait(func() {
		if !third.core.OwnsKeys() || third.core.ReleaseKeys(nil) == 0 {
			t.Error("the keys, or the doubt about some of them, were not handed over")
		}
	})
}

// An old process that did not answer at the handover endpoint when its successor
// started, and recovers, still hands its keys over.
func TestOldProcessRecovers(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	engine := standin.NewEngine(t, workByBody)
	predecessor := launch(t, shared.processConfig(t, engine.Address, ""))
	predecessor.waitReady(t)
	caller := predecessor.dialUntilMine(t)
	caller.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "once")
	caller.Next()
	predecessor.onLoopWait(func() { predecessor.upgrade.listener.Close() })
	silentListener, err := predecessor.upgrade.endpoint.Listen() // answers nobody
	if err != nil {
		t.Fatal(err)
	}
	successor := launch(t, shared.processConfig(t, standin.NewEngine(t, workByBody).Address, ""))
	silentListener.Close()
	predecessor.onLoopWait(predecessor.awaitSuccessor)
	successor.eventually(t, "keys owned", successor.core.OwnsKeys)
	successor.waitReady(t)
	newCaller := successor.dialUntilMine(t)
	newCaller.Send(1, standin.Fields("note", "red", "key", 2, 3*time.Second), "once")
	if got, _ := newCaller.Next(); got.Code != frame.Served {
		t.Errorf("key of the old process: got %+v, want served", got)
	}
}

// An old process that hangs delays its successor for some seconds only. The successor
// serves, but does not own the keys until the old process is dead, and then they are
// in doubt for a window.
func TestOldProcessStalls(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	engine := standin.NewEngine(t, workByBody)
	predecessor := launch(t, shared.processConfig(t, engine.Address, ""))
	predecessor.waitReady(t)
	predecessor.onLoopWait(func() { predecessor.upgrade.listener.Close() })
	silentListener, err := predecessor.upgrade.endpoint.Listen() // answers nobody
	if err != nil {
		t.Fatal(err)
	}
	defer silentListener.Close()
	successor := launch(t, shared.processConfig(t, engine.Address, ""))
	successor.waitReady(t)
	caller := successor.dialUntilMine(t)
	caller.Send(1, standin.Fields("note", "red", "key", 1, 3*time.Second), "key")
	if got, _ := caller.Next(); got.Code != frame.Failed {
		t.Errorf("key owned by the old process: got %+v, want failed", got)
	}
	caller.Send(2, standin.Fields("look", "red", "", 2, 3*time.Second), "look")
	if got, _ := caller.Next(); got.Code != frame.Served {
		t.Errorf("unkeyed request: got %+v, want served", got)
	}
	predecessor.onLoopWait(func() { predecessor.upgrade.endpoint.Unlock() }) //nolint:errcheck // what its death does
	successor.eventually(t, "keys owned", successor.core.OwnsKeys)
	if engine.Runs()["key"] != 0 {
		t.Error("a key in doubt was run")
	}
}

// Invalid data from unknown peers at the handover endpoint closes their connections
// and has no other effect.
func TestUnknownPeersAtHandoverEndpoint(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	engine := standin.NewEngine(t, workByBody)
	predecessor := launch(t, shared.processConfig(t, engine.Address, ""))
	predecessor.waitReady(t)
	for _, bytes := range []string{"\xff\xff\xff\xff", strings.Repeat("\x00", 99), "\x00\x00\x00\x2b\x03" + strings.Repeat("\x00", 42)} {
		conn := predecessor.upgrade.endpoint.Dial()
		if conn == nil {
			t.Fatal("nobody listens at the handover endpoint")
		}
		conn.Write([]byte(bytes))                             //nolint:errcheck // the end shows
		conn.SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // as above
		buf := make([]byte, 99)
		for n, err := 1, error(nil); err == nil; n, err = conn.Read(buf) {
			_ = n
		}
		conn.Close()
	}
	predecessor.onLoopWait(func() {
		if !predecessor.core.OwnsKeys() || predecessor.upgrade.peer != nil || predecessor.upgrade.waitingSuccessor != nil {
			t.Error("an unknown peer changed the ownership of the keys")
		}
	})
}

// An inherited descriptor that is no listening socket is an error at the start.
func TestBadInheritedDescriptor(t *testing.T) {
	newSharedListener(t)
	cfg := platformConfig(t, "127.0.0.1:1", "")
	cfg.InheritedFD = 1 << 19
	s, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Serve(Signals{}); err == nil || !strings.Contains(err.Error(), "descriptor 524288") {
		t.Errorf("Serve: got error %v, want one that names the descriptor", err)
	}
}

// A key table larger than the limit of unsent bytes to a peer is handed over
// completely, and claims sent meanwhile are answered after it.
func TestLargeTable(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	engine := standin.NewEngine(t, workByBody)
	predecessor := launch(t, shared.processConfig(t, engine.Address, ""))
	predecessor.waitReady(t)
	const keys = 2 * maxPeerUnsentBytes / frame.MaxResult
	predecessor.onLoopWait(func() {
		result := make([]byte, frame.MaxResult)
		for i := range keys {
			predecessor.core.ImportRecord(core.Record{Class: 2, Key: fmt.Sprint("key", i), Arrived: now(), WindowEnd: now() + 60_000_000, Finished: true,
				Outcome: kiteslip.OK, Result: result})
		}
	})
	successor := launch(t, shared.processConfig(t, standin.NewEngine(t, workByBody).Address, ""))
	predecessor.eventually(t, "handover of the key table begun", func() bool { return predecessor.upgrade.keysHandedOver })
	caller := predecessor.dialUntilMine(t)
	caller.Send(1, standin.Fields("note", "red", "asked meanwhile", 1, 3*time.Second), "asked")
	if got, _ := caller.Next(); got.Code != frame.Served {
		t.Errorf("key claimed during the handover: got %+v, want served", got)
	}
	successor.waitReady(t)
	successor.onLoopWait(func() {
		if _, n := successor.core.Tracked(); n != keys+1 {
			t.Errorf("%d of %d keys handed over", n, keys+1)
		}
	})
}

// waitServedAndEnded waits for the answer to the request on caller's connection and for
// the end of the process, which was told to stop.
func (r *testServer) waitServedAndEnded(t *testing.T, caller *standin.Caller) {
	t.Helper()
	got, ok := caller.Next()
	for ok && got.Type == frame.GoAway {
		got, ok = caller.Next()
	}
	if !ok || got.Code != frame.Served {
		t.Errorf("request that ran at the shutdown: got %+v, want served", got)
	}
	caller.Conn.Close()
	select {
	case err := <-r.serveErr:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the process did not end within 5 s of a stop time of 2 s")
	}
}

// The platform passes the callers' socket to a further process, and its program makes the
// socket blocking for a moment, for all processes that have it. The failure: an accept of
// this process then stayed in the system, and at the shutdown the loop waited for that
// accept to end before it closed the listener, with all answers owed.
func TestShutdownWithBlockingSharedSocket(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	engine := standin.NewEngine(t, standin.Echo(300*time.Millisecond))
	srv := launch(t, shared.processConfig(t, engine.Address, ""))
	srv.waitReady(t)
	raw, err := shared.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err = raw.Control(func(fd uintptr) { err = unix.SetNonblock(int(fd), false) }); err != nil {
		t.Fatal(err)
	}
	caller := srv.dialUntilMine(t) // the next accept finds the socket blocking
	caller.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "look")
	srv.eventually(t, "request running", func() bool { return srv.link.Running() == 1 })
	srv.signals <- syscall.SIGTERM
	srv.signals = nil
	srv.waitServedAndEnded(t, caller)
}

// slowCloseListener is a listener whose first Close takes until finish is closed, as it
// does while an accept stays in the system.
type slowCloseListener struct {
	net.Listener
	finish  chan struct{}
	closing atomic.Bool
}

func (l *slowCloseListener) Close() error {
	if l.closing.Swap(true) {
		return net.ErrClosed
	}
	<-l.finish
	return l.Listener.Close()
}

// A listener that takes long to close delays no answer, and the process ends by its stop
// time.
func TestShutdownWithListenerThatDoesNotClose(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	engine := standin.NewEngine(t, standin.Echo(300*time.Millisecond))
	srv := launch(t, shared.processConfig(t, engine.Address, ""))
	srv.waitReady(t)
	slow := &slowCloseListener{finish: make(chan struct{})}
	t.Cleanup(func() { close(slow.finish) })
	caller := srv.dialUntilMine(t)
	srv.onLoopWait(func() {
		slow.Listener = srv.listeners[0].Listener
		srv.listeners[0].Listener = slow
	})
	caller.Send(1, standin.Fields("look", "red", "", 1, 3*time.Second), "look")
	srv.eventually(t, "request running", func() bool { return srv.link.Running() == 1 })
	srv.signals <- syscall.SIGTERM
	srv.signals = nil
	srv.waitServedAndEnded(t, caller)
}
