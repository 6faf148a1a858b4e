package hollow

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"kiteslip/internal/frame"
)

// CallersSpec says what a process of callers is to be.
type CallersSpec struct {
	Seed     uint64   `json:"Seed"`
	Start    int64    `json:"Start"`    // Unix microseconds: the first requests are due then
	Length   int64    `json:"Length"`   // microseconds: nothing is due after that
	Deadline int64    `json:"Deadline"` // of each request, microseconds
	Slack    int64    `json:"Slack"`    // by the rules: an answer may be so much later
	WorkUS   int      `json:"WorkUS"`   // of each request, at the engine
	Teams    []string `json:"Teams"`
	Classes  []string `json:"Classes"` // that are safe to repeat
	Targets  []Target `json:"Targets"`
	Own      []int    `json:"Own"`     // the targets whose callers are in this process
	Records  string   `json:"Records"` // the file that the records go to
}

// Target is a server, with the callers whose own it is.
type Target struct {
	Name    string  `json:"Name"`
	Address string  `json:"Address"`
	Group   int     `json:"Group"` // those of one group stand in for each other
	Rate    float64 `json:"Rate"`  // requests a second
	Callers int     `json:"Callers"`
	Draws   uint64  `json:"Draws"` // targets with one value get the same requests at the same times
}

// The callers' ways.
const (
	restLeast = 1500 * time.Millisecond // a caller closes a connection that it has not used for so long
	restMost  = 3500 * time.Millisecond
	restEvery = 100 * time.Millisecond
	againMin  = 10 * time.Millisecond // before another try
	againMost = 200 * time.Millisecond

	lateWithin = time.Second // after the last moment for an answer, a late one is still told from none
)

// Callers are the callers of one process.
type Callers struct {
	spec    CallersSpec
	callers []*caller
	groups  map[int][]int
	names   atomic.Uint64
	open    sync.WaitGroup

	mu   sync.Mutex
	out  *bufio.Writer
	err  error
	says io.Writer
	said int
}

// saidMost bounds what a process tells of single requests.
const saidMost = 10

// tell says what a caller saw.
func (all *Callers) tell(format string, args ...any) {
	all.mu.Lock()
	defer all.mu.Unlock()
	if all.said++; all.said <= saidMost {
		fmt.Fprintf(all.says, format+"\n", args...)
	}
}

// caller is one of them: it has one connection at most.
type caller struct {
	all  *Callers
	home int
	rest time.Duration

	mu   sync.Mutex
	line *line
}

// RunCallers is the process: it plays what the file at path says, until its
// time is over or in ends.
func RunCallers(path string, in io.Reader, out io.Writer) error {
	all := &Callers{groups: map[int][]int{}, says: out}
	if err := read(path, &all.spec); err != nil {
		return err
	}
	file, err := os.Create(all.spec.Records)
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	defer file.Close()
	all.out = bufio.NewWriterSize(file, 1<<20)
	go func() {
		io.Copy(io.Discard, in) //nolint:errcheck // its end is what counts
		os.Exit(1)              // whoever started this is gone
	}()
	fmt.Fprintln(out, Ready)
	all.play()
	if err = all.out.Flush(); err == nil {
		err = all.err
	}
	if err == nil {
		_, err = fmt.Fprintln(out, "done")
	}
	return err
}

func (all *Callers) play() {
	for i := range all.spec.Targets {
		g := all.spec.Targets[i].Group
		all.groups[g] = append(all.groups[g], i)
	}
	var drivers sync.WaitGroup
	for _, home := range all.spec.Own {
		t := &all.spec.Targets[home]
		rng := rand.New(rand.NewPCG(all.spec.Seed, t.Draws))
		var own []*caller
		for range t.Callers {
			own = append(own, &caller{all: all, home: home, rest: restLeast + time.Duration(rng.Int64N(int64(restMost-restLeast)))})
		}
		all.callers = append(all.callers, own...)
		drivers.Go(func() { all.drive(t, own, rng) })
	}
	stop := make(chan struct{})
	go all.janitor(stop)
	drivers.Wait()
	all.open.Wait()
	close(stop)
	for _, c := range all.callers {
		c.mu.Lock()
		if c.line != nil {
			c.line.rest(0)
		}
		c.mu.Unlock()
	}
}

// janitor closes what has rested, as callers do that need no connection for now.
func (all *Callers) janitor(stop <-chan struct{}) {
	tick := time.NewTicker(restEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		for _, c := range all.callers {
			c.mu.Lock()
			if c.line != nil && c.line.rest(c.rest) {
				c.line = nil
			}
			c.mu.Unlock()
		}
	}
}

