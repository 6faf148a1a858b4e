package config

import (
	"runtime"
	"slices"
	"strings"

	"kiteslip"
	"kiteslip/internal/control/document"
	"kiteslip/internal/pool"
)

// changeBuilder builds a Change. Its result begins as the configuration in force,
// whose lists are copied before they are changed.
type changeBuilder struct {
	updater      *Updater
	result       *Config
	newClasses   map[classID]int // slots that this change assigns
	newTeams     map[string]int
	reusedSlots  map[int]bool // slots of retired teams that this change gives to other teams
	nextReleased int          // index in updater.released of the next slot to consider

	changedClasses, changedTeams map[int]bool

	unchangedPools *pool.Settings // the pools, if nothing in them differs; nil = to be computed
}

// newChangeBuilder returns a builder whose result is m.
func (p *Updater) newChangeBuilder(m *Config) *changeBuilder {
	return &changeBuilder{updater: p, result: m, newClasses: map[classID]int{}, newTeams: map[string]int{}, reusedSlots: map[int]bool{},
		changedClasses: map[int]bool{}, changedTeams: map[int]bool{}}
}

func (d *changeBuilder) copyClasses() {
	c, m := d.updater.cfg, d.result
	m.Classes, m.Policy.Classes = slices.Clone(c.Classes), slices.Clone(c.Policy.Classes)
	m.UWSGI.Contracts, m.Backends, m.MaxResultBytes = slices.Clone(c.UWSGI.Contracts), slices.Clone(c.Backends), slices.Clone(c.MaxResultBytes)
	m.RetiredClasses = make([]bool, len(c.Classes))
	copy(m.RetiredClasses, c.RetiredClasses)
}

func (d *changeBuilder) copyTeams() {
	c, m := d.updater.cfg, d.result
	m.Tenants, m.Policy.Tenants = slices.Clone(c.Tenants), slices.Clone(c.Policy.Tenants)
	m.RetiredTenants = make([]bool, len(c.Tenants))
	copy(m.RetiredTenants, c.RetiredTenants)
}

// setClass sets the configuration of a class in its slot and returns the slot.
func (d *changeBuilder) setClass(name string, r *classConfig) int {
	m, id := d.result, classID{name, r.class.Effect}
	slot, known := d.updater.classes[id]
	if !known {
		slot, known = d.newClasses[id]
	}
	if !known {
		slot, d.newClasses[id] = len(m.Classes), len(m.Classes)
		m.RetiredClasses = append(m.RetiredClasses, false)
	} else if m.classConfig(slot) == *r && !m.RetiredClasses[slot] {
		return slot
	}
	m.setClass(slot, name, r)
	m.RetiredClasses[slot] = false
	d.changedClasses[slot] = true
	return slot
}

// retireClass marks a class as no longer in force. Its effect and times stay valid
// for requests that are still open.
func (d *changeBuilder) retireClass(slot int) {
	if !d.result.RetiredClasses[slot] {
		d.result.RetiredClasses[slot], d.result.UWSGI.Contracts[slot].Path = true, "" // no path selects a retired class
		d.changedClasses[slot] = true
	}
}

// setTeam sets the budget of a team in its slot and returns the slot.
func (d *changeBuilder) setTeam(name string, quota float64) int {
	m := d.result
	slot, known := d.updater.teams[name]
	if known && d.reusedSlots[slot] { // this change has given the slot to another team
		known = false
	}
	if !known {
		slot, known = d.newTeams[name]
	}
	switch {
	case !known:
		if slot, known = d.reuseSlot(); known {
			m.Tenants[slot] = name
		} else {
			slot = len(m.Tenants)
			m.Tenants, m.Policy.Tenants = append(m.Tenants, name), append(m.Policy.Tenants, kiteslip.Tenant{})
			m.RetiredTenants = append(m.RetiredTenants, false)
		}
		d.newTeams[name] = slot
	case m.Policy.Tenants[slot].Quota == quota && !m.RetiredTenants[slot]:
		return slot
	}
	m.Policy.Tenants[slot].Quota, m.RetiredTenants[slot] = quota, false
	d.changedTeams[slot] = true
	return slot
}

