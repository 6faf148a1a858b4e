package server

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"kiteslip/internal/config"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// keysTOML returns an operator's file that keeps keys in folder.
func keysTOML(folder string) string {
	return fmt.Sprintf("[keys]\nfolder = %q\ndurability = \"process\"\n", folder)
}

// After a restart, retries of keyed requests get the results of the earlier
// process without a second run; a key that is reused with another body is still an
// error, and many retries of one key add no records to the store.
func TestKeysSurviveRestart(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	folder := filepath.Join(t.TempDir(), "keys")
	srv := start(t, engine.Address, "", keysTOML(folder))
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	for i := range 20 {
		caller.Send(uint32(i+1), standin.Fields("note", "red", fmt.Sprint("k", i), uint64(i+1), 3*time.Second), fmt.Sprint("body ", i))
	}
	for range 20 {
		if got, ok := caller.Next(); !ok || got.Code != frame.Served {
			t.Fatalf("unexpected answer: %+v", got)
		}
	}
	srv.stop(t)
	srv = start(t, engine.Address, "", keysTOML(folder)+"[uwsgi]\nlisten = \"127.0.0.1:0\"\n")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	if got := srv.adminCall(t, "show-stat"); !strings.Contains(got, "app.keys.restored:20|g") || !strings.Contains(got, "app.keys.unknown:0|g") {
		t.Errorf("metrics after the restart:\n%s", got)
	}
	caller = standin.Dial(t, srv.framesAddr)
	for i := range 20 {
		caller.Send(uint32(i+1), standin.Fields("note", "red", fmt.Sprint("k", i), uint64(100+i), 3*time.Second), fmt.Sprint("body ", i))
		if got, ok := caller.Next(); !ok || got.Code != frame.Served || got.Body != fmt.Sprint("did body ", i) {
			t.Errorf("retry %d: unexpected answer %+v", i, got)
		}
	}
	caller.Send(50, standin.Fields("note", "red", "k1", 200, 3*time.Second), "another body")
	if got, _ := caller.Next(); got.Code != frame.Failed {
		t.Errorf("key of the earlier process with another body: got %+v, want failed", got)
	}
	reply := standin.UWSGIExchange(srv.uwsgiAddr, standin.UWSGIRequest(t, standin.UWSGIVars("note", "red", "k2", 3*time.Second), "body 2"))
	if reply.Status != 200 || reply.Body != "did body 2" {
		t.Errorf("through the uwsgi front end: unexpected answer %+v", reply)
	}
	var records int64
	srv.onLoopWait(func() { records = srv.keys.worker.Stats().Operations })
	for i := range 500 { // retries of one key need no further records
		caller.Send(uint32(100+i), standin.Fields("note", "red", "k3", uint64(1000+i), 3*time.Second), "body 3")
		if got, ok := caller.Next(); !ok || got.Code != frame.Served {
			t.Fatalf("unexpected answer: %+v", got)
		}
	}
	srv.onLoopWait(func() {
		if n := srv.keys.worker.Stats().Operations; n != records {
			t.Errorf("500 retries of one key added %d records, want 0", n-records)
		}
	})
	for body, n := range engine.Runs() {
		if n != 1 {
			t.Errorf("%s ran %d times, want 1", body, n)
		}
	}
}

// slowFS is a file system whose log files take the time in syncDelay for each sync.
type slowFS struct {
	vfs.FS
	syncDelay *atomic.Int64
}

// slowFile is a log file of a slowFS.
type slowFile struct {
	vfs.File
	fs slowFS
}

func (f slowFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.Create(name, c)
	if err != nil || !strings.HasSuffix(name, ".log") {
		return file, err
	}
	return slowFile{file, f}, nil
}

func (f slowFS) ReuseForWrite(oldname, newname string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return f.Create(newname, c)
}

func (f slowFile) delaySync() { time.Sleep(time.Duration(f.fs.syncDelay.Load())) }

func (f slowFile) Sync() error                  { f.delaySync(); return f.File.Sync() }
func (f slowFile) SyncData() error              { f.delaySync(); return f.File.SyncData() }
func (f slowFile) SyncTo(n int64) (bool, error) { f.delaySync(); return f.File.SyncTo(n) }