// drive sends a target's requests at their times, whatever becomes of those before.
func (all *Callers) drive(t *Target, own []*caller, rng *rand.Rand) {
	start := time.UnixMicro(all.spec.Start)
	for at := rng.ExpFloat64() / t.Rate; at*1e6 < float64(all.spec.Length); at += rng.ExpFloat64() / t.Rate {
		c := own[rng.IntN(len(own))]
		team := all.spec.Teams[rng.IntN(len(all.spec.Teams))]
		class := all.spec.Classes[rng.IntN(len(all.spec.Classes))]
		draw := rng.Uint64()
		due := start.Add(time.Duration(at * float64(time.Second)))
		time.Sleep(time.Until(due))
		all.open.Go(func() {
			r := c.ask(due, team, class, rand.New(rand.NewPCG(draw, 0)))
			all.mu.Lock()
			defer all.mu.Unlock()
			if err := r.write(all.out); err != nil && all.err == nil {
				all.err = err
			}
		})
	}
}

// connect returns the caller's connection, to target if it has to open one.
func (c *caller) connect(target int) (l *line, opened bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.line != nil {
		c.line.mu.Lock()
		away := c.line.away
		c.line.mu.Unlock()
		if !away {
			return c.line, false, nil
		}
		c.line = nil
	}
	if l, err = dial(c.all.spec.Targets[target].Address, target); err == nil {
		c.line = l
	}
	return l, true, err
}

// leave has the caller open another connection next time, unless it has already.
func (c *caller) leave(l *line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.line == l {
		c.line = nil
	}
	l.rest(0)
}

// ask sends one request until it is answered or its time is over.
func (c *caller) ask(due time.Time, team, class string, rng *rand.Rand) *Record {
	set := &c.all.spec
	end := due.Add(time.Duration(set.Deadline+set.Slack) * time.Microsecond)
	r := &Record{Due: due.UnixMicro(), Target: uint16(c.home), Waited: micros(time.Since(due))}
	name := fmt.Sprintf("%016x", uint64(os.Getpid())<<40|c.all.names.Add(1))
	body := []byte(strconv.Itoa(set.WorkUS) + " " + name)
	target, refused := c.home, false
	for {
		if r.Tries < 255 {
			r.Tries++
		}
		var done bool
		if done, refused = c.try(r, target, due, end, team, class, body, rng); done {
			return r
		}
		wait := time.Duration(rng.Int64N(int64(min(againMost, againMin*time.Duration(r.Tries)))))
		if time.Until(end) <= wait {
			break
		}
		time.Sleep(wait)
		group := c.all.groups[set.Targets[c.home].Group]
		target = group[rng.IntN(len(group))]
	}
	r.Code = Lost
	if refused {
		r.Code = Refused
	}
	r.Took = micros(time.Since(due))
	r.Added = r.Took
	return r
}

// try makes one try; it says whether the request is over, and whether the server refused.
func (c *caller) try(r *Record, target int, due, end time.Time, team, class string, body []byte, rng *rand.Rand) (done, refused bool) {
	set := &c.all.spec
	l, opened, err := c.connect(target)
	if err != nil {
		return false, false
	}
	r.Opened = r.Opened || opened
	now := time.Now()
	left := due.Add(time.Duration(set.Deadline) * time.Microsecond).Sub(now)
	if left <= 0 {
		return false, false
	}
	answers := make(chan reply, 1)
	stream, err := l.ask([]frame.Field{{Name: "kind", Value: class}, {Name: "owner", Value: team},
		{Name: "req", Value: fmt.Sprintf("%016x", rng.Uint64())}, {Name: "via", Value: "1"},
		{Name: "ts", Value: strconv.FormatInt(now.UnixMilli(), 10)},
		{Name: "timeout", Value: strconv.FormatInt(max(1, left.Milliseconds()), 10)},
		{Name: "ms", Value: strconv.FormatFloat(float64(set.WorkUS)/1000, 'f', 1, 64)}, {Name: "need", Value: "16"}, {Name: "level", Value: "0.5"}}, body, answers)
	if err != nil {
		c.leave(l)
		return false, false
	}
	timer := time.NewTimer(time.Until(end.Add(lateWithin)))
	defer timer.Stop()
	select {
	case a := <-answers:
		switch a.code {
		case frame.Served:
			own, ok := took(a.body, body)
			span := a.at.Sub(due)
			r.Took, r.Elsewhere = micros(span), l.target != c.home
			r.Added = r.Took - int32(own)
			switch {
			case !ok:
				r.Code = Wrong
			case a.at.After(end):
				r.Code = Late
			default:
				r.Code = Answered
			}
			return true, false
		case frame.Refused:
			c.leave(l)
			return false, true
		}
		if a.code == frame.Failed {
			c.all.tell("%s fails a request: %.200q", set.Targets[l.target].Name, a.body)
			return false, false // the connection is sound
		}
		c.leave(l)
		return false, false
	case <-timer.C:
		l.forget(stream)
		return false, false
	}
}

func micros(d time.Duration) int32 { return int32(min(d.Microseconds(), 1<<31-1)) }
