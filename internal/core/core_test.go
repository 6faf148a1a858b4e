package core

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
)

// site is a small site: a read, and a keyed class with a window of 3 s.
func site() kiteslip.Settings {
	return kiteslip.Settings{
		Cores: 2, MemoryKB: 4000, RunFactor: 4, KeyKB: 20, Tick: 4000, MaxRetryAfter: 1_000_000,
		DrainGrace: 2_000_000, AnswerSlack: 60_000, MaxRunsPerCore: 8, MaxRunsWindow: 1_500_000,
		Classes: []kiteslip.Class{
			{Effect: kiteslip.Repeatable, TargetTime: 500_000, Timeout: 1_500_000, Worth: 1},
			{Effect: kiteslip.Keyed, TargetTime: 500_000, Timeout: 1_500_000, Worth: 4, Window: 3_000_000},
		},
	}
}

// book is the model: what the rules allow, kept beside the Core.
type book struct {
	t       failer
	core    *Core
	now     int64
	sent    []*Request
	running []*Request
	ran     map[*Request]bool
	answers map[*Request][]Answer
	gone    map[*Request]bool
	lastRun map[string]*Request // by key
	drained int64
}

type failer interface{ Fatalf(string, ...any) }

func newBook(t failer) *book { return newBookOf(t, site()) }

func newBookOf(t failer, module kiteslip.Settings) *book {
	b := &book{t: t, now: 1_000_000_000, ran: map[*Request]bool{}, answers: map[*Request][]Answer{},
		gone: map[*Request]bool{}, lastRun: map[string]*Request{}}
	var err error
	if b.core, err = New(Settings{Policy: module, Seed: 7}, b); err != nil {
		t.Fatalf("%v", err)
	}
	b.core.Step(b.now)
	return b
}

// Run checks each start against the rules on keys and drains.
func (b *book) Run(r *Request) {
	if b.ran[r] || len(b.answers[r]) > 0 {
		b.t.Fatalf("%s starts though it ran or was answered", r.TryID)
	}
	b.ran[r] = true
	b.running = append(b.running, r)
	if b.drained != 0 && r.Arrived > b.drained+site().DrainGrace {
		b.t.Fatalf("%s starts, %d us after the notice to leave", r.TryID, r.Arrived-b.drained)
	}
	if r.Key != "" {
		if o := b.lastRun[r.Key]; o != nil && r.Arrived <= o.Arrived+site().Classes[1].Window+50_000 {
			b.t.Fatalf("%s runs within the window of %s", r.TryID, o.TryID)
		}
		b.lastRun[r.Key] = r
	}
}

// caller takes the answers of one request.
type caller struct {
	b *book
	r *Request
}

func (c caller) Answer(_ uint32, a Answer) {
	b, r := c.b, c.r
	if b.answers[r] = append(b.answers[r], a); len(b.answers[r]) > 1 || b.gone[r] {
		b.t.Fatalf("%s: a second answer, or one that nobody waits for: %+v", r.TryID, b.answers[r])
	}
	switch {
	case a.Code == Refused && b.ran[r]:
		b.t.Fatalf("%s was run and is refused", r.TryID)
	case a.Code == Served && string(a.Result) != "of "+string(r.Body) && r.Key == "":
		b.t.Fatalf("%s is served with %q", r.TryID, a.Result)
	case a.Code == Served && r.Key != "" && string(a.Result) != "of "+r.Key:
		b.t.Fatalf("%s is served with %q", r.TryID, a.Result)
	}
}

func (b *book) arrive(class int, key string, late, patience int64) *Request {
	name := fmt.Sprintf("%016x", len(b.sent)+1)
	r := &Request{TryID: name, Class: class, Key: key, Arrived: b.now - late, Deadline: b.now - late + patience,
		SizeKB: 20, Body: []byte(name)}
	if key != "" {
		r.Body = []byte(key)
	}
	r.ReplyTo = caller{b, r}
	if err := b.core.Submit(b.now, r); err != nil {
		b.t.Fatalf("%v", err)
	}
	b.sent = append(b.sent, r)
	return r
}

func (b *book) finish(i int, outcome kiteslip.Outcome) {
	r := b.running[i]
	b.running = append(b.running[:i], b.running[i+1:]...)
	if outcome == kiteslip.NotStarted {
		b.ran[r] = false
		if b.lastRun[r.Key] == r {
			delete(b.lastRun, r.Key)
		}
	}
	b.core.Done(r, outcome, 1000, []byte("of "+string(r.Body)))
}

