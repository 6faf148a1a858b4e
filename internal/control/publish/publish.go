// Package publish is the role of the control machines: one of them originates
// versions, the others follow it and serve on when it, or its region, is gone.
// Each keeps a bounded log of deltas and a snapshot on disk, and serves any
// number of followers from the same log: none has a queue of its own.
//
// What is promised. Publish returns when the version is on disk, safe against
// the loss of power, and in force here. A version is never in force in part. One
// that Publish refused is not in force; where the disk failed while it was
// written it may be found there by the next Open, whole. What the disk holds is
// checked by Open from one end to the other: numbers, parents and digests.
//
// A folder belongs to one process; Open fails with ErrInUse for a second one. An
// originator whose disk has failed publishes nothing until it is started anew; a
// relay goes on from memory, since the originator has on disk what it passes on.
//
// The Publisher is safe for use by several goroutines.
package publish

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/follow"
)

// Settings are what a Publisher needs to know.
type Settings struct {
	Name      string
	Region    string
	Listen    string
	Folder    string            // of the log; needed
	Upstreams []follow.Endpoint // whom it follows, the originator first; none = it originates
	MaxDeltas int               // most deltas that the log holds; 0 = DefaultDeltas
	MaxBytes  int               // most bytes of them; 0 = DefaultBytes
	Seed      uint64
	Log       *zap.Logger
}

// The defaults of the log's bounds: some ten days of changes at the target's pace.
const (
	DefaultMaxDeltas = 5_300
	DefaultMaxBytes  = 32 << 20
)

// The bounds on what is served at once and on what is kept of those that are gone.
const (
	MaxFollowers          = 2_048            // streams; one more is answered 503
	disconnectedRetention = 10 * time.Minute // how long one that is gone is still told of
	maxDisconnected       = 4_096            // ... and how many of them
	maxConns              = MaxFollowers + 256
	maxSnapshotWrites     = 64 // snapshots written at once: where all start together each is taken quickly, in its turn
	maxBodyReads          = 4  // bodies of versions read at once, each of protocol.MostMessage at most
)

// The times that a Publisher keeps to, besides those of the protocol.
const (
	helloTimeout    = 5 * time.Second  // a stream that has not said who it is by then is cut off
	ackTimeout      = 30 * time.Second // ... as is one that says nothing to what it was sent for so long
	pingIdleTime    = 5 * time.Second  // a connection that is silent for so long is asked whether it is there
	pingTimeout     = 5 * time.Second  // ... and closed without an answer
	bodyTimeout     = 30 * time.Second // a version is read whole by then
	responseTimeout = 10 * time.Second // a page is taken by whoever asked for it by then
	shutdownTimeout = 2 * time.Second  // answers under way have this long to end when the machine leaves
	retryAfterS     = 2                // seconds, to those who are turned away
)

// Errors of Open, Publish and the Client, to be compared with errors.Is.
var (
	ErrInUse          = errors.New("publish: another process uses the folder")
	ErrUnknownFormat  = errors.New("publish: the folder is no log of versions")
	ErrCorrupt        = errors.New("publish: the log is damaged")
	ErrDiskFailed     = errors.New("publish: the log cannot be written") // until the next start
	ErrNotOriginator  = errors.New("publish: this machine does not originate versions")
	ErrBaseMismatch   = errors.New("publish: the base is not the version in force")
	ErrNoChange       = errors.New("publish: nothing differs from the version in force")
	ErrInvalidChanges = errors.New("publish: the changes are refused")
	ErrBusy           = errors.New("publish: too much at once")
)
