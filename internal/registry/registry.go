// Package registry reports this server to the registry, where callers learn of it.
package registry

import (
	"fmt"
	"net"
)

// Heartbeat sends reports. A report gets no answer and may be lost.
type Heartbeat struct {
	conn net.Conn
	name string
}

// ReportIntervalUS is the time between reports in microseconds. The registry drops a
// server 3 s after its last one, and reports get lost: with a quarter of them
// gone, one a second would let a server drop out every minute or so.
const ReportIntervalUS = 250_000

// Dial returns a Heartbeat for the server named, to the registry at address.
func Dial(address, name string) (*Heartbeat, error) {
	conn, err := net.Dial("udp", address)
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	return &Heartbeat{conn: conn, name: name}, nil
}

// Report sends the state: ready, or draining. An error says that the system
// refused the datagram; the next report may pass.
func (b *Heartbeat) Report(draining bool) error {
	state := "ready"
	if draining {
		state = "draining"
	}
	_, err := b.conn.Write(Datagram(b.name, state))
	return err
}

// Datagram is one report.
func Datagram(name, state string) []byte { return []byte("BEAT " + name + " " + state) }

// Close frees the socket.
func (b *Heartbeat) Close() error { return b.conn.Close() }
