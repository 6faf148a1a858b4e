package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/BurntSushi/toml"

	"kiteslip/internal/lab/experiment"
	"kiteslip/internal/lab/fleet"
	"kiteslip/internal/lab/report"
)

// interruptChannel returns a channel that is closed at the first SIGINT or SIGTERM.
func interruptChannel() <-chan struct{} {
	signals, stop := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		signal.Stop(signals)
		close(stop)
	}()
	return stop
}

// progress returns a function that shows the progress of a run on the standard error.
func progress(name string) func(done, of int) {
	return func(done, of int) {
		fmt.Fprintf(os.Stderr, "\r%s: %d of %d days", name, done, of)
		if done == of {
			fmt.Fprintln(os.Stderr)
		}
	}
}

// outputs are the files that a run is written to, and their flags.
type outputs struct {
	JSON string `type:"path" help:"Write the run to this file; compare and report take it."`
	HTML string `type:"path" help:"Write a report with plots to this file."`
}

// write writes the last of the runs as JSON, and all of them as a report.
func (o *outputs) write(runs []*experiment.Run, rows []experiment.Row) error {
	if o.JSON != "" {
		if err := writeJSON(o.JSON, runs[len(runs)-1]); err != nil {
			return err
		}
	}
	if o.HTML == "" {
		return nil
	}
	f, err := os.Create(o.HTML)
	if err != nil {
		return err
	}
	if err = report.Write(f, runs, rows); err != nil {
		return errors.Join(err, f.Close())
	}
	fmt.Println("report:", o.HTML)
	return f.Close()
}

// writeJSON writes a run to a file.
func writeJSON(path string, run *experiment.Run) error {
	b, err := json.MarshalIndent(run, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// playOrLoad plays a scenario file, or reads a run that was written to a .json file.
func playOrLoad(path string, seeds int, state string, stop experiment.Stop) (*experiment.Run, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if strings.HasSuffix(path, ".json") {
		run := &experiment.Run{}
		if err = json.Unmarshal(text, run); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		for i, d := range run.Days {
			if d.Outcome == nil || d.Seed != uint64(i+1) {
				return nil, fmt.Errorf("%s: the day of seed %d is missing", path, i+1)
			}
		}
		if len(run.Days) == 0 {
			return nil, fmt.Errorf("%s: there are no days in it", path)
		}
		return run, nil
	}
	run, err := experiment.Play(string(text), seeds, state, stop, progress(path))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return run, nil
}

// runCmd plays a scenario in simulated time.
type runCmd struct {
	outputs
	Scenario string `arg:"" type:"existingfile" help:"A scenario file, see scenarios/."`
	Seeds    int    `default:"10" help:"Days."`
	State    string `type:"path" help:"Keep each day that is done in this file, and go on where it ends."`
}

// Run plays the days and prints their means.
func (c *runCmd) Run() error {
	run, err := playOrLoad(c.Scenario, max(1, c.Seeds), c.State, interruptChannel())
	if err != nil {
		return err
	}
	printRun(os.Stdout, run)
	return c.write([]*experiment.Run{run}, nil)
}

// printRun prints the means of a run, its counts and how often rules were broken.
func printRun(w io.Writer, run *experiment.Run) {
	n := float64(len(run.Days))
	var p fleet.ScoreParts
	asked, tries, deadlineExceeded, repeatedRuns, boxesLost := 0, 0, 0, 0, 0
	for _, d := range run.Days {
		o := d.Outcome
		p.Score += o.Score / n
		p.Whole += o.Whole / n
		p.WorstWindow += o.WorstWindow / n
		p.WorstClass += o.WorstClass / n
		p.WorstTeam += o.WorstTeam / n
		asked, tries, deadlineExceeded, repeatedRuns, boxesLost = asked+o.Asked, tries+o.Tries, deadlineExceeded+o.DeadlineExceeded, repeatedRuns+o.RepeatedRuns, boxesLost+o.BoxesLost
	}
	fmt.Fprintf(w, "%s: score %.4f over %d days (whole %.4f, worst ten seconds %.4f, worst class %.4f, worst team %.4f)\n",
		run.Name, p.Score, len(run.Days), p.Whole, p.WorstWindow, p.WorstClass, p.WorstTeam)
	fmt.Fprintf(w, "%d requests counted, %d tries, %d boxes lost; rules broken: %d answers after their due time, %d second runs\n", asked, tries, boxesLost, deadlineExceeded, repeatedRuns)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "of a day\tasked\tin time\tlate\trefused\tfailed\tmedian ms\t99th ms\tworth\t")
	m := len(run.Days)
	for _, g := range run.Groups() {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.3f\t\n", g.Name, g.Asked/m, g.InTime/m, g.Late/m, g.Refused/m, g.Failed/m,
			g.MedianMS, g.P99MS, g.Share)
	}
	t.Flush()
}

