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

// The files of the folder, and the bounds on them.
const (
	snapshotFile     = "version"
	deltasFile       = "version.deltas"
	lockFile         = "version.lock"
	maxDeltas        = 256             // after the snapshot in the folder
	maxDeltaBytes    = 1 << 20         // ... and their bytes
	snapshotInterval = 5 * time.Second // between two writes of a snapshot
	folderMode       = 0o700
	fileMode         = 0o600
)

// versionStore stores the version in force in a folder: a snapshot, which is
// replaced atomically, and a bounded list of deltas after it. After a crash of the
// process the files hold the version in force; after a crash of the system they may
// hold one that was in force shortly before. Digests are checked when the files are
// read. If two processes share a folder, as in an upgrade, one of them writes, and
// the other takes over when the first has ended. Without a folder nothing is stored.
type versionStore struct {
	folder string
	log    *zap.Logger

	lock            *os.File
	deltas          *os.File           // to append to; nil = a snapshot is written next
	lastDigest      document.Digest    // of the version that the files hold
	deltaCount      int                // deltas in the file
	deltaBytes      int                // ... and their bytes
	pending         *document.Document // to be written as a snapshot; nil = the files are current
	pendingSnapshot []byte             // ... encoded, if it was received so
	notBefore       time.Duration      // no snapshot is written before then
	failing         bool               // the last write failed, and that was logged
}

// load reads the stored version and the time of its last write. Corrupt files are
// logged and ignored.
func (s *versionStore) load() (*document.Document, time.Time) {
	if s.folder == "" {
		return nil, time.Time{}
	}
	if err := os.MkdirAll(s.folder, folderMode); err != nil {
		s.log.Error("control: the folder for versions cannot be used", zap.Error(err))
		return nil, time.Time{}
	}
	// The deltas are read first: a snapshot that another process writes meanwhile is
	// newer than they are.
	deltas, err := s.readFile(deltasFile)
	if err != nil {
		s.logCorrupt(deltasFile, err)
	}
	snapshot, err := s.readFile(snapshotFile)
	if err != nil {
		s.logCorrupt(snapshotFile, err)
		return nil, time.Time{}
	}
	if snapshot == nil {
		return nil, time.Time{}
	}
	doc, err := document.DecodeSnapshot(snapshot)
	if err != nil {
		s.logCorrupt(snapshotFile, err)
		return nil, time.Time{}
	}
	doc, err = replay(doc, deltas)
	if err != nil {
		s.logCorrupt(deltasFile, err)
	}
	return doc, s.modTime()
}

// replay applies the stored deltas to a snapshot, up to the first invalid one.
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
			continue // part of the snapshot
		}
		next, err := doc.Apply(delta)
		if err != nil {
			return doc, fmt.Errorf("record %d: %w", n, err)
		}
		doc = next
	}
}

// sliceReader is an io.Reader over a byte slice.
type sliceReader struct{ rest []byte }

