// Package report writes the result of a run, or of a comparison of two runs, as one
// self-contained HTML page with tables and inline SVG plots.
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

// The size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// page is the template of the page; it names the fields of Write's data, section,
// experiment.Row and fleet.Group.
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

// section is the part of the page about one run. The template names its fields.
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

// newSection returns the section of a run, with its plots.
func newSection(run *experiment.Run) (section, error) {
	s := section{Name: run.Name, Days: len(run.Days), Groups: run.Groups()}
	for _, newPlot := range []func(*experiment.Run) (*plot.Plot, error){latencyPlot, servedPlot, refusedPlot} {
		p, err := newPlot(run)
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

// svgProlog matches what comes before the svg element in an SVG file.
var svgProlog = regexp.MustCompile(`(?s)^.*?<svg`)

// renderSVG returns a plot as an svg element.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	return template.HTML(svgProlog.ReplaceAllString(svg.String(), "<svg")), nil //nolint:gosec // the plot library escapes text
}

// latencyPlot plots the latency of served requests by percentile, for each class.
// Latency counts from the planned start of a request.
func latencyPlot(run *experiment.Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "latency by percentile, from when a request was meant to be sent"
	p.X.Label.Text, p.Y.Label.Text = "percentile", "ms"
	ticks := make([]plot.Tick, len(fleet.PercentileRanks))
	for i, q := range fleet.PercentileRanks {
		ticks[i] = plot.Tick{Value: float64(i), Label: fmt.Sprint(q)}
	}
	p.X.Tick.Marker = plot.ConstantTicks(ticks)
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

// meanBySecond returns a figure of each second, as the mean of the days.
func meanBySecond(run *experiment.Run, value func(*fleet.Outcome, int) float64) plotter.XYs {
	xy := make(plotter.XYs, len(run.Days[0].Outcome.ServedBySecond))
	for i := range xy {
		xy[i].X = float64(i)
		for _, d := range run.Days {
			if i < len(d.Outcome.ServedBySecond) {
				xy[i].Y += value(d.Outcome, i) / float64(len(run.Days))
			}
		}
	}
	return xy
}

// servedPlot plots the share of the worth that was served, by second.
func servedPlot(run *experiment.Run) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "part of the worth served", "second", "part"
	p.Y.Min, p.Y.Max = 0, 1
	if err := addLine(p, "served", meanBySecond(run, func(o *fleet.Outcome, i int) float64 { return o.ServedBySecond[i] }), 0); err != nil {
		return nil, err
	}
	return p, markFailures(p, run, 1)
}

// refusedPlot plots the refused requests, by second.
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

// addLine adds a line with a name in the legend and the color of the given index.
func addLine(p *plot.Plot, name string, xy plotter.XYs, colorIndex int) error {
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(colorIndex)
	l.Width = vg.Points(1.5)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// markFailures shades the time of each failure, up to the height top.
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
