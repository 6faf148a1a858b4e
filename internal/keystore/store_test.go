package keystore

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

const second = 1_000_000

// at is a moment of one life of a machine.
func at(s int64) ClockReading {
	return ClockReading{Wall: 1_000_000*second + s*second, Uptime: 500*second + s*second, BootID: 7}
}

func record(i int, over bool, result string) Record {
	r := Record{Class: "note", Key: fmt.Sprint("k", i), TryID: fmt.Sprintf("%016x", i), Arrived: at(0).Wall, WindowEnd: at(60).Wall,
		Deadline: at(5).Wall, BodyHash: uint64(i)}
	if over {
		r.Finished, r.Outcome, r.Result = true, 1, []byte(result)
	}
	return r
}

func open(t testing.TB, opt Options) *Store {
	t.Helper()
	if opt.Folder == "" {
		opt.Folder = "keys"
	}
	s, err := Open(opt)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func load(t testing.TB, s *Store, now int64) map[string]Record {
	t.Helper()
	found := map[string]Record{}
	list, err := s.Load(now)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range list {
		found[r.Key] = r
	}
	return found
}

func put(t testing.TB, s *Store, now ClockReading, records ...Record) {
	t.Helper()
	var ops []Op
	for _, r := range records {
		ops = append(ops, Op{Record: r})
	}
	if err := s.Commit(now, ops); err != nil {
		t.Fatal(err)
	}
}

func TestRecordsOnDisk(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		r := Record{Class: rapid.StringN(1, 20, 64).Draw(t, "class"), Key: rapid.StringN(0, 64, 128).Draw(t, "key"),
			TryID: rapid.StringN(0, 16, 32).Draw(t, "name"), Arrived: rapid.Int64Range(0, 1<<60).Draw(t, "arrived"),
			WindowEnd: rapid.Int64Range(0, 1<<60).Draw(t, "guard"), Deadline: rapid.Int64Range(0, 1<<60).Draw(t, "due"),
			BodyHash: rapid.Uint64().Draw(t, "sum"), Finished: rapid.Bool().Draw(t, "over"), Outcome: rapid.Uint8Range(0, 7).Draw(t, "outcome"),
			Result: bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "result"), rapid.IntRange(1, 100).Draw(t, "times"))}
		if len(r.Result) == 0 {
			r.Result = nil
		}
		b, err := encode(&r)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decode(b)
		if err != nil || !reflect.DeepEqual(got, r) {
			t.Fatalf("%+v, %v; want %+v", got, err, r)
		}
		if len(r.Result) > 1000 && len(b) > len(r.Result) {
			t.Errorf("%d bytes on disk for a result of %d that repeats itself", len(b), len(r.Result))
		}
		damaged := bytes.Clone(b)
		damaged[rapid.IntRange(0, len(b)-1).Draw(t, "where")] ^= rapid.Byte().Draw(t, "with")
		decode(damaged)                                             //nolint:errcheck // it must not panic
		decode(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")])      //nolint:errcheck // nor here
		decode(rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "junk")) //nolint:errcheck // nor here
	})
	if _, err := encode(&Record{Class: "c", Result: make([]byte, mostResult+1)}); err == nil {
		t.Error("a result over the bound is taken")
	}
}

