package config

import (
	"runtime"
	"slices"
	"strings"

	"kiteslip"
	"kiteslip/internal/control/document"
	"kiteslip/internal/pool"
)

// changeBuilder is a Change in the making: the configuration in force, whose lists are
// copied before they are changed.
type changeBuilder struct {
	updater      *Updater
	result       *Config
	newClasses   map[classID]int // places that this change gives out
	newTeams     map[string]int
	reusedSlots  map[int]bool // places of dropped teams that others get
	nextReleased int          // of p.dropped: what may be taken yet

	changedClasses, changedTeams map[int]bool

	unchangedPools *pool.Settings // the pools, where nothing of them differs; nil = to be made
}

// newChangeBuilder starts one in which m is the outcome.
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

// setClass enters a class at its place, and returns that.
func (d *changeBuilder) setClass(name string, r *classConfig) int {
	m, id := d.result, classID{name, r.class.Effect}
	at, known := d.updater.classes[id]
	if !known {
		at, known = d.newClasses[id]
	}
	if !known {
		at, d.newClasses[id] = len(m.Classes), len(m.Classes)
		m.RetiredClasses = append(m.RetiredClasses, false)
	} else if m.classConfig(at) == *r && !m.RetiredClasses[at] {
		return at
	}
	m.setClass(at, name, r)
	m.RetiredClasses[at] = false
	d.changedClasses[at] = true
	return at
}

// retireClass notes that a class is no longer in force. It keeps its promise for what is open.
func (d *changeBuilder) retireClass(at int) {
	if !d.result.RetiredClasses[at] {
		d.result.RetiredClasses[at], d.result.UWSGI.Contracts[at].Path = true, "" // leads here no longer
		d.changedClasses[at] = true
	}
}

// setTeam enters a team at its place, and returns that.
func (d *changeBuilder) setTeam(name string, quota float64) int {
	m := d.result
	at, known := d.updater.teams[name]
	if known && d.reusedSlots[at] { // its place went to another one just now
		known = false
	}
	if !known {
		at, known = d.newTeams[name]
	}
	switch {
	case !known:
		if at, known = d.reuseSlot(); known {
			m.Tenants[at] = name
		} else {
			at = len(m.Tenants)
			m.Tenants, m.Policy.Tenants = append(m.Tenants, name), append(m.Policy.Tenants, kiteslip.Tenant{})
			m.RetiredTenants = append(m.RetiredTenants, false)
		}
		d.newTeams[name] = at
	case m.Policy.Tenants[at].Quota == quota && !m.RetiredTenants[at]:
		return at
	}
	m.Policy.Tenants[at].Quota, m.RetiredTenants[at] = quota, false
	d.changedTeams[at] = true
	return at
}

