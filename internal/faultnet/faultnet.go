// Package faultnet is a proxy that stands on a TCP link between two processes of
// a test and does to it what networks do: delay, silence in one direction or
// both, refusal, and an end half-way through what is sent.
//
// A Link passes bytes until it is told otherwise. What it is told holds for open
// connections and later ones, until it is told something else. Bytes that were
// silenced are lost only when their connection ends; Heal lets them go on.
package faultnet

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Way is a direction of a link.
type Way uint8

// The ways.
const (
	There Way = iota // from the side that connects
	Back             // to it
	ways
)

// Link is one link. Its methods may be called from any goroutine.
type Link struct {
	Address string // to connect to
	to      string

	mu       sync.Mutex
	moved    *sync.Cond
	listener net.Listener
	silent   [ways]bool
	delay    time.Duration
	left     int // bytes until both ends are closed; below 0 = no such end
	open     map[net.Conn]struct{}
	carried  [ways]int
	closed   bool
}

// chunk is the most that is read at once, and so the least that is cut.
const chunk = 4 << 10

// New returns a link to the address, on a free loopback one.
func New(to string) (*Link, error) {
	l := &Link{to: to, left: -1, open: map[net.Conn]struct{}{}}
	l.moved = sync.NewCond(&l.mu)
	return l, l.listen("127.0.0.1:0")
}

func (l *Link) listen(at string) error {
	listener, err := net.Listen("tcp", at)
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
			go l.carry(c)
		}
	}()
	return nil
}

func (l *Link) carry(near net.Conn) {
	far, err := net.Dial("tcp", l.to)
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
	l.open[near], l.open[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	go l.pass(near, far, There)
	l.pass(far, near, Back)
}

// pass carries bytes one way until either end closes.
func (l *Link) pass(from, to net.Conn, way Way) {
	defer l.drop(from, to)
	buf := make([]byte, chunk)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.forward(to, buf[:n], way) {
			return
		}
		if err != nil {
			return
		}
	}
}

// forward writes b as the link stands, and reports whether the link goes on.
func (l *Link) forward(to net.Conn, b []byte, way Way) bool {
	l.mu.Lock()
	for l.silent[way] && !l.closed {
		l.moved.Wait()
	}
	delay, last := l.delay, false
	if l.left >= 0 {
		last = len(b) >= l.left
		b = b[:min(len(b), l.left)]
		l.left -= len(b)
	}
	l.carried[way] += len(b)
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	_, err := to.Write(b)
	return err == nil && !last
}

func (l *Link) drop(conns ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range conns {
		c.Close()
		delete(l.open, c)
	}
}

// Silence holds back all that goes that way.
func (l *Link) Silence(way Way) { l.set(func() { l.silent[way] = true }) }

// Delay holds each piece back for so long.
func (l *Link) Delay(d time.Duration) { l.set(func() { l.delay = d }) }

// EndAfter closes a connection once n more bytes have been carried, in the
// middle of what they belong to.
func (l *Link) EndAfter(n int) { l.set(func() { l.left = n }) }

// Heal takes back all that was told, and listens again after a Cut.
func (l *Link) Heal() error {
	l.set(func() { l.silent, l.delay, l.left = [ways]bool{}, 0, -1 })
	l.mu.Lock()
	cut, at := l.listener == nil, l.Address
	l.mu.Unlock()
	if cut {
		return l.listen(at)
	}
	return nil
}

// Break closes all open connections; new ones are taken.
func (l *Link) Break() {
	l.set(func() {
		for c := range l.open {
			c.Close()
		}
	})
}

// Cut refuses connections, and closes those that are open.
func (l *Link) Cut() {
	l.set(func() {
		if l.listener != nil {
			l.listener.Close()
			l.listener = nil
		}
	})
	l.Break()
}

// Close ends the link for good.
func (l *Link) Close() {
	l.set(func() { l.closed = true })
	l.Cut()
}

// Carried is how many bytes went that way.
func (l *Link) Carried(way Way) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried[way]
}

func (l *Link) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.moved.Broadcast()
}
