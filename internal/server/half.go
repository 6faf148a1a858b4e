package server

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

// half is a connection whose caller has ended its side and may still read. The
// loop's library closes such a connection; the descriptor here is a second one
// of the same socket, so that what is owed can still be written.
type half struct {
	fd   int
	rest []byte // that the system has not taken yet
	err  error  // the caller is gone
}

// Writev writes what the system takes and keeps the rest.
func (h *half) Writev(parts [][]byte) (int, error) {
	n := 0
	for _, p := range parts {
		n += len(p)
		h.rest = append(h.rest, p...)
	}
	return n, h.push()
}

// push writes what waits. It also sees that the caller is gone: a socket whose
// other end is closed, not only shut, answers what it is sent with a reset.
func (h *half) push() error {
	for len(h.rest) > 0 && h.err == nil {
		n, err := unix.Write(h.fd, h.rest)
		switch {
		case errors.Is(err, unix.EAGAIN):
			return nil
		case errors.Is(err, unix.EINTR):
		case err != nil:
			h.err = err
		default:
			h.rest = h.rest[n:]
		}
	}
	if h.err == nil {
		if code, err := unix.GetsockoptInt(h.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			h.err = unix.Errno(code)
		}
	}
	if len(h.rest) == 0 {
		h.rest = nil
	}
	return h.err
}

// OutboundBuffered is how many bytes the system has not taken yet.
func (h *half) OutboundBuffered() int { return len(h.rest) }

func (h *half) close() {
	unix.Close(h.fd) //nolint:errcheck // it is gone either way
	h.err = unix.EBADF
}

// halve keeps a connection whose caller has ended its side while answers are
// owed, and reports whether it did. The caller is told at once that nothing new
// is taken: that costs one that still reads nothing, and shows one that is gone.
func (f *session) halve(err error) bool {
	owed := len(f.open)+f.checks+len(f.out) > 0 || f.conn.OutboundBuffered() > 0
	if f.half != nil || f.shutAt != 0 || !owed || !errors.Is(err, io.EOF) {
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
	h := &half{fd: fd}
	if h.push() != nil {
		h.close()
		return false
	}
	f.half, f.deaf, f.endBy = h, true, now()+f.s.owing()
	f.hold(0) //nolint:errcheck // nothing is held any more
	f.goAway()
	return true
}
