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

// front is a listener, what its connections speak, and the places for them.
type front struct {
	net.Listener
	session func() handler
	slots   chan struct{}
	admin   bool // it is the operators', whose connections are handed over one by one
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
		{s.cfg.Listen, func() handler { return newSession(s) }},
		{s.cfg.UWSGI.Listen, func() handler { return newWebSession(s) }},
	} {
		if f.address == "" {
			continue
		}
		var l net.Listener
		var err error
		if s.cfg.InheritedFD != 0 && len(s.listeners) == 0 {
			l, err = s.inherit()
		} else if l = s.passed(f.address); l == nil {
			l, err = net.Listen("tcp", f.address)
		}
		if err != nil {
			s.unlisten()
			return fmt.Errorf("listen: %w", err)
		}
		s.listeners = append(s.listeners, front{Listener: l, session: f.session, slots: s.slots})
	}
	s.passed("") // one that is left over has no use
	if s.cfg.Ops != "" {
		l, err := net.Listen("tcp", s.cfg.Ops)
		if err != nil {
			s.unlisten()
			return fmt.Errorf("ops: %w", err)
		}
		s.admin = &front{Listener: l, session: func() handler { return newAdminConn(s) }, slots: s.adminSlots, admin: true}
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

// unlisten closes the listeners at once.
func (s *Server) unlisten() {
	s.stopping.Store(true)
	for _, l := range s.listeners {
		l.Close()
	}
}

const (
	lastLook  = 10 * time.Millisecond // an accept that waits so long has found the system's queue empty
	noRoom    = 10 * time.Millisecond // between two tries to accept while that fails
	warnEvery = time.Second           // between two lines in the log that say so
)

// endListening closes the listeners once what stands in the system's queue has
// been taken in: a listener that is closed resets what waits there, with the
// requests that came on it. A socket that another process goes on accepting on
// keeps its queue.
func (s *Server) endListening() {
	s.stopping.Store(true)
	for i, l := range s.listeners {
		if s.accepting == 0 || s.handing.handed || i == 0 && s.cfg.InheritedFD != 0 || !lookOnce(l.Listener) {
			l.Close()
		}
	}
}

// accept takes connections as long as there is a slot for them. It never waits
// for the loop: what stands in the system's queue is taken in one turn, see
// docs/design/door.md.
func (s *Server) accept(l front) {
	defer s.onLoop(func() {
		if !l.admin {
			s.accepting--
		}
		s.schedule()
	})
	defer l.Close()
	warned, off := time.Time{}, false
	for s.takeSlot(l) {
		if s.stopping.Load() && !l.admin {
			lookOnce(l.Listener) // where that fails the listener is closed already
		}
		c, err := l.Accept()
		if err == nil {
			s.entering.Add(1)
			if l.admin {
				s.enter(c, l)
			} else {
				go s.enter(c, l)
			}
			continue
		}
		s.freeSlot(l)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Guards the queue on a busy machine: the time may have passed before it was looked at.
			if !s.stopping.Load() || queued(l.Listener) {
				continue
			}
			if off || !turnOff(l.Listener) || !queued(l.Listener) {
				return
			}
			off = true // what has come in between is the last
			continue
		}
		// Most likely the system is out of descriptors. Guards the processor and the log against a loop that fails at once.
		if time.Since(warned) >= warnEvery {
			warned = time.Now()
			s.log.Warn("accept", zap.Error(err))
		}
		select {
		case <-time.After(noRoom):
		case <-s.life.Done():
			return
		}
	}
}

// turnOff has the system pass over what would open a connection, so that none
// comes between the last look at the queue and the close: its caller tries again
// and is refused. false = the system does not.
func turnOff(l net.Listener) bool {
	nothing := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	return onSocket(l, func(fd int) bool {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(nothing)), Filter: &nothing[0]}) == nil
	})
}

// queued says whether the system has a connection that waits to be accepted.
func queued(l net.Listener) bool {
	return onSocket(l, func(fd int) bool {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		return err == nil && n > 0
	})
}

// onSocket asks f about a listener's socket; false where it has none.
func onSocket(l net.Listener, f func(fd int) bool) (yes bool) {
	c, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	return err == nil && raw.Control(func(fd uintptr) { yes = f(int(fd)) }) == nil && yes
}

// lookOnce lets accepts wait only for a last look at the queue; false = the listener has no such time.
func lookOnce(l net.Listener) bool {
	queue, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && queue.SetDeadline(time.Now().Add(lastLook)) == nil
}

// A connection that is being handed to the loop has two descriptors for a moment.
const enterDescriptors = 2

// takeSlot waits for a place, and where the front has callers for descriptors;
// false = the process ends.
func (s *Server) takeSlot(l front) bool {
	select {
	case l.slots <- struct{}{}:
	case <-s.life.Done():
		return false
	}
	if l.admin {
		return true
	}
	if s.descriptors.Acquire(s.life, enterDescriptors) != nil {
		<-l.slots
		return false
	}
	return true
}

// freeSlot gives back what takeSlot took, where no connection came of it.
func (s *Server) freeSlot(l front) {
	if !l.admin {
		s.descriptors.Release(enterDescriptors)
	}
	<-l.slots
}

// leaveSlot gives back the place of a caller's connection that is gone.
func (s *Server) leaveSlot() {
	s.descriptors.Release(1)
	<-s.slots
}

// enter hands an accepted connection to the loop and waits until that has it.
func (s *Server) enter(c net.Conn, l front) {
	defer s.entering.Add(-1)
	if _, err := s.client.EnrollContext(c, l.session()); err != nil {
		s.freeSlot(l)
		s.log.Warn("accept", zap.Error(err))
		return
	}
	if !l.admin {
		s.descriptors.Release(enterDescriptors - 1)
	}
}
