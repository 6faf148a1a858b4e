package config

import (
	"runtime"
	"slices"
	"strings"

	"kiteslip"
	"kiteslip/internal/control/document"
	"kiteslip/internal/pool"
)

// draft is a Change in the making: the configuration in force, whose lists are
// copied before they are changed.
type draft struct {
	p       *Updater
	m       *Config
	classes map[promise]int // places that this change gives out
	teams   map[string]int
	taken   map[int]bool // places of dropped teams that others get
	next    int          // of p.dropped: what may be taken yet

	touchedClasses, touchedTeams map[int]bool

	same *pool.Settings // the pools, where nothing of them differs; nil = to be made
}

// draft starts one in which m is the outcome.
func (p *Updater) draft(m *Config) *draft {
	return &draft{p: p, m: m, classes: map[promise]int{}, teams: map[string]int{}, taken: map[int]bool{},
		touchedClasses: map[int]bool{}, touchedTeams: map[int]bool{}}
}

func (d *draft) copyClasses() {
	c, m := d.p.cfg, d.m
	m.Classes, m.Policy.Classes = slices.Clone(c.Classes), slices.Clone(c.Policy.Classes)
	m.UWSGI.Contracts, m.Backends, m.MaxResultBytes = slices.Clone(c.UWSGI.Contracts), slices.Clone(c.Backends), slices.Clone(c.MaxResultBytes)
	m.RetiredClasses = make([]bool, len(c.Classes))
	copy(m.RetiredClasses, c.RetiredClasses)
}

func (d *draft) copyTeams() {
	c, m := d.p.cfg, d.m
	m.Tenants, m.Policy.Tenants = slices.Clone(c.Tenants), slices.Clone(c.Policy.Tenants)
	m.RetiredTenants = make([]bool, len(c.Tenants))
	copy(m.RetiredTenants, c.RetiredTenants)
}

// setClass enters a class at its place, and returns that.
func (d *draft) setClass(name string, r *route) int {
	m, id := d.m, promise{name, r.class.Effect}
	at, known := d.p.classes[id]
	if !known {
		at, known = d.classes[id]
	}
	if !known {
		at, d.classes[id] = len(m.Classes), len(m.Classes)
		m.RetiredClasses = append(m.RetiredClasses, false)
	} else if m.route(at) == *r && !m.RetiredClasses[at] {
		return at
	}
	m.set(at, name, r)
	m.RetiredClasses[at] = false
	d.touchedClasses[at] = true
	return at
}

// dropClass notes that a class is no longer in force. It keeps its promise for what is open.
func (d *draft) dropClass(at int) {
	if !d.m.RetiredClasses[at] {
		d.m.RetiredClasses[at], d.m.UWSGI.Contracts[at].Path = true, "" // leads here no longer
		d.touchedClasses[at] = true
	}
}

// setTeam enters a team at its place, and returns that.
func (d *draft) setTeam(name string, quota float64) int {
	m := d.m
	at, known := d.p.teams[name]
	if known && d.taken[at] { // its place went to another one just now
		known = false
	}
	if !known {
		at, known = d.teams[name]
	}
	switch {
	case !known:
		if at, known = d.takeDropped(); known {
			m.Tenants[at] = name
		} else {
			at = len(m.Tenants)
			m.Tenants, m.Policy.Tenants = append(m.Tenants, name), append(m.Policy.Tenants, kiteslip.Tenant{})
			m.RetiredTenants = append(m.RetiredTenants, false)
		}
		d.teams[name] = at
	case m.Policy.Tenants[at].Quota == quota && !m.RetiredTenants[at]:
		return at
	}
	m.Policy.Tenants[at].Quota, m.RetiredTenants[at] = quota, false
	d.touchedTeams[at] = true
	return at
}

// takeDropped finds a place of a dropped team of which nothing can be open any more.
func (d *draft) takeDropped() (at int, found bool) {
	p := d.p
	for ; d.next < len(p.dropped); d.next++ {
		next := p.dropped[d.next]
		switch {
		case p.stale(next) || !d.m.RetiredTenants[next.at] || d.taken[next.at]:
		case next.due == 0 || next.due > p.now:
			return 0, false
		default:
			d.next++
			d.taken[next.at] = true
			return next.at, true
		}
	}
	return 0, false
}

