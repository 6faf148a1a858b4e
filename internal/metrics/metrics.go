// Package metrics words what a server reports of itself, in the statsd form.
// It counts nothing: each figure is counted where its event ends.
package metrics

import (
	"fmt"
	"strings"

	"kiteslip/internal/reject"
)

// Class is what became of the requests of one class since the start.
type Class struct {
	Name             string
	OK, Shed, Errors int // served, refused, failed
}

// Pool is one pool of classes at one moment.
type Pool struct {
	Name                       string
	Limit, Running, Waiting    int
	Guaranteed, Borrowed, Lent int // places of its own; runs beyond them; those left to others
	SavedRuns                  int // runs saved up
	MaxQueued                  int
	Refused                    int // since the start
	BookedKB                   int
	HasCheapest                bool // the reserve for the cheapest class is here
}

// Snapshot are those of one moment.
type Snapshot struct {
	Classes                         []Class
	Tries                           int // runs handed to an engine or a backend
	Active                          int // requests taken and not yet ended
	ConfigsApplied, ConfigsRejected int // configuration files at SIGHUP
	Pools                           []Pool
	Keys                            *Keys // nil = none are kept
	Ledger                          *Ledger
	Control                         *Control            // nil = off
	RejectedBy                      []reject.CauseCount // what was turned away unread, by cause
}

const prefix = "app."

// Append appends the figures, a line for each.
func (f *Snapshot) Append(b []byte) []byte {
	line := func(name string, value int, kind string) {
		b = fmt.Appendf(b, "%s%s:%d|%s\n", prefix, name, value, kind)
	}
	for i := range f.Classes {
		c := &f.Classes[i]
		name := nameReplacer.Replace(c.Name)
		line("ok."+name, c.OK, "c")
		line("shed."+name, c.Shed, "c")
		line("errors."+name, c.Errors, "c")
	}
	line("tries", f.Tries, "c")
	line("active", f.Active, "g")
	line("config_applied", f.ConfigsApplied, "c")
	line("config_rejected", f.ConfigsRejected, "c")
	for i := range f.Pools {
		f.Pools[i].append(line)
	}
	if f.Keys != nil {
		f.Keys.append(line)
	}
	if f.Ledger != nil {
		f.Ledger.append(line)
	}
	if f.Control != nil {
		f.Control.append(line)
	}
	for _, r := range f.RejectedBy {
		line("rejected."+nameReplacer.Replace(r.Cause), r.Count, "c")
	}
	return b
}

// nameReplacer takes out of a name what means something in a line of figures.
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

// Keys are the figures of the store of keyed results.
type Keys struct {
	Restored, UnknownOutcome int // keys read at the start; those of them whose end is not known
	Commits, Records         int
	Errors                   int
	MaxCommitMS              int // the longest commit
	Waiting                  int // records that wait for the disk
	DiskKB                   int
	UnrecordedRuns           int // runs that started though nothing could be recorded
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

// Ledger are the figures of calls below.
type Ledger struct {
	InFlight    int                 // calls that are out
	LateResults int                 // ends that nobody waited for any more
	Outcomes    []reject.CauseCount // calls by how they ended
}

func (l *Ledger) append(line func(name string, value int, kind string)) {
	line("ledger.out", l.InFlight, "g")
	line("ledger.late", l.LateResults, "c")
	for _, end := range l.Outcomes {
		line("ledger."+end.Cause, end.Count, "c")
	}
}

// Control are the figures of the version that the server acts on.
type Control struct {
	Version                  int  // 0 = none
	AgeMS                    int  // since the originator was last heard
	LagMS                    int  // since a version that is not in force here was told of; 0 = current
	Connected                bool // a publisher is
	Refused, Fork            bool
	Applied                  int
	Snapshots, Switches      int
	SentBytes, ReceivedBytes int // bytes
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
