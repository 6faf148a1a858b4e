package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
	"kiteslip/internal/faultnet"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
	"kiteslip/internal/standin/box"
	"kiteslip/internal/testfleet"
)

// A server that is cut off over 1,000 versions takes them over one after the other
// as soon as the cut heals; one for whom the log no longer reaches back gets the
// whole. Requests are served all the time.
func TestFollowCutOff(t *testing.T) {
	for name, c := range map[string]struct{ deltas, versions, snapshots int }{
		"over a thousand versions": {0, 1000, 0}, "over the end of the log": {20, 60, 1},
	} {
		t.Run(name, func(t *testing.T) {
			origin := startControl(t, "c1", "north", c.deltas)
			l := newVersionPublisher(t, origin)
			l.publish(teamChange("teal", 50), serviceChange("sum"))
			link := newLink(t, origin.Address)
			p := startFollower(t, controlText("north", "", 20_000, testfleet.ControlTarget{Address: link.Address, Region: "north"}))
			if m := showVersion(t, p.Ops); m["version"] != "1" || m["origin"] != "publisher" || m["digest"] != l.digests[1] {
				t.Fatalf("%v", m)
			}
			before := showVersion(t, p.Ops)
			load := startTraffic(t, p.Clients, "sum", "teal")
			stop := l.watch(p.Ops)
			link.Cut()
			last := l.publishMore(c.versions)
			load.awaitServed(20)
			if n := versionNumber(t, p.Ops); n != 1 {
				t.Errorf("version %d came through the cut", n)
			}
			if err := link.Heal(); err != nil {
				t.Fatal(err)
			}
			awaitVersion(t, name, p.Ops, last, healTimeout)
			load.awaitServed(20)
			load.stop()
			stop()
			m := showVersion(t, p.Ops)
			if want := strconv.Itoa(c.snapshots); m["snapshots"] != addTo(t, before["snapshots"], c.snapshots) || m["refused"] != "-" || m["fork"] != "false" {
				t.Errorf("%v, want %s more snapshots than %v", m, want, before)
			}
			if c.snapshots == 0 && m["applied"] != strconv.Itoa(c.versions) {
				t.Errorf("%v", m)
			}
			p.Leave()
		})
	}
}

func addTo(t *testing.T, n string, more int) string {
	t.Helper()
	v, err := strconv.Atoi(n)
	if err != nil {
		t.Fatal(err)
	}
	return strconv.Itoa(v + more)
}

// A region that is cut off serves on by the version it has; its own publisher and
// its servers take over what was changed meanwhile as soon as the cut heals.
func TestFollowRegionCutOff(t *testing.T) {
	for name, cut := range map[string]func(*faultnet.Link){
		"silence": func(l *faultnet.Link) { // as a network that loses everything
			l.Silence(faultnet.There)
			l.Silence(faultnet.Back)
		},
		"refusal": (*faultnet.Link).Cut,
	} {
		t.Run(name, func(t *testing.T) { testRegionCutOff(t, cut) })
	}
}

func testRegionCutOff(t *testing.T, cut func(*faultnet.Link)) {
	t.Helper()
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	up, across := newLink(t, origin.Address), newLink(t, origin.Address)
	relay := startControl(t, "c2", "south", 0, testfleet.ControlTarget{Address: up.Address, Region: "north"})
	p := startFollower(t, controlText("south", "", 20_000, testfleet.ControlTarget{Address: relay.Address, Region: "south"},
		testfleet.ControlTarget{Address: across.Address, Region: "north"}))
	if m := showVersion(t, p.Ops); m["publisher"] != relay.Address || m["version"] != "1" {
		t.Fatalf("%v", m)
	}
	load := startTraffic(t, p.Clients, "sum", "teal")
	stop := l.watch(p.Ops)
	cut(up)
	cut(across)
	last := l.publishMore(20)
	testfleet.Eventually(t, "the age grows", func() bool {
		age, _ := strconv.Atoi(showVersion(t, p.Ops)["age_ms"])
		return age > 3_000
	})
	load.awaitServed(20)
	if n := versionNumber(t, p.Ops); n != 1 {
		t.Errorf("version %d came through the cut", n)
	}
	for _, link := range []*faultnet.Link{up, across} {
		if err := link.Heal(); err != nil {
			t.Fatal(err)
		}
	}
	awaitVersion(t, "the region is back", p.Ops, last, healTimeout)
	load.awaitServed(20)
	load.stop()
	stop()
	p.Leave()
}

