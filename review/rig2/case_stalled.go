package rig2

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["upgrade-beside-stalled"] = upgradeBesideStalled }

// upgradeFiles writes what both processes of an upgrade read: the same addresses,
// with an engine's address and an admin endpoint of their own.
func (r *rig) upgradeFiles(listen, uwsgiListen, engine string) (env []string) {
	platform := r.platformFile("n3", listen, engine)
	operator := r.write("operator.toml", fmt.Sprintf("[uwsgi]\nlisten = %q\n", uwsgiListen))
	return []string{"EDGE_CONFIG=" + platform, "KITESLIP_OPERATOR=" + operator}
}

// askBoth sends a request to each front end and reports which are served.
func (r *rig) askBoth(listen, uwsgiListen, name string) (frames, uwsgi bool) {
	f, _ := r.askFrames(listen, frameRequest{kind: "code-to-point", body: name + " by frames", timeout: 2 * time.Second})
	u := r.askUWSGI(uwsgiListen, name+" by uwsgi", 4*time.Second, map[string]string{"KITESLIP_CLASS": "code-to-point", "KITESLIP_TENANT": "swiftride"})
	return f.code == 79, u.status == 200
}

// upgradeBesideStalled: the old process stalls while the new one starts. The new one
// takes clients after some seconds.
func upgradeBesideStalled(r *rig) bool {
	work := func(string, string) time.Duration { return 100 * time.Millisecond }
	oldEngine, newEngine := r.newEngine("old engine", work), r.newEngine("new engine", work)
	listen, socket := r.inherited()
	uwsgiListen, oldOps, newOps := r.freeAddress(), r.freeAddress(), r.freeAddress()
	old := r.start("old", oldOps, socket, append(r.upgradeFiles(listen, uwsgiListen, oldEngine.address), "EDGE_OPS="+oldOps)...)
	old.mustBeReady()
	if f, u := r.askBoth(listen, uwsgiListen, "before"); !f || !u {
		panic(cannotRun("the old process does not serve"))
	}
	if r.trouble {
		old.signal(syscall.SIGSTOP)
	}
	next := r.start("new", newOps, socket, append(r.upgradeFiles(listen, uwsgiListen, newEngine.address), "EDGE_OPS="+newOps)...)
	ready := next.awaitReady(15 * time.Second)
	r.note("the new process is ready: %v, has ended: %v", ready, next.ended())
	f, _ := r.askBoth(listen, uwsgiListen, "after")
	r.note("a request of a class that is safe to repeat is served: %v", f)
	return !ready
}
