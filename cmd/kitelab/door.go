package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kiteslip/internal/frame"
	"kiteslip/internal/lab/live"
	"kiteslip/internal/lab/probe"
	"kiteslip/internal/standin/box"
)

// doorCmd measures many connections that each keep several requests open from the
// start: whether all are answered in time and served alike.
type doorCmd struct {
	Program     string        `default:"bin/kiteslip" help:"The program that is measured."`
	Connections int           `default:"1000" help:"Connections."`
	Deep        int           `default:"32" help:"Requests that each keeps open."`
	For         time.Duration `default:"8s" help:"How long they ask."`
	Limit       time.Duration `default:"4s" help:"How long each request waits."`
	Least       float64       `default:"0.8" help:"The least served connection's part of the median."`
}

// answerSlackMS is by how much an answer may exceed its deadline.
const answerSlackMS = 60

// Run plays the measurement once with requests from the start and once with requests
// from one second later, which shows what accepting the connections costs.
func (c *doorCmd) Run() error {
	early, err := c.measure(0)
	if err != nil {
		return err
	}
	settled, err := c.measure(time.Second)
	if err != nil {
		return err
	}
	fmt.Println("asking from the start: ", early)
	fmt.Println("asking 1 s after it:   ", settled)
	var v unmetBounds
	v.require(early.late == 0, "%d answers came after their due time", early.late)
	v.require(early.unanswered == 0, "%d requests had no answer", early.unanswered)
	share := float64(early.minAnswers) / float64(max(1, early.medianAnswers))
	v.require(share >= c.Least, "the least served connection got %.2f of the median, want %.2f", share, c.Least)
	return v.finish(fmt.Sprintf("door: late=%d least_share=%.3f slowest_ms=%d refused=%.4f cpu_us=%.1f settled_cpu_us=%.1f",
		early.late, share, early.maxMS, early.refusedShare, early.cpuUS, settled.cpuUS))
}

// doorRound is the outcome of one round. minAnswers, medianAnswers and maxAnswers
// are by connection.
type doorRound struct {
	answers, late, unanswered             int64
	minAnswers, medianAnswers, maxAnswers int64
	maxMS                                 int64
	p99MS                                 int64
	refusedShare                          float64
	cpuUS                                 float64 // processor time of the program for each answer
}

// String returns the outcome as a line of text.
func (r doorRound) String() string {
	return fmt.Sprintf("%d answers, %.1f%% refused, %d late; by connection least %d, median %d, most %d; 99th %d ms, slowest %d ms; %.1f us of processor time a request",
		r.answers, 100*r.refusedShare, r.late, r.minAnswers, r.medianAnswers, r.maxAnswers, r.p99MS, r.maxMS, r.cpuUS)
}

// measure starts the program and plays one round. The connections send their first
// requests the time settle after they are established.
func (c *doorCmd) measure(settle time.Duration) (r doorRound, err error) {
	engine, err := box.Serve(box.Spec{Cores: 64})
	if err != nil {
		return r, err
	}
	defer engine.Close()
	listen, err := live.FreeAddress()
	if err != nil {
		return r, err
	}
	limit := c.Limit.Microseconds()
	text, err := probe.PlatformFile(listen, engine.Address, 2000, map[string]any{"cores": 1, "memory_mb": 512, "sockets": 2*c.Connections + 128},
		4096, 8, map[string]any{"name": "look", "effect": "repeatable", "on_time_us": limit / 2, "hard_limit_us": limit, "worth": 1})
	if err != nil {
		return r, err
	}
	dir, err := os.MkdirTemp("", "kitelab")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	p, err := live.Start(c.Program, dir, listen, text, "")
	if err != nil {
		return r, err
	}
	defer p.Stop()
	return c.sendLoad(listen, settle, p.Cmd)
}

