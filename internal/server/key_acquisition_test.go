package server

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"

	"kiteslip/internal/config"
	"kiteslip/internal/frame"
	"kiteslip/internal/handover"
	"kiteslip/internal/standin"
)

// gatedFS is a file system on which a key store opens only once open is closed, or
// fails with the error in fail.
type gatedFS struct {
	vfs.FS
	opening chan struct{} // receives a value for each attempt to open a store
	open    chan struct{}
	fail    *atomic.Bool
}

func newGatedFS() gatedFS {
	return gatedFS{vfs.Default, make(chan struct{}, 1000), make(chan struct{}), &atomic.Bool{}}
}

var errTestDisk = errors.New("the disk of the test fails")

// Lock is called first when a store is opened.
func (f gatedFS) Lock(name string) (io.Closer, error) {
	f.opening <- struct{}{}
	<-f.open
	if f.fail.Load() {
		return nil, errTestDisk
	}
	return f.FS.Lock(name)
}

// keyStoreUpgrade is an upgrade with a key store in which the successor opens the
// store and can't finish that before the test lets it.
type keyStoreUpgrade struct {
	shared                 sharedListener
	operator               string
	engines                [2]*standin.Engine
	predecessor, successor *testServer
	caller                 *standin.Caller // of the predecessor
	gate                   gatedFS
}

// startKeyStoreUpgrade starts both processes and returns once the successor opens the store.
func startKeyStoreUpgrade(t *testing.T) *keyStoreUpgrade {
	t.Helper()
	u := &keyStoreUpgrade{shared: newSharedListener(t), operator: keysTOML(filepath.Join(t.TempDir(), "keys")), gate: newGatedFS()}
	for i := range u.engines {
		u.engines[i] = standin.NewEngine(t, standin.Echo(10*time.Millisecond))
	}
	u.predecessor = launch(t, u.shared.processConfig(t, u.engines[0].Address, u.operator))
	u.predecessor.waitReady(t)
	u.caller = u.predecessor.dialUntilMine(t)
	u.successor = launchWith(t, u.shared.processConfig(t, u.engines[1].Address, u.operator), func(s *Server) { s.keys.fs = u.gate })
	<-u.gate.opening
	return u
}

// sendKeyed sends keyed requests to the predecessor, on streams and with keys that
// begin at first, and waits until their claims are at the successor.
func (u *keyStoreUpgrade) sendKeyed(t *testing.T, first, n int, timeout time.Duration) {
	t.Helper()
	for i := first; i < first+n; i++ {
		u.caller.Send(uint32(i), standin.Fields("note", "red", fmt.Sprint("k", i), uint64(i), timeout), fmt.Sprint("body ", i))
	}
	u.predecessor.eventually(t, "requests claimed", func() bool { return u.predecessor.core.KeyedRuns() >= n })
}

// wantAnswers waits for n answers with that code.
func (u *keyStoreUpgrade) wantAnswers(t *testing.T, n int, code byte) {
	t.Helper()
	for range n {
		if got, ok := u.caller.Next(); !ok || got.Code != code {
			t.Errorf("keyed request of the predecessor: got %+v, want code %d", got, code)
		}
	}
}

// wantRuns checks that each of the requests 1 to n has run so many times in all.
func (u *keyStoreUpgrade) wantRuns(t *testing.T, n, times int) {
	t.Helper()
	first, second := u.engines[0].Runs(), u.engines[1].Runs()
	for i := 1; i <= n; i++ {
		if body := fmt.Sprint("body ", i); first[body]+second[body] != times {
			t.Errorf("%q ran %d times, want %d", body, first[body]+second[body], times)
		}
	}
}

