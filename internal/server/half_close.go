package server

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

// halfClosedConn is a connection whose caller has ended its side and may still read. The
// loop's library closes such a connection; the descriptor here is a second one
// of the same socket, so that what is owed can still be written.
type halfClosedConn struct {
	fd     int
	unsent []byte // that the system has not taken yet
	err    error  // the caller is gone
}

// Writev writes what the system takes and keeps the rest.
func (h *halfClosedConn) Writev(parts [][]byte) (int, error) {
	n := 0
	for _, p := range parts {
		n += len(p)
		h.unsent = append(h.unsent, p...)
	}
	return n, h.flush()
}

// flush writes what waits. It also sees that the caller is gone: a socket whose
// other end is closed, not only shut, answers what it is sent with a reset.
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

// OutboundBuffered is how many bytes the system has not taken yet.
func (h *halfClosedConn) OutboundBuffered() int { return len(h.unsent) }

func (h *halfClosedConn) close() {
	unix.Close(h.fd) //nolint:errcheck // it is gone either way
	h.err = unix.EBADF
}

// keepHalfClosed keeps a connection whose caller has ended its side while answers are
// owed, and reports whether it did. The caller is told at once that nothing new
// is taken: that costs one that still reads nothing, and shows one that is gone.
func (f *frameConn) keepHalfClosed(err error) bool {
	owed := len(f.openRequests)+f.pendingChecks+len(f.out) > 0 || f.conn.OutboundBuffered() > 0
	if f.halfClosed != nil || f.writeShutAt != 0 || !owed || !errors.Is(err, io.EOF) {
		return false
	}
	if f.conn.OutboundBuffered() > 0 {
		f.conn.Flush() //nolint:errcheck // seen in the next line
		if f.conn.OutboundBuffered() > 0 {
			return false // it does not take its answers
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
	f.trackPartial(0) //nolint:errcheck // nothing is held any more
	f.sendGoAway()
	return true
}
