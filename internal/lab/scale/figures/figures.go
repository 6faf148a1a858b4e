// Package figures defines the files that capacity measurements are stored in:
// slopes with their raw points and fits, and single figures with their bounds. A
// file is written only by the run that measured it, and names the machine, the
// build, the Go version and the date; docs/CAPACITY.md is rendered from such
// files.
package figures

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"
)

// The states of the fleet in which a figure holds.
const (
	Ordinary     = "ordinary"      // the ordinary load
	Peak         = "peak"          // the highest load of a day
	ZoneLost     = "zone lost"     // one zone has failed, the others carry its load
	RegionsApart = "regions apart" // the regions are cut off from each other
	AllStart     = "all start"     // all processes start at once
)

// States lists the states in the order of the page's columns.
var States = []string{Ordinary, Peak, ZoneLost, RegionsApart, AllStart}

// The roles: the parts of the system that a figure belongs to, in the order of
// the page.
const (
	FrontEnds = "fronts"
	Core      = "core and module"
	Engine    = "engine link"
	Calls     = "calls"
	Keys      = "keys"
	Reports   = "reports"
	Settings  = "settings"
	Caller    = "caller"
	Registry  = "registry and discovery"
	Control   = "control machine"
	Operator  = "operator's file and door"
)

// Roles lists all roles in that order.
var Roles = []string{FrontEnds, Core, Engine, Calls, Keys, Reports, Settings, Caller, Registry, Control, Operator}

// File holds the measurements of one run.
type File struct {
	Machine string   `json:"Machine"` // the processor's model
	Cores   int      `json:"Cores"`   // available to the run
	Build   string   `json:"Build"`   // git describe of the measured source
	Go      string   `json:"Go"`      // Go version of the build
	Date    string   `json:"Date"`    // start of the run, RFC 3339
	Command string   `json:"Command"` // the command that repeats the measurement
	Slopes  []Slope  `json:"Slopes,omitempty"`
	Figures []Figure `json:"Figures,omitempty"`
}

// Slope is one quantity measured over several sizes with everything else equal,
// and the line fitted to it.
type Slope struct {
	Name        string  `json:"Name"`   // unique, such as "decision/tenants/held=50"
	Role        string  `json:"Role"`   // one of Roles
	Description string  `json:"Of"`     // what is measured
	Unit        string  `json:"Unit"`   // of the values
	SizeName    string  `json:"By"`     // what the size counts
	Points      []Point `json:"Points"` // sorted by size; the largest is left out of the fit
	Fixed       float64 `json:"Fixed"`  // the fit: value = Fixed + PerUnit*size
	PerUnit     float64 `json:"PerUnit"`
	Residual    float64 `json:"Residual"`         // root mean square of the relative errors of the fitted points
	Predicted   float64 `json:"Predicted"`        // value of the fit at the largest size
	Miss        float64 `json:"Miss"`             // |measured - predicted| / measured at the largest size
	Knee        string  `json:"Knee,omitempty"`   // between which sizes the slope changes, if Miss is too large
	Bound       float64 `json:"Bound,omitempty"`  // upper bound of the value at Target; 0 = none
	Target      float64 `json:"Target,omitempty"` // the size in the operators' target; 0 = none
}

// Point is the measurement at one size. Value is the one that is fitted: the
// median of Raw, or its minimum where a disturbance can only add.
type Point struct {
	Size  float64   `json:"Size"`
	Value float64   `json:"Value"`
	Raw   []float64 `json:"Raw,omitempty"` // one value per repetition, in order
}

// Figure is one measurement at the target sizes, with its bound.
type Figure struct {
	Name       string  `json:"Name"`
	Role       string  `json:"Role"` // one of Roles
	State      string  `json:"When"` // one of States
	Unit       string  `json:"Unit"`
	Value      float64 `json:"Value"`           // the mean, or the only value
	P99        float64 `json:"P99,omitempty"`   // 0 = not measured
	Worst      float64 `json:"Worst,omitempty"` // 0 = not measured
	Bound      float64 `json:"Bound,omitempty"` // 0 = none
	LowerBound bool    `json:"Least,omitempty"` // Bound is a lower bound, not an upper one
	OK         bool    `json:"OK"`              // within the bound, or without one
	Run        string  `json:"Run"`             // the run that measured it
	Trial      bool    `json:"Trial,omitempty"` // measured by a short run: never rendered on the page
}

