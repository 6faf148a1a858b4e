// Package calls measures downstream calls of a real server on loopback: many runs
// with calls while the ledger fails in every way that the protocol has and the
// engine's link is cut, and the cost of a call. Each measurement returns its
// figures; the caller compares them with the required values.
package calls

import (
	"fmt"
	"os"
	"strings"
	"time"

	"kiteslip/internal/lab/live"
	"kiteslip/internal/lab/probe"
	"kiteslip/internal/standin/box"
	"kiteslip/internal/standin/ledger"
)

// Lab is a server under measurement with its engine and its ledger.
type Lab struct {
	dir, listen string
	engine      *box.Engine
	ledger      *ledger.Ledger
	program     *live.Program
}

// The classes, and the times of the platform's file.
const (
	ClassCallOptional = "look" // safe to repeat; its downstream call may be skipped
	ClassCallRequired = "find" // safe to repeat; its downstream call may not be skipped
	ClassKeyed        = "note" // neither a run nor its downstream call may be made twice
	classTimeout      = 2 * time.Second
	answerSlack       = 110 * time.Millisecond // the answer slack of the server's rules, and the time on the sockets
)

// Open starts a server with an engine and with a ledger that answers as script says.
func Open(program string, script func(ledger.Call) ledger.Response) (*Lab, error) {
	l := &Lab{}
	var err error
	fail := func(err error) (*Lab, error) { l.Close(); return nil, err }
	if l.dir, err = os.MkdirTemp("", "kitelab"); err != nil {
		return nil, err
	}
	if l.engine, err = box.Serve(box.Spec{Cores: 64}); err != nil {
		return fail(err)
	}
	l.engine.CountStarts()
	if l.ledger, err = ledger.Serve(script); err != nil {
		return fail(err)
	}
	if l.listen, err = live.FreeAddress(); err != nil {
		return fail(err)
	}
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "on_time_us": classTimeout.Microseconds(), "hard_limit_us": classTimeout.Microseconds(),
			"window_us": (20 * time.Second).Microseconds(), "worth": 1}
	}
	settings, err := probe.PlatformFile(l.listen, l.engine.Address, 1000, map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, 256, 1,
		class(ClassCallOptional, "repeatable"), class(ClassCallRequired, "repeatable"), class(ClassKeyed, "by_key"))
	if err == nil {
		settings, err = probe.WithLedger(settings, l.ledger.Address, []bool{true, true, true}, []float64{0.5, 0, 0})
	}
	if err != nil {
		return fail(err)
	}
	if l.program, err = live.Start(program, l.dir, l.listen, settings, ""); err != nil {
		return fail(err)
	}
	return l, nil
}

// Close stops what Open started.
func (l *Lab) Close() {
	if l.program != nil {
		l.program.Kill()
	}
	if l.ledger != nil {
		l.ledger.Stop()
	}
	if l.engine != nil {
		l.engine.Close()
	}
	os.RemoveAll(l.dir)
}

// resultCorrect reports whether a result is complete: the body, and for each
// downstream call the ledger's reply to that call or, where maySkip is set, the mark
// that it was skipped.
func resultCorrect(body, result string, maySkip bool) bool {
	rest, ok := strings.CutPrefix(result, body)
	for callsLeft := box.Calls([]byte(body)) - 1; ok && callsLeft >= 0; callsLeft-- {
		reply := "|" + ledger.Reply(fmt.Sprintf("call %d of %s", callsLeft, body))
		var found bool
		if rest, found = strings.CutPrefix(rest, reply); !found {
			rest, ok = strings.CutPrefix(rest, "|skipped")
			ok = ok && maySkip
		}
	}
	return ok && rest == ""
}
