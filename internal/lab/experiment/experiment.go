// Package experiment plays the days of a scenario on several seeds in parallel,
// records finished days in a state file, so that a run can be stopped and resumed,
// and compares two runs.
package experiment

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync"

	"kiteslip/internal/lab/fleet"
	"kiteslip/internal/lab/paired"
)

// Run is the outcome of one scenario on several seeds.
type Run struct {
	Name     string          `json:"Name"`
	Digest   string          `json:"Digest"` // of the scenario's text; a run with another text is another run
	Failures []fleet.Failure `json:"Incidents"`
	Days     []SeedOutcome   `json:"Days"` // in order of seeds, from 1
}

// SeedOutcome is the outcome of one seed.
type SeedOutcome struct {
	Seed    uint64         `json:"Seed"`
	Outcome *fleet.Outcome `json:"Outcome"`
}

// Stop is a channel that, once closed, ends a run after the days in progress.
type Stop <-chan struct{}

// ErrStopped is returned when a run was stopped before its last day. The finished
// days are in the state file.
var ErrStopped = errors.New("experiment: stopped")

// maxLineBytes bounds a line of the state file.
const maxLineBytes = 16 << 20

// Play plays the scenario in text on seeds 1 to n. Days of the same text that the
// file named state holds are not played again, and finished days are appended to
// it; "" means no state file. progress is called with the number of finished days.
func Play(text string, n int, state string, stop Stop, progress func(done, of int)) (*Run, error) {
	day, name, err := fleet.Parse(text)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256([]byte(text))
	run := &Run{Name: name, Digest: hex.EncodeToString(sum[:8]), Failures: day.Failures, Days: make([]SeedOutcome, n)}
	stateFile, err := run.loadState(state)
	if err != nil {
		return nil, err
	}
	if stateFile != nil {
		defer stateFile.Close()
	}
	var mu sync.Mutex
	var failed error
	done, next := 0, 0
	for i := range run.Days {
		if run.Days[i].Outcome != nil {
			done++
		}
	}
	progress(done, n)
	stopped := false
	nextDay := func() int {
		mu.Lock()
		defer mu.Unlock()
		select {
		case <-stop:
			stopped = true
		default:
		}
		for ; next < n && run.Days[next].Outcome != nil; next++ {
		}
		if stopped || failed != nil || next >= n {
			return -1
		}
		next++
		return next - 1
	}
	var workers sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i := nextDay(); i >= 0; i = nextDay() {
				d := day
				d.Seed = uint64(i + 1)
				outcome, err := fleet.Play(d)
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					run.Days[i] = SeedOutcome{d.Seed, outcome}
					if stateFile != nil {
						failed = errors.Join(failed, run.appendState(stateFile, i))
					}
					done++
					progress(done, n)
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	switch {
	case failed != nil:
		return nil, failed
	case stopped && done < n:
		return nil, fmt.Errorf("%w with %d of %d days done", ErrStopped, done, n)
	}
	return run, nil
}

// Groups returns the classes, then the teams, over all days: counts are sums,
// latencies and shares are means of the days.
func (r *Run) Groups() []fleet.Group {
	var list []fleet.Group
	n := float64(len(r.Days))
	for _, groups := range []func(*fleet.Outcome) []fleet.Group{classes, teams} {
		for i, g := range groups(r.Days[0].Outcome) {
			sum := fleet.Group{Name: g.Name}
			for _, d := range r.Days {
				x := groups(d.Outcome)[i]
				sum.Asked, sum.InTime, sum.Late = sum.Asked+x.Asked, sum.InTime+x.InTime, sum.Late+x.Late
				sum.Refused, sum.Failed = sum.Refused+x.Refused, sum.Failed+x.Failed
				sum.MedianMS, sum.P99MS, sum.Share = sum.MedianMS+x.MedianMS/n, sum.P99MS+x.P99MS/n, sum.Share+x.Share/n
			}
			list = append(list, sum)
		}
	}
	return list
}

// classes returns the groups of the classes.
func classes(o *fleet.Outcome) []fleet.Group { return o.Classes }

// teams returns the groups of the teams.
func teams(o *fleet.Outcome) []fleet.Group { return o.Teams }

// stateLine is a line of the state file: one day.
type stateLine struct {
	Digest string `json:"Digest"`
	SeedOutcome
}

// loadState reads the days of the state file that belong to the run and opens the
// file for appending. A last line that was cut short is removed.
func (r *Run) loadState(state string) (*os.File, error) {
	if state == "" {
		return nil, nil
	}
	f, err := os.OpenFile(state, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLineBytes)
	validBytes := int64(0)
	for scanner.Scan() {
		var l stateLine
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			break
		}
		validBytes += int64(len(scanner.Bytes())) + 1
		if l.Digest == r.Digest && l.Seed >= 1 && l.Seed <= uint64(len(r.Days)) && l.Outcome != nil {
			r.Days[l.Seed-1] = l.SeedOutcome
		}
	}
	if err := scanner.Err(); err != nil {
		f.Close()
		return nil, fmt.Errorf("experiment: %s: %w", state, err)
	}
	if info, err := f.Stat(); err == nil && info.Size() > validBytes {
		err = f.Truncate(validBytes)
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("experiment: %w", err)
		}
	}
	if _, err := f.Seek(validBytes, 0); err != nil {
		f.Close()
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return f, nil
}

