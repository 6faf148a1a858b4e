package config

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/BurntSushi/toml"

	"kiteslip/internal/control/document"
)

// ControlMachine is the validated file of a control machine, see deploy/control.toml.
type ControlMachine struct {
	Name      string             `toml:"name"`
	Region    string             `toml:"region"`
	Listen    string             `toml:"listen"`
	Folder    string             `toml:"folder"` // of the version log, an absolute path
	MaxDeltas int                `toml:"deltas"` // limit of deltas in the log; 0 = the publisher's default
	Upstreams []ControlPublisher `toml:"follow"` // the originator first; empty = this machine is the originator
}

// The limits of a control machine's file.
const (
	minDeltas    = 16
	maxDeltas    = 1 << 20
	maxUpstreams = 64
)

// LoadControlMachine reads a control machine's file. Its error names all invalid keys.
func LoadControlMachine(path string) (*ControlMachine, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c, err := ParseControlMachine(string(text))
	if err != nil {
		return nil, fmt.Errorf("config: %s: %w", path, err)
	}
	return c, nil
}

// ParseControlMachine parses the text of a control machine's file.
func ParseControlMachine(text string) (*ControlMachine, error) {
	c := &ControlMachine{}
	meta, err := toml.Decode(text, c)
	if err != nil {
		return nil, err
	}
	var errs validationErrors
	for _, key := range meta.Undecoded() {
		errs.add(key.String(), "is not known")
	}
	for key, value := range map[string]string{"name": c.Name, "region": c.Region} {
		if value == "" || len(value) > maxNameBytes {
			errs.add(key, "is %q, want 1 to %d bytes", value, maxNameBytes)
		}
	}
	checkAddress(errs.add, "listen", c.Listen)
	if !filepath.IsAbs(c.Folder) {
		errs.add("folder", "is %q, want an absolute path", c.Folder)
	}
	if c.MaxDeltas != 0 && (c.MaxDeltas < minDeltas || c.MaxDeltas > maxDeltas) {
		errs.add("deltas", "is %d, want %d to %d", c.MaxDeltas, minDeltas, maxDeltas)
	}
	if len(c.Upstreams) > maxUpstreams {
		errs.add("follow", "has %d entries, want at most %d", len(c.Upstreams), maxUpstreams)
	}
	seen := map[string]bool{}
	for i, f := range c.Upstreams {
		key := fmt.Sprintf("follow[%d]", i)
		checkAddress(errs.add, key+".address", f.Address)
		switch {
		case f.Address == c.Listen:
			errs.add(key+".address", "is %q, which is this machine", f.Address)
		case seen[f.Address]:
			errs.add(key+".address", "is %q, which is there twice", f.Address)
		}
		seen[f.Address] = true
		if f.Region == "" || len(f.Region) > maxNameBytes {
			errs.add(key+".region", "is %q, want 1 to %d bytes", f.Region, maxNameBytes)
		}
	}
	slices.SortFunc(errs, func(a, b error) int { return cmp.Compare(a.Error(), b.Error()) })
	return c, errors.Join(errs...)
}

// machineSections are the sections of an operator's file that are per machine.
var machineSections = []string{"uwsgi", "machine", "keys", "control"}

// ParseContent reads the fleet content of an operator's file: its teams, services and
// pools, sorted by name. Sections that are per machine are ignored. The error names all
// unknown keys and duplicate names; the values of entries are checked by the document.
func ParseContent(text string) (*document.Content, error) {
	var o OperatorFile
	meta, err := toml.Decode(text, &o)
	if err != nil {
		return nil, err
	}
	var errs validationErrors
	reported := map[string]bool{}
	for _, key := range meta.Undecoded() {
		// An ignored section with a misspelt name would drop all of its content.
		if text := key.String(); !slices.Contains(machineSections, key[0]) && !reported[text] {
			reported[text] = true // the same key in a thousand entries is reported once
			errs.add(text, "is not known")
		}
	}
	c := &document.Content{Teams: o.Teams, Services: o.Services, Pools: o.Pool, CheapReserve: o.Pools.CheapReserve}
	sortByName(c.Teams, "team", func(t *Team) string { return t.Name }, &errs)
	sortByName(c.Services, "service", func(s *Service) string { return s.Name }, &errs)
	sortByName(c.Pools, "pool", func(p *Pool) string { return p.Name }, &errs)
	return c, errors.Join(errs...)
}

// sortByName sorts the list by name and reports names that are absent or duplicate.
func sortByName[T any](list []T, section string, name func(*T) string, errs *validationErrors) {
	seen := make(map[string]bool, len(list))
	for i := range list {
		n := name(&list[i])
		if n == "" || seen[n] {
			errs.add(fmt.Sprintf("%s[%d].name", section, i), "is %q, want a name of its own", n)
		}
		seen[n] = true
	}
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(&a), name(&b)) })
}
