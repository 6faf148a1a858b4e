package server

import (
	"errors"
	"fmt"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"go.uber.org/zap"

	"kiteslip"
	"kiteslip/internal/core"
	"kiteslip/internal/handover"
	"kiteslip/internal/keystore"
	"kiteslip/internal/storage"
)

// keyState is the state of the key store, where one is configured.
type keyState struct {
	fs             vfs.FS // nil = the system's
	worker         *storage.Worker
	restored       int           // keys read from the store
	unknownOutcome int           // ... with unknown outcome
	opening        bool          // the store is being opened outside the loop
	closed         chan struct{} // closed on the loop once the store that was released is closed; nil = none was
	openErr        error
}

const (
	keyStoreRetryInterval = 100 * time.Millisecond // between two attempts to open a store that another process uses
	storeFreshUS          = 2_500_000              // a process whose store was in use until this long before its end recorded all its runs
	keyStoreCloseTimeout  = 2 * time.Second        // at the end, for the last records to be written
)

// journal passes the core's records to the storage worker.
type journal struct {
	s *Server
	w *storage.Worker
}

func (j journal) Begin(token uint32, r core.Record) { j.w.Put(token, j.s.storedRecord(&r)) }
func (j journal) End(token uint32, r core.Record)   { j.w.Put(token, j.s.storedRecord(&r)) }
func (j journal) Delete(r core.Record)              { j.w.Delete(j.s.storedRecord(&r)) }

func (s *Server) storedRecord(r *core.Record) keystore.Record {
	return keystore.Record{Class: s.cfg.Classes[r.Class], Key: r.Key, TryID: r.TryID, Arrived: r.Arrived, WindowEnd: r.WindowEnd, Deadline: r.Deadline,
		BodyHash: r.BodyHash, Finished: r.Finished, Outcome: uint8(r.Outcome), Result: r.Result}
}

// openKeyStore opens the store and reads its records. It blocks.
func (s *Server) openKeyStore() (*keystore.Store, []keystore.Record, error) {
	k := &s.cfg.Keys
	opt := keystore.Options{Folder: k.Folder, FS: s.keys.fs, MaxBytes: k.MaxBytes, Now: storage.ReadClocks()}
	if k.ProcessDurability {
		opt.Durability = keystore.SurviveProcessExit
	}
	store, err := keystore.Open(opt)
	if err != nil {
		return nil, nil, err
	}
	records, err := store.Load(opt.Now.Wall)
	if err != nil {
		store.Close() //nolint:errcheck // the first error counts
		return nil, nil, fmt.Errorf("%s: %w", k.Folder, err)
	}
	return store, records, nil
}

// restoreKeys imports the records of the store, and has it keep the records from now on.
func (s *Server) restoreKeys(store *keystore.Store, records []keystore.Record) {
	var unfinished []core.Record
	for i := range records {
		r := &records[i]
		s.keys.restored++
		outcome := r.Outcome
		if !r.Finished {
			s.keys.unknownOutcome++
			outcome = uint8(kiteslip.Failed)
		}
		class, known := s.keyedClasses[r.Class]
		if !known { // kept until a configuration has the class again
			s.upgrade.unknownClassKeys = append(s.upgrade.unknownClassKeys, handover.Message{Kind: handover.Record, Text: r.Class, Key: r.Key,
				Arrived: r.Arrived, WindowEnd: r.WindowEnd, BodyHash: r.BodyHash, Finished: true, Outcome: outcome, Result: r.Result})
			continue
		}
		// The engine may still be running it, or may have ended it while no process was connected.
		awaited := !r.Finished && r.TryID != "" && s.cfg.Backends[class] == ""
		rec := core.Record{Class: class, Key: r.Key, Arrived: r.Arrived, WindowEnd: r.WindowEnd, BodyHash: r.BodyHash, Finished: !awaited,
			Outcome: kiteslip.Outcome(outcome), Result: r.Result, TryID: r.TryID, Deadline: r.Deadline, OutcomeUnknown: !r.Finished}
		if run := s.core.ImportRecord(rec); run != nil {
			s.link.Await(run)
		}
		if !r.Finished {
			unfinished = append(unfinished, rec)
		}
	}
	s.keys.worker = storage.Start(store, storage.ReadClocks, func(outcomes []storage.Outcome) {
		s.onLoop(func() {
			t := now()
			for _, o := range outcomes {
				s.core.Recorded(t, o.Token, o.Err)
			}
			s.scheduleIteration()
		})
	})
	s.core.SetJournal(journal{s, s.keys.worker}, s.cfg.Keys.AllowUnrecorded)
	for i := range unfinished {
		s.core.RecordKnownEnd(unfinished[i])
	}
	s.log.Info("key store opened", zap.String("folder", s.cfg.Keys.Folder), zap.Int("restored", s.keys.restored),
		zap.Int("unknown", s.keys.unknownOutcome), zap.Int64("shift_ms", store.WindowExtension()/1000))
}

