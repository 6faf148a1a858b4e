package fleetday

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// readyTimeout bounds the wait for a process to be up.
const readyTimeout = 60 * time.Second

// process is one life of a program.
type process struct {
	name  string
	cmd   *exec.Cmd
	in    io.WriteCloser // nil without commands
	began time.Time
	ready chan struct{} // closed when the ready line was read
	done  chan struct{} // closed when the process has ended
	err   error         // valid once done is closed
	tail  []string      // the last lines of its log, valid once done is closed
}

// keptLines is the number of log lines that are shown when a process fails.
const keptLines = 12

var starts = make(chan func())

// startThread starts the thread that starts all processes. The system kills a process
// when the thread that started it ends, so this thread lasts as long as this process.
var startThread = sync.OnceFunc(func() {
	go func() {
		runtime.LockOSThread()
		for f := range starts {
			f()
		}
	}()
})

// launch starts a process. Each line of its log is passed to onLine with the time at
// which it was read; the first that contains ready shows that the process is up.
func launch(name string, cmd *exec.Cmd, ready string, commands bool, onLine func(line string, at time.Time)) (*process, error) {
	p := &process{name: name, cmd: cmd, ready: make(chan struct{}), done: make(chan struct{})}
	// Ctrl-C goes to this process only, which then ends the others; if this one is killed, the system ends them.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	var out io.ReadCloser
	var err error
	if commands {
		cmd.Stderr = os.Stderr
		if p.in, err = cmd.StdinPipe(); err == nil {
			out, err = cmd.StdoutPipe()
		}
	} else {
		out, err = cmd.StderrPipe()
	}
	if err != nil {
		return nil, err
	}
	startThread()
	p.began = time.Now()
	started := make(chan error)
	starts <- func() { started <- cmd.Start() }
	if err = <-started; err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	go func() {
		up := false
		for scan := newLines(out); scan.Scan(); {
			line, at := scan.Text(), time.Now()
			if !up && strings.Contains(line, ready) {
				up = true
				close(p.ready)
			}
			if p.tail = append(p.tail, line); len(p.tail) > keptLines {
				p.tail = p.tail[1:]
			}
			onLine(line, at)
		}
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// maxLineBytes bounds a line of a log. The longest holds the states of a process of hollow servers.
const maxLineBytes = 1 << 20

func newLines(r io.Reader) *bufio.Scanner {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLineBytes)
	return scan
}

// waitReady waits until the process is up.
func (p *process) waitReady() error {
	select {
	case <-p.ready:
		return nil
	case <-p.done:
		select {
		case <-p.ready: // it was up before it ended
			return nil
		default:
		}
		return fmt.Errorf("%s ended before it was up: %w; its log ends with:\n%s", p.name, orExited(p.err), strings.Join(p.tail, "\n"))
	case <-time.After(readyTimeout):
		return fmt.Errorf("%s is not up within %v", p.name, readyTimeout)
	}
}

var errExited = errors.New("exited without an error")

func orExited(err error) error {
	if err == nil {
		return errExited
	}
	return err
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.cmd.Process.Kill() //nolint:errcheck // it may have ended
	<-p.done
}

// shutdown sends the shutdown notice, and kills the process if it does not end within
// the given time.
func (p *process) shutdown(within time.Duration) (clean bool) {
	p.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	select {
	case <-p.done:
		return p.err == nil
	case <-time.After(within):
		p.kill()
		return false
	}
}

func (p *process) send(words ...any) error {
	_, err := fmt.Fprintln(p.in, words...)
	return err
}