// pass lets time go by as the server's loop does, with a Step at each timer.
func (b *book) pass(span int64) {
	for end := b.now + span; ; {
		b.core.Step(b.now)
		next := b.core.NextStep()
		if next == 0 || next >= end {
			b.now = end
			b.core.Step(b.now)
			break
		}
		b.now = max(next, b.now+1)
	}
	for _, r := range b.sent {
		if b.now > r.Deadline+60_000 && len(b.answers[r]) == 0 && !b.gone[r] {
			b.t.Fatalf("%s has no answer %d us past its due time", r.TryID, b.now-r.Deadline)
		}
	}
}

func TestRulesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBook(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "many") {
					class := rapid.IntRange(0, 1).Draw(t, "class")
					key := ""
					if class == 1 {
						key = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
					}
					b.arrive(class, key, rapid.Int64Range(0, 300_000).Draw(t, "late"), rapid.Int64Range(0, 1_500_000).Draw(t, "patience"))
				}
			},
			"end": func(t *rapid.T) {
				if len(b.running) == 0 {
					t.Skip("nothing runs")
				}
				b.finish(rapid.IntRange(0, len(b.running)-1).Draw(t, "which"),
					rapid.SampledFrom([]kiteslip.Outcome{kiteslip.OK, kiteslip.OK, kiteslip.Failed, kiteslip.Cancelled, kiteslip.NotStarted}).Draw(t, "how"))
			},
			"gone": func(t *rapid.T) {
				if len(b.sent) == 0 {
					t.Skip("nothing was sent")
				}
				r := rapid.SampledFrom(b.sent).Draw(t, "who")
				if len(b.answers[r]) == 0 {
					b.gone[r] = true
				}
				b.core.Disconnected(r)
			},
			"pass": func(t *rapid.T) { b.pass(rapid.Int64Range(1, 900_000).Draw(t, "span")) },
			"drain": func(t *rapid.T) {
				if b.drained != 0 || rapid.IntRange(0, 4).Draw(t, "rare") > 0 {
					t.Skip("once, and seldom")
				}
				b.drained = b.now
				b.core.Drain(b.now, b.now+3_500_000)
			},
		})
		b.pass(2_000_000)
		if b.core.Outstanding() != 0 {
			t.Fatalf("%d requests are owed an answer", b.core.Outstanding())
		}
		for len(b.running) > 0 {
			b.finish(0, kiteslip.OK)
		}
		b.pass(8_000_000) // all windows close
		if requests, keys := b.core.Tracked(); requests != 0 || keys != 0 {
			t.Fatalf("%d requests and %d keys are left", requests, keys)
		}
	})
}

// one returns the only answer of r.
func (b *book) one(r *Request) Answer {
	if len(b.answers[r]) != 1 {
		b.t.Fatalf("%s has answers %+v, want one", r.TryID, b.answers[r])
	}
	return b.answers[r][0]
}

func TestLaterTryTakesResult(t *testing.T) {
	b := newBook(t)
	first := b.arrive(1, "k", 0, 1_500_000)
	twin := b.arrive(1, "k", 0, 1_500_000) // in the same batch
	b.pass(10_000)
	during := b.arrive(1, "k", 0, 1_500_000)
	b.pass(10_000)
	if len(b.running) != 1 || b.running[0] != first {
		t.Fatalf("%d run, want the first alone", len(b.running))
	}
	b.finish(0, kiteslip.OK)
	b.pass(10_000)
	after := b.arrive(1, "k", 0, 1_500_000)
	b.pass(10_000)
	for _, r := range []*Request{first, twin, during, after} {
		if a := b.one(r); a.Code != Served || string(a.Result) != "of k" {
			t.Errorf("%s: %+v", r.TryID, a)
		}
	}
	b.pass(3_200_000) // past the window
	again := b.arrive(1, "k", 0, 1_500_000)
	b.pass(10_000)
	if !b.ran[again] {
		t.Error("after the window the key does not run anew")
	}
}