// Keyed requests that the predecessor reads while its successor opens the key store
// wait for that and are served. The failure: the first claim in that time ended the
// successor by a panic, with all that it held.
func TestClaimsDuringKeyStoreOpening(t *testing.T) {
	t.Parallel()
	u := startKeyStoreUpgrade(t)
	u.sendKeyed(t, 1, 4, 3*time.Second)
	u.successor.onLoopWait(func() {
		if u.successor.core.OwnsKeys() || u.successor.upgrade.peer == nil || u.successor.upgrade.peer.phase != acquiringKeys {
			t.Error("the successor is not in the phase acquiringKeys")
		}
	})
	u.wantRuns(t, 4, 0)
	close(u.gate.open)
	u.wantAnswers(t, 4, frame.Served)
	u.wantRuns(t, 4, 1)
	u.successor.waitReady(t)
	newCaller := u.successor.dialUntilMine(t)
	newCaller.Send(1, standin.Fields("note", "red", "k1", 100, 3*time.Second), "body 1")
	if got, _ := newCaller.Next(); got.Code != frame.Served {
		t.Errorf("further try at the successor: got %+v, want served", got)
	}
	u.wantRuns(t, 4, 1)
}

// Where the key store can't be opened, keyed requests at the predecessor fail soon,
// those that wait already and those that come later, and both processes go on.
func TestKeyStoreOpeningFailsInUpgrade(t *testing.T) {
	t.Parallel()
	u := startKeyStoreUpgrade(t)
	u.gate.fail.Store(true)
	u.sendKeyed(t, 1, 2, 3*time.Second)
	close(u.gate.open)
	u.wantAnswers(t, 2, frame.Failed)
	u.caller.Send(3, standin.Fields("note", "red", "k3", 3, 3*time.Second), "body 3")
	u.wantAnswers(t, 1, frame.Failed)
	u.caller.Send(4, standin.Fields("look", "red", "", 4, 3*time.Second), "look")
	u.wantAnswers(t, 1, frame.Served)
	u.wantRuns(t, 3, 0)
	u.successor.onLoopWait(func() {
		if got := u.successor.upgrade.peer.phase; got != withoutKeys {
			t.Errorf("phase %d, want withoutKeys", got)
		}
	})
}

// A shutdown notice to the successor while it opens the key store ends it in an
// orderly way; the predecessor's requests each get one answer, and it takes the keys
// back, in doubt.
func TestShutdownNoticeDuringKeyStoreOpening(t *testing.T) {
	t.Parallel()
	u := startKeyStoreUpgrade(t)
	u.sendKeyed(t, 1, 2, 3*time.Second)
	u.successor.signals <- syscall.SIGTERM
	u.successor.signals = nil
	if err := <-u.successor.serveErr; err != nil {
		t.Errorf("drain of the successor: %v", err)
	}
	u.wantAnswers(t, 2, frame.Failed)
	close(u.gate.open)
	u.predecessor.eventually(t, "keys owned by the predecessor again", u.predecessor.core.OwnsKeys)
	u.caller.Send(3, standin.Fields("look", "red", "", 3, 3*time.Second), "look")
	u.wantAnswers(t, 1, frame.Served)
	u.wantRuns(t, 2, 0)
}

// New settings with a further keyed class that come while the key store opens are in
// force at once, and the claims that wait are answered as usual.
func TestReloadDuringKeyStoreOpening(t *testing.T) {
	t.Parallel()
	u := startKeyStoreUpgrade(t)
	u.sendKeyed(t, 1, 2, 3*time.Second)
	reloaded := *u.successor.cfg
	u.successor.LoadConfig = func() (*config.Config, error) { return &reloaded, nil }
	u.successor.signals <- syscall.SIGHUP
	u.successor.eventually(t, "configuration reloaded", func() bool { return u.successor.reloadsApplied == 1 })
	close(u.gate.open)
	u.wantAnswers(t, 2, frame.Served)
	u.wantRuns(t, 2, 1)
}

// A further process that asks for the keys while another one acquires them waits on
// its connection, and gets them later. The failure: its reports of load were taken
// for a fault, so that its connection was closed and dialled again all the time.
func TestSecondSuccessorWaitsForKeys(t *testing.T) {
	t.Parallel()
	u := startKeyStoreUpgrade(t)
	third := launch(t, u.shared.processConfig(t, standin.NewEngine(t, standin.Echo(time.Millisecond)).Address, u.operator))
	var waiting *peerConn
	u.predecessor.eventually(t, "third process waits", func() bool {
		waiting = u.predecessor.upgrade.waitingSuccessor
		return waiting != nil
	})
	for range 25 { // a load report comes every 20 ms
		time.Sleep(loadReportIntervalUS * time.Microsecond)
		u.predecessor.onLoopWait(func() {
			if waiting.disconnected || u.predecessor.upgrade.waitingSuccessor != waiting {
				t.Fatal("the connection of the waiting process was closed")
			}
		})
	}
	u.sendKeyed(t, 1, 2, 3*time.Second)
	close(u.gate.open)
	u.wantAnswers(t, 2, frame.Served)
	u.predecessor.stop(t)
	third.eventually(t, "keys owned by the third process", third.core.OwnsKeys)
	u.wantRuns(t, 2, 1)
}

