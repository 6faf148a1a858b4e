package fleetday

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Usage is the resource use of a process as the system reports it.
type Usage struct {
	At    time.Time
	PID   int
	CPU   time.Duration // since its start, all threads
	RSSMB float64
}

// usage returns the resource use of a process. Processor time is read from the
// process's clock, because /proc reports it in steps of 10 ms, about as much as
// control uses in a minute.
func usage(pid int) (Usage, error) {
	u := Usage{At: time.Now(), PID: pid}
	const ofProcess = 2 // the scheduler's clock for all threads of the process
	var t unix.Timespec
	if err := unix.ClockGettime(int32(^pid<<3|ofProcess), &t); err != nil {
		return u, fmt.Errorf("processor time of process %d: %w", pid, err)
	}
	u.CPU = time.Duration(t.Nano())
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u, err
	}
	words := strings.Fields(string(text))
	if len(words) < 2 {
		return u, fmt.Errorf("/proc/%d/statm has an unexpected format: %q", pid, text)
	}
	pages, err := strconv.ParseInt(words[1], 10, 64)
	if err != nil {
		return u, fmt.Errorf("/proc/%d/statm: %w", pid, err)
	}
	u.RSSMB = float64(pages*int64(os.Getpagesize())) / (1 << 20)
	return u, nil
}

// machineTime returns the processor time of the whole machine, idle and in all, in clock ticks.
func machineTime() (idle, all int64, err error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	words := strings.Fields(line)
	if len(words) < 9 || words[0] != "cpu" {
		return 0, 0, fmt.Errorf("/proc/stat has an unexpected format: %q", line)
	}
	for i, word := range words[1:9] {
		n, err := strconv.ParseInt(word, 10, 64)
		if err != nil {
			return 0, 0, fmt.Errorf("/proc/stat: %w", err)
		}
		all += n
		if i == 3 || i == 4 { // idle and iowait
			idle += n
		}
	}
	return idle, all, nil
}

// Headroom is the idle fraction of the machine over one sampling interval that ends at At.
type Headroom struct {
	At   time.Time
	Idle float64
}

// sampler samples the resource use of all processes at intervals.
type sampler struct {
	interval    time.Duration
	mu          sync.Mutex
	pids        map[string]int // by name: the current process ID
	used        map[string][]Usage
	idle        []Headroom
	maxMemoryMB float64 // greatest sum over all processes, MB
	once        sync.Once
	stop        chan struct{}
	done        chan struct{}
}

func newSampler(every time.Duration) *sampler {
	s := &sampler{interval: every, pids: map[string]int{}, used: map[string][]Usage{}, stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

func (s *sampler) watchProcess(name string, pid int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pids[name] = pid
}

func (s *sampler) run() {
	defer close(s.done)
	tick := time.NewTicker(s.interval)
	defer tick.Stop()
	wasIdle, wasAll, _ := machineTime()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		if idle, all, err := machineTime(); err == nil && all > wasAll {
			s.idle = append(s.idle, Headroom{time.Now(), float64(idle-wasIdle) / float64(all-wasAll)})
			wasIdle, wasAll = idle, all
		}
		s.mu.Lock()
		sum := 0.0
		for name, pid := range s.pids {
			if u, err := usage(pid); err == nil { // a process that has ended has none
				s.used[name] = append(s.used[name], u)
				sum += u.RSSMB
			}
		}
		s.maxMemoryMB = max(s.maxMemoryMB, sum)
		s.mu.Unlock()
	}
}

// end stops sampling. The samples may be read only after it returns.
func (s *sampler) end() {
	s.once.Do(func() { close(s.stop) })

	<-s.done
}

// Rate is the resource use of a process over an interval within one of its lives.
type Rate struct {
	Cores float64
	RSSMB float64 // at the end
	Whole bool    // one life covers the interval
}

// rate returns a process's use between two times. It is whole if one life covers the
// interval except for two samples.
func (s *sampler) rate(name string, from, to time.Time) Rate {
	list := s.used[name]
	i, _ := slices.BinarySearchFunc(list, from, func(u Usage, t time.Time) int { return u.At.Compare(t) })
	j, _ := slices.BinarySearchFunc(list, to, func(u Usage, t time.Time) int { return u.At.Compare(t) })
	if j == len(list) || list[j].At.After(to) {
		j-- // a later sample may belong to the next life
	}
	if i >= j || list[i].PID != list[j].PID {
		return Rate{}
	}
	a, b := list[i], list[j]
	return Rate{Cores: float64(b.CPU-a.CPU) / float64(b.At.Sub(a.At)), RSSMB: b.RSSMB,
		Whole: a.At.Sub(from) < 3*s.interval && to.Sub(b.At) < 3*s.interval}
}
