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

// frontend is a listener, what its connections speak, and the places for them.
type frontend struct {
	net.Listener
	newHandler func() handler
	slots      chan struct{}
	admin      bool // it is the operators', whose connections are handed over one by one
}

// Listen opens the listeners, which Serve does otherwise.
func (s *Server) Listen() error {
	if s.listeners != nil {
		return nil
	}
	for _, f := range []struct {
		address string
		session func() handler
	}{
		{s.cfg.Listen, func() handler { return newFrameConn(s) }},
		{s.cfg.UWSGI.Listen, func() handler { return newUWSGIConn(s) }},
	} {
		if f.address == "" {
			continue
		}
		var l net.Listener
		var err error
		if s.cfg.InheritedFD != 0 && len(s.listeners) == 0 {
			l, err = s.inheritedListener()
		} else if l = s.passedListener(f.address); l == nil {
			l, err = net.Listen("tcp", f.address)
		}
		if err != nil {
			s.closeListeners()
			return fmt.Errorf("listen: %w", err)
		}
		s.listeners = append(s.listeners, frontend{Listener: l, newHandler: f.session, slots: s.slots})
	}
	s.passedListener("") // one that is left over has no use
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

// Addresses are those listened on: of the platform's protocol, then of uwsgi, where set up.
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
	finalAcceptWindow   = 10 * time.Millisecond // an accept that waits so long has found the system's queue empty
	acceptRetryInterval = 10 * time.Millisecond // between two tries to accept while that fails
	acceptWarnInterval  = time.Second           // between two lines in the log that say so
)

// drainListeners closes the listeners once what stands in the system's queue has
// been taken in: a listener that is closed resets what waits there, with the
// requests that came on it. A socket that another process goes on accepting on
// keeps its queue.
func (s *Server) drainListeners() {
	s.closingListeners.Store(true)
	for i, l := range s.listeners {
		if s.activeListeners == 0 || s.upgrade.keysHandedOver || i == 0 && s.cfg.InheritedFD != 0 || !setFinalAcceptDeadline(l.Listener) {
			l.Close()
		}
	}
}

// acceptLoop takes connections as long as there is a slot for them. It never waits
// for the loop: what stands in the system's queue is taken in one turn, see
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
			setFinalAcceptDeadline(l.Listener) // where that fails the listener is closed already
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
			// Guards the queue on a busy machine: the time may have passed before it was looked at.
			if !s.closingListeners.Load() || hasQueuedConnection(l.Listener) {
				continue
			}
			if off || !blockNewConnections(l.Listener) || !hasQueuedConnection(l.Listener) {
				return
			}
			off = true // what has come in between is the last
			continue
		}
		// Most likely the system is out of descriptors. Guards the processor and the log against a loop that fails at once.
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

// blockNewConnections has the system pass over what would open a connection, so that none
// comes between the last look at the queue and the close: its caller tries again
// and is refused. false = the system does not.
func blockNewConnections(l net.Listener) bool {
	nothing := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	return checkSocket(l, func(fd int) bool {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(nothing)), Filter: &nothing[0]}) == nil
	})
}

// hasQueuedConnection says whether the system has a connection that waits to be accepted.
func hasQueuedConnection(l net.Listener) bool {
	return checkSocket(l, func(fd int) bool {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err == nil && n > 0
	})
}

// checkSocket asks f about a listener's socket; false where it has none.
func checkSocket(l net.Listener, f func(fd int) bool) (yes bool) {
	c, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { yes = f(int(fd)) }) == nil && yes
}

// setFinalAcceptDeadline lets accepts wait only for a last look at the queue; false = the listener has no such time.
func setFinalAcceptDeadline(l net.Listener) bool {
	queue, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && queue.SetDeadline(time.Now().Add(finalAcceptWindow)) == nil
}

// A connection that is being handed to the loop has two descriptors for a moment.
const enrolDescriptors = 2

// acquireSlot waits for a place, and where the front has callers for descriptors;
// false = the process ends.
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

// releaseSlot gives back what takeSlot took, where no connection came of it.
func (s *Server) releaseSlot(l frontend) {
	if !l.admin {
		s.descriptors.Release(enrolDescriptors)
	}
	<-l.slots
}

// releaseCallerSlot gives back the place of a caller's connection that is gone.
func (s *Server) releaseCallerSlot() {
	s.descriptors.Release(1)
	<-s.slots
}

// enrolConn hands an accepted connection to the loop and waits until that has it.
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
