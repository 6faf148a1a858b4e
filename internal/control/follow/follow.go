// Package follow keeps a server on the version that its fleet serves by. It runs
// beside the server's loop: one standing stream to a publisher, the server's own
// region first, chosen among several by rendezvous hashing; another with full
// jitter when that one fails, falls silent or has lost the originator while
// others have not. What it lacks comes as deltas, as a snapshot only where the
// publisher's log no longer reaches back.
//
// Loss of all publishers changes nothing: the last version stays in force, and
// is kept on disk where there is a folder.
package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/document"
)

// Endpoint is where one control machine listens.
type Endpoint struct {
	Address string `json:"Address"`
	Region  string `json:"Region"`
}

// Settings are what a Follower needs to know.
type Settings struct {
	Name        string // of the server
	Region      string
	Publishers  []Endpoint
	Folder      string             // where the version in force is kept; "" = nowhere
	InitialWait time.Duration      // how long First waits for a publisher
	Seed        uint64             // of the jitter
	Relay       bool               // it follows for a publisher, not for a server: the first of Publishers is the originator
	InForce     *document.Document // in force already, where what is in force is kept elsewhere than in Folder; nil = nothing
	Log         *zap.Logger
}

// Source says where the version in force came from.
type Source string

// The origins.
const (
	SourceNone      Source = "none"      // nothing is in force: the server's own file holds
	SourceFolder    Source = "folder"    // as it was kept
	SourcePublisher Source = "publisher" // as it was sent
)

// State is what the operators' door and logs tell.
type State struct {
	Number            uint64
	Digest            document.Digest
	Source            Source
	Publisher         string        // the address of the stream that stands; "" = none
	OriginatorSilence time.Duration // since the originator was last heard, by what publishers say: the version's age
	Lag               time.Duration // since a version that is not in force here was first told of; 0 = current
	RefusalReason     string        // why the version that came last is not in force
	Fork              bool
	Applied           int   // versions taken over since Run began
	Snapshots         int   // versions that came whole
	Switches          int   // changes of publisher
	SentBytes         int64 // bytes, both ways, since the start
	ReceivedBytes     int64
}

// Apply takes a version over, and returns when it is in force or refused. delta is
// the step from the version in force, nil where the document came whole. It is
// called by one goroutine, one version after the other. An error leaves the
// version before in force, and its text goes to the publisher.
type Apply func(ctx context.Context, doc *document.Document, delta *document.Delta) error
