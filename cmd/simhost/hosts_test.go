package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"kiteslip"
	"kiteslip/internal/core"
	"kiteslip/internal/wire"
)

// The simulator's host and the core of the real server must act alike on the same
// events. Each script under testdata/hosts has events, and the actions that must
// follow from them; both hosts run it.
//
//	MS arrive N CLASS [timeout=MS] [again] [prior=N]
//	MS need|gone N
//	MS called|done N OUTCOME
//	MS drain MS
//	> MS ACTION N ...

// scriptEvent is one line of a script.
type scriptEvent struct {
	at    int64
	event kiteslip.Event
}

var outcomes = map[string]kiteslip.Outcome{"ok": kiteslip.OK, "failed": kiteslip.Failed, "full": kiteslip.Rejected, "timedout": kiteslip.TimedOut,
	"unreachable": kiteslip.Unreachable, "reset": kiteslip.Reset, "cancelled": kiteslip.Cancelled, "moot": kiteslip.NotStarted}

var kinds = map[string]kiteslip.EventKind{"arrive": kiteslip.Arrive, "need": kiteslip.NeedsCall, "gone": kiteslip.Disconnected, "called": kiteslip.CallDone,
	"done": kiteslip.Done, "drain": kiteslip.Drain}

const scriptStartUS = 1_000_000_000 // start of the scripts' clock

// readScript returns the events of a script and the actions that it wants.
func readScript(t *testing.T, text string) (all []scriptEvent, want []string) {
	for _, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] == "#" {
			continue
		}
		if words[0] == ">" {
			want = append(want, strings.Join(words[1:], " "))
			continue
		}
		number := func(s string) int64 {
			n, err := strconv.ParseInt(s, 10, 64)
			if err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			return n
		}
		h := scriptEvent{at: scriptStartUS + number(words[0])*1000}
		e := &h.event
		if e.Kind = kinds[words[1]]; e.Kind == 0 {
			t.Fatalf("%q: no such event", line)
		}
		if e.Kind == kiteslip.Drain {
			e.Deadline = scriptStartUS + number(words[2])*1000
		} else {
			e.ID = kiteslip.RequestID(number(words[2]))
		}
		switch e.Kind {
		case kiteslip.Arrive:
			e.Class, e.SizeKB, e.Rank = int(number(words[3])), 20, 0.5
			for _, word := range words[4:] {
				name, value, _ := strings.Cut(word, "=")
				switch name {
				case "timeout":
					e.Deadline = h.at + number(value)*1000
				case "again":
					e.Retry = true
				case "prior":
					e.DuplicateOf = kiteslip.RequestID(number(value))
				}
			}
		case kiteslip.CallDone, kiteslip.Done:
			e.Outcome = outcomes[words[3]]
		}
		all = append(all, h)
	}
	return all, want
}

// scriptHost runs the events of a script and notes the actions.
type scriptHost interface {
	next() int64 // when the next timer is due; 0 = none
	step(now int64, events []kiteslip.Event)
	actions() []string
}

// runScript runs the events of a script, and timers up to that time, and returns the actions.
func runScript(s scriptHost, all []scriptEvent, until int64) []string {
	s.step(scriptStartUS, nil)
	for now := int64(scriptStartUS); now < until; {
		at := until
		if len(all) > 0 {
			at = all[0].at
		}
		if n := s.next(); n != 0 {
			at = min(at, max(n, now))
		}
		now = at
		var events []kiteslip.Event
		for len(all) > 0 && all[0].at == now {
			events = append(events, all[0].event)
			all = all[1:]
		}
		s.step(now, events)
	}
	return s.actions()
}

// actionLog formats actions in one way for both hosts.
type actionLog struct {
	now   int64
	lines []string
}

func (s *actionLog) add(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf("%d ", (s.now-scriptStartUS)/1000)+fmt.Sprintf(format, args...))
}
func (s *actionLog) actions() []string { return s.lines }

// simulatorHost runs a script over the simulator's protocol.
type simulatorHost struct {
	actionLog
	t        *testing.T
	in       io.Writer
	out      io.Reader
	settings []byte
	timers   map[uint64]int64
	started  map[uint32]bool
	calledAt map[kiteslip.RequestID]int64
	ranAt    map[kiteslip.RequestID]int64
	enlisted bool
}

