package core

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
)

// testSettings has two classes: a read, and a keyed class with a window of 3 s.
func testSettings() kiteslip.Settings {
	return kiteslip.Settings{
		Cores: 2, MemoryKB: 4000, RunFactor: 4, KeyKB: 20, Tick: 4000, MaxRetryAfter: 1_000_000,
		DrainGrace: 2_000_000, AnswerSlack: 60_000, MaxRunsPerCore: 8, MaxRunsWindow: 1_500_000,
		Classes: []kiteslip.Class{
			{Effect: kiteslip.Repeatable, TargetTime: 500_000, Timeout: 1_500_000, Worth: 1},
			{Effect: kiteslip.Keyed, TargetTime: 500_000, Timeout: 1_500_000, Worth: 4, Window: 3_000_000},
		},
	}
}

// harness runs a Core and checks its answers and runs against a model of the invariants.
type harness struct {
	t            failer
	core         *Core
	now          int64
	sent         []*Request
	running      []*Request
	ran          map[*Request]bool
	answers      map[*Request][]Answer
	disconnected map[*Request]bool
	lastRun      map[string]*Request // by key
	drainedAt    int64
}

type failer interface{ Fatalf(string, ...any) }

func newHarness(t failer) *harness { return newHarnessWith(t, testSettings()) }

func newHarnessWith(t failer, settings kiteslip.Settings) *harness {
	h := &harness{t: t, now: 1_000_000_000, ran: map[*Request]bool{}, answers: map[*Request][]Answer{},
		disconnected: map[*Request]bool{}, lastRun: map[string]*Request{}}
	var err error
	if h.core, err = New(Settings{Policy: settings, Seed: 7}, h); err != nil {
		t.Fatalf("%v", err)
	}
	h.core.Step(h.now)
	return h
}

// Run checks each start against the invariants of keys and drains.
func (h *harness) Run(r *Request) {
	if h.ran[r] || len(h.answers[r]) > 0 {
		h.t.Fatalf("%s starts although it ran or was answered before", r.TryID)
	}
	h.ran[r] = true
	h.running = append(h.running, r)
	if h.drainedAt != 0 && r.Arrived > h.drainedAt+testSettings().DrainGrace {
		h.t.Fatalf("%s starts and arrived %d us after the shutdown notice", r.TryID, r.Arrived-h.drainedAt)
	}
	if r.Key != "" {
		if o := h.lastRun[r.Key]; o != nil && r.Arrived <= o.Arrived+testSettings().Classes[1].Window+50_000 {
			h.t.Fatalf("%s runs within the window of %s", r.TryID, o.TryID)
		}
		h.lastRun[r.Key] = r
	}
}

// caller receives and checks the answers to one request.
type caller struct {
	harness *harness
	r       *Request
}

func (c caller) Answer(_ uint32, a Answer) {
	h, r := c.harness, c.r
	if h.answers[r] = append(h.answers[r], a); len(h.answers[r]) > 1 || h.disconnected[r] {
		h.t.Fatalf("%s: a second answer, or one after the caller disconnected: %+v", r.TryID, h.answers[r])
	}
	switch {
	case a.Code == Refused && h.ran[r]:
		h.t.Fatalf("%s is refused although it ran", r.TryID)
	case a.Code == Served && string(a.Result) != "of "+string(r.Body) && r.Key == "":
		h.t.Fatalf("%s is served with %q", r.TryID, a.Result)
	case a.Code == Served && r.Key != "" && string(a.Result) != "of "+r.Key:
		h.t.Fatalf("%s is served with %q", r.TryID, a.Result)
	}
}

func (h *harness) submit(class int, key string, late, timeout int64) *Request {
	name := fmt.Sprintf("%016x", len(h.sent)+1)
	r := &Request{TryID: name, Class: class, Key: key, Arrived: h.now - late, Deadline: h.now - late + timeout,
		SizeKB: 20, Body: []byte(name)}
	if key != "" {
		r.Body = []byte(key)
	}
	r.ReplyTo = caller{h, r}
	if err := h.core.Submit(h.now, r); err != nil {
		h.t.Fatalf("%v", err)
	}
	h.sent = append(h.sent, r)
	return r
}

func (h *harness) finish(i int, outcome kiteslip.Outcome) {
	r := h.running[i]
	h.running = append(h.running[:i], h.running[i+1:]...)
	if outcome == kiteslip.NotStarted {
		h.ran[r] = false
		if h.lastRun[r.Key] == r {
			delete(h.lastRun, r.Key)
		}
	}
	h.core.Done(r, outcome, 1000, []byte("of "+string(r.Body)))
}

