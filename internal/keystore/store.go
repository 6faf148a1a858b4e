// Package keystore keeps what is known of keyed requests on disk, so that a key
// runs once in its window though the process is killed in between.
//
// What is promised. Commit returns when its operations are durable: with
// Durability Process against the end of this process, however it comes; with
// Power against the loss of power too. A commit that did not return may be there
// or not, each operation whole or not at all. Nothing damaged is ever returned:
// records carry checksums, and Open or Load say what is wrong.
//
// One process owns a folder at a time; Open fails with ErrInUse for a second
// one. A Store that has failed (an error of its log, a full disk) stays failed:
// all that follows returns ErrFailed, and the folder must be opened anew by
// another process. A Store may be used by one goroutine at a time.
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

// Durability says what a commit outlives.
type Durability uint8

// The durabilities.
const (
	SurvivePowerLoss   Durability = iota // also the loss of power
	SurviveProcessExit                   // the end of the process
)

// Options set up a store.
type Options struct {
	Folder     string
	FS         vfs.FS // nil = the system's
	Durability Durability
	MaxBytes   int64 // on disk; what would pass it is ErrFull. 0 = no bound
	ReadOnly   bool  // nothing is changed; the folder must be there
	Now        ClockReading
}

// The errors, to be told with errors.Is.
var (
	ErrInUse       = errors.New("keystore: another process uses the folder")
	ErrFailed      = errors.New("keystore: the store has failed")
	ErrFull        = errors.New("keystore: the store is full")
	ErrCorrupt     = errors.New("keystore: the store is damaged")
	ErrNotKeyStore = errors.New("keystore: the folder is no store of keys")
)

const (
	cacheBytes = 1 << 20
	memTable   = 1 << 20
	openFiles  = 64
	mostKeys   = 1 << 20
	formatKey  = "fformat"
	momentKey  = "mmoment"
	formatWord = "kiteslip keys 1"
)

// Store is an open folder.
type Store struct {
	opt   Options
	db    *pebble.DB
	cache *pebble.Cache
	last  ClockReading // of the life before this one
	shift int64        // of all lives so far; what is on disk is written without it
	aged  int64        // records whose window ended before this are gone

	mu     sync.Mutex
	failed error
	broken chan struct{} // closed when it has failed
}

// quiet is the log of the database: what it calls fatal fails the store, in
// the goroutine that met it, and not the process.
type quiet struct{ s *Store }

func (q quiet) Infof(string, ...any)              {}
func (q quiet) Errorf(format string, args ...any) {}
func (q quiet) Fatalf(format string, args ...any) {
	q.s.fail(fmt.Errorf(format, args...))
	runtime.Goexit()
}

func (s *Store) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = fmt.Errorf("%w: %w", ErrFailed, err)
		close(s.broken)
	}
}

func (s *Store) failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// apart runs f where a failure of the database may end the goroutine.
func (s *Store) apart(f func() error) error {
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
	case <-s.broken:
		return s.failure()
	}
}

// Open opens a folder, and makes it unless it is to be read only.
func Open(opt Options) (*Store, error) {
	if opt.FS == nil {
		opt.FS = vfs.Default
	}
	s := &Store{opt: opt, broken: make(chan struct{})}
	fs := opt.FS
	if opt.Durability == SurviveProcessExit {
		fs = processFS{fs}
	}
	s.cache = pebble.NewCache(cacheBytes)
	o := &pebble.Options{FS: fs, Cache: s.cache, MemTableSize: memTable, MaxOpenFiles: openFiles, Logger: quiet{s},
		ReadOnly: opt.ReadOnly, ErrorIfNotExists: opt.ReadOnly, FormatMajorVersion: pebble.FormatNewest}
	err := s.apart(func() (err error) {
		s.db, err = pebble.Open(opt.Folder, o)
		return err
	})
	if err == nil {
		err = s.apart(s.greet)
		if err != nil {
			s.Close() //nolint:errcheck // the first error counts
		}
	} else {
		s.cache.Unref()
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", opt.Folder, sort(err))
	}
	return s, nil
}

