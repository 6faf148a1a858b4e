package config

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/BurntSushi/toml"

	"kiteslip"
	"kiteslip/internal/control/document"
	"kiteslip/internal/uwsgi"
)

// Operator is the operator's file: the second front, and the contracts and
// budgets of the teams whose services are brokered.
type Operator struct {
	UWSGI    Front     `toml:"uwsgi"`
	Machine  *Machine  `toml:"machine"`
	Teams    []Team    `toml:"team"`
	Services []Service `toml:"service"`
	Pool     []Pool    `toml:"pool"`
	Pools    Pools     `toml:"pools"`
	Keys     *KeysFile `toml:"keys"`
}

// Front sets up the uwsgi front. Without an address it is off.
type Front struct {
	Listen string `toml:"listen"`
	ReadMS int64  `toml:"read_ms"` // a caller has this long to send its request
}

// Machine describes the machine where the platform does not.
type Machine struct {
	Name      string  `toml:"name"`
	Listen    string  `toml:"listen"` // of the platform's protocol; "" = no such front
	Ops       string  `toml:"ops"`    // the operators' door; "" = none
	Engine    string  `toml:"engine"` // "" = all services have backends
	Ledger    string  `toml:"ledger"` // where calls below go; "" = nowhere
	StopRuns  string  `toml:"stop_runs"`
	Cores     int     `toml:"cores"` // that do the work
	WorkMB    float64 `toml:"work_mb"`
	RunFactor float64 `toml:"run_factor"`
	KeyKB     float64 `toml:"key_kb"`
	Limits    struct {
		Cores    float64 `toml:"cores"`
		MemoryMB int     `toml:"memory_mb"`
		Sockets  int     `toml:"sockets"`
	} `toml:"limits"`
	StopMS         float64 `toml:"stop_ms"`
	MaxRetryMS     int64   `toml:"max_retry_after_ms"`
	OverShareWorth float64 `toml:"over_share_worth"`
}

// What the fleet serves by, whether it comes with the file or as a version.
type (
	Team     = document.Team
	Service  = document.Service
	Contract = document.Contract
)

// contract is one as it is entered.
type contract struct{ *Contract }

// The defaults and bounds of the operator's file.
const (
	defaultReadMS    = 5_000
	defaultBody      = 2 << 10
	defaultResult    = 4 << 10
	mostBody         = 1 << 20
	defaultHeldKB    = 16
	defaultKeyKB     = 8
	defaultRunFactor = 4
	defaultMaxRetry  = 1_000
	hourMS           = 3_600_000
)

var effects = map[string]kiteslip.Effect{
	"repeatable": kiteslip.Repeatable, "keyed": kiteslip.Keyed, "once": kiteslip.Once,
}

// LoadOperator reads the operator's file and puts it over platform, the
// configuration that the platform gave; nil means that the file must say all.
func LoadOperator(path string, platform *Config) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c, err := ParseOperator(string(text), platform)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return c, nil
}

// ParseOperator is LoadOperator on a text.
func ParseOperator(text string, platform *Config) (*Config, error) {
	var o Operator
	meta, err := toml.Decode(text, &o)
	if err != nil {
		return nil, err
	}
	var errs problems
	for _, key := range meta.Undecoded() {
		errs.add(key.String(), "is not known")
	}
	c := platform
	if c == nil {
		if o.Machine == nil {
			errs.add("machine", "is absent, and there is no %s that describes the machine", EnvConfig)
			o.Machine = &Machine{}
		}
		c = o.Machine.config(&errs)
	} else if o.Machine != nil {
		errs.add("machine", "is described by %s already", EnvConfig)
	}
	o.UWSGI.apply(c, &errs)
	if o.UWSGI.Listen == "" && c.Listen == "" {
		errs.add("uwsgi.listen", "is absent, and no other front is set up")
	}
	o.teams(c, &errs)
	o.services(c, &errs)
	o.pools(c, &errs)
	o.Keys.apply(c, &errs)
	if len(errs) == 0 {
		if _, err := kiteslip.New(c.Module, 0); err != nil {
			errs = append(errs, err)
		}
	}
	return c, errors.Join(errs...)
}

type problems []error

func (p *problems) add(key, format string, args ...any) {
	*p = append(*p, fmt.Errorf("%s %s", key, fmt.Sprintf(format, args...)))
}

