// Package live plays days of internal/lab/fleet against the real program on
// loopback: one process for each box with an emulated engine behind it, and callers
// that send at planned times, independent of earlier answers (an open loop).
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

// Program is a running process of the real program.
type Program struct{ *exec.Cmd }

// Start starts the program at path with the given platform's file and, unless it is
// empty, operator's file, both written to dir, and waits at most 5 s until it accepts
// connections on listen.
func Start(path, dir, listen string, settings []byte, operator string) (*Program, error) {
	platformPath := filepath.Join(dir, "config.json")
	if err := os.WriteFile(platformPath, settings, 0o600); err != nil {
		return nil, err
	}
	args := []string{"serve", "--log-level", "error"}
	if operator != "" {
		operatorPath := filepath.Join(dir, "operator.toml")
		if err := os.WriteFile(operatorPath, []byte(operator), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--operator", operatorPath)
	}
	p := &Program{exec.Command(path, args...)}
	p.Env = append(os.Environ(), "EDGE_CONFIG="+platformPath, "TMPDIR="+dir)
	p.Stderr = os.Stderr
	p.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // ctrl-C must reach only the parent, which then ends the process
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
	return nil, fmt.Errorf("the program did not accept connections on %s", listen)
}

// Kill ends the process at once, by SIGKILL.
func (p *Program) Kill() {
	p.Process.Kill() //nolint:errcheck // it may have ended
	p.Wait()         //nolint:errcheck // it was killed
}

// Stop sends the shutdown notice and waits until the process has drained and ended.
func (p *Program) Stop() {
	p.Process.Signal(syscall.SIGTERM) //nolint:errcheck // it may have ended
	p.Wait()                          //nolint:errcheck // its exit status does not matter
}

// PeakKB returns the largest resident memory that the process has had.
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
	return 0, fmt.Errorf("/proc/%d/status has no VmHWM line", p.Process.Pid)
}

// FreeAddress returns a loopback address that nothing listens on at the moment.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
