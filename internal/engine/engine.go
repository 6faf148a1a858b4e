// Package engine implements the protocol of the process that owns the cores. A
// Link is the state of one conversation, and belongs to one goroutine. It does no
// I/O itself: received bytes are passed to Feed, and bytes to send go out through
// the function that Attach is given. Times are microseconds, instants since the
// epoch.
package engine

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"kiteslip"
	"kiteslip/internal/core"
)

// Events receives what the engine reports.
type Events interface {
	Hello(cold bool, up int64) // the cores came up that many microseconds ago
	Done(r *core.Request, outcome kiteslip.Outcome, elapsed int64, result []byte)
	NeedsCall(r *core.Request, notice uint64, body []byte) // the run waits for a downstream call
	Stats(values []float32)
	Tested(tag string, ok bool)
	UnexpectedNotice(cause, line string) // a rejected command, or a notice of an unknown run
}

const (
	maxLineBytes    = 4 << 10
	maxContentBytes = 64 << 10 // results and calls hold 4 KiB at most; larger lengths are rejected
)

// ErrProtocol says that the engine sent a malformed notice.
var ErrProtocol = errors.New("engine: malformed notice")

// run is a request that was handed to the engine and has not ended.
type run struct {
	r         *core.Request
	sentAt    int64          // when it was last sent on a connection; 0 = never
	uncertain bool           // that connection is lost, and the engine may not have read the command
	linkLost  bool           // that connection is lost
	confirmed bool           // a notice of it came since it was sent, so the engine read it
	resumed   bool           // it is resumed instead of started
	reply     pendingCommand // the last reply to a call of it
	halt      pendingCommand
}

// Link is the state of the conversation with one engine.
type Link struct {
	events      Events
	now         func() int64 // Unix microseconds
	classes     []string
	safe        []bool                // by class: repeatable
	send        func(parts ...[]byte) // nil while there is no connection
	ready       bool                  // HELLO and the replayed notices were received
	lastNotice  uint64                // the number of the last notice that was read
	runs        map[string]*run
	statPending bool  // a STAT awaits its answer
	statSentAt  int64 // when it was sent
	readUpTo    int64 // commands sent before this were read: a later STAT was answered
	tries       int   // runs that were sent, each counted once
}

// fenceTag is the tag of the STAT that follows HELLO: its answer comes after the
// replayed notices.
const fenceTag = "fence"

// minRunDivisor gives the shortest run as a part of the expected work, whatever
// the cores' speed and the error of the hint: a run that was sent more recently
// than that cannot have ended.
const minRunDivisor = 8

// lossWindowUS is the time before a connection's end in which commands may have
// been lost, whatever the engine answered.
const lossWindowUS = 150_000

// confirmedRunGraceUS is how long past its deadline a run is waited for that the
// engine has certainly read on a lost connection.
const confirmedRunGraceUS = 5_000_000

// NewLink returns a Link. SetClasses must be called before the first run.
func NewLink(events Events, now func() int64) *Link {
	return &Link{events: events, now: now, runs: map[string]*run{}}
}

// SetClasses sets the names of the classes, in the order of the settings, and
// which are repeatable. The slot of a class never changes.
func (l *Link) SetClasses(names []string, safe []bool) { l.classes, l.safe = names, safe }

// Attach starts using a new connection through send. What is passed to send must
// be written, in order, before it returns, or kept until it can be.
func (l *Link) Attach(send func(parts ...[]byte)) {
	l.send, l.ready, l.statPending = send, false, false
	l.send(fmt.Appendf(nil, "ATTACH %d\r\n", l.lastNotice))
}

// ConnectionLost reports the loss of the connection. Runs continue meanwhile.
// Those that the engine has certainly read are waited for; the others are uncertain.
func (l *Link) ConnectionLost() {
	l.send, l.ready, l.statPending = nil, false, false
	readBefore := min(l.readUpTo, l.now()-lossWindowUS)
	for _, u := range l.runs {
		u.linkLost = u.sentAt != 0
		u.uncertain = u.uncertain || u.linkLost && !u.confirmed && u.sentAt >= readBefore
		u.reply.connectionLost(readBefore)
		u.halt.connectionLost(readBefore)
	}
}

