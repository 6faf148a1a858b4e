// Command kitelab plays scenarios and measures kiteslip. A measurement has fixed
// seeds, prints its figures and ends with exit code 1 if one of them is out of its
// bounds.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// cli is the command line: kong derives the commands from its fields.
type cli struct {
	Run     runCmd     `cmd:"" help:"Play a scenario on some seeds, in simulated time."`
	Compare compareCmd `cmd:"" help:"Compare two scenarios, or earlier runs, seed by seed."`
	Sweep   sweepCmd   `cmd:"" help:"Compare a scenario with itself under other values of one key."`
	Live    liveCmd    `cmd:"" help:"Play a scenario against the real program on loopback."`
	Report  reportCmd  `cmd:"" help:"Write the report of an earlier run."`
	Lab     labCmd     `cmd:"" help:"Measure the laboratory itself."`

	Pools    poolsCmd    `cmd:"" help:"Class pools against none, in simulated time."`
	Keys     keysCmd     `cmd:"" help:"Keyed results over kills, losses of power and restarts."`
	Calls    callsCmd    `cmd:"" help:"Calls below under faults, and what a call costs, against the real program."`
	Shutdown shutdownCmd `cmd:"" help:"Many processes that restart together while callers send, against the real program."`
	Soak     soakCmd     `cmd:"" help:"Random signals, upgrades, kills and broken links against the real program, judged by its rules."`
	Slopes   slopesCmd   `cmd:"" help:"How the figures of one server grow with tenants, routes, callers and changes."`
	Capacity capacityCmd `cmd:"" help:"Render the tables of docs/CAPACITY.md from what was measured."`
	Door     doorCmd     `cmd:"" help:"A thousand connections that ask from the start, against the real program."`
	Fleetday fleetdayCmd `cmd:"" help:"The day of the target fleet, compressed, against the real program and hollow servers."`

	HollowServers hollowServersCmd `cmd:"" hidden:"" help:"Hollow servers of a fleet day."`
	HollowCallers hollowCallersCmd `cmd:"" hidden:"" help:"Callers of a fleet day."`
}

// errUnmet is returned if a figure is out of its bounds; the unmet bounds have
// been printed.
var errUnmet = errors.New("a figure falls short")

// unmetBounds are the descriptions of the figures that are out of their bounds.
type unmetBounds []string

// require adds an unmet bound unless ok.
func (v *unmetBounds) require(ok bool, format string, args ...any) {
	if !ok {
		*v = append(*v, fmt.Sprintf(format, args...))
	}
}

// finish prints the unmet bounds and the closing line, and returns errUnmet if
// there are any.
func (v unmetBounds) finish(line string) error {
	for _, s := range v {
		fmt.Println("short:", s)
	}
	fmt.Println(line)
	if len(v) > 0 {
		return errUnmet
	}
	return nil
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("kitelab"), kong.UsageOnError(), kong.Description("Measurements of kiteslip."))
	if err := ctx.Run(); err != nil {
		if !errors.Is(err, errUnmet) {
			fmt.Fprintln(os.Stderr, "kitelab:", err)
		}
		os.Exit(1)
	}
}
