// Package registry reports this server to the registry, which lists it to callers. A
// Heartbeat is used by one goroutine at a time.
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
// server 3 s after its last report. With a quarter of the reports lost, one report
// per second would drop a server about once a minute.
const ReportIntervalUS = 250_000

// Dial returns a Heartbeat for the named server, to the registry at address.
func Dial(address, name string) (*Heartbeat, error) {
	conn, err := net.Dial("udp", address)
	if err != nil {
		return nil, fmt.Errorf("registry: %w", err)
	}
	return &Heartbeat{conn: conn, name: name}, nil
}

// Report sends the state: ready, or draining. An error means that the system
// refused the datagram; later reports may succeed.
func (b *Heartbeat) Report(draining bool) error {
	state := "ready"
	if draining {
		state = "draining"
	}
	_, err := b.conn.Write(Datagram(b.name, state))
	return err
}

// Datagram returns the content of one report.
func Datagram(name, state string) []byte { return []byte("BEAT " + name + " " + state) }

// Close closes the socket.
func (b *Heartbeat) Close() error { return b.conn.Close() }
