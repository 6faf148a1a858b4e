// Package ledger makes calls to what lies below, by HTTP/1.1 beside the loop.
//
// A Client belongs to one goroutine, the loop; so does the function that its
// results are handed to, through the hand-over that New is given. Each Call ends
// with one Result, unless it is abandoned first. Nothing here waits, and no name
// is ever looked up: an address is an IP address and a port.
//
// What a Result proves is stated in docs/design/calls.md. Only Full,
// Unreachable and Moot say that nothing ran.
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

// The bounds of a client.
const (
	replyMost   = 64 << 10        // bytes of a reply; one of a call that goes well holds 4 KiB
	headMost    = 16 << 10        // bytes of a reply's head
	idleMost    = 8 * time.Second // the far side closes after 10
	callsMost   = 4096            // calls in hand
	dialWithin  = time.Second
	patientMost = time.Hour
)

// Result is the end of one call.
type Result struct {
	Token   uint64
	Outcome kiteslip.Outcome
	Reason  EndReason
	Reply   []byte // OK only; unchanged
	Err     error  // what was seen, where it is not OK
}

// Client makes calls. See the package comment.
type Client struct {
	address string
	hand    func(Result)
	carrier *http.Transport

	mu   sync.Mutex
	out  map[uint64]context.CancelFunc
	done bool
	wait sync.WaitGroup
}

// CheckAddress says what is wrong with an address; nil = it can be used.
func CheckAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Port() == 0 {
		return fmt.Errorf("is %q, want an IP address and a port: names are not looked up", address)
	}
	return nil
}

// New returns a client of the ledger at address that holds at most conns
// connections. hand takes each result, on a goroutine of the client's, and must
// not wait.
func New(address string, conns int, hand func(Result)) (*Client, error) {
	if err := CheckAddress(address); err != nil {
		return nil, fmt.Errorf("ledger %w", err)
	}
	conns = max(1, conns)
	dialer := net.Dialer{Timeout: dialWithin, KeepAlive: -1}
	return &Client{address: address, hand: hand, out: map[uint64]context.CancelFunc{}, carrier: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxConnsPerHost:        conns,
		MaxIdleConns:           conns,
		MaxIdleConnsPerHost:    conns,
		IdleConnTimeout:        idleMost,
		MaxResponseHeaderBytes: headMost,
	}}, nil
}

// SetAddress gives the ledger another address. Calls that are out end where they were
// made; connections that carry none are closed.
func (c *Client) SetAddress(address string) error {
	if err := CheckAddress(address); err != nil {
		return fmt.Errorf("ledger %w", err)
	}
	if address != c.address {
		c.address = address
		c.carrier.CloseIdleConnections()
	}
	return nil
}

var errBusy = errors.New("ledger: too many calls are in hand")

// Call makes a call for the run named ref, given up after patience microseconds.
func (c *Client) Call(token uint64, ref string, body []byte, patience int64) {
	within := min(time.Duration(patience)*time.Microsecond, patientMost)
	ctx, cancel := context.WithTimeout(context.Background(), within)
	c.mu.Lock()
	full := c.done || len(c.out) >= callsMost
	if !full {
		c.out[token] = cancel
		c.wait.Add(1)
	}
	c.mu.Unlock()
	if full {
		cancel()
		c.hand(Result{Token: token, Outcome: kiteslip.Unreachable, Reason: NoConnection, Err: errBusy})
		return
	}
	post := post{address: c.address, ref: ref, body: body, within: within, carrier: c.carrier}
	go func() {
		defer c.wait.Done()
		defer cancel()
		result := post.make(ctx)
		result.Token = token
		c.mu.Lock()
		_, wanted := c.out[token]
		delete(c.out, token)
		c.mu.Unlock()
		if wanted {
			c.hand(result)
		}
	}()
}

// Abandon gives a call up: its connection is closed, and nothing is heard of it.
func (c *Client) Abandon(token uint64) {
	c.mu.Lock()
	cancel := c.out[token]
	delete(c.out, token)
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Close gives up all calls and closes the connections. It returns once none is left.
func (c *Client) Close() {
	c.mu.Lock()
	c.done = true
	for token, cancel := range c.out {
		delete(c.out, token)
		cancel()
	}
	c.mu.Unlock()
	c.wait.Wait()
	c.carrier.CloseIdleConnections()
}
