package capacity

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"kiteslip/internal/lab/scale/figures"
)

const repoRoot = "../../../../"

func inputs(t *testing.T, paths ...string) *Inputs {
	t.Helper()
	in, err := Load(repoRoot+"docs/capacity/target-fleet.toml", paths...)
	if err != nil {
		t.Fatal(err)
	}
	return in
}

func storedPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(repoRoot + "docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The stored page is exactly what the target and the measured files render to.
func TestPageMatchesFiles(t *testing.T) {
	text := storedPage(t)
	got, err := Render(text, inputs(t, repoRoot+"docs/capacity/slopes.json", repoRoot+"docs/capacity/fleetday.json"))
	if err != nil {
		t.Fatal(err)
	}
	if got != text {
		stored, fromFiles := strings.Split(text, "\n"), strings.Split(got, "\n")
		for i := range min(len(stored), len(fromFiles)) {
			if stored[i] != fromFiles[i] {
				t.Fatalf("docs/CAPACITY.md line %d is\n%s\nbut the files give\n%s\nrun bin/kitelab capacity", i+1, stored[i], fromFiles[i])
			}
		}
		t.Fatalf("docs/CAPACITY.md has %d lines, the files give %d: run bin/kitelab capacity", len(stored), len(fromFiles))
	}
}

// rendered returns the page rendered with the files, and checks that rendering it again
// changes nothing.
func rendered(t *testing.T, files ...*figures.File) string {
	t.Helper()
	in := inputs(t)
	in.Files = files
	got, err := Render(storedPage(t), in)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := Render(got, in); err != nil || again != got {
		t.Fatalf("rendered again it differs: %v", err)
	}
	return got
}

// tableRow returns the cells of the row of a role's table whose first cell is what.
func tableRow(t *testing.T, text, role, what string) []string {
	t.Helper()
	_, text, _ = strings.Cut(text, "<!-- table "+role+" -->")
	text, _, _ = strings.Cut(text, "<!-- end -->")
	for l := range strings.Lines(text) {
		if strings.HasPrefix(l, "| "+what+" |") {
			return strings.Split(strings.TrimSuffix(strings.TrimSpace(l), " |"), " | ")
		}
	}
	t.Fatalf("%s has no row %q", role, what)
	return nil
}

func TestRowsWithoutRunsAreNotMeasured(t *testing.T) {
	text := rendered(t)
	for _, r := range rows() {
		cells := tableRow(t, text, r.role, r.what)
		for i := range figures.States {
			if got := strings.TrimSpace(cells[1+i]); got != notMeasured {
				t.Errorf("%s, %s: %q, but nothing was measured", r.what, figures.States[i], got)
			}
		}
	}
}

func slopesFile(slopes ...figures.Slope) *figures.File {
	return &figures.File{Command: "bin/kitelab slopes", Slopes: slopes}
}

func lineSlope(name string, fixed, per float64, sizes ...float64) figures.Slope {
	s := figures.Slope{Name: name, Role: figures.Core, Unit: "x", SizeName: "things", Fixed: fixed, PerUnit: per}
	for _, size := range sizes {
		s.Points = append(s.Points, figures.Point{Size: size, Value: fixed + per*size})
	}
	return s
}

func TestRowIsComputedFromSlope(t *testing.T) {
	text := rendered(t, slopesFile(lineSlope("heap/tenants", 100, 2, 3, 300, 21000)))
	// A fit is extrapolated to at most ten times its largest size.
	if extrapolated := rendered(t, slopesFile(lineSlope("heap/tenants", 100, 0.001, 3, 300, 21000))); strings.TrimSpace(tableRow(t, extrapolated, figures.Settings, "heap of the tenants")[9]) != "over 210,000 things" {
		t.Errorf("extrapolated size: %q", tableRow(t, extrapolated, figures.Settings, "heap of the tenants")[9])
	}
	cells := tableRow(t, text, figures.Settings, "heap of the tenants")
	// 100 + 2*21000 = 42,100 KB of 262,144 allowed: 6.23 times, and 2*x + 100 = 262,144 at 131,022 tenants.
	for i, want := range map[int]string{1: "42,100", 5: "42,100", 7: "at most 262,144", 8: "6.23 times", 9: "131,022 things", 10: "`heap/tenants`, `bin/kitelab slopes`"} {
		if got := strings.TrimSpace(cells[i]); got != want {
			t.Errorf("cell %d is %q, want %q", i, got, want)
		}
	}
}

func TestExceededBoundsAreMarkedAndSorted(t *testing.T) {
	showStat := lineSlope("show-stat/routes", 80, 72, 4, 450, 2800)
	f := slopesFile(showStat)
	f.Figures = []figures.Figure{
		{Name: "publisher's core", Role: figures.Control, State: figures.AllStart, Unit: "cores", Value: 2, P99: 30, Bound: 1, Run: "bin/kitelab fleetday"},
		{Name: "a trial", Role: figures.Control, State: figures.Peak, Unit: "cores", Value: 777, Bound: 1, Trial: true},
		{Name: "goodput", Role: figures.Control, State: figures.Peak, Unit: "parts", Value: 0.5, Bound: 0.9, LowerBound: true},
	}
	text := rendered(t, f)
	if strings.Contains(text, "777") {
		t.Error("a figure of a short run is on the page")
	}
	cells := tableRow(t, text, figures.Control, "publisher's core")
	if got := strings.TrimSpace(cells[5]); got != "**2 (p99 30)**" {
		t.Errorf("the figure is %q", got)
	}
	if got := strings.TrimSpace(cells[8]); got != "**30 times too much**" {
		t.Errorf("the margin is %q", got)
	}
	_, missing, _ := strings.Cut(text, "<!-- table missing -->")
	share := strings.Index(missing, "a small tenant's part")  // 82 times
	core := strings.Index(missing, "publisher's core")        // 30 times
	stat := strings.Index(missing, "show-stat of all routes") // 2.24 times
	good := strings.Index(missing, "goodput")                 // 1.8 times
	origin := strings.Index(missing, "originating versions")  // not measured
	if !(0 <= share && share < core && core < stat && stat < good && good < origin) {
		t.Errorf("positions in the missing table: %d %d %d %d %d, want ascending:\n%s", share, core, stat, good, origin, missing)
	}
}

func TestRenderRejectsInvalidMarkers(t *testing.T) {
	in := inputs(t)
	text := storedPage(t)
	for want, faulty := range map[string]string{
		"unknown table":             strings.Replace(text, "<!-- table target -->", "<!-- table targets -->", 1),
		"is on the page twice":      strings.Replace(text, "<!-- table assumed -->", "<!-- table target -->", 1),
		"is not on the page":        strings.Replace(strings.Replace(text, "<!-- table target -->", "", 1), "<!-- end -->", "", 1),
		"has no <!-- end -->":       strings.Replace(text, "<!-- end -->", "", 1),
		"unterminated table marker": text + "<!-- table missing",
	} {
		if _, err := Render(faulty, in); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

func TestNumberFormat(t *testing.T) {
	for want, v := range map[string]float64{"0": 0, "1,234,568": 1234567.8, "64": 64, "63.8": 63.83, "2.25": 2.25, "0.0159": 0.01592, "0.003": 0.003, "-1,500": -1500, notMeasured: nan()} {
		if got := number(v); got != want {
			t.Errorf("%v is %q, want %q", v, got, want)
		}
	}
	if got := fmt.Sprint(marginText(0, 1, false)); got != "whole" {
		t.Errorf("margin of zero: %q", got)
	}
}

func nan() float64 { var zero float64; return zero / zero }
