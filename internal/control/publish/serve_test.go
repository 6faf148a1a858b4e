package publish

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"kiteslip/internal/control/document"
	"kiteslip/internal/control/protocol"
	"kiteslip/internal/faultnet"
)

// testContext returns a context that bounds a request.
func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

// documentAt returns the document of a version that m published, as a follower has
// it.
func (m *machine) documentAt(t testing.TB, number uint64) *document.Document {
	t.Helper()
	doc := document.Empty()
	for _, e := range m.versions.entries[:number] {
		var err error
		doc, err = applyMessage(doc, e.message)
		if err != nil {
			t.Fatal(err)
		}
	}
	return doc
}

// lagging returns the followers that lag, refused a version or are on a fork.
func lagging(t testing.TB, m *machine) []protocol.Follower {
	t.Helper()
	followers, err := m.Followers(testContext(t), true)
	if err != nil {
		t.Fatal(err)
	}
	return followers
}

// TestHello: what a follower is sent depends on the version in its Hello.
func TestHello(t *testing.T) {
	m := serve(t, Settings{MaxDeltas: 16})
	empty := connectFollower(t, m.Address, protocol.Hello{})
	if b := empty.nextHeartbeat(); b.Number != 0 || b.OriginatorSilenceMS != 0 {
		t.Errorf("before the first version: %+v", b)
	}
	m.versionsUpTo(t, 10)
	docs := map[uint64]*document.Document{}
	for n := uint64(1); n <= 10; n++ {
		docs[n] = m.documentAt(t, n)
	}
	if doc, snapshots, _ := empty.applyUpTo(document.Empty(), 10); doc.Digest() != m.Document().Digest() || snapshots != 1 {
		t.Errorf("a follower without a version: version %d after %d snapshots", doc.Header().Number, snapshots)
	}
	m.versionsUpTo(t, 20) // the log reaches back to version 4
	for _, c := range []struct {
		name             string
		on               uint64
		snapshots, steps int
	}{{"none", 0, 1, 0}, {"older than the log", 3, 1, 0}, {"the oldest", 4, 0, 16}, {"in the log", 9, 0, 11}} {
		doc := document.Empty()
		if c.on > 0 {
			doc = docs[c.on]
		}
		p := connectFollower(t, m.Address, protocol.Hello{Name: "s-" + c.name, Number: c.on, Digest: doc.Digest()})
		if b := p.nextHeartbeat(); b.Number != 20 || b.Digest != m.Document().Digest() {
			t.Errorf("%s: the first heartbeat is %+v", c.name, b)
		}
		doc, snapshots, steps := p.applyUpTo(doc, 20)
		if doc.Digest() != m.Document().Digest() || snapshots != c.snapshots || steps != c.steps {
			t.Errorf("%s: %d snapshots and %d deltas, want %d and %d", c.name, snapshots, steps, c.snapshots, c.steps)
		}
	}
	current := m.Document()
	p := connectFollower(t, m.Address, protocol.Hello{Name: "current", Number: 20, Digest: current.Digest()})
	p.nextHeartbeat()
	m.versionsUpTo(t, 21)
	if doc, snapshots, steps := p.applyUpTo(current, 21); doc.Digest() != m.Document().Digest() || snapshots != 0 || steps != 1 {
		t.Errorf("a current follower: %d snapshots, %d deltas", snapshots, steps)
	}
}

