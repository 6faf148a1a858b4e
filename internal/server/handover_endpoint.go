package server

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/handover"
)

// findPredecessor looks for a process that this one is to succeed, before any
// listener is opened. Where there is none, this process owns the keys at once.
func (s *Server) findPredecessor() error {
	u := &s.upgrade
	u.startedAt = now()
	if s.cfg.InheritedFD == 0 {
		return nil
	}
	var err error
	if u.endpoint, err = handover.NewEndpoint(cmp.Or(s.cfg.HandoverDir, os.TempDir()), s.cfg.Name); err != nil {
		return err
	}
	s.core.ReleaseKeys(nil)
	if s.dialPredecessor(); u.predecessorConn == nil {
		if u.holdsLock {
			u.inDoubtUntil = s.inDoubtUntil(u.endpoint.LastOwnerAlive())
			s.core.AcquireKeys(u.inDoubtUntil)
		}
		return nil
	}
	// The start goes on without a predecessor that is stuck; what that one runs is then in doubt, see watchKeyOwner.
	if u.uwsgiListener, err = handover.ReceiveListener(u.predecessorConn, time.UnixMicro(u.startedAt+handshakeTimeoutUS)); err != nil {
		s.log.Warn("upgrade", zap.Error(err))
		u.predecessorConn.Close()
		u.predecessorConn = nil
	}
	return nil
}

// dialPredecessor dials until a predecessor answers, this process has the lock, or the
// time for the handshake is over: a process that takes the keys back from a successor
// that has just ended has the lock a moment before it listens.
func (s *Server) dialPredecessor() {
	u := &s.upgrade
	for {
		if u.predecessorConn = u.endpoint.Dial(); u.predecessorConn != nil || s.tryLock() {
			return
		}
		if now()-u.startedAt >= handshakeTimeoutUS {
			return
		}
		time.Sleep(predecessorDialInterval)
	}
}

// startLoop starts the loop iterations, and enrols the connection to the predecessor
// if there is one.
func (s *Server) startLoop() {
	s.timer = time.AfterFunc(time.Hour, func() { s.onLoop(s.runIteration) })
	u := &s.upgrade
	if u.predecessorConn == nil && s.core.OwnsKeys() {
		s.startServing() // there is no predecessor
	}
	if u.predecessorConn != nil {
		u.dialingOwner = true
		go func() {
			s.enrolPeer(u.predecessorConn, &peerConn{s: s})
			s.onLoop(func() { u.dialingOwner = false })
		}()
	}
	s.runIteration()
}

// enrolPeer hands the connection to a peer to the loop. It waits for the loop, so it
// must not be called there.
func (s *Server) enrolPeer(c *net.UnixConn, p *peerConn) {
	if _, err := s.client.EnrollContext(c, p); err != nil {
		s.log.Warn("upgrade", zap.Error(err))
	}
}

// redialOwner dials the key owner again.
func (s *Server) redialOwner() {
	if c := s.upgrade.endpoint.Dial(); c != nil {
		uwsgiListener, err := handover.ReceiveListener(c, time.Now().Add(handshakeTimeoutUS*time.Microsecond))
		if uwsgiListener != nil {
			uwsgiListener.Close() // this process has opened its listeners already
		}
		if err == nil {
			s.enrolPeer(c, &peerConn{s: s})
		} else {
			c.Close()
		}
	}
	s.onLoop(func() { s.upgrade.dialingOwner = false })
}

// awaitSuccessor listens on the handover endpoint, once this process accepts callers
// and has the lock. A successor that connects before the keys are owned waits. It listens again where another process has taken the endpoint
// over and died.
func (s *Server) awaitSuccessor() {
	u := &s.upgrade
	if u.endpoint == nil || !u.acceptingCallers || !u.holdsLock {
		return
	}
	if u.listener != nil {
		u.listener.Close()
	}
	var err error
	if u.listener, err = u.endpoint.Listen(); err != nil {
		s.log.Error("upgrade", zap.Error(err)) // this process serves, but no successor can connect
		return
	}
	var uwsgiListener *net.TCPListener // to be passed on; the callers' listener is held by the platform
	if len(s.listeners) > 1 {
		uwsgiListener, _ = s.listeners[1].Listener.(*net.TCPListener)
	}
	go s.acceptSuccessors(u.listener, uwsgiListener)
}

// acceptSuccessors accepts the connections of successors and passes them the
// listener of the uwsgi front end.
func (s *Server) acceptSuccessors(l *net.UnixListener, uwsgiListener *net.TCPListener) {
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		if err = handover.SendListener(c, uwsgiListener); err != nil {
			s.log.Warn("upgrade", zap.Error(err))
			c.Close()
			continue
		}
		s.enrolPeer(c, &peerConn{s: s, successor: true})
	}
}

// passedListener returns the listener that the predecessor has passed, if it is for
// this address. Any other is closed, so that no callers wait on a listener on which
// nobody accepts.
func (s *Server) passedListener(address string) net.Listener {
	l := s.upgrade.uwsgiListener
	if l == nil {
		return nil
	}
	s.upgrade.uwsgiListener = nil
	want, err := net.ResolveTCPAddr("tcp", address)
	got, ok := l.Addr().(*net.TCPAddr)
	if err != nil || !ok || want.Port != got.Port || !want.IP.Equal(got.IP) && len(want.IP) > 0 && !want.IP.IsUnspecified() {
		l.Close()
		return nil
	}
	return l
}

// inheritedListener returns the callers' listener that the platform has passed.
func (s *Server) inheritedListener() (net.Listener, error) {
	l, err := handover.Inherit(s.cfg.InheritedFD)
	if err != nil {
		return nil, err
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("descriptor %d is not a TCP socket", s.cfg.InheritedFD)
	}
	return l, nil
}
