package follow

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

func wantAck(t *testing.T, a protocol.Ack, doc *document.Document) {
	t.Helper()
	if a.Number != doc.Header().Number || a.Digest != doc.Digest() || a.Refused != "" || a.Fork {
		t.Errorf("ack %+v, want version %d", a, doc.Header().Number)
	}
}

// Deltas come one after the other, the first on nothing whole; each is
// acknowledged, and the last word is that the server leaves.
func TestDeltas(t *testing.T) {
	p := newFake(t)
	docs, deltas := chain(t, 4)
	f := follows(t, settings(p))
	s := p.stream()
	if h := s.hello; h.Name != "server-1" || h.Region != "north" || h.Number != 0 || h.Digest != (document.Digest{}) || h.Publisher {
		t.Errorf("%+v", h)
	}
	s.beat(docs[4], 0)
	for i := 1; i <= 4; i++ {
		s.delta(deltas[i])
		wantAck(t, s.ack(), docs[i])
	}
	for i, k := range f.server.all {
		if (k.delta == nil) != (i == 0) || k.doc.Digest() != docs[i+1].Digest() {
			t.Errorf("%d: %+v", i, k)
		}
	}
	s.beat(docs[4], 100*time.Millisecond)
	eventually(t, "the state", func() bool {
		st := f.State()
		return st.Number == 4 && st.Digest == docs[4].Digest() && st.Origin == FromPublisher && st.Publisher == p.address && st.Lag == 0 &&
			st.Applied == 4 && st.Switches == 1 && st.Sent > 0 && st.Received > 0 && st.Refused == "" && st.Unheard < patience
	})
	f.stop()
	if a := s.ack(); !a.Leaving || a.Number != 4 {
		t.Errorf("the last word is %+v", a)
	}
	s.left()
	if st := f.State(); st.Publisher != "" || st.Number != 4 {
		t.Errorf("%+v", st)
	}
}

