package follow

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
)

// waitTimeout bounds every wait, so that what never happens fails the test instead
// of hanging it.
const waitTimeout = 20 * time.Second

// fakePublisher is a publisher whose messages are sent by the test.
type fakePublisher struct {
	t       *testing.T
	address string
	streams chan *fakeStream
	server  *http.Server
}

// fakeStream is one follower's stream at a fakePublisher.
type fakeStream struct {
	t        *testing.T
	hello    protocol.Hello
	acks     chan protocol.Ack
	closed   chan struct{} // closed when the follower has ended it
	w        http.ResponseWriter
	finished chan struct{}
	once     sync.Once
	mu       sync.Mutex // held while the stream is written to
	ended    bool       // the stream must not be written to any more
}

// newFakePublisher starts a publisher on a free port.
func newFakePublisher(t *testing.T) *fakePublisher {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveFakePublisher(t, l)
}

func serveFakePublisher(t *testing.T, l net.Listener) *fakePublisher {
	f := &fakePublisher{t: t, address: l.Addr().String(), streams: make(chan *fakeStream, 64)}
	f.server = &http.Server{Protocols: new(http.Protocols), Handler: http.HandlerFunc(f.serve)}
	f.server.Protocols.SetUnencryptedHTTP2(true)
	go f.server.Serve(l) //nolint:errcheck // it ends with Close
	t.Cleanup(f.close)
	return f
}

func (f *fakePublisher) close() { f.server.Close() }

func (f *fakePublisher) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != protocol.PathFollow || r.Method != http.MethodPost {
		http.NotFound(w, r)
		return
	}
	s := &fakeStream{t: f.t, acks: make(chan protocol.Ack, 4096), closed: make(chan struct{}), w: w, finished: make(chan struct{})}
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	from := protocol.NewReader(r.Body)
	var first protocol.FollowerMessage
	if err := from.Read(&first); err != nil || first.Hello == nil {
		return
	}
	s.hello = *first.Hello
	go func() {
		defer close(s.closed)
		for {
			var m protocol.FollowerMessage
			if err := from.Read(&m); err != nil || m.Ack == nil {
				return
			}
			s.acks <- *m.Ack
		}
	}()
	f.streams <- s
	select {
	case <-s.finished:
	case <-s.closed:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}

// nextStream waits for the next follower's stream.
func (f *fakePublisher) nextStream() *fakeStream {
	f.t.Helper()
	select {
	case s := <-f.streams:
		return s
	case <-time.After(waitTimeout):
		f.t.Fatal("no follower connects")
		return nil
	}
}

// expectNoStream fails the test if a follower has connected.
func (f *fakePublisher) expectNoStream() {
	f.t.Helper()
	select {
	case s := <-f.streams:
		f.t.Errorf("%s has connected", s.hello.Name)
	default:
	}
}

func (s *fakeStream) send(m protocol.PublisherMessage) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return // the follower has disconnected
	}
	if err := protocol.NewWriter(s.w).Write(&m); err == nil { // else it is disconnecting
		s.w.(http.Flusher).Flush()
	}
}

func (s *fakeStream) heartbeat(doc *document.Document, silence time.Duration) {
	s.t.Helper()
	b := protocol.Heartbeat{OriginatorSilenceMS: silence.Milliseconds()}
	if doc != nil {
		b.Number, b.Digest = doc.Header().Number, doc.Digest()
	}
	s.send(protocol.PublisherMessage{Heartbeat: &b})
}

func (s *fakeStream) delta(d *document.Delta) {
	s.t.Helper()
	s.send(protocol.PublisherMessage{Delta: encode(s.t, d)})
}

func (s *fakeStream) snapshot(doc *document.Document) {
	s.t.Helper()
	b, err := doc.Snapshot()
	if err != nil {
		s.t.Fatal(err)
	}
	s.send(protocol.PublisherMessage{Snapshot: b})
}

// heartbeats sends heartbeats, more often than needed, until stop is called or the
// test ends.
func (s *fakeStream) heartbeats(doc *document.Document, silence time.Duration) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			s.heartbeat(doc, silence)
			select {
			case <-done:
				return
			case <-s.closed:
				return
			case <-time.After(protocol.HeartbeatInterval / 4):
			}
		}
	}()
	var once sync.Once
	stop = func() { once.Do(func() { close(done); <-ended }) }
	s.t.Cleanup(stop)
	return stop
}

// end ends the stream on the publisher's side.
func (s *fakeStream) end() { s.once.Do(func() { close(s.finished) }) }

// ack waits for the next acknowledgement.
func (s *fakeStream) ack() protocol.Ack {
	s.t.Helper()
	select {
	case a := <-s.acks:
		return a
	case <-time.After(waitTimeout):
		s.t.Fatal("no ack")
		return protocol.Ack{}
	}
}

// waitClosed waits until the follower has ended the stream.
func (s *fakeStream) waitClosed() {
	s.t.Helper()
	select {
	case <-s.closed:
	case <-time.After(waitTimeout):
		s.t.Fatal("the follower does not end the stream")
	}
}