// Messages that don't belong to the phase end the connection and nothing else:
// claims before the keys, and records or a second transfer after the first one.
func TestMessagesOutOfPhase(t *testing.T) {
	t.Parallel()
	record := handover.Message{Kind: handover.Record, Text: "note", Key: "k", Arrived: now(), WindowEnd: now() + 9_000_000, Finished: true}
	transferred := handover.Message{Kind: handover.KeysTransferred}
	claim := handover.Message{Kind: handover.Claim, ID: 7, Text: "note", Key: "k", Arrived: now()}
	for name, messages := range map[string][]handover.Message{
		"claim before the keys":      {claim},
		"end of a run before":        {{Kind: handover.RunEnded, Text: "note", Key: "k"}},
		"record after the keys":      {transferred, record},
		"keys transferred twice":     {record, transferred, transferred},
		"grant from the predecessor": {transferred, claim, {Kind: handover.Grant, ID: 7}},
		"hello from the predecessor": {{Kind: handover.Hello, Text: "t"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shared, gate := newSharedListener(t), newGatedFS()
			cfg := shared.processConfig(t, standin.NewEngine(t, standin.Echo(time.Millisecond)).Address, keysTOML(filepath.Join(t.TempDir(), "keys")))
			endpoint, err := handover.NewEndpoint(shared.folder, cfg.Name)
			if err != nil {
				t.Fatal(err)
			}
			defer endpoint.Close()
			l, err := endpoint.Listen()
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			ended := make(chan error, 1)
			go func() {
				conn, err := l.AcceptUnix()
				if err == nil {
					defer conn.Close()
					err = handover.SendListener(conn, nil)
				}
				var out []byte
				for i := range messages {
					out, _ = handover.Append(out, &messages[i])
				}
				if err == nil {
					_, err = conn.Write(out)
				}
				if err == nil {
					conn.SetReadDeadline(time.Now().Add(5 * time.Second)) //nolint:errcheck // Copy reports it
					_, err = io.Copy(io.Discard, conn)
				}
				ended <- err
			}()
			successor := launchWith(t, cfg, func(s *Server) { s.keys.fs = gate })
			if err := <-ended; err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the connection was not closed: %v", err)
			}
			close(gate.open)
			successor.eventually(t, "keys owned", successor.core.OwnsKeys)
		})
	}
}

// A run of the predecessor that ends while the successor opens the key store is on
// record with its end. The failure: only its start was, so that after a crash a further
// try failed although its result had been answered.
func TestRunEndsDuringKeyStoreOpening(t *testing.T) {
	t.Parallel()
	shared, operator, gate := newSharedListener(t), keysTOML(filepath.Join(t.TempDir(), "keys")), newGatedFS()
	predecessorEngine := standin.NewEngine(t, standin.Echo(time.Second))
	predecessor := launch(t, shared.processConfig(t, predecessorEngine.Address, operator))
	predecessor.waitReady(t)
	caller := predecessor.dialUntilMine(t)
	caller.Send(1, standin.Fields("note", "red", "k", 1, 3*time.Second), "b")
	predecessor.eventually(t, "request running", func() bool { return predecessor.link.Running() == 1 })
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	successor := launchWith(t, shared.processConfig(t, engine.Address, operator), func(s *Server) { s.keys.fs = gate })
	<-gate.opening
	if got, _ := caller.Next(); got.Code != frame.Served {
		t.Errorf("got %+v, want served", got)
	}
	close(gate.open)
	successor.eventually(t, "keys owned", successor.core.OwnsKeys)
	predecessor.stop(t)
	successor.stop(t)
	third := start(t, engine.Address, "", operator)
	if third.keys.restored != 1 || third.keys.unknownOutcome != 0 {
		t.Errorf("%d keys restored, %d with unknown outcome, want 1 and 0", third.keys.restored, third.keys.unknownOutcome)
	}
	late := standin.Dial(t, third.framesAddr)
	late.Send(1, standin.Fields("note", "red", "k", 2, 3*time.Second), "b")
	if got, _ := late.Next(); got.Code != frame.Served || got.Body != "did b" || engine.Runs()["b"] != 0 {
		t.Errorf("further try: got %+v and %d runs, want the result of the first run", got, engine.Runs()["b"])
	}
}

