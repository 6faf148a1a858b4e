package ops

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestParse(t *testing.T) {
	for line, want := range map[string]Command{"ready": Ready, "show-stat": ShowStat, "drain": Drain, "resume": Resume, "show-version": ShowVersion,
		" drain ": Drain, "": 0, "READY": 0, "drain now": 0, "ready\x00": 0, strings.Repeat("x", 250): 0} {
		got, err := Parse([]byte(line))
		if got != want || (err == nil) != (want != 0) {
			t.Errorf("%q: %v, %v", line, got, err)
		}
		if err != nil && strings.ContainsAny(err.Error(), "\n\x00") {
			t.Errorf("%q: the error is not one line: %q", line, err)
		}
	}
}

// A line is parsed correctly wherever the stream is split, and input without a line end
// is rejected at the limit, so that it does not take memory without end.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOfN(rapid.SampledFrom([]byte("ab \r\n\x00")), 0, 2*MaxLine).Draw(t, "in")
		for n := range len(in) + 1 {
			line, complete, err := Split(in[:n])
			end := bytes.IndexByte(in[:n], '\n')
			switch {
			case end >= 0 && end < MaxLine:
				if want := bytes.TrimSuffix(in[:end], []byte("\r")); !complete || err != nil || !bytes.Equal(line, want) {
					t.Fatalf("%q: %q, %v, %v", in[:n], line, complete, err)
				}
			case complete || (err != nil) != (n >= MaxLine):
				t.Fatalf("%q: %v, %v", in[:n], complete, err)
			}
		}
	})
}

// Each value of the version has one line: a line end in the reason of a refusal must not
// begin another.
func TestVersion(t *testing.T) {
	v := VersionState{Number: 12, Digest: [32]byte{0xab, 31: 1}, Source: "publisher", AgeMS: 3, LagMS: 4,
		RefusalReason: "service a\nhas no backend\r\n", Fork: true, Applied: 5, Snapshots: 6, Switches: 7, SentBytes: 8, ReceivedBytes: 9}
	want := "version 12\ndigest ab" + strings.Repeat("00", 30) + "01\norigin publisher\npublisher -\nage_ms 3\nlag_ms 4\n" +
		"refused service a; has no backend\nfork true\napplied 5\nsnapshots 6\nswitches 7\nsent_bytes 8\nreceived_bytes 9\nend\n"
	if got := string(VersionReply(&v)); got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
