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
	set      Settings
	log      *zap.Logger
	began    time.Time
	selector *selector
	store    asyncStore
	count    traffic

	// What the goroutine of First and Run has.
	inForce          *document.Document // Empty = nothing is
	latest           *document.Document // what came last: inForce, or what is refused
	stored           *document.Document // as it was read at the start; nil = none
	active           *stream            // the stream that stands or is being opened; nil = none
	probe            *stream            // ... beside it, to one that may do better
	attempt          *attempt           // what comes next while there is none
	attemptAt        time.Duration
	timer            *time.Timer
	apply            Apply // nil in First
	current          bool  // the publisher has said that nothing newer is there
	announced        uint64
	gaps             int           // deltas on another parent, since a version was taken over
	nextForkLog      time.Duration // not before then is a fork logged again
	disconnectLogged bool          // it was logged that no publisher is followed
	stopWatch        func() bool   // stops the watch on First's context

	mu                sync.Mutex
	state             State
	originatorHeard   time.Time // when the originator was last heard, by what publishers say
	originatorUnknown bool      // nobody has said so yet: heard is the start of the process
	laggingSince      time.Time // when a version that is not in force here was first told of
}

const (
	forkLogInterval = time.Minute // between two lines in the log on one fork
	startAttempts   = 3           // publishers that a start can try while all are silent
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
	f := &Follower{set: set, log: set.Log, began: time.Now(), selector: newSelector(&set),
		store: asyncStore{versionStore: versionStore{folder: set.Folder, log: set.Log}}, inForce: document.Empty(), timer: time.NewTimer(time.Hour)}
	f.originatorHeard, f.originatorUnknown = f.began, true
	f.state.Source = SourceNone
	kept, at := f.store.load()
	switch {
	case set.InForce != nil && set.InForce.Header().Number > 0:
		f.noteInForce(set.InForce, SourceFolder)
	case kept != nil:
		f.stored, f.originatorHeard, f.originatorUnknown = kept, at, false
		f.noteInForce(kept, SourceFolder)
	}
	f.latest = f.inForce
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
	if f.active != nil {
		f.stopWatch = context.AfterFunc(ctx, f.active.cancel)
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
	next := f.stored
	if next == nil || next.Digest() == refused.Digest() {
		next, f.stored = document.Empty(), nil
	}
	if f.latest.Header().Number < refused.Header().Number {
		f.latest = refused
	}
	origin := SourceFolder
	if next.Header().Number == 0 {
		origin = SourceNone
	}
	f.mu.Lock()
	f.inForce = next
	f.state.Number, f.state.Digest, f.state.Source, f.state.RefusalReason = next.Header().Number, next.Digest(), origin, why.Error()
	if f.laggingSince.IsZero() {
		f.laggingSince = time.Now()
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
	if f.stopWatch != nil {
		f.stopWatch()
		f.stopWatch = nil
	}
	f.apply = apply
	if f.inForce.Header().Number > 0 && f.set.InForce == nil && (f.stored == nil || f.stored.Digest() != f.inForce.Digest()) {
		f.store.save(f.now(), f.inForce, false, nil)
	}
	f.stored = nil
	if f.active != nil {
		f.sendAck(f.active)
	}
	f.follow(ctx)
	for _, s := range []*stream{f.probe, f.active} {
		if s == nil {
			continue
		}
		if s == f.active {
			word := f.currentAck()
			word.Leaving = true
			s.end(&word)
		} else {
			s.end(nil)
		}
	}
	f.active, f.probe = nil, nil
	f.store.close()
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
	s.OriginatorSilence = max(0, time.Since(f.originatorHeard))
	if !f.laggingSince.IsZero() {
		s.Lag = max(time.Since(f.laggingSince), 1)
	}
	s.SentBytes, s.ReceivedBytes = f.count.sent.Load(), f.count.received.Load()
	return s
}

// follow turns to publishers and takes what they send until ctx ends; in First,
// until there is nothing newer.
func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil && (f.apply != nil || !f.current) {
		now := f.now()
		next := f.tick(now)
		f.timer.Reset(max(next-f.now(), 0))
		var came, asked <-chan protocol.PublisherMessage
		var ended, refused <-chan struct{}
		if f.active != nil {
			came, ended = f.active.messages, f.active.ended
		}
		if f.probe != nil {
			asked, refused = f.probe.messages, f.probe.ended
		}
		select {
		case <-ctx.Done():
		case r := <-came:
			s := f.active
			f.handleMessage(ctx, &r)
			s.handledAt = f.now()
		case <-ended:
			f.disconnect(f.active.reason(), false)
		case r := <-asked:
			f.probeAnswered(ctx, &r)
		case <-refused:
			f.probeFailed()
		case <-f.timer.C:
		}
	}
}

// tick does what time brings, and says when to look again.
func (f *Follower) tick(now time.Duration) (next time.Duration) {
	next = now + time.Hour
	sooner := func(at time.Duration) { next = min(next, at) }
	if f.active != nil && now >= f.active.timeoutAt() {
		f.disconnect("the publisher is silent", false)
	}
	if f.active == nil {
		if f.attempt == nil {
			t := f.selector.next(now)
			f.attempt, f.attemptAt = &t, now+t.wait
		}
		if now >= f.attemptAt {
			f.active, f.attempt = f.connect(f.attempt.publisher), nil
		} else {
			sooner(f.attemptAt)
		}
	}
	if f.active != nil {
		sooner(f.active.timeoutAt())
	}
	if f.probe != nil && now >= f.probe.timeoutAt() {
		f.probeFailed()
	}
	if f.probe != nil {
		sooner(f.probe.timeoutAt())
	} else if p, at, any := f.selector.probe(); any && f.apply != nil && f.active != nil {
		if now >= at {
			f.probe = f.connect(p)
			sooner(f.probe.timeoutAt())
		} else {
			sooner(at)
		}
	}
	f.store.writeIfDue(now)
	if at := f.store.nextWrite(); at != 0 {
		sooner(at)
	}
	return next
}

// connect turns to a publisher.
func (f *Follower) connect(p int) *stream {
	h := f.inForce.Header()
	within := responseTimeout
	if f.apply == nil { // a start gives more than one a chance within its wait
		within = min(within, f.set.InitialWait/startAttempts)
	}
	return openStream(p, f.set.Publishers[p].Address, &protocol.Hello{Name: f.set.Name, Region: f.set.Region, Publisher: f.set.Relay,
		Number: h.Number, Digest: f.digest()}, &f.count, f.now, within)
}

// digest is that of the version in force; zero where none is.
func (f *Follower) digest() document.Digest {
	if f.inForce.Header().Number == 0 {
		return document.Digest{}
	}
	return f.inForce.Digest()
}

// disconnect ends the stream, or the try. faulty says that what came could be acted on by nobody.
func (f *Follower) disconnect(why string, faulty bool) {
	s := f.active
	f.active = nil
	if faulty {
		word := f.currentAck()
		s.end(&word)
	} else {
		s.end(nil)
	}
	f.selector.failed(f.now(), s.publisher, faulty)
	f.noteDisconnected(s, why)
	f.active, f.probe = f.probe, nil // one that was asked meanwhile is on the way already
}

// noteDisconnected notes that no publisher is followed any more, and logs it once.
func (f *Follower) noteDisconnected(s *stream, why string) {
	f.mu.Lock()
	f.state.Publisher = ""
	f.mu.Unlock()
	address := zap.String("publisher", f.set.Publishers[s.publisher].Address)
	switch {
	case s.established:
		f.disconnectLogged = true
		f.log.Warn("control: the publisher is left", address, zap.String("why", why))
	case !f.disconnectLogged:
		f.disconnectLogged = true
		f.log.Warn("control: no publisher is followed", address, zap.String("why", why))
	default:
		f.log.Debug("control: a publisher is not reached", address, zap.String("why", why))
	}
}

// noteEstablished notes that the publisher has begun to speak.
func (f *Follower) noteEstablished(s *stream) {
	s.established = true
	f.selector.established(f.now(), s.publisher)
	f.disconnectLogged = false
	p := f.set.Publishers[s.publisher]
	f.mu.Lock()
	if f.state.Publisher != p.Address {
		f.state.Publisher = p.Address
		f.state.Switches++
	}
	f.mu.Unlock()
	f.log.Info("control: a publisher is followed", zap.String("publisher", p.Address), zap.String("region", p.Region))
}

// probeAnswered takes in the first word of a publisher that may do better than the
// one that is followed: it is followed from here on, or left again.
func (f *Follower) probeAnswered(ctx context.Context, r *protocol.PublisherMessage) {
	if b := r.Heartbeat; b != nil && (time.Duration(b.OriginatorSilenceMS)*time.Millisecond >= protocol.OriginatorTimeout ||
		b.Number < f.inForce.Header().Number || b.OriginatorSilenceMS < 0) {
		f.probeFailed()
		return
	}
	was := f.active
	f.active, f.probe = f.probe, nil
	was.end(nil)
	f.log.Info("control: the publisher is left for a better one", zap.String("publisher", f.set.Publishers[was.publisher].Address))
	f.handleMessage(ctx, r)
}

// probeFailed notes that the one that was asked does no better.
func (f *Follower) probeFailed() {
	p := f.probe
	f.probe = nil
	p.end(nil)
	f.selector.probeFailed(f.now(), p.publisher)
}
