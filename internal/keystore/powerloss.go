package keystore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// SimulatePowerLoss rehearses one loss of power on an emulated disk: a store takes
// commits until, at some write or sync, the power goes, and any part of what was
// not synced is lost. It returns an error if something that was acknowledged is
// missing, or anything is there that was never written.
func SimulatePowerLoss(seed uint64) error { return powerLoss(seed, SurvivePowerLoss) }

// cutFS cuts the power at its nth write or sync: it keeps what a disk would.
type cutFS struct {
	vfs.FS
	left atomic.Int64
	cut  func()
}

func (f *cutFS) step() {
	if f.left.Add(-1) == 0 {
		f.cut()
	}
}

func (f *cutFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.Create(name, c)
	return &cutFile{file, f}, err
}

func (f *cutFS) ReuseForWrite(oldname, newname string, c vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.ReuseForWrite(oldname, newname, c)
	return &cutFile{file, f}, err
}

type cutFile struct {
	vfs.File
	fs *cutFS
}

func (f *cutFile) Write(p []byte) (int, error) {
	f.fs.step()
	return f.File.Write(p)
}

func (f *cutFile) Sync() error {
	f.fs.step()
	return f.File.Sync()
}

func (f *cutFile) SyncData() error {
	f.fs.step()
	return f.File.SyncData()
}

func (f *cutFile) SyncTo(n int64) (bool, error) {
	f.fs.step()
	return f.File.SyncTo(n)
}

func powerLoss(seed uint64, durability Durability) error {
	rng := rand.New(rand.NewPCG(seed, 9))
	mem := vfs.NewCrashableMem()
	const epoch, window = int64(1e15), int64(60e6)
	moment := func(i int) ClockReading {
		return ClockReading{Wall: epoch + int64(i)*1000, Uptime: int64(i)*1000 + 1e6, BootID: 5}
	}
	type state struct{ begun, over bool }
	acknowledged, written := map[string]state{}, map[string]state{}
	var after *vfs.MemFS
	var sure map[string]state // as of the cut
	disk := &cutFS{FS: mem}
	lost := rng.IntN(101)
	cloned := rand.New(rand.NewPCG(seed, 10))
	snapshot := func() map[string]state {
		m := make(map[string]state, len(acknowledged))
		for k, v := range acknowledged {
			m[k] = v
		}
		return m
	}
	disk.left.Store(1 << 40)
	s, err := Open(Options{Folder: "keys", FS: disk, Durability: durability, Now: moment(0)})
	if err != nil {
		return err
	}
	// The cut may come in a goroutine of the database: it looks at the sure state
	// that was last stored before the commit under way began.
	var stable atomic.Pointer[map[string]state]
	none := snapshot()
	stable.Store(&none)
	disk.cut = func() {
		sure = *stable.Load()
		after = mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: lost, RNG: cloned})
	}
	disk.left.Store(1 + rng.Int64N(400))
	result := func(key string) string { return "result of " + key }
	for i := 0; i < 300 && disk.left.Load() > 0; i++ {
		var ops []Op
		for range 1 + rng.IntN(4) {
			key := fmt.Sprint("k", rng.IntN(200))
			r := Record{Class: "c", Key: key, TryID: "n", Arrived: epoch, WindowEnd: epoch + window}
			if w := written[key]; w.begun {
				r.Finished, r.Outcome, r.Result = true, 1, []byte(result(key))
			}
			written[key] = state{true, r.Finished}
			ops = append(ops, Op{Record: r})
		}
		if err := s.Commit(moment(i), ops); err != nil {
			return err
		}
		for i := range ops {
			acknowledged[ops[i].Record.Key] = state{true, ops[i].Record.Finished}
		}
		now := snapshot()
		stable.Store(&now)
	}
	if err := s.Close(); err != nil {
		return err
	}
	if after == nil { // the power held until the end: lose it now
		disk.cut()
	}
	s, err = Open(Options{Folder: "keys", FS: after, Now: moment(1000)})
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
	for key, was := range sure {
		if r, there := found[key]; !there || was.over && !r.Finished {
			return errors.Join(s.Close(), fmt.Errorf("key %s was acknowledged, and is lost", key))
		}
	}
	for key, r := range found {
		if !written[key].begun || r.Finished && string(r.Result) != result(key) {
			return errors.Join(s.Close(), fmt.Errorf("key %s: %+v was never written", key, r))
		}
	}
	return s.Close()
}
