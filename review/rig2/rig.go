package rig2

import (
	"bufio"
	"bytes"
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
	"time"

	"github.com/BurntSushi/toml"
)

// rig is the place where a case is played.
type rig struct {
	folder  string // temporary
	trouble bool   // the disruption is made
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	servers []*server
	closers []io.Closer
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := time.Now()
	fmt.Fprintf(r.record, "%8.3f %d %s\n", t.Sub(r.began).Seconds(), t.UnixMilli(), fmt.Sprintf(format, args...))
}

// must ends the case if err is not nil.
func (r *rig) must(err error) {
	if err != nil {
		panic(cannotRun(err.Error()))
	}
}

// end ends all processes and removes the temporary folder.
func (r *rig) end() {
	r.mu.Lock()
	servers, closers := r.servers, r.closers
	r.servers, r.closers = nil, nil
	r.mu.Unlock()
	for _, s := range servers {
		s.kill()
	}
	for _, c := range closers {
		c.Close()
	}
	os.RemoveAll(r.folder)
}

// keepLogs copies the servers' logs into the record.
func (r *rig) keepLogs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		text, err := os.ReadFile(s.log)
		if err != nil {
			continue
		}
		fmt.Fprintf(r.record, "--- log of %s\n", s.name)
		lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
		for _, line := range lines[max(0, len(lines)-60):] {
			fmt.Fprintf(r.record, "%s\n", bytes.ReplaceAll(line, []byte(r.folder), []byte("FOLDER")))
		}
	}
}

// path returns the path of a name in the temporary folder.
func (r *rig) path(name string) string { return filepath.Join(r.folder, name) }

// write writes a file in the temporary folder and returns its path.
func (r *rig) write(name, text string) string {
	r.must(os.WriteFile(r.path(name), []byte(text), 0o600))
	return r.path(name)
}

// host is the loopback address of this play: plays at the same time have different
// ones, so that none is given a port that another has just found free.
func host() net.IP { return net.IPv4(127, 66, byte(os.Getpid()>>8), byte(os.Getpid())) }

// listen listens on a free port.
func (r *rig) listen() *net.TCPListener {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: host()})
	r.must(err)
	return l
}

// freeAddress returns an address that is free now.
func (r *rig) freeAddress() string {
	l := r.listen()
	defer l.Close()
	return l.Addr().String()
}

// inherited opens the clients' listening socket that the platform holds.
func (r *rig) inherited() (address string, socket *os.File) {
	l := r.listen()
	socket, err := l.File()
	r.must(err)
	address = l.Addr().String()
	l.Close()
	r.mu.Lock()
	r.closers = append(r.closers, socket)
	r.mu.Unlock()
	return address, socket
}

// server is one process of the program.
type server struct {
	r    *rig
	name string
	log  string
	ops  string // its admin endpoint
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
	err  error         // how it ended
}

// runCommand is the start command of the deploy file.
func (r *rig) runCommand() string {
	var deploy struct {
		Run string `toml:"run"`
	}
	_, err := toml.DecodeFile("deploy/balancer.toml", &deploy)
	r.must(err)
	return deploy.Run
}

// start starts a process by the command of the deploy file. socket is descriptor 3
// of the process, where it is not nil.
func (r *rig) start(name, ops string, socket *os.File, env ...string) *server {
	s := &server{r: r, name: name, log: r.path(name + ".log"), ops: ops, done: make(chan struct{})}
	s.cmd = exec.Command("/bin/sh", "-c", r.runCommand())
	s.cmd.Env = append(os.Environ(), "TMPDIR="+r.folder, "KITESLIP_LOG=info")
	if socket != nil {
		s.cmd.ExtraFiles = []*os.File{socket}
		s.cmd.Env = append(s.cmd.Env, "EDGE_INHERITED_FD=3")
	}
	s.cmd.Env = append(s.cmd.Env, env...)
	log, err := os.Create(s.log)
	r.must(err)
	defer log.Close()
	s.cmd.Stdout, s.cmd.Stderr = log, log
	r.must(s.cmd.Start())
	r.note("start %s", name)
	go func() {
		s.err = s.cmd.Wait()
		r.note("%s has ended: %v", name, s.err)
		close(s.done)
	}()
	r.mu.Lock()
	r.servers = append(r.servers, s)
	r.mu.Unlock()
	return s
}

