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

// clockAt returns the clock reading s seconds into one boot of a machine.
func clockAt(s int64) ClockReading {
	return ClockReading{Wall: 1_000_000*second + s*second, Uptime: 500*second + s*second, BootID: 7}
}

func newRecord(i int, finished bool, result string) Record {
	r := Record{Class: "note", Key: fmt.Sprint("k", i), TryID: fmt.Sprintf("%016x", i), Arrived: clockAt(0).Wall, WindowEnd: clockAt(60).Wall,
		Deadline: clockAt(5).Wall, BodyHash: uint64(i)}
	if finished {
		r.Finished, r.Outcome, r.Result = true, 1, []byte(result)
	}
	return r
}

func openStore(t testing.TB, opt Options) *Store {
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

func loadByKey(t testing.TB, s *Store, now int64) map[string]Record {
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

func commitRecords(t testing.TB, s *Store, now ClockReading, records ...Record) {
	t.Helper()
	var ops []Op
	for _, r := range records {
		ops = append(ops, Op{Record: r})
	}
	if err := s.Commit(now, ops); err != nil {
		t.Fatal(err)
	}
}

func TestRecordEncoding(t *testing.T) {
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
			t.Errorf("%d bytes on disk for a repetitive result of %d bytes", len(b), len(r.Result))
		}
		damaged := bytes.Clone(b)
		damaged[rapid.IntRange(0, len(b)-1).Draw(t, "where")] ^= rapid.Byte().Draw(t, "with")
		decode(damaged)                                             //nolint:errcheck // must not panic
		decode(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")])      //nolint:errcheck // nor here
		decode(rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "junk")) //nolint:errcheck // nor here
	})
	if _, err := encode(&Record{Class: "c", Result: make([]byte, maxResultBytes+1)}); err == nil {
		t.Error("a result over the limit is accepted")
	}
}

