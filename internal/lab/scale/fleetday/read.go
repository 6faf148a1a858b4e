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

// Traffic is what a server's control has sent and received since its start, and
// the versions that it has taken over.
type Traffic struct {
	Bytes     int64
	Applied   int
	Snapshots int
	Switches  int
}

// reading is the traffic of all servers that told it at one time.
type reading struct {
	at      time.Time
	traffic map[int]Traffic // by server
}

// read asks all servers for their traffic now and then, until ctx ends. Twins
// are asked the same at the same times: what a question costs, it costs both.
func (d *day) read(ctx context.Context) error {
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
			t, err := askVersion(s.ops)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && s.control {
				r.traffic[s.number] = t
			}
		})
	}
	if !d.o.WithoutControl {
		for _, h := range d.rig.hollow {
			all.Go(func() {
				list, err := h.ask()
				if err != nil {
					d.rig.complain("%v", err)
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

// askWithin bounds a question at the operators' door.
const askWithin = 2 * time.Second

// askVersion asks a real server's door how its control stands.
func askVersion(address string) (Traffic, error) {
	var t Traffic
	conn, err := net.DialTimeout("tcp", address, askWithin)
	if err != nil {
		return t, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(askWithin)) //nolint:errcheck // a TCP connection takes it
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
		return t, fmt.Errorf("%s does not tell its traffic", address)
	}
	return t, nil
}
