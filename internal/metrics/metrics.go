// Package metrics formats the metrics of a server in the statsd format. The values are
// counted elsewhere, where the events occur.
package metrics

import (
	"fmt"
	"strings"

	"kiteslip/internal/reject"
)

// Class has the counters of one class since the start.
type Class struct {
	Name             string
	OK, Shed, Errors int // served, refused, failed
}

// Pool is the state of one pool of classes.
type Pool struct {
	Name                       string
	Limit, Running, Waiting    int
	Guaranteed, Borrowed, Lent int // running slots of its own; runs beyond them; unused ones given to others
	SavedRuns                  int // credit
	MaxQueued                  int
	Refused                    int // since the start
	BookedKB                   int
	HasCheapest                bool // the reserve for the cheapest class is in this pool
}

// Snapshot has the values of all metrics at one time.
type Snapshot struct {
	Classes                         []Class
	Tries                           int // runs sent to the engine or a backend
	Active                          int // requests received and not yet ended
	ConfigsApplied, ConfigsRejected int // configuration files at SIGHUP
	Pools                           []Pool
	Keys                            *Keys               // nil = no key store
	Ledger                          *Ledger             // nil = no downstream calls
	Control                         *Control            // nil = no versions are followed
	RejectedBy                      []reject.CauseCount // rejected input, by cause
}

const prefix = "app."

// Append appends a line for each metric.
func (s *Snapshot) Append(b []byte) []byte {
	line := func(name string, value int, kind string) {
		b = fmt.Appendf(b, "%s%s:%d|%s\n", prefix, name, value, kind)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		name := nameReplacer.Replace(c.Name)
		line("ok."+name, c.OK, "c")
		line("shed."+name, c.Shed, "c")
		line("errors."+name, c.Errors, "c")
	}
	line("tries", s.Tries, "c")
	line("active", s.Active, "g")
	line("config_applied", s.ConfigsApplied, "c")
	line("config_rejected", s.ConfigsRejected, "c")
	for i := range s.Pools {
		s.Pools[i].append(line)
	}
	if s.Keys != nil {
		s.Keys.append(line)
	}
	if s.Ledger != nil {
		s.Ledger.append(line)
	}
	if s.Control != nil {
		s.Control.append(line)
	}
	for _, r := range s.RejectedBy {
		line("rejected."+nameReplacer.Replace(r.Cause), r.Count, "c")
	}
	return b
}

// nameReplacer replaces the characters of a name that have a meaning in the format.
var nameReplacer = strings.NewReplacer(":", "_", "|", "_", " ", "_", "\n", "_", "\r", "_", "@", "_", "#", "_")

func (p *Pool) append(line func(name string, value int, kind string)) {
	name := "pool." + nameReplacer.Replace(p.Name) + "."
	line(name+"limit", p.Limit, "g")
	line(name+"running", p.Running, "g")
	line(name+"waiting", p.Waiting, "g")
	line(name+"may_wait", p.MaxQueued, "g")
	line(name+"own", p.Guaranteed, "g")
	line(name+"borrowed", p.Borrowed, "g")
	line(name+"lent", p.Lent, "g")
	line(name+"saved", p.SavedRuns, "g")
	line(name+"booked_kb", p.BookedKB, "g")
	cheapest := 0
	if p.HasCheapest {
		cheapest = 1
	}
	line(name+"cheapest", cheapest, "g")
	line(name+"refused", p.Refused, "c")
}

// Keys has the metrics of the key store.
type Keys struct {
	Restored, UnknownOutcome int // keys read at the start; those of them with an unknown outcome
	Commits, Records         int
	Errors                   int
	MaxCommitMS              int // duration of the longest commit
	Waiting                  int // queued records
	DiskKB                   int
	UnrecordedRuns           int // keyed runs that started without a record
}

func (k *Keys) append(line func(name string, value int, kind string)) {
	line("keys.restored", k.Restored, "g")
	line("keys.unknown", k.UnknownOutcome, "g")
	line("keys.commits", k.Commits, "c")
	line("keys.records", k.Records, "c")
	line("keys.errors", k.Errors, "c")
	line("keys.longest_commit_ms", k.MaxCommitMS, "g")
	line("keys.waiting", k.Waiting, "g")
	line("keys.disk_kb", k.DiskKB, "g")
	line("keys.unrecorded_runs", k.UnrecordedRuns, "c")
}

// Ledger has the metrics of downstream calls.
type Ledger struct {
	InFlight    int                 // calls in flight
	LateResults int                 // results that came after the call was abandoned
	Outcomes    []reject.CauseCount // calls by outcome
}

func (l *Ledger) append(line func(name string, value int, kind string)) {
	line("ledger.out", l.InFlight, "g")
	line("ledger.late", l.LateResults, "c")
	for _, end := range l.Outcomes {
		line("ledger."+end.Cause, end.Count, "c")
	}
}

// Control has the metrics of the version in force.
type Control struct {
	Version                  int  // 0 = none
	AgeMS                    int  // time since the originator was last heard
	LagMS                    int  // time since a version was announced that is not in force here; 0 = current
	Connected                bool // to a publisher
	Refused, Fork            bool // the last version was refused; another version with this number was received
	Applied                  int  // versions
	Snapshots, Switches      int  // snapshots received; changes of the publisher
	SentBytes, ReceivedBytes int
}

func (c *Control) append(line func(name string, value int, kind string)) {
	bit := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	line("control.version", c.Version, "g")
	line("control.age_ms", c.AgeMS, "g")
	line("control.lag_ms", c.LagMS, "g")
	line("control.followed", bit(c.Connected), "g")
	line("control.refused", bit(c.Refused), "g")
	line("control.fork", bit(c.Fork), "g")
	line("control.applied", c.Applied, "c")
	line("control.snapshots", c.Snapshots, "c")
	line("control.switches", c.Switches, "c")
	line("control.sent_bytes", c.SentBytes, "c")
	line("control.received_bytes", c.ReceivedBytes, "c")
}
