package handover

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const (
	maxPathBytes = 100 // Linux allows 107 bytes in the path of a Unix socket
	maxNameBytes = 32  // bytes of the server's name used in file names
)

// Endpoint is the socket at which the processes of one server connect to each
// other, and a lock file, in a folder that they share.
type Endpoint struct {
	base           string // path prefix of the files there
	lock           *os.File
	lastOwnerAlive time.Time // when an earlier owner was last alive; zero = there was none
}

// NewEndpoint returns the endpoint of the named server in dir.
func NewEndpoint(dir, server string) (*Endpoint, error) {
	safeName := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, server[:min(len(server), maxNameBytes)])
	p := &Endpoint{base: filepath.Join(dir, "kiteslip-"+safeName)}
	if n := len(p.socket()) + len(".12345678"); n > maxPathBytes {
		return nil, fmt.Errorf("handover: folder path %s too long for a socket", dir)
	}
	path := p.base + ".keys"
	if info, err := os.Stat(path); err == nil {
		p.lastOwnerAlive = info.ModTime()
	}
	var err error
	if p.lock, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return p, nil
}

func (p *Endpoint) socket() string { return p.base + ".sock" }

// LastOwnerAlive returns when an earlier key owner was last alive, as found by NewEndpoint; zero = there was none.
func (p *Endpoint) LastOwnerAlive() time.Time { return p.lastOwnerAlive }

// TryLock acquires the ownership of the keys if no other process has it.
func (p *Endpoint) TryLock() bool {
	return unix.Flock(int(p.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil && p.Touch() == nil
}

// Touch records that the key owner is alive, in the lock file's modification time.
func (p *Endpoint) Touch() error {
	t := time.Now()
	return os.Chtimes(p.lock.Name(), t, t)
}

// Unlock releases the ownership.
func (p *Endpoint) Unlock() error { return unix.Flock(int(p.lock.Fd()), unix.LOCK_UN) }

// Dial connects to the process that listens now; nil = there is none.
func (p *Endpoint) Dial() *net.UnixConn {
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: p.socket(), Net: "unix"})
	if err != nil {
		return nil
	}
	return c
}

// Listen makes this process the one that Dial reaches, in place of any other, dead
// or alive: the socket is renamed into place atomically.
func (p *Endpoint) Listen() (*net.UnixListener, error) {
	name := fmt.Sprintf("%s.%d", p.socket(), os.Getpid())
	if err := os.Remove(name); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the name may belong to another process
	if err = os.Chmod(name, 0o600); err == nil {
		err = os.Rename(name, p.socket())
	}
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return l, nil
}

// Close closes the lock file, which releases the ownership.
func (p *Endpoint) Close() error { return p.lock.Close() }

// handshake precedes the messages; the listener's descriptor is attached to it, if there is one.
const handshake = "kite"

// SendListener sends the handshake to a successor, with a listener; nil = without one.
func SendListener(c *net.UnixConn, l *net.TCPListener) error {
	if l == nil {
		_, err := c.Write([]byte(handshake))
		return err
	}
	raw, err := l.SyscallConn() // File would set the listener to blocking mode
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) {
		_, _, err = c.WriteMsgUnix([]byte(handshake), unix.UnixRights(int(fd)), nil)
	})
	return errors.Join(controlErr, err)
}

// ReceiveListener reads the handshake by the deadline and returns the listener that came with it, or nil.
func ReceiveListener(c *net.UnixConn, deadline time.Time) (net.Listener, error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	buf, oob := make([]byte, len(handshake)), make([]byte, unix.CmsgSpace(4))
	n, oobn, _, _, err := c.ReadMsgUnix(buf, oob)
	if err != nil || string(buf[:n]) != handshake {
		return nil, fmt.Errorf("handover: no valid handshake: %w", errors.Join(err, ErrInvalidMessage))
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return nil, err
	}
	control, err := unix.ParseSocketControlMessage(oob[:oobn])
	if err != nil || len(control) == 0 {
		return nil, err
	}
	fds, err := unix.ParseUnixRights(&control[0])
	if err != nil || len(fds) == 0 {
		return nil, err
	}
	return Inherit(fds[0])
}

// Inherit returns the listener of a descriptor and closes the descriptor.
func Inherit(fd int) (net.Listener, error) {
	unix.CloseOnExec(fd)
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listening == 0 {
		return nil, fmt.Errorf("descriptor %d is not a listening socket", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return l, nil
}
