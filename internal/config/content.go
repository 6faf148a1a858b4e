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

// baseline has the classes and teams of the platform's file, before fleet content is
// applied. It is never changed.
type baseline struct {
	names      []string
	classes    []kiteslip.Class
	classIndex map[string]int

	teams     []string
	budgets   []kiteslip.Tenant
	teamIndex map[string]int
}

// newBaseline returns the classes and teams that c has so far.
func (c *Config) newBaseline() *baseline {
	b := &baseline{names: slices.Clone(c.Classes), classes: slices.Clone(c.Policy.Classes), classIndex: indexOf(c.Classes),
		teams: slices.Clone(c.Tenants), budgets: slices.Clone(c.Policy.Tenants), teamIndex: indexOf(c.Tenants)}
	return b
}

// indexOf maps each name to its index.
func indexOf(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// classConfig is everything configured for one class: for the policy, the uwsgi front
// end and its backend.
type classConfig struct {
	class          kiteslip.Class
	frontend       uwsgi.Contract
	backend        string // "" = the engine
	maxResultBytes int    // limit of a result, bytes
}

// defaultClass returns the configuration of a class without a contract.
func defaultClass(class kiteslip.Class) classConfig {
	return classConfig{class: class, maxResultBytes: defaultMaxResultBytes, frontend: uwsgi.Contract{Keyed: class.Effect == kiteslip.Keyed,
		Timeout: class.Timeout, MaxBody: defaultMaxBodyBytes, RequestMemoryKB: defaultRequestMemoryKB}}
}

// classConfig returns the class of that name as the platform's file has it.
func (b *baseline) classConfig(name string) (r classConfig, known bool) {
	if i, known := b.classIndex[name]; known {
		return defaultClass(b.classes[i]), true
	}
	return defaultClass(kiteslip.Class{Worth: 1}), false
}

// growFrontend gives the default front-end configuration to classes that have none yet.
func (c *Config) growFrontend() {
	for i := len(c.UWSGI.Contracts); i < len(c.Policy.Classes); i++ {
		r := defaultClass(c.Policy.Classes[i])
		c.UWSGI.Contracts, c.Backends, c.MaxResultBytes = append(c.UWSGI.Contracts, r.frontend), append(c.Backends, ""), append(c.MaxResultBytes, r.maxResultBytes)
	}
}

// setClass sets the configuration of a class in its slot, an existing one or the next.
func (c *Config) setClass(slot int, name string, r *classConfig) {
	if slot == len(c.Classes) {
		c.Classes, c.Policy.Classes = append(c.Classes, name), append(c.Policy.Classes, kiteslip.Class{})
		c.UWSGI.Contracts, c.Backends, c.MaxResultBytes = append(c.UWSGI.Contracts, uwsgi.Contract{}), append(c.Backends, ""), append(c.MaxResultBytes, 0)
	}
	c.Policy.Classes[slot], c.UWSGI.Contracts[slot], c.Backends[slot], c.MaxResultBytes[slot] = r.class, r.frontend, r.backend, r.maxResultBytes
}

// classConfig returns the configuration of the class in a slot.
func (c *Config) classConfig(slot int) classConfig {
	return classConfig{c.Policy.Classes[slot], c.UWSGI.Contracts[slot], c.Backends[slot], c.MaxResultBytes[slot]}
}

// applyContent applies fleet content to c, which must have the baseline alone.
func (c *Config) applyContent(content *document.Content, errs *validationErrors) {
	c.applyTeams(content.Teams, errs)
	c.applyServices(content.Services, errs)
	c.applyPools(content.Pools, content.CheapReserve, errs)
	if c.Keys.Folder != "" && !c.anyKeyed() {
		errs.add("keys", "is set up, and no class is keyed")
	}
}

// withContent returns a copy of c with other fleet content over the baseline; the
// machine settings, the front ends and the keys stay. It takes time in proportion to
// the whole content.
func (c *Config) withContent(content *document.Content) (*Config, error) {
	m, b := *c, c.baseline
	if b == nil {
		return nil, errors.New("config: it was not read from a file")
	}
	m.Classes, m.Policy.Classes, m.RetiredClasses = slices.Clone(b.names), slices.Clone(b.classes), nil
	m.Tenants, m.Policy.Tenants, m.RetiredTenants = slices.Clone(b.teams), slices.Clone(b.budgets), nil
	m.UWSGI.Contracts, m.Backends, m.MaxResultBytes = nil, nil, nil
	var errs validationErrors
	m.applyContent(content, &errs)
	if len(errs) == 0 {
		if _, err := kiteslip.New(m.Policy, 0); err != nil {
			errs = append(errs, err)
		}
	}
	return &m, errs.join()
}

// anyKeyed reports whether a class in force is keyed.
func (c *Config) anyKeyed() bool {
	for i := range c.Policy.Classes {
		if c.Policy.Classes[i].Effect == kiteslip.Keyed && !IsRetired(c.RetiredClasses, i) {
			return true
		}
	}
	return false
}

// applyTeams sets the budgets; they override those of the platform's file.
func (c *Config) applyTeams(teams []Team, errs *validationErrors) {
	seen, slots := make(map[string]bool, len(teams)), indexOf(c.Tenants)
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
		slot, known := slots[t.Name]
		if !known {
			slot, slots[t.Name] = len(c.Tenants), len(c.Tenants)
			c.Tenants, c.Policy.Tenants = append(c.Tenants, t.Name), append(c.Policy.Tenants, kiteslip.Tenant{})
		}
		c.Policy.Tenants[slot].Quota = t.Quota
	}
}

