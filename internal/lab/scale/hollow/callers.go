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

// CallersSpec is the specification of a process of callers.
type CallersSpec struct {
	Seed         uint64   `json:"Seed"`
	Start        int64    `json:"Start"`    // when the first requests are due, Unix microseconds
	Length       int64    `json:"Length"`   // how long requests are due, microseconds
	Deadline     int64    `json:"Deadline"` // of each request, microseconds
	Slack        int64    `json:"Slack"`    // tolerance for late answers, microseconds
	WorkUS       int      `json:"WorkUS"`   // work of each request at the engine, microseconds
	Teams        []string `json:"Teams"`
	Classes      []string `json:"Classes"` // all safe to repeat
	Targets      []Target `json:"Targets"`
	LocalTargets []int    `json:"Own"`     // indices of the targets whose callers run in this process
	Records      string   `json:"Records"` // path of the file of records
}

// Target is a server together with the callers that send to it first.
type Target struct {
	Name    string  `json:"Name"`
	Address string  `json:"Address"`
	Group   int     `json:"Group"` // retries go to any target of the same group
	Rate    float64 `json:"Rate"`  // requests per second
	Callers int     `json:"Callers"`
	Seed    uint64  `json:"Draws"` // random seed; targets with the same value get the same requests at the same times
}

// Timing of the callers.
const (
	minIdleTimeout    = 1500 * time.Millisecond // a caller closes a connection after an idle time between these two
	maxIdleTimeout    = 3500 * time.Millisecond
	idleCheckInterval = 100 * time.Millisecond
	minRetryDelay     = 10 * time.Millisecond // bounds of the delay before a retry
	maxRetryDelay     = 200 * time.Millisecond

	lateAnswerWait = time.Second // how long after its deadline an answer still counts as late and not as lost
)

// Callers holds the callers of one process.
type Callers struct {
	spec     CallersSpec
	callers  []*caller
	groups   map[int][]int
	lastID   atomic.Uint64
	requests sync.WaitGroup

	mu           sync.Mutex
	out          *bufio.Writer
	err          error
	messages     io.Writer
	messageCount int
}

// maxMessages bounds the messages about single requests of one process.
const maxMessages = 10

// logf prints a message about a request, up to maxMessages of them.
func (all *Callers) logf(format string, args ...any) {
	all.mu.Lock()
	defer all.mu.Unlock()
	if all.messageCount++; all.messageCount <= maxMessages {
		fmt.Fprintf(all.messages, format+"\n", args...)
	}
}

// caller is one caller. It has at most one connection.
type caller struct {
	all         *Callers
	target      int
	idleTimeout time.Duration

	mu   sync.Mutex
	conn *callerConn
}

// RunCallers runs a process of callers by the specification at path, until all
// requests have ended. The process exits when in ends.
func RunCallers(path string, in io.Reader, out io.Writer) error {
	all := &Callers{groups: map[int][]int{}, messages: out}
	if err := readSpec(path, &all.spec); err != nil {
		return err
	}
	file, err := os.Create(all.spec.Records)
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	defer file.Close()
	all.out = bufio.NewWriterSize(file, 1<<20)
	go func() {
		io.Copy(io.Discard, in) //nolint:errcheck // only its end matters
		os.Exit(1)              // the parent process is gone
	}()
	fmt.Fprintln(out, Ready)
	all.run()
	if err = all.out.Flush(); err == nil {
		err = all.err
	}
	if err == nil {
		_, err = fmt.Fprintln(out, "done")
	}
	return err
}

func (all *Callers) run() {
	for i := range all.spec.Targets {
		g := all.spec.Targets[i].Group
		all.groups[g] = append(all.groups[g], i)
	}
	var drivers sync.WaitGroup
	for _, target := range all.spec.LocalTargets {
		t := &all.spec.Targets[target]
		rng := rand.New(rand.NewPCG(all.spec.Seed, t.Seed))
		var own []*caller
		for range t.Callers {
			own = append(own, &caller{all: all, target: target, idleTimeout: minIdleTimeout + time.Duration(rng.Int64N(int64(maxIdleTimeout-minIdleTimeout)))})
		}
		all.callers = append(all.callers, own...)
		drivers.Go(func() { all.sendRequests(t, own, rng) })
	}
	stop := make(chan struct{})
	go all.closeIdle(stop)
	drivers.Wait()
	all.requests.Wait()
	close(stop)
	for _, c := range all.callers {
		c.mu.Lock()
		if c.conn != nil {
			c.conn.closeIfIdle(0)
		}
		c.mu.Unlock()
	}
}

// closeIdle closes connections that have been idle for longer than their
// caller's idle timeout.
func (all *Callers) closeIdle(stop <-chan struct{}) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		for _, c := range all.callers {
			c.mu.Lock()
			if c.conn != nil && c.conn.closeIfIdle(c.idleTimeout) {
				c.conn = nil
			}
			c.mu.Unlock()
		}
	}
}

