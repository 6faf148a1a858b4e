package config

import (
	"slices"

	"kiteslip"
	"kiteslip/internal/ledger"
)

// Calls below in the operator's file: machine.ledger and machine.stop_runs, and
// in a contract calls and skip_worth. All are off by default.

var stopModes = map[string]kiteslip.Stop{"": kiteslip.StopNever, "never": kiteslip.StopNever,
	"discard": kiteslip.StopDiscard, "freeze": kiteslip.StopFreeze}

// The bounds of calls where no platform states them.
const (
	callShareWindowUS = 5_000_000 // calls in hand are averaged over this
	maxCallLingerUS   = 200_000   // a call given up is this long in the ledger's hands at most
)

// applyLedger enters what the machine has below it.
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

// applyContractCalls enters what one contract says of calls; ledger is where they would go.
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

// CallsDownstream says whether any class calls below.
func (c *Config) CallsDownstream() bool {
	return slices.ContainsFunc(c.Policy.Classes, func(class kiteslip.Class) bool { return class.CallsDownstream })
}
