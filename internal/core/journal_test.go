package core

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
)

// disk is a journal whose writes wait until the test lets them happen.
type disk struct {
	kept  map[string]Record // durable, by try
	queue []func(fail bool) (token uint32)
}

func newDisk() *disk { return &disk{kept: map[string]Record{}} }

func (d *disk) put(token uint32, r Record, never bool) {
	at := fmt.Sprint(r.Class, "/", r.Key, "/", r.Arrived, "/", r.TryID)
	r.Result = append([]byte(nil), r.Result...)
	d.queue = append(d.queue, func(fail bool) uint32 {
		if !fail {
			if d.kept[at] = r; never {
				delete(d.kept, at)
			}
		}
		return token
	})
}
func (d *disk) Begin(token uint32, r Record) { d.put(token, r, false) }
func (d *disk) End(token uint32, r Record)   { d.put(token, r, false) }
func (d *disk) Delete(r Record)              { d.put(0, r, true) }

// flush lets the next writes happen, or fail.
func (d *disk) flush(b *book, n int, fail bool) {
	for ; n > 0 && len(d.queue) > 0; n-- {
		f := d.queue[0]
		d.queue = d.queue[1:]
		var err error
		if fail {
			err = errors.New("disk")
		}
		if token := f(fail); token != 0 {
			b.core.Recorded(b.now, token, err)
		}
	}
}

// life starts a process that reads what the disk holds.
func (d *disk) life(t failer, last *book) *book {
	b := newBook(t)
	d.queue = nil
	if last != nil {
		b.now, b.lastRun = last.now, last.lastRun
		b.core.Step(b.now)
	}
	merged := map[string]Record{}
	for _, r := range d.kept {
		at := keyName(r.Class, r.Key)
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
		b.core.ImportRecord(r)
	}
	b.core.SetJournal(d, false)
	return b
}

// A process is killed after each step of a run: no key runs twice, a result
// that was recorded is given again, what was only begun is told as such, and
// what never began runs.
func TestKilledAfterEachStep(t *testing.T) {
	t.Parallel()
	var d *disk
	steps := []struct {
		name string
		do   func(b *book)
		want string // of a repeat in the next life
	}{
		{"arrived", func(b *book) { b.arrive(1, "k", 0, 1_500_000) }, "runs"},
		{"asked to be prepared", func(b *book) { b.core.Step(b.now) }, "runs"},
		{"start on record", func(b *book) { d.flush(b, 1, false) }, "unknown"},
		{"run begun", func(b *book) { b.core.Step(b.now) }, "unknown"},
		{"run over", func(b *book) { b.finish(0, kiteslip.OK) }, "unknown"},
		{"end under way", func(b *book) { b.core.Step(b.now) }, "unknown"},
		{"end on record", func(b *book) { d.flush(b, 1, false) }, "served"},
		{"answered", func(b *book) { b.core.Step(b.now) }, "served"},
	}
	for kill := range steps {
		d = newDisk()
		b := d.life(t, nil)
		for _, s := range steps[:kill+1] {
			s.do(b)
		}
		if kill == 2 && len(b.running) > 0 || kill == 3 && len(b.running) != 1 {
			t.Fatalf("%s: %d runs", steps[kill].name, len(b.running))
		}
		if kill == 5 && len(b.answers[b.sent[0]]) != 0 {
			t.Errorf("answered before the end is on record")
		}
		b = d.life(t, b)
		b.now += 1000
		r := b.arrive(1, "k", 0, 1_500_000)
		for range 4 {
			b.core.Step(b.now)
			d.flush(b, 9, false)
		}
		got := "nothing"
		switch {
		case len(b.running) > 0:
			got = "runs"
		case len(b.answers[r]) == 0:
		case b.answers[r][0].Code == Served && string(b.answers[r][0].Result) == "of k":
			got = "served"
		case b.answers[r][0].Code == Failed && b.answers[r][0].Cause == OutcomeUnknown:
			got = "unknown"
		}
		if got != steps[kill].want {
			t.Errorf("killed after %q: a repeat sees %q (%+v), want %q", steps[kill].name, got, b.answers[r], steps[kill].want)
		}
	}
}

