// Package testfleet starts whole programs on loopback for tests: each a process
// with a folder and addresses of its own, awaited by the line that its log has
// once it serves, and ended by its id, also when the test fails.
package testfleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// patience bounds every wait: far longer than anything takes, so that what does
// not come fails the test and does not hang it.
const patience = 20 * time.Second

// linesKept bounds the log that is shown where a test fails.
const linesKept = 200

// Spec says what a program is to be.
type Spec struct {
	Path     string         // of the binary
	Env      []string       // besides the test's own
	Name     string         // of the server
	Config   map[string]any // the platform's file; name, listen and ops are filled in
	Operator string         // the operator's file; "" = none
	Folder   string         // "" = one of its own
}

// Program is one server, over all of its lives: its addresses and its folder
// stay the same.
type Program struct {
	Clients, Ops string
	Folder       string
	spec         Spec
	t            testing.TB
	cmd          *exec.Cmd
	ended        chan error

	mu    sync.Mutex
	lines []string
}

// Start starts a program and waits until it serves.
func Start(t testing.TB, spec Spec) *Program {
	t.Helper()
	p := &Program{spec: spec, t: t, Folder: spec.Folder, Clients: Address(t), Ops: Address(t)}
	if p.Folder == "" {
		p.Folder = t.TempDir()
	}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("the log of %s:\n%s", spec.Name, strings.Join(p.lines, "\n"))
		}
	})
	p.Again()
	return p
}

// Address is a loopback address that nothing listens on.
func Address(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Again starts a life of the program, after the one before has ended.
func (p *Program) Again() {
	p.t.Helper()
	config := map[string]any{"name": p.spec.Name, "listen": p.Clients, "ops": p.Ops}
	for key, value := range p.spec.Config {
		config[key] = value
	}
	file := p.write("config.json", config)
	p.cmd = exec.Command(p.spec.Path)
	p.cmd.Env = append(append(os.Environ(), "TMPDIR="+p.Folder, "EDGE_CONFIG="+file), p.spec.Env...)
	if p.spec.Operator != "" {
		over := filepath.Join(p.Folder, "operator.toml")
		if err := os.WriteFile(over, []byte(p.spec.Operator), 0o600); err != nil {
			p.t.Fatal(err)
		}
		p.cmd.Env = append(p.cmd.Env, "KITESLIP_OPERATOR="+over)
	}
	out, err := p.cmd.StderrPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		p.t.Fatal(err)
	}
	serving := make(chan struct{})
	read := make(chan struct{})
	go func() { defer close(read); p.follow(out, serving) }()
	p.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan<- error) { <-read; ended <- cmd.Wait() }(p.cmd, p.ended)
	select {
	case <-serving:
	case err := <-p.ended:
		p.ended <- err
		p.t.Fatalf("%s ends before it serves: %v", p.spec.Name, err)
	case <-time.After(patience):
		p.t.Fatalf("%s does not serve within %v", p.spec.Name, patience)
	}
}

// Reload writes another platform's file and sends SIGHUP.
func (p *Program) Reload(config map[string]any) {
	p.t.Helper()
	p.spec.Config = config
	whole := map[string]any{"name": p.spec.Name, "listen": p.Clients, "ops": p.Ops}
	for key, value := range config {
		whole[key] = value
	}
	p.write("config.json", whole)
	p.Signal(syscall.SIGHUP)
}

func (p *Program) write(name string, value map[string]any) string {
	p.t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		p.t.Fatal(err)
	}
	file := filepath.Join(p.Folder, name)
	if err := os.WriteFile(file+".new", text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		p.t.Fatal(err)
	}
	return file
}

// follow reads the log until it ends.
func (p *Program) follow(log io.Reader, serving chan<- struct{}) {
	said := false
	for scan := bufio.NewScanner(log); scan.Scan(); {
		line := scan.Text()
		p.mu.Lock()
		if p.lines = append(p.lines, line); len(p.lines) > linesKept {
			p.lines = p.lines[1:]
		}
		p.mu.Unlock()
		if !said && strings.Contains(line, `"msg":"serving"`) {
			said = true
			close(serving)
		}
	}
}

// Signal sends a signal to the process.
func (p *Program) Signal(sig syscall.Signal) {
	p.cmd.Process.Signal(sig) //nolint:errcheck // it may have ended
}

// Kill ends the process at once, and returns when it is gone.
func (p *Program) Kill() {
	p.Signal(syscall.SIGKILL)
	if p.ended != nil {
		err := <-p.ended
		p.ended <- err
	}
}

// Leave sends SIGTERM and waits for the end of the process.
func (p *Program) Leave() {
	p.t.Helper()
	p.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		p.ended <- err
		if err != nil {
			p.t.Errorf("%s leaves with: %v", p.spec.Name, err)
		}
	case <-time.After(patience):
		p.t.Errorf("%s does not leave within %v", p.spec.Name, patience)
	}
}

// Eventually waits until ok, and fails the test if that does not come.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > patience {
			t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

// Descriptors is how many descriptors the process holds.
func (p *Program) Descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(entries)
}

// Grant holds the process to so many descriptors, as the platform does.
func (p *Program) Grant(descriptors uint64) {
	p.t.Helper()
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil); err != nil {
		p.t.Fatal(err)
	}
}
