package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kiteslip/internal/config"
	"kiteslip/internal/control/document"
	"kiteslip/internal/control/follow"
	"kiteslip/internal/core"
)

// ServersSpec is the specification of a process of hollow servers.
type ServersSpec struct {
	Operator string   `json:"Operator"` // content of the operator's file of every server
	WaitUS   int64    `json:"WaitUS"`   // wait for the initial version at a start, microseconds
	Seed     uint64   `json:"Seed"`
	Servers  []Server `json:"Servers"`
}

// Server is the specification of one hollow server.
type Server struct {
	Name       string            `json:"Name"`
	Region     string            `json:"Region"`
	Publishers []follow.Endpoint `json:"Publishers"`
}

// The commands to a process of hollow servers. Stop, Start and ColdStart are followed by
// a server's name and the number of the life that begins or ends. The answer to
// States is a line "states" followed by a JSON list of State.
const (
	Stop      = "stop"   // the server stops at once
	Start     = "start"  // it starts by the last version that it or another server of the process had
	ColdStart = "cold"   // it starts without a version
	States    = "states" // report the state of all servers
)

// State is the state of a hollow server's follower.
type State struct {
	Name      string `json:"Name"`
	Number    uint64 `json:"Number"`
	Digest    string `json:"Digest"`
	Sent      int64  `json:"Sent"`
	Received  int64  `json:"Received"`
	Applied   int    `json:"Applied"`
	Snapshots int    `json:"Snapshots"`
	Switches  int    `json:"Switches"`
	Refused   string `json:"Refused"`
	Fork      bool   `json:"Fork"`
}

// gcPercent is the garbage collection target that a real server uses.
const gcPercent = 50

type serverProcess struct {
	spec   ServersSpec
	log    *zap.Logger
	byName map[string]*server

	mu     sync.Mutex
	out    io.Writer
	newest *document.Document // the newest version that any server has applied
}

// server is one hollow server over its lives: each start begins a new life.
type server struct {
	process *serverProcess
	spec    Server
	index   uint64 // index among all servers, part of the follower's seed

	mu          sync.Mutex
	lastVersion *document.Document // in force now or in the previous life; guarded by process.mu
	follower    *follow.Follower
	cancel      context.CancelFunc
	done        chan struct{}
}

// RunServers runs a process of hollow servers by the specification at path, until
// in ends. For each version that comes into force at a server it writes a line
// "force NAME LIFE NUMBER DIGEST AT", with AT in Unix microseconds.
func RunServers(path string, in io.Reader, out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	// Log lines are encoded as in a real server, to have their cost, and discarded.
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel))
	s := &serverProcess{byName: map[string]*server{}, out: out, log: log}
	if err := readSpec(path, &s.spec); err != nil {
		return err
	}
	for i := range s.spec.Servers {
		srv := &server{process: s, spec: s.spec.Servers[i], index: uint64(i) << 32}
		s.byName[srv.spec.Name] = srv
	}
	s.printf(Ready)
	for scan := bufio.NewScanner(in); scan.Scan(); {
		if err := s.command(strings.Fields(scan.Text())); err != nil {
			return err
		}
	}
	var all sync.WaitGroup
	for _, srv := range s.byName {
		all.Go(srv.stop)
	}
	all.Wait()
	return nil
}

func (s *serverProcess) printf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, format+"\n", args...)
}

func (s *serverProcess) command(words []string) error {
	if len(words) == 1 && words[0] == States {
		var list []State
		for _, spec := range s.spec.Servers {
			list = append(list, s.byName[spec.Name].state())
		}
		text, err := json.Marshal(list)
		if err == nil {
			s.printf("%s %s", States, text)
		}
		return err
	}
	if len(words) != 3 || s.byName[words[1]] == nil {
		return fmt.Errorf("hollow: unknown command %q", words)
	}
	srv := s.byName[words[1]]
	life, err := strconv.Atoi(words[2])
	if err != nil {
		return fmt.Errorf("hollow: unknown command %q", words)
	}
	switch words[0] {
	case Stop:
		go srv.stop()
	case Start, ColdStart:
		go srv.start(life, words[0] == ColdStart)
	default:
		return fmt.Errorf("hollow: unknown command %q", words)
	}
	return nil
}

