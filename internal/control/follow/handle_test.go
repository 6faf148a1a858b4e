package follow

import (
	"context"
	"testing"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// wantAck checks that a acknowledges doc as the version in force.
func wantAck(t *testing.T, a protocol.Ack, doc *document.Document) {
	t.Helper()
	if a.Number != doc.Header().Number || a.Digest != doc.Digest() || a.RefusalReason != "" || a.Fork {
		t.Errorf("ack %+v, want version %d", a, doc.Header().Number)
	}
}

// TestDeltas: versions arrive as deltas, the first one on no version; each is
// acknowledged, and the last acknowledgement says that the server is shutting down.
func TestDeltas(t *testing.T) {
	p := newFakePublisher(t)
	docs, deltas := makeVersions(t, 4)
	f := startFollower(t, settings(p))
	s := p.nextStream()
	if h := s.hello; h.Name != "server-1" || h.Region != "north" || h.Number != 0 || h.Digest != (document.Digest{}) || h.Publisher {
		t.Errorf("%+v", h)
	}
	s.heartbeat(docs[4], 0)
	for i := 1; i <= 4; i++ {
		s.delta(deltas[i])
		wantAck(t, s.ack(), docs[i])
	}
	for i, k := range f.server.all {
		if (k.delta == nil) != (i == 0) || k.doc.Digest() != docs[i+1].Digest() {
			t.Errorf("%d: %+v", i, k)
		}
	}
	s.heartbeat(docs[4], 100*time.Millisecond)
	eventually(t, "the state", func() bool {
		st := f.State()
		return st.Number == 4 && st.Digest == docs[4].Digest() && st.Source == SourcePublisher && st.Publisher == p.address && st.Lag == 0 &&
			st.Applied == 4 && st.Switches == 1 && st.SentBytes > 0 && st.ReceivedBytes > 0 && st.RefusalReason == "" && st.OriginatorSilence < waitTimeout
	})
	f.stop()
	if a := s.ack(); !a.Leaving || a.Number != 4 {
		t.Errorf("the last acknowledgement is %+v", a)
	}
	s.waitClosed()
	if st := f.State(); st.Publisher != "" || st.Number != 4 {
		t.Errorf("%+v", st)
	}
}

// TestSnapshot: a snapshot is applied as a whole, deltas follow on it, and an older
// snapshot is ignored.
func TestSnapshot(t *testing.T) {
	p := newFakePublisher(t)
	docs, deltas := makeVersions(t, 4)
	f := startFollower(t, settings(p))
	s := p.nextStream()
	s.snapshot(docs[3])
	wantAck(t, s.ack(), docs[3])
	s.snapshot(docs[2])
	s.snapshot(docs[3])
	s.delta(deltas[2])
	s.delta(deltas[4])
	wantAck(t, s.ack(), docs[4])
	if n := len(f.server.all); n != 2 || f.State().Snapshots != 1 {
		t.Errorf("%d versions, %+v", n, f.State())
	}
}

// TestRefused: a version that the server refuses is acknowledged as refused once,
// and the previous one stays in force. The next one is applied as a whole, also on a
// new stream, on which the refused one is sent again.
func TestRefused(t *testing.T) {
	p := newFakePublisher(t)
	docs, deltas := makeVersions(t, 6)
	f := startFollower(t, settings(p))
	f.server.mu.Lock()
	f.server.refuse[2], f.server.refuse[3], f.server.refuse[5] = errUnusable, errUnusable, errUnusable
	f.server.mu.Unlock()
	s := p.nextStream()
	s.delta(deltas[1])
	wantAck(t, s.ack(), docs[1])
	for i := 2; i <= 3; i++ {
		s.delta(deltas[i])
		if a := s.ack(); a.Number != 1 || a.Digest != docs[1].Digest() || a.RefusalReason != errUnusable.Error() {
			t.Errorf("%+v", a)
		}
	}
	if st := f.State(); st.Number != 1 || st.RefusalReason != errUnusable.Error() || st.Lag == 0 {
		t.Errorf("%+v", st)
	}
	s.heartbeat(docs[3], 0)
	s.delta(deltas[4])
	wantAck(t, s.ack(), docs[4])
	if st := f.State(); st.RefusalReason != "" || st.Lag != 0 {
		t.Errorf("%+v", st)
	}
	s.delta(deltas[5])
	if a := s.ack(); a.Number != 4 || a.RefusalReason == "" {
		t.Errorf("%+v", a)
	}
	s.end()
	s = p.nextStream()
	if s.hello.Number != 4 {
		t.Errorf("%+v", s.hello)
	}
	s.delta(deltas[5])
	if a := s.ack(); a.Number != 4 || a.RefusalReason == "" {
		t.Errorf("%+v", a)
	}
	s.snapshot(docs[5])
	s.delta(deltas[6])
	wantAck(t, s.ack(), docs[6])
	whole := []bool{true, false, true, true, false, true}
	for i, k := range f.server.all {
		if k.doc.Header().Number != uint64(i+1) || (k.delta == nil) != whole[i] {
			t.Errorf("%d: version %d, delta %v", i, k.doc.Header().Number, k.delta != nil)
		}
	}
	if n := len(f.server.all); n != len(whole) {
		t.Errorf("%d versions were applied or refused", n)
	}
}

// TestFork: another version with the number of ours is never applied, whether it is
// announced by heartbeats or sent as a delta or snapshot. The fork is logged and
// acknowledged, and the versions that follow ours are still applied.
func TestFork(t *testing.T) {
	docs, deltas := makeVersions(t, 3)
	other, otherDelta := step(t, docs[1], "elsewhere", 9)
	after, afterDelta := step(t, other, "elsewhere", 10)
	for name, send := range map[string]func(s *fakeStream){
		"heartbeat": func(s *fakeStream) { s.heartbeat(other, 0) },
		"delta":     func(s *fakeStream) { s.delta(otherDelta) },
		"snapshot":  func(s *fakeStream) { s.snapshot(other) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newFakePublisher(t)
			f := startFollower(t, settings(p))
			s := p.nextStream()
			s.snapshot(docs[1])
			s.delta(deltas[2])
			s.ack()
			wantAck(t, s.ack(), docs[2])
			for range 3 {
				send(s)
			}
			if a := s.ack(); !a.Fork || a.Number != 2 || a.Digest != docs[2].Digest() {
				t.Errorf("%+v", a)
			}
			if st := f.State(); !st.Fork || st.Number != 2 || st.Publisher == "" {
				t.Errorf("%+v", st)
			}
			s.delta(deltas[3])
			wantAck(t, s.ack(), docs[3])
			if f.State().Fork || f.logCount("FORK") != 1 || len(f.server.all) != 3 {
				t.Errorf("%+v, logged %d times, %d versions", f.State(), f.logCount("FORK"), len(f.server.all))
			}
		})
	}
	// The other branch continues: its delta has another parent, so the follower asks
	// for the missing versions, and the publisher detects the fork.
	t.Run("the other branch", func(t *testing.T) {
		p := newFakePublisher(t)
		f := startFollower(t, settings(p))
		s := p.nextStream()
		s.snapshot(docs[2])
		s.ack()
		s.delta(afterDelta)
		s.waitClosed()
		s = p.nextStream()
		if s.hello.Number != 2 || s.hello.Digest != docs[2].Digest() {
			t.Errorf("%+v", s.hello)
		}
		for range 3 { // as a publisher does that sees a fork
			s.heartbeat(after, 0)
		}
		if a := s.ack(); !a.Fork || a.Number != 2 {
			t.Errorf("%+v", a)
		}
		if n := len(f.server.all); n != 1 || !f.State().Fork || f.State().Lag == 0 {
			t.Errorf("%d versions, %+v", n, f.State())
		}
	})
}

