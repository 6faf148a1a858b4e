package handover

import (
	"bytes"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Messages are decoded as they were encoded, however the stream is split.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []Message
		var stream []byte
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			m := Message{Kind: Kind(rapid.IntRange(int(Hello), int(Load)).Draw(t, "kind")), ID: rapid.Uint32().Draw(t, "id"),
				Arrived: rapid.Int64().Draw(t, "arrived"), WindowEnd: rapid.Int64().Draw(t, "guard"), BodyHash: rapid.Uint64().Draw(t, "sum"),
				Finished: rapid.Bool().Draw(t, "over"), Outcome: rapid.Byte().Draw(t, "outcome"), Runs: rapid.Uint32().Draw(t, "runs"),
				MemoryKB: rapid.Uint32().Draw(t, "kb"), Text: strings.Repeat("t", rapid.IntRange(0, maxTextBytes).Draw(t, "text")),
				Key: strings.Repeat("k", rapid.IntRange(0, maxTextBytes).Draw(t, "key")), Result: rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "result")}
			var err error
			if stream, err = Append(stream, &m); err != nil {
				t.Fatal(err)
			}
			sent = append(sent, m)
		}
		var got []Message
		var buf []byte
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "cut")
			buf, stream = append(buf, stream[:n]...), stream[n:]
			for {
				m, used, err := Split(buf)
				if err != nil {
					t.Fatal(err)
				}
				if used == 0 {
					break
				}
				got, buf = append(got, m), buf[used:]
			}
		}
		if !reflect.DeepEqual(got, sent) {
			t.Fatalf("got %+v, want %+v", got, sent)
		}
	})
}

// Malformed messages are rejected without a panic and before memory is allocated for them.
func TestMalformedMessages(t *testing.T) {
	good, _ := Append(nil, &Message{Kind: Claim, Text: "note", Key: "k", Result: []byte("r")})
	for what, change := range map[string]func(b []byte){
		"length too large":      func(b []byte) { copy(b, "\xff\xff\xff\xff") },
		"length too small":      func(b []byte) { copy(b, "\x00\x00\x00\x05") },
		"kind 0":                func(b []byte) { b[4] = 0 },
		"kind 99":               func(b []byte) { b[4] = 99 },
		"text length too large": func(b []byte) { b[4+40] = 200 },
		"key length too large":  func(b []byte) { b[4+41] = 255 },
	} {
		b := bytes.Clone(good)
		change(b)
		if _, n, err := Split(b); err == nil {
			t.Errorf("%s: accepted, %d bytes", what, n)
		}
	}
	if _, err := Append(nil, &Message{Kind: Claim, Key: strings.Repeat("k", 256)}); err == nil {
		t.Error("a key that is too long is encoded")
	}
}

func FuzzSplit(f *testing.F) {
	b, _ := Append(nil, &Message{Kind: Record, Text: "note", Key: "k"})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, n, err := Split(b); err == nil && n > len(b) {
			t.Fatalf("%d bytes of %d", n, len(b))
		}
	})
}

func newTestEndpoint(t *testing.T, dir string) *Endpoint {
	t.Helper()
	p, err := NewEndpoint(dir, "n3")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	return p
}

// Only one process owns the keys, and one that acquires them after the owner's
// death knows when the owner was last alive.
func TestOwnership(t *testing.T) {
	dir := t.TempDir()
	a := newTestEndpoint(t, dir)
	if !a.LastOwnerAlive().IsZero() || !a.TryLock() {
		t.Fatal("the first process finds an earlier owner")
	}
	b := newTestEndpoint(t, dir)
	if b.TryLock() {
		t.Fatal("two owners")
	}
	if err := a.Unlock(); err != nil || !b.TryLock() || a.TryLock() {
		t.Fatalf("the ownership is not transferred: %v", err)
	}
	b.Close() // as if it had died
	c := newTestEndpoint(t, dir)
	if !c.TryLock() || time.Since(c.LastOwnerAlive()) > time.Minute {
		t.Errorf("after the owner's death: last alive at %v", c.LastOwnerAlive())
	}
}

// Servers that share a folder have separate locks, and a server's name can't lead out of the folder.
func TestServersAreSeparate(t *testing.T) {
	dir := t.TempDir()
	a := newTestEndpoint(t, dir)
	b, err := NewEndpoint(dir, "../n4/"+strings.Repeat("x", 99))
	if err != nil {
		t.Fatal(err)
	}
	defer b.Close()
	if !a.TryLock() || !b.TryLock() {
		t.Error("two servers share a lock")
	}
	if files, _ := filepath.Glob(filepath.Join(dir, "kiteslip-*.keys")); len(files) != 2 {
		t.Errorf("files %v", files)
	}
}

// The latest process to listen is the one that is reached, whatever earlier ones left behind.
func TestDialReachesLatestListener(t *testing.T) {
	dir := t.TempDir()
	p := newTestEndpoint(t, dir)
	if p.Dial() != nil {
		t.Fatal("Dial succeeds in an empty folder")
	}
	l, err := p.Listen()
	if err != nil {
		t.Fatal(err)
	}
	l.Close() // its socket file remains
	if p.Dial() != nil {
		t.Fatal("Dial reaches a dead process")
	}
	if err := os.Remove(p.socket()); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.socket(), []byte("no socket"), 0o600); err != nil {
		t.Fatal(err)
	}
	if l, err = p.Listen(); err != nil {
		t.Fatalf("Listen fails on a leftover file: %v", err)
	}
	defer l.Close()
	pass, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer pass.Close()
	go func() {
		if c, err := l.AcceptUnix(); err == nil {
			SendListener(c, pass.(*net.TCPListener)) //nolint:errcheck // ReceiveListener reports it
		}
	}()
	c := p.Dial()
	if c == nil {
		t.Fatal("Dial does not reach the listener")
	}
	defer c.Close()
	got, err := ReceiveListener(c, time.Now().Add(5*time.Second))
	if err != nil || got == nil || got.Addr().String() != pass.Addr().String() {
		t.Fatalf("received listener: %v, %v", got, err)
	}
	got.Close()
}

// ReceiveListener returns at its deadline when the other process sends nothing.
func TestReceiveListenerTimesOut(t *testing.T) {
	p := newTestEndpoint(t, t.TempDir())
	l, err := p.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := p.Dial()
	defer c.Close()
	if _, err := ReceiveListener(c, time.Now().Add(50*time.Millisecond)); err == nil {
		t.Error("a handshake was received although none was sent")
	}
}

func TestInheritRejectsNonListener(t *testing.T) {
	f, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := Inherit(int(f.Fd())); err == nil {
		t.Error("a file is accepted as a listener")
	}
}

func TestPathTooLong(t *testing.T) {
	if _, err := NewEndpoint(filepath.Join(t.TempDir(), strings.Repeat("d", 90)), "n3"); err == nil {
		t.Error("a path too long for a socket is accepted")
	}
}
