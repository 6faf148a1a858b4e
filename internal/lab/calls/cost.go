package calls

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kiteslip/internal/frame"
	"kiteslip/internal/lab/probe"
)

// Cost is the cost of requests with a given number of downstream calls.
type Cost struct {
	CPU         time.Duration // of the server, per request
	Median, P99 time.Duration // from sending to the answer
}

// costConnections is how many connections send at once, one request each.
const costConnections = 2

// Cost measures requests whose runs take no time and make the given number of calls.
func (l *Lab) Cost(requests, calls int) (Cost, error) {
	before, err := cpuTime(l.program.Process.Pid)
	if err != nil {
		return Cost{}, err
	}
	var mu sync.Mutex
	times := hdrhistogram.New(1, 10_000_000, 3)
	var connections sync.WaitGroup
	errs := make(chan error, costConnections)
	for first := range costConnections {
		connections.Go(func() {
			c, err := probe.Dial(l.listen)
			if err != nil {
				errs <- err
				return
			}
			defer c.Close()
			for i := first; i < requests; i += costConnections {
				began := time.Now()
				if _, err = c.SendTry(ClassCallRequired, "", fmt.Sprintf("0*%d c%d", calls, i), classTimeout); err != nil {
					errs <- err
					return
				}
				r, err := c.Next()
				if err == nil && r.Code != frame.Served {
					err = fmt.Errorf("answered with code %d", r.Code)
				}
				if err != nil {
					errs <- err
					return
				}
				mu.Lock()
				times.RecordValue(time.Since(began).Microseconds()) //nolint:errcheck // within the bounds of the histogram
				mu.Unlock()
			}
		})
	}
	connections.Wait()
	select {
	case err := <-errs:
		return Cost{}, err
	default:
	}
	after, err := cpuTime(l.program.Process.Pid)
	return Cost{CPU: (after - before) / time.Duration(requests), Median: time.Duration(times.ValueAtQuantile(50)) * time.Microsecond,
		P99: time.Duration(times.ValueAtQuantile(99)) * time.Microsecond}, err
}

// cpuTime returns the CPU time that a process has used, which the system counts in
// hundredths of a second.
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	nameEnd := strings.LastIndexByte(string(text), ')')
	words := strings.Fields(string(text[nameEnd+1:]))
	if len(words) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has too few fields", pid)
	}
	ticks := 0
	for _, word := range words[11:13] {
		n, err := strconv.Atoi(word)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond, nil
}
