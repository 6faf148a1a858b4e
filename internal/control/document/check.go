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

// The bounds on the numbers of a contract and a pool, equal to those of the
// operator's file.
const (
	maxTimeMS              = 3_600_000 // an hour
	maxWorth               = 1e6
	maxBodyBytes           = 1 << 20
	defaultBodyBytes       = 2 << 10
	defaultRequestMemoryKB = 16
	shareTolerance         = 1e-9 // by which a sum of fractions may exceed 1
)

// faults collects all that is invalid.
type faults []error

func (f *faults) add(format string, args ...any) { *f = append(*f, fmt.Errorf(format, args...)) }

func (f *faults) join() error { return errors.Join(*f...) }

// quote quotes a name, and shortens one that is too long.
func quote(s string) string {
	if len(s) > MaxNameBytes {
		return strconv.Quote(s[:MaxNameBytes]) + "..."
	}
	return strconv.Quote(s)
}

// validator validates an entry, or one of its contracts, and adds faults. The name
// of the entry is formatted only if there is a fault.
type validator struct {
	f             *faults
	entry         *entry // nil = the version itself
	contract      *Contract
	contractIndex int // the contract's index in its service
}

// add adds a fault of the field key.
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

// requiredText validates a text that must be present. It reports whether it is
// valid.
func (a validator) requiredText(key, s string, limit int) bool {
	switch {
	case s == "":
		a.add(key, "is absent")
	case len(s) > limit:
		a.add(key, "has %d bytes, want at most %d", len(s), limit)
	case !utf8.ValidString(s):
		a.add(key, "is %s, want UTF-8", quote(s))
	default:
		return true
	}
	return false
}

// optionalText validates a text that may be absent. It reports whether it is present
// and valid.
func (a validator) optionalText(key, s string, limit int) bool {
	return s != "" && a.requiredText(key, s, limit)
}

// fraction validates a number from 0 to 1.
func (a validator) fraction(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		a.add(key, "is %v, want 0 to 1", v)
	}
}

// byteCount validates a size.
func (a validator) byteCount(key string, n, limit int) {
	if n < 0 || n > limit {
		a.add(key, "is %d, want 0 to %d bytes", n, limit)
	}
}

// optionalNumber validates a number that may be absent. It reports whether it is
// present and valid.
func (a validator) optionalNumber(key string, v *float64, limit float64) bool {
	if v != nil && !(*v >= 0 && *v <= limit) {
		a.add(key, "is %v, want 0 to %v", *v, limit)
		return false
	}
	return v != nil
}

// checkValue validates the new value of the entry by itself.
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

// checkService validates a service and its contracts.
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

// checkContract validates what can be said of a contract on every machine. What it
// leaves open may be set by the platform, and is validated where the platform is
// known.
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
	targetTime, deadline := a.optionalNumber("aim_ms", c.TargetTimeMS, maxTimeMS), a.optionalNumber("deadline_ms", c.DeadlineMS, maxTimeMS)
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
	if targetTime && deadline && toMicros(c.TargetTimeMS) > toMicros(c.DeadlineMS) {
		a.add("aim_ms", "is past the deadline")
	}
	if c.Effect == "keyed" && window && deadline && toMicros(c.WindowMS) < toMicros(c.DeadlineMS) {
		a.add("window_ms", "is shorter than the deadline: a later try would run again")
	}
	a.byteCount("max_body", c.MaxBody, maxBodyBytes)
	a.byteCount("max_result", c.MaxResult, maxBodyBytes)
	body, memory := c.MaxBody, c.RequestMemoryKB
	if body == 0 {
		body = defaultBodyBytes
	}
	if memory == 0 {
		memory = defaultRequestMemoryKB
	}
	if !(memory > 0) || math.IsInf(memory, 0) {
		a.add("held_kb", "is %v, want above 0 and finite", memory)
	} else if memory*1024 < float64(body) {
		a.add("held_kb", "is %v, want room for max_body at least", memory)
	}
}

// toMicros converts a time to the microseconds that the policy works with.
func toMicros(ms *float64) int64 { return int64(*ms * 1000) }

// checkPool validates a pool by itself.
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
	if p.MaxMemoryShare > 0 && p.MaxMemoryShare < guaranteedMemory(p) {
		a.add("memory_most", "is %v, less than its own %v", p.MaxMemoryShare, guaranteedMemory(p))
	}
	if p.MaxQueued < 0 {
		a.add("waiting", "is %d, want 0 or more", p.MaxQueued)
	}
}

// guaranteedMemory is the guaranteed fraction of the memory.
func guaranteedMemory(p *Pool) float64 {
	spec := pool.Spec{Share: p.Share, MemoryShare: p.Memory}
	return spec.GuaranteedMemory()
}
