package publish

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// entry is one version in memory, encoded as all followers receive it.
type entry struct {
	number  uint64
	digest  document.Digest
	message []byte    // an encoded protocol.PublisherMessage
	since   time.Time // when it came into force here
}

// versionLog is the log in memory, which the streams read. The lock is held only for
// lookups and copies of slice headers, never while anything is written or encoded.
type versionLog struct {
	mu            sync.Mutex
	doc           *document.Document // in force
	digest        document.Digest    // of doc
	firstNumber   uint64             // the number of entries[0]
	baseDigest    document.Digest    // of the version before entries[0]
	baseSince     time.Time          // when that version came into force here
	entries       []entry            // the newest deltas, by number
	bytes         int                // of their messages
	lastSnapshot  *snapshot
	snapshotsMade int           // snapshots begun
	changed       chan struct{} // closed at the next version
}

// snapshot is one whole version, encoded when the first follower needs it.
type snapshot struct {
	doc    *document.Document
	number uint64
	digest document.Digest

	once    sync.Once
	encoded []byte // by Document.Snapshot
	message []byte // the same as an encoded protocol.PublisherMessage
	err     error
	done    atomic.Bool
}

// encode encodes the snapshot, once for all callers.
func (s *snapshot) encode() error {
	s.once.Do(func() {
		if s.encoded, s.err = s.doc.Snapshot(); s.err == nil {
			s.message, s.err = cbor.Marshal(&protocol.PublisherMessage{Snapshot: s.encoded})
		}
		s.done.Store(true)
	})
	return s.err
}

// newVersionLog returns a log that starts at doc.
func newVersionLog(doc *document.Document) *versionLog {
	v := &versionLog{changed: make(chan struct{})}
	v.reset(doc)
	return v
}

// reset starts the log anew at a version that arrived as a snapshot.
func (v *versionLog) reset(doc *document.Document) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.doc, v.digest = doc, doc.Digest()
	v.firstNumber, v.baseDigest, v.baseSince = doc.Header().Number+1, v.digest, time.Now()
	v.entries, v.bytes, v.lastSnapshot = nil, 0, nil
	v.notifyChanged()
}

// notifyChanged wakes all streams that wait for a version.
func (v *versionLog) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// add puts a version in force, and drops the drop oldest entries.
func (v *versionLog) add(doc *document.Document, e entry, drop int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.doc, v.digest = doc, e.digest
	v.entries = append(v.entries, e)
	v.bytes += len(e.message)
	v.dropOldest(drop)
	v.notifyChanged()
}

// restore sets the log to what was read from disk, before any stream exists.
func (v *versionLog) restore(doc *document.Document, base document.Digest, list []entry) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.doc, v.digest, v.baseDigest, v.firstNumber, v.entries = doc, doc.Digest(), base, list[0].number, list
	for i := range list {
		v.bytes += len(list[i].message)
	}
}

// dropOldest drops the drop oldest entries.
func (v *versionLog) dropOldest(drop int) {
	for i := range v.entries[:drop] {
		e := &v.entries[i]
		v.baseDigest, v.baseSince = e.digest, e.since
		v.bytes -= len(e.message)
		*e = entry{} // releases the message although the array stays
	}
	v.entries = v.entries[drop:]
	v.firstNumber += uint64(drop)
}

// excess is how many of the oldest entries must be dropped before one of n bytes is
// added.
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

// oldest is the number of the version that the log reaches back to.
func (v *versionLog) oldest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.firstNumber - 1
}

// lookup reports whether the log holds a version with that number, and whether with
// that digest.
func (v *versionLog) lookup(number uint64, digest document.Digest) (known, same bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lookupLocked(number, digest)
}

// lookupLocked is lookup for callers that hold the lock.
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

// lag is how long the version after number has been in force here; 0 if there is
// none.
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

// The most that a stream takes from the log at once.
const (
	batchEntries = 64
	batchBytes   = 256 << 10
)

// update is what a follower is to be sent next.
type update struct {
	entries   []entry
	snapshot  *snapshot // ... or this, see encode
	fork      bool      // ... or nothing but heartbeats, ever
	heartbeat protocol.Heartbeat
	changed   <-chan struct{} // closed when there is more
}

// updateAfter returns what a follower on that version is to be sent. The list reuses
// the space of scratch.
func (v *versionLog) updateAfter(number uint64, digest document.Digest, scratch []entry) update {
	v.mu.Lock()
	defer v.mu.Unlock()
	newest := v.firstNumber - 1 + uint64(len(v.entries))
	n := update{entries: scratch[:0], changed: v.changed, heartbeat: protocol.Heartbeat{Number: newest, Digest: v.digest}}
	known, same := v.lookupLocked(number, digest)
	switch {
	case number > newest || newest == 0:
		// The follower is ahead of this machine, which will catch up; or there is no
		// version yet.
	case number == 0 || !known:
		n.snapshot = v.currentSnapshot(newest)
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

// currentSnapshot returns the last snapshot, as long as the deltas since are in the
// log and less than a quarter of its size, so that few are made when many followers
// start during a burst of versions. Otherwise it starts one of the version in force.
func (v *versionLog) currentSnapshot(newest uint64) *snapshot {
	if s := v.lastSnapshot; s != nil && s.number+1 >= v.firstNumber {
		size := 0
		for _, e := range v.entries[s.number+1-v.firstNumber:] {
			size += len(e.message)
		}
		if s.number == newest || size < s.size()/4 {
			return s
		}
	}
	v.snapshotsMade++
	v.lastSnapshot = &snapshot{doc: v.doc, number: newest, digest: v.digest}
	return v.lastSnapshot
}

// size is the length of the message; 0 until it is encoded.
func (s *snapshot) size() int {
	if s.done.Load() {
		return len(s.message)
	}
	return 0
}