// New returns an empty file with this machine, build and time.
func New(command string) *File {
	return &File{Machine: machine(), Cores: runtime.NumCPU(), Build: build(), Go: runtime.Version(),
		Date: time.Now().UTC().Format(time.RFC3339), Command: command}
}

// machine returns the processor's model, or the architecture if the system does
// not report it.
func machine() string {
	f, err := os.Open("/proc/cpuinfo")
	if err != nil {
		return runtime.GOARCH
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if name, value, ok := strings.Cut(s.Text(), ":"); ok && strings.TrimSpace(name) == "model name" {
			return strings.TrimSpace(value)
		}
	}
	return runtime.GOARCH
}

// build returns git describe of the working directory, else the revision in the
// binary, else "unknown".
func build() string {
	if out, err := exec.Command("git", "describe", "--always", "--dirty").Output(); err == nil {
		return strings.TrimSpace(string(out))
	}
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value
			}
		}
	}
	return "unknown"
}

// Load reads and checks a file.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("figures: %w", err)
	}
	f := &File{}
	if err = json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("figures: %s: %w", path, err)
	}
	if err = f.check(); err != nil {
		return nil, fmt.Errorf("figures: %s: %w", path, err)
	}
	return f, nil
}

// check reports the first reason why a page can't be rendered from the file.
func (f *File) check() error {
	names := map[string]bool{}
	for _, s := range f.Slopes {
		if !slices.Contains(Roles, s.Role) {
			return fmt.Errorf("slope %q: role is %q, want one of %q", s.Name, s.Role, Roles)
		}
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("slope %q: want a unique name", s.Name)
		}
		names[s.Name] = true
		if len(s.Points) == 0 {
			return fmt.Errorf("slope %q has no points", s.Name)
		}
	}
	for _, g := range f.Figures {
		if !slices.Contains(Roles, g.Role) {
			return fmt.Errorf("figure %q: role is %q, want one of %q", g.Name, g.Role, Roles)
		}
		if !slices.Contains(States, g.State) {
			return fmt.Errorf("figure %q: when is %q, want one of %q", g.Name, g.State, States)
		}
		key := g.Role + "/" + g.Name + "/" + g.State
		if g.Name == "" || names[key] {
			return fmt.Errorf("figure %q, %s: want a unique name", g.Name, g.State)
		}
		names[key] = true
	}
	return nil
}

// Save writes the file atomically, after a check of its content.
func (f *File) Save(path string) error {
	for i := range f.Slopes {
		for _, v := range []float64{f.Slopes[i].Fixed, f.Slopes[i].PerUnit, f.Slopes[i].Predicted} {
			if math.IsNaN(v) || math.IsInf(v, 0) {
				return fmt.Errorf("figures: slope %q has a result that is not a finite number", f.Slopes[i].Name)
			}
		}
	}
	if err := f.check(); err != nil {
		return fmt.Errorf("figures: %s: %w", path, err)
	}
	text, err := json.MarshalIndent(f, "", " ")
	if err != nil {
		return fmt.Errorf("figures: %s: %w", path, err)
	}
	if err = os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	part := path + ".part"
	if err = os.WriteFile(part, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	if err = os.Rename(part, path); err != nil {
		return fmt.Errorf("figures: %w", err)
	}
	return nil
}

// Slope returns the slope with the given name, or nil.
func (f *File) Slope(name string) *Slope {
	for i := range f.Slopes {
		if f.Slopes[i].Name == name {
			return &f.Slopes[i]
		}
	}
	return nil
}

// At returns the value at a size: the measured one if the size was measured,
// otherwise that of the fit.
func (s *Slope) At(size float64) (value float64, measured bool) {
	for _, p := range s.Points {
		if p.Size == size {
			return p.Value, true
		}
	}
	return s.Fixed + s.PerUnit*size, false
}
