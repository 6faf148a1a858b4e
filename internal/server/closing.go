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
	// crossing is how long something sent may be on its way past the end of our
	// side: the protocol has callers send again what crosses a close within 50 ms.
	crossing = 100_000
	// lingerClose is how long a caller has to close its side while the process
	// leaves: what crosses the end of ours comes within 50 ms.
	lingerClose = 250_000
)

// closing is how far the end of a connection has come.
type closing struct {
	deaf   bool  // what still comes is passed over
	endBy  int64 // it is closed then, where the caller does not take what is owed; 0 = see the front's own times
	shutAt int64 // our side is shut since then; 0 = it is open
	until  int64 // the connection is closed then, whatever the caller does
}

// end is the closing itself, for what ends connections of any front.
func (c *closing) end() *closing { return c }

// clientConn is a caller's connection, which holds one of the places.
type clientConn interface {
	handler
	idle() idle      // what it says of itself when places are short
	end() *closing   // how far its end has come
	part(now int64)  // it is to end, unless something waits unread
	hangUp()         // closes it at once
	peer() gnet.Conn // nil = the caller's side has ended already
}

// shut ends our side of a connection on which nothing is owed.
func (s *Server) shut(h clientConn, t, within int64) {
	e := h.end()
	if e.shutAt != 0 {
		return
	}
	e.deaf, e.shutAt, e.until = true, t, t+within
	s.lingering++
	if err := unix.Shutdown(h.peer().Fd(), unix.SHUT_WR); err != nil {
		h.hangUp() // the caller has reset it
	}
}

// lingered notes that a connection is gone.
func (s *Server) lingered(e *closing) {
	if e.shutAt != 0 {
		s.lingering--
	}
}

// linger is how long a caller may take to close its side after ours: as long as
// the longest of its requests may last, as it may be busy for so long; while
// the process leaves only as long as bytes are on their way.
func (s *Server) linger() int64 {
	if s.away {
		return lingerClose
	}
	return s.longest()
}

// owing is how long what is owed on a connection may take to go out: callers may
// say that they wait for a multiple of their class's time.
func (s *Server) owing() int64 { return core.MaxWaitMultiple*s.longest() + s.linger() }

// longest is how long any request may last at most.
func (s *Server) longest() int64 {
	longest := int64(lingerClose)
	for i := range s.cfg.Policy.Classes {
		longest = max(longest, s.cfg.Policy.Classes[i].Timeout)
	}
	return longest
}

// clients lists the callers' connections.
func (s *Server) clients(yield func(clientConn) bool) {
	for h := range s.sessions {
		if p, ok := h.(clientConn); ok && !yield(p) {
			return
		}
	}
}

// unread says whether bytes wait in the socket: a request may have come that the loop has not seen.
func unread(c gnet.Conn) bool {
	n, err := unix.IoctlGetInt(c.Fd(), unix.TIOCINQ)
	return err == nil && n > 0
}

// hangUp closes a connection; its handler hears of it before hangUp returns.
func hangUp(c gnet.Conn) {
	c.EventLoop().Close(c) //nolint:errcheck // it is gone either way
}
