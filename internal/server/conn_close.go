package server

import (
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"kiteslip/internal/core"
)

// How callers' connections end, on both front ends: no further input is handled,
// the outstanding answers go out, the write side is shut, input is read and
// discarded, and the connection is closed once the caller has closed it or a
// timeout has passed. Closing with unread input would make the system reset the
// connection, and the caller would lose answers that it has not read yet.
// docs/design/crossings.md lists the races, one by one.

const (
	// inFlightUS is how long a message of the caller may still arrive after the write
	// side was shut: by the protocol, callers resend within 50 ms what races a close.
	inFlightUS = 100_000
	// shutdownLingerUS is how long a caller has to close its side during a graceful
	// shutdown: what races the end of ours arrives within 50 ms.
	shutdownLingerUS = 250_000
)

// connClose is the progress of a connection's close; the zero value is an open connection.
type connClose struct {
	discarding    bool  // input is read and discarded
	flushDeadline int64 // when it is closed if the caller does not read its answers; 0 = by the front end's own timeouts
	writeShutAt   int64 // when the write side was shut; 0 = it is open
	closeDeadline int64 // when the connection is closed, whatever the caller does
}

// closeState returns c itself, for code that ends connections of any front end.
func (c *connClose) closeState() *connClose { return c }

// callerConn is a caller's connection, which takes a connection slot.
type callerConn interface {
	handler
	idle() idleState           // whether it can be evicted when slots are short
	closeState() *connClose    // the progress of its close
	closeGracefully(now int64) // begins its close, unless unread input waits
	closeNow()                 // closes it at once
	netConn() gnet.Conn        // nil = the caller has shut its write side
}

// shutWrite shuts the write side of a connection on which no answer is outstanding.
func (s *Server) shutWrite(h callerConn, t, within int64) {
	e := h.closeState()
	if e.writeShutAt != 0 {
		return
	}
	e.discarding, e.writeShutAt, e.closeDeadline = true, t, t+within
	s.closingConns++
	if err := unix.Shutdown(h.netConn().Fd(), unix.SHUT_WR); err != nil {
		h.closeNow() // the caller has reset the connection
	}
}

// closeFinished updates the count of closing connections when one has ended.
func (s *Server) closeFinished(e *connClose) {
	if e.writeShutAt != 0 {
		s.closingConns--
	}
}

// lingerTimeout is how long a caller may take to close its side after ours: as
// long as its longest request may last, since it may be busy that long; during
// a graceful shutdown only as long as messages may be in flight.
func (s *Server) lingerTimeout() int64 {
	if s.goAwaySent {
		return shutdownLingerUS
	}
	return s.maxRequestTimeUS()
}

// flushTimeout is how long the outstanding answers of a connection may take to go
// out: callers may announce that they wait for a multiple of their class's timeout.
func (s *Server) flushTimeout() int64 {
	return core.MaxWaitMultiple*s.maxRequestTimeUS() + s.lingerTimeout()
}

// maxRequestTimeUS is the longest timeout of all classes, but at least shutdownLingerUS.
func (s *Server) maxRequestTimeUS() int64 {
	longest := int64(shutdownLingerUS)
	for i := range s.cfg.Policy.Classes {
		longest = max(longest, s.cfg.Policy.Classes[i].Timeout)
	}
	return longest
}

// callerConns iterates over the callers' connections.
func (s *Server) callerConns(yield func(callerConn) bool) {
	for h := range s.conns {
		if p, ok := h.(callerConn); ok && !yield(p) {
			return
		}
	}
}

// hasUnread reports whether the socket has unread input: a request may have arrived
// that the loop has not read.
func hasUnread(c gnet.Conn) bool {
	n, err := unix.IoctlGetInt(c.Fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

// closeNow closes a connection; its handler's closed method is called before
// closeNow returns.
func closeNow(c gnet.Conn) {
	c.EventLoop().Close(c) //nolint:errcheck // it is closed in any case
}