// advance moves the clock as the server's loop does, with a Step at each timer.
func (h *harness) advance(span int64) {
	for end := h.now + span; ; {
		h.core.Step(h.now)
		next := h.core.NextStep()
		if next == 0 || next >= end {
			h.now = end
			h.core.Step(h.now)
			break
		}
		h.now = max(next, h.now+1)
	}
	for _, r := range h.sent {
		if h.now > r.Deadline+60_000 && len(h.answers[r]) == 0 && !h.disconnected[r] {
			h.t.Fatalf("%s has no answer %d us after its deadline", r.TryID, h.now-r.Deadline)
		}
	}
}

func TestCoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "many") {
					class := rapid.IntRange(0, 1).Draw(t, "class")
					key := ""
					if class == 1 {
						key = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
					}
					h.submit(class, key, rapid.Int64Range(0, 300_000).Draw(t, "late"), rapid.Int64Range(0, 1_500_000).Draw(t, "patience"))
				}
			},
			"end": func(t *rapid.T) {
				if len(h.running) == 0 {
					t.Skip("no run in progress")
				}
				h.finish(rapid.IntRange(0, len(h.running)-1).Draw(t, "which"),
					rapid.SampledFrom([]kiteslip.Outcome{kiteslip.OK, kiteslip.OK, kiteslip.Failed, kiteslip.Cancelled, kiteslip.NotStarted}).Draw(t, "how"))
			},
			"gone": func(t *rapid.T) {
				if len(h.sent) == 0 {
					t.Skip("no request sent yet")
				}
				r := rapid.SampledFrom(h.sent).Draw(t, "who")
				if len(h.answers[r]) == 0 {
					h.disconnected[r] = true
				}
				h.core.Disconnected(r)
			},
			"pass": func(t *rapid.T) { h.advance(rapid.Int64Range(1, 900_000).Draw(t, "span")) },
			"drain": func(t *rapid.T) {
				if h.drainedAt != 0 || rapid.IntRange(0, 4).Draw(t, "rare") > 0 {
					t.Skip("drains once, and rarely")
				}
				h.drainedAt = h.now
				h.core.Drain(h.now, h.now+3_500_000)
			},
		})
		h.advance(2_000_000)
		if h.core.Outstanding() != 0 {
			t.Fatalf("%d requests were never answered", h.core.Outstanding())
		}
		for len(h.running) > 0 {
			h.finish(0, kiteslip.OK)
		}
		h.advance(8_000_000) // all windows end
		if requests, keys := h.core.Tracked(); requests != 0 || keys != 0 {
			t.Fatalf("%d requests and %d keys are still tracked", requests, keys)
		}
	})
}

// onlyAnswer returns the single answer of r.
func (h *harness) onlyAnswer(r *Request) Answer {
	if len(h.answers[r]) != 1 {
		h.t.Fatalf("%s has answers %+v, want one", r.TryID, h.answers[r])
	}
	return h.answers[r][0]
}

// Tries of a key within its window take the result of the one run, whether they
// arrive in the same batch, during the run or after it.
func TestRetryTakesResult(t *testing.T) {
	h := newHarness(t)
	first := h.submit(1, "k", 0, 1_500_000)
	duplicate := h.submit(1, "k", 0, 1_500_000) // in the same batch
	h.advance(10_000)
	during := h.submit(1, "k", 0, 1_500_000)
	h.advance(10_000)
	if len(h.running) != 1 || h.running[0] != first {
		t.Fatalf("%d runs in progress, want only the first", len(h.running))
	}
	h.finish(0, kiteslip.OK)
	h.advance(10_000)
	after := h.submit(1, "k", 0, 1_500_000)
	h.advance(10_000)
	for _, r := range []*Request{first, duplicate, during, after} {
		if a := h.onlyAnswer(r); a.Code != Served || string(a.Result) != "of k" {
			t.Errorf("%s: %+v", r.TryID, a)
		}
	}
	h.advance(3_200_000) // past the window
	later := h.submit(1, "k", 0, 1_500_000)
	h.advance(10_000)
	if !h.ran[later] {
		t.Error("the key does not run again after its window")
	}
}

