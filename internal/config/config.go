// Package config is the one place that reads the configuration, checks it and
// puts defaults where something is absent. Its errors name the faulty key.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"kiteslip"
	"kiteslip/internal/control/document"
	"kiteslip/internal/ledger"
	"kiteslip/internal/uwsgi"
	"kiteslip/internal/wire"
)

// The environment that the platform sets.
const (
	EnvName        = "EDGE_NAME"
	EnvListen      = "EDGE_LISTEN"
	EnvConfig      = "EDGE_CONFIG"
	EnvOps         = "EDGE_OPS"
	EnvInheritedFD = "EDGE_INHERITED_FD"
)

// Limits are what the platform grants to the program.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// heapShare is the part of the memory limit that the Go heap may fill before
// the collector works harder; the rest is for stacks and the system.
const heapShare = 0.8

// MaxHeapBytes is what the Go heap may fill, in bytes.
func (l *Limits) MaxHeapBytes() int64 { return int64(heapShare * float64(l.MemoryMB) * (1 << 20)) }

// Config is a checked configuration.
type Config struct {
	Name   string
	Listen string
	Ops    string // the operators' door; "" = none
	Engine string
	Ledger string // where calls below go; "" = nowhere

	InheritedFD   int    // of the clients' listening socket, which the platform holds; 0 = none
	HandoverDir   string // the folder where two processes of an upgrade meet; "" = the system's for passing files
	Registry      string // "" = report nowhere
	Seed          uint64
	StopTimeoutUS int64 // from the notice to leave to the kill, microseconds
	Limits        Limits
	Policy        kiteslip.Settings
	Gauges        []string

	ListFollowsHealth bool // callers' list drops a server whose health is not good

	Classes []string
	Tenants []string

	// What a file that came before had and this one has not, see Succeed.
	RetiredClasses, RetiredTenants []bool

	Control      Control
	Keys         Keys
	Pools        []Pool
	CheapReserve float64

	UWSGI          UWSGI
	Backends       []string // by class: the uwsgi server that does the work; "" = the engine
	MaxResultBytes []int    // by class, bytes

	keyTree  any       // the platform's text, decoded: which keys it has
	baseline *baseline // classes and teams of the platform

	version *document.Document // that is in force; nil = the file's own teams, services and pools
}

// Version is the version of the fleet's document that is in force; nil = none,
// the file's own teams, services and pools are.
func (c *Config) Version() *document.Document { return c.version }

// UWSGI is the set-up of the second front.
type UWSGI struct {
	Listen        string // "" = off
	ReadTimeoutUS int64  // microseconds
	Contracts     []uwsgi.Contract
}

// platformFile mirrors the file that EDGE_CONFIG names.
type platformFile struct {
	Name     string          `json:"name"`
	Listen   string          `json:"listen"`
	Ops      string          `json:"ops"`
	Engine   string          `json:"engine"`
	Registry string          `json:"registry"`
	Ledger   string          `json:"ledger"`
	Seed     string          `json:"seed"`
	StopMS   *float64        `json:"stop_ms"`
	Limits   Limits          `json:"limits"`
	Settings json.RawMessage `json:"settings"`
}

// platformNames are the parts of the settings that only a server needs.
type platformNames struct {
	Classes []struct {
		Name string `json:"name"`
	} `json:"classes"`
	Tenants []struct {
		Name string `json:"name"`
	} `json:"tenants"`
	Family struct {
		Readiness bool `json:"readiness"`
	} `json:"family_info"`
}

// The defaults: the limits of the platform's scored days.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultStopMS   = 3000
	minMemoryMB     = 16
	minSockets      = 32
	minInheritedFD  = 3 // after those for input, output and errors
	maxInheritedFD  = 1 << 20
	maxNameBytes    = 128 // bytes of a class's name, as it goes in messages and figures
)

// Load reads the platform's configuration through getenv.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(EnvConfig)
	if path == "" {
		return nil, fmt.Errorf("config: %s is not set", EnvConfig)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", EnvConfig, err)
	}
	c, err := Parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return c, nil
}

