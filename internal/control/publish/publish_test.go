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

// testSettings are the settings of an originator with that folder.
func testSettings(folder string) Settings {
	return Settings{Name: "c0", Region: "north", Listen: "127.0.0.1:0", Folder: folder}
}

// publishN publishes versions until that number is in force.
func publishN(t testing.TB, p *Publisher, number uint64) {
	t.Helper()
	m := &machine{Publisher: p}
	m.versionsUpTo(t, number)
}

// mustClose closes p.
func mustClose(t testing.TB, p *Publisher) {
	t.Helper()
	if err := p.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestReopen: accepted versions are there after a restart, with the deltas that lead
// to them.
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
			t.Errorf("version %d: after a restart %d %v, reaching back to %d", number, got.Header().Number, got.Digest(), p.versions.oldest())
		}
		if p.deltasSinceSnapshot >= maxReplayDeltas {
			t.Errorf("version %d: a restart applies %d deltas, want under %d", number, p.deltasSinceSnapshot, maxReplayDeltas)
		}
		mustClose(t, p)
	}
}

// TestBounds: the log keeps to both bounds, in memory and on disk, and a restart
// finds the same versions.
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
			t.Errorf("%+v: after a restart it reaches back to %d, want %d", bound, p.versions.oldest(), oldest)
		}
		mustClose(t, p)
	}
}

// TestPublishRefuses: each refusal has its error, names its faults, and leaves the
// version in force as it is.
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
		t.Error("a refused version has changed the one in force")
	}
}

// TestTimeNeverGoesBack: the time of a version is never before that of the previous
// one, whatever the originator's clock says.
func TestTimeNeverGoesBack(t *testing.T) {
	p, err := open(testSettings("log"), vfs.NewMem())
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, p)
	latest := time.Now().Add(time.Hour).UnixMicro()
	for i, at := range []int64{latest, 5, 0} {
		by := testMeta
		by.Time = at
		h, err := p.Publish([]document.Change{team("a", float64(i+1))}, by, document.Digest{})
		if err != nil || h.Time != latest {
			t.Errorf("given %d: %d, %v, want %d", at, h.Time, err, latest)
		}
	}
}

// TestCorruptLogRefused: a log that lacks its end, or that was modified, is refused, and
// the error names the version.
func TestCorruptLogRefused(t *testing.T) {
	for _, c := range []struct {
		name, want string
		damage     func(db *pebble.DB) error
	}{
		{"the last delta missing", "ends with version 299", func(db *pebble.DB) error { return db.Delete(deltaKey(300), pebble.Sync) }},
		{"a delta in the middle missing", "version 280 is absent", func(db *pebble.DB) error { return db.Delete(deltaKey(280), pebble.Sync) }},
		{"a delta before the snapshot missing", "version 20 is absent", func(db *pebble.DB) error { return db.Delete(deltaKey(20), pebble.Sync) }},
		{"the snapshot missing", "ends with version", func(db *pebble.DB) error {
			return errors.Join(db.Delete([]byte(snapshotKey), pebble.Sync), db.DeleteRange(deltaKey(1), deltaKey(1000), pebble.Sync))
		}},
		{"the head missing", "ends with version 300", func(db *pebble.DB) error { return db.Delete([]byte(headKey), pebble.Sync) }},
		{"another delta in its place", "version 290 has the number 289 in its header", func(db *pebble.DB) error { return copyValue(db, deltaKey(289), deltaKey(290)) }},
		{"a bit flip in a delta", "version 290", func(db *pebble.DB) error { return flipBit(db, deltaKey(290)) }},
		{"a bit flip before the snapshot", "version 9", func(db *pebble.DB) error { return flipBit(db, deltaKey(9)) }},
		{"a bit flip in the snapshot", "the snapshot", func(db *pebble.DB) error { return flipBit(db, []byte(snapshotKey)) }},
		{"an unknown key", "invalid key", func(db *pebble.DB) error { return db.Set([]byte{deltaPrefix, 1}, nil, pebble.Sync) }},
		{"a database of another format", "no log of versions", func(db *pebble.DB) error { return db.Set([]byte(formatKey), []byte("kiteslip keys 1"), pebble.Sync) }},
		{"no format", "no log of versions", func(db *pebble.DB) error { return db.Delete([]byte(formatKey), pebble.Sync) }},
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
		if err := errors.Join(c.damage(db), db.Close()); err != nil {
			t.Fatal(err)
		}
		if _, err := open(testSettings("log"), fs); err == nil || !strings.Contains(err.Error(), c.want) ||
			!errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrUnknownFormat) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
	}
}