// slowUnlockFS is a file system on which closing a key store releases its lock at once
// and then takes until finish is closed.
type slowUnlockFS struct {
	vfs.FS
	finish chan struct{}
}

// slowUnlock is the lock of a store on a slowUnlockFS.
type slowUnlock struct {
	io.Closer
	finish chan struct{}
}

func (f slowUnlockFS) Lock(name string) (io.Closer, error) {
	lock, err := f.FS.Lock(name)
	if err != nil {
		return nil, err
	}
	return slowUnlock{lock, f.finish}, nil
}

func (l slowUnlock) Close() error {
	err := l.Closer.Close()
	<-l.finish
	return err
}

// A process hands its keys over and takes them back, as it does when its successor
// dies at once, while its key store is still being closed. The failure: the end of the
// closing removed the journal of the store that was open again, and keyed requests ran
// without a record.
func TestKeyStoreReopensWhileItCloses(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	cfg, err := config.ParseOperator(keysTOML(filepath.Join(t.TempDir(), "keys")), platformConfig(t, engine.Address, ""))
	if err != nil {
		t.Fatal(err)
	}
	slow := slowUnlockFS{vfs.Default, make(chan struct{})}
	srv := launchWith(t, cfg, func(s *Server) { s.keys.fs = slow })
	srv.eventually(t, "server serves requests", func() bool { return srv.serving && srv.link.Ready() })
	closed := make(chan struct{})
	srv.onLoopWait(func() {
		srv.core.ReleaseKeys(nil)
		srv.releaseKeyStore(func() { close(closed) })
		srv.acquireKeys(0)
	})
	for range 50 { // the store can be opened again from here on
		srv.onLoopWait(func() {})
		time.Sleep(2 * time.Millisecond)
	}
	close(slow.finish)
	<-closed
	srv.eventually(t, "keys owned", srv.core.OwnsKeys)
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("note", "red", "k", 1, 3*time.Second), "b")
	if got, ok := caller.Next(); !ok || got.Code != frame.Served {
		t.Errorf("got %+v, want served", got)
	}
	srv.onLoopWait(func() {
		if srv.keys.worker == nil || srv.keys.worker.Stats().Operations == 0 {
			t.Error("a keyed request ran without a record")
		}
	})
}

// A further successor starts in the moment in which another one has ended that had taken
// the keys over. It finds the first process and is handed its uwsgi listener. The
// failure: the first process took the keys back and listened for a successor only some
// time later, and the new one ended with "address already in use".
func TestSuccessorStartsAfterAnotherEnded(t *testing.T) {
	t.Parallel()
	for _, keyStore := range []bool{false, true} {
		shared, operator := newSharedListener(t), operatorTOML("")
		if keyStore {
			operator += keysTOML(filepath.Join(t.TempDir(), "keys"))
		}
		predecessor := launch(t, shared.processConfig(t, standin.NewEngine(t, workByBody).Address, operator))
		predecessor.waitReady(t)
		start := func() *testServer {
			cfg := shared.processConfig(t, standin.NewEngine(t, workByBody).Address, operator)
			cfg.UWSGI.Listen = predecessor.uwsgiAddr
			return launch(t, cfg)
		}
		for range 2 {
			successor := start()
			successor.eventually(t, "keys owned", successor.core.OwnsKeys)
			successor.stop(t)
		}
		last := start()
		last.waitReady(t)
		last.eventually(t, "keys owned", last.core.OwnsKeys)
		if last.uwsgiAddr != predecessor.uwsgiAddr {
			t.Errorf("uwsgi address: got %s, want %s", last.uwsgiAddr, predecessor.uwsgiAddr)
		}
		last.stop(t)
		predecessor.stop(t)
	}
}
