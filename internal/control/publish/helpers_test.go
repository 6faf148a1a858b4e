package publish

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/follow"
	"kiteslip/internal/control/protocol"
)

// waitTimeout bounds every wait, so that what never happens fails the test instead
// of hanging it.
const waitTimeout = 20 * time.Second

var testMeta = document.Meta{Author: "test", Reason: "a test"}

// team is the change that sets a team's quota.
func team(name string, quota float64) document.Change {
	return document.Change{Team: &document.Team{Name: name, Quota: quota}}
}

// eventually waits until ok returns true.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > waitTimeout {
			t.Fatalf("%s: not within %v", what, waitTimeout)
		}
	}
}

// machine is a control machine that serves in this process.
type machine struct {
	*Publisher
	*Client
	logs     *observer.ObservedLogs
	shutDown func()
}

// freeAddress returns an address with a port that was free just now.
func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// serve opens a publisher and lets it serve until the test ends or shutDown is
// called.
func serve(t testing.TB, set Settings, tune ...func(*Publisher)) *machine {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	set.Log = zap.New(core)
	if set.Name == "" {
		set.Name = "c0"
	}
	if set.Region == "" {
		set.Region = "north"
	}
	if set.Listen == "" {
		set.Listen = freeAddress(t)
	}
	if set.Folder == "" {
		set.Folder = t.TempDir()
	}
	p, err := Open(set)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range tune {
		f(p)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Serve(ctx) }()
	m := &machine{Publisher: p, Client: &Client{Address: set.Listen}, logs: logs}
	m.shutDown = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("Serve: %v", err)
		}
		if err := p.Close(); err != nil {
			t.Errorf("Close: %v", err)
		}
	})
	t.Cleanup(m.shutDown)
	eventually(t, "it serves", func() bool { return logs.FilterMessage("serving").Len() == 1 })
	return m
}

// mustPublish publishes changes.
func (m *machine) mustPublish(t testing.TB, changes ...document.Change) document.Header {
	t.Helper()
	h, err := m.Publish(changes, testMeta, document.Digest{})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// versionsUpTo publishes versions until that number is in force.
func (m *machine) versionsUpTo(t testing.TB, number uint64) {
	t.Helper()
	for n := m.Document().Header().Number + 1; n <= number; n++ {
		m.mustPublish(t, team(fmt.Sprint("t", n%50), float64(n)))
	}
}

// testFollower is a follower whose messages are sent by the test.
type testFollower struct {
	t         testing.TB
	out       *io.PipeWriter
	in        io.ReadCloser
	dec       *cbor.Decoder
	transport *http.Transport
}

// http2Transport is a transport for HTTP/2 without TLS.
func http2Transport() *http.Transport {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: &protocols}
}

// dial opens a stream without a Hello.
func dial(t testing.TB, address string) (*testFollower, error) {
	r, w := io.Pipe()
	f := &testFollower{t: t, out: w, transport: http2Transport()}
	t.Cleanup(f.close)
	q, err := http.NewRequest(http.MethodPost, "http://"+address+protocol.PathFollow, r)
	if err != nil {
		return f, err
	}
	a, err := f.transport.RoundTrip(q)
	if err != nil {
		return f, err
	}
	f.in = a.Body
	if a.StatusCode != http.StatusOK {
		return f, fmt.Errorf("status %d, Retry-After %q", a.StatusCode, a.Header.Get("Retry-After"))
	}
	mode, err := cbor.DecOptions{}.DecMode()
	f.dec = mode.NewDecoder(a.Body)
	return f, err
}

// connectFollower opens a stream and sends a Hello.
func connectFollower(t testing.TB, address string, h protocol.Hello) *testFollower {
	t.Helper()
	f, err := dial(t, address)
	if err != nil {
		t.Fatal(err)
	}
	if h.Name == "" {
		h.Name = "s0"
	}
	f.send(protocol.FollowerMessage{Hello: &h})
	return f
}

func (f *testFollower) close() {
	f.out.CloseWithError(errors.New("closed by the test"))
	if f.in != nil {
		f.in.Close()
	}
	f.transport.CloseIdleConnections()
}

func (f *testFollower) send(m protocol.FollowerMessage) {
	f.t.Helper()
	b, err := cbor.Marshal(&m)
	if err != nil {
		f.t.Fatal(err)
	}
	f.sendRaw(b)
}

func (f *testFollower) sendRaw(b []byte) {
	f.out.Write(b) //nolint:errcheck // a stream that has ended is noticed by the reads
}

func (f *testFollower) ack(doc *document.Document) {
	f.send(protocol.FollowerMessage{Ack: &protocol.Ack{Number: doc.Header().Number, Digest: doc.Digest()}})
}

// next is the next message, whatever it is; an error is the end of the stream.
func (f *testFollower) next() (m protocol.PublisherMessage, err error) {
	return m, f.dec.Decode(&m)
}

// nextVersion is the next message that is no heartbeat.
func (f *testFollower) nextVersion() (m protocol.PublisherMessage, err error) {
	for m.Delta == nil && m.Snapshot == nil && err == nil {
		m = protocol.PublisherMessage{}
		err = f.dec.Decode(&m)
	}
	return m, err
}

// nextHeartbeat is the next message, which must be a heartbeat.
func (f *testFollower) nextHeartbeat() *protocol.Heartbeat {
	f.t.Helper()
	m, err := f.next()
	if err != nil || m.Heartbeat == nil {
		f.t.Fatalf("%d bytes of a delta, %d of a snapshot, %v: want a heartbeat", len(m.Delta), len(m.Snapshot), err)
	}
	return m.Heartbeat
}

// applyUpTo applies versions until that one is in force, and returns it with the
// number of snapshots and deltas that it took.
func (f *testFollower) applyUpTo(doc *document.Document, number uint64) (_ *document.Document, snapshots, deltas int) {
	f.t.Helper()
	for doc.Header().Number < number {
		m, err := f.nextVersion()
		if err != nil {
			f.t.Fatalf("on version %d: %v", doc.Header().Number, err)
		}
		if m.Snapshot != nil {
			snapshots++
			doc, err = document.DecodeSnapshot(m.Snapshot)
		} else {
			deltas++
			var delta *document.Delta
			if delta, err = document.DecodeDelta(m.Delta); err == nil {
				doc, err = doc.Apply(delta)
			}
		}
		if err != nil {
			f.t.Fatal(err)
		}
		f.ack(doc)
	}
	return doc, snapshots, deltas
}

// relayOf are the settings of a relay that follows these addresses.
func relayOf(name string, addresses ...string) Settings {
	s := Settings{Name: name}
	for _, a := range addresses {
		s.Upstreams = append(s.Upstreams, follow.Endpoint{Address: a, Region: "north"})
	}
	return s
}

// applyMessage applies an encoded message.
func applyMessage(doc *document.Document, message []byte) (*document.Document, error) {
	var m protocol.PublisherMessage
	if err := cbor.Unmarshal(message, &m); err != nil {
		return nil, err
	}
	if m.Snapshot != nil {
		return document.DecodeSnapshot(m.Snapshot)
	}
	delta, err := document.DecodeDelta(m.Delta)
	if err != nil {
		return nil, err
	}
	return doc.Apply(delta)
}
