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

// adminCall makes a call at the door of r.
func (r *testServer) adminCall(t testing.TB, call string) string {
	t.Helper()
	return standin.Ask(t, r.admin.Addr().String(), call)
}

// healthCheck asks for the server's health as the platform does.
func (r *testServer) healthCheck(t testing.TB) byte {
	t.Helper()
	c := standin.Dial(t, r.framesAddr)
	c.Write(append(frame.AppendHeader(nil, frame.HealthCheck, 1, 1), 0))
	got, _ := c.Next()
	c.Conn.Close()
	return got.Code
}

// Calls in any order do what the table of states in docs/design.md says, and
// whatever comes is served as ever.
func TestOperatorStates(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	registry, reports := standin.NewRegistry(t)
	r := start(t, engine.Address, registry, "")
	r.eventually(t, "the engine's link", r.link.Ready)
	withdrawn, asked := false, uint64(0)
	c := standin.Dial(t, r.framesAddr)
	expect := func(t *rapid.T, call, want string) {
		cut := rapid.IntRange(0, len(call)).Draw(t, "cut")
		if got := standin.Ask(r.test, r.admin.Addr().String(), call[:cut], call[cut:]); got != want {
			t.Fatalf("%s while withdrawn is %v: %q, want %q", call, withdrawn, got, want)
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
				if got := r.healthCheck(r.test); got != map[bool]byte{false: frame.Healthy, true: frame.Unhealthy}[withdrawn] {
					t.Fatalf("health %d while withdrawn is %v", got, withdrawn)
				}
			case "request":
				asked++
				c.Send(uint32(asked), standin.Fields("look", "red", "", asked, 3*time.Second), "b")
				if got, _ := c.Next(); got.Code != frame.Served {
					t.Fatalf("a request while withdrawn is %v: %+v", withdrawn, got)
				}
			}
		}
	})
	r.adminCall(t, "drain")
	for got := <-reports; got != "BEAT t draining"; got = <-reports {
	}
	r.signals <- syscall.SIGTERM
	r.eventually(t, "the notice", func() bool { return r.killAt != 0 })
	for call, want := range map[string]string{"ready": "error stopping\n", "drain": "done drain\n"} {
		if got := r.adminCall(t, call); got != want {
			t.Errorf("%s after SIGTERM: %q, want %q", call, got, want)
		}
	}
	if got := r.adminCall(t, "resume"); !strings.HasPrefix(got, "error ") {
		t.Errorf("resume after SIGTERM: %q", got)
	}
	if got := r.healthCheck(t); got != frame.Unhealthy {
		t.Errorf("health %d after SIGTERM and resume", got)
	}
	r.signals = make(chan os.Signal, 1) // stop sends a second SIGTERM, which changes nothing
}

// A call before clients are taken: no, and a drain then holds from the start.
func TestAdminCommandsBeforeServing(t *testing.T) {
	t.Parallel()
	s := start(t, "127.0.0.1:1", "", "")
	s.onLoopWait(func() {
		s.serving = false
		for _, c := range [][2]string{{"ready", "error starting\n"}, {"drain", "done drain\n"}, {"nonsense\x00", ""}} {
			if got := string(s.runAdminCommand([]byte(c[0]))); got != c[1] && c[1] != "" || !strings.HasSuffix(got, "\n") {
				t.Errorf("%q: %q", c[0], got)
			}
		}
		s.serving = true
		if got := string(s.runAdminCommand([]byte("ready"))); got != "error draining\n" {
			t.Errorf("ready after an early drain: %q", got)
		}
	})
}

// What the figures say is what callers of both fronts saw.
func TestMetrics(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, work)
	r := start(t, engine.Address, "", operatorTOML(""))
	r.eventually(t, "the engine's link", r.link.Ready)
	c := standin.Dial(t, r.framesAddr)
	for i, body := range []string{"quick", "bad", "quick"} {
		c.Send(uint32(i+1), standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), body)
		c.Next()
	}
	c.Send(4, standin.Fields("note", "red", "key", 4, 3*time.Second), "quick")
	c.Next()
	vars := standin.Vars("note", "red", "key", 3*time.Second)
	if got := standin.Post(r.uwsgiAddr, standin.Packet(t, vars, "quick")); got.Status != 200 { // a repeat: no run
		t.Errorf("%+v", got)
	}
	late := standin.Fields("find", "red", "", 5, 0)
	c.Send(5, late, "quick") // its caller has given up
	c.Next()
	c.Send(6, standin.Fields("look", "red", "", 6, 3*time.Second), "slow")
	r.eventually(t, "a run", func() bool { return r.link.Running() == 1 })
	want := "app.ok.look:2|c\napp.shed.look:0|c\napp.errors.look:1|c\n" +
		"app.ok.find:0|c\napp.shed.find:1|c\napp.errors.find:0|c\n" +
		"app.ok.note:2|c\napp.shed.note:0|c\napp.errors.note:0|c\n" +
		"app.tries:5|c\napp.active:1|g\napp.config_applied:0|c\napp.config_rejected:0|c\nend\n"
	if got := r.adminCall(t, "show-stat"); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// Callers that hold on at the door keep out neither operators nor clients.
func TestAdminEndpointIsNeverFull(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	for range 3 * maxAdminConns {
		c, err := net.Dial("tcp", r.admin.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, "show") // and no more
	}
	if got := r.adminCall(t, "ready"); got != "done ready\n" {
		t.Errorf("ready: %q", got)
	}
	if got := r.healthCheck(t); got != frame.Healthy {
		t.Errorf("health %d", got)
	}
	if got := r.adminCall(t, strings.Repeat("x", 4096)); !strings.HasPrefix(got, "error ") {
		t.Errorf("a line without an end: %q", got)
	}
}

// Under a load that the engine cannot bear the door answers within its time.
func TestAdminEndpointUnderLoad(t *testing.T) {
	engine := standin.NewEngine(t, standin.Echo(50*time.Millisecond))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	end := time.Now().Add(1500 * time.Millisecond)
	for i := range 16 {
		c := standin.Dial(t, r.framesAddr)
		go func() {
			for n := uint32(1); time.Now().Before(end); n++ {
				c.Send(n, standin.Fields("look", "red", "", uint64(i)<<32|uint64(n), time.Second), "b")
				if n%frame.MaxStreams == 0 {
					for range frame.MaxStreams {
						if _, ok := <-c.Replies; !ok {
							return
						}
					}
				}
			}
		}()
	}
	asked := 0
	for ; time.Now().Before(end); asked++ {
		if got := r.adminCall(t, "show-stat"); !strings.HasSuffix(got, "\nend\n") {
			t.Fatalf("figures under load: %q", got)
		}
		if got := r.adminCall(t, "ready"); got != "done ready\n" {
			t.Fatalf("ready under load: %q", got)
		}
	}
	r.onLoopWait(func() {
		if n := r.core.Counts(); n.Received < 500 || n.Refused == 0 {
			t.Errorf("that was no load: %+v", n)
		}
	})
	if asked == 0 {
		t.Error("no call was made")
	}
}
