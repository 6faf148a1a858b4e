// Package reject counts what is turned away before anything decides on it:
// frames, notices and replies that cannot be read or used. It knows no clock
// and writes no log; whoever notes a rejection is told whether to speak of it.
//
// A Book belongs to one goroutine. Causes are words of the program's own, never
// a caller's text; still, their number is bounded.
package reject

import (
	"maps"
	"slices"
)

// LogIntervalUS is how often the same cause is spoken of, microseconds.
const LogIntervalUS = 60_000_000

// causesMost bounds the causes; what comes beyond is counted as Other.
const causesMost = 64

// Other stands for all causes beyond those that have a place.
const Other = "other"

// CauseCount is how often one cause has come since the start.
type CauseCount struct {
	Cause string
	Count int
}

type entry struct {
	count int
	said  int64
}

// Counter counts by cause. Its zero value is ready to use.
type Counter struct{ causes map[string]*entry }

// Add counts one rejection at now, in Unix microseconds, and reports whether
// it is the first of its cause within Every.
func (b *Counter) Add(now int64, cause string) bool {
	if b.causes == nil {
		b.causes = map[string]*entry{}
	}
	e := b.causes[cause]
	if e == nil && len(b.causes) >= causesMost {
		cause = Other
		e = b.causes[cause]
	}
	if e == nil {
		e = &entry{said: now - LogIntervalUS}
		b.causes[cause] = e
	}
	e.count++
	if now-e.said < LogIntervalUS {
		return false
	}
	e.said = now
	return true
}

// Counts lists the causes by name.
func (b *Counter) Counts() []CauseCount {
	var all []CauseCount
	for _, cause := range slices.Sorted(maps.Keys(b.causes)) {
		all = append(all, CauseCount{cause, b.causes[cause].count})
	}
	return all
}

// Error is an error whose cause has a word.
type Error struct {
	Cause string
	Err   error
}

func (c *Error) Error() string {
	if c.Err == nil {
		return c.Cause
	}
	return c.Err.Error()
}
func (c *Error) Unwrap() error { return c.Err }
