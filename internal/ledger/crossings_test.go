package ledger

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"kiteslip"
)

// breaking is a connection on which nothing more can be written once it is told.
type breaking struct {
	net.Conn
	broken *atomic.Bool
}

func (b breaking) Write(p []byte) (int, error) {
	if b.broken.Load() {
		return 0, errors.New("broken before a byte")
	}
	return b.Conn.Write(p)
}

// A kept connection that breaks before a byte of a call is written, and an
// address that refuses the next one: the call never ran, and is told so. Where
// the next one is taken the call is made once.
func TestKeptConnectionBreaksBeforeTheCall(t *testing.T) {
	t.Parallel()
	for _, refused := range []bool{true, false} {
		r := open(t, 1, nil)
		var broken atomic.Bool
		dials := 0
		r.carrier.DialContext = func(_ context.Context, network, address string) (net.Conn, error) {
			if dials++; dials > 1 && refused {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			c, err := net.Dial(network, address)
			if dials > 1 {
				return c, err
			}
			return breaking{c, &broken}, err
		}
		r.Call(1, "a", []byte("first"), longest.Microseconds())
		if got := r.next(); got.Outcome != kiteslip.OK {
			t.Fatalf("%+v", got)
		}
		broken.Store(true)
		r.Call(2, "b", []byte("second"), longest.Microseconds())
		got := r.next()
		if refused && (got.Outcome != kiteslip.Unreachable || got.End != Refused) || !refused && got.Outcome != kiteslip.OK {
			t.Errorf("refused %v: %+v", refused, got)
		}
		if n := r.far.Effects()["second"]; !refused && n != 1 || refused && n != 0 {
			t.Errorf("refused %v: the call had its effect %d times", refused, n)
		}
	}
}
