package document

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"unicode/utf8"

	"kiteslip/internal/pool"
)

// The bounds on a contract's and a pool's figures: those of the operator's file.
const (
	hourMS      = 3_600_000
	mostWorth   = 1e6
	mostBody    = 1 << 20
	defaultBody = 2 << 10
	defaultHeld = 16   // KB
	rounding    = 1e-9 // that sums of parts may be over 1
)

// faults collects what is wrong, all of it.
type faults []error

func (f *faults) add(format string, args ...any) { *f = append(*f, fmt.Errorf(format, args...)) }

func (f *faults) join() error { return errors.Join(*f...) }

// quote shows a name, and not much more of one that is too long.
func quote(s string) string {
	if len(s) > MaxNameBytes {
		return strconv.Quote(s[:MaxNameBytes]) + "..."
	}
	return strconv.Quote(s)
}

// about is an entry, or one of its contracts, whose faults are named. Its name is
// worded only where there is a fault.
type about struct {
	f        *faults
	entry    *entry // nil = the version itself
	contract *Contract
	at       int // of the contract
}

func (a about) add(key, format string, args ...any) {
	title := ""
	if a.entry != nil {
		title = a.entry.title() + " "
	}
	if a.contract != nil && a.contract.Class != "" {
		title += "contract " + quote(a.contract.Class) + " "
	} else if a.contract != nil {
		title += fmt.Sprintf("contract[%d] ", a.at)
	}
	a.f.add("%s%s %s", title, key, fmt.Sprintf(format, args...))
}

// text checks a text that must be there. It says whether it is as it should be.
func (a about) text(key, s string, most int) bool {
	switch {
	case s == "":
		a.add(key, "is absent")
	case len(s) > most:
		a.add(key, "has %d bytes, want at most %d", len(s), most)
	case !utf8.ValidString(s):
		a.add(key, "is %s, want UTF-8", quote(s))
	default:
		return true
	}
	return false
}

// optional checks a text that may be absent. It says whether it is there as it should be.
func (a about) optional(key, s string, most int) bool { return s != "" && a.text(key, s, most) }

func (a about) part(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		a.add(key, "is %v, want 0 to 1", v)
	}
}

func (a about) bytes(key string, n, most int) {
	if n < 0 || n > most {
		a.add(key, "is %d, want 0 to %d bytes", n, most)
	}
}

// figure checks one that may be left open. It says whether it is there as it should be.
func (a about) figure(key string, v *float64, most float64) bool {
	if v != nil && !(*v >= 0 && *v <= most) {
		a.add(key, "is %v, want 0 to %v", *v, most)
		return false
	}
	return v != nil
}

// value checks what the entry is set to, by itself.
func (a about) value() {
	switch v := a.entry.value.(type) {
	case *Team:
		if !(v.Quota > 0) || math.IsInf(v.Quota, 0) {
			a.add("requests_per_s", "is %v, want above 0 and finite", v.Quota)
		}
	case *Service:
		a.service(v)
	case *Pool:
		a.pool(v)
	case *float64:
		a.part("share", *v)
	}
}

func (a about) service(s *Service) {
	a.optional("owner", s.Owner, MaxNameBytes)
	if a.optional("backend", s.Backend, MaxNameBytes) {
		if _, _, err := net.SplitHostPort(s.Backend); err != nil {
			a.add("backend", "is %s, want host:port", quote(s.Backend))
		}
	}
	if len(s.Contracts) == 0 {
		a.add("contract", "is absent")
	}
	for i := range s.Contracts {
		about{a.f, a.entry, &s.Contracts[i], i}.check()
	}
}

// check looks at what can be said of a contract wherever it is in force. What it
// leaves open, the platform may say: that is checked where the platform is known.
func (a about) check() {
	c := a.contract
	a.text("class", c.Class, MaxNameBytes)
	if a.optional("path", c.Path, MaxNameBytes) && !strings.HasPrefix(c.Path, "/") {
		a.add("path", "is %s, want one that starts with /", quote(c.Path))
	}
	switch c.Effect {
	case "", "repeatable", "keyed", "once":
	default:
		a.add("effect", "is %s, want repeatable, keyed or once", quote(c.Effect))
	}
	aim, deadline := a.figure("aim_ms", c.TargetTimeMS, hourMS), a.figure("deadline_ms", c.DeadlineMS, hourMS)
	window := a.figure("window_ms", c.WindowMS, hourMS)
	a.figure("worth", c.Worth, mostWorth)
	a.figure("late_worth", c.LateWorth, 1)
	if a.figure("skip_worth", c.SkipWorth, 1) && *c.SkipWorth > 0 && c.CallsDownstream != nil && !*c.CallsDownstream {
		a.add("skip_worth", "is %v, and the class makes no calls", *c.SkipWorth)
	}
	if deadline && micros(c.DeadlineMS) == 0 {
		a.add("deadline_ms", "is %v, want a microsecond at least", *c.DeadlineMS)
		deadline = false
	}
	if aim && deadline && micros(c.TargetTimeMS) > micros(c.DeadlineMS) {
		a.add("aim_ms", "is past the deadline")
	}
	if c.Effect == "keyed" && window && deadline && micros(c.WindowMS) < micros(c.DeadlineMS) {
		a.add("window_ms", "is shorter than the deadline: a later try would run again")
	}
	a.bytes("max_body", c.MaxBody, mostBody)
	a.bytes("max_result", c.MaxResult, mostBody)
	body, held := c.MaxBody, c.RequestMemoryKB
	if body == 0 {
		body = defaultBody
	}
	if held == 0 {
		held = defaultHeld
	}
	if !(held > 0) || math.IsInf(held, 0) {
		a.add("held_kb", "is %v, want above 0 and finite", held)
	} else if held*1024 < float64(body) {
		a.add("held_kb", "is %v, want room for max_body at least", held)
	}
}

// micros is a time as it is served by.
func micros(ms *float64) int64 { return int64(*ms * 1000) }

func (a about) pool(p *Pool) {
	if p.Name == pool.DefaultPool {
		a.add("name", "is that of the classes which no pool names")
	}
	if len(p.Classes) == 0 {
		a.add("classes", "is empty")
	}
	for _, class := range p.Classes {
		a.text("class", class, MaxNameBytes)
	}
	a.part("share", p.Share)
	a.part("most", p.MaxShare)
	a.part("reserve", p.Reserve)
	a.part("memory", p.Memory)
	a.part("memory_most", p.MaxMemoryShare)
	if p.MaxShare > 0 && p.MaxShare < p.Share {
		a.add("most", "is %v, less than the share of %v", p.MaxShare, p.Share)
	}
	if p.MaxMemoryShare > 0 && p.MaxMemoryShare < ownMemory(p) {
		a.add("memory_most", "is %v, less than its own %v", p.MaxMemoryShare, ownMemory(p))
	}
	if p.MaxQueued < 0 {
		a.add("waiting", "is %d, want 0 or more", p.MaxQueued)
	}
}

// ownMemory is the part of the memory that is the pool's own.
func ownMemory(p *Pool) float64 {
	spec := pool.Spec{Share: p.Share, MemoryShare: p.Memory}
	return spec.GuaranteedMemory()
}
