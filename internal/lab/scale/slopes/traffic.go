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

// headers are those of IP and UDP, bytes.
const headers = 28

// traffic measures what a server tells of itself, by classes: its reports to the
// registry, bytes a second, and one answer at the operators' door.
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
	told := make([]telling, len(sizes))
	errs := make([]error, len(sizes))
	var all sync.WaitGroup
	for i, n := range sizes {
		all.Go(func() { told[i], errs[i] = m.telling(engine.Address, int(n), span) })
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
		for j, v := range []float64{told[i].report, told[i].reports, told[i].stat, told[i].statMS} {
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

// telling is what one server told.
type telling struct{ report, reports, stat, statMS float64 }

// telling has a server of n classes report to a registry that counts.
func (m *measurement) telling(engine string, n int, span time.Duration) (t telling, err error) {
	registry, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return t, fmt.Errorf("slopes: %w", err)
	}
	defer registry.Close()
	var mu sync.Mutex
	var bytes, reports float64
	var first, last time.Time
	heard := func() (n, report, rate float64) {
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
			bytes, reports = bytes+float64(n)+headers, reports+1
			mu.Unlock()
		}
	}()
	var s site
	if err = s.place(); err != nil {
		return t, err
	}
	text, err := platformFile(s, engine, registry.LocalAddr().String(), n)
	if err != nil {
		return t, err
	}
	err = inFolder(func(dir string) error {
		p, err := live.Start(m.Program, dir, s.listen, text, "")
		if err != nil {
			return err
		}
		defer p.Kill()
		time.Sleep(span)
		n, report, rate := heard()
		for over := time.Now().Add(patience); n < 2; n, report, rate = heard() {
			if time.Now().After(over) {
				return errors.New("slopes: the registry hears nothing")
			}
			time.Sleep(5 * time.Millisecond)
		}
		t.report, t.reports = report, report*rate
		t.statMS = -1
		for range 3 {
			at := time.Now()
			if t.stat, err = stat(s.ops); err != nil {
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

// platformFile is a platform's file with n classes and a registry.
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
	file["registry"], file["ops"] = registry, s.ops
	return json.Marshal(file)
}

// stat is the size of one answer to show-stat.
func stat(address string) (float64, error) {
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