// reuseSlot returns the slot of a retired team that can have no open requests any more.
func (d *changeBuilder) reuseSlot() (slot int, found bool) {
	p := d.updater
	for ; d.nextReleased < len(p.released); d.nextReleased++ {
		next := p.released[d.nextReleased]
		switch {
		case p.isStale(next) || !d.result.RetiredTenants[next.slot] || d.reusedSlots[next.slot]:
		case next.reusableAt == 0 || next.reusableAt > p.now:
			return 0, false
		default:
			d.nextReleased++
			d.reusedSlots[next.slot] = true
			return next.slot, true
		}
	}
	return 0, false
}

// retireTeam marks a team as no longer in force. Its budget stays valid for requests
// that are still open.
func (d *changeBuilder) retireTeam(slot int) {
	if !d.result.RetiredTenants[slot] {
		d.result.RetiredTenants[slot] = true
		d.changedTeams[slot] = true
	}
}

// checkSlotLimits reports lists of classes or teams that exceed their limits.
func (d *changeBuilder) checkSlotLimits(errs *validationErrors) {
	if n := len(d.result.Classes); n > maxClassSlots {
		errs.add("settings", "bring the classes since the start to %d, over %d, and a class's place is never used again: restart", n, maxClassSlots)
	}
	if n := len(d.result.Tenants); n > maxTeamSlots {
		errs.add("settings", "bring the teams, those dropped a short time ago included, to %d, over %d: restart, or drop them and wait", n, maxTeamSlots)
	}
}

// build returns the Change with the slots that differ, in ascending order.
func (d *changeBuilder) build() *Change {
	ch := &Change{Config: d.result, Pools: d.unchangedPools}
	if ch.Pools == nil {
		ch.Pools = d.result.PoolSettings()
	}
	for slot := range d.changedClasses {
		ch.Classes = append(ch.Classes, slot)
	}
	for slot := range d.changedTeams {
		ch.Tenants = append(ch.Tenants, slot)
	}
	slices.Sort(ch.Classes)
	slices.Sort(ch.Tenants)
	return ch
}

// serviceIndex has the classes, paths and owners that the services of the version in
// force use.
type serviceIndex struct {
	classes map[string]bool // classes that have a contract
	paths   map[string]bool
	owners  map[string]int // number of services by owner
}

// add adds a service where n is 1, and removes it where n is -1.
func (x *serviceIndex) add(s *Service, n int) {
	for i := range s.Contracts {
		t := &s.Contracts[i]
		if n > 0 {
			x.classes[t.Class], x.paths[t.Path] = true, true
		} else {
			delete(x.classes, t.Class)
			delete(x.paths, t.Path)
		}
	}
	if x.owners[s.Owner] += n; x.owners[s.Owner] == 0 {
		delete(x.owners, s.Owner)
	}
}

// servicesInForce returns the index of the version in force. The first call after a
// full change builds it, which takes time in proportion to all services.
func (p *Updater) servicesInForce() *serviceIndex {
	if p.services == nil {
		p.services = &serviceIndex{classes: map[string]bool{}, paths: map[string]bool{}, owners: map[string]int{}}
		content := p.cfg.version.Content()
		for i := range content.Services {
			p.services.add(&content.Services[i], 1)
		}
	}
	return p.services
}

