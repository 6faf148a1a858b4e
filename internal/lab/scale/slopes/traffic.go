package slopes

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"kiteslip/internal/lab/live"
	"kiteslip/internal/lab/probe"
	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/standin/box"
)

// headerBytes is the size of the IP and UDP headers.
const headerBytes = 28

// traffic measures what a server reports about itself, by number of classes: its
// reports to the registry in bytes per second, and one answer of the admin endpoint.
func (m *measurement) traffic() error {
	engine, err := box.Serve(box.Spec{Cores: 64})
	if err != nil {
		return err
	}
	defer engine.Close()
	span := 3 * time.Second
	if m.short {
		span = time.Second
	}
	sizes := m.routes()
	results := make([]reported, len(sizes))
	errs := make([]error, len(sizes))
	var all sync.WaitGroup
	for i, n := range sizes {
		all.Go(func() { results[i], errs[i] = m.report(engine.Address, int(n), span) })
	}
	all.Wait()
	if err = errors.Join(errs...); err != nil {
		return err
	}
	slopes := []figures.Slope{
		{Name: "report bytes/routes", Role: figures.Reports, Description: "one report to the registry, with the headers of IP and UDP", Unit: "bytes"},
		{Name: "reports/routes", Role: figures.Reports, Description: "reports to the registry, with the headers of IP and UDP", Unit: "bytes/s", Bound: m.target.Control.KBPerS * 1000},
		{Name: "show-stat/routes", Role: figures.Operator, Description: "one answer to show-stat", Unit: "bytes"},
		{Name: "show-stat time/routes", Role: figures.Operator, Description: "one answer to show-stat, to its end", Unit: "ms"},
	}
	for i, n := range sizes {
		for j, v := range []float64{results[i].report, results[i].reports, results[i].stat, results[i].statMS} {
			slopes[j].Points = append(slopes[j].Points, figures.Point{Size: n, Value: v, Raw: []float64{v}})
		}
	}
	for _, s := range slopes {
		s.SizeName, s.Target = "routes", float64(m.target.Fleet.Routes)
		if err = m.keep(s); err != nil {
			return err
		}
	}
	return nil
}

// reported is what one server reported.
type reported struct{ report, reports, stat, statMS float64 }

// report runs a server with n classes that reports to a counting registry.
func (m *measurement) report(engine string, n int, span time.Duration) (t reported, err error) {
	registry, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return t, fmt.Errorf("slopes: %w", err)
	}
	defer registry.Close()
	var mu sync.Mutex
	var bytes, reports float64
	var first, last time.Time
	received := func() (n, report, rate float64) {
		mu.Lock()
		defer mu.Unlock()
		if reports < 2 {
			return reports, 0, 0
		}
		return reports, bytes / reports, (reports - 1) / last.Sub(first).Seconds()
	}
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, _, err := registry.ReadFrom(buf)
			if err != nil {
				return
			}
			mu.Lock()
			if last = time.Now(); reports == 0 {
				first = last
			}
			bytes, reports = bytes+float64(n)+headerBytes, reports+1
			mu.Unlock()
		}
	}()
	var s site
	if err = s.assignAddresses(); err != nil {
		return t, err
	}
	text, err := platformFile(s, engine, registry.LocalAddr().String(), n)
	if err != nil {
		return t, err
	}
	err = inTempDir(func(dir string) error {
		p, err := live.Start(m.Program, dir, s.listen, text, "")
		if err != nil {
			return err
		}
		defer p.Kill()
		time.Sleep(span)
		n, report, rate := received()
		for deadline := time.Now().Add(processTimeout); n < 2; n, report, rate = received() {
			if time.Now().After(deadline) {
				return errors.New("slopes: the registry received no reports")
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.report, t.reports = report, report*rate
		t.statMS = -1
		for range 3 {
			at := time.Now()
			if t.stat, err = statBytes(s.admin); err != nil {
				return err
			}
			if took := float64(time.Since(at).Microseconds()) / 1000; t.statMS < 0 || took < t.statMS {
				t.statMS = took
			}
		}
		return nil
	})
	return t, err
}

// platformFile returns a platform file with n classes and a registry.
func platformFile(s site, engine, registry string, n int) ([]byte, error) {
	classes := make([]map[string]any, n)
	for i := range classes {
		classes[i] = map[string]any{"name": className(i), "effect": "repeatable", "on_time_us": 1_400_000, "hard_limit_us": 4_200_000, "worth": 1}
	}
	text, err := probe.PlatformFile(s.listen, engine, 1000, map[string]any{"cores": 1, "memory_mb": 256, "sockets": 256}, 4, 8, classes...)
	if err != nil {
		return nil, err
	}
	var file map[string]any
	if err = json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	file["registry"], file["ops"] = registry, s.admin
	return json.Marshal(file)
}

// statBytes returns the size of one answer to show-stat.
func statBytes(address string) (float64, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, fmt.Errorf("slopes: %w", err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // a TCP connection takes it
	if _, err = c.Write([]byte("show-stat\n")); err != nil {
		return 0, fmt.Errorf("slopes: %w", err)
	}
	n, err := io.Copy(io.Discard, c)
	if err != nil {
		return 0, fmt.Errorf("slopes: show-stat: %w", err)
	}
	return float64(n), nil
}