// sort gives the database's errors the names of this package.
func sort(err error) error {
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

// greet looks at what the folder holds, and when it was last in use.
func (s *Store) greet() error {
	format, err := s.get(formatKey)
	if err != nil {
		return err
	}
	if format != nil && string(format) != formatWord {
		return fmt.Errorf("%w: it says %.40q, want %q", ErrNotKeyStore, format, formatWord)
	}
	if format == nil {
		it, err := s.db.NewIter(nil)
		if err != nil {
			return err
		}
		strange := it.First()
		it.Close() //nolint:errcheck // nothing was read
		if strange || s.opt.ReadOnly {
			return ErrNotKeyStore
		}
		return s.db.Set([]byte(formatKey), []byte(formatWord), pebble.Sync)
	}
	moment, err := s.get(momentKey)
	if err != nil || moment == nil {
		return err
	}
	if s.last, s.shift, err = decodeMoment(moment); err != nil {
		return err
	}
	if s.opt.Now != (ClockReading{}) {
		s.shift += WindowExtension(s.last, s.opt.Now)
	}
	return nil
}

// LastUsed is when the folder was last written to, before this Open.
func (s *Store) LastUsed() ClockReading { return s.last }

// WindowExtension is by how much windows have become longer since the folder was made.
func (s *Store) WindowExtension() int64 { return s.shift }

// Load returns the records that still matter at now (microseconds on the wall
// clock), each key once, with windows as long as they must be in this life.
func (s *Store) Load(now int64) ([]Record, error) {
	type name struct{ class, key string }
	var list []Record
	places := map[name]int32{}
	err := s.Each(now, func(r Record) error {
		at := name{r.Class, r.Key}
		i, there := places[at]
		if !there {
			if len(list) >= mostKeys {
				return fmt.Errorf("%w: over %d keys", ErrCorrupt, mostKeys)
			}
			places[at] = int32(len(list))
			list = append(list, r)
			return nil
		}
		other := &list[i]
		guard := max(r.WindowEnd, other.WindowEnd)
		if r.Supersedes(other) {
			*other = r
		}
		other.WindowEnd = guard
		return nil
	})
	return list, err
}

// Each yields all records whose window has not ended at now, also several of one key.
func (s *Store) Each(now int64, yield func(Record) error) error {
	return sort(s.apart(func() error {
		it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: bucketStart(now - s.shift), UpperBound: []byte{recordPrefix + 1}})
		if err != nil {
			return sort(err)
		}
		defer it.Close()
		for it.First(); it.Valid(); it.Next() {
			r, err := decode(it.Value())
			if err != nil {
				return fmt.Errorf("%w: key %q: %w", ErrCorrupt, it.Key(), err)
			}
			r.WindowEnd += s.shift
			if err := yield(r); err != nil {
				return err
			}
		}
		if err := it.Error(); err != nil {
			return sort(err)
		}
		return nil
	}))
}

// Op is one operation of a commit.
type Op struct {
	Record Record // kept, in place of what was known of the key
	Delete bool   // ... or the key never ran, and its record goes
}

// begins says whether an operation is of a run that has not begun: these are what a full store has no room for.
func begins(o Op) bool { return !o.Delete && !o.Record.Finished }

// Commit makes all operations durable together, with the moment.
func (s *Store) Commit(now ClockReading, ops []Op) error {
	if err := s.failure(); err != nil {
		return err
	}
	if s.opt.MaxBytes > 0 && slices.ContainsFunc(ops, begins) {
		if n := s.DiskBytes(); n > uint64(s.opt.MaxBytes) {
			return fmt.Errorf("%w: %d bytes of %d", ErrFull, n, s.opt.MaxBytes)
		}
	}
	b := s.db.NewBatch()
	for i := range ops {
		r := ops[i].Record
		r.WindowEnd -= s.shift
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
	if err := b.Set([]byte(momentKey), now.encode(s.shift), nil); err != nil {
		return err
	}
	return s.apart(func() error { return b.Commit(pebble.Sync) })
}

// DeleteExpired forgets the records whose window has ended before that time.
func (s *Store) DeleteExpired(before int64) error {
	before -= s.shift
	if before < s.aged+bucketOf {
		return nil
	}
	s.aged = before
	return s.apart(func() error { return s.db.DeleteRange([]byte{recordPrefix}, bucketStart(before), pebble.NoSync) })
}

// DiskBytes is the space on disk.
func (s *Store) DiskBytes() uint64 {
	if s.failure() != nil {
		return 0
	}
	return s.db.Metrics().DiskSpaceUsage()
}

// Compact gives the space of aged records back now.
func (s *Store) Compact() error {
	return s.apart(func() error {
		if err := s.db.Flush(); err != nil {
			return err
		}
		return s.db.Compact(context.Background(), []byte{0}, []byte{0xff}, false)
	})
}

// Close ends the use of the folder. What was committed stays; a store that has
// failed keeps its lock until the process ends.
func (s *Store) Close() error {
	if s.failure() != nil {
		return nil
	}
	err := s.apart(s.db.Close)
	s.cache.Unref()
	return err
}
