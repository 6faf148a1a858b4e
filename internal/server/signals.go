package server

import (
	"os"
	"os/signal"
	"time"

	"golang.org/x/sys/unix"
)

// Signals are what the platform tells a process. Each kind has a channel of its
// own with room for one: of several that come while nobody takes them one is
// enough, and however many of one kind come, none keeps the other kind out.
type Signals struct {
	Stop   <-chan ShutdownNotice
	Reload <-chan os.Signal
}

// ShutdownNotice is the notice to leave, and when it came: the platform counts the time
// to the kill from then, whatever the process was doing.
type ShutdownNotice struct {
	Signal os.Signal
	At     time.Time
}

// Notify takes the signals from here on. It is called before anything else: a
// SIGHUP that nobody takes ends the process.
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