// sendRequests sends the requests of a target when they are due, regardless of
// whether earlier ones have been answered.
func (all *Callers) sendRequests(t *Target, own []*caller, rng *rand.Rand) {
	start := time.UnixMicro(all.spec.Start)
	for at := rng.ExpFloat64() / t.Rate; at*1e6 < float64(all.spec.Length); at += rng.ExpFloat64() / t.Rate {
		c := own[rng.IntN(len(own))]
		team := all.spec.Teams[rng.IntN(len(all.spec.Teams))]
		class := all.spec.Classes[rng.IntN(len(all.spec.Classes))]
		draw := rng.Uint64()
		due := start.Add(time.Duration(at * float64(time.Second)))
		time.Sleep(time.Until(due))
		all.requests.Go(func() {
			r := c.request(due, team, class, rand.New(rand.NewPCG(draw, 0)))
			all.mu.Lock()
			defer all.mu.Unlock()
			if err := r.write(all.out); err != nil && all.err == nil {
				all.err = err
			}
		})
	}
}

// connect returns the caller's connection, or opens one to target.
func (c *caller) connect(target int) (l *callerConn, opened bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.mu.Lock()
		closing := c.conn.closing
		c.conn.mu.Unlock()
		if !closing {
			return c.conn, false, nil
		}
		c.conn = nil
	}
	if l, err = dial(c.all.spec.Targets[target].Address, target); err == nil {
		c.conn = l
	}
	return l, true, err
}

// abandon makes the caller open another connection next time, and closes l once
// its requests have ended.
func (c *caller) abandon(l *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == l {
		c.conn = nil
	}
	l.closeIfIdle(0)
}

// request sends one request, with retries, until it is answered or its deadline
// has passed.
func (c *caller) request(due time.Time, team, class string, rng *rand.Rand) *Record {
	spec := &c.all.spec
	end := due.Add(time.Duration(spec.Deadline+spec.Slack) * time.Microsecond)
	r := &Record{Due: due.UnixMicro(), Target: uint16(c.target), CallerDelayUS: micros(time.Since(due))}
	name := fmt.Sprintf("%016x", uint64(os.Getpid())<<40|c.all.lastID.Add(1))
	body := []byte(strconv.Itoa(spec.WorkUS) + " " + name)
	target, refused := c.target, false
	for {
		if r.Tries < 255 {
			r.Tries++
		}
		var done bool
		if done, refused = c.try(r, target, due, end, team, class, body, rng); done {
			return r
		}
		wait := time.Duration(rng.Int64N(int64(min(maxRetryDelay, minRetryDelay*time.Duration(r.Tries)))))
		if time.Until(end) <= wait {
			break
		}
		time.Sleep(wait)
		group := c.all.groups[spec.Targets[c.target].Group]
		target = group[rng.IntN(len(group))]
	}
	r.Code = Lost
	if refused {
		r.Code = Refused
	}
	r.LatencyUS = micros(time.Since(due))
	r.AddedUS = r.LatencyUS
	return r
}

// try makes one try. It reports whether the request has ended, and whether the
// server refused it.
func (c *caller) try(r *Record, target int, due, end time.Time, team, class string, body []byte, rng *rand.Rand) (done, refused bool) {
	spec := &c.all.spec
	l, opened, err := c.connect(target)
	if err != nil {
		return false, false
	}
	r.Opened = r.Opened || opened
	now := time.Now()
	left := due.Add(time.Duration(spec.Deadline) * time.Microsecond).Sub(now)
	if left <= 0 {
		return false, false
	}
	answers := make(chan reply, 1)
	stream, err := l.send([]frame.Field{{Name: "kind", Value: class}, {Name: "owner", Value: team},
		{Name: "req", Value: fmt.Sprintf("%016x", rng.Uint64())}, {Name: "via", Value: "1"},
		{Name: "ts", Value: strconv.FormatInt(now.UnixMilli(), 10)},
		{Name: "timeout", Value: strconv.FormatInt(max(1, left.Milliseconds()), 10)},
		{Name: "ms", Value: strconv.FormatFloat(float64(spec.WorkUS)/1000, 'f', 1, 64)}, {Name: "need", Value: "16"}, {Name: "level", Value: "0.5"}}, body, answers)
	if err != nil {
		c.abandon(l)
		return false, false
	}
	timer := time.NewTimer(time.Until(end.Add(lateAnswerWait)))
	defer timer.Stop()
	select {
	case a := <-answers:
		switch a.code {
		case frame.Served:
			engineUS, ok := parseResult(a.body, body)
			latency := a.at.Sub(due)
			r.LatencyUS, r.OtherServer = micros(latency), l.target != c.target
			r.AddedUS = r.LatencyUS - int32(engineUS)
			switch {
			case !ok:
				r.Code = WrongResult
			case a.at.After(end):
				r.Code = Late
			default:
				r.Code = Answered
			}
			return true, false
		case frame.Refused:
			c.abandon(l)
			return false, true
		}
		if a.code == frame.Failed {
			c.all.logf("%s failed a request: %.200q", spec.Targets[l.target].Name, a.body)
			return false, false // the connection remains usable
		}
		c.abandon(l)
		return false, false
	case <-timer.C:
		l.forget(stream)
		return false, false
	}
}

func micros(d time.Duration) int32 { return int32(min(d.Microseconds(), 1<<31-1)) }
