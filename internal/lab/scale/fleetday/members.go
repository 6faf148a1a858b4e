package fleetday

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"kiteslip/internal/lab/scale/hollow"
	"kiteslip/internal/standin/box"
)

// waitUS is how long a start waits for the initial version, microseconds.
const waitUS = 2_000_000

// serving is the part of a log line that shows that a process is up.
const serving = `"msg":"serving"`

// machine is one control machine over its lives.
type machine struct {
	rig    *rig
	number int
	listen string
	dir    string

	mu      sync.Mutex
	process *process
}

// start begins a life with the state kept in its folder.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := os.MkdirAll(filepath.Join(m.dir, "log"), 0o700); err != nil {
		return err
	}
	region := m.rig.form.regionOfMachine(m.number)
	name := fmt.Sprint("control-", m.number)
	text := fmt.Sprintf("name = %q\nregion = %q\nlisten = %q\nfolder = %q\n", name, regionName(region), m.listen, filepath.Join(m.dir, "log"))
	if m.number != 0 {
		text += fmt.Sprintf("[[follow]]\naddress = %q\nregion = %q\n", m.rig.reach(region, 0), regionName(m.rig.form.regionOfMachine(0)))
	}
	file := filepath.Join(m.dir, "control.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	p, err := launch(name, exec.Command(m.rig.program, "control", "serve", "--config", file), serving, false, func(line string, _ time.Time) {
		if strings.Contains(line, `"level":"error"`) {
			m.rig.errorf("%s: %s", name, line)
		}
	})
	if err != nil {
		return err
	}
	m.process = p
	m.rig.sampler.watchProcess(name, p.cmd.Process.Pid)
	return p.waitReady()
}

func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.process.kill()
		m.process = nil
	}
}

// server is one real server over its lives: the whole program with an engine stand-in.
type server struct {
	rig     *rig
	number  int  // within the fleet; a twin has that of the server whose requests it gets as well
	control bool // configured by versions, not only by its file
	name    string
	region  int
	rate    float64

	dir, listen, admin string
	engine             *box.Engine

	first InForce // the version that the current life starts by; used only by the goroutine that reads its log

	mu      sync.Mutex
	process *process
	stopped bool // no further start
}

// prepare assigns addresses, starts the engine and writes the operator's file.
func (s *server) prepare(kind, number int) (err error) {
	s.dir = filepath.Join(s.rig.dir, s.name)
	if err = os.MkdirAll(s.dir, 0o700); err != nil {
		return err
	}
	if s.listen, err = freeAddress(kind, number); err != nil {
		return err
	}
	if s.admin, err = freeAddress(kind+1, number); err != nil {
		return err
	}
	if s.engine, err = newEngine(); err != nil {
		return err
	}
	return os.WriteFile(s.file(), []byte(s.operator()), 0o600)
}

func (s *server) file() string { return filepath.Join(s.dir, "operator.toml") }

// operator returns the operator's file. With control, the content comes as a version.
func (s *server) operator() string {
	text := machineText(s.name, s.listen, s.admin, s.engine.Address, s.rig.form.StopMS)
	if !s.control {
		return text + Operator(&s.rig.content)
	}
	text += fmt.Sprintf("[control]\nregion = %q\nfolder = %q\nwait_ms = %d\n", regionName(s.region), filepath.Join(s.dir, "kept"), waitUS/1000)
	for _, p := range s.rig.publishers(s.region) {
		text += fmt.Sprintf("[[control.publisher]]\naddress = %q\nregion = %q\n", p.Address, p.Region)
	}
	return text + fallbackContent
}

// fallbackContent is the part of a server's file that it serves by without a version.
const fallbackContent = `[[team]]
name = "without"
requests_per_s = 1.0
[[service]]
name = "without"
owner = "without"
[[service.contract]]
class = "without"
effect = "repeatable"
deadline_ms = 1000.0
`

// machineText returns the machine section of an operator's file.
func machineText(name, listen, ops, engineAt string, stopMS int) string {
	text := fmt.Sprintf("[machine]\nname = %q\nlisten = %q\nengine = %q\ncores = %d\nwork_mb = 64.0\nstop_ms = %d.0\n", name, listen, engineAt, engineCores, stopMS)
	if ops != "" {
		text += fmt.Sprintf("ops = %q\n", ops)
	}
	return text + "limits = { cores = 1.0, memory_mb = 192, sockets = 1024 }\n"
}

// hollowOperator returns the operator's file of every hollow server; nothing listens at its addresses.
func (r *rig) hollowOperator() string {
	return machineText("hollow", "127.0.0.1:1", "", "127.0.0.1:1", r.form.StopMS) + fallbackContent
}

// start begins a life and waits until the server serves.
func (s *server) start(cause string, cold bool) error {
	s.mu.Lock()
	if s.stopped || s.process != nil {
		s.mu.Unlock()
		return nil
	}
	if cold {
		if err := os.RemoveAll(filepath.Join(s.dir, "kept")); err != nil {
			s.mu.Unlock()
			return err
		}
	}
	cmd := exec.Command(s.rig.program, "serve", "--operator", s.file())
	cmd.Env = append(os.Environ(), "TMPDIR="+s.dir)
	life := 0
	if s.control {
		life = s.rig.history.began(s.number, time.Now(), cause)
	}
	p, err := launch(s.name, cmd, serving, false, func(line string, at time.Time) { s.handleLine(life, line, at) })
	if err == nil {
		s.process = p
		s.rig.sampler.watchProcess(s.name, p.cmd.Process.Pid)
	}
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err = p.waitReady(); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.process != p {
			return nil // it was killed deliberately before it was up
		}
	}
	return err
}

