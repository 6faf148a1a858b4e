package server

import (
	"testing"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// Connections that arrive while the loop is blocked are accepted meanwhile and
// enrolled with the loop together afterwards. The failure: each accept waits until the
// loop has taken over the connection before, so that a burst of callers waits for long.
func TestConnectionsAreAcceptedWhileLoopIsBusy(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(0))
	srv := start(t, engine.Address, "", "")
	srv.eventually(t, "engine link ready", srv.link.Ready)
	const callers = 100
	blocked, release := make(chan struct{}), make(chan struct{})
	srv.onLoop(func() { close(blocked); <-release })
	<-blocked
	var connected []*standin.Caller
	for i := range callers {
		c := standin.Dial(t, srv.framesAddr)
		c.Send(1, standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
		connected = append(connected, c)
	}
	deadline := time.Now().Add(10 * time.Second)
	for len(srv.slots) < callers+len(srv.listeners) {
		if time.Now().After(deadline) {
			close(release)
			t.Fatalf("%d of %d connections were accepted while the loop was blocked", len(srv.slots)-len(srv.listeners), callers)
		}
		time.Sleep(time.Millisecond)
	}
	enrolled := make(chan int, 1)
	close(release)
	// New connections are enrolled before other tasks run, so a task of the next iteration sees all.
	srv.onLoop(func() { srv.onLoop(func() { srv.onLoop(func() { enrolled <- len(srv.conns) }) }) })
	if n := <-enrolled; n < callers {
		t.Errorf("%d of %d connections are enrolled after the blocked loop iteration", n, callers)
	}
	for i, c := range connected {
		if got, _ := c.Next(); got.Code != frame.Served && got.Code != frame.Refused { // admission may refuse some of so many at once
			t.Errorf("caller %d: got %+v, want served or refused", i, got)
		}
	}
}
