// Package keystore stores the state of keyed requests on disk, so that a key
// runs once in its window even if the process is killed in between.
//
// Guarantees: Commit returns when its operations are durable. With
// SurviveProcessExit they survive the end of the process, with SurvivePowerLoss
// also the loss of power. A commit that did not return may be present or not, each
// operation whole or not at all. Corrupt data is never returned: records carry
// checksums, and Open or Load report what is wrong.
//
// One process owns a folder at a time; Open fails with ErrInUse for a second one.
// A Store that has failed (an error of its log, a full disk) stays failed: every
// later call returns ErrFailed, and another process must open the folder again. A
// Store may be used by one goroutine at a time.
package keystore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// Durability says what a commit survives.
type Durability uint8

// The durabilities.
const (
	SurvivePowerLoss   Durability = iota // the end of the process and the loss of power
	SurviveProcessExit                   // only the end of the process
)

// Options configure a Store.
type Options struct {
	Folder     string
	FS         vfs.FS // nil = the operating system's
	Durability Durability
	MaxBytes   int64 // limit of the space on disk, beyond which new runs get ErrFull; 0 = none
	ReadOnly   bool  // nothing is changed; the folder must exist
	Now        ClockReading
}

// Errors, to be tested with errors.Is.
var (
	ErrInUse       = errors.New("keystore: another process uses the folder")
	ErrFailed      = errors.New("keystore: store failed")
	ErrFull        = errors.New("keystore: store full")
	ErrCorrupt     = errors.New("keystore: store corrupt")
	ErrNotKeyStore = errors.New("keystore: the folder is no store of keys")
)

const (
	cacheBytes    = 1 << 20
	memTableBytes = 1 << 20
	maxOpenFiles  = 64
	maxKeys       = 1 << 20
	formatKey     = "fformat"
	clockKey      = "mmoment"
	formatName    = "kiteslip keys 1"
)

// Store is an open key store.
type Store struct {
	opt             Options
	db              *pebble.DB
	cache           *pebble.Cache
	lastUsed        ClockReading // of the last use before this Open
	windowExtension int64        // sum of all window extensions; window ends on disk are stored without it
	expiredBefore   int64        // records whose window ended before this were deleted

	mu       sync.Mutex
	failed   error
	failedCh chan struct{} // closed when the store fails
}

// dbLogger is the database's logger. What the database calls fatal fails the store
// and ends the calling goroutine, not the process.
type dbLogger struct{ s *Store }

func (q dbLogger) Infof(string, ...any)              {}
func (q dbLogger) Errorf(format string, args ...any) {}
func (q dbLogger) Fatalf(format string, args ...any) {
	q.s.fail(fmt.Errorf(format, args...))
	runtime.Goexit()
}

// fail records the first failure of the store.
func (s *Store) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		close(s.failedCh)
	}
}

