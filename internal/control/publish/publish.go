// Package publish implements the control machines. One of them, the originator,
// accepts new versions; the others, relays, follow it and keep serving when it, or
// its region, is unavailable. Each keeps a bounded log of deltas and a snapshot on
// disk, and serves any number of followers from that one log: no follower has a
// queue of its own.
//
// Guarantees: Publish returns when the version is on disk, safe against power loss,
// and in force on this machine. A version is never in force in part. A version that
// Publish refused is not in force; if the disk failed while it was written, the next
// Open may find it, whole. Open checks the whole log on disk: numbers, parents and
// digests.
//
// A folder belongs to one process; Open fails with ErrInUse for a second one. An
// originator whose disk has failed publishes nothing until it is restarted; a relay
// goes on from memory, since the originator has on disk what it passes on.
//
// A Publisher is safe for concurrent use.
package publish

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/follow"
)

// Settings configure a Publisher.
type Settings struct {
	Name      string // of the machine
	Region    string
	Listen    string            // host:port
	Folder    string            // of the log; required
	Upstreams []follow.Endpoint // the publishers that a relay follows, the originator first; none = this machine is the originator
	MaxDeltas int               // deltas in the log; 0 = DefaultMaxDeltas
	MaxBytes  int               // ... and their bytes; 0 = DefaultMaxBytes
	Seed      uint64            // of the relay's jitter
	Log       *zap.Logger
}

// The defaults of the log's bounds: about ten days of changes at the rate that the
// project is designed for.
const (
	DefaultMaxDeltas = 5_300
	DefaultMaxBytes  = 32 << 20
)

// The bounds on what is served at once and on what is remembered of disconnected
// followers.
const (
	MaxFollowers          = 2_048            // streams at once; one more is answered with status 503
	disconnectedRetention = 10 * time.Minute // how long a disconnected follower is still listed
	maxDisconnected       = 4_096            // ... and how many of them
	maxConns              = MaxFollowers + 256
	maxSnapshotWrites     = 64 // snapshots sent at once: when all followers start together, each gets its snapshot quickly, in turn
	maxBodyReads          = 4  // bodies of versions read at once, of protocol.MaxMessageBytes each at most
)

// The times of a Publisher, besides those of the protocol.
const (
	helloTimeout    = 5 * time.Second  // a stream without a Hello by then is closed
	ackTimeout      = 30 * time.Second // ... as is one that does not acknowledge a version for so long
	pingIdleTime    = 5 * time.Second  // an idle connection is pinged after so long
	pingTimeout     = 5 * time.Second  // ... and closed without an answer by then
	bodyTimeout     = 30 * time.Second // for the body of a version to arrive
	responseTimeout = 10 * time.Second // for a response to be written
	shutdownTimeout = 2 * time.Second  // for responses under way when the machine shuts down
	retryAfterS     = 2                // seconds, with status 503
)

// The errors of Open, Publish and the Client, to be compared with errors.Is.
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
