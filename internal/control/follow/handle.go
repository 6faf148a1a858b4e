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

// stalledHeartbeats is how many heartbeats in a row announce a newer version,
// without anything else arriving, until the publisher is taken to withhold that
// version.
const stalledHeartbeats = 2

// handleMessage handles one message of the active publisher.
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

// handleHeartbeat updates the originator's silence and compares the publisher's
// version with ours.
func (f *Follower) handleHeartbeat(b *protocol.Heartbeat) {
	silence := time.Duration(min(max(b.OriginatorSilenceMS, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	f.selector.originatorSilence(f.now(), silence)
	number := f.inForce.Header().Number
	f.mu.Lock()
	if at := time.Now().Add(-silence); f.originatorUnknown || at.After(f.originatorHeard) {
		f.originatorHeard, f.originatorUnknown = at, false
	}
	f.mu.Unlock()
	switch {
	case b.Number == 0:
		f.current = number == 0 && b.OriginatorSilenceMS == 0
	case b.Number == number && b.Digest != f.inForce.Digest():
		f.handleFork(b.Number, b.Digest)
	case b.Number == number:
		f.caughtUp(silence < protocol.OriginatorTimeout)
	case b.Number > number:
		f.noteAnnounced(b.Number)
		// A publisher that sees a fork at our version sends heartbeats alone.
		if b.Number > f.latest.Header().Number {
			if f.active.ahead++; f.active.ahead >= stalledHeartbeats {
				f.active.ahead = 0
				f.noteFork(zap.String("why", "the publisher is ahead and sends heartbeats alone: it has another version with this number"),
					zap.Uint64("version", number), zap.Stringer("digest", f.inForce.Digest()), zap.Uint64("theirs", b.Number))
			}
		}
	}
}

// caughtUp records that the publisher and this follower are on the same version. If
// the publisher hears the originator, there is no newer version, whatever another
// publisher announced.
func (f *Follower) caughtUp(hearsOriginator bool) {
	f.current = true
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Fork = false
	if f.apply == nil && f.state.Source == SourceFolder {
		f.state.Source = SourcePublisher // the stored version is confirmed
	}
	if hearsOriginator && f.latest == f.inForce {
		f.announced = f.state.Number
	}
	if f.announced <= f.state.Number {
		f.laggingSince, f.state.RefusalReason = time.Time{}, ""
	}
}

// noteAnnounced records that a version exists that is not in force here.
func (f *Follower) noteAnnounced(number uint64) {
	f.announced = max(f.announced, number)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.laggingSince.IsZero() {
		f.laggingSince = time.Now()
	}
}

// handleDelta applies a delta to the version in force, or to the refused one that it
// follows.
func (f *Follower) handleDelta(ctx context.Context, encoded []byte) {
	d, err := document.DecodeDelta(encoded)
	if err != nil {
		f.handleInvalid(err)
		return
	}
	number, digest := d.Header.Number, d.Header.Digest()
	if f.alreadyHandled(number, digest) {
		return
	}
	f.noteAnnounced(number)
	// The version after a refused one is built on the refused one, and applied as a
	// whole.
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
	f.putInForce(ctx, doc, d, encoded, false)
}

// handleSnapshot handles a whole version.
func (f *Follower) handleSnapshot(ctx context.Context, encoded []byte) {
	doc, err := document.DecodeSnapshot(encoded)
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
		f.log.Error("control: a snapshot has another parent than the version in force: there were two versions with one number",
			zap.Uint64("version", h.Number), zap.Stringer("parent", h.Parent), zap.Stringer("digest", f.inForce.Digest()))
	}
	f.mu.Lock()
	f.state.Snapshots++
	f.mu.Unlock()
	f.putInForce(ctx, doc, nil, encoded, true)
}

// alreadyHandled reports whether a version needs no further work: it is older than
// the one in force, it is in force, it is a fork, or it was refused before.
func (f *Follower) alreadyHandled(number uint64, digest document.Digest) bool {
	in := f.inForce.Header().Number
	switch {
	case number == in && number > 0 && digest != f.inForce.Digest():
		f.handleFork(number, digest)
		return true
	case number <= in:
		return true
	case number <= f.latest.Header().Number && (number < f.latest.Header().Number || digest == f.latest.Digest()):
		if !f.active.refusalSent { // a stream opened since the refusal gets it once, too
			f.active.refusalSent = true
			f.sendAck(f.active)
		}
		return true
	}
	return false
}

// handleGap handles a delta whose parent is not in force here. The first time the
// stream is opened again at once, so that the publisher sends the missing versions;
// the second time another publisher is tried.
func (f *Follower) handleGap(number uint64) {
	s := f.active
	if f.gaps++; f.gaps > 1 {
		f.gaps = 0
		f.disconnect(fmt.Sprintf("version %d arrived twice without the versions before it", number), false)
		return
	}
	f.active = nil
	s.end(nil)
	f.selector.retry(s.publisher)
	f.log.Warn("control: a delta has another parent than the version in force: asking for the missing versions", zap.Uint64("version", number),
		zap.Uint64("in_force", f.inForce.Header().Number), zap.String("publisher", f.set.Publishers[s.publisher].Address))
}

// handleInvalid refuses data that no follower can use, and disconnects from its
// sender.
func (f *Follower) handleInvalid(err error) {
	f.mu.Lock()
	f.state.RefusalReason = err.Error()
	f.mu.Unlock()
	f.log.Error("control: invalid message from the publisher is refused", zap.String("publisher", f.set.Publishers[f.active.publisher].Address), zap.Error(err))
	f.disconnect(err.Error(), true)
}

// handleFork handles another version with the number of the one in force: the one in
// force stays.
func (f *Follower) handleFork(number uint64, digest document.Digest) {
	f.noteFork(zap.Uint64("version", number), zap.Stringer("digest", f.inForce.Digest()), zap.Stringer("theirs", digest))
}

// noteFork records a fork, acknowledges it to the publisher once, and logs it at
// most once per forkLogInterval.
func (f *Follower) noteFork(fields ...zap.Field) {
	f.current = true // this publisher has nothing newer to send
	f.mu.Lock()
	first := !f.state.Fork
	f.state.Fork = true
	f.mu.Unlock()
	if first {
		f.sendAck(f.active)
	}
	if now := f.now(); now >= f.nextForkLog {
		f.nextForkLog = now + forkLogInterval
		f.log.Error("control: FORK: two versions with one number; the one in force stays",
			append(fields, zap.String("publisher", f.set.Publishers[f.active.publisher].Address))...)
	}
}

// putInForce applies a version, or records why it was refused. delta is nil where
// the server must take doc as a whole; encoded is the data received, a snapshot if
// snapshot is set, else a delta.
func (f *Follower) putInForce(ctx context.Context, doc *document.Document, delta *document.Delta, encoded []byte, snapshot bool) {
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
	f.store.save(f.now(), doc, !snapshot, encoded)
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

// noteInForce records the version in force.
func (f *Follower) noteInForce(doc *document.Document, source Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForce = doc
	f.state.Number, f.state.Digest, f.state.Source = doc.Header().Number, doc.Digest(), source
	f.state.RefusalReason, f.state.Fork = "", false
	if f.apply != nil {
		f.state.Applied++
	}
	if doc.Header().Number >= f.announced {
		f.laggingSince = time.Time{}
	}
}

// noteRefused records that the server refused a version: the previous one stays in
// force, and the next one is applied as a whole.
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

// currentAck is the acknowledgement for the version in force, with the reason of a
// refusal if there is one.
func (f *Follower) currentAck() protocol.Ack {
	f.mu.Lock()
	defer f.mu.Unlock()
	refused := f.state.RefusalReason
	if len(refused) > document.MaxTextBytes {
		refused = refused[:document.MaxTextBytes]
	}
	return protocol.Ack{Number: f.inForce.Header().Number, Digest: f.digest(), RefusalReason: refused, Fork: f.state.Fork}
}

// sendAck queues the current acknowledgement on s.
func (f *Follower) sendAck(s *stream) {
	ack := f.currentAck()
	s.outgoing.send(&protocol.FollowerMessage{Ack: &ack})
}