// A keyed run goes on after its caller has disconnected, and the next try takes the result.
func TestResultOutlivesCaller(t *testing.T) {
	h := newHarness(t)
	first := h.submit(1, "k", 0, 1_500_000)
	h.advance(10_000)
	h.disconnected[first] = true
	h.core.Disconnected(first)
	next := h.submit(1, "k", 0, 1_500_000)
	h.advance(10_000)
	h.finish(0, kiteslip.OK)
	h.advance(10_000)
	if a := h.onlyAnswer(next); a.Code != Served || h.ran[next] {
		t.Errorf("%+v, ran %v", a, h.ran[next])
	}
}

// A request that the policy refuses is answered in the same step, with a retry-after.
func TestRefusalIsImmediate(t *testing.T) {
	h := newHarness(t)
	for range 400 { // twice what fits in memory
		h.submit(0, "", 0, 1_500_000)
	}
	h.core.Step(h.now)
	refused := 0
	for _, answers := range h.answers {
		if refused++; answers[0].Code != Refused || answers[0].RetryAfter <= 0 {
			t.Errorf("%+v, want a refusal with a retry-after", answers[0])
		}
	}
	if refused < 200 {
		t.Errorf("%d of 400 are refused in the step in which they arrived, want 200 at least", refused)
	}
}

// A repeatable request that the policy gives up while it runs fails and is never refused.
func TestNoRefusalAfterRun(t *testing.T) {
	h := newHarness(t)
	r := h.submit(0, "", 0, 300_000)
	h.advance(400_000)
	if a := h.onlyAnswer(r); !h.ran[r] || a.Code != Failed || a.Cause != DeadlineExceeded {
		t.Errorf("ran %v, %+v, want Failed with DeadlineExceeded", h.ran[r], a)
	}
}

func TestExpiredOnArrival(t *testing.T) {
	h := newHarness(t)
	r := h.submit(0, "", 2_000_000, 1_000_000)
	h.core.Step(h.now)
	if a := h.onlyAnswer(r); a.Code == Served || h.ran[r] {
		t.Errorf("%+v, ran %v", a, h.ran[r])
	}
}

func TestRunPastDeadline(t *testing.T) {
	h := newHarness(t)
	r := h.submit(1, "k", 0, 400_000)
	h.advance(500_000)
	if a := h.onlyAnswer(r); a.Code != Failed || a.Cause != DeadlineExceeded {
		t.Errorf("%+v, want Failed with DeadlineExceeded", a)
	}
}

func TestSubmitErrors(t *testing.T) {
	h := newHarness(t)
	r := h.submit(0, "", 0, 1_000_000)
	if err := h.core.Submit(h.now, &Request{TryID: r.TryID, Deadline: h.now + 1_000_000, ReplyTo: caller{h, r}}); err == nil {
		t.Error("a second request with the same try ID was accepted")
	}
	if err := h.core.Submit(h.now, &Request{TryID: "x", Class: 1, Deadline: h.now + 1_000_000}); err == nil {
		t.Error("a keyed request without a key was accepted")
	}
}

// With ReuseFor set, reads of one subject share a result for that time.
func TestReadsShareResult(t *testing.T) {
	settings := testSettings()
	settings.ReuseFor = 200_000
	h := newHarnessWith(t, settings)
	read := func(subject uint64) *Request {
		r := h.submit(0, "", 0, 1_500_000)
		h.core.Disconnected(r) // used only for its try ID; a copy with a subject is sent instead
		h.disconnected[r] = true
		r = &Request{TryID: r.TryID + "s", Arrived: h.now, Deadline: h.now + 1_500_000, SizeKB: 20, Subject: subject, Body: []byte("body")}
		r.ReplyTo = caller{h, r}
		if err := h.core.Submit(h.now, r); err != nil {
			t.Fatal(err)
		}
		h.sent = append(h.sent, r)
		h.advance(10_000)
		return r
	}
	first, during, other := read(1), read(1), read(2)
	h.finish(0, kiteslip.OK)
	h.advance(100_000)
	after := read(1)
	h.advance(300_000)
	late := read(1)
	for r, ran := range map[*Request]bool{first: true, during: false, other: true, after: false, late: true} {
		if h.ran[r] != ran {
			t.Errorf("%s, subject %d: ran %v, want %v", r.TryID, r.Subject, h.ran[r], ran)
		}
	}
	for _, r := range []*Request{first, during, after} {
		if a := h.onlyAnswer(r); a.Code != Served {
			t.Errorf("%s: %+v", r.TryID, a)
		}
	}
}

