package document_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"pgregory.net/rapid"

	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
)

// TestSameAsConfig draws operator's files with values at the bounds of each field.
// What a server refuses of a file that leaves nothing to the platform, the
// originator must refuse of a version, and the other way round; else a version could
// be published that no server accepts. Infinite numbers are left out: only a version
// refuses those.
func TestSameAsConfig(t *testing.T) {
	accepted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		// One or two values are unusual; more would hide each other's faults.
		const fields = 50
		drawn, unusual := 0, rapid.SliceOfN(rapid.IntRange(0, fields-1), 0, 2).Draw(t, "unusual")
		pick := func(name string, normal string, others ...string) string {
			if drawn++; !slices.Contains(unusual, drawn-1) {
				return normal
			}
			return rapid.SampledFrom(others).Draw(t, name)
		}
		contract := func(class, path string) string {
			return fmt.Sprintf(`[[service.contract]]
class = %q
path = %q
effect = %q
aim_ms = %s
deadline_ms = %s
window_ms = %s
worth = %s
late_worth = %s
calls = %s
skip_worth = %s
max_body = %s
max_result = %s
held_kb = %s
`, class, path, pick("effect", "keyed", "once", "repeatable", "twice"), pick("aim", "20.0", "0.0", "100.0", "100.0001", "100.002", "-1.0", "3.7e6"),
				pick("deadline", "100.0", "20.0", "0.0", "0.0005", "0.001", "3.6e6", "3600001.0", "nan"),
				pick("window", "3.6e6", "0.0", "99.9999", "100.0", "3600000.1", "-0.0", "nan"),
				pick("worth", "1.0", "0.0", "1e6", "1000001.0", "-0.1"), pick("late worth", "0.5", "0.0", "1.0", "1.01", "nan"),
				pick("calls", "true", "false"), pick("skip worth", "0.0", "0.5", "1.0", "1.5", "-1.0"),
				pick("max body", "0", "16384", "16385", "1048576", "1048577", "-1"), pick("max result", "0", "1048576", "1048577", "-1"),
				pick("held", "0.0", "2.0", "1.9", "1024.0", "-1.0", "nan"))
		}
		text := fmt.Sprintf(`
[uwsgi]
listen = "127.0.0.1:1"
[machine]
engine = "127.0.0.1:2"
ledger = "127.0.0.1:3"
[[team]]
name = "ana"
requests_per_s = %s
[[team]]
name = %q
requests_per_s = 1.0
[[service]]
name = "one"
owner = %q
backend = %q
%s
[[service]]
name = %q
%s
%s
[[pool]]
name = %q
classes = [%s]
share = %s
most = %s
reserve = %s
memory = %s
memory_most = %s
waiting = %s
[[pool]]
name = "second"
classes = [%s]
share = 0.5
[pools]
cheap_reserve = %s
`, pick("quota", "5.0", "0.0", "-1.0", "nan", "1e-9"), pick("team", "bo", "ana", ""), pick("owner", "ana", "", "cy"),
			pick("backend", "127.0.0.1:4", "", "nowhere", "[::1]:3", "a:b:c"), contract("a", "/a"), pick("service", "two", "one", ""),
			contract(pick("class", "b", "a", "", strings.Repeat("c", 128), strings.Repeat("c", 129)), pick("path", "/b", "", "/a", "b")),
			contract("d", ""), pick("pool", "first", "second", "rest", ""), pick("classes", `"a"`, "", `"a", "a"`, `"a", "d"`),
			pick("share", "0.25", "0.0", "0.5", "0.51", "1.01", "-0.1", "nan"), pick("most", "0.0", "0.25", "0.2", "1.0", "1.1"),
			pick("reserve", "0.0", "1.0", "1.1", "nan"), pick("memory", "0.0", "0.5", "0.6", "1.5"),
			pick("memory most", "0.0", "0.2", "0.25", "1.0", "2.0"), pick("waiting", "0", "7", "-1"), pick("classes of the second", `"d"`, `"a"`),
			pick("cheap reserve", "0.0", "0.5", "1.0", "1.5", "-0.5"))
		if drawn != fields {
			t.Fatalf("%d fields are expected, %d were drawn", fields, drawn)
		}
		_, serverErr := config.ParseOperator(text, nil)
		var file config.OperatorFile
		if _, err := toml.Decode(text, &file); err != nil {
			t.Fatal(err, text)
		}
		empty := document.Empty()
		_, versionErr := empty.Draft(empty.Diff(&document.Content{Teams: file.Teams, Services: file.Services, Pools: file.Pool,
			CheapReserve: file.Pools.CheapReserve}), document.Meta{Author: "ana", Reason: "a drawn file"})
		if (serverErr == nil) != (versionErr == nil) {
			t.Fatalf("a server says\n%v\na version\n%v\nof%s", serverErr, versionErr, text)
		}
		if serverErr == nil {
			accepted++
		} else {
			refused++
		}
	})
	t.Logf("%d files accepted by both, %d refused by both", accepted, refused)
	if accepted == 0 || refused == 0 {
		t.Error("all files were accepted, or all refused")
	}
}
