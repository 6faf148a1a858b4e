package follow

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// stalledHeartbeats is how many beats in a row may tell of a newer version while none
// of it comes: more, and the publisher withholds it.
const stalledHeartbeats = 2

// handleMessage takes in one record of the publisher that is followed.
func (f *Follower) handleMessage(ctx context.Context, r *protocol.PublisherMessage) {
	s := f.active
	if !s.established {
		f.noteEstablished(s)
	}
	switch {
	case r.Heartbeat != nil && r.Delta == nil && r.Snapshot == nil:
		f.handleHeartbeat(r.Heartbeat)
	case r.Delta != nil && r.Snapshot == nil && r.Heartbeat == nil:
		s.ahead = 0
		f.handleDelta(ctx, r.Delta)
	case r.Snapshot != nil && r.Delta == nil && r.Heartbeat == nil:
		s.ahead = 0
		f.handleSnapshot(ctx, r.Snapshot)
	default:
		f.handleInvalid(errors.New("a record that has not one part"))
	}
}

// handleHeartbeat takes in the publisher's word that it is there.
func (f *Follower) handleHeartbeat(b *protocol.Heartbeat) {
	unheard := time.Duration(min(max(b.OriginatorSilenceMS, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	f.selector.originatorSilence(f.now(), unheard)
	number := f.inForce.Header().Number
	f.mu.Lock()
	if at := time.Now().Add(-unheard); f.originatorUnknown || at.After(f.originatorHeard) {
		f.originatorHeard, f.originatorUnknown = at, false
	}
	f.mu.Unlock()
	switch {
	case b.Number == 0:
		f.current = number == 0 && b.OriginatorSilenceMS == 0
	case b.Number == number && b.Digest != f.inForce.Digest():
		f.handleFork(b.Number, b.Digest)
	case b.Number == number:
		f.caughtUp(unheard < protocol.OriginatorTimeout)
	case b.Number > number:
		f.noteAnnounced(b.Number)
		// A publisher that takes our version for one of two with its number sends beats alone.
		if b.Number > f.latest.Header().Number {
			if f.active.ahead++; f.active.ahead >= stalledHeartbeats {
				f.active.ahead = 0
				f.noteFork(zap.String("why", "the publisher is ahead and sends nothing: it has another version with our number"),
					zap.Uint64("version", number), zap.Stringer("digest", f.inForce.Digest()), zap.Uint64("theirs", b.Number))
			}
		}
	}
}

// caughtUp notes that the publisher and we are on one version. Where it hears the
// originator there is none after it, whatever another has told.
func (f *Follower) caughtUp(hears bool) {
	f.current = true
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Fork = false
	if f.apply == nil && f.state.Source == SourceFolder {
		f.state.Source = SourcePublisher // it confirms what was kept
	}
	if hears && f.latest == f.inForce {
		f.announced = f.state.Number
	}
	if f.announced <= f.state.Number {
		f.laggingSince, f.state.RefusalReason = time.Time{}, ""
	}
}

// noteAnnounced notes that there is a version that is not in force here.
func (f *Follower) noteAnnounced(number uint64) {
	f.announced = max(f.announced, number)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.laggingSince.IsZero() {
		f.laggingSince = time.Now()
	}
}

// handleDelta takes in a step from one version to the next.
func (f *Follower) handleDelta(ctx context.Context, text []byte) {
	d, err := document.DecodeDelta(text)
	if err != nil {
		f.handleInvalid(err)
		return
	}
	number, digest := d.Header.Number, d.Header.Digest()
	if f.alreadyHandled(number, digest) {
		return
	}
	f.noteAnnounced(number)
	// What follows a version that was refused here is made of that one, and taken over whole.
	base := f.inForce
	if d.Header.Parent != base.Digest() || number != base.Header().Number+1 {
		base = f.latest
	}
	doc, err := base.Apply(d)
	switch {
	case errors.Is(err, document.ErrFork):
		f.handleFork(number, digest)
		return
	case errors.Is(err, document.ErrParentMismatch):
		f.handleGap(number)
		return
	case err != nil:
		f.handleInvalid(fmt.Errorf("version %d %v: %w", number, digest, err))
		return
	}
	if base != f.inForce || base.Header().Number == 0 && !f.set.Relay {
		d = nil
	}
	f.putInForce(ctx, doc, d, text, false)
}

// handleSnapshot takes in a whole version.
func (f *Follower) handleSnapshot(ctx context.Context, text []byte) {
	doc, err := document.DecodeSnapshot(text)
	if err != nil {
		f.handleInvalid(err)
		return
	}
	h := doc.Header()
	if f.alreadyHandled(h.Number, doc.Digest()) {
		return
	}
	f.noteAnnounced(h.Number)
	if in := f.inForce.Header(); in.Number > 0 && h.Number == in.Number+1 && h.Parent != f.inForce.Digest() {
		f.log.Error("control: the version comes whole, and its parent is not the one in force: there were two with one number",
			zap.Uint64("version", h.Number), zap.Stringer("parent", h.Parent), zap.Stringer("digest", f.inForce.Digest()))
	}
	f.mu.Lock()
	f.state.Snapshots++
	f.mu.Unlock()
	f.putInForce(ctx, doc, nil, text, true)
}

// alreadyHandled says whether there is nothing to be done for a version: it is older than
// what is in force, it is in force, another with its number is, or it was refused.
func (f *Follower) alreadyHandled(number uint64, digest document.Digest) bool {
	in := f.inForce.Header().Number
	switch {
	case number == in && number > 0 && digest != f.inForce.Digest():
		f.handleFork(number, digest)
		return true
	case number <= in:
		return true
	case number <= f.latest.Header().Number && (number < f.latest.Header().Number || digest == f.latest.Digest()):
		if !f.active.refusalSent { // a stream that has come since is told once, too
			f.active.refusalSent = true
			f.sendAck(f.active)
		}
		return true
	}
	return false
}

// handleGap notes a delta on a version that is not in force here: what lies between is
// asked for at once, and of another publisher where that brings nothing.
func (f *Follower) handleGap(number uint64) {
	s := f.active
	if f.gaps++; f.gaps > 1 {
		f.gaps = 0
		f.disconnect(fmt.Sprintf("version %d comes without what lies between, twice", number), false)
		return
	}
	f.active = nil
	s.end(nil)
	f.selector.retry(s.publisher)
	f.log.Warn("control: a version on another parent: what lies between is asked for", zap.Uint64("version", number),
		zap.Uint64("in_force", f.inForce.Header().Number), zap.String("publisher", f.set.Publishers[s.publisher].Address))
}

// handleInvalid refuses what nobody can act on, and leaves its sender.
func (f *Follower) handleInvalid(err error) {
	f.mu.Lock()
	f.state.RefusalReason = err.Error()
	f.mu.Unlock()
	f.log.Error("control: what came is refused", zap.String("publisher", f.set.Publishers[f.active.publisher].Address), zap.Error(err))
	f.disconnect(err.Error(), true)
}

// handleFork notes another version with the number of the one in force: that stays.
func (f *Follower) handleFork(number uint64, digest document.Digest) {
	f.noteFork(zap.Uint64("version", number), zap.Stringer("digest", f.inForce.Digest()), zap.Stringer("theirs", digest))
}

func (f *Follower) noteFork(fields ...zap.Field) {
	f.current = true // nothing better comes of this publisher
	f.mu.Lock()
	news := !f.state.Fork
	f.state.Fork = true
	f.mu.Unlock()
	if news {
		f.sendAck(f.active)
	}
	if now := f.now(); now >= f.nextForkLog {
		f.nextForkLog = now + forkLogInterval
		f.log.Error("control: FORK: two versions with one number; the one in force stays",
			append(fields, zap.String("publisher", f.set.Publishers[f.active.publisher].Address))...)
	}
}

// putInForce puts a version in force, or notes why it is not. delta is nil where
// the server is to take it over whole; text is what came, the version whole or a delta.
func (f *Follower) putInForce(ctx context.Context, doc *document.Document, delta *document.Delta, text []byte, whole bool) {
	h, began := doc.Header(), time.Now()
	if f.apply != nil {
		if err := f.apply(ctx, doc, delta); err != nil {
			if ctx.Err() == nil {
				f.noteRefused(doc, err)
			}
			return
		}
	}
	f.gaps = 0
	f.inForce, f.latest = doc, doc
	f.noteInForce(doc, SourcePublisher)
	if f.apply == nil {
		f.current = h.Number >= f.announced
		return
	}
	f.store.save(f.now(), doc, !whole, text)
	f.sendAck(f.active)
	changes := -1
	if delta != nil {
		changes = len(delta.Changes)
	}
	f.log.Info("control: version in force", zap.Uint64("version", h.Number), zap.Stringer("digest", doc.Digest()),
		zap.Int("changes", changes), zap.String("author", h.Author), zap.String("reason", h.Reason),
		zap.Int64("age_ms", time.Since(time.UnixMicro(h.Time)).Milliseconds()),
		zap.Int64("taking_ms", time.Since(began).Milliseconds()))
}

// noteInForce notes the version in force.
func (f *Follower) noteInForce(doc *document.Document, origin Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForce = doc
	f.state.Number, f.state.Digest, f.state.Source = doc.Header().Number, doc.Digest(), origin
	f.state.RefusalReason, f.state.Fork = "", false
	if f.apply != nil {
		f.state.Applied++
	}
	if doc.Header().Number >= f.announced {
		f.laggingSince = time.Time{}
	}
}

// noteRefused notes that the server cannot serve by a version: the one before stays,
// and what comes next is tried whole.
func (f *Follower) noteRefused(doc *document.Document, err error) {
	f.latest = doc
	f.mu.Lock()
	f.state.RefusalReason = err.Error()
	f.mu.Unlock()
	f.log.Error("control: the version is refused", zap.Uint64("version", doc.Header().Number), zap.Stringer("digest", doc.Digest()),
		zap.Uint64("in_force", f.inForce.Header().Number), zap.Error(err))
	f.active.refusalSent = true
	f.sendAck(f.active)
}

// currentAck is what we say of the version in force.
func (f *Follower) currentAck() protocol.Ack {
	f.mu.Lock()
	defer f.mu.Unlock()
	refused := f.state.RefusalReason
	if len(refused) > document.MaxTextBytes {
		refused = refused[:document.MaxTextBytes]
	}
	return protocol.Ack{Number: f.inForce.Header().Number, Digest: f.digest(), RefusalReason: refused, Fork: f.state.Fork}
}

func (f *Follower) sendAck(s *stream) {
	word := f.currentAck()
	s.outgoing.send(&protocol.FollowerMessage{Ack: &word})
}