// Whatever comes, however slow the disk is, whether it fails, and whenever the
// process is killed: the rules hold over all lives.
func TestLivesAgainstModel(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := newDisk()
		b := d.life(t, nil)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch op := rapid.IntRange(0, 11).Draw(t, "op"); op {
			case 0, 1, 2:
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				b.arrive(1, key, rapid.Int64Range(0, 100_000).Draw(t, "late"), rapid.Int64Range(200_000, 1_500_000).Draw(t, "patience"))
			case 3:
				b.arrive(0, "", 0, 1_000_000)
			case 4, 5:
				d.flush(b, rapid.IntRange(1, 4).Draw(t, "writes"), false)
			case 6:
				d.flush(b, 1, true)
			case 7, 8:
				if len(b.running) > 0 {
					b.finish(rapid.IntRange(0, len(b.running)-1).Draw(t, "which"),
						rapid.SampledFrom([]kiteslip.Outcome{kiteslip.OK, kiteslip.OK, kiteslip.Failed, kiteslip.NotStarted}).Draw(t, "outcome"))
				}
			case 9:
				if n := len(b.sent); n > 0 {
					r := b.sent[rapid.IntRange(0, n-1).Draw(t, "who")]
					if !r.answered && !b.gone[r] {
						b.gone[r] = true
						b.core.Disconnected(r)
					}
				}
			case 10:
				b = d.life(t, b)
			default:
				b.pass(rapid.Int64Range(1, 400_000).Draw(t, "span"))
			}
			if rapid.IntRange(0, 2).Draw(t, "round") > 0 {
				b.core.Step(b.now)
			}
		}
		b.pass(4_000_000) // every request has its answer by its due time, however slow the disk
		if owed := b.core.Outstanding(); owed != 0 {
			t.Fatalf("%d answers are owed at the end", owed)
		}
	})
}

// A stalled disk holds no place: other classes run as if there were none, and
// keyed requests are answered by their due time without a run.
func TestStalledDiskHoldsNoPlace(t *testing.T) {
	t.Parallel()
	d := newDisk()
	b := d.life(t, nil)
	var keyed, reads []*Request
	for i := range 6 {
		keyed = append(keyed, b.arrive(1, fmt.Sprint("k", i), 0, 1_500_000))
	}
	b.core.Step(b.now)
	for range 2 {
		reads = append(reads, b.arrive(0, "", 0, 1_500_000))
	}
	b.core.Step(b.now)
	if len(b.running) != 2 || b.running[0].Class != 0 || b.running[1].Class != 0 {
		t.Fatalf("%d run while the disk stalls, want the two reads", len(b.running))
	}
	if len(d.queue) > site().Cores {
		t.Errorf("%d starts wait for the disk on %d cores", len(d.queue), site().Cores)
	}
	for range reads {
		b.finish(0, kiteslip.OK)
	}
	b.pass(2_000_000)
	for _, r := range keyed {
		if a := b.one(r); a.Code == Served || b.ran[r] {
			t.Errorf("%s: %+v", r.TryID, a)
		}
	}
	for len(d.queue) > 0 { // what was recorded in vain is taken back
		d.flush(b, 1, false)
	}
	if len(d.kept) != 0 {
		t.Errorf("%d records stay of requests that never ran: %+v", len(d.kept), d.kept)
	}
}

// Where nothing can be recorded keyed requests are refused, or run and are counted.
func TestFailedDisk(t *testing.T) {
	t.Parallel()
	for _, unsafe := range []bool{false, true} {
		d := newDisk()
		b := d.life(t, nil)
		b.core.SetJournal(d, unsafe)
		r := b.arrive(1, "k", 0, 1_500_000)
		b.core.Step(b.now)
		d.flush(b, 1, true)
		b.core.Step(b.now)
		if b.ran[r] != unsafe || b.core.UnrecordedRuns() != len(b.running) {
			t.Errorf("unsafe %v: it ran %v, %d counted", unsafe, b.ran[r], b.core.UnrecordedRuns())
		}
		if !unsafe {
			if a := b.one(r); a.Code != Refused || a.RetryAfter == 0 {
				t.Errorf("%+v", a)
			}
			continue
		}
		b.finish(0, kiteslip.OK)
		d.flush(b, 1, true)
		if a := b.one(r); a.Code != Served {
			t.Errorf("it ran, and its end can't be recorded: %+v", a)
		}
	}
}

// A window that grows at SIGHUP is written anew, for results and for runs.
func TestLongerWindowIsRecorded(t *testing.T) {
	t.Parallel()
	d := newDisk()
	b := d.life(t, nil)
	b.arrive(1, "k", 0, 1_500_000)
	b.core.Step(b.now)
	d.flush(b, 1, false)
	b.core.Step(b.now)
	b.finish(0, kiteslip.OK)
	d.flush(b, 1, false)
	longer := site()
	longer.Classes[1].Window *= 3
	if err := b.core.Reconfigure(longer, nil, nil); err != nil {
		t.Fatal(err)
	}
	d.flush(b, 9, false)
	b = d.life(t, b)
	b.now += 2 * site().Classes[1].Window
	b.core.Step(b.now)
	r := b.arrive(1, "k", 0, 1_500_000)
	b.core.Step(b.now)
	if a := b.one(r); a.Code != Served {
		t.Errorf("within the longer window: %+v", a)
	}
}