// Records of version 1 are read; those of a newer version are rejected.
func TestRecordVersions(t *testing.T) {
	t.Parallel()
	old, err := cbor.Marshal(map[int]any{0: 1, 1: "note", 2: "k", 4: 5, 5: 6, 6: 7, 7: true, 8: 1, 9: []byte("r")})
	if err != nil {
		t.Fatal(err)
	}
	if r, err := decode(old); err != nil || r.Key != "k" || string(r.Result) != "r" || r.WindowEnd != 6 {
		t.Errorf("version 1: %+v, %v", r, err)
	}
	next, err := cbor.Marshal(map[int]any{0: recordVersion + 1, 1: "note", 2: "k"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decode(next); !errors.Is(err, ErrInvalidRecord) {
		t.Errorf("a newer version: %v", err)
	}
}

// Power fails at any write or sync: what was acknowledged is present, the rest may
// be, and nothing is corrupt. The file system drops any part of what was not synced.
func TestPowerLoss(t *testing.T) {
	t.Parallel()
	for seed := range uint64(60) {
		if err := SimulatePowerLoss(seed); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Without syncs the same simulation must fail, which shows that it detects losses.
func TestPowerLossDetected(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		if err := simulatePowerLoss(seed, SurviveProcessExit); err != nil {
			return
		}
	}
	t.Error("a store that never syncs its log lost nothing in 20 power losses")
}

// Writing without syncing is enough to survive the end of the process: everything
// is present if nothing written is dropped.
func TestProcessExit(t *testing.T) {
	t.Parallel()
	mem := vfs.NewCrashableMem()
	s := openStore(t, Options{FS: mem, Durability: SurviveProcessExit, Now: clockAt(0)})
	commitRecords(t, s, clockAt(1), newRecord(1, true, "one"), newRecord(2, false, ""))
	after := mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: 100, RNG: rand.New(rand.NewPCG(1, 1))})
	got := loadByKey(t, openStore(t, Options{FS: after, Durability: SurviveProcessExit, Now: clockAt(2)}), clockAt(2).Wall)
	if len(got) != 2 || string(got["k1"].Result) != "one" || got["k2"].Finished {
		t.Errorf("%+v", got)
	}
}

// Setting the wall clock between two runs of the process never shortens a window.
func TestClockJumps(t *testing.T) {
	t.Parallel()
	last := clockAt(10)
	for name, c := range map[string]struct {
		now       ClockReading
		extension int64
	}{
		"no jump":                {clockAt(15), 0},
		"forward by an hour":     {ClockReading{clockAt(15).Wall + 3600*second, clockAt(15).Uptime, 7}, 3600 * second},
		"back by an hour":        {ClockReading{clockAt(15).Wall - 3600*second, clockAt(15).Uptime, 7}, 0},
		"after a reboot":         {ClockReading{clockAt(15).Wall, 3 * second, 8}, 5 * second},
		"unknown boot":           {ClockReading{clockAt(15).Wall, 0, 0}, 5 * second},
		"reboot, clock set back": {ClockReading{clockAt(5).Wall, 3 * second, 8}, 0},
		"some slewing":           {ClockReading{clockAt(15).Wall + 20_000, clockAt(15).Uptime, 7}, 0},
		"smaller uptime":         {ClockReading{clockAt(15).Wall, clockAt(5).Uptime, 7}, 5 * second},
	} {
		if got := WindowExtension(last, c.now); got != c.extension {
			t.Errorf("%s: %d, want %d", name, got, c.extension)
		}
	}
	// The store is opened three times with a clock jump before each: windows written earlier keep their length.
	mem := vfs.NewMem()
	s := openStore(t, Options{FS: mem, Now: clockAt(0)})
	commitRecords(t, s, clockAt(1), newRecord(1, true, "one"))
	s.Close()
	jumped := func(s, hours int64) ClockReading { m := clockAt(s); m.Wall += hours * 3600 * second; return m }
	s = openStore(t, Options{FS: mem, Now: jumped(2, 1)})
	if got := loadByKey(t, s, jumped(2, 1).Wall)["k1"].WindowEnd; got != clockAt(60).Wall+3600*second {
		t.Errorf("after the first jump the window ends at %d", got)
	}
	second := newRecord(2, true, "two")
	second.WindowEnd = jumped(60, 1).Wall
	commitRecords(t, s, jumped(3, 1), second)
	s.Close()
	s = openStore(t, Options{FS: mem, Now: jumped(4, 3)})
	got := loadByKey(t, s, jumped(4, 3).Wall)
	for key, r := range got {
		if want := jumped(60, 3).Wall; r.WindowEnd != want {
			t.Errorf("after the second jump the window of %s ends at %d, want %d", key, r.WindowEnd, want)
		}
	}
	if len(got) != 2 {
		t.Errorf("%d keys after the second jump", len(got))
	}
}

// Two tries of one key: a finished one supersedes an unfinished one, deleting a
// try that did not run leaves the other, and the longest window holds.
func TestTriesOfOneKey(t *testing.T) {
	t.Parallel()
	s := openStore(t, Options{FS: vfs.NewMem(), Now: clockAt(0)})
	ran, other := newRecord(1, true, "one"), newRecord(1, false, "")
	other.TryID, other.WindowEnd = "another try", clockAt(70).Wall
	commitRecords(t, s, clockAt(1), ran, other)
	if got := loadByKey(t, s, 0)["k1"]; string(got.Result) != "one" || got.WindowEnd != clockAt(70).Wall {
		t.Errorf("%+v", got)
	}
	if err := s.Commit(clockAt(2), []Op{{Record: other, Delete: true}}); err != nil {
		t.Fatal(err)
	}
	if got := loadByKey(t, s, 0)["k1"]; string(got.Result) != "one" || got.WindowEnd != clockAt(60).Wall {
		t.Errorf("%+v", got)
	}
}

// An hour of new keys: the space on disk and the number of loaded keys stay bounded.
func TestExpiredSpaceReclaimed(t *testing.T) {
	t.Parallel()
	s := openStore(t, Options{FS: vfs.NewMem(), Now: clockAt(0)})
	earlyBytes := uint64(0)
	for now := int64(0); now < 3600; now += 4 {
		var list []Record
		for i := range 40 {
			r := newRecord(int(now)*40+i, true, string(make([]byte, 200)))
			r.Arrived, r.WindowEnd = clockAt(now).Wall, clockAt(now+16).Wall
			list = append(list, r)
		}
		commitRecords(t, s, clockAt(now), list...)
		if err := s.DeleteExpired(clockAt(now - 5).Wall); err != nil {
			t.Fatal(err)
		}
		if now == 600 {
			earlyBytes = s.DiskBytes()
		}
	}
	if n := s.DiskBytes(); n > 3*earlyBytes+8<<20 {
		t.Errorf("%d KB on disk after an hour, %d KB after ten minutes", n/1024, earlyBytes/1024)
	}
	if got := loadByKey(t, s, clockAt(3600).Wall); len(got) > 40*6 {
		t.Errorf("%d keys are loaded", len(got))
	}
}

// Failures are returned as the package's errors, and none ends the process.
func TestErrors(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	s := openStore(t, Options{Folder: folder, Now: clockAt(0), MaxBytes: 1})
	if _, err := Open(Options{Folder: folder}); !errors.Is(err, ErrInUse) {
		t.Errorf("a second Open: %v", err)
	}
	begin, end := newRecord(1, false, ""), newRecord(1, true, "one")
	if err := s.Commit(clockAt(1), []Op{{Record: begin}}); !errors.Is(err, ErrFull) {
		t.Errorf("a full store accepts a new key: %v", err)
	}
	if err := s.Commit(clockAt(1), []Op{{Record: end}}); err != nil {
		t.Errorf("a full store rejects the end of a run: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if _, err := Open(Options{Folder: t.TempDir(), ReadOnly: true}); !errors.Is(err, ErrNotKeyStore) {
		t.Errorf("an empty folder: %v", err)
	}
	mem := vfs.NewMem()
	var failing atomic.Bool
	broken := errorfs.InjectorFunc(func(op errorfs.Op) error {
		if failing.Load() && op.Kind.ReadOrWrite() == errorfs.OpIsWrite && strings.HasSuffix(op.Path, ".log") {
			return errors.New("no space left on device")
		}
		return nil
	})
	s = openStore(t, Options{FS: errorfs.Wrap(mem, broken), Now: clockAt(0)})
	var err error
	for i := 0; i < 100 && err == nil; i++ {
		failing.Store(i == 50)
		err = s.Commit(clockAt(int64(i)), []Op{{Record: newRecord(i, true, "x")}})
	}
	if !errors.Is(err, ErrFailed) || !strings.Contains(err.Error(), "no space left") {
		t.Errorf("after a write error of the log: %v", err)
	}
	if err := s.Commit(clockAt(200), nil); !errors.Is(err, ErrFailed) {
		t.Errorf("a failed store accepts a commit: %v", err)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// Corruption of any file is reported or has no effect: what is returned is what was written.
func TestCorruptFiles(t *testing.T) {
	t.Parallel()
	reported := 0
	for seed := range uint64(24) {
		rng := rand.New(rand.NewPCG(seed, 3))
		mem := vfs.NewMem()
		s := openStore(t, Options{FS: mem, Now: clockAt(0)})
		for i := range 50 {
			commitRecords(t, s, clockAt(1), newRecord(i, true, fmt.Sprint("result ", i)))
		}
		if rng.IntN(2) == 0 {
			s.Compact() //nolint:errcheck // a failure shows below
		}
		s.Close()
		names, err := mem.List("keys")
		if err != nil {
			t.Fatal(err)
		}
		name := mem.PathJoin("keys", names[rng.IntN(len(names))])
		if !corruptFile(t, mem, name, rng) {
			continue
		}
		s, err = Open(Options{Folder: "keys", FS: mem, Now: clockAt(2)})
		if err != nil {
			reported++
			continue
		}
		err = s.Each(0, func(r Record) error {
			if want := fmt.Sprint("result ", r.Key[1:]); string(r.Result) != want {
				t.Errorf("%s: %q, want %q", r.Key, r.Result, want)
			}
			return nil
		})
		if err != nil {
			reported++
		}
		s.Close()
	}
	if reported == 0 {
		t.Error("no corruption was ever reported")
	}
}

// corruptFile flips a byte of a file, or truncates it.
func corruptFile(t *testing.T, mem *vfs.MemFS, name string, rng *rand.Rand) bool {
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
