package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["foreign-result"] = foreignResult }

// foreignResult: a keyed uwsgi request is under way when the server is killed; it
// starts again, and the engine goes on with the run. The next request, with another
// key and another body, must not get the result of that run.
func foreignResult(r *rig) bool {
	e := r.newEngine("engine", func(string, string) time.Duration { return 3 * time.Second })
	listen, ops := r.freeAddress(), r.freeAddress()
	operator := r.write("operator.toml", fmt.Sprintf(`
[uwsgi]
listen = %q
[machine]
name = "broker-1"
ops = %q
engine = %q
cores = 4
work_mb = 256
[[team]]
name = "swiftride"
requests_per_s = 62
[[team]]
name = "nkwa-bank"
requests_per_s = 61
[[service]]
name = "address-register"
[[service.contract]]
class = "register-address"
effect = "keyed"
aim_ms = 5000
deadline_ms = 9000
window_ms = 20000
worth = 4.0
[keys]
folder = %q
`, listen, ops, e.address, r.path("keys")))
	s := r.start("first", ops, nil, "KITESLIP_OPERATOR="+operator)
	s.mustBeReady()
	ask := func(team, key, body string) uwsgiAnswer {
		return r.askUWSGI(listen, body, 10*time.Second, map[string]string{"KITESLIP_CLASS": "register-address", "KITESLIP_TENANT": team, "KITESLIP_KEY": key})
	}
	first := make(chan uwsgiAnswer, 1)
	go func() { first <- ask("swiftride", "key-of-swiftride", "address of swiftride's customer") }()
	if !e.awaitRun("address of swiftride's customer", 5*time.Second) {
		panic(cannotRun("the first request does not run"))
	}
	if r.trouble {
		time.Sleep(100 * time.Millisecond)
		s.signal(syscall.SIGKILL)
		<-s.done
		s = r.start("second", ops, nil, "KITESLIP_OPERATOR="+operator)
		s.mustBeReady()
	}
	const body = "address of nkwa-bank's customer"
	a := ask("nkwa-bank", "key-of-nkwa-bank", body)
	<-first
	return a.status == 200 && a.body != resultOf(body)
}
