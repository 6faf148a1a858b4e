package publish

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"kiteslip/internal/control/document"
)

func testSettings(folder string) Settings {
	return Settings{Name: "c0", Region: "north", Listen: "127.0.0.1:0", Folder: folder}
}

// publishN publishes until that number is in force.
func publishN(t testing.TB, p *Publisher, number uint64) {
	t.Helper()
	m := &machine{Publisher: p}
	m.versionsUpTo(t, number)
}

func mustClose(t testing.TB, p *Publisher) {
	t.Helper()
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
}

// What was accepted is there after a start, with the deltas that lead to it.
func TestReopen(t *testing.T) {
	fs := vfs.NewMem()
	for _, number := range []uint64{0, 1, 3, 255, 256, 257, 600} {
		p, err := open(testSettings("log"), fs)
		if err != nil {
			t.Fatal(err)
		}
		publishN(t, p, number)
		doc := p.Document()
		mustClose(t, p)
		if p, err = open(testSettings("log"), fs); err != nil {
			t.Fatal(err)
		}
		if got := p.Document(); got.Digest() != doc.Digest() || got.Header() != doc.Header() || p.versions.oldest() != 0 {
			t.Errorf("version %d: after a start %d %v, reaching back to %d", number, got.Header().Number, got.Digest(), p.versions.oldest())
		}
		if p.deltasSinceSnapshot >= maxReplayDeltas {
			t.Errorf("version %d: a start applies %d deltas, want under %d", number, p.deltasSinceSnapshot, maxReplayDeltas)
		}
		mustClose(t, p)
	}
}

// The log keeps to both bounds, in memory and on disk, and a start finds the same.
func TestBounds(t *testing.T) {
	for _, bound := range []struct{ deltas, bytes int }{{16, 0}, {1000, 4000}, {1, 0}, {1000, 1}} {
		s, fs := testSettings("log"), vfs.NewMem()
		s.MaxDeltas, s.MaxBytes = bound.deltas, bound.bytes
		p, err := open(s, fs)
		if err != nil {
			t.Fatal(err)
		}
		for number := uint64(1); number <= 300; number++ {
			publishN(t, p, number)
			if n := len(p.versions.entries); n > bound.deltas || bound.bytes > 0 && n > 1 && p.versions.bytes > bound.bytes {
				t.Fatalf("%+v: %d deltas, %d bytes", bound, n, p.versions.bytes)
			}
		}
		oldest, digest := p.versions.oldest(), p.Document().Digest()
		mustClose(t, p)
		if p, err = open(s, fs); err != nil {
			t.Fatalf("%+v: %v", bound, err)
		}
		if p.versions.oldest() != oldest || p.Document().Digest() != digest {
			t.Errorf("%+v: after a start it reaches back to %d, want %d", bound, p.versions.oldest(), oldest)
		}
		mustClose(t, p)
	}
}

func TestPublishRefuses(t *testing.T) {
	p, err := open(testSettings("log"), vfs.NewMem())
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, p)
	publishN(t, p, 2)
	doc := p.Document()
	for _, c := range []struct {
		changes []document.Change
		base    document.Digest
		want    error
		texts   []string
	}{
		{nil, document.Digest{}, ErrNoChange, nil},
		{[]document.Change{team("t1", 1)}, document.Digest{}, ErrNoChange, nil},
		{[]document.Change{team("new", 1)}, document.Digest{1}, ErrBaseMismatch, nil},
		{[]document.Change{team("", 1), team("b", -1)}, document.Digest{}, ErrInvalidChanges, nil},
		{[]document.Change{{Drop: true, Team: &document.Team{Name: "nobody"}}, team("b", -1)}, document.Digest{}, ErrInvalidChanges, []string{"nobody", "b"}},
	} {
		_, err := p.Publish(c.changes, testMeta, c.base)
		if !errors.Is(err, c.want) {
			t.Errorf("%+v: %v, want %v", c.changes, err, c.want)
		}
		for _, text := range c.texts {
			if err == nil || !strings.Contains(err.Error(), text) {
				t.Errorf("%v does not name %q", err, text)
			}
		}
	}
	if p.Document() != doc {
		t.Error("what was refused changed what is in force")
	}
}

// Time never goes back, whatever clock the next originator has.
func TestTimeNeverGoesBack(t *testing.T) {
	p, err := open(testSettings("log"), vfs.NewMem())
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, p)
	late := time.Now().Add(time.Hour).UnixMicro()
	for i, at := range []int64{late, 5, 0} {
		by := testMeta
		by.Time = at
		h, err := p.Publish([]document.Change{team("a", float64(i+1))}, by, document.Digest{})
		if err != nil || h.Time != late {
			t.Errorf("told %d: %d, %v, want %d", at, h.Time, err, late)
		}
	}
}