// Parse reads the platform's JSON. What the environment gives stands over the text.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var r platformFile
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, jsonError(err)
	}
	r.Name = cmp.Or(getenv(EnvName), r.Name)
	r.Listen = cmp.Or(getenv(EnvListen), r.Listen)
	r.Ops = cmp.Or(getenv(EnvOps), r.Ops)
	c := &Config{Name: r.Name, Listen: r.Listen, Ops: r.Ops, Engine: r.Engine, Ledger: r.Ledger, Registry: r.Registry, Limits: r.Limits}
	if err := json.Unmarshal(text, &c.keyTree); err != nil {
		return nil, err
	}
	var errs []error
	fail := func(key, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s %w", key, fmt.Errorf(format, args...)))
	}
	if c.Name == "" {
		fail("name", "is absent (or set %s)", EnvName)
	}
	address := func(key, value string, needed bool) {
		if value == "" {
			if needed {
				fail(key, "is absent")
			}
			return
		}
		checkAddress(fail, key, value)
	}
	address("listen", c.Listen, true)
	address("ops", c.Ops, false)
	address("engine", c.Engine, true)
	address("registry", c.Registry, false)
	if c.Ledger != "" {
		if err := ledger.CheckAddress(c.Ledger); err != nil {
			fail("ledger", "%w", err)
		}
	}
	if text := getenv(EnvInheritedFD); text != "" {
		fd, err := strconv.Atoi(text)
		if err != nil || fd < minInheritedFD || fd > maxInheritedFD {
			fail(EnvInheritedFD, "is %q, want the number of a descriptor from %d", text, minInheritedFD)
		}
		c.InheritedFD = fd
	}
	if r.Seed != "" {
		seed, err := strconv.ParseUint(r.Seed, 16, 64)
		if err != nil {
			fail("seed", "is %q, want up to 16 hex digits", r.Seed)
		}
		c.Seed = seed
	}
	stop := float64(defaultStopMS)
	if r.StopMS != nil {
		stop = *r.StopMS
	}
	if stop <= 0 || stop > 3_600_000 {
		fail("stop_ms", "is %v, want above 0 and at most an hour", stop)
	}
	c.StopTimeoutUS = int64(stop * 1000)
	c.Limits.applyDefaults(fail)
	if len(r.Settings) == 0 {
		fail("settings", "are absent")
		return nil, errors.Join(errs...)
	}
	if err := c.parseSettings(r.Settings); err != nil {
		errs = append(errs, err)
	}
	return c, errors.Join(errs...)
}

// applyDefaults fills in absent limits and checks the others.
func (l *Limits) applyDefaults(fail func(key, format string, args ...any)) {
	if l.Cores == 0 {
		l.Cores = defaultCores
	}
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Sockets == 0 {
		l.Sockets = defaultSockets
	}
	if !(l.Cores > 0) {
		fail("limits.cores", "is %v, want above 0", l.Cores)
	}
	if l.MemoryMB < minMemoryMB {
		fail("limits.memory_mb", "is %d, want %d at least", l.MemoryMB, minMemoryMB)
	}
	if l.Sockets < minSockets {
		fail("limits.sockets", "is %d, want %d at least", l.Sockets, minSockets)
	}
}

// parseSettings reads the object that the simulator gives to an instance.
func (c *Config) parseSettings(text []byte) error {
	var err error
	if c.Policy, c.Gauges, err = wire.ParseSettings(text); err != nil {
		return err
	}
	if _, err := kiteslip.New(c.Policy, 0); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	var n platformNames
	if err := json.Unmarshal(text, &n); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.ListFollowsHealth = n.Family.Readiness
	seen := map[string]bool{}
	for i, class := range n.Classes {
		if class.Name == "" || seen[class.Name] || len(class.Name) > maxNameBytes {
			return fmt.Errorf("settings.classes[%d].name is %q, want a name of its own of at most %d bytes", i, class.Name, maxNameBytes)
		}
		seen[class.Name] = true
		c.Classes = append(c.Classes, class.Name)
	}
	clear(seen)
	for i, tenant := range n.Tenants {
		if tenant.Name == "" || seen[tenant.Name] {
			return fmt.Errorf("settings.tenants[%d].name is %q, want a name of its own", i, tenant.Name)
		}
		seen[tenant.Name] = true
		c.Tenants = append(c.Tenants, tenant.Name)
	}
	c.growFrontend()
	c.baseline = c.newBaseline()
	return nil
}

// jsonError names the key at which a value has the wrong type.
func jsonError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return fmt.Errorf("%s is a %s, want %s", wrong.Field, wrong.Value, wrong.Type)
	}
	return err
}
