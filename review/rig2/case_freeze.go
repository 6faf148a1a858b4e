package main

import (
	"syscall"
	"time"
)

func init() { cases["run-again-after-freeze"] = runAgainAfterFreeze }

// runAgainAfterFreeze: a keyed request has run. The process freezes for three
// seconds around the end of the window, in which another try is written.
func runAgainAfterFreeze(r *rig) bool {
	e := r.newEngine("engine", func(string, string) time.Duration { return 300 * time.Millisecond })
	listen, ops := r.freeAddress(), r.freeAddress()
	platform := r.platformFile("n3", listen, e.address)
	s := r.start("server", ops, nil, "EDGE_CONFIG="+platform, "EDGE_OPS="+ops)
	s.mustBeReady()
	request := frameRequest{kind: "register-address", key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", body: "one address", timeout: keyTimeout}
	a, ts := r.askFrames(listen, request)
	if a.code != 79 {
		panic(cannotRun("the first try was not served"))
	}
	at := func(after time.Duration) { time.Sleep(time.Until(time.UnixMilli(ts).Add(after))) }
	at(keyWindow - 600*time.Millisecond)
	if r.trouble {
		s.signal(syscall.SIGSTOP)
	}
	again := make(chan frameAnswer, 1)
	at(keyWindow - 500*time.Millisecond)
	go func() {
		a, _ := r.askFrames(listen, request)
		again <- a
	}()
	at(keyWindow + 2400*time.Millisecond)
	if r.trouble {
		s.signal(syscall.SIGCONT)
	}
	<-again
	runs := e.runsOf(request.body)
	r.note("runs of the key: %d", len(runs))
	return len(runs) > 1
}
