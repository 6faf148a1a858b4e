// Package keys measures the durability of keyed results, with a real server on
// loopback and with the key store alone: kills at random times with a repeat of
// every request, simulated power losses, the start with many live keys, single and
// grouped commits, the latency that a key store adds, unkeyed requests beside keyed
// ones, and a simulated hour of new keys. Each measurement returns its figures; the
// caller compares them with the required values.
package keys

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/pebble/v2/vfs"

	"kiteslip/internal/frame"
	"kiteslip/internal/keystore"
	"kiteslip/internal/lab/live"
	"kiteslip/internal/lab/probe"
	"kiteslip/internal/standin/box"
	"kiteslip/internal/storage"
)

// Settings of the server.
const (
	MemoryMB  = 192               // memory limit of the server
	KeyWindow = 300 * time.Second // window of the keyed class
)

// Options has the program to measure and the extent of each measurement.
type Options struct {
	Program        string // path of the server's binary
	Kills          int    // number of kills
	RepeatsPerKill int    // repeats per kill; half as many keys are used, each repeated twice
	PowerLosses    int    // number of simulated power losses
	LiveKeys       int    // number of keys that Recovery loads
}

// Lab is the environment of the server under measurement: a temporary folder, an
// engine and an address.
type Lab struct {
	Options
	dir, listen string
	engine      *box.Engine
	settings    []byte
}

