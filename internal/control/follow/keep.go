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
	wholeFile   = "version"
	deltasFile  = "version.deltas"
	lockFile    = "version.lock"
	deltasMost  = 256     // that follow the whole version in the folder
	deltasBytes = 1 << 20 // ... and their bytes
	wholeEvery  = 5 * time.Second
	folderMode  = 0o700
	fileMode    = 0o600
)

// keeper keeps the version in force in a folder: one version whole, replaced as
// a whole, and a bounded list of deltas behind it. What stands there after a
// crash is the version in force or, where the system itself has crashed, one
// that was in force shortly before. Its digest is checked when it is read. Of two
// processes with one folder, as in an upgrade, one writes: the other does when
// the first has ended. The zero value keeps nothing.
type keeper struct {
	folder string
	log    *zap.Logger

	lock   *os.File
	deltas *os.File           // to append to; nil = a whole version is written next
	last   document.Digest    // of the version that the files stand at
	count  int                // deltas there
	bytes  int                // of them
	want   *document.Document // to be written whole; nil = the files are current
	whole  []byte             // ... as it was sent, if it was
	after  time.Duration      // not before then
	fails  bool               // the last write failed, and it was said
}

// load reads what the folder keeps, and since when. What is damaged is named in
// the log and passed over.
func (k *keeper) load() (*document.Document, time.Time) {
	if k.folder == "" {
		return nil, time.Time{}
	}
	if err := os.MkdirAll(k.folder, folderMode); err != nil {
		k.log.Error("control: the folder of the version cannot be used", zap.Error(err))
		return nil, time.Time{}
	}
	// The deltas first: a whole version that another process writes meanwhile is newer than they are.
	deltas, err := k.read(deltasFile)
	if err != nil {
		k.damaged(deltasFile, err)
	}
	whole, err := k.read(wholeFile)
	if err != nil {
		k.damaged(wholeFile, err)
		return nil, time.Time{}
	}
	if whole == nil {
		return nil, time.Time{}
	}
	doc, err := document.DecodeSnapshot(whole)
	if err != nil {
		k.damaged(wholeFile, err)
		return nil, time.Time{}
	}
	doc, err = replay(doc, deltas)
	if err != nil {
		k.damaged(deltasFile, err)
	}
	return doc, k.written()
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

// read returns a file's bytes, nil where there is none.
func (k *keeper) read(name string) ([]byte, error) {
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

func (k *keeper) damaged(name string, err error) {
	k.log.Error("control: a file of the kept version is passed over", zap.String("file", filepath.Join(k.folder, name)), zap.Error(err))
}

// written is when the files were last written to.
func (k *keeper) written() (at time.Time) {
	for _, name := range []string{wholeFile, deltasFile} {
		if info, err := os.Stat(filepath.Join(k.folder, name)); err == nil && info.ModTime().After(at) {
			at = info.ModTime()
		}
	}
	return at
}

// save notes that doc is in force. text is what it was sent as: a delta on the
// version before, or the whole.
func (k *keeper) save(now time.Duration, doc *document.Document, delta bool, text []byte) {
	if k.folder == "" {
		return
	}
	if delta && k.deltas != nil && k.want == nil && k.last == doc.Header().Parent && k.count < deltasMost && k.bytes+len(text) <= deltasBytes {
		if err := protocol.NewWriter(k.deltas).Write(&protocol.PublisherMessage{Delta: text}); err == nil {
			k.last, k.count, k.bytes = doc.Digest(), k.count+1, k.bytes+len(text)
			return
		} else { //nolint:revive // what was written in part is replaced with the whole
			k.failed(err)
		}
	}
	k.want, k.whole = doc, nil
	if !delta {
		k.whole = text
	}
	k.tend(now)
}

// tend writes the newest version whole if that is due.
func (k *keeper) tend(now time.Duration) {
	if k.want == nil || now < k.after {
		return
	}
	k.after = now + wholeEvery
	switch err := k.replace(); {
	case errors.Is(err, errHeld): // another process of this server writes there
	case err != nil:
		k.failed(err)
	default:
		if k.fails {
			k.fails = false
			k.log.Info("control: the version in force is kept again", zap.String("folder", k.folder))
		}
		k.last, k.count, k.bytes = k.want.Digest(), 0, 0
		k.want, k.whole = nil, nil
	}
}

// due says when tend has something to do; 0 = never.
func (k *keeper) due() time.Duration {
	if k.want == nil {
		return 0
	}
	return k.after
}

func (k *keeper) failed(err error) {
	if k.deltas != nil {
		k.deltas.Close()
		k.deltas = nil
	}
	if !k.fails {
		k.fails = true
		k.log.Error("control: the version in force cannot be kept; the server goes on", zap.String("folder", k.folder), zap.Error(err))
	}
}

var errHeld = errors.New("follow: another process holds the folder")

// replace writes the version that is wanted in place of the one that stands there.
func (k *keeper) replace() error {
	if err := k.own(); err != nil {
		return err
	}
	if k.whole == nil {
		text, err := k.want.Snapshot()
		if err != nil {
			return err
		}
		k.whole = text
	}
	path := filepath.Join(k.folder, wholeFile)
	if err := writeSynced(path+".new", k.whole); err != nil {
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

// own makes this process the one that writes there.
func (k *keeper) own() error {
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
			return errHeld
		}
		return err
	}
	k.lock = f
	return nil
}

// close writes what still waits, and lets another process write.
func (k *keeper) close() {
	if k.want != nil {
		k.after = 0
		k.tend(0)
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
