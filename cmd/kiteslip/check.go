package main

import (
	"fmt"
	"io"
	"strings"

	"kiteslip"
	"kiteslip/internal/config"
	"kiteslip/internal/server"
)

// maxListed is the limit of the teams, and of the classes, that are listed one by one;
// the others are summarized.
const maxListed = 50

// describe prints a summary of a configuration, a line for each part.
func describe(w io.Writer, cfg *config.Config) {
	fmt.Fprintf(w, "%s: frames on %s, uwsgi on %s, ops on %s, engine %s, registry %s\n", cfg.Name, orDefault(cfg.Listen, "(off)"),
		orDefault(cfg.UWSGI.Listen, "(off)"), orDefault(cfg.Ops, "(off)"), orDefault(cfg.Engine, "(none)"), orDefault(cfg.Registry, "(none)"))
	fmt.Fprintf(w, "limits: %g cores, %d MB, %d sockets; %d ms from SIGTERM to the kill\n",
		cfg.Limits.Cores, cfg.Limits.MemoryMB, cfg.Limits.Sockets, cfg.StopTimeoutUS/1000)
	describeTeams(w, cfg)
	describeClasses(w, cfg)
	if cfg.Ledger != "" {
		fmt.Fprintf(w, "ledger %s, up to %d connections\n", cfg.Ledger, server.MaxLedgerConnections(cfg))
	} else if cfg.CallsDownstream() {
		fmt.Fprintln(w, "no ledger: classes call below, and each call fails")
	}
	describePools(w, cfg)
	if k := &cfg.Keys; k.Folder != "" {
		durability, onError := "power", "keyed requests are refused"
		if k.ProcessDurability {
			durability = "the process"
		}
		if k.AllowUnrecorded {
			onError = "keyed requests run without a record"
		}
		fmt.Fprintf(w, "keys in %s: outlive %s, %d MB at most; where nothing can be recorded %s\n", k.Folder, durability, k.MaxBytes>>20, onError)
	}
	if k := &cfg.Control; k.Enabled() {
		fmt.Fprintf(w, "versions from %d publishers, region %s, kept in %s; a start waits %d ms; until a version is in force the teams, services and pools above are\n",
			len(k.Publishers), k.Region, orDefault(k.Folder, "(nowhere)"), k.InitialWaitUS/1000)
	}
}

// orDefault returns text, or the default where it is empty.
func orDefault(text, byDefault string) string {
	if text == "" {
		return byDefault
	}
	return text
}

// describeTeams prints the budgets of the teams.
func describeTeams(w io.Writer, cfg *config.Config) {
	sum, rest := 0.0, 0.0
	for i, name := range cfg.Tenants {
		quota := cfg.Policy.Tenants[i].Quota
		if sum += quota; i < maxListed {
			fmt.Fprintf(w, "team %s: %g requests/s\n", name, quota)
		} else {
			rest += quota
		}
	}
	if n := len(cfg.Tenants); n > maxListed {
		fmt.Fprintf(w, "and %d more teams with %g requests/s; %d teams with %g requests/s in all\n", n-maxListed, rest, n, sum)
	}
}

// describeClasses prints the contracts of the classes.
func describeClasses(w io.Writer, cfg *config.Config) {
	effects := map[kiteslip.Effect]string{kiteslip.Repeatable: "repeatable", kiteslip.Keyed: "keyed", kiteslip.Once: "once"}
	counts, longest, backends := map[kiteslip.Effect]int{}, int64(0), map[string]bool{}
	for i, name := range cfg.Classes {
		class := &cfg.Policy.Classes[i]
		if i < maxListed {
			fmt.Fprintf(w, "class %s: %s, aim %d ms, deadline %d ms, window %d ms, worth %g, body %d bytes, served by %s\n", name,
				effects[class.Effect], class.TargetTime/1000, class.Timeout/1000, class.Window/1000, class.Worth,
				cfg.UWSGI.Contracts[i].MaxBody, orDefault(cfg.Backends[i], "the engine"))
			continue
		}
		counts[class.Effect]++
		longest = max(longest, class.Timeout)
		backends[cfg.Backends[i]] = true
	}
	if n := len(cfg.Classes) - maxListed; n > 0 {
		fmt.Fprintf(w, "and %d more classes (%d repeatable, %d keyed, %d once), deadline %d ms at most, served in %d places; %d classes in all\n", n,
			counts[kiteslip.Repeatable], counts[kiteslip.Keyed], counts[kiteslip.Once], longest/1000, len(backends), len(cfg.Classes))
	}
}

// describePools prints what the pools' shares amount to on this machine.
func describePools(w io.Writer, cfg *config.Config) {
	s := cfg.PoolSettings()
	if s == nil {
		return
	}
	for i, p := range cfg.Pools {
		names := p.Classes
		if len(names) > maxListed {
			names = append(names[:maxListed:maxListed], fmt.Sprintf("and %d more", len(p.Classes)-maxListed))
		}
		spec := &s.Pools[i]
		waiting := "what can be served in time"
		if p.MaxQueued > 0 {
			waiting = fmt.Sprint(p.MaxQueued)
		}
		fmt.Fprintf(w, "pool %s: %s; of %d places %.2f its own, %.2f at most, %d beyond the limit; of %.0f MB %.1f its own, %.1f at most; waiting: %s\n",
			p.Name, strings.Join(names, ", "), s.Cores, spec.Share*float64(s.Cores), spec.EffectiveMaxShare()*float64(s.Cores),
			s.ReservedRuns(spec.Reserve), s.MemoryKB/1024, spec.GuaranteedMemory()*s.MemoryKB/1024, spec.EffectiveMaxMemory()*s.MemoryKB/1024, waiting)
	}
	if cfg.CheapReserve > 0 {
		fmt.Fprintf(w, "cheapest class, as learned: %d places beyond the limit\n", s.ReservedRuns(cfg.CheapReserve))
	}
}