// sendLoad sends the requests of all connections and sums up their answers.
func (c *doorCmd) sendLoad(address string, settle time.Duration, program *exec.Cmd) (r doorRound, err error) {
	counts := make([]int64, c.Connections)
	var refused, unanswered atomic.Int64
	var mu sync.Mutex
	latencies := hdrhistogram.New(1, 60_000_000, 3)
	var wg sync.WaitGroup
	errs := make(chan error, c.Connections)
	started := time.Now()
	for i := range c.Connections {
		wg.Go(func() {
			k := doorClient{cmd: c, index: i, end: started.Add(settle + c.For), latencies: hdrhistogram.New(1, 60_000_000, 2)}
			if err := k.run(address, settle); err != nil {
				errs <- err
			}
			counts[i] = k.answers
			refused.Add(k.refused)
			unanswered.Add(int64(len(k.sentAt)))
			mu.Lock()
			latencies.Merge(k.latencies)
			mu.Unlock()
		})
	}
	wg.Wait()
	select {
	case err := <-errs:
		return r, err
	default:
	}
	cpu, err := processorTime(program.Process.Pid)
	if err != nil {
		return r, err
	}
	for _, n := range counts {
		r.answers += n
	}
	slices.Sort(counts)
	r.minAnswers, r.medianAnswers, r.maxAnswers = counts[0], counts[len(counts)/2], counts[len(counts)-1]
	r.unanswered = unanswered.Load()
	r.refusedShare = float64(refused.Load()) / float64(max(1, r.answers))
	r.cpuUS = float64(cpu.Microseconds()) / float64(max(1, r.answers))
	r.maxMS, r.p99MS = latencies.Max()/1000, latencies.ValueAtQuantile(99)/1000
	maxMS := c.Limit.Milliseconds() + answerSlackMS
	for _, bucket := range latencies.Distribution() {
		if bucket.From/1000 > maxMS {
			r.late += bucket.Count
		}
	}
	return r, nil
}

// doorClient is one connection that sends a new request for each answer.
type doorClient struct {
	cmd              *doorCmd
	index            int
	end              time.Time
	stream           uint32
	sentAt           map[uint32]time.Time
	answers, refused int64
	latencies        *hdrhistogram.Histogram
}

// run plays the connection until all its requests are answered. Requests without an
// answer are left in sentAt.
func (k *doorClient) run(address string, settle time.Duration) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	time.Sleep(settle)
	conn.SetDeadline(k.end.Add(k.cmd.Limit + 2*time.Second)) //nolint:errcheck // a TCP connection takes it
	k.sentAt = map[uint32]time.Time{}
	var out []byte
	for range k.cmd.Deep {
		out = k.appendRequest(out)
	}
	if _, err = conn.Write(out); err != nil {
		return err
	}
	buf := make([]byte, 0, 64<<10)
	for len(k.sentAt) > 0 {
		n, err := conn.Read(buf[len(buf):cap(buf)])
		if err != nil {
			if err == io.EOF || os.IsTimeout(err) {
				return nil // the requests without an answer are counted by sendLoad
			}
			return err
		}
		buf = buf[:len(buf)+n]
		out = out[:0]
		used := 0
		for {
			f, n, err := frame.Split(buf[used:])
			if err != nil {
				return err
			}
			if n == 0 {
				break
			}
			used += n
			if f.Type == frame.Answer {
				out = k.handleAnswer(f, out)
			}
		}
		buf = buf[:copy(buf, buf[used:])]
		if len(out) > 0 {
			if _, err = conn.Write(out); err != nil {
				return err
			}
		}
	}
	return nil
}

// handleAnswer counts an answer and, before the end, appends a new request to out.
func (k *doorClient) handleAnswer(f frame.Frame, out []byte) []byte {
	at, open := k.sentAt[f.Stream]
	if !open || len(f.Payload) == 0 {
		return out
	}
	delete(k.sentAt, f.Stream)
	k.answers++
	if f.Payload[0] != frame.Served {
		k.refused++
	}
	k.latencies.RecordValue(max(1, time.Since(at).Microseconds())) //nolint:errcheck // it lies within the bounds
	if time.Now().Before(k.end) {
		out = k.appendRequest(out)
	}
	return out
}

// appendRequest appends a new request to out.
func (k *doorClient) appendRequest(out []byte) []byte {
	k.stream++
	now := time.Now()
	k.sentAt[k.stream] = now
	return frame.AppendRequest(out, k.stream, probe.Fields("look", fmt.Sprintf("%08x%08x", k.index, k.stream), now, k.cmd.Limit), []byte("b"))
}

// processorTime returns the user and system time that a process has used so far.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// After the name in parentheses, state is the first field, utime the 12th and stime the 13th.
	end := slices.Index(text, ')')
	if end < 0 {
		return 0, fmt.Errorf("/proc/%d/stat is not understood", pid)
	}
	var state string
	var skip [10]int64
	var user, system int64
	args := []any{&state}
	for i := range skip {
		args = append(args, &skip[i])
	}
	if _, err = fmt.Sscan(string(text[end+1:]), append(args, &user, &system)...); err != nil {
		return 0, fmt.Errorf("/proc/%d/stat: %w", pid, err)
	}
	const ticksPerSecond = 100 // on all systems that the program runs on
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}
