package main

import (
	"fmt"
	"path/filepath"
	"time"

	"kiteslip/internal/lab/keys"
)

type keysCmd struct {
	Program string `default:"bin/kiteslip" help:"The program that is measured."`
	Kills   int    `default:"200" help:"Times that it is killed."`
	Each    int    `default:"60" help:"Keys, and repeats, for each kill."`
	Losses  int    `default:"1000" help:"Emulated losses of power."`
	Live    int    `default:"100000" help:"Keys that a recovery reads."`
}

// The promises.
const (
	maxRecovery     = time.Second
	minGroupGain    = 10.0
	maxReadSlowdown = 1.02
	maxHourlyGrowth = 1.5
)

func (c *keysCmd) Run() error {
	l, err := keys.Open(keys.Options{Program: c.Program, Kills: c.Kills, Each: c.Each, Losses: c.Losses, Live: c.Live})
	if err != nil {
		return err
	}
	defer l.Close()
	var v shortfalls
	k, err := l.Kills()
	if err != nil {
		return err
	}
	fmt.Println(k)
	v.require(k.Second == 0, "%d second runs over %d kills", k.Second, c.Kills)
	v.require(k.Changed == 0, "%d repeats got other bytes", k.Changed)
	v.require(k.Lost == 0, "%d results that had been answered were not given again", k.Lost)
	v.require(k.Repeats >= 10_000 || c.Kills < 200, "%d repeats, want 10,000", k.Repeats)
	losses, err := l.Losses()
	fmt.Printf("%d losses of power: %d lost or damaged\n", c.Losses, losses)
	if err != nil {
		fmt.Println("the first:", err)
	}
	v.require(losses == 0, "%d losses of power lost or damaged records", losses)
	took, peak, err := l.Recovery()
	if err != nil {
		return err
	}
	fmt.Printf("recovery with %d live keys: %v from the start to taking connections, %d MB at most\n", c.Live, took.Round(time.Millisecond), peak/1024)
	v.require(took < maxRecovery, "recovery took %v, want %v", took, maxRecovery)
	v.require(peak < keys.RecoverMB*1024, "recovery took %d MB of %d", peak/1024, keys.RecoverMB)
	single, grouped, err := keys.Groups(filepath.Join(l.Folder(), "groups"))
	if err != nil {
		return err
	}
	fmt.Printf("commits: %.0f keys a second one by one, %.0f in groups\n", single, grouped)
	v.require(grouped >= minGroupGain*single, "groups carry %.1f times as many keys, want %.0f", grouped/single, minGroupGain)
	var added [3]keys.Times
	for i, durability := range []string{"", "process", "power"} {
		if added[i], err = l.Latency(durability); err != nil {
			return err
		}
		fmt.Printf("a keyed request, 16 at once, durability %-8q: median %v, 99th %v\n", durability, added[i].Median, added[i].P99)
	}
	other, err := l.Others()
	if err != nil {
		return err
	}
	fmt.Printf("reads beside keyed requests: %.3f of the time without a store\n", other)
	v.require(other <= maxReadSlowdown, "reads take %.3f times as long beside a store, want %.2f", other, maxReadSlowdown)
	disk, heap, err := keys.Hour()
	if err != nil {
		return err
	}
	fmt.Printf("an emulated hour of new keys: disk %.2f and memory %.2f of what they were after ten minutes\n", disk, heap)
	v.require(disk <= maxHourlyGrowth && heap <= maxHourlyGrowth, "disk grew %.2f times and memory %.2f times within the hour", disk, heap)
	return v.finish(fmt.Sprintf("keys: kills=%d repeats=%d second_runs=%d unknown_share=%.3f losses=%d lost=%d recover_ms=%d recover_mb=%d group=%.1f "+
		"added_process_us=%d/%d added_power_us=%d/%d others=%.3f disk=%.2f", c.Kills, k.Repeats, k.Second, k.UnknownShare(), c.Losses, losses,
		took.Milliseconds(), peak/1024, grouped/single, (added[1].Median - added[0].Median).Microseconds(), (added[1].P99 - added[0].P99).Microseconds(),
		(added[2].Median - added[0].Median).Microseconds(), (added[2].P99 - added[0].P99).Microseconds(), other, disk))
}
