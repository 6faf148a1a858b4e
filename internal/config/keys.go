package config

import "path/filepath"

// KeysFile is [keys] of the operator's file: the store of keyed results that outlive
// the process.
type KeysFile struct {
	Folder     string `toml:"folder"`     // an absolute path
	Durability string `toml:"durability"` // process or power
	MaxMB      int64  `toml:"max_mb"`     // on disk
	OnError    string `toml:"on_error"`   // refuse or memory
}

// Keys is the validated [keys] section.
type Keys struct {
	Folder            string // "" = off
	ProcessDurability bool   // records survive a crash of the process, but not a power failure
	MaxBytes          int64
	AllowUnrecorded   bool // keyed requests run without a record while the store fails
}

// The default and the limits of the key store's size.
const (
	defaultKeysMB = 256
	minKeysMB     = 16
	maxKeysMB     = 1 << 20
)

func (k *KeysFile) apply(c *Config, errs *validationErrors) {
	if k == nil {
		return
	}
	if k.Folder == "" {
		errs.add("keys.folder", "is absent")
	} else if !filepath.IsAbs(k.Folder) {
		errs.add("keys.folder", "is %q, want an absolute path", k.Folder)
	}
	c.Keys = Keys{Folder: k.Folder, MaxBytes: k.MaxMB << 20}
	switch k.Durability {
	case "", "power":
	case "process":
		c.Keys.ProcessDurability = true
	default:
		errs.add("keys.durability", "is %q, want process or power", k.Durability)
	}
	switch k.OnError {
	case "", "refuse":
	case "memory":
		c.Keys.AllowUnrecorded = true
	default:
		errs.add("keys.on_error", "is %q, want refuse or memory", k.OnError)
	}
	if k.MaxMB == 0 {
		c.Keys.MaxBytes = defaultKeysMB << 20
	} else if k.MaxMB < minKeysMB || k.MaxMB > maxKeysMB {
		errs.add("keys.max_mb", "is %d, want %d to %d", k.MaxMB, minKeysMB, maxKeysMB)
	}
}
