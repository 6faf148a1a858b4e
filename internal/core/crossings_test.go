package core

import (
	"testing"

	"kiteslip"
)

// shortSite has a window for repeats that is shorter than a run may be.
func shortSite(window int64) kiteslip.Settings {
	s := site()
	s.Classes[1].Window = window
	return s
}

// loose is a book that judges no run by the window of its own site.
func loose(t *testing.T, window int64) *book {
	b := newBookOf(t, shortSite(window))
	b.lastRun = map[string]*Request{}
	return b
}

// keyedRuns counts the runs of the keyed class so far.
func (b *book) keyedRuns() int {
	n := 0
	for r := range b.ran {
		if r.Class == 1 && b.ran[r] {
			n++
		}
	}
	return n
}

// A try that comes outside the window of one that still runs takes its result:
// two runs of one request never go on at once.
func TestWindowShorterThanARun(t *testing.T) {
	b := loose(t, 100_000)
	first := b.arrive(1, "k", 0, 1_400_000)
	b.core.Step(b.now)
	if len(b.running) != 1 {
		t.Fatalf("%d run", len(b.running))
	}
	delete(b.lastRun, "k")
	b.pass(400_000) // the window and its margin are over
	second := b.arrive(1, "k", 0, 900_000)
	b.core.Step(b.now)
	if len(b.running) != 1 {
		t.Fatalf("%d run at once", len(b.running))
	}
	b.finish(0, kiteslip.OK)
	b.core.Step(b.now)
	for _, r := range []*Request{first, second} {
		if a := b.answers[r]; len(a) != 1 || a[0].Code != Served {
			t.Errorf("%s: %+v", r.TryID, a)
		}
	}
	b.pass(400_000)
	third := b.arrive(1, "k", 0, 900_000) // nothing stands in its way now
	b.core.Step(b.now)
	if len(b.running) != 1 || b.running[0] != third {
		t.Errorf("%d run", len(b.running))
	}
}

// A window that shrinks while requests are in hand opens nothing that the older
// one forbade, for those that have run and for those that are yet to run.
func TestWindowShrinks(t *testing.T) {
	for _, begun := range []bool{true, false} {
		b := newBook(t) // 3 s
		first := b.arrive(1, "k", 0, 1_400_000)
		if begun {
			b.core.Step(b.now)
		}
		if err := b.core.Reconfigure(shortSite(0), nil, nil); err != nil {
			t.Fatal(err)
		}
		b.core.Step(b.now)
		if len(b.running) != 1 || b.running[0] != first {
			t.Fatalf("begun before %v: %d run", begun, len(b.running))
		}
		b.finish(0, kiteslip.OK)
		b.core.Step(b.now)
		b.pass(2_500_000)
		second := b.arrive(1, "k", 0, 1_400_000) // Run fails the test
		b.core.Step(b.now)
		if a := b.answers[second]; len(a) != 1 || a[0].Code != Served {
			t.Errorf("begun before %v: %+v", begun, a)
		}
	}
}

// The window of a try whose caller's clock is ahead is counted from its stamp.
func TestWindowOfAStampAhead(t *testing.T) {
	b := loose(t, 1_000_000)
	b.arrive(1, "k", -2_000_000, 1_400_000)
	b.core.Step(b.now)
	b.finish(0, kiteslip.OK)
	b.core.Step(b.now)
	delete(b.lastRun, "k")
	b.pass(2_500_000) // within 1 s of the stamp
	second := b.arrive(1, "k", 0, 1_400_000)
	b.core.Step(b.now)
	if a := b.answers[second]; len(b.running) > 0 || len(a) != 1 || a[0].Code != Served {
		t.Errorf("%d run, %+v", len(b.running), a)
	}
}

// A repeat exactly at the edge of the window, and its margin, takes the result.
func TestRepeatAtTheEdge(t *testing.T) {
	for late, runs := range map[int64]int{0: 1, 1: 2} {
		b := loose(t, 1_000_000)
		b.arrive(1, "k", 0, 1_400_000)
		b.core.Step(b.now)
		b.finish(0, kiteslip.OK)
		b.core.Step(b.now)
		delete(b.lastRun, "k")
		b.pass(1_000_000 + keyMargin + late)
		b.arrive(1, "k", 0, 1_400_000)
		b.core.Step(b.now)
		if got := b.keyedRuns(); got != runs {
			t.Errorf("%d us past the edge: %d runs, want %d", late, got, runs)
		}
	}
}

// A longer grace that comes while the process leaves lets nothing more run.
func TestGraceIsThatOfTheNotice(t *testing.T) {
	short := site()
	short.DrainGrace = 100_000
	b := newBookOf(t, short)
	b.core.Drain(b.now, b.now+20_000_000)
	b.core.Step(b.now)
	if err := b.core.Reconfigure(site(), nil, nil); err != nil {
		t.Fatal(err)
	}
	b.pass(200_000)
	late := b.arrive(0, "", 0, 1_400_000)
	b.core.Step(b.now)
	if a := b.answers[late]; len(b.running) > 0 || len(a) != 1 || a[0].Code != Refused {
		t.Errorf("%d run, %+v", len(b.running), a)
	}
}

// Whatever runs or is held when the process ends is answered, once each.
func TestConclude(t *testing.T) {
	b := newBook(t)
	held := b.arrive(0, "", 0, 1_400_000)
	keyed := b.arrive(1, "k", 0, 1_400_000)
	b.core.Step(b.now)
	fresh := b.arrive(0, "", 0, 1_400_000)
	repeat := b.arrive(1, "k", 0, 1_400_000)
	if n := b.core.AnswerOutstanding(); n != 4 || b.core.Outstanding() != 0 {
		t.Errorf("%d concluded, %d owed", n, b.core.Outstanding())
	}
	for r, code := range map[*Request]Code{held: Failed, keyed: Failed, fresh: Refused} {
		if a := b.answers[r]; len(a) != 1 || a[0].Code != code {
			t.Errorf("%s: %+v, want %d", r.TryID, a, code)
		}
	}
	if a := b.answers[repeat]; len(a) != 1 || a[0].Code == Served {
		t.Errorf("the repeat: %+v", a)
	}
	if n := b.core.AnswerOutstanding(); n != 0 {
		t.Errorf("%d are concluded twice", n)
	}
	for len(b.running) > 0 {
		b.finish(0, kiteslip.OK)
	}
	b.core.Step(b.now)
}