func (srv *server) stop() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.cancel != nil {
		srv.cancel()
		<-srv.done
		srv.cancel, srv.follower = nil, nil
	}
}

// start ends the previous life and begins a new one.
func (srv *server) start(life int, cold bool) {
	srv.stop()
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.process.mu.Lock()
	previous := srv.lastVersion
	if previous == nil {
		previous = srv.process.newest
	}
	srv.process.mu.Unlock()
	if cold {
		previous = nil
	}
	cfg, err := config.ParseOperator(srv.process.spec.Operator, nil)
	if err == nil {
		srv.follower, err = follow.New(follow.Settings{Name: srv.spec.Name, Region: srv.spec.Region, Publishers: srv.spec.Publishers,
			InForce: previous, InitialWait: time.Duration(srv.process.spec.WaitUS) * time.Microsecond, Seed: srv.process.spec.Seed + srv.index + uint64(life), Log: srv.process.log})
	}
	if err != nil {
		srv.process.printf("error %s %q", srv.spec.Name, err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	srv.cancel, srv.done = cancel, make(chan struct{})
	go func(f *follow.Follower, ended chan<- struct{}) {
		defer close(ended)
		if err := srv.run(ctx, f, cfg, life); err != nil {
			srv.process.printf("error %s %q", srv.spec.Name, err)
		}
	}(srv.follower, srv.done)
}

// run handles versions as a real server does, in the same order of steps.
func (srv *server) run(ctx context.Context, f *follow.Follower, cfg *config.Config, life int) error {
	doc, _ := f.InitialVersion(ctx)
	if doc != nil {
		merged, err := cfg.WithDocument(doc)
		if err != nil {
			return err
		}
		cfg = merged
	}
	updater := config.NewUpdater(cfg)
	c, err := core.New(core.Settings{Policy: cfg.Policy, Seed: cfg.Seed, Pools: cfg.PoolSettings()}, noRuns{})
	if err != nil {
		return err
	}
	if doc != nil {
		srv.reportInForce(doc, life)
	}
	f.Run(ctx, func(_ context.Context, doc *document.Document, delta *document.Delta) error {
		updater.SetTime(time.Now().UnixMicro())
		ch, err := updater.PrepareVersion(doc, delta)
		if err == nil {
			err = c.Reconfigure(ch.Config.Policy, ch.Config.RetiredClasses, ch.Pools)
		}
		if err != nil {
			return err
		}
		updater.SetTime(time.Now().UnixMicro())
		updater.Commit(ch)
		srv.reportInForce(doc, life)
		return nil
	})
	return nil
}

func (srv *server) reportInForce(doc *document.Document, life int) {
	defer srv.store(doc)
	srv.process.printf("force %s %d %d %s %d", srv.spec.Name, life, doc.Header().Number, doc.Digest(), time.Now().UnixMicro())
}

// store keeps the version in memory instead of in a folder. Hundreds of servers
// that read whole versions from one disk at once would do the work of hundreds of
// machines, and versions derived from one another share their unchanged parts.
func (srv *server) store(doc *document.Document) {
	srv.process.mu.Lock()
	defer srv.process.mu.Unlock()
	srv.lastVersion = doc
	if srv.process.newest == nil || srv.process.newest.Header().Number < doc.Header().Number {
		srv.process.newest = doc
	}
}

func (srv *server) state() State {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.follower == nil {
		return State{Name: srv.spec.Name}
	}
	s := srv.follower.State()
	return State{Name: srv.spec.Name, Number: s.Number, Digest: s.Digest.String(), Sent: s.SentBytes, Received: s.ReceivedBytes,
		Applied: s.Applied, Snapshots: s.Snapshots, Switches: s.Switches, Refused: s.RefusalReason, Fork: s.Fork}
}

// noRuns is a runner that never gets a run: a hollow server has no callers.
type noRuns struct{}

func (noRuns) Run(*core.Request) {}
