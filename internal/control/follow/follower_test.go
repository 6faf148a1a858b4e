package follow

import (
	"context"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// TestInitialVersion: InitialVersion returns the newest version of the publisher. It
// is acknowledged only once the server runs with it, and the next delta applies to
// it.
func TestInitialVersion(t *testing.T) {
	p := newFakePublisher(t)
	docs, deltas := makeVersions(t, 4)
	f := newTestFollower(t, settings(p))
	go func() {
		s := <-p.streams
		s.heartbeat(docs[3], 0)
		s.snapshot(docs[2])
		s.delta(deltas[3])
		p.streams <- s
	}()
	doc, source := f.InitialVersion(context.Background())
	if doc == nil || doc.Digest() != docs[3].Digest() || source != SourcePublisher {
		t.Fatalf("%v, %v", doc, source)
	}
	s := p.nextStream()
	select {
	case a := <-s.acks:
		t.Errorf("%+v before the server runs", a)
	default:
	}
	f.server.inForce = doc
	f.run()
	wantAck(t, s.ack(), docs[3])
	s.delta(deltas[4])
	wantAck(t, s.ack(), docs[4])
	if k := f.server.all; len(k) != 1 || k[0].delta == nil {
		t.Errorf("%+v", k)
	}
	if st := f.State(); st.Applied != 1 || st.Snapshots != 1 {
		t.Errorf("%+v", st)
	}
}

// TestInitialVersionWithoutPublisher: if no publisher answers, InitialVersion
// returns after its wait, with the stored version or none.
func TestInitialVersionWithoutPublisher(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	docs, _ := makeVersions(t, 2)
	set := Settings{Name: "server-1", Region: "north", InitialWait: 200 * time.Millisecond, Folder: t.TempDir(),
		Publishers: []Endpoint{{l.Addr().String(), "north"}}}
	f := newTestFollower(t, set)
	if doc, source := f.InitialVersion(context.Background()); doc != nil || source != SourceNone {
		t.Errorf("%v, %v", doc, source)
	}
	f.run()
	f.stop()
	store := versionStore{folder: set.Folder, log: f.log}
	store.save(0, docs[2], false, nil)
	store.close()
	f = newTestFollower(t, set)
	began := time.Now()
	doc, source := f.InitialVersion(context.Background())
	if doc == nil || doc.Digest() != docs[2].Digest() || source != SourceFolder {
		t.Errorf("%v, %v", doc, source)
	}
	if took := time.Since(began); took < set.InitialWait {
		t.Errorf("it waited %v", took)
	}
	if st := f.State(); st.Number != 2 || st.Source != SourceFolder || st.Publisher != "" {
		t.Errorf("%+v", st)
	}
	f.run()
}

// TestInitialVersionConfirmed: a heartbeat that confirms the stored version ends the
// wait at the start, as does the originator's report that no version exists.
func TestInitialVersionConfirmed(t *testing.T) {
	docs, _ := makeVersions(t, 2)
	for name, stored := range map[string]*document.Document{"stored": docs[2], "nothing": nil} {
		t.Run(name, func(t *testing.T) {
			p := newFakePublisher(t)
			set := settings(p)
			set.Folder = t.TempDir()
			if stored != nil {
				k := newTestStore(set.Folder)
				k.save(0, stored, false, nil)
				k.close()
			}
			f := newTestFollower(t, set)
			go func() {
				s := <-p.streams
				s.heartbeat(stored, 0)
			}()
			doc, source := f.InitialVersion(context.Background())
			if stored == nil && (doc != nil || source != SourceNone) || stored != nil && (doc.Digest() != stored.Digest() || source != SourcePublisher) {
				t.Errorf("%v, %v", doc, source)
			}
			f.run()
		})
	}
}

// TestReject: if the server cannot start with a document, the next one is the stored
// version, then the server's own file. The publisher is told, and the next version
// is applied as a whole.
func TestReject(t *testing.T) {
	p := newFakePublisher(t)
	docs, deltas := makeVersions(t, 4)
	set := settings(p)
	set.Folder = t.TempDir()
	k := newTestStore(set.Folder)
	k.save(0, docs[1], false, nil)
	k.close()
	f := newTestFollower(t, set)
	go func() {
		s := <-p.streams
		s.heartbeat(docs[3], 0)
		s.delta(deltas[2])
		s.delta(deltas[3])
		p.streams <- s
	}()
	if doc, _ := f.InitialVersion(context.Background()); doc.Digest() != docs[3].Digest() {
		t.Fatal("not the publisher's version")
	}
	if doc, source := f.Reject(errUnusable); doc == nil || doc.Digest() != docs[1].Digest() || source != SourceFolder {
		t.Fatalf("%v, %v", doc, source)
	}
	if doc, source := f.Reject(errUnusable); doc != nil || source != SourceNone {
		t.Fatalf("%v, %v", doc, source)
	}
	f.run()
	s := p.nextStream()
	if a := s.ack(); a.Number != 0 || a.RefusalReason != errUnusable.Error() {
		t.Errorf("%+v", a)
	}
	s.delta(deltas[4])
	wantAck(t, s.ack(), docs[4])
	if k := f.server.all; len(k) != 1 || k[0].delta != nil {
		t.Errorf("%+v", k)
	}
}

// TestNextPublisher: the follower switches to another publisher when one ends the
// stream, refuses it, sends nothing, or does not accept connections.
func TestNextPublisher(t *testing.T) {
	docs, deltas := makeVersions(t, 3)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	a, b := newFakePublisher(t), newFakePublisher(t)
	set := settings(a, b)
	set.Publishers = append(set.Publishers, Endpoint{unresponsive.Addr().String(), "north"}, Endpoint{refusing.Addr().String(), "north"})
	f := startFollower(t, set)
	next := func() (*fakePublisher, *fakeStream) {
		t.Helper()
		select {
		case s := <-a.streams:
			return a, s
		case s := <-b.streams:
			return b, s
		case <-time.After(waitTimeout):
			t.Fatal("no follower connects")
			return nil, nil
		}
	}
	first, s := next()
	s.snapshot(docs[1])
	wantAck(t, s.ack(), docs[1])
	s.end()
	second, s := next()
	if second == first {
		t.Error("the same publisher again")
	}
	s.delta(deltas[2])
	wantAck(t, s.ack(), docs[2])
	// The second publisher sends nothing more, and times out.
	third, s := next()
	if third != first || s.hello.Number != 2 {
		t.Errorf("%+v", s.hello)
	}
	s.delta(deltas[3])
	wantAck(t, s.ack(), docs[3])
	if f.State().Switches != 3 {
		t.Errorf("%+v", f.State())
	}
}

// TestOriginatorLost: a publisher that has lost the originator is kept while another
// one is probed. The follower switches if that one hears the originator, and stays
// if all have lost it.
func TestOriginatorLost(t *testing.T) {
	docs, _ := makeVersions(t, 1)
	const silence = 10 * time.Second
	a, b := newFakePublisher(t), newFakePublisher(t)
	set := settings(a, b)
	ranked := rankPublishers(&set, a, b)
	f := startFollower(t, set)
	s := ranked[0].nextStream()
	s.snapshot(docs[1])
	wantAck(t, s.ack(), docs[1])
	stop := s.heartbeats(docs[1], silence)
	probed := ranked[1].nextStream()
	probed.heartbeat(docs[1], silence)
	probed.waitClosed()
	select {
	case <-s.closed:
		t.Fatal("the first publisher was dropped though both have lost the originator")
	default:
	}
	if f.State().OriginatorSilence < silence {
		t.Errorf("%+v", f.State())
	}
	stop()
	// The first publisher hears the originator and loses it again: the other is
	// probed again.
	s.heartbeat(docs[1], 0)
	s.heartbeats(docs[1], silence)
	probed = ranked[1].nextStream()
	probed.heartbeat(docs[1], 0)
	s.waitClosed()
	probed.heartbeats(docs[1], 0)
	eventually(t, "the other is followed", func() bool {
		return f.State().Publisher == ranked[1].address && f.State().OriginatorSilence < protocol.OriginatorTimeout
	})
}

// TestReturnToPreferredPublisher: the follower returns to the preferred publisher
// once that is available again, without a gap.
func TestReturnToPreferredPublisher(t *testing.T) {
	docs, deltas := makeVersions(t, 2)
	a, b := newFakePublisher(t), newFakePublisher(t)
	set := settings(a, b)
	ranked := rankPublishers(&set, a, b)
	f := newTestFollower(t, set)
	f.selector.adjustPause = func(time.Duration) time.Duration { return 0 }
	f.run()
	s := ranked[0].nextStream()
	s.snapshot(docs[1])
	wantAck(t, s.ack(), docs[1])
	s.end()
	s = ranked[1].nextStream()
	s.heartbeat(docs[1], 0)
	back := ranked[0].nextStream()
	select {
	case <-s.closed:
		t.Error("the second publisher was dropped before the first had sent a message")
	default:
	}
	back.heartbeat(docs[1], 0)
	s.waitClosed()
	back.delta(deltas[2])
	wantAck(t, back.ack(), docs[2])
}

// TestOutgoingMessagesBounded: a publisher that does not read does not block the
// follower, and the messages queued for it are bounded.
func TestOutgoingMessagesBounded(t *testing.T) {
	w := &messageQueue{}
	w.notEmpty.L = &w.mu
	w.send(&protocol.FollowerMessage{Hello: &protocol.Hello{Name: "first"}})
	for i := range 10 * maxQueuedMessages {
		w.send(&protocol.FollowerMessage{Ack: &protocol.Ack{Number: uint64(i)}})
	}
	w.finish()
	r := protocol.NewReader(w)
	var m protocol.FollowerMessage
	if err := r.Read(&m); err != nil || m.Hello == nil {
		t.Fatalf("%+v, %v", m, err)
	}
	n, newest := 0, uint64(0)
	for {
		m = protocol.FollowerMessage{}
		if r.Read(&m) != nil {
			break
		}
		n, newest = n+1, m.Ack.Number
	}
	if n != maxQueuedMessages-1 || newest != 10*maxQueuedMessages-1 {
		t.Errorf("%d messages, the newest %d", n, newest)
	}
}

// TestNoLeaks: a follower that has ended, in whatever state, leaves no goroutine and
// no connection behind.
func TestNoLeaks(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	docs, _ := makeVersions(t, 1)
	unresponsive := Settings{Name: "server-1", Region: "north", Publishers: []Endpoint{{l.Addr().String(), "north"}}, InitialWait: 50 * time.Millisecond}
	round := func() {
		for range 5 {
			f := newTestFollower(t, unresponsive)
			ctx, cancel := context.WithCancel(context.Background())
			f.InitialVersion(ctx)
			cancel() // an aborted start
			f = newTestFollower(t, unresponsive)
			f.InitialVersion(context.Background())
			f.run()
			f.stop()
			p := newFakePublisher(t)
			f = startFollower(t, settings(p))
			s := p.nextStream()
			s.snapshot(docs[1])
			s.ack()
			f.stop()
			s.waitClosed()
			p.close()
		}
	}
	round()
	before := runtime.NumGoroutine()
	round()
	eventually(t, "no goroutine is left", func() bool { return runtime.NumGoroutine() <= before })
}

// TestSettings: an error names all invalid settings.
func TestSettings(t *testing.T) {
	_, err := New(Settings{Region: strings.Repeat("r", 200), InitialWait: -1, Publishers: []Endpoint{{"a:1", ""}, {"nowhere", ""}, {"a:1", ""}}})
	for _, want := range []string{"Name", "Region", "InitialWait", "Publishers[1]", "Publishers[2]"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no %s in: %v", want, err)
		}
	}
	if _, err := New(Settings{Name: "a"}); err == nil || !strings.Contains(err.Error(), "Publishers") {
		t.Errorf("%v", err)
	}
}

// TestEndWhileBlocked: a stream can be ended although its publisher does not read:
// the connection's buffers are full, and a write blocks.
func TestEndWhileBlocked(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted <- c // never read
		}
	}()
	count, began := &traffic{}, time.Now()
	s := openStream(0, l.Addr().String(), &protocol.Hello{Name: "server-1"}, count, func() time.Duration { return time.Since(began) }, responseTimeout)
	defer (<-accepted).Close()
	eventually(t, "the preface is written", func() bool { return count.sent.Load() > 0 })
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	full := make(chan struct{})
	go func() {
		defer close(full)
		for {
			if _, err := conn.Write(make([]byte, 1<<20)); err != nil {
				return
			}
		}
	}()
	s.end(nil)
	<-full
}
