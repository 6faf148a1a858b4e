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

// EndReason says how a call ended, in more detail than its outcome, for counting.
type EndReason uint8

// The end reasons.
const (
	OK                EndReason = iota
	Rejected                    // 503, and it never ran
	ServerError                 // 500
	RemoteTimeout               // 504: it ran out of time, or its run has ended
	NoSuchRun                   // 409: no run waits for it, and it never ran
	Unconfirmed                 // 503 or 409 without the header that says it never ran
	UnexpectedStatus            // a status that the protocol does not define
	ConnectionRefused           // the connection was refused, or could not be established
	NoConnection                // no connection was free in time
	ConnectionBroken            // the connection broke during the call
	CallTimeout                 // the timeout expired
	Oversized                   // the reply exceeds maxReplyBytes
	Malformed                   // the reply is not HTTP
	endReasonCount
)

// endReasonNames are the names of the end reasons in metrics and causes.
var endReasonNames = [endReasonCount]string{"ok", "turned_away", "error", "expired", "moot", "unproved", "status", "refused",
	"no_connection", "broken", "slow", "oversized", "malformed"}

func (e EndReason) String() string {
	if e < endReasonCount {
		return endReasonNames[e]
	}
	return "unknown"
}

// EndReasons returns all end reasons, for counters by reason.
func EndReasons() []EndReason {
	var all []EndReason
	for e := range endReasonCount {
		all = append(all, e)
	}
	return all
}

// post is the HTTP request of one call.
type post struct {
	address   string
	ref       string
	body      []byte
	timeout   time.Duration
	transport http.RoundTripper
}

// connTrace records how far a call got. The transport sets it from its own goroutines.
type connTrace struct {
	connected atomic.Bool // the call was given a connection
	refused   atomic.Bool // a connection could not be established
}

// hooks returns the hooks that set t.
func (t *connTrace) hooks() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		// The transport retries only if nothing was written on the previous connection.
		GetConn: func(string) { t.connected.Store(false) },
		// From here on bytes may have been sent: the transport writes as soon as it has a connection.
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
		ConnectDone: func(_, _ string, err error) {
			if err != nil {
				t.refused.Store(true)
			}
		},
	}
}

// do makes the call and returns how it ended. The transport does not retry a POST
// of which anything may have been written.
func (p *post) do(ctx context.Context) Result {
	var trace connTrace
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace.hooks()), http.MethodPost,
		"http://"+p.address+"/post", bytes.NewReader(p.body))
	if err != nil {
		return Result{Outcome: kiteslip.Unreachable, Reason: ConnectionRefused, Err: err}
	}
	request.Header = http.Header{
		"X-Txn-Ref":  {p.ref},
		"X-Limit-Ms": {strconv.FormatInt(max(1, p.timeout.Milliseconds()), 10)},
		"User-Agent": nil,
	}
	response, err := p.transport.RoundTrip(request)
	if err != nil {
		return failureOf(ctx, err, &trace)
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		return failureOf(ctx, err, &trace)
	case len(reply) > maxReplyBytes:
		return Result{Outcome: kiteslip.Reset, Reason: Oversized, Err: fmt.Errorf("ledger: reply longer than %d bytes", maxReplyBytes)}
	}
	return resultOf(response, reply)
}

// resultOf returns the result of a complete reply. That a call never ran is
// accepted only for the statuses for which the protocol defines it.
func resultOf(response *http.Response, reply []byte) Result {
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

// failureOf returns the result of a call without a complete reply.
func failureOf(ctx context.Context, err error, trace *connTrace) Result {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	r := Result{Outcome: kiteslip.Reset, Reason: ConnectionBroken, Err: err}
	switch {
	case !trace.connected.Load() && (trace.refused.Load() || errors.Is(err, syscall.ECONNREFUSED)) && !timedOut:
		r.Outcome, r.Reason = kiteslip.Unreachable, ConnectionRefused
	case !trace.connected.Load():
		r.Outcome, r.Reason = kiteslip.Unreachable, NoConnection
	case timedOut:
		r.Outcome, r.Reason = kiteslip.TimedOut, CallTimeout
	case strings.Contains(err.Error(), "malformed HTTP"):
		r.Reason = Malformed
	case strings.Contains(err.Error(), "exceeded"):
		r.Reason = Oversized
	}
	return r
}
