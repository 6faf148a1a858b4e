package server

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// adminCall sends a command to the admin endpoint of r and returns the answer.
func (r *testServer) adminCall(t testing.TB, command string) string {
	t.Helper()
	return standin.AdminCommand(t, r.admin.Addr().String(), command)
}

// healthCheck sends a health check as the platform does and returns the code of the answer.
func (r *testServer) healthCheck(t testing.TB) byte {
	t.Helper()
	c := standin.Dial(t, r.framesAddr)
	c.Write(append(frame.AppendHeader(nil, frame.HealthCheck, 1, 1), 0))
	got, _ := c.Next()
	c.Conn.Close()
	return got.Code
}

// Admin commands in any order follow the table of states in docs/design.md, and
// none of them keeps requests from being served.
func TestOperatorStates(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	registry, reports := standin.NewRegistry(t)
	srv := start(t, engine.Address, registry, "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	withdrawn, requests := false, uint64(0)
	caller := standin.Dial(t, srv.framesAddr)
	expect := func(t *rapid.T, command, want string) {
		cut := rapid.IntRange(0, len(command)).Draw(t, "cut")
		if got := standin.AdminCommand(srv.test, srv.admin.Addr().String(), command[:cut], command[cut:]); got != want {
			t.Fatalf("%s with withdrawn=%v: got %q, want %q", command, withdrawn, got, want)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		for _, step := range rapid.SliceOfN(rapid.SampledFrom([]string{"drain", "resume", "ready", "health", "request"}), 1, 6).Draw(t, "steps") {
			switch step {
			case "drain", "resume":
				expect(t, step, "done "+step+"\n")
				withdrawn = step == "drain"
			case "ready":
				expect(t, step, map[bool]string{false: "done ready\n", true: "error draining\n"}[withdrawn])
			case "health":
				if got := srv.healthCheck(srv.test); got != map[bool]byte{false: frame.Healthy, true: frame.Unhealthy}[withdrawn] {
					t.Fatalf("health code %d with withdrawn=%v", got, withdrawn)
				}
			case "request":
				requests++
				caller.Send(uint32(requests), standin.Fields("look", "red", "", requests, 3*time.Second), "b")
				if got, _ := caller.Next(); got.Code != frame.Served {
					t.Fatalf("request with withdrawn=%v: got %+v, want served", withdrawn, got)
				}
			}
		}
	})
	srv.adminCall(t, "drain")
	for got := <-reports; got != "BEAT t draining"; got = <-reports {
	}
	srv.signals <- syscall.SIGTERM
	srv.eventually(t, "shutdown notice received", func() bool { return srv.killAt != 0 })
	for command, want := range map[string]string{"ready": "error stopping\n", "drain": "done drain\n"} {
		if got := srv.adminCall(t, command); got != want {
			t.Errorf("%s after SIGTERM: got %q, want %q", command, got, want)
		}
	}
	if got := srv.adminCall(t, "resume"); !strings.HasPrefix(got, "error ") {
		t.Errorf("resume after SIGTERM: got %q, want an error", got)
	}
	if got := srv.healthCheck(t); got != frame.Unhealthy {
		t.Errorf("health code %d after SIGTERM and resume, want unhealthy", got)
	}
	srv.signals = make(chan os.Signal, 1) // stop sends a second SIGTERM, which has no effect
}

// Before the server takes callers, ready is answered with an error, and a drain
// command sent then is in force when it begins to serve.
func TestAdminCommandsBeforeServing(t *testing.T) {
	t.Parallel()
	srv := start(t, "127.0.0.1:1", "", "")
	srv.onLoopWait(func() {
		srv.serving = false
		for _, tc := range [][2]string{{"ready", "error starting\n"}, {"drain", "done drain\n"}, {"nonsense\x00", ""}} {
			if got := string(srv.runAdminCommand([]byte(tc[0]))); got != tc[1] && tc[1] != "" || !strings.HasSuffix(got, "\n") {
				t.Errorf("command %q: got %q", tc[0], got)
			}
		}
		srv.serving = true
		if got := string(srv.runAdminCommand([]byte("ready"))); got != "error draining\n" {
			t.Errorf("ready after a drain command during the start: got %q", got)
		}
	})
}

// The metrics agree with the answers that callers of both front ends got.
func TestMetrics(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, workByBody)
	srv := start(t, engine.Address, "", operatorTOML(""))
	srv.eventually(t, "engine link ready", srv.link.Ready)
	caller := standin.Dial(t, srv.framesAddr)
	for i, body := range []string{"quick", "bad", "quick"} {
		caller.Send(uint32(i+1), standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), body)
		caller.Next()
	}
	caller.Send(4, standin.Fields("note", "red", "key", 4, 3*time.Second), "quick")
	caller.Next()
	vars := standin.UWSGIVars("note", "red", "key", 3*time.Second)
	if got := standin.UWSGIExchange(srv.uwsgiAddr, standin.UWSGIRequest(t, vars, "quick")); got.Status != 200 { // a duplicate: answered without a run
		t.Errorf("unexpected answer: %+v", got)
	}
	late := standin.Fields("find", "red", "", 5, 0)
	caller.Send(5, late, "quick") // its timeout has passed already
	caller.Next()
	caller.Send(6, standin.Fields("look", "red", "", 6, 3*time.Second), "slow")
	srv.eventually(t, "request running", func() bool { return srv.link.Running() == 1 })
	want := "app.ok.look:2|c\napp.shed.look:0|c\napp.errors.look:1|c\n" +
		"app.ok.find:0|c\napp.shed.find:1|c\napp.errors.find:0|c\n" +
		"app.ok.note:2|c\napp.shed.note:0|c\napp.errors.note:0|c\n" +
		"app.tries:5|c\napp.active:1|g\napp.config_applied:0|c\napp.config_rejected:0|c\nend\n"
	if got := srv.adminCall(t, "show-stat"); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// Connections to the admin endpoint that send a partial command and stay open
