package engine

import (
	"fmt"
	"strings"
	"testing"

	"kiteslip"
	"kiteslip/internal/core"
)

// ends is what a link tells of runs, in order.
type ends struct {
	seen   []string
	sent   []string
	strays int
}

func (e *ends) Hello(bool, int64)            {}
func (e *ends) Stats([]float32)              {}
func (e *ends) Tested(string, bool)          {}
func (e *ends) UnexpectedNotice(_, _ string) { e.strays++ }
func (e *ends) Done(r *core.Request, outcome kiteslip.Outcome, _ int64, _ []byte) {
	e.seen = append(e.seen, fmt.Sprint(r.TryID, " ", outcome))
}
func (e *ends) NeedsCall(*core.Request, uint64, []byte) {}

func (e *ends) send(parts ...[]byte) {
	var b strings.Builder
	for _, p := range parts {
		b.Write(p)
	}
	e.sent = append(e.sent, b.String())
}

// attach brings a link up; notices are those that the engine says again.
func (e *ends) attach(t *testing.T, l *Link, notices string) {
	t.Helper()
	l.Attach(e.send)
	e.say(t, l, "HELLO hot 5\r\n"+notices+"STATS fence 0 0\r\n")
}

func (e *ends) say(t *testing.T, l *Link, text string) {
	t.Helper()
	if n, err := l.Feed([]byte(text)); err != nil || n != len(text) {
		t.Fatalf("%q: %d bytes, %v", text, n, err)
	}
}

// A run that waits for a link until it is due is not begun when the link comes:
// it ends as one that never ran, also where no link comes at all.
func TestRunThatWaitedTooLongIsNotBegun(t *testing.T) {
	for _, comes := range []bool{true, false} {
		e, now := &ends{}, int64(1_000_000)
		l := NewLink(e, func() int64 { return now })
		l.SetClasses([]string{"look"}, []bool{true})
		l.Run(&core.Request{TryID: "early", Deadline: now + 100})
		l.Run(&core.Request{TryID: "late", Deadline: now + 10_000_000})
		now += 1_000_000
		if comes {
			e.attach(t, l, "")
		} else {
			l.Expire()
		}
		if got := fmt.Sprint(e.seen); got != fmt.Sprintf("[early %d]", kiteslip.NotStarted) {
			t.Errorf("a link comes %v: %s", comes, got)
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
		if comes && runs != 1 {
			t.Errorf("%d runs are sent", runs)
		}
	}
}

// A notice that cannot be read but for its number ends its link and its run, not
// every link after it.
func TestSpoiltNoticeIsAskedForOnce(t *testing.T) {
	for _, bad := range []string{"DONE 2 a complete 5 99999999\r\n", "DONE 2 a whatever 5 0\r\n\r\n", "DONE 2 a complete x 0\r\n\r\n",
		"NEED 2 a 99999999\r\n", "DONE 2 a complete 5 2\r\nabX\r\n"} {
		e := &ends{}
		l := NewLink(e, func() int64 { return 1_000_000 })
		l.SetClasses([]string{"look"}, []bool{true})
		e.attach(t, l, "")
		l.Run(&core.Request{TryID: "a", Deadline: 5_000_000})
		l.Run(&core.Request{TryID: "b", Deadline: 5_000_000})
		e.say(t, l, "NOTE 1 hi\r\n")
		if _, err := l.Feed([]byte(bad)); err == nil {
			t.Errorf("%q passes", bad)
		}
		l.ConnectionLost()
		e.sent = nil
		e.attach(t, l, "DONE 3 b complete 5 0\r\n\r\n")
		if e.sent[0] != "ATTACH 2\r\n" {
			t.Errorf("after %q: %q", bad, e.sent[0])
		}
		if got, want := fmt.Sprint(e.seen), fmt.Sprintf("[a %d b %d]", kiteslip.Failed, kiteslip.OK); got != want {
			t.Errorf("after %q: %s, want %s", bad, got, want)
		}
	}
	// A number that cannot be the next one is not believed.
	e := &ends{}
	l := NewLink(e, func() int64 { return 1_000_000 })
	e.attach(t, l, "")
	if _, err := l.Feed([]byte("DONE 9000 a whatever 5 0\r\n\r\n")); err == nil {
		t.Error("it passes")
	}
	l.ConnectionLost()
	e.sent = nil
	l.Attach(e.send)
	if e.sent[0] != "ATTACH 0\r\n" {
		t.Errorf("%q", e.sent[0])
	}
}
