package keystore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// SimulatePowerLoss simulates one loss of power on an emulated disk: a store
// commits until the power fails at some write or sync, and any part of what was
// not synced is lost. It returns an error if something acknowledged is missing, or
// something is present that was never written.
func SimulatePowerLoss(seed uint64) error { return simulatePowerLoss(seed, SurvivePowerLoss) }

// powerLossFS calls powerOff at a given write or sync.
type powerLossFS struct {
	vfs.FS
	opsLeft  atomic.Int64
	powerOff func()
}

// countOp counts one write or sync and calls powerOff at the chosen one.
func (f *powerLossFS) countOp() {
	if f.opsLeft.Add(-1) == 0 {
		f.powerOff()
	}
}

func (f *powerLossFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.Create(name, c)
	return &powerLossFile{file, f}, err
}

func (f *powerLossFS) ReuseForWrite(oldname, newname string, c vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.ReuseForWrite(oldname, newname, c)
	return &powerLossFile{file, f}, err
}

// powerLossFile counts the writes and syncs of a file.
type powerLossFile struct {
	vfs.File
	fs *powerLossFS
}

func (f *powerLossFile) Write(p []byte) (int, error) {
	f.fs.countOp()
	return f.File.Write(p)
}

func (f *powerLossFile) Sync() error {
	f.fs.countOp()
	return f.File.Sync()
}

func (f *powerLossFile) SyncData() error {
	f.fs.countOp()
	return f.File.SyncData()
}

func (f *powerLossFile) SyncTo(n int64) (bool, error) {
	f.fs.countOp()
	return f.File.SyncTo(n)
}

// simulatePowerLoss is SimulatePowerLoss with a given durability.
func simulatePowerLoss(seed uint64, durability Durability) error {
	rng := rand.New(rand.NewPCG(seed, 9))
	mem := vfs.NewCrashableMem()
	const epoch, window = int64(1e15), int64(60e6)
	reading := func(i int) ClockReading {
		return ClockReading{Wall: epoch + int64(i)*1000, Uptime: int64(i)*1000 + 1e6, BootID: 5}
	}
	type state struct{ started, finished bool }
	acknowledged, written := map[string]state{}, map[string]state{}
	var after *vfs.MemFS
	var acknowledgedAtLoss map[string]state // acknowledged when the power failed
	disk := &powerLossFS{FS: mem}
	unsyncedPercent := rng.IntN(101)
	cloneRNG := rand.New(rand.NewPCG(seed, 10))
	snapshot := func() map[string]state {
		m := make(map[string]state, len(acknowledged))
		for k, v := range acknowledged {
			m[k] = v
		}
		return m
	}
	disk.opsLeft.Store(1 << 40)
	s, err := Open(Options{Folder: "keys", FS: disk, Durability: durability, Now: reading(0)})
	if err != nil {
		return err
	}
	// The power may fail in a goroutine of the database, which reads the
	// state acknowledged before the current commit.
	var lastAcknowledged atomic.Pointer[map[string]state]
	initial := snapshot()
	lastAcknowledged.Store(&initial)
	disk.powerOff = func() {
		acknowledgedAtLoss = *lastAcknowledged.Load()
		after = mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: unsyncedPercent, RNG: cloneRNG})
	}
	disk.opsLeft.Store(1 + rng.Int64N(400))
	result := func(key string) string { return "result of " + key }
	for i := 0; i < 300 && disk.opsLeft.Load() > 0; i++ {
		var ops []Op
		for range 1 + rng.IntN(4) {
			key := fmt.Sprint("k", rng.IntN(200))
			r := Record{Class: "c", Key: key, TryID: "n", Arrived: epoch, WindowEnd: epoch + window}
			if w := written[key]; w.started {
				r.Finished, r.Outcome, r.Result = true, 1, []byte(result(key))
			}
			written[key] = state{true, r.Finished}
			ops = append(ops, Op{Record: r})
		}
		if err := s.Commit(reading(i), ops); err != nil {
			return err
		}
		for i := range ops {
			acknowledged[ops[i].Record.Key] = state{true, ops[i].Record.Finished}
		}
		now := snapshot()
		lastAcknowledged.Store(&now)
	}
	if err := s.Close(); err != nil {
		return err
	}
	if after == nil { // the power has not failed yet: it fails now
		disk.powerOff()
	}
	s, err = Open(Options{Folder: "keys", FS: after, Now: reading(1000)})
	if err != nil {
		return fmt.Errorf("after the loss: %w", err)
	}
	found := map[string]Record{}
	list, err := s.Load(epoch)
	if err != nil {
		return fmt.Errorf("after the loss: %w", err)
	}
	for _, r := range list {
		found[r.Key] = r
	}
	for key, was := range acknowledgedAtLoss {
		if r, there := found[key]; !there || was.finished && !r.Finished {
			return errors.Join(s.Close(), fmt.Errorf("key %s was acknowledged and is lost", key))
		}
	}
	for key, r := range found {
		if !written[key].started || r.Finished && string(r.Result) != result(key) {
			return errors.Join(s.Close(), fmt.Errorf("key %s: %+v was never written", key, r))
		}
	}
	return s.Close()
}
