package server

import (
	"os"
	"os/signal"
	"time"

	"golang.org/x/sys/unix"
)

// Signals are the signals that the platform sends to a process. Each kind has a
// channel of its own with room for one: of several that arrive while none is
// handled one is enough, and no number of one kind keeps out the other kind.
type Signals struct {
	Stop   <-chan ShutdownNotice
	Reload <-chan os.Signal
}

// ShutdownNotice is a signal that begins a graceful shutdown, with the time at which
// it arrived: the platform counts the time to the kill from then, whatever the
// process was doing.
type ShutdownNotice struct {
	Signal os.Signal
	At     time.Time
}

// Notify receives the signals from here on. It is called before anything else, as
// an unhandled SIGHUP ends the process.
func Notify() Signals {
	raw, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(raw, unix.SIGTERM, unix.SIGINT)
	signal.Notify(reload, unix.SIGHUP)
	stop := make(chan ShutdownNotice, 1)
	go func() { // for the life of the process
		for sig := range raw {
			select {
			case stop <- ShutdownNotice{sig, time.Now()}:
			default: // one is enough
			}
		}
	}()
	return Signals{Stop: stop, Reload: reload}
}
