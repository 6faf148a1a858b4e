package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"kiteslip"
	"kiteslip/internal/control/document"
	"kiteslip/internal/uwsgi"
)

// base is what the platform says of classes and teams, before anything is laid
// over it. It is never changed.
type base struct {
	names   []string
	classes []kiteslip.Class
	classAt map[string]int

	teams   []string
	budgets []kiteslip.Tenant
	teamAt  map[string]int
}

// bare returns the classes and teams that c has by now.
func (c *Config) bare() *base {
	b := &base{names: slices.Clone(c.Classes), classes: slices.Clone(c.Policy.Classes), classAt: indexOf(c.Classes),
		teams: slices.Clone(c.Tenants), budgets: slices.Clone(c.Policy.Tenants), teamAt: indexOf(c.Tenants)}
	return b
}

func indexOf(names []string) map[string]int {
	at := make(map[string]int, len(names))
	for i, name := range names {
		at[name] = i
	}
	return at
}

// route is a class as the fronts, the module and a backend serve it.
type route struct {
	class   kiteslip.Class
	front   uwsgi.Contract
	backend string // "" = the engine
	result  int    // most bytes of a result
}

// plain is a class that no contract speaks of.
func plain(class kiteslip.Class) route {
	return route{class: class, result: defaultResult, front: uwsgi.Contract{Keyed: class.Effect == kiteslip.Keyed,
		Timeout: class.Timeout, MaxBody: defaultBody, RequestMemoryKB: defaultHeldKB}}
}

// route returns the class of that name as the platform has it.
func (b *base) route(name string) (r route, known bool) {
	if i, known := b.classAt[name]; known {
		return plain(b.classes[i]), true
	}
	return plain(kiteslip.Class{Worth: 1}), false
}

// fronts makes room for what the fronts must know of each class.
func (c *Config) fronts() {
	for i := len(c.UWSGI.Contracts); i < len(c.Policy.Classes); i++ {
		r := plain(c.Policy.Classes[i])
		c.UWSGI.Contracts, c.Backends, c.MaxResultBytes = append(c.UWSGI.Contracts, r.front), append(c.Backends, ""), append(c.MaxResultBytes, r.result)
	}
}

// set enters a class at its place, which is one of those there are or the next.
func (c *Config) set(at int, name string, r *route) {
	if at == len(c.Classes) {
		c.Classes, c.Policy.Classes = append(c.Classes, name), append(c.Policy.Classes, kiteslip.Class{})
		c.UWSGI.Contracts, c.Backends, c.MaxResultBytes = append(c.UWSGI.Contracts, uwsgi.Contract{}), append(c.Backends, ""), append(c.MaxResultBytes, 0)
	}
	c.Policy.Classes[at], c.UWSGI.Contracts[at], c.Backends[at], c.MaxResultBytes[at] = r.class, r.front, r.backend, r.result
}

// route returns what is served at a place.
func (c *Config) route(at int) route {
	return route{c.Policy.Classes[at], c.UWSGI.Contracts[at], c.Backends[at], c.MaxResultBytes[at]}
}

// serve enters what the fleet serves by over the base, where nothing else is yet.
func (c *Config) serve(content *document.Content, errs *problems) {
	c.teams(content.Teams, errs)
	c.services(content.Services, errs)
	c.pools(content.Pools, content.CheapReserve, errs)
	if c.Keys.Folder != "" && !c.anyKeyed() {
		errs.add("keys", "is set up, and no class is keyed")
	}
}

// served returns c with another content over the base: the machine's part, the
// fronts and the keys are those of c, and nothing else is. It costs by all.
func (c *Config) served(content *document.Content) (*Config, error) {
	m, b := *c, c.base
	if b == nil {
		return nil, errors.New("config: it was not read from a file")
	}
	m.Classes, m.Policy.Classes, m.RetiredClasses = slices.Clone(b.names), slices.Clone(b.classes), nil
	m.Tenants, m.Policy.Tenants, m.RetiredTenants = slices.Clone(b.teams), slices.Clone(b.budgets), nil
	m.UWSGI.Contracts, m.Backends, m.MaxResultBytes = nil, nil, nil
	var errs problems
	m.serve(content, &errs)
	if len(errs) == 0 {
		if _, err := kiteslip.New(m.Policy, 0); err != nil {
			errs = append(errs, err)
		}
	}
	return &m, errs.join()
}

func (c *Config) anyKeyed() bool {
	for i := range c.Policy.Classes {
		if c.Policy.Classes[i].Effect == kiteslip.Keyed && !IsRetired(c.RetiredClasses, i) {
			return true
		}
	}
	return false
}

// teams enters the budgets: a team that the platform knows gets this budget.
func (c *Config) teams(teams []Team, errs *problems) {
	seen, places := make(map[string]bool, len(teams)), indexOf(c.Tenants)
	for i := range teams {
		t := &teams[i]
		if t.Name == "" || seen[t.Name] {
			errs.add(fmt.Sprintf("team[%d].name", i), "is %q, want a name of its own", t.Name)
			continue
		}
		seen[t.Name] = true
		if !(t.Quota > 0) {
			errs.add(fmt.Sprintf("team[%d].requests_per_s", i), "is %v, want above 0", t.Quota)
		}
		at, known := places[t.Name]
		if !known {
			at, places[t.Name] = len(c.Tenants), len(c.Tenants)
			c.Tenants, c.Policy.Tenants = append(c.Tenants, t.Name), append(c.Policy.Tenants, kiteslip.Tenant{})
		}
		c.Policy.Tenants[at].Quota = t.Quota
	}
}

