package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"kiteslip/internal/control/document"
	"kiteslip/internal/faultnet"
	"kiteslip/internal/testfleet"
)

// A stream that ends within a delta or a snapshot leaves the version before in force;
// once the link heals the new one is applied. Guards against a version in part.
func TestFollowTruncatedDelta(t *testing.T) {
	origin := startControl(t, "c1", "north", 16)
	l := newVersionPublisher(t, origin)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	link := newLink(t, origin.Address)
	p := startFollower(t, controlText("north", "", 20_000, testfleet.ControlTarget{Address: link.Address, Region: "north"}))
	load := startTraffic(t, p.CallerAddress, "sum", "teal")
	stop := l.watch(p.AdminAddress)
	team := 0
	large := func(teams int) {
		var changes []document.Change
		for range teams {
			changes = append(changes, teamChange(fmt.Sprintf("team-%x-%d", team*2654435761%4294967291, team), float64(1+team%97)))
			team++
		}
		l.publish(changes...)
	}
	for _, after := range []int{1, 300, 4_000, 8_000} {
		before := versionNumber(t, p.AdminAddress)
		carried := link.Forwarded(faultnet.FromTarget)
		link.CloseAfter(after)
		large(1000)
		testfleet.Eventually(t, "the stream ends", func() bool { return showVersion(t, p.AdminAddress)["publisher"] == "-" })
		if n := versionNumber(t, p.AdminAddress); n != before {
			t.Errorf("version %d of a stream that ended after %d bytes", n, after)
		}
		if got := link.Forwarded(faultnet.FromTarget) - carried; got > after {
			t.Errorf("%d bytes were carried, more than %d: the delta was not truncated", got, after)
		}
		if err := link.Restore(); err != nil {
			t.Fatal(err)
		}
		awaitVersion(t, fmt.Sprintf("cut after %d bytes", after), p.AdminAddress, l.last, healTimeout)
	}
	// The same with a snapshot, for a server that the log does not reach back to.
	link.CloseAfter(0)
	link.Disconnect()
	for range 18 {
		large(200)
	}
	before, carried := versionNumber(t, p.AdminAddress), link.Forwarded(faultnet.FromTarget)+link.Forwarded(faultnet.ToTarget)
	const after = 5_000
	link.CloseAfter(after)
	testfleet.Eventually(t, "the snapshot is truncated", func() bool {
		return link.Forwarded(faultnet.FromTarget)+link.Forwarded(faultnet.ToTarget) >= carried+after
	})
	if n := versionNumber(t, p.AdminAddress); n != before {
		t.Errorf("version %d of a stream that ended within the snapshot", n)
	}
	if err := link.Restore(); err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, "whole", p.AdminAddress, l.last, healTimeout)
	if before >= l.last {
		t.Errorf("version %d was received through the cut", before)
	}
	if m := showVersion(t, p.AdminAddress); m["snapshots"] != "2" || m["digest"] != l.digests[l.last] {
		t.Errorf("%v", m)
	}
	load.awaitServed(20)
	load.stop()
	stop()
	p.Stop()
}

// Two originators have each made a version with the same number: the server keeps its
// version, reports the fork to the control machine and in show-version, and goes on
// serving. A start with an empty folder ends the fork.
func TestFollowFork(t *testing.T) {
	first := startControl(t, "c1", "north", 0)
	l := newVersionPublisher(t, first)
	l.publish(teamChange("teal", 50), serviceChange("sum"))
	last := l.publishMore(2)
	folder := filepath.Join(t.TempDir(), "versions")
	p := startFollower(t, controlText("north", folder, 20_000, testfleet.ControlTarget{Address: first.Address, Region: "north"}))
	load := startTraffic(t, p.CallerAddress, "sum", "teal")
	first.Kill()
	second := testfleet.StartControl(t, testfleet.ControlSpec{Path: first.Spec.Path, Env: first.Spec.Env, Name: "c9", Region: "north", Listen: first.Address})
	other := newVersionPublisher(t, second)
	other.publish(teamChange("teal", 51), serviceChange("sum"))
	other.publishMore(2)
	testfleet.Eventually(t, "the fork is seen", func() bool { return showVersion(t, p.AdminAddress)["fork"] == "true" })
	other.publishMore(2)
	testfleet.Eventually(t, "the control machine lists the fork", func() bool {
		lines, err := other.client.Followers(t.Context(), true)
		return err == nil && len(lines) == 1 && lines[0].Fork && lines[0].Number == last
	})
	load.awaitServed(50)
	load.stop()
	if m := showVersion(t, p.AdminAddress); m["version"] != fmt.Sprint(last) || m["digest"] != l.digests[last] || m["digest"] == other.digests[last] {
		t.Errorf("%v", m)
	}
	if !second.Logged("fork") {
		t.Error("the control machine does not log the fork")
	}
	p.Stop()
	if m := initialState(t, folder, first.Address); !strings.HasPrefix(m["digest"], other.digests[other.last]) {
		t.Errorf("after a start with an empty folder: %v", m)
	}
}

// initialState returns the version that a server with an empty folder starts with.
func initialState(t *testing.T, folder, address string) map[string]string {
	t.Helper()
	p := startFollower(t, controlText("north", filepath.Join(folder, "empty"), 20_000, testfleet.ControlTarget{Address: address, Region: "north"}))
	defer p.Stop()
	return showVersion(t, p.AdminAddress)
}