// Open creates the folder, starts the engine and prepares the platform's file.
func Open(o Options) (*Lab, error) {
	dir, err := os.MkdirTemp("", "kitelab")
	if err != nil {
		return nil, err
	}
	l := &Lab{Options: o, dir: dir}
	if l.engine, err = box.Serve(box.Spec{Cores: 64}); err != nil {
		os.RemoveAll(dir)
		return nil, err
	}
	if l.listen, err = live.FreeAddress(); err == nil {
		l.settings, err = probe.PlatformFile(l.listen, l.engine.Address, 1000, map[string]any{"cores": 1, "memory_mb": MemoryMB, "sockets": 1024}, 256, 1,
			map[string]any{"name": "look", "effect": "repeatable", "on_time_us": 2_000_000, "hard_limit_us": 4_000_000, "worth": 1},
			map[string]any{"name": "note", "effect": "by_key", "on_time_us": 2_000_000, "hard_limit_us": 4_000_000, "worth": 4,
				"window_us": KeyWindow.Microseconds()})
	}
	if err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Close stops the engine and removes the folder.
func (l *Lab) Close() {
	l.engine.Close()
	os.RemoveAll(l.dir)
}

// Folder returns the temporary folder.
func (l *Lab) Folder() string { return l.dir }

func (l *Lab) operatorFile(durability, folder string) string {
	if durability == "" {
		return ""
	}
	return fmt.Sprintf("[keys]\nfolder = %q\ndurability = %q\nmax_mb = 1024\n", filepath.Join(l.dir, folder), durability)
}

func (l *Lab) start(durability, folder string) (*live.Program, error) {
	return live.Start(l.Program, l.dir, l.listen, l.settings, l.operatorFile(durability, folder))
}

// KillOutcome counts the repeated requests of Kills by result.
type KillOutcome struct {
	Repeats, ServedRepeats, UnknownOutcomes, FirstRuns, RefusedRepeats int
	RepeatedRuns                                                       int // keys that ran more than once
	ChangedResults                                                     int // repeats that got another result than that of the run
	LostResults                                                        int // keys served before the kill and not after it
}

// UnknownShare returns the share of repeats answered with an unknown outcome.
func (k *KillOutcome) UnknownShare() float64 {
	return float64(k.UnknownOutcomes) / float64(max(1, k.Repeats))
}

func (k *KillOutcome) String() string {
	return fmt.Sprintf("kills: %d repeats: %d got the earlier result, %d ran for the first time, %.1f%% unknown outcome, %d refused; %d second runs, %d with another result, %d lost",
		k.Repeats, k.ServedRepeats-k.FirstRuns, k.FirstRuns, 100*k.UnknownShare(), k.RefusedRepeats, k.RepeatedRuns, k.ChangedResults, k.LostResults)
}

// Kills kills the server at random times, and repeats after each restart the
// requests that were sent before.
func (l *Lab) Kills() (*KillOutcome, error) {
	rng := rand.New(rand.NewPCG(11, 1))
	k := &KillOutcome{}
	var mu sync.Mutex
	runs := map[string]int{}
	l.engine.OnStart(func(body string) {
		mu.Lock()
		defer mu.Unlock()
		runs[body]++
	})
	defer l.engine.OnStart(nil)
	p, err := l.start("process", "kills")
	if err != nil {
		return nil, err
	}
	defer func() { p.Kill() }()
	for n := range l.Options.Kills {
		answered := map[string]bool{}
		keys := make([]string, l.RepeatsPerKill)
		bodies := map[string]string{}
		for i := range keys {
			keys[i] = fmt.Sprintf("k%d.%d", n, i)
			bodies[keys[i]] = fmt.Sprintf("%d %s", 1+rng.IntN(15_000), keys[i])
		}
		first, err := l.sendKeyed(keys[:l.RepeatsPerKill/2], bodies, time.Duration(rng.IntN(30))*time.Millisecond)
		if err != nil {
			return nil, err
		}
		for key, r := range first {
			answered[key] = r.Code == frame.Served
		}
		p.Kill()
		if p, err = l.start("process", "kills"); err != nil {
			return nil, err
		}
		before := map[string]int{}
		mu.Lock()
		for key, body := range bodies {
			before[key] = runs[body]
		}
		mu.Unlock()
		// Each key twice: one of the two is also a duplicate within the new process.
		again, err := l.sendKeyed(append(slices.Clone(keys[:l.RepeatsPerKill/2]), keys[:l.RepeatsPerKill/2]...), bodies, 5*time.Second)
		if err != nil {
			return nil, err
		}
		k.Repeats += l.RepeatsPerKill / 2 * 2
		for key, r := range again {
			switch {
			case r.Code == frame.Served && r.Body != bodies[key]:
				k.ChangedResults++
			case r.Code == frame.Served:
				k.ServedRepeats += 2
			case r.Code == frame.Failed:
				k.UnknownOutcomes += 2
			default:
				k.RefusedRepeats += 2
			}
			if answered[key] && r.Code != frame.Served {
				k.LostResults++
			}
			mu.Lock()
			if before[key] == 0 && runs[bodies[key]] == 1 {
				k.FirstRuns += 2
			}
			mu.Unlock()
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for _, n := range runs {
		if n > 1 {
			k.RepeatedRuns++
		}
	}
	return k, nil
}

// sendKeyed sends keyed requests, 16 per connection, and collects answers for at most
// wait; with several for a key it returns the last. A wait of more than 1 s means
// that all answers are required.
func (l *Lab) sendKeyed(keys []string, bodies map[string]string, wait time.Duration) (map[string]probe.Reply, error) {
	var mu sync.Mutex
	replies := map[string]probe.Reply{}
	var readers sync.WaitGroup
	var failed atomic.Pointer[error]
	for part := range slices.Chunk(keys, 16) {
		c, err := probe.Dial(l.listen)
		if err != nil {
			return nil, err
		}
		streams := map[uint32]string{}
		for _, key := range part {
			stream, err := c.Send("note", key, bodies[key], 4*time.Second)
			if err != nil {
				return nil, err
			}
			streams[stream] = key
		}
		readers.Go(func() {
			for range part {
				r, err := c.Next()
				if err != nil {
					failed.Store(&err)
					return
				}
				mu.Lock()
				replies[streams[r.Stream]] = r
				mu.Unlock()
			}
		})
		defer c.Close()
	}
	done := make(chan struct{})
	go func() { readers.Wait(); close(done) }()
	select {
	case <-done:
		if err := failed.Load(); err != nil {
			return nil, *err
		}
	case <-time.After(wait):
		if wait > time.Second {
			return nil, errors.New("requests without an answer")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	copied := map[string]probe.Reply{}
	for key, r := range replies {
		copied[key] = r
	}
	return copied, nil
}

// PowerLosses simulates power losses on all cores, and returns how many of them lost or
// damaged records, and the first error.
func (l *Lab) PowerLosses() (int, error) {
	var failures atomic.Int64
	var first atomic.Pointer[error]
	var lastSeed atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := lastSeed.Add(1); seed <= int64(l.Options.PowerLosses); seed = lastSeed.Add(1) {
				if err := keystore.SimulatePowerLoss(uint64(seed)); err != nil {
					failures.Add(1)
					first.CompareAndSwap(nil, &err)
				}
			}
		})
	}
	workers.Wait()
	if err := first.Load(); err != nil {
		return int(failures.Load()), *err
	}
	return 0, nil
}

// Recovery measures the start of the server with many live keys: the time until it
// accepts connections, and its peak memory.
func (l *Lab) Recovery() (took time.Duration, peakKB int, err error) {
	now := storage.ReadClocks()
	s, err := keystore.Open(keystore.Options{Folder: filepath.Join(l.dir, "live"), Durability: keystore.SurviveProcessExit, Now: now})
	if err != nil {
		return 0, 0, err
	}
	result := make([]byte, 120)
	for i := 0; i < l.LiveKeys; i += 1000 {
		var ops []keystore.Op
		for j := i; j < min(i+1000, l.LiveKeys); j++ {
			ops = append(ops, keystore.Op{Record: keystore.Record{Class: "note", Key: fmt.Sprint("live ", j), TryID: fmt.Sprintf("%016x", j), Arrived: now.Wall,
				WindowEnd: now.Wall + KeyWindow.Microseconds(), BodyHash: uint64(j), Finished: true, Outcome: 1, Result: result}})
		}
		if err = s.Commit(now, ops); err != nil {
			return 0, 0, err
		}
	}
	if err = s.Close(); err != nil {
		return 0, 0, err
	}
	began := time.Now()
	p, err := l.start("process", "live")
	if err != nil {
		return 0, 0, err
	}
	took = time.Since(began)
	defer p.Kill()
	c, err := probe.Dial(l.listen)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	if peakKB, err = p.PeakKB(); err != nil {
		return 0, 0, err
	}
	if _, err = c.Send("note", "live 7", "x", time.Second); err != nil {
		return 0, 0, err
	}
	if r, err := c.Next(); err != nil || r.Code != frame.Failed { // the key is known, with another body
		return 0, 0, fmt.Errorf("request with a restored key and another body: %+v, %v, want failed", r, err)
	}
	return took, peakKB, nil
}

// CommitRates returns the commits per second of single keys, and the keys per second that
// the worker commits in groups.
func CommitRates(folder string) (single, grouped float64, err error) {
	s, err := keystore.Open(keystore.Options{Folder: folder, Now: storage.ReadClocks()})
	if err != nil {
		return 0, 0, err
	}
	record := func(i int) keystore.Record {
		return keystore.Record{Class: "note", Key: fmt.Sprint("g", i), TryID: "n", Arrived: 1, WindowEnd: 1 << 40, Result: make([]byte, 100)}
	}
	n := 0
	began := time.Now()
	for time.Since(began) < time.Second {
		if err = s.Commit(storage.ReadClocks(), []keystore.Op{{Record: record(n)}}); err != nil {
			return 0, 0, err
		}
		n++
	}
	single = float64(n) / time.Since(began).Seconds()
	const maxPending = 1024
	pending := make(chan struct{}, maxPending)
	var failures atomic.Int64
	worker := storage.Start(s, storage.ReadClocks, func(list []storage.Outcome) {
		for _, o := range list {
			if o.Err != nil {
				failures.Add(1)
			}
			<-pending
		}
	})
	n = 0
	began = time.Now()
	for time.Since(began) < time.Second {
		pending <- struct{}{}
		n++
		worker.Put(uint32(n), record(n))
	}
	<-worker.Close()
	grouped = float64(n) / time.Since(began).Seconds()
	if failures.Load() > 0 {
		return 0, 0, fmt.Errorf("%d commits failed", failures.Load())
	}
	return single, grouped, nil
}

// Latencies has quantiles of the time from sending to the answer.
type Latencies struct{ Median, P99 time.Duration }

// runLoad sends requests of a class for a given time, one after the other on each
// connection, and returns the histogram of their times in microseconds.
func (l *Lab) runLoad(class, prefix, work string, connections int, span time.Duration) (*hdrhistogram.Histogram, error) {
	times := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var senders sync.WaitGroup
	errs := make(chan error, connections)
	end := time.Now().Add(span)
	for i := range connections {
		senders.Go(func() {
			c, err := probe.Dial(l.listen)
			if err != nil {
				errs <- err
				return
			}
			defer c.Close()
			for n := 0; time.Now().Before(end); n++ {
				key := ""
				if class == "note" {
					key = fmt.Sprintf("%s.%d.%d", prefix, i, n)
				}
				began := time.Now()
				if _, err = c.Send(class, key, work+" "+key, 4*time.Second); err == nil {
					var r probe.Reply
					if r, err = c.Next(); err == nil && r.Code != frame.Served {
						err = fmt.Errorf("%s: code %d", key, r.Code)
					}
				}
				if err != nil {
					errs <- err
					return
				}
				mu.Lock()
				times.RecordValue(time.Since(began).Microseconds()) //nolint:errcheck // within the bounds of the histogram
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
		return times, nil
	}
}

// Latency measures keyed requests whose work takes no time, on 16 connections.
func (l *Lab) Latency(durability string) (Latencies, error) {
	p, err := l.start(durability, "latency-"+durability)
	if err != nil {
		return Latencies{}, err
	}
	defer p.Kill()
	if _, err = l.runLoad("note", "warm", "0", 16, 300*time.Millisecond); err != nil {
		return Latencies{}, err
	}
	h, err := l.runLoad("note", "k", "0", 16, 1200*time.Millisecond)
	if err != nil {
		return Latencies{}, err
	}
	percentile := func(p float64) time.Duration { return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond }
	return Latencies{percentile(50), percentile(99)}, nil
}

// UnkeyedSlowdown returns the time of unkeyed requests beside keyed ones with a key store,
// over that without: the ratio of the medians of three rounds.
func (l *Lab) UnkeyedSlowdown() (float64, error) {
	var means [2][]float64 // without and with a key store, by round
	for round := range 3 {
		for i, durability := range []string{"", "power"} {
			p, err := l.start(durability, fmt.Sprint("others-", round))
			if err != nil {
				return 0, err
			}
			keyedEnd := make(chan error, 1)
			go func() {
				_, err := l.runLoad("note", "k", "5000", 8, 1500*time.Millisecond)
				keyedEnd <- err
			}()
			h, err := l.runLoad("look", "", "20000", 8, 1400*time.Millisecond)
			err = errors.Join(err, <-keyedEnd)
			p.Kill()
			if err != nil {
				return 0, err
			}
			means[i] = append(means[i], h.Mean())
		}
	}
	for i := range means {
		slices.Sort(means[i])
	}
	return means[1][1] / means[0][1], nil
}

// GrowthOverHour simulates an hour of new keys, and returns the disk space and the memory at
// its end relative to those after ten minutes.
func GrowthOverHour() (disk, heap float64, err error) {
	files := vfs.NewMem()
	clockAt := func(second int64) keystore.ClockReading {
		return keystore.ClockReading{Wall: 1e15 + second*1e6, Uptime: 1e9 + second*1e6, BootID: 1}
	}
	s, err := keystore.Open(keystore.Options{Folder: "keys", FS: files, Now: clockAt(0)})
	if err != nil {
		return 0, 0, err
	}
	sizes := func() (float64, float64) { // 1 MiB is added to both, which damps the ratios of small values
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(s.DiskBytes()) + 1<<20, float64(m.HeapAlloc) + 1<<20
	}
	rng := rand.New(rand.NewPCG(5, 5))
	var disk0, heap0 float64
	for now := int64(0); now < 3600; now++ {
		var ops []keystore.Op
		for i := range 60 {
			result := make([]byte, 200)
			for j := range result {
				result[j] = byte(rng.Uint32())
			}
			ops = append(ops, keystore.Op{Record: keystore.Record{Class: "note", Key: fmt.Sprint(now, ".", i), TryID: "n", Arrived: clockAt(now).Wall,
				WindowEnd: clockAt(now + 16).Wall, Finished: true, Outcome: 1, Result: result}})
		}
		if err = s.Commit(clockAt(now), ops); err != nil {
			return 0, 0, err
		}
		if err = s.DeleteExpired(clockAt(now - 5).Wall); err != nil {
			return 0, 0, err
		}
		if now == 600 {
			disk0, heap0 = sizes()
		}
	}
	disk1, heap1 := sizes()
	return disk1 / disk0, heap1 / heap0, s.Close()
}
