package rig2

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

// engine is a stand-in for the engine, by the protocol's page. A request is known by
// its id: a RUN of one that runs already does nothing. Runs go on while there is no
// link, and at each start of the server (ATTACH 0) notices are numbered from 1.
type engine struct {
	r        *rig
	name     string
	address  string
	duration func(class, body string) time.Duration

	mu      sync.Mutex
	link    net.Conn
	notices []string // since the last start of the server
	running map[string]bool
	runs    []run
}

// run is one run that was begun.
type run struct {
	id, class, body string
	at              time.Time
}

// resultOf is the result of the run of a body.
func resultOf(body string) string { return "result of " + body }

// newEngine starts an engine.
func (r *rig) newEngine(name string, duration func(class, body string) time.Duration) *engine {
	l := r.listen()
	e := &engine{r: r, name: name, address: l.Addr().String(), duration: duration, running: map[string]bool{}}
	r.mu.Lock()
	r.closers = append(r.closers, l)
	r.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

// serve reads the commands of one link.
func (e *engine) serve(c net.Conn) {
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
			read, _ := strconv.Atoi(words[1])
			e.mu.Lock()
			if e.link != nil {
				e.link.Close()
			}
			e.link = c
			if read == 0 {
				e.notices = nil
			}
			e.r.note("%s: ATTACH %d", e.name, read)
			io.WriteString(c, "HELLO hot 60000\r\n")
			for _, notice := range e.notices[min(read, len(e.notices)):] {
				io.WriteString(c, notice)
			}
			e.mu.Unlock()
		case len(words) == 4 && words[0] == "RUN":
			size, _ := strconv.Atoi(words[3])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			e.begin(words[1], words[2], string(body[:size]))
		case len(words) == 2 && words[0] == "STAT":
			e.send(c, "STATS "+words[1]+" 0.1 1 0.1 4\r\n")
		case len(words) == 2 && words[0] == "TEST":
			e.send(c, "TESTED "+words[1]+" complete\r\n")
		default:
			e.r.note("%s: no command: %q", e.name, line)
			return
		}
	}
}

// send writes a line to c if that is the link.
func (e *engine) send(c net.Conn, line string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link == c {
		io.WriteString(c, line)
	}
}

// begin begins a run, unless the request runs already.
func (e *engine) begin(id, class, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[id] {
		e.r.note("%s: RUN %s %s, body %q: runs already, nothing happens", e.name, id, class, body)
		return
	}
	e.r.note("%s: RUN %s %s, body %q: begun", e.name, id, class, body)
	e.running[id] = true
	e.runs = append(e.runs, run{id, class, body, time.Now()})
	took := e.duration(class, body)
	time.AfterFunc(took, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, id)
		result := resultOf(body)
		notice := fmt.Sprintf("DONE %d %s complete %d %d\r\n%s\r\n", len(e.notices)+1, id, took.Milliseconds(), len(result), result)
		e.notices = append(e.notices, notice)
		e.r.note("%s: DONE %d %s, result %q", e.name, len(e.notices), id, result)
		if e.link != nil {
			io.WriteString(e.link, notice)
		}
	})
}

// runsOf returns the runs of a body so far.
func (e *engine) runsOf(body string) (list []run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range e.runs {
		if u.body == body {
			list = append(list, u)
		}
	}
	return list
}
