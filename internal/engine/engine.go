// Package engine speaks with the process that owns the cores. A Link is the
// state of that conversation; it does no I/O of its own. Bytes that came are
// given to Feed, bytes to send go out through the function that Attach is given.
package engine

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"kiteslip"
	"kiteslip/internal/core"
)

// Events takes what the engine tells.
type Events interface {
	Hello(cold bool, up int64) // the engine's cores came up that many microseconds ago
	Done(r *core.Request, outcome kiteslip.Outcome, elapsed int64, result []byte)
	NeedsCall(r *core.Request, notice uint64, body []byte) // it stands at a call
	Stats(values []float32)
	Tested(tag string, ok bool)
	UnexpectedNotice(cause, line string) // what was turned away, or names no run here
}

const (
	maxLine   = 4 << 10
	maxResult = 64 << 10 // a result may hold 4 KiB, and so may a call; more is not believed
)

// ErrProtocol says that the engine sent what is not a notice.
var ErrProtocol = errors.New("engine: not a notice")

// run is a request that was handed over and has not ended.
type run struct {
	r       *core.Request
	written int64 // when it was last written to a link; 0 = the engine has not seen it
	lost    bool  // that link is gone, and the engine may or may not have read it
	crossed bool  // that link is gone
	heard   bool  // a notice of it came since it was written: it was read
	resumed bool  // it goes on, and is not begun
	reply   word  // the last to what it needed
	halt    word
}

// Link is the state of the conversation with one engine.
type Link struct {
	events  Events
	now     func() int64 // Unix microseconds
	classes []string
	safe    []bool                // by class: running twice does no harm
	send    func(parts ...[]byte) // nil while there is no link
	ready   bool                  // HELLO and the replayed notices are in
	last    uint64                // the number of the last notice that was read
	runs    map[string]*run
	stat    bool  // a STAT is out
	statAt  int64 // when it was sent
	read    int64 // what was written before this has been read: the STAT after it was answered
	tries   int   // runs that were written, each counted once
}

// fence is the tag of the STAT that follows HELLO: its answer comes after the
// replayed notices.
const fence = "fence"

// quickest is the part of the expected work below which no run ends, however
// fast the cores and however wrong the hint: what was written no longer ago
// than that cannot have ended.
const quickest = 8

// lossSpan is how long before its break a link may have lost commands, whatever
// the engine answered in that time.
const lossSpan = 150_000

// giveUp is how long past its due time a run is waited for that the engine has
// read on a link that is gone.
const giveUp = 5_000_000

// NewLink returns a Link, which is to be told the classes before the first run.
func NewLink(events Events, now func() int64) *Link {
	return &Link{events: events, now: now, runs: map[string]*run{}}
}

// SetClasses names the classes, in the order of the settings, and says which are
// safe to repeat. The place of a class never changes.
func (l *Link) SetClasses(names []string, safe []bool) { l.classes, l.safe = names, safe }

// Attach takes a new connection into use, through send. What it sends must be
// written, in order, before send returns or kept until it can be.
func (l *Link) Attach(send func(parts ...[]byte)) {
	l.send, l.ready, l.stat = send, false, false
	l.send(fmt.Appendf(nil, "ATTACH %d\r\n", l.last))
}

// ConnectionLost says that the connection is gone. Runs go on meanwhile. Those that the
// engine has surely read need only be waited for; the others are in doubt.
func (l *Link) ConnectionLost() {
	l.send, l.ready, l.stat = nil, false, false
	sure := min(l.read, l.now()-lossSpan)
	for _, u := range l.runs {
		u.crossed = u.written != 0
		u.lost = u.lost || u.crossed && !u.heard && u.written >= sure
		u.reply.lose(sure)
		u.halt.lose(sure)
	}
}

// Ready says whether the engine answers.
func (l *Link) Ready() bool { return l.ready }

// Running is the number of runs without a notice of their end.
func (l *Link) Running() int { return len(l.runs) }

// Tries is the number of runs that were handed to the engine since the start.
func (l *Link) Tries() int { return l.tries }

// Run hands a request over, at once or when the link is up.
func (l *Link) Run(r *core.Request) {
	u := &run{r: r}
	l.runs[r.TryID] = u
	if l.ready {
		l.write(u)
	}
}

// Await takes in a run that an earlier process handed over: it may still run, or
// have ended while nobody listened. It is never written again; where nothing is
// heard of it until it was due, it has failed.
func (l *Link) Await(r *core.Request) {
	l.runs[r.TryID] = &run{r: r, written: l.now(), lost: true, crossed: true}
}

