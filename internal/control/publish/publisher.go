package publish

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/follow"
	"kiteslip/internal/control/protocol"
)

// Publisher is one control machine.
type Publisher struct {
	set           Settings
	log           *zap.Logger
	store         *store
	versions      *versionLog
	registry      *followerRegistry
	relay         *follow.Follower // nil = this machine is the originator
	streamSlots   chan struct{}    // bounds the streams
	snapshotSlots chan struct{}    // bounds the snapshots sent at once
	bodySlots     chan struct{}    // bounds the bodies read at once
	shutdown      context.Context  // ends when the machine shuts down
	beginShutdown context.CancelFunc

	helloTimeout, ackTimeout, pingIdleTime, pingTimeout time.Duration

	mu                  sync.Mutex // held while a version is made: one at a time
	snapshotNumber      uint64     // the version that the snapshot on disk is of
	deltasSinceSnapshot int        // deltas written after it
	bytesSinceSnapshot  int        // ... and their bytes
	diskErrorLogged     bool
}

// Open reads and checks the log in the folder. Versions accepted before a crash are
// there. The folder belongs to this process until Close.
func Open(set Settings) (*Publisher, error) { return open(set, vfs.Default) }

// open is Open on a given file system.
func open(set Settings, fs vfs.FS) (*Publisher, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	set.MaxDeltas, set.MaxBytes = cmp.Or(set.MaxDeltas, DefaultMaxDeltas), cmp.Or(set.MaxBytes, DefaultMaxBytes)
	if set.Log == nil {
		set.Log = zap.NewNop()
	}
	s, err := openStore(set.Folder, fs)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", set.Folder, err)
	}
	p := &Publisher{set: set, log: set.Log, store: s, registry: newFollowerRegistry(),
		streamSlots: make(chan struct{}, MaxFollowers), snapshotSlots: make(chan struct{}, maxSnapshotWrites),
		bodySlots:    make(chan struct{}, maxBodyReads),
		helloTimeout: helloTimeout, ackTimeout: ackTimeout, pingIdleTime: pingIdleTime, pingTimeout: pingTimeout}
	p.shutdown, p.beginShutdown = context.WithCancel(context.Background())
	if err := p.restore(); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", set.Folder, err), s.close())
	}
	if len(set.Upstreams) > 0 {
		p.relay, err = follow.New(follow.Settings{Name: set.Name, Region: set.Region, Publishers: set.Upstreams,
			Seed: set.Seed, Relay: true, InForce: p.Document(), Log: set.Log})
		if err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	return p, nil
}

// check reports all invalid settings at once.
func (s *Settings) check() error {
	var errs []error
	fail := func(format string, args ...any) { errs = append(errs, fmt.Errorf("publish: "+format, args...)) }
	if s.Name == "" || len(s.Name) > document.MaxNameBytes {
		fail("Settings.Name is %q, want 1 to %d bytes", s.Name, document.MaxNameBytes)
	}
	if len(s.Region) > document.MaxNameBytes {
		fail("Settings.Region is %d bytes, want at most %d", len(s.Region), document.MaxNameBytes)
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		fail("Settings.Listen is %q, want host:port", s.Listen)
	}
	if s.Folder == "" {
		fail("Settings.Folder is absent")
	}
	if s.MaxDeltas < 0 || s.MaxBytes < 0 {
		fail("Settings.MaxDeltas is %d and MaxBytes %d, want 0 or more", s.MaxDeltas, s.MaxBytes)
	}
	return errors.Join(errs...)
}

// restore loads the log from the folder.
func (p *Publisher) restore() error {
	doc, deltas, snapshotNumber, err := p.store.load()
	if err != nil {
		return err
	}
	p.snapshotNumber = snapshotNumber
	p.versions = newVersionLog(doc)
	if len(deltas) == 0 {
		return nil
	}
	now := time.Now()
	list := make([]entry, len(deltas))
	for i, r := range deltas {
		if list[i], err = newEntry(r, now); err != nil {
			return err
		}
		if r.number > snapshotNumber {
			p.deltasSinceSnapshot++
			p.bytesSinceSnapshot += len(r.delta)
		}
	}
	p.versions.restore(doc, deltas[0].parent, list)
	return nil
}

// newEntry returns the entry of a stored delta that came into force at now.
func newEntry(r storedDelta, now time.Time) (entry, error) {
	b, err := cbor.Marshal(&protocol.PublisherMessage{Delta: r.delta})
	return entry{number: r.number, digest: r.digest, message: b, since: now}, err
}

// Close closes the folder. It is called after Serve, or without it.
func (p *Publisher) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.close()
}

// Document is the version in force here.
func (p *Publisher) Document() *document.Document { return p.versions.inForce() }

// Publish makes a version of the changes, at the originator only: when it returns,
// the version is in force there and on disk. base, if not zero, must be the digest
// of the version in force. A by.Time of 0 means now; a time before that of the
// version in force is raised to it. Errors: ErrNotOriginator, ErrBaseMismatch,
// ErrNoChange, ErrInvalidChanges with all faults, ErrDiskFailed.
func (p *Publisher) Publish(changes []document.Change, by document.Meta, base document.Digest) (document.Header, error) {
	return p.publish(func(*document.Document) []document.Change { return changes }, by, base)
}

// PublishContent is Publish of the changes that turn the version in force into next.
func (p *Publisher) PublishContent(next *document.Content, by document.Meta, base document.Digest) (document.Header, error) {
	return p.publish(func(doc *document.Document) []document.Change { return doc.Diff(next) }, by, base)
}