func encode(t *testing.T, d *document.Delta) []byte {
	t.Helper()
	b, err := d.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// step makes a version on top of doc which sets a team's quota.
func step(t *testing.T, doc *document.Document, team string, quota float64) (*document.Document, *document.Delta) {
	t.Helper()
	d, err := doc.Draft([]document.Change{{Team: &document.Team{Name: team, Quota: quota}}},
		document.Meta{Author: "test", Reason: "a step", Time: 1_700_000_000_000_000 + int64(doc.Header().Number)})
	if err != nil {
		t.Fatal(err)
	}
	next, err := doc.Apply(d)
	if err != nil {
		t.Fatal(err)
	}
	return next, d
}

// makeVersions makes versions 1 to n: docs[i] is version i, deltas[i] the step to
// it.
func makeVersions(t *testing.T, n int) (docs []*document.Document, deltas []*document.Delta) {
	t.Helper()
	docs, deltas = []*document.Document{document.Empty()}, []*document.Delta{nil}
	for i := 1; i <= n; i++ {
		doc, d := step(t, docs[i-1], fmt.Sprintf("team-%d", i%7), float64(i))
		docs, deltas = append(docs, doc), append(deltas, d)
	}
	return docs, deltas
}

// appliedVersion is one call of server.apply.
type appliedVersion struct {
	doc   *document.Document
	delta *document.Delta
}

// server stands in for a follower's server: it checks that versions come in order,
// each delta on the version in force.
type server struct {
	t       *testing.T
	mu      sync.Mutex
	inForce *document.Document // nil = the server's own file
	all     []appliedVersion   // every version it was given
	refuse  map[uint64]error   // versions that it refuses, by number
}

var errUnusable = errors.New("class x: no good here")

func (s *server) apply(_ context.Context, doc *document.Document, delta *document.Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delta != nil && (s.inForce == nil || delta.Header.Parent != s.inForce.Digest() || delta.Header.Digest() != doc.Digest()) {
		s.t.Errorf("version %d came as a delta on another version than the one in force", doc.Header().Number)
	}
	if s.inForce != nil && doc.Header().Number <= s.inForce.Header().Number {
		s.t.Errorf("version %d after %d", doc.Header().Number, s.inForce.Header().Number)
	}
	s.all = append(s.all, appliedVersion{doc, delta})
	if err := s.refuse[doc.Header().Number]; err != nil {
		return err
	}
	s.inForce = doc
	return nil
}

// testFollower is a follower under test, with its server.
type testFollower struct {
	*Follower
	server *server
	logs   *observer.ObservedLogs
	cancel context.CancelFunc
	ended  chan struct{}
}

// settings are those of a follower of these publishers, all in its region.
func settings(publishers ...*fakePublisher) Settings {
	set := Settings{Name: "server-1", Region: "north", Seed: 7, InitialWait: waitTimeout}
	for _, p := range publishers {
		set.Publishers = append(set.Publishers, Endpoint{p.address, "north"})
	}
	return set
}

// rankPublishers returns the publishers in the follower's order of preference.
func rankPublishers(set *Settings, publishers ...*fakePublisher) (ranked []*fakePublisher) {
	for _, p := range newSelector(set).order {
		for _, f := range publishers {
			if f.address == set.Publishers[p].Address {
				ranked = append(ranked, f)
			}
		}
	}
	return ranked
}

// newTestFollower makes a follower that is not running yet.
func newTestFollower(t *testing.T, set Settings) *testFollower {
	t.Helper()
	core, logs := observer.New(zapcore.DebugLevel)
	set.Log = zap.New(core)
	f, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	fo := &testFollower{Follower: f, server: &server{t: t, refuse: map[uint64]error{}}, logs: logs}
	t.Cleanup(func() {
		fo.stop()
		if t.Failed() {
			for _, e := range logs.All() {
				t.Logf("%s %s %v", e.Level, e.Message, e.ContextMap())
			}
		}
	})
	return fo
}

// run runs the follower in the background.
func (f *testFollower) run() *testFollower {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel, f.ended = cancel, make(chan struct{})
	go func() {
		defer close(f.ended)
		f.Run(ctx, f.server.apply)
	}()
	return f
}

// startFollower makes a follower and runs it.
func startFollower(t *testing.T, set Settings) *testFollower {
	t.Helper()
	return newTestFollower(t, set).run()
}

// stop ends the follower and waits for it.
func (f *testFollower) stop() {
	if f.cancel != nil {
		f.cancel()
		<-f.ended
	}
}

// logCount counts the log lines that contain text.
func (f *testFollower) logCount(text string) int {
	n := 0
	for _, e := range f.logs.All() {
		if strings.Contains(e.Message, text) {
			n++
		}
	}
	return n
}

// eventually waits until ok returns true.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(began) > waitTimeout {
			t.Fatalf("%s: not within %v", what, waitTimeout)
		}
	}
}