func newSimulatorHost(t *testing.T, settings []byte) *simulatorHost {
	in, hostIn := io.Pipe()
	hostOut, out := io.Pipe()
	go func() { out.CloseWithError(serve(in, out)) }()
	t.Cleanup(func() { hostIn.Close() })
	return &simulatorHost{t: t, in: hostIn, out: hostOut, settings: settings, timers: map[uint64]int64{}, started: map[uint32]bool{},
		calledAt: map[kiteslip.RequestID]int64{}, ranAt: map[kiteslip.RequestID]int64{}}
}

func (s *simulatorHost) next() int64 {
	next := int64(0)
	for _, at := range s.timers {
		if next == 0 || at < next {
			next = at
		}
	}
	return next
}

func (s *simulatorHost) step(now int64, events []kiteslip.Event) {
	s.now = now
	le := binary.LittleEndian
	var body []byte
	n := 0
	add := func(code byte, fields ...any) {
		n++
		body = le.AppendUint16(append(body, code), 1)
		for _, f := range fields {
			switch f := f.(type) {
			case uint8:
				body = append(body, f)
			case uint16:
				body = le.AppendUint16(body, f)
			case uint32:
				body = le.AppendUint32(body, f)
			case int64:
				body = le.AppendUint64(body, uint64(f))
			case uint64:
				body = le.AppendUint64(body, f)
			case float64:
				body = le.AppendUint32(body, math.Float32bits(float32(f)))
			}
		}
	}
	if !s.enlisted {
		s.enlisted = true
		add(3, uint64(7), uint32(len(s.settings)))
		body = append(body, s.settings...)
	}
	for _, e := range events {
		id := uint32(e.ID)
		switch e.Kind {
		case kiteslip.Arrive:
			bits := uint8(0)
			if e.Retry {
				bits |= 2
			}
			add(1, id, uint16(e.Class), uint16(0), uint64(0), e.Deadline, uint32(0), e.SizeKB, e.Rank, bits, uint16(0), uint32(0), uint32(e.DuplicateOf))
		case kiteslip.NeedsCall:
			add(9, id)
		case kiteslip.Disconnected:
			add(7, id)
		case kiteslip.CallDone:
			add(4, id, uint16(e.Outcome), uint32(now-s.calledAt[e.ID]))
		case kiteslip.Done:
			add(8, id, uint16(e.Outcome), uint32(now-s.ranAt[e.ID]))
		case kiteslip.Drain:
			add(2, e.Deadline)
		}
	}
	var due []uint64
	for token, at := range s.timers {
		if at <= now {
			due = append(due, token)
			delete(s.timers, token)
		}
	}
	slices.Sort(due)
	for _, token := range due {
		add(5, token, uint8(0))
	}
	head := le.AppendUint32(le.AppendUint32(le.AppendUint64(nil, uint64(now)), uint32(len(body))), uint32(n))
	if _, err := s.in.Write(append(head, body...)); err != nil {
		s.t.Fatal(err)
	}
	var size [4]byte
	if _, err := io.ReadFull(s.out, size[:]); err != nil {
		s.t.Fatal(err)
	}
	reply := make([]byte, le.Uint32(size[:]))
	if _, err := io.ReadFull(s.out, reply); err != nil {
		s.t.Fatal(err)
	}
	s.read(reply)
}

// read notes the actions of one reply.
func (s *simulatorHost) read(b []byte) {
	le := binary.LittleEndian
	for len(b) > 0 {
		code := b[0]
		b = b[3:]
		id := func() uint32 { v := le.Uint32(b); b = b[4:]; return v }
		switch code {
		case 65:
			after := id()
			s.timers[le.Uint64(b)] = s.now + int64(after)
			b = b[8:]
		case 66:
			v := id()
			s.started[v] = true
			s.ranAt[kiteslip.RequestID(v)] = s.now
			s.add("run %d", v)
		case 67:
			v := id()
			s.calledAt[kiteslip.RequestID(v)] = s.now
			s.add("call %d %d", v, id())
		case 68:
			b = b[2+int(le.Uint16(b)):]
		case 69:
			s.add("health %v", b[0] == 1)
			b = b[2:]
		case 70:
			id()
		case 71:
			s.add("halt %d", id())
		case 73:
			s.add("reuse %d", id())
		case 74:
			id()
		case 75:
			id()
			id()
		case 76:
			s.add("fail %d", id())
		case 77:
			s.add("skip %d", id())
		case 79:
			v, after := id(), id()
			if noFailover := b[0] == 1; s.started[v] {
				s.add("fail %d", v)
			} else {
				s.add("refuse %d %d %v", v, after/1000, noFailover)
			}
			b = b[1:]
		default:
			s.t.Fatalf("action code %d", code)
		}
	}
}

