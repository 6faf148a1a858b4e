package fleetday

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Accepted is a version that the publisher accepted.
type Accepted struct {
	Number uint64
	Digest string // the first 12 hex digits
	At     time.Time
}

// InForce is a version that came into force at a server.
type InForce struct {
	Number uint64
	Digest string
	At     time.Time
}

// Life is one life of a server, from a start to its end.
type Life struct {
	From, To time.Time // To is zero while the server is up
	Cause    string    // of its start: a phase, Restarted or FirstStart
	InForce  []InForce
}

// Causes of a start that are not a phase: an ordinary restart, and the first start.
const (
	Restarted  = "restart"
	FirstStart = "begin"
)

// Span is an interval of the day.
type Span struct {
	Name     string
	From, To time.Time
}

// History records the versions, lives and faults of a day, for evaluation afterwards.
type History struct {
	mu          sync.Mutex
	Versions    []Accepted
	Lives       [][]Life // by server
	Region      []int    // by server
	Phases      []Span
	Cuts        map[int][]Span // by region
	CatchUpTime time.Duration  // see Form.CatchUpTime
}

func newHistory(regions []int) *History {
	return &History{Lives: make([][]Life, len(regions)), Region: regions, Cuts: map[int][]Span{}}
}

func (h *History) accepted(a Accepted) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Versions = append(h.Versions, a)
}

// began records the start of a life and returns its number.
func (h *History) began(server int, at time.Time, cause string) (life int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.Lives[server]); n > 0 && h.Lives[server][n-1].To.IsZero() {
		h.Lives[server][n-1].To = at // a start ends a life that is not over
	}
	h.Lives[server] = append(h.Lives[server], Life{From: at, Cause: cause})
	return len(h.Lives[server]) - 1
}

func (h *History) ended(server int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.Lives[server]); n > 0 && h.Lives[server][n-1].To.IsZero() {
		h.Lives[server][n-1].To = at
	}
}

// inForce records that a version came into force in a life of a server. Reports of a
// life may arrive after the next life has begun.
func (h *History) inForce(server, life int, f InForce) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if life >= 0 && life < len(h.Lives[server]) {
		l := &h.Lives[server][life]
		l.InForce = append(l.InForce, f)
	}
}

// current returns how many of the live servers are on version number or a later one, and how many are live.
func (h *History) current(number uint64) (on, live int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, lives := range h.Lives {
		if n := len(lives); n > 0 && lives[n-1].To.IsZero() {
			live++
			if f := lives[n-1].InForce; len(f) > 0 && f[len(f)-1].Number >= number {
				on++
			}
		}
	}
	return on, live
}

// phase begins a phase and ends the previous one.
func (h *History) phase(name string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.Phases); n > 0 {
		h.Phases[n-1].To = at
	}
	h.Phases = append(h.Phases, Span{Name: name, From: at, To: at.Add(time.Hour)})
}

func (h *History) phaseAt(at time.Time) string {
	for i := len(h.Phases) - 1; i >= 0; i-- {
		if !at.Before(h.Phases[i].From) {
			return h.Phases[i].Name
		}
	}
	return FirstStart
}

func (h *History) cut(region int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Cuts[region] = append(h.Cuts[region], Span{From: at, To: at.Add(time.Hour)})
}

func (h *History) restore(region int, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if list := h.Cuts[region]; len(list) > 0 {
		list[len(list)-1].To = at
	}
}

// Verdict is the result for the versions.
type Verdict struct {
	InForceTimes map[string][]time.Duration // by circumstance: from acceptance to in force, one value per version and server, sorted
	Starts       map[string][]time.Duration // by cause of a start: from the start to the first version in force, sorted
	Disorder     []string                   // versions that came into force out of order or with a digest other than the accepted one
	Missing      []string                   // versions that never came into force on a live server
}

// judge evaluates every accepted version on every server. The time runs from its
// acceptance; on a server that was down then, from its start; on one whose region was
// cut off, from the heal. The circumstance is, accordingly, the phase in which the
// version was accepted, the cause of the start, or the heal.
func (h *History) judge(home int) *Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := &Verdict{InForceTimes: map[string][]time.Duration{}, Starts: map[string][]time.Duration{}}
	digests := map[uint64]string{}
	for _, a := range h.Versions {
		digests[a.Number] = a.Digest
	}
	for server, lives := range h.Lives {
		for i := range lives {
			h.checkOrder(v, server, &lives[i], digests)
		}
		for _, a := range h.Versions {
			h.judgeVersion(v, server, lives, a, home)
		}
		if n := len(lives); n > 0 && lives[n-1].To.IsZero() && len(h.Versions) > 0 {
			last, want := uint64(0), h.Versions[len(h.Versions)-1].Number
			if f := lives[n-1].InForce; len(f) > 0 {
				last = f[len(f)-1].Number
			}
			if last < want {
				v.Missing = append(v.Missing, fmt.Sprintf("server %d: version %d: the last one in force is %d", server, want, last))
			}
		}
	}
	for _, list := range v.InForceTimes {
		slices.Sort(list)
	}
	for _, list := range v.Starts {
		slices.Sort(list)
	}
	return v
}

// checkOrder checks the versions of one life: numbers must increase, and each digest must be the accepted one.
func (h *History) checkOrder(v *Verdict, server int, l *Life, digests map[uint64]string) {
	last := uint64(0)
	for i, f := range l.InForce {
		if i > 0 && f.Number <= last {
			v.Disorder = append(v.Disorder, fmt.Sprintf("server %d: version %d after %d", server, f.Number, last))
		}
		if want := digests[f.Number]; f.Digest != want {
			v.Disorder = append(v.Disorder, fmt.Sprintf("server %d: version %d has digest %s, accepted was %q", server, f.Number, f.Digest, want))
		}
		last = f.Number
	}
	if len(l.InForce) > 0 {
		v.Starts[l.Cause] = append(v.Starts[l.Cause], l.InForce[0].At.Sub(l.From))
	}
}

func (h *History) judgeVersion(v *Verdict, server int, lives []Life, a Accepted, home int) {
	for i := range lives {
		l := &lives[i]
		if !l.To.IsZero() && l.To.Before(a.At) {
			continue // the life had ended before
		}
		at := slices.IndexFunc(l.InForce, func(f InForce) bool { return f.Number >= a.Number })
		if at < 0 {
			if l.To.IsZero() {
				v.Missing = append(v.Missing, fmt.Sprintf("server %d: version %d", server, a.Number))
			}
			continue // the life ended first
		}
		from, when := a.At, h.phaseAt(a.At)
		if l.From.After(from) {
			if i == 0 {
				return // older than the server's first life: counted among the starts
			}
			from, when = l.From, "start after "+l.Cause
		}
		forced := l.InForce[at].At
		if h.Region[server] != home {
			for _, c := range h.Cuts[h.Region[server]] {
				if from.Before(c.To) && !forced.Before(c.To) && c.From.Before(forced) && a.At.Before(c.To) {
					from, when = c.To, RegionHealed+", versions made meanwhile"
				}
			}
		}
		v.InForceTimes[when] = append(v.InForceTimes[when], max(0, forced.Sub(from)))
		return
	}
}