// TestWrongDigest: invalid messages, such as one with a wrong digest, are refused
// and logged, and the follower switches to another publisher.
func TestWrongDigest(t *testing.T) {
	docs, deltas := makeVersions(t, 3)
	bad := *deltas[3]
	bad.Header.Content[0]++
	forged := encode(t, &bad) // its header is valid in itself and names another content
	broken := encode(t, deltas[3])
	broken[len(broken)-1] ^= 1
	whole, err := docs[3].Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	whole[len(whole)-1] ^= 1
	for name, record := range map[string]protocol.PublisherMessage{
		"of the content": {Delta: forged}, "of a delta": {Delta: broken}, "of a snapshot": {Snapshot: whole},
		"two parts": {Delta: encode(t, deltas[3]), Heartbeat: &protocol.Heartbeat{}}, "no part": {},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newFakePublisher(t), newFakePublisher(t)
			set := settings(a, b)
			ranked := rankPublishers(&set, a, b)
			f := startFollower(t, set)
			s := ranked[0].nextStream()
			s.snapshot(docs[2])
			wantAck(t, s.ack(), docs[2])
			s.send(record)
			if a := s.ack(); a.Number != 2 || a.RefusalReason == "" {
				t.Errorf("%+v", a)
			}
			s.waitClosed()
			s = ranked[1].nextStream()
			if s.hello.Number != 2 {
				t.Errorf("%+v", s.hello)
			}
			if f.logCount("invalid message from the publisher is refused") != 1 || f.State().RefusalReason == "" {
				t.Errorf("%+v", f.State())
			}
			s.delta(deltas[3])
			wantAck(t, s.ack(), docs[3])
			if st := f.State(); st.RefusalReason != "" || st.Switches != 2 {
				t.Errorf("%+v", st)
			}
			ranked[0].expectNoStream()
		})
	}
}

