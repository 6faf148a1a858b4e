// Package rig starts the project's programs for the cases under review/ and plays the
// other parties: callers of both front ends, an engine and uwsgi backends. All addresses
// are loopback addresses, and the clock is the real one.
package rig

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	CouldNot = 2
)

const (
	caseTimeout  = 110 * time.Second // the case ends by then, whatever happens
	startTimeout = 20 * time.Second
)

// Case is one play of a case.
type Case struct {
	Root    string // of the repository
	Folder  string // a temporary folder
	Trouble bool   // the disruption takes place

	began   time.Time
	mu      sync.Mutex
	record  *os.File
	broken  []string
	servers []*Server
}

// New begins a play; folder is that of the case, where record.txt is written.
func New(folder string) *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if c.Root, err = os.Getwd(); err == nil {
		c.record, err = os.Create(filepath.Join(folder, "record.txt"))
	}
	if err == nil {
		c.Folder, err = os.MkdirTemp("", "kr")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
			c.Fatalf("the case was told to end")
		case <-time.After(caseTimeout):
			c.Fatalf("the case did not end within %v", caseTimeout)
		}
	}()
	c.Logf("trouble: %v", c.Trouble)
	return c
}

// Logf writes a line to record.txt, with the milliseconds since the begin.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.1f ms  %s\n", float64(time.Since(c.began).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// Brokenf records that the rule was broken.
func (c *Case) Brokenf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Logf("BROKEN: %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, text)
}

// Fatalf ends a case that could not run.
func (c *Case) Fatalf(format string, args ...any) {
	c.Logf("the case could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	c.end(CouldNot)
}

// End ends the case: with 1 if the rule was broken, else with 0.
func (c *Case) End() {
	c.mu.Lock()
	n := len(c.broken)
	c.mu.Unlock()
	if n > 0 {
		c.Logf("the rule was broken %d times", n)
		fmt.Printf("the rule was broken %d times; the first: %s\n", n, c.broken[0])
		c.end(Broken)
	}
	c.Logf("the rule held")
	fmt.Println("the rule held")
	c.end(Held)
}

func (c *Case) end(code int) {
	c.mu.Lock()
	servers := c.servers
	c.mu.Unlock()
	for _, s := range servers {
		s.Kill()
	}
	os.RemoveAll(c.Folder) //nolint:errcheck // a folder that stays does no harm
	os.Exit(code)
}

// FreeAddress returns a loopback address that nothing listens on.
func (c *Case) FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatalf("%v", err)
	}
	defer l.Close() //nolint:errcheck // nothing was accepted
	return l.Addr().String()
}

// WriteFile writes a file into the temporary folder and returns its path.
func (c *Case) WriteFile(name, text string) string {
	path := filepath.Join(c.Folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.Fatalf("%v", err)
	}
	return path
}

// Server is one process of the server.
type Server struct {
	c     *Case
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// Start starts the server by the run command of the deploy file, and waits until it
// serves. RUN holds that command.
func (c *Case) Start(name string, env ...string) *Server {
	return c.StartWith(name, nil, env...)
}

// StartWith is Start with a file that the process gets as descriptor 3; nil = none. The
// environment may name another TMPDIR than the case's folder.
func (c *Case) StartWith(name string, file *os.File, env ...string) *Server {
	run := os.Getenv("RUN")
	if run == "" {
		c.Fatalf("RUN is not set: start the case by its run.sh")
	}
	s := &Server{c: c, name: name, ended: make(chan struct{})}
	s.cmd = exec.Command("/bin/sh", "-c", run)
	s.cmd.Dir = c.Root
	s.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + c.Folder}, env...)
	if file != nil {
		s.cmd.ExtraFiles = []*os.File{file}
	}
	out, err := s.cmd.StderrPipe()
	if err == nil {
		err = s.cmd.Start()
	}
	if err != nil {
		c.Fatalf("%s: %v", name, err)
	}
	c.mu.Lock()
	c.servers = append(c.servers, s)
	c.mu.Unlock()
	serving := make(chan struct{})
	go func() {
		seen := false
		for scan := bufio.NewScanner(out); scan.Scan(); {
			if line := scan.Text(); !strings.Contains(line, `"msg":"totals"`) {
				c.Logf("%s log: %s", name, line)
			}
			if !seen && strings.Contains(scan.Text(), `"msg":"serving"`) {
				seen = true
				close(serving)
			}
		}
		err := s.cmd.Wait()
		c.Logf("%s has ended: %v", name, err)
		close(s.ended)
	}()
	select {
	case <-serving:
	case <-s.ended:
		c.Fatalf("%s ended before it served", name)
	case <-time.After(startTimeout):
		c.Fatalf("%s did not serve within %v", name, startTimeout)
	}
	c.Logf("%s serves", name)
	return s
}

// Kill sends SIGKILL and waits for the end.
func (s *Server) Kill() {
	s.cmd.Process.Kill() //nolint:errcheck // it may have ended
	<-s.ended
}

// Listen serves connections on a free loopback address until the process ends.
func (c *Case) Listen(serve func(net.Conn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatalf("%v", err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go serve(conn)
			}
		}
	}()
	return l.Addr().String()
}

// Stop stops the process, and Continue lets it go on.
func (s *Server) Stop() { s.signal(syscall.SIGSTOP) }

// Continue lets a stopped process go on.
func (s *Server) Continue() { s.signal(syscall.SIGCONT) }

func (s *Server) signal(sig syscall.Signal) {
	if err := s.cmd.Process.Signal(sig); err != nil {
		s.c.Fatalf("%s: %v", s.name, err)
	}
}
