package ledger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"kiteslip"
)

// breakableConn is a connection whose writes fail once broken is set.
type breakableConn struct {
	net.Conn
	broken *atomic.Bool
}

func (b breakableConn) Write(p []byte) (int, error) {
	if b.broken.Load() {
		return 0, errors.New("connection broken before the first byte")
	}
	return b.Conn.Write(p)
}

// An idle connection breaks before a byte of a call is written. If the next
// connection is refused, the call has certainly not run; otherwise it is made once.
func TestIdleConnectionBreaksBeforeCall(t *testing.T) {
	t.Parallel()
	for _, refused := range []bool{true, false} {
		f := newFixture(t, 1, nil)
		var broken atomic.Bool
		dials := 0
		f.transport.DialContext = func(_ context.Context, network, address string) (net.Conn, error) {
			if dials++; dials > 1 && refused {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			c, err := net.Dial(network, address)
			if dials > 1 {
				return c, err
			}
			return breakableConn{c, &broken}, err
		}
		f.Call(1, "a", []byte("first"), maxWait.Microseconds())
		if got := f.nextResult(); got.Outcome != kiteslip.OK {
			t.Fatalf("%+v", got)
		}
		broken.Store(true)
		f.Call(2, "b", []byte("second"), maxWait.Microseconds())
		got := f.nextResult()
		if refused && (got.Outcome != kiteslip.Unreachable || got.Reason != ConnectionRefused) || !refused && got.Outcome != kiteslip.OK {
			t.Errorf("refused %v: %+v", refused, got)
		}
		if n := f.server.Effects()["second"]; !refused && n != 1 || refused && n != 0 {
			t.Errorf("refused %v: the call took effect %d times", refused, n)
		}
	}
}

// An unusual or malformed reply ends the call once, with an outcome that proves
// nothing, and affects no other call.
func TestUnusualReplies(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, reply string
		hold        bool // the connection stays open and silent afterwards
		outcome     kiteslip.Outcome
	}{
		{"1xx before the reply", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, kiteslip.OK},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n\r\n", false, kiteslip.OK},
		{"bytes after the reply", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false, kiteslip.OK},
		{"shorter than it says", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, kiteslip.Reset},
		{"cut in the head", "HTTP/1.1 200 OK\r\nConte", false, kiteslip.Reset},
		{"invalid length", "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n", false, kiteslip.Reset},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", false, kiteslip.Reset},
		{"endless header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", false, kiteslip.Reset},
		{"silence after the head", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true, kiteslip.TimedOut},
		{"silence", "", true, kiteslip.TimedOut},
		{"nothing", "", false, kiteslip.Reset},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					http.ReadRequest(bufio.NewReader(conn)) //nolint:errcheck // the call
					io.WriteString(conn, c.reply)           //nolint:errcheck // the client reports a failure
					if !c.hold {
						conn.Close()
						continue
					}
					t.Cleanup(func() { conn.Close() })
				}
			}()
			results := make(chan Result, 4)
			client, err := New(l.Addr().String(), 1, func(r Result) { results <- r })
			if err != nil {
				t.Fatal(err)
			}
			timeout := maxWait
			if c.hold {
				timeout = 100 * time.Millisecond
			}
			client.Call(1, "a", []byte("body"), timeout.Microseconds())
			got := <-results
			if got.Outcome != c.outcome || c.outcome == kiteslip.OK && string(got.Reply) != "ok" {
				t.Errorf("%+v, want outcome %d", got, c.outcome)
			}
			client.Close()
			if len(results) > 0 {
				t.Errorf("a second result: %+v", <-results)
			}
		})
	}
}
