package follow

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// The files of the folder, and how much is written.
const (
	snapshotFile     = "version"
	deltasFile       = "version.deltas"
	lockFile         = "version.lock"
	maxDeltas        = 256     // that follow the whole version in the folder
	maxDeltaBytes    = 1 << 20 // ... and their bytes
	snapshotInterval = 5 * time.Second
	folderMode       = 0o700
	fileMode         = 0o600
)

// versionStore keeps the version in force in a folder: one version whole, replaced as
// a whole, and a bounded list of deltas behind it. What stands there after a
// crash is the version in force or, where the system itself has crashed, one
// that was in force shortly before. Its digest is checked when it is read. Of two
// processes with one folder, as in an upgrade, one writes: the other does when
// the first has ended. The zero value keeps nothing.
type versionStore struct {
	folder string
	log    *zap.Logger

	lock            *os.File
	deltas          *os.File           // to append to; nil = a whole version is written next
	lastDigest      document.Digest    // of the version that the files stand at
	deltaCount      int                // deltas there
	deltaBytes      int                // of them
	pending         *document.Document // to be written whole; nil = the files are current
	pendingSnapshot []byte             // ... as it was sent, if it was
	notBefore       time.Duration      // not before then
	failing         bool               // the last write failed, and it was said
}

// load reads what the folder keeps, and since when. What is damaged is named in
// the log and passed over.
func (k *versionStore) load() (*document.Document, time.Time) {
	if k.folder == "" {
		return nil, time.Time{}
	}
	if err := os.MkdirAll(k.folder, folderMode); err != nil {
		k.log.Error("control: the folder of the version cannot be used", zap.Error(err))
		return nil, time.Time{}
	}
	// The deltas first: a whole version that another process writes meanwhile is newer than they are.
	deltas, err := k.readFile(deltasFile)
	if err != nil {
		k.logCorrupt(deltasFile, err)
	}
	whole, err := k.readFile(snapshotFile)
	if err != nil {
		k.logCorrupt(snapshotFile, err)
		return nil, time.Time{}
	}
	if whole == nil {
		return nil, time.Time{}
	}
	doc, err := document.DecodeSnapshot(whole)
	if err != nil {
		k.logCorrupt(snapshotFile, err)
		return nil, time.Time{}
	}
	doc, err = replay(doc, deltas)
	if err != nil {
		k.logCorrupt(deltasFile, err)
	}
	return doc, k.modTime()
}

// replay applies the deltas that stand behind a whole version, as far as they are sound.
func replay(doc *document.Document, deltas []byte) (*document.Document, error) {
	from := protocol.NewReader(&sliceReader{deltas})
	for n := 0; ; n++ {
		var r protocol.PublisherMessage
		err := from.Read(&r)
		if errors.Is(err, io.EOF) {
			return doc, nil
		}
		if err != nil {
			return doc, fmt.Errorf("record %d: %w", n, err)
		}
		delta, err := document.DecodeDelta(r.Delta)
		if err != nil {
			return doc, fmt.Errorf("record %d: %w", n, err)
		}
		if delta.Header.Number <= doc.Header().Number {
			continue // the whole version has it already
		}
		next, err := doc.Apply(delta)
		if err != nil {
			return doc, fmt.Errorf("record %d: %w", n, err)
		}
		doc = next
	}
}

type sliceReader struct{ rest []byte }