func (f *Front) apply(c *Config, errs *problems) {
	c.UWSGI.Listen = f.Listen
	if f.Listen != "" {
		checkAddress(errs.add, "uwsgi.listen", f.Listen)
	}
	if f.ReadMS == 0 {
		f.ReadMS = defaultReadMS
	}
	if f.ReadMS < 0 || f.ReadMS > hourMS {
		errs.add("uwsgi.read_ms", "is %d, want above 0 and at most an hour", f.ReadMS)
	}
	c.UWSGI.ReadWithin = f.ReadMS * 1000
}

// config makes a configuration without the platform's.
func (m *Machine) config(errs *problems) *Config {
	c := &Config{Name: m.Name, Listen: m.Listen, Ops: m.Ops, Engine: m.Engine,
		Limits: Limits{m.Limits.Cores, m.Limits.MemoryMB, m.Limits.Sockets}}
	c.Limits.defaults(func(key, format string, args ...any) { errs.add("machine."+key, format, args...) })
	if c.Name == "" {
		c.Name = "kiteslip"
	}
	for key, value := range map[string]string{"machine.listen": m.Listen, "machine.ops": m.Ops, "machine.engine": m.Engine} {
		if value != "" {
			checkAddress(errs.add, key, value)
		}
	}
	positive := func(key string, value, otherwise float64) float64 {
		if value == 0 {
			value = otherwise
		}
		if !(value > 0) {
			errs.add(key, "is %v, want above 0", value)
		}
		return value
	}
	c.Stop = int64(positive("machine.stop_ms", m.StopMS, defaultStopMS) * 1000)
	c.Module = kiteslip.Settings{
		Cores:          int(positive("machine.cores", float64(m.Cores), 1)),
		MemoryKB:       positive("machine.work_mb", m.WorkMB, 64) * 1024,
		RunFactor:      positive("machine.run_factor", m.RunFactor, defaultRunFactor),
		KeyKB:          positive("machine.key_kb", m.KeyKB, defaultKeyKB),
		MaxRetryAfter:  int64(positive("machine.max_retry_after_ms", float64(m.MaxRetryMS), defaultMaxRetry)) * 1000,
		OverShareWorth: m.OverShareWorth,
		Goal:           kiteslip.Goal{Whole: 0.5, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.2},
		Tick:           4_000, DrainGrace: 2_000_000, AnswerSlack: 60_000, WorthByWork: true,
	}
	m.calls(c, errs)
	if w := c.Module.OverShareWorth; w < 0 || w > 1 {
		errs.add("machine.over_share_worth", "is %v, want 0 to 1", w)
	}
	return c
}

// teams enters the budgets: a team that the platform knows gets the budget of the file.
func (o *Operator) teams(c *Config, errs *problems) {
	seen := map[string]bool{}
	for i, t := range o.Teams {
		key := fmt.Sprintf("team[%d]", i)
		if t.Name == "" || seen[t.Name] {
			errs.add(key+".name", "is %q, want a name of its own", t.Name)
			continue
		}
		seen[t.Name] = true
		if !(t.Quota > 0) {
			errs.add(key+".requests_per_s", "is %v, want above 0", t.Quota)
		}
		at := place(&c.Tenants, t.Name)
		if at == len(c.Module.Tenants) {
			c.Module.Tenants = append(c.Module.Tenants, kiteslip.Tenant{})
		}
		c.Module.Tenants[at].Quota = t.Quota
	}
}

// place returns the place of name in the list, at whose end it is put if it is not there.
func place(list *[]string, name string) int {
	for i, s := range *list {
		if s == name {
			return i
		}
	}
	*list = append(*list, name)
	return len(*list) - 1
}

// services enters the contracts. What a contract leaves open stays as the platform has it.
func (o *Operator) services(c *Config, errs *problems) {
	c.fronts()
	classes, paths, services := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range o.Services {
		s := &o.Services[i]
		key := fmt.Sprintf("service[%d]", i)
		if s.Name == "" || services[s.Name] {
			errs.add(key+".name", "is %q, want a name of its own", s.Name)
		}
		services[s.Name] = true
		if s.Owner != "" && !contains(c.Tenants, s.Owner) {
			errs.add(key+".owner", "is %q, which is no team", s.Owner)
		}
		if s.Backend != "" {
			checkAddress(errs.add, key+".backend", s.Backend)
		} else if c.Engine == "" {
			errs.add(key+".backend", "is absent, and there is no engine")
		}
		if len(s.Contracts) == 0 {
			errs.add(key+".contract", "is absent")
		}
		for j := range s.Contracts {
			t := &s.Contracts[j]
			key := fmt.Sprintf("%s.contract[%d]", key, j)
			if t.Class == "" || classes[t.Class] || len(t.Class) > mostName {
				errs.add(key+".class", "is %q, want a name of its own of at most %d bytes", t.Class, mostName)
				continue
			}
			classes[t.Class] = true
			if t.Path != "" && (paths[t.Path] || !strings.HasPrefix(t.Path, "/")) {
				errs.add(key+".path", "is %q, want one of its own that starts with /", t.Path)
			}
			paths[t.Path] = true
			contract{t}.apply(c, s.Backend, key, errs)
		}
	}
	if len(c.Module.Classes) == 0 {
		errs.add("service", "is absent, and there are no other classes")
	}
}

