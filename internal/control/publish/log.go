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
	number  uint64
	digest  document.Digest
	message []byte    // a protocol.FromPublisher
	since   time.Time // in force here
}

// versionLog is the log in memory: what senders read. The lock is held for some
// lookups and copies of slices' heads alone, never while anything is written or
// encoded.
type versionLog struct {
	mu            sync.Mutex
	doc           *document.Document
	digest        document.Digest // of doc
	firstNumber   uint64          // the number of entries[0]
	baseDigest    document.Digest // of the version before it
	baseSince     time.Time       // the base has been in force
	entries       []entry
	bytes         int
	lastSnapshot  *snapshot
	snapshotsMade int           // snapshots begun
	changed       chan struct{} // closed at the next version
}

// snapshot is one version whole, made when the first follower needs it.
type snapshot struct {
	doc    *document.Document
	number uint64
	digest document.Digest

	once    sync.Once
	encoded []byte // by Document.Snapshot
	message []byte // the same as a protocol.FromPublisher
	err     error
	done    atomic.Bool
}

// encode words the snapshot: once, whoever comes first.
func (s *snapshot) encode() error {
	s.once.Do(func() {
		if s.encoded, s.err = s.doc.Snapshot(); s.err == nil {
			s.message, s.err = cbor.Marshal(&protocol.PublisherMessage{Snapshot: s.encoded})
		}
		s.done.Store(true)
	})
	return s.err
}

func newVersionLog(doc *document.Document) *versionLog {
	v := &versionLog{changed: make(chan struct{})}
	v.reset(doc)
	return v
}

// reset starts the log anew at a version that came whole.
func (v *versionLog) reset(doc *document.Document) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.doc, v.digest = doc, doc.Digest()
	v.firstNumber, v.baseDigest, v.baseSince = doc.Header().Number+1, v.digest, time.Now()
	v.entries, v.bytes, v.lastSnapshot = nil, 0, nil
	v.notifyChanged()
}

func (v *versionLog) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// add puts a version in force, and drops the oldest beyond the bounds.
func (v *versionLog) add(doc *document.Document, e entry, drop int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.doc, v.digest = doc, e.digest
	v.entries = append(v.entries, e)
	v.bytes += len(e.message)
	v.dropOldest(drop)
	v.notifyChanged()
}

// restore is add for what was read from disk: nobody waits yet.
func (v *versionLog) restore(doc *document.Document, base document.Digest, list []entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.doc, v.digest, v.baseDigest, v.firstNumber, v.entries = doc, doc.Digest(), base, list[0].number, list
	for i := range list {
		v.bytes += len(list[i].message)
	}
}

func (v *versionLog) dropOldest(drop int) {
	for i := range v.entries[:drop] {
		e := &v.entries[i]
		v.baseDigest, v.baseSince = e.digest, e.since
		v.bytes -= len(e.message)
		*e = entry{} // what it points at is free before the list is moved
	}
	v.entries = v.entries[drop:]
	v.firstNumber += uint64(drop)
}

// excess is how many of the oldest entries must go before one of n bytes is added.
func (v *versionLog) excess(deltas, bytes, n int) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	drop, left := 0, v.bytes+n
	for drop < len(v.entries) && (len(v.entries)-drop+1 > deltas || left > bytes) {
		left -= len(v.entries[drop].message)
		drop++
	}
	return drop
}

// inForce returns the version in force.
func (v *versionLog) inForce() *document.Document {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.doc
}

// oldest is the version that the log reaches back to.
func (v *versionLog) oldest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.firstNumber - 1
}

// lookup says whether the log holds that number, and whether with that digest.
func (v *versionLog) lookup(number uint64, digest document.Digest) (known, same bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lookupLocked(number, digest)
}

func (v *versionLog) lookupLocked(number uint64, digest document.Digest) (known, same bool) {
	switch at := number + 1 - v.firstNumber; {
	case number+1 < v.firstNumber || at > uint64(len(v.entries)):
		return false, false
	case at == 0:
		return true, digest == v.baseDigest
	default:
		return true, digest == v.entries[at-1].digest
	}
}

// lag is how long a version has been in force here that one on number is not on.
func (v *versionLog) lag(number uint64, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case number >= v.firstNumber-1+uint64(len(v.entries)):
		return 0
	case number+1 < v.firstNumber:
		return now.Sub(v.baseSince)
	}
	return now.Sub(v.entries[number+1-v.firstNumber].since)
}

// The most that a sender takes from the log at once.
const (
	batchEntries = 64
	batchBytes   = 256 << 10
)

// update is what one on a version is to be sent.
type update struct {
	entries   []entry
	snapshot  *snapshot // ... or this, see make
	fork      bool      // ... or nothing, ever
	heartbeat protocol.Heartbeat
	changed   <-chan struct{} // closed when there is more
}

// updateAfter says what comes after a version. The list reuses the space of scratch.
func (v *versionLog) updateAfter(number uint64, digest document.Digest, scratch []entry) update {
	v.mu.Lock()
	defer v.mu.Unlock()
	head := v.firstNumber - 1 + uint64(len(v.entries))
	n := update{entries: scratch[:0], changed: v.changed, heartbeat: protocol.Heartbeat{Number: head, Digest: v.digest}}
	known, same := v.lookupLocked(number, digest)
	switch {
	case number > head || head == 0:
		// It is ahead of this machine, which will catch up; or there is nothing yet.
	case number == 0 || !known:
		n.snapshot = v.currentSnapshot(head)
	case !same:
		n.fork = true
	default:
		size := 0
		for _, e := range v.entries[number+1-v.firstNumber:] {
			if size += len(e.message); len(n.entries) == batchEntries || len(n.entries) > 0 && size > batchBytes {
				break
			}
			n.entries = append(n.entries, e)
		}
	}
	return n
}

// currentSnapshot is the one at hand, while what has come since is less than a quarter
// of it and lies in the log: in a burst of versions with many who start, few are
// made. Else it is that of the version in force.
func (v *versionLog) currentSnapshot(head uint64) *snapshot {
	if s := v.lastSnapshot; s != nil && s.number+1 >= v.firstNumber {
		size := 0
		for _, e := range v.entries[s.number+1-v.firstNumber:] {
			size += len(e.message)
		}
		if s.number == head || size < s.size()/4 {
			return s
		}
	}
	v.snapshotsMade++
	v.lastSnapshot = &snapshot{doc: v.doc, number: head, digest: v.digest}
	return v.lastSnapshot
}

// size is how long it is; 0 while it is not made.
func (s *snapshot) size() int {
	if s.done.Load() {
		return len(s.message)
	}
	return 0
}
