// Package shutdown measures restarts of real servers on loopback: many processes on
// one core are restarted at the same time while callers send requests and the links
// to the engines fail. Each process has an engine of its own that starts cold; all
// share one ledger, which starts cold too. The measurement returns counts; its
// caller compares them with the required values.
package shutdown

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"kiteslip/internal/faultnet"
	"kiteslip/internal/lab/probe"
	"kiteslip/internal/standin/box"
	"kiteslip/internal/standin/ledger"
)

// Settings of the servers, the engines and the ledger.
const (
	classTimeout    = 3 * time.Second
	answerSlack     = 110 * time.Millisecond // the answer slack of the server's rules, and the time on the sockets
	stopTimeout     = 2500 * time.Millisecond
	drainGrace      = 400 * time.Millisecond
	keyWindow       = 20 * time.Second
	callShareWindow = 2 * time.Second
	callShare       = 0.4 // downstream calls at once for each process, on average
	warmupTime      = 4 * time.Second
	coldSpeed       = 0.25
	callTime        = 60 * time.Millisecond // duration of a call to the warm ledger
	coldCallFactor  = 5                     // duration of a call to the cold ledger, relative to callTime
	waveInterval    = 5 * time.Second       // between two waves of restarts
	refusalTime     = 1500 * time.Millisecond
)

// Outcome counts what was observed.
type Outcome struct {
	Processes, Restarts              int
	Requests, Served, Refused        int
	Failed, Raced                    int // Raced: unanswered requests sent at most 50 ms before the end of their connection
	Lost, AnsweredTwice, Late, Wrong int
	Reset                            int // connections that were reset with final answers outstanding
	RepeatedRuns                     int
	Ready                            []time.Duration // sorted times from the start of a process to its first passed health check
	MaxCalls                         int             // maximum number of calls in progress at the ledger
	MaxCallsInWindow                 int             // maximum number of calls within any callShareWindow
	CallLimit, WindowLimit           float64         // limits of MaxCalls and MaxCallsInWindow by the settings
	UncleanExits                     int             // processes that did not end by themselves with exit status 0
}

// UpperBound returns a limit on a count whose mean is at most n: chance may exceed n by
// two standard deviations, and by 2 more.
func UpperBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// ReadyWithin returns the share of starts that were ready within d.
func (o *Outcome) ReadyWithin(d time.Duration) float64 {
	if len(o.Ready) == 0 {
		return 0
	}
	n, _ := slices.BinarySearch(o.Ready, d+1)
	return float64(n) / float64(len(o.Ready))
}

// fleet has the servers, their engines, the ledger and the callers.
type fleet struct {
	program string
	dir     string
	seed    uint64
	servers []*server
	ledger  *ledger.Ledger

	mu         sync.Mutex
	outcome    Outcome
	callTimes  []time.Time // arrivals of the calls at the ledger
	callEnds   []time.Time // ends of the calls in progress
	coldAt     time.Time
	refuseFrom time.Time
	stopping   atomic.Bool // callers send no new requests
	callers    sync.WaitGroup
}

// server is one server over all of its processes, with its address and engine.
type server struct {
	fleet   *fleet
	name    string
	dir     string
	listen  string
	mu      sync.Mutex
	engine  *box.Engine
	link    *faultnet.Link
	cmd     *exec.Cmd
	ended   chan error
	retired []*box.Engine
}

