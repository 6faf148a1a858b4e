// Package standin has stand-ins for the parties that a server talks to, for tests:
// the engine, uwsgi backends, callers of both front ends and the registry. Each is
// written from the description of its protocol. They use loopback addresses only.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Work describes one run.
type Work struct {
	Duration time.Duration // how long the run takes
	Outcome  string        // outcome: complete, error, ...; "" = complete
	Result   string
}

// Echo returns a work function whose runs take a fixed time and return "did " and
// the body.
func Echo(duration time.Duration) func(body string) Work {
	return func(body string) Work { return Work{Duration: duration, Result: "did " + body} }
}

// Engine is a stand-in for the engine. Each run takes the time that the work
// function gives it, however many run at once.
type Engine struct {
	Address       string
	work          func(body string) Work
	stopListening func() // stops listening at Address

	mu         sync.Mutex
	link       net.Conn
	runsByBody map[string]int // number of runs of each body
	running    map[string]bool
	notices    []string

	fenced       bool            // a STAT was answered on the link in use
	endedFenced  map[string]bool // by ID: the run ended on the link in use, after that
	crossedStart map[string]int  // see CrossedRuns
}

// NewEngine starts an engine on a free loopback address.
func NewEngine(t testing.TB, work func(body string) Work) *Engine {
	e := &Engine{work: work, runsByBody: map[string]int{}, running: map[string]bool{}, endedFenced: map[string]bool{}, crossedStart: map[string]int{}}
	e.Address, e.stopListening = listen(t, e.serve)
	return e
}

// listen accepts connections until it is stopped or the test ends.
func listen(t testing.TB, serve func(net.Conn)) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String(), func() { l.Close() }
}

func (e *Engine) serve(c net.Conn) {
	defer c.Close()
	input := bufio.NewReader(c)
	for {
		line, err := input.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "ATTACH":
			heard, _ := strconv.Atoi(words[1]) // notices that the server has received
			e.mu.Lock()
			e.link, e.fenced = c, false
			clear(e.endedFenced)
			fmt.Fprint(c, "HELLO hot 60000\r\n")
			for _, notice := range e.notices[min(heard, len(e.notices)):] {
				io.WriteString(c, notice)
			}
			e.mu.Unlock()
		case len(words) == 4 && words[0] == "RUN":
			size, _ := strconv.Atoi(words[3])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(input, body); err != nil {
				return
			}
			e.startRun(c, words[1], string(body[:size]))
		case len(words) == 2 && words[0] == "STAT":
			e.sendStats(c, words[1])
		case len(words) == 2 && words[0] == "TEST":
			e.send("TESTED " + words[1] + " complete\r\n")
		default:
			return
		}
	}
}

func (e *Engine) send(line string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link != nil {
		io.WriteString(e.link, line)
	}
}

// sendStats answers a STAT that came on c.
func (e *Engine) sendStats(c net.Conn, tag string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fenced = e.fenced || e.link == c
	if e.link != nil {
		io.WriteString(e.link, "STATS "+tag+" 0.5 1 0.1 4\r\n")
	}
}

// startRun handles a RUN that came on c.
func (e *Engine) startRun(c net.Conn, id, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[id] {
		return
	}
	if e.link == c && e.endedFenced[id] {
		e.crossedStart[body]++
		delete(e.endedFenced, id)
	}
	e.running[id] = true
	e.runsByBody[body]++
	run := e.work(body)
	time.AfterFunc(run.Duration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, id)
		outcome := run.Outcome
		if outcome == "" {
			outcome = "complete"
		}
		notice := fmt.Sprintf("DONE %d %s %s %d %d\r\n%s\r\n", len(e.notices)+1, id, outcome,
			run.Duration.Milliseconds(), len(run.Result), run.Result)
		e.notices = append(e.notices, notice)
		if e.link != nil {
			e.endedFenced[id] = e.fenced
			io.WriteString(e.link, notice)
		}
	})
}

// ChangeAddress gives the engine another address; the old one accepts no new connections.
// Runs and notices go on, and an open link stays until the server replaces it.
func (e *Engine) ChangeAddress(t testing.TB) {
	e.stopListening()
	e.Address, e.stopListening = listen(t, e.serve)
}

// Disconnect closes the link to the server, which may attach again.
func (e *Engine) Disconnect() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link != nil {
		e.link.Close()
		e.link = nil
	}
}

// Runs returns the number of runs of each body.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runsByBody)
}

// CrossedRuns returns by body the number of runs that were started by a RUN which
// crossed the end of an earlier run of the same request: that had ended on the same
// link after the engine had answered a STAT there, so that the server could not know
// of it when it sent the command again after a cut.
func (e *Engine) CrossedRuns() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.crossedStart)
}
