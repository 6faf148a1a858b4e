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

// A server that is cut off while 1,000 versions are published applies their deltas one
// by one once the link heals; one that is behind the start of the log gets a snapshot.
// Requests are served all the time.
func TestFollowCutOff(t *testing.T) {
	for name, c := range map[string]struct{ deltas, versions, snapshots int }{
		"within the log": {0, 1000, 0}, "behind the log": {20, 60, 1},
	} {
		t.Run(name, func(t *testing.T) {
			origin := startControl(t, "c1", "north", c.deltas)
			l := newVersionPublisher(t, origin)
			l.publish(teamChange("teal", 50), serviceChange("sum"))
			link := newLink(t, origin.Address)
			p := startFollower(t, controlText("north", "", 20_000, testfleet.ControlTarget{Address: link.Address, Region: "north"}))
			if m := showVersion(t, p.AdminAddress); m["version"] != "1" || m["origin"] != "publisher" || m["digest"] != l.digests[1] {
				t.Fatalf("%v", m)
			}
			before := showVersion(t, p.AdminAddress)
			load := startTraffic(t, p.CallerAddress, "sum", "teal")
			stop := l.watch(p.AdminAddress)
			link.Refuse()
			last := l.publishMore(c.versions)
			load.awaitServed(20)
			if n := versionNumber(t, p.AdminAddress); n != 1 {
				t.Errorf("version %d was received through the cut", n)
			}
			if err := link.Restore(); err != nil {
				t.Fatal(err)
			}
			awaitVersion(t, name, p.AdminAddress, last, healTimeout)
			load.awaitServed(20)
			load.stop()
			stop()
			m := showVersion(t, p.AdminAddress)
			if want := strconv.Itoa(c.snapshots); m["snapshots"] != addTo(t, before["snapshots"], c.snapshots) || m["refused"] != "-" || m["fork"] != "false" {
				t.Errorf("%v, want %s more snapshots than %v", m, want, before)
			}
			if c.snapshots == 0 && m["applied"] != strconv.Itoa(c.versions) {
				t.Errorf("%v", m)
			}
			p.Stop()
		})
	}
}

// addTo adds a number to one of show-version.
func addTo(t *testing.T, n string, more int) string {
	t.Helper()
	v, err := strconv.Atoi(n)
	if err != nil {
		t.Fatal(err)
	}
	return strconv.Itoa(v + more)
}

// A region that is cut off goes on serving with its version; its publisher and its
// servers apply the newer versions once the links heal.
func TestFollowRegionCutOff(t *testing.T) {
	for name, cut := range map[string]func(*faultnet.Link){
		"silence": func(l *faultnet.Link) { // as a network that drops everything
			l.Silence(faultnet.ToTarget)
			l.Silence(faultnet.FromTarget)
		},
		"refusal": (*faultnet.Link).Refuse,
	} {
		t.Run(name, func(t *testing.T) { testRegionCutOff(t, cut) })
	}
}

// testRegionCutOff cuts the region's two links with cut.
func testRegionCutOff(t *testing.T, cut func(*faultnet.Link)) {
	t.Helper()
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	relayLink, serverLink := newLink(t, origin.Address), newLink(t, origin.Address)
	relay := startControl(t, "c2", "south", 0, testfleet.ControlTarget{Address: relayLink.Address, Region: "north"})
	p := startFollower(t, controlText("south", "", 20_000, testfleet.ControlTarget{Address: relay.Address, Region: "south"},
		testfleet.ControlTarget{Address: serverLink.Address, Region: "north"}))
	if m := showVersion(t, p.AdminAddress); m["publisher"] != relay.Address || m["version"] != "1" {
		t.Fatalf("%v", m)
	}
	load := startTraffic(t, p.CallerAddress, "sum", "teal")
	stop := l.watch(p.AdminAddress)
	cut(relayLink)
	cut(serverLink)
	last := l.publishMore(20)
	testfleet.Eventually(t, "age_ms grows", func() bool {
		age, _ := strconv.Atoi(showVersion(t, p.AdminAddress)["age_ms"])
		return age > 3_000
	})
	load.awaitServed(20)
	if n := versionNumber(t, p.AdminAddress); n != 1 {
		t.Errorf("version %d was received through the cut", n)
	}
	for _, link := range []*faultnet.Link{relayLink, serverLink} {
		if err := link.Restore(); err != nil {
			t.Fatal(err)
		}
	}
	awaitVersion(t, "the links have healed", p.AdminAddress, last, healTimeout)
	load.awaitServed(20)
	load.stop()
	stop()
	p.Stop()
}

