package publish

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"sync"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"kiteslip/internal/control/document"
)

// The log on disk. Keys begin with a letter: the format, the head (number and digest
// of the version in force), a snapshot, and the deltas by number.
const (
	cacheBytes    = 1 << 20
	memTableBytes = 1 << 20
	maxOpenFiles  = 64
	formatKey     = "f"
	headKey       = "h"
	snapshotKey   = "s"
	deltaPrefix   = 'd'
	formatVersion = "kiteslip versions 1"

	maxReplayDeltas = 256     // deltas after the snapshot, which Open must apply ...
	maxReplayBytes  = 4 << 20 // ... and their bytes
)

// storedDelta is one version as it is stored.
type storedDelta struct {
	number uint64
	parent document.Digest
	digest document.Digest
	delta  []byte // by Delta.Encode
}

// newStoredDelta returns the storedDelta of delta, of which encoded is the encoding.
func newStoredDelta(delta *document.Delta, encoded []byte) storedDelta {
	h := &delta.Header
	return storedDelta{h.Number, h.Parent, h.Digest(), encoded}
}

// store is an open folder. Writes come from one goroutine at a time.
type store struct {
	db    *pebble.DB
	cache *pebble.Cache

	mu       sync.Mutex
	failed   error
	failedCh chan struct{} // closed when failed is set
}

// pebbleLogger is the logger of the database: a fatal error fails the store and ends
// the goroutine that met it, but not the process.
type pebbleLogger struct{ s *store }

func (q pebbleLogger) Infof(string, ...any)  {}
func (q pebbleLogger) Errorf(string, ...any) {}
func (q pebbleLogger) Fatalf(format string, args ...any) {
	q.s.fail(fmt.Errorf(format, args...))
	runtime.Goexit()
}

// fail records the first failure of the disk.
func (s *store) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = fmt.Errorf("%w: %w", ErrDiskFailed, err)
		close(s.failedCh)
	}
}

// failure is why nothing can be written any more; nil = the store works.
func (s *store) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// runIsolated runs f in a goroutine of its own, which a fatal error of the database
// may end.
func (s *store) runIsolated(f func() error) error {
	if err := s.failure(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				s.fail(fmt.Errorf("%v", p))
			}
		}()
		done <- f()
	}()
	select {
	case err := <-done:
		return err
	case <-s.failedCh:
		return s.failure()
	}
}

// openStore opens the folder, and creates an empty log in an empty one.
func openStore(folder string, fs vfs.FS) (*store, error) {
	s := &store{failedCh: make(chan struct{}), cache: pebble.NewCache(cacheBytes)}
	o := &pebble.Options{FS: fs, Cache: s.cache, MemTableSize: memTableBytes, MaxOpenFiles: maxOpenFiles, Logger: pebbleLogger{s},
		FormatMajorVersion: pebble.FormatNewest}
	// The database's own reaction to corruption ends the goroutine that met it, in
	// the middle of a compaction, which would end the process.
	o.EventListener = &pebble.EventListener{DataCorruption: func(i pebble.DataCorruptionInfo) {
		s.fail(fmt.Errorf("%w: %s: %w", ErrCorrupt, i.Path, i.Details))
	}}
	err := s.runIsolated(func() (err error) {
		s.db, err = pebble.Open(folder, o)
		return err
	})
	if err != nil {
		s.cache.Unref()
		return nil, classifyError(err)
	}
	if err := s.runIsolated(s.checkFormat); err != nil {
		return nil, errors.Join(classifyError(err), s.close())
	}
	return s, nil
}

// classifyError maps the database's errors to those of this package.
func classifyError(err error) error {
	text := err.Error()
	switch {
	case errors.Is(err, ErrCorrupt), errors.Is(err, ErrUnknownFormat):
		return err
	case strings.Contains(text, "lock held by current process"), strings.Contains(text, "resource temporarily unavailable"):
		return fmt.Errorf("%w (%w)", ErrInUse, err)
	case errors.Is(err, pebble.ErrCorruption), strings.Contains(text, "corrupt"), strings.Contains(text, "checksum"):
		return fmt.Errorf("%w (%w)", ErrCorrupt, err)
	}
	return err
}

// checkFormat checks that the folder holds a log of versions; an empty folder
// becomes one.
func (s *store) checkFormat() error {
	format, err := s.get(formatKey)
	switch {
	case err != nil:
		return err
	case string(format) == formatVersion:
		return nil
	case format != nil:
		return fmt.Errorf("%w: its format is %.40q, want %q", ErrUnknownFormat, format, formatVersion)
	}
	it, err := s.db.NewIter(nil)
	if err != nil {
		return err
	}
	nonEmpty := it.First()
	if err := it.Close(); err != nil {
		return err
	}
	if nonEmpty {
		return ErrUnknownFormat
	}
	return s.db.Set([]byte(formatKey), []byte(formatVersion), pebble.Sync)
}

// get returns the value of a key, nil if there is none.
func (s *store) get(key string) ([]byte, error) {
	value, closer, err := s.db.Get([]byte(key))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer closer.Close()
	return bytes.Clone(value), nil
}

