package report

import (
	"bytes"
	"encoding/xml"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"kiteslip/internal/lab/experiment"
)

// The page must have its tables, the verdict, the marks of failures and complete
// plots, load nothing from elsewhere, and escape names from a scenario: a name with
// markup would otherwise run in the reader's browser.
func TestPage(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile(filepath.Join("..", "..", "..", "scenarios", "fifth-dies.toml"))
	if err != nil {
		t.Fatal(err)
	}
	short := strings.Replace(strings.Replace(string(text), "boxes = 10", "boxes = 2", 1), `name = "swiftride"`, `name = "<script>x</script>"`, 1)
	var runs []*experiment.Run
	for _, load := range []string{"load = 0.85", "load = 1.2"} {
		run, err := experiment.Play(strings.Replace(short, "load = 0.85", load, 1), 3, "", nil, func(int, int) {})
		if err != nil {
			t.Fatal(err)
		}
		runs = append(runs, run)
	}
	rows, err := experiment.Compare(runs[0], runs[1])
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := Write(&page, runs, rows); err != nil {
		t.Fatal(err)
	}
	html := page.String()
	for _, want := range []string{"fifth-dies against fifth-dies", "landmark-search", "die, 20% of the boxes", "95% interval", "&lt;script&gt;x"} {
		if !strings.Contains(html, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if strings.Contains(html, "<script>") || strings.Contains(html, "src=") || strings.Contains(html, "href=") {
		t.Error("the page runs a script or loads something")
	}
	plots := 0
	for _, part := range strings.SplitAfter(html, "</svg>") {
		at := strings.Index(part, "<svg")
		if at < 0 {
			continue
		}
		plots++
		for d := xml.NewDecoder(strings.NewReader(part[at:])); ; {
			if _, err := d.Token(); err == io.EOF {
				break
			} else if err != nil {
				t.Fatalf("plot %d: %v", plots, err)
			}
		}
	}
	if plots != 6 {
		t.Errorf("%d plots, want 6", plots)
	}
	if err := Write(io.Discard, []*experiment.Run{{Name: "empty"}}, nil); err == nil {
		t.Error("a run without days was written")
	}
}
