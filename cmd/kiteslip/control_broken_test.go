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

// A stream that ends halfway through a delta, or through a whole version, leaves
// the version before whole in force; after that it is taken over whole.
func TestFollowHalfDelta(t *testing.T) {
	origin := machine(t, "c1", "north", 16)
	l := newLine(t, origin)
	l.publish(budget("teal", 50), offered("sum"))
	link := linkTo(t, origin.Address)
	p := followerProgram(t, controlText("north", "", 20_000, testfleet.ControlTarget{Address: link.Address, Region: "north"}))
	load := ask(t, p.Clients, "sum", "teal")
	stop := l.watch(p.Ops)
	team := 0
	large := func(teams int) {
		var changes []document.Change
		for range teams {
			changes = append(changes, budget(fmt.Sprintf("team-%x-%d", team*2654435761%4294967291, team), float64(1+team%97)))
			team++
		}
		l.publish(changes...)
	}
	for _, after := range []int{1, 300, 4_000, 8_000} {
		before := number(t, p.Ops)
		carried := link.Carried(faultnet.Back)
		link.EndAfter(after)
		large(1000)
		testfleet.Eventually(t, "the stream ends", func() bool { return shown(t, p.Ops)["publisher"] == "-" })
		if n := number(t, p.Ops); n != before {
			t.Errorf("version %d of a stream that ended after %d bytes", n, after)
		}
		if got := link.Carried(faultnet.Back) - carried; got > after {
			t.Errorf("%d bytes were carried, more than the %d that show something", got, after)
		}
		if err := link.Heal(); err != nil {
			t.Fatal(err)
		}
		inForce(t, fmt.Sprintf("cut after %d bytes", after), p.Ops, l.last, healWithin)
	}
	// The same through a whole version, for a server that lacks more than the log has.
	link.EndAfter(0)
	link.Break()
	for range 18 {
		large(200)
	}
	before, carried := number(t, p.Ops), link.Carried(faultnet.Back)+link.Carried(faultnet.There)
	const after = 5_000
	link.EndAfter(after)
	testfleet.Eventually(t, "it is cut halfway", func() bool { return link.Carried(faultnet.Back)+link.Carried(faultnet.There) >= carried+after })
	if n := number(t, p.Ops); n != before {
		t.Errorf("version %d of a stream that ended halfway through the whole", n)
	}
	if err := link.Heal(); err != nil {
		t.Fatal(err)
	}
	inForce(t, "whole", p.Ops, l.last, healWithin)
	if before >= l.last {
		t.Errorf("version %d came through the cut", before)
	}
	if m := shown(t, p.Ops); m["snapshots"] != "2" || m["digest"] != l.digests[l.last] {
		t.Errorf("%v", m)
	}
	load.goesOn(20)
	load.stop()
	stop()
	p.Leave()
}

// Two machines that each made a version with one number: the server stays on its
// own, shouts, tells the machine, and serves on. A start with an empty folder
// ends it.
func TestFollowFork(t *testing.T) {
	first := machine(t, "c1", "north", 0)
	l := newLine(t, first)
	l.publish(budget("teal", 50), offered("sum"))
	last := l.more(2)
	folder := filepath.Join(t.TempDir(), "versions")
	p := followerProgram(t, controlText("north", folder, 20_000, testfleet.ControlTarget{Address: first.Address, Region: "north"}))
	load := ask(t, p.Clients, "sum", "teal")
	first.Kill()
	second := testfleet.StartControl(t, testfleet.ControlSpec{Path: first.Spec.Path, Env: first.Spec.Env, Name: "c9", Region: "north", Listen: first.Address})
	other := newLine(t, second)
	other.publish(budget("teal", 51), offered("sum"))
	other.more(2)
	testfleet.Eventually(t, "the fork is seen", func() bool { return shown(t, p.Ops)["fork"] == "true" })
	other.more(2)
	testfleet.Eventually(t, "the machine knows", func() bool {
		lines, err := other.client.Followers(t.Context(), true)
		return err == nil && len(lines) == 1 && lines[0].Fork && lines[0].Number == last
	})
	load.goesOn(50)
	load.stop()
	if m := shown(t, p.Ops); m["version"] != fmt.Sprint(last) || m["digest"] != l.digests[last] || m["digest"] == other.digests[last] {
		t.Errorf("%v", m)
	}
	if !second.Logged("fork") {
		t.Error("the machine does not shout")
	}
	p.Leave()
	if m := startedBy(t, folder, first.Address); !strings.HasPrefix(m["digest"], other.digests[other.last]) {
		t.Errorf("after a start with an empty folder: %v", m)
	}
}

// startedBy is what a server with an empty folder starts by.
func startedBy(t *testing.T, folder, address string) map[string]string {
	t.Helper()
	p := followerProgram(t, controlText("north", filepath.Join(folder, "empty"), 20_000, testfleet.ControlTarget{Address: address, Region: "north"}))
	defer p.Leave()
	return shown(t, p.Ops)
}
