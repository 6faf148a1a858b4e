package config

import (
	"fmt"
	"reflect"
	"slices"

	"kiteslip"
	"kiteslip/internal/control/document"
	"kiteslip/internal/pool"
)

// The limits of the slots for classes and teams in one process, retired ones
// included. A class takes some kilobytes, a team some hundred bytes.
const (
	maxClassSlots = document.MaxContracts
	maxTeamSlots  = document.MaxTeams
)

// extraRetentionUS is the time beyond twice the longest timeout of a class for which a
// retired team keeps its slot: its last request has ended long before.
const extraRetentionUS = 60_000_000

// Change is a validated configuration, ready to be applied between two batches of the
// event loop, with the slots that differ from the configuration in force, so that
// applying it takes time in proportion to the differences.
type Change struct {
	Config             *Config
	Pools              *pool.Settings // settings of Config's pools, the same pointer while nothing in them differs; nil = no pools
	Classes            []int          // slots whose class is new, changed or retired
	Tenants            []int          // slots whose team is new, changed or retired
	RestartRequired    []string       // keys whose change needs a restart
	FromFile           bool           // read from a file, so more than classes and teams may differ
	FileContentIgnored bool           // the file's own teams, services and pools are ignored because a version is in force

	updateIndex func() // updates the Updater's service index on Commit; nil = the index is built anew
}

// Updater computes Changes outside the event loop and assigns the slots of classes and
// teams by name. It must be used by one goroutine. A Change is relative to the
// configuration given to NewUpdater or, later, to Commit.
//
// A class keeps its slot for as long as the process lives, because keys and runs refer
// to it. The slot of a retired team is given to another team once the retired one can
// have no open requests any more, by the time given to SetTime.
type Updater struct {
	cfg *Config
	now int64 // microseconds; 0 = SetTime was not called yet

	classes    map[classID]int // slots by class, retired classes included
	teams      map[string]int  // slots by team; retired teams included until their slot is reused
	reusableAt map[int]int64   // by slot of a retired team: when it may be reused; 0 = SetTime will set it
	released   []releasedSlot  // in the order of reusableAt; an entry that differs from the map is stale

	services *serviceIndex  // of the version in force; nil = not built
	pools    *pool.Settings // of the change in force; nil = none, or not known
}

// releasedSlot is the slot of a retired team.
type releasedSlot struct {
	slot       int
	reusableAt int64 // when another team may have it; 0 = not known before SetTime
}

// classID identifies a class: a class whose effect changes is a new class.
type classID struct {
	name   string
	effect kiteslip.Effect
}

// NewUpdater returns an Updater with the slots of the configuration in force.
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

// SetTime sets the current time in microseconds, which never goes back. It is called
// before a change is prepared and before it is committed; without it no slot is reused.
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

// maxOpenTime returns the time in microseconds after which a retired team has certainly
// no open requests.
func maxOpenTime(c *Config) int64 {
	longest := int64(0)
	for i := range c.Policy.Classes {
		longest = max(longest, c.Policy.Classes[i].Timeout)
	}
	return 2*longest + extraRetentionUS
}

// PrepareFile returns the change from the configuration in force to a file that was
// read anew, in time proportional to the whole file. Settings that need a restart keep
// their values and are listed in RestartRequired. While a version is in force, the
// file's machine settings apply and the version's teams, services and pools stay. An
// error means that the file must not be used.
func (p *Updater) PrepareFile(next *Config) (*Change, error) {
	c := p.cfg
	var errs validationErrors
	checkMissingKeys(&errs, "", c.keyTree, next.keyTree)
	m := *next
	underVersion := c.version != nil
	if underVersion {
		content := c.version.Content()
		withVersion, err := next.withContent(&content)
		if err != nil {
			errs = append(errs, fmt.Errorf("with version %d, which is in force: %w", c.version.Header().Number, err))
			return nil, errs.join()
		}
		m, m.version = *withVersion, c.version
	}
	var restart []string // keys whose change needs one
	fixed := func(key string, differs bool) {
		if differs {
			restart = append(restart, key)
		}
	}
	fixed("name", next.Name != c.Name)
	fixed("listen", next.Listen != c.Listen || next.UWSGI.Listen != c.UWSGI.Listen)
	fixed("ops", next.Ops != c.Ops)
	fixed("limits", next.Limits != c.Limits)
	fixed("keys", next.Keys != c.Keys)
	fixed("control", !reflect.DeepEqual(next.Control, c.Control))
	m.Keys, m.Control = c.Keys, c.Control
	m.Name, m.Listen, m.Ops, m.Limits, m.Seed, m.InheritedFD = c.Name, c.Listen, c.Ops, c.Limits, c.Seed, c.InheritedFD
	m.UWSGI.Listen = c.UWSGI.Listen
	ch := p.changeFromConfig(&m, &errs)
	if len(errs) > 0 {
		return nil, errs.join()
	}
	ch.RestartRequired, ch.FromFile, ch.FileContentIgnored = restart, true, underVersion
	return ch, nil
}

// PrepareVersion returns the change from the configuration in force to a fleet
// version; machine settings stay. With a delta on the version in force it takes time in
// proportion to the delta (and to copies of flat lists), without one in proportion to
// the whole version. The outcome equals that of a file with the same content. An error
// lists everything invalid and means that this server cannot use the version.
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

// changeFromConfig returns the change to next, the result. It moves next's classes and
// teams to their slots, lists what differs and retires what next does not have.
func (p *Updater) changeFromConfig(next *Config, errs *validationErrors) *Change {
	d := p.newChangeBuilder(next)
	names, tenants := next.Classes, next.Tenants
	classes := make([]classConfig, len(names))
	for i := range names {
		classes[i] = next.classConfig(i)
	}
	budgets := next.Policy.Tenants
	d.copyClasses()
	d.copyTeams()
	configured := make([]bool, len(p.cfg.Classes)+len(names))
	for i, name := range names {
		configured[d.setClass(name, &classes[i])] = true
	}
	for i := range p.cfg.Classes {
		if !configured[i] {
			d.retireClass(i)
		}
	}
	configured = make([]bool, len(p.cfg.Tenants)+len(tenants))
	for i, name := range tenants {
		configured[d.setTeam(name, budgets[i].Quota)] = true
	}
	for i := range p.cfg.Tenants {
		if !configured[i] {
			d.retireTeam(i)
		}
	}
	d.checkSlotLimits(errs)
	return d.build()
}

// Commit records that a Change is in force.
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
		switch retired, wasRetired := IsRetired(next.RetiredTenants, i), i < len(was.Tenants) && IsRetired(was.RetiredTenants, i); {
		case !retired:
			delete(p.reusableAt, i)
		case !wasRetired:
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

// compactReleased removes stale entries of the list of released slots once there are
// many: a team that is dropped and added again leaves an entry each time.
func (p *Updater) compactReleased() {
	if len(p.released) < 2*len(p.reusableAt)+64 {
		return
	}
	p.released = slices.DeleteFunc(p.released, func(d releasedSlot) bool { return p.isStale(d) })
}

// isStale reports whether the team has been added again or its slot has been reused.
func (p *Updater) isStale(d releasedSlot) bool {
	due, still := p.reusableAt[d.slot]
	return !still || due != d.reusableAt
}