// handleLine handles a line of the server's log.
func (s *server) handleLine(life int, line string, at time.Time) {
	if strings.Contains(line, `"level":"error"`) {
		s.rig.errorf("%s: %s", s.name, line)
	}
	if !s.control {
		return
	}
	if f, ok := parseInForce(`"msg":"starts by a version"`, line, at); ok {
		s.first = f
	}
	if strings.Contains(line, serving) && s.first.Number > 0 {
		s.first.At = at // no version is in force before it serves
		s.rig.history.inForce(s.number, life, s.first)
		s.first = InForce{}
	}
	if f, ok := parseInForce(`"msg":"version in force"`, line, at); ok {
		s.rig.history.inForce(s.number, life, f)
	}
}

// parseInForce parses a log line in which a real server names a version. The time is
// that of reading the line, which is later than the version came into force.
func parseInForce(says, line string, at time.Time) (InForce, bool) {
	if !strings.Contains(line, says) {
		return InForce{}, false
	}
	var l struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	}
	if err := json.Unmarshal([]byte(line), &l); err != nil || l.Version == 0 {
		return InForce{}, false
	}
	return InForce{Number: l.Version, Digest: l.Digest, At: at}, true
}

// takeProcess returns the current process and clears it, so that only one caller ends it.
func (s *server) takeProcess() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.process
	s.process = nil
	return p
}

func (s *server) kill() {
	if p := s.takeProcess(); p != nil {
		s.recordEnd()
		p.kill()
	}
}

func (s *server) recordEnd() {
	if s.control {
		s.rig.history.ended(s.number, time.Now())
	}
}

// shutdownMargin is how long a server may take beyond stop_ms before it is killed.
const shutdownMargin = time.Second

// restart sends the shutdown notice and starts the server again once the process has ended.
func (s *server) restart(cause string) error {
	p := s.takeProcess()
	if p == nil {
		return nil // it is already down
	}
	s.recordEnd() // no version is applied after the notice
	if !p.shutdown(time.Duration(s.rig.form.StopMS)*time.Millisecond + shutdownMargin) {
		s.rig.errorf("%s did not shut down cleanly: %v", s.name, p.err)
	}
	return s.start(cause, false)
}

func (s *server) close() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.kill()
	if s.engine != nil {
		s.engine.Close()
	}
}

// hollowProcess is a process of hollow servers.
type hollowProcess struct {
	rig    *rig
	name   string
	spec   hollow.ServersSpec
	byName map[string]int // server numbers
	first  int            // number of its first server

	process *process
	states  chan []hollow.State
}

// subcommand returns a command that runs the laboratory's own binary with a hidden subcommand.
func (r *rig) subcommand(command, spec string) *exec.Cmd {
	return exec.Command(r.self[0], append(append([]string(nil), r.self[1:]...), command, spec)...)
}

// writeSpec writes the specification of a process to a file.
func (r *rig) writeSpec(name string, spec any) (string, error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return "", err
	}
	file := filepath.Join(r.dir, name+".json")
	return file, os.WriteFile(file, text, 0o600)
}

// start starts the process. Its servers are started one by one, by commands.
func (h *hollowProcess) start() error {
	file, err := h.rig.writeSpec(h.name, &h.spec)
	if err != nil {
		return err
	}
	h.states = make(chan []hollow.State, 1)
	if h.process, err = launch(h.name, h.rig.subcommand(hollow.CommandServers, file), hollow.Ready, true, h.handleLine); err != nil {
		return err
	}
	h.rig.sampler.watchProcess(h.name, h.process.cmd.Process.Pid)
	return h.process.waitReady()
}

// handleLine handles a line of the process's output.
func (h *hollowProcess) handleLine(line string, _ time.Time) {
	words := strings.Fields(line)
	switch {
	case len(words) == 6 && words[0] == "force":
		life, lifeErr := strconv.Atoi(words[2])
		number, numberErr := strconv.ParseUint(words[3], 10, 64)
		at, atErr := strconv.ParseInt(words[5], 10, 64)
		if server, known := h.byName[words[1]]; known && errors.Join(lifeErr, numberErr, atErr) == nil {
			h.rig.history.inForce(server, life, InForce{Number: number, Digest: words[4], At: time.UnixMicro(at)})
			return
		}
	case len(words) > 1 && words[0] == hollow.States:
		var list []hollow.State
		if err := json.Unmarshal([]byte(strings.TrimPrefix(line, hollow.States)), &list); err == nil {
			select {
			case <-h.states: // the answer to an earlier query that timed out
			default:
			}
			h.states <- list // never blocks: only this goroutine sends
			return
		}
	case line == hollow.Ready:
		return
	}
	h.rig.errorf("%s: %s", h.name, line)
}

// statesTimeout bounds the wait for the states.
const statesTimeout = 5 * time.Second

// queryStates returns the states of its servers.
func (h *hollowProcess) queryStates() ([]hollow.State, error) {
	if err := h.process.send(hollow.States); err != nil {
		return nil, err
	}
	select {
	case list := <-h.states:
		return list, nil
	case <-time.After(statesTimeout):
		return nil, fmt.Errorf("%s did not report its states within %v", h.name, statesTimeout)
	}
}

func (h *hollowProcess) close() {
	if h.process != nil {
		h.process.kill()
	}
}

// command starts or stops one hollow server.
func (h *hollowProcess) command(what string, server int, cause string) error {
	life := 0
	if what == hollow.Stop {
		h.rig.history.ended(server, time.Now())
	} else {
		life = h.rig.history.began(server, time.Now(), cause)
	}
	return h.process.send(what, fmt.Sprintf("hollow-%03d", server), life)
}