// applyServices sets the classes that the contracts describe. What a contract does not
// state stays as the platform's file has it.
func (c *Config) applyServices(services []Service, errs *validationErrors) {
	c.growFrontend()
	e := serviceValidator{machine: c, errs: errs, teams: indexOf(c.Tenants)}
	slots, classes, paths, names := indexOf(c.Classes), map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range services {
		s, key := &services[i], indexKey{"service", i}
		if s.Name == "" || names[s.Name] {
			errs.add(key.String()+".name", "is %q, want a name of its own", s.Name)
		}
		names[s.Name] = true
		e.checkService(s, key)
		for j := range s.Contracts {
			t, key := &s.Contracts[j], contractKey{key, j}
			if t.Class == "" || classes[t.Class] || len(t.Class) > maxNameBytes {
				errs.add(key.String()+".class", "is %q, want a name of its own of at most %d bytes", t.Class, maxNameBytes)
				continue
			}
			classes[t.Class] = true
			if t.Path != "" && (paths[t.Path] || !strings.HasPrefix(t.Path, "/")) {
				errs.add(key.String()+".path", "is %q, want one of its own that starts with /", t.Path)
			}
			paths[t.Path] = true
			r := e.classFromContract(t, s.Backend, key)
			slot, known := slots[t.Class]
			if !known {
				slot, slots[t.Class] = len(c.Classes), len(c.Classes)
			}
			c.setClass(slot, t.Class, &r)
		}
	}
	if len(c.Policy.Classes) == 0 {
		errs.add("service", "is absent, and there are no other classes")
	}
}

// indexKey names an entry of a list in the file. Its text is only formatted for an
// error, since a fleet has thousands of entries.
type indexKey struct {
	list  string
	index int
}

func (k indexKey) String() string { return fmt.Sprintf("%s[%d]", k.list, k.index) }

// contractKey names a contract of a service, as indexKey does.
type contractKey struct {
	service indexKey
	index   int
}

func (k contractKey) String() string { return fmt.Sprintf("%v.contract[%d]", k.service, k.index) }

// serviceValidator validates services and contracts, each by itself.
type serviceValidator struct {
	machine *Config // for its engine, ledger and baseline
	errs    *validationErrors
	teams   map[string]int // all teams, by name
}

// checkService reports what is wrong with a service apart from its contracts.
func (e *serviceValidator) checkService(s *Service, key indexKey) {
	if _, known := e.teams[s.Owner]; s.Owner != "" && !known {
		e.errs.add(key.String()+".owner", "is %q, which is no team", s.Owner)
	}
	e.checkBackend(s, key)
	if len(s.Contracts) == 0 {
		e.errs.add(key.String()+".contract", "is absent")
	}
}

// checkBackend reports a backend that is invalid, or absent where there is no engine.
func (e *serviceValidator) checkBackend(s *Service, key indexKey) {
	if s.Backend != "" {
		if !isAddress(s.Backend) {
			checkAddress(e.errs.add, key.String()+".backend", s.Backend)
		}
	} else if e.machine.Engine == "" {
		e.errs.add(key.String()+".backend", "is absent, and there is no engine")
	}
}

// classFromContract returns the class that a contract describes; what it does not
// state is taken from the platform's file. Errors are added to errs.
func (e *serviceValidator) classFromContract(t *Contract, backend string, key contractKey) classConfig {
	r, known := e.machine.baseline.classConfig(t.Class)
	m := &r.class
	add := func(name, format string, args ...any) { e.errs.add(key.String()+"."+name, format, args...) }
	if effect, ok := effects[t.Effect]; ok {
		m.Effect = effect
	} else if t.Effect != "" || !known {
		add("effect", "is %q, want repeatable, keyed or once", t.Effect)
	}
	number := func(name string, value *float64, maximum, unit float64, set func(float64)) {
		switch {
		case value == nil:
		case !(*value >= 0) || *value > maximum:
			add(name, "is %v, want 0 to %v", *value, maximum)
		default:
			set(*value * unit)
		}
	}
	number("aim_ms", t.TargetTimeMS, hourMS, 1000, func(v float64) { m.TargetTime = int64(v) })
	number("deadline_ms", t.DeadlineMS, hourMS, 1000, func(v float64) { m.Timeout = int64(v) })
	number("window_ms", t.WindowMS, hourMS, 1000, func(v float64) { m.Window = int64(v) })
	number("worth", t.Worth, 1e6, 1, func(v float64) { m.Worth = v })
	number("late_worth", t.LateWorth, 1, 1, func(v float64) { m.LateWorth = v })
	applyContractCalls(t, e.machine.Ledger, m, add)
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
	r.frontend = uwsgi.Contract{Keyed: m.Effect == kiteslip.Keyed, Timeout: m.Timeout, MaxBody: t.MaxBody, RequestMemoryKB: t.RequestMemoryKB, Path: t.Path}
	r.backend, r.maxResultBytes = backend, t.MaxResult
	f := &r.frontend
	if f.MaxBody == 0 {
		f.MaxBody = defaultMaxBodyBytes
	}
	if r.maxResultBytes == 0 {
		r.maxResultBytes = defaultMaxResultBytes
	}
	if f.MaxBody < 0 || f.MaxBody > maxBodyBytes {
		add("max_body", "is %d, want 0 to %d bytes", f.MaxBody, maxBodyBytes)
	}
	if r.maxResultBytes < 0 || r.maxResultBytes > maxBodyBytes {
		add("max_result", "is %d, want 0 to %d bytes", r.maxResultBytes, maxBodyBytes)
	}
	if f.RequestMemoryKB == 0 {
		f.RequestMemoryKB = defaultRequestMemoryKB
	}
	if !(f.RequestMemoryKB > 0) || f.RequestMemoryKB*1024 < float64(f.MaxBody) {
		add("held_kb", "is %v, want room for max_body at least", f.RequestMemoryKB)
	}
	return r
}