// changeFromDelta computes the change from the version in force to its successor, in
// time proportional to the delta. It returns nil if the delta does not apply to the
// version in force or if anything is invalid; changeFromConfig then reports the errors.
func (p *Updater) changeFromDelta(doc *document.Document, delta *document.Delta) *Change {
	was := p.cfg.version
	if delta == nil || was == nil || delta.Header.Parent != was.Digest() || delta.Header.Digest() != doc.Digest() {
		return nil
	}
	m := *p.cfg
	m.version = doc
	s := &deltaBuilder{changeBuilder: p.newChangeBuilder(&m), parent: was, doc: doc, services: p.servicesInForce()}
	for i := range delta.Changes {
		s.classify(&delta.Changes[i])
	}
	if !s.applyTeams() || !s.applyServices() || !s.applyPools() || !s.validate() {
		return nil
	}
	if p.pools != nil && len(s.changedClasses) == 0 && len(s.pools) == 0 && s.cheapReserve == nil {
		s.unchangedPools = p.pools
	}
	ch := s.build()
	ch.updateIndex = func() {
		for _, old := range s.removed {
			s.services.add(old, -1)
		}
		for _, new := range s.added {
			s.services.add(new, 1)
		}
	}
	return ch
}

// deltaBuilder builds a Change from a delta.
type deltaBuilder struct {
	*changeBuilder
	parent, doc *document.Document
	services    *serviceIndex

	teamNames      []string // teams that are set or dropped
	removed, added []*Service
	pools          []document.Change
	cheapReserve   *float64
}

// classify sorts one entry of the delta by its kind. The new content of a service is
// taken from the document.
func (s *deltaBuilder) classify(c *document.Change) {
	switch {
	case c.Team != nil:
		s.teamNames = append(s.teamNames, c.Team.Name)
	case c.Service != nil:
		if old, known := s.parent.Service(c.Service.Name); known {
			s.removed = append(s.removed, old)
		}
		if now, known := s.doc.Service(c.Service.Name); known {
			s.added = append(s.added, now)
		}
	case c.Pool != nil:
		s.pools = append(s.pools, *c)
	case c.CheapReserve != nil:
		s.cheapReserve = new(float64)
		if !c.Drop {
			*s.cheapReserve = *c.CheapReserve
		}
	}
}

// applyTeams sets and retires the teams of the delta. It reports false if one is invalid.
func (s *deltaBuilder) applyTeams() bool {
	if len(s.teamNames) == 0 {
		return true
	}
	s.copyTeams()
	base := s.result.baseline
	var dropped []string
	for i, name := range s.teamNames {
		if i%64 == 63 {
			runtime.Gosched() // lets the event loop run meanwhile, also with GOMAXPROCS 1
		}
		team, there := s.doc.Team(name)
		known := false
		if !there {
			var index int
			if index, known = base.teamIndex[name]; known {
				team.Quota = base.budgets[index].Quota
			}
		}
		switch {
		case there || known:
			if name == "" || there && !(team.Quota > 0) {
				return false
			}
			s.setTeam(name, team.Quota)
		default:
			dropped = append(dropped, name)
		}
	}
	for _, name := range dropped {
		slot, known := s.updater.teams[name]
		if !known || s.reusedSlots[slot] {
			return false
		}
		s.retireTeam(slot)
	}
	owners := map[string]int{}
	for _, old := range s.removed {
		owners[old.Owner]--
	}
	for _, name := range dropped {
		if s.services.owners[name]+owners[name] > 0 {
			return false
		}
	}
	return true
}

// hasTeam reports whether a team of that name is in force after the change.
func (s *deltaBuilder) hasTeam(name string) bool {
	slot, known := s.updater.teams[name]
	if known && !s.reusedSlots[slot] {
		return !IsRetired(s.result.RetiredTenants, slot)
	}
	_, known = s.changeBuilder.newTeams[name]
	return known
}

