// Package shutdown measures restarts against the real program on loopback: many
// processes on one core that are told to leave and start again, all at once,
// while callers send and links are struck. Each process has an engine of its own
// that comes up cold; all of them call one ledger that is cold too. What the
// measurement returns are counts; what they must be is the caller's to say.
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

// The site that is played.
const (
	classTimeout    = 3 * time.Second
	answerSlack     = 110 * time.Millisecond // of the rules, on sockets
	stopTimeout     = 2500 * time.Millisecond
	drainGrace      = 400 * time.Millisecond
	keyWindow       = 20 * time.Second
	callShareWindow = 2 * time.Second
	callShare       = 0.4 // of calls below, for each process
	warmupTime      = 4 * time.Second
	coldSpeed       = 0.25
	callTime        = 60 * time.Millisecond // what the ledger takes once it is warm
	coldCallFactor  = 5                     // ... and how many times that at first
	waveInterval    = 5 * time.Second       // between two waves of restarts
	refusalTime     = 1500 * time.Millisecond
)

// Outcome is what was seen.
type Outcome struct {
	Processes, Restarts       int
	Requests, Served, Refused int
	Failed, Crossed           int // Crossed: sent within 50 ms of the end of their connection, and sent again
	Lost, Twice, Late, Wrong  int
	Reset                     int // connections that were reset with answers owed
	SecondRuns                int
	Ready                     []time.Duration // from the start of a process to its first good health answer, shortest first
	InHand                    int             // calls in hand at the ledger at once, at most
	Sent                      int             // calls within any span of CallsOver, at most
	Budget, SentBudget        float64         // what the settings allow of both
	Unclean                   int             // processes that did not end well by themselves
}

// Bound is what may be sent beyond a budget of n by chance.
func Bound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// ReadyWithin is the share of starts that were ready within d.
func (o *Outcome) ReadyWithin(d time.Duration) float64 {
	if len(o.Ready) == 0 {
		return 0
	}
	n, _ := slices.BinarySearch(o.Ready, d+1)
	return float64(n) / float64(len(o.Ready))
}

// fleet is the processes and all that they talk with.
type fleet struct {
	program string
	dir     string
	seed    uint64
	servers []*server
	ledger  *ledger.Ledger

	mu         sync.Mutex
	outcome    Outcome
	callTimes  []time.Time // when each came to the ledger
	callEnds   []time.Time // when each of those in hand is over
	coldAt     time.Time
	refuseFrom time.Time
	stopping   atomic.Bool // callers send nothing new
	callers    sync.WaitGroup
}

// server is one address, over its lives.
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

