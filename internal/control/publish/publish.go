// Package publish is the role of the control machines: one of them originates
// versions, the others follow it and serve on when it, or its region, is gone.
// Each keeps a bounded log of deltas and a snapshot on disk, and serves any
// number of followers from the same log: none has a queue of its own.
package publish

import (
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/follow"
)

// Settings are what a Publisher needs to know.
type Settings struct {
	Name   string
	Region string
	Listen string
	Folder string             // of the log; needed
	Follow []follow.Publisher // whom it follows, the originator first; none = it originates
	Deltas int                // most deltas that the log holds; 0 = DefaultDeltas
	Bytes  int                // most bytes of them; 0 = DefaultBytes
	Seed   uint64
	Log    *zap.Logger
}

// The defaults of the log's bounds: some ten days of changes at the target's pace.
const (
	DefaultDeltas = 5_300
	DefaultBytes  = 32 << 20
)

// keepFollowers is how long one that is gone is still told of.
const keepFollowers = 10 * time.Minute