// Measure starts the processes, restarts all of them once per wave while callers send
// requests, and returns what was observed.
func Measure(program string, processes, waves int, seed uint64) (*Outcome, error) {
	f := &fleet{program: program, seed: seed}
	f.outcome.Processes = processes
	f.outcome.CallLimit = float64(processes) * callShare
	f.outcome.WindowLimit = f.outcome.CallLimit * float64(callShareWindow) / float64(callTime)
	var err error
	if f.dir, err = os.MkdirTemp("", "kitelab"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(f.dir)
	if f.ledger, err = ledger.Serve(f.handleCall); err != nil {
		return nil, err
	}
	defer f.ledger.Stop()
	defer f.killAll()
	for i := range processes {
		s := &server{fleet: f, name: fmt.Sprint("n", i), dir: filepath.Join(f.dir, fmt.Sprint(i))}
		if err = os.Mkdir(s.dir, 0o700); err != nil {
			return nil, err
		}
		// A loopback address of its own, so that nothing else takes the port during a restart.
		l, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", i/250, 1+i%250))
		if err != nil {
			return nil, err
		}
		s.listen = l.Addr().String()
		l.Close()
		f.servers = append(f.servers, s)
	}
	if err = f.startAll(); err != nil {
		return nil, err
	}
	for i, s := range f.servers {
		for n := range 2 {
			f.callers.Add(1)
			go f.runCaller(s, rand.New(rand.NewPCG(seed, uint64(10*i+n))), i*10+n)
		}
	}
	for range waves {
		f.disturbLinks()
		if err = f.restartAll(); err != nil {
			return nil, err
		}
	}
	f.disturbLinks()
	f.stopping.Store(true)
	f.callers.Wait()
	for _, s := range f.servers {
		s.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // the process may have ended
	}
	for _, s := range f.servers {
		f.awaitEnd(s)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evaluate()
	return &f.outcome, nil
}

// evaluate computes the counts that are known only at the end.
func (f *fleet) evaluate() {
	slices.Sort(f.outcome.Ready)
	for _, s := range f.servers {
		for _, e := range append(s.retired, s.engine) {
			for body, n := range e.Log().Started {
				if n > 1 && strings.Contains(body, classKeyed) { // other classes may be started again after the link was cut
					f.outcome.RepeatedRuns += n - 1
				}
			}
		}
	}
	first := 0 // of the window that ends at the call
	for i, at := range f.callTimes {
		for f.callTimes[first].Before(at.Add(-callShareWindow)) {
			first++
		}
		f.outcome.MaxCallsInWindow = max(f.outcome.MaxCallsInWindow, i-first+1)
	}
}

// handleCall is the script of the ledger: cold after each wave of restarts, and for
// refusalTime in each interval it rejects all calls.
func (f *fleet) handleCall(ledger.Call) ledger.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.callTimes = append(f.callTimes, now)
	if since := now.Sub(f.refuseFrom); since >= 0 && since < refusalTime {
		return ledger.Response{Status: 503, Untouched: true}
	}
	slowdown := 1 + (coldCallFactor-1)*max(0, 1-float64(now.Sub(f.coldAt))/float64(warmupTime))
	duration := time.Duration(float64(callTime) * slowdown)
	f.callEnds = slices.DeleteFunc(f.callEnds, func(end time.Time) bool { return !end.After(now) })
	f.callEnds = append(f.callEnds, now.Add(duration)) // a call that is given up counts until its end
	f.outcome.MaxCalls = max(f.outcome.MaxCalls, len(f.callEnds))
	return ledger.Response{Delay: duration}
}

// restartLedgerCold makes the ledger cold, and schedules the time in which it rejects
// all calls.
func (f *fleet) restartLedgerCold() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldAt = time.Now()
	f.refuseFrom = f.coldAt.Add(waveInterval / 2)
}

