package storage

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"kiteslip/internal/keystore"
)

func record(i int) keystore.Record {
	return keystore.Record{Class: "note", Key: fmt.Sprint("k", i), TryID: "n", Arrived: 1, WindowEnd: 1 << 60}
}

// outcomes collects the delivered outcomes by token.
type outcomes struct {
	mu  sync.Mutex
	got map[uint32]error
}

func (o *outcomes) deliver(list []Outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, one := range list {
		o.got[one.Token] = one.Err
	}
}

func startWorker(t *testing.T, fs vfs.FS, max int64) (*Worker, *outcomes) {
	t.Helper()
	s, err := keystore.Open(keystore.Options{Folder: "keys", FS: fs, Now: ReadClocks(), MaxBytes: max})
	if err != nil {
		t.Fatal(err)
	}
	o := &outcomes{got: map[uint32]error{}}
	return Start(s, ReadClocks, o.deliver), o
}

// writeGate blocks writes to the file system while it is shut, until open is closed.
type writeGate struct {
	shut    atomic.Bool
	blocked atomic.Int64 // writes that were blocked
	open    chan struct{}
}

func (g *writeGate) inject(op errorfs.Op) error {
	if g.shut.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
		g.blocked.Add(1)
		<-g.open
	}
	return nil
}

// While a commit is blocked in the disk, Put does not block and the queue takes exactly
// its limit; afterwards the queue is written in few commits, and Close writes the rest.
// Guards against an event loop that waits for the disk.
func TestStalledDisk(t *testing.T) {
	t.Parallel()
	g := &writeGate{open: make(chan struct{})}
	mem := vfs.NewMem()
	w, o := startWorker(t, errorfs.Wrap(mem, errorfs.InjectorFunc(g.inject)), 0)
	g.shut.Store(true)
	w.Put(1, record(1))
	for start := time.Now(); w.Stats().Waiting > 0 || g.blocked.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Since(start) > 10*time.Second {
			t.Fatal("the first commit does not reach the disk")
		}
	}
	start := time.Now()
	const total = maxQueuedOps + 1000
	for i := 2; i <= total; i++ {
		w.Put(uint32(i), record(i))
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("Put took %v in all while the disk was blocked", took)
	}
	if n := w.Stats().Waiting; n != maxQueuedOps {
		t.Errorf("%d operations are queued, want %d", n, maxQueuedOps)
	}
	g.shut.Store(false)
	close(g.open)
	<-w.Close()
	w.Put(total+1, record(0))
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		o.mu.Lock()
		n := len(o.got)
		o.mu.Unlock()
		if n == total+1 {
			break
		}
		if time.Since(start) > 10*time.Second {
			t.Fatalf("%d outcomes, want %d", n, total+1)
		}
	}
	durable, rejected := 0, 0
	for token, err := range o.got {
		switch {
		case err == nil:
			durable++
		case errors.Is(err, ErrQueueFull):
			rejected++
		case token == total+1 && errors.Is(err, ErrClosed):
		default:
			t.Errorf("%d: %v", token, err)
		}
	}
	const wantDurable = 1 + maxQueuedOps // the commit under way and the queue
	if s := w.Stats(); durable != wantDurable || rejected != total-wantDurable || s.Commits > 20 {
		t.Errorf("%d durable, %d rejected, %d commits; want %d, %d and at most 20", durable, rejected, s.Commits, wantDurable, total-wantDurable)
	}
	s, err := keystore.Open(keystore.Options{Folder: "keys", FS: mem, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if list, err := s.Load(0); err != nil || len(list) != durable {
		t.Errorf("%d records on disk, %v; %d were acknowledged", len(list), err, durable)
	}
}

// A full store rejects new keys and still records ends, and a result that is too large
// fails alone, not the group that it is committed with.
func TestErrorsAreReported(t *testing.T) {
	t.Parallel()
	w, o := startWorker(t, vfs.NewMem(), 1)
	end, long := record(2), record(3)
	end.Finished = true
	long.Finished, long.Result = true, make([]byte, 2<<20)
	w.Put(1, record(1))
	w.Put(2, end)
	w.Put(3, long)
	<-w.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !errors.Is(o.got[1], keystore.ErrFull) || o.got[2] != nil || o.got[3] == nil {
		t.Errorf("%v", o.got)
	}
	if s := w.Stats(); s.Errors == 0 || s.LastError == nil {
		t.Errorf("%+v", s)
	}
}

func TestReadClocks(t *testing.T) {
	t.Parallel()
	a := ReadClocks()
	time.Sleep(2 * time.Millisecond)
	b := ReadClocks()
	if a.BootID == 0 || a.BootID != b.BootID || b.Uptime <= a.Uptime || keystore.WindowExtension(a, b) != 0 {
		t.Errorf("%+v, then %+v", a, b)
	}
}
