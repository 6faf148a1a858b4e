package follow

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// Follower is one server's side. New, First, Reject and Run are called by one
// goroutine, State by any.
type Follower struct {
	set   Settings
	log   *zap.Logger
	began time.Time
	seek  *seeker
	keep  shelf
	count traffic

	// What the goroutine of First and Run has.
	inForce  *document.Document // Empty = nothing is
	head     *document.Document // what came last: inForce, or what is refused
	kept     *document.Document // as it was read at the start; nil = none
	cur      *stream            // the stream that stands or is being opened; nil = none
	probe    *stream            // ... beside it, to one that may do better
	sought   *try               // what comes next while there is none
	seekAt   time.Duration
	timer    *time.Timer
	apply    Apply // nil in First
	current  bool  // the publisher has said that nothing newer is there
	told     uint64
	gaps     int           // deltas on another parent, since a version was taken over
	shoutAt  time.Duration // not before then is a fork logged again
	alone    bool          // it was logged that no publisher is followed
	detached func() bool   // stops the watch on First's context

	mu     sync.Mutex
	state  State
	heard  time.Time // when the originator was last heard, by what publishers say
	unsure bool      // nobody has said so yet: heard is the start of the process
	since  time.Time // when a version that is not in force here was first told of
}

const (
	shoutEvery = time.Minute // between two lines in the log on one fork
	startTries = 3           // publishers that a start can try while all are silent
)

// New returns a Follower that has read what its folder keeps. An error names
// all settings at fault; a folder that cannot be read is none: it is logged and told.
func New(set Settings) (*Follower, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	if set.Log == nil {
		set.Log = zap.NewNop()
	}
	f := &Follower{set: set, log: set.Log, began: time.Now(), seek: newSeeker(&set),
		keep: shelf{keeper: keeper{folder: set.Folder, log: set.Log}}, inForce: document.Empty(), timer: time.NewTimer(time.Hour)}
	f.heard, f.unsure = f.began, true
	f.state.Source = SourceNone
	kept, at := f.keep.load()
	switch {
	case set.InForce != nil && set.InForce.Header().Number > 0:
		f.adopt(set.InForce, SourceFolder)
	case kept != nil:
		f.kept, f.heard, f.unsure = kept, at, false
		f.adopt(kept, SourceFolder)
	}
	f.head = f.inForce
	return f, nil
}

// check reports all faults at once.
func (s *Settings) check() error {
	var errs []error
	fail := func(format string, args ...any) { errs = append(errs, fmt.Errorf("follow: "+format, args...)) }
	if s.Name == "" || len(s.Name) > document.MaxNameBytes {
		fail("Settings.Name is %q, want 1 to %d bytes", s.Name, document.MaxNameBytes)
	}
	if len(s.Region) > document.MaxNameBytes {
		fail("Settings.Region has %d bytes, want at most %d", len(s.Region), document.MaxNameBytes)
	}
	if len(s.Publishers) == 0 {
		fail("Settings.Publishers is empty, want one at least")
	}
	seen := map[string]bool{}
	for i, p := range s.Publishers {
		if _, _, err := net.SplitHostPort(p.Address); err != nil || seen[p.Address] {
			fail("Settings.Publishers[%d].Address is %q, want a host:port of its own", i, p.Address)
		}
		seen[p.Address] = true
	}
	if s.InitialWait < 0 {
		fail("Settings.InitialWait is %v, want 0 or more", s.InitialWait)
	}
	return errors.Join(errs...)
}

// now is the time since New.
func (f *Follower) now() time.Duration { return time.Since(f.began) }

// InitialVersion waits for the first version, for Settings.Wait at most, and returns the
// document to start by: the publisher's, else the one kept, else nil. One that
// was kept and that a publisher confirms is the publisher's. Where nobody has
// published anything yet the originator's word for that ends the wait. The stream
// stays open for Run, and ends with ctx.
func (f *Follower) InitialVersion(ctx context.Context) (*document.Document, Source) {
	wait, cancel := context.WithTimeout(ctx, f.set.InitialWait)
	defer cancel()
	if f.set.InitialWait > 0 {
		f.follow(wait)
	}
	if f.cur != nil {
		f.detached = context.AfterFunc(ctx, f.cur.cancel)
	}
	if f.inForce.Header().Number == 0 {
		return nil, SourceNone
	}
	return f.inForce, f.State().Source
}

