package server

import (
	"errors"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
)

// front is a listener, what its connections speak, and the places for them.
type front struct {
	net.Listener
	session func() handler
	slots   chan struct{}
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
		s.listeners = append(s.listeners, front{l, f.session, s.slots})
	}
	s.passed("") // one that is left over has no use
	if s.cfg.Ops != "" {
		l, err := net.Listen("tcp", s.cfg.Ops)
		if err != nil {
			s.unlisten()
			return fmt.Errorf("ops: %w", err)
		}
		s.door = &front{l, func() handler { return newDoor(s) }, s.doorSlots}
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

func (s *Server) unlisten() {
	s.stopping.Store(true)
	for _, l := range s.listeners {
		l.Close()
	}
}

// accept takes connections as long as there is a slot for them. It never waits
// for the loop: what stands in the system's queue is taken in one turn, see
// docs/design/door.md.
func (s *Server) accept(l front) {
	for {
		l.slots <- struct{}{}
		c, err := l.Accept()
		if err == nil {
			go s.enter(c, l)
			continue
		}
		<-l.slots
		if errors.Is(err, net.ErrClosed) {
			return
		}
		s.log.Warn("accept", zap.Error(err))
		time.Sleep(10 * time.Millisecond) // out of descriptors, most likely
	}
}

// enter hands an accepted connection to the loop and waits until that has it.
func (s *Server) enter(c net.Conn, l front) {
	if _, err := s.client.EnrollContext(c, l.session()); err != nil {
		<-l.slots
		s.log.Warn("accept", zap.Error(err))
	}
}
