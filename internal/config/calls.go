package config

import (
	"slices"

	"kiteslip"
	"kiteslip/internal/ledger"
)

// Downstream calls are set by machine.ledger and machine.stop_runs, and in a contract
// by calls and skip_worth. All are off by default.
var stopModes = map[string]kiteslip.Stop{"": kiteslip.StopNever, "never": kiteslip.StopNever,
	"discard": kiteslip.StopDiscard, "freeze": kiteslip.StopFreeze}

// The settings of downstream calls where no platform configuration has them.
const (
	callShareWindowUS = 5_000_000 // averaging window of the calls in flight
	maxCallLingerUS   = 200_000   // the longest time that the ledger works on an abandoned call
)

// applyLedger sets the ledger's address and what becomes of runs that are stopped.
func (m *Machine) applyLedger(c *Config, errs *validationErrors) {
	stop, known := stopModes[m.StopRuns]
	if !known {
		errs.add("machine.stop_runs", "is %q, want never, discard or freeze", m.StopRuns)
	}
	c.Policy.Stop = stop
	if c.Ledger = m.Ledger; m.Ledger == "" {
		return
	}
	if err := ledger.CheckAddress(m.Ledger); err != nil {
		errs.add("machine.ledger", "%v", err)
	}
	c.Policy.Downstream, c.Policy.CallShareWindow, c.Policy.MaxCallLinger = kiteslip.DownstreamTier, callShareWindowUS, maxCallLingerUS
}

// applyContractCalls sets what a contract says of downstream calls; ledger is the
// ledger's address, "" if there is none.
func applyContractCalls(t *Contract, ledger string, m *kiteslip.Class, add func(name, format string, args ...any)) {
	if t.CallsDownstream != nil {
		m.CallsDownstream = *t.CallsDownstream
	}
	if m.CallsDownstream && ledger == "" {
		add("calls", "is true, and there is no ledger")
	}
	if t.SkipWorth == nil {
		return
	}
	if !(*t.SkipWorth >= 0) || *t.SkipWorth > 1 {
		add("skip_worth", "is %v, want 0 to 1", *t.SkipWorth)
	} else if *t.SkipWorth > 0 && !m.CallsDownstream {
		add("skip_worth", "is %v, and the class makes no calls", *t.SkipWorth)
	}
	m.SkipWorth = *t.SkipWorth
}

// CallsDownstream reports whether any class makes downstream calls.
func (c *Config) CallsDownstream() bool {
	return slices.ContainsFunc(c.Policy.Classes, func(class kiteslip.Class) bool { return class.CallsDownstream })
}
