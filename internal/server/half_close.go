package server

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

// halfClosedConn is a connection whose caller has shut its write side and may
// still read. gnet closes such a connection; this is a second descriptor of the
// same socket, so that outstanding answers can still be written.
type halfClosedConn struct {
	fd     int
	unsent []byte // written, but not taken by the system yet
	err    error  // set once the caller has disconnected
}

// Writev writes what the system takes and buffers the rest.
func (h *halfClosedConn) Writev(parts [][]byte) (int, error) {
	n := 0
	for _, p := range parts {
		n += len(p)
		h.unsent = append(h.unsent, p...)
	}
	return n, h.flush()
}

// flush writes what is unsent. It also detects that the caller has disconnected:
// a peer that has closed its socket, not only shut the write side, answers data
// with a reset.
func (h *halfClosedConn) flush() error {
	for len(h.unsent) > 0 && h.err == nil {
		n, err := unix.Write(h.fd, h.unsent)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return nil
		case errors.Is(err, unix.EINTR):
		case err != nil:
			h.err = err
		default:
			h.unsent = h.unsent[n:]
		}
	}
	if h.err == nil {
		if code, err := unix.GetsockoptInt(h.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			h.err = unix.Errno(code)
		}
	}
	if len(h.unsent) == 0 {
		h.unsent = nil
	}
	return h.err
}

// OutboundBuffered is the number of unsent bytes.
func (h *halfClosedConn) OutboundBuffered() int { return len(h.unsent) }

func (h *halfClosedConn) close() {
	unix.Close(h.fd) //nolint:errcheck // it is closed in any case
	h.err = unix.EBADF
}

// keepHalfClosed keeps a connection whose caller has shut its write side while
// answers are outstanding, and reports whether it did. It sends GOAWAY at once:
// that does no harm to a caller that still reads, and one that has disconnected
// answers it with a reset.
func (f *frameConn) keepHalfClosed(err error) bool {
	outstanding := len(f.openRequests)+f.pendingChecks+len(f.out) > 0 || f.conn.OutboundBuffered() > 0
	if f.halfClosed != nil || f.writeShutAt != 0 || !outstanding || !errors.Is(err, io.EOF) {
		return false
	}
	if f.conn.OutboundBuffered() > 0 {
		f.conn.Flush() //nolint:errcheck // the next line checks the result
		if f.conn.OutboundBuffered() > 0 {
			return false // the caller does not read its answers
		}
	}
	fd, err := f.conn.Dup()
	if err != nil {
		return false
	}
	h := &halfClosedConn{fd: fd}
	if h.flush() != nil {
		h.close()
		return false
	}
	f.halfClosed, f.discarding, f.flushDeadline = h, true, now()+f.s.flushTimeout()
	f.trackPartial(0) //nolint:errcheck // no partial frame is left, so it can't fail
	f.sendGoAway()
	return true
}