// Reject notes that the document that First returned, or Reject before, cannot
// be used, and returns the next to start by: the one kept, else nil.
func (f *Follower) Reject(why error) (*document.Document, Source) {
	refused := f.inForce
	f.log.Error("control: the version is refused", zap.Uint64("version", refused.Header().Number),
		zap.Stringer("digest", refused.Digest()), zap.Error(why))
	next := f.kept
	if next == nil || next.Digest() == refused.Digest() {
		next, f.kept = document.Empty(), nil
	}
	if f.head.Header().Number < refused.Header().Number {
		f.head = refused
	}
	origin := SourceFolder
	if next.Header().Number == 0 {
		origin = SourceNone
	}
	f.mu.Lock()
	f.inForce = next
	f.state.Number, f.state.Digest, f.state.Source, f.state.RefusalReason = next.Header().Number, next.Digest(), origin, why.Error()
	if f.since.IsZero() {
		f.since = time.Now()
	}
	f.mu.Unlock()
	if origin == SourceNone {
		return nil, SourceNone
	}
	return next, origin
}

// Run follows until ctx ends, then says that the server leaves. It applies each
// version that comes after the one that First returned.
func (f *Follower) Run(ctx context.Context, apply Apply) {
	if f.detached != nil {
		f.detached()
		f.detached = nil
	}
	f.apply = apply
	if f.inForce.Header().Number > 0 && f.set.InForce == nil && (f.kept == nil || f.kept.Digest() != f.inForce.Digest()) {
		f.keep.save(f.now(), f.inForce, false, nil)
	}
	f.kept = nil
	if f.cur != nil {
		f.say(f.cur)
	}
	f.follow(ctx)
	for _, s := range []*stream{f.probe, f.cur} {
		if s == nil {
			continue
		}
		if s == f.cur {
			word := f.word()
			word.Leaving = true
			s.end(&word)
		} else {
			s.end(nil)
		}
	}
	f.cur, f.probe = nil, nil
	f.keep.close()
	f.mu.Lock()
	f.state.Publisher = ""
	f.mu.Unlock()
	f.log.Info("control: nobody is followed any longer", zap.Uint64("version", f.inForce.Header().Number))
}

// State tells how things are.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state
	s.OriginatorSilence = max(0, time.Since(f.heard))
	if !f.since.IsZero() {
		s.Lag = max(time.Since(f.since), 1)
	}
	s.SentBytes, s.ReceivedBytes = f.count.sent.Load(), f.count.received.Load()
	return s
}

// follow turns to publishers and takes what they send until ctx ends; in First,
// until there is nothing newer.
func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil && (f.apply != nil || !f.current) {
		now := f.now()
		next := f.tend(now)
		f.timer.Reset(max(next-f.now(), 0))
		var came, asked <-chan protocol.PublisherMessage
		var ended, refused <-chan struct{}
		if f.cur != nil {
			came, ended = f.cur.came, f.cur.ended
		}
		if f.probe != nil {
			asked, refused = f.probe.came, f.probe.ended
		}
		select {
		case <-ctx.Done():
		case r := <-came:
			s := f.cur
			f.take(ctx, &r)
			s.tookAt = f.now()
		case <-ended:
			f.leave(f.cur.why(), false)
		case r := <-asked:
			f.answered(ctx, &r)
		case <-refused:
			f.noBetter()
		case <-f.timer.C:
		}
	}
}

