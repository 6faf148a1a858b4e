package engine

import (
	"fmt"
	"strings"
	"testing"

	"kiteslip"
	"kiteslip/internal/core"
)

// recorder records the ends of runs that a Link reports and the commands it sends, in order.
type recorder struct {
	ended      []string
	sent       []string
	unexpected int
}

func (e *recorder) Hello(bool, int64)            {}
func (e *recorder) Stats([]float32)              {}
func (e *recorder) Tested(string, bool)          {}
func (e *recorder) UnexpectedNotice(_, _ string) { e.unexpected++ }
func (e *recorder) Done(r *core.Request, outcome kiteslip.Outcome, _ int64, _ []byte) {
	e.ended = append(e.ended, fmt.Sprint(r.TryID, " ", outcome))
}
func (e *recorder) NeedsCall(*core.Request, uint64, []byte) {}

func (e *recorder) send(parts ...[]byte) {
	var b strings.Builder
	for _, p := range parts {
		b.Write(p)
	}
	e.sent = append(e.sent, b.String())
}

// attach connects l; notices are those that the engine replays.
func (e *recorder) attach(t *testing.T, l *Link, notices string) {
	t.Helper()
	l.Attach(e.send)
	e.feed(t, l, "HELLO hot 5\r\n"+notices+"STATS fence 0 0\r\n")
}

// feed passes text to l, which must take all of it.
func (e *recorder) feed(t *testing.T, l *Link, text string) {
	t.Helper()
	if n, err := l.Feed([]byte(text)); err != nil || n != len(text) {
		t.Fatalf("%q: %d bytes, %v", text, n, err)
	}
}

// A run whose deadline passes while the engine is not connected is not started
// later: it ends as NotStarted, with or without a new connection.
func TestOverdueRunNotStarted(t *testing.T) {
	for _, connects := range []bool{true, false} {
		e, now := &recorder{}, int64(1_000_000)
		l := NewLink(e, func() int64 { return now })
		l.SetClasses([]string{"look"}, []bool{true})
		l.Run(&core.Request{TryID: "early", Deadline: now + 100})
		l.Run(&core.Request{TryID: "late", Deadline: now + 10_000_000})
		now += 1_000_000
		if connects {
			e.attach(t, l, "")
		} else {
			l.Expire()
		}
		if got := fmt.Sprint(e.ended); got != fmt.Sprintf("[early %d]", kiteslip.NotStarted) {
			t.Errorf("connected %v: %s", connects, got)
		}
		runs := 0
		for _, s := range e.sent {
			if strings.HasPrefix(s, "RUN ") {
				runs++
				if !strings.HasPrefix(s, "RUN late ") {
					t.Errorf("sent %q", s)
				}
			}
		}
		if connects && runs != 1 {
			t.Errorf("%d RUN commands sent", runs)
		}
	}
}

// A malformed notice with a legible number ends its connection and its run, but
// not every later connection.
func TestMalformedNoticeSkippedOnce(t *testing.T) {
	for _, bad := range []string{"DONE 2 a complete 5 99999999\r\n", "DONE 2 a whatever 5 0\r\n\r\n", "DONE 2 a complete x 0\r\n\r\n",
		"NEED 2 a 99999999\r\n", "DONE 2 a complete 5 2\r\nabX\r\n"} {
		e := &recorder{}
		l := NewLink(e, func() int64 { return 1_000_000 })
		l.SetClasses([]string{"look"}, []bool{true})
		e.attach(t, l, "")
		l.Run(&core.Request{TryID: "a", Deadline: 5_000_000})
		l.Run(&core.Request{TryID: "b", Deadline: 5_000_000})
		e.feed(t, l, "NOTE 1 hi\r\n")
		if _, err := l.Feed([]byte(bad)); err == nil {
			t.Errorf("%q is accepted", bad)
		}
		l.ConnectionLost()
		e.sent = nil
		e.attach(t, l, "DONE 3 b complete 5 0\r\n\r\n")
		if e.sent[0] != "ATTACH 2\r\n" {
			t.Errorf("after %q: %q", bad, e.sent[0])
		}
		if got, want := fmt.Sprint(e.ended), fmt.Sprintf("[a %d b %d]", kiteslip.Failed, kiteslip.OK); got != want {
			t.Errorf("after %q: %s, want %s", bad, got, want)
		}
	}
	// A number that is not the next one is ignored.
	e := &recorder{}
	l := NewLink(e, func() int64 { return 1_000_000 })
	e.attach(t, l, "")
	if _, err := l.Feed([]byte("DONE 9000 a whatever 5 0\r\n\r\n")); err == nil {
		t.Error("a malformed notice is accepted")
	}
	l.ConnectionLost()
	e.sent = nil
	l.Attach(e.send)
	if e.sent[0] != "ATTACH 0\r\n" {
		t.Errorf("%q", e.sent[0])
	}
}