// dropTeam notes that a team is no longer in force. It keeps its budget for what is open.
func (d *draft) dropTeam(at int) {
	if !d.m.RetiredTenants[at] {
		d.m.RetiredTenants[at] = true
		d.touchedTeams[at] = true
	}
}

// bounds names what there is too much of.
func (d *draft) bounds(errs *problems) {
	if n := len(d.m.Classes); n > mostClassPlaces {
		errs.add("settings", "bring the classes since the start to %d, over %d, and a class's place is never used again: restart", n, mostClassPlaces)
	}
	if n := len(d.m.Tenants); n > mostTeamPlaces {
		errs.add("settings", "bring the teams, those dropped a short time ago included, to %d, over %d: restart, or drop them and wait", n, mostTeamPlaces)
	}
}

func (d *draft) change() *Change {
	ch := &Change{Config: d.m, Pools: d.same}
	if ch.Pools == nil {
		ch.Pools = d.m.PoolSettings()
	}
	for at := range d.touchedClasses {
		ch.Classes = append(ch.Classes, at)
	}
	for at := range d.touchedTeams {
		ch.Tenants = append(ch.Tenants, at)
	}
	slices.Sort(ch.Classes)
	slices.Sort(ch.Tenants)
	return ch
}

// routes is which service each class, path and owner belongs to in the version in force.
type routes struct {
	classes map[string]bool // that a contract speaks of
	paths   map[string]bool
	owners  map[string]int // services of each
}

