package follow

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// newTestStore returns a store that logs nothing.
func newTestStore(folder string) *versionStore {
	return &versionStore{folder: folder, log: zap.NewNop()}
}

// TestStore: versions are stored, first as a snapshot and then as deltas, and read
// again.
func TestStore(t *testing.T) {
	docs, deltas := makeVersions(t, 20)
	folder := filepath.Join(t.TempDir(), "control")
	p := newFakePublisher(t)
	set := settings(p)
	set.Folder = folder
	f := startFollower(t, set)
	s := p.nextStream()
	for i := 1; i <= 20; i++ {
		s.delta(deltas[i])
		wantAck(t, s.ack(), docs[i])
		if i == 10 || i == 15 { // as after a crash at this point
			k := versionStore{folder: folder, log: f.log}
			if doc, at := k.load(); doc == nil || doc.Digest() != docs[i].Digest() || at.IsZero() {
				t.Fatalf("%v is stored, want version %d", doc, i)
			}
		}
	}
	f.stop()
	f = newTestFollower(t, set)
	if st := f.State(); st.Number != 20 || st.Digest != docs[20].Digest() || st.Source != SourceFolder {
		t.Errorf("%+v", st)
	}
	f.run()
	if s := p.nextStream(); s.hello.Number != 20 || s.hello.Digest != docs[20].Digest() {
		t.Errorf("%+v", s.hello)
	}
}

// TestStoreCorrupt: a corrupt file is logged and ignored: all of it if it is the
// snapshot, the deltas from the corruption on else.
func TestStoreCorrupt(t *testing.T) {
	docs, deltas := makeVersions(t, 5)
	newFolder := func(t *testing.T) (Settings, string) {
		set := settings(newFakePublisher(t))
		set.Folder = t.TempDir()
		k := newTestStore(set.Folder)
		k.save(0, docs[1], false, nil)
		for i := 2; i <= 5; i++ {
			k.save(0, docs[i], true, encode(t, deltas[i]))
		}
		k.close()
		return set, set.Folder
	}
	modify := func(t *testing.T, path string, f func([]byte) []byte) {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, f(b), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for name, c := range map[string]struct {
		file string
		do   func([]byte) []byte
		want uint64
	}{
		"intact":              {deltasFile, func(b []byte) []byte { return b }, 5},
		"snapshot bit flip":   {snapshotFile, func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, 0},
		"snapshot truncated":  {snapshotFile, func(b []byte) []byte { return b[:len(b)/2] }, 0},
		"snapshot empty":      {snapshotFile, func(b []byte) []byte { return nil }, 0},
		"deltas truncated":    {deltasFile, func(b []byte) []byte { return b[:len(b)-3] }, 4},
		"deltas bit flip":     {deltasFile, func(b []byte) []byte { b[len(b)-3] ^= 1; return b }, 4},
		"deltas with garbage": {deltasFile, func(b []byte) []byte { return append(b, 0xff, 0xff) }, 5},
		"deltas empty":        {deltasFile, func(b []byte) []byte { return nil }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			set, folder := newFolder(t)
			modify(t, filepath.Join(folder, c.file), c.do)
			f := newTestFollower(t, set)
			if got := f.State().Number; got != c.want {
				t.Errorf("version %d is read, want %d", got, c.want)
			}
			logged := 0
			for _, e := range f.logs.All() {
				if e.ContextMap()["file"] == filepath.Join(folder, c.file) {
					logged++
				}
			}
			if corrupt := name != "intact" && name != "deltas empty"; (logged == 1) != corrupt {
				t.Errorf("the file is logged %d times", logged)
			}
			f.run() // the next version replaces the corrupt files
			f.stop()
		})
	}
}