// TestBitFlipOnDisk: a bit flip in a file of the database is reported as ErrCorrupt,
// wherever it is met, or lies where nothing is read. It must not end the process.
func TestBitFlipOnDisk(t *testing.T) {
	found := 0
	for seed := range uint64(24) {
		fs, rng := vfs.NewMem(), rand.New(rand.NewPCG(seed, 5))
		var digest document.Digest
		for run := range uint64(4) { // each writes its log into a table of its own
			p, err := open(testSettings("log"), fs)
			if err != nil {
				t.Fatal(err)
			}
			publishN(t, p, 75*(run+1))
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
		// The database may meet it in the background, while it rewrites its tables.
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
			t.Errorf("seed %d: %v, want ErrCorrupt", seed, store.failure())
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
			t.Errorf("seed %d: %v, want ErrCorrupt", seed, err)
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
		t.Error("no corruption was met: nothing was tested")
	}
	t.Logf("%d of 24 bit flips are met", found)
}

// flipBit flips a bit of a value.
func flipBit(db *pebble.DB, key []byte) error {
	value, closer, err := db.Get(key)
	if err != nil {
		return err
	}
	value = append([]byte(nil), value...)
	value[len(value)/2] ^= 0x10
	return errors.Join(closer.Close(), db.Set(key, value, pebble.Sync))
}

// copyValue sets the value of to to that of from.
func copyValue(db *pebble.DB, from, to []byte) error {
	value, closer, err := db.Get(from)
	if err != nil {
		return err
	}
	value = append([]byte(nil), value...)
	return errors.Join(closer.Close(), db.Set(to, value, pebble.Sync))
}

// TestFolderLocked: a second process cannot open the folder.
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

// TestPowerLoss: the power fails after a version, and any part of what was not
// synced is lost. What Publish accepted is there, and nothing else.
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
			t.Errorf("seed %d: version %d after the power loss, want %d", seed, got.Header().Number, doc.Header().Number)
		}
		publishN(t, p, doc.Header().Number+1)
		mustClose(t, p)
	}
}

// TestDiskFails: the disk fails at one of its writes or syncs. The version is
// refused, the previous one stays in force, and nothing more is published. A restart
// finds what was accepted, or also the one version that was being written, whole.
func TestDiskFails(t *testing.T) {
	failed := 0
	for at := range int64(40) {
		mem := vfs.NewCrashableMem()
		var writesLeft atomic.Int64
		writesLeft.Store(1 << 40)
		fs := errorfs.Wrap(mem, errorfs.InjectorFunc(func(op errorfs.Op) error {
			if op.Kind.ReadOrWrite() == errorfs.OpIsWrite && writesLeft.Add(-1) < 0 {
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
		writesLeft.Store(at)
		var refused error
		for n := 0; n < 40 && refused == nil; n++ {
			before := p.Document()
			if _, refused = p.Publish([]document.Change{team("x", float64(n+1))}, testMeta, document.Digest{}); refused == nil {
				continue
			}
			if !errors.Is(refused, ErrDiskFailed) {
				t.Errorf("write %d: %v, want ErrDiskFailed", at, refused)
			}
			if p.Document() != before {
				t.Errorf("write %d: a refused version is in force", at)
			}
		}
		if refused == nil {
			t.Errorf("write %d: no version is refused", at)
			mustClose(t, p)
			continue
		}
		failed++
		writesLeft.Store(1 << 40) // the disk works again, which the publisher does not know
		if _, err := p.Publish([]document.Change{team("y", 1)}, testMeta, document.Digest{}); !errors.Is(err, ErrDiskFailed) {
			t.Errorf("write %d: after the failure: %v, want ErrDiskFailed", at, err)
		}
		doc := p.Document()
		mustClose(t, p)
		reopened, err := open(s, mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: int(at) * 100 / 39, RNG: rand.New(rand.NewPCG(uint64(at), 2))}))
		if err != nil {
			t.Errorf("write %d: after a restart: %v", at, err)
			continue
		}
		got := reopened.Document()
		if got.Digest() != doc.Digest() && got.Header().Parent != doc.Digest() {
			t.Errorf("write %d: after a restart version %d, want %d or the refused one", at, got.Header().Number, doc.Header().Number)
		}
		publishN(t, reopened, got.Header().Number+1)
		mustClose(t, reopened)
	}
	if failed < 40 {
		t.Errorf("%d of 40 disks failed", failed)
	}
}
