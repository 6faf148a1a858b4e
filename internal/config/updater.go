package config

import (
	"fmt"
	"reflect"
	"slices"

	"kiteslip"
	"kiteslip/internal/control/document"
	"kiteslip/internal/pool"
)

// The bounds of the classes, and of the teams, that one process has a place for,
// those included that are no longer in force: some kilobytes for each class, some
// hundred bytes for each team.
const (
	maxClassSlots = document.MaxContracts
	maxTeamSlots  = document.MaxTeams
)

// extraRetentionUS is how long, in microseconds, the place of a dropped team stays its
// own beyond twice the longest deadline: its last request has long ended then.
const extraRetentionUS = 60_000_000

// Change is a configuration that is checked and ready to be taken over between
// two batches of the loop, with what differs from the one in force, so that
// taking it over costs by that.
type Change struct {
	Config             *Config
	Pools              *pool.Settings // as Config has them, the same pointer while nothing of them differs; nil = none
	Classes            []int          // places whose class is new, changed or dropped
	Tenants            []int          // places whose team is
	RestartRequired    []string       // keys whose change needs a restart
	FromFile           bool           // more than classes and teams may differ: it comes from a file
	FileContentIgnored bool           // the file's own teams, services and pools are passed over: a version is in force

	updateIndex func() // brings what Places knows of the version in force up to this one; nil = find it anew
}

// Updater makes Changes, beside the loop: which place each class and team has, by
// name. It belongs to one goroutine. A Change follows the configuration that was
// handed to NewPlaces or, later, to Adopted.
//
// A class keeps its place for as long as the process lives: keys and runs hang on
// it. The place of a dropped team is free for another one when nothing of the old
// one can be open any more, by the time that At tells.
type Updater struct {
	cfg *Config
	now int64 // microseconds; 0 = not told yet

	classes    map[classID]int // dropped ones included
	teams      map[string]int  // dropped ones included, until their place is taken
	reusableAt map[int]int64   // by place of a dropped team: when another may have it; 0 = to be set by At
	released   []releasedSlot  // in the order in which they get free; stale where free says otherwise

	services *serviceIndex  // of the version in force; nil = to be found
	pools    *pool.Settings // as the change in force had them; nil = none, or not known
}

// releasedSlot is a place of a dropped team.
type releasedSlot struct {
	slot       int
	reusableAt int64 // when another team may have it; 0 = the time is not told yet
}

// classID is what a class is known by: one whose effect differs is another.
type classID struct {
	name   string
	effect kiteslip.Effect
}

// NewUpdater returns the places of the configuration in force.
func NewUpdater(c *Config) *Updater {
	p := &Updater{cfg: c, classes: make(map[classID]int, len(c.Classes)), teams: indexOf(c.Tenants), reusableAt: map[int]int64{}}
	for i, name := range c.Classes {
		p.classes[classID{name, c.Policy.Classes[i].Effect}] = i
	}
	for i := range c.Tenants {
		if IsRetired(c.RetiredTenants, i) {
			p.reusableAt[i], p.released = 0, append(p.released, releasedSlot{slot: i})
		}
	}
	return p
}

// SetTime tells the time, in microseconds, which only advances. It is told before a
// change is made and before it is adopted; where it is never told no place gets free.
func (p *Updater) SetTime(now int64) {
	first := p.now == 0 && now > 0
	if p.now = max(p.now, now); !first {
		return
	}
	due := p.now + maxOpenTime(p.cfg)
	for i := range p.released {
		p.released[i].reusableAt, p.reusableAt[p.released[i].slot] = due, due
	}
}

// maxOpenTime is how long after it is dropped a team may have something open, and more.
func maxOpenTime(c *Config) int64 {
	longest := int64(0)
	for i := range c.Policy.Classes {
		longest = max(longest, c.Policy.Classes[i].Timeout)
	}
	return 2*longest + extraRetentionUS
}

