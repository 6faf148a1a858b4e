package publish

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// entry is one version in memory, as all followers are sent it.
type entry struct {
	number uint64
	digest document.Digest
	record []byte    // a protocol.FromPublisher
	since  time.Time // in force here
}

// versions is the log in memory: what senders read. The lock is held for some
// lookups and copies of slices' heads alone, never while anything is written or
// encoded.
type versions struct {
	mu      sync.Mutex
	doc     *document.Document
	digest  document.Digest // of doc
	first   uint64          // the number of entries[0]
	base    document.Digest // of the version before it
	since   time.Time       // the base has been in force
	entries []entry
	bytes   int
	whole   *snapshot
	made    int           // snapshots begun
	moved   chan struct{} // closed at the next version
}

// snapshot is one version whole, made when the first follower needs it.
type snapshot struct {
	doc    *document.Document
	number uint64
	digest document.Digest

	once   sync.Once
	text   []byte // by Document.Snapshot
	record []byte // the same as a protocol.FromPublisher
	err    error
	done   atomic.Bool
}

// make words the snapshot: once, whoever comes first.
func (s *snapshot) make() error {
	s.once.Do(func() {
		if s.text, s.err = s.doc.Snapshot(); s.err == nil {
			s.record, s.err = cbor.Marshal(&protocol.PublisherMessage{Snapshot: s.text})
		}
		s.done.Store(true)
	})
	return s.err
}

func newVersions(doc *document.Document) *versions {
	v := &versions{moved: make(chan struct{})}
	v.reset(doc)
	return v
}

// reset starts the log anew at a version that came whole.
func (v *versions) reset(doc *document.Document) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.doc, v.digest = doc, doc.Digest()
	v.first, v.base, v.since = doc.Header().Number+1, v.digest, time.Now()
	v.entries, v.bytes, v.whole = nil, 0, nil
	v.announce()
}

func (v *versions) announce() {
	close(v.moved)
	v.moved = make(chan struct{})
}

// add puts a version in force, and drops the oldest beyond the bounds.
func (v *versions) add(doc *document.Document, e entry, drop int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.doc, v.digest = doc, e.digest
	v.entries = append(v.entries, e)
	v.bytes += len(e.record)
	v.trim(drop)
	v.announce()
}

// restore is add for what was read from disk: nobody waits yet.
func (v *versions) restore(doc *document.Document, base document.Digest, list []entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.doc, v.digest, v.base, v.first, v.entries = doc, doc.Digest(), base, list[0].number, list
	for i := range list {
		v.bytes += len(list[i].record)
	}
}

func (v *versions) trim(drop int) {
	for i := range v.entries[:drop] {
		e := &v.entries[i]
		v.base, v.since = e.digest, e.since
		v.bytes -= len(e.record)
		*e = entry{} // what it points at is free before the list is moved
	}
	v.entries = v.entries[drop:]
	v.first += uint64(drop)
}

// excess is how many of the oldest entries must go before one of n bytes is added.
func (v *versions) excess(deltas, bytes, n int) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	drop, left := 0, v.bytes+n
	for drop < len(v.entries) && (len(v.entries)-drop+1 > deltas || left > bytes) {
		left -= len(v.entries[drop].record)
		drop++
	}
	return drop
}

// inForce returns the version in force.
func (v *versions) inForce() *document.Document {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.doc
}

// oldest is the version that the log reaches back to.
func (v *versions) oldest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.first - 1
}

// knows says whether the log holds that number, and whether with that digest.
func (v *versions) knows(number uint64, digest document.Digest) (known, same bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.look(number, digest)
}

func (v *versions) look(number uint64, digest document.Digest) (known, same bool) {
	switch at := number + 1 - v.first; {
	case number+1 < v.first || at > uint64(len(v.entries)):
		return false, false
	case at == 0:
		return true, digest == v.base
	default:
		return true, digest == v.entries[at-1].digest
	}
}

// behind is how long a version has been in force here that one on number is not on.
func (v *versions) behind(number uint64, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case number >= v.first-1+uint64(len(v.entries)):
		return 0
	case number+1 < v.first:
		return now.Sub(v.since)
	}
	return now.Sub(v.entries[number+1-v.first].since)
}

// The most that a sender takes from the log at once.
const (
	batchEntries = 64
	batchBytes   = 256 << 10
)

// next is what one on a version is to be sent.
type next struct {
	entries []entry
	whole   *snapshot // ... or this, see make
	fork    bool      // ... or nothing, ever
	beat    protocol.Heartbeat
	moved   <-chan struct{} // closed when there is more
}

// after says what comes after a version. The list reuses the space of scratch.
func (v *versions) after(number uint64, digest document.Digest, scratch []entry) next {
	v.mu.Lock()
	defer v.mu.Unlock()
	head := v.first - 1 + uint64(len(v.entries))
	n := next{entries: scratch[:0], moved: v.moved, beat: protocol.Heartbeat{Number: head, Digest: v.digest}}
	known, same := v.look(number, digest)
	switch {
	case number > head || head == 0:
		// It is ahead of this machine, which will catch up; or there is nothing yet.
	case number == 0 || !known:
		n.whole = v.snapshot(head)
	case !same:
		n.fork = true
	default:
		size := 0
		for _, e := range v.entries[number+1-v.first:] {
			if size += len(e.record); len(n.entries) == batchEntries || len(n.entries) > 0 && size > batchBytes {
				break
			}
			n.entries = append(n.entries, e)
		}
	}
	return n
}

// snapshot is the one at hand, while what has come since is less than a quarter
// of it and lies in the log: in a burst of versions with many who start, few are
// made. Else it is that of the version in force.
func (v *versions) snapshot(head uint64) *snapshot {
	if s := v.whole; s != nil && s.number+1 >= v.first {
		size := 0
		for _, e := range v.entries[s.number+1-v.first:] {
			size += len(e.record)
		}
		if s.number == head || size < s.size()/4 {
			return s
		}
	}
	v.made++
	v.whole = &snapshot{doc: v.doc, number: head, digest: v.digest}
	return v.whole
}

// size is how long it is; 0 while it is not made.
func (s *snapshot) size() int {
	if s.done.Load() {
		return len(s.record)
	}
	return 0
}
