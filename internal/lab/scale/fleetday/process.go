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

// readyWithin bounds the wait for a process to be up.
const readyWithin = 60 * time.Second

// process is one life of a program.
type process struct {
	name  string
	cmd   *exec.Cmd
	in    io.WriteCloser // nil = none
	began time.Time
	ready chan struct{} // closed when the line that says so has come
	over  chan struct{} // closed when it is gone
	err   error         // once it is
	tail  []string      // the last lines, once it is
}

// linesKept is how much of a log is shown where a process fails.
const linesKept = 12

var starts = make(chan func())

// starter starts processes from one thread that stays: the system ends them
// when that thread ends, and so never before this process does.
var starter = sync.OnceFunc(func() {
	go func() {
		runtime.LockOSThread()
		for f := range starts {
			f()
		}
	}()
})

// launch starts a process. Each line of its log goes to onLine with the time at
// which it was read; the first that has ready in it says that it is up.
func launch(name string, cmd *exec.Cmd, ready string, commands bool, onLine func(line string, at time.Time)) (*process, error) {
	p := &process{name: name, cmd: cmd, ready: make(chan struct{}), over: make(chan struct{})}
	// Ctrl-C is for who plays, who then ends them; and if that one is killed, the system does.
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
	starter()
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
			if p.tail = append(p.tail, line); len(p.tail) > linesKept {
				p.tail = p.tail[1:]
			}
			onLine(line, at)
		}
		p.err = cmd.Wait()
		close(p.over)
	}()
	return p, nil
}

// lineMost bounds one line of a log: that with the states of a process of hollow servers is the longest.
const lineMost = 1 << 20

func newLines(r io.Reader) *bufio.Scanner {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, lineMost)
	return scan
}

// up waits until the process says that it is up.
func (p *process) up() error {
	select {
	case <-p.ready:
		return nil
	case <-p.over:
		select {
		case <-p.ready: // it was, and is gone again
			return nil
		default:
		}
		return fmt.Errorf("%s ends before it is up: %w; its log ends with:\n%s", p.name, orEnded(p.err), strings.Join(p.tail, "\n"))
	case <-time.After(readyWithin):
		return fmt.Errorf("%s is not up within %v", p.name, readyWithin)
	}
}

var errEnded = errors.New("it ended without an error")

func orEnded(err error) error {
	if err == nil {
		return errEnded
	}
	return err
}

// kill ends the process at once, and returns when it is gone.
func (p *process) kill() {
	p.cmd.Process.Kill() //nolint:errcheck // it may have ended
	<-p.over
}

// leave gives the notice to leave, and kills what is not gone within that time.
func (p *process) leave(within time.Duration) (clean bool) {
	p.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	select {
	case <-p.over:
		return p.err == nil
	case <-time.After(within):
		p.kill()
		return false
	}
}

func (p *process) say(words ...any) error {
	_, err := fmt.Fprintln(p.in, words...)
	return err
}
