package publish

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
	"kiteslip/internal/faultnet"
)

// reached returns a condition: that version, or a later one, is in force.
func (m *machine) reached(number uint64) func() bool {
	return func() bool { return m.Document().Header().Number >= number }
}

// TestRelays: relays follow the originator, keep its log on disk, go on serving
// without it, and report how long it has been silent. Nothing can be published at a
// relay. A relay's folder can serve a new originator.
func TestRelays(t *testing.T) {
	a := serve(t, Settings{Name: "c0"})
	a.versionsUpTo(t, 3)
	folder := t.TempDir()
	set := relayOf("c1", a.Address)
	set.Folder = folder
	b := serve(t, set)
	eventually(t, "the relay has version 3", b.reached(3))
	server := connectFollower(t, b.Address, protocol.Hello{Name: "s0", Region: "south"})
	doc, _, _ := server.applyUpTo(document.Empty(), 3)
	a.versionsUpTo(t, 8)
	if doc, _, _ = server.applyUpTo(doc, 8); doc.Digest() != a.Document().Digest() {
		t.Errorf("from the relay: %v, want %v", doc.Digest(), a.Document().Digest())
	}
	if _, err := b.Publish([]document.Change{team("x", 1)}, testMeta, document.Digest{}); !errors.Is(err, ErrNotOriginator) {
		t.Errorf("%v", err)
	}
	if _, err := b.PublishChanges(testContext(t), []document.Change{team("x", 1)}, testMeta, document.Digest{}); !errors.Is(err, ErrNotOriginator) || !strings.Contains(err.Error(), a.Address) {
		t.Errorf("%v does not name %s", err, a.Address)
	}
	if lines, err := a.Followers(testContext(t), false); err != nil || len(lines) != 1 || lines[0].Name != "c1" || !lines[0].Publisher || lines[0].Number != 8 {
		t.Errorf("%+v, %v", lines, err)
	}
	a.shutDown()
	late := connectFollower(t, b.Address, protocol.Hello{Name: "s1"})
	for number := uint64(0); ; {
		m, err := late.next()
		if err != nil {
			t.Fatal(err)
		}
		if m.Snapshot != nil {
			number = 8
		}
		if number == 8 && m.Heartbeat != nil && m.Heartbeat.OriginatorSilenceMS >= protocol.OriginatorTimeout.Milliseconds() {
			break
		}
	}
	b.shutDown()
	c := serve(t, Settings{Name: "c1", Listen: b.set.Listen, Folder: folder}) // as the originator, from the relay's folder
	if c.Document().Digest() != doc.Digest() {
		t.Errorf("from the relay's folder: version %d", c.Document().Header().Number)
	}
	again := connectFollower(t, c.Address, protocol.Hello{Name: "s0", Number: 8, Digest: doc.Digest()})
	c.versionsUpTo(t, 9)
	if _, snapshots, steps := again.applyUpTo(doc, 9); snapshots != 0 || steps != 1 {
		t.Errorf("%d snapshots, %d deltas", snapshots, steps)
	}
}

// TestRelayStartsFromItsFolder: a relay starts from its folder, and asks only for
// the versions that it lacks.
func TestRelayStartsFromItsFolder(t *testing.T) {
	a := serve(t, Settings{Name: "c0", MaxDeltas: 16})
	a.versionsUpTo(t, 3)
	set := relayOf("c1", a.Address)
	set.Folder = t.TempDir()
	for _, c := range []struct {
		number    uint64
		snapshots int
	}{{3, 1}, {3, 0}, {10, 0}, {40, 1}, {41, 0}} {
		a.versionsUpTo(t, c.number)
		b := serve(t, set)
		eventually(t, "the relay has caught up", b.reached(c.number))
		eventually(t, "its follower has caught up", func() bool { return b.relay.State().Number == c.number })
		if got := b.relay.State().Snapshots; got != c.snapshots {
			t.Errorf("version %d: %d snapshots, want %d", c.number, got, c.snapshots)
		}
		if got := b.versions.oldest(); c.number == 41 && got != 40 {
			t.Errorf("after a snapshot its log reaches back to %d, want 40", got)
		}
		b.shutDown()
	}
}

// TestRelaysWithoutTheOriginator: two relays that reach each other and not the
// originator follow each other. That must make no version, nor reset the
// originator's silence that they report. When one of them reaches the originator
// again, both get what was published meanwhile.
func TestRelaysWithoutTheOriginator(t *testing.T) {
	a := serve(t, Settings{Name: "c0"})
	a.versionsUpTo(t, 2)
	var links []*faultnet.Link
	for range 2 {
		l, err := faultnet.New(a.Address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		links = append(links, l)
	}
	b1, b2 := freeAddress(t), freeAddress(t)
	set1, set2 := relayOf("c1", links[0].Address, b2), relayOf("c2", links[1].Address, b1)
	set1.Listen, set2.Listen = b1, b2
	b, c := serve(t, set1), serve(t, set2)
	eventually(t, "both have version 2", func() bool { return b.reached(2)() && c.reached(2)() })
	links[0].Refuse()
	links[1].Refuse()
	a.versionsUpTo(t, 5)
	const silence = 2 * protocol.OriginatorTimeout
	eventually(t, "both report that the originator is silent", func() bool { return b.originatorSilence() > silence && c.originatorSilence() > silence })
	if b.Document().Header().Number != 2 || c.Document().Header().Number != 2 {
		t.Error("a relay has a version that nobody published")
	}
	if err := links[1].Restore(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "both have version 5", func() bool { return b.reached(5)() && c.reached(5)() })
	if b.Document().Digest() != a.Document().Digest() || c.Document().Digest() != a.Document().Digest() {
		t.Error("version 5 is not the same on all machines")
	}
}

// TestRelayWithoutDisk: a relay whose disk fails goes on serving from memory, and
// reports the failure.
func TestRelayWithoutDisk(t *testing.T) {
	a := serve(t, Settings{Name: "c0"})
	b := serve(t, relayOf("c1", a.Address))
	a.versionsUpTo(t, 2)
	eventually(t, "the relay has version 2", b.reached(2))
	b.store.fail(errors.New("no space left on device"))
	a.versionsUpTo(t, 4)
	eventually(t, "the relay has version 4", b.reached(4))
	if _, _, steps := connectFollower(t, b.Address, protocol.Hello{Number: 2, Digest: a.documentAt(t, 2).Digest()}).applyUpTo(a.documentAt(t, 2), 4); steps != 2 {
		t.Errorf("%d deltas", steps)
	}
	v, err := b.Version(context.Background())
	if err != nil || !strings.Contains(v.DiskError, "no space left") {
		t.Errorf("%+v, %v", v, err)
	}
	if n := b.logs.FilterMessageSnippet("cannot be written").Len(); n != 1 {
		t.Errorf("logged %d times", n)
	}
	if _, err := a.Publish([]document.Change{team("a", 1)}, testMeta, document.Digest{}); err != nil {
		t.Error(fmt.Errorf("the originator: %w", err))
	}
}
