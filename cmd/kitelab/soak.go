package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"kiteslip/internal/lab/soak"
)

// soakCmd plays random trouble against the whole program, seed after seed.
type soakCmd struct {
	Kiteslip  string   `default:"bin/kiteslip" help:"The program that is played."`
	FirstSeed uint64   `default:"1" help:"The first seed."`
	Seeds     int      `default:"5" help:"How many seeds."`
	KnownRed  []uint64 `help:"Seeds that are played and printed, and not judged." placeholder:"SEED,..."`
	Keep      bool     `help:"Keep the folder with the logs of each seed."`
	JSON      string   `help:"A file for the results." placeholder:"FILE"`
}

// minSeedsForReach is the number of seeds from which every kind of trouble must have
// come up.
const minSeedsForReach = 5

// reachedBySoak are the counts that a soak of minSeedsForReach seeds must have.
var reachedBySoak = []string{"requests", "served", "refused", "failed", "runs", "reload", "restart", "upgrade", "upgrade_term", "kill", "cut_engine",
	"silence_engine", "cut_ledger", "silence_ledger", "registry_down", "crowd", "held_stores", "repeated_signals", "open_at_end_of_connection"}

// Run plays the seeds.
func (c *soakCmd) Run() error {
	results, total := []*soak.Result{}, map[string]int{}
	var v unmetBounds
	violations, began := 0, time.Now()
	for i := range c.Seeds {
		seed := c.FirstSeed + uint64(i)
		r, err := soak.Play(soak.Options{Program: c.Kiteslip, Seed: seed, Keep: c.Keep})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		results = append(results, r)
		for name, n := range r.Counts {
			total[name] += n
		}
		if !slices.Contains(c.KnownRed, seed) {
			violations += len(r.Violations)
		} else {
			fmt.Printf("known red: seed %d has %d violations\n", seed, len(r.Violations))
		}
		fmt.Printf("seed %d: %d servers, %d processes, %d requests, %d runs, %d violations, %v\n",
			seed, r.Places, r.Processes, r.Counts["requests"], r.Counts["runs"], len(r.Violations), r.Took.Round(100*time.Millisecond))
		if c.Keep {
			fmt.Println("  logs:", r.Folder)
		}
		c.printViolations(r)
	}
	if c.JSON != "" {
		text, err := json.MarshalIndent(results, "", " ")
		if err == nil {
			err = os.WriteFile(c.JSON, append(text, '\n'), 0o600)
		}
		if err != nil {
			return err
		}
	}
	v.require(violations == 0, "%d violations", violations)
	if c.Seeds >= minSeedsForReach {
		for _, name := range reachedBySoak {
			v.require(total[name] > 0, "no %s was reached", name)
		}
	}
	line := fmt.Sprintf("soak: seeds=%d violations=%d", c.Seeds, violations)
	for _, name := range reachedBySoak {
		line += fmt.Sprintf(" %s=%d", name, total[name])
	}
	return v.finish(line + fmt.Sprintf(" took=%v", time.Since(began).Round(time.Second)))
}

// maxPrintedViolations bounds what is printed of one seed.
const maxPrintedViolations = 8

// printViolations prints the violations of a seed with the command that plays it again.
func (c *soakCmd) printViolations(r *soak.Result) {
	for i, v := range r.Violations {
		if i == maxPrintedViolations {
			fmt.Printf("  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Printf("  %s: %s\n    %s\n", v.Kind, v.What, strings.Join(v.Path, "\n    "))
	}
	if len(r.Violations) > 0 {
		fmt.Printf("  again: bin/kitelab soak --kiteslip %s --first-seed %d --seeds 1\n", c.Kiteslip, r.Seed)
	}
}