// services enters the contracts. What a contract leaves open stays as the platform has it.
func (c *Config) services(services []Service, errs *problems) {
	c.fronts()
	e := entering{machine: c, errs: errs, owned: indexOf(c.Tenants)}
	places, classes, paths, names := indexOf(c.Classes), map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range services {
		s, key := &services[i], indexKey{"service", i}
		if s.Name == "" || names[s.Name] {
			errs.add(key.String()+".name", "is %q, want a name of its own", s.Name)
		}
		names[s.Name] = true
		e.service(s, key)
		for j := range s.Contracts {
			t, key := &s.Contracts[j], contractKey{key, j}
			if t.Class == "" || classes[t.Class] || len(t.Class) > mostName {
				errs.add(key.String()+".class", "is %q, want a name of its own of at most %d bytes", t.Class, mostName)
				continue
			}
			classes[t.Class] = true
			if t.Path != "" && (paths[t.Path] || !strings.HasPrefix(t.Path, "/")) {
				errs.add(key.String()+".path", "is %q, want one of its own that starts with /", t.Path)
			}
			paths[t.Path] = true
			r := e.contract(t, s.Backend, key)
			at, known := places[t.Class]
			if !known {
				at, places[t.Class] = len(c.Classes), len(c.Classes)
			}
			c.set(at, t.Class, &r)
		}
	}
	if len(c.Policy.Classes) == 0 {
		errs.add("service", "is absent, and there are no other classes")
	}
}

// indexKey and contractKey name an entry of the file. They are worded where
// something is wrong alone: a fleet has thousands of them.
type indexKey struct {
	list string
	at   int
}

func (k indexKey) String() string { return fmt.Sprintf("%s[%d]", k.list, k.at) }

type contractKey struct {
	service indexKey
	at      int
}

func (k contractKey) String() string { return fmt.Sprintf("%v.contract[%d]", k.service, k.at) }

// entering checks services and contracts, each by itself.
type entering struct {
	machine *Config // its engine, ledger and base
	errs    *problems
	owned   map[string]int // the teams there are
}

func (e *entering) service(s *Service, key indexKey) {
	if _, known := e.owned[s.Owner]; s.Owner != "" && !known {
		e.errs.add(key.String()+".owner", "is %q, which is no team", s.Owner)
	}
	e.backend(s, key)
	if len(s.Contracts) == 0 {
		e.errs.add(key.String()+".contract", "is absent")
	}
}

func (e *entering) backend(s *Service, key indexKey) {
	if s.Backend != "" {
		if !isAddress(s.Backend) {
			checkAddress(e.errs.add, key.String()+".backend", s.Backend)
		}
	} else if e.machine.Engine == "" {
		e.errs.add(key.String()+".backend", "is absent, and there is no engine")
	}
}

// contract returns the class as the contract has it, over what the platform says of it.
func (e *entering) contract(t *Contract, backend string, key contractKey) route {
	r, known := e.machine.base.route(t.Class)
	m := &r.class
	add := func(name, format string, args ...any) { e.errs.add(key.String()+"."+name, format, args...) }
	if effect, ok := effects[t.Effect]; ok {
		m.Effect = effect
	} else if t.Effect != "" || !known {
		add("effect", "is %q, want repeatable, keyed or once", t.Effect)
	}
	figure := func(name string, value *float64, most, unit float64, set func(float64)) {
		switch {
		case value == nil:
		case !(*value >= 0) || *value > most:
			add(name, "is %v, want 0 to %v", *value, most)
		default:
			set(*value * unit)
		}
	}
	figure("aim_ms", t.TargetTimeMS, hourMS, 1000, func(v float64) { m.TargetTime = int64(v) })
	figure("deadline_ms", t.DeadlineMS, hourMS, 1000, func(v float64) { m.Timeout = int64(v) })
	figure("window_ms", t.WindowMS, hourMS, 1000, func(v float64) { m.Window = int64(v) })
	figure("worth", t.Worth, 1e6, 1, func(v float64) { m.Worth = v })
	figure("late_worth", t.LateWorth, 1, 1, func(v float64) { m.LateWorth = v })
	calls(t, e.machine.Ledger, m, add)
	if m.Timeout == 0 {
		add("deadline_ms", "is absent")
	}
	if m.TargetTime == 0 {
		m.TargetTime = m.Timeout
	}
	if m.TargetTime > m.Timeout {
		add("aim_ms", "is past the deadline")
	}
	if m.Effect == kiteslip.Keyed && m.Window < m.Timeout {
		add("window_ms", "is shorter than the deadline: a later try would run again")
	}
	r.front = uwsgi.Contract{Keyed: m.Effect == kiteslip.Keyed, Timeout: m.Timeout, MaxBody: t.MaxBody, RequestMemoryKB: t.RequestMemoryKB, Path: t.Path}
	r.backend, r.result = backend, t.MaxResult
	f := &r.front
	if f.MaxBody == 0 {
		f.MaxBody = defaultBody
	}
	if r.result == 0 {
		r.result = defaultResult
	}
	if f.MaxBody < 0 || f.MaxBody > mostBody {
		add("max_body", "is %d, want 0 to %d bytes", f.MaxBody, mostBody)
	}
	if r.result < 0 || r.result > mostBody {
		add("max_result", "is %d, want 0 to %d bytes", r.result, mostBody)
	}
	if f.RequestMemoryKB == 0 {
		f.RequestMemoryKB = defaultHeldKB
	}
	if !(f.RequestMemoryKB > 0) || f.RequestMemoryKB*1024 < float64(f.MaxBody) {
		add("held_kb", "is %v, want room for max_body at least", f.RequestMemoryKB)
	}
	return r
}
