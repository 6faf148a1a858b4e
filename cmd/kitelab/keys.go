package main

import (
	"fmt"
	"path/filepath"
	"time"

	"kiteslip/internal/lab/keys"
)

// keysCmd measures keyed requests over kills, losses of power and restarts.
type keysCmd struct {
	Program string `default:"bin/kiteslip" help:"The program that is measured."`
	Kills   int    `default:"200" help:"Times that it is killed."`
	Each    int    `default:"60" help:"Keys, and repeats, for each kill."`
	Losses  int    `default:"1000" help:"Emulated losses of power."`
	Live    int    `default:"100000" help:"Keys that a recovery reads."`
}

// The bounds that the measurement must keep.
const (
	maxRecovery     = time.Second // from the start to accepting connections
	minGroupGain    = 10.0        // keys per second committed in groups, over one by one
	maxReadSlowdown = 1.02        // time of reads beside keyed requests, over that without a key store
	maxHourlyGrowth = 1.5         // of disk and memory, from ten minutes to an hour
)

// Run plays the measurement.
func (c *keysCmd) Run() error {
	rig, err := keys.Open(keys.Options{Program: c.Program, Kills: c.Kills, RepeatsPerKill: c.Each, PowerLosses: c.Losses, LiveKeys: c.Live})
	if err != nil {
		return err
	}
	defer rig.Close()
	var v unmetBounds
	kills, err := rig.Kills()
	if err != nil {
		return err
	}
	fmt.Println(kills)
	v.require(kills.RepeatedRuns == 0, "%d second runs over %d kills", kills.RepeatedRuns, c.Kills)
	v.require(kills.ChangedResults == 0, "%d repeats got other bytes", kills.ChangedResults)
	v.require(kills.LostResults == 0, "%d results that had been answered were not given again", kills.LostResults)
	v.require(kills.Repeats >= 10_000 || c.Kills < 200, "%d repeats, want 10,000", kills.Repeats)
	losses, err := rig.PowerLosses()
	fmt.Printf("%d losses of power: %d lost or damaged\n", c.Losses, losses)
	if err != nil {
		fmt.Println("the first:", err)
	}
	v.require(losses == 0, "%d losses of power lost or damaged records", losses)
	took, peak, err := rig.Recovery()
	if err != nil {
		return err
	}
	fmt.Printf("recovery with %d live keys: %v from the start to taking connections, %d MB at most\n", c.Live, took.Round(time.Millisecond), peak/1024)
	v.require(took < maxRecovery, "recovery took %v, want %v", took, maxRecovery)
	v.require(peak < keys.MemoryMB*1024, "recovery took %d MB of %d", peak/1024, keys.MemoryMB)
	single, grouped, err := keys.CommitRates(filepath.Join(rig.Folder(), "groups"))
	if err != nil {
		return err
	}
	fmt.Printf("commits: %.0f keys a second one by one, %.0f in groups\n", single, grouped)
	v.require(grouped >= minGroupGain*single, "groups carry %.1f times as many keys, want %.0f", grouped/single, minGroupGain)
	var latencies [3]keys.Latencies
	for i, durability := range []string{"", "process", "power"} {
		if latencies[i], err = rig.Latency(durability); err != nil {
			return err
		}
		fmt.Printf("a keyed request, 16 at once, durability %-8q: median %v, 99th %v\n", durability, latencies[i].Median, latencies[i].P99)
	}
	other, err := rig.UnkeyedSlowdown()
	if err != nil {
		return err
	}
	fmt.Printf("reads beside keyed requests: %.3f of the time without a store\n", other)
	v.require(other <= maxReadSlowdown, "reads take %.3f times as long beside a store, want %.2f", other, maxReadSlowdown)
	disk, heap, err := keys.GrowthOverHour()
	if err != nil {
		return err
	}
	fmt.Printf("an emulated hour of new keys: disk %.2f and memory %.2f of what they were after ten minutes\n", disk, heap)
	v.require(disk <= maxHourlyGrowth && heap <= maxHourlyGrowth, "disk grew %.2f times and memory %.2f times within the hour", disk, heap)
	return v.finish(fmt.Sprintf("keys: kills=%d repeats=%d second_runs=%d unknown_share=%.3f losses=%d lost=%d recover_ms=%d recover_mb=%d group=%.1f "+
		"added_process_us=%d/%d added_power_us=%d/%d others=%.3f disk=%.2f", c.Kills, kills.Repeats, kills.RepeatedRuns, kills.UnknownShare(), c.Losses, losses,
		took.Milliseconds(), peak/1024, grouped/single, (latencies[1].Median - latencies[0].Median).Microseconds(), (latencies[1].P99 - latencies[0].P99).Microseconds(),
		(latencies[2].Median - latencies[0].Median).Microseconds(), (latencies[2].P99 - latencies[0].P99).Microseconds(), other, disk))
}
