// Package target reads the operators' capacity target,
// docs/capacity/target-fleet.toml: the sizes that the system is to carry, what it
// promises at these sizes, and the assumptions where no requirement was given.
package target

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Fleet holds the sizes of the fleet.
type Fleet struct {
	Servers         int     `toml:"servers"`
	Callers         int     `toml:"callers"`
	Services        int     `toml:"services"`
	RequestsPerS    float64 `toml:"requests_per_s"` // of the whole fleet at the peak
	Routes          int     `toml:"routes"`
	Tenants         int     `toml:"tenants"`
	Regions         int     `toml:"regions"`
	Zones           int     `toml:"zones"`
	ControlMachines int     `toml:"control_machines"`
	Descriptors     int     `toml:"descriptors"` // file descriptors per server for callers
}

// Promise holds the service levels that users are promised.
type Promise struct {
	AddedP99MS     float64 `toml:"added_p99_ms"`
	ChangesPerDay  float64 `toml:"changes_per_day"`
	InForceWithinS float64 `toml:"in_force_within_s"`
}

// Control holds the most that one server may spend on following the
// configuration of the fleet.
type Control struct {
	CorePercent float64 `toml:"core_percent"`
	MemoryMB    float64 `toml:"memory_mb"`
	KBPerS      float64 `toml:"kb_per_s"`
}

// Faults holds the rates of failures that occur in regular operation.
type Faults struct {
	MachinesPerDay float64 `toml:"machines_per_day"`
	RestartsPerDay float64 `toml:"restarts_per_day"`
	RacksPerYear   float64 `toml:"racks_per_year"`
	ZonesPerYear   float64 `toml:"zones_per_year"`
}

// Assumed holds values that no requirement gives.
type Assumed struct {
	HotServerPerS       float64 `toml:"hot_server_per_s"`
	OrdinaryFraction    float64 `toml:"ordinary_part"`
	Queued              int     `toml:"held"`
	MaxQueued           int     `toml:"held_most"`
	KeyedFraction       float64 `toml:"keyed_part"`
	KeyWindowS          float64 `toml:"key_window_s"`
	BodyBytes           int     `toml:"body_bytes"`
	IdleTimeoutS        float64 `toml:"rest_s"`
	AdminQueryIntervalS float64 `toml:"door_every_s"`
	PartitionsPerYear   float64 `toml:"cuts_per_year"`
	PartitionMinutes    float64 `toml:"cut_minutes"`
	ServerCores         float64 `toml:"server_cores"`
	ServerMemoryMB      float64 `toml:"server_memory_mb"`
}

// Target is the content of the file.
type Target struct {
	Fleet   Fleet   `toml:"fleet"`
	Promise Promise `toml:"promise"`
	Control Control `toml:"control"`
	Faults  Faults  `toml:"faults"`
	Assumed Assumed `toml:"assumed"`
}

// Load reads the file at path. An error names all invalid keys.
func Load(path string) (*Target, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	t, err := Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("target: %s: %w", path, err)
	}
	return t, nil
}

// Parse parses the text of the file. An error names all invalid keys.
func Parse(text string) (*Target, error) {
	t := &Target{}
	meta, err := toml.Decode(text, t)
	if err != nil {
		return nil, err
	}
	var errs []error
	for _, key := range meta.Undecoded() {
		errs = append(errs, fmt.Errorf("unknown key %s", key))
	}
	for _, k := range t.keys() {
		if !(k.value > 0) || k.max > 0 && k.value > k.max {
			errs = append(errs, fmt.Errorf("%s is %v, want more than 0%s", k.name, k.value, k.maxText()))
		}
	}
	if err = errors.Join(errs...); err != nil {
		return nil, err
	}
	if t.Fleet.Zones < t.Fleet.Regions {
		return nil, fmt.Errorf("fleet.zones is %d, want at least one for each of %d regions", t.Fleet.Zones, t.Fleet.Regions)
	}
	if t.Assumed.MaxQueued < t.Assumed.Queued {
		return nil, fmt.Errorf("assumed.held_most is %d, want at least assumed.held, %d", t.Assumed.MaxQueued, t.Assumed.Queued)
	}
	return t, nil
}

type key struct {
	name       string
	value, max float64 // most 0 = no upper bound
}

func (k key) maxText() string {
	if k.max > 0 {
		return fmt.Sprintf(", at most %v", k.max)
	}
	return ""
}

func (t *Target) keys() []key {
	f, p, c, g, a := &t.Fleet, &t.Promise, &t.Control, &t.Faults, &t.Assumed
	return []key{
		{"fleet.servers", float64(f.Servers), 0}, {"fleet.callers", float64(f.Callers), 0}, {"fleet.services", float64(f.Services), 0},
		{"fleet.requests_per_s", f.RequestsPerS, 0}, {"fleet.routes", float64(f.Routes), 0}, {"fleet.tenants", float64(f.Tenants), 0},
		{"fleet.regions", float64(f.Regions), 0}, {"fleet.zones", float64(f.Zones), 0},
		{"fleet.control_machines", float64(f.ControlMachines), 0}, {"fleet.descriptors", float64(f.Descriptors), 0},
		{"promise.added_p99_ms", p.AddedP99MS, 0}, {"promise.changes_per_day", p.ChangesPerDay, 0}, {"promise.in_force_within_s", p.InForceWithinS, 0},
		{"control.core_percent", c.CorePercent, 100}, {"control.memory_mb", c.MemoryMB, 0}, {"control.kb_per_s", c.KBPerS, 0},
		{"faults.machines_per_day", g.MachinesPerDay, 0}, {"faults.restarts_per_day", g.RestartsPerDay, 0},
		{"faults.racks_per_year", g.RacksPerYear, 0}, {"faults.zones_per_year", g.ZonesPerYear, 0},
		{"assumed.cuts_per_year", a.PartitionsPerYear, 0}, {"assumed.cut_minutes", a.PartitionMinutes, 0},
		{"assumed.hot_server_per_s", a.HotServerPerS, 0}, {"assumed.ordinary_part", a.OrdinaryFraction, 1},
		{"assumed.held", float64(a.Queued), 0}, {"assumed.held_most", float64(a.MaxQueued), 0},
		{"assumed.keyed_part", a.KeyedFraction, 1}, {"assumed.key_window_s", a.KeyWindowS, 3600}, {"assumed.body_bytes", float64(a.BodyBytes), 2048},
		{"assumed.rest_s", a.IdleTimeoutS, 0}, {"assumed.door_every_s", a.AdminQueryIntervalS, 0}, {"assumed.server_cores", a.ServerCores, 0}, {"assumed.server_memory_mb", a.ServerMemoryMB, 0},
	}
}

// RequestsPerServer returns the mean rate of one server at the peak, in requests
// per second.
func (t *Target) RequestsPerServer() float64 { return t.Fleet.RequestsPerS / float64(t.Fleet.Servers) }

// ZoneLossFactor returns the factor by which each server's load grows while one
// zone is lost.
func (t *Target) ZoneLossFactor() float64 {
	if t.Fleet.Zones < 2 {
		return 1
	}
	return float64(t.Fleet.Zones) / float64(t.Fleet.Zones-1)
}
