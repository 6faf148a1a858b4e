package follow

import (
	"context"
	"errors"

	"kiteslip/internal/control/document"
)

// Follower is one server's side. First and Run are called by one goroutine, State by any.
type Follower struct{ set Settings }

// New returns a Follower that has read what its folder keeps. An error names
// the setting at fault; a folder that cannot be read is none: it is logged and told.
func New(set Settings) (*Follower, error) { return nil, errors.New("follow: not built yet") }

// First waits for the first version, for Settings.Wait at most, and returns the
// document to start by: the publisher's, else the one kept, else nil.
func (f *Follower) First(ctx context.Context) (*document.Document, Origin) { return nil, FromNone }

// Run follows until ctx ends, then says that the server leaves. It applies each
// version that comes after the one that First returned.
func (f *Follower) Run(ctx context.Context, apply Apply) {}

// State tells how things are.
func (f *Follower) State() State { return State{} }
