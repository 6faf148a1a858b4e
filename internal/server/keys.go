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

// keyState is the store of keyed results, where one is set up.
type keyState struct {
	fs             vfs.FS // nil = the system's
	worker         *storage.Worker
	restored       int  // keys read at the start
	unknownOutcome int  // ... of which the end is not known
	opening        bool // the store is being opened beside the loop
	openErr        error
}

const (
	keyStoreRetryInterval = 100 * time.Millisecond // between two tries to open a store that another process has
	storeFreshUS          = 2_500_000              // a process that wrote to its store up to so long before its end wrote all
	keyStoreCloseTimeout  = 2 * time.Second        // the end waits so long for the last records
)

// journal hands the core's records to the worker.
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

// openKeyStore opens the store and reads what it holds. It blocks.
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

// restoreKeys takes over what the store holds, and lets it keep what comes.
func (s *Server) restoreKeys(store *keystore.Store, records []keystore.Record) {
	for i := range records {
		r := &records[i]
		s.keys.restored++
		outcome := r.Outcome
		if !r.Finished {
			s.keys.unknownOutcome++
			outcome = uint8(kiteslip.Failed)
		}
		class, known := s.keyedClasses[r.Class]
		if !known { // kept for a configuration that brings the class back
			s.upgrade.unknownClassKeys = append(s.upgrade.unknownClassKeys, handover.Message{Kind: handover.Record, Text: r.Class, Key: r.Key,
				Arrived: r.Arrived, WindowEnd: r.WindowEnd, BodyHash: r.BodyHash, Finished: true, Outcome: outcome, Result: r.Result})
			continue
		}
		// The engine may still run what was begun, or have ended it while nobody listened.
		waits := !r.Finished && r.TryID != "" && s.cfg.Backends[class] == ""
		if run := s.core.ImportRecord(core.Record{Class: class, Key: r.Key, Arrived: r.Arrived, WindowEnd: r.WindowEnd, BodyHash: r.BodyHash, Finished: !waits,
			Outcome: kiteslip.Outcome(outcome), Result: r.Result, TryID: r.TryID, Deadline: r.Deadline, OutcomeUnknown: !r.Finished}); run != nil {
			s.link.Await(run)
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
	s.log.Info("keys are kept", zap.String("folder", s.cfg.Keys.Folder), zap.Int("restored", s.keys.restored),
		zap.Int("unknown", s.keys.unknownOutcome), zap.Int64("shift_ms", store.WindowExtension()/1000))
}

// initKeyStore opens the store where this process owns the keys from its start. A
// folder that can't be used ends the start, unless the operator wants to go on
// without it.
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
		s.log.Error("keys are not kept, and go on in memory", zap.Error(err))
		s.core.AcquireKeys(now() + s.core.MaxWindow()) // what an earlier life ran is not known here
		return nil
	}
	if u := &s.upgrade; s.recordedAll(store, u.inDoubtUntil) {
		s.core.AcquireKeys(0)
	}
	s.restoreKeys(store, records)
	return nil
}

// recordedAll says whether the process that is the cause of a doubt wrote all that
// it began to this store: it used it until its end, and would not have run
// anything without a record.
func (s *Server) recordedAll(store *keystore.Store, doubt int64) bool {
	last := store.LastUsed().Wall
	return doubt != 0 && last != 0 && last+storeFreshUS >= doubt-s.core.MaxWindow() && !s.cfg.Keys.AllowUnrecorded
}

// acquireKeys takes the keys over while the server runs: the store is opened beside
// the loop, and the keys are this process's once it is.
func (s *Server) acquireKeys(doubt int64) {
	if s.cfg.Keys.Folder == "" {
		s.ownershipTaken(doubt)
		return
	}
	if s.keys.opening || s.keys.worker != nil {
		return
	}
	s.keys.opening = true
	go func() {
		var store *keystore.Store
		var records []keystore.Record
		var err error
		for !s.ended.Load() {
			if store, records, err = s.openKeyStore(); !errors.Is(err, keystore.ErrInUse) {
				break
			}
			time.Sleep(keyStoreRetryInterval)
		}
		s.onLoop(func() { s.keyStoreOpened(store, records, err, doubt) })
	}()
}

func (s *Server) keyStoreOpened(store *keystore.Store, records []keystore.Record, err error, doubt int64) {
	s.keys.opening = false
	if err != nil {
		s.keys.openErr = err
		s.log.Error("keys are not kept", zap.Error(err))
		if s.cfg.Keys.AllowUnrecorded {
			s.ownershipTaken(max(doubt, now()+s.core.MaxWindow()))
		}
		return // keyed requests fail: what ran is not known
	}
	if s.recordedAll(store, doubt) {
		doubt = 0
	}
	s.restoreKeys(store, records)
	s.ownershipTaken(doubt)
}

// releaseKeyStore gives the store up, and calls then on the loop once all is written.
func (s *Server) releaseKeyStore(then func()) {
	w := s.keys.worker
	if w == nil {
		then()
		return
	}
	s.keys.worker = nil
	done := w.Close()
	go func() {
		<-done
		s.onLoop(func() {
			s.core.SetJournal(nil, false)
			then()
		})
	}()
}

// closeKeyStore writes what waits, at the end.
func (s *Server) closeKeyStore() {
	if s.keys.worker == nil {
		return
	}
	select {
	case <-s.keys.worker.Close():
	case <-time.After(keyStoreCloseTimeout):
		s.log.Warn("the store of keys has not taken its last records in time")
	}
}
