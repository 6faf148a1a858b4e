// Package ledger is a stand-in for the ledger: an HTTP/1.1 server on a loopback
// address that answers each downstream call as a script says, and records which
// calls took effect.
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

// Call is a downstream call as it was received.
type Call struct {
	Ref     string
	Body    string
	Timeout time.Duration // how long the server waits for the answer
	Try     int           // number of this call among those with the same Ref, from 1
}

// Response says how a call is answered. The zero value is an immediate success.
type Response struct {
	Delay       time.Duration // delay of the answer; a call given up before its end takes effect only if TakesEffect is set
	Status      int           // 0 = 200
	Untouched   bool          // the answer says that the call took no effect
	TakesEffect bool          // the call takes effect though its status is not 200
	CloseEarly  bool          // the connection closes in the middle of the answer
	Malformed   bool          // the answer is not HTTP
	ReplyBytes  int           // size of the reply; 0 = the reply is Reply(body)
}

// Ledger is a running stand-in.
type Ledger struct {
	Address string
	script  func(Call) Response

	mu        sync.Mutex
	server    *http.Server
	tries     map[string]int
	effects   map[string]int // calls that took effect, by body
	received  int
	givenUp   int
	openConns int // open connections
	maxConns  int // maximum of openConns
}

// Serve starts a ledger that answers as script says; nil = every call succeeds at
// once.
func Serve(script func(Call) Response) (*Ledger, error) {
	if script == nil {
		script = func(Call) Response { return Response{} }
	}
	l := &Ledger{script: script, tries: map[string]int{}, effects: map[string]int{}}
	return l, l.Start()
}

// Start accepts calls again, at the same address.
func (l *Ledger) Start() error {
	address := l.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("ledger stand-in: %w", err)
	}
	server := &http.Server{Handler: l, IdleTimeout: 10 * time.Second, ConnState: l.countConn}
	l.mu.Lock()
	l.Address, l.server = listener.Addr().String(), server
	l.mu.Unlock()
	go server.Serve(listener) //nolint:errcheck // it returns after Stop
	return nil
}

// Stop refuses new connections and closes those that are open.
func (l *Ledger) Stop() {
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	server.Close() //nolint:errcheck // the server is closed in any case
}

func (l *Ledger) countConn(_ net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.openConns++
		l.maxConns = max(l.maxConns, l.openConns)
	case http.StateClosed, http.StateHijacked:
		l.openConns--
	}
}

// Reply returns the answer to a call that succeeds.
func Reply(body string) string { return "posted " + body }

// ServeHTTP answers one call.
func (l *Ledger) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	timeoutMS, _ := strconv.Atoi(r.Header.Get("X-Limit-Ms"))
	if err != nil || r.Method != http.MethodPost || r.URL.Path != "/post" || r.Header.Get("X-Txn-Ref") == "" || timeoutMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := Call{Ref: r.Header.Get("X-Txn-Ref"), Body: string(body), Timeout: time.Duration(timeoutMS) * time.Millisecond}
	l.mu.Lock()
	l.received++
	l.tries[call.Ref]++
	call.Try = l.tries[call.Ref]
	l.mu.Unlock()
	act := l.script(call)
	if act.TakesEffect {
		l.recordEffect(call.Body)
	}
	if !waitDelay(r.Context(), act.Delay) {
		l.mu.Lock()
		l.givenUp++
		l.mu.Unlock()
		return
	}
	if act.CloseEarly || act.Malformed {
		l.breakAnswer(w, act)
		return
	}
	if act.Untouched {
		w.Header().Set("X-Untouched", "1")
	}
	if act.Status == 0 || act.Status == http.StatusOK {
		l.recordEffect(call.Body)
		reply := []byte(Reply(call.Body))
		if act.ReplyBytes > 0 {
			reply = make([]byte, act.ReplyBytes)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(reply)))
		w.Write(reply) //nolint:errcheck // the server may have closed the connection
		return
	}
	w.WriteHeader(act.Status)
}

// waitDelay waits for d, and returns false if the call is given up first.
func waitDelay(ctx context.Context, d time.Duration) bool {
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

// breakAnswer sends bytes that are not HTTP, or a partial answer, and closes the
// connection.
func (l *Ledger) breakAnswer(w http.ResponseWriter, act Response) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if act.Malformed {
		io.WriteString(c, "YES IT WENT WELL\r\n\r\n") //nolint:errcheck // the server may have closed the connection
	} else {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\npart") //nolint:errcheck // the server may have closed the connection
	}
	c.Close()
}

func (l *Ledger) recordEffect(body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.effects[body]++
}

// Received returns the number of calls received, and how many of them were given up.
func (l *Ledger) Received() (calls, givenUp int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received, l.givenUp
}

// Effects returns how often a call with each body took effect.
func (l *Ledger) Effects() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	copied := map[string]int{}
	for body, n := range l.effects {
		copied[body] = n
	}
	return copied
}

// Connections returns the number of open connections and its maximum so far.
func (l *Ledger) Connections() (open, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openConns, l.maxConns
}