// Ready reports whether the engine answers.
func (l *Link) Ready() bool { return l.ready }

// Running returns the number of runs whose end was not reported.
func (l *Link) Running() int { return len(l.runs) }

// Tries returns the number of runs that were sent to the engine since the start.
func (l *Link) Tries() int { return l.tries }

// Run sends a request to the engine, at once or when it is connected.
func (l *Link) Run(r *core.Request) {
	u := &run{r: r}
	l.runs[r.TryID] = u
	if l.ready {
		l.sendRun(u)
	}
}

// Await adds a run that an earlier process sent: it may still be in progress,
// or have ended while no process was connected. It is never sent again; if nothing
// is reported of it by its deadline, it has failed.
func (l *Link) Await(r *core.Request) {
	l.runs[r.TryID] = &run{r: r, sentAt: l.now(), uncertain: true, linkLost: true}
}

// sendRun sends the RUN or RESUME of u.
func (l *Link) sendRun(u *run) {
	if u.sentAt == 0 && !u.resumed {
		l.tries++
	}
	u.sentAt, u.uncertain, u.linkLost, u.confirmed = l.now(), false, false, false
	if u.resumed {
		l.send(fmt.Appendf(nil, "RESUME %s\r\n", u.r.TryID))
		return
	}
	line := fmt.Appendf(nil, "RUN %s %s %d\r\n", u.r.TryID, l.classes[u.r.Class], len(u.r.Body))
	l.send(line, u.r.Body, crlf)
}

var crlf = []byte("\r\n")

// RequestStats requests the gauges, unless an answer is still outstanding.
func (l *Link) RequestStats() {
	if l.ready && !l.statPending {
		l.statPending, l.statSentAt = true, l.now()
		l.send([]byte("STAT g\r\n"))
	}
}

// RequestTest requests the work of a deep health check. It returns false if the
// engine is not connected.
func (l *Link) RequestTest(tag string) bool {
	if !l.ready {
		return false
	}
	l.send([]byte("TEST " + tag + "\r\n"))
	return true
}

// Feed handles the complete notices at the start of b and returns their length;
// the rest must be passed again with what follows it.
func (l *Link) Feed(b []byte) (int, error) {
	used := 0
	for {
		n, err := l.handleNotice(b[used:])
		if err != nil || n == 0 {
			return used, err
		}
		used += n
	}
}