// PrepareFile lays a file that was read anew over the configuration in force. It costs by
// all. What only a restart can change stays and is listed in Kept. While a version
// is in force the machine's part of the file holds, and the version's teams,
// services and pools stay. An error says that the file is not to be used.
func (p *Updater) PrepareFile(next *Config) (*Change, error) {
	c := p.cfg
	var errs validationErrors
	checkMissingKeys(&errs, "", c.keyTree, next.keyTree)
	m := *next
	passed := c.version != nil
	if passed {
		content := c.version.Content()
		served, err := next.withContent(&content)
		if err != nil {
			errs = append(errs, fmt.Errorf("with version %d, which is in force: %w", c.version.Header().Number, err))
			return nil, errs.join()
		}
		m, m.version = *served, c.version
	}
	var kept []string
	keep := func(key string, differs bool) {
		if differs {
			kept = append(kept, key)
		}
	}
	keep("name", next.Name != c.Name)
	keep("listen", next.Listen != c.Listen || next.UWSGI.Listen != c.UWSGI.Listen)
	keep("ops", next.Ops != c.Ops)
	keep("limits", next.Limits != c.Limits)
	keep("keys", next.Keys != c.Keys)
	keep("control", !reflect.DeepEqual(next.Control, c.Control))
	m.Keys, m.Control = c.Keys, c.Control
	m.Name, m.Listen, m.Ops, m.Limits, m.Seed, m.InheritedFD = c.Name, c.Listen, c.Ops, c.Limits, c.Seed, c.InheritedFD
	m.UWSGI.Listen = c.UWSGI.Listen
	ch := p.changeFromConfig(&m, &errs)
	if len(errs) > 0 {
		return nil, errs.join()
	}
	ch.RestartRequired, ch.FromFile, ch.FileContentIgnored = kept, true, passed
	return ch, nil
}

// PrepareVersion lays a version of the fleet's document over it: the machine's part
// stays. With a delta on the version in force it costs by that (and by copies of
// flat lists); without one by all. The outcome is that of a file with the same
// content. An error names all faults, and says that the version cannot be used here.
func (p *Updater) PrepareVersion(doc *document.Document, delta *document.Delta) (*Change, error) {
	if ch := p.changeFromDelta(doc, delta); ch != nil {
		return ch, nil
	}
	content := doc.Content()
	m, err := p.cfg.withContent(&content)
	if err != nil {
		return nil, err
	}
	m.version = doc
	var errs validationErrors
	ch := p.changeFromConfig(m, &errs)
	if len(errs) > 0 {
		return nil, errs.join()
	}
	return ch, nil
}

// changeFromConfig gives what next has the places of what is in force, lists what differs, and
// enters what was dropped. next is the outcome.
func (p *Updater) changeFromConfig(next *Config, errs *validationErrors) *Change {
	d := p.newChangeBuilder(next)
	names, tenants := next.Classes, next.Tenants
	routes := make([]classConfig, len(names))
	for i := range names {
		routes[i] = next.classConfig(i)
	}
	budgets := next.Policy.Tenants
	d.copyClasses()
	d.copyTeams()
	on := make([]bool, len(p.cfg.Classes)+len(names))
	for i, name := range names {
		on[d.setClass(name, &routes[i])] = true
	}
	for i := range p.cfg.Classes {
		if !on[i] {
			d.retireClass(i)
		}
	}
	on = make([]bool, len(p.cfg.Tenants)+len(tenants))
	for i, name := range tenants {
		on[d.setTeam(name, budgets[i].Quota)] = true
	}
	for i := range p.cfg.Tenants {
		if !on[i] {
			d.retireTeam(i)
		}
	}
	d.checkSlotLimits(errs)
	return d.build()
}

// Commit notes that a Change is in force.
func (p *Updater) Commit(ch *Change) {
	was, next := p.cfg, ch.Config
	for _, i := range ch.Classes {
		p.classes[classID{next.Classes[i], next.Policy.Classes[i].Effect}] = i
	}
	due := int64(0)
	for _, i := range ch.Tenants {
		if i < len(was.Tenants) && was.Tenants[i] != next.Tenants[i] && p.teams[was.Tenants[i]] == i {
			delete(p.teams, was.Tenants[i])
		}
		p.teams[next.Tenants[i]] = i
		switch off, wasOff := IsRetired(next.RetiredTenants, i), i < len(was.Tenants) && IsRetired(was.RetiredTenants, i); {
		case !off:
			delete(p.reusableAt, i)
		case !wasOff:
			if due == 0 && p.now != 0 {
				due = p.now + max(maxOpenTime(was), maxOpenTime(next))
			}
			p.reusableAt[i], p.released = due, append(p.released, releasedSlot{i, due})
		}
	}
	p.compactReleased()
	if ch.updateIndex != nil {
		ch.updateIndex()
	} else {
		p.services = nil
	}
	p.cfg, p.pools = next, ch.Pools
}

// compactReleased takes stale entries out of the list of dropped places, once they are many:
// a team that comes and goes is in it each time.
func (p *Updater) compactReleased() {
	if len(p.released) < 2*len(p.reusableAt)+64 {
		return
	}
	p.released = slices.DeleteFunc(p.released, func(d releasedSlot) bool { return p.isStale(d) })
}

// isStale says whether a team came back to its place, or another one has it.
func (p *Updater) isStale(d releasedSlot) bool {
	due, still := p.reusableAt[d.slot]
	return !still || due != d.reusableAt
}
