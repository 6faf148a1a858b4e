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
	maxPath = 100 // the system takes 107 bytes of a Unix socket's path
	maxName = 32  // bytes of a server's name that go into the names of files
)

// Endpoint is where the processes of one server meet: a folder that they share.
type Endpoint struct {
	base string // of the names of the files there
	lock *os.File
	last time.Time // when an earlier owner was last alive; zero = there was none
}

// NewEndpoint returns the meeting place in dir of the server named.
func NewEndpoint(dir, server string) (*Endpoint, error) {
	plain := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' {
			return r
		}
		return '_'
	}, server[:min(len(server), maxName)])
	p := &Endpoint{base: filepath.Join(dir, "kiteslip-"+plain)}
	if n := len(p.socket()) + len(".12345678"); n > maxPath {
		return nil, fmt.Errorf("handover: the path of %s is too long for a socket", dir)
	}
	path := p.base + ".keys"
	if info, err := os.Stat(path); err == nil {
		p.last = info.ModTime()
	}
	var err error
	if p.lock, err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return p, nil
}

func (p *Endpoint) socket() string { return p.base + ".sock" }

// LastOwnerAlive is when an earlier owner was last alive, as found at the start; zero = there was none.
func (p *Endpoint) LastOwnerAlive() time.Time { return p.last }

// TryLock takes the ownership of the keys if no other process has it.
func (p *Endpoint) TryLock() bool {
	return unix.Flock(int(p.lock.Fd()), unix.LOCK_EX|unix.LOCK_NB) == nil && p.Touch() == nil
}

// Touch notes that the owner is alive.
func (p *Endpoint) Touch() error {
	t := time.Now()
	return os.Chtimes(p.lock.Name(), t, t)
}

// Unlock gives the ownership up.
func (p *Endpoint) Unlock() error { return unix.Flock(int(p.lock.Fd()), unix.LOCK_UN) }

// Dial reaches the process that serves now; nil = there is none.
func (p *Endpoint) Dial() *net.UnixConn {
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: p.socket(), Net: "unix"})
	if err != nil {
		return nil
	}
	return c
}

// Listen makes this process the one that Dial reaches, in place of any other,
// dead or alive: the socket takes the name in one step.
func (p *Endpoint) Listen() (*net.UnixListener, error) {
	name := fmt.Sprintf("%s.%d", p.socket(), os.Getpid())
	if err := os.Remove(name); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false) // by then the name may be another's
	if err = os.Chmod(name, 0o600); err == nil {
		err = os.Rename(name, p.socket())
	}
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return l, nil
}

// Close frees the lock file.
func (p *Endpoint) Close() error { return p.lock.Close() }

// greeting goes ahead of the messages, with a listener's descriptor where there is one to pass on.
const greeting = "kite"

// SendListener greets a newcomer and gives it a listener; nil = there is none.
func SendListener(c *net.UnixConn, l *net.TCPListener) error {
	if l == nil {
		_, err := c.Write([]byte(greeting))
		return err
	}
	raw, err := l.SyscallConn() // File would set the listener to block
	if err != nil {
		return err
	}
	failed := raw.Control(func(fd uintptr) {
		_, _, err = c.WriteMsgUnix([]byte(greeting), unix.UnixRights(int(fd)), nil)
	})
	return errors.Join(failed, err)
}

// ReceiveListener reads the greeting by the deadline and returns the listener that came with it, or nil.
func ReceiveListener(c *net.UnixConn, deadline time.Time) (net.Listener, error) {
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	buf, oob := make([]byte, len(greeting)), make([]byte, unix.CmsgSpace(4))
	n, oobn, _, _, err := c.ReadMsgUnix(buf, oob)
	if err != nil || string(buf[:n]) != greeting {
		return nil, fmt.Errorf("handover: no greeting: %w", errors.Join(err, ErrInvalidMessage))
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

// Inherit returns the listener that a descriptor stands for, and frees the descriptor.
func Inherit(fd int) (net.Listener, error) {
	unix.CloseOnExec(fd)
	if yes, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || yes == 0 {
		return nil, fmt.Errorf("descriptor %d is no listening socket", fd)
	}
	f := os.NewFile(uintptr(fd), "inherited")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	return l, nil
}