// coreHost runs a script on the core, as the server's loop does.
type coreHost struct {
	actionLog
	t       *testing.T
	core    *core.Core
	open    map[kiteslip.RequestID]*core.Request
	ids     map[*core.Request]kiteslip.RequestID
	calls   map[kiteslip.RequestID]uint64 // tokens
	healthy bool
}

func newCoreHost(t *testing.T, text []byte) *coreHost {
	settings, _, err := wire.ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	r := &coreHost{t: t, open: map[kiteslip.RequestID]*core.Request{}, ids: map[*core.Request]kiteslip.RequestID{}, calls: map[kiteslip.RequestID]uint64{}}
	if r.core, err = core.New(core.Settings{Policy: settings, Seed: 7}, r); err != nil {
		t.Fatal(err)
	}
	r.core.SetLedger(r)
	return r
}

func (r *coreHost) next() int64 { return r.core.NextStep() }

func (r *coreHost) step(now int64, events []kiteslip.Event) {
	r.now = now
	for _, e := range events {
		req := r.open[e.ID]
		switch e.Kind {
		case kiteslip.Arrive:
			req = &core.Request{TryID: fmt.Sprint(e.ID), Class: e.Class, Arrived: now, Deadline: e.Deadline, Retry: e.Retry, SizeKB: e.SizeKB, Rank: e.Rank,
				Stream: uint32(e.ID), ReplyTo: r, Body: []byte("body")}
			if e.Class == 1 {
				req.Key = fmt.Sprint("key of ", e.ID)
				if e.DuplicateOf != 0 {
					req.Key = r.open[e.DuplicateOf].Key
				}
			}
			r.open[e.ID], r.ids[req] = req, e.ID
			if err := r.core.Submit(now, req); err != nil {
				r.t.Fatal(err)
			}
		case kiteslip.NeedsCall:
			r.core.NeedsCall(req, uint64(e.ID), nil)
		case kiteslip.Disconnected:
			r.core.Disconnected(req)
		case kiteslip.CallDone:
			r.core.CallDone(now, r.calls[e.ID], e.Outcome, nil)
		case kiteslip.Done:
			r.core.Done(req, e.Outcome, 0, nil)
		case kiteslip.Drain:
			r.core.Drain(now, e.Deadline)
		}
	}
	r.core.Step(now)
	if good, _ := r.core.Health(); good != r.healthy {
		r.healthy = good
		r.add("health %v", good)
	}
}

func (r *coreHost) Run(q *core.Request)            { r.add("run %d", r.ids[q]) }
func (r *coreHost) Resume(q *core.Request)         { r.add("run %d", r.ids[q]) }
func (r *coreHost) Halt(q *core.Request)           { r.add("halt %d", r.ids[q]) }
func (r *coreHost) Skip(q *core.Request, _ uint64) { r.add("skip %d", r.ids[q]) }
func (r *coreHost) Reply(*core.Request, []byte)    {}
func (r *coreHost) Abandon(uint64)                 {}
func (r *coreHost) Answer(stream uint32, a core.Answer) {
	switch a.Code {
	case core.Refused:
		r.add("refuse %d %d %v", stream, a.RetryAfter/1000, a.NoFailover)
	case core.Failed:
		if a.Cause != core.RunFailed {
			r.add("fail %d", stream)
		}
	}
}

func (r *coreHost) Call(token uint64, ref string, _ []byte, timeout int64) {
	id, _ := strconv.Atoi(ref)
	r.calls[kiteslip.RequestID(id)] = token
	r.add("call %d %d", id, timeout)
}

// Both hosts carry out the actions that each script wants: the simulator would show nothing about a server that decides
// differently.
func TestHostsAgree(t *testing.T) {
	settings, err := os.ReadFile("testdata/hosts/site.json")
	if err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob("testdata/hosts/*.txt")
	if len(files) == 0 {
		t.Fatal("there are no scripts")
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(filepath.Base(file), func(t *testing.T) {
			all, want := readScript(t, string(text))
			until := all[len(all)-1].at + 1_000_000
			for name, host := range map[string]scriptHost{"simulator's host": newSimulatorHost(t, settings), "real server's core": newCoreHost(t, settings)} {
				got := slices.DeleteFunc(runScript(host, all, until), func(s string) bool { return strings.Contains(s, " reuse ") })
				if !slices.Equal(got, want) {
					t.Errorf("%s:\n%s\nwant:\n%s", name, strings.Join(got, "\n"), strings.Join(want, "\n"))
				}
			}
		})
	}
}
