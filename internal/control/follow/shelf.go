package follow

import (
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/document"
)

// diskWithin is how long a version waits for the disk before it is acknowledged all the same.
const diskWithin = 300 * time.Millisecond

// shelf is a keeper whose disk may hang: what a version is written by is waited
// for, but not for long. While it hangs the newest version alone is remembered.
// At most one write is under way; it belongs to the follower's goroutine.
type shelf struct {
	keeper
	busy chan struct{}      // closed when the write that hangs has ended; nil = none hangs
	next *document.Document // in force since; nil = none
}

// hangs says whether a write is under way still.
func (s *shelf) hangs() bool {
	if s.busy == nil {
		return false
	}
	select {
	case <-s.busy:
		s.busy = nil
		s.log.Info("control: the disk of the kept version goes on", zap.String("folder", s.folder))
		return false
	default:
		return true
	}
}

// give has the disk do a thing, and waits for a moment.
func (s *shelf) give(do func()) {
	done, late := make(chan struct{}), time.NewTimer(diskWithin)
	defer late.Stop()
	go func() {
		defer close(done)
		do()
	}()
	select {
	case <-done:
	case <-late.C:
		s.busy = done
		s.log.Warn("control: the disk of the kept version hangs; the server goes on", zap.String("folder", s.folder))
	}
}

// save is keeper's, see there.
func (s *shelf) save(now time.Duration, doc *document.Document, delta bool, text []byte) {
	switch {
	case s.folder == "":
	case s.hangs():
		s.next = doc
	default:
		s.next = nil
		s.give(func() { s.keeper.save(now, doc, delta, text) })
	}
}

// tend is keeper's, see there.
func (s *shelf) tend(now time.Duration) {
	switch {
	case s.folder == "" || s.hangs():
	case s.next != nil:
		s.save(now, s.next, false, nil)
	case s.want != nil && now >= s.after:
		s.give(func() { s.keeper.tend(now) })
	}
}

// due is keeper's, see there; while the disk hangs the next beat looks again.
func (s *shelf) due() time.Duration {
	if s.hangs() {
		return 0
	}
	return s.keeper.due()
}

// close is keeper's, see there. What hangs is left to the end of the process.
func (s *shelf) close() {
	if !s.hangs() {
		s.give(s.keeper.close)
	}
}
