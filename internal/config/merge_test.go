package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"kiteslip"
)

// platformText returns a platform's file with these classes (name and effect) and teams.
func platformText(classes [][2]string, tenants []string) string {
	var c, q []string
	for i, k := range classes {
		c = append(c, fmt.Sprintf(`{"name": %q, "effect": %q, "on_time_us": %d, "hard_limit_us": 4000000, "window_us": 9000000}`, k[0], k[1], 1000+i))
	}
	for i, name := range tenants {
		q = append(q, fmt.Sprintf(`{"name": %q, "quota_per_s": %d}`, name, i+1))
	}
	return fmt.Sprintf(`{"name": "n", "listen": "10.0.0.4:1", "engine": "10.1.0.1:1", "registry": "10.2.0.1:1", "stop_ms": 3200,
		"limits": {"cores": 0.5, "memory_mb": 64, "sockets": 512}, "settings": {"classes": [%s], "tenants": [%s],
		"family_info": {"cores": 2, "memory_kb": 1000, "gauges": ["runnable"]}}}`, strings.Join(c, ","), strings.Join(q, ","))
}

func parse(t interface{ Fatal(...any) }, text string) *Config {
	c, err := Parse([]byte(text), unset)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Over any sequence of files, classes and teams keep their slots, the newest file's
// values apply, and classes and teams that it does not name are retired. A slot that
// moves would give the keys and runs of one class to another.
func TestSlotsAreStable(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	effects := rapid.SampledFrom([]string{"repeatable", "by_key"})
	rapid.Check(t, func(t *rapid.T) {
		var c *Config
		slots, teams := map[string]int{}, map[string]int{}
		for range rapid.IntRange(2, 6).Draw(t, "files") {
			var classes [][2]string
			for _, name := range rapid.SliceOfNDistinct(names, 1, 4, rapid.ID[string]).Draw(t, "classes") {
				classes = append(classes, [2]string{name, effects.Draw(t, "effect")})
			}
			tenants := rapid.SliceOfNDistinct(names, 1, 4, rapid.ID[string]).Draw(t, "teams")
			next := parse(t, platformText(classes, tenants))
			if c == nil {
				c = next
			} else {
				var err error
				if c, _, err = c.Merge(next); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := kiteslip.New(c.Policy, 0); err != nil {
				t.Fatal(err)
			}
			inForce := map[string]bool{}
			for i, name := range c.Classes {
				id := fmt.Sprint(name, c.Policy.Classes[i].Effect)
				if at, seen := slots[id]; seen && at != i {
					t.Fatalf("class %s moved from %d to %d", id, at, i)
				}
				if slots[id] = i; !IsRetired(c.RetiredClasses, i) {
					inForce[name] = true
					if at := slices.Index(next.Classes, name); c.Policy.Classes[i] != next.Policy.Classes[at] {
						t.Fatalf("class %s: %+v", id, c.Policy.Classes[i])
					}
				}
			}
			if got := slices.Sorted(maps.Keys(inForce)); !slices.Equal(got, slices.Sorted(slices.Values(next.Classes))) {
				t.Fatalf("classes %v are in force, want %v", got, next.Classes)
			}
			if n := len(c.Classes); n != len(slots) || len(c.Backends) != n || len(c.UWSGI.Contracts) != n || len(c.MaxResultBytes) != n || len(c.RetiredClasses) > n {
				t.Fatalf("%d classes in %+v", n, c)
			}
			for i, name := range c.Tenants {
				if at, seen := teams[name]; seen && at != i {
					t.Fatalf("team %s moved from %d to %d", name, at, i)
				}
				teams[name] = i
				if at := slices.Index(next.Tenants, name); (at < 0) != IsRetired(c.RetiredTenants, i) || at >= 0 && c.Policy.Tenants[i] != next.Policy.Tenants[at] {
					t.Fatalf("team %s: %+v", name, c.Policy.Tenants[i])
				}
			}
		}
	})
}

// A file that lacks a key of the file in use is rejected, and the error names the key:
// the rest of a truncated or mangled file must not reset settings to their defaults.
func TestMissingKeys(t *testing.T) {
	was := platformText([][2]string{{"a", "by_key"}, {"b", "by_key"}}, []string{"red"})
	c := parse(t, was)
	for old, key := range map[string]string{
		`"registry": "10.2.0.1:1", `:               "registry",
		`"stop_ms": 3200,`:                         "stop_ms",
		`"memory_mb": 64, `:                        "limits.memory_mb",
		`"quota_per_s": 1`:                         "settings.tenants[0].quota_per_s",
		`, "window_us": 9000000}]`:                 "settings.classes[1].window_us",
		`, "gauges": ["runnable"]`:                 "settings.family_info.gauges",
		`"limits": {"cores": 0.5, "memory_mb": 64`: "limits",
	} {
		text := strings.Replace(was, old, map[string]string{`, "window_us": 9000000}]`: "}]", `"quota_per_s": 1`: `"x": 1`,
			`"limits": {"cores": 0.5, "memory_mb": 64`: `"other": {"cores": 0.5, "memory_mb": 64`}[old], 1)
		if text == was {
			t.Fatalf("%s is not in the file", old)
		}
		next, err := Parse([]byte(text), unset)
		if err == nil {
			_, _, err = c.Merge(next)
		}
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("without %s: %v", key, err)
		}
	}
	if _, _, err := c.Merge(parse(t, was)); err != nil {
		t.Errorf("the same file again: %v", err)
	}
	for n := range len(was) {
		if _, err := Parse([]byte(was[:n]), unset); err == nil {
			t.Fatalf("a file truncated after %d bytes is accepted", n)
		}
	}
	for _, deadline := range []string{"0", "-5", `"x"`, "null", "[]", "1e400"} {
		if _, err := Parse([]byte(strings.Replace(was, "4000000", deadline, 1)), unset); err == nil {
			t.Errorf("a deadline of %s is accepted", deadline)
		}
	}
}

// The number of slots is limited: a process whose files name new classes or teams over
// and over must not grow without end.
func TestSlotsAreBounded(t *testing.T) {
	const batch = 1024 // added at once, but one by one near the limit
	c := parse(t, platformText([][2]string{{"first", "repeatable"}}, []string{"red"}))
	for n := 1; n <= maxClassSlots; {
		var classes [][2]string
		for range max(1, min(batch, maxClassSlots-2-n)) {
			classes = append(classes, [2]string{fmt.Sprint("c", n), "repeatable"})
			n++
		}
		next, _, err := c.Merge(parse(t, platformText(classes, []string{"red"})))
		if over := n > maxClassSlots; over != (err != nil) || over && !strings.Contains(err.Error(), "restart") {
			t.Fatalf("%d classes since the start: %v", n, err)
		}
		c = next
	}
	c = parse(t, platformText([][2]string{{"first", "repeatable"}}, []string{"red"}))
	for n := 1; n <= maxTeamSlots; {
		var teams []string
		for range max(1, min(8*batch, maxTeamSlots-2-n)) {
			teams = append(teams, fmt.Sprint("t", n))
			n++
		}
		next, _, err := c.Merge(parse(t, platformText([][2]string{{"first", "repeatable"}}, teams)))
		if over := n > maxTeamSlots; over != (err != nil) || over && !strings.Contains(err.Error(), "restart") {
			t.Fatalf("%d teams since the start: %v", n, err)
		}
		c = next
	}
}

// A fleet with many teams can be changed: guards against a limit of slots that is
// below the number of teams in a fleet.
func TestManyTeamsChange(t *testing.T) {
	for _, n := range []int{260, 21_000} {
		var teams []string
		for i := range n {
			teams = append(teams, fmt.Sprint("team", i))
		}
		classes := [][2]string{{"first", "repeatable"}}
		c := parse(t, platformText(classes, teams))
		teams[n/2] = "new"
		next, restart, err := c.Merge(parse(t, platformText(classes, teams)))
		if err != nil || len(restart) != 0 {
			t.Fatalf("%d teams, one changed: %v %v", n, restart, err)
		}
		if next.Tenants[n] != "new" || !IsRetired(next.RetiredTenants, n/2) || IsRetired(next.RetiredTenants, n) || next.Policy.Tenants[n].Quota != float64(n/2+1) {
			t.Errorf("%d teams: the new one is %q, %+v", n, next.Tenants[n], next.Policy.Tenants[n])
		}
	}
}
