package soak

import (
	"net"
	"slices"
	"sync"
	"time"

	"kiteslip/internal/standin/ledger"
)

// callLog is the ledger's script and what it saw.
type callLog struct {
	mu          sync.Mutex
	arrivals    []time.Time
	ends        []time.Time // of the calls in progress
	maxInFlight int
}

// handle answers a call.
func (l *callLog) handle(ledger.Call) ledger.Response {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.arrivals = append(l.arrivals, now)
	l.ends = slices.DeleteFunc(l.ends, func(end time.Time) bool { return !end.After(now) })
	l.ends = append(l.ends, now.Add(ledgerCallTime)) // a call that is given up counts until its end
	l.maxInFlight = max(l.maxInFlight, len(l.ends))
	return ledger.Response{Delay: ledgerCallTime}
}

// maxInWindow returns the most calls that came within any callShareWindow.
func (l *callLog) maxInWindow() int {
	first, most := 0, 0
	for i, at := range l.arrivals {
		for l.arrivals[first].Before(at.Add(-callShareWindow)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// registryStandin takes reports at a UDP address and drops them.
type registryStandin struct {
	address string
	mu      sync.Mutex
	conn    *net.UDPConn // nil = it is down
}

func newRegistry() (*registryStandin, error) {
	r := &registryStandin{address: "127.0.0.1:0"}
	return r, r.listen()
}

// listen takes reports, again at the same address after silence.
func (r *registryStandin) listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		return nil
	}
	at, err := net.ResolveUDPAddr("udp", r.address)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return err
	}
	r.conn, r.address = conn, conn.LocalAddr().String()
	go func() {
		buf := make([]byte, 256)
		for err := error(nil); err == nil; {
			_, err = conn.Read(buf)
		}
	}()
	return nil
}

// silence closes the address: reports fail until listen.
func (r *registryStandin) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.Close()
		r.conn = nil
	}
}