// A publisher that has lost the originator is left for one that has not, while the
// stream to it stands: versions are in force in time.
func TestFollowOriginatorLost(t *testing.T) {
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	up := newLink(t, origin.Address)
	relay := startControl(t, "c2", "south", 0, testfleet.ControlTarget{Address: up.Address, Region: "north"})
	p := startFollower(t, controlText("south", "", 20_000, testfleet.ControlTarget{Address: relay.Address, Region: "south"},
		testfleet.ControlTarget{Address: origin.Address, Region: "north"}))
	load := startTraffic(t, p.Clients, "sum", "teal")
	stop := l.watch(p.Ops)
	if m := showVersion(t, p.Ops); m["publisher"] != relay.Address {
		t.Fatalf("%v", m)
	}
	up.Silence(faultnet.There)
	up.Silence(faultnet.Back)
	last := l.publishMore(3)
	awaitVersion(t, "the publisher has lost the originator", p.Ops, last, healTimeout)
	if m := showVersion(t, p.Ops); m["publisher"] != origin.Address || m["snapshots"] != "1" {
		t.Errorf("%v", m)
	}
	load.stop()
	stop()
	p.Leave()
}

// A publisher that answers nothing any more is left for another, and versions go on coming.
func TestFollowSilentPublisher(t *testing.T) {
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	from := testfleet.ControlTarget{Address: origin.Address, Region: "north"}
	relays := map[string]*testfleet.Control{}
	var targets []testfleet.ControlTarget
	for _, name := range []string{"c2", "c3"} {
		r := startControl(t, name, "north", 0, from)
		relays[r.Address] = r
		targets = append(targets, testfleet.ControlTarget{Address: r.Address, Region: "north"})
	}
	p := startFollower(t, controlText("north", "", 20_000, targets...))
	load := startTraffic(t, p.Clients, "sum", "teal")
	stop := l.watch(p.Ops)
	was := showVersion(t, p.Ops)["publisher"]
	mute := relays[was]
	if mute == nil {
		t.Fatalf("%q is followed", was)
	}
	if err := syscall.Kill(mute.PID(), syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	last := l.publishMore(3)
	awaitVersion(t, "a publisher is mute", p.Ops, last, healTimeout)
	if m := showVersion(t, p.Ops); m["publisher"] == was || m["snapshots"] != "1" {
		t.Errorf("%v", m)
	}
	syscall.Kill(mute.PID(), syscall.SIGCONT) //nolint:errcheck // it is ended next
	load.stop()
	stop()
	p.Leave()
}

// Without any publisher the server serves on by the version it has, and one that
// starts anew does by the version in its folder, or without one by its file.
func TestFollowNoPublisher(t *testing.T) {
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	to := testfleet.ControlTarget{Address: origin.Address, Region: "north"}
	kept := startFollower(t, controlText("north", filepath.Join(t.TempDir(), "versions"), 1_000, to))
	bare := startFollower(t, controlText("north", "", 1_000, to))
	last := l.publishMore(5)
	for _, p := range []*testfleet.Program{kept, bare} {
		awaitVersion(t, "before", p.Ops, last, healTimeout)
	}
	load := startTraffic(t, kept.Clients, "sum", "teal")
	origin.Kill()
	testfleet.Eventually(t, "it is seen", func() bool { return showVersion(t, kept.Ops)["publisher"] == "-" })
	load.awaitServed(50)
	load.stop()
	if m := showVersion(t, kept.Ops); m["version"] != "6" || m["digest"] != l.digests[6] || m["origin"] != "publisher" {
		t.Errorf("%v", m)
	}
	kept.Kill() // what is kept outlives a crash of the process
	bare.Leave()
	kept.Again()
	bare.Again()
	if m := showVersion(t, kept.Ops); m["version"] != "6" || m["digest"] != l.digests[6] || m["origin"] != "folder" || m["publisher"] != "-" {
		t.Errorf("%v", m)
	}
	if m := showVersion(t, bare.Ops); m["version"] != "0" || m["origin"] != "none" {
		t.Errorf("%v", m)
	}
	code := func(p *testfleet.Program, class, tenant string) byte {
		c := standin.Dial(t, p.Clients)
		defer c.Conn.Close()
		c.Send(1, standin.Fields(class, tenant, "", 1, 4*time.Second), "1000")
		got, _ := c.Next()
		return got.Code
	}
	if got := code(kept, "sum", "teal"); got != frame.Served {
		t.Errorf("by the folder: code %d", got)
	}
	if got := code(bare, "look", "red"); got != frame.Served {
		t.Errorf("by the file: code %d", got)
	}
	if got := code(bare, "sum", "teal"); got == frame.Served {
		t.Error("a class that the file has not is served")
	}
	// The publisher is back: both are on the version.
	if err := origin.Again(); err != nil {
		t.Fatal(err)
	}
	last = l.publishMore(1)
	for _, p := range []*testfleet.Program{kept, bare} {
		awaitVersion(t, "the publisher is back", p.Ops, last, healTimeout)
		if got := code(p, "sum", "teal"); got != frame.Served {
			t.Errorf("code %d", got)
		}
		p.Leave()
	}
}

// A team that a version drops: what it has open ends as usual, what comes after is refused.
func TestFollowRetiredTeam(t *testing.T) {
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), teamChange("lime", 50), serviceChange("sum"))
	p := startFollower(t, controlText("north", "", 20_000, testfleet.ControlTarget{Address: origin.Address, Region: "north"}))
	c := standin.Dial(t, p.Clients)
	const open = 8
	for i := range uint32(open) {
		c.Send(i+1, standin.Fields("sum", "teal", "", uint64(i+1), 4*time.Second), "1000000")
	}
	testfleet.Eventually(t, "they run", func() bool {
		return strings.Contains(adminCommand(t, p.Ops, "show-stat"), fmt.Sprintf("app.active:%d|g", open))
	})
	last := l.publish(document.Change{Drop: true, Team: &document.Team{Name: "teal"}})
	awaitVersion(t, "the team is dropped", p.Ops, last, healTimeout)
	late := standin.Dial(t, p.Clients)
	late.Send(1, standin.Fields("sum", "teal", "", 100, 4*time.Second), "1000")
	if got, _ := late.Next(); got.Type != frame.Answer || got.Code == frame.Served {
		t.Errorf("after the drop: %+v", got)
	}
	late.Send(2, standin.Fields("sum", "lime", "", 101, 4*time.Second), "1000")
	if got, _ := late.Next(); got.Code != frame.Served {
		t.Errorf("another team: %+v", got)
	}
	for range open {
		if got, ok := c.Next(); !ok || got.Code != frame.Served {
			t.Errorf("what was open: %+v", got)
		}
	}
	p.Leave()
}