func contains(list []string, name string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}

// fronts makes room for what the fronts must know of each class.
func (c *Config) fronts() {
	for i := len(c.UWSGI.Contracts); i < len(c.Module.Classes); i++ {
		m := &c.Module.Classes[i]
		c.UWSGI.Contracts = append(c.UWSGI.Contracts, uwsgi.Contract{Keyed: m.Effect == kiteslip.Keyed,
			Deadline: m.Limit, MaxBody: defaultBody, HeldKB: defaultHeldKB})
		c.Backends = append(c.Backends, "")
		c.MaxResults = append(c.MaxResults, defaultResult)
	}
}

func (t contract) apply(c *Config, backend, key string, errs *problems) {
	at := place(&c.Classes, t.Class)
	known := at < len(c.Module.Classes)
	if !known {
		c.Module.Classes = append(c.Module.Classes, kiteslip.Class{Worth: 1})
		c.fronts()
	}
	m := &c.Module.Classes[at]
	if effect, ok := effects[t.Effect]; ok {
		m.Effect = effect
	} else if t.Effect != "" || !known {
		errs.add(key+".effect", "is %q, want repeatable, keyed or once", t.Effect)
	}
	figure := func(name string, value *float64, most, unit float64, set func(float64)) {
		switch {
		case value == nil:
		case !(*value >= 0) || *value > most:
			errs.add(key+"."+name, "is %v, want 0 to %v", *value, most)
		default:
			set(*value * unit)
		}
	}
	figure("aim_ms", t.AimMS, hourMS, 1000, func(v float64) { m.Aim = int64(v) })
	figure("deadline_ms", t.DeadlineMS, hourMS, 1000, func(v float64) { m.Limit = int64(v) })
	figure("window_ms", t.WindowMS, hourMS, 1000, func(v float64) { m.Window = int64(v) })
	figure("worth", t.Worth, 1e6, 1, func(v float64) { m.Worth = v })
	figure("late_worth", t.LateWorth, 1, 1, func(v float64) { m.LateWorth = v })
	t.calls(c, m, key, errs)
	if m.Limit == 0 {
		errs.add(key+".deadline_ms", "is absent")
	}
	if m.Aim == 0 {
		m.Aim = m.Limit
	}
	if m.Aim > m.Limit {
		errs.add(key+".aim_ms", "is past the deadline")
	}
	if m.Effect == kiteslip.Keyed && m.Window < m.Limit {
		errs.add(key+".window_ms", "is shorter than the deadline: a later try would run again")
	}
	if t.MaxBody == 0 {
		t.MaxBody = defaultBody
	}
	if t.MaxResult == 0 {
		t.MaxResult = defaultResult
	}
	if t.MaxBody < 0 || t.MaxBody > mostBody {
		errs.add(key+".max_body", "is %d, want 0 to %d bytes", t.MaxBody, mostBody)
	}
	if t.MaxResult < 0 || t.MaxResult > mostBody {
		errs.add(key+".max_result", "is %d, want 0 to %d bytes", t.MaxResult, mostBody)
	}
	if t.HeldKB == 0 {
		t.HeldKB = defaultHeldKB
	}
	if !(t.HeldKB > 0) || t.HeldKB*1024 < float64(t.MaxBody) {
		errs.add(key+".held_kb", "is %v, want room for max_body at least", t.HeldKB)
	}
	c.UWSGI.Contracts[at] = uwsgi.Contract{Keyed: m.Effect == kiteslip.Keyed, Deadline: m.Limit,
		MaxBody: t.MaxBody, HeldKB: t.HeldKB, Path: t.Path}
	c.Backends[at], c.MaxResults[at] = backend, t.MaxResult
}

func checkAddress(add func(key, format string, args ...any), key, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		add(key, "is %q, want host:port", value)
	}
}
