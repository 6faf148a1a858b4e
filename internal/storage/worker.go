// Package storage does the disk's work beside the loop: a goroutine that takes
// all that waits into one commit of a key store, and hands the outcome back.
package storage

import (
	"errors"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"kiteslip/internal/keystore"
)

const (
	maxQueuedOps    = 1 << 14 // operations that wait, and as many that are under way
	maxQueuedBytes  = 8 << 20 // ... and their results
	expiryInterval  = time.Second
	expiryMarginUS  = 5_000_000 // microseconds after its window's end that a record stays
	opOverheadBytes = 128       // bytes that an operation counts beside its result
)

// ErrQueueFull says that more waits for the disk than there is room for.
var ErrQueueFull = errors.New("storage: too much waits for the disk")

// ErrClosed says that the worker was closed.
var ErrClosed = errors.New("storage: closed")

// Outcome is what became of one operation.
type Outcome struct {
	Token uint32
	Err   error // nil = durable
}

// op is an operation and who wants to hear of it; token 0 = nobody.
type op struct {
	keystore.Op
	token uint32
}

// Worker owns a store. Its methods may be called from any goroutine and never
// wait for the disk; outcomes are delivered from its own goroutine.
type Worker struct {
	store   *keystore.Store
	now     func() keystore.ClockReading
	deliver func([]Outcome)

	mu          sync.Mutex
	queue       []op
	queuedBytes int
	closing     bool
	wake        chan struct{}
	done        chan struct{}

	commits, operations, errs atomic.Int64
	maxCommitUS               atomic.Int64
	diskBytes                 atomic.Int64
	lastError                 atomic.Pointer[error]
}

// Start lets a worker own the store. deliver is given the outcomes of each commit.
func Start(store *keystore.Store, now func() keystore.ClockReading, deliver func([]Outcome)) *Worker {
	w := &Worker{store: store, now: now, deliver: deliver, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Put asks for a record to be kept; the outcome comes under the token, 0 = to
// nobody. What has no room in the queue fails at once.
func (w *Worker) Put(token uint32, r keystore.Record) { w.add(op{keystore.Op{Record: r}, token}) }

// Delete asks for the record of a key that never ran to go.
func (w *Worker) Delete(r keystore.Record) { w.add(op{keystore.Op{Record: r, Delete: true}, 0}) }

func (w *Worker) add(o op) {
	w.mu.Lock()
	err := error(nil)
	size := opOverheadBytes + len(o.Record.Result)
	switch {
	case w.closing:
		err = ErrClosed
	case len(w.queue) >= maxQueuedOps || w.queuedBytes+size > maxQueuedBytes:
		err = ErrQueueFull
	default:
		w.queue = append(w.queue, o)
		w.queuedBytes += size
	}
	w.mu.Unlock()
	if err != nil {
		w.errs.Add(1)
		w.lastError.Store(&err)
		if o.token != 0 {
			go w.deliver([]Outcome{{o.token, err}}) // never from inside the caller
		}
		return
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Worker) run() {
	defer close(w.done)
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		late := false
		select {
		case <-w.wake:
		case <-ticker.C:
			late = true
		}
		w.mu.Lock()
		ops, closing := w.queue, w.closing
		w.queue, w.queuedBytes = nil, 0
		w.mu.Unlock()
		if len(ops) > 0 || late || closing {
			w.commit(ops)
		}
		if late {
			w.expire()
		}
		if closing {
			if err := w.store.Close(); err != nil {
				w.lastError.Store(&err)
			}
			return
		}
	}
}

// commit makes a group durable and says so. A group that fails is tried again
// one by one where an operation of its own may be at fault.
func (w *Worker) commit(ops []op) {
	list := make([]keystore.Op, len(ops))
	for i := range ops {
		list[i] = ops[i].Op
	}
	began := time.Now()
	err := w.store.Commit(w.now(), list)
	w.maxCommitUS.Store(max(w.maxCommitUS.Load(), time.Since(began).Microseconds()))
	w.commits.Add(1)
	w.operations.Add(int64(len(ops)))
	if err != nil {
		w.errs.Add(1)
		w.lastError.Store(&err)
	}
	outcomes := make([]Outcome, 0, len(ops))
	for i := range ops {
		one := err
		if err != nil && len(ops) > 1 && !errors.Is(err, keystore.ErrFailed) {
			one = w.store.Commit(w.now(), list[i:i+1])
		}
		if ops[i].token != 0 {
			outcomes = append(outcomes, Outcome{ops[i].token, one})
		}
	}
	if len(outcomes) > 0 {
		w.deliver(outcomes)
	}
}

// expire gives the space of aged keys back.
func (w *Worker) expire() {
	if err := w.store.DeleteExpired(w.now().Wall - expiryMarginUS); err != nil {
		w.errs.Add(1)
		w.lastError.Store(&err)
	}
	w.diskBytes.Store(int64(w.store.DiskBytes()))
}

// Close takes nothing new, makes what waits durable and closes the store. The
// channel is closed when that is done.
func (w *Worker) Close() <-chan struct{} {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return w.done
}

// Stats are the worker's counts since the start.
type Stats struct {
	Commits, Operations, Errors int64
	MaxCommitUS                 int64 // the longest commit
	Waiting                     int
	DiskBytes                   int64
	LastError                   error // the last error; nil = none
}

// Stats returns the counts.
func (w *Worker) Stats() Stats {
	w.mu.Lock()
	waiting := len(w.queue)
	w.mu.Unlock()
	f := Stats{Commits: w.commits.Load(), Operations: w.operations.Load(), Errors: w.errs.Load(),
		MaxCommitUS: w.maxCommitUS.Load(), Waiting: waiting, DiskBytes: w.diskBytes.Load()}
	if err := w.lastError.Load(); err != nil {
		f.LastError = *err
	}
	return f
}

// ReadClocks reads the machine's two clocks.
func ReadClocks() keystore.ClockReading {
	m := keystore.ClockReading{Wall: time.Now().UnixMicro()}
	var up unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &up); err != nil {
		return m
	}
	if m.BootID = bootID(); m.BootID != 0 {
		m.Uptime = up.Nano() / 1000
	}
	return m
}

// bootID names the machine's start; 0 = not known.
var bootID = sync.OnceValue(func() uint64 {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return 0
	}
	return xxhash.Sum64String(strings.TrimSpace(string(id))) | 1
})