// Versions come in the moment of SIGHUP and of SIGTERM: no request is lost, the
// file's machine part is taken over, and after the notice to leave nothing is.
func TestFollowSignals(t *testing.T) {
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	engine, err := box.Serve(box.Spec{Cores: 64})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	p := testfleet.Start(t, testfleet.Spec{Path: os.Args[0], Env: []string{serverEnv + "=1"}, Name: "n0",
		Operator: controlText("north", t.TempDir(), 20_000, testfleet.ControlTarget{Address: origin.Address, Region: "north"}),
		Config:   followerConfig(engine.Address)})
	load := startTraffic(t, p.Clients, "sum", "teal")
	watch := l.watch(p.Ops)
	stop := l.publishContinuously()
	for i := range 10 {
		next := followerConfig(engine.Address)
		next["stop_ms"] = 2000 + 10*i
		p.Reload(next)
		testfleet.Eventually(t, "the file is taken over", func() bool {
			return strings.Contains(adminCommand(t, p.Ops, "show-stat"), fmt.Sprintf("app.config_applied:%d|c", i+1))
		})
	}
	at := versionNumber(t, p.Ops)
	testfleet.Eventually(t, "versions go on", func() bool { return versionNumber(t, p.Ops) > at+5 })
	load.awaitServed(20)
	if m := showVersion(t, p.Ops); m["refused"] != "-" || m["origin"] != "publisher" {
		t.Errorf("%v", m)
	}
	watch()
	p.Signal(syscall.SIGTERM)
	testfleet.Eventually(t, "it says that it leaves", func() bool { return isLeaving(t, l, "n0") })
	load.stop()
	p.Leave()
	if last := stop(); last < 10 {
		t.Errorf("%d versions", last)
	}
}

