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

func keysFile(folder string) string {
	return fmt.Sprintf("[keys]\nfolder = %q\ndurability = \"process\"\n", folder)
}

// A server that starts anew gives the results of the one before, and runs
// nothing again; a key that comes with another body is an error as ever.
func TestKeysSurviveRestart(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	folder := filepath.Join(t.TempDir(), "keys")
	r := start(t, engine.Address, "", keysFile(folder))
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	for i := range 20 {
		c.Send(uint32(i+1), standin.Fields("note", "red", fmt.Sprint("k", i), uint64(i+1), 3*time.Second), fmt.Sprint("body ", i))
	}
	for range 20 {
		if got, ok := c.Next(); !ok || got.Code != frame.Served {
			t.Fatalf("%+v", got)
		}
	}
	r.stop(t)
	r = start(t, engine.Address, "", keysFile(folder)+"[uwsgi]\nlisten = \"127.0.0.1:0\"\n")
	r.eventually(t, "the engine's link", r.link.Ready)
	if got := r.adminCall(t, "show-stat"); !strings.Contains(got, "app.keys.restored:20|g") || !strings.Contains(got, "app.keys.unknown:0|g") {
		t.Errorf("it shows %s", got)
	}
	c = standin.Dial(t, r.framesAddr)
	for i := range 20 {
		c.Send(uint32(i+1), standin.Fields("note", "red", fmt.Sprint("k", i), uint64(100+i), 3*time.Second), fmt.Sprint("body ", i))
		if got, ok := c.Next(); !ok || got.Code != frame.Served || got.Body != fmt.Sprint("did body ", i) {
			t.Errorf("repeat %d: %+v", i, got)
		}
	}
	c.Send(50, standin.Fields("note", "red", "k1", 200, 3*time.Second), "another body")
	if got, _ := c.Next(); got.Code != frame.Failed {
		t.Errorf("another body for a key of the life before: %+v", got)
	}
	web := standin.Post(r.uwsgiAddr, standin.Packet(t, standin.Vars("note", "red", "k2", 3*time.Second), "body 2"))
	if web.Status != 200 || web.Body != "did body 2" {
		t.Errorf("through the other front: %+v", web)
	}
	var records int64
	r.onLoopWait(func() { records = r.keys.worker.Stats().Operations })
	for i := range 500 { // one that is very popular takes no more room
		c.Send(uint32(100+i), standin.Fields("note", "red", "k3", uint64(1000+i), 3*time.Second), "body 3")
		if got, ok := c.Next(); !ok || got.Code != frame.Served {
			t.Fatalf("%+v", got)
		}
	}
	r.onLoopWait(func() {
		if n := r.keys.worker.Stats().Operations; n != records {
			t.Errorf("500 repeats of one key left %d records", n-records)
		}
	})
	for body, n := range engine.Runs() {
		if n != 1 {
			t.Errorf("%s ran %d times", body, n)
		}
	}
}

// slowFS takes its time for each sync.
type slowFS struct {
	vfs.FS
	each *atomic.Int64
}

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

func (f slowFile) wait() { time.Sleep(time.Duration(f.fs.each.Load())) }

func (f slowFile) Sync() error                  { f.wait(); return f.File.Sync() }
func (f slowFile) SyncData() error              { f.wait(); return f.File.SyncData() }
func (f slowFile) SyncTo(n int64) (bool, error) { f.wait(); return f.File.SyncTo(n) }