// A log whose end is torn off, or that was changed by hand, is not taken, and
// the error names the version.
func TestDamageIsNamed(t *testing.T) {
	for _, c := range []struct {
		name, want string
		harm       func(db *pebble.DB) error
	}{
		{"the last delta gone", "ends with version 299", func(db *pebble.DB) error { return db.Delete(deltaKey(300), pebble.Sync) }},
		{"one in the middle gone", "version 280 is absent", func(db *pebble.DB) error { return db.Delete(deltaKey(280), pebble.Sync) }},
		{"one before the snapshot gone", "version 20 is absent", func(db *pebble.DB) error { return db.Delete(deltaKey(20), pebble.Sync) }},
		{"the snapshot gone", "ends with version", func(db *pebble.DB) error {
			return errors.Join(db.Delete([]byte(snapshotKey), pebble.Sync), db.DeleteRange(deltaKey(1), deltaKey(1000), pebble.Sync))
		}},
		{"the head gone", "ends with version 300", func(db *pebble.DB) error { return db.Delete([]byte(headKey), pebble.Sync) }},
		{"another delta in its place", "version 290 says that it is 289", func(db *pebble.DB) error { return copyValue(db, deltaKey(289), deltaKey(290)) }},
		{"a bit turned in a delta", "version 290", func(db *pebble.DB) error { return flipBit(db, deltaKey(290)) }},
		{"a bit turned before the snapshot", "version 9", func(db *pebble.DB) error { return flipBit(db, deltaKey(9)) }},
		{"a bit turned in the snapshot", "the snapshot", func(db *pebble.DB) error { return flipBit(db, []byte(snapshotKey)) }},
		{"a strange entry", "an entry", func(db *pebble.DB) error { return db.Set([]byte{deltaPrefix, 1}, nil, pebble.Sync) }},
		{"no log of ours", "no log of versions", func(db *pebble.DB) error { return db.Set([]byte(formatKey), []byte("kiteslip keys 1"), pebble.Sync) }},
		{"no word of what it is", "no log of versions", func(db *pebble.DB) error { return db.Delete([]byte(formatKey), pebble.Sync) }},
	} {
		fs := vfs.NewMem()
		p, err := open(testSettings("log"), fs)
		if err != nil {
			t.Fatal(err)
		}
		publishN(t, p, 300)
		mustClose(t, p)
		db, err := pebble.Open("log", &pebble.Options{FS: fs, Logger: pebbleLogger{}, FormatMajorVersion: pebble.FormatNewest})
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(c.harm(db), db.Close()); err != nil {
			t.Fatal(err)
		}
		if _, err := open(testSettings("log"), fs); err == nil || !strings.Contains(err.Error(), c.want) ||
			!errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnknownFormat) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

// A bit that turned in a file on the disk is an error that says so, wherever it
// is met, or it lies where nothing is read. The process stays.
func TestBitFlipOnDisk(t *testing.T) {
	found := 0
	for seed := range uint64(24) {
		fs, rng := vfs.NewMem(), rand.New(rand.NewPCG(seed, 5))
		var digest document.Digest
		for life := range uint64(4) { // the log of each goes into a table of its own
			p, err := open(testSettings("log"), fs)
			if err != nil {
				t.Fatal(err)
			}
			publishN(t, p, 75*(life+1))
			digest = p.Document().Digest()
			mustClose(t, p)
		}
		names, err := fs.List("log")
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if !strings.HasSuffix(name, ".sst") {
				continue
			}
			path := fs.PathJoin("log", name)
			file, err := fs.OpenReadWrite(path, vfs.WriteCategoryUnspecified)
			if err != nil {
				t.Fatal(err)
			}
			info, err := file.Stat()
			if err != nil {
				t.Fatal(err)
			}
			at, b := rng.Int64N(info.Size()), make([]byte, 1)
			if _, err := file.ReadAt(b, at); err != nil {
				t.Fatal(err)
			}
			b[0] ^= 1 << rng.IntN(8)
			if _, err := file.WriteAt(b, at); err != nil {
				t.Fatal(err)
			}
			if err := file.Close(); err != nil {
				t.Fatal(err)
			}
		}
		// The database may meet it by itself, beside all else, while it rewrites its tables.
		store, err := openStore("log", fs)
		if errors.Is(err, ErrCorrupt) {
			found++
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := store.runIsolated(func() error {
			return store.db.Compact(context.Background(), []byte("a"), []byte("z"), false)
		}); err != nil && !errors.Is(store.failure(), ErrCorrupt) {
			t.Errorf("seed %d: %v, want ErrDamage", seed, store.failure())
		}
		if store.failure() != nil { // it keeps its lock until the process ends
			found++
			continue
		}
		if err := store.close(); err != nil {
			t.Fatal(err)
		}
		p, err := open(testSettings("log"), fs)
		switch {
		case errors.Is(err, ErrCorrupt):
			found++
		case err != nil:
			t.Errorf("seed %d: %v, want ErrDamage", seed, err)
		default:
			if p.Document().Digest() != digest {
				t.Errorf("seed %d: another version is in force", seed)
			}
			if err := p.Close(); err != nil && !errors.Is(err, ErrCorrupt) {
				t.Errorf("seed %d: %v", seed, err)
			}
		}
	}
	if found == 0 {
		t.Error("no damage was met: nothing was tested")
	}
	t.Logf("%d of 24 are met", found)
}

func flipBit(db *pebble.DB, key []byte) error {
	value, closer, err := db.Get(key)
	if err != nil {
		return err
	}
	value = append([]byte(nil), value...)
	value[len(value)/2] ^= 0x10
	return errors.Join(closer.Close(), db.Set(key, value, pebble.Sync))
}

func copyValue(db *pebble.DB, from, to []byte) error {
	value, closer, err := db.Get(from)
	if err != nil {
		return err
	}
	value = append([]byte(nil), value...)
	return errors.Join(closer.Close(), db.Set(to, value, pebble.Sync))
}

func TestFolderLocked(t *testing.T) {
	folder := t.TempDir()
	p, err := Open(testSettings(folder))
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, p)
	if _, err := Open(testSettings(folder)); !errors.Is(err, ErrInUse) {
		t.Errorf("%v, want ErrInUse", err)
	}
}

