package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine plays the engine by the protocol page: RUN for a request that runs already does
// nothing, runs continue while there is no link, and notices are numbered from 1 at each
// start of the server, which shows as ATTACH 0.
type Engine struct {
	Address string

	c    *Case
	work func(body string) time.Duration

	mu      sync.Mutex
	link    net.Conn
	running map[string]bool // by ID
	runs    map[string]int  // runs started, by body
	done    map[string]int  // runs ended, by body
	notices []string        // since the last start of the server
	starts  int             // starts of the server that have attached
	stopped bool            // the engine has ended with its server
}

// NewEngine starts an engine whose runs take the time that work says.
func (c *Case) NewEngine(work func(body string) time.Duration) *Engine {
	e := &Engine{c: c, work: work, running: map[string]bool{}, runs: map[string]int{}, done: map[string]int{}}
	e.Address = c.Listen(e.serve)
	return e
}

// Result is what the engine makes of a body.
func Result(body string) string { return "result of " + body }

// Runs returns how many runs of a body began, and how many have ended.
func (e *Engine) Runs(body string) (began, ended int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[body], e.done[body]
}

// Stop ends the engine: nothing that it runs ends any more.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	if e.link != nil {
		e.link.Close() //nolint:errcheck // it is closed in any case
		e.link = nil
	}
}

// AwaitStart waits until the n-th start of the server has attached.
func (e *Engine) AwaitStart(n int) {
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(time.Millisecond) {
		e.mu.Lock()
		starts := e.starts
		e.mu.Unlock()
		if starts >= n {
			return
		}
	}
	e.c.Fatalf("the server does not attach to the engine")
}

func (e *Engine) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // nothing is pending
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 2 && words[0] == "ATTACH":
			e.attach(conn, words[1])
		case len(words) == 4 && words[0] == "RUN":
			size, err := strconv.Atoi(words[3])
			if err != nil || size < 0 || size > 1<<20 {
				return
			}
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			e.run(words[1], words[2], string(body[:size]))
		case len(words) == 2 && words[0] == "STAT":
			e.send(conn, "STATS "+words[1]+" 0.5 1 0.1 4\r\n")
		case len(words) == 2 && words[0] == "TEST":
			e.send(conn, "TESTED "+words[1]+" complete\r\n")
		default:
			return
		}
	}
}

func (e *Engine) attach(conn net.Conn, heard string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, _ := strconv.Atoi(heard)
	if n == 0 {
		e.notices = nil // a start of the server
		e.starts++
	}
	e.link = conn
	e.c.Logf("engine: ATTACH %d", n)
	io.WriteString(conn, "HELLO hot 60000\r\n") //nolint:errcheck // a broken link is seen by its reader
	for _, notice := range e.notices[min(n, len(e.notices)):] {
		io.WriteString(conn, notice) //nolint:errcheck // as above
	}
}

func (e *Engine) send(conn net.Conn, line string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link == conn {
		io.WriteString(conn, line) //nolint:errcheck // a broken link is seen by its reader
	}
}

func (e *Engine) run(id, class, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[id] {
		e.c.Logf("engine: RUN %s %s %q: this request runs already, nothing happens", id, class, body)
		return
	}
	e.running[id] = true
	e.runs[body]++
	began, takes := time.Now(), e.work(body)
	e.c.Logf("engine: RUN %s %s %q begins", id, class, body)
	time.AfterFunc(takes, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.stopped {
			return
		}
		delete(e.running, id)
		e.done[body]++
		result := Result(body)
		notice := fmt.Sprintf("DONE %d %s complete %d %d\r\n%s\r\n", len(e.notices)+1, id, time.Since(began).Milliseconds(), len(result), result)
		e.notices = append(e.notices, notice)
		e.c.Logf("engine: %s %q", strings.ReplaceAll(strings.TrimSpace(notice), "\r\n", " "), body)
		if e.link != nil {
			io.WriteString(e.link, notice) //nolint:errcheck // a broken link is seen by its reader
		}
	})
}
