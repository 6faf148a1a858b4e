// Package capacity renders the tables of docs/CAPACITY.md from the operators' target
// and the files of measurements. A table is enclosed by two comments,
// <!-- table NAME --> and <!-- end -->; the text around the tables is unchanged. A
// value that no run measured is shown as "not measured".
package capacity

import (
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"kiteslip/internal/lab/scale/figures"
	"kiteslip/internal/lab/scale/target"
)

// Inputs holds what the page is rendered from.
type Inputs struct {
	Target *target.Target
	Files  []*figures.File // of the slopes and of the fleet day, as far as they exist
}

// Load reads the target and those of the files that exist.
func Load(targetPath string, paths ...string) (*Inputs, error) {
	in := &Inputs{}
	var err error
	if in.Target, err = target.Load(targetPath); err != nil {
		return nil, err
	}
	for _, path := range paths {
		f, err := figures.Load(path)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		in.Files = append(in.Files, f)
	}
	return in, nil
}

const (
	tableStart = "<!-- table "
	markerEnd  = " -->"
	tableEnd   = "<!-- end -->"
)

// Render returns the page with all its tables replaced. Every table must be on the page
// exactly once.
func Render(page string, in *Inputs) (string, error) {
	tables := in.tables()
	var out strings.Builder
	seen := map[string]bool{}
	rest := page
	for {
		before, after, found := strings.Cut(rest, tableStart)
		out.WriteString(before)
		if !found {
			break
		}
		name, after, found := strings.Cut(after, markerEnd)
		if !found || strings.ContainsAny(name, "\n") {
			return "", fmt.Errorf("capacity: unterminated table marker: %.40q", after)
		}
		render, known := tables[name]
		if !known {
			return "", fmt.Errorf("capacity: unknown table %q", name)
		}
		if seen[name] {
			return "", fmt.Errorf("capacity: table %q is on the page twice", name)
		}
		seen[name] = true
		old, after, found := strings.Cut(after, tableEnd)
		if !found || strings.Contains(old, tableStart) {
			return "", fmt.Errorf("capacity: table %q has no %s", name, tableEnd)
		}
		out.WriteString(tableStart + name + markerEnd + "\n" + render() + tableEnd)
		rest = after
	}
	var errs []error
	for name := range tables {
		if !seen[name] {
			errs = append(errs, fmt.Errorf("capacity: table %q is not on the page", name))
		}
	}
	return out.String(), errors.Join(errs...)
}

func (in *Inputs) tables() map[string]func() string {
	t := map[string]func() string{"target": in.targetTable, "assumed": in.assumedTable, "runs": in.runsTable, "slopes": in.slopesTable, "missing": in.missingTable}
	for _, role := range figures.Roles {
		t[role] = func() string { return in.roleTable(role) }
	}
	return t
}

// slope returns the slope with the given name and its file, or nil.
func (in *Inputs) slope(name string) (*figures.Slope, *figures.File) {
	for _, f := range in.Files {
		if s := f.Slope(name); s != nil {
			return s, f
		}
	}
	return nil, nil
}

// valueAt returns a slope's value at a size, and whether the slope was measured.
func (in *Inputs) valueAt(name string, size float64) (v float64, ok bool) {
	s, _ := in.slope(name)
	if s == nil {
		return 0, false
	}
	v, _ = s.At(size)
	return v, true
}

// figure returns the figure with the given role, name and state, or nil if it was not
// measured.
func (in *Inputs) figure(role, name, when string) *figures.Figure {
	for _, f := range in.Files {
		for i := range f.Figures {
			if g := &f.Figures[i]; g.Role == role && g.Name == name && g.State == when && !g.Trial {
				return g
			}
		}
	}
	return nil
}

const notMeasured = "not measured"

