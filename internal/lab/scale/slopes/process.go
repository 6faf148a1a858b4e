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

// patience bounds every wait for a process: far longer than anything takes.
const patience = 60 * time.Second

// process is one server of the real program. It is awaited by the lines of its
// log, and ended by its id.
type process struct {
	cmd     *exec.Cmd
	file    string // the operator's file
	took    time.Duration
	lines   chan logLine
	ended   chan struct{}
	mu      sync.Mutex
	lastErr string
}

type logLine struct {
	at      time.Time
	Msg     string `json:"msg"`
	Error   string `json:"error"`
	Version uint64 `json:"version"` // of the fleet's document
}

// start starts the program with an operator's file in dir and waits for its
// line "serving".
func start(program, dir string, s site) (*process, error) {
	p := &process{file: filepath.Join(dir, "operator.toml"), lines: make(chan logLine, 256), ended: make(chan struct{})}
	if err := p.write(s); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(program, "serve", "--operator", p.file)
	p.cmd.Env = append(slices.DeleteFunc(os.Environ(), func(e string) bool { return strings.HasPrefix(e, "EDGE_") || strings.HasPrefix(e, "KITESLIP_") }),
		"TMPDIR="+dir)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // ctrl-C is for who measures, who then ends it
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	began := time.Now()
	if err = p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	go func() {
		defer close(p.ended)
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
			default: // nobody waits for it
			}
		}
		p.cmd.Wait() //nolint:errcheck // how it ended shows in its log
	}()
	at, err := p.await("serving")
	if err != nil {
		p.stop()
		return nil, err
	}
	p.took = at.Sub(began)
	return p, nil
}

func (p *process) write(s site) error {
	part := p.file + ".part"
	if err := os.WriteFile(part, []byte(s.text()), 0o600); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	if err := os.Rename(part, p.file); err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	return nil
}

var errRefused = errors.New("the program does not use the new configuration")

// await waits for a line of the log, and returns when it came.
func (p *process) await(msg string) (time.Time, error) { return p.awaitVersion(msg, 0) }

// awaitVersion waits for a line about a version, or a later one.
func (p *process) awaitVersion(msg string, number uint64) (time.Time, error) {
	over := time.After(patience)
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
		case <-over:
			return time.Time{}, fmt.Errorf("slopes: no line %q within %v", msg, patience)
		}
	}
}

// stop ends the process and waits for its end.
func (p *process) stop() {
	p.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	select {
	case <-p.ended:
	case <-time.After(4 * time.Second):
		p.cmd.Process.Kill() //nolint:errcheck // it may have ended
		<-p.ended
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.cmd.Process.Kill() //nolint:errcheck // it may have ended
	<-p.ended
}

// rssKB is the memory that the process has in use now.
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
	return 0, errors.New("slopes: the system does not tell the memory of a process")
}

// descriptors is how many the process has open.
func (p *process) descriptors() (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(list), err
}

// used is what the system's scheduler counts for a process since its start: the
// time that it ran, and the time that it was ready to and had no core.
type used struct{ ran, waited time.Duration }

func (p *process) used() (u used, err error) {
	pid := p.cmd.Process.Pid
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(tasks) == 0 {
		return u, fmt.Errorf("slopes: the system does not tell the time of process %d", pid)
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

// freeAddress is a loopback address that nothing listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("slopes: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// place fills in free addresses of a site.
func (s *site) place() error {
	var err error
	if s.listen, err = freeAddress(); err == nil {
		s.ops, err = freeAddress()
	}
	return err
}

// inFolder runs f in a folder of its own.
func inFolder(f func(dir string) error) error {
	dir, err := os.MkdirTemp("", "kitelab")
	if err != nil {
		return fmt.Errorf("slopes: %w", err)
	}
	defer os.RemoveAll(dir)
	return f(dir)
}
