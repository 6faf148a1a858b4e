package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["run-again-after-restart"] = runAgainAfterRestart }

// runAgainAfterRestart: a keyed request has run; the server is restarted, with keys
// that outlive the process and the clients' socket held by the platform. A try that
// is written in the window while no process takes callers waits in the socket's
// queue for the next process, which must not run it.
func runAgainAfterRestart(r *rig) bool {
	e := r.newEngine("engine", func(string, string) time.Duration { return 300 * time.Millisecond })
	listen, socket := r.inherited()
	ops := r.freeAddress()
	platform := r.platformFile("n3", listen, e.address)
	operator := r.write("operator.toml", fmt.Sprintf("[keys]\nfolder = %q\n", r.path("keys")))
	env := []string{"EDGE_CONFIG=" + platform, "EDGE_OPS=" + ops, "KITESLIP_OPERATOR=" + operator}
	s := r.start("first", ops, socket, env...)
	s.mustBeReady()
	request := frameRequest{kind: "register-address", key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", body: "one address", timeout: keyTimeout}
	a, ts := r.askFrames(listen, request)
	if a.code != 79 {
		panic(cannotRun("the first try was not served"))
	}
	at := func(after time.Duration) { time.Sleep(time.Until(time.UnixMilli(ts).Add(after))) }
	again := make(chan frameAnswer, 1)
	retry := func() {
		a, _ := r.askFrames(listen, request)
		again <- a
	}
	if r.trouble {
		at(keyWindow - 5*time.Second)
		s.signal(syscall.SIGTERM)
		if !s.awaitEnd(4800 * time.Millisecond) {
			panic(cannotRun("the first process does not end"))
		}
	}
	at(keyWindow - 500*time.Millisecond)
	go retry()
	if r.trouble {
		at(keyWindow + 1500*time.Millisecond)
		s = r.start("second", ops, socket, env...)
		s.mustBeReady()
	}
	<-again
	runs := e.runsOf(request.body)
	r.note("runs of the key: %d", len(runs))
	return len(runs) > 1
}
