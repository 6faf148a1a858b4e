package wire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"strings"
	"testing"

	"kiteslip"
)

func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Two events for instance 7: one arrival and one end of a run.
const good = "e803000000000000 3f000000 02000000" +
	"01 0700 01000000 0100 0200 0000000000000000 0010000000000000 00000000 00002041 0000003f 06 0300 64000000 09000000" +
	"08 0700 01000000 0100 88130000"

func TestNext(t *testing.T) {
	r := NewReader(bytes.NewReader(decodeHex(t, good)))
	now, recs, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	if now != 1000 || len(recs) != 2 || recs[0].Instance != 7 {
		t.Fatalf("now %d, records %+v", now, recs)
	}
	want := kiteslip.Event{Kind: kiteslip.Arrive, ID: 1, Class: 1, Tenant: 2, Deadline: 4096, SizeKB: 10,
		Rank: 0.5, Retry: true, Write: true, Caller: 3, Waited: 100, DuplicateOf: 9}
	if recs[0].Event != want {
		t.Errorf("got %+v, want %+v", recs[0].Event, want)
	}
	want = kiteslip.Event{Kind: kiteslip.Done, ID: 1, Outcome: kiteslip.OK, Elapsed: 5000}
	if recs[1].Event != want {
		t.Errorf("got %+v, want %+v", recs[1].Event, want)
	}
	if _, _, err = r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}

func TestBadInputNamesTheByte(t *testing.T) {
	for name, c := range map[string]struct{ input, want string }{
		"short header":     {"e803", "byte 0: header truncated"},
		"short body":       {"e803000000000000 05000000 01000000 0607", "byte 16: frame truncated"},
		"record too long":  {"e803000000000000 05000000 01000000 0707000100", "byte 16: record of code 7 runs past"},
		"unknown code":     {"e803000000000000 03000000 01000000 630700", "byte 16: record code 99"},
		"trailing bytes":   {"e803000000000000 04000000 01000000 06070000", "byte 19: 1 bytes after"},
		"too many records": {"e803000000000000 01000000 05000000 06", "byte 12: 5 records in 1 bytes"},
		"oversized":        {"e803000000000000 ffffffff 05000000 06", "byte 8: frame of"},
	} {
		_, _, err := NewReader(bytes.NewReader(decodeHex(t, c.input))).Next()
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

func TestReply(t *testing.T) {
	var r Reply
	r.Reset()
	for _, a := range []kiteslip.Action{
		{Kind: kiteslip.Run, ID: 1}, {Kind: kiteslip.Refuse, ID: 2, After: 250_000, On: true},
		{Kind: kiteslip.SetTimer, After: -5, Token: 3}, {Kind: kiteslip.Log, Text: "hi"},
	} {
		if err := r.Add(7, &a); err != nil {
			t.Fatal(err)
		}
	}
	want := decodeHex(t, "29000000 42 0700 01000000 4f 0700 02000000 90d00300 01"+
		"41 0700 00000000 0300000000000000 44 0700 0200 6869")
	if got := r.Bytes(); !bytes.Equal(got, want) {
		t.Errorf("got %x, want %x", got, want)
	}
	if err := r.Add(7, &kiteslip.Action{Kind: 200}); err == nil {
		t.Error("an unknown action was encoded")
	}
}

func TestParseSettings(t *testing.T) {
	s, gauges, err := ParseSettings([]byte(`{"classes":[{"effect":"by_key","hard_limit_us":9,"window_us":5,"worth":2}],
		"family_info":{"cores":3,"memory_kb":10,"below":"tier","say":"floor","preemption":"freeze","gauges":["runnable"]},
		"ceilings":{"max_retry_after_us":7,"retry_after":false},"worth_by":"work","surprise":[1]}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Cores != 3 || s.Downstream != kiteslip.DownstreamTier || s.LoadSignal != kiteslip.LoadSignalMinRank || s.MaxRetryAfter != 0 ||
		s.Stop != kiteslip.StopFreeze || s.Classes[0].Effect != kiteslip.Keyed || !s.WorthByWork || len(gauges) != 1 {
		t.Errorf("got %+v %v", s, gauges)
	}
	for text, want := range map[string]string{
		"nonsense": "settings:",
		`{"classes":[{"effect":"twice","hard_limit_us":1}]}`: `classes[0].effect is "twice"`,
	} {
		if _, _, err := ParseSettings([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestParseGauges(t *testing.T) {
	g := ParseGauges(decodeHex(t, "0000003f 00004040"), []string{"mem_used", "runnable", "sockets"})
	if !g.Valid || g.MemoryUsed != 0.5 || g.Runnable != 3 || g.Connections != 0 {
		t.Errorf("got %+v", g)
	}
}

func FuzzNext(f *testing.F) {
	f.Add(decodeHex(f, good))
	f.Add(decodeHex(f, "e803000000000000 00000000 00000000"))
	f.Add(decodeHex(f, "e803000000000000 05000000 01000000 0707000100"))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := NewReader(bytes.NewReader(input))
		for {
			_, recs, err := r.Next()
			if err != nil {
				return
			}
			for i := range recs {
				if recs[i].Kind == Enlist {
					ParseSettings(recs[i].Settings) // must not panic
				}
			}
		}
	})
}
