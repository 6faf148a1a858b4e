package config

import (
	"fmt"
	"path/filepath"
)

// ControlFile is [control] of the operator's file.
type ControlFile struct {
	Region     string             `toml:"region"`
	Folder     string             `toml:"folder"`  // an absolute path
	WaitMS     *int64             `toml:"wait_ms"` // longest wait for an initial version at the start
	Publishers []ControlPublisher `toml:"publisher"`
}

// Control is the validated [control] section: the publishers whose versions the server
// follows. Without a publisher it is off, and the file's own teams and services apply.
type Control struct {
	Region        string
	Folder        string // where the version in force is stored; "" = not stored
	InitialWaitUS int64  // longest wait for an initial version at the start
	Publishers    []ControlPublisher
}

// ControlPublisher is a control machine that versions are received from.
type ControlPublisher struct {
	Address string `toml:"address"`
	Region  string `toml:"region"`
}

// The default and the limits of [control].
const (
	defaultWaitMS = 1_000
	maxWaitMS     = 60_000
	maxPublishers = 64
)

// Enabled reports whether the server follows versions.
func (c *Control) Enabled() bool { return len(c.Publishers) > 0 }

func (f *ControlFile) apply(c *Config, errs *validationErrors) {
	if f == nil {
		return
	}
	wait := int64(defaultWaitMS)
	if f.WaitMS != nil {
		wait = *f.WaitMS
	}
	if wait < 0 || wait > maxWaitMS {
		errs.add("control.wait_ms", "is %d, want 0 to %d", wait, maxWaitMS)
	}
	if f.Folder != "" && !filepath.IsAbs(f.Folder) {
		errs.add("control.folder", "is %q, want an absolute path", f.Folder)
	}
	region := func(key, value string, needed bool) {
		if needed && value == "" || len(value) > maxNameBytes {
			errs.add(key, "is %q, want 1 to %d bytes", value, maxNameBytes)
		}
	}
	region("control.region", f.Region, len(f.Publishers) > 0)
	if len(f.Publishers) > maxPublishers {
		errs.add("control.publisher", "is there %d times, want %d at most", len(f.Publishers), maxPublishers)
	}
	seen := map[string]bool{}
	for i, p := range f.Publishers {
		key := fmt.Sprintf("control.publisher[%d]", i)
		if checkAddress(errs.add, key+".address", p.Address); seen[p.Address] {
			errs.add(key+".address", "is %q, want one of its own", p.Address)
		}
		seen[p.Address] = true
		region(key+".region", p.Region, true)
	}
	c.Control = Control{Region: f.Region, Folder: f.Folder, InitialWaitUS: wait * 1000, Publishers: f.Publishers}
}
