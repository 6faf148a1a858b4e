package follow

import (
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/document"
)

// diskTimeout is how long a version waits for the disk before it is acknowledged all the same.
const diskTimeout = 300 * time.Millisecond

// asyncStore is a keeper whose disk may hang: what a version is written by is waited
// for, but not for long. While it hangs the newest version alone is remembered.
// At most one write is under way; it belongs to the follower's goroutine.
type asyncStore struct {
	versionStore
	hungWrite chan struct{}      // closed when the write that hangs has ended; nil = none hangs
	newest    *document.Document // in force since; nil = none
}

// hung says whether a write is under way still.
func (s *asyncStore) hung() bool {
	if s.hungWrite == nil {
		return false
	}
	select {
	case <-s.hungWrite:
		s.hungWrite = nil
		s.log.Info("control: the disk of the kept version goes on", zap.String("folder", s.folder))
		return false
	default:
		return true
	}
}

// runWithTimeout has the disk do a thing, and waits for a moment.
func (s *asyncStore) runWithTimeout(do func()) {
	done, late := make(chan struct{}), time.NewTimer(diskTimeout)
	defer late.Stop()
	go func() {
		defer close(done)
		do()
	}()
	select {
	case <-done:
	case <-late.C:
		s.hungWrite = done
		s.log.Warn("control: the disk of the kept version hangs; the server goes on", zap.String("folder", s.folder))
	}
}

// save is keeper's, see there.
func (s *asyncStore) save(now time.Duration, doc *document.Document, delta bool, text []byte) {
	switch {
	case s.folder == "":
	case s.hung():
		s.newest = doc
	default:
		s.newest = nil
		s.runWithTimeout(func() { s.versionStore.save(now, doc, delta, text) })
	}
}

// writeIfDue is keeper's, see there.
func (s *asyncStore) writeIfDue(now time.Duration) {
	switch {
	case s.folder == "" || s.hung():
	case s.newest != nil:
		s.save(now, s.newest, false, nil)
	case s.pending != nil && now >= s.notBefore:
		s.runWithTimeout(func() { s.versionStore.writeIfDue(now) })
	}
}

// nextWrite is keeper's, see there; while the disk hangs the next beat looks again.
func (s *asyncStore) nextWrite() time.Duration {
	if s.hung() {
		return 0
	}
	return s.versionStore.nextWrite()
}

// close is keeper's, see there. What hangs is left to the end of the process.
func (s *asyncStore) close() {
	if !s.hung() {
		s.runWithTimeout(s.versionStore.close)
	}
}
