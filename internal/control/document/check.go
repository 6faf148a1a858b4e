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
	if len(s) > MostName {
		return strconv.Quote(s[:MostName]) + "..."
	}
	return strconv.Quote(s)
}

// text checks a text that must be there. It says whether it is as it should be.
func (f *faults) text(key, s string, most int) bool {
	switch {
	case s == "":
		f.add("%s is absent", key)
	case len(s) > most:
		f.add("%s has %d bytes, want at most %d", key, len(s), most)
	case !utf8.ValidString(s):
		f.add("%s is %s, want UTF-8", key, quote(s))
	default:
		return true
	}
	return false
}

func (f *faults) optional(key, s string, most int) bool { return s == "" || f.text(key, s, most) }

func (f *faults) part(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		f.add("%s is %v, want 0 to 1", key, v)
	}
}

func (f *faults) count(key string, n, most int) {
	if n < 0 || n > most {
		f.add("%s is %d, want 0 to %d", key, n, most)
	}
}

// entry checks what one entry holds, by itself.
func (f *faults) entry(e *entry) {
	at := e.title()
	switch v := e.value.(type) {
	case *Team:
		if !(v.Quota > 0) || math.IsInf(v.Quota, 0) {
			f.add("%s requests_per_s is %v, want above 0 and finite", at, v.Quota)
		}
	case *Service:
		f.service(at, v)
	case *Pool:
		f.pool(at, v)
	case *float64:
		f.part(at, *v)
	}
}

func (f *faults) service(at string, s *Service) {
	f.optional(at+" owner", s.Owner, MostName)
	if f.optional(at+" backend", s.Backend, MostName) && s.Backend != "" {
		if _, _, err := net.SplitHostPort(s.Backend); err != nil {
			f.add("%s backend is %s, want host:port", at, quote(s.Backend))
		}
	}
	if len(s.Contracts) == 0 {
		f.add("%s contract is absent", at)
	}
	for i := range s.Contracts {
		c := &s.Contracts[i]
		key := at + " contract " + quote(c.Class)
		if c.Class == "" {
			key = fmt.Sprintf("%s contract[%d]", at, i)
		}
		f.contract(key, c)
	}
}

// contract checks what can be said of a contract wherever it is in force. What it
// leaves open, the platform may say: that is checked where the platform is known.
func (f *faults) contract(at string, c *Contract) {
	f.text(at+" class", c.Class, MostName)
	if f.optional(at+" path", c.Path, MostName) && c.Path != "" && !strings.HasPrefix(c.Path, "/") {
		f.add("%s path is %s, want one that starts with /", at, quote(c.Path))
	}
	switch c.Effect {
	case "", "repeatable", "keyed", "once":
	default:
		f.add("%s effect is %s, want repeatable, keyed or once", at, quote(c.Effect))
	}
	figure := func(name string, v *float64, most float64) bool {
		if v != nil && !(*v >= 0 && *v <= most) {
			f.add("%s %s is %v, want 0 to %v", at, name, *v, most)
			return false
		}
		return v != nil
	}
	aim, deadline := figure("aim_ms", c.AimMS, hourMS), figure("deadline_ms", c.DeadlineMS, hourMS)
	window := figure("window_ms", c.WindowMS, hourMS)
	figure("worth", c.Worth, mostWorth)
	figure("late_worth", c.LateWorth, 1)
	if figure("skip_worth", c.SkipWorth, 1) && *c.SkipWorth > 0 && c.Calls != nil && !*c.Calls {
		f.add("%s skip_worth is %v, and the class makes no calls", at, *c.SkipWorth)
	}
	if deadline && micros(c.DeadlineMS) == 0 {
		f.add("%s deadline_ms is %v, want a microsecond at least", at, *c.DeadlineMS)
		deadline = false
	}
	if aim && deadline && micros(c.AimMS) > micros(c.DeadlineMS) {
		f.add("%s aim_ms is past the deadline", at)
	}
	if c.Effect == "keyed" && window && deadline && micros(c.WindowMS) < micros(c.DeadlineMS) {
		f.add("%s window_ms is shorter than the deadline: a later try would run again", at)
	}
	f.count(at+" max_body", c.MaxBody, mostBody)
	f.count(at+" max_result", c.MaxResult, mostBody)
	body, held := c.MaxBody, c.HeldKB
	if body == 0 {
		body = defaultBody
	}
	if held == 0 {
		held = defaultHeld
	}
	if !(held > 0) || math.IsInf(held, 0) {
		f.add("%s held_kb is %v, want above 0 and finite", at, held)
	} else if held*1024 < float64(body) {
		f.add("%s held_kb is %v, want room for max_body at least", at, held)
	}
}

// micros is a time as it is served by.
func micros(ms *float64) int64 { return int64(*ms * 1000) }

func (f *faults) pool(at string, p *Pool) {
	if p.Name == pool.Rest {
		f.add("%s name is that of all classes which no other pool names", at)
	}
	if len(p.Classes) == 0 {
		f.add("%s classes is empty", at)
	}
	for _, class := range p.Classes {
		f.text(at+" class", class, MostName)
	}
	f.part(at+" share", p.Share)
	f.part(at+" most", p.Most)
	f.part(at+" reserve", p.Reserve)
	f.part(at+" memory", p.Memory)
	f.part(at+" memory_most", p.MemoryMost)
	if p.Most > 0 && p.Most < p.Share {
		f.add("%s most is %v, less than the share of %v", at, p.Most, p.Share)
	}
	if p.MemoryMost > 0 && p.MemoryMost < ownMemory(p) {
		f.add("%s memory_most is %v, less than its own %v", at, p.MemoryMost, ownMemory(p))
	}
	if p.Waiting < 0 {
		f.add("%s waiting is %d, want 0 or more", at, p.Waiting)
	}
}

// ownMemory is the part of the memory that is the pool's own.
func ownMemory(p *Pool) float64 {
	spec := pool.Spec{Share: p.Share, Memory: p.Memory}
	return spec.OwnMemory()
}
