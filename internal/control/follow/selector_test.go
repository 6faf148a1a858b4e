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

var update = flag.Bool("update", false, "write the current results into the scripts under testdata")

// TestSelector runs the scripts under testdata/selector: each has a list of events,
// and after each query, with an arrow, the selector's answer.
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

// runScript runs a script and returns it with the selector's answers.
func runScript(t *testing.T, script string) string {
	t.Helper()
	var out strings.Builder
	set := Settings{Seed: 1}
	var s *selector
	indexOf := func(name string) int {
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
			answer := "at once"
			switch excluded := s.publishers[n.publisher].excludedUntil; {
			case excluded > now:
				answer = "once its exclusion ends"
				if n.wait < excluded-now || n.wait > excluded-now+n.maxWait {
					t.Errorf("%q: waits %v, its exclusion ends in %v", line, n.wait, excluded-now)
				}
			case n.maxWait > 0:
				answer = fmt.Sprintf("within %v", n.maxWait)
				fallthrough
			default:
				if n.wait < 0 || n.wait > n.maxWait {
					t.Errorf("%q: waits %v of %v", line, n.wait, n.maxWait)
				}
			}
			fmt.Fprintf(&out, "  -> %s, %s\n", set.Publishers[n.publisher].Address, answer)
		case "failed":
			s.failed(now, last, false)
		case "faulty":
			s.failed(now, indexOf(word[2]), true)
		case "retry":
			s.retry(indexOf(word[2]))
		case "stood":
			last = indexOf(word[2])
			s.established(now, last)
		case "heard":
			silence, err := time.ParseDuration(word[2])
			if err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			s.originatorSilence(now, silence)
		case "probed":
			s.probeFailed(now, indexOf(word[2]))
		case "probe":
			p, at, ok := s.probe()
			answer := "none"
			switch left := at - now; {
			case !ok:
			case left < 0:
				t.Errorf("%q: %v ago", line, -left)
			case left <= maxJitter:
				answer = fmt.Sprintf("%s, within %v", set.Publishers[p].Address, maxJitter)
			case left >= minReturnPause && left <= maxReturnPause:
				answer = fmt.Sprintf("%s, in %v to %v", set.Publishers[p].Address, minReturnPause, maxReturnPause)
			default:
				answer = fmt.Sprintf("%s, in %v", set.Publishers[p].Address, left)
			}
			fmt.Fprintf(&out, "  -> %s\n", answer)
		default:
			t.Fatalf("%q", line)
		}
	}
	return out.String()
}

// TestSpread: followers spread evenly over the publishers of their region. When one
// of those fails, its followers spread evenly over the rest, and no other follower
// moves.
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
			t.Fatalf("%s prefers another region to its own: %v", set.Name, s.order)
		}
	}
	checkEven := func(what string, got map[int]int, publishers int, all int) {
		for p, n := range got {
			if want := float64(all) / float64(publishers); math.Abs(float64(n)-want) > 0.15*want {
				t.Errorf("%s: %d of %d at %d", what, n, all, p)
			}
		}
		if len(got) != publishers {
			t.Errorf("%s: %v", what, got)
		}
	}
	checkEven("first", first, 3, servers)
	checkEven("second", second, 2, first[0])
}

// TestJitter: waits are drawn over their whole range, and differ between followers.
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
