package server

import (
	"testing"
	"time"

	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// Connections that come while the loop is busy are all taken out of the
// system's queue meanwhile, and handed over together: none waits for another.
func TestConnectionsAreAcceptedWhileLoopIsBusy(t *testing.T) {
	t.Parallel()
	engine := standin.NewEngine(t, standin.Echo(0))
	r := start(t, engine.Address, "", "")
	r.eventually(t, "the engine's link", r.link.Ready)
	const callers = 100
	busy, release := make(chan struct{}), make(chan struct{})
	r.onLoop(func() { close(busy); <-release })
	<-busy
	var all []*standin.Caller
	for i := range callers {
		c := standin.Dial(t, r.framesAddr)
		c.Send(1, standin.Fields("look", "red", "", uint64(i+1), 3*time.Second), "b")
		all = append(all, c)
	}
	deadline := time.Now().Add(10 * time.Second)
	for len(r.slots) < callers+len(r.listeners) {
		if time.Now().After(deadline) {
			close(release)
			t.Fatalf("%d of %d connections were taken while the loop was busy", len(r.slots)-len(r.listeners), callers)
		}
		time.Sleep(time.Millisecond)
	}
	opened := make(chan int, 1)
	close(release)
	// What is handed over comes before other tasks: a task of the next turn sees all.
	r.onLoop(func() { r.onLoop(func() { r.onLoop(func() { opened <- len(r.conns) }) }) })
	if n := <-opened; n < callers {
		t.Errorf("%d of %d connections are open after the busy turn", n, callers)
	}
	for i, c := range all {
		if got, _ := c.Next(); got.Code != frame.Served && got.Code != frame.Refused { // so many at once are more than it thinks it can do
			t.Errorf("caller %d: %+v", i, got)
		}
	}
}
