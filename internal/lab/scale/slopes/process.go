package slopes

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// processTimeout bounds every wait for a process; far longer than any step takes.
const processTimeout = 60 * time.Second

// process is one server of the real program. Its progress is read from its log, and
// it is ended by its process ID.
type process struct {
	cmd           *exec.Cmd
	file          string // the operator's file
	startDuration time.Duration
	lines         chan logLine
	done          chan struct{}
	mu            sync.Mutex
	lastErr       string
}

type logLine struct {
	at      time.Time
	Msg     string `json:"msg"`
	Error   string `json:"error"`
	Version uint64 `json:"version"` // of the fleet configuration
}

// start starts the program with an operator's file in dir and waits for its log line
// "serving".
func start(program, dir string, s site) (*process, error) {
	p := &process{file: filepath.Join(dir, "operator.toml"), lines: make(chan logLine, 256), done: make(chan struct{})}
	if err := p.write(s); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(program, "serve", "--operator", p.file)
	p.cmd.Env = append(slices.DeleteFunc(os.Environ(), func(e string) bool { return strings.HasPrefix(e, "EDGE_") || strings.HasPrefix(e, "KITESLIP_") }),
		"TMPDIR="+dir)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // Ctrl-C goes to the measuring process, which then ends this one
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	began := time.Now()
	if err = p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	go func() {
		defer close(p.done)
		defer close(p.lines)
		for s := bufio.NewScanner(out); s.Scan(); {
			l := logLine{at: time.Now()}
			if json.Unmarshal(s.Bytes(), &l) != nil {
				l.Msg, l.Error = "text", s.Text()
			}
			if l.Error != "" {
				p.mu.Lock()
				p.lastErr = l.Error
				p.mu.Unlock()
			}
			select {
			case p.lines <- l:
			default: // no one is waiting for it
			}
		}
		p.cmd.Wait() //nolint:errcheck // its log shows how it ended
	}()
	at, err := p.await("serving")
	if err != nil {
		p.stop()
		return nil, err
	}
	p.startDuration = at.Sub(began)
	return p, nil
}

func (p *process) write(s site) error {
	temp := p.file + ".part"
	if err := os.WriteFile(temp, []byte(s.operatorFile()), 0o600); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	if err := os.Rename(temp, p.file); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	return nil
}

var errRefused = errors.New("the program rejected the new configuration")

// await waits for a log line with the message, and returns when it was read.
func (p *process) await(msg string) (time.Time, error) { return p.awaitVersion(msg, 0) }

// awaitVersion waits for a log line with the message about the version or a later one.
func (p *process) awaitVersion(msg string, number uint64) (time.Time, error) {
	timeout := time.After(processTimeout)
	for {
		select {
		case l, open := <-p.lines:
			switch {
			case !open:
				p.mu.Lock()
				defer p.mu.Unlock()
				return time.Time{}, fmt.Errorf("slopes: the program ended: %.300s", p.lastErr)
			case l.Msg == msg && l.Version >= number:
				return l.at, nil
			case l.Msg == "the new configuration is not used":
				return l.at, fmt.Errorf("slopes: %w: %.200s", errRefused, l.Error)
			}
		case <-timeout:
			return time.Time{}, fmt.Errorf("slopes: no log line %q within %v", msg, processTimeout)
		}
	}
}

// stop requests a graceful shutdown, kills the process if it takes too long, and waits for its end.
func (p *process) stop() {
	p.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	select {
	case <-p.done:
	case <-time.After(4 * time.Second):
		p.cmd.Process.Kill() //nolint:errcheck // it may have ended
		<-p.done
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.cmd.Process.Kill() //nolint:errcheck // it may have ended
	<-p.done
}

// rssKB returns the resident memory of the process.
func (p *process) rssKB() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kb float64
			_, err = fmt.Sscan(rest, &kb)
			return kb, err
		}
	}
	return 0, errors.New("slopes: no VmRSS in the status of the process")
}

// descriptors returns the number of open descriptors of the process.
func (p *process) descriptors() (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(list), err
}

// schedTimes holds the scheduler's counters for a process since its start: the time that
// it ran, and the time that it was runnable but had no core.
type schedTimes struct{ ran, waited time.Duration }

func (p *process) schedTimes() (u schedTimes, err error) {
	pid := p.cmd.Process.Pid
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return u, fmt.Errorf("slopes: no schedstat for process %d", pid)
	}
	for _, task := range tasks {
		text, err := os.ReadFile(task)
		if err != nil {
			continue // the thread has ended
		}
		var ran, waited int64
		if _, err = fmt.Sscan(string(text), &ran, &waited); err != nil {
			return u, fmt.Errorf("slopes: %s: %w", task, err)
		}
		u.ran, u.waited = u.ran+time.Duration(ran), u.waited+time.Duration(waited)
	}
	return u, nil
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("slopes: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// assignAddresses sets the listen addresses of the site to free ones.
func (s *site) assignAddresses() error {
	var err error
	if s.listen, err = freeAddress(); err == nil {
		s.admin, err = freeAddress()
	}
	return err
}

// inTempDir runs f with a temporary directory.
func inTempDir(f func(dir string) error) error {
	dir, err := os.MkdirTemp("", "kitelab")
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	defer os.RemoveAll(dir)
	return f(dir)
}
