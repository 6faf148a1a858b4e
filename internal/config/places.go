package config

import (
	"errors"

	"kiteslip/internal/control/document"
)

// Control is [control] of the operator's file: whose versions the server serves
// by. Without a publisher it is off, and the file's own teams and services hold.
type Control struct {
	Region     string
	Folder     string // where the version in force is kept; "" = nowhere
	Wait       int64  // how long a start waits for a publisher, microseconds
	Publishers []ControlPublisher
}

// ControlPublisher is one control machine.
type ControlPublisher struct {
	Address string `toml:"address"`
	Region  string `toml:"region"`
}

// Change is a configuration that is checked and ready to be taken over between
// two batches of the loop, with what differs from the one in force, so that
// taking it over costs by that.
type Change struct {
	Config  *Config
	Classes []int    // places whose class is new, changed or dropped
	Tenants []int    // places whose team is
	Kept    []string // keys whose change needs a restart
	Whole   bool     // more than classes and teams may differ: it comes from a file
}

// Places makes Changes, beside the loop: which place each class and team has, by
// name. It belongs to one goroutine. A Change follows the configuration that was
// handed to NewPlaces or, later, to Adopted.
type Places struct{ cfg *Config }

// NewPlaces returns the places of the configuration in force.
func NewPlaces(c *Config) *Places { return &Places{cfg: c} }

// File lays a file that was read anew over the configuration in force. It costs by all.
func (p *Places) File(next *Config) (*Change, error) {
	merged, kept, err := p.cfg.Succeed(next)
	if err != nil {
		return nil, err
	}
	return &Change{Config: merged, Kept: kept, Whole: true}, nil
}

// Version lays a version of the fleet's document over it: the machine's part
// stays. With a delta it costs by that (and by copies of flat lists); without one
// by all. The outcome is that of a file with the same content.
func (p *Places) Version(doc *document.Document, delta *document.Delta) (*Change, error) {
	return nil, errors.New("config: not built yet")
}

// Adopted notes that a Change is in force.
func (p *Places) Adopted(ch *Change) { p.cfg = ch.Config }
