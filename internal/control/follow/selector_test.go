package follow

import (
	"bufio"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write what the scripts under testdata say now")

// The scripts under testdata/selector: what happens, and behind each question, with an
// arrow, what the seeker says.
func TestSelector(t *testing.T) {
	files, err := filepath.Glob("testdata/selector/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := runScript(t, string(want))
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
					t.Fatal(err)
				}
			} else if got != string(want) {
				t.Errorf("got:\n%s", got)
			}
		})
	}
}

// runScript runs a script and returns it with what the seeker says.
func runScript(t *testing.T, script string) string {
	t.Helper()
	var out strings.Builder
	set := Settings{Seed: 1}
	var s *selector
	place := func(name string) int {
		i := slices.IndexFunc(set.Publishers, func(p Endpoint) bool { return p.Address == name })
		if i < 0 {
			t.Fatalf("no publisher %q", name)
		}
		return i
	}
	last := -1
	for lines := bufio.NewScanner(strings.NewReader(script)); lines.Scan(); {
		line := lines.Text()
		if strings.HasPrefix(line, "  ->") {
			continue
		}
		fmt.Fprintln(&out, line)
		word := strings.Fields(line)
		switch {
		case len(word) == 0 || word[0] == "#":
			continue
		case word[0] == "follower":
			set.Name, set.Region, set.Relay = word[1], word[3], len(word) > 4
			continue
		case word[0] == "publishers":
			for _, w := range word[1:] {
				address, region, _ := strings.Cut(w, "/")
				set.Publishers = append(set.Publishers, Endpoint{address, region})
			}
			s = newSelector(&set)
			continue
		}
		now, err := time.ParseDuration(word[0])
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		switch word[1] {
		case "next":
			n := s.next(now)
			last = n.publisher
			said := "at once"
			switch barred := s.publishers[n.publisher].excludedUntil; {
			case barred > now:
				said = "once its bar ends"
				if n.wait < barred-now || n.wait > barred-now+n.maxWait {
					t.Errorf("%q: waits %v, its bar ends in %v", line, n.wait, barred-now)
				}
			case n.maxWait > 0:
				said = fmt.Sprintf("within %v", n.maxWait)
				fallthrough
			default:
				if n.wait < 0 || n.wait > n.maxWait {
					t.Errorf("%q: waits %v of %v", line, n.wait, n.maxWait)
				}
			}
			fmt.Fprintf(&out, "  -> %s, %s\n", set.Publishers[n.publisher].Address, said)
		case "failed":
			s.failed(now, last, false)
		case "faulty":
			s.failed(now, place(word[2]), true)
		case "retry":
			s.retry(place(word[2]))
		case "stood":
			last = place(word[2])
			s.established(now, last)
		case "heard":
			unheard, err := time.ParseDuration(word[2])
			if err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			s.originatorSilence(now, unheard)
		case "probed":
			s.probeFailed(now, place(word[2]))
		case "probe":
			p, at, any := s.probe()
			said := "none"
			switch left := at - now; {
			case !any:
			case left < 0:
				t.Errorf("%q: %v ago", line, -left)
			case left <= maxJitter:
				said = fmt.Sprintf("%s, within %v", set.Publishers[p].Address, maxJitter)
			case left >= minReturnPause && left <= maxReturnPause:
				said = fmt.Sprintf("%s, in %v to %v", set.Publishers[p].Address, minReturnPause, maxReturnPause)
			default:
				said = fmt.Sprintf("%s, in %v", set.Publishers[p].Address, left)
			}
			fmt.Fprintf(&out, "  -> %s\n", said)
		default:
			t.Fatalf("%q", line)
		}
	}
	return out.String()
}

// Followers spread evenly over the publishers of their region, and when one is
// gone its followers spread evenly over the rest, while no other moves.
func TestSpread(t *testing.T) {
	set := Settings{Region: "north", Publishers: []Endpoint{{"10.0.0.1:7", "north"}, {"10.0.0.2:7", "north"},
		{"10.0.0.3:7", "north"}, {"10.1.0.1:7", "south"}}}
	const servers = 3000
	first, second := map[int]int{}, map[int]int{}
	for i := range servers {
		set.Name = fmt.Sprintf("server-%d", i)
		s := newSelector(&set)
		first[s.order[0]]++
		if s.order[0] == 0 {
			second[s.order[1]]++
		}
		if s.order[3] != 3 {
			t.Fatalf("%s goes to another region before its own: %v", set.Name, s.order)
		}
	}
	even := func(what string, got map[int]int, over int, all int) {
		for p, n := range got {
			if want := float64(all) / float64(over); math.Abs(float64(n)-want) > 0.15*want {
				t.Errorf("%s: %d of %d at %d", what, n, all, p)
			}
		}
		if len(got) != over {
			t.Errorf("%s: %v", what, got)
		}
	}
	even("first", first, 3, servers)
	even("second", second, 2, first[0])
}

// Waits are drawn over all of their bound, and differ between followers.
func TestJitter(t *testing.T) {
	set := Settings{Region: "north", Publishers: []Endpoint{{"10.0.0.1:7", "north"}}}
	quarters := [4]int{}
	for i := range 400 {
		set.Name = fmt.Sprintf("server-%d", i)
		s := newSelector(&set)
		for range 6 {
			s.failed(0, 0, false)
			s.next(0)
		}
		s.failed(0, 0, false)
		n := s.next(0)
		if n.maxWait != maxJitter {
			t.Fatalf("within %v", n.maxWait)
		}
		quarters[min(3, n.wait*4/n.maxWait)]++
	}
	for i, n := range quarters {
		if n < 60 || n > 140 {
			t.Errorf("quarter %d: %d of 400", i, n)
		}
	}
}
