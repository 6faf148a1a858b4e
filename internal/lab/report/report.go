// Package report writes what became of a run as one self-contained HTML page:
// tables, and plots as inline SVG.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"regexp"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"kiteslip/internal/lab/experiment"
	"kiteslip/internal/lab/fleet"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>kitelab: {{.Title}}</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}
td,th{padding:.2em .7em;text-align:right;border-bottom:1px solid #ddd}td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}pre{white-space:pre-wrap}</style>
</head><body><h1>{{.Title}}</h1>
{{if .Verdict}}<pre>{{.Verdict}}</pre>
<table><tr><th></th><th>A</th><th>B</th><th>B less A</th><th>95% interval</th><th>B is</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{printf "%.4f" .A}}</td><td>{{printf "%.4f" .B}}</td><td>{{printf "%+.4f" .Mean}}</td><td>{{printf "%+.4f" .Low}} to {{printf "%+.4f" .High}}</td><td>{{.Verdict}}</td></tr>
{{end}}</table>{{end}}
{{range .Runs}}<h2>{{.Name}}, {{.Days}} days</h2>
<table><tr><th>of all days</th><th>asked</th><th>in time</th><th>late</th><th>refused</th><th>failed</th><th>worth</th></tr>
{{range .Groups}}<tr><td>{{.Name}}</td><td>{{.Asked}}</td><td>{{.InTime}}</td><td>{{.Late}}</td><td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{printf "%.3f" .Share}}</td></tr>
{{end}}</table>
{{range .Plots}}<figure>{{.}}</figure>{{end}}{{end}}
</body></html>
`))

type section struct {
	Name   string
	Days   int
	Groups []fleet.Group
	Plots  []template.HTML
}

// Write writes the page of one run, or of two that were compared.
func Write(w io.Writer, runs []*experiment.Run, rows []experiment.Row) error {
	data := struct {
		Title, Verdict string
		Rows           []experiment.Row
		Runs           []section
	}{Rows: rows}
	var names []string
	for _, run := range runs {
		if len(run.Days) == 0 {
			return fmt.Errorf("report: the run %q has no days", run.Name)
		}
		s, err := newSection(run)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		names = append(names, run.Name)
		data.Runs = append(data.Runs, s)
	}
	data.Title = strings.Join(names, " against ")
	if len(rows) > 0 {
		data.Verdict = experiment.Verdict(rows)
	}
	return page.Execute(w, data)
}

func newSection(run *experiment.Run) (section, error) {
	s := section{Name: run.Name, Days: len(run.Days), Groups: run.Groups()}
	for _, of := range []func(*experiment.Run) (*plot.Plot, error){latencyPlot, servedPlot, refusedPlot} {
		p, err := of(run)
		if err != nil {
			return s, err
		}
		svg, err := renderSVG(p)
		if err != nil {
			return s, err
		}
		s.Plots = append(s.Plots, svg)
	}
	return s, nil
}

var svgProlog = regexp.MustCompile(`(?s)^.*?<svg`)

func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	return template.HTML(svgProlog.ReplaceAllString(b.String(), "<svg")), nil //nolint:gosec // the library escapes its text
}

// latencyPlot is what was served, by percentile, from when it was asked.
func latencyPlot(run *experiment.Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "latency by percentile, from when a request was meant to be sent"
	p.X.Label.Text, p.Y.Label.Text = "percentile", "ms"
	names := make([]plot.Tick, len(fleet.PercentileRanks))
	for i, q := range fleet.PercentileRanks {
		names[i] = plot.Tick{Value: float64(i), Label: fmt.Sprint(q)}
	}
	p.X.Tick.Marker = plot.ConstantTicks(names)
	for c, g := range run.Days[0].Outcome.Classes {
		xy := make(plotter.XYs, len(fleet.PercentileRanks))
		for i := range xy {
			xy[i].X = float64(i)
			for _, d := range run.Days {
				xy[i].Y += d.Outcome.Percentiles[c][i] / float64(len(run.Days))
			}
		}
		if err := addLine(p, g.Name, xy, c); err != nil {
			return nil, err
		}
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p, nil
}

// meanBySecond is a figure by second, the mean of the days.
func meanBySecond(run *experiment.Run, of func(*fleet.Outcome, int) float64) plotter.XYs {
	xy := make(plotter.XYs, len(run.Days[0].Outcome.ServedBySecond))
	for i := range xy {
		xy[i].X = float64(i)
		for _, d := range run.Days {
			if i < len(d.Outcome.ServedBySecond) {
				xy[i].Y += of(d.Outcome, i) / float64(len(run.Days))
			}
		}
	}
	return xy
}

func servedPlot(run *experiment.Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "part of the worth served", "second", "part"
	p.Y.Min, p.Y.Max = 0, 1
	if err := addLine(p, "served", meanBySecond(run, func(o *fleet.Outcome, i int) float64 { return o.ServedBySecond[i] }), 0); err != nil {
		return nil, err
	}
	return p, markFailures(p, run, 1)
}

func refusedPlot(run *experiment.Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "refusals", "second", "requests a day"
	xy := meanBySecond(run, func(o *fleet.Outcome, i int) float64 { return float64(o.RefusedBySecond[i]) })
	top := 1.0
	for _, v := range xy {
		top = max(top, v.Y)
	}
	if err := addLine(p, "refused", xy, 1); err != nil {
		return nil, err
	}
	return p, markFailures(p, run, top)
}

func addLine(p *plot.Plot, name string, xy plotter.XYs, n int) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(n)
	l.Width = vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// markFailures shows from when to when each failure lasts.
func markFailures(p *plot.Plot, run *experiment.Run, top float64) error {
	for _, f := range run.Failures {
		from, to := float64(f.At)/fleet.Second, float64(f.At+f.Duration)/fleet.Second
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
		if err != nil {
			return err
		}
		area.Color, area.LineStyle.Width = color.NRGBA{R: 200, A: 40}, 0
		p.Add(area)
		p.Legend.Add(fmt.Sprintf("%s, %.0f%% of the boxes", f.Kind, 100*f.BoxShare), area)
	}
	return nil
}
