package keystore

import (
	"strings"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// processFS is a file system whose write-ahead logs are never synced: what was
// written is in the operating system's cache, and survives the end of the process
// but not the loss of power.
type processFS struct{ vfs.FS }

// wrapLog makes file unsynced if it is a write-ahead log.
func (f processFS) wrapLog(name string, file vfs.File, err error) (vfs.File, error) {
	if err != nil || !strings.HasSuffix(name, ".log") {
		return file, err
	}
	return unsyncedFile{file}, nil
}

func (f processFS) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.Create(name, c)
	return f.wrapLog(name, file, err)
}

func (f processFS) ReuseForWrite(oldname, newname string, c vfs.DiskWriteCategory) (vfs.File, error) {
	file, err := f.FS.ReuseForWrite(oldname, newname, c)
	return f.wrapLog(newname, file, err)
}

func (f processFS) Unwrap() vfs.FS { return f.FS }

// unsyncedFile is a file whose syncs do nothing.
type unsyncedFile struct{ vfs.File }

func (unsyncedFile) Sync() error                { return nil }
func (unsyncedFile) SyncData() error            { return nil }
func (unsyncedFile) SyncTo(int64) (bool, error) { return false, nil }
