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

// First returns what the publisher says is newest, follows on from there, and
// says so only once the server runs by it.
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
	doc, origin := f.InitialVersion(context.Background())
	if doc == nil || doc.Digest() != docs[3].Digest() || origin != SourcePublisher {
		t.Fatalf("%v, %v", doc, origin)
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

// Where nobody answers a start ends its wait, and says what it starts by.
func TestInitialVersionWithoutPublisher(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // it takes connections and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	docs, _ := makeVersions(t, 2)
	set := Settings{Name: "server-1", Region: "north", InitialWait: 200 * time.Millisecond, Folder: t.TempDir(),
		Publishers: []Endpoint{{l.Addr().String(), "north"}}}
	f := newTestFollower(t, set)
	if doc, origin := f.InitialVersion(context.Background()); doc != nil || origin != SourceNone {
		t.Errorf("%v, %v", doc, origin)
	}
	f.run()
	f.stop()
	k := versionStore{folder: set.Folder, log: f.log}
	k.save(0, docs[2], false, nil)
	k.close()
	f = newTestFollower(t, set)
	began := time.Now()
	doc, origin := f.InitialVersion(context.Background())
	if doc == nil || doc.Digest() != docs[2].Digest() || origin != SourceFolder {
		t.Errorf("%v, %v", doc, origin)
	}
	if took := time.Since(began); took < set.InitialWait {
		t.Errorf("it waited %v", took)
	}
	if st := f.State(); st.Number != 2 || st.Source != SourceFolder || st.Publisher != "" {
		t.Errorf("%+v", st)
	}
	f.run()
}

// What was kept and is still in force ends the wait of a start, as does the
// originator's word that there is nothing.
func TestInitialVersionConfirmed(t *testing.T) {
	docs, _ := makeVersions(t, 2)
	for name, kept := range map[string]*document.Document{"kept": docs[2], "nothing": nil} {
		t.Run(name, func(t *testing.T) {
			p := newFakePublisher(t)
			set := settings(p)
			set.Folder = t.TempDir()
			if kept != nil {
				k := newTestStore(set.Folder)
				k.save(0, kept, false, nil)
				k.close()
			}
			f := newTestFollower(t, set)
			go func() {
				s := <-p.streams
				s.heartbeat(kept, 0)
			}()
			doc, origin := f.InitialVersion(context.Background())
			if kept == nil && (doc != nil || origin != SourceNone) || kept != nil && (doc.Digest() != kept.Digest() || origin != SourcePublisher) {
				t.Errorf("%v, %v", doc, origin)
			}
			f.run()
		})
	}
}

// A document that the server cannot start by leaves the one kept, else the file;
// the publisher is told, and the next version comes whole.
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
		t.Fatal("not the publisher's")
	}
	if doc, origin := f.Reject(errUnusable); doc == nil || doc.Digest() != docs[1].Digest() || origin != SourceFolder {
		t.Fatalf("%v, %v", doc, origin)
	}
	if doc, origin := f.Reject(errUnusable); doc != nil || origin != SourceNone {
		t.Fatalf("%v, %v", doc, origin)
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

// A publisher that ends the stream, one that refuses, one that says nothing and
// one that takes no stream are each left for another.
func TestNextPublisher(t *testing.T) {
	docs, deltas := makeVersions(t, 3)
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mute.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone.Close()
	a, b := newFakePublisher(t), newFakePublisher(t)
	set := settings(a, b)
	set.Publishers = append(set.Publishers, Endpoint{mute.Addr().String(), "north"}, Endpoint{gone.Addr().String(), "north"})
	f := startFollower(t, set)
	next := func() (*fakePublisher, *fakeStream) {
		t.Helper()
		select {
		case s := <-a.streams:
			return a, s
		case s := <-b.streams:
			return b, s
		case <-time.After(waitTimeout):
			t.Fatal("nobody follows")
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
	// It says nothing more, and is left for the first.
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

// A publisher that has lost the originator is kept while another is asked, and
// left for it where that hears the originator; where all say the same it stays.
func TestOriginatorLost(t *testing.T) {
	docs, _ := makeVersions(t, 1)
	const lost = 10 * time.Second
	a, b := newFakePublisher(t), newFakePublisher(t)
	set := settings(a, b)
	ranked := rankPublishers(&set, a, b)
	f := startFollower(t, set)
	s := ranked[0].nextStream()
	s.snapshot(docs[1])
	wantAck(t, s.ack(), docs[1])
	stop := s.heartbeats(docs[1], lost)
	asked := ranked[1].nextStream()
	asked.heartbeat(docs[1], lost)
	asked.waitClosed()
	select {
	case <-s.closed:
		t.Fatal("the first was left though all say the same")
	default:
	}
	if f.State().OriginatorSilence < lost {
		t.Errorf("%+v", f.State())
	}
	stop()
	// The first hears the originator and loses it again: the other is asked again.
	s.heartbeat(docs[1], 0)
	s.heartbeats(docs[1], lost)
	asked = ranked[1].nextStream()
	asked.heartbeat(docs[1], 0)
	s.waitClosed()
	asked.heartbeats(docs[1], 0)
	eventually(t, "the other is followed", func() bool {
		return f.State().Publisher == ranked[1].address && f.State().OriginatorSilence < protocol.OriginatorTimeout
	})
}

// The preferred publisher is returned to once it is back, without a gap.
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
		t.Error("the second was left before the first had spoken")
	default:
	}
	back.heartbeat(docs[1], 0)
	s.waitClosed()
	back.delta(deltas[2])
	wantAck(t, back.ack(), docs[2])
}

// A publisher that reads nothing holds up nobody here, and what waits for it is bounded.
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
		t.Errorf("%d words, the newest %d", n, newest)
	}
}

// Nothing is left of a follower that has ended, wherever it stood: no goroutine and no connection.
func TestNoLeaks(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	docs, _ := makeVersions(t, 1)
	mute := Settings{Name: "server-1", Region: "north", Publishers: []Endpoint{{l.Addr().String(), "north"}}, InitialWait: 50 * time.Millisecond}
	round := func() {
		for range 5 {
			f := newTestFollower(t, mute)
			ctx, cancel := context.WithCancel(context.Background())
			f.InitialVersion(ctx)
			cancel() // a start that was broken off
			f = newTestFollower(t, mute)
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

// Faulty settings are named, all at once.
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

// A stream ends though its publisher takes nothing of what is written to it: the
// connection is full, and a write waits in it.
func TestEndWhileBlocked(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	taken := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			taken <- c // it is never read
		}
	}()
	count, began := &traffic{}, time.Now()
	s := openStream(0, l.Addr().String(), &protocol.Hello{Name: "server-1"}, count, func() time.Duration { return time.Since(began) }, responseTimeout)
	defer (<-taken).Close()
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