// tend does what time brings, and says when to look again.
func (f *Follower) tend(now time.Duration) (next time.Duration) {
	next = now + time.Hour
	sooner := func(at time.Duration) { next = min(next, at) }
	if f.cur != nil && now >= f.cur.silent() {
		f.leave("the publisher is silent", false)
	}
	if f.cur == nil {
		if f.sought == nil {
			t := f.seek.next(now)
			f.sought, f.seekAt = &t, now+t.wait
		}
		if now >= f.seekAt {
			f.cur, f.sought = f.open(f.sought.publisher), nil
		} else {
			sooner(f.seekAt)
		}
	}
	if f.cur != nil {
		sooner(f.cur.silent())
	}
	if f.probe != nil && now >= f.probe.silent() {
		f.noBetter()
	}
	if f.probe != nil {
		sooner(f.probe.silent())
	} else if p, at, any := f.seek.probe(); any && f.apply != nil && f.cur != nil {
		if now >= at {
			f.probe = f.open(p)
			sooner(f.probe.silent())
		} else {
			sooner(at)
		}
	}
	f.keep.tend(now)
	if at := f.keep.due(); at != 0 {
		sooner(at)
	}
	return next
}

// open turns to a publisher.
func (f *Follower) open(p int) *stream {
	h := f.inForce.Header()
	within := answerMost
	if f.apply == nil { // a start gives more than one a chance within its wait
		within = min(within, f.set.InitialWait/startTries)
	}
	return open(p, f.set.Publishers[p].Address, &protocol.Hello{Name: f.set.Name, Region: f.set.Region, Publisher: f.set.Relay,
		Number: h.Number, Digest: f.digest()}, &f.count, f.now, within)
}

// digest is that of the version in force; zero where none is.
func (f *Follower) digest() document.Digest {
	if f.inForce.Header().Number == 0 {
		return document.Digest{}
	}
	return f.inForce.Digest()
}

// leave ends the stream, or the try. faulty says that what came could be acted on by nobody.
func (f *Follower) leave(why string, faulty bool) {
	s := f.cur
	f.cur = nil
	if faulty {
		word := f.word()
		s.end(&word)
	} else {
		s.end(nil)
	}
	f.seek.failed(f.now(), s.to, faulty)
	f.gone(s, why)
	f.cur, f.probe = f.probe, nil // one that was asked meanwhile is on the way already
}

// gone notes that no publisher is followed any more, and logs it once.
func (f *Follower) gone(s *stream, why string) {
	f.mu.Lock()
	f.state.Publisher = ""
	f.mu.Unlock()
	address := zap.String("publisher", f.set.Publishers[s.to].Address)
	switch {
	case s.spoke:
		f.alone = true
		f.log.Warn("control: the publisher is left", address, zap.String("why", why))
	case !f.alone:
		f.alone = true
		f.log.Warn("control: no publisher is followed", address, zap.String("why", why))
	default:
		f.log.Debug("control: a publisher is not reached", address, zap.String("why", why))
	}
}

// stood notes that the publisher has begun to speak.
func (f *Follower) stood(s *stream) {
	s.spoke = true
	f.seek.stood(f.now(), s.to)
	f.alone = false
	p := f.set.Publishers[s.to]
	f.mu.Lock()
	if f.state.Publisher != p.Address {
		f.state.Publisher = p.Address
		f.state.Switches++
	}
	f.mu.Unlock()
	f.log.Info("control: a publisher is followed", zap.String("publisher", p.Address), zap.String("region", p.Region))
}

// answered takes in the first word of a publisher that may do better than the
// one that is followed: it is followed from here on, or left again.
func (f *Follower) answered(ctx context.Context, r *protocol.PublisherMessage) {
	if b := r.Heartbeat; b != nil && (time.Duration(b.OriginatorSilenceMS)*time.Millisecond >= protocol.OriginatorTimeout ||
		b.Number < f.inForce.Header().Number || b.OriginatorSilenceMS < 0) {
		f.noBetter()
		return
	}
	was := f.cur
	f.cur, f.probe = f.probe, nil
	was.end(nil)
	f.log.Info("control: the publisher is left for a better one", zap.String("publisher", f.set.Publishers[was.to].Address))
	f.take(ctx, r)
}

// noBetter notes that the one that was asked does no better.
func (f *Follower) noBetter() {
	p := f.probe
	f.probe = nil
	p.end(nil)
	f.seek.probed(f.now(), p.to)
}
