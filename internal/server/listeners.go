package server

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// frontend is a listener with the protocol of its connections and their connection slots.
type frontend struct {
	net.Listener
	newHandler func() handler
	slots      chan struct{}
	admin      bool // the admin endpoint, whose connections are enrolled one by one
	shared     bool // other processes may have the socket too
}

// Listen opens the listeners; Serve calls it if it was not called before.
func (s *Server) Listen() error {
	if s.listeners != nil {
		return nil
	}
	for _, f := range []struct {
		address    string
		newHandler func() handler
	}{
		{s.cfg.Listen, func() handler { return newFrameConn(s) }},
		{s.cfg.UWSGI.Listen, func() handler { return newUWSGIConn(s) }},
	} {
		if f.address == "" {
			continue
		}
		var l net.Listener
		var err error
		shared := s.cfg.InheritedFD != 0
		if shared && len(s.listeners) == 0 {
			l, err = s.inheritedListener()
		} else if l = s.passedListener(f.address); l == nil {
			l, err = net.Listen("tcp", f.address)
		}
		if err != nil {
			s.closeListeners()
			return fmt.Errorf("listen: %w", err)
		}
		s.listeners = append(s.listeners, frontend{Listener: l, newHandler: f.newHandler, slots: s.slots, shared: shared})
	}
	s.passedListener("") // closes a passed listener that was not used
	if s.cfg.Ops != "" {
		l, err := net.Listen("tcp", s.cfg.Ops)
		if err != nil {
			s.closeListeners()
			return fmt.Errorf("ops: %w", err)
		}
		s.admin = &frontend{Listener: l, newHandler: func() handler { return newAdminConn(s) }, slots: s.adminSlots, admin: true}
	}
	return nil
}

// Addresses returns the addresses listened on: of the frame protocol, then of uwsgi,
// where configured.
func (s *Server) Addresses() []string {
	var addresses []string
	for _, l := range s.listeners {
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// closeListeners closes the listeners at once.
func (s *Server) closeListeners() {
	s.closingListeners.Store(true)
	for _, l := range s.listeners {
		l.Close()
	}
}

const (
	finalAcceptWindow   = 10 * time.Millisecond // an accept that waits this long has found the accept queue empty
	acceptRetryInterval = 10 * time.Millisecond // between two accepts while they fail
	acceptWarnInterval  = time.Second           // between two log lines about failing accepts
)

// drainListeners closes the listeners once the connections in their accept queues
// have been accepted: closing a listener resets those that wait there, with the
// requests they carry. A socket on which another process goes on accepting keeps
// its queue.
func (s *Server) drainListeners() {
	s.closingListeners.Store(true)
	for i, l := range s.listeners {
		if s.activeListeners == 0 || s.upgrade.keysHandedOver || i == 0 && s.cfg.InheritedFD != 0 || !setFinalAcceptDeadline(l.Listener) {
			go l.Close() //nolint:errcheck // waits for an accept in the system, see ensureNonblocking
		}
	}
}

// ensureNonblocking makes accepts return where no connection waits. Whether a socket is
// in blocking mode is shared by all processes that have it, and any of them may change
// it, for instance a platform that passes it on. An accept that stays in the system all
// the same, as the change came right after, only delays the close of the listener.
func ensureNonblocking(l net.Listener) {
	checkSocket(l, func(fd int) bool { return unix.SetNonblock(fd, true) == nil })
}

// acceptLoop accepts connections as long as there are slots for them. It never
// waits for the loop, so the whole accept queue is emptied at once, see
// docs/design/door.md.
func (s *Server) acceptLoop(l frontend) {
	defer s.onLoop(func() {
		if !l.admin {
			s.activeListeners--
		}
		s.scheduleIteration()
	})
	defer l.Close()
	warned, off := time.Time{}, false
	for s.acquireSlot(l) {
		if s.closingListeners.Load() && !l.admin {
			setFinalAcceptDeadline(l.Listener) // where this fails the listener is closed already
		}
		if l.shared {
			ensureNonblocking(l.Listener)
		}
		c, err := l.Accept()
		if err == nil {
			s.enrolling.Add(1)
			if l.admin {
				s.enrolConn(c, l)
			} else {
				go s.enrolConn(c, l)
			}
			continue
		}
		s.releaseSlot(l)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			// On a busy machine the deadline may have passed before the queue was checked.
			if !s.closingListeners.Load() || hasQueuedConnection(l.Listener) {
				continue
			}
			if off || !blockNewConnections(l.Listener) || !hasQueuedConnection(l.Listener) {
				return
			}
			off = true // connections that arrived in between are the last ones
			continue
		}
		// Most likely the system is out of descriptors. Pauses, as accepts that fail at once would load the processor and fill the log.
		if time.Since(warned) >= acceptWarnInterval {
			warned = time.Now()
			s.log.Warn("accept", zap.Error(err))
		}
		select {
		case <-time.After(acceptRetryInterval):
		case <-s.runCtx.Done():
			return
		}
	}
}

// blockNewConnections makes the system drop packets that would open a connection,
// so that none is queued between the last check of the queue and the close: the
// caller's system resends them and is refused. false = the system can't do this.
func blockNewConnections(l net.Listener) bool {
	nothing := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	return checkSocket(l, func(fd int) bool {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(nothing)), Filter: &nothing[0]}) == nil
	})
}

// hasQueuedConnection reports whether a connection waits in the accept queue.
func hasQueuedConnection(l net.Listener) bool {
	return checkSocket(l, func(fd int) bool {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err == nil && n > 0
	})
}

// checkSocket returns the result of f for a listener's socket; false where it has none.
func checkSocket(l net.Listener, f func(fd int) bool) (result bool) {
	c, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { result = f(int(fd)) }) == nil && result
}

// setFinalAcceptDeadline limits accepts to a final check of the queue; false = the
// listener has no deadlines or is closed.
func setFinalAcceptDeadline(l net.Listener) bool {
	queue, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && queue.SetDeadline(time.Now().Add(finalAcceptWindow)) == nil
}

// enrolDescriptors: while a connection is enrolled with the loop it has two descriptors.
const enrolDescriptors = 2

// acquireSlot waits for a connection slot, and on callers' front ends for the
// descriptors; false = the process ends.
func (s *Server) acquireSlot(l frontend) bool {
	select {
	case l.slots <- struct{}{}:
	case <-s.runCtx.Done():
		return false
	}
	if l.admin {
		return true
	}
	if s.descriptors.Acquire(s.runCtx, enrolDescriptors) != nil {
		<-l.slots
		return false
	}
	return true
}

// releaseSlot returns what acquireSlot took, where no connection was enrolled.
func (s *Server) releaseSlot(l frontend) {
	if !l.admin {
		s.descriptors.Release(enrolDescriptors)
	}
	<-l.slots
}

// releaseCallerSlot returns the slot and descriptor of a caller's connection that
// has ended.
func (s *Server) releaseCallerSlot() {
	s.descriptors.Release(1)
	<-s.slots
}

// enrolConn hands an accepted connection to the loop and waits until the loop has it.
func (s *Server) enrolConn(c net.Conn, l frontend) {
	defer s.enrolling.Add(-1)
	if _, err := s.client.EnrollContext(c, l.newHandler()); err != nil {
		s.releaseSlot(l)
		s.log.Warn("accept", zap.Error(err))
		return
	}
	if !l.admin {
		s.descriptors.Release(enrolDescriptors - 1)
	}
}