// applyServices sets and retires the classes of the services in the delta. It reports
// false if one is invalid.
func (s *deltaBuilder) applyServices() bool {
	if len(s.removed)+len(s.added) == 0 {
		return true
	}
	s.copyClasses()
	var errs validationErrors
	e := serviceValidator{machine: s.result, errs: &errs, teams: map[string]int{}}
	removedClasses, addedClasses := map[string]bool{}, map[string]bool{}
	removedPaths, addedPaths := map[string]bool{}, map[string]bool{}
	for _, old := range s.removed {
		for i := range old.Contracts {
			removedClasses[old.Contracts[i].Class], removedPaths[old.Contracts[i].Path] = true, true
		}
	}
	for _, new := range s.added {
		if new.Owner != "" && s.hasTeam(new.Owner) {
			e.teams[new.Owner] = 0
		}
		e.checkService(new, indexKey{})
		for i := range new.Contracts {
			t := &new.Contracts[i]
			if t.Class == "" || len(t.Class) > maxNameBytes || addedClasses[t.Class] || s.services.classes[t.Class] && !removedClasses[t.Class] {
				return false
			}
			addedClasses[t.Class] = true
			if t.Path != "" && (addedPaths[t.Path] || s.services.paths[t.Path] && !removedPaths[t.Path] || !strings.HasPrefix(t.Path, "/")) {
				return false
			}
			addedPaths[t.Path] = true
			r := e.classFromContract(t, new.Backend, contractKey{})
			s.replaceClass(t.Class, &r)
		}
	}
	for _, old := range s.removed {
		for i := range old.Contracts {
			if class := old.Contracts[i].Class; addedClasses[class] {
				continue
			} else if r, known := s.result.baseline.classConfig(class); known {
				s.replaceClass(class, &r)
			} else {
				s.replaceClass(class, nil)
			}
		}
	}
	return len(errs) == 0 && len(s.services.classes)-len(removedClasses)+len(addedClasses)+len(s.result.baseline.names) > 0
}

// replaceClass sets a class, or retires it where r is nil, and retires a class of the
// same name with another effect.
func (s *deltaBuilder) replaceClass(name string, r *classConfig) {
	slot := -1
	if r != nil {
		slot = s.setClass(name, r)
	}
	for _, effect := range effects {
		if other, known := s.updater.classes[classID{name, effect}]; known && other != slot {
			s.retireClass(other)
		}
	}
}

// hasClass reports whether a class of that name is in force after the change.
func (s *deltaBuilder) hasClass(name string) bool {
	for _, effect := range effects {
		id := classID{name, effect}
		slot, known := s.updater.classes[id]
		if !known {
			slot, known = s.changeBuilder.newClasses[id]
		}
		if known && !IsRetired(s.result.RetiredClasses, slot) {
			return true
		}
	}
	return false
}

// applyPools applies the delta's changes of pools. It reports false if the outcome is
// invalid.
func (s *deltaBuilder) applyPools() bool {
	m := s.result
	if s.cheapReserve != nil {
		m.CheapReserve = *s.cheapReserve
	}
	if len(s.pools) > 0 {
		m.Pools = slices.Clone(m.Pools)
		for i := range s.pools {
			c := &s.pools[i]
			m.Pools = slices.DeleteFunc(m.Pools, func(p Pool) bool { return p.Name == c.Pool.Name })
			if !c.Drop {
				m.Pools = append(m.Pools, *c.Pool)
			}
		}
		slices.SortFunc(m.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	}
	if len(s.pools) == 0 && s.cheapReserve == nil && (len(m.Pools) == 0 || len(s.changedClasses) == 0) {
		return true
	}
	var errs validationErrors
	m.checkPools(s.hasClass, &errs)
	return len(errs) == 0
}

// validate reports whether the policy accepts the changed classes and teams, and the
// slot limits hold.
func (s *deltaBuilder) validate() bool {
	m := s.result
	if m.Keys.Folder != "" && len(s.removed) > 0 && !m.anyKeyed() {
		return false
	}
	small := m.Policy
	small.Classes, small.Tenants = nil, nil
	for slot := range s.changedClasses {
		small.Classes = append(small.Classes, m.Policy.Classes[slot])
	}
	for slot := range s.changedTeams {
		small.Tenants = append(small.Tenants, m.Policy.Tenants[slot])
	}
	if len(small.Classes) == 0 {
		small.Classes = m.Policy.Classes[:1]
	}
	if _, err := kiteslip.New(small, 0); err != nil {
		return false
	}
	var errs validationErrors
	s.checkSlotLimits(&errs)
	return len(errs) == 0
}