// load reads and checks the whole log. It returns the version in force, the deltas
// that lead to it in order, and the number of the version that the snapshot on disk
// is of.
func (s *store) load() (doc *document.Document, deltas []storedDelta, snapshot uint64, err error) {
	err = s.runIsolated(func() error {
		if doc, err = s.snapshot(); err != nil {
			return err
		}
		snapshot = doc.Header().Number
		it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: []byte{deltaPrefix}, UpperBound: []byte{deltaPrefix + 1}})
		if err != nil {
			return err
		}
		defer it.Close()
		for it.First(); it.Valid(); it.Next() {
			r, delta, err := decodeStoredDelta(it.Key(), it.Value())
			if err != nil {
				return err
			}
			if n := len(deltas); n > 0 {
				before := &deltas[n-1]
				if r.number != before.number+1 {
					return fmt.Errorf("%w: version %d is absent", ErrCorrupt, before.number+1)
				}
				if r.parent != before.digest {
					return fmt.Errorf("%w: version %d is not the parent of version %d", ErrCorrupt, before.number, r.number)
				}
			} else if r.number > snapshot+1 {
				return fmt.Errorf("%w: version %d is absent", ErrCorrupt, snapshot+1)
			}
			switch {
			case r.number == snapshot && r.digest != doc.Digest():
				return fmt.Errorf("%w: version %d is not the one in the snapshot", ErrCorrupt, r.number)
			case r.number > snapshot:
				next, err := doc.Apply(delta)
				if err != nil {
					return fmt.Errorf("%w: version %d: %w", ErrCorrupt, r.number, err)
				}
				doc = next
			}
			deltas = append(deltas, r)
		}
		if err := it.Error(); err != nil {
			return err
		}
		return s.checkHead(doc)
	})
	if err != nil {
		return nil, nil, 0, classifyError(err)
	}
	return doc, deltas, snapshot, nil
}

// snapshot reads the snapshot on disk; without one the log starts at the empty
// version.
func (s *store) snapshot() (*document.Document, error) {
	b, err := s.get(snapshotKey)
	if err != nil || b == nil {
		return document.Empty(), err
	}
	doc, err := document.DecodeSnapshot(b)
	if err != nil {
		return nil, fmt.Errorf("%w: the snapshot: %w", ErrCorrupt, err)
	}
	return doc, nil
}

// checkHead detects a log whose newest versions are missing.
func (s *store) checkHead(doc *document.Document) error {
	head, err := s.get(headKey)
	if err != nil {
		return err
	}
	number, digest := uint64(0), document.Empty().Digest()
	if head != nil {
		if len(head) != 8+len(digest) {
			return fmt.Errorf("%w: the head is %d bytes", ErrCorrupt, len(head))
		}
		number, digest = binary.BigEndian.Uint64(head), document.Digest(head[8:])
	}
	if at := doc.Header().Number; at != number || doc.Digest() != digest {
		return fmt.Errorf("%w: it ends with version %d %v, want %d %v", ErrCorrupt, at, doc.Digest(), number, digest)
	}
	return nil
}

// deltaKey is the key of a delta.
func deltaKey(number uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{deltaPrefix}, number)
}

// decodeStoredDelta decodes and checks one delta on disk.
func decodeStoredDelta(key, value []byte) (storedDelta, *document.Delta, error) {
	if len(key) != 9 {
		return storedDelta{}, nil, fmt.Errorf("%w: invalid key %x", ErrCorrupt, key)
	}
	number, encoded := binary.BigEndian.Uint64(key[1:]), bytes.Clone(value)
	delta, err := document.DecodeDelta(encoded)
	if err != nil {
		return storedDelta{}, nil, fmt.Errorf("%w: version %d: %w", ErrCorrupt, number, err)
	}
	if delta.Header.Number != number {
		return storedDelta{}, nil, fmt.Errorf("%w: version %d has the number %d in its header", ErrCorrupt, number, delta.Header.Number)
	}
	return newStoredDelta(delta, encoded), delta, nil
}

// logWrite is one atomic change of the log.
type logWrite struct {
	added            *storedDelta // nil where the version arrived as a snapshot
	snapshot         []byte       // nil = the one on disk stays
	dropFrom, dropTo uint64       // deltas in [dropFrom, dropTo) are dropped
	number           uint64       // of the head: the new version in force
	digest           document.Digest
}

// commit makes a change durable, all of it or nothing.
func (s *store) commit(w *logWrite) error {
	return s.runIsolated(func() error {
		b := s.db.NewBatch()
		if w.dropFrom < w.dropTo {
			if err := b.DeleteRange(deltaKey(w.dropFrom), deltaKey(w.dropTo), nil); err != nil {
				return err
			}
		}
		if w.snapshot != nil {
			if err := b.Set([]byte(snapshotKey), w.snapshot, nil); err != nil {
				return err
			}
		}
		if w.added != nil {
			if err := b.Set(deltaKey(w.added.number), w.added.delta, nil); err != nil {
				return err
			}
		}
		head := append(binary.BigEndian.AppendUint64(nil, w.number), w.digest[:]...)
		if err := b.Set([]byte(headKey), head, nil); err != nil {
			return err
		}
		if err := b.Commit(pebble.Sync); err != nil {
			// The state on disk is unknown: nothing may be added to it.
			s.fail(err)
			return s.failure()
		}
		return nil
	})
}

// close closes the folder. A failed database may not be closeable; its lock is then
// released when the process ends.
func (s *store) close() error {
	if s.failure() != nil {
		return nil
	}
	err := s.runIsolated(s.db.Close)
	s.cache.Unref()
	return err
}
