// Package hollow is the two hollow members of a fleet day, as processes of the
// laboratory's own binary: servers that run the real code of control (following,
// applying, reporting) without callers, some hundred to a process, and callers
// that are real connections speaking frames, thousands to a process.
//
// A process reads what it is to be from a file, says "ready" on its standard
// output once it is that, takes commands on its standard input, a line each, and
// ends when that input does: it never outlives who started it.
package hollow

import (
	"encoding/json"
	"fmt"
	"os"
)

// The names of the hidden sub-commands.
const (
	CommandServers = "hollow-servers"
	CommandCallers = "hollow-callers"
)

// Ready is the line that a process says once it is up.
const Ready = "ready"

func read(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	if err = json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("hollow: %s: %w", path, err)
	}
	return nil
}
