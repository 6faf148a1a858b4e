package ledger

import (
	"net"
	"sync"
	"testing"
	"time"

	"kiteslip"
	standin "kiteslip/internal/standin/ledger"
)

const maxWait = 20 * time.Second // for a result

// fixture is a Client of a stand-in ledger.
type fixture struct {
	*Client
	t       *testing.T
	server  *standin.Ledger
	results chan Result
}

// newFixture starts a stand-in ledger that acts by script, and a Client of it.
func newFixture(t *testing.T, conns int, script func(standin.Call) standin.Response) *fixture {
	t.Helper()
	server, err := standin.Serve(script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Stop)
	f := &fixture{t: t, server: server, results: make(chan Result, 1024)}
	if f.Client, err = New(server.Address, conns, func(got Result) { f.results <- got }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// nextResult waits for the next result.
func (f *fixture) nextResult() Result {
	f.t.Helper()
	select {
	case got := <-f.results:
		return got
	case <-time.After(maxWait):
		f.t.Fatal("the call does not end")
		return Result{}
	}
}

// Each way in which a call ends has its own end reason; only replies that prove by
// the protocol that nothing ran are reported so.
func TestEndReasons(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		act     standin.Response
		outcome kiteslip.Outcome
		end     EndReason
	}{
		{"good", standin.Response{}, kiteslip.OK, OK},
		{"rejected, never ran", standin.Response{Status: 503, Untouched: true}, kiteslip.Rejected, Rejected},
		{"503 without the header", standin.Response{Status: 503}, kiteslip.Failed, Unconfirmed},
		{"error", standin.Response{Status: 500}, kiteslip.Failed, ServerError},
		{"error that claims nothing ran", standin.Response{Status: 500, Untouched: true}, kiteslip.Failed, ServerError},
		{"out of time", standin.Response{Status: 504}, kiteslip.TimedOut, RemoteTimeout},
		{"no run", standin.Response{Status: 409, Untouched: true}, kiteslip.NotStarted, NoSuchRun},
		{"409 without the header", standin.Response{Status: 409}, kiteslip.Failed, Unconfirmed},
		{"another status", standin.Response{Status: 302, Untouched: true}, kiteslip.Failed, UnexpectedStatus},
		{"broken", standin.Response{CloseEarly: true}, kiteslip.Reset, ConnectionBroken},
		{"no HTTP", standin.Response{Malformed: true}, kiteslip.Reset, Malformed},
		{"oversized", standin.Response{ReplyBytes: maxReplyBytes + 1}, kiteslip.Reset, Oversized},
		{"slow", standin.Response{Delay: time.Minute}, kiteslip.TimedOut, CallTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1, func(standin.Call) standin.Response { return c.act })
			timeout := maxWait
			if c.act.Delay > 0 {
				timeout = 50 * time.Millisecond
			}
			f.Call(7, "9b1f03aa5c7e2d41", []byte("body\x00"), timeout.Microseconds())
			got := f.nextResult()
			if got.Token != 7 || got.Outcome != c.outcome || got.Reason != c.end {
				t.Errorf("%+v, want outcome %d and end %v", got, c.outcome, c.end)
			}
			if c.outcome == kiteslip.OK && string(got.Reply) != standin.Reply("body\x00") {
				t.Errorf("reply %q", got.Reply)
			}
		})
	}
}

// A call to a ledger that is down has certainly not run, and the ledger is used again once it is up.
func TestLedgerRestart(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 2, nil)
	for i, up := range []bool{true, false, true} { // the last one must not use a connection of the first
		if i > 0 && up {
			if err := f.server.Start(); err != nil {
				t.Fatal(err)
			}
		} else if !up {
			f.server.Stop()
		}
		f.Call(uint64(i), "a", nil, maxWait.Microseconds())
		got := f.nextResult()
		if !up && got.Reason == ConnectionBroken { // the loss of the idle connection had not been noticed yet
			f.Call(uint64(i), "a", nil, maxWait.Microseconds())
			got = f.nextResult()
		}
		if up && got.Outcome != kiteslip.OK || !up && (got.Outcome != kiteslip.Unreachable || got.Reason != ConnectionRefused) {
			t.Errorf("up %v: %+v", up, got)
		}
	}
}