// A disk that needs a second for each commit delays keyed requests only, and these
// are still answered by their deadline. The failure: the loop waits for the commit,
// and all classes with it.
func TestSlowStoreDelaysNoOtherClass(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(5*time.Millisecond))
	cfg := platformConfig(t, engine.Address, "")
	cfg, err := config.ParseOperator(fmt.Sprintf("[keys]\nfolder = %q\n", filepath.Join(t.TempDir(), "keys")), cfg)
	if err != nil {
		t.Fatal(err)
	}
	slow := slowFS{vfs.Default, &atomic.Int64{}}
	srv := launchWith(t, cfg, func(s *Server) { s.keys.fs = slow })
	srv.eventually(t, "server serves requests", func() bool { return srv.serving && srv.link.Ready() })
	slow.syncDelay.Store(int64(time.Second))
	keyed, reads := standin.Dial(t, srv.framesAddr), standin.Dial(t, srv.framesAddr)
	for i := range 24 {
		keyed.Send(uint32(i+1), standin.Fields("note", "red", fmt.Sprint("k", i), uint64(1000+i), 1500*time.Millisecond), "n")
	}
	for i := range 100 {
		began := time.Now()
		reads.Send(uint32(i+1), standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
		got, ok := reads.Next()
		if took := got.At.Sub(began); !ok || got.Code != frame.Served || took > 500*time.Millisecond {
			t.Fatalf("read %d: got %+v after %v, want served within 500 ms", i, got, took)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for range 24 {
		if got, ok := keyed.Next(); !ok {
			t.Fatalf("a keyed request got no answer: %+v", got)
		}
	}
	slow.syncDelay.Store(0)
	keyed.Send(40, standin.Fields("note", "red", "late", 5000, 3*time.Second), "n")
	if got, ok := keyed.Next(); !ok || got.Code != frame.Served {
		t.Errorf("after the disk has recovered: got %+v, want served", got)
	}
}

// A second server with the same key folder does not start, and its error names the cause and the folder.
func TestTwoServersOneFolder(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	folder := filepath.Join(t.TempDir(), "keys")
	start(t, engine.Address, "", keysTOML(folder))
	for _, onError := range []string{"", "on_error = \"memory\"\n"} {
		cfg, err := config.ParseOperator(keysTOML(folder)+onError, platformConfig(t, engine.Address, ""))
		if err != nil {
			t.Fatal(err)
		}
		srv, err := New(cfg, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		if err = srv.Serve(Signals{}); err == nil || !strings.Contains(err.Error(), "another process uses the folder") ||
			!strings.Contains(err.Error(), folder) {
			t.Errorf("operator's file with %q: got error %v", onError, err)
		}
	}
}

// A key folder that can't be used makes the start fail. With on_error = "memory"
// the server starts without it; then keys are in doubt for a window, and the error
// shows in the metrics.
func TestFolderThatCannotBeUsed(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	folder := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(folder, []byte("not a folder"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.ParseOperator(keysTOML(folder), platformConfig(t, engine.Address, ""))
	if err != nil {
		t.Fatal(err)
	}
	unstarted, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err = unstarted.Serve(Signals{}); err == nil || !strings.Contains(err.Error(), folder) {
		t.Errorf("start: got error %v, want one that names the folder", err)
	}
	srv := start(t, engine.Address, "", keysTOML(folder)+"on_error = \"memory\"\n")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	if got := srv.adminCall(t, "show-stat"); !strings.Contains(got, "app.keys.errors:1|c") {
		t.Errorf("metrics without the store:\n%s", got)
	}
	caller := standin.Dial(t, srv.framesAddr)
	caller.Send(1, standin.Fields("note", "red", "k", 1, 3*time.Second), "b")
	if got, _ := caller.Next(); got.Code != frame.Failed || engine.Runs()["b"] != 0 {
		t.Errorf("key that an earlier process may have run: got %+v, want failed without a run", got)
	}
}

// In an upgrade the key store moves with the keys: the successor opens it and
// grants claims once they are on record, and a later start restores all keys.
func TestKeyStoreMovesWithUpgrade(t *testing.T) {
	t.Parallel()
	shared := newSharedListener(t)
	folder := filepath.Join(t.TempDir(), "keys")
	engine := standin.NewEngine(t, standin.Echo(20*time.Millisecond))
	predecessor := launch(t, shared.processConfig(t, engine.Address, keysTOML(folder)))
	predecessor.waitReady(t)
	caller := predecessor.dialUntilMine(t)
	request := func(caller *standin.Caller, stream uint32, key string, tryID uint64) standin.Reply {
		t.Helper()
		caller.Send(stream, standin.Fields("note", "red", key, tryID, 3*time.Second), "of "+key)
		got, ok := caller.Next()
		if !ok || got.Code != frame.Served || got.Body != "did of "+key {
			t.Errorf("key %s: unexpected answer %+v", key, got)
		}
		return got
	}
	request(caller, 1, "first", 1)
	successorEngine := standin.NewEngine(t, standin.Echo(20*time.Millisecond))
	successor := launch(t, shared.processConfig(t, successorEngine.Address, keysTOML(folder)))
	successor.waitReady(t)
	successor.eventually(t, "key owner with an open store", func() bool { return successor.core.OwnsKeys() && successor.keys.worker != nil })
	predecessor.onLoopWait(func() {
		if predecessor.keys.worker != nil {
			t.Error("the old process still has the store open")
		}
	})
	request(caller, 2, "claimed", 2) // by the old process, granted by the new one
	newCaller := successor.dialUntilMine(t)
	request(newCaller, 1, "first", 3)
	request(newCaller, 2, "claimed", 4)
	request(newCaller, 3, "own", 5)
	predecessor.stop(t)
	successor.stop(t)
	third := start(t, engine.Address, "", keysTOML(folder))
	if third.keys.restored != 3 || third.keys.unknownOutcome != 0 {
		t.Errorf("third start: %d keys restored, %d with unknown outcome, want 3 and 0", third.keys.restored, third.keys.unknownOutcome)
	}
	for _, engine := range []*standin.Engine{engine, successorEngine} {
		for body, n := range engine.Runs() {
			if n != 1 {
				t.Errorf("%s ran %d times, want 1", body, n)
			}
		}
	}
}
