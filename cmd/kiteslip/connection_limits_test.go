package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"kiteslip/internal/faultnet"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
	"kiteslip/internal/standin/box"
	"kiteslip/internal/testfleet"
)

// roomySettings are platform settings with a repeatable and a keyed class, and capacity
// for all requests.
const roomySettings = `{"classes": [
  {"name": "look", "effect": "repeatable", "on_time_us": 3000000, "hard_limit_us": 6000000, "worth": 1},
  {"name": "note", "effect": "by_key", "on_time_us": 3000000, "hard_limit_us": 6000000, "worth": 4, "window_us": 9000000}],
 "tenants": [{"name": "red", "quota_per_s": 5000}],
 "family_info": {"cores": 64, "memory_kb": 4000000, "blowup": 4, "key_kb": 8, "idle_us": 60000000, "callers": 4, "gauges": ["cpu_busy", "runnable"]},
 "rules": {"answer_slack_us": 60000, "drain_grace_us": 2000000}, "goal": {"whole": 1}, "tick_us": 4000, "group_size": 1}`

// startServer starts a server with a limit of sockets, and a link to its engine on which
// failures can be injected.
func startServer(t *testing.T, sockets int) (*testfleet.Program, *box.Engine, *faultnet.Link) {
	t.Helper()
	engine, err := box.Serve(box.Spec{Cores: 64})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	link, err := faultnet.New(engine.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	p := testfleet.Start(t, testfleet.Spec{Path: os.Args[0], Env: []string{serverEnv + "=1"}, Name: "n0", Config: map[string]any{
		"engine": link.Address, "registry": testfleet.FreeAddress(t), "stop_ms": 3000, "settings": json.RawMessage(roomySettings),
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": sockets}}})
	p.LimitDescriptors(uint64(sockets))
	return p, engine, link
}

// Connections that arrive in one burst, each with a request, are all accepted and
// answered within the descriptor limit.
func TestBurstWithinDescriptors(t *testing.T) {
	p, _, _ := startServer(t, 256)
	warm := standin.Dial(t, p.CallerAddress)
	warm.Send(1, standin.Fields("look", "red", "", 1, 5*time.Second), "1")
	if got, _ := warm.Next(); got.Code != frame.Served {
		t.Fatalf("%+v", got)
	}
	const callers = 150
	p.Signal(syscall.SIGSTOP)
	var all []*standin.Caller
	for i := range callers {
		c := standin.Dial(t, p.CallerAddress)
		c.Send(1, standin.Fields("look", "red", "", uint64(i+2), 5*time.Second), "1")
		all = append(all, c)
	}
	p.Signal(syscall.SIGCONT)
	lost := 0
	for _, c := range all {
		if got, ok := c.Next(); !ok || got.Type != frame.Answer {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d requests got no answer", lost, callers)
	}
	p.Stop()
}

// Idle clients take every connection slot and take it again when they are evicted, while
// the registry is unreachable: callers with requests are accepted and served, the admin
// endpoint replies, the connection to the engine is restored after a break, and the
// descriptor limit holds, whether it is small or large.
func TestIdleClientsLeaveRoom(t *testing.T) {
	for _, sockets := range []int{48, 64, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			p, _, link := startServer(t, sockets)
			stop := make(chan struct{})
			var idlers sync.WaitGroup
			for range sockets {
				idlers.Add(1)
				go func() {
					defer idlers.Done()
					for {
						select {
						case <-stop:
							return
						default:
						}
						c, err := net.Dial("tcp", p.CallerAddress)
						if err != nil {
							return
						}
						done := make(chan struct{})
						go func() {
							select {
							case <-stop:
								c.Close()
							case <-done:
							}
						}()
						c.Read(make([]byte, 64)) //nolint:errcheck // until it is closed, by either side
						close(done)
						c.Close()
					}
				}()
			}
			defer func() { close(stop); idlers.Wait() }()
			maxDescriptors := 0
			testfleet.Eventually(t, "the connection slots are taken", func() bool {
				maxDescriptors = max(maxDescriptors, p.Descriptors())
				return maxDescriptors >= sockets/3
			})
			name := uint64(0)
			ask := func(what string) {
				for range 2 {
					name++
					c := standin.Dial(t, p.CallerAddress)
					c.Send(1, standin.Fields("look", "red", "", name, 5*time.Second), "1000")
					for {
						got, ok := c.Next()
						if !ok || got.Type == frame.Answer && got.Code != frame.Served {
							t.Errorf("%s: request %d: %+v", what, name, got)
						}
						if !ok || got.Type == frame.Answer {
							break
						}
					}
					c.Conn.Close()
					maxDescriptors = max(maxDescriptors, p.Descriptors())
				}
			}
			ask("with idle clients")
			if got := standin.AdminCommand(t, p.AdminAddress, "ready"); got != "done ready\n" {
				t.Errorf("the admin endpoint replies %q", got)
			}
			link.Disconnect()
			ask("after a break of the engine's link")
			if maxDescriptors > sockets {
				t.Errorf("%d descriptors of %d", maxDescriptors, sockets)
			}
			if got := standin.AdminCommand(t, p.AdminAddress, "show-stat"); !strings.Contains(got, "app.") {
				t.Errorf("the admin endpoint replies %q", got)
			}
		})
	}
}