// handleNotice handles the first notice of b and returns its length; 0 means that
// more bytes are needed.
func (l *Link) handleNotice(b []byte) (int, error) {
	end := bytes.Index(b, crlf)
	if end < 0 {
		if len(b) > maxLineBytes {
			return 0, fmt.Errorf("%w: line longer than %d bytes", ErrProtocol, maxLineBytes)
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
		return 0, fmt.Errorf("%w: empty line", ErrProtocol)
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
		l.send([]byte("STAT " + fenceTag + "\r\n"))
	case "DONE":
		if len(words) != 6 {
			return bad()
		}
		number, err1 := strconv.ParseUint(string(words[1]), 10, 64)
		ms, err2 := strconv.ParseFloat(string(words[4]), 64)
		outcome, known := outcomes[string(words[3])]
		result, took, ok := parseContent(b[used:], words[5])
		if err1 != nil || err2 != nil || !known || !ok {
			l.skipMalformed(number, words[2], err1)
			return bad()
		}
		if took == 0 {
			return 0, nil
		}
		used += took
		if !l.advanceTo(number) {
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
		body, took, ok := parseContent(b[used:], words[3])
		if err1 != nil || !ok {
			l.skipMalformed(number, words[2], err1)
			return bad()
		}
		if took == 0 {
			return 0, nil
		}
		used += took
		if !l.advanceTo(number) {
			break
		}
		if u := l.runs[string(words[2])]; u != nil {
			u.confirmed, u.uncertain = true, false
			u.reply = pendingCommand{} // it has continued since, so earlier replies arrived
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
		l.advanceTo(number)
	case "STATS":
		l.stats(words[1:])
	case "TESTED":
		if len(words) != 3 {
			return bad()
		}
		l.events.Tested(string(words[1]), string(words[2]) == "complete")
	case "NO":
		l.events.UnexpectedNotice("engine_no", string(line))
		// A rejected RUN: nothing was started.
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

// outcomes maps the words of a DONE notice.
var outcomes = map[string]kiteslip.Outcome{
	"complete": kiteslip.OK, "error": kiteslip.Failed, "cancelled": kiteslip.Cancelled, "unknown": kiteslip.NotStarted,
}

// parseContent reads the length at the end of a line, and as many bytes with their
// CR LF; took is the length of both, and 0 means that more bytes are needed. ok
// reports whether the length is allowed and the CR LF is in its place.
func parseContent(b, length []byte) (body []byte, took int, ok bool) {
	size, err := strconv.Atoi(string(length))
	if err != nil || size < 0 || size > maxContentBytes {
		return nil, 0, false
	}
	took = size + len(crlf)
	if len(b) < took {
		return nil, 0, true
	}
	return append([]byte(nil), b[:size]...), took, bytes.Equal(b[size:took], crlf)
}

// skipMalformed handles a malformed notice whose number is legible. The connection
// ends with it. Without advancing past the notice, the engine would replay it on
// every later connection and end each of them. The run has failed with an unknown
// outcome. The number is trusted only if it is the next one.
func (l *Link) skipMalformed(number uint64, id []byte, err error) {
	if err != nil || number != l.lastNotice+1 {
		return
	}
	l.lastNotice = number
	if u := l.runs[string(id)]; u != nil {
		delete(l.runs, u.r.TryID)
		l.events.Done(u.r, kiteslip.Failed, max(0, l.now()-u.sentAt), nil)
	}
}

// advanceTo records the number of a notice and returns false if it was read before.
func (l *Link) advanceTo(number uint64) bool {
	if number <= l.lastNotice {
		return false
	}
	l.lastNotice = number
	return true
}

// stats handles a STATS notice, given its words after the first.
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
	if l.statPending {
		l.statPending, l.readUpTo = false, l.statSentAt
	}
	l.events.Stats(values)
	if string(words[0]) == fenceTag && !l.ready {
		l.finishAttach()
	}
}

// finishAttach completes an attachment: all notices from the time without a
// connection are in, so every run left is either in progress or was never read.
// Sending RUN again does nothing if it is in progress, but would start it again if
// it ended a moment ago. To prevent a second run of a key, an uncertain run that
// is not repeatable is sent again only while it is too recent to have ended.
func (l *Link) finishAttach() {
	l.ready = true
	now := l.now()
	for _, u := range l.runs {
		if u.sentAt == 0 && !u.resumed && u.r.Deadline != 0 && now > u.r.Deadline {
			l.endUnsent(u)
			continue
		}
		tooRecentToEnd := now-u.sentAt < u.r.ExpectedWork/minRunDivisor
		if u.sentAt == 0 || u.uncertain && (tooRecentToEnd || u.resumed || l.safe[u.r.Class]) {
			l.sendRun(u)
		}
		l.resendCommands(u)
	}
}

// endUnsent ends a run whose deadline has passed before it was ever sent: it has
// not started, and no caller waits for it.
func (l *Link) endUnsent(u *run) {
	delete(l.runs, u.r.TryID)
	l.events.Done(u.r, kiteslip.NotStarted, 0, nil)
}

// Expire fails uncertain runs of which nothing was reported by their deadline:
// most likely they were lost with their connection. They would otherwise occupy
// the policy's running slots for many times the length of a run. A late notice of
// one is ignored. Runs that were certainly read are waited for longer.
func (l *Link) Expire() {
	now := l.now()
	for name, u := range l.runs {
		if u.sentAt == 0 && !u.resumed && u.r.Deadline != 0 && now > u.r.Deadline {
			l.endUnsent(u)
			continue
		}
		until := u.r.Deadline
		if !u.uncertain {
			until += confirmedRunGraceUS
		}
		if u.linkLost && l.ready && now > until {
			delete(l.runs, name)
			l.events.Done(u.r, kiteslip.Failed, now-u.sentAt, nil)
		}
	}
}