// TestForkIsLogged: a follower on another version with a known number gets
// heartbeats only; the fork is logged as an error and listed, and all other
// followers go on.
func TestForkIsLogged(t *testing.T) {
	m := serve(t, Settings{})
	m.versionsUpTo(t, 5)
	for i, h := range []protocol.Hello{{Name: "on-5", Number: 5, Digest: document.Digest{9}}, {Name: "on-3", Number: 3, Digest: document.Digest{9}}} {
		p := connectFollower(t, m.Address, h)
		p.nextHeartbeat()
		eventually(t, "the fork is logged", func() bool {
			return m.logs.FilterMessageSnippet("fork").Len() == i+1
		})
		m.mustPublish(t, team("z", float64(i+1)))
		for range 2 {
			if b := p.nextHeartbeat(); b.Digest == h.Digest {
				t.Errorf("%+v", b)
			}
		}
	}
	other := connectFollower(t, m.Address, protocol.Hello{Name: "sound"})
	other.applyUpTo(document.Empty(), 7)
	eventually(t, "the other follower is current", func() bool { return len(lagging(t, m)) == 2 })
	followers, err := m.Followers(testContext(t), true)
	if err != nil || len(followers) != 2 || !followers[0].Fork || !followers[1].Fork || followers[0].Name != "on-3" || followers[0].LagMS == 0 {
		t.Errorf("%+v, %v", followers, err)
	}
	if v, err := m.Version(testContext(t)); err != nil || v.Forks != 2 {
		t.Errorf("%+v, %v", v, err)
	}
	// A follower that reports the fork itself, and one whose acknowledgement shows
	// it.
	for _, a := range []protocol.Ack{{Number: 7, Digest: m.Document().Digest(), Fork: true}, {Number: 6, Digest: document.Digest{3}}} {
		_, before := m.registry.counts()
		p := connectFollower(t, m.Address, protocol.Hello{Name: "late", Number: 7, Digest: m.Document().Digest()})
		p.send(protocol.FollowerMessage{Ack: &a})
		eventually(t, "the fork is counted", func() bool { _, n := m.registry.counts(); return n == before+1 })
	}
}

// TestFollowerAhead: a follower that is ahead of this machine, which lags behind the
// originator, gets heartbeats only until the machine has caught up, then the
// versions that follow.
func TestFollowerAhead(t *testing.T) {
	a := serve(t, Settings{Name: "c0"})
	b := serve(t, Settings{Name: "c1"})
	for _, m := range []*machine{a, b} {
		for n := range 3 {
			by := testMeta
			by.Time = int64(1e18) + int64(n) // the same versions on both
			if _, err := m.Publish([]document.Change{team("a", float64(n+1))}, by, document.Digest{}); err != nil {
				t.Fatal(err)
			}
		}
	}
	step := func(m *machine, n int) {
		t.Helper()
		by := testMeta
		by.Time = int64(1e18) + int64(n)
		if _, err := m.Publish([]document.Change{team("a", float64(n+1))}, by, document.Digest{}); err != nil {
			t.Fatal(err)
		}
	}
	for n := 3; n < 6; n++ {
		step(a, n)
	}
	doc := a.Document()
	p := connectFollower(t, b.Address, protocol.Hello{Number: 6, Digest: doc.Digest()})
	for range 2 {
		if got := p.nextHeartbeat(); got.Number != 3 {
			t.Errorf("%+v", got)
		}
	}
	for n := 3; n < 7; n++ {
		step(b, n)
	}
	if doc, _, steps := p.applyUpTo(doc, 7); doc.Digest() != b.Document().Digest() || steps != 1 {
		t.Errorf("after %d deltas on %d", steps, doc.Header().Number)
	}
	if n := b.logs.FilterMessageSnippet("fork").Len(); n != 0 {
		t.Errorf("%d forks", n)
	}
}

