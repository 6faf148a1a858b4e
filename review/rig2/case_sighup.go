package rig2

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["window-that-grows-at-sighup"] = windowThatGrowsAtSighup }

// windowThatGrowsAtSighup: keys outlive the process, and SIGHUP makes the window of their
// class longer. Past the shorter window the process is killed and started again. Later
// tries in the longer window must not run.
func windowThatGrowsAtSighup(r *rig) bool {
	const keys, size, shorter, longer = 300, 64 << 10, 12_000, 60_000
	var mu sync.Mutex
	runs := map[string]int{} // by body
	result := func(body string) string {
		head := resultOf(body)
		return head + strings.Repeat(".", size-len(head))
	}
	b := r.newBackend(func(body string) string {
		mu.Lock()
		defer mu.Unlock()
		runs[body]++
		return result(body)
	})
	listen, ops := r.freeAddress(), r.freeAddress()
	file := func(windowMS int) string {
		return r.write("operator.toml", fmt.Sprintf(`
[uwsgi]
listen = %q
[machine]
name = "broker-1"
ops = %q
cores = 4
work_mb = 256
key_kb = 64
[[team]]
name = "swiftride"
requests_per_s = 62
[[service]]
name = "address-archive"
backend = %q
[[service.contract]]
class = "archive-address"
effect = "keyed"
aim_ms = 1800
deadline_ms = 5300
window_ms = %d
max_result = %d
worth = 4.0
[keys]
folder = %q
`, listen, ops, b.address, windowMS, size, r.path("keys")))
	}
	operator := file(shorter)
	start := func(name string) *server {
		s := r.start(name, ops, nil, "KITESLIP_OPERATOR="+operator)
		s.mustBeReady()
		return s
	}
	s := start("first")
	began := time.Now()
	// tries sends a try of each key and returns how many got their result.
	tries := func() (served int) {
		for i := range keys {
			body := fmt.Sprint("address ", i)
			a := r.doUWSGI(listen, body, 6*time.Second, map[string]string{"KITESLIP_CLASS": "archive-address", "KITESLIP_KEY": fmt.Sprint("key-", i)})
			if a.status == 200 && a.body == result(body) {
				served++
			}
		}
		mu.Lock()
		defer mu.Unlock()
		twice := 0
		for _, n := range runs {
			if n > 1 {
				twice++
			}
		}
		r.note("a try of each key, %.1f s after the first: %d of %d served, %d keys have run, %d of them twice",
			time.Since(began).Seconds(), served, keys, len(runs), twice)
		return served
	}
	if tries() != keys {
		panic(cannotRun("the first tries are not all served"))
	}
	file(longer)
	s.signal(syscall.SIGHUP)
	time.Sleep(time.Second)
	if time.Since(began) > (shorter-1000)*time.Millisecond {
		panic(cannotRun("the first tries took too long"))
	}
	time.Sleep(time.Until(began.Add((shorter + 7000) * time.Millisecond))) // past the shorter window of each
	tries()
	if r.trouble {
		s.kill()
		time.Sleep(time.Second)
		start("second")
	}
	tries()
	mu.Lock()
	defer mu.Unlock()
	for body, n := range runs {
		if n > 1 {
			r.note("%q ran %d times", body, n)
		}
	}
	for _, n := range runs {
		if n > 1 {
			return true
		}
	}
	return false
}