// appendState appends the day with index i to the state file.
func (r *Run) appendState(f *os.File, i int) error {
	b, err := json.Marshal(stateLine{r.Digest, r.Days[i]})
	if err != nil {
		return err
	}
	_, err = f.Write(append(b, '\n'))
	return err
}

// Row compares one figure of two runs.
type Row struct {
	Name string
	A, B float64 // means over the seeds
	paired.Difference
}

// Compare compares two runs on the seeds that both have: the score first, then its
// parts and the share of each class and team that both have.
func Compare(a, b *Run) ([]Row, error) {
	type figure struct {
		name  string
		value func(*fleet.Outcome) float64
	}
	figures := []figure{
		{"score", func(o *fleet.Outcome) float64 { return o.Score }},
		{"whole", func(o *fleet.Outcome) float64 { return o.Whole }},
		{"worst ten seconds", func(o *fleet.Outcome) float64 { return o.WorstWindow }},
		{"worst class", func(o *fleet.Outcome) float64 { return o.WorstClass }},
		{"worst team", func(o *fleet.Outcome) float64 { return o.WorstTeam }},
	}
	n := min(len(a.Days), len(b.Days))
	if n == 0 {
		return nil, fmt.Errorf("experiment: the runs have no seed in common")
	}
	addGroups := func(kind string, groups func(*fleet.Outcome) []fleet.Group) {
		for i, g := range groups(a.Days[0].Outcome) {
			if others := groups(b.Days[0].Outcome); i < len(others) && others[i].Name == g.Name {
				figures = append(figures, figure{kind + " " + g.Name, func(o *fleet.Outcome) float64 { return groups(o)[i].Share }})
			}
		}
	}
	addGroups("class", classes)
	addGroups("team", teams)
	var rows []Row
	for _, f := range figures {
		var x, y []float64
		row := Row{Name: f.name}
		for i := range n {
			x, y = append(x, f.value(a.Days[i].Outcome)), append(y, f.value(b.Days[i].Outcome))
			row.A += x[i] / float64(n)
			row.B += y[i] / float64(n)
		}
		var err error
		if row.Difference, err = paired.Compare(x, y); err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// Verdict sums up the rows of Compare in words: the score, and which figures B
// improves and which it worsens.
func Verdict(rows []Row) string {
	var better, worse []string
	for _, r := range rows[1:] {
		switch r.Verdict {
		case paired.Better:
			better = append(better, r.Name)
		case paired.Worse:
			worse = append(worse, r.Name)
		}
	}
	s := rows[0]
	text := fmt.Sprintf("B is %s: score %+.4f, 95%% interval %+.4f to %+.4f over %d seeds", s.Verdict, s.Mean, s.Low, s.High, s.Pairs)
	if s.Verdict == paired.Inconclusive {
		text = fmt.Sprintf("can't tell: score %+.4f, 95%% interval %+.4f to %+.4f over %d seeds", s.Mean, s.Low, s.High, s.Pairs)
		if s.MorePairs > 0 {
			text += fmt.Sprintf("; about %d more seeds would tell", s.MorePairs)
		}
	}
	if len(better) > 0 {
		text += fmt.Sprintf("\nB helps: %s", joinNames(better))
	}
	if len(worse) > 0 {
		text += fmt.Sprintf("\nB hurts: %s", joinNames(worse))
	}
	return text
}

// joinNames joins names with commas.
func joinNames(list []string) string {
	text := ""
	for i, s := range list {
		if i > 0 {
			text += ", "
		}
		text += s
	}
	return text
}
