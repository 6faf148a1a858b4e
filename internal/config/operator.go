package config

import (
	"errors"
	"fmt"
	"net"
	"os"

	"github.com/BurntSushi/toml"

	"kiteslip"
	"kiteslip/internal/control/document"
)

// OperatorFile is the operator's file: the uwsgi front end, the budgets of teams and
// the contracts of their services, pools, keys and control machines.
type OperatorFile struct {
	UWSGI    UWSGIFile    `toml:"uwsgi"`
	Machine  *Machine     `toml:"machine"`
	Teams    []Team       `toml:"team"`
	Services []Service    `toml:"service"`
	Pool     []Pool       `toml:"pool"`
	Pools    PoolsSection `toml:"pools"`
	Keys     *KeysFile    `toml:"keys"`
	Control  *ControlFile `toml:"control"`
}

// UWSGIFile is [uwsgi] of the operator's file. Without an address the front end is off.
type UWSGIFile struct {
	Listen string `toml:"listen"`
	ReadMS int64  `toml:"read_ms"` // longest time for a caller to send its request
}

// Machine is [machine] of the operator's file. It describes the machine where there is
// no platform's file.
type Machine struct {
	Name      string  `toml:"name"`
	Listen    string  `toml:"listen"` // of the platform's frame protocol; "" = off
	Ops       string  `toml:"ops"`    // admin endpoint; "" = none
	Engine    string  `toml:"engine"` // "" = all services have backends
	Ledger    string  `toml:"ledger"` // for downstream calls; "" = none
	StopRuns  string  `toml:"stop_runs"`
	Cores     int     `toml:"cores"` // of the engine
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

// Fleet content, which is in the operator's file or in a version.
type (
	Team     = document.Team
	Service  = document.Service
	Contract = document.Contract
)

// The defaults and limits of the operator's file.
const (
	defaultReadMS          = 5_000
	defaultMaxBodyBytes    = 2 << 10
	defaultMaxResultBytes  = 4 << 10
	maxBodyBytes           = 1 << 20
	defaultRequestMemoryKB = 16
	defaultKeyKB           = 8
	defaultRunFactor       = 4
	defaultMaxRetryMS      = 1_000
	hourMS                 = 3_600_000
)

// effects are the effects of a class by their names in the file.
var effects = map[string]kiteslip.Effect{
	"repeatable": kiteslip.Repeatable, "keyed": kiteslip.Keyed, "once": kiteslip.Once,
}

// LoadOperator reads the operator's file and applies it to platform, the configuration
// from the platform's file; nil means that there is none and the file must describe
// the machine.
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

// ParseOperator parses the text of an operator's file, as LoadOperator does.
func ParseOperator(text string, platform *Config) (*Config, error) {
	var o OperatorFile
	meta, err := toml.Decode(text, &o)
	if err != nil {
		return nil, err
	}
	var errs validationErrors
	for _, key := range meta.Undecoded() {
		errs.add(key.String(), "is not known")
	}
	c := platform
	if c == nil {
		if o.Machine == nil {
			errs.add("machine", "is absent, and there is no %s that describes the machine", EnvConfig)
			o.Machine = &Machine{}
		}
		c = o.Machine.newConfig(&errs)
	} else if o.Machine != nil {
		errs.add("machine", "is described by %s already", EnvConfig)
	}
	o.UWSGI.apply(c, &errs)
	if o.UWSGI.Listen == "" && c.Listen == "" {
		errs.add("uwsgi.listen", "is absent, and no other front is set up")
	}
	o.Keys.apply(c, &errs)
	o.Control.apply(c, &errs)
	c.baseline = c.newBaseline()
	c.applyContent(&document.Content{Teams: o.Teams, Services: o.Services, Pools: o.Pool, CheapReserve: o.Pools.CheapReserve}, &errs)
	if len(errs) == 0 {
		if _, err := kiteslip.New(c.Policy, 0); err != nil {
			errs = append(errs, err)
		}
	}
	return c, errs.join()
}

// validationErrors collects the errors of a file or version, each of which names its key.
type validationErrors []error

func (p *validationErrors) add(key, format string, args ...any) {
	*p = append(*p, fmt.Errorf("%s %s", key, fmt.Sprintf(format, args...)))
}

func (f *UWSGIFile) apply(c *Config, errs *validationErrors) {
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
	c.UWSGI.ReadTimeoutUS = f.ReadMS * 1000
}

// newConfig returns a configuration for a machine without a platform's file.
func (m *Machine) newConfig(errs *validationErrors) *Config {
	c := &Config{Name: m.Name, Listen: m.Listen, Ops: m.Ops, Engine: m.Engine,
		Limits: Limits{m.Limits.Cores, m.Limits.MemoryMB, m.Limits.Sockets}}
	c.Limits.applyDefaults(func(key, format string, args ...any) { errs.add("machine."+key, format, args...) })
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
	c.StopTimeoutUS = int64(positive("machine.stop_ms", m.StopMS, defaultStopMS) * 1000)
	c.Policy = kiteslip.Settings{
		Cores:          int(positive("machine.cores", float64(m.Cores), 1)),
		MemoryKB:       positive("machine.work_mb", m.WorkMB, 64) * 1024,
		RunFactor:      positive("machine.run_factor", m.RunFactor, defaultRunFactor),
		KeyKB:          positive("machine.key_kb", m.KeyKB, defaultKeyKB),
		MaxRetryAfter:  int64(positive("machine.max_retry_after_ms", float64(m.MaxRetryMS), defaultMaxRetryMS)) * 1000,
		OverShareWorth: m.OverShareWorth,
		Goal:           kiteslip.Goal{Whole: 0.5, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.2},
		Tick:           4_000, DrainGrace: 2_000_000, AnswerSlack: 60_000, WorthByWork: true,
	}
	m.applyLedger(c, errs)
	if w := c.Policy.OverShareWorth; w < 0 || w > 1 {
		errs.add("machine.over_share_worth", "is %v, want 0 to 1", w)
	}
	return c
}

func (p validationErrors) join() error { return errors.Join(p...) }

func checkAddress(add func(key, format string, args ...any), key, value string) {
	if !isAddress(value) {
		add(key, "is %q, want host:port", value)
	}
}

func isAddress(value string) bool {
	_, _, err := net.SplitHostPort(value)
	return err == nil
}