// publish makes a version of the changes to the version in force.
func (p *Publisher) publish(changes func(*document.Document) []document.Change, by document.Meta, base document.Digest) (document.Header, error) {
	if p.relay != nil {
		return document.Header{}, fmt.Errorf("%w: %s does", ErrNotOriginator, p.set.Upstreams[0].Address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	doc := p.versions.inForce()
	if base != (document.Digest{}) && base != doc.Digest() {
		return document.Header{}, fmt.Errorf("%w: in force is %d %v", ErrBaseMismatch, doc.Header().Number, doc.Digest())
	}
	if err := p.store.failure(); err != nil {
		return document.Header{}, err
	}
	list := changes(doc)
	if len(list) == 0 {
		return document.Header{}, fmt.Errorf("%w: %d %v", ErrNoChange, doc.Header().Number, doc.Digest())
	}
	by.Time = max(cmp.Or(by.Time, time.Now().UnixMicro()), doc.Header().Time)
	delta, err := doc.Draft(list, by)
	if err != nil && err.Error() == noChangeText {
		return document.Header{}, fmt.Errorf("%w: %d %v", ErrNoChange, doc.Header().Number, doc.Digest())
	}
	if err != nil {
		return document.Header{}, fmt.Errorf("%w:\n%w", ErrInvalidChanges, err)
	}
	next, err := doc.Apply(delta)
	if err != nil {
		return document.Header{}, fmt.Errorf("%w:\n%w", ErrInvalidChanges, err)
	}
	if err := p.append(next, delta); err != nil {
		p.logDiskError(err)
		return document.Header{}, err
	}
	h := next.Header()
	p.log.Info("published", zap.Uint64("version", h.Number), zap.Stringer("digest", next.Digest()), zap.Int("changes", len(list)),
		zap.String("author", h.Author), zap.String("reason", h.Reason))
	return h, nil
}

// noChangeText is the text of Document.Draft's error for changes that change
// nothing.
const noChangeText = "the delta changes nothing"

// append writes a version to the log on disk, then puts it in force.
func (p *Publisher) append(next *document.Document, delta *document.Delta) error {
	encoded, err := delta.Encode()
	if err != nil {
		return err
	}
	r := newStoredDelta(delta, encoded)
	e, err := newEntry(r, time.Now())
	if err != nil {
		return err
	}
	drop := p.versions.excess(p.set.MaxDeltas, p.set.MaxBytes, len(e.message))
	from := p.versions.oldest() + 1
	w := &logWrite{added: &r, dropFrom: from, dropTo: from + uint64(drop), number: r.number, digest: r.digest}
	// The remaining deltas must reach back to the snapshot, and be few after it.
	if w.dropTo > p.snapshotNumber+1 || p.deltasSinceSnapshot+1 >= maxReplayDeltas || p.bytesSinceSnapshot+len(encoded) >= maxReplayBytes {
		if w.snapshot, err = next.Snapshot(); err != nil {
			return err
		}
	}
	if err := p.store.commit(w); err != nil {
		return err
	}
	p.deltasSinceSnapshot, p.bytesSinceSnapshot = p.deltasSinceSnapshot+1, p.bytesSinceSnapshot+len(encoded)
	if w.snapshot != nil {
		p.snapshotNumber, p.deltasSinceSnapshot, p.bytesSinceSnapshot = r.number, 0, 0
	}
	p.versions.add(next, e, drop)
	return nil
}

// applyRelayed puts a version in force that the relay received. If it cannot be
// written, it is served from memory: the originator has it on disk.
func (p *Publisher) applyRelayed(_ context.Context, doc *document.Document, delta *document.Delta) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delta == nil {
		return p.applySnapshot(doc)
	}
	encoded, err := delta.Encode()
	if err != nil {
		return err
	}
	if err := p.append(doc, delta); err != nil {
		if !errors.Is(err, ErrDiskFailed) {
			return err
		}
		p.logDiskError(err)
		e, err := newEntry(newStoredDelta(delta, encoded), time.Now())
		if err != nil {
			return err
		}
		p.versions.add(doc, e, p.versions.excess(p.set.MaxDeltas, p.set.MaxBytes, len(e.message)))
	}
	p.logInForce(doc, false)
	return nil
}

// applySnapshot puts a version in force that the relay received as a snapshot.
func (p *Publisher) applySnapshot(doc *document.Document) error {
	encoded, err := doc.Snapshot()
	if err != nil {
		return err
	}
	from, to := p.versions.oldest()+1, p.versions.inForce().Header().Number+1
	err = p.store.commit(&logWrite{snapshot: encoded, dropFrom: from, dropTo: to, number: doc.Header().Number, digest: doc.Digest()})
	switch {
	case errors.Is(err, ErrDiskFailed):
		p.logDiskError(err)
	case err != nil:
		return err
	default:
		p.snapshotNumber, p.deltasSinceSnapshot, p.bytesSinceSnapshot = doc.Header().Number, 0, 0
	}
	p.versions.reset(doc)
	p.logInForce(doc, true)
	return nil
}

// logInForce logs a version that the relay put in force.
func (p *Publisher) logInForce(doc *document.Document, snapshot bool) {
	p.log.Info("version in force", zap.Uint64("version", doc.Header().Number), zap.Stringer("digest", doc.Digest()), zap.Bool("snapshot", snapshot))
}

// logDiskError logs the first failure of the disk; only a restart ends it.
func (p *Publisher) logDiskError(err error) {
	if errors.Is(err, ErrDiskFailed) && !p.diskErrorLogged {
		p.diskErrorLogged = true
		p.log.Error("the log cannot be written: no version is stored until the next start", zap.Error(err))
	}
}

// originatorSilence is the time since the originator was last heard.
func (p *Publisher) originatorSilence() time.Duration {
	if p.relay == nil {
		return 0
	}
	return p.relay.State().OriginatorSilence
}
