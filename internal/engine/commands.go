package engine

import (
	"fmt"

	"kiteslip/internal/core"
)

// What is said to a run besides that it is to begin. Each of these may be lost
// with its link; docs/design/calls.md says which is then written again.

// word is a command about a run that may still have to be written, or to be
// written again.
type word struct {
	parts   [][]byte // nil = there is none
	written int64    // to a link; 0 = not yet
}

// Reply lets r go on with the reply to its call, which is sent unchanged.
func (l *Link) Reply(r *core.Request, reply []byte) {
	l.goOn(r, fmt.Appendf(nil, "FEED %s %d\r\n", r.TryID, len(reply)), reply, crlf)
}

// Skip lets r go on without the call that notice asked for.
func (l *Link) Skip(r *core.Request, notice uint64) {
	l.goOn(r, fmt.Appendf(nil, "SKIP %s %d\r\n", r.TryID, notice))
}

func (l *Link) goOn(r *core.Request, parts ...[]byte) {
	if u := l.runs[r.TryID]; u != nil {
		u.reply = word{parts: parts}
		l.tell(&u.reply)
	}
}

// Halt stops the run of r. It ends with a Done, and may go on by Resume or anew
// by Run, as the settings say.
func (l *Link) Halt(r *core.Request) {
	if u := l.runs[r.TryID]; u != nil {
		u.halt = word{parts: [][]byte{fmt.Appendf(nil, "HALT %s\r\n", r.TryID)}}
		l.tell(&u.halt)
	}
}

// Resume goes on with a run that was stopped with its work kept.
func (l *Link) Resume(r *core.Request) {
	u := &run{r: r, resumed: true}
	l.runs[r.TryID] = u
	if l.ready {
		l.write(u)
	}
}

// tell writes w where there is a link; else it waits for the next.
func (l *Link) tell(w *word) {
	if l.ready {
		w.written = l.now()
		l.send(w.parts...)
	}
}

// lose notes that the link is gone on which w may have been written. What the
// engine has surely read is done with.
func (w *word) lose(sure int64) {
	if w.written != 0 && w.written < sure {
		*w = word{}
	}
	w.written = 0
}

// again writes what may have been lost, once the replay of notices is in.
func (l *Link) again(u *run) {
	for _, w := range []*word{&u.reply, &u.halt} {
		if w.parts != nil && w.written == 0 {
			l.tell(w)
		}
	}
}
