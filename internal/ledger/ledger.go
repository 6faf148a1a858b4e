// Package ledger makes the downstream calls by HTTP/1.1, outside the event loop.
//
// A Client belongs to one goroutine, the loop; so does the function that its
// results are handed to, through the queue behind the function that New is given.
// Each Call ends with one Result, unless it is abandoned first. No method but
// Close blocks, and names are not resolved: an address is an IP address and a port.
//
// docs/design/calls.md states what a Result proves. Only Rejected, Unreachable and
// NoSuchRun say that nothing ran.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"kiteslip"
)

// The limits of a client.
const (
	maxReplyBytes  = 64 << 10        // a successful reply holds 4 KiB
	maxHeaderBytes = 16 << 10        // of a reply
	idleTimeout    = 8 * time.Second // the ledger closes idle connections after 10 s
	maxCalls       = 4096            // in progress
	dialTimeout    = time.Second
	maxCallTimeout = time.Hour
)

// Result is the end of one call.
type Result struct {
	Token   uint64
	Outcome kiteslip.Outcome
	Reason  EndReason
	Reply   []byte // OK only; unchanged
	Err     error  // the cause, if Reason is not OK
}

// Client makes calls. See the package comment.
type Client struct {
	address   string
	onResult  func(Result)
	transport *http.Transport

	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
	closed  bool
	running sync.WaitGroup
}

// CheckAddress returns an error that says what is wrong with an address, or nil.
func CheckAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Port() == 0 {
		return fmt.Errorf("is %q, want an IP address and a port: names are not looked up", address)
	}
	return nil
}

// New returns a client of the ledger at address with at most conns connections.
// onResult receives each result on a goroutine of the client and must not block.
func New(address string, conns int, onResult func(Result)) (*Client, error) {
	if err := CheckAddress(address); err != nil {
		return nil, fmt.Errorf("ledger %w", err)
	}
	conns = max(1, conns)
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return &Client{address: address, onResult: onResult, cancels: map[uint64]context.CancelFunc{}, transport: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        conns,
		MaxIdleConns:           conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}, nil
}

// SetAddress changes the ledger's address. Calls in progress end at the old one;
// idle connections are closed.
func (c *Client) SetAddress(address string) error {
	if err := CheckAddress(address); err != nil {
		return fmt.Errorf("ledger %w", err)
	}
	if address != c.address {
		c.address = address
		c.transport.CloseIdleConnections()
	}
	return nil
}

var errTooManyCalls = errors.New("ledger: too many calls in progress")

// Call makes a call for the run named ref, which times out after timeout microseconds.
func (c *Client) Call(token uint64, ref string, body []byte, timeout int64) {
	limit := min(time.Duration(timeout)*time.Microsecond, maxCallTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	c.mu.Lock()
	rejected := c.closed || len(c.cancels) >= maxCalls
	if !rejected {
		c.cancels[token] = cancel
		c.running.Add(1)
	}
	c.mu.Unlock()
	if rejected {
		cancel()
		c.onResult(Result{Token: token, Outcome: kiteslip.Unreachable, Reason: NoConnection, Err: errTooManyCalls})
		return
	}
	post := post{address: c.address, ref: ref, body: body, timeout: limit, transport: c.transport}
	go func() {
		defer c.running.Done()
		defer cancel()
		result := post.do(ctx)
		result.Token = token
		c.mu.Lock()
		_, wanted := c.cancels[token]
		delete(c.cancels, token)
		c.mu.Unlock()
		if wanted {
			c.onResult(result)
		}
	}()
}

// Abandon cancels a call: its connection is closed, and it gets no Result.
func (c *Client) Abandon(token uint64) {
	c.mu.Lock()
	cancel := c.cancels[token]
	delete(c.cancels, token)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Close abandons all calls, closes the connections and returns once all have ended.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	for token, cancel := range c.cancels {
		delete(c.cancels, token)
		cancel()
	}
	c.mu.Unlock()
	c.running.Wait()
	c.transport.CloseIdleConnections()
}