// failure returns the error with which the store has failed, or nil.
func (s *Store) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// runIsolated runs f in its own goroutine, which a failure of the database may end.
func (s *Store) runIsolated(f func() error) error {
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

// Open opens a folder, and creates it unless it is read-only.
func Open(opt Options) (*Store, error) {
	if opt.FS == nil {
		opt.FS = vfs.Default
	}
	s := &Store{opt: opt, failedCh: make(chan struct{})}
	fs := opt.FS
	if opt.Durability == SurviveProcessExit {
		fs = processFS{fs}
	}
	s.cache = pebble.NewCache(cacheBytes)
	o := &pebble.Options{FS: fs, Cache: s.cache, MemTableSize: memTableBytes, MaxOpenFiles: maxOpenFiles, Logger: dbLogger{s},
		ReadOnly: opt.ReadOnly, ErrorIfNotExists: opt.ReadOnly, FormatMajorVersion: pebble.FormatNewest}
	err := s.runIsolated(func() (err error) {
		s.db, err = pebble.Open(opt.Folder, o)
		return err
	})
	if err == nil {
		err = s.runIsolated(s.checkFormat)
		if err != nil {
			s.Close() //nolint:errcheck // the first error is returned
		}
	} else {
		s.cache.Unref()
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", opt.Folder, translateError(err))
	}
	return s, nil
}

// translateError wraps the database's errors in those of this package.
func translateError(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	switch {
	case errors.Is(err, ErrCorrupt), errors.Is(err, ErrNotKeyStore):
		return err
	case strings.Contains(text, "lock held by current process"), strings.Contains(text, "resource temporarily unavailable"):
		return fmt.Errorf("%w (%w)", ErrInUse, err)
	case errors.Is(err, pebble.ErrDBDoesNotExist):
		return fmt.Errorf("%w (%w)", ErrNotKeyStore, err)
	case errors.Is(err, pebble.ErrCorruption), strings.Contains(text, "corrupt"), strings.Contains(text, "checksum"):
		return fmt.Errorf("%w (%w)", ErrCorrupt, err)
	}
	return err
}

// get returns the value of a database key, or nil.
func (s *Store) get(key string) ([]byte, error) {
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

// checkFormat reads the format and the last clock reading of the folder.
func (s *Store) checkFormat() error {
	format, err := s.get(formatKey)
	if err != nil {
		return err
	}
	if format != nil && string(format) != formatName {
		return fmt.Errorf("%w: format %.40q, want %q", ErrNotKeyStore, format, formatName)
	}
	if format == nil {
		it, err := s.db.NewIter(nil)
		if err != nil {
			return err
		}
		hasOtherKeys := it.First()
		it.Close() //nolint:errcheck // nothing was read
		if hasOtherKeys || s.opt.ReadOnly {
			return ErrNotKeyStore
		}
		return s.db.Set([]byte(formatKey), []byte(formatName), pebble.Sync)
	}
	reading, err := s.get(clockKey)
	if err != nil || reading == nil {
		return err
	}
	if s.lastUsed, s.windowExtension, err = decodeClockReading(reading); err != nil {
		return err
	}
	if s.opt.Now != (ClockReading{}) {
		s.windowExtension += WindowExtension(s.lastUsed, s.opt.Now)
	}
	return nil
}

// LastUsed returns the clock reading of the last write before this Open.
func (s *Store) LastUsed() ClockReading { return s.lastUsed }

// WindowExtension returns by how much windows were extended since the folder was created.
func (s *Store) WindowExtension() int64 { return s.windowExtension }

// Load returns the records whose window has not ended at now (microseconds of the
// wall clock), each key once, with its longest window, extended as needed.
func (s *Store) Load(now int64) ([]Record, error) {
	type name struct{ class, key string }
	var list []Record
	indexes := map[name]int32{}
	err := s.Each(now, func(r Record) error {
		id := name{r.Class, r.Key}
		i, there := indexes[id]
		if !there {
			if len(list) >= maxKeys {
				return fmt.Errorf("%w: more than %d keys", ErrCorrupt, maxKeys)
			}
			indexes[id] = int32(len(list))
			list = append(list, r)
			return nil
		}
		other := &list[i]
		windowEnd := max(r.WindowEnd, other.WindowEnd)
		if r.Supersedes(other) {
			*other = r
		}
		other.WindowEnd = windowEnd
		return nil
	})
	return list, err
}

// Each yields all records whose window has not ended at now, including several of one key.
func (s *Store) Each(now int64, yield func(Record) error) error {
	return translateError(s.runIsolated(func() error {
		it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: expiryBucketKey(now - s.windowExtension), UpperBound: []byte{recordPrefix + 1}})
		if err != nil {
			return translateError(err)
		}
		defer it.Close()
		for it.First(); it.Valid(); it.Next() {
			r, err := decode(it.Value())
			if err != nil {
				return fmt.Errorf("%w: key %q: %w", ErrCorrupt, it.Key(), err)
			}
			r.WindowEnd += s.windowExtension
			if err := yield(r); err != nil {
				return err
			}
		}
		if err := it.Error(); err != nil {
			return translateError(err)
		}
		return nil
	}))
}

// Op is one operation of a commit.
type Op struct {
	Record Record // stored in place of an earlier record of the try
	Delete bool   // Record is deleted instead, because the try never ran
}

// beginsRun reports whether an operation records the start of a run: a full store rejects only these.
func beginsRun(o Op) bool { return !o.Delete && !o.Record.Finished }

// Commit makes all operations durable together, with the clock reading.
func (s *Store) Commit(now ClockReading, ops []Op) error {
	if err := s.failure(); err != nil {
		return err
	}
	if s.opt.MaxBytes > 0 && slices.ContainsFunc(ops, beginsRun) {
		if n := s.DiskBytes(); n > uint64(s.opt.MaxBytes) {
			return fmt.Errorf("%w: %d bytes of %d", ErrFull, n, s.opt.MaxBytes)
		}
	}
	b := s.db.NewBatch()
	for i := range ops {
		r := ops[i].Record
		r.WindowEnd -= s.windowExtension
		key := storeKey(&r)
		if ops[i].Delete {
			if err := b.Delete(key, nil); err != nil {
				return err
			}
			continue
		}
		value, err := encode(&r)
		if err != nil {
			return err
		}
		if err := b.Set(key, value, nil); err != nil {
			return err
		}
	}
	if err := b.Set([]byte(clockKey), now.encode(s.windowExtension), nil); err != nil {
		return err
	}
	return s.runIsolated(func() error { return b.Commit(pebble.Sync) })
}

// DeleteExpired deletes the records whose window ended before that time.
func (s *Store) DeleteExpired(before int64) error {
	before -= s.windowExtension
	if before < s.expiredBefore+expiryBucketUS {
		return nil
	}
	s.expiredBefore = before
	return s.runIsolated(func() error { return s.db.DeleteRange([]byte{recordPrefix}, expiryBucketKey(before), pebble.NoSync) })
}

// DiskBytes returns the space used on disk.
func (s *Store) DiskBytes() uint64 {
	if s.failure() != nil {
		return 0
	}
	return s.db.Metrics().DiskSpaceUsage()
}

// Compact releases the space of deleted records now.
func (s *Store) Compact() error {
	return s.runIsolated(func() error {
		if err := s.db.Flush(); err != nil {
			return err
		}
		return s.db.Compact(context.Background(), []byte{0}, []byte{0xff}, false)
	})
}

// Close releases the folder. A store that has failed keeps its lock until the
// process ends.
func (s *Store) Close() error {
	if s.failure() != nil {
		return nil
	}
	err := s.runIsolated(s.db.Close)
	s.cache.Unref()
	return err
}
