package fleetday

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Traffic holds the bytes that a server's control has sent and received since its
// start, and counts of the versions that it has applied.
type Traffic struct {
	Bytes     int64
	Applied   int
	Snapshots int
	Switches  int
}

// reading is the traffic of all servers that reported it at one time.
type reading struct {
	at      time.Time
	traffic map[int]Traffic // by server
}

// readTraffic reads the traffic of all servers at intervals until ctx is done. Twins
// are queried at the same times, so that a query has the same cost for both.
func (d *day) readTraffic(ctx context.Context) error {
	tick := time.NewTicker(d.rig.form.ReadEvery)
	defer tick.Stop()
	for {
		d.readings = append(d.readings, d.readOnce())
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (d *day) readOnce() reading {
	r := reading{at: time.Now(), traffic: map[int]Traffic{}}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, s := range append(append([]*server(nil), d.rig.real...), d.rig.twins...) {
		all.Go(func() {
			t, err := queryVersion(s.admin)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && s.control {
				r.traffic[s.number] = t
			}
		})
	}
	if !d.options.WithoutControl {
		for _, h := range d.rig.hollow {
			all.Go(func() {
				list, err := h.queryStates()
				if err != nil {
					d.rig.errorf("%v", err)
				}
				mu.Lock()
				defer mu.Unlock()
				for _, s := range list {
					if s.Number > 0 {
						r.traffic[h.byName[s.Name]] = Traffic{Bytes: s.Sent + s.Received, Applied: s.Applied, Snapshots: s.Snapshots, Switches: s.Switches}
					}
				}
			})
		}
	}
	all.Wait()
	return r
}

// queryTimeout bounds a query of the admin endpoint.
const queryTimeout = 2 * time.Second

// queryVersion queries the state of control at a real server's admin endpoint.
func queryVersion(address string) (Traffic, error) {
	var t Traffic
	conn, err := net.DialTimeout("tcp", address, queryTimeout)
	if err != nil {
		return t, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(queryTimeout)) //nolint:errcheck // a TCP connection takes it
	if _, err = fmt.Fprintln(conn, "show-version"); err != nil {
		return t, err
	}
	found := false
	for scan := bufio.NewScanner(conn); scan.Scan(); {
		words := strings.Fields(scan.Text())
		if len(words) != 2 {
			continue
		}
		n, err := strconv.ParseInt(words[1], 10, 64)
		if err != nil {
			continue
		}
		switch words[0] {
		case "sent_bytes", "received_bytes":
			t.Bytes += n
			found = true
		case "applied":
			t.Applied = int(n)
		case "snapshots":
			t.Snapshots = int(n)
		case "switches":
			t.Switches = int(n)
		}
	}
	if !found {
		return t, fmt.Errorf("%s did not report its traffic", address)
	}
	return t, nil
}
