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

// Follower receives versions on behalf of one server. New, InitialVersion, Reject
// and Run are called by one goroutine, State by any.
type Follower struct {
	set      Settings
	log      *zap.Logger
	began    time.Time
	selector *selector
	store    asyncStore
	count    traffic

	// The fields below belong to the goroutine of InitialVersion and Run.
	inForce          *document.Document // Empty = nothing is
	latest           *document.Document // the newest version received: inForce, or one that was refused
	stored           *document.Document // as read from the folder by New; nil = none
	active           *stream            // the established stream, or the one that is being opened; nil = none
	probe            *stream            // a second stream, to a publisher that may be better; nil = none
	attempt          *attempt           // the next attempt while there is no active stream
	attemptAt        time.Duration
	timer            *time.Timer
	apply            Apply         // nil in InitialVersion
	current          bool          // the publisher has reported that there is nothing newer
	announced        uint64        // the highest version number that a publisher has announced
	gaps             int           // deltas with an unknown parent since a version was applied
	nextForkLog      time.Duration // a fork is not logged again before then
	disconnectLogged bool          // it was logged that no publisher is followed
	stopWatch        func() bool   // stops the watch on InitialVersion's context

	mu                sync.Mutex
	state             State
	originatorHeard   time.Time // when the originator was last heard, as publishers report it
	originatorUnknown bool      // no publisher has reported yet: originatorHeard is the time of New
	laggingSince      time.Time // when a version that is not in force here was first announced; zero = current
}

const (
	forkLogInterval = time.Minute // between two log lines about a fork
	startAttempts   = 3           // publishers that InitialVersion can try when none of them answers
)

// New returns a Follower that has read its folder. An error names all invalid
// settings; a folder that cannot be read is no error, but is logged and treated as
// empty.
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
	stored, at := f.store.load()
	switch {
	case set.InForce != nil && set.InForce.Header().Number > 0:
		f.noteInForce(set.InForce, SourceFolder)
	case stored != nil:
		f.stored, f.originatorHeard, f.originatorUnknown = stored, at, false
		f.noteInForce(stored, SourceFolder)
	}
	f.latest = f.inForce
	return f, nil
}

// check reports all invalid settings at once.
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

// InitialVersion waits at most Settings.InitialWait for the first version, and
// returns the document to start with: the publisher's, else the stored one, else
// nil. A stored version that a publisher confirms has the source SourcePublisher. If
// nothing has been published yet, the originator's report of that ends the wait. The
// stream stays open for Run, and ends with ctx.
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

// Reject records that the document returned by InitialVersion, or by the previous
// call of Reject, cannot be used, and returns the next one to start with: the stored
// one, else nil.
func (f *Follower) Reject(why error) (*document.Document, Source) {
	rejected := f.inForce
	f.log.Error("control: the version is refused", zap.Uint64("version", rejected.Header().Number),
		zap.Stringer("digest", rejected.Digest()), zap.Error(why))
	next := f.stored
	if next == nil || next.Digest() == rejected.Digest() {
		next, f.stored = document.Empty(), nil
	}
	if f.latest.Header().Number < rejected.Header().Number {
		f.latest = rejected
	}
	source := SourceFolder
	if next.Header().Number == 0 {
		source = SourceNone
	}
	f.mu.Lock()
	f.inForce = next
	f.state.Number, f.state.Digest, f.state.Source, f.state.RefusalReason = next.Header().Number, next.Digest(), source, why.Error()
	if f.laggingSince.IsZero() {
		f.laggingSince = time.Now()
	}
	f.mu.Unlock()
	if source == SourceNone {
		return nil, SourceNone
	}
	return next, source
}

// Run follows publishers until ctx ends, then tells the publisher that the server is
// shutting down. It applies each version that comes after the one that
// InitialVersion returned.
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
			ack := f.currentAck()
			ack.Leaving = true
			s.end(&ack)
		} else {
			s.end(nil)
		}
	}
	f.active, f.probe = nil, nil
	f.store.close()
	f.mu.Lock()
	f.state.Publisher = ""
	f.mu.Unlock()
	f.log.Info("control: shutting down, no publisher is followed any more", zap.Uint64("version", f.inForce.Header().Number))
}

// State returns the current state.
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

