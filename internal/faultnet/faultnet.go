// Package faultnet is a TCP proxy for tests that injects network faults between
// two processes: delay, silence in one direction or both, refused connections,
// and connections that close in the middle of a message.
//
// A Link forwards bytes unchanged at first. A fault applies to open and to new
// connections until it is replaced or Restore removes it. Silenced bytes are held
// back, and are lost only if their connection ends before Restore forwards them.
package faultnet

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Direction is the direction of data on a link.
type Direction uint8

// The directions, as seen from the side that opens the connection.
const (
	ToTarget   Direction = iota // from the connecting side to the target
	FromTarget                  // from the target to the connecting side
	directions
)

// Link is a proxy in front of one target address. Its methods may be called from
// any goroutine.
type Link struct {
	Address string // where the link listens
	target  string

	mu        sync.Mutex
	changed   *sync.Cond
	listener  net.Listener
	silent    [directions]bool
	delay     time.Duration
	bytesLeft int // bytes to forward before connections are closed; below 0 = no limit
	conns     map[net.Conn]struct{}
	forwarded [directions]int
	closed    bool
}

// chunkBytes is the size of one read, and so the unit that faults apply to.
const chunkBytes = 4 << 10

// New starts a link to the target address, listening on a free loopback port.
func New(target string) (*Link, error) {
	l := &Link{target: target, bytesLeft: -1, conns: map[net.Conn]struct{}{}}
	l.changed = sync.NewCond(&l.mu)
	return l, l.listen("127.0.0.1:0")
}

func (l *Link) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("faultnet: %w", err)
	}
	l.mu.Lock()
	l.listener, l.Address = listener, listener.Addr().String()
	l.mu.Unlock()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return nil
}

func (l *Link) serve(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		near.Close()
		return
	}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		near.Close()
		far.Close()
		return
	}
	l.conns[near], l.conns[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	go l.copyBytes(near, far, ToTarget)
	l.copyBytes(far, near, FromTarget)
}

// copyBytes forwards bytes in one direction until either end closes.
func (l *Link) copyBytes(from, to net.Conn, direction Direction) {
	defer l.closeConns(from, to)
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.forward(to, buf[:n], direction) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes b, subject to the faults in force, and reports whether the
// connection stays open.
func (l *Link) forward(to net.Conn, b []byte, direction Direction) bool {
	l.mu.Lock()
	for l.silent[direction] && !l.closed {
		l.changed.Wait()
	}
	delay, last := l.delay, false
	if l.bytesLeft >= 0 {
		last = len(b) >= l.bytesLeft
		b = b[:min(len(b), l.bytesLeft)]
		l.bytesLeft -= len(b)
	}
	l.forwarded[direction] += len(b)
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := to.Write(b)
	return err == nil && !last
}

func (l *Link) closeConns(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(l.conns, c)
	}
}

// Silence holds back all bytes in one direction.
func (l *Link) Silence(direction Direction) { l.update(func() { l.silent[direction] = true }) }

// Delay delays each chunk by d.
func (l *Link) Delay(d time.Duration) { l.update(func() { l.delay = d }) }

// CloseAfter closes a connection once n more bytes have been forwarded, which may
// be in the middle of a message.
func (l *Link) CloseAfter(n int) { l.update(func() { l.bytesLeft = n }) }

// Restore removes all faults, and listens again after Refuse.
func (l *Link) Restore() error {
	l.update(func() { l.silent, l.delay, l.bytesLeft = [directions]bool{}, 0, -1 })
	l.mu.Lock()
	refusing, address := l.listener == nil, l.Address
	l.mu.Unlock()
	if refusing {
		return l.listen(address)
	}
	return nil
}

// Disconnect closes all open connections; new ones are accepted.
func (l *Link) Disconnect() {
	l.update(func() {
		for c := range l.conns {
			c.Close()
		}
	})
}

// Refuse refuses new connections and closes those that are open.
func (l *Link) Refuse() {
	l.update(func() {
		if l.listener != nil {
			l.listener.Close()
			l.listener = nil
		}
	})
	l.Disconnect()
}

// Close ends the link permanently.
func (l *Link) Close() {
	l.update(func() { l.closed = true })
	l.Refuse()
}

// Forwarded returns the number of bytes forwarded in one direction.
func (l *Link) Forwarded(direction Direction) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forwarded[direction]
}

func (l *Link) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.changed.Broadcast()
}
