package server

import (
	"context"
	"time"

	"kiteslip/internal/control/follow"
	"kiteslip/internal/metrics"
	"kiteslip/internal/ops"
)

// followerExitTimeout is how long the end of the process waits for the follower's: its
// last word was said at the notice to leave, and the file it writes is replaced
// as a whole, so that nothing is lost with it.
const followerExitTimeout = 100 * time.Millisecond

// control is what a server has of the fleet's versions: a follower that runs
// beside the loop. Without one there is no goroutine, and nothing on the loop asks for it.
type control struct {
	follower *follow.Follower
	cancel   context.CancelFunc
	done     chan struct{}
}

// Follow has the server take over the versions that f brings, from Serve on until
// the notice to leave. The server was made with the document that f.First returned.
func (s *Server) Follow(f *follow.Follower) { s.control.follower = f }

// startFollower runs the follower beside the loop.
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

// stopFollower takes no version from here on, and has the follower say that the
// server leaves.
func (s *Server) stopFollower() {
	if s.control.cancel != nil {
		s.control.cancel()
	}
}

// waitForFollower waits for the follower's end, for a moment.
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

// showVersion answers the operators' door.
func (s *Server) showVersion() []byte {
	if s.control.follower == nil {
		return ops.ErrorReply("no [control]: the file's own teams and services are in force")
	}
	st := s.control.follower.State()
	return ops.VersionReply(&ops.VersionState{Number: st.Number, Digest: st.Digest, Source: string(st.Source), Publisher: st.Publisher,
		AgeMS: st.OriginatorSilence.Milliseconds(), LagMS: st.Lag.Milliseconds(), RefusalReason: st.RefusalReason, Fork: st.Fork, Applied: st.Applied,
		Snapshots: st.Snapshots, Switches: st.Switches, SentBytes: st.SentBytes, ReceivedBytes: st.ReceivedBytes})
}

// controlMetrics are those of the version in force; nil = control is off.
func (s *Server) controlMetrics() *metrics.Control {
	if s.control.follower == nil {
		return nil
	}
	st := s.control.follower.State()
	return &metrics.Control{Version: int(st.Number), AgeMS: int(st.OriginatorSilence.Milliseconds()), LagMS: int(st.Lag.Milliseconds()),
		Connected: st.Publisher != "", Refused: st.RefusalReason != "", Fork: st.Fork, Applied: st.Applied, Snapshots: st.Snapshots,
		Switches: st.Switches, SentBytes: int(st.SentBytes), ReceivedBytes: int(st.ReceivedBytes)}
}
