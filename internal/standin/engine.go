// Package standin holds the parties that a server talks with, for tests: the
// engine, uwsgi servers, callers of both fronts and the registry, each written
// from its protocol's page. All of them listen on and dial loopback addresses.
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

// Work says what becomes of one run.
type Work struct {
	For    time.Duration
	End    string // complete, error, ...; "" = complete
	Result string
}

// Echo is work of one length whose result is made from the body.
func Echo(length time.Duration) func(body string) Work {
	return func(body string) Work { return Work{For: length, Result: "did " + body} }
}

// Engine stands in for the process that owns the cores.
type Engine struct {
	Address string
	work    func(body string) Work
	stop    func() // takes no new link at Address

	mu      sync.Mutex
	link    net.Conn
	bodies  map[string]int // how often each was run
	live    map[string]bool
	notices []string
}

// NewEngine starts an engine that is up and does work.
func NewEngine(t testing.TB, work func(body string) Work) *Engine {
	e := &Engine{work: work, bodies: map[string]int{}, live: map[string]bool{}}
	e.Address, e.stop = listen(t, e.serve)
	return e
}

// listen starts a listener that lives until it is stopped or the test ends.
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
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "ATTACH":
			n, _ := strconv.Atoi(words[1])
			e.mu.Lock()
			e.link = c
			fmt.Fprint(c, "HELLO hot 60000\r\n")
			for _, notice := range e.notices[min(n, len(e.notices)):] {
				io.WriteString(c, notice)
			}
			e.mu.Unlock()
		case len(words) == 4 && words[0] == "RUN":
			size, _ := strconv.Atoi(words[3])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			e.start(words[1], string(body[:size]))
		case len(words) == 2 && words[0] == "STAT":
			e.say("STATS " + words[1] + " 0.5 1 0.1 4\r\n")
		case len(words) == 2 && words[0] == "TEST":
			e.say("TESTED " + words[1] + " complete\r\n")
		default:
			return
		}
	}
}

func (e *Engine) say(line string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link != nil {
		io.WriteString(e.link, line)
	}
}

func (e *Engine) start(id, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.live[id] {
		return
	}
	e.live[id] = true
	e.bodies[body]++
	w := e.work(body)
	time.AfterFunc(w.For, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.live, id)
		end := w.End
		if end == "" {
			end = "complete"
		}
		notice := fmt.Sprintf("DONE %d %s %s %d %d\r\n%s\r\n", len(e.notices)+1, id, end,
			w.For.Milliseconds(), len(w.Result), w.Result)
		e.notices = append(e.notices, notice)
		if e.link != nil {
			io.WriteString(e.link, notice)
		}
	})
}

// Move gives the engine another address; the old one takes nothing new. Runs
// and notices go on, and an open link stays until the server replaces it.
func (e *Engine) Move(t testing.TB) {
	e.stop()
	e.Address, e.stop = listen(t, e.serve)
}

// Cut ends the link; the server may attach again.
func (e *Engine) Cut() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link != nil {
		e.link.Close()
		e.link = nil
	}
}

// Runs returns how often each body was run.
func (e *Engine) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.bodies)
}