// reuseSlot finds a place of a dropped team of which nothing can be open any more.
func (d *changeBuilder) reuseSlot() (at int, found bool) {
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

// retireTeam notes that a team is no longer in force. It keeps its budget for what is open.
func (d *changeBuilder) retireTeam(at int) {
	if !d.result.RetiredTenants[at] {
		d.result.RetiredTenants[at] = true
		d.changedTeams[at] = true
	}
}

// checkSlotLimits names what there is too much of.
func (d *changeBuilder) checkSlotLimits(errs *validationErrors) {
	if n := len(d.result.Classes); n > maxClassSlots {
		errs.add("settings", "bring the classes since the start to %d, over %d, and a class's place is never used again: restart", n, maxClassSlots)
	}
	if n := len(d.result.Tenants); n > maxTeamSlots {
		errs.add("settings", "bring the teams, those dropped a short time ago included, to %d, over %d: restart, or drop them and wait", n, maxTeamSlots)
	}
}

func (d *changeBuilder) build() *Change {
	ch := &Change{Config: d.result, Pools: d.unchangedPools}
	if ch.Pools == nil {
		ch.Pools = d.result.PoolSettings()
	}
	for at := range d.changedClasses {
		ch.Classes = append(ch.Classes, at)
	}
	for at := range d.changedTeams {
		ch.Tenants = append(ch.Tenants, at)
	}
	slices.Sort(ch.Classes)
	slices.Sort(ch.Tenants)
	return ch
}

// serviceIndex is which service each class, path and owner belongs to in the version in force.
type serviceIndex struct {
	classes map[string]bool // that a contract speaks of
	paths   map[string]bool
	owners  map[string]int // services of each
}

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

// servicesInForce finds the routes of the version in force: it costs by all, once.
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

// changeFromDelta lays a version over its parent, which is in force, at the cost of the
// delta. nil = that cannot be done, or something is wrong: the whole way says what.
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

// deltaBuilder is a draft by a delta.
type deltaBuilder struct {
	*changeBuilder
	parent, doc *document.Document
	services    *serviceIndex

	teamNames      []string // that are set or dropped
	removed, added []*Service
	pools          []document.Change
	cheapReserve   *float64
}

// classify puts a change where it belongs. What is in force by it is read from the document.
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

func (s *deltaBuilder) applyTeams() bool {
	if len(s.teamNames) == 0 {
		return true
	}
	s.copyTeams()
	base := s.result.baseline
	var dropped []string
	for i, name := range s.teamNames {
		if i%64 == 63 {
			runtime.Gosched() // the loop goes on meanwhile, also where there is one processor
		}
		team, there := s.doc.Team(name)
		known := false
		if !there {
			var at int
			if at, known = base.teamIndex[name]; known {
				team.Quota = base.budgets[at].Quota
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
		at, known := s.updater.teams[name]
		if !known || s.reusedSlots[at] {
			return false
		}
		s.retireTeam(at)
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

// hasTeam says whether there is a team of that name.
func (s *deltaBuilder) hasTeam(name string) bool {
	at, known := s.updater.teams[name]
	if known && !s.reusedSlots[at] {
		return !IsRetired(s.result.RetiredTenants, at)
	}
	_, known = s.changeBuilder.newTeams[name]
	return known
}

func (s *deltaBuilder) applyServices() bool {
	if len(s.removed)+len(s.added) == 0 {
		return true
	}
	s.copyClasses()
	var errs validationErrors
	e := serviceValidator{machine: s.result, errs: &errs, teams: map[string]int{}}
	gone, came := map[string]bool{}, map[string]bool{}
	gonePaths, camePaths := map[string]bool{}, map[string]bool{}
	for _, old := range s.removed {
		for i := range old.Contracts {
			gone[old.Contracts[i].Class], gonePaths[old.Contracts[i].Path] = true, true
		}
	}
	for _, new := range s.added {
		if new.Owner != "" && s.hasTeam(new.Owner) {
			e.teams[new.Owner] = 0
		}
		e.checkService(new, indexKey{})
		for i := range new.Contracts {
			t := &new.Contracts[i]
			if t.Class == "" || len(t.Class) > maxNameBytes || came[t.Class] || s.services.classes[t.Class] && !gone[t.Class] {
				return false
			}
			came[t.Class] = true
			if t.Path != "" && (camePaths[t.Path] || s.services.paths[t.Path] && !gonePaths[t.Path] || !strings.HasPrefix(t.Path, "/")) {
				return false
			}
			camePaths[t.Path] = true
			r := e.classFromContract(t, new.Backend, contractKey{})
			s.replaceClass(t.Class, &r)
		}
	}
	for _, old := range s.removed {
		for i := range old.Contracts {
			if class := old.Contracts[i].Class; came[class] {
				continue
			} else if r, known := s.result.baseline.classConfig(class); known {
				s.replaceClass(class, &r)
			} else {
				s.replaceClass(class, nil)
			}
		}
	}
	return len(errs) == 0 && len(s.services.classes)-len(gone)+len(came)+len(s.result.baseline.names) > 0
}

// replaceClass enters a class, or drops it, and drops the one of that name with
// another effect.
func (s *deltaBuilder) replaceClass(name string, r *classConfig) {
	at := -1
	if r != nil {
		at = s.setClass(name, r)
	}
	for _, effect := range effects {
		if other, known := s.updater.classes[classID{name, effect}]; known && other != at {
			s.retireClass(other)
		}
	}
}

// hasClass says whether there is a class of that name.
func (s *deltaBuilder) hasClass(name string) bool {
	for _, effect := range effects {
		id := classID{name, effect}
		at, known := s.updater.classes[id]
		if !known {
			at, known = s.changeBuilder.newClasses[id]
		}
		if known && !IsRetired(s.result.RetiredClasses, at) {
			return true
		}
	}
	return false
}

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

// validate says whether the module takes what has changed, and the bounds are kept.
func (s *deltaBuilder) validate() bool {
	m := s.result
	if m.Keys.Folder != "" && len(s.removed) > 0 && !m.anyKeyed() {
		return false
	}
	small := m.Policy
	small.Classes, small.Tenants = nil, nil
	for at := range s.changedClasses {
		small.Classes = append(small.Classes, m.Policy.Classes[at])
	}
	for at := range s.changedTeams {
		small.Tenants = append(small.Tenants, m.Policy.Tenants[at])
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
