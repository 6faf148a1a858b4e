package pcap

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	client       = netip.MustParseAddrPort("127.0.0.1:40000")
	server       = netip.MustParseAddrPort("127.0.0.1:8443")
	captureStart = time.UnixMicro(1_764_576_000_123_456)
)

// message is data that one side of a connection sends.
type message struct {
	conn     int
	byServer bool
	data     []byte
}

// writeCapture returns a capture of messages, a millisecond apart, on conns connections.
func writeCapture(t interface{ Fatalf(string, ...any) }, conns int, messages []message) []byte {
	var file bytes.Buffer
	w, err := NewWriter(&file)
	if err != nil {
		t.Fatalf("%v", err)
	}
	var open []*Conn
	for i := range conns {
		c, err := w.Open(captureStart, netip.AddrPortFrom(client.Addr(), client.Port()+uint16(i)), server)
		if err != nil {
			t.Fatalf("%v", err)
		}
		open = append(open, c)
	}
	for i, p := range messages {
		if err := open[p.conn].Send(captureStart.Add(time.Duration(i)*time.Millisecond), p.byServer, p.data); err != nil {
			t.Fatalf("%v", err)
		}
	}
	for _, c := range open {
		if err := c.Close(captureStart.Add(time.Minute), true); err != nil {
			t.Fatalf("%v", err)
		}
	}
	return file.Bytes()
}

// A capture that is written is read back: the bytes of each side, and the time of the
// first of them.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		conns := rapid.IntRange(1, 3).Draw(t, "connections")
		messages := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) message {
			return message{rapid.IntRange(0, conns-1).Draw(t, "conn"), rapid.Bool().Draw(t, "server"),
				bytes.Repeat([]byte{rapid.Byte().Draw(t, "byte")}, rapid.IntRange(1, 4000).Draw(t, "size"))}
		}), 0, 12).Draw(t, "pieces")
		streams, err := Read(bytes.NewReader(writeCapture(t, conns, messages)))
		if err != nil {
			t.Fatal(err)
		}
		want, got := map[[2]netip.AddrPort][]byte{}, map[[2]netip.AddrPort][]byte{}
		first := map[[2]netip.AddrPort]time.Time{}
		for i, p := range messages {
			endpoints := [2]netip.AddrPort{netip.AddrPortFrom(client.Addr(), client.Port()+uint16(p.conn)), server}
			if p.byServer {
				endpoints[0], endpoints[1] = endpoints[1], endpoints[0]
			}
			if want[endpoints] == nil {
				first[endpoints] = captureStart.Add(time.Duration(i) * time.Millisecond)
			}
			want[endpoints] = append(want[endpoints], p.data...)
		}
		for _, s := range streams {
			endpoints := [2]netip.AddrPort{s.From, s.To}
			if b := s.Bytes(); len(b) > 0 {
				got[endpoints] = b
				if !s.Chunks[0].At.Equal(first[endpoints]) {
					t.Fatalf("%v: first seen at %v, want %v", endpoints, s.Chunks[0].At, first[endpoints])
				}
			}
			if s.MissingPackets {
				t.Fatalf("%v: packets are missing", endpoints)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("%d streams with data, want %d", len(got), len(want))
		}
		for endpoints, b := range want {
			if !bytes.Equal(got[endpoints], b) {
				t.Fatalf("%v: %d bytes differ from %d", endpoints, len(got[endpoints]), len(b))
			}
		}
	})
}

func TestBadFiles(t *testing.T) {
	capture := writeCapture(t, 1, []message{{0, false, []byte("some data")}})
	for n := range len(capture) {
		streams, err := Read(bytes.NewReader(capture[:n]))
		switch {
		case n < 4 && !errors.Is(err, ErrNotCapture), n >= 4 && n < 24 && !errors.Is(err, ErrTruncated):
			t.Errorf("%d bytes of the header: %v", n, err)
		case n > 24 && err != nil && !errors.Is(err, ErrTruncated):
			t.Errorf("%d bytes: %v", n, err)
		case err == nil && len(streams) > 0 && n < 24+16+40:
			t.Errorf("%d bytes give %d streams", n, len(streams))
		}
	}
	if _, err := Read(bytes.NewReader(capture[:len(capture)-1])); !errors.Is(err, ErrTruncated) {
		t.Errorf("the last byte is missing: %v", err)
	}
	for _, text := range []string{"", "short text", "PK\x03\x04 and so on and on and on", "#!/bin/sh\necho not a capture at all\n"} {
		if _, err := Read(bytes.NewReader([]byte(text))); !errors.Is(err, ErrNotCapture) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := Read(bytes.NewReader([]byte("\x0a\x0d\x0d\x0a????????????????????"))); err == nil {
		t.Error("an invalid pcapng header is accepted")
	}
}

// A stream ends at a missing segment and is marked: data after a gap must not be read as
// if it followed.
func TestGap(t *testing.T) {
	capture := writeCapture(t, 1, []message{{0, false, []byte("one")}, {0, false, []byte("two")}, {0, false, []byte("six")}})
	at := bytes.Index(capture, []byte("two"))
	start := at - 20 - 20 - 16 // TCP, IP and packet headers
	streams, err := Read(bytes.NewReader(append(capture[:start:start], capture[at+3:]...)))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range streams {
		if s.To == server && (!s.MissingPackets || string(s.Bytes()) != "one") {
			t.Errorf("packets missing %v, %q", s.MissingPackets, s.Bytes())
		}
	}
	if len(streams) == 0 {
		t.Error("no streams")
	}
}

// Read does not panic on any input.
func FuzzRead(f *testing.F) {
	f.Add(writeCapture(f, 1, []message{{0, false, []byte("data")}}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		Read(bytes.NewReader(b)) //nolint:errcheck // it must not panic
	})
}
