package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/publish"
	"kiteslip/internal/faultnet"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
	"kiteslip/internal/standin/box"
	"kiteslip/internal/testfleet"
)

// healTimeout is the limit for a version to be in force after a failure has ended.
const healTimeout = 6 * time.Second

// startControl starts a control machine; given others, it is a relay that follows them,
// the originator first.
func startControl(t *testing.T, name, region string, deltas int, follow ...testfleet.ControlTarget) *testfleet.Control {
	t.Helper()
	return testfleet.StartControl(t, testfleet.ControlSpec{Path: os.Args[0], Env: []string{serverEnv + "=1"}, Name: name, Region: region,
		Deltas: deltas, Follow: follow})
}

// newLink returns a link to an address on which failures can be injected.
func newLink(t *testing.T, address string) *faultnet.Link {
	t.Helper()
	l, err := faultnet.New(address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// controlText returns [control] of a server's file.
func controlText(region, folder string, waitMS int, publishers ...testfleet.ControlTarget) string {
	text := fmt.Sprintf("[control]\nregion = %q\nwait_ms = %d\n", region, waitMS)
	if folder != "" {
		text += fmt.Sprintf("folder = %q\n", folder)
	}
	for _, p := range publishers {
		text += fmt.Sprintf("[[control.publisher]]\naddress = %q\nregion = %q\n", p.Address, p.Region)
	}
	return text
}

// startFollower starts a server with an operator's file and an engine of its own.
func startFollower(t *testing.T, operator string) *testfleet.Program {
	t.Helper()
	engine, err := box.Serve(box.Spec{Cores: 64})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	return testfleet.Start(t, testfleet.Spec{Path: os.Args[0], Env: []string{serverEnv + "=1"}, Name: "n0", Operator: operator,
		Config: followerConfig(engine.Address)})
}

// followerConfig returns the platform's file of a follower.
func followerConfig(engine string) map[string]any {
	return map[string]any{"engine": engine, "stop_ms": 3000, "settings": json.RawMessage(roomySettings),
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": 256}}
}

// adminCommand sends one command to the admin endpoint and returns the reply, "" if
// there is none because the process is starting or ending.
func adminCommand(t testing.TB, ops, command string) string {
	t.Helper()
	conn, err := net.Dial("tcp", ops)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second)) //nolint:errcheck // a TCP connection takes it
	fmt.Fprintf(conn, "%s\n", command)
	reply, err := io.ReadAll(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%s: no reply", command)
	}
	return string(reply)
}

// showVersion returns the values of show-version by their names.
func showVersion(t testing.TB, ops string) map[string]string {
	t.Helper()
	m := map[string]string{}
	for _, line := range strings.Split(adminCommand(t, ops, "show-version"), "\n") {
		if key, value, ok := strings.Cut(line, " "); ok {
			m[key] = value
		}
	}
	return m
}

// versionNumber returns the number of the version in force.
func versionNumber(t testing.TB, ops string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(showVersion(t, ops)["version"], 10, 64)
	if err != nil {
		t.Errorf("show-version: %v", err)
	}
	return n
}

// versionPublisher publishes versions and records their digests by number.
type versionPublisher struct {
	t       *testing.T
	client  publish.Client
	mu      sync.Mutex
	digests map[uint64]string
	last    uint64
}

// newVersionPublisher returns a publisher to an originator.
func newVersionPublisher(t *testing.T, originator *testfleet.Control) *versionPublisher {
	return &versionPublisher{t: t, client: publish.Client{Address: originator.Address}, digests: map[uint64]string{}}
}

// publish publishes one version and returns its number.
func (l *versionPublisher) publish(changes ...document.Change) uint64 {
	l.t.Helper()
	ctx, end := context.WithTimeout(context.Background(), 20*time.Second)
	defer end()
	h, err := l.client.PublishChanges(ctx, changes, document.Meta{Author: "anna", Reason: "a test"}, document.Digest{})
	if err != nil {
		l.t.Fatal(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	d := h.Digest()
	l.digests[h.Number], l.last = fmt.Sprintf("%x", d[:]), h.Number
	return h.Number
}

// publishMore publishes n versions, each with another budget of a team, and returns the
// number of the last.
func (l *versionPublisher) publishMore(n int) uint64 {
	l.t.Helper()
	for range n {
		l.publish(teamChange("teal", float64(10+l.last)))
	}
	return l.last
}

// watch polls a server's version until stop is called: it must be a published one, and
// its number must not decrease.
func (l *versionPublisher) watch(ops string) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for before := uint64(0); ; time.Sleep(5 * time.Millisecond) {
			select {
			case <-done:
				return
			default:
			}
			m := showVersion(l.t, ops)
			n, err := strconv.ParseUint(m["version"], 10, 64)
			if err != nil {
				continue // the process is starting or ending
			}
			l.mu.Lock()
			want, known := l.digests[n]
			l.mu.Unlock()
			if n < before || known && m["digest"] != want {
				l.t.Errorf("version %d %s after %d, want the digest %q", n, m["digest"], before, want)
			}
			before = n
		}
	}()
	var once sync.Once
	stop = func() { once.Do(func() { close(done); <-ended }) }
	l.t.Cleanup(stop)
	return stop
}

// teamChange is the change that sets a team's budget.
func teamChange(name string, quota float64) document.Change {
	return document.Change{Team: &document.Team{Name: name, Quota: quota}}
}

// serviceChange is the change that adds a service with one class of the same name.
func serviceChange(name string) document.Change {
	aim, deadline := 4000.0, 5000.0
	return document.Change{Service: &document.Service{Name: name, Contracts: []document.Contract{
		{Class: name, Effect: "repeatable", TargetTimeMS: &aim, DeadlineMS: &deadline}}}}
}

// traffic sends one request after the other; each must be served.
type traffic struct {
	t      *testing.T
	served atomic.Int64
	done   chan struct{}
	ended  chan struct{}
	once   sync.Once
}

// startTraffic sends requests of a class and a tenant until stop is called.
func startTraffic(t *testing.T, clients, class, tenant string) *traffic {
	l := &traffic{t: t, done: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(l.ended)
		var c *standin.Caller
		for name := uint64(1); ; name++ {
			select {
			case <-l.done:
				if c != nil {
					c.Conn.Close()
				}
				return
			default:
			}
			if c == nil {
				conn, err := net.Dial("tcp", clients)
				if err != nil {
					name--
					time.Sleep(time.Millisecond)
					continue // between two processes there may be no listener
				}
				conn.Close()
				c = standin.Dial(t, clients)
			}
			c.Send(uint32(name), standin.Fields(class, tenant, "", name, 4*time.Second), "1000")
			goAway := false
			for {
				got, ok := c.Next()
				if !ok {
					t.Errorf("request %d is lost", name)
					c = nil
					break
				}
				if got.Type == frame.GoAway {
					goAway = true
					continue
				}
				if got.Type == frame.Answer {
					if got.Code == frame.Served {
						l.served.Add(1)
					} else if !goAway {
						t.Errorf("request %d: code %d", name, got.Code)
					}
					break
				}
			}
			if goAway && c != nil {
				c.Conn.Close()
				c = nil
			}
		}
	}()
	t.Cleanup(l.stop)
	return l
}

// stop ends the traffic.
func (l *traffic) stop() { l.once.Do(func() { close(l.done); <-l.ended }) }

// awaitServed waits until n more requests are served.
func (l *traffic) awaitServed(n int64) {
	l.t.Helper()
	until := l.served.Load() + n
	testfleet.Eventually(l.t, "requests are served", func() bool { return l.served.Load() >= until || l.t.Failed() })
}

// awaitVersion waits until a version is in force, and fails the test if it takes longer
// than limit.
func awaitVersion(t *testing.T, what, ops string, want uint64, limit time.Duration) {
	t.Helper()
	start := time.Now()
	testfleet.Eventually(t, what, func() bool { return versionNumber(t, ops) >= want })
	took := time.Since(start)
	t.Logf("%s: version %d in force after %v", what, want, took.Round(time.Millisecond))
	if took > limit {
		t.Errorf("%s: it took %v, want at most %v", what, took, limit)
	}
}

// publishContinuously publishes versions until stop is called, which returns the last
// number.
func (l *versionPublisher) publishContinuously() (stop func() uint64) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			default:
				l.publishMore(1)
			}
		}
	}()
	var once sync.Once
	stop = func() uint64 { once.Do(func() { close(done); <-ended }); return l.last }
	l.t.Cleanup(func() { stop() })
	return stop
}

// isLeaving reports whether the originator lists a server as leaving.
func isLeaving(t *testing.T, l *versionPublisher, name string) bool {
	t.Helper()
	ctx, end := context.WithTimeout(context.Background(), 20*time.Second)
	defer end()
	lines, err := l.client.Followers(ctx, false)
	if err != nil {
		t.Error(err)
	}
	for _, f := range lines {
		if f.Name == name && f.Leaving {
			return true
		}
	}
	return false
}
