package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"kiteslip/internal/faultnet"
	"kiteslip/internal/standin/box"
)

// The engine's warm-up after each start.
const (
	coldSpeed  = 0.3
	warmupTime = 2 * time.Second
)

// The sampling of a process.
const (
	sampleInterval  = 100 * time.Millisecond
	stackDumpTime   = 100 * time.Millisecond // for a process to write its stacks
	clockTicks      = 100                    // of /proc, per second
	minCPUTime      = 2 * time.Second
	coreMeasureSlop = 0.15 // a sample's share of the cores is exact to about this
)

// process is one process of a server, with an engine of its own.
type process struct {
	place   *place
	number  int // over all processes of the place
	life    int // keys must not run twice within one life
	cmd     *exec.Cmd
	engine  *box.Engine
	link    *faultnet.Link
	admin   string
	config  string // path of the platform's file
	logPath string

	startedAt time.Time
	ended     chan struct{}
	endErr    error // valid once ended is closed

	mu           sync.Mutex
	readyAt      time.Time
	termAt       time.Time // when it was told to stop; zero = it was not
	superseded   bool      // a successor served when it was told to stop
	killedAt     time.Time // SIGKILL without a notice
	killedAtStop bool      // it had to be killed at the end of the stop time
	endedAt      time.Time
	maxRSS       int64 // in bytes
	maxFDs       int
	cpuTime      time.Duration
	readyFDs     int // descriptors once it was ready
}

// start starts a process of the place. The lifecycle lock must be held.
func (p *place) start() (*process, error) {
	p.mu.Lock()
	pr := &process{place: p, number: len(p.processes), ended: make(chan struct{})}
	if pr.number > 0 && !p.plan.upgrades && !p.plan.keyStore {
		pr.life = pr.number // keys are held in memory only, and nothing is left of the process before
	}
	p.processes = append(p.processes, pr)
	p.mu.Unlock()
	return pr, pr.launch()
}

// launch starts the engine and the program.
func (pr *process) launch() error {
	p := pr.place
	engine, err := box.Serve(box.Spec{Cores: engineCores})
	if err != nil {
		return err
	}
	engine.OnRun(func(id, body string) { p.game.history.addRun(run{time.Now(), id, body, pr}) })
	engine.StartWarmup(coldSpeed, warmupTime)
	pr.engine = engine
	if pr.link, err = faultnet.New(engine.Address); err != nil {
		return err
	}
	if pr.admin, err = freeAddress("127.0.0.1"); err != nil {
		return err
	}
	base := filepath.Join(p.dir, fmt.Sprint("process", pr.number))
	pr.config, pr.logPath = base+".json", base+".log"
	if err = pr.writeConfig(); err != nil {
		return err
	}
	operator := base + ".toml"
	if err = os.WriteFile(operator, []byte(p.operatorFile()), 0o600); err != nil {
		return err
	}
	folder := filepath.Join(p.dir, "shared")
	if !p.plan.upgrades { // the platform empties the folder at each start
		folder = base
		if err = os.Mkdir(folder, 0o700); err != nil {
			return err
		}
	}
	pr.cmd = exec.Command(p.game.program, "serve", "--log-level", "debug")
	pr.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+pr.config, "KITESLIP_OPERATOR="+operator, "TMPDIR="+folder)
	if p.listener != nil {
		socket, err := p.listener.File()
		if err != nil {
			return err
		}
		defer socket.Close()
		pr.cmd.ExtraFiles = []*os.File{socket}
		pr.cmd.Env = append(pr.cmd.Env, "EDGE_INHERITED_FD=3")
	}
	return pr.run()
}

// run starts the program with its output in the log file.
func (pr *process) run() error {
	log, err := os.Create(pr.logPath)
	if err != nil {
		return err
	}
	defer log.Close()
	pr.cmd.Stdout, pr.cmd.Stderr = log, log
	pr.startedAt = time.Now()
	if err = pr.cmd.Start(); err != nil {
		return err
	}
	pr.place.game.event("%s process %d starts", pr.place.name, pr.number)
	go func() {
		pr.endErr = pr.cmd.Wait()
		pr.mu.Lock()
		pr.endedAt = time.Now()
		pr.mu.Unlock()
		pr.place.game.event("%s process %d ended: %v", pr.place.name, pr.number, pr.endErr)
		close(pr.ended)
	}()
	go pr.sample()
	return nil
}