// initKeyStore opens the store where this process owns the keys from its start. A
// folder that can't be used is an error, unless the operator allows unrecorded runs.
func (s *Server) initKeyStore() error {
	if s.cfg.Keys.Folder == "" || !s.core.OwnsKeys() {
		return nil
	}
	store, records, err := s.openKeyStore()
	if err != nil {
		if !s.cfg.Keys.AllowUnrecorded || errors.Is(err, keystore.ErrInUse) {
			return fmt.Errorf("keys: %w", err)
		}
		s.keys.openErr = err
		s.log.Error("key store failed to open; keys are kept in memory only", zap.Error(err))
		s.core.AcquireKeys(now() + s.core.MaxWindow()) // what an earlier process ran is not known
		return nil
	}
	if u := &s.upgrade; s.recordedAll(store, u.inDoubtUntil) {
		s.core.AcquireKeys(0)
	}
	s.restoreKeys(store, records)
	return nil
}

// recordedAll reports whether the earlier process whose runs are in doubt until
// inDoubtUntil recorded all of them in this store: it used the store until its end,
// and was not allowed to run anything unrecorded.
func (s *Server) recordedAll(store *keystore.Store, inDoubtUntil int64) bool {
	last := store.LastUsed().Wall
	return inDoubtUntil != 0 && last != 0 && last+storeFreshUS >= inDoubtUntil-s.core.MaxWindow() && !s.cfg.Keys.AllowUnrecorded
}

// acquireKeys acquires the keys while the server runs: the store is opened outside
// the loop, and this process owns the keys once that is done.
func (s *Server) acquireKeys(inDoubtUntil int64) {
	if s.cfg.Keys.Folder == "" {
		s.ownershipTaken(inDoubtUntil)
		return
	}
	if s.keys.opening || s.keys.worker != nil {
		return
	}
	s.keys.opening = true
	closed := s.keys.closed
	go func() {
		if closed != nil { // the end of the closing also removes the journal from the core
			select {
			case <-closed:
			case <-s.runCtx.Done():
			}
		}
		store, records, err := s.awaitKeyStore()
		if s.ended.Load() { // nothing runs on the loop any more
			if store != nil {
				store.Close() //nolint:errcheck // it was not used
			}
			return
		}
		s.onLoop(func() { s.keyStoreOpened(store, records, err, inDoubtUntil) })
	}()
}

// awaitKeyStore opens the store once no other process uses it, or until the run has
// ended. It blocks.
func (s *Server) awaitKeyStore() (store *keystore.Store, records []keystore.Record, err error) {
	for !s.ended.Load() {
		if store, records, err = s.openKeyStore(); !errors.Is(err, keystore.ErrInUse) {
			break
		}
		time.Sleep(keyStoreRetryInterval)
	}
	return store, records, err
}

// keyStoreOpened imports the records of the opened store and completes the
// acquisition of the keys.
func (s *Server) keyStoreOpened(store *keystore.Store, records []keystore.Record, err error, inDoubtUntil int64) {
	s.keys.opening = false
	if err != nil {
		s.keys.openErr = err
		s.log.Error("key store failed to open", zap.Error(err))
		if s.cfg.Keys.AllowUnrecorded {
			s.ownershipTaken(max(inDoubtUntil, now()+s.core.MaxWindow()))
		} else {
			s.ownershipFailed() // keyed requests fail: what ran is not known
		}
		return
	}
	if s.recordedAll(store, inDoubtUntil) {
		inDoubtUntil = 0
	}
	s.restoreKeys(store, records)
	s.ownershipTaken(inDoubtUntil)
}

// releaseKeyStore closes the store, and calls then on the loop once all records are
// written.
func (s *Server) releaseKeyStore(then func()) {
	w := s.keys.worker
	if w == nil {
		then()
		return
	}
	s.keys.worker = nil
	done, closed := w.Close(), make(chan struct{})
	s.keys.closed = closed
	go func() {
		<-done
		s.onLoop(func() {
			s.core.SetJournal(nil, false)
			close(closed)
			then()
		})
	}()
}

// closeKeyStore writes the waiting records and closes the store, at the end of the process.
func (s *Server) closeKeyStore() {
	if s.keys.worker == nil {
		return
	}
	select {
	case <-s.keys.worker.Close():
	case <-time.After(keyStoreCloseTimeout):
		s.log.Warn("key store did not write its last records before the timeout")
	}
}
