// Package calls measures calls below against the real program on loopback: many
// runs with calls while the ledger fails in every way that the protocol knows
// and the engine's link is cut, and what a call costs beside a run without one.
// Each measurement returns its figures; what they must reach is the caller's.
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

// Lab is where the program runs: an engine, a ledger and an address.
type Lab struct {
	dir, listen string
	engine      *box.Engine
	ledger      *ledger.Ledger
	program     *live.Program
}

// The classes, by what they do.
const (
	ClassCallOptional = "look" // safe to repeat, may go on without its call
	ClassCallRequired = "find" // safe to repeat
	ClassKeyed        = "note" // must not run twice, and so must its call
	classTimeout      = 2 * time.Second
	answerSlack       = 110 * time.Millisecond // of the rules, on sockets
)

// Open starts the program with an engine and a ledger that follows script.
func Open(program string, script func(ledger.Call) ledger.Act) (*Lab, error) {
	l := &Lab{}
	var err error
	fail := func(err error) (*Lab, error) { l.Close(); return nil, err }
	if l.dir, err = os.MkdirTemp("", "kitelab"); err != nil {
		return nil, err
	}
	if l.engine, err = box.Serve(box.Spec{Cores: 64}); err != nil {
		return fail(err)
	}
	l.engine.Watch()
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

// Close ends what Open started.
func (l *Lab) Close() {
	if l.program != nil {
		l.program.Kill()
	}
	if l.ledger != nil {
		l.ledger.Down()
	}
	if l.engine != nil {
		l.engine.Close()
	}
	os.RemoveAll(l.dir)
}

// resultCorrect says whether a result is what the run made: its body, and for each
// call the ledger's own reply to that call, or that it was left out.
func resultCorrect(body, result string, mayLack bool) bool {
	rest, ok := strings.CutPrefix(result, body)
	for left := box.Calls([]byte(body)) - 1; ok && left >= 0; left-- {
		reply := "|" + ledger.Reply(fmt.Sprintf("call %d of %s", left, body))
		var fed bool
		if rest, fed = strings.CutPrefix(rest, reply); !fed {
			rest, ok = strings.CutPrefix(rest, "|skipped")
			ok = ok && mayLack
		}
	}
	return ok && rest == ""
}