// A snapshot is taken over whole, and deltas follow on it; an older one is passed over.
func TestSnapshot(t *testing.T) {
	p := newFake(t)
	docs, deltas := chain(t, 4)
	f := follows(t, settings(p))
	s := p.stream()
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

// First returns what the publisher says is newest, follows on from there, and
// says so only once the server runs by it.
func TestFirst(t *testing.T) {
	p := newFake(t)
	docs, deltas := chain(t, 4)
	f := newFollowing(t, settings(p))
	go func() {
		s := <-p.streams
		s.beat(docs[3], 0)
		s.snapshot(docs[2])
		s.delta(deltas[3])
		p.streams <- s
	}()
	doc, origin := f.First(context.Background())
	if doc == nil || doc.Digest() != docs[3].Digest() || origin != FromPublisher {
		t.Fatalf("%v, %v", doc, origin)
	}
	s := p.stream()
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
func TestFirstAlone(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // it takes connections and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	docs, _ := chain(t, 2)
	set := Settings{Name: "server-1", Region: "north", Wait: 200 * time.Millisecond, Folder: t.TempDir(),
		Publishers: []Publisher{{l.Addr().String(), "north"}}}
	f := newFollowing(t, set)
	if doc, origin := f.First(context.Background()); doc != nil || origin != FromNone {
		t.Errorf("%v, %v", doc, origin)
	}
	f.run()
	f.stop()
	k := keeper{folder: set.Folder, log: f.log}
	k.save(0, docs[2], false, nil)
	k.close()
	f = newFollowing(t, set)
	began := time.Now()
	doc, origin := f.First(context.Background())
	if doc == nil || doc.Digest() != docs[2].Digest() || origin != FromFolder {
		t.Errorf("%v, %v", doc, origin)
	}
	if took := time.Since(began); took < set.Wait {
		t.Errorf("it waited %v", took)
	}
	if st := f.State(); st.Number != 2 || st.Origin != FromFolder || st.Publisher != "" {
		t.Errorf("%+v", st)
	}
	f.run()
}

// What was kept and is still in force ends the wait of a start, as does the
// originator's word that there is nothing.
func TestFirstConfirmed(t *testing.T) {
	docs, _ := chain(t, 2)
	for name, kept := range map[string]*document.Document{"kept": docs[2], "nothing": nil} {
		t.Run(name, func(t *testing.T) {
			p := newFake(t)
			set := settings(p)
			set.Folder = t.TempDir()
			if kept != nil {
				k := newKeeper(set.Folder)
				k.save(0, kept, false, nil)
				k.close()
			}
			f := newFollowing(t, set)
			go func() {
				s := <-p.streams
				s.beat(kept, 0)
			}()
			doc, origin := f.First(context.Background())
			if kept == nil && (doc != nil || origin != FromNone) || kept != nil && (doc.Digest() != kept.Digest() || origin != FromPublisher) {
				t.Errorf("%v, %v", doc, origin)
			}
			f.run()
		})
	}
}

// A document that the server cannot start by leaves the one kept, else the file;
// the publisher is told, and the next version comes whole.
func TestReject(t *testing.T) {
	p := newFake(t)
	docs, deltas := chain(t, 4)
	set := settings(p)
	set.Folder = t.TempDir()
	k := newKeeper(set.Folder)
	k.save(0, docs[1], false, nil)
	k.close()
	f := newFollowing(t, set)
	go func() {
		s := <-p.streams
		s.beat(docs[3], 0)
		s.delta(deltas[2])
		s.delta(deltas[3])
		p.streams <- s
	}()
	if doc, _ := f.First(context.Background()); doc.Digest() != docs[3].Digest() {
		t.Fatal("not the publisher's")
	}
	if doc, origin := f.Reject(errNoGood); doc == nil || doc.Digest() != docs[1].Digest() || origin != FromFolder {
		t.Fatalf("%v, %v", doc, origin)
	}
	if doc, origin := f.Reject(errNoGood); doc != nil || origin != FromNone {
		t.Fatalf("%v, %v", doc, origin)
	}
	f.run()
	s := p.stream()
	if a := s.ack(); a.Number != 0 || a.Refused != errNoGood.Error() {
		t.Errorf("%+v", a)
	}
	s.delta(deltas[4])
	wantAck(t, s.ack(), docs[4])
	if k := f.server.all; len(k) != 1 || k[0].delta != nil {
		t.Errorf("%+v", k)
	}
}

// A version that the server refuses is told once, and the one before stays; the
// next comes whole and is taken over, also over a new stream, where the refused
// one is sent again.
func TestRefused(t *testing.T) {
	p := newFake(t)
	docs, deltas := chain(t, 6)
	f := follows(t, settings(p))
	f.server.mu.Lock()
	f.server.refuse[2], f.server.refuse[3], f.server.refuse[5] = errNoGood, errNoGood, errNoGood
	f.server.mu.Unlock()
	s := p.stream()
	s.delta(deltas[1])
	wantAck(t, s.ack(), docs[1])
	for i := 2; i <= 3; i++ {
		s.delta(deltas[i])
		if a := s.ack(); a.Number != 1 || a.Digest != docs[1].Digest() || a.Refused != errNoGood.Error() {
			t.Errorf("%+v", a)
		}
	}
	if st := f.State(); st.Number != 1 || st.Refused != errNoGood.Error() || st.Lag == 0 {
		t.Errorf("%+v", st)
	}
	s.beat(docs[3], 0)
	s.delta(deltas[4])
	wantAck(t, s.ack(), docs[4])
	if st := f.State(); st.Refused != "" || st.Lag != 0 {
		t.Errorf("%+v", st)
	}
	s.delta(deltas[5])
	if a := s.ack(); a.Number != 4 || a.Refused == "" {
		t.Errorf("%+v", a)
	}
	s.end()
	s = p.stream()
	if s.hello.Number != 4 {
		t.Errorf("%+v", s.hello)
	}
	s.delta(deltas[5])
	if a := s.ack(); a.Number != 4 || a.Refused == "" {
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
		t.Errorf("%d versions were tried", n)
	}
}

// Another version with our number is never taken over, however it comes; it is
// shouted about, told to the publisher, and what comes after is followed.
func TestFork(t *testing.T) {
	docs, deltas := chain(t, 3)
	other, otherDelta := step(t, docs[1], "elsewhere", 9)
	after, afterDelta := step(t, other, "elsewhere", 10)
	for name, say := range map[string]func(s *fakeStream){
		"beat":     func(s *fakeStream) { s.beat(other, 0) },
		"delta":    func(s *fakeStream) { s.delta(otherDelta) },
		"snapshot": func(s *fakeStream) { s.snapshot(other) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newFake(t)
			f := follows(t, settings(p))
			s := p.stream()
			s.snapshot(docs[1])
			s.delta(deltas[2])
			s.ack()
			wantAck(t, s.ack(), docs[2])
			for range 3 {
				say(s)
			}
			if a := s.ack(); !a.Fork || a.Number != 2 || a.Digest != docs[2].Digest() {
				t.Errorf("%+v", a)
			}
			if st := f.State(); !st.Fork || st.Number != 2 || st.Publisher == "" {
				t.Errorf("%+v", st)
			}
			s.delta(deltas[3])
			wantAck(t, s.ack(), docs[3])
			if f.State().Fork || f.said("FORK") != 1 || len(f.server.all) != 3 {
				t.Errorf("%+v, shouted %d times, %d versions", f.State(), f.said("FORK"), len(f.server.all))
			}
		})
	}
	// The other line goes on: its delta has another parent, what lies between is
	// asked for, and it is the publisher that knows of the fork.
	t.Run("the other line", func(t *testing.T) {
		p := newFake(t)
		f := follows(t, settings(p))
		s := p.stream()
		s.snapshot(docs[2])
		s.ack()
		s.delta(afterDelta)
		s.left()
		s = p.stream()
		if s.hello.Number != 2 || s.hello.Digest != docs[2].Digest() {
			t.Errorf("%+v", s.hello)
		}
		for range 3 { // as to any whose version it takes for one of two
			s.beat(after, 0)
		}
		if a := s.ack(); !a.Fork || a.Number != 2 {
			t.Errorf("%+v", a)
		}
		if n := len(f.server.all); n != 1 || !f.State().Fork || f.State().Lag == 0 {
			t.Errorf("%d versions, %+v", n, f.State())
		}
	})
}

// A wrong digest is refused and shouted about, and another publisher is turned to.
func TestWrongDigest(t *testing.T) {
	docs, deltas := chain(t, 3)
	bad := *deltas[3]
	bad.Header.Content[0]++
	forged := encode(t, &bad) // its header is sound in itself and names a content that is not the one
	broken := encode(t, deltas[3])
	broken[len(broken)-1] ^= 1
	whole, err := docs[3].Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	whole[len(whole)-1] ^= 1
	for name, record := range map[string]protocol.FromPublisher{
		"of the content": {Delta: forged}, "of a delta": {Delta: broken}, "of a snapshot": {Snapshot: whole},
		"two parts": {Delta: encode(t, deltas[3]), Beat: &protocol.Beat{}}, "no part": {},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newFake(t), newFake(t)
			set := settings(a, b)
			ranked := prefer(&set, a, b)
			f := follows(t, set)
			s := ranked[0].stream()
			s.snapshot(docs[2])
			wantAck(t, s.ack(), docs[2])
			s.send(record)
			if a := s.ack(); a.Number != 2 || a.Refused == "" {
				t.Errorf("%+v", a)
			}
			s.left()
			s = ranked[1].stream()
			if s.hello.Number != 2 {
				t.Errorf("%+v", s.hello)
			}
			if f.said("what came is refused") != 1 || f.State().Refused == "" {
				t.Errorf("%+v", f.State())
			}
			s.delta(deltas[3])
			wantAck(t, s.ack(), docs[3])
			if st := f.State(); st.Refused != "" || st.Switches != 2 {
				t.Errorf("%+v", st)
			}
			ranked[0].none()
		})
	}
}

