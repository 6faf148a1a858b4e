package box

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"kiteslip/internal/uwsgi"
)

// With random runs and changes of the speed, every run ends, and the work done is
// that of all runs: no core time is lost or counted twice.
func TestEachRunGetsItsWorkDone(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.IntRange(1, 4).Draw(t, "cores")
		b := New(Spec{Cores: cores}, 0)
		total, now, speed := 0.0, int64(0), 1.0
		capacity := 0.0 // work that the cores have done
		started, ended := 0, 0
		advanceTo := func(end int64) {
			for now < end {
				at := end
				if next := b.Next(); next != 0 && next < at {
					at = next
				}
				capacity += float64(at-now) * speed * float64(min(cores, b.Runs()))
				now = at
				ended += len(b.Advance(now))
			}
		}
		for id := range rapid.IntRange(1, 30).Draw(t, "runs") {
			work := float64(rapid.IntRange(1, 100_000).Draw(t, "work"))
			total += work
			b.Start(now, uint64(id), work)
			started++
			advanceTo(now + rapid.Int64Range(0, 50_000).Draw(t, "gap"))
			if rapid.Bool().Draw(t, "change") {
				speed = rapid.Float64Range(0.2, 2).Draw(t, "speed")
				b.SetSpeed(now, speed)
			}
		}
		advanceTo(now + 1e9)
		if ended != started || b.Runs() != 0 || math.Abs(capacity-total) > float64(started)*8*float64(cores) {
			t.Fatalf("%d of %d runs ended, %v of %v work done", ended, started, capacity, total)
		}
	})
}

// Runs beyond the knee cost throughput, and a cold machine is slow until it is warm.
func TestThroughputLossAndWarmup(t *testing.T) {
	t.Parallel()
	lastEnd := func(b *Machine) (at int64) {
		for b.Next() != 0 {
			for _, e := range b.Advance(b.Next()) {
				at = e.At
			}
		}
		return at
	}
	b := New(Spec{Cores: 1, Knee: 2, Loss: 0.5}, 0)
	for id := range uint64(4) {
		b.Start(0, id, 100_000)
	}
	if at := lastEnd(b); at < 790_000 || at > 810_000 {
		t.Errorf("four runs of 100 ms on one core, knee at two: ended after %d us, want 800,000", at)
	}
	b = New(Spec{Cores: 1}, 0)
	b.StartWarmup(0, 0.5, 1_000_000)
	b.Start(0, 1, 750_000)
	if at := lastEnd(b); at < 980_000 || at > 1_020_000 {
		t.Errorf("750 ms of work while the speed rises from half to full within 1 s: ended after %d us, want 1,000,000", at)
	}
}

// The engine answers every command of its protocol, starts a repeated RUN only
// once, and sends a server that attaches again the notices that it missed.
func TestEngineProtocolAndReattach(t *testing.T) {
	t.Parallel()
	e, err := Serve(Spec{Cores: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	attach := func(heard int) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", e.Address)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // supported by TCP connections
		fmt.Fprintf(c, "ATTACH %d\r\n", heard)
		return c, bufio.NewReader(c)
	}
	expect := func(r *bufio.Reader, prefix string) {
		t.Helper()
		if line, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(line, prefix) {
			t.Fatalf("got %q, %v; want %q", line, err, prefix)
		}
	}
	c, r := attach(0)
	expect(r, "HELLO hot")
	began := time.Now()
	io.WriteString(c, "RUN a look 5\r\n40000\r\nRUN a look 5\r\n40000\r\nRUN b look 1\r\nx\r\nSTAT g\r\nTEST t\r\n") //nolint:errcheck // a failure shows in what is read
	expect(r, "DONE 1 b complete 0 1")
	expect(r, "x")
	expect(r, "STATS g 1.00 0")
	expect(r, "TESTED t complete")
	e.WithMachine(func(b *Machine, now int64) { b.SetSpeed(now, 0.5) })
	expect(r, "DONE 2 a complete")
	if took := time.Since(began); took < 60*time.Millisecond {
		t.Errorf("40 ms of work at half the speed took %v", took)
	}
	c.Close()
	c, r = attach(1)
	defer c.Close()
	expect(r, "HELLO hot")
	expect(r, "DONE 2 a complete")
}

// After ReportDurations a result ends with the duration of its run.
func TestEngineReportsRunDuration(t *testing.T) {
	t.Parallel()
	e, err := Serve(Spec{Cores: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	e.ReportDurations()
	c, err := net.Dial("tcp", e.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second)) //nolint:errcheck // supported by TCP connections
	began := time.Now()
	io.WriteString(c, "ATTACH 0\r\nRUN a look 7\r\n20000 x\r\n") //nolint:errcheck // a failure shows in what is read
	r := bufio.NewReader(c)
	for range 2 { // HELLO and the first line of the notice
		if _, err = r.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	line, err := r.ReadString('\n')
	took, rest := 0, ""
	if _, bad := fmt.Sscanf(line, "20000 x %d%s", &took, &rest); err != nil || bad != nil && rest != "" {
		t.Fatalf("%q, %v, %v", line, err, bad)
	}
	if took < 20_000 || took > int(time.Since(began).Microseconds()) {
		t.Errorf("20 ms of work took %d us, by its result", took)
	}
}

// Requests by uwsgi share the engine's cores.
func TestUWSGICallsShareCores(t *testing.T) {
	t.Parallel()
	e, err := Serve(Spec{Cores: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	address, err := e.ServeUWSGI()
	if err != nil {
		t.Fatal(err)
	}
	took := make(chan time.Duration, 2)
	for range 2 {
		go func() {
			began := time.Now()
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				took <- 0
				return
			}
			defer c.Close()
			packet, err := uwsgi.AppendRequest(nil, []uwsgi.Var{{Name: uwsgi.VarLength, Value: "5"}})
			if err != nil {
				t.Error(err)
			}
			c.Write(append(packet, "50000"...)) //nolint:errcheck // a missing answer fails the test
			answer, err := io.ReadAll(c)
			if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200") || !strings.HasSuffix(string(answer), "\r\n\r\n50000") {
				t.Errorf("%q, %v", answer, err)
			}
			took <- time.Since(began)
		}()
	}
	if a, b := <-took, <-took; max(a, b) < 95*time.Millisecond {
		t.Errorf("two calls of 50 ms on one core took %v and %v", a, b)
	}
}

// A machine crashes when too many runs share its cores for long: not at a short
// peak, and not with fewer runs.
func TestCrashAfterSustainedOverload(t *testing.T) {
	t.Parallel()
	for runs, crashes := range map[uint64]bool{6: false, 12: true} {
		b := New(Spec{Cores: 1, MaxRunsPerCore: 8}, 0)
		for id := range runs {
			b.Start(0, id, 1e9)
		}
		b.Advance(500_000)
		if b.Crashed() {
			t.Errorf("%d runs: crashed within 0.5 s", runs)
		}
		b.Advance(10_000_000)
		if b.Crashed() != crashes {
			t.Errorf("%d runs per core: crashed %v", runs, b.Crashed())
		}
	}
}