// number formats v with three digits and no exponent.
func number(v float64) string {
	switch a := math.Abs(v); {
	case math.IsNaN(v) || math.IsInf(v, 0):
		return notMeasured
	case a == 0:
		return "0"
	case a >= 100:
		return grouped(math.Round(v))
	case a >= 10:
		return trim(fmt.Sprintf("%.1f", v))
	case a >= 1:
		return trim(fmt.Sprintf("%.2f", v))
	default:
		return trim(fmt.Sprintf("%.*f", min(9, 2-int(math.Floor(math.Log10(a)))), v))
	}
}

func trim(s string) string { return strings.TrimSuffix(strings.TrimRight(s, "0"), ".") }

// grouped formats a whole number with commas between its thousands.
func grouped(v float64) string {
	s := fmt.Sprintf("%.0f", v)
	sign := ""
	if strings.HasPrefix(s, "-") {
		sign, s = "-", s[1:]
	}
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return sign + s
}

// table builds a table of the page: a header and rows.
type table struct{ b strings.Builder }

func newTable(head ...string) *table {
	t := &table{}
	t.row(head...)
	t.b.WriteString("|" + strings.Repeat(" --- |", len(head)) + "\n")
	return t
}

func (t *table) row(cells ...string) {
	for _, c := range cells {
		t.b.WriteString("| " + strings.ReplaceAll(strings.ReplaceAll(c, "|", "\\|"), "\n", " ") + " ")
	}
	t.b.WriteString("|\n")
}

func (in *Inputs) targetTable() string {
	t := newTable("what", "target", "unit")
	f, p, c, g := &in.Target.Fleet, &in.Target.Promise, &in.Target.Control, &in.Target.Faults
	for _, r := range []struct {
		what string
		v    float64
		unit string
	}{
		{"servers", float64(f.Servers), ""}, {"regions", float64(f.Regions), ""}, {"zones", float64(f.Zones), ""}, {"callers", float64(f.Callers), ""},
		{"services", float64(f.Services), ""}, {"requests at the peak", f.RequestsPerS, "a second"}, {"... for each server in the mean", in.Target.RequestsPerServer(), "a second"},
		{"... with a zone lost", in.Target.RequestsPerServer() * in.Target.ZoneLossFactor(), "a second"},
		{"routes", float64(f.Routes), ""}, {"tenants", float64(f.Tenants), ""}, {"descriptors of a server", float64(f.Descriptors), ""},
		{"added to a request, 99 in 100", p.AddedP99MS, "ms"}, {"changes of configuration", p.ChangesPerDay, "a day"}, {"in force everywhere within", p.InForceWithinS, "s"},
		{"control: of a server's core", c.CorePercent, "%"}, {"control: of a server's memory", c.MemoryMB, "MB"}, {"control: of a server's network", c.KBPerS, "KB/s"},
		{"machines set aside for control", float64(f.ControlMachines), ""}, {"machines that fail", g.MachinesPerDay, "a day"}, {"servers restarted or replaced", g.RestartsPerDay, "a day"},
		{"racks or switches that go", g.RacksPerYear, "a year"}, {"zones that go, at most", g.ZonesPerYear, "a year"},
	} {
		t.row(r.what, number(r.v), r.unit)
	}
	return t.b.String()
}

func (in *Inputs) assumedTable() string {
	t := newTable("assumption", "value", "unit")
	a := &in.Target.Assumed
	for _, r := range []struct {
		what string
		v    float64
		unit string
	}{
		{"a hot server's requests at the peak", a.HotServerPerS, "a second"}, {"an ordinary hour's part of the peak", a.OrdinaryFraction, ""},
		{"requests that a busy server holds", float64(a.Queued), ""}, {"... that a flooded one holds", float64(a.MaxQueued), ""},
		{"part of the requests that carry a key", a.KeyedFraction, ""}, {"a key is kept for", a.KeyWindowS, "s"}, {"body of a request, and of its result", float64(a.BodyBytes), "bytes"},
		{"a caller keeps a connection that it does not use for", a.IdleTimeoutS, "s"}, {"the operators' door is asked for figures every", a.AdminQueryIntervalS, "s"},
		{"regions lose each other (told: several)", a.PartitionsPerYear, "times a year"}, {"... for (told: minutes)", a.PartitionMinutes, "minutes"},
		{"cores of a server's machine for this program", a.ServerCores, ""}, {"memory of it for this program", a.ServerMemoryMB, "MB"},
	} {
		t.row("**assumed:** "+r.what, number(r.v), r.unit)
	}
	return t.b.String()
}