// Play starts so many processes, restarts all of them so often while callers
// send, and returns what was seen.
func Play(program string, processes, waves int, seed uint64) (*Outcome, error) {
	f := &fleet{program: program, seed: seed}
	f.outcome.Processes = processes
	f.outcome.Budget = float64(processes) * callShare
	f.outcome.SentBudget = f.outcome.Budget * float64(callShareWindow) / float64(callTime)
	var err error
	if f.dir, err = os.MkdirTemp("", "kitelab"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(f.dir)
	if f.ledger, err = ledger.Serve(f.handleCall); err != nil {
		return nil, err
	}
	defer f.ledger.Down()
	defer f.killAll()
	for i := range processes {
		s := &server{fleet: f, name: fmt.Sprint("n", i), dir: filepath.Join(f.dir, fmt.Sprint(i))}
		if err = os.Mkdir(s.dir, 0o700); err != nil {
			return nil, err
		}
		// An address of the loopback range of its own: nothing else takes its port while the process is away.
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
		for c := range 2 {
			f.callers.Add(1)
			go f.runCaller(s, rand.New(rand.NewPCG(seed, uint64(10*i+c))), i*10+c)
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
		s.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	}
	for _, s := range f.servers {
		f.awaitEnd(s)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evaluate()
	return &f.outcome, nil
}

// evaluate counts what is known once all is over.
func (f *fleet) evaluate() {
	slices.Sort(f.outcome.Ready)
	for _, s := range f.servers {
		for _, e := range append(s.retired, s.engine) {
			for body, n := range e.Log().Begun {
				if n > 1 && strings.Contains(body, classKeyed) { // what is safe to repeat may be begun again after a cut
					f.outcome.SecondRuns += n - 1
				}
			}
		}
	}
	from := 0
	for i, at := range f.callTimes {
		for f.callTimes[from].Before(at.Add(-callShareWindow)) {
			from++
		}
		f.outcome.Sent = max(f.outcome.Sent, i-from+1)
	}
}

// handleCall is the ledger: cold after each wave, and now and then it turns all away.
func (f *fleet) handleCall(ledger.Call) ledger.Act {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.callTimes = append(f.callTimes, now)
	if since := now.Sub(f.refuseFrom); since >= 0 && since < refusalTime {
		return ledger.Act{Status: 503, Untouched: true}
	}
	slow := 1 + (coldCallFactor-1)*max(0, 1-float64(now.Sub(f.coldAt))/float64(warmupTime))
	takes := time.Duration(float64(callTime) * slow)
	f.callEnds = slices.DeleteFunc(f.callEnds, func(end time.Time) bool { return !end.After(now) })
	f.callEnds = append(f.callEnds, now.Add(takes)) // one that is given up counts to its end
	f.outcome.InHand = max(f.outcome.InHand, len(f.callEnds))
	return ledger.Act{After: takes}
}

// restartLedgerCold has the ledger start cold, and turn all away for a while later on.
func (f *fleet) restartLedgerCold() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldAt = time.Now()
	f.refuseFrom = f.coldAt.Add(waveInterval / 2)
}

// startAll starts every process in the same moment, on one core.
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

// restartAll tells every process to leave, and starts each anew as soon as it has ended.
func (f *fleet) restartAll() error {
	errs := make(chan error, len(f.servers))
	var first sync.Once
	for _, s := range f.servers {
		go func() {
			s.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
			f.awaitEnd(s)
			first.Do(f.restartLedgerCold) // the ledger starts anew with the first that does
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

// awaitEnd waits for the end of a process, which must come by itself.
func (f *fleet) awaitEnd(s *server) {
	select {
	case err := <-s.ended:
		s.ended <- err
		if err == nil {
			return
		}
	case <-time.After(stopTimeout + time.Second):
		s.cmd.Process.Kill() //nolint:errcheck // it may have ended
		err := <-s.ended
		s.ended <- err
	}
	f.mu.Lock()
	f.outcome.Unclean++
	f.mu.Unlock()
}

// disturbLinks breaks the engine's links of some servers in the next while, silences others, and heals them.
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
			link.Break()
		case 1:
			link.EndAfter(rng.IntN(200))
			time.AfterFunc(100*time.Millisecond, func() { link.Heal() }) //nolint:errcheck // it listens
		case 2:
			link.Silence(faultnet.Back)
			time.AfterFunc(200*time.Millisecond, func() { link.Heal() }) //nolint:errcheck // it listens
		}
		time.Sleep(40 * time.Millisecond)
	}
}

func (f *fleet) killAll() {
	for _, s := range f.servers {
		if s.cmd != nil {
			s.cmd.Process.Kill() //nolint:errcheck // it may have ended
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

// start begins a life: an engine that comes up cold, the process, and its first good health answer.
func (s *server) start() error {
	engine, err := box.Serve(box.Spec{Cores: 6})
	if err != nil {
		return err
	}
	engine.Watch()
	engine.Cold(coldSpeed, warmupTime)
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
			return fmt.Errorf("%s is not ready within 30 s", s.name)
		}
		time.Sleep(2 * time.Millisecond)
	}
	s.fleet.mu.Lock()
	s.fleet.outcome.Ready = append(s.fleet.outcome.Ready, time.Since(began))
	s.fleet.mu.Unlock()
	return nil
}

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
	settings := file["settings"].(map[string]any)
	family := settings["family_info"].(map[string]any)
	family["below"], family["dep_share"], family["calls_over_us"] = "one_for_all", callShare, callShareWindow.Microseconds()
	rules := settings["rules"].(map[string]any)
	rules["drain_grace_us"], rules["cold_from"], rules["warm_within_us"] = drainGrace.Microseconds(), coldSpeed, warmupTime.Microseconds()
	rules["fall_multiple"], rules["fall_us"] = 8, 1_500_000
	return json.Marshal(file)
}

var oneCore sync.Mutex

// startOnOneCore starts a process that shares one core with all others started so.
func startOnOneCore(cmd *exec.Cmd) error {
	oneCore.Lock()
	defer oneCore.Unlock()
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	for i := range 1024 {
		if all.IsSet(i) {
			one.Set(i)
			break
		}
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	err := cmd.Start()
	if back := unix.SchedSetaffinity(0, &all); err == nil {
		err = back
	}
	return err
}
