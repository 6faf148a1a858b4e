package follow

import (
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/document"
)

// diskTimeout is how long an acknowledgement waits for a version to be written.
const diskTimeout = 300 * time.Millisecond

// asyncStore is a versionStore whose disk may hang: a write is waited for at most
// diskTimeout. While one hangs, only the newest version is remembered. At most one
// write is under way; the store belongs to the follower's goroutine.
type asyncStore struct {
	versionStore
	hungWrite chan struct{}      // closed when the hung write has ended; nil = none hangs
	newest    *document.Document // put in force while a write hung; nil = none
}

// hung reports whether a write is still under way.
func (s *asyncStore) hung() bool {
	if s.hungWrite == nil {
		return false
	}
	select {
	case <-s.hungWrite:
		s.hungWrite = nil
		s.log.Info("control: the disk of the stored version responds again", zap.String("folder", s.folder))
		return false
	default:
		return true
	}
}

// runWithTimeout runs do in a goroutine, and waits for it at most diskTimeout.
func (s *asyncStore) runWithTimeout(do func()) {
	done, timeout := make(chan struct{}), time.NewTimer(diskTimeout)
	defer timeout.Stop()
	go func() {
		defer close(done)
		do()
	}()
	select {
	case <-done:
	case <-timeout.C:
		s.hungWrite = done
		s.log.Warn("control: the disk of the stored version hangs; the server goes on", zap.String("folder", s.folder))
	}
}

// save is versionStore.save; while the disk hangs it only remembers doc.
func (s *asyncStore) save(now time.Duration, doc *document.Document, delta bool, encoded []byte) {
	switch {
	case s.folder == "":
	case s.hung():
		s.newest = doc
	default:
		s.newest = nil
		s.runWithTimeout(func() { s.versionStore.save(now, doc, delta, encoded) })
	}
}

// writeIfDue is versionStore.writeIfDue, and saves the newest version after the disk
// hung.
func (s *asyncStore) writeIfDue(now time.Duration) {
	switch {
	case s.folder == "" || s.hung():
	case s.newest != nil:
		s.save(now, s.newest, false, nil)
	case s.pending != nil && now >= s.notBefore:
		s.runWithTimeout(func() { s.versionStore.writeIfDue(now) })
	}
}

// nextWrite is versionStore.nextWrite; while the disk hangs the next heartbeat
// checks again.
func (s *asyncStore) nextWrite() time.Duration {
	if s.hung() {
		return 0
	}
	return s.versionStore.nextWrite()
}

// close is versionStore.close. A hung write is left to the end of the process.
func (s *asyncStore) close() {
	if !s.hung() {
		s.runWithTimeout(s.versionStore.close)
	}
}