// startAll starts all processes at the same time.
func (f *fleet) startAll() error {
	f.restartLedgerCold()
	errs := make(chan error, len(f.servers))
	for _, s := range f.servers {
		go func() { errs <- s.start() }()
	}
	var first error
	for range f.servers {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// restartAll sends SIGTERM to all processes, and starts each again once it has ended.
func (f *fleet) restartAll() error {
	errs := make(chan error, len(f.servers))
	var first sync.Once
	for _, s := range f.servers {
		go func() {
			s.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // the process may have ended
			f.awaitEnd(s)
			first.Do(f.restartLedgerCold) // together with the first process that starts again
			errs <- s.start()
		}()
	}
	var failed error
	for range f.servers {
		f.outcome.Restarts++
		if err := <-errs; err != nil && failed == nil {
			failed = err
		}
	}
	return failed
}

// awaitEnd waits for the end of a process after SIGTERM, and kills it if it has not
// ended within the stop timeout and a second.
func (f *fleet) awaitEnd(s *server) {
	select {
	case err := <-s.ended:
		s.ended <- err
		if err == nil {
			return
		}
	case <-time.After(stopTimeout + time.Second):
		s.cmd.Process.Kill() //nolint:errcheck // the process may have ended
		err := <-s.ended
		s.ended <- err
	}
	f.mu.Lock()
	f.outcome.UncleanExits++
	f.mu.Unlock()
}

// disturbLinks breaks, cuts short or silences the links between random servers and
// their engines for waveInterval, and heals each shortly after.
func (f *fleet) disturbLinks() {
	rng := rand.New(rand.NewPCG(f.seed, uint64(len(f.outcome.Ready))))
	end := time.Now().Add(waveInterval)
	for time.Now().Before(end) {
		s := f.servers[rng.IntN(len(f.servers))]
		s.mu.Lock()
		link := s.link
		s.mu.Unlock()
		switch rng.IntN(3) {
		case 0:
			link.Disconnect()
		case 1:
			link.CloseAfter(rng.IntN(200))
			time.AfterFunc(100*time.Millisecond, func() { link.Restore() }) //nolint:errcheck // fails only after Refuse
		case 2:
			link.Silence(faultnet.FromTarget)
			time.AfterFunc(200*time.Millisecond, func() { link.Restore() }) //nolint:errcheck // fails only after Refuse
		}
		time.Sleep(40 * time.Millisecond)
	}
}

// killAll kills all processes, and closes their engines and links.
func (f *fleet) killAll() {
	for _, s := range f.servers {
		if s.cmd != nil {
			s.cmd.Process.Kill() //nolint:errcheck // the process may have ended
			err := <-s.ended
			s.ended <- err
		}
		for _, e := range s.retired {
			e.Close()
		}
		if s.engine != nil {
			s.engine.Close()
			s.link.Close()
		}
	}
}

// start starts a cold engine and a new process, and waits until the process passes a
// health check.
func (s *server) start() error {
	engine, err := box.Serve(box.Spec{Cores: 6})
	if err != nil {
		return err
	}
	engine.CountStarts()
	engine.StartWarmup(coldSpeed, warmupTime)
	link, err := faultnet.New(engine.Address)
	if err != nil {
		engine.Close()
		return err
	}
	s.mu.Lock()
	if s.engine != nil {
		s.retired = append(s.retired, s.engine)
		s.link.Close()
	}
	s.engine, s.link = engine, link
	s.mu.Unlock()
	text, err := s.platformFile()
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, "config.json")
	if err = os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(s.fleet.program, "serve", "--log-level", "error")
	cmd.Env = append(os.Environ(), "EDGE_CONFIG="+path, "TMPDIR="+s.dir)
	cmd.Stderr = os.Stderr
	began := time.Now()
	if err = startOnOneCore(cmd); err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	s.mu.Lock()
	s.cmd, s.ended = cmd, ended
	s.mu.Unlock()
	for !healthy(s.listen) {
		if time.Since(began) > 30*time.Second {
			return fmt.Errorf("%s did not pass a health check within 30 s", s.name)
		}
		time.Sleep(2 * time.Millisecond)
	}
	s.fleet.mu.Lock()
	s.fleet.outcome.Ready = append(s.fleet.outcome.Ready, time.Since(began))
	s.fleet.mu.Unlock()
	return nil
}

// platformFile returns the content of the platform's file.
func (s *server) platformFile() ([]byte, error) {
	class := func(name, effect string) map[string]any {
		return map[string]any{"name": name, "effect": effect, "on_time_us": classTimeout.Microseconds() / 2,
			"hard_limit_us": classTimeout.Microseconds(), "window_us": keyWindow.Microseconds(), "worth": 1}
	}
	text, err := probe.PlatformFile(s.listen, s.link.Address, int(stopTimeout.Milliseconds()),
		map[string]any{"cores": 1, "memory_mb": 96, "sockets": 256}, 6, 1, class(classRepeatable, "repeatable"), class(classKeyed, "by_key"))
	if err != nil {
		return nil, err
	}
	if text, err = probe.WithLedger(text, s.fleet.ledger.Address, []bool{false, true}, []float64{0, 0}); err != nil {
		return nil, err
	}
	var file map[string]any
	if err = json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	file["name"] = s.name
	file["seed"] = fmt.Sprintf("%x", s.fleet.seed<<32+uint64(time.Now().UnixNano()&0xffffffff))
	rules := probe.Rules{CallShare: callShare, CallShareWindow: callShareWindow, DrainGrace: drainGrace, ColdSpeed: coldSpeed, WarmupTime: warmupTime}
	rules.Apply(file["settings"].(map[string]any))
	return json.Marshal(file)
}

// oneCore is held while the affinity of a thread of this process is changed.
var oneCore sync.Mutex

// startOnOneCore starts a process on the first core that this process may use. The
// child inherits the affinity of the thread that starts it, which is restored after.
func startOnOneCore(cmd *exec.Cmd) error {
	oneCore.Lock()
	defer oneCore.Unlock()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var allowed, firstCore unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return err
	}
	for i := range 1024 {
		if allowed.IsSet(i) {
			firstCore.Set(i)
			break
		}
	}
	if err := unix.SchedSetaffinity(0, &firstCore); err != nil {
		return err
	}
	err := cmd.Start()
	if restoreErr := unix.SchedSetaffinity(0, &allowed); err == nil {
		err = restoreErr
	}
	return err
}
