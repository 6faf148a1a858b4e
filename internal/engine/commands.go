package engine

import (
	"fmt"

	"kiteslip/internal/core"
)

// Commands to runs other than RUN. Each may be lost with its connection;
// docs/design/calls.md says which are then sent again.

// pendingCommand is a command about a run that may have to be sent, or sent again.
type pendingCommand struct {
	parts  [][]byte // nil = no command
	sentAt int64    // 0 = not sent on this connection
}

// Reply continues r with the reply to its call, which is sent unchanged.
func (l *Link) Reply(r *core.Request, reply []byte) {
	l.continueRun(r, fmt.Appendf(nil, "FEED %s %d\r\n", r.TryID, len(reply)), reply, crlf)
}

// Skip continues r without the call that notice requested.
func (l *Link) Skip(r *core.Request, notice uint64) {
	l.continueRun(r, fmt.Appendf(nil, "SKIP %s %d\r\n", r.TryID, notice))
}

// continueRun sends a reply or skip to the run of r, or keeps it for the next connection.
func (l *Link) continueRun(r *core.Request, parts ...[]byte) {
	if u := l.runs[r.TryID]; u != nil {
		u.reply = pendingCommand{parts: parts}
		l.sendCommand(&u.reply)
	}
}

// Halt stops the run of r. It ends with a Done, and may continue by Resume or
// start again by Run, as the settings say.
func (l *Link) Halt(r *core.Request) {
	if u := l.runs[r.TryID]; u != nil {
		u.halt = pendingCommand{parts: [][]byte{fmt.Appendf(nil, "HALT %s\r\n", r.TryID)}}
		l.sendCommand(&u.halt)
	}
}

// Resume continues a run that was halted with its work kept.
func (l *Link) Resume(r *core.Request) {
	u := &run{r: r, resumed: true}
	l.runs[r.TryID] = u
	if l.ready {
		l.sendRun(u)
	}
}

// sendCommand sends w if the engine is connected; otherwise w waits for the next connection.
func (l *Link) sendCommand(w *pendingCommand) {
	if l.ready {
		w.sentAt = l.now()
		l.send(w.parts...)
	}
}

// connectionLost records the loss of the connection on which w may have been sent.
// A command that the engine has certainly read is dropped.
func (w *pendingCommand) connectionLost(readBefore int64) {
	if w.sentAt != 0 && w.sentAt < readBefore {
		*w = pendingCommand{}
	}
	w.sentAt = 0
}

// resendCommands sends the commands that may have been lost, once the replayed notices are in.
func (l *Link) resendCommands(u *run) {
	for _, w := range []*pendingCommand{&u.reply, &u.halt} {
		if w.parts != nil && w.sentAt == 0 {
			l.sendCommand(w)
		}
	}
}