// A disk that takes a second for each commit delays no other class, and keyed
// requests still have their answer by their due time.
func TestSlowStoreDelaysNoOtherClass(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(5*time.Millisecond))
	cfg := platformConfig(t, engine.Address, "")
	cfg, err := config.ParseOperator(fmt.Sprintf("[keys]\nfolder = %q\n", filepath.Join(t.TempDir(), "keys")), cfg)
	if err != nil {
		t.Fatal(err)
	}
	slow := slowFS{vfs.Default, &atomic.Int64{}}
	r := launchWith(t, cfg, func(s *Server) { s.keys.fs = slow })
	r.eventually(t, "it serves", func() bool { return r.serving && r.link.Ready() })
	slow.each.Store(int64(time.Second))
	keyed, reads := standin.Dial(t, r.framesAddr), standin.Dial(t, r.framesAddr)
	for i := range 24 {
		keyed.Send(uint32(i+1), standin.Fields("note", "red", fmt.Sprint("k", i), uint64(1000+i), 1500*time.Millisecond), "n")
	}
	for i := range 100 {
		began := time.Now()
		reads.Send(uint32(i+1), standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
		got, ok := reads.Next()
		if took := got.At.Sub(began); !ok || got.Code != frame.Served || took > 500*time.Millisecond {
			t.Fatalf("read %d: %+v after %v", i, got, took)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for range 24 {
		if got, ok := keyed.Next(); !ok {
			t.Fatalf("a keyed request has no answer: %+v", got)
		}
	}
	slow.each.Store(0)
	keyed.Send(40, standin.Fields("note", "red", "late", 5000, 3*time.Second), "n")
	if got, ok := keyed.Next(); !ok || got.Code != frame.Served {
		t.Errorf("once the disk is well: %+v", got)
	}
}

// Two servers told to use one folder: the second one does not start, and says why.
func TestTwoServersOneFolder(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	folder := filepath.Join(t.TempDir(), "keys")
	start(t, engine.Address, "", keysFile(folder))
	for _, more := range []string{"", "on_error = \"memory\"\n"} {
		cfg, err := config.ParseOperator(keysFile(folder)+more, platformConfig(t, engine.Address, ""))
		if err != nil {
			t.Fatal(err)
		}
		s, err := New(cfg, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		if err = s.Serve(Signals{}); err == nil || !strings.Contains(err.Error(), "another process uses the folder") ||
			!strings.Contains(err.Error(), folder) {
			t.Errorf("%q: %v", more, err)
		}
	}
}

// A folder that can't be used ends the start, or is gone without: then keys are
// in doubt for a window, and the operators see it.
func TestFolderThatCannotBeUsed(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	folder := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(folder, []byte("not a folder"), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.ParseOperator(keysFile(folder), platformConfig(t, engine.Address, ""))
	if err != nil {
		t.Fatal(err)
	}
	s, err := New(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if err = s.Serve(Signals{}); err == nil || !strings.Contains(err.Error(), folder) {
		t.Errorf("the start: %v", err)
	}
	r := start(t, engine.Address, "", keysFile(folder)+"on_error = \"memory\"\n")
	r.eventually(t, "the engine's link", r.link.Ready)
	if got := r.adminCall(t, "show-stat"); !strings.Contains(got, "app.keys.errors:1|c") {
		t.Errorf("it shows %s", got)
	}
	c := standin.Dial(t, r.framesAddr)
	c.Send(1, standin.Fields("note", "red", "k", 1, 3*time.Second), "b")
	if got, _ := c.Next(); got.Code != frame.Failed || engine.Runs()["b"] != 0 {
		t.Errorf("a key that an earlier life may have run: %+v", got)
	}
}

// In an upgrade the store goes over with the keys: the next process opens it,
// grants claims once they are on record, and a third start knows all of it.
func TestKeyStoreMovesWithUpgrade(t *testing.T) {
	t.Parallel()
	s := newSharedListener(t)
	folder := filepath.Join(t.TempDir(), "keys")
	engine := standin.NewEngine(t, standin.Echo(20*time.Millisecond))
	old := launch(t, s.processConfig(t, engine.Address, keysFile(folder)))
	old.waitReady(t)
	c := old.dialUntilMine(t)
	send := func(c *standin.Caller, stream uint32, key string, name uint64) standin.Reply {
		t.Helper()
		c.Send(stream, standin.Fields("note", "red", key, name, 3*time.Second), "of "+key)
		got, ok := c.Next()
		if !ok || got.Code != frame.Served || got.Body != "did of "+key {
			t.Errorf("%s: %+v", key, got)
		}
		return got
	}
	send(c, 1, "first", 1)
	other := standin.NewEngine(t, standin.Echo(20*time.Millisecond))
	next := launch(t, s.processConfig(t, other.Address, keysFile(folder)))
	next.waitReady(t)
	next.eventually(t, "it owns the keys and keeps them", func() bool { return next.core.OwnsKeys() && next.keys.worker != nil })
	old.onLoopWait(func() {
		if old.keys.worker != nil {
			t.Error("the old process still has the store")
		}
	})
	send(c, 2, "claimed", 2) // by the old process, granted by the new one
	d := next.dialUntilMine(t)
	send(d, 1, "first", 3)
	send(d, 2, "claimed", 4)
	send(d, 3, "own", 5)
	old.stop(t)
	next.stop(t)
	third := start(t, engine.Address, "", keysFile(folder))
	if third.keys.restored != 3 || third.keys.unknownOutcome != 0 {
		t.Errorf("the third start knows %d keys, %d without an end", third.keys.restored, third.keys.unknownOutcome)
	}
	for _, e := range []*standin.Engine{engine, other} {
		for body, n := range e.Runs() {
			if n != 1 {
				t.Errorf("%s ran %d times", body, n)
			}
		}
	}
}