// What version 1 wrote is read; what a version to come writes is told plainly.
func TestVersions(t *testing.T) {
	t.Parallel()
	old, err := cbor.Marshal(map[int]any{0: 1, 1: "note", 2: "k", 4: 5, 5: 6, 6: 7, 7: true, 8: 1, 9: []byte("r")})
	if err != nil {
		t.Fatal(err)
	}
	if r, err := decode(old); err != nil || r.Key != "k" || string(r.Result) != "r" || r.WindowEnd != 6 {
		t.Errorf("version 1: %+v, %v", r, err)
	}
	next, err := cbor.Marshal(map[int]any{0: version + 1, 1: "note", 2: "k"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decode(next); !errors.Is(err, ErrInvalidRecord) {
		t.Errorf("a newer version: %v", err)
	}
}

// Power is lost in the middle of anything: what was acknowledged is there, what
// was not may be, and nothing is damaged. The file system drops any part of
// what was not synced.
func TestPowerLoss(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		if err := SimulatePowerLoss(seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Without syncs the same test must fail: it can see a loss.
func TestPowerLossIsSeen(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		if err := powerLoss(seed, SurviveProcessExit); err != nil {
			return
		}
	}
	t.Error("a store that never syncs its log lost nothing in 20 losses of power")
}

// Against the end of the process the write is enough: all is there if nothing
// that was written is dropped.
func TestProcessEnds(t *testing.T) {
	t.Parallel()
	mem := vfs.NewCrashableMem()
	s := open(t, Options{FS: mem, Durability: SurviveProcessExit, Now: at(0)})
	put(t, s, at(1), record(1, true, "one"), record(2, false, ""))
	after := mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 100, RNG: rand.New(rand.NewPCG(1, 1))})
	got := load(t, open(t, Options{FS: after, Durability: SurviveProcessExit, Now: at(2)}), at(2).Wall)
	if len(got) != 2 || string(got["k1"].Result) != "one" || got["k2"].Finished {
		t.Errorf("%+v", got)
	}
}

// A wall clock that was set between two lives never shortens a window.
func TestClockJumps(t *testing.T) {
	t.Parallel()
	last := at(10)
	for name, c := range map[string]struct {
		now   ClockReading
		shift int64
	}{
		"no jump":             {at(15), 0},
		"forward by an hour":  {ClockReading{at(15).Wall + 3600*second, at(15).Uptime, 7}, 3600 * second},
		"back by an hour":     {ClockReading{at(15).Wall - 3600*second, at(15).Uptime, 7}, 0},
		"a new start":         {ClockReading{at(15).Wall, 3 * second, 8}, 5 * second},
		"a start not known":   {ClockReading{at(15).Wall, 0, 0}, 5 * second},
		"a new start, back":   {ClockReading{at(5).Wall, 3 * second, 8}, 0},
		"some slewing":        {ClockReading{at(15).Wall + 20_000, at(15).Uptime, 7}, 0},
		"uptime that is less": {ClockReading{at(15).Wall, at(5).Uptime, 7}, 5 * second},
	} {
		if got := WindowExtension(last, c.now); got != c.shift {
			t.Errorf("%s: %d, want %d", name, got, c.shift)
		}
	}
	// Three lives, with a jump before each: the windows of the first stay as long in all.
	mem := vfs.NewMem()
	s := open(t, Options{FS: mem, Now: at(0)})
	put(t, s, at(1), record(1, true, "one"))
	s.Close()
	jumped := func(s, hours int64) ClockReading { m := at(s); m.Wall += hours * 3600 * second; return m }
	s = open(t, Options{FS: mem, Now: jumped(2, 1)})
	if got := load(t, s, jumped(2, 1).Wall)["k1"].WindowEnd; got != at(60).Wall+3600*second {
		t.Errorf("in the second life the window ends at %d", got)
	}
	second := record(2, true, "two")
	second.WindowEnd = jumped(60, 1).Wall
	put(t, s, jumped(3, 1), second)
	s.Close()
	s = open(t, Options{FS: mem, Now: jumped(4, 3)})
	got := load(t, s, jumped(4, 3).Wall)
	for key, r := range got {
		if want := jumped(60, 3).Wall; r.WindowEnd != want {
			t.Errorf("in the third life the window of %s ends at %d, want %d", key, r.WindowEnd, want)
		}
	}
	if len(got) != 2 {
		t.Errorf("%d keys in the third life", len(got))
	}
}

// Two tries of one key: an end stands over a start without one, a try that did
// not run takes nothing away, and the longest window holds.
func TestTriesOfOneKey(t *testing.T) {
	t.Parallel()
	s := open(t, Options{FS: vfs.NewMem(), Now: at(0)})
	ran, other := record(1, true, "one"), record(1, false, "")
	other.TryID, other.WindowEnd = "another try", at(70).Wall
	put(t, s, at(1), ran, other)
	if got := load(t, s, 0)["k1"]; string(got.Result) != "one" || got.WindowEnd != at(70).Wall {
		t.Errorf("%+v", got)
	}
	if err := s.Commit(at(2), []Op{{Record: other, Delete: true}}); err != nil {
		t.Fatal(err)
	}
	if got := load(t, s, 0)["k1"]; string(got.Result) != "one" || got.WindowEnd != at(60).Wall {
		t.Errorf("%+v", got)
	}
}

// An hour of new keys: what is on disk and what is loaded stay bounded.
func TestAgedSpaceComesBack(t *testing.T) {
	t.Parallel()
	s := open(t, Options{FS: vfs.NewMem(), Now: at(0)})
	most := uint64(0)
	for now := int64(0); now < 3600; now += 4 {
		var list []Record
		for i := range 40 {
			r := record(int(now)*40+i, true, string(make([]byte, 200)))
			r.Arrived, r.WindowEnd = at(now).Wall, at(now+16).Wall
			list = append(list, r)
		}
		put(t, s, at(now), list...)
		if err := s.DeleteExpired(at(now - 5).Wall); err != nil {
			t.Fatal(err)
		}
		if now == 600 {
			most = s.DiskBytes()
		}
	}
	if n := s.DiskBytes(); n > 3*most+8<<20 {
		t.Errorf("%d KB on disk after an hour, %d KB after ten minutes", n/1024, most/1024)
	}
	if got := load(t, s, at(3600).Wall); len(got) > 40*6 {
		t.Errorf("%d keys are loaded", len(got))
	}
}

// Errors are told by name, and none ends the process.
func TestErrors(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	s := open(t, Options{Folder: folder, Now: at(0), MaxBytes: 1})
	if _, err := Open(Options{Folder: folder}); !errors.Is(err, ErrInUse) {
		t.Errorf("a second use: %v", err)
	}
	begin, end := record(1, false, ""), record(1, true, "one")
	if err := s.Commit(at(1), []Op{{Record: begin}}); !errors.Is(err, ErrFull) {
		t.Errorf("a full store takes a new key: %v", err)
	}
	if err := s.Commit(at(1), []Op{{Record: end}}); err != nil {
		t.Errorf("a full store does not take the end of a run: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if _, err := Open(Options{Folder: t.TempDir(), ReadOnly: true}); !errors.Is(err, ErrNotKeyStore) {
		t.Errorf("a folder that is empty: %v", err)
	}
	mem := vfs.NewMem()
	var failing atomic.Bool
	broken := errorfs.InjectorFunc(func(op errorfs.Op) error {
		if failing.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite && strings.HasSuffix(op.Path, ".log") {
			return errors.New("no space left on device")
		}
		return nil
	})
	s = open(t, Options{FS: errorfs.Wrap(mem, broken), Now: at(0)})
	var err error
	for i := 0; i < 100 && err == nil; i++ {
		failing.Store(i == 50)
		err = s.Commit(at(int64(i)), []Op{{Record: record(i, true, "x")}})
	}
	if !errors.Is(err, ErrFailed) || !strings.Contains(err.Error(), "no space left") {
		t.Errorf("after an error of the log: %v", err)
	}
	if err := s.Commit(at(200), nil); !errors.Is(err, ErrFailed) {
		t.Errorf("a store that has failed goes on: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// Damage of any file is told, or costs nothing: what is returned is what was written.
func TestDamage(t *testing.T) {
	t.Parallel()
	told := 0
	for seed := range uint64(24) {
		rng := rand.New(rand.NewPCG(seed, 3))
		mem := vfs.NewMem()
		s := open(t, Options{FS: mem, Now: at(0)})
		for i := range 50 {
			put(t, s, at(1), record(i, true, fmt.Sprint("result ", i)))
		}
		if rng.IntN(2) == 0 {
			s.Compact() //nolint:errcheck // it shows below
		}
		s.Close()
		names, err := mem.List("keys")
		if err != nil {
			t.Fatal(err)
		}
		name := mem.PathJoin("keys", names[rng.IntN(len(names))])
		if !spoil(t, mem, name, rng) {
			continue
		}
		s, err = Open(Options{Folder: "keys", FS: mem, Now: at(2)})
		if err != nil {
			told++
			continue
		}
		err = s.Each(0, func(r Record) error {
			if want := fmt.Sprint("result ", r.Key[1:]); string(r.Result) != want {
				t.Errorf("%s: %q, want %q", r.Key, r.Result, want)
			}
			return nil
		})
		if err != nil {
			told++
		}
		s.Close()
	}
	if told == 0 {
		t.Error("no damage was ever told")
	}
}

// spoil flips a byte of a file, or cuts it.
func spoil(t *testing.T, mem *vfs.MemFS, name string, rng *rand.Rand) bool {
	info, err := mem.Stat(name)
	if err != nil || info.IsDir() || info.Size() == 0 {
		return false
	}
	f, err := mem.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	b := make([]byte, info.Size())
	if _, err := f.ReadAt(b, 0); err != nil {
		t.Fatal(err)
	}
	f.Close()
	b[rng.IntN(len(b))] ^= 0x40
	if rng.IntN(3) == 0 {
		b = b[:rng.IntN(len(b))]
	}
	if f, err = mem.Create(name, vfs.WriteCategoryUnspecified); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(b); err != nil {
		t.Fatal(err)
	}
	return f.Close() == nil
}
