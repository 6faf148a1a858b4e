package document

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
)

// The size of the fleet that the benchmarks are for.
const (
	fleetTeams    = 21_000
	fleetServices = 2_800
)

// fleet is a content of that many teams, and of services with one contract each.
func fleet(teams, services int) Content {
	r := rand.New(rand.NewPCG(1, 2))
	var c Content
	for i := range teams {
		c.Teams = append(c.Teams, Team{Name: fmt.Sprintf("team-%05d", i), Quota: float64(1+r.IntN(4000)) / 20})
	}
	for i := range services {
		deadline := float64(50 * (1 + r.IntN(40)))
		aim := deadline / 4
		c.Services = append(c.Services, Service{
			Name: fmt.Sprintf("service-%04d", i), Owner: c.Teams[r.IntN(teams)].Name,
			Backend: fmt.Sprintf("10.0.%d.%d:9000", i/200, i%200),
			Contracts: []Contract{{Class: fmt.Sprintf("route-%04d", i), Path: fmt.Sprintf("/service/%04d", i),
				Effect: "repeatable", TargetTimeMS: &aim, DeadlineMS: &deadline, MaxBody: 4096}},
		})
	}
	return c
}

// version makes a document of a content.
func version(t testing.TB, c Content) *Document {
	t.Helper()
	d := Empty()
	delta, err := d.Draft(d.Diff(&c), testMeta)
	if err != nil {
		t.Fatal(err)
	}
	if d, err = d.Apply(delta); err != nil {
		t.Fatal(err)
	}
	return d
}

// step drafts a delta that changes the quotas of n teams.
func step(t testing.TB, d *Document, n int) *Delta {
	t.Helper()
	var changes []Change
	for i := range n {
		name := fmt.Sprintf("team-%05d", i*(fleetTeams/n))
		team, _ := d.Team(name)
		changes = append(changes, Change{Team: &Team{Name: name, Quota: team.Quota + 1}})
	}
	delta, err := d.Draft(changes, testMeta)
	if err != nil {
		t.Fatal(err)
	}
	return delta
}

// cpuTime returns the processor time of the process, in nanoseconds: on a busy
// machine that is a better measure than elapsed time.
func cpuTime() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return float64(u.Utime.Nano() + u.Stime.Nano())
}

// benchmarkLoop runs f after a garbage collection, and reports the processor time as
// well.
func benchmarkLoop(b *testing.B, f func() error) {
	runtime.GC()
	b.ReportAllocs()
	start := cpuTime()
	for b.Loop() {
		if err := f(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((cpuTime()-start)/float64(b.N), "cpu-ns/op")
}

func benchmarkApply(b *testing.B, n int) {
	d := version(b, fleet(fleetTeams, fleetServices))
	delta := step(b, d, n)
	benchmarkLoop(b, func() error { _, err := d.Apply(delta); return err })
}

func BenchmarkApplyOne(b *testing.B)  { benchmarkApply(b, 1) }
func BenchmarkApply5000(b *testing.B) { benchmarkApply(b, 5000) }

func BenchmarkDecodeOne(b *testing.B) {
	d := version(b, fleet(fleetTeams, fleetServices))
	encoded, err := step(b, d, 1).Encode()
	if err != nil {
		b.Fatal(err)
	}
	benchmarkLoop(b, func() error { _, err := DecodeDelta(encoded); return err })
	b.ReportMetric(float64(len(encoded)), "bytes")
}

func BenchmarkSnapshot(b *testing.B) {
	d := version(b, fleet(fleetTeams, fleetServices))
	size := 0
	benchmarkLoop(b, func() error {
		encoded, err := d.Snapshot()
		size = len(encoded)
		return err
	})
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(float64(len(encode(&snapshot{d.header, d.state.sharedContent()}))), "bytes-unpacked")
}

func BenchmarkOpen(b *testing.B) {
	encoded, err := version(b, fleet(fleetTeams, fleetServices)).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	benchmarkLoop(b, func() error { _, err := DecodeSnapshot(encoded); return err })
}

// heapBytes returns the bytes in use after a garbage collection, and all bytes ever
// allocated.
func heapBytes() (live, total uint64) {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc, m.TotalAlloc
}

// TestMemory bounds the memory of a version of the fleet's size, and the garbage
// that a change of one team makes.
func TestMemory(t *testing.T) {
	encoded, err := version(t, fleet(fleetTeams, fleetServices)).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	before, _ := heapBytes()
	d, err := DecodeSnapshot(encoded)
	if err != nil {
		t.Fatal(err)
	}
	after, total := heapBytes()
	if size := int64(after) - int64(before); size > 20<<20 {
		t.Errorf("a document takes %d bytes, want at most %d", size, 20<<20)
	} else {
		t.Logf("a document takes %d bytes", size)
	}
	const rounds = 100
	for range rounds {
		next, err := d.Apply(step(t, d, 1))
		if err != nil {
			t.Fatal(err)
		}
		d = next
	}
	_, allocated := heapBytes()
	if garbage := (allocated - total) / rounds; garbage > 80<<10 {
		t.Errorf("Draft and Apply of one team make %d bytes of garbage, want at most %d", garbage, 80<<10)
	} else {
		t.Logf("Draft and Apply of one team make %d bytes of garbage", garbage)
	}
	runtime.KeepAlive(d)
}
