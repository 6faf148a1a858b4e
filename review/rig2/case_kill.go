package main

import (
	"net"
	"strings"
	"syscall"
	"time"
)

func init() { cases["run-again-after-kill"] = runAgainAfterKill }

// runAgainAfterKill: a keyed request has begun when the process is killed. The next
// process is started at once, with the same folder and the clients' socket that the
// platform holds. A later try within the window must not run.
func runAgainAfterKill(r *rig) bool {
	e := r.newEngine("engine", func(string, string) time.Duration { return 20 * time.Millisecond })
	registry, err := net.ListenUDP("udp", &net.UDPAddr{IP: host()})
	r.must(err)
	defer registry.Close()
	beats := make(chan time.Time, 1)
	go func() {
		for {
			b := make([]byte, 512)
			n, _, err := registry.ReadFrom(b)
			if err != nil {
				return
			}
			if strings.HasPrefix(string(b[:n]), "BEAT n3 ready") {
				select {
				case <-beats:
				default:
				}
				beats <- time.Now()
			}
		}
	}()
	listen, socket := r.inherited()
	ops := r.freeAddress()
	platform := r.platformFile("n3", listen, e.address)
	r.rewrite(platform, func(c map[string]any) { c["registry"] = registry.LocalAddr().String() })
	env := []string{"EDGE_CONFIG=" + platform, "EDGE_OPS=" + ops}
	s := r.start("first", ops, socket, env...)
	s.mustBeReady()
	time.Sleep(700 * time.Millisecond)
	<-beats
	beat := <-beats
	time.Sleep(time.Until(beat.Add(190 * time.Millisecond)))
	request := frameRequest{kind: "register-address", key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", body: "one address", timeout: keyTimeout}
	done := make(chan int64, 1)
	go func() {
		_, ts := r.askFrames(listen, request)
		done <- ts
	}()
	if !e.awaitRun(request.body, time.Second) {
		panic(cannotRun("the first try does not run"))
	}
	ts := int64(0)
	if r.trouble {
		time.Sleep(23 * time.Millisecond)
		s.signal(syscall.SIGKILL)
		<-s.done
		ts = <-done
		s = r.start("second", ops, socket, env...)
		s.mustBeReady()
	} else {
		ts = <-done
	}
	time.Sleep(time.Until(time.UnixMilli(ts).Add(keyWindow - 15*time.Millisecond)))
	r.askFrames(listen, request)
	runs := e.runsOf(request.body)
	r.note("runs of the key: %d", len(runs))
	return len(runs) > 1
}
