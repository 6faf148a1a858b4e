// Package follow keeps a server on the version that is in force in its fleet. It
// runs beside the server's loop and holds one stream to a publisher, preferably of
// the server's own region, chosen by rendezvous hashing. It switches to another one
// with full jitter when the current one fails, times out, or has lost the originator
// while others have not. Missing versions arrive as deltas, and as a snapshot only
// where the publisher's log no longer reaches back far enough.
//
// The loss of all publishers changes nothing: the last version stays in force, and
// is stored on disk where a folder is configured.
package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/document"
)

// Endpoint is the address of one control machine.
type Endpoint struct {
	Address string `json:"Address"`
	Region  string `json:"Region"`
}

// Settings configure a Follower.
type Settings struct {
	Name        string // of the server
	Region      string
	Publishers  []Endpoint
	Folder      string             // where the version in force is stored; "" = nowhere
	InitialWait time.Duration      // how long InitialVersion waits for a publisher
	Seed        uint64             // of the jitter
	Relay       bool               // it follows on behalf of a relay, not of a server: the first of Publishers is the originator
	InForce     *document.Document // already in force, where it is stored elsewhere than in Folder; nil = nothing
	Log         *zap.Logger
}

// Source says where the version in force came from.
type Source string

// The sources of a version.
const (
	SourceNone      Source = "none"      // no version is in force: the server uses its own file
	SourceFolder    Source = "folder"    // read from the folder
	SourcePublisher Source = "publisher" // received from, or confirmed by, a publisher
)

// State is what the admin endpoint and the logs show of a Follower.
type State struct {
	Number            uint64
	Digest            document.Digest
	Source            Source
	Publisher         string        // address of the publisher that is followed; "" = none
	OriginatorSilence time.Duration // since the originator was last heard, as publishers report it: the age of the version
	Lag               time.Duration // since a version that is not in force here was first announced; 0 = current
	RefusalReason     string        // why the version received last is not in force
	Fork              bool
	Applied           int   // versions applied since Run began
	Snapshots         int   // versions received as snapshots
	Switches          int   // changes of publisher
	SentBytes         int64 // since New, over all streams
	ReceivedBytes     int64
}

// Apply puts a version in force, and returns when that is done or the version is
// refused. delta is the step from the version in force, or nil where the server must
// take doc as a whole. It is called by one goroutine, one version after the other.
// An error leaves the previous version in force, and its text is sent to the
// publisher.
type Apply func(ctx context.Context, doc *document.Document, delta *document.Delta) error