// compareCmd compares two scenarios or runs seed by seed.
type compareCmd struct {
	outputs
	A     string `arg:"" type:"existingfile" help:"A scenario file, or a run as --json wrote it (of another build, say)."`
	B     string `arg:"" type:"existingfile" help:"The same."`
	Seeds int    `default:"20" help:"Days of each."`
	State string `type:"path" help:"Keep each day that is done in this file, and go on where it ends."`
}

// Run plays or loads both and prints their differences.
func (c *compareCmd) Run() error {
	stop := interruptChannel()
	a, err := playOrLoad(c.A, c.Seeds, c.State, stop)
	if err != nil {
		return err
	}
	b, err := playOrLoad(c.B, c.Seeds, c.State, stop)
	if err != nil {
		return err
	}
	rows, err := experiment.Compare(a, b)
	if err != nil {
		return err
	}
	printRows(os.Stdout, rows)
	return c.write([]*experiment.Run{a, b}, rows)
}

// printRows prints the rows of a comparison and its verdict.
func printRows(w io.Writer, rows []experiment.Row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tA\tB\tB less A\t95% interval\tB is\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\t\n", r.Name, r.A, r.B, r.Mean, r.Low, r.High, r.Verdict)
	}
	t.Flush()
	fmt.Fprintln(w, experiment.Verdict(rows))
}

// sweepCmd compares a scenario with itself under other values of one key.
type sweepCmd struct {
	Scenario string    `arg:"" type:"existingfile" help:"A scenario file."`
	Key      string    `required:"" help:"The key, with dots: server.memory_mb, fleet.boxes, load."`
	Values   []float64 `required:"" help:"Its values, with commas."`
	Seeds    int       `default:"10" help:"Days of each."`
	State    string    `type:"path" help:"Keep each day that is done in this file, and go on where it ends."`
}

// Run plays the scenario as it is and with each value, and prints the differences.
func (c *sweepCmd) Run() error {
	text, err := os.ReadFile(c.Scenario)
	if err != nil {
		return err
	}
	stop := interruptChannel()
	base, err := experiment.Play(string(text), c.Seeds, c.State, stop, progress("as it is"))
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "%s\tscore\tless as it is\t95%% interval\t\t\n", c.Key)
	for _, v := range c.Values {
		changed, err := setScenarioKey(string(text), c.Key, v)
		if err != nil {
			return err
		}
		run, err := experiment.Play(changed, c.Seeds, c.State, stop, progress(fmt.Sprint(c.Key, " = ", v)))
		if err != nil {
			return err
		}
		rows, err := experiment.Compare(base, run)
		if err != nil {
			return err
		}
		r := rows[0]
		fmt.Fprintf(t, "%v\t%.4f\t%+.4f\t%+.4f to %+.4f\t%s\t\n", v, r.B, r.Mean, r.Low, r.High, r.Verdict)
	}
	return t.Flush()
}

// setScenarioKey returns a scenario's text with another value of one key. An integral
// value is written as an integer.
func setScenarioKey(text, key string, value float64) (string, error) {
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return "", err
	}
	table := tree
	parts := strings.Split(key, ".")
	for _, part := range parts[:len(parts)-1] {
		next, ok := table[part].(map[string]any)
		if !ok {
			if table[part] != nil {
				return "", fmt.Errorf("%s is no table of the scenario", part)
			}
			next = map[string]any{}
			table[part] = next
		}
		table = next
	}
	if value == float64(int64(value)) {
		table[parts[len(parts)-1]] = int64(value)
	} else {
		table[parts[len(parts)-1]] = value
	}
	var out strings.Builder
	if err := toml.NewEncoder(&out).Encode(tree); err != nil {
		return "", err
	}
	_, _, err := fleet.Parse(out.String())
	return out.String(), err
}

// reportCmd writes the report of one or two runs.
type reportCmd struct {
	Run_ []string `arg:"" name:"run" type:"existingfile" help:"One run as --json wrote it, or two to compare."`
	HTML string   `default:"report.html" type:"path" help:"The file."`
}

// Run prints the runs and writes the report.
func (c *reportCmd) Run() error {
	var runs []*experiment.Run
	for _, path := range c.Run_ {
		run, err := playOrLoad(path, 1, "", nil)
		if err != nil {
			return err
		}
		printRun(os.Stdout, run)
		runs = append(runs, run)
	}
	var rows []experiment.Row
	if len(runs) == 2 {
		var err error
		if rows, err = experiment.Compare(runs[0], runs[1]); err != nil {
			return err
		}
		printRows(os.Stdout, rows)
	}
	return (&outputs{HTML: c.HTML}).write(runs, rows)
}
