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

func newTestStore(folder string) *versionStore {
	return &versionStore{folder: folder, log: zap.NewNop()}
}

// A version is kept, first whole and then by deltas, and read again.
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
		if i == 10 || i == 15 { // as after a crash at this moment
			k := versionStore{folder: folder, log: f.log}
			if doc, at := k.load(); doc == nil || doc.Digest() != docs[i].Digest() || at.IsZero() {
				t.Fatalf("%v is kept, want version %d", doc, i)
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

// What is damaged is named and passed over: the whole, or the deltas from there on.
func TestStoreCorrupt(t *testing.T) {
	docs, deltas := makeVersions(t, 5)
	make := func(t *testing.T) (Settings, string) {
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
	change := func(t *testing.T, path string, f func([]byte) []byte) {
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
		"sound":            {deltasFile, func(b []byte) []byte { return b }, 5},
		"whole flipped":    {snapshotFile, func(b []byte) []byte { b[len(b)/2] ^= 1; return b }, 0},
		"whole cut":        {snapshotFile, func(b []byte) []byte { return b[:len(b)/2] }, 0},
		"whole empty":      {snapshotFile, func(b []byte) []byte { return nil }, 0},
		"deltas cut":       {deltasFile, func(b []byte) []byte { return b[:len(b)-3] }, 4},
		"deltas flipped":   {deltasFile, func(b []byte) []byte { b[len(b)-3] ^= 1; return b }, 4},
		"deltas no record": {deltasFile, func(b []byte) []byte { return append(b, 0xff, 0xff) }, 5},
		"deltas empty":     {deltasFile, func(b []byte) []byte { return nil }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			set, folder := make(t)
			change(t, filepath.Join(folder, c.file), c.do)
			f := newTestFollower(t, set)
			if got := f.State().Number; got != c.want {
				t.Errorf("version %d is read, want %d", got, c.want)
			}
			named := 0
			for _, e := range f.logs.All() {
				if e.ContextMap()["file"] == filepath.Join(folder, c.file) {
					named++
				}
			}
			if damaged := name != "sound" && name != "deltas empty"; (named == 1) != damaged {
				t.Errorf("the file is named %d times", named)
			}
			f.run() // the next version replaces what is damaged
			f.stop()
		})
	}
}

// A folder that cannot be written, at the start or later, stops nothing and is logged once.
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
	if f.logCount("cannot be kept") != 1 || f.logCount("cannot be used") != 1 {
		t.Error("not said once")
	}
}

// Two processes of one server share a folder: one writes, and the other when it has ended.
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

// The folder's files stay bounded, and a version whole is written now and then, not for each change.
func TestStoreBounded(t *testing.T) {
	docs, deltas := makeVersions(t, 3*maxDeltas)
	k := newTestStore(t.TempDir())
	now, whole := time.Duration(0), 0
	for i := 1; i < len(docs); i++ {
		now += 10 * time.Millisecond
		before := k.lastDigest
		k.save(now, docs[i], i > 1, encode(t, deltas[i]))
		if k.deltaCount == 0 && k.pending == nil && k.lastDigest != before {
			whole++
		}
		if k.deltaCount > maxDeltas || k.deltaBytes > maxDeltaBytes {
			t.Fatalf("%d deltas, %d bytes", k.deltaCount, k.deltaBytes)
		}
	}
	k.close()
	if whole > int(now/snapshotInterval)+1 {
		t.Errorf("%d whole versions in %v", whole, now)
	}
	if doc, _ := k.load(); doc.Digest() != docs[len(docs)-1].Digest() {
		t.Errorf("version %d", doc.Header().Number)
	}
}

// A disk that hangs holds up neither a version nor the end; when it goes on, the
// newest version is kept.
func TestStoreDiskHangs(t *testing.T) {
	docs, deltas := makeVersions(t, 6)
	set := settings(newFakePublisher(t))
	p := newFakePublisher(t)
	set.Publishers[0].Address, set.Folder = p.address, t.TempDir()
	pipe := filepath.Join(set.Folder, snapshotFile+".new") // whoever opens it waits for somebody at its other end
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
	other, err := os.Open(pipe)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(pipe); err != nil {
		t.Fatal(err)
	}
	go io.Copy(io.Discard, other) //nolint:errcheck // it ends with the write
	eventually(t, "the newest is kept", func() bool {
		doc, _ := newTestStore(set.Folder).load()
		return doc != nil && doc.Digest() == docs[3].Digest()
	})
	stop()
	other.Close()
	s.delta(deltas[4])
	wantAck(t, s.ack(), docs[4])
	f.stop()
	if doc, _ := newTestStore(set.Folder).load(); doc.Digest() != docs[4].Digest() {
		t.Errorf("version %d is kept", doc.Header().Number)
	}
}
