// Package figures is the form in which measurements of scale are kept: slopes
// with their raw points and their fit, and single figures with what they must
// be. A file is written by the run that measured it alone, and names the
// machine, the build, the version of Go and the date; docs/CAPACITY.md is
// rendered from such files.
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

// The states of the fleet for which a figure holds.
const (
	Ordinary = "ordinary"      // an ordinary day
	Peak     = "peak"          // the busiest moment of a day
	ZoneLost = "zone lost"     // a zone is gone, the others carry its load
	Apart    = "regions apart" // a region reaches no other
	AllStart = "all start"     // everything starts at once
)

// When are the states, in the order of the page's columns.
var When = []string{Ordinary, Peak, ZoneLost, Apart, AllStart}

// The roles, in the order of the page.
const (
	Fronts   = "fronts"
	Core     = "core and module"
	Engine   = "engine link"
	Calls    = "calls"
	Keys     = "keys"
	Reports  = "reports"
	Settings = "settings"
	Caller   = "caller"
	Registry = "registry and discovery"
	Control  = "control machine"
	Operator = "operator's file and door"
)

// Roles are all of them.
var Roles = []string{Fronts, Core, Engine, Calls, Keys, Reports, Settings, Caller, Registry, Control, Operator}

// File is what one run measured.
type File struct {
	Machine string   `json:"Machine"` // the processor's model
	Cores   int      `json:"Cores"`   // that the run could use
	Build   string   `json:"Build"`   // git describe of the source measured
	Go      string   `json:"Go"`      // version of Go that built the measurement
	Date    string   `json:"Date"`    // when the run began, RFC 3339
	Command string   `json:"Command"` // how to measure it again
	Slopes  []Slope  `json:"Slopes,omitempty"`
	Figures []Figure `json:"Figures,omitempty"`
}

// Slope is one figure by one size, everything else alike.
type Slope struct {
	Name      string  `json:"Name"`   // its own, such as "decision/tenants/held=50"
	Role      string  `json:"Role"`   // one of Roles
	Of        string  `json:"Of"`     // what is measured, in plain words
	Unit      string  `json:"Unit"`   // of the figure
	By        string  `json:"By"`     // what the size counts
	Points    []Point `json:"Points"` // by size; the largest is left out of the fit
	Fixed     float64 `json:"Fixed"`  // the fit: figure = Fixed + PerUnit*size
	PerUnit   float64 `json:"PerUnit"`
	Residual  float64 `json:"Residual"`         // root mean square of the fitted points' misses, as part of the point; the largest is not among them
	Predicted float64 `json:"Predicted"`        // by the fit for the largest size
	Miss      float64 `json:"Miss"`             // |measured - predicted| / measured at the largest size
	Knee      string  `json:"Knee,omitempty"`   // between which sizes the slope changes, where the miss says so
	Bound     float64 `json:"Bound,omitempty"`  // the figure must not pass this at Target; 0 = no bound
	Target    float64 `json:"Target,omitempty"` // the size at the operators' target; 0 = none
}

// Point is the figure at one size: Value is the one of the fit (the median of
// Raw, or its least where a disturbance can only add).
type Point struct {
	Size  float64   `json:"Size"`
	Value float64   `json:"Value"`
	Raw   []float64 `json:"Raw,omitempty"` // one for each repetition, in their order
}

// Figure is one figure at the target, with what it must be.
type Figure struct {
	Name  string  `json:"Name"`
	Role  string  `json:"Role"` // one of Roles
	When  string  `json:"When"` // one of When
	Unit  string  `json:"Unit"`
	Value float64 `json:"Value"`           // the mean, or the one value that there is
	P99   float64 `json:"P99,omitempty"`   // 0 = not taken
	Worst float64 `json:"Worst,omitempty"` // 0 = not taken
	Bound float64 `json:"Bound,omitempty"` // 0 = none
	Least bool    `json:"Least,omitempty"` // the bound is the least that is allowed, not the most
	OK    bool    `json:"OK"`              // within the bound, or there is none
	Run   string  `json:"Run"`             // the run that gave it, and what it was
	Trial bool    `json:"Trial,omitempty"` // from a short form: never taken onto the page
}

// New is a file of this machine, build and moment.
func New(command string) *File {
	return &File{Machine: machine(), Cores: runtime.NumCPU(), Build: build(), Go: runtime.Version(),
		Date: time.Now().UTC().Format(time.RFC3339), Command: command}
}

// machine is the processor's model, or the architecture where the system does not tell.
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

// build is git describe of the folder, or the revision in the binary, or "unknown".
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

// Load reads a file.
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

// check names the first thing that a page can't be rendered from.
func (f *File) check() error {
	names := map[string]bool{}
	for _, s := range f.Slopes {
		if !slices.Contains(Roles, s.Role) {
			return fmt.Errorf("slope %q: role is %q, want one of %q", s.Name, s.Role, Roles)
		}
		if s.Name == "" || names[s.Name] {
			return fmt.Errorf("slope %q: want a name of its own", s.Name)
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
		if !slices.Contains(When, g.When) {
			return fmt.Errorf("figure %q: when is %q, want one of %q", g.Name, g.When, When)
		}
		key := g.Role + "/" + g.Name + "/" + g.When
		if g.Name == "" || names[key] {
			return fmt.Errorf("figure %q, %s: want a name of its own", g.Name, g.When)
		}
		names[key] = true
	}
	return nil
}

// Save writes the file in whole or not at all.
func (f *File) Save(path string) error {
	for i := range f.Slopes {
		for _, v := range []float64{f.Slopes[i].Fixed, f.Slopes[i].PerUnit, f.Slopes[i].Predicted} {
			if math.IsNaN(v) || math.IsInf(v, 0) {
				return fmt.Errorf("figures: slope %q is not a number", f.Slopes[i].Name)
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

// Slope returns the slope of that name, or nil.
func (f *File) Slope(name string) *Slope {
	for i := range f.Slopes {
		if f.Slopes[i].Name == name {
			return &f.Slopes[i]
		}
	}
	return nil
}

// At is the figure that the slope gives for a size: the measured one where the
// size was measured, otherwise the fit's.
func (s *Slope) At(size float64) (value float64, measured bool) {
	for _, p := range s.Points {
		if p.Size == size {
			return p.Value, true
		}
	}
	return s.Fixed + s.PerUnit*size, false
}