// TestGap: after a delta with another parent the follower asks the publisher for the
// missing versions at once; if that happens again, it asks another publisher.
func TestGap(t *testing.T) {
	docs, deltas := makeVersions(t, 5)
	a, b := newFakePublisher(t), newFakePublisher(t)
	set := settings(a, b)
	ranked := rankPublishers(&set, a, b)
	f := startFollower(t, set)
	s := ranked[0].nextStream()
	s.snapshot(docs[1])
	wantAck(t, s.ack(), docs[1])
	s.delta(deltas[3])
	s.waitClosed()
	s = ranked[0].nextStream()
	if s.hello.Number != 1 || s.hello.Digest != docs[1].Digest() {
		t.Errorf("%+v", s.hello)
	}
	s.delta(deltas[2])
	wantAck(t, s.ack(), docs[2])
	s.delta(deltas[4])
	s.waitClosed()
	s = ranked[0].nextStream()
	s.delta(deltas[5])
	s.waitClosed()
	s = ranked[1].nextStream()
	s.snapshot(docs[4])
	wantAck(t, s.ack(), docs[4])
	if len(f.server.all) != 3 {
		t.Errorf("%d versions", len(f.server.all))
	}
}

// TestSlowServer: a server that takes longer to apply a version than the publisher's
// timeout does not take the publisher for timed out, and loses no version.
func TestSlowServer(t *testing.T) {
	docs, deltas := makeVersions(t, 300)
	p := newFakePublisher(t)
	f := newTestFollower(t, settings(p))
	hold := make(chan struct{})
	apply := f.server.apply
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.Run(ctx, func(ctx context.Context, doc *document.Document, d *document.Delta) error {
			<-hold
			return apply(ctx, doc, d)
		})
	}()
	defer func() { cancel(); <-ended }()
	s := p.nextStream()
	for i := 1; i <= 300; i++ {
		s.delta(deltas[i])
	}
	time.Sleep(protocol.PublisherTimeout + 200*time.Millisecond) // longer than the publisher's timeout
	close(hold)
	for a := s.ack(); a.Number < 300; a = s.ack() {
		if a.RefusalReason != "" || a.Fork {
			t.Fatalf("%+v", a)
		}
	}
	p.expectNoStream()
	if st := f.State(); st.Number != 300 || st.Digest != docs[300].Digest() || st.Switches != 1 {
		t.Errorf("%+v", st)
	}
}

// TestAnnouncedVersionNeverArrives: a version that one publisher announces and that
// another, which hears the originator, does not know must not count as lag for ever.
func TestAnnouncedVersionNeverArrives(t *testing.T) {
	docs, _ := makeVersions(t, 5)
	a, b := newFakePublisher(t), newFakePublisher(t)
	set := settings(a, b)
	ranked := rankPublishers(&set, a, b)
	f := startFollower(t, set)
	s := ranked[0].nextStream()
	s.snapshot(docs[2])
	wantAck(t, s.ack(), docs[2])
	s.heartbeat(docs[5], 0)
	eventually(t, "it lags", func() bool { return f.State().Lag > 0 })
	s.end()
	s = ranked[1].nextStream()
	s.heartbeat(docs[2], protocol.OriginatorTimeout)
	eventually(t, "the other is followed", func() bool { return f.State().Publisher == ranked[1].address })
	s.heartbeat(docs[2], 0)
	eventually(t, "it is current", func() bool { return f.State().Lag == 0 })
}