func (in *Inputs) runsTable() string {
	t := newTable("run", "build", "date", "machine", "cores", "Go")
	for _, f := range in.Files {
		t.row("`"+f.Command+"`", f.Build, f.Date, f.Machine, fmt.Sprint(f.Cores), f.Go)
	}
	if len(in.Files) == 0 {
		t.row(notMeasured, "", "", "", "", "")
	}
	return t.b.String()
}

func (in *Inputs) slopesTable() string {
	t := newTable("slope", "of", "fixed", "a unit", "unit", "residual", "largest size", "predicted", "measured", "knee", "run")
	any := false
	for _, f := range in.Files {
		for i := range f.Slopes {
			s := &f.Slopes[i]
			last := s.Points[len(s.Points)-1]
			knee := s.Knee
			if knee == "" {
				knee = "none"
			}
			any = true
			t.row("`"+s.Name+"`", s.Description, number(s.Fixed), number(s.PerUnit), s.Unit+" by "+s.SizeName, fmt.Sprintf("%.0f%%", 100*s.Residual), number(last.Size),
				number(s.Predicted), number(last.Value), knee, "`"+f.Command+"`")
		}
	}
	if !any {
		t.row(notMeasured, "", "", "", "", "", "", "", "", "", "")
	}
	return t.b.String()
}

// roleTable renders the rows derived from slopes, then the figures as measured.
func (in *Inputs) roleTable(role string) string {
	t := newTable(slices.Concat([]string{"what"}, figures.States, []string{"unit", "allowed", "margin", "breaks at", "from", "carried by"})...)
	for _, r := range rows() {
		if r.role == role {
			in.row(t, &r)
		}
	}
	done := map[string]bool{}
	for _, f := range in.Files {
		for i := range f.Figures {
			if g := &f.Figures[i]; g.Role == role && !g.Trial && !done[g.Name] {
				done[g.Name] = true
				in.figureRow(t, f, g)
			}
		}
	}
	return t.b.String()
}

// figureRow adds a row for one figure over the states in which it was measured.
func (in *Inputs) figureRow(t *table, f *figures.File, of *figures.Figure) {
	cells := []string{of.Name}
	margin := ""
	for _, when := range figures.States {
		g := in.figure(of.Role, of.Name, when)
		if g == nil {
			cells = append(cells, notMeasured)
			continue
		}
		s := number(g.Value)
		var more []string
		if g.P99 != 0 {
			more = append(more, "p99 "+number(g.P99))
		}
		if g.Worst != 0 {
			more = append(more, "worst "+number(g.Worst))
		}
		if len(more) > 0 {
			s += " (" + strings.Join(more, ", ") + ")"
		}
		if !g.OK {
			s = "**" + s + "**"
		}
		if g.Bound != 0 {
			v := g.Value
			switch {
			case g.LowerBound:
			case g.P99 != 0:
				v = max(v, g.P99)
			default:
				v = max(v, g.Worst)
			}
			margin = marginText(v, g.Bound, g.LowerBound)
		}
		cells = append(cells, s)
	}
	allowed := ""
	if of.Bound != 0 {
		allowed = "at most " + number(of.Bound)
		if of.LowerBound {
			allowed = "at least " + number(of.Bound)
		}
	}
	t.row(append(cells, of.Unit, allowed, margin, "", "`"+f.Command+"`", "")...)
}

// marginText describes how far v is from its bound.
func marginText(v, bound float64, least bool) string {
	factor := bound / v
	if least {
		factor = v / bound
	}
	switch {
	case v == 0 && !least:
		return "whole"
	case factor < 1:
		return "**" + number(1/factor) + " times too much**"
	}
	return number(factor) + " times"
}