// follow connects to publishers and handles their messages until ctx ends; in
// InitialVersion also until there is nothing newer.
func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil && (f.apply != nil || !f.current) {
		now := f.now()
		next := f.tick(now)
		f.timer.Reset(max(next-f.now(), 0))
		var messages, probeMessages <-chan protocol.PublisherMessage
		var ended, probeEnded <-chan struct{}
		if f.active != nil {
			messages, ended = f.active.messages, f.active.ended
		}
		if f.probe != nil {
			probeMessages, probeEnded = f.probe.messages, f.probe.ended
		}
		select {
		case <-ctx.Done():
		case r := <-messages:
			s := f.active
			f.handleMessage(ctx, &r)
			s.handledAt = f.now()
		case <-ended:
			f.disconnect(f.active.reason(), false)
		case r := <-probeMessages:
			f.probeAnswered(ctx, &r)
		case <-probeEnded:
			f.probeFailed()
		case <-f.timer.C:
		}
	}
}

// tick does what is due at the time now, and returns when it must be called again.
func (f *Follower) tick(now time.Duration) (next time.Duration) {
	next = now + time.Hour
	sooner := func(at time.Duration) { next = min(next, at) }
	if f.active != nil && now >= f.active.timeoutAt() {
		f.disconnect("the publisher timed out", false)
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
	} else if p, at, ok := f.selector.probe(); ok && f.apply != nil && f.active != nil {
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

// connect opens a stream to publisher p.
func (f *Follower) connect(p int) *stream {
	h := f.inForce.Header()
	timeout := responseTimeout
	if f.apply == nil { // InitialVersion tries several publishers within its wait
		timeout = min(timeout, f.set.InitialWait/startAttempts)
	}
	return openStream(p, f.set.Publishers[p].Address, &protocol.Hello{Name: f.set.Name, Region: f.set.Region, Publisher: f.set.Relay,
		Number: h.Number, Digest: f.digest()}, &f.count, f.now, timeout)
}

// digest is that of the version in force, or zero where none is.
func (f *Follower) digest() document.Digest {
	if f.inForce.Header().Number == 0 {
		return document.Digest{}
	}
	return f.inForce.Digest()
}

// disconnect ends the active stream or attempt. invalid says that the publisher sent
// data that no follower can use.
func (f *Follower) disconnect(why string, invalid bool) {
	s := f.active
	f.active = nil
	if invalid {
		ack := f.currentAck()
		s.end(&ack)
	} else {
		s.end(nil)
	}
	f.selector.failed(f.now(), s.publisher, invalid)
	f.noteDisconnected(s, why)
	f.active, f.probe = f.probe, nil // a probe that is under way becomes the next attempt
}

// noteDisconnected records that no publisher is followed any more, and logs it once.
func (f *Follower) noteDisconnected(s *stream, why string) {
	f.mu.Lock()
	f.state.Publisher = ""
	f.mu.Unlock()
	address := zap.String("publisher", f.set.Publishers[s.publisher].Address)
	switch {
	case s.established:
		f.disconnectLogged = true
		f.log.Warn("control: disconnected from the publisher", address, zap.String("why", why))
	case !f.disconnectLogged:
		f.disconnectLogged = true
		f.log.Warn("control: no publisher is followed", address, zap.String("why", why))
	default:
		f.log.Debug("control: a publisher cannot be reached", address, zap.String("why", why))
	}
}

// noteEstablished records that the first message of the publisher has arrived.
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
	f.log.Info("control: following a publisher", zap.String("publisher", p.Address), zap.String("region", p.Region))
}

// probeAnswered handles the first message on the probe: if that publisher is better
// than the active one, it becomes the active one, else the probe is closed.
func (f *Follower) probeAnswered(ctx context.Context, r *protocol.PublisherMessage) {
	if b := r.Heartbeat; b != nil && (time.Duration(b.OriginatorSilenceMS)*time.Millisecond >= protocol.OriginatorTimeout ||
		b.Number < f.inForce.Header().Number || b.OriginatorSilenceMS < 0) {
		f.probeFailed()
		return
	}
	previous := f.active
	f.active, f.probe = f.probe, nil
	previous.end(nil)
	f.log.Info("control: switched from the publisher to a better one", zap.String("publisher", f.set.Publishers[previous.publisher].Address))
	f.handleMessage(ctx, r)
}

// probeFailed closes the probe: its publisher is no better than the active one.
func (f *Follower) probeFailed() {
	p := f.probe
	f.probe = nil
	p.end(nil)
	f.selector.probeFailed(f.now(), p.publisher)
}
