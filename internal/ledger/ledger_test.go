package ledger

import (
	"net"
	"sync"
	"testing"
	"time"

	"kiteslip"
	standin "kiteslip/internal/standin/ledger"
)

const longest = 20 * time.Second // of a wait in these tests

type rig struct {
	*Client
	t       *testing.T
	far     *standin.Ledger
	results chan Result
}

func open(t *testing.T, conns int, script func(standin.Call) standin.Act) *rig {
	t.Helper()
	far, err := standin.Serve(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(far.Down)
	r := &rig{t: t, far: far, results: make(chan Result, 1024)}
	if r.Client, err = New(far.Address, conns, func(got Result) { r.results <- got }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func (r *rig) next() Result {
	r.t.Helper()
	select {
	case got := <-r.results:
		return got
	case <-time.After(longest):
		r.t.Fatal("the call does not end")
		return Result{}
	}
}

// Each way in which a call ends has its own outcome; only what the protocol
// says proves that nothing ran is told so.
func TestEnds(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		act     standin.Act
		outcome kiteslip.Outcome
		end     EndReason
	}{
		{"good", standin.Act{}, kiteslip.OK, OK},
		{"turned away", standin.Act{Status: 503, Untouched: true}, kiteslip.Rejected, Rejected},
		{"503 without a word", standin.Act{Status: 503}, kiteslip.Failed, Unconfirmed},
		{"error", standin.Act{Status: 500}, kiteslip.Failed, ServerError},
		{"error that claims nothing ran", standin.Act{Status: 500, Untouched: true}, kiteslip.Failed, ServerError},
		{"out of time", standin.Act{Status: 504}, kiteslip.TimedOut, RemoteTimeout},
		{"no run", standin.Act{Status: 409, Untouched: true}, kiteslip.NotStarted, NoSuchRun},
		{"409 without a word", standin.Act{Status: 409}, kiteslip.Failed, Unconfirmed},
		{"another status", standin.Act{Status: 302, Untouched: true}, kiteslip.Failed, UnexpectedStatus},
		{"broken", standin.Act{Break: true}, kiteslip.Reset, ConnectionBroken},
		{"no HTTP", standin.Act{Garble: true}, kiteslip.Reset, Malformed},
		{"oversized", standin.Act{Size: replyMost + 1}, kiteslip.Reset, Oversized},
		{"slow", standin.Act{After: time.Minute}, kiteslip.TimedOut, CallTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := open(t, 1, func(standin.Call) standin.Act { return c.act })
			patience := longest
			if c.act.After > 0 {
				patience = 50 * time.Millisecond
			}
			r.Call(7, "9b1f03aa5c7e2d41", []byte("body\x00"), patience.Microseconds())
			got := r.next()
			if got.Token != 7 || got.Outcome != c.outcome || got.Reason != c.end {
				t.Errorf("%+v, want outcome %d and end %v", got, c.outcome, c.end)
			}
			if c.outcome == kiteslip.OK && string(got.Reply) != standin.Reply("body\x00") {
				t.Errorf("reply %q", got.Reply)
			}
		})
	}
}

// A ledger that is down proves that nothing ran, and is used again once it is back.
func TestDownAndBack(t *testing.T) {
	t.Parallel()
	r := open(t, 2, nil)
	for i, up := range []bool{true, false, true} { // the last one must not meet a connection of the first
		if i > 0 && up {
			if err := r.far.Up(); err != nil {
				t.Fatal(err)
			}
		} else if !up {
			r.far.Down()
		}
		r.Call(uint64(i), "a", nil, longest.Microseconds())
		got := r.next()
		if !up && got.Reason == ConnectionBroken { // the kept connection was not known to be gone yet; it is now
			r.Call(uint64(i), "a", nil, longest.Microseconds())
			got = r.next()
		}
		if up && got.Outcome != kiteslip.OK || !up && (got.Outcome != kiteslip.Unreachable || got.Reason != ConnectionRefused) {
			t.Errorf("up %v: %+v", up, got)
		}
	}
}

// Many calls share few connections; one that never gets one has not run.
func TestRoomForTen(t *testing.T) {
	t.Parallel()
	came, release := make(chan struct{}, 101), make(chan struct{})
	r := open(t, 10, func(standin.Call) standin.Act { came <- struct{}{}; <-release; return standin.Act{} })
	for i := range uint64(100) {
		r.Call(i, "a", nil, longest.Microseconds())
	}
	for range 10 { // all connections are taken
		<-came
	}
	r.Call(100, "a", nil, 50_000)
	if got := r.next(); got.Token != 100 || got.Outcome != kiteslip.Unreachable || got.Reason != NoConnection {
		t.Errorf("%+v, want the one that could not wait", got)
	}
	close(release)
	ended := map[uint64]bool{}
	for range 100 {
		got := r.next()
		if ended[got.Token] || got.Outcome != kiteslip.OK {
			t.Errorf("%+v, ended before: %v", got, ended[got.Token])
		}
		ended[got.Token] = true
	}
	if _, most := r.far.Connections(); most > 10 {
		t.Errorf("%d connections, room for 10", most)
	}
	if seen, _ := r.far.Seen(); seen != 100 {
		t.Errorf("the ledger saw %d calls, want 100", seen)
	}
}

// A call given up closes its connection, and nothing is heard of it.
func TestAbandoned(t *testing.T) {
	t.Parallel()
	came := make(chan struct{}, 1)
	r := open(t, 1, func(c standin.Call) standin.Act {
		if c.Ref == "long" {
			came <- struct{}{}
			return standin.Act{After: time.Minute}
		}
		return standin.Act{}
	})
	r.Call(1, "long", nil, longest.Microseconds())
	<-came
	r.Abandon(1)
	r.Call(2, "short", nil, longest.Microseconds())
	if got := r.next(); got.Token != 2 || got.Outcome != kiteslip.OK {
		t.Errorf("%+v", got)
	}
	r.Close()
	if _, givenUp := r.far.Seen(); givenUp != 1 || len(r.results) != 0 {
		t.Errorf("%d calls given up, %d results more", givenUp, len(r.results))
	}
	r.Call(3, "late", nil, longest.Microseconds())
	if got := r.next(); got.Outcome != kiteslip.Unreachable {
		t.Errorf("after the close: %+v", got)
	}
}

// Calls go to the new address; the one that is out ends where it was made.
func TestMove(t *testing.T) {
	t.Parallel()
	came, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	r := open(t, 2, func(standin.Call) standin.Act { once.Do(func() { close(came) }); <-release; return standin.Act{} })
	next, err := standin.Serve(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Down)
	r.Call(1, "a", []byte("old"), longest.Microseconds())
	<-came
	if err := r.SetAddress("localhost:1"); err == nil {
		t.Error("a name is taken as an address")
	}
	if err := r.SetAddress(next.Address); err != nil {
		t.Fatal(err)
	}
	r.Call(2, "b", []byte("new"), longest.Microseconds())
	if got := r.next(); got.Token != 2 || string(got.Reply) != standin.Reply("new") {
		t.Errorf("%+v", got)
	}
	close(release)
	if got := r.next(); got.Token != 1 || string(got.Reply) != standin.Reply("old") {
		t.Errorf("%+v", got)
	}
}

// One connection serves call after call.
func TestConnectionIsKept(t *testing.T) {
	t.Parallel()
	r := open(t, 4, nil)
	for i := range uint64(20) {
		r.Call(i, "a", nil, longest.Microseconds())
		r.next()
	}
	if open, most := r.far.Connections(); open != 1 || most != 1 {
		t.Errorf("%d connections open, %d at most", open, most)
	}
}

func TestAddresses(t *testing.T) {
	for _, bad := range []string{"", "ledger:7700", "localhost:7700", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x"} {
		if CheckAddress(bad) == nil {
			t.Errorf("%q passes", bad)
		}
	}
	for _, good := range []string{"127.0.0.1:7700", "[::1]:7700"} {
		if err := CheckAddress(good); err != nil {
			t.Error(err)
		}
	}
}

// A reply too slow for the dial: an address where nobody answers is given up in time.
func TestSilentListener(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0") // takes connections in its queue, and never reads
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	results := make(chan Result, 1)
	c, err := New(l.Addr().String(), 1, func(r Result) { results <- r })
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Call(1, "a", nil, 100_000)
	if got := <-results; got.Outcome != kiteslip.TimedOut || got.Reason != CallTimeout {
		t.Errorf("%+v", got)
	}
}