// A retry whose caller's clock is ahead still falls within the window of its key.
func TestClientTimeAheadInWindow(t *testing.T) {
	h := newHarness(t)
	h.submit(1, "k", 0, 1_500_000)
	h.advance(10_000)
	h.finish(0, kiteslip.OK)
	h.advance(10_000)
	ahead := h.submit(1, "k", -4_000_000, 1_500_000)
	h.advance(10_000)
	if a := h.onlyAnswer(ahead); h.ran[ahead] || a.Code != Served {
		t.Errorf("ran %v, %+v", h.ran[ahead], a)
	}
}

// A run that the engine cancels without being asked has failed and frees its running slot.
func TestCancelledRunFreesSlot(t *testing.T) {
	h := newHarness(t)
	for range testSettings().Cores + 1 { // few enough that the policy does not detect a failing engine
		r := h.submit(0, "", 0, 1_500_000)
		h.advance(10_000)
		if len(h.running) != 1 {
			t.Fatalf("%d runs in progress, want one", len(h.running))
		}
		h.finish(0, kiteslip.Cancelled)
		h.advance(10_000)
		if a := h.onlyAnswer(r); a.Code != Failed {
			t.Fatalf("%+v", a)
		}
	}
}

// Arrival times and deadlines that can't be true are rejected or answered before the policy learns from them.
func TestImplausibleTimesRejected(t *testing.T) {
	h := newHarness(t)
	limit := testSettings().Classes[0].Timeout
	for what, r := range map[string]*Request{
		"arrival in the future": {Arrived: h.now + 60_000_000, Deadline: h.now + 61_000_000},
		"arrival long ago":      {Arrived: 0, Deadline: limit},
		"deadline far ahead":    {Arrived: h.now, Deadline: h.now + 1000*limit},
	} {
		r.TryID, r.SizeKB, r.ReplyTo = what, 20, caller{h, r}
		err := h.core.Submit(h.now, r)
		if late := r.Arrived == 0; late != (err == nil) || late != (len(h.answers[r]) == 1) {
			t.Errorf("%s: %v, answers %v", what, err, h.answers[r])
		}
	}
	if n, _ := h.core.Tracked(); n != 0 || h.core.Pending() || h.core.Outstanding() != 0 {
		t.Errorf("%d tracked, pending %v, %d outstanding", n, h.core.Pending(), h.core.Outstanding())
	}
}

// A key belongs to one body: a try with another body is rejected, not treated as a duplicate.
func TestKeyWithAnotherBody(t *testing.T) {
	h := newHarness(t)
	h.submit(1, "k", 0, 1_000_000)
	other := &Request{TryID: "other", Class: 1, Key: "k", Arrived: h.now, Deadline: h.now + 1_000_000, SizeKB: 20, Body: []byte("x")}
	if err := h.core.Submit(h.now, other); err == nil {
		t.Error("another body is accepted while the first is queued")
	}
	h.core.Step(h.now)
	h.finish(0, kiteslip.OK)
	if err := h.core.Submit(h.now, other); err == nil {
		t.Error("another body is accepted after the first has run")
	}
	if r := h.submit(1, "k", 0, 1_000_000); r == nil {
		t.Error("a duplicate with the same body is not accepted")
	}
}

// A window that becomes longer applies to keys that ran under the shorter one.
func TestLongerWindowAppliesToFinishedKeys(t *testing.T) {
	h := newHarness(t)
	first := h.submit(1, "k", 0, 1_000_000)
	h.advance(5_000)
	h.finish(0, kiteslip.OK)
	longer := testSettings()
	longer.Classes = append([]kiteslip.Class(nil), longer.Classes...)
	longer.Classes[1].Window = 8_000_000
	longer.Classes = append(longer.Classes, kiteslip.Class{Effect: kiteslip.Repeatable, TargetTime: 500_000, Timeout: 1_500_000, Worth: 1})
	if err := h.core.Reconfigure(longer, nil, nil); err != nil {
		t.Fatal(err)
	}
	h.advance(5_000_000)
	retry, newClass := h.submit(1, "k", 0, 1_000_000), h.submit(2, "", 0, 1_000_000)
	h.advance(5_000)
	h.finish(0, kiteslip.OK)
	for _, r := range []*Request{first, retry, newClass} {
		if got := h.answers[r]; len(got) != 1 || got[0].Code != Served {
			t.Errorf("%s: %+v", r.TryID, got)
		}
	}
	if h.ran[retry] {
		t.Error("the key ran again within its longer window")
	}
	for what, s := range map[string]kiteslip.Settings{"fewer classes": testSettings(), "no cores": {}} {
		if h.core.Reconfigure(s, nil, nil) == nil {
			t.Errorf("%s: accepted", what)
		}
	}
}
