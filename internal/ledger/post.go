package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"kiteslip"
)

// EndReason is what was seen of a call's end, finer than its outcome: it is counted.
type EndReason uint8

// The ends.
const (
	OK                EndReason = iota
	Rejected                    // 503, and it never ran
	ServerError                 // 500
	RemoteTimeout               // 504: it ran out of time, or its run has ended
	NoSuchRun                   // 409: no run waits for it, and it never ran
	Unconfirmed                 // 503 or 409 without the word that it never ran
	UnexpectedStatus            // a status that the protocol does not have
	ConnectionRefused           // the connection was refused, or could not be made
	NoConnection                // none was free in time
	ConnectionBroken            // the connection broke under the call
	CallTimeout                 // given up at the end of its patience
	Oversized                   // a reply of more than is allowed
	Malformed                   // a reply that is no HTTP
	ends
)

var endWords = [ends]string{"ok", "turned_away", "error", "expired", "moot", "unproved", "status", "refused",
	"no_connection", "broken", "slow", "oversized", "malformed"}

func (e EndReason) String() string {
	if e < ends {
		return endWords[e]
	}
	return "unknown"
}

// EndReasons lists all ends, for those who count by them.
func EndReasons() []EndReason {
	var all []EndReason
	for e := range ends {
		all = append(all, e)
	}
	return all
}

// post is one call.
type post struct {
	address string
	ref     string
	body    []byte
	within  time.Duration
	carrier http.RoundTripper
}

// trace is how far a call got. The transport calls it on goroutines of its own.
type trace struct {
	connected atomic.Bool // there was a connection to write it on
	refused   atomic.Bool // a connection was tried and could not be made
}

func (t *trace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		// Another try begins only where nothing was written on the connection before.
		GetConn: func(string) { t.connected.Store(false) },
		// From here on bytes may have gone out: the transport writes as soon as it has a connection.
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
		ConnectDone: func(_, _ string, err error) {
			if err != nil {
				t.refused.Store(true)
			}
		},
	}
}

// make makes the call and says how it ended. The transport does not repeat a
// POST of which anything may have been written.
func (p *post) make(ctx context.Context) Result {
	var seen trace
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, seen.hooks()), http.MethodPost,
		"http://"+p.address+"/post", bytes.NewReader(p.body))
	if err != nil {
		return Result{Outcome: kiteslip.Unreachable, Reason: ConnectionRefused, Err: err}
	}
	request.Header = http.Header{
		"X-Txn-Ref":  {p.ref},
		"X-Limit-Ms": {strconv.FormatInt(max(1, p.within.Milliseconds()), 10)},
		"User-Agent": nil,
	}
	response, err := p.carrier.RoundTrip(request)
	if err != nil {
		return failed(ctx, err, &seen)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, replyMost+1))
	switch {
	case err != nil:
		return failed(ctx, err, &seen)
	case len(reply) > replyMost:
		return Result{Outcome: kiteslip.Reset, Reason: Oversized, Err: fmt.Errorf("ledger: a reply of over %d bytes", replyMost)}
	}
	return judge(response, reply)
}

// judge words a whole reply. What proves that a call never ran is believed only
// where the protocol says so.
func judge(response *http.Response, reply []byte) Result {
	if response.StatusCode == http.StatusOK {
		return Result{Outcome: kiteslip.OK, Reason: OK, Reply: reply}
	}
	untouched := response.Header.Get("X-Untouched") == "1"
	r := Result{Outcome: kiteslip.Failed, Reason: UnexpectedStatus, Err: fmt.Errorf("ledger: status %d, untouched %v", response.StatusCode, untouched)}
	switch response.StatusCode {
	case http.StatusServiceUnavailable:
		if r.Reason = Unconfirmed; untouched {
			r.Outcome, r.Reason = kiteslip.Rejected, Rejected
		}
	case http.StatusConflict:
		if r.Reason = Unconfirmed; untouched {
			r.Outcome, r.Reason = kiteslip.NotStarted, NoSuchRun
		}
	case http.StatusInternalServerError:
		r.Reason = ServerError
	case http.StatusGatewayTimeout:
		r.Outcome, r.Reason = kiteslip.TimedOut, RemoteTimeout
	}
	return r
}

// failed words a call without a whole reply.
func failed(ctx context.Context, err error, seen *trace) Result {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	r := Result{Outcome: kiteslip.Reset, Reason: ConnectionBroken, Err: err}
	switch {
	case !seen.connected.Load() && (seen.refused.Load() || errors.Is(err, syscall.ECONNREFUSED)) && !late:
		r.Outcome, r.Reason = kiteslip.Unreachable, ConnectionRefused
	case !seen.connected.Load():
		r.Outcome, r.Reason = kiteslip.Unreachable, NoConnection
	case late:
		r.Outcome, r.Reason = kiteslip.TimedOut, CallTimeout
	case strings.Contains(err.Error(), "malformed HTTP"):
		r.Reason = Malformed
	case strings.Contains(err.Error(), "exceeded"):
		r.Reason = Oversized
	}
	return r
}