// A caller that leaves does not undo the run: the next try takes the result.
func TestResultOutlivesCaller(t *testing.T) {
	b := newBook(t)
	first := b.arrive(1, "k", 0, 1_500_000)
	b.pass(10_000)
	b.gone[first] = true
	b.core.Disconnected(first)
	next := b.arrive(1, "k", 0, 1_500_000)
	b.pass(10_000)
	b.finish(0, kiteslip.OK)
	b.pass(10_000)
	if a := b.one(next); a.Code != Served || b.ran[next] {
		t.Errorf("%+v, ran %v", a, b.ran[next])
	}
}

// What the module gives up is answered in the same step, with the advice.
func TestRefusalIsImmediate(t *testing.T) {
	b := newBook(t)
	for range 400 { // twice the memory
		b.arrive(0, "", 0, 1_500_000)
	}
	b.core.Step(b.now)
	refused := 0
	for _, answers := range b.answers {
		if refused++; answers[0].Code != Refused || answers[0].RetryAfter <= 0 {
			t.Errorf("%+v, want a refusal with advice", answers[0])
		}
	}
	if refused < 200 {
		t.Errorf("%d of 400 are refused in the step that read them, want 200 at least", refused)
	}
}

// A safe request that runs is failed when it is given up, never refused.
func TestNoRefusalAfterRun(t *testing.T) {
	b := newBook(t)
	r := b.arrive(0, "", 0, 300_000)
	b.pass(400_000)
	if a := b.one(r); !b.ran[r] || a.Code != Failed || a.Cause != DeadlineExceeded {
		t.Errorf("ran %v, %+v, want a failure", b.ran[r], a)
	}
}

func TestOverdueArrival(t *testing.T) {
	b := newBook(t)
	r := b.arrive(0, "", 2_000_000, 1_000_000)
	b.core.Step(b.now)
	if a := b.one(r); a.Code == Served || b.ran[r] {
		t.Errorf("%+v, ran %v", a, b.ran[r])
	}
}

func TestRunPastDue(t *testing.T) {
	b := newBook(t)
	r := b.arrive(1, "k", 0, 400_000)
	b.pass(500_000)
	if a := b.one(r); a.Code != Failed || a.Cause != DeadlineExceeded {
		t.Errorf("%+v, want overdue", a)
	}
}

func TestArriveErrors(t *testing.T) {
	b := newBook(t)
	r := b.arrive(0, "", 0, 1_000_000)
	if err := b.core.Submit(b.now, &Request{TryID: r.TryID, Deadline: b.now + 1_000_000, ReplyTo: caller{b, r}}); err == nil {
		t.Error("a second request of one name was taken")
	}
	if err := b.core.Submit(b.now, &Request{TryID: "x", Class: 1, Deadline: b.now + 1_000_000}); err == nil {
		t.Error("a keyed request without a key was taken")
	}
}

// Where the site allows it, reads of one subject share an answer for a while.
func TestReadsShareResult(t *testing.T) {
	module := site()
	module.ReuseFor = 200_000
	b := newBookOf(t, module)
	read := func(subject uint64) *Request {
		r := b.arrive(0, "", 0, 1_500_000)
		b.core.Disconnected(r) // only its shape is wanted: it is sent again with a subject
		b.gone[r] = true
		r = &Request{TryID: r.TryID + "s", Arrived: b.now, Deadline: b.now + 1_500_000, SizeKB: 20, Subject: subject, Body: []byte("body")}
		r.ReplyTo = caller{b, r}
		if err := b.core.Submit(b.now, r); err != nil {
			t.Fatal(err)
		}
		b.sent = append(b.sent, r)
		b.pass(10_000)
		return r
	}
	first, during, other := read(1), read(1), read(2)
	b.finish(0, kiteslip.OK)
	b.pass(100_000)
	after := read(1)
	b.pass(300_000)
	late := read(1)
	for r, ran := range map[*Request]bool{first: true, during: false, other: true, after: false, late: true} {
		if b.ran[r] != ran {
			t.Errorf("%s of subject %d: ran %v, want %v", r.TryID, r.Subject, b.ran[r], ran)
		}
	}
	for _, r := range []*Request{first, during, after} {
		if a := b.one(r); a.Code != Served {
			t.Errorf("%s: %+v", r.TryID, a)
		}
	}
}

