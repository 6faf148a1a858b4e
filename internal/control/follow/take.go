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

// stalledBeats is how many beats in a row may tell of a newer version while none
// of it comes: more, and the publisher withholds it.
const stalledBeats = 2

// take takes in one record of the publisher that is followed.
func (f *Follower) take(ctx context.Context, r *protocol.PublisherMessage) {
	s := f.cur
	if !s.spoke {
		f.stood(s)
	}
	switch {
	case r.Heartbeat != nil && r.Delta == nil && r.Snapshot == nil:
		f.beat(r.Heartbeat)
	case r.Delta != nil && r.Snapshot == nil && r.Heartbeat == nil:
		s.ahead = 0
		f.delta(ctx, r.Delta)
	case r.Snapshot != nil && r.Delta == nil && r.Heartbeat == nil:
		s.ahead = 0
		f.snapshot(ctx, r.Snapshot)
	default:
		f.faulty(errors.New("a record that has not one part"))
	}
}

// beat takes in the publisher's word that it is there.
func (f *Follower) beat(b *protocol.Heartbeat) {
	unheard := time.Duration(min(max(b.OriginatorSilenceMS, 0), math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
	f.seek.heard(f.now(), unheard)
	number := f.inForce.Header().Number
	f.mu.Lock()
	if at := time.Now().Add(-unheard); f.unsure || at.After(f.heard) {
		f.heard, f.unsure = at, false
	}
	f.mu.Unlock()
	switch {
	case b.Number == 0:
		f.current = number == 0 && b.OriginatorSilenceMS == 0
	case b.Number == number && b.Digest != f.inForce.Digest():
		f.fork(b.Number, b.Digest)
	case b.Number == number:
		f.caughtUp(unheard < protocol.OriginatorTimeout)
	case b.Number > number:
		f.tell(b.Number)
		// A publisher that takes our version for one of two with its number sends beats alone.
		if b.Number > f.head.Header().Number {
			if f.cur.ahead++; f.cur.ahead >= stalledBeats {
				f.cur.ahead = 0
				f.forked(zap.String("why", "the publisher is ahead and sends nothing: it has another version with our number"),
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
	if hears && f.head == f.inForce {
		f.told = f.state.Number
	}
	if f.told <= f.state.Number {
		f.since, f.state.RefusalReason = time.Time{}, ""
	}
}

// tell notes that there is a version that is not in force here.
func (f *Follower) tell(number uint64) {
	f.told = max(f.told, number)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since.IsZero() {
		f.since = time.Now()
	}
}

// delta takes in a step from one version to the next.
func (f *Follower) delta(ctx context.Context, text []byte) {
	d, err := document.DecodeDelta(text)
	if err != nil {
		f.faulty(err)
		return
	}
	number, digest := d.Header.Number, d.Header.Digest()
	if f.had(number, digest) {
		return
	}
	f.tell(number)
	// What follows a version that was refused here is made of that one, and taken over whole.
	base := f.inForce
	if d.Header.Parent != base.Digest() || number != base.Header().Number+1 {
		base = f.head
	}
	doc, err := base.Apply(d)
	switch {
	case errors.Is(err, document.ErrFork):
		f.fork(number, digest)
		return
	case errors.Is(err, document.ErrParentMismatch):
		f.gap(number)
		return
	case err != nil:
		f.faulty(fmt.Errorf("version %d %v: %w", number, digest, err))
		return
	}
	if base != f.inForce || base.Header().Number == 0 && !f.set.Relay {
		d = nil
	}
	f.enforce(ctx, doc, d, text, false)
}

// snapshot takes in a whole version.
func (f *Follower) snapshot(ctx context.Context, text []byte) {
	doc, err := document.DecodeSnapshot(text)
	if err != nil {
		f.faulty(err)
		return
	}
	h := doc.Header()
	if f.had(h.Number, doc.Digest()) {
		return
	}
	f.tell(h.Number)
	if in := f.inForce.Header(); in.Number > 0 && h.Number == in.Number+1 && h.Parent != f.inForce.Digest() {
		f.log.Error("control: the version comes whole, and its parent is not the one in force: there were two with one number",
			zap.Uint64("version", h.Number), zap.Stringer("parent", h.Parent), zap.Stringer("digest", f.inForce.Digest()))
	}
	f.mu.Lock()
	f.state.Snapshots++
	f.mu.Unlock()
	f.enforce(ctx, doc, nil, text, true)
}

// had says whether there is nothing to be done for a version: it is older than
// what is in force, it is in force, another with its number is, or it was refused.
func (f *Follower) had(number uint64, digest document.Digest) bool {
	in := f.inForce.Header().Number
	switch {
	case number == in && number > 0 && digest != f.inForce.Digest():
		f.fork(number, digest)
		return true
	case number <= in:
		return true
	case number <= f.head.Header().Number && (number < f.head.Header().Number || digest == f.head.Digest()):
		if !f.cur.retold { // a stream that has come since is told once, too
			f.cur.retold = true
			f.say(f.cur)
		}
		return true
	}
	return false
}

// gap notes a delta on a version that is not in force here: what lies between is
// asked for at once, and of another publisher where that brings nothing.
func (f *Follower) gap(number uint64) {
	s := f.cur
	if f.gaps++; f.gaps > 1 {
		f.gaps = 0
		f.leave(fmt.Sprintf("version %d comes without what lies between, twice", number), false)
		return
	}
	f.cur = nil
	s.end(nil)
	f.seek.retry(s.to)
	f.log.Warn("control: a version on another parent: what lies between is asked for", zap.Uint64("version", number),
		zap.Uint64("in_force", f.inForce.Header().Number), zap.String("publisher", f.set.Publishers[s.to].Address))
}

// faulty refuses what nobody can act on, and leaves its sender.
func (f *Follower) faulty(err error) {
	f.mu.Lock()
	f.state.RefusalReason = err.Error()
	f.mu.Unlock()
	f.log.Error("control: what came is refused", zap.String("publisher", f.set.Publishers[f.cur.to].Address), zap.Error(err))
	f.leave(err.Error(), true)
}

// fork notes another version with the number of the one in force: that stays.
func (f *Follower) fork(number uint64, digest document.Digest) {
	f.forked(zap.Uint64("version", number), zap.Stringer("digest", f.inForce.Digest()), zap.Stringer("theirs", digest))
}

func (f *Follower) forked(fields ...zap.Field) {
	f.current = true // nothing better comes of this publisher
	f.mu.Lock()
	news := !f.state.Fork
	f.state.Fork = true
	f.mu.Unlock()
	if news {
		f.say(f.cur)
	}
	if now := f.now(); now >= f.shoutAt {
		f.shoutAt = now + shoutEvery
		f.log.Error("control: FORK: two versions with one number; the one in force stays",
			append(fields, zap.String("publisher", f.set.Publishers[f.cur.to].Address))...)
	}
}

// enforce puts a version in force, or notes why it is not. delta is nil where
// the server is to take it over whole; text is what came, the version whole or a delta.
func (f *Follower) enforce(ctx context.Context, doc *document.Document, delta *document.Delta, text []byte, whole bool) {
	h, began := doc.Header(), time.Now()
	if f.apply != nil {
		if err := f.apply(ctx, doc, delta); err != nil {
			if ctx.Err() == nil {
				f.refuse(doc, err)
			}
			return
		}
	}
	f.gaps = 0
	f.inForce, f.head = doc, doc
	f.adopt(doc, SourcePublisher)
	if f.apply == nil {
		f.current = h.Number >= f.told
		return
	}
	f.keep.save(f.now(), doc, !whole, text)
	f.say(f.cur)
	changes := -1
	if delta != nil {
		changes = len(delta.Changes)
	}
	f.log.Info("control: version in force", zap.Uint64("version", h.Number), zap.Stringer("digest", doc.Digest()),
		zap.Int("changes", changes), zap.String("author", h.Author), zap.String("reason", h.Reason),
		zap.Int64("age_ms", time.Since(time.UnixMicro(h.Time)).Milliseconds()),
		zap.Int64("taking_ms", time.Since(began).Milliseconds()))
}

// adopt notes the version in force.
func (f *Follower) adopt(doc *document.Document, origin Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inForce = doc
	f.state.Number, f.state.Digest, f.state.Source = doc.Header().Number, doc.Digest(), origin
	f.state.RefusalReason, f.state.Fork = "", false
	if f.apply != nil {
		f.state.Applied++
	}
	if doc.Header().Number >= f.told {
		f.since = time.Time{}
	}
}

// refuse notes that the server cannot serve by a version: the one before stays,
// and what comes next is tried whole.
func (f *Follower) refuse(doc *document.Document, err error) {
	f.head = doc
	f.mu.Lock()
	f.state.RefusalReason = err.Error()
	f.mu.Unlock()
	f.log.Error("control: the version is refused", zap.Uint64("version", doc.Header().Number), zap.Stringer("digest", doc.Digest()),
		zap.Uint64("in_force", f.inForce.Header().Number), zap.Error(err))
	f.cur.retold = true
	f.say(f.cur)
}

// word is what we say of the version in force.
func (f *Follower) word() protocol.Ack {
	f.mu.Lock()
	defer f.mu.Unlock()
	refused := f.state.RefusalReason
	if len(refused) > document.MaxTextBytes {
		refused = refused[:document.MaxTextBytes]
	}
	return protocol.Ack{Number: f.inForce.Header().Number, Digest: f.digest(), RefusalReason: refused, Fork: f.state.Fork}
}

func (f *Follower) say(s *stream) {
	word := f.word()
	s.words.say(&protocol.FollowerMessage{Ack: &word})
}