// A follower switches from a publisher that has lost the originator to one that has not,
// although its stream is established, so that versions are in force in time.
func TestFollowOriginatorLost(t *testing.T) {
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	up := newLink(t, origin.Address)
	relay := startControl(t, "c2", "south", 0, testfleet.ControlTarget{Address: up.Address, Region: "north"})
	p := startFollower(t, controlText("south", "", 20_000, testfleet.ControlTarget{Address: relay.Address, Region: "south"},
		testfleet.ControlTarget{Address: origin.Address, Region: "north"}))
	load := startTraffic(t, p.CallerAddress, "sum", "teal")
	stop := l.watch(p.AdminAddress)
	if m := showVersion(t, p.AdminAddress); m["publisher"] != relay.Address {
		t.Fatalf("%v", m)
	}
	up.Silence(faultnet.ToTarget)
	up.Silence(faultnet.FromTarget)
	last := l.publishMore(3)
	awaitVersion(t, "the publisher has lost the originator", p.AdminAddress, last, healTimeout)
	if m := showVersion(t, p.AdminAddress); m["publisher"] != origin.Address || m["snapshots"] != "1" {
		t.Errorf("%v", m)
	}
	load.stop()
	stop()
	p.Stop()
}

// A follower switches from a publisher whose process hangs to another one, so that
// versions are in force in time.
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
	load := startTraffic(t, p.CallerAddress, "sum", "teal")
	stop := l.watch(p.AdminAddress)
	was := showVersion(t, p.AdminAddress)["publisher"]
	silent := relays[was]
	if silent == nil {
		t.Fatalf("the server follows %q, want one of the relays", was)
	}
	if err := syscall.Kill(silent.PID(), syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	last := l.publishMore(3)
	awaitVersion(t, "a publisher is silent", p.AdminAddress, last, healTimeout)
	if m := showVersion(t, p.AdminAddress); m["publisher"] == was || m["snapshots"] != "1" {
		t.Errorf("%v", m)
	}
	syscall.Kill(silent.PID(), syscall.SIGCONT) //nolint:errcheck // it is ended next
	load.stop()
	stop()
	p.Stop()
}

// Without any publisher a server goes on serving with its version. One that starts uses
// the version in its folder, or without one its file.
func TestFollowNoPublisher(t *testing.T) {
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	to := testfleet.ControlTarget{Address: origin.Address, Region: "north"}
	withFolder := startFollower(t, controlText("north", filepath.Join(t.TempDir(), "versions"), 1_000, to))
	withoutFolder := startFollower(t, controlText("north", "", 1_000, to))
	last := l.publishMore(5)
	for _, p := range []*testfleet.Program{withFolder, withoutFolder} {
		awaitVersion(t, "before", p.AdminAddress, last, healTimeout)
	}
	load := startTraffic(t, withFolder.CallerAddress, "sum", "teal")
	origin.Kill()
	testfleet.Eventually(t, "the publisher is lost", func() bool { return showVersion(t, withFolder.AdminAddress)["publisher"] == "-" })
	load.awaitServed(50)
	load.stop()
	if m := showVersion(t, withFolder.AdminAddress); m["version"] != "6" || m["digest"] != l.digests[6] || m["origin"] != "publisher" {
		t.Errorf("%v", m)
	}
	withFolder.Kill() // the stored version survives a crash of the process
	withoutFolder.Stop()
	withFolder.Restart()
	withoutFolder.Restart()
	if m := showVersion(t, withFolder.AdminAddress); m["version"] != "6" || m["digest"] != l.digests[6] || m["origin"] != "folder" || m["publisher"] != "-" {
		t.Errorf("%v", m)
	}
	if m := showVersion(t, withoutFolder.AdminAddress); m["version"] != "0" || m["origin"] != "none" {
		t.Errorf("%v", m)
	}
	code := func(p *testfleet.Program, class, tenant string) byte {
		c := standin.Dial(t, p.CallerAddress)
		defer c.Conn.Close()
		c.Send(1, standin.Fields(class, tenant, "", 1, 4*time.Second), "1000")
		got, _ := c.Next()
		return got.Code
	}
	if got := code(withFolder, "sum", "teal"); got != frame.Served {
		t.Errorf("with the folder's version: code %d", got)
	}
	if got := code(withoutFolder, "look", "red"); got != frame.Served {
		t.Errorf("with the file: code %d", got)
	}
	if got := code(withoutFolder, "sum", "teal"); got == frame.Served {
		t.Error("a class that the file does not have is served")
	}
	// The publisher is back: both servers apply its version.
	if err := origin.Restart(); err != nil {
		t.Fatal(err)
	}
	last = l.publishMore(1)
	for _, p := range []*testfleet.Program{withFolder, withoutFolder} {
		awaitVersion(t, "the publisher is back", p.AdminAddress, last, healTimeout)
		if got := code(p, "sum", "teal"); got != frame.Served {
			t.Errorf("code %d", got)
		}
		p.Stop()
	}
}