// A delta on another parent: what lies between is asked for at once; where the
// same comes again, of another publisher.
func TestGap(t *testing.T) {
	docs, deltas := chain(t, 5)
	a, b := newFake(t), newFake(t)
	set := settings(a, b)
	ranked := prefer(&set, a, b)
	f := follows(t, set)
	s := ranked[0].stream()
	s.snapshot(docs[1])
	wantAck(t, s.ack(), docs[1])
	s.delta(deltas[3])
	s.left()
	s = ranked[0].stream()
	if s.hello.Number != 1 || s.hello.Digest != docs[1].Digest() {
		t.Errorf("%+v", s.hello)
	}
	s.delta(deltas[2])
	wantAck(t, s.ack(), docs[2])
	s.delta(deltas[4])
	s.left()
	s = ranked[0].stream()
	s.delta(deltas[5])
	s.left()
	s = ranked[1].stream()
	s.snapshot(docs[4])
	wantAck(t, s.ack(), docs[4])
	if len(f.server.all) != 3 {
		t.Errorf("%d versions", len(f.server.all))
	}
}

// A publisher that ends the stream, one that refuses, one that says nothing and
// one that takes no stream are each left for another.
func TestNextPublisher(t *testing.T) {
	docs, deltas := chain(t, 3)
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
	a, b := newFake(t), newFake(t)
	set := settings(a, b)
	set.Publishers = append(set.Publishers, Publisher{mute.Addr().String(), "north"}, Publisher{gone.Addr().String(), "north"})
	f := follows(t, set)
	next := func() (*fake, *fakeStream) {
		t.Helper()
		select {
		case s := <-a.streams:
			return a, s
		case s := <-b.streams:
			return b, s
		case <-time.After(patience):
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
func TestOrphan(t *testing.T) {
	docs, _ := chain(t, 1)
	const lost = 10 * time.Second
	a, b := newFake(t), newFake(t)
	set := settings(a, b)
	ranked := prefer(&set, a, b)
	f := follows(t, set)
	s := ranked[0].stream()
	s.snapshot(docs[1])
	wantAck(t, s.ack(), docs[1])
	stop := s.beats(docs[1], lost)
	asked := ranked[1].stream()
	asked.beat(docs[1], lost)
	asked.left()
	select {
	case <-s.gone:
		t.Fatal("the first was left though all say the same")
	default:
	}
	if f.State().Unheard < lost {
		t.Errorf("%+v", f.State())
	}
	stop()
	// The first hears the originator and loses it again: the other is asked again.
	s.beat(docs[1], 0)
	s.beats(docs[1], lost)
	asked = ranked[1].stream()
	asked.beat(docs[1], 0)
	s.left()
	asked.beats(docs[1], 0)
	eventually(t, "the other is followed", func() bool {
		return f.State().Publisher == ranked[1].address && f.State().Unheard < protocol.OrphanMost
	})
}

// The preferred publisher is returned to once it is back, without a gap.
func TestReturn(t *testing.T) {
	docs, deltas := chain(t, 2)
	a, b := newFake(t), newFake(t)
	set := settings(a, b)
	ranked := prefer(&set, a, b)
	f := newFollowing(t, set)
	f.seek.pauses = func(time.Duration) time.Duration { return 0 }
	f.run()
	s := ranked[0].stream()
	s.snapshot(docs[1])
	wantAck(t, s.ack(), docs[1])
	s.end()
	s = ranked[1].stream()
	s.beat(docs[1], 0)
	back := ranked[0].stream()
	select {
	case <-s.gone:
		t.Error("the second was left before the first had spoken")
	default:
	}
	back.beat(docs[1], 0)
	s.left()
	back.delta(deltas[2])
	wantAck(t, back.ack(), docs[2])
}

// A server that takes long over a version does not take its publisher for silent,
// and nothing is lost meanwhile.
func TestSlowServer(t *testing.T) {
	docs, deltas := chain(t, 300)
	p := newFake(t)
	f := newFollowing(t, settings(p))
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
	s := p.stream()
	for i := 1; i <= 300; i++ {
		s.delta(deltas[i])
	}
	time.Sleep(protocol.SilentMost + 200*time.Millisecond) // longer than a silence may last: what is shown is that it is none
	close(hold)
	for a := s.ack(); a.Number < 300; a = s.ack() {
		if a.Refused != "" || a.Fork {
			t.Fatalf("%+v", a)
		}
	}
	p.none()
	if st := f.State(); st.Number != 300 || st.Digest != docs[300].Digest() || st.Switches != 1 {
		t.Errorf("%+v", st)
	}
}

// A publisher that reads nothing holds up nobody here, and what waits for it is bounded.
func TestWordsBounded(t *testing.T) {
	w := &words{}
	w.some.L = &w.mu
	w.say(&protocol.FromFollower{Hello: &protocol.Hello{Name: "first"}})
	for i := range 10 * wordsMost {
		w.say(&protocol.FromFollower{Ack: &protocol.Ack{Number: uint64(i)}})
	}
	w.last()
	r := protocol.NewReader(w)
	var m protocol.FromFollower
	if err := r.Read(&m); err != nil || m.Hello == nil {
		t.Fatalf("%+v, %v", m, err)
	}
	n, newest := 0, uint64(0)
	for {
		m = protocol.FromFollower{}
		if r.Read(&m) != nil {
			break
		}
		n, newest = n+1, m.Ack.Number
	}
	if n != wordsMost-1 || newest != 10*wordsMost-1 {
		t.Errorf("%d words, the newest %d", n, newest)
	}
}

// Nothing is left of a follower that has ended, wherever it stood: no goroutine and no connection.
func TestNothingLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	docs, _ := chain(t, 1)
	mute := Settings{Name: "server-1", Region: "north", Publishers: []Publisher{{l.Addr().String(), "north"}}, Wait: 50 * time.Millisecond}
	round := func() {
		for range 5 {
			f := newFollowing(t, mute)
			ctx, cancel := context.WithCancel(context.Background())
			f.First(ctx)
			cancel() // a start that was broken off
			f = newFollowing(t, mute)
			f.First(context.Background())
			f.run()
			f.stop()
			p := newFake(t)
			f = follows(t, settings(p))
			s := p.stream()
			s.snapshot(docs[1])
			s.ack()
			f.stop()
			s.left()
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
	_, err := New(Settings{Region: strings.Repeat("r", 200), Wait: -1, Publishers: []Publisher{{"a:1", ""}, {"nowhere", ""}, {"a:1", ""}}})
	for _, want := range []string{"Name", "Region", "Wait", "Publishers[1]", "Publishers[2]"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("no %s in: %v", want, err)
		}
	}
	if _, err := New(Settings{Name: "a"}); err == nil || !strings.Contains(err.Error(), "Publishers") {
		t.Errorf("%v", err)
	}
}

func newKeeper(folder string) *keeper { return &keeper{folder: folder, log: zap.NewNop()} }

// A version is kept, first whole and then by deltas, and read again.
func TestKeep(t *testing.T) {
	docs, deltas := chain(t, 20)
	folder := filepath.Join(t.TempDir(), "control")
	p := newFake(t)
	set := settings(p)
	set.Folder = folder
	f := follows(t, set)
	s := p.stream()
	for i := 1; i <= 20; i++ {
		s.delta(deltas[i])
		wantAck(t, s.ack(), docs[i])
		if i == 10 || i == 15 { // as after a crash at this moment
			k := keeper{folder: folder, log: f.log}
			if doc, at := k.load(); doc == nil || doc.Digest() != docs[i].Digest() || at.IsZero() {
				t.Fatalf("%v is kept, want version %d", doc, i)
			}
		}
	}
	f.stop()
	f = newFollowing(t, set)
	if st := f.State(); st.Number != 20 || st.Digest != docs[20].Digest() || st.Origin != FromFolder {
		t.Errorf("%+v", st)
	}
	f.run()
	if s := p.stream(); s.hello.Number != 20 || s.hello.Digest != docs[20].Digest() {
		t.Errorf("%+v", s.hello)
	}
}

// What is damaged is named and passed over: the whole, or the deltas from there on.
func TestKeepDamaged(t *testing.T) {
	docs, deltas := chain(t, 5)
	make := func(t *testing.T) (Settings, string) {
		set := settings(newFake(t))
		set.Folder = t.TempDir()
		k := newKeeper(set.Folder)
		k.save(0, docs[1], false, nil)
		for i := 2; i <= 5; i++ {
			k.save(0, docs[i], true, encode(t, deltas[i]))
		}
		k.close()
		return set, set.Folder
	}
	change := func(t *testing.T, path string, f func([]byte) []byte) {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, f(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for name, c := range map[string]struct {
		file string
		do   func([]byte) []byte
		want uint64
	}{
		"sound":            {deltasFile, func(b []byte) []byte { return b }, 5},
		"whole flipped":    {wholeFile, func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, 0},
		"whole cut":        {wholeFile, func(b []byte) []byte { return b[:len(b)/2] }, 0},
		"whole empty":      {wholeFile, func(b []byte) []byte { return nil }, 0},
		"deltas cut":       {deltasFile, func(b []byte) []byte { return b[:len(b)-3] }, 4},
		"deltas flipped":   {deltasFile, func(b []byte) []byte { b[len(b)-3] ^= 1; return b }, 4},
		"deltas no record": {deltasFile, func(b []byte) []byte { return append(b, 0xff, 0xff) }, 5},
		"deltas empty":     {deltasFile, func(b []byte) []byte { return nil }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			set, folder := make(t)
			change(t, filepath.Join(folder, c.file), c.do)
			f := newFollowing(t, set)
			if got := f.State().Number; got != c.want {
				t.Errorf("version %d is read, want %d", got, c.want)
			}
			named := 0
			for _, e := range f.logs.All() {
				if e.ContextMap()["file"] == filepath.Join(folder, c.file) {
					named++
				}
			}
			if damaged := name != "sound" && name != "deltas empty"; (named == 1) != damaged {
				t.Errorf("the file is named %d times", named)
			}
			f.run() // the next version replaces what is damaged
			f.stop()
		})
	}
}

// A folder that cannot be written, at the start or later, stops nothing and is logged once.
func TestKeepFails(t *testing.T) {
	docs, deltas := chain(t, 4)
	file := filepath.Join(t.TempDir(), "a-file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p := newFake(t)
	set := settings(p)
	set.Folder = filepath.Join(file, "below")
	f := follows(t, set)
	s := p.stream()
	for i := 1; i <= 4; i++ {
		s.delta(deltas[i])
		wantAck(t, s.ack(), docs[i])
	}
	if f.said("cannot be kept") != 1 || f.said("cannot be used") != 1 {
		t.Error("not said once")
	}
}

// Two processes of one server share a folder: one writes, and the other when it has ended.
func TestKeepTwo(t *testing.T) {
	docs, deltas := chain(t, 4)
	folder := t.TempDir()
	first, second := newKeeper(folder), newKeeper(folder)
	first.save(0, docs[1], false, nil)
	second.save(0, docs[1], false, nil)
	first.save(0, docs[2], true, encode(t, deltas[2]))
	second.save(0, docs[2], true, encode(t, deltas[2]))
	second.save(wholeEvery, docs[3], true, encode(t, deltas[3]))
	if doc, _ := newKeeper(folder).load(); doc.Header().Number != 2 {
		t.Errorf("version %d", doc.Header().Number)
	}
	first.close()
	second.save(2*wholeEvery, docs[4], true, encode(t, deltas[4]))
	if doc, _ := newKeeper(folder).load(); doc.Header().Number != 4 {
		t.Errorf("version %d", doc.Header().Number)
	}
	second.close()
}

// The folder's files stay bounded, and a version whole is written now and then, not for each change.
func TestKeepBounded(t *testing.T) {
	docs, deltas := chain(t, 3*deltasMost)
	k := newKeeper(t.TempDir())
	now, whole := time.Duration(0), 0
	for i := 1; i < len(docs); i++ {
		now += 10 * time.Millisecond
		before := k.last
		k.save(now, docs[i], i > 1, encode(t, deltas[i]))
		if k.count == 0 && k.want == nil && k.last != before {
			whole++
		}
		if k.count > deltasMost || k.bytes > deltasBytes {
			t.Fatalf("%d deltas, %d bytes", k.count, k.bytes)
		}
	}
	k.close()
	if whole > int(now/wholeEvery)+1 {
		t.Errorf("%d whole versions in %v", whole, now)
	}
	if doc, _ := k.load(); doc.Digest() != docs[len(docs)-1].Digest() {
		t.Errorf("version %d", doc.Header().Number)
	}
}
