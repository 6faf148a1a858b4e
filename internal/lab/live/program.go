// Package live runs days of internal/lab/fleet against the real program on
// loopback: a process for each box, an emulated engine behind it, and callers
// that send when they mean to, whatever becomes of what they sent before.
package live

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Program is a process of the real program.
type Program struct{ *exec.Cmd }

// Start starts the program with a platform's file and, unless it is
// empty, an operator's file, and waits until it takes connections.
func Start(path, dir, listen string, settings []byte, operator string) (*Program, error) {
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return nil, err
	}
	args := []string{"serve", "--log-level", "error"}
	if operator != "" {
		over := filepath.Join(dir, "operator.toml")
		if err := os.WriteFile(over, []byte(operator), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", over)
	}
	p := &Program{exec.Command(path, args...)}
	p.Env = append(os.Environ(), "EDGE_CONFIG="+file, "TMPDIR="+dir)
	p.Stderr = os.Stderr
	p.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // ctrl-C is for who plays, who then ends it
	if err := p.Start(); err != nil {
		return nil, err
	}
	for range 5000 {
		if conn, err := net.Dial("tcp", listen); err == nil {
			conn.Close()
			return p, nil
		}
		time.Sleep(time.Millisecond)
	}
	p.Kill()
	return nil, fmt.Errorf("the program does not listen on %s", listen)
}

// Kill ends the process at once.
func (p *Program) Kill() {
	p.Process.Kill() //nolint:errcheck // it may have ended
	p.Wait()         //nolint:errcheck // it was killed
}

// Stop lets the process drain and end.
func (p *Program) Stop() {
	p.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	p.Wait()                          //nolint:errcheck // its answers were counted
}

// PeakKB is the most memory that the process has had in use.
func (p *Program) PeakKB() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
		}
	}
	return 0, fmt.Errorf("/proc/%d/status does not tell the memory", p.Process.Pid)
}

// FreeAddress is a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
