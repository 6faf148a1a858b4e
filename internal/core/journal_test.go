package core

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
)

// fakeJournal is a journal whose writes wait until the test completes them.
type fakeJournal struct {
	durable map[string]Record // by try
	pending []func(fail bool) (token uint32)
}

func newFakeJournal() *fakeJournal { return &fakeJournal{durable: map[string]Record{}} }

func (d *fakeJournal) enqueue(token uint32, r Record, remove bool) {
	at := fmt.Sprint(r.Class, "/", r.Key, "/", r.Arrived, "/", r.TryID)
	r.Result = append([]byte(nil), r.Result...)
	d.pending = append(d.pending, func(fail bool) uint32 {
		if !fail {
			if d.durable[at] = r; remove {
				delete(d.durable, at)
			}
		}
		return token
	})
}
func (d *fakeJournal) Begin(token uint32, r Record) { d.enqueue(token, r, false) }
func (d *fakeJournal) End(token uint32, r Record)   { d.enqueue(token, r, false) }
func (d *fakeJournal) Delete(r Record)              { d.enqueue(0, r, true) }

// flush completes the next n writes, or makes them fail.
func (d *fakeJournal) flush(h *harness, n int, fail bool) {
	for ; n > 0 && len(d.pending) > 0; n-- {
		f := d.pending[0]
		d.pending = d.pending[1:]
		var err error
		if fail {
			err = errors.New("disk")
		}
		if token := f(fail); token != 0 {
			h.core.Recorded(h.now, token, err)
		}
	}
}

// restart starts a process that loads the durable records.
func (d *fakeJournal) restart(t failer, previous *harness) *harness {
	h := newHarness(t)
	d.pending = nil
	if previous != nil {
		h.now, h.lastRun = previous.now, previous.lastRun
		h.core.Step(h.now)
	}
	merged := map[string]Record{}
	for _, r := range d.durable {
		at := entryName(r.Class, r.Key)
		if o, there := merged[at]; !there || r.Finished && !o.Finished || r.Finished == o.Finished && r.WindowEnd > o.WindowEnd {
			merged[at] = r
		}
	}
	for _, r := range merged {
		r.OutcomeUnknown = !r.Finished
		if !r.Finished {
			r.Outcome = kiteslip.Failed
		}
		r.Finished = true
		h.core.ImportRecord(r)
	}
	h.core.SetJournal(d, false)
	return h
}

// A process killed after any step of a run: no key runs twice, a recorded result
// is given again, a run without a recorded end gets OutcomeUnknown, and a key that
// never started runs.
func TestProcessKilledAfterEachStep(t *testing.T) {
	t.Parallel()
	var d *fakeJournal
	steps := []struct {
		name string
		do   func(h *harness)
		want string // what a retry gets from the next process
	}{
		{"arrived", func(h *harness) { h.submit(1, "k", 0, 1_500_000) }, "runs"},
		{"asked to be prepared", func(h *harness) { h.core.Step(h.now) }, "runs"},
		{"start recorded", func(h *harness) { d.flush(h, 1, false) }, "unknown"},
		{"run started", func(h *harness) { h.core.Step(h.now) }, "unknown"},
		{"run ended", func(h *harness) { h.finish(0, kiteslip.OK) }, "unknown"},
		{"end being recorded", func(h *harness) { h.core.Step(h.now) }, "unknown"},
		{"end recorded", func(h *harness) { d.flush(h, 1, false) }, "served"},
		{"answered", func(h *harness) { h.core.Step(h.now) }, "served"},
	}
	for last := range steps {
		d = newFakeJournal()
		h := d.restart(t, nil)
		for _, s := range steps[:last+1] {
			s.do(h)
		}
		if last == 2 && len(h.running) > 0 || last == 3 && len(h.running) != 1 {
			t.Fatalf("%s: %d runs", steps[last].name, len(h.running))
		}
		if last == 5 && len(h.answers[h.sent[0]]) != 0 {
			t.Errorf("answered before the end is recorded")
		}
		h = d.restart(t, h)
		h.now += 1000
		r := h.submit(1, "k", 0, 1_500_000)
		for range 4 {
			h.core.Step(h.now)
			d.flush(h, 9, false)
		}
		got := "nothing"
		switch {
		case len(h.running) > 0:
			got = "runs"
		case len(h.answers[r]) == 0:
		case h.answers[r][0].Code == Served && string(h.answers[r][0].Result) == "of k":
			got = "served"
		case h.answers[r][0].Code == Failed && h.answers[r][0].Cause == OutcomeUnknown:
			got = "unknown"
		}
		if got != steps[last].want {
			t.Errorf("killed after %q: a retry gets %q (%+v), want %q", steps[last].name, got, h.answers[r], steps[last].want)
		}
	}
}

