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

// outcomes gathers what a worker delivers.
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

// writeGate lets a sync go on only when it is opened.
type writeGate struct {
	shut atomic.Bool
	open chan struct{}
}

func (g *writeGate) inject(op errorfs.Op) error {
	if g.shut.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite {
		<-g.open
	}
	return nil
}

// While the disk stalls nothing waits in Put, the queue has a bound, and what
// waits is taken in few commits once the disk is back. Closing writes all.
func TestStalledDisk(t *testing.T) {
	t.Parallel()
	g := &writeGate{open: make(chan struct{})}
	mem := vfs.NewMem()
	w, o := startWorker(t, errorfs.Wrap(mem, errorfs.InjectorFunc(g.inject)), 0)
	w.Put(1, record(1))
	g.shut.Store(true)
	began := time.Now()
	const asked = maxQueuedOps + 1000
	for i := 2; i <= asked; i++ {
		w.Put(uint32(i), record(i))
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("asking took %v while the disk stalls", took)
	}
	if n := w.Stats().Waiting; n > maxQueuedOps {
		t.Errorf("%d operations wait, %d may", n, maxQueuedOps)
	}
	g.shut.Store(false)
	close(g.open)
	<-w.Close()
	w.Put(asked+1, record(0))
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		o.mu.Lock()
		n := len(o.got)
		o.mu.Unlock()
		if n == asked+1 {
			break
		}
		if time.Since(began) > 10*time.Second {
			t.Fatalf("%d outcomes of %d", n, asked+1)
		}
	}
	good, busy := 0, 0
	for token, err := range o.got {
		switch {
		case err == nil:
			good++
		case errors.Is(err, ErrQueueFull):
			busy++
		case token == asked+1 && errors.Is(err, ErrClosed):
		default:
			t.Errorf("%d: %v", token, err)
		}
	}
	if f := w.Stats(); good < maxQueuedOps || busy == 0 || f.Commits > 20 {
		t.Errorf("%d durable, %d had no room, %d commits", good, busy, f.Commits)
	}
	s, err := keystore.Open(keystore.Options{Folder: "keys", FS: mem, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if list, err := s.Load(0); err != nil || len(list) != good {
		t.Errorf("%d records on disk, %v; %d were acknowledged", len(list), err, good)
	}
}

// A full store refuses new keys and still takes ends; what does not fit the
// format fails alone.
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
	if f := w.Stats(); f.Errors == 0 || f.LastError == nil {
		t.Errorf("%+v", f)
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