// A version drops a team: its open requests are served, later ones are refused.
func TestFollowRetiredTeam(t *testing.T) {
	origin := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), teamChange("lime", 50), serviceChange("sum"))
	p := startFollower(t, controlText("north", "", 20_000, testfleet.ControlTarget{Address: origin.Address, Region: "north"}))
	c := standin.Dial(t, p.CallerAddress)
	const open = 8
	for i := range uint32(open) {
		c.Send(i+1, standin.Fields("sum", "teal", "", uint64(i+1), 4*time.Second), "1000000")
	}
	testfleet.Eventually(t, "the requests run", func() bool {
		return strings.Contains(adminCommand(t, p.AdminAddress, "show-stat"), fmt.Sprintf("app.active:%d|g", open))
	})
	last := l.publish(document.Change{Drop: true, Team: &document.Team{Name: "teal"}})
	awaitVersion(t, "the team is dropped", p.AdminAddress, last, healTimeout)
	late := standin.Dial(t, p.CallerAddress)
	late.Send(1, standin.Fields("sum", "teal", "", 100, 4*time.Second), "1000")
	if got, _ := late.Next(); got.Type != frame.Answer || got.Code == frame.Served {
		t.Errorf("after the team was dropped: %+v", got)
	}
	late.Send(2, standin.Fields("sum", "lime", "", 101, 4*time.Second), "1000")
	if got, _ := late.Next(); got.Code != frame.Served {
		t.Errorf("another team: %+v", got)
	}
	for range open {
		if got, ok := c.Next(); !ok || got.Code != frame.Served {
			t.Errorf("an open request: %+v", got)
		}
	}
	p.Stop()
}

// Versions arrive during SIGHUP and SIGTERM: no request is lost, the file's machine
// settings are applied, and no version is applied after the shutdown notice.
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
	load := startTraffic(t, p.CallerAddress, "sum", "teal")
	watch := l.watch(p.AdminAddress)
	stop := l.publishContinuously()
	for i := range 10 {
		next := followerConfig(engine.Address)
		next["stop_ms"] = 2000 + 10*i
		p.Reload(next)
		testfleet.Eventually(t, "the file is applied", func() bool {
			return strings.Contains(adminCommand(t, p.AdminAddress, "show-stat"), fmt.Sprintf("app.config_applied:%d|c", i+1))
		})
	}
	at := versionNumber(t, p.AdminAddress)
	testfleet.Eventually(t, "versions are applied", func() bool { return versionNumber(t, p.AdminAddress) > at+5 })
	load.awaitServed(20)
	if m := showVersion(t, p.AdminAddress); m["refused"] != "-" || m["origin"] != "publisher" {
		t.Errorf("%v", m)
	}
	watch()
	p.Signal(syscall.SIGTERM)
	testfleet.Eventually(t, "the server is listed as leaving", func() bool { return isLeaving(t, l, "n0") })
	load.stop()
	p.Stop()
	if last := stop(); last < 10 {
		t.Errorf("%d versions", last)
	}
}

// Versions arrive during an upgrade: both processes follow, no request is lost, and the
// successor ends up with the newest version, which it stores in the folder.
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
		t.Error("the second process starts without a version")
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
	// The second process owns the folder now, which has the newest version after its end.
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

// A shutdown notice ends the wait for an initial version at the start.
func TestFollowShutdownNoticeDuringStart(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	asked := make(chan struct{})
	go func() {
		if c, err := silent.Accept(); err == nil {
			close(asked)
			defer c.Close()
			<-t.Context().Done()
		}
	}()
	file := writeConfig(t)
	operator := filepath.Join(t.TempDir(), "operator.toml")
	text := controlText("north", "", 60_000, testfleet.ControlTarget{Address: silent.Addr().String(), Region: "north"})
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
		t.Error("the process does not end")
	}
}

// Without [control] no version is followed, and show-version says so.
func TestFollowOff(t *testing.T) {
	p := startFollower(t, "")
	if got := adminCommand(t, p.AdminAddress, "show-version"); !strings.HasPrefix(got, "error no [control]") {
		t.Errorf("%q", got)
	}
	if got := adminCommand(t, p.AdminAddress, "show-stat"); strings.Contains(got, "control.") {
		t.Errorf("%s", got)
	}
	p.Stop()
}