// writeConfig writes the platform's file, which replaces an existing one atomically.
func (pr *process) writeConfig() error {
	text, err := pr.place.platformFile(pr.link.Address, pr.admin)
	if err != nil {
		return err
	}
	if err = os.WriteFile(pr.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(pr.config+".new", pr.config)
}

// awaitReady waits until the process accepts callers, and reports whether it does.
func (pr *process) awaitReady() bool {
	for time.Since(pr.startedAt) < 2*readyLimit {
		select {
		case <-pr.ended:
			return false
		case <-time.After(2 * time.Millisecond):
		}
		if adminReady(pr.admin) {
			pr.mu.Lock()
			pr.readyAt, pr.readyFDs = time.Now(), pr.descriptors()
			pr.mu.Unlock()
			pr.place.game.event("%s process %d is ready", pr.place.name, pr.number)
			return true
		}
	}
	return false
}

// adminReady asks the admin endpoint whether the process is ready.
func adminReady(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // supported by TCP connections
	fmt.Fprint(conn, "ready\n")
	reply, _ := io.ReadAll(conn)
	return string(reply) == "done ready\n"
}

// signal sends a signal.
func (pr *process) signal(sig syscall.Signal) {
	pr.cmd.Process.Signal(sig) //nolint:errcheck // the process may have ended
}

// terminate sends SIGTERM, and SIGKILL at the earliest moment that the platform may.
func (pr *process) terminate(superseded bool) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	if !pr.termAt.IsZero() {
		pr.signal(syscall.SIGTERM)
		return
	}
	pr.place.game.event("%s process %d gets SIGTERM (superseded %v)", pr.place.name, pr.number, superseded)
	pr.termAt, pr.superseded = time.Now(), superseded
	pr.signal(syscall.SIGTERM)
	stop := stopTimeout
	if superseded {
		stop = supersededStop
	}
	go pr.killAfter(stop)
}

// killAfter ends the process when its stop time is over. SIGQUIT stops all goroutines and
// leaves their stacks in the log; SIGKILL follows.
func (pr *process) killAfter(stop time.Duration) {
	select {
	case <-pr.ended:
	case <-time.After(stop):
		pr.mu.Lock()
		pr.killedAtStop = true
		pr.mu.Unlock()
		pr.signal(syscall.SIGQUIT)
		select {
		case <-pr.ended:
		case <-time.After(stackDumpTime):
			pr.signal(syscall.SIGKILL)
		}
	}
}

// kill sends SIGKILL without a notice, with the engine, and waits for the end.
func (pr *process) kill() {
	pr.mu.Lock()
	pr.killedAt = time.Now()
	pr.mu.Unlock()
	pr.place.game.event("%s process %d is killed", pr.place.name, pr.number)
	pr.signal(syscall.SIGKILL)
	<-pr.ended
	pr.link.Close()
	pr.engine.Close()
}

// sample measures the process until it ends.
func (pr *process) sample() {
	for {
		select {
		case <-pr.ended:
			return
		case <-time.After(sampleInterval):
		}
		resident, cpu, err := usage(pr.cmd.Process.Pid)
		if err != nil {
			continue // it has just ended
		}
		descriptors := pr.descriptors()
		pr.mu.Lock()
		pr.maxRSS, pr.maxFDs, pr.cpuTime = max(pr.maxRSS, resident), max(pr.maxFDs, descriptors), cpu
		pr.mu.Unlock()
	}
}

// descriptors returns the number of open descriptors; 0 = the process has ended.
func (pr *process) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pr.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// usage returns the resident memory in bytes and the processor time of a process.
func usage(pid int) (resident int64, cpu time.Duration, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21 // after the name, see proc(5)
	if len(fields) <= residentPages {
		return 0, 0, errors.New("soak: /proc/PID/stat is short")
	}
	number := func(i int) int64 { n, _ := strconv.ParseInt(fields[i], 10, 64); return n }
	cpu = time.Duration(number(userTime)+number(systemTime)) * time.Second / clockTicks
	return number(residentPages) * int64(os.Getpagesize()), cpu, nil
}

// endedBeforeMain reports whether SIGTERM ended the process while the system was still
// loading it: it had not written a line, and had read nothing.
func (pr *process) endedBeforeMain() bool {
	var exit *exec.ExitError
	if pr.termAt.IsZero() || !errors.As(pr.endErr, &exit) {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	info, err := os.Stat(pr.logPath)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM && err == nil && info.Size() == 0
}

// maxLogLineBytes bounds the lines of a log that are searched.
const maxLogLineBytes = 1 << 20

// searchLog calls f with each line of the log.
func (pr *process) searchLog(f func(line string)) {
	file, err := os.Open(pr.logPath)
	if err != nil {
		return
	}
	defer file.Close()
	scan := bufio.NewScanner(file)
	scan.Buffer(nil, maxLogLineBytes)
	for scan.Scan() {
		f(scan.Text())
	}
}
