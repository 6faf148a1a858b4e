// Package testfleet starts servers and control machines as processes on loopback
// for tests. Each has a folder and addresses of its own; Start waits for the log
// line "serving", and every process is killed when its test ends.
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

// waitTimeout bounds every wait. It is far longer than any of them takes, so that
// an event that never comes fails the test instead of blocking it.
const waitTimeout = 20 * time.Second

// maxLogLines bounds the log that is shown when a test fails.
const maxLogLines = 200

// Spec describes a server to start.
type Spec struct {
	Path     string         // of the binary
	Env      []string       // added to the environment of the test
	Name     string         // of the server
	Config   map[string]any // content of the platform's file; name, listen and ops are filled in
	Operator string         // content of the operator's file; "" = none
	Folder   string         // "" = a temporary folder
}

// Program is a server that can be restarted: its addresses and its folder stay
// the same for all of its processes.
type Program struct {
	CallerAddress, AdminAddress string // addresses of the listener for callers and of the admin endpoint
	Folder                      string
	spec                        Spec
	t                           testing.TB
	cmd                         *exec.Cmd
	ended                       chan error

	mu       sync.Mutex
	logLines []string
}

// Start starts a server and waits until it serves. It is killed when the test
// ends; its log is shown if the test fails.
func Start(t testing.TB, spec Spec) *Program {
	t.Helper()
	p := &Program{spec: spec, t: t, Folder: spec.Folder, CallerAddress: FreeAddress(t), AdminAddress: FreeAddress(t)}
	if p.Folder == "" {
		p.Folder = t.TempDir()
	}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			p.mu.Lock()
			defer p.mu.Unlock()
			t.Logf("the log of %s:\n%s", spec.Name, strings.Join(p.logLines, "\n"))
		}
	})
	p.Restart()
	return p
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Restart starts a new process of the server after the previous one has ended, and
// waits until it serves.
func (p *Program) Restart() {
	p.t.Helper()
	config := map[string]any{"name": p.spec.Name, "listen": p.CallerAddress, "ops": p.AdminAddress}
	for key, value := range p.spec.Config {
		config[key] = value
	}
	file := p.writeFile("config.json", config)
	p.cmd = exec.Command(p.spec.Path)
	p.cmd.Env = append(append(os.Environ(), "TMPDIR="+p.Folder, "EDGE_CONFIG="+file), p.spec.Env...)
	if p.spec.Operator != "" {
		operatorFile := filepath.Join(p.Folder, "operator.toml")
		if err := os.WriteFile(operatorFile, []byte(p.spec.Operator), 0o600); err != nil {
			p.t.Fatal(err)
		}
		p.cmd.Env = append(p.cmd.Env, "KITESLIP_OPERATOR="+operatorFile)
	}
	out, err := p.cmd.StderrPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		p.t.Fatal(err)
	}
	serving := make(chan struct{})
	logEnd := make(chan struct{})
	go func() { defer close(logEnd); p.readLog(out, serving) }()
	p.ended = make(chan error, 1)
	go func(cmd *exec.Cmd, ended chan<- error) { <-logEnd; ended <- cmd.Wait() }(p.cmd, p.ended)
	select {
	case <-serving:
	case err := <-p.ended:
		p.ended <- err
		p.t.Fatalf("%s ended before it served: %v", p.spec.Name, err)
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not serve within %v", p.spec.Name, waitTimeout)
	}
}

// Reload replaces the platform's file and sends SIGHUP.
func (p *Program) Reload(config map[string]any) {
	p.t.Helper()
	p.spec.Config = config
	complete := map[string]any{"name": p.spec.Name, "listen": p.CallerAddress, "ops": p.AdminAddress}
	for key, value := range config {
		complete[key] = value
	}
	p.writeFile("config.json", complete)
	p.Signal(syscall.SIGHUP)
}

// writeFile writes value as JSON to a file in the server's folder, which replaces
// an existing one atomically.
func (p *Program) writeFile(name string, value map[string]any) string {
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

// readLog reads the log to its end, and closes serving once the server serves.
func (p *Program) readLog(log io.Reader, serving chan<- struct{}) {
	isServing := false
	for scan := bufio.NewScanner(log); scan.Scan(); {
		line := scan.Text()
		p.mu.Lock()
		if p.logLines = append(p.logLines, line); len(p.logLines) > maxLogLines {
			p.logLines = p.logLines[1:]
		}
		p.mu.Unlock()
		if !isServing && strings.Contains(line, `"msg":"serving"`) {
			isServing = true
			close(serving)
		}
	}
}

// Signal sends a signal to the process.
func (p *Program) Signal(sig syscall.Signal) {
	p.cmd.Process.Signal(sig) //nolint:errcheck // the process may have ended
}

// Kill sends SIGKILL and waits for the end of the process.
func (p *Program) Kill() {
	p.Signal(syscall.SIGKILL)
	if p.ended != nil {
		err := <-p.ended
		p.ended <- err
	}
}

// Stop sends SIGTERM and waits for the end of the process.
func (p *Program) Stop() {
	p.t.Helper()
	p.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		p.ended <- err
		if err != nil {
			p.t.Errorf("%s ended after SIGTERM with: %v", p.spec.Name, err)
		}
	case <-time.After(waitTimeout):
		p.t.Errorf("%s did not end within %v of SIGTERM", p.spec.Name, waitTimeout)
	}
}

// Eventually waits until ok returns true, and fails the test after waitTimeout.
func Eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > waitTimeout {
			t.Fatalf("%s: condition not met within %v", what, waitTimeout)
		}
	}
}

// Descriptors returns the number of file descriptors that the process has open.
func (p *Program) Descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(entries)
}

// LimitDescriptors limits the file descriptors of the process, as the platform does.
func (p *Program) LimitDescriptors(descriptors uint64) {
	p.t.Helper()
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptors, Max: descriptors}, nil); err != nil {
		p.t.Fatal(err)
	}
}