// TestStoreUnwritable: a folder that cannot be written, at the start or later, stops
// nothing and is logged once.
func TestStoreUnwritable(t *testing.T) {
	docs, deltas := makeVersions(t, 4)
	file := filepath.Join(t.TempDir(), "a-file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	p := newFakePublisher(t)
	set := settings(p)
	set.Folder = filepath.Join(file, "below")
	f := startFollower(t, set)
	s := p.nextStream()
	for i := 1; i <= 4; i++ {
		s.delta(deltas[i])
		wantAck(t, s.ack(), docs[i])
	}
	if f.logCount("cannot be stored") != 1 || f.logCount("cannot be used") != 1 {
		t.Error("not logged once")
	}
}

// TestStoreSharedByTwoProcesses: of two processes that share a folder one writes,
// and the other takes over when the first has ended.
func TestStoreSharedByTwoProcesses(t *testing.T) {
	docs, deltas := makeVersions(t, 4)
	folder := t.TempDir()
	first, second := newTestStore(folder), newTestStore(folder)
	first.save(0, docs[1], false, nil)
	second.save(0, docs[1], false, nil)
	first.save(0, docs[2], true, encode(t, deltas[2]))
	second.save(0, docs[2], true, encode(t, deltas[2]))
	second.save(snapshotInterval, docs[3], true, encode(t, deltas[3]))
	if doc, _ := newTestStore(folder).load(); doc.Header().Number != 2 {
		t.Errorf("version %d", doc.Header().Number)
	}
	first.close()
	second.save(2*snapshotInterval, docs[4], true, encode(t, deltas[4]))
	if doc, _ := newTestStore(folder).load(); doc.Header().Number != 4 {
		t.Errorf("version %d", doc.Header().Number)
	}
	second.close()
}

// TestStoreBounded: the files stay within their bounds, and snapshots are written at
// intervals, not for each version.
func TestStoreBounded(t *testing.T) {
	docs, deltas := makeVersions(t, 3*maxDeltas)
	k := newTestStore(t.TempDir())
	now, snapshots := time.Duration(0), 0
	for i := 1; i < len(docs); i++ {
		now += 10 * time.Millisecond
		before := k.lastDigest
		k.save(now, docs[i], i > 1, encode(t, deltas[i]))
		if k.deltaCount == 0 && k.pending == nil && k.lastDigest != before {
			snapshots++
		}
		if k.deltaCount > maxDeltas || k.deltaBytes > maxDeltaBytes {
			t.Fatalf("%d deltas, %d bytes", k.deltaCount, k.deltaBytes)
		}
	}
	k.close()
	if snapshots > int(now/snapshotInterval)+1 {
		t.Errorf("%d snapshots in %v", snapshots, now)
	}
	if doc, _ := k.load(); doc.Digest() != docs[len(docs)-1].Digest() {
		t.Errorf("version %d", doc.Header().Number)
	}
}

// TestStoreDiskHangs: a disk that hangs delays neither the next versions nor the
// shutdown; when it responds again, the newest version is stored.
func TestStoreDiskHangs(t *testing.T) {
	docs, deltas := makeVersions(t, 6)
	set := settings(newFakePublisher(t))
	p := newFakePublisher(t)
	set.Publishers[0].Address, set.Folder = p.address, t.TempDir()
	pipe := filepath.Join(set.Folder, snapshotFile+".new") // opening it blocks until it is opened for reading
	if err := unix.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	f := startFollower(t, set)
	s := p.nextStream()
	for i := 1; i <= 3; i++ {
		s.delta(deltas[i])
		wantAck(t, s.ack(), docs[i])
	}
	if f.logCount("hangs") != 1 || f.State().Number != 3 {
		t.Errorf("%+v", f.State())
	}
	stop := s.heartbeats(docs[3], 0)
	reader, err := os.Open(pipe)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(pipe); err != nil {
		t.Fatal(err)
	}
	go io.Copy(io.Discard, reader) //nolint:errcheck // it ends with the write
	eventually(t, "the newest version is stored", func() bool {
		doc, _ := newTestStore(set.Folder).load()
		return doc != nil && doc.Digest() == docs[3].Digest()
	})
	stop()
	reader.Close()
	s.delta(deltas[4])
	wantAck(t, s.ack(), docs[4])
	f.stop()
	if doc, _ := newTestStore(set.Folder).load(); doc.Digest() != docs[4].Digest() {
		t.Errorf("version %d is stored", doc.Header().Number)
	}
}
