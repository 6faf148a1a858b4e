package keystore

import (
	"strings"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// processFS is a file system whose write-ahead logs are never synced: what was
// written is in the system's hands and outlives the process, not the power.
type processFS struct{ vfs.FS }

func (f processFS) log(name string, file vfs.File, err error) (vfs.File, error) {
	if err != nil || !strings.HasSuffix(name, ".log") {
		return file, err
	}
	return unsynced{file}, nil
}

func (f processFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.Create(name, c)
	return f.log(name, file, err)
}

func (f processFS) ReuseForWrite(oldname, newname string, c vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.ReuseForWrite(oldname, newname, c)
	return f.log(newname, file, err)
}

func (f processFS) Unwrap() vfs.FS { return f.FS }

type unsynced struct{ vfs.File }

func (unsynced) Sync() error                { return nil }
func (unsynced) SyncData() error            { return nil }
func (unsynced) SyncTo(int64) (bool, error) { return false, nil }
