package publish

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
	"kiteslip/internal/faultnet"
)

// randomTeams are changes of n teams with names that do not compress.
func randomTeams(rng *rand.Rand, n int) []document.Change {
	list := make([]document.Change, n)
	for i := range list {
		list[i] = team(fmt.Sprintf("%016x%016x%016x%016x", rng.Uint64(), rng.Uint64(), rng.Uint64(), rng.Uint64()), 1+rng.Float64())
	}
	return list
}

// heap returns the bytes in use after garbage collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestStuckFollowers: followers that do not read must not delay the others or make
// memory grow. All versions reach the other follower meanwhile, and the stuck ones
// are disconnected.
func TestStuckFollowers(t *testing.T) {
	const stuck, warm, versions, teams, bytes = 8, 10, 40, 4000, 1 << 20
	m := serve(t, Settings{MaxBytes: bytes})
	rng := rand.New(rand.NewPCG(1, 1))
	m.mustPublish(t, randomTeams(rng, 1)...)
	reading := connectFollower(t, m.Address, protocol.Hello{Name: "good"})
	doc, _, _ := reading.applyUpTo(document.Empty(), 1)
	link, err := faultnet.New(m.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	for i := range stuck {
		connectFollower(t, link.Address, protocol.Hello{Name: fmt.Sprint("stuck", i), Number: 1, Digest: doc.Digest()}).nextHeartbeat()
	}
	link.Silence(faultnet.FromTarget)
	before, sent, whileStuck := uint64(0), 0, 0
	var longest time.Duration
	for n := uint64(2); n < 2+versions; n++ {
		if n == 2+warm { // the log, tables and buffers have their final sizes
			before, sent = heap(), 0
		}
		changes := randomTeams(rng, teams)
		if n%2 == 1 { // so that the version itself stays bounded
			changes = nil
			for _, e := range doc.Content().Teams {
				changes = append(changes, document.Change{Drop: true, Team: &document.Team{Name: e.Name}})
			}
		}
		m.mustPublish(t, changes...)
		began := time.Now()
		doc, _, _ = reading.applyUpTo(doc, n)
		longest = max(longest, time.Since(began))
		if n, _ := m.registry.counts(); n == 1+stuck {
			whileStuck++
		}
		sent += len(m.versions.entries[len(m.versions.entries)-1].message)
	}
	after := heap()
	t.Logf("%d bytes of versions; the reading follower waits %v at most; the heap grows by %d KB", sent, longest, (int64(after)-int64(before))/1024)
	if whileStuck == 0 {
		t.Error("the reading follower got nothing while the others were stuck")
	}
	if sent < 4*bytes {
		t.Errorf("%d bytes of versions: too few for the bound on memory to show", sent)
	}
	if grown := int64(after) - int64(before); grown > int64(sent)/2 {
		t.Errorf("the heap grows by %d KB, while %d KB went through a log of %d KB", grown/1024, sent/1024, bytes/1024)
	}
	if doc.Digest() != m.Document().Digest() {
		t.Error("the reading follower is on another version")
	}
	eventually(t, "the stuck followers are disconnected", func() bool { n, _ := m.registry.counts(); return n == 1 })
	if lines := lagging(t, m); len(lines) != stuck || lines[0].Connected || lines[0].LagMS == 0 {
		t.Errorf("%+v", lines)
	}
}

// headerCache decodes each snapshot once for all followers.
type headerCache struct {
	mu      sync.Mutex
	headers map[[32]byte]document.Header
}

func (o *headerCache) header(encoded []byte) (document.Header, error) {
	sum := sha256.Sum256(encoded)
	o.mu.Lock()
	defer o.mu.Unlock()
	h, known := o.headers[sum]
	if known {
		return h, nil
	}
	doc, err := document.DecodeSnapshot(encoded)
	if err == nil {
		h = doc.Header()
		o.headers[sum] = h
	}
	return h, err
}

// followWithoutApplying follows without keeping documents, and records the latest
// version, until done is closed.
func followWithoutApplying(t *testing.T, address string, at *protocol.Hello, latest *atomic.Uint64, headers *headerCache, done <-chan struct{}) error {
	p, err := dial(t, address)
	if err != nil {
		return err
	}
	defer p.close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-done:
			p.close()
		case <-stop:
		}
	}()
	p.send(protocol.FollowerMessage{Hello: at})
	for {
		r, err := p.nextVersion()
		select {
		case <-done:
			return nil
		default:
		}
		if err != nil {
			return err
		}
		if (r.Snapshot != nil) != (at.Number == 0) {
			t.Errorf("%s on version %d: a snapshot of %d bytes", at.Name, at.Number, len(r.Snapshot))
		}
		if r.Snapshot != nil {
			header, err := headers.header(r.Snapshot)
			if err != nil {
				t.Errorf("%s: %v", at.Name, err)
				return nil
			}
			at.Number, at.Digest = header.Number, header.Digest()
		} else {
			delta, err := document.DecodeDelta(r.Delta)
			if err != nil || delta.Header.Parent != at.Digest {
				t.Errorf("%s on version %d: %v, parent %v", at.Name, at.Number, err, delta.Header.Parent)
				return nil
			}
			at.Number, at.Digest = delta.Header.Number, delta.Header.Digest()
		}
		p.send(protocol.FollowerMessage{Ack: &protocol.Ack{Number: at.Number, Digest: at.Digest}})
		latest.Store(at.Number)
	}
}