func (l *Link) write(u *run) {
	if u.written == 0 && !u.resumed {
		l.tries++
	}
	u.written, u.lost, u.crossed, u.heard = l.now(), false, false, false
	if u.resumed {
		l.send(fmt.Appendf(nil, "RESUME %s\r\n", u.r.TryID))
		return
	}
	line := fmt.Appendf(nil, "RUN %s %s %d\r\n", u.r.TryID, l.classes[u.r.Class], len(u.r.Body))
	l.send(line, u.r.Body, crlf)
}

var crlf = []byte("\r\n")

// RequestStats asks for the gauges, unless an answer is still to come.
func (l *Link) RequestStats() {
	if l.ready && !l.stat {
		l.stat, l.statAt = true, l.now()
		l.send([]byte("STAT g\r\n"))
	}
}

// RequestTest asks for the work of a deep health check. It reports false when there
// is no link to ask on.
func (l *Link) RequestTest(tag string) bool {
	if !l.ready {
		return false
	}
	l.send([]byte("TEST " + tag + "\r\n"))
	return true
}

// Feed takes in the notices at the start of b and returns how many bytes they
// took; the rest is to be given again with what follows it.
func (l *Link) Feed(b []byte) (int, error) {
	used := 0
	for {
		n, err := l.notice(b[used:])
		if err != nil || n == 0 {
			return used, err
		}
		used += n
	}
}

// notice takes in the first notice of b; 0 means that more bytes are needed.
func (l *Link) notice(b []byte) (int, error) {
	end := bytes.Index(b, crlf)
	if end < 0 {
		if len(b) > maxLine {
			return 0, fmt.Errorf("%w: a line of over %d bytes", ErrProtocol, maxLine)
		}
		return 0, nil
	}
	line := b[:end]
	used := end + len(crlf)
	var w [8][]byte
	words := w[:0]
	for word := range bytes.FieldsSeq(line) {
		if len(words) == len(w) {
			break
		}
		words = append(words, word)
	}
	if len(words) == 0 {
		return 0, fmt.Errorf("%w: an empty line", ErrProtocol)
	}
	bad := func() (int, error) { return 0, fmt.Errorf("%w: %.80q", ErrProtocol, line) }
	switch string(words[0]) {
	case "HELLO":
		if len(words) < 3 {
			return bad()
		}
		ms, err := strconv.ParseFloat(string(words[2]), 64)
		if err != nil {
			return bad()
		}
		l.events.Hello(string(words[1]) == "chilly", int64(ms*1000))
		l.send([]byte("STAT " + fence + "\r\n"))
	case "DONE":
		if len(words) != 6 {
			return bad()
		}
		number, err1 := strconv.ParseUint(string(words[1]), 10, 64)
		ms, err2 := strconv.ParseFloat(string(words[4]), 64)
		outcome, known := outcomes[string(words[3])]
		result, took, ok := content(b[used:], words[5])
		if err1 != nil || err2 != nil || !known || !ok {
			l.spoilt(number, words[2], err1)
			return bad()
		}
		if took == 0 {
			return 0, nil
		}
		used += took
		if !l.advance(number) {
			break
		}
		if u := l.runs[string(words[2])]; u != nil {
			delete(l.runs, u.r.TryID)
			l.events.Done(u.r, outcome, int64(ms*1000), result)
		} else {
			l.events.UnexpectedNotice("engine_stray_done", string(line))
		}
	case "NEED":
		if len(words) != 4 {
			return bad()
		}
		number, err1 := strconv.ParseUint(string(words[1]), 10, 64)
		body, took, ok := content(b[used:], words[3])
		if err1 != nil || !ok {
			l.spoilt(number, words[2], err1)
			return bad()
		}
		if took == 0 {
			return 0, nil
		}
		used += took
		if !l.advance(number) {
			break
		}
		if u := l.runs[string(words[2])]; u != nil {
			u.heard, u.lost = true, false
			u.reply = word{} // it has gone on since: what was said to it arrived
			l.events.NeedsCall(u.r, number, body)
		} else {
			l.events.UnexpectedNotice("engine_stray_need", string(line))
		}
	case "NOTE":
		if len(words) < 2 {
			return bad()
		}
		number, err := strconv.ParseUint(string(words[1]), 10, 64)
		if err != nil {
			return bad()
		}
		l.advance(number)
	case "STATS":
		l.stats(words[1:])
	case "TESTED":
		if len(words) != 3 {
			return bad()
		}
		l.events.Tested(string(words[1]), string(words[2]) == "complete")
	case "NO":
		l.events.UnexpectedNotice("engine_no", string(line))
		// A RUN that was not carried out: nothing was started.
		if len(words) >= 3 && string(words[1]) == "RUN" {
			if u := l.runs[string(words[2])]; u != nil {
				delete(l.runs, u.r.TryID)
				l.events.Done(u.r, kiteslip.NotStarted, 0, nil)
			}
		}
	default:
		return bad()
	}
	return used, nil
}