// TestBadStreamsEnd: streams with no, invalid, oversized or truncated messages are
// closed; none holds a slot for long, and other followers are served.
func TestBadStreamsEnd(t *testing.T) {
	m := serve(t, Settings{}, func(p *Publisher) { p.helloTimeout = 50 * time.Millisecond })
	m.versionsUpTo(t, 1)
	long := strings.Repeat("x", 200)
	for name, send := range map[string]func(p *testFollower){
		"nothing":           func(p *testFollower) {},
		"truncated message": func(p *testFollower) { p.sendRaw([]byte{0xa1, 0x01}) },
		"no CBOR":           func(p *testFollower) { p.sendRaw([]byte("GET / HTTP/1.1\r\n")) },
		"endless": func(p *testFollower) {
			p.sendRaw(append([]byte{0xa1, 0x01, 0x9b, 0, 0, 0, 0, 0x7f, 0, 0, 0}, make([]byte, 64<<10)...))
		},
		"a long text": func(p *testFollower) {
			p.sendRaw(append([]byte{0xa1, 0x01, 0xa1, 0x01, 0x7a, 0, 1, 0, 0}, bytes.Repeat([]byte("x"), 64<<10)...))
		},
		"deep":        func(p *testFollower) { p.sendRaw(bytes.Repeat([]byte{0x81}, 5000)) },
		"neither":     func(p *testFollower) { p.send(protocol.FollowerMessage{}) },
		"no name":     func(p *testFollower) { p.send(protocol.FollowerMessage{Hello: &protocol.Hello{}}) },
		"a long name": func(p *testFollower) { p.send(protocol.FollowerMessage{Hello: &protocol.Hello{Name: long}}) },
		"a long region": func(p *testFollower) {
			p.send(protocol.FollowerMessage{Hello: &protocol.Hello{Name: "a", Region: long}})
		},
		"Ack first": func(p *testFollower) { p.send(protocol.FollowerMessage{Ack: &protocol.Ack{}}) },
		"Hello and Ack": func(p *testFollower) {
			p.send(protocol.FollowerMessage{Hello: &protocol.Hello{Name: "a"}, Ack: &protocol.Ack{}})
		},
		"two Hellos": func(p *testFollower) {
			for range 2 {
				p.send(protocol.FollowerMessage{Hello: &protocol.Hello{Name: "a"}})
			}
		},
		"invalid after Hello": func(p *testFollower) {
			p.send(protocol.FollowerMessage{Hello: &protocol.Hello{Name: "a"}})
			p.sendRaw([]byte{0xff})
		},
	} {
		p, err := dial(t, m.Address)
		if err != nil {
			t.Fatal(err)
		}
		go send(p) // the machine may stop reading halfway
		for n := 0; err == nil && n < 10; n++ {
			_, err = p.next()
		}
		if err == nil {
			t.Errorf("%s: the stream is not closed", name)
		}
	}
	eventually(t, "all slots are free", func() bool { n, _ := m.registry.counts(); return n == 0 && len(m.streamSlots) == 0 })
	connectFollower(t, m.Address, protocol.Hello{}).applyUpTo(document.Empty(), 1)
}

// TestSilentFollowerDisconnected: a follower that reads what it is sent and never
// acknowledges it is disconnected; one that acknowledges stays.
func TestSilentFollowerDisconnected(t *testing.T) {
	m := serve(t, Settings{}, func(p *Publisher) { p.ackTimeout = 100 * time.Millisecond })
	m.versionsUpTo(t, 1)
	good := connectFollower(t, m.Address, protocol.Hello{Name: "good"})
	good.applyUpTo(document.Empty(), 1)
	silent := connectFollower(t, m.Address, protocol.Hello{Name: "silent"})
	for {
		if _, err := silent.next(); err != nil {
			break
		}
	}
	var followers []protocol.Follower
	eventually(t, "it is listed as disconnected", func() (listed bool) {
		var err error
		if followers, err = m.Followers(testContext(t), false); err != nil {
			t.Fatal(err)
		}
		return len(followers) == 2 && !followers[1].Connected
	})
	if !followers[0].Connected || followers[0].LagMS != 0 || followers[1].LagMS == 0 {
		t.Errorf("%+v", followers)
	}
}

