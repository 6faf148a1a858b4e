package fleetday

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// at returns a time s seconds into the test day.
func at(s float64) time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(s * float64(time.Second)))
}

// testHistory returns a history of three servers in regions 0, 0 and 1: versions 1 to 4
// are accepted at 1, 2, 12 and 22 s, and region 1 is cut off from 10 to 15 s.
func testHistory() *History {
	h := newHistory([]int{0, 0, 1})
	h.phase(Calm, at(0))
	h.phase(RegionCutOff, at(10))
	h.phase(RegionHealed, at(15))
	h.phase(Zone, at(20))
	h.cut(1, at(10))
	h.restore(1, at(15))
	for i, s := range []float64{1, 2, 12, 22} {
		h.accepted(Accepted{Number: uint64(i + 1), Digest: string(rune('a' + i)), At: at(s)})
	}
	for i := range 3 {
		h.began(i, at(0), FirstStart)
	}
	return h
}

func (h *History) recordVersion(server int, number uint64, s float64) {
	h.inForce(server, len(h.Lives[server])-1, InForce{Number: number, Digest: string(rune('a' + number - 1)), At: at(s)})
}

func TestJudgeMeasuresFromReachability(t *testing.T) {
	h := testHistory()
	h.recordVersion(0, 1, 1.1)
	h.recordVersion(0, 2, 2.2)
	h.recordVersion(0, 3, 12.3)
	h.recordVersion(0, 4, 22.4)
	// Server 1 is down from 11 to 23 s, and has the versions it missed 0.7 s after its start.
	h.recordVersion(1, 1, 1.5)
	h.recordVersion(1, 2, 2.5)
	h.ended(1, at(11))
	h.began(1, at(23), Zone)
	h.recordVersion(1, 2, 23.2)
	h.recordVersion(1, 4, 23.7)
	// Server 2 has version 3 in force 2 s after the heal.
	h.recordVersion(2, 1, 1.6)
	h.recordVersion(2, 2, 2.6)
	h.recordVersion(2, 3, 17)
	h.recordVersion(2, 4, 22.1)
	v := h.judge(0)
	if len(v.Disorder)+len(v.Missing) > 0 {
		t.Errorf("disorder %q, missing %q", v.Disorder, v.Missing)
	}
	want := map[string][]float64{Calm: {0.1, 0.2, 0.5, 0.5, 0.6, 0.6}, RegionCutOff: {0.3}, RegionHealed + ", versions made meanwhile": {2},
		Zone: {0.1, 0.4}, "start after " + Zone: {0.7, 0.7}}
	for name, list := range want {
		var got []float64
		for _, d := range v.InForceTimes[name] {
			got = append(got, float64(d.Milliseconds())/1000)
		}
		if !slices.Equal(got, list) {
			t.Errorf("%s: %v, want %v", name, got, list)
		}
	}
	if len(v.InForceTimes) != len(want) {
		t.Errorf("circumstances %v", v.InForceTimes)
	}
	if got := v.Starts[Zone]; len(got) != 1 || got[0] != 200*time.Millisecond {
		t.Errorf("first version after the start: %v", got)
	}
}

func TestJudgeReportsDisorderAndMissing(t *testing.T) {
	for _, c := range []struct {
		name             string
		play             func(h *History)
		disorder, missed string
	}{
		{"out of order", func(h *History) { h.recordVersion(0, 2, 3); h.recordVersion(0, 1, 4); h.recordVersion(0, 4, 23) }, "version 1 after 2", ""},
		{"the same twice", func(h *History) { h.recordVersion(0, 4, 23); h.recordVersion(0, 4, 24) }, "version 4 after 4", ""},
		{"another digest", func(h *History) { h.inForce(0, 0, InForce{Number: 4, Digest: "x", At: at(23)}) }, "version 4 has digest x", ""},
		{"none that was accepted", func(h *History) { h.recordVersion(0, 4, 23); h.recordVersion(0, 5, 24) }, "version 5 has digest", ""},
		{"never in force", func(h *History) { h.recordVersion(0, 3, 13) }, "", "server 0: version 4"},
		{"restart without the version", func(h *History) { h.recordVersion(0, 4, 23); h.began(0, at(30), Restarted) }, "", "server 0: version 4"},
		{"stopped for good", func(h *History) { h.recordVersion(0, 3, 13); h.ended(0, at(23)) }, "", ""},
	} {
		h := testHistory()
		h.ended(1, at(0.5))
		h.ended(2, at(0.5))
		c.play(h)
		v := h.judge(0)
		for _, x := range []struct {
			got  []string
			want string
		}{{v.Disorder, c.disorder}, {v.Missing, c.missed}} {
			if (x.want == "") != (len(x.got) == 0) || !strings.Contains(strings.Join(x.got, "; "), x.want) {
				t.Errorf("%s: %q, want %q", c.name, x.got, x.want)
			}
		}
	}
}
