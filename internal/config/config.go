// Package config reads, validates and updates the configuration: the platform's JSON
// file and environment, the operator's TOML file, and the content of a fleet version.
// It sets the defaults, and its errors name the invalid key.
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

// The environment variables that the platform sets.
const (
	EnvName        = "EDGE_NAME"
	EnvListen      = "EDGE_LISTEN"
	EnvConfig      = "EDGE_CONFIG"
	EnvOps         = "EDGE_OPS"
	EnvInheritedFD = "EDGE_INHERITED_FD"
)

// Limits are the resources that the platform grants to the process.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// heapShare is the fraction of the memory limit that the Go heap may use before the
// garbage collector works harder; the rest is for stacks and the system.
const heapShare = 0.8

// MaxHeapBytes returns the soft limit of the Go heap.
func (l *Limits) MaxHeapBytes() int64 { return int64(heapShare * float64(l.MemoryMB) * (1 << 20)) }

// Config is a validated configuration. Classes and Tenants are lists of slots: the
// other lists that are by class or by team have the same indexes.
type Config struct {
	Name   string
	Listen string
	Ops    string // address of the admin endpoint; "" = none
	Engine string
	Ledger string // address for downstream calls; "" = none

	InheritedFD   int    // descriptor of the callers' listening socket, inherited from the platform; 0 = none
	HandoverDir   string // directory of the socket at which an upgrade's two processes connect; "" = the system's temporary directory
	Registry      string // address; "" = none
	Seed          uint64
	StopTimeoutUS int64 // from the shutdown notice to the kill
	Limits        Limits
	Policy        kiteslip.Settings
	Gauges        []string

	ListFollowsHealth bool // the registry's list leaves out a server that is not healthy

	Classes []string
	Tenants []string

	// Slots of classes and teams that are no longer configured, see Updater. May be
	// shorter than the lists of slots.
	RetiredClasses, RetiredTenants []bool

	Control      Control
	Keys         Keys
	Pools        []Pool
	CheapReserve float64

	UWSGI          UWSGI
	Backends       []string // by class: address of the uwsgi server that does the work; "" = the engine
	MaxResultBytes []int    // by class, bytes

	keyTree  any       // the platform's file, decoded, to compare its keys with those of the next one
	baseline *baseline // classes and teams of the platform's file

	version *document.Document // the version in force; nil = the file's own teams, services and pools
}

// Version returns the fleet version in force, or nil if the file's own teams, services
// and pools are in force.
func (c *Config) Version() *document.Document { return c.version }

// UWSGI configures the uwsgi front end.
type UWSGI struct {
	Listen        string           // "" = off
	ReadTimeoutUS int64            // longest time for a caller to send its request
	Contracts     []uwsgi.Contract // by class
}

// platformFile mirrors the platform's file, which EDGE_CONFIG names.
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

// platformNames mirrors the parts of the platform's settings that wire.ParseSettings
// does not read.
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

// The defaults of the platform's file, which are the limits that the platform grants on
// its scored days, and the smallest and largest values.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	defaultStopMS   = 3000
	minMemoryMB     = 16
	minSockets      = 32
	minInheritedFD  = 3 // after standard input, output and error
	maxInheritedFD  = 1 << 20
	maxNameBytes    = 128 // of the name of a class, which appears in messages and metrics
)

// Load reads the platform's file; getenv gives the environment.
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

// Parse parses the platform's JSON. The environment overrides the text.
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
	address := func(key, value string, required bool) {
		if value == "" {
			if required {
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

// applyDefaults sets absent limits to their defaults and validates the others.
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

// parseSettings parses the platform's settings, which have the form of the settings in
// the simulator's enlist record.
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

// jsonError rewrites a type mismatch so that it names the key.
func jsonError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) && wrong.Field != "" {
		return fmt.Errorf("%s is a %s, want %s", wrong.Field, wrong.Value, wrong.Type)
	}
	return err
}