// ended reports whether the process has ended.
func (s *server) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (s *server) signal(sig syscall.Signal) {
	s.r.note("%v to %s", sig, s.name)
	s.cmd.Process.Signal(sig) //nolint:errcheck // one that has ended needs none
}

// kill ends the process if it still runs.
func (s *server) kill() {
	if !s.ended() {
		s.signal(syscall.SIGKILL)
		<-s.done
	}
}

// ready asks the admin endpoint whether the process takes callers.
func (s *server) ready() bool {
	c, err := net.DialTimeout("tcp", s.ops, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second)) //nolint:errcheck // a closed connection shows below
	fmt.Fprintln(c, "ready")
	answer, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && strings.TrimSpace(answer) == "done ready"
}

// awaitReady waits until the process takes callers.
func (s *server) awaitReady(within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until) && !s.ended(); time.Sleep(10 * time.Millisecond) {
		if s.ready() {
			s.r.note("%s is ready", s.name)
			return true
		}
	}
	return false
}

// mustBeReady is awaitReady for a process that nothing disturbs.
func (s *server) mustBeReady() {
	if !s.awaitReady(20 * time.Second) {
		panic(cannotRun(s.name + " does not become ready"))
	}
}

// awaitEnd waits for the end of the process.
func (s *server) awaitEnd(within time.Duration) bool {
	select {
	case <-s.done:
		return true
	case <-time.After(within):
		return false
	}
}

// settingsText are the settings of a small deployment: the example of the wire's page.
const settingsText = `{"ceilings":{"cpu_us_per_request":0.0,"cpu_us_per_s":60000,"max_retry_after_us":1000000,"retry_after":true},
"classes":[
{"effect":"repeatable","hard_limit_us":4200000,"late_worth":0.0,"name":"code-to-point","on_time_us":1400000,"window_us":5000000,"worth":1.0},
{"effect":"by_key","hard_limit_us":5300000,"late_worth":0.2,"name":"register-address","on_time_us":1800000,"window_us":15765000,"worth":4.0}],
"clients":{"marks_retry":false},
"family_info":{"below":"off","blowup":8.0,"callers":3,"calls_over_us":5000000,"class_calls":[false,false],"class_skip_worth":[0.0,0.0],"cores":6,"dep_share":0.0,"full_checks":true,
"gauges":["cpu_busy","runnable","mem_used","sockets"],"heeded_us":1000000,"idle_us":15000000,"just_started":false,"key_kb":165.39,"lingers_us":200000,"memory_kb":44958.0,
"passes_deadline":true,"preemption":"off","readiness":false,"say":"off","share_for_us":0,"tells_gone":true},
"fees":{"connection":0.0,"handshake":0.0,"late_fail":0.03,"origin":0.0,"waste":0.025},
"goal":{"whole":0.5,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.2},
"group_size":10,"locality":0,"me":6,"over_share_worth":0.05,"report":{"columns":["load_share"],"how":"on_probe"},
"rules":{"answer_slack_us":60000,"cold_from":0.21,"drain_grace_us":2000000,"fall_multiple":8.0,"fall_us":1500000,"warm_within_us":17000000},
"service_type":"server","stage":0,
"tenants":[{"name":"swiftride","quota_per_s":62.0,"share":0.43},{"name":"nkwa-bank","quota_per_s":61.0,"share":0.42},{"name":"volta-power","quota_per_s":22.0,"share":0.15}],
"tick_us":4000,"tiers":["lookup-fleet"],"worth_by":"work","zones":["accra-east","tema"]}`

// keyTimeout is how long a caller of a keyed class waits.
const keyTimeout = 5_300 * time.Millisecond

// platformFile writes the platform's file of a server and returns its path.
func (r *rig) platformFile(name, listen, engine string) string {
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "engine": engine, "seed": "8c1f30d27a5be964", "stop_ms": 3200,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": json.RawMessage(settingsText),
	})
	r.must(err)
	return r.write(name+"-"+strings.ReplaceAll(engine, ":", "-")+".json", string(text))
}