func (r *sliceReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// readFile returns a file's content, nil if it does not exist.
func (s *versionStore) readFile(name string) ([]byte, error) {
	f, err := os.Open(filepath.Join(s.folder, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	const limit = 2 * document.MaxRecordBytes
	b, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err == nil && len(b) > limit {
		err = fmt.Errorf("over %d bytes", limit)
	}
	return b, err
}

// logCorrupt logs that a file is ignored.
func (s *versionStore) logCorrupt(name string, err error) {
	s.log.Error("control: a file of the stored version is corrupt and ignored", zap.String("file", filepath.Join(s.folder, name)), zap.Error(err))
}

// modTime is when the files were last written.
func (s *versionStore) modTime() (at time.Time) {
	for _, name := range []string{snapshotFile, deltasFile} {
		if info, err := os.Stat(filepath.Join(s.folder, name)); err == nil && info.ModTime().After(at) {
			at = info.ModTime()
		}
	}
	return at
}

// save records that doc is in force, and writes it as far as it is due. encoded is
// the data that it was received as: a delta on the previous version if delta is set,
// else a snapshot or nil.
func (s *versionStore) save(now time.Duration, doc *document.Document, delta bool, encoded []byte) {
	if s.folder == "" {
		return
	}
	if delta && s.deltas != nil && s.pending == nil && s.lastDigest == doc.Header().Parent && s.deltaCount < maxDeltas && s.deltaBytes+len(encoded) <= maxDeltaBytes {
		if err := protocol.NewWriter(s.deltas).Write(&protocol.PublisherMessage{Delta: encoded}); err == nil {
			s.lastDigest, s.deltaCount, s.deltaBytes = doc.Digest(), s.deltaCount+1, s.deltaBytes+len(encoded)
			return
		} else { //nolint:revive // a partly written delta is replaced by a snapshot
			s.noteFailure(err)
		}
	}
	s.pending, s.pendingSnapshot = doc, nil
	if !delta {
		s.pendingSnapshot = encoded
	}
	s.writeIfDue(now)
}

// writeIfDue writes the pending version as a snapshot if that is due.
func (s *versionStore) writeIfDue(now time.Duration) {
	if s.pending == nil || now < s.notBefore {
		return
	}
	s.notBefore = now + snapshotInterval
	switch err := s.writeSnapshot(); {
	case errors.Is(err, errLocked): // another process of this server writes to the folder
	case err != nil:
		s.noteFailure(err)
	default:
		if s.failing {
			s.failing = false
			s.log.Info("control: the version in force is stored again", zap.String("folder", s.folder))
		}
		s.lastDigest, s.deltaCount, s.deltaBytes = s.pending.Digest(), 0, 0
		s.pending, s.pendingSnapshot = nil, nil
	}
}

// nextWrite returns when writeIfDue has something to do; 0 = never.
func (s *versionStore) nextWrite() time.Duration {
	if s.pending == nil {
		return 0
	}
	return s.notBefore
}

// noteFailure makes the next write a snapshot, and logs the first failure.
func (s *versionStore) noteFailure(err error) {
	if s.deltas != nil {
		s.deltas.Close()
		s.deltas = nil
	}
	if !s.failing {
		s.failing = true
		s.log.Error("control: the version in force cannot be stored; the server goes on", zap.String("folder", s.folder), zap.Error(err))
	}
}

var errLocked = errors.New("follow: another process holds the folder's lock")

// writeSnapshot replaces the stored version by the pending one.
func (s *versionStore) writeSnapshot() error {
	if err := s.acquireLock(); err != nil {
		return err
	}
	if s.pendingSnapshot == nil {
		encoded, err := s.pending.Snapshot()
		if err != nil {
			return err
		}
		s.pendingSnapshot = encoded
	}
	path := filepath.Join(s.folder, snapshotFile)
	if err := writeSynced(path+".new", s.pendingSnapshot); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	if err := syncFolder(s.folder); err != nil {
		return err
	}
	if s.deltas != nil {
		s.deltas.Close()
	}
	var err error
	s.deltas, err = os.OpenFile(filepath.Join(s.folder, deltasFile), os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, fileMode)
	return err
}

// acquireLock makes this process the one that writes to the folder.
func (s *versionStore) acquireLock() error {
	if s.lock != nil {
		return nil
	}
	if err := os.MkdirAll(s.folder, folderMode); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(s.folder, lockFile), os.O_RDWR|os.O_CREATE, fileMode)
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
	s.lock = f
	return nil
}

// close writes the pending version, and lets another process write.
func (s *versionStore) close() {
	if s.pending != nil {
		s.notBefore = 0
		s.writeIfDue(0)
	}
	for _, f := range []*os.File{s.deltas, s.lock} {
		if f != nil {
			f.Close()
		}
	}
	s.deltas, s.lock = nil, nil
}

// writeSynced writes a file and waits until it is on disk.
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

// syncFolder waits until the folder's entries are on disk.
func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
