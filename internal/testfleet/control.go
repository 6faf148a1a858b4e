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

// ControlSpec says what a control machine is to be.
type ControlSpec struct {
	Path    string   // of the binary
	Env     []string // besides the test's own
	Name    string
	Region  string
	Listen  string // "" = a free address
	Folder  string // of the log; "" = one of its own
	Deltas  int    // 0 = the default
	Follow  []ControlTarget
	Trouble bool // it may end before it serves: Again says so and does not fail the test
}

// ControlTarget is a control machine that another follows.
type ControlTarget struct{ Address, Region string }

// Control is one control machine, over all of its lives: its address and its
// folder stay the same.
type Control struct {
	Address string
	Folder  string
	Spec    ControlSpec // may be changed between two lives
	program *Program
	dir     string
}

// StartControl starts a control machine and waits until it serves. It is ended,
// by its id, when the test ends; its log is shown where the test fails.
func StartControl(t testing.TB, spec ControlSpec) *Control {
	t.Helper()
	c := &Control{Address: spec.Listen, Folder: spec.Folder, Spec: spec, dir: t.TempDir()}
	if c.Address == "" {
		c.Address = Address(t)
	}
	if c.Folder == "" {
		c.Folder = filepath.Join(c.dir, "log")
	}
	c.program = &Program{spec: Spec{Name: spec.Name}, t: t, Folder: c.dir}
	t.Cleanup(func() {
		if c.program.cmd != nil {
			c.Kill()
		}
		if t.Failed() {
			t.Logf("the log of %s:\n%s", spec.Name, strings.Join(c.Lines(), "\n"))
		}
	})
	if err := c.Again(); err != nil {
		t.Fatal(err)
	}
	return c
}

// Again starts a life, after the one before has ended, and returns when it
// serves. What keeps it from serving fails the test, or is returned where the
// spec asks for that.
func (c *Control) Again() error {
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
	file := filepath.Join(c.dir, "control.toml")
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
	serving, read := make(chan struct{}), make(chan struct{})
	go func() { defer close(read); p.follow(out, serving) }()
	p.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan<- error) { <-read; ended <- cmd.Wait() }(p.cmd, p.ended)
	select {
	case <-serving:
		return nil
	case err := <-p.ended:
		p.ended <- err
		err = fmt.Errorf("%s ends before it serves: %w", c.Spec.Name, err)
		if !c.Spec.Trouble {
			p.t.Fatal(err)
		}
		return err
	case <-time.After(patience):
		p.t.Fatalf("%s does not serve within %v", c.Spec.Name, patience)
	}
	return nil
}

// Kill ends the process at once, and returns when it is gone.
func (c *Control) Kill() { c.program.Kill() }

// Leave sends SIGTERM and waits for the end of the process.
func (c *Control) Leave() { c.program.t.Helper(); c.program.Leave() }

// PID is the id of the process.
func (c *Control) PID() int { return c.program.cmd.Process.Pid }

// Lines are the last lines of its log, of all lives.
func (c *Control) Lines() []string {
	c.program.mu.Lock()
	defer c.program.mu.Unlock()
	return append([]string(nil), c.program.lines...)
}

// Logged says whether a line of its log has the text.
func (c *Control) Logged(text string) bool {
	for _, line := range c.Lines() {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}