// TestAllAtOnce: the whole fleet starts at once, each server without a version. One
// snapshot must be encoded for all of them, and then all must get each new version.
func TestAllAtOnce(t *testing.T) {
	const fleet, teams, rounds = 470, 21_000, 5
	m := serve(t, Settings{})
	var changes []document.Change
	for i := range teams {
		changes = append(changes, team(fmt.Sprintf("team-%05d", i), float64(1+i%97)))
	}
	m.mustPublish(t, changes...)
	var latest [fleet]atomic.Uint64
	var reconnects atomic.Int64
	var followers sync.WaitGroup
	headers := headerCache{headers: map[[32]byte]document.Header{}}
	done := make(chan struct{})
	defer func() { close(done); followers.Wait() }()
	began := time.Now()
	for i := range fleet {
		followers.Go(func() {
			at := protocol.Hello{Name: fmt.Sprintf("s%03d", i), Region: "north"}
			// A follower that is disconnected on a very busy machine reconnects, as
			// a server does.
			for ; !t.Failed(); reconnects.Add(1) {
				err := followWithoutApplying(t, m.Address, &at, &latest[i], &headers, done)
				if err == nil {
					return
				}
				if reconnects.Load() < 20 {
					t.Logf("%s on version %d: %v", at.Name, at.Number, err)
				}
				time.Sleep(time.Duration(i) * time.Millisecond)
			}
		})
	}
	all := func(number uint64) func() bool {
		return func() bool {
			for i := range latest {
				if latest[i].Load() < number {
					return t.Failed()
				}
			}
			return true
		}
	}
	eventually(t, "all have the first version", all(1))
	start := time.Since(began)
	if m.versions.snapshotsMade != 1 {
		t.Errorf("%d snapshots were made for %d followers", m.versions.snapshotsMade, fleet)
	}
	shortest, longest := time.Hour, time.Duration(0)
	for n := range rounds {
		m.mustPublish(t, team("team-00007", float64(1000+n)))
		began := time.Now()
		eventually(t, "all have the next version", all(uint64(2+n)))
		took := time.Since(began)
		shortest, longest = min(shortest, took), max(longest, took)
	}
	eventually(t, "the publisher has all acknowledgements", func() bool { return len(lagging(t, m)) == 0 })
	if n, forks := m.registry.counts(); forks != 0 || n > fleet {
		t.Errorf("%d followers, %d forks", n, forks)
	}
	t.Logf("%d followers: the snapshot after %v, a new version after %v to %v; %d reconnects", fleet, start, shortest, longest, reconnects.Load())
	// The quickest counts, since other work on the machine may delay some.
	if shortest > 2*time.Second {
		t.Errorf("no version of %d reached all within 2 s, the quickest took %v", rounds, shortest)
	}
}
