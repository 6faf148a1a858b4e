package server

import (
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"kiteslip/internal/core"
)

// How callers' connections end, on both fronts: nothing more is taken, what is
// owed goes out, our side is shut, what still comes is read and passed over, and
// the connection is closed once the caller has closed it or has had its time. A
// close with bytes unread would make the system reset the connection, and the
// caller lose answers that it has not read. docs/design/crossings.md has the
// crossings, one by one.

const (
	// inFlightUS is how long something sent may be on its way past the end of our
	// side: the protocol has callers send again what crosses a close within 50 ms.
	inFlightUS = 100_000
	// shutdownLingerUS is how long a caller has to close its side while the process
	// leaves: what crosses the end of ours comes within 50 ms.
	shutdownLingerUS = 250_000
)

// connClose is how far the end of a connection has come.
type connClose struct {
	discarding    bool  // what still comes is passed over
	flushDeadline int64 // it is closed then, where the caller does not take what is owed; 0 = see the front's own times
	writeShutAt   int64 // our side is shut since then; 0 = it is open
	closeDeadline int64 // the connection is closed then, whatever the caller does
}

// closeState is the closing itself, for what ends connections of any front.
func (c *connClose) closeState() *connClose { return c }

// callerConn is a caller's connection, which holds one of the places.
type callerConn interface {
	handler
	idle() idleState           // what it says of itself when places are short
	closeState() *connClose    // how far its end has come
	closeGracefully(now int64) // it is to end, unless something waits unread
	closeNow()                 // closes it at once
	netConn() gnet.Conn        // nil = the caller's side has ended already
}

// shutWrite ends our side of a connection on which nothing is owed.
func (s *Server) shutWrite(h callerConn, t, within int64) {
	e := h.closeState()
	if e.writeShutAt != 0 {
		return
	}
	e.discarding, e.writeShutAt, e.closeDeadline = true, t, t+within
	s.closingConns++
	if err := unix.Shutdown(h.netConn().Fd(), unix.SHUT_WR); err != nil {
		h.closeNow() // the caller has reset it
	}
}

// closeFinished notes that a connection is gone.
func (s *Server) closeFinished(e *connClose) {
	if e.writeShutAt != 0 {
		s.closingConns--
	}
}

// lingerTimeout is how long a caller may take to close its side after ours: as long as
// the longest of its requests may last, as it may be busy for so long; while
// the process leaves only as long as bytes are on their way.
func (s *Server) lingerTimeout() int64 {
	if s.goAwaySent {
		return shutdownLingerUS
	}
	return s.maxRequestTimeUS()
}

// flushTimeout is how long what is owed on a connection may take to go out: callers may
// say that they wait for a multiple of their class's time.
func (s *Server) flushTimeout() int64 {
	return core.MaxWaitMultiple*s.maxRequestTimeUS() + s.lingerTimeout()
}

// maxRequestTimeUS is how long any request may last at most.
func (s *Server) maxRequestTimeUS() int64 {
	longest := int64(shutdownLingerUS)
	for i := range s.cfg.Policy.Classes {
		longest = max(longest, s.cfg.Policy.Classes[i].Timeout)
	}
	return longest
}

// callerConns lists the callers' connections.
func (s *Server) callerConns(yield func(callerConn) bool) {
	for h := range s.conns {
		if p, ok := h.(callerConn); ok && !yield(p) {
			return
		}
	}
}

// hasUnread says whether bytes wait in the socket: a request may have come that the loop has not seen.
func hasUnread(c gnet.Conn) bool {
	n, err := unix.IoctlGetInt(c.Fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

// closeNow closes a connection; its handler hears of it before hangUp returns.
func closeNow(c gnet.Conn) {
	c.EventLoop().Close(c) //nolint:errcheck // it is gone either way
}
