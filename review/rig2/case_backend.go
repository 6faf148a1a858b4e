package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["part-of-a-result"] = partOfAResult }

// partOfAResult: a backend breaks off after a part of its result was sent, and its
// connection is reset. The request has failed; the part must not be served as the result.
func partOfAResult(r *rig) bool {
	whole := strings.Repeat("one line of the result\n", 40)
	b := r.newBackend(func(class, body string) (string, int, bool) {
		if r.trouble {
			return whole, 300, true
		}
		return whole, len(whole), false
	})
	listen, ops := r.freeAddress(), r.freeAddress()
	operator := r.write("operator.toml", fmt.Sprintf(`
[uwsgi]
listen = %q
[machine]
name = "broker-1"
ops = %q
cores = 4
work_mb = 256
[[team]]
name = "swiftride"
requests_per_s = 62
[[service]]
name = "address-register"
backend = %q
[[service.contract]]
class = "register-address"
effect = "keyed"
aim_ms = 1800
deadline_ms = 5300
window_ms = 15765
worth = 4.0
`, listen, ops, b.address))
	s := r.start("server", ops, nil, "KITESLIP_OPERATOR="+operator)
	s.mustBeReady()
	broken := false
	for try := range 2 {
		a := r.askUWSGI(listen, "one address", 6*time.Second, map[string]string{"KITESLIP_CLASS": "register-address", "KITESLIP_KEY": "key-1"})
		if a.status == 0 || !r.trouble && a.status != 200 {
			panic(cannotRun("no answer"))
		}
		if a.status == 200 && a.body != whole {
			r.note("try %d: served %d of %d bytes", try+1, len(a.body), len(whole))
			broken = true
		}
	}
	return broken
}