// A stamp ahead of the clock does not move the window of its key.
func TestStampAhead(t *testing.T) {
	b := newBook(t)
	b.arrive(1, "k", 0, 1_500_000)
	b.pass(10_000)
	b.finish(0, kiteslip.OK)
	b.pass(10_000)
	ahead := b.arrive(1, "k", -4_000_000, 1_500_000)
	b.pass(10_000)
	if a := b.one(ahead); b.ran[ahead] || a.Code != Served {
		t.Errorf("ran %v, %+v", b.ran[ahead], a)
	}
}

// A run that the engine stops unasked has failed, and gives its place back.
func TestCancelledRunGivesPlaceBack(t *testing.T) {
	b := newBook(t)
	for range site().Cores + 1 { // few enough that the module does not take the server for a failing one
		r := b.arrive(0, "", 0, 1_500_000)
		b.pass(10_000)
		if len(b.running) != 1 {
			t.Fatalf("%d run, want one", len(b.running))
		}
		b.finish(0, kiteslip.Cancelled)
		b.pass(10_000)
		if a := b.one(r); a.Code != Failed {
			t.Fatalf("%+v", a)
		}
	}
}

// Figures that no caller can mean stay out of what the module learns.
func TestWildFiguresStayOut(t *testing.T) {
	b := newBook(t)
	limit := site().Classes[0].Timeout
	for what, r := range map[string]*Request{
		"a stamp from the future":  {Arrived: b.now + 60_000_000, Deadline: b.now + 61_000_000},
		"a stamp from long ago":    {Arrived: 0, Deadline: limit},
		"a caller that never ends": {Arrived: b.now, Deadline: b.now + 1000*limit},
	} {
		r.TryID, r.SizeKB, r.ReplyTo = what, 20, caller{b, r}
		err := b.core.Submit(b.now, r)
		if late := r.Arrived == 0; late != (err == nil) || late != (len(b.answers[r]) == 1) {
			t.Errorf("%s: %v, answers %v", what, err, b.answers[r])
		}
	}
	if n, _ := b.core.Tracked(); n != 0 || b.core.Pending() || b.core.Outstanding() != 0 {
		t.Errorf("%d are held, pending %v, owed %d", n, b.core.Pending(), b.core.Outstanding())
	}
}

// A key stands for one body; a try with another one is not taken for a repeat.
func TestKeyWithAnotherBody(t *testing.T) {
	b := newBook(t)
	b.arrive(1, "k", 0, 1_000_000)
	other := &Request{TryID: "other", Class: 1, Key: "k", Arrived: b.now, Deadline: b.now + 1_000_000, SizeKB: 20, Body: []byte("x")}
	if err := b.core.Submit(b.now, other); err == nil {
		t.Error("it is taken while the first is held")
	}
	b.core.Step(b.now)
	b.finish(0, kiteslip.OK)
	if err := b.core.Submit(b.now, other); err == nil {
		t.Error("it is taken after the first has run")
	}
	if r := b.arrive(1, "k", 0, 1_000_000); r == nil {
		t.Error("a repeat with the same body is not taken")
	}
}

// A window that grows holds for keys that have run under the shorter one.
func TestRetuneKeepsKeys(t *testing.T) {
	b := newBook(t)
	first := b.arrive(1, "k", 0, 1_000_000)
	b.pass(5_000)
	b.finish(0, kiteslip.OK)
	longer := site()
	longer.Classes = append([]kiteslip.Class(nil), longer.Classes...)
	longer.Classes[1].Window = 8_000_000
	longer.Classes = append(longer.Classes, kiteslip.Class{Effect: kiteslip.Repeatable, TargetTime: 500_000, Timeout: 1_500_000, Worth: 1})
	if err := b.core.Reconfigure(longer, nil, nil); err != nil {
		t.Fatal(err)
	}
	b.pass(5_000_000)
	again, fresh := b.arrive(1, "k", 0, 1_000_000), b.arrive(2, "", 0, 1_000_000)
	b.pass(5_000)
	b.finish(0, kiteslip.OK)
	for _, r := range []*Request{first, again, fresh} {
		if got := b.answers[r]; len(got) != 1 || got[0].Code != Served {
			t.Errorf("%s: %+v", r.TryID, got)
		}
	}
	if b.ran[again] {
		t.Error("the key ran again within its longer window")
	}
	for what, s := range map[string]kiteslip.Settings{"fewer classes": site(), "no cores": {}} {
		if b.core.Reconfigure(s, nil, nil) == nil {
			t.Errorf("%s are taken", what)
		}
	}
}
