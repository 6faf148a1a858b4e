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

// Cost is what requests with so many calls cost the program and their callers.
type Cost struct {
	CPU         time.Duration // of the program, a request
	Median, P99 time.Duration
}

const costConnections = 2

// Cost asks for runs that take no time and make that many calls, a few at once.
func (l *Lab) Cost(requests, calls int) (Cost, error) {
	before, err := cpuTime(l.program.Process.Pid)
	if err != nil {
		return Cost{}, err
	}
	var mu sync.Mutex
	times := hdrhistogram.New(1, 10_000_000, 3)
	var all sync.WaitGroup
	errs := make(chan error, costConnections)
	for lane := range costConnections {
		all.Go(func() {
			c, err := probe.Dial(l.listen)
			if err != nil {
				errs <- err
				return
			}
			defer c.Close()
			for i := lane; i < requests; i += costConnections {
				began := time.Now()
				if _, err = c.SendTry(ClassCallRequired, "", fmt.Sprintf("0*%d c%d", calls, i), classTimeout); err != nil {
					errs <- err
					return
				}
				r, err := c.Next()
				if err == nil && r.Code != frame.Served {
					err = fmt.Errorf("answered with %d", r.Code)
				}
				if err != nil {
					errs <- err
					return
				}
				mu.Lock()
				times.RecordValue(time.Since(began).Microseconds()) //nolint:errcheck // within its bounds by far
				mu.Unlock()
			}
		})
	}
	all.Wait()
	select {
	case err := <-errs:
		return Cost{}, err
	default:
	}
	after, err := cpuTime(l.program.Process.Pid)
	return Cost{CPU: (after - before) / time.Duration(requests), Median: time.Duration(times.ValueAtQuantile(50)) * time.Microsecond,
		P99: time.Duration(times.ValueAtQuantile(99)) * time.Microsecond}, err
}

// cpuTime is the processor time that a process has used. The system counts it in hundredths of a second.
func cpuTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	at := strings.LastIndexByte(string(text), ')')
	words := strings.Fields(string(text[at+1:]))
	if len(words) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat cannot be read", pid)
	}
	sum := 0
	for _, word := range words[11:13] {
		n, err := strconv.Atoi(word)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return time.Duration(sum) * 10 * time.Millisecond, nil
}
