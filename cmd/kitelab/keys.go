package main

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
	"kiteslip/internal/standin/box"
	"kiteslip/internal/storage"
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
	recoverMost = time.Second
	recoverMB   = 192
	groupLeast  = 10.0
	otherMost   = 1.02
	flatMost    = 1.5
	keyWindow   = 300 * time.Second
)

// keysLab is where the program runs.
type keysLab struct {
	*keysCmd
	dir, listen string
	engine      *box.Engine
	settings    []byte
}

func (c *keysCmd) Run() error {
	dir, err := os.MkdirTemp("", "kitelab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	l := &keysLab{keysCmd: c, dir: dir}
	if l.engine, err = box.Serve(box.Spec{Cores: 64}); err != nil {
		return err
	}
	defer l.engine.Close()
	if l.listen, err = live.FreeAddress(); err != nil {
		return err
	}
	l.settings, err = platformFile(l.listen, l.engine.Address, 1000, map[string]any{"cores": 1, "memory_mb": recoverMB, "sockets": 1024}, 256, 1,
		map[string]any{"name": "look", "effect": "repeatable", "on_time_us": 2_000_000, "hard_limit_us": 4_000_000, "worth": 1},
		map[string]any{"name": "note", "effect": "by_key", "on_time_us": 2_000_000, "hard_limit_us": 4_000_000, "worth": 4,
			"window_us": keyWindow.Microseconds()})
	if err != nil {
		return err
	}
	var v verdict
	k, err := l.kills()
	if err != nil {
		return err
	}
	fmt.Println(k)
	v.want(k.second == 0, "%d second runs over %d kills", k.second, c.Kills)
	v.want(k.changed == 0, "%d repeats got other bytes", k.changed)
	v.want(k.lost == 0, "%d results that had been answered were not given again", k.lost)
	v.want(k.repeats >= 10_000 || c.Kills < 200, "%d repeats, want 10,000", k.repeats)
	losses, err := c.losses()
	fmt.Printf("%d losses of power: %d lost or damaged\n", c.Losses, losses)
	if err != nil {
		fmt.Println("the first:", err)
	}
	v.want(losses == 0, "%d losses of power lost or damaged records", losses)
	took, peak, err := l.recovery()
	if err != nil {
		return err
	}
	fmt.Printf("recovery with %d live keys: %v from the start to taking connections, %d MB at most\n", c.Live, took.Round(time.Millisecond), peak/1024)
	v.want(took < recoverMost, "recovery took %v, want %v", took, recoverMost)
	v.want(peak < recoverMB*1024, "recovery took %d MB of %d", peak/1024, recoverMB)
	single, grouped, err := groups(filepath.Join(dir, "groups"))
	if err != nil {
		return err
	}
	fmt.Printf("commits: %.0f keys a second one by one, %.0f in groups\n", single, grouped)
	v.want(grouped >= groupLeast*single, "groups carry %.1f times as many keys, want %.0f", grouped/single, groupLeast)
	var added [3]times
	for i, durability := range []string{"", "process", "power"} {
		if added[i], err = l.latency(durability); err != nil {
			return err
		}
		fmt.Printf("a keyed request, 16 at once, durability %-8q: median %v, 99th %v\n", durability, added[i].median, added[i].p99)
	}
	other, err := l.others()
	if err != nil {
		return err
	}
	fmt.Printf("reads beside keyed requests: %.3f of the time without a store\n", other)
	v.want(other <= otherMost, "reads take %.3f times as long beside a store, want %.2f", other, otherMost)
	disk, heap, err := hour()
	if err != nil {
		return err
	}
	fmt.Printf("an emulated hour of new keys: disk %.2f and memory %.2f of what they were after ten minutes\n", disk, heap)
	v.want(disk <= flatMost && heap <= flatMost, "disk grew %.2f times and memory %.2f times within the hour", disk, heap)
	return v.end(fmt.Sprintf("keys: kills=%d repeats=%d second_runs=%d unknown_share=%.3f losses=%d lost=%d recover_ms=%d recover_mb=%d group=%.1f "+
		"added_process_us=%d/%d added_power_us=%d/%d others=%.3f disk=%.2f", c.Kills, k.repeats, k.second, k.unknownShare(), c.Losses, losses,
		took.Milliseconds(), peak/1024, grouped/single, (added[1].median - added[0].median).Microseconds(), (added[1].p99 - added[0].p99).Microseconds(),
		(added[2].median - added[0].median).Microseconds(), (added[2].p99 - added[0].p99).Microseconds(), other, disk))
}

func (l *keysLab) file(durability, folder string) string {
	if durability == "" {
		return ""
	}
	return fmt.Sprintf("[keys]\nfolder = %q\ndurability = %q\nmax_mb = 1024\n", filepath.Join(l.dir, folder), durability)
}

func (l *keysLab) start(durability, folder string) (*live.Program, error) {
	return live.Start(l.Program, l.dir, l.listen, l.settings, l.file(durability, folder))
}

// killed is the outcome of the kills.
type killed struct {
	repeats, served, unknown, began, refused int
	second, changed, lost                    int
}

func (k *killed) unknownShare() float64 { return float64(k.unknown) / float64(max(1, k.repeats)) }

func (k *killed) String() string {
	return fmt.Sprintf("kills: %d repeats: %d got the result, %d ran for the first time, %.1f%% begun and unknown, %d refused; %d second runs, %d with other bytes, %d lost",
		k.repeats, k.served-k.began, k.began, 100*k.unknownShare(), k.refused, k.second, k.changed, k.lost)
}

// kills lets the program be killed at random points, with repeats of all that
// was asked in the life before.
func (l *keysLab) kills() (*killed, error) {
	rng := rand.New(rand.NewPCG(11, 1))
	k := &killed{}
	var mu sync.Mutex
	runs := map[string]int{}
	l.engine.OnBegin(func(body string) {
		mu.Lock()
		defer mu.Unlock()
		runs[body]++
	})
	defer l.engine.OnBegin(nil)
	p, err := l.start("process", "kills")
	if err != nil {
		return nil, err
	}
	defer func() { p.Kill() }()
	for n := range l.Kills {
		answered := map[string]bool{}
		keys := make([]string, l.Each)
		bodies := map[string]string{}
		for i := range keys {
			keys[i] = fmt.Sprintf("k%d.%d", n, i)
			bodies[keys[i]] = fmt.Sprintf("%d %s", 1+rng.IntN(15_000), keys[i])
		}
		first, err := l.ask(keys[:l.Each/2], bodies, time.Duration(rng.IntN(30))*time.Millisecond)
		if err != nil {
			return nil, err
		}
		for key, r := range first {
			answered[key] = r.code == frame.Served
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
		// Each key twice at once: one of them is a repeat in this life too.
		again, err := l.ask(append(slices.Clone(keys[:l.Each/2]), keys[:l.Each/2]...), bodies, 5*time.Second)
		if err != nil {
			return nil, err
		}
		k.repeats += l.Each / 2 * 2
		for key, r := range again {
			switch {
			case r.code == frame.Served && r.body != bodies[key]:
				k.changed++
			case r.code == frame.Served:
				k.served += 2
			case r.code == frame.Failed:
				k.unknown += 2
			default:
				k.refused += 2
			}
			if answered[key] && r.code != frame.Served {
				k.lost++
			}
			mu.Lock()
			if before[key] == 0 && runs[bodies[key]] == 1 {
				k.began += 2
			}
			mu.Unlock()
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for _, n := range runs {
		if n > 1 {
			k.second++
		}
	}
	return k, nil
}

// ask sends keyed requests, 16 on a connection, and takes answers for so long;
// the last answer for a key counts.
func (l *keysLab) ask(keys []string, bodies map[string]string, wait time.Duration) (map[string]reply, error) {
	var mu sync.Mutex
	got := map[string]reply{}
	var all sync.WaitGroup
	var failed atomic.Pointer[error]
	for part := range slices.Chunk(keys, 16) {
		c, err := dial(l.listen)
		if err != nil {
			return nil, err
		}
		streams := map[uint32]string{}
		for _, key := range part {
			stream, err := c.send("note", key, bodies[key], 4*time.Second)
			if err != nil {
				return nil, err
			}
			streams[stream] = key
		}
		all.Go(func() {
			for range part {
				r, err := c.next()
				if err != nil {
					failed.Store(&err)
					return
				}
				mu.Lock()
				got[streams[r.stream]] = r
				mu.Unlock()
			}
		})
		defer c.Close()
	}
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
	select {
	case <-done:
		if err := failed.Load(); err != nil {
			return nil, *err
		}
	case <-time.After(wait):
		if wait > time.Second {
			return nil, errors.New("requests have no answer")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	copied := map[string]reply{}
	for key, r := range got {
		copied[key] = r
	}
	return copied, nil
}

// losses rehearses losses of power on all cores.
func (c *keysCmd) losses() (int, error) {
	var bad atomic.Int64
	var first atomic.Pointer[error]
	var next atomic.Int64
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for seed := next.Add(1); seed <= int64(c.Losses); seed = next.Add(1) {
				if err := keystore.PowerLoss(uint64(seed)); err != nil {
					bad.Add(1)
					first.CompareAndSwap(nil, &err)
				}
			}
		})
	}
	all.Wait()
	if err := first.Load(); err != nil {
		return int(bad.Load()), *err
	}
	return 0, nil
}

// recovery starts the program on a folder with many live keys.
func (l *keysLab) recovery() (took time.Duration, peakKB int, err error) {
	now := storage.Clock()
	s, err := keystore.Open(keystore.Options{Folder: filepath.Join(l.dir, "live"), Durability: keystore.Process, Now: now})
	if err != nil {
		return 0, 0, err
	}
	result := make([]byte, 120)
	for i := 0; i < l.Live; i += 1000 {
		var ops []keystore.Op
		for j := i; j < min(i+1000, l.Live); j++ {
			ops = append(ops, keystore.Op{Put: keystore.Record{Class: "note", Key: fmt.Sprint("live ", j), Name: fmt.Sprintf("%016x", j), Arrived: now.Wall,
				Guard: now.Wall + keyWindow.Microseconds(), Sum: uint64(j), Over: true, Outcome: 1, Result: result}})
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
	c, err := dial(l.listen)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	if peakKB, err = p.PeakKB(); err != nil {
		return 0, 0, err
	}
	if _, err = c.send("note", "live 7", "x", time.Second); err != nil {
		return 0, 0, err
	}
	if r, err := c.next(); err != nil || r.code != frame.Failed { // known, with another body
		return 0, 0, fmt.Errorf("a key that was restored: %+v, %v", r, err)
	}
	return took, peakKB, nil
}

// groups compares commits of one key each with what the worker makes of many at once.
func groups(folder string) (single, grouped float64, err error) {
	s, err := keystore.Open(keystore.Options{Folder: folder, Now: storage.Clock()})
	if err != nil {
		return 0, 0, err
	}
	rec := func(i int) keystore.Record {
		return keystore.Record{Class: "note", Key: fmt.Sprint("g", i), Name: "n", Arrived: 1, Guard: 1 << 40, Result: make([]byte, 100)}
	}
	n := 0
	began := time.Now()
	for time.Since(began) < time.Second {
		if err = s.Commit(storage.Clock(), []keystore.Op{{Put: rec(n)}}); err != nil {
			return 0, 0, err
		}
		n++
	}
	single = float64(n) / time.Since(began).Seconds()
	const atOnce = 1024
	room := make(chan struct{}, atOnce)
	var bad atomic.Int64
	w := storage.Start(s, storage.Clock, func(list []storage.Outcome) {
		for _, o := range list {
			if o.Err != nil {
				bad.Add(1)
			}
			<-room
		}
	})
	n = 0
	began = time.Now()
	for time.Since(began) < time.Second {
		room <- struct{}{}
		n++
		w.Put(uint32(n), rec(n))
	}
	<-w.Close()
	grouped = float64(n) / time.Since(began).Seconds()
	if bad.Load() > 0 {
		return 0, 0, fmt.Errorf("%d commits failed", bad.Load())
	}
	return single, grouped, nil
}

// times are those of some requests.
type times struct{ median, p99 time.Duration }

// load sends requests of a class one after another on some connections.
func (l *keysLab) load(class, prefix, work string, connections int, span time.Duration) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, 10_000_000, 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	errs := make(chan error, connections)
	end := time.Now().Add(span)
	for i := range connections {
		all.Go(func() {
			c, err := dial(l.listen)
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
				if _, err = c.send(class, key, work+" "+key, 4*time.Second); err == nil {
					var r reply
					if r, err = c.next(); err == nil && r.code != frame.Served {
						err = fmt.Errorf("%s: code %d", key, r.code)
					}
				}
				if err != nil {
					errs <- err
					return
				}
				mu.Lock()
				h.RecordValue(time.Since(began).Microseconds()) //nolint:errcheck // it lies within the bounds
				mu.Unlock()
			}
		})
	}
	all.Wait()
	select {
	case err := <-errs:
		return nil, err
	default:
		return h, nil
	}
}

// latency measures keyed requests whose work takes no time.
func (l *keysLab) latency(durability string) (times, error) {
	p, err := l.start(durability, "latency-"+durability)
	if err != nil {
		return times{}, err
	}
	defer p.Kill()
	if _, err = l.load("note", "warm", "0", 16, 300*time.Millisecond); err != nil {
		return times{}, err
	}
	h, err := l.load("note", "k", "0", 16, 1200*time.Millisecond)
	if err != nil {
		return times{}, err
	}
	us := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return times{us(50), us(99)}, nil
}

// others compares the time of reads beside keyed requests, with a store and without.
func (l *keysLab) others() (float64, error) {
	var medians [2][]float64
	for round := range 3 {
		for i, durability := range []string{"", "power"} {
			p, err := l.start(durability, fmt.Sprint("others-", round))
			if err != nil {
				return 0, err
			}
			beside := make(chan error, 1)
			go func() {
				_, err := l.load("note", "k", "5000", 8, 1500*time.Millisecond)
				beside <- err
			}()
			h, err := l.load("look", "", "20000", 8, 1400*time.Millisecond)
			err = errors.Join(err, <-beside)
			p.Kill()
			if err != nil {
				return 0, err
			}
			medians[i] = append(medians[i], h.Mean())
		}
	}
	for i := range medians {
		slices.Sort(medians[i])
	}
	return medians[1][1] / medians[0][1], nil
}

// hour emulates an hour of new keys, and returns disk and memory at its end
// over what they were after ten minutes.
func hour() (disk, heap float64, err error) {
	mem := vfs.NewMem()
	moment := func(s int64) keystore.Moment { return keystore.Moment{Wall: 1e15 + s*1e6, Up: 1e9 + s*1e6, Boot: 1} }
	s, err := keystore.Open(keystore.Options{Folder: "keys", FS: mem, Now: moment(0)})
	if err != nil {
		return 0, 0, err
	}
	size := func() (float64, float64) {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(s.Bytes()) + 1<<20, float64(m.HeapAlloc) + 1<<20
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
			ops = append(ops, keystore.Op{Put: keystore.Record{Class: "note", Key: fmt.Sprint(now, ".", i), Name: "n", Arrived: moment(now).Wall,
				Guard: moment(now + 16).Wall, Over: true, Outcome: 1, Result: result}})
		}
		if err = s.Commit(moment(now), ops); err != nil {
			return 0, 0, err
		}
		if err = s.Age(moment(now - 5).Wall); err != nil {
			return 0, 0, err
		}
		if now == 600 {
			disk0, heap0 = size()
		}
	}
	disk1, heap1 := size()
	return disk1 / disk0, heap1 / heap0, s.Close()
}
