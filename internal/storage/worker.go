// Package storage writes to a key store outside the event loop: a goroutine commits all
// queued operations as a group and delivers the outcomes. Instants and durations are
// int64 microseconds where the key store has them so.
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

// The limits of the queue and the expiry of records.
const (
	maxQueuedOps    = 1 << 14 // as many more may be in the commit under way
	maxQueuedBytes  = 8 << 20 // results and overhead of the queued operations
	expiryInterval  = time.Second
	expiryMarginUS  = 5_000_000 // time that a record is kept after its window's end
	opOverheadBytes = 128       // counted for an operation beside its result
)

// ErrQueueFull is the error of an operation that the queue has no room for.
var ErrQueueFull = errors.New("storage: the write queue is full")

// ErrClosed is the error of an operation that was queued after Close.
var ErrClosed = errors.New("storage: closed")

// Outcome is the result of one operation.
type Outcome struct {
	Token uint32
	Err   error // nil = durable
}

// op is a queued operation with the token of its outcome; 0 = the outcome is not delivered.
type op struct {
	keystore.Op
	token uint32
}

// Worker owns a key store. Its methods may be called from any goroutine and never wait
// for the disk; outcomes are delivered from another goroutine.
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

// Start returns a running worker that owns the store. deliver receives the outcomes of
// each commit.
func Start(store *keystore.Store, now func() keystore.ClockReading, deliver func([]Outcome)) *Worker {
	w := &Worker{store: store, now: now, deliver: deliver, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Put queues the writing of a record. Its outcome is delivered with the token, or not at
// all where that is 0. If the queue is full the operation fails at once.
func (w *Worker) Put(token uint32, r keystore.Record) { w.add(op{keystore.Op{Record: r}, token}) }

// Delete queues the deletion of the record of a key that never ran.
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
			go w.deliver([]Outcome{{o.token, err}}) // not from the caller's goroutine
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
		expiryDue := false
		select {
		case <-w.wake:
		case <-ticker.C:
			expiryDue = true
		}
		w.mu.Lock()
		ops, closing := w.queue, w.closing
		w.queue, w.queuedBytes = nil, 0
		w.mu.Unlock()
		if len(ops) > 0 || expiryDue || closing {
			w.commit(ops)
		}
		if expiryDue {
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

// commit makes a group of operations durable and delivers their outcomes. The
// operations of a group that fails are committed one by one, unless the store as a
// whole has failed: one invalid operation must not fail the others.
func (w *Worker) commit(ops []op) {
	list := make([]keystore.Op, len(ops))
	for i := range ops {
		list[i] = ops[i].Op
	}
	start := time.Now()
	err := w.store.Commit(w.now(), list)
	w.maxCommitUS.Store(max(w.maxCommitUS.Load(), time.Since(start).Microseconds()))
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

// expire deletes the records whose window ended some time ago.
func (w *Worker) expire() {
	if err := w.store.DeleteExpired(w.now().Wall - expiryMarginUS); err != nil {
		w.errs.Add(1)
		w.lastError.Store(&err)
	}
	w.diskBytes.Store(int64(w.store.DiskBytes()))
}

// Close commits what is queued, closes the store and rejects new operations. The
// returned channel is closed when that is done.
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

// Stats are the worker's counters since the start, and its state.
type Stats struct {
	Commits, Operations, Errors int64
	MaxCommitUS                 int64 // duration of the longest commit
	Waiting                     int   // operations in the queue
	DiskBytes                   int64
	LastError                   error // nil = none
}

// Stats returns the current counters.
func (w *Worker) Stats() Stats {
	w.mu.Lock()
	waiting := len(w.queue)
	w.mu.Unlock()
	s := Stats{Commits: w.commits.Load(), Operations: w.operations.Load(), Errors: w.errs.Load(),
		MaxCommitUS: w.maxCommitUS.Load(), Waiting: waiting, DiskBytes: w.diskBytes.Load()}
	if err := w.lastError.Load(); err != nil {
		s.LastError = *err
	}
	return s
}

// ReadClocks reads the wall clock, the uptime and the boot ID. The uptime and the boot ID
// are 0 if one of them cannot be read.
func ReadClocks() keystore.ClockReading {
	r := keystore.ClockReading{Wall: time.Now().UnixMicro()}
	var up unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &up); err != nil {
		return r
	}
	if r.BootID = bootID(); r.BootID != 0 {
		r.Uptime = up.Nano() / 1000
	}
	return r
}

// bootID identifies the boot of the machine; 0 = unknown.
var bootID = sync.OnceValue(func() uint64 {
	id, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return 0
	}
	return xxhash.Sum64String(strings.TrimSpace(string(id))) | 1
})
