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
	maxTimeMS              = 3_600_000
	maxWorth               = 1e6
	maxBodyBytes           = 1 << 20
	defaultBodyBytes       = 2 << 10
	defaultRequestMemoryKB = 16   // KB
	shareTolerance         = 1e-9 // that sums of parts may be over 1
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

// validator is an entry, or one of its contracts, whose faults are named. Its name is
// worded only where there is a fault.
type validator struct {
	f             *faults
	entry         *entry // nil = the version itself
	contract      *Contract
	contractIndex int // of the contract
}

func (a validator) add(key, format string, args ...any) {
	title := ""
	if a.entry != nil {
		title = a.entry.title() + " "
	}
	if a.contract != nil && a.contract.Class != "" {
		title += "contract " + quote(a.contract.Class) + " "
	} else if a.contract != nil {
		title += fmt.Sprintf("contract[%d] ", a.contractIndex)
	}
	a.f.add("%s%s %s", title, key, fmt.Sprintf(format, args...))
}

// requiredText checks a text that must be there. It says whether it is as it should be.
func (a validator) requiredText(key, s string, most int) bool {
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

// optionalText checks a text that may be absent. It says whether it is there as it should be.
func (a validator) optionalText(key, s string, most int) bool {
	return s != "" && a.requiredText(key, s, most)
}

func (a validator) fraction(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		a.add(key, "is %v, want 0 to 1", v)
	}
}

func (a validator) byteCount(key string, n, most int) {
	if n < 0 || n > most {
		a.add(key, "is %d, want 0 to %d bytes", n, most)
	}
}

// optionalNumber checks one that may be left open. It says whether it is there as it should be.
func (a validator) optionalNumber(key string, v *float64, most float64) bool {
	if v != nil && !(*v >= 0 && *v <= most) {
		a.add(key, "is %v, want 0 to %v", *v, most)
		return false
	}
	return v != nil
}

// checkValue checks what the entry is set to, by itself.
func (a validator) checkValue() {
	switch v := a.entry.value.(type) {
	case *Team:
		if !(v.Quota > 0) || math.IsInf(v.Quota, 0) {
			a.add("requests_per_s", "is %v, want above 0 and finite", v.Quota)
		}
	case *Service:
		a.checkService(v)
	case *Pool:
		a.checkPool(v)
	case *float64:
		a.fraction("share", *v)
	}
}

func (a validator) checkService(s *Service) {
	a.optionalText("owner", s.Owner, MaxNameBytes)
	if a.optionalText("backend", s.Backend, MaxNameBytes) {
		if _, _, err := net.SplitHostPort(s.Backend); err != nil {
			a.add("backend", "is %s, want host:port", quote(s.Backend))
		}
	}
	if len(s.Contracts) == 0 {
		a.add("contract", "is absent")
	}
	for i := range s.Contracts {
		validator{a.f, a.entry, &s.Contracts[i], i}.checkContract()
	}
}

// checkContract looks at what can be said of a contract wherever it is in force. What it
// leaves open, the platform may say: that is checked where the platform is known.
func (a validator) checkContract() {
	c := a.contract
	a.requiredText("class", c.Class, MaxNameBytes)
	if a.optionalText("path", c.Path, MaxNameBytes) && !strings.HasPrefix(c.Path, "/") {
		a.add("path", "is %s, want one that starts with /", quote(c.Path))
	}
	switch c.Effect {
	case "", "repeatable", "keyed", "once":
	default:
		a.add("effect", "is %s, want repeatable, keyed or once", quote(c.Effect))
	}
	aim, deadline := a.optionalNumber("aim_ms", c.TargetTimeMS, maxTimeMS), a.optionalNumber("deadline_ms", c.DeadlineMS, maxTimeMS)
	window := a.optionalNumber("window_ms", c.WindowMS, maxTimeMS)
	a.optionalNumber("worth", c.Worth, maxWorth)
	a.optionalNumber("late_worth", c.LateWorth, 1)
	if a.optionalNumber("skip_worth", c.SkipWorth, 1) && *c.SkipWorth > 0 && c.CallsDownstream != nil && !*c.CallsDownstream {
		a.add("skip_worth", "is %v, and the class makes no calls", *c.SkipWorth)
	}
	if deadline && toMicros(c.DeadlineMS) == 0 {
		a.add("deadline_ms", "is %v, want a microsecond at least", *c.DeadlineMS)
		deadline = false
	}
	if aim && deadline && toMicros(c.TargetTimeMS) > toMicros(c.DeadlineMS) {
		a.add("aim_ms", "is past the deadline")
	}
	if c.Effect == "keyed" && window && deadline && toMicros(c.WindowMS) < toMicros(c.DeadlineMS) {
		a.add("window_ms", "is shorter than the deadline: a later try would run again")
	}
	a.byteCount("max_body", c.MaxBody, maxBodyBytes)
	a.byteCount("max_result", c.MaxResult, maxBodyBytes)
	body, held := c.MaxBody, c.RequestMemoryKB
	if body == 0 {
		body = defaultBodyBytes
	}
	if held == 0 {
		held = defaultRequestMemoryKB
	}
	if !(held > 0) || math.IsInf(held, 0) {
		a.add("held_kb", "is %v, want above 0 and finite", held)
	} else if held*1024 < float64(body) {
		a.add("held_kb", "is %v, want room for max_body at least", held)
	}
}

// toMicros is a time as it is served by.
func toMicros(ms *float64) int64 { return int64(*ms * 1000) }

func (a validator) checkPool(p *Pool) {
	if p.Name == pool.DefaultPool {
		a.add("name", "is that of the classes which no pool names")
	}
	if len(p.Classes) == 0 {
		a.add("classes", "is empty")
	}
	for _, class := range p.Classes {
		a.requiredText("class", class, MaxNameBytes)
	}
	a.fraction("share", p.Share)
	a.fraction("most", p.MaxShare)
	a.fraction("reserve", p.Reserve)
	a.fraction("memory", p.Memory)
	a.fraction("memory_most", p.MaxMemoryShare)
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
