package testfleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// ControlSpec describes a control machine to start.
type ControlSpec struct {
	Path    string   // of the binary
	Env     []string // added to the environment of the test
	Name    string
	Region  string
	Listen  string // "" = a free loopback address
	Folder  string // of the version log; "" = a temporary folder
	Deltas  int    // 0 = the default
	Follow  []ControlTarget
	MayFail bool // if it ends before it serves, Restart returns an error and does not fail the test
}

// ControlTarget is a publisher that a control machine follows.
type ControlTarget struct{ Address, Region string }

// Control is a control machine that can be restarted: its address and its folder
// stay the same for all of its processes.
type Control struct {
	Address    string
	Folder     string
	Spec       ControlSpec // may be changed before a restart
	program    *Program
	workFolder string
}

// StartControl starts a control machine and waits until it serves. It is killed
// when the test ends; its log is shown if the test fails.
func StartControl(t testing.TB, spec ControlSpec) *Control {
	t.Helper()
	c := &Control{Address: spec.Listen, Folder: spec.Folder, Spec: spec, workFolder: t.TempDir()}
	if c.Address == "" {
		c.Address = FreeAddress(t)
	}
	if c.Folder == "" {
		c.Folder = filepath.Join(c.workFolder, "log")
	}
	c.program = &Program{spec: Spec{Name: spec.Name}, t: t, Folder: c.workFolder}
	t.Cleanup(func() {
		if c.program.cmd != nil {
			c.Kill()
		}
		if t.Failed() {
			t.Logf("the log of %s:\n%s", spec.Name, strings.Join(c.LogLines(), "\n"))
		}
	})
	if err := c.Restart(); err != nil {
		t.Fatal(err)
	}
	return c
}

// Restart starts a new process after the previous one has ended, and returns when
// it serves. A process that ends before it serves fails the test, or is reported
// as an error if Spec.MayFail is set.
func (c *Control) Restart() error {
	p := c.program
	p.t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nregion = %q\nlisten = %q\nfolder = %q\n", c.Spec.Name, c.Spec.Region, c.Address, c.Folder)
	if c.Spec.Deltas > 0 {
		fmt.Fprintf(&text, "deltas = %d\n", c.Spec.Deltas)
	}
	for _, f := range c.Spec.Follow {
		fmt.Fprintf(&text, "[[follow]]\naddress = %q\nregion = %q\n", f.Address, f.Region)
	}
	file := filepath.Join(c.workFolder, "control.toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.cmd = exec.Command(c.Spec.Path, "control", "serve", "--config", file)
	p.cmd.Env = append(os.Environ(), c.Spec.Env...)
	out, err := p.cmd.StderrPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		p.t.Fatal(err)
	}
	serving, logEnd := make(chan struct{}), make(chan struct{})
	go func() { defer close(logEnd); p.readLog(out, serving) }()
	p.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan<- error) { <-logEnd; ended <- cmd.Wait() }(p.cmd, p.ended)
	select {
	case <-serving:
		return nil
	case err := <-p.ended:
		p.ended <- err
		err = fmt.Errorf("%s ended before it served: %w", c.Spec.Name, err)
		if !c.Spec.MayFail {
			p.t.Fatal(err)
		}
		return err
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not serve within %v", c.Spec.Name, waitTimeout)
	}
	return nil
}

// Kill sends SIGKILL and waits for the end of the process.
func (c *Control) Kill() { c.program.Kill() }

// Stop sends SIGTERM and waits for the end of the process.
func (c *Control) Stop() { c.program.t.Helper(); c.program.Stop() }

// PID returns the process ID.
func (c *Control) PID() int { return c.program.cmd.Process.Pid }

// LogLines returns the last lines of the log, over all processes of the machine.
func (c *Control) LogLines() []string {
	c.program.mu.Lock()
	defer c.program.mu.Unlock()
	return append([]string(nil), c.program.logLines...)
}

// Logged reports whether a line of LogLines contains text.
func (c *Control) Logged(text string) bool {
	for _, line := range c.LogLines() {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}
