package server

import (
	"context"
	"time"

	"kiteslip/internal/control/follow"
	"kiteslip/internal/metrics"
	"kiteslip/internal/ops"
)

// followerExitTimeout is how long the process waits for the follower at its end.
// Nothing is lost if the follower does not finish: it sent its last message after
// the shutdown notice, and the file that it writes is replaced as a whole.
const followerExitTimeout = 100 * time.Millisecond

// control holds the follower that receives the fleet's configuration versions. It
// runs outside the loop; without one there is no goroutine and no work on the loop.
type control struct {
	follower *follow.Follower
	cancel   context.CancelFunc
	done     chan struct{}
}

// Follow makes the server apply the versions that f receives, from Serve on until
// the shutdown notice. The server must have been created with the document that
// f.InitialVersion returned.
func (s *Server) Follow(f *follow.Follower) { s.control.follower = f }

// startFollower runs the follower outside the loop.
func (s *Server) startFollower() {
	c := &s.control
	if c.follower == nil {
		return
	}
	ctx, end := context.WithCancel(s.runCtx)
	c.cancel, c.done = end, make(chan struct{})
	go func() {
		defer close(c.done)
		c.follower.Run(ctx, s.applyVersion)
	}()
}

// stopFollower ends the follower, which then announces that the server is shutting
// down; no version is applied from here on.
func (s *Server) stopFollower() {
	if s.control.cancel != nil {
		s.control.cancel()
	}
}

// waitForFollower ends the follower and waits for it for a limited time.
func (c *control) waitForFollower() {
	if c.cancel == nil {
		return
	}
	c.cancel()
	late := time.NewTimer(followerExitTimeout)
	defer late.Stop()
	select {
	case <-c.done:
	case <-late.C:
	}
}

// showVersion answers the admin command that asks for the version in force.
func (s *Server) showVersion() []byte {
	if s.control.follower == nil {
		return ops.ErrorReply("no [control]: the file's own teams and services are in force")
	}
	st := s.control.follower.State()
	return ops.VersionReply(&ops.VersionState{Number: st.Number, Digest: st.Digest, Source: string(st.Source), Publisher: st.Publisher,
		AgeMS: st.OriginatorSilence.Milliseconds(), LagMS: st.Lag.Milliseconds(), RefusalReason: st.RefusalReason, Fork: st.Fork, Applied: st.Applied,
		Snapshots: st.Snapshots, Switches: st.Switches, SentBytes: st.SentBytes, ReceivedBytes: st.ReceivedBytes})
}

// controlMetrics returns the metrics of the version in force; nil = the server
// follows no versions.
func (s *Server) controlMetrics() *metrics.Control {
	if s.control.follower == nil {
		return nil
	}
	st := s.control.follower.State()
	return &metrics.Control{Version: int(st.Number), AgeMS: int(st.OriginatorSilence.Milliseconds()), LagMS: int(st.Lag.Milliseconds()),
		Connected: st.Publisher != "", Refused: st.RefusalReason != "", Fork: st.Fork, Applied: st.Applied, Snapshots: st.Snapshots,
		Switches: st.Switches, SentBytes: int(st.SentBytes), ReceivedBytes: int(st.ReceivedBytes)}
}