// Many calls share few connections; a call that never gets one has not run.
func TestCallsShareConnections(t *testing.T) {
	t.Parallel()
	started, release := make(chan struct{}, 101), make(chan struct{})
	f := newFixture(t, 10, func(standin.Call) standin.Response { started <- struct{}{}; <-release; return standin.Response{} })
	for i := range uint64(100) {
		f.Call(i, "a", nil, maxWait.Microseconds())
	}
	for range 10 { // all connections are in use
		<-started
	}
	f.Call(100, "a", nil, 50_000)
	if got := f.nextResult(); got.Token != 100 || got.Outcome != kiteslip.Unreachable || got.Reason != NoConnection {
		t.Errorf("%+v, want the call that got no connection in time", got)
	}
	close(release)
	ended := map[uint64]bool{}
	for range 100 {
		got := f.nextResult()
		if ended[got.Token] || got.Outcome != kiteslip.OK {
			t.Errorf("%+v, ended before: %v", got, ended[got.Token])
		}
		ended[got.Token] = true
	}
	if _, most := f.server.Connections(); most > 10 {
		t.Errorf("%d connections, want at most 10", most)
	}
	if seen, _ := f.server.Received(); seen != 100 {
		t.Errorf("the ledger saw %d calls, want 100", seen)
	}
}

// An abandoned call closes its connection and gets no result.
func TestAbandonedCall(t *testing.T) {
	t.Parallel()
	started := make(chan struct{}, 1)
	f := newFixture(t, 1, func(c standin.Call) standin.Response {
		if c.Ref == "long" {
			started <- struct{}{}
			return standin.Response{Delay: time.Minute}
		}
		return standin.Response{}
	})
	f.Call(1, "long", nil, maxWait.Microseconds())
	<-started
	f.Abandon(1)
	f.Call(2, "short", nil, maxWait.Microseconds())
	if got := f.nextResult(); got.Token != 2 || got.Outcome != kiteslip.OK {
		t.Errorf("%+v", got)
	}
	f.Close()
	if _, abandoned := f.server.Received(); abandoned != 1 || len(f.results) != 0 {
		t.Errorf("%d calls abandoned, %d further results", abandoned, len(f.results))
	}
	f.Call(3, "late", nil, maxWait.Microseconds())
	if got := f.nextResult(); got.Outcome != kiteslip.Unreachable {
		t.Errorf("after Close: %+v", got)
	}
}

// After SetAddress calls go to the new address; one in progress ends at the old one.
func TestSetAddress(t *testing.T) {
	t.Parallel()
	started, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	f := newFixture(t, 2, func(standin.Call) standin.Response {
		once.Do(func() { close(started) })
		<-release
		return standin.Response{}
	})
	next, err := standin.Serve(nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Stop)
	f.Call(1, "a", []byte("old"), maxWait.Microseconds())
	<-started
	if err := f.SetAddress("localhost:1"); err == nil {
		t.Error("a host name is accepted as an address")
	}
	if err := f.SetAddress(next.Address); err != nil {
		t.Fatal(err)
	}
	f.Call(2, "b", []byte("new"), maxWait.Microseconds())
	if got := f.nextResult(); got.Token != 2 || string(got.Reply) != standin.Reply("new") {
		t.Errorf("%+v", got)
	}
	close(release)
	if got := f.nextResult(); got.Token != 1 || string(got.Reply) != standin.Reply("old") {
		t.Errorf("%+v", got)
	}
}

// Calls made one after the other share one connection.
func TestConnectionReused(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 4, nil)
	for i := range uint64(20) {
		f.Call(i, "a", nil, maxWait.Microseconds())
		f.nextResult()
	}
	if current, most := f.server.Connections(); current != 1 || most != 1 {
		t.Errorf("%d connections open, %d at most", current, most)
	}
}

func TestCheckAddress(t *testing.T) {
	for _, bad := range []string{"", "ledger:7700", "localhost:7700", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x"} {
		if CheckAddress(bad) == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
	for _, good := range []string{"127.0.0.1:7700", "[::1]:7700"} {
		if err := CheckAddress(good); err != nil {
			t.Error(err)
		}
	}
}

// A call to an address that accepts connections but never replies times out.
func TestSilentListener(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections into its backlog, and never reads
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	results := make(chan Result, 1)
	c, err := New(l.Addr().String(), 1, func(f Result) { results <- f })
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Call(1, "a", nil, 100_000)
	if got := <-results; got.Outcome != kiteslip.TimedOut || got.Reason != CallTimeout {
		t.Errorf("%+v", got)
	}
}
