// Package reject counts rejected input by cause: frames, notices and replies that
// are malformed or can't be used. It reads no clock and writes no log; the caller
// of Add is told whether to log the rejection.
//
// A Counter belongs to one goroutine. Causes are words of the program's own, never
// text from a caller; their number is limited all the same.
package reject

import (
	"maps"
	"slices"
)

// LogIntervalUS is the shortest time between two log lines on the same cause, in microseconds.
const LogIntervalUS = 60_000_000

// maxCauses limits the number of causes; any further one is counted as Other.
const maxCauses = 64

// Other is the cause under which all causes beyond maxCauses are counted.
const Other = "other"

// CauseCount is the number of rejections with one cause since the start.
type CauseCount struct {
	Cause string
	Count int
}

// causeEntry is the count of one cause and when it was last logged.
type causeEntry struct {
	count    int
	loggedAt int64
}

// Counter counts rejections by cause. Its zero value is ready to use.
type Counter struct{ causes map[string]*causeEntry }

// Add counts one rejection at now, in Unix microseconds, and reports whether to
// log it: whether it is the first of its cause within LogIntervalUS.
func (b *Counter) Add(now int64, cause string) bool {
	if b.causes == nil {
		b.causes = map[string]*causeEntry{}
	}
	e := b.causes[cause]
	if e == nil && len(b.causes) >= maxCauses {
		cause = Other
		e = b.causes[cause]
	}
	if e == nil {
		e = &causeEntry{loggedAt: now - LogIntervalUS}
		b.causes[cause] = e
	}
	e.count++
	if now-e.loggedAt < LogIntervalUS {
		return false
	}
	e.loggedAt = now
	return true
}

// Counts returns the counts, sorted by cause.
func (b *Counter) Counts() []CauseCount {
	var all []CauseCount
	for _, cause := range slices.Sorted(maps.Keys(b.causes)) {
		all = append(all, CauseCount{cause, b.causes[cause].count})
	}
	return all
}

// Error is an error with a cause to count it by.
type Error struct {
	Cause string
	Err   error
}

// Error returns the text of the underlying error, or the cause if there is none.
func (c *Error) Error() string {
	if c.Err == nil {
		return c.Cause
	}
	return c.Err.Error()
}

// Unwrap returns the underlying error.
func (c *Error) Unwrap() error { return c.Err }