var outcomes = map[string]kiteslip.Outcome{
	"complete": kiteslip.OK, "error": kiteslip.Failed, "cancelled": kiteslip.Cancelled, "unknown": kiteslip.NotStarted,
}

// content reads the length that a line ends with, and takes as many bytes and
// the CR LF after them, took in all; 0 means that more are needed. ok says that
// the length can be believed and that all is as it must be.
func content(b, length []byte) (content []byte, took int, ok bool) {
	size, err := strconv.Atoi(string(length))
	if err != nil || size < 0 || size > maxResult {
		return nil, 0, false
	}
	took = size + len(crlf)
	if len(b) < took {
		return nil, 0, true
	}
	return append([]byte(nil), b[:size]...), took, bytes.Equal(b[size:took], crlf)
}

// spoilt takes in a notice that cannot be read but for its number. The link ends
// with it, and the next one asks for what follows: the same notice would end that
// one too, and so on without end. Its run has failed: how it ended is not known.
// Only the very next number is believed.
func (l *Link) spoilt(number uint64, id []byte, err error) {
	if err != nil || number != l.last+1 {
		return
	}
	l.last = number
	if u := l.runs[string(id)]; u != nil {
		delete(l.runs, u.r.TryID)
		l.events.Done(u.r, kiteslip.Failed, max(0, l.now()-u.written), nil)
	}
}

// advance notes the number of a notice; false means that it was read before.
func (l *Link) advance(number uint64) bool {
	if number <= l.last {
		return false
	}
	l.last = number
	return true
}

func (l *Link) stats(words [][]byte) {
	if len(words) == 0 {
		return
	}
	values := make([]float32, 0, 8)
	for _, word := range words[1:] {
		v, err := strconv.ParseFloat(string(word), 32)
		if err != nil {
			return
		}
		values = append(values, float32(v))
	}
	if l.stat {
		l.stat, l.read = false, l.statAt
	}
	l.events.Stats(values)
	if string(words[0]) == fence && !l.ready {
		l.open()
	}
}

// open ends the attachment: all notices of the time without a link are in, so
// what is still in the book either runs or was never read. Writing it again
// does nothing if it runs, but would start it anew if it ended a moment ago.
// Guards against a second run of a key: unless it is safe to repeat, it is
// written again only while it is too young to have ended.
func (l *Link) open() {
	l.ready = true
	t := l.now()
	for _, u := range l.runs {
		if u.written == 0 && !u.resumed && u.r.Deadline != 0 && t > u.r.Deadline {
			l.unwritten(u)
			continue
		}
		young := t-u.written < u.r.ExpectedWork/quickest
		if u.written == 0 || u.lost && (young || u.resumed || l.safe[u.r.Class]) {
			l.write(u)
		}
		l.again(u)
	}
}

// unwritten ends a run that is due and was never written to a link: it has not
// begun, and nobody waits for it any more.
func (l *Link) unwritten(u *run) {
	delete(l.runs, u.r.TryID)
	l.events.Done(u.r, kiteslip.NotStarted, 0, nil)
}

// Expire ends, as failed, runs in doubt of which nothing was heard until they
// were due: most likely they were lost with their link. Guards the places in
// the module's limit, which few such runs would fill for many times as long as
// any run takes. Should one go on after all, its late notice is passed over.
// Those that were surely read are waited for longer.
func (l *Link) Expire() {
	t := l.now()
	for name, u := range l.runs {
		if u.written == 0 && !u.resumed && u.r.Deadline != 0 && t > u.r.Deadline {
			l.unwritten(u)
			continue
		}
		until := u.r.Deadline
		if !u.lost {
			until += giveUp
		}
		if u.crossed && l.ready && t > until {
			delete(l.runs, name)
			l.events.Done(u.r, kiteslip.Failed, t-u.written, nil)
		}
	}
}