func (x *routes) add(s *Service, n int) {
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

// inForce finds the routes of the version in force: it costs by all, once.
func (p *Updater) inForce() *routes {
	if p.routes == nil {
		p.routes = &routes{classes: map[string]bool{}, paths: map[string]bool{}, owners: map[string]int{}}
		content := p.cfg.version.Content()
		for i := range content.Services {
			p.routes.add(&content.Services[i], 1)
		}
	}
	return p.routes
}

// step lays a version over its parent, which is in force, at the cost of the
// delta. nil = that cannot be done, or something is wrong: the whole way says what.
func (p *Updater) step(doc *document.Document, delta *document.Delta) *Change {
	was := p.cfg.version
	if delta == nil || was == nil || delta.Header.Parent != was.Digest() || delta.Header.Digest() != doc.Digest() {
		return nil
	}
	m := *p.cfg
	m.version = doc
	s := &stepping{draft: p.draft(&m), was: was, doc: doc, x: p.inForce()}
	for i := range delta.Changes {
		s.sort(&delta.Changes[i])
	}
	if !s.stepTeams() || !s.stepServices() || !s.stepPools() || !s.sound() {
		return nil
	}
	if p.pools != nil && len(s.touchedClasses) == 0 && len(s.pools) == 0 && s.reserve == nil {
		s.same = p.pools
	}
	ch := s.change()
	ch.index = func() {
		for _, old := range s.gone {
			s.x.add(old, -1)
		}
		for _, new := range s.came {
			s.x.add(new, 1)
		}
	}
	return ch
}

// stepping is a draft by a delta.
type stepping struct {
	*draft
	was, doc *document.Document
	x        *routes

	teams      []string // that are set or dropped
	gone, came []*Service
	pools      []document.Change
	reserve    *float64
}

// sort puts a change where it belongs. What is in force by it is read from the document.
func (s *stepping) sort(c *document.Change) {
	switch {
	case c.Team != nil:
		s.teams = append(s.teams, c.Team.Name)
	case c.Service != nil:
		if old, known := s.was.Service(c.Service.Name); known {
			s.gone = append(s.gone, old)
		}
		if now, known := s.doc.Service(c.Service.Name); known {
			s.came = append(s.came, now)
		}
	case c.Pool != nil:
		s.pools = append(s.pools, *c)
	case c.CheapReserve != nil:
		s.reserve = new(float64)
		if !c.Drop {
			*s.reserve = *c.CheapReserve
		}
	}
}

func (s *stepping) stepTeams() bool {
	if len(s.teams) == 0 {
		return true
	}
	s.copyTeams()
	base := s.m.base
	var dropped []string
	for i, name := range s.teams {
		if i%64 == 63 {
			runtime.Gosched() // the loop goes on meanwhile, also where there is one processor
		}
		team, there := s.doc.Team(name)
		known := false
		if !there {
			var at int
			if at, known = base.teamAt[name]; known {
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
		at, known := s.p.teams[name]
		if !known || s.taken[at] {
			return false
		}
		s.dropTeam(at)
	}
	owners := map[string]int{}
	for _, old := range s.gone {
		owners[old.Owner]--
	}
	for _, name := range dropped {
		if s.x.owners[name]+owners[name] > 0 {
			return false
		}
	}
	return true
}

// team says whether there is a team of that name.
func (s *stepping) team(name string) bool {
	at, known := s.p.teams[name]
	if known && !s.taken[at] {
		return !IsRetired(s.m.RetiredTenants, at)
	}
	_, known = s.draft.teams[name]
	return known
}

func (s *stepping) stepServices() bool {
	if len(s.gone)+len(s.came) == 0 {
		return true
	}
	s.copyClasses()
	var errs problems
	e := entering{machine: s.m, errs: &errs, owned: map[string]int{}}
	gone, came := map[string]bool{}, map[string]bool{}
	gonePaths, camePaths := map[string]bool{}, map[string]bool{}
	for _, old := range s.gone {
		for i := range old.Contracts {
			gone[old.Contracts[i].Class], gonePaths[old.Contracts[i].Path] = true, true
		}
	}
	for _, new := range s.came {
		if new.Owner != "" && s.team(new.Owner) {
			e.owned[new.Owner] = 0
		}
		e.service(new, indexKey{})
		for i := range new.Contracts {
			t := &new.Contracts[i]
			if t.Class == "" || len(t.Class) > mostName || came[t.Class] || s.x.classes[t.Class] && !gone[t.Class] {
				return false
			}
			came[t.Class] = true
			if t.Path != "" && (camePaths[t.Path] || s.x.paths[t.Path] && !gonePaths[t.Path] || !strings.HasPrefix(t.Path, "/")) {
				return false
			}
			camePaths[t.Path] = true
			r := e.contract(t, new.Backend, contractKey{})
			s.replace(t.Class, &r)
		}
	}
	for _, old := range s.gone {
		for i := range old.Contracts {
			if class := old.Contracts[i].Class; came[class] {
				continue
			} else if r, known := s.m.base.route(class); known {
				s.replace(class, &r)
			} else {
				s.replace(class, nil)
			}
		}
	}
	return len(errs) == 0 && len(s.x.classes)-len(gone)+len(came)+len(s.m.base.names) > 0
}

// replace enters a class, or drops it, and drops the one of that name with
// another effect.
func (s *stepping) replace(name string, r *route) {
	at := -1
	if r != nil {
		at = s.setClass(name, r)
	}
	for _, effect := range effects {
		if other, known := s.p.classes[promise{name, effect}]; known && other != at {
			s.dropClass(other)
		}
	}
}

// class says whether there is a class of that name.
func (s *stepping) class(name string) bool {
	for _, effect := range effects {
		id := promise{name, effect}
		at, known := s.p.classes[id]
		if !known {
			at, known = s.draft.classes[id]
		}
		if known && !IsRetired(s.m.RetiredClasses, at) {
			return true
		}
	}
	return false
}

func (s *stepping) stepPools() bool {
	m := s.m
	if s.reserve != nil {
		m.CheapReserve = *s.reserve
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
	if len(s.pools) == 0 && s.reserve == nil && (len(m.Pools) == 0 || len(s.touchedClasses) == 0) {
		return true
	}
	var errs problems
	m.checkPools(s.class, &errs)
	return len(errs) == 0
}

// sound says whether the module takes what has changed, and the bounds are kept.
func (s *stepping) sound() bool {
	m := s.m
	if m.Keys.Folder != "" && len(s.gone) > 0 && !m.anyKeyed() {
		return false
	}
	small := m.Policy
	small.Classes, small.Tenants = nil, nil
	for at := range s.touchedClasses {
		small.Classes = append(small.Classes, m.Policy.Classes[at])
	}
	for at := range s.touchedTeams {
		small.Tenants = append(small.Tenants, m.Policy.Tenants[at])
	}
	if len(small.Classes) == 0 {
		small.Classes = m.Policy.Classes[:1]
	}
	if _, err := kiteslip.New(small, 0); err != nil {
		return false
	}
	var errs problems
	s.bounds(&errs)
	return len(errs) == 0
}
