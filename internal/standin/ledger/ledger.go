// Package ledger stands in for what lies below: an HTTP/1.1 server on a loopback
// address that answers each call as a script says, and keeps a record of which
// calls had their effect.
package ledger

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Call is one call as it came.
type Call struct {
	Ref   string
	Body  string
	Limit time.Duration // how long the server will wait
	Try   int           // calls of this ref before, this one included
}

// Act is what becomes of a call. Its zero value is a good end at once.
type Act struct {
	After     time.Duration // a call given up meanwhile has its effect only if Ran says so
	Status    int           // 0 = 200
	Untouched bool
	Ran       bool // it has its effect though its status is not 200
	Break     bool // the connection breaks instead of an answer
	Garble    bool // what comes is no HTTP
	Size      int  // of the reply; 0 = what Reply gives
}

// Ledger is one ledger.
type Ledger struct {
	Address string
	script  func(Call) Act

	mu      sync.Mutex
	server  *http.Server
	tries   map[string]int
	effects map[string]int // by body
	seen    int
	givenUp int
	conns   int // open now
	most    int // ... at most so far
}

// Serve starts a ledger that follows script; nil = all goes well at once.
func Serve(script func(Call) Act) (*Ledger, error) {
	if script == nil {
		script = func(Call) Act { return Act{} }
	}
	l := &Ledger{script: script, tries: map[string]int{}, effects: map[string]int{}}
	return l, l.Up()
}

// Up takes calls again, at the same address.
func (l *Ledger) Up() error {
	at := l.Address
	if at == "" {
		at = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return fmt.Errorf("ledger stand-in: %w", err)
	}
	server := &http.Server{Handler: l, IdleTimeout: 10 * time.Second, ConnState: l.count}
	l.mu.Lock()
	l.Address, l.server = listener.Addr().String(), server
	l.mu.Unlock()
	go server.Serve(listener) //nolint:errcheck // it ends with Down
	return nil
}

// Down refuses connections from now on and breaks those that are open.
func (l *Ledger) Down() {
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	server.Close() //nolint:errcheck // it is gone either way
}

func (l *Ledger) count(_ net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.conns++
		l.most = max(l.most, l.conns)
	case http.StateClosed, http.StateHijacked:
		l.conns--
	}
}

// Reply is the body of a call that goes well.
func Reply(body string) string { return "posted " + body }

// ServeHTTP takes one call.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	limit, _ := strconv.Atoi(r.Header.Get("X-Limit-Ms"))
	if err != nil || r.Method != http.MethodPost || r.URL.Path != "/post" || r.Header.Get("X-Txn-Ref") == "" || limit <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := Call{Ref: r.Header.Get("X-Txn-Ref"), Body: string(body), Limit: time.Duration(limit) * time.Millisecond}
	l.mu.Lock()
	l.seen++
	l.tries[call.Ref]++
	call.Try = l.tries[call.Ref]
	l.mu.Unlock()
	act := l.script(call)
	if act.Ran {
		l.effect(call.Body)
	}
	if !wait(r.Context(), act.After) {
		l.mu.Lock()
		l.givenUp++
		l.mu.Unlock()
		return
	}
	if act.Break || act.Garble {
		l.spoil(w, act)
		return
	}
	if act.Untouched {
		w.Header().Set("X-Untouched", "1")
	}
	if act.Status == 0 || act.Status == http.StatusOK {
		l.effect(call.Body)
		reply := []byte(Reply(call.Body))
		if act.Size > 0 {
			reply = make([]byte, act.Size)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		w.Write(reply) //nolint:errcheck // a lost caller needs no answer
		return
	}
	w.WriteHeader(act.Status)
}

// wait returns false if the call is given up first.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// spoil answers what is none, or nothing, and closes the connection.
func (l *Ledger) spoil(w http.ResponseWriter, act Act) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if act.Garble {
		io.WriteString(c, "YES IT WENT WELL\r\n\r\n") //nolint:errcheck // as above
	} else {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\npart") //nolint:errcheck // as above
	}
	c.Close()
}

func (l *Ledger) effect(body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects[body]++
}

// Seen is how many calls came, and how many of them were given up.
func (l *Ledger) Seen() (calls, givenUp int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen, l.givenUp
}

// Effects is how often the call of each body had its effect.
func (l *Ledger) Effects() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]int{}
	for body, n := range l.effects {
		all[body] = n
	}
	return all
}

// Connections is how many are open, and how many were at most.
func (l *Ledger) Connections() (open, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns, l.most
}
