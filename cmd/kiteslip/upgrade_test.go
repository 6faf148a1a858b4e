package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"kiteslip/internal/config"
	"kiteslip/internal/frame"
	"kiteslip/internal/standin"
)

// serverEnv is the environment variable that makes the test's binary run main, so that
// processes can be started, drained and killed without a build.
const serverEnv = "KITESLIP_TEST_SERVES"

func TestMain(m *testing.M) {
	if os.Getenv(serverEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const settings = `{"classes": [
  {"name": "look", "effect": "repeatable", "on_time_us": 2000000, "hard_limit_us": 3000000, "worth": 1},
  {"name": "note", "effect": "by_key", "on_time_us": 2000000, "hard_limit_us": 3000000, "worth": 4, "window_us": 60000000}],
 "tenants": [{"name": "red", "quota_per_s": 500}],
 "family_info": {"cores": 4, "memory_kb": 400000, "blowup": 4, "key_kb": 8}, "rules": {"drain_grace_us": 2000000}, "tick_us": 4000}`

// process is a process of a server, as the platform runs it.
type process struct {
	*exec.Cmd
	t       *testing.T
	ops     string
	clients string
}

// startProcess starts a process on the callers' socket, beside any that run on it.
func startProcess(t *testing.T, clients *net.TCPListener, dir string) *process {
	t.Helper()
	engine := standin.NewEngine(t, standin.Echo(5*time.Millisecond))
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, ops: free.Addr().String(), clients: clients.Addr().String()}
	free.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name": "n", "listen": %q, "ops": %q, "engine": %q, "stop_ms": 1500, "settings": %s}`, p.clients, p.ops, engine.Address, settings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	socket, err := clients.File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	p.Cmd = exec.Command(os.Args[0])
	p.ExtraFiles = []*os.File{socket}
	p.Env = append(os.Environ(), serverEnv+"=1", "TMPDIR="+dir, config.EnvConfig+"="+file, config.EnvInheritedFD+"=3", "KITESLIP_LOG=warn")
	p.Stderr = os.Stderr
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Process.Kill(); p.Wait() }) //nolint:errcheck // it may have ended
	p.awaitReady()
	return p
}

// awaitReady waits until the process accepts callers.
func (p *process) awaitReady() {
	p.t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", p.ops); err == nil {
			c.Close()
			if standin.AdminCommand(p.t, p.ops, "ready") == "done ready\n" {
				return
			}
		}
		if time.Since(began) > 6*time.Second {
			p.t.Fatal("not ready within 6 s")
		}
	}
}

// ask sends one request on a new connection.
func (p *process) ask(class, key, body string, name uint64) byte {
	p.t.Helper()
	c := standin.Dial(p.t, p.clients)
	defer c.Conn.Close()
	c.Send(1, standin.Fields(class, "red", key, name, 2*time.Second), body)
	got, _ := c.Next()
	if got.Type == frame.GoAway { // the process is draining, and the request raced its GOAWAY
		got, _ = c.Next()
	}
	return got.Code
}

// Real processes: a successor takes over from a process, which drains and ends. A process
// that is killed leaves files behind; the next one starts nevertheless, but runs no key
// that the killed one may have run.
func TestSuccessiveUpgrades(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	clients, dir := l.(*net.TCPListener), t.TempDir()
	first := startProcess(t, clients, dir)
	expect := func(p *process, class, key, body string, name uint64, want byte) {
		t.Helper()
		if got := p.ask(class, key, body, name); got != want {
			t.Errorf("%s %s: code %d, want %d", class, key, got, want)
		}
	}
	expect(first, "note", "key", "once", 1, frame.Served)
	second := startProcess(t, clients, dir)
	if err := first.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(20) {
		expect(second, "look", "", "read", 100+i, frame.Served)
	}
	if err := first.Wait(); err != nil {
		t.Errorf("the first process ends with %v", err)
	}
	expect(second, "note", "key", "once", 2, frame.Served)
	if stat := standin.AdminCommand(t, second.ops, "show-stat"); !strings.Contains(stat, "app.ok.note:1|c\n") {
		t.Errorf("the second process served the key again:\n%s", stat)
	}

	second.Process.Kill() //nolint:errcheck // Wait tells
	second.Wait()         //nolint:errcheck // it was killed
	if left, _ := filepath.Glob(filepath.Join(dir, "kiteslip-*")); len(left) == 0 {
		t.Error("the killed process left no files, so the next start is not tested")
	}
	third := startProcess(t, clients, dir)
	expect(third, "note", "key", "once", 3, frame.Failed)
	expect(third, "look", "", "read", 4, frame.Served)
	if err := third.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := third.Wait(); err != nil {
		t.Errorf("a drain without a successor ends with %v", err)
	}
}

// An invalid environment variable is an error at the start that names the value.
func TestBadEnvironment(t *testing.T) {
	for key, value := range map[string]string{config.EnvOps: "nowhere", config.EnvInheritedFD: "two"} {
		t.Setenv(config.EnvConfig, writeConfig(t))
		t.Setenv(config.EnvOps, "")
		t.Setenv(config.EnvInheritedFD, "")
		t.Setenv(key, value)
		if _, err := load(""); err == nil || !strings.Contains(err.Error(), value) {
			t.Errorf("%s=%s: %v", key, value, err)
		}
	}
}

func writeConfig(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name": "n", "listen": "127.0.0.1:0", "engine": "127.0.0.1:1", "settings": %s}`, settings)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}
