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

// message is a piece of a conversation.
type message struct {
	conn     int
	byServer bool
	data     []byte
}

// writeCapture makes a capture of pieces on so many connections, a millisecond apart.
func writeCapture(t interface{ Fatalf(string, ...any) }, conns int, pieces []message) []byte {
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
	for i, p := range pieces {
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

// What is written is read back: each side's bytes, and the time of each piece.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		conns := rapid.IntRange(1, 3).Draw(t, "connections")
		pieces := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) message {
			return message{rapid.IntRange(0, conns-1).Draw(t, "conn"), rapid.Bool().Draw(t, "server"),
				bytes.Repeat([]byte{rapid.Byte().Draw(t, "byte")}, rapid.IntRange(1, 4000).Draw(t, "size"))}
		}), 0, 12).Draw(t, "pieces")
		streams, err := Read(bytes.NewReader(writeCapture(t, conns, pieces)))
		if err != nil {
			t.Fatal(err)
		}
		want, got := map[[2]netip.AddrPort][]byte{}, map[[2]netip.AddrPort][]byte{}
		first := map[[2]netip.AddrPort]time.Time{}
		for i, p := range pieces {
			ends := [2]netip.AddrPort{netip.AddrPortFrom(client.Addr(), client.Port()+uint16(p.conn)), server}
			if p.byServer {
				ends[0], ends[1] = ends[1], ends[0]
			}
			if want[ends] == nil {
				first[ends] = captureStart.Add(time.Duration(i) * time.Millisecond)
			}
			want[ends] = append(want[ends], p.data...)
		}
		for _, s := range streams {
			ends := [2]netip.AddrPort{s.From, s.To}
			if b := s.Bytes(); len(b) > 0 {
				got[ends] = b
				if !s.Chunks[0].At.Equal(first[ends]) {
					t.Fatalf("%v: first seen at %v, want %v", ends, s.Chunks[0].At, first[ends])
				}
			}
			if s.MissingPackets {
				t.Fatalf("%v is broken", ends)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("%d streams with data, want %d", len(got), len(want))
		}
		for ends, b := range want {
			if !bytes.Equal(got[ends], b) {
				t.Fatalf("%v: %d bytes differ from %d", ends, len(got[ends]), len(b))
			}
		}
	})
}

func TestBadFiles(t *testing.T) {
	whole := writeCapture(t, 1, []message{{0, false, []byte("some data")}})
	for n := range len(whole) {
		streams, err := Read(bytes.NewReader(whole[:n]))
		switch {
		case n < 4 && !errors.Is(err, ErrNotCapture), n >= 4 && n < 24 && !errors.Is(err, ErrTruncated):
			t.Errorf("%d bytes of the head: %v", n, err)
		case n > 24 && err != nil && !errors.Is(err, ErrTruncated):
			t.Errorf("%d bytes: %v", n, err)
		case err == nil && len(streams) > 0 && n < 24+16+40:
			t.Errorf("%d bytes give %d streams", n, len(streams))
		}
	}
	if _, err := Read(bytes.NewReader(whole[:len(whole)-1])); !errors.Is(err, ErrTruncated) {
		t.Errorf("the last byte is missing: %v", err)
	}
	for _, text := range []string{"", "short text", "PK\x03\x04 and so on and on and on", "#!/bin/sh\necho not a capture at all\n"} {
		if _, err := Read(bytes.NewReader([]byte(text))); !errors.Is(err, ErrNotCapture) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := Read(bytes.NewReader([]byte("\x0a\x0d\x0d\x0a????????????????????"))); err == nil {
		t.Error("a pcapng head without sense passes")
	}
}

// A lost segment ends what is read of a stream, and says so.
func TestGap(t *testing.T) {
	whole := writeCapture(t, 1, []message{{0, false, []byte("one")}, {0, false, []byte("two")}, {0, false, []byte("six")}})
	at := bytes.Index(whole, []byte("two"))
	start := at - 20 - 20 - 16 // TCP, IP and packet heads
	streams, err := Read(bytes.NewReader(append(whole[:start:start], whole[at+3:]...)))
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range streams {
		if s.To == server && (!s.MissingPackets || string(s.Bytes()) != "one") {
			t.Errorf("broken %v, %q", s.MissingPackets, s.Bytes())
		}
	}
	if len(streams) == 0 {
		t.Error("no streams")
	}
}

func FuzzRead(f *testing.F) {
	f.Add(writeCapture(f, 1, []message{{0, false, []byte("data")}}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		Read(bytes.NewReader(b)) //nolint:errcheck // it must not panic
	})
}