// Random requests, journal delays and errors, and kills: the invariants hold over all processes.
func TestRestartsAgainstModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := newFakeJournal()
		h := d.restart(t, nil)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch op := rapid.IntRange(0, 11).Draw(t, "op"); op {
			case 0, 1, 2:
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				h.submit(1, key, rapid.Int64Range(0, 100_000).Draw(t, "late"), rapid.Int64Range(200_000, 1_500_000).Draw(t, "patience"))
			case 3:
				h.submit(0, "", 0, 1_000_000)
			case 4, 5:
				d.flush(h, rapid.IntRange(1, 4).Draw(t, "writes"), false)
			case 6:
				d.flush(h, 1, true)
			case 7, 8:
				if len(h.running) > 0 {
					h.finish(rapid.IntRange(0, len(h.running)-1).Draw(t, "which"),
						rapid.SampledFrom([]kiteslip.Outcome{kiteslip.OK, kiteslip.OK, kiteslip.Failed, kiteslip.NotStarted}).Draw(t, "outcome"))
				}
			case 9:
				if n := len(h.sent); n > 0 {
					r := h.sent[rapid.IntRange(0, n-1).Draw(t, "who")]
					if !r.answered && !h.disconnected[r] {
						h.disconnected[r] = true
						h.core.Disconnected(r)
					}
				}
			case 10:
				h = d.restart(t, h)
			default:
				h.advance(rapid.Int64Range(1, 400_000).Draw(t, "span"))
			}
			if rapid.IntRange(0, 2).Draw(t, "round") > 0 {
				h.core.Step(h.now)
			}
		}
		h.advance(4_000_000) // every request is answered by its deadline, however slow the journal
		if outstanding := h.core.Outstanding(); outstanding != 0 {
			t.Fatalf("%d answers are outstanding at the end", outstanding)
		}
	})
}

// A stalled journal occupies no running slot: other classes run as usual, and
// keyed requests are answered by their deadline without a run.
func TestStalledJournalHoldsNoSlot(t *testing.T) {
	t.Parallel()
	d := newFakeJournal()
	h := d.restart(t, nil)
	var keyed, reads []*Request
	for i := range 6 {
		keyed = append(keyed, h.submit(1, fmt.Sprint("k", i), 0, 1_500_000))
	}
	h.core.Step(h.now)
	for range 2 {
		reads = append(reads, h.submit(0, "", 0, 1_500_000))
	}
	h.core.Step(h.now)
	if len(h.running) != 2 || h.running[0].Class != 0 || h.running[1].Class != 0 {
		t.Fatalf("%d runs in progress while the journal stalls, want the two reads", len(h.running))
	}
	if len(d.pending) > testSettings().Cores {
		t.Errorf("%d starts wait for the journal on %d cores", len(d.pending), testSettings().Cores)
	}
	for range reads {
		h.finish(0, kiteslip.OK)
	}
	h.advance(2_000_000)
	for _, r := range keyed {
		if a := h.onlyAnswer(r); a.Code == Served || h.ran[r] {
			t.Errorf("%s: %+v", r.TryID, a)
		}
	}
	for len(d.pending) > 0 { // records of requests that never ran are deleted
		d.flush(h, 1, false)
	}
	if len(d.durable) != 0 {
		t.Errorf("%d records of requests that never ran remain: %+v", len(d.durable), d.durable)
	}
}

// While the journal fails, keyed requests are refused, or with failOpen run and are counted.
func TestFailedJournal(t *testing.T) {
	t.Parallel()
	for _, failOpen := range []bool{false, true} {
		d := newFakeJournal()
		h := d.restart(t, nil)
		h.core.SetJournal(d, failOpen)
		r := h.submit(1, "k", 0, 1_500_000)
		h.core.Step(h.now)
		d.flush(h, 1, true)
		h.core.Step(h.now)
		if h.ran[r] != failOpen || h.core.UnrecordedRuns() != len(h.running) {
			t.Errorf("failOpen %v: ran %v, %d counted", failOpen, h.ran[r], h.core.UnrecordedRuns())
		}
		if !failOpen {
			if a := h.onlyAnswer(r); a.Code != Refused || a.RetryAfter == 0 {
				t.Errorf("%+v", a)
			}
			continue
		}
		h.finish(0, kiteslip.OK)
		d.flush(h, 1, true)
		if a := h.onlyAnswer(r); a.Code != Served {
			t.Errorf("ran, but the end could not be recorded: %+v", a)
		}
	}
}

// A window that becomes longer is written to the journal again, for finished and for running keys.
func TestLongerWindowIsRecorded(t *testing.T) {
	t.Parallel()
	d := newFakeJournal()
	h := d.restart(t, nil)
	h.submit(1, "k", 0, 1_500_000)
	h.core.Step(h.now)
	d.flush(h, 1, false)
	h.core.Step(h.now)
	h.finish(0, kiteslip.OK)
	d.flush(h, 1, false)
	longer := testSettings()
	longer.Classes[1].Window *= 3
	if err := h.core.Reconfigure(longer, nil, nil); err != nil {
		t.Fatal(err)
	}
	d.flush(h, 9, false)
	h = d.restart(t, h)
	h.now += 2 * testSettings().Classes[1].Window
	h.core.Step(h.now)
	r := h.submit(1, "k", 0, 1_500_000)
	h.core.Step(h.now)
	if a := h.onlyAnswer(r); a.Code != Served {
		t.Errorf("within the longer window: %+v", a)
	}
}
