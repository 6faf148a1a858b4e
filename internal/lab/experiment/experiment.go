// Package experiment runs days over seeds on all cores, keeps what is done in a
// file so that a run can be stopped and resumed, and compares two runs.
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

// Run is the outcome of one setting on some seeds.
type Run struct {
	Name     string          `json:"Name"`
	Digest   string          `json:"Digest"` // of the scenario's text: another text is another run
	Failures []fleet.Failure `json:"Incidents"`
	Days     []SeedOutcome   `json:"Days"` // in order of seeds, from 1
}

// SeedOutcome is the outcome of one seed.
type SeedOutcome struct {
	Seed    uint64         `json:"Seed"`
	Outcome *fleet.Outcome `json:"Outcome"`
}

// Stop ends a run after the days that are under way.
type Stop <-chan struct{}

// ErrStopped says that a run was stopped; what is done is kept.
var ErrStopped = errors.New("experiment: stopped")

const maxLineBytes = 16 << 20

// Play plays a scenario's text on seeds 1 to n. What the file named state holds
// of the same text is not played again; state "" keeps nothing. progress is told
// how many are done.
func Play(text string, n int, state string, stop Stop, progress func(done, of int)) (*Run, error) {
	day, name, err := fleet.Parse(text)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256([]byte(text))
	run := &Run{Name: name, Digest: hex.EncodeToString(sum[:8]), Failures: day.Failures, Days: make([]SeedOutcome, n)}
	keep, err := run.loadState(state)
	if err != nil {
		return nil, err
	}
	if keep != nil {
		defer keep.Close()
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
	take := func() int {
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
	var all sync.WaitGroup
	for range min(n, runtime.GOMAXPROCS(0)) {
		all.Go(func() {
			for i := take(); i >= 0; i = take() {
				d := day
				d.Seed = uint64(i + 1)
				outcome, err := fleet.Play(d)
				mu.Lock()
				if err != nil {
					failed = err
				} else {
					run.Days[i] = SeedOutcome{d.Seed, outcome}
					if keep != nil {
						failed = errors.Join(failed, run.appendState(keep, i))
					}
					done++
					progress(done, n)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	switch {
	case failed != nil:
		return nil, failed
	case stopped && done < n:
		return nil, fmt.Errorf("%w with %d of %d days done", ErrStopped, done, n)
	}
	return run, nil
}

// Groups are the classes, then the teams, over all days: counts added up,
// latencies and shares as means of the days.
func (r *Run) Groups() []fleet.Group {
	var list []fleet.Group
	n := float64(len(r.Days))
	for _, of := range []func(*fleet.Outcome) []fleet.Group{classes, teams} {
		for i, g := range of(r.Days[0].Outcome) {
			sum := fleet.Group{Name: g.Name}
			for _, d := range r.Days {
				x := of(d.Outcome)[i]
				sum.Asked, sum.InTime, sum.Late = sum.Asked+x.Asked, sum.InTime+x.InTime, sum.Late+x.Late
				sum.Refused, sum.Failed = sum.Refused+x.Refused, sum.Failed+x.Failed
				sum.MedianMS, sum.P99MS, sum.Share = sum.MedianMS+x.MedianMS/n, sum.P99MS+x.P99MS/n, sum.Share+x.Share/n
			}
			list = append(list, sum)
		}
	}
	return list
}

func classes(o *fleet.Outcome) []fleet.Group { return o.Classes }
func teams(o *fleet.Outcome) []fleet.Group   { return o.Teams }

// stateLine is a day as the state file has it.
type stateLine struct {
	Digest string `json:"Digest"`
	SeedOutcome
}

// loadState takes in the days that the state file holds and opens it for more. A
// last line that was cut short is passed over.
func (r *Run) loadState(state string) (*os.File, error) {
	if state == "" {
		return nil, nil
	}
	f, err := os.OpenFile(state, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("experiment: %w", err)
	}
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLineBytes)
	whole := int64(0)
	for in.Scan() {
		var l stateLine
		if err := json.Unmarshal(in.Bytes(), &l); err != nil {
			break
		}
		whole += int64(len(in.Bytes())) + 1
		if l.Digest == r.Digest && l.Seed >= 1 && l.Seed <= uint64(len(r.Days)) && l.Outcome != nil {
			r.Days[l.Seed-1] = l.SeedOutcome
		}
	}
	if err := in.Err(); err != nil {
		f.Close()
		return nil, fmt.Errorf("experiment: %s: %w", state, err)
	}
	if info, err := f.Stat(); err == nil && info.Size() > whole {
		err = f.Truncate(whole)
		if err != nil {
			f.Close()
			return nil, fmt.Errorf("experiment: %w", err)
		}
	}
	if _, err := f.Seek(whole, 0); err != nil {
		f.Close()
		return nil, fmt.Errorf("experiment: %w", err)
	}
	return f, nil
}

func (r *Run) appendState(f *os.File, i int) error {
	b, err := json.Marshal(stateLine{r.Digest, r.Days[i]})
	if err != nil {
		return err
	}
	_, err = f.Write(append(b, '\n'))
	return err
}

// Row is one figure of a comparison.
type Row struct {
	Name string
	A, B float64 // means
	paired.Difference
}

// Compare compares two runs on the seeds that both have: the score, its parts,
// and each class and team that both have.
func Compare(a, b *Run) ([]Row, error) {
	type figure struct {
		name string
		of   func(*fleet.Outcome) float64
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
		return nil, fmt.Errorf("experiment: no seed is in both runs")
	}
	group := func(kind string, list func(*fleet.Outcome) []fleet.Group) {
		for i, g := range list(a.Days[0].Outcome) {
			if others := list(b.Days[0].Outcome); i < len(others) && others[i].Name == g.Name {
				figures = append(figures, figure{kind + " " + g.Name, func(o *fleet.Outcome) float64 { return list(o)[i].Share }})
			}
		}
	}
	group("class", classes)
	group("team", teams)
	var rows []Row
	for _, f := range figures {
		var x, y []float64
		row := Row{Name: f.name}
		for i := range n {
			x, y = append(x, f.of(a.Days[i].Outcome)), append(y, f.of(b.Days[i].Outcome))
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

// Verdict says in words what the rows amount to, for better and for worse.
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