// keep out neither operators nor callers.
func TestAdminEndpointIsNeverFull(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	for range 3 * maxAdminConns {
		c, err := net.Dial("tcp", srv.admin.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "show") // and no more
	}
	if got := srv.adminCall(t, "ready"); got != "done ready\n" {
		t.Errorf("ready: got %q", got)
	}
	if got := srv.healthCheck(t); got != frame.Healthy {
		t.Errorf("health code %d, want healthy", got)
	}
	if got := srv.adminCall(t, strings.Repeat("x", 4096)); !strings.HasPrefix(got, "error ") {
		t.Errorf("line without an end: got %q, want an error", got)
	}
}

// Under a load beyond the engine's capacity the admin endpoint still answers in time.
func TestAdminEndpointUnderLoad(t *testing.T) {
	engine := standin.NewEngine(t, standin.Echo(50*time.Millisecond))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	end := time.Now().Add(1500 * time.Millisecond)
	for i := range 16 {
		caller := standin.Dial(t, srv.framesAddr)
		go func() {
			for n := uint32(1); time.Now().Before(end); n++ {
				caller.Send(n, standin.Fields("look", "red", "", uint64(i)<<32|uint64(n), time.Second), "b")
				if n%frame.MaxStreams == 0 {
					for range frame.MaxStreams {
						if _, ok := <-caller.Replies; !ok {
							return
						}
					}
				}
			}
		}()
	}
	rounds := 0
	for ; time.Now().Before(end); rounds++ {
		if got := srv.adminCall(t, "show-stat"); !strings.HasSuffix(got, "\nend\n") {
			t.Fatalf("show-stat under load: got %q", got)
		}
		if got := srv.adminCall(t, "ready"); got != "done ready\n" {
			t.Fatalf("ready under load: got %q", got)
		}
	}
	srv.onLoopWait(func() {
		if n := srv.core.Counts(); n.Received < 500 || n.Refused == 0 {
			t.Errorf("the load was too low for the test: %+v", n)
		}
	})
	if rounds == 0 {
		t.Error("no admin command was sent")
	}
}