func (r *sliceReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// readFile returns a file's bytes, nil where there is none.
func (k *versionStore) readFile(name string) ([]byte, error) {
	f, err := os.Open(filepath.Join(k.folder, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	const most = 2 * document.MaxRecordBytes
	b, err := io.ReadAll(io.LimitReader(f, most+1))
	if err == nil && len(b) > most {
		err = fmt.Errorf("over %d bytes", most)
	}
	return b, err
}

func (k *versionStore) logCorrupt(name string, err error) {
	k.log.Error("control: a file of the kept version is passed over", zap.String("file", filepath.Join(k.folder, name)), zap.Error(err))
}

// modTime is when the files were last written to.
func (k *versionStore) modTime() (at time.Time) {
	for _, name := range []string{snapshotFile, deltasFile} {
		if info, err := os.Stat(filepath.Join(k.folder, name)); err == nil && info.ModTime().After(at) {
			at = info.ModTime()
		}
	}
	return at
}

// save notes that doc is in force. text is what it was sent as: a delta on the
// version before, or the whole.
func (k *versionStore) save(now time.Duration, doc *document.Document, delta bool, text []byte) {
	if k.folder == "" {
		return
	}
	if delta && k.deltas != nil && k.pending == nil && k.lastDigest == doc.Header().Parent && k.deltaCount < maxDeltas && k.deltaBytes+len(text) <= maxDeltaBytes {
		if err := protocol.NewWriter(k.deltas).Write(&protocol.PublisherMessage{Delta: text}); err == nil {
			k.lastDigest, k.deltaCount, k.deltaBytes = doc.Digest(), k.deltaCount+1, k.deltaBytes+len(text)
			return
		} else { //nolint:revive // what was written in part is replaced with the whole
			k.noteFailure(err)
		}
	}
	k.pending, k.pendingSnapshot = doc, nil
	if !delta {
		k.pendingSnapshot = text
	}
	k.writeIfDue(now)
}

// writeIfDue writes the newest version whole if that is due.
func (k *versionStore) writeIfDue(now time.Duration) {
	if k.pending == nil || now < k.notBefore {
		return
	}
	k.notBefore = now + snapshotInterval
	switch err := k.writeSnapshot(); {
	case errors.Is(err, errLocked): // another process of this server writes there
	case err != nil:
		k.noteFailure(err)
	default:
		if k.failing {
			k.failing = false
			k.log.Info("control: the version in force is kept again", zap.String("folder", k.folder))
		}
		k.lastDigest, k.deltaCount, k.deltaBytes = k.pending.Digest(), 0, 0
		k.pending, k.pendingSnapshot = nil, nil
	}
}

// nextWrite says when tend has something to do; 0 = never.
func (k *versionStore) nextWrite() time.Duration {
	if k.pending == nil {
		return 0
	}
	return k.notBefore
}

func (k *versionStore) noteFailure(err error) {
	if k.deltas != nil {
		k.deltas.Close()
		k.deltas = nil
	}
	if !k.failing {
		k.failing = true
		k.log.Error("control: the version in force cannot be kept; the server goes on", zap.String("folder", k.folder), zap.Error(err))
	}
}

var errLocked = errors.New("follow: another process holds the folder")

// writeSnapshot writes the version that is wanted in place of the one that stands there.
func (k *versionStore) writeSnapshot() error {
	if err := k.acquireLock(); err != nil {
		return err
	}
	if k.pendingSnapshot == nil {
		text, err := k.pending.Snapshot()
		if err != nil {
			return err
		}
		k.pendingSnapshot = text
	}
	path := filepath.Join(k.folder, snapshotFile)
	if err := writeSynced(path+".new", k.pendingSnapshot); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	if err := syncFolder(k.folder); err != nil {
		return err
	}
	if k.deltas != nil {
		k.deltas.Close()
	}
	var err error
	k.deltas, err = os.OpenFile(filepath.Join(k.folder, deltasFile), os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
	return err
}

// acquireLock makes this process the one that writes there.
func (k *versionStore) acquireLock() error {
	if k.lock != nil {
		return nil
	}
	if err := os.MkdirAll(k.folder, folderMode); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(k.folder, lockFile), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return errLocked
		}
		return err
	}
	k.lock = f
	return nil
}

// close writes what still waits, and lets another process write.
func (k *versionStore) close() {
	if k.pending != nil {
		k.notBefore = 0
		k.writeIfDue(0)
	}
	for _, f := range []*os.File{k.deltas, k.lock} {
		if f != nil {
			f.Close()
		}
	}
	k.deltas, k.lock = nil, nil
}

func writeSynced(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