// TestDeadConnectionClosed: a follower whose machine or network has failed without
// closing the connection is disconnected, although the system still accepts the few
// bytes that are sent to it.
func TestDeadConnectionClosed(t *testing.T) {
	m := serve(t, Settings{}, func(p *Publisher) { p.pingIdleTime, p.pingTimeout = 100*time.Millisecond, 500*time.Millisecond })
	m.versionsUpTo(t, 1)
	link, err := faultnet.New(m.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	p := connectFollower(t, link.Address, protocol.Hello{Name: "dead"})
	p.applyUpTo(document.Empty(), 1)
	link.Silence(faultnet.ToTarget)
	link.Silence(faultnet.FromTarget)
	eventually(t, "it is listed as disconnected", func() bool {
		followers, err := m.Followers(testContext(t), false)
		return err == nil && len(followers) == 1 && !followers[0].Connected
	})
}

// TestStreamsAreBounded: one stream more than there are slots is refused with
// Retry-After, and accepted when a slot is free.
func TestStreamsAreBounded(t *testing.T) {
	m := serve(t, Settings{}, func(p *Publisher) { p.streamSlots = make(chan struct{}, 2) })
	a := connectFollower(t, m.Address, protocol.Hello{Name: "a"})
	a.nextHeartbeat()
	b := connectFollower(t, m.Address, protocol.Hello{Name: "b"})
	b.nextHeartbeat()
	if _, err := dial(t, m.Address); err == nil || !strings.Contains(err.Error(), `status 503, Retry-After "2"`) {
		t.Errorf("%v", err)
	}
	a.close()
	eventually(t, "a slot is free", func() bool { _, err := dial(t, m.Address); return err == nil })
}

// TestDisconnectedFollowers: disconnected followers are listed for a while, up to a
// bound; one that reconnected is listed once.
func TestDisconnectedFollowers(t *testing.T) {
	r, v := newFollowerRegistry(), newVersionLog(document.Empty())
	now := time.Now()
	for i := range maxDisconnected + 10 {
		r.leave(r.join(&protocol.Hello{Name: fmt.Sprintf("s%05d", i)}, now), now.Add(time.Duration(i)))
	}
	followers := r.list(v, now.Add(time.Second))
	if len(followers) != maxDisconnected || followers[0].Name != "s00010" || !slices.IsSortedFunc(followers, func(a, b protocol.Follower) int { return strings.Compare(a.Name, b.Name) }) {
		t.Errorf("%d followers, the first %+v", len(followers), followers[0])
	}
	reconnected := r.join(&protocol.Hello{Name: "s00100"}, now)
	second := r.join(&protocol.Hello{Name: "s00100"}, now)
	r.leave(reconnected, now)
	if followers = r.list(v, now); len(followers) != maxDisconnected {
		t.Errorf("%d followers with a follower that reconnected", len(followers))
	}
	r.leave(second, now)
	if followers = r.list(v, now.Add(2*disconnectedRetention)); len(followers) != 0 {
		t.Errorf("%d followers after the retention time", len(followers))
	}
}

// TestClient: the Client returns what was published, all faults of a file, and for
// each refusal the error that the machine had.
func TestClient(t *testing.T) {
	m := serve(t, Settings{})
	ctx := testContext(t)
	const file = "[machine]\ncores = 2\n[[team]]\nname = \"red\"\nrequests_per_s = 5\n[[service]]\nname = \"maps\"\nowner = \"red\"\n" +
		"[[service.contract]]\nclass = \"draw\"\neffect = \"repeatable\"\ndeadline_ms = 900\n"
	h, err := m.PublishFile(ctx, []byte(file), document.Meta{Author: "ana ö", Reason: "line\nline"}, document.Digest{})
	if err != nil || h != m.Document().Header() || h.Author != "ana ö" || h.Reason != "line\nline" || h.Time == 0 {
		t.Fatalf("%+v, %v", h, err)
	}
	if _, ok := m.Document().Service("maps"); !ok {
		t.Error("the service is missing")
	}
	v, err := m.Version(ctx)
	if err != nil || v.Number != 1 || !strings.HasPrefix(v.Digest, m.Document().Digest().String()) || v.Originator != "" || v.PublisherName != "c0" {
		t.Errorf("%+v, %v", v, err)
	}
	base := m.Document().Digest()
	if h, err = m.PublishChanges(ctx, []document.Change{team("blue", 3)}, testMeta, base); err != nil || h.Number != 2 || h.Parent != base {
		t.Errorf("%+v, %v", h, err)
	}
	for _, c := range []struct {
		name  string
		do    func() error
		want  error
		texts []string
	}{
		{"the same file", func() error {
			_, err := m.PublishFile(ctx, []byte(file+"[[team]]\nname = \"blue\"\nrequests_per_s = 3\n"), testMeta, document.Digest{})
			return err
		}, ErrNoChange, nil},
		{"another base", func() error { _, err := m.PublishFile(ctx, []byte(file), testMeta, base); return err }, ErrBaseMismatch, []string{"in force is 2"}},
		{"faults in the file", func() error {
			_, err := m.PublishFile(ctx, []byte(strings.ReplaceAll(file, "requests_per_s", "quota")+"[[teem]]\nname = \"a\"\n"), testMeta, document.Digest{})
			return err
		}, ErrInvalidChanges, []string{"team.quota", "teem"}},
		{"names twice", func() error {
			_, err := m.PublishFile(ctx, []byte(file+"[[team]]\nname = \"red\"\nrequests_per_s = 1\n[[team]]\nrequests_per_s = 1\n"), testMeta, document.Digest{})
			return err
		}, ErrInvalidChanges, []string{"team[1].name", "team[2].name"}},
		{"no TOML", func() error { _, err := m.PublishFile(ctx, []byte("]"), testMeta, document.Digest{}); return err }, ErrInvalidChanges, nil},
		{"faulty changes", func() error {
			_, err := m.PublishChanges(ctx, []document.Change{team("a", -1), {Drop: true, Team: &document.Team{Name: "nobody"}}}, testMeta, document.Digest{})
			return err
		}, ErrInvalidChanges, []string{"a", "nobody"}},
		{"no author or reason", func() error {
			_, err := m.PublishChanges(ctx, []document.Change{team("a", 1)}, document.Meta{}, document.Digest{})
			return err
		}, ErrInvalidChanges, []string{"author", "reason"}},
		{"a long reason", func() error {
			_, err := m.PublishChanges(ctx, []document.Change{team("a", 1)}, document.Meta{Author: "a", Reason: strings.Repeat("x", document.MaxTextBytes+1)}, document.Digest{})
			return err
		}, ErrInvalidChanges, []string{"reason"}},
	} {
		err := c.do()
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		for _, text := range c.texts {
			if err == nil || !strings.Contains(err.Error(), text) {
				t.Errorf("%s: %v does not name %q", c.name, err, text)
			}
		}
	}
	if m.Document().Header() != h {
		t.Error("a refused version is in force")
	}
}

// TestStatus: invalid requests are answered with a fitting status.
func TestStatus(t *testing.T) {
	m := serve(t, Settings{})
	post := func(path, kind, body string) int {
		t.Helper()
		a, err := http.Post("http://"+m.Address+path, kind, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		a.Body.Close()
		return a.StatusCode
	}
	const meta = "?author=a&reason=b"
	for _, c := range []struct {
		path, kind, body string
		want             int
	}{
		{protocol.PathFollow, "", "", 505}, // HTTP/1.1
		{protocol.PathVersions + meta, "text/plain", "x", 415},
		{protocol.PathVersions + meta, typeChanges, "x", 400},
		{protocol.PathVersions + meta, typeChanges, "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 400},
		{protocol.PathVersions + meta + "&base=12", typeFile, "", 400},
		{protocol.PathVersions + meta, typeFile, strings.Repeat("#", protocol.MaxMessageBytes+1), 400},
		{protocol.PathVersions + meta, typeFile, "", 409},
		{protocol.PathVersion, "", "", 405},
		{"/", "", "", 404},
	} {
		if got := post(c.path, c.kind, c.body); got != c.want {
			t.Errorf("%s %s %.20q: %d, want %d", c.path, c.kind, c.body, got, c.want)
		}
	}
	for range maxBodyReads {
		m.bodySlots <- struct{}{}
	}
	if got := post(protocol.PathVersions+meta, typeFile, ""); got != 503 {
		t.Errorf("%d, want 503", got)
	}
}

// TestShutdown: a machine that shuts down ends its streams within its timeout.
func TestShutdown(t *testing.T) {
	m := serve(t, Settings{})
	m.versionsUpTo(t, 1)
	p := connectFollower(t, m.Address, protocol.Hello{})
	p.applyUpTo(document.Empty(), 1)
	began := time.Now()
	m.shutDown()
	for {
		if _, err := p.next(); err != nil {
			break
		}
	}
	if took := time.Since(began); took > shutdownTimeout {
		t.Errorf("it took %v", took)
	}
}
