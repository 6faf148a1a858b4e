// Package figures words what a server reports of itself, in the statsd form.
// It counts nothing: each figure is counted where its event ends.
package figures

import (
	"fmt"
	"strings"
)

// Class is what became of the requests of one class since the start.
type Class struct {
	Name             string
	OK, Shed, Errors int // served, refused, failed
}

// Figures are those of one moment.
type Figures struct {
	Classes           []Class
	Tries             int // runs handed to an engine or a backend
	Active            int // requests taken and not yet ended
	Applied, Rejected int // configuration files at SIGHUP
}

const prefix = "app."

// Append appends the figures, a line for each.
func (f *Figures) Append(b []byte) []byte {
	line := func(name string, value int, kind string) {
		b = fmt.Appendf(b, "%s%s:%d|%s\n", prefix, name, value, kind)
	}
	for i := range f.Classes {
		c := &f.Classes[i]
		name := clean.Replace(c.Name)
		line("ok."+name, c.OK, "c")
		line("shed."+name, c.Shed, "c")
		line("errors."+name, c.Errors, "c")
	}
	line("tries", f.Tries, "c")
	line("active", f.Active, "g")
	line("config_applied", f.Applied, "c")
	line("config_rejected", f.Rejected, "c")
	return b
}

// clean takes out of a name what means something in a line of figures.
var clean = strings.NewReplacer(":", "_", "|", "_", " ", "_", "\n", "_", "\r", "_", "@", "_", "#", "_")
