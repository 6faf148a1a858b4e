package soak

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// recording is a game with one server and one process in which nothing was wrong, for a
// test to change.
type recording struct {
	*game
	began   time.Time
	process *process
	request *request // keyed, ran once and was served
}

func newRecording(t *testing.T) *recording {
	t.Helper()
	g := &game{history: &history{}}
	began := time.Now().Add(-time.Minute).Truncate(time.Millisecond)
	p := &place{game: g, name: "n0"}
	pr := &process{place: p, startedAt: began, readyAt: began.Add(50 * time.Millisecond), termAt: began.Add(20 * time.Second),
		endedAt: began.Add(21 * time.Second), logPath: filepath.Join(t.TempDir(), "log")}
	p.processes, g.places = []*process{pr}, []*place{p}
	rec := &recording{game: g, began: began, process: pr}
	rec.request = rec.add("try1", "key", began.Add(time.Second))
	rec.answer(rec.request, served, 10*time.Millisecond)
	rec.run(rec.request)
	return rec
}

// add records a request that was sent at a time.
func (rec *recording) add(tryID, key string, sent time.Time) *request {
	r := &request{tryID: tryID, place: rec.places[0], class: classKeyed, key: key, body: "1 body of " + key, sent: sent, timeout: classTimeout}
	rec.history.requests = append(rec.history.requests, r)
	return r
}

// answer records an answer that came so long after the request was sent.
func (rec *recording) answer(r *request, o outcome, after time.Duration) {
	r.answers = append(r.answers, answer{r.sent.Add(after), o, r.body + " done"})
}

// run records a run 5 ms after the request was sent.
func (rec *recording) run(r *request) {
	rec.history.runs = append(rec.history.runs, run{r.sent.Add(5 * time.Millisecond), r.tryID, r.body, rec.process})
}

// Each rule is judged: a history without a fault has no violation, and one with a single
// fault has that one. Guards against a soak that passes because it looks at nothing.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		change func(rec *recording)
		want   string // kind of the only violation; "" = none
	}{
		"nothing wrong": {func(*recording) {}, ""},
		"no answer":     {func(rec *recording) { rec.request.answers = nil }, "lost"},
		"connection ended without the answer": {func(rec *recording) {
			rec.request.answers = nil
			rec.request.connEnded, rec.request.connError = rec.request.sent.Add(80*time.Millisecond), io.EOF
		}, "lost"},
		"crossed the end of its connection": {func(rec *recording) {
			rec.request.answers = nil
			rec.request.connEnded, rec.request.connError = rec.request.sent.Add(40*time.Millisecond), io.EOF
		}, ""},
		"two answers": {func(rec *recording) { rec.answer(rec.request, served, 20*time.Millisecond) }, "answered_twice"},
		"late":        {func(rec *recording) { rec.request.answers[0].at = rec.request.sent.Add(classTimeout + answerSlack + 1) }, "late"},
		"late in a pause": {func(rec *recording) {
			rec.request.answers[0].at = rec.request.sent.Add(classTimeout + answerSlack + time.Millisecond)
			rec.history.pauses = []pause{{rec.request.sent.Add(time.Second), rec.request.sent.Add(time.Second + 2*time.Millisecond)}}
		}, ""},
		"refused and run":   {func(rec *recording) { rec.request.answers[0].outcome = refused }, "refused_ran"},
		"result of another": {func(rec *recording) { rec.request.answers[0].body = "1 body of another" }, "wrong_result"},
		"run of nobody":     {func(rec *recording) { rec.history.runs[0].tryID = "try9"; rec.history.runs[0].body = "?" }, "foreign_run"},
		"body changed":      {func(rec *recording) { rec.history.runs[0].body += "!" }, "foreign_run"},
		"further try, served": {func(rec *recording) {
			rec.answer(rec.add("try2", "key", rec.request.sent.Add(time.Second)), served, time.Millisecond)
		}, ""},
		"second run in the window": {func(rec *recording) {
			r := rec.add("try2", "key", rec.request.sent.Add(keyWindow))
			rec.answer(r, served, time.Millisecond)
			rec.run(r)
		}, "second_run"},
		"second run after the window": {func(rec *recording) {
			r := rec.add("try2", "key", rec.request.sent.Add(keyWindow+time.Millisecond))
			rec.answer(r, served, time.Millisecond)
			rec.run(r)
		}, ""},
		"one try runs twice": {func(rec *recording) { rec.run(rec.request) }, "second_run"},
		"run after the grace": {func(rec *recording) {
			r := rec.add("try2", "other", rec.process.termAt.Add(drainGrace+socketSlack+time.Millisecond))
			rec.answer(r, served, time.Millisecond)
			rec.run(r)
		}, "ran_after_grace"},
		"killed at the stop":   {func(rec *recording) { rec.process.killedAtStop = true }, "not_ended"},
		"bad exit":             {func(rec *recording) { rec.process.endErr = errors.New("exit status 1") }, "bad_exit"},
		"ended without signal": {func(rec *recording) { rec.process.termAt = time.Time{} }, "bad_exit"},
		"ready late":           {func(rec *recording) { rec.process.readyAt = rec.began.Add(readyLimit + time.Second) }, "not_ready"},
		"memory":               {func(rec *recording) { rec.process.maxRSS = memoryLimitMB<<20 + 1 }, "memory"},
		"descriptors":          {func(rec *recording) { rec.process.maxFDs = descriptorLimit + 1 }, "descriptors"},
		"cores":                {func(rec *recording) { rec.process.cpuTime = 30 * time.Second }, "cores"},
		"calls":                {func(rec *recording) { rec.calls.maxInFlight = 10 }, "calls"},
		"panic": {func(rec *recording) {
			if err := os.WriteFile(rec.process.logPath, []byte("{}\npanic: nil\n"), 0o600); err != nil {
				t.Fatal(err)
			}
		}, "panic"},
	} {
		rec := newRecording(t)
		c.change(rec)
		rec.judge()
		var want []string
		if c.want != "" {
			want = []string{c.want}
		}
		var got []string
		for _, v := range rec.violations {
			got = append(got, v.Kind)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: violations %v, want %v", name, got, want)
		}
	}
}

// A kill without a notice excuses the requests that were open then, and no others.
func TestKillExcusesOpenRequests(t *testing.T) {
	rec := newRecording(t)
	rec.process.termAt, rec.process.killedAt = time.Time{}, rec.began.Add(20*time.Second)
	rec.process.endErr = errors.New("signal: killed")
	open := rec.add("try2", "open", rec.process.killedAt.Add(-time.Second))
	open.connEnded = rec.process.killedAt.Add(time.Millisecond)
	earlier := rec.add("try3", "earlier", rec.process.killedAt.Add(-2*time.Second))
	earlier.connEnded = rec.process.killedAt.Add(-time.Second)
	rec.judge()
	if len(rec.violations) != 1 || rec.violations[0].Kind != "lost" {
		t.Fatalf("violations %+v, want the earlier request lost", rec.violations)
	}
}