// The power goes after any version, with any part of what was not synced lost:
// what Publish accepted is there, and nothing more.
func TestPowerLoss(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		mem := vfs.NewCrashableMem()
		s := testSettings("log")
		s.MaxDeltas = 1 + rng.IntN(40)
		p, err := open(s, mem)
		if err != nil {
			t.Fatal(err)
		}
		publishN(t, p, uint64(rng.IntN(60)))
		doc := p.Document()
		after := mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rng.IntN(101), RNG: rng})
		mustClose(t, p)
		if p, err = open(s, after); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if got := p.Document(); got.Digest() != doc.Digest() {
			t.Errorf("seed %d: version %d after the loss, want %d", seed, got.Header().Number, doc.Header().Number)
		}
		publishN(t, p, doc.Header().Number+1)
		mustClose(t, p)
	}
}

// A disk that fails at any of its writes or syncs: the version is refused, what is in
// force stays, nothing more is published, and a start finds what was accepted,
// or whole the one version that was being written.
func TestDiskFails(t *testing.T) {
	failed := 0
	for at := range int64(40) {
		mem := vfs.NewCrashableMem()
		var left atomic.Int64
		left.Store(1 << 40)
		fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
			if op.Kind.ReadOrWrite() == errorfs.OpIsWrite && left.Add(-1) < 0 {
				return errorfs.ErrInjected
			}
			return nil
		}))
		s := testSettings("log")
		s.MaxDeltas = 8
		p, err := open(s, fs)
		if err != nil {
			t.Fatal(err)
		}
		publishN(t, p, 5)
		left.Store(at)
		var refused error
		for n := 0; n < 40 && refused == nil; n++ {
			before := p.Document()
			if _, refused = p.Publish([]document.Change{team("x", float64(n+1))}, testMeta, document.Digest{}); refused == nil {
				continue
			}
			if !errors.Is(refused, ErrDiskFailed) {
				t.Errorf("write %d: %v, want ErrDisk", at, refused)
			}
			if p.Document() != before {
				t.Errorf("write %d: what was refused is in force", at)
			}
		}
		if refused == nil {
			t.Errorf("write %d: no version is refused", at)
			mustClose(t, p)
			continue
		}
		failed++
		left.Store(1 << 40) // the disk is well again: the machine does not know
		if _, err := p.Publish([]document.Change{team("y", 1)}, testMeta, document.Digest{}); !errors.Is(err, ErrDiskFailed) {
			t.Errorf("write %d: after the failure: %v, want ErrDisk", at, err)
		}
		doc := p.Document()
		mustClose(t, p)
		again, err := open(s, mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: int(at) * 100 / 39, RNG: rand.New(rand.NewPCG(uint64(at), 2))}))
		if err != nil {
			t.Errorf("write %d: after a start: %v", at, err)
			continue
		}
		got := again.Document()
		if got.Digest() != doc.Digest() && got.Header().Parent != doc.Digest() {
			t.Errorf("write %d: after a start version %d, want %d or the one refused", at, got.Header().Number, doc.Header().Number)
		}
		publishN(t, again, got.Header().Number+1)
		mustClose(t, again)
	}
	if failed < 40 {
		t.Errorf("%d of 40 disks failed", failed)
	}
}
