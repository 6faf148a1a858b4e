package main

import (
	"fmt"
	"strings"
	"testing"

	"kiteslip/internal/config"
)

// Thousands of teams and classes are summarized: entries that are not listed are
// counted, and the totals include them.
func TestCheckSummarizesLongLists(t *testing.T) {
	text := func(n int) string {
		b := "[uwsgi]\nlisten = \"127.0.0.1:1\"\n[machine]\n[control]\nregion = \"south\"\n[[control.publisher]]\naddress = \"10.0.0.1:1\"\nregion = \"south\"\n" +
			"[[service]]\nname = \"s\"\nbackend = \"127.0.0.1:2\"\n"
		for i := range n {
			b += fmt.Sprintf("[[service.contract]]\nclass = \"c%d\"\neffect = \"once\"\ndeadline_ms = %d\n", i, 100+i)
		}
		for i := range n {
			b += fmt.Sprintf("[[team]]\nname = \"t%d\"\nrequests_per_s = 2\n", i)
		}
		return b
	}
	for n, want := range map[int][]string{
		maxListed:        {"team t49: 2", "class c49: once", "versions from 1 publishers, region south, kept in (nowhere); a start waits 1000 ms"},
		maxListed + 2950: {"team t49: 2", "and 2950 more teams with 5900 requests/s; 3000 teams with 6000 requests/s in all", "and 2950 more classes (0 repeatable, 0 keyed, 2950 once), deadline 3099 ms at most, served in 1 places; 3000 classes in all"},
	} {
		cfg, err := config.ParseOperator(text(n), nil)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		describe(&out, cfg)
		for _, line := range want {
			if !strings.Contains(out.String(), line) {
				t.Errorf("%d teams and classes: no %q in\n%s", n, line, &out)
			}
		}
		if lines := strings.Count(out.String(), "\n"); lines > 2*maxListed+10 || strings.Contains(out.String(), "more") != (n > maxListed) {
			t.Errorf("%d teams and classes: %d lines", n, lines)
		}
	}
}
