// Package hollow implements the two hollow members of a fleet day, which run as
// processes of the laboratory's own binary: hollow servers, which run the real
// control code (following, applying, reporting) without callers, hundreds to a
// process, and hollow callers, which use real connections and frames, thousands
// to a process.
//
// A process reads its specification from a file, prints "ready" on standard
// output once it is up, takes one command per line on standard input, and exits
// when standard input ends, so that it never outlives the process that started it.
package hollow

import (
	"encoding/json"
	"fmt"
	"os"
)

// The names of the hidden subcommands.
const (
	CommandServers = "hollow-servers"
	CommandCallers = "hollow-callers"
)

// Ready is the line that a process prints once it is up.
const Ready = "ready"

func readSpec(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	if err = json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("hollow: %s: %w", path, err)
	}
	return nil
}