// Versions come while one process takes the place of another: both follow, no
// request is lost, and the one that stays is on the newest.
func TestFollowUpgrade(t *testing.T) {
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	clients, dir, folder := listener.(*net.TCPListener), t.TempDir(), t.TempDir()
	operator := filepath.Join(t.TempDir(), "operator.toml")
	text := controlText("north", folder, 2_000, testfleet.ControlTarget{Address: origin.Address, Region: "north"})
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("KITESLIP_OPERATOR", operator)
	stop := l.publishContinuously()
	first := startProcess(t, clients, dir)
	load := startTraffic(t, first.clients, "sum", "teal")
	load.awaitServed(20)
	second := startProcess(t, clients, dir)
	at := versionNumber(t, second.ops)
	if at == 0 {
		t.Error("the second process starts by no version")
	}
	testfleet.Eventually(t, "both follow", func() bool { return versionNumber(t, first.ops) > at && versionNumber(t, second.ops) > at })
	if err := first.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	load.awaitServed(50)
	if err := first.Wait(); err != nil {
		t.Errorf("the first process ends with %v", err)
	}
	load.awaitServed(50)
	load.stop()
	last := stop()
	awaitVersion(t, "the second process", second.ops, last, healTimeout)
	if m := showVersion(t, second.ops); m["digest"] != l.digests[last] || m["refused"] != "-" {
		t.Errorf("%v", m)
	}
	// The folder is the second process's by now, and has the version after it.
	if err := second.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := second.Wait(); err != nil {
		t.Errorf("the second process ends with %v", err)
	}
	origin.Kill()
	third := startProcess(t, clients, dir)
	if m := showVersion(t, third.ops); m["digest"] != l.digests[last] || m["origin"] != "folder" {
		t.Errorf("%v, want version %d", m, last)
	}
}

// A notice to leave that comes while a start waits for a publisher ends the wait.
func TestFollowShutdownNoticeDuringStart(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	asked := make(chan struct{})
	go func() {
		if c, err := mute.Accept(); err == nil {
			close(asked)
			defer c.Close()
			<-t.Context().Done()
		}
	}()
	file := writeConfig(t)
	operator := filepath.Join(t.TempDir(), "operator.toml")
	text := controlText("north", "", 60_000, testfleet.ControlTarget{Address: mute.Addr().String(), Region: "north"})
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(config.EnvConfig, file)
	end := make(chan error, 1)
	serve := serveCmd{operatorFlag: operatorFlag{operator}, LogLevel: "error"}
	go func() { end <- serve.Run() }()
	<-asked
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-end:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(20 * time.Second):
		t.Error("it waits on")
	}
}

// Without [control] the door says so, and nothing follows.
func TestFollowOff(t *testing.T) {
	p := startFollower(t, "")
	if got := adminCommand(t, p.Ops, "show-version"); !strings.HasPrefix(got, "error no [control]") {
		t.Errorf("%q", got)
	}
	if got := adminCommand(t, p.Ops, "show-stat"); strings.Contains(got, "control.") {
		t.Errorf("%s", got)
	}
	p.Leave()
}
