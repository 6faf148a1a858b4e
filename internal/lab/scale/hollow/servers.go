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

// ServersSpec says what a process of hollow servers is to be.
type ServersSpec struct {
	Operator string   `json:"Operator"` // the operator's file of each, as a real server's
	WaitUS   int64    `json:"WaitUS"`   // how long a start waits for a publisher, microseconds
	Seed     uint64   `json:"Seed"`
	Servers  []Server `json:"Servers"`
}

// Server is a hollow server.
type Server struct {
	Name       string            `json:"Name"`
	Region     string            `json:"Region"`
	Publishers []follow.Endpoint `json:"Publishers"`
}

// The commands to a process of hollow servers, each with a server's name and the
// number of its life but the last: its answer is a line "states" with a JSON list of States.
const (
	Stop   = "stop"   // the server is gone at once
	Start  = "start"  // it starts by the version that it had, or one of its process had
	Cold   = "cold"   // it starts with nothing
	States = "states" // of all
)

// State is how a hollow server stands.
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

// gcPercent is that of a real server.
const gcPercent = 50

type servers struct {
	spec ServersSpec
	log  *zap.Logger
	all  map[string]*server

	mu     sync.Mutex
	out    io.Writer
	shared *document.Document // the newest that any of them has taken over
}

// server is one hollow server over its lives.
type server struct {
	in     *servers
	spec   Server
	number uint64 // among all, for the jitter's seed

	mu       sync.Mutex
	last     *document.Document // in force, or in the life before; guarded by in.mu
	follower *follow.Follower
	end      context.CancelFunc
	ended    chan struct{}
}

// RunServers is the process: it is what the file at path says, until in ends.
// It writes a line "force NAME LIFE NUMBER DIGEST AT" for each version that comes
// into force at a server, AT in Unix microseconds.
func RunServers(path string, in io.Reader, out io.Writer) error {
	debug.SetGCPercent(gcPercent)
	// Lines are worded as a real server's, and go nowhere.
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.InfoLevel))
	s := &servers{all: map[string]*server{}, out: out, log: log}
	if err := read(path, &s.spec); err != nil {
		return err
	}
	for i := range s.spec.Servers {
		one := &server{in: s, spec: s.spec.Servers[i], number: uint64(i) << 32}
		s.all[one.spec.Name] = one
	}
	s.say(Ready)
	for scan := bufio.NewScanner(in); scan.Scan(); {
		if err := s.command(strings.Fields(scan.Text())); err != nil {
			return err
		}
	}
	var all sync.WaitGroup
	for _, one := range s.all {
		all.Go(one.stop)
	}
	all.Wait()
	return nil
}

func (s *servers) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, format+"\n", args...)
}

func (s *servers) command(words []string) error {
	if len(words) == 1 && words[0] == States {
		var list []State
		for _, spec := range s.spec.Servers {
			list = append(list, s.all[spec.Name].state())
		}
		text, err := json.Marshal(list)
		if err == nil {
			s.say("%s %s", States, text)
		}
		return err
	}
	if len(words) != 3 || s.all[words[1]] == nil {
		return fmt.Errorf("hollow: no such command: %q", words)
	}
	one := s.all[words[1]]
	life, err := strconv.Atoi(words[2])
	if err != nil {
		return fmt.Errorf("hollow: no such command: %q", words)
	}
	switch words[0] {
	case Stop:
		go one.stop()
	case Start, Cold:
		go one.start(life, words[0] == Cold)
	default:
		return fmt.Errorf("hollow: no such command: %q", words)
	}
	return nil
}

func (one *server) stop() {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.end != nil {
		one.end()
		<-one.ended
		one.end, one.follower = nil, nil
	}
}

// start begins a life after the one before has ended.
func (one *server) start(life int, cold bool) {
	one.stop()
	one.mu.Lock()
	defer one.mu.Unlock()
	one.in.mu.Lock()
	have := one.last
	if have == nil {
		have = one.in.shared
	}
	one.in.mu.Unlock()
	if cold {
		have = nil
	}
	cfg, err := config.ParseOperator(one.in.spec.Operator, nil)
	if err == nil {
		one.follower, err = follow.New(follow.Settings{Name: one.spec.Name, Region: one.spec.Region, Publishers: one.spec.Publishers,
			InForce: have, InitialWait: time.Duration(one.in.spec.WaitUS) * time.Microsecond, Seed: one.in.spec.Seed + one.number + uint64(life), Log: one.in.log})
	}
	if err != nil {
		one.in.say("error %s %q", one.spec.Name, err)
		return
	}
	ctx, end := context.WithCancel(context.Background())
	one.end, one.ended = end, make(chan struct{})
	go func(f *follow.Follower, ended chan<- struct{}) {
		defer close(ended)
		if err := one.live(ctx, f, cfg, life); err != nil {
			one.in.say("error %s %q", one.spec.Name, err)
		}
	}(one.follower, one.ended)
}

// live is what a real server does with versions, in the same order.
func (one *server) live(ctx context.Context, f *follow.Follower, cfg *config.Config, life int) error {
	doc, _ := f.InitialVersion(ctx)
	if doc != nil {
		with, err := cfg.WithDocument(doc)
		if err != nil {
			return err
		}
		cfg = with
	}
	places := config.NewUpdater(cfg)
	c, err := core.New(core.Settings{Policy: cfg.Policy, Seed: cfg.Seed, Pools: cfg.PoolSettings()}, idle{})
	if err != nil {
		return err
	}
	if doc != nil {
		one.force(doc, life)
	}
	f.Run(ctx, func(_ context.Context, doc *document.Document, delta *document.Delta) error {
		places.SetTime(time.Now().UnixMicro())
		ch, err := places.PrepareVersion(doc, delta)
		if err == nil {
			err = c.Reconfigure(ch.Config.Policy, ch.Config.RetiredClasses, ch.Pools)
		}
		if err != nil {
			return err
		}
		places.SetTime(time.Now().UnixMicro())
		places.Commit(ch)
		one.force(doc, life)
		return nil
	})
	return nil
}

func (one *server) force(doc *document.Document, life int) {
	defer one.keep(doc)
	one.in.say("force %s %d %d %s %d", one.spec.Name, life, doc.Header().Number, doc.Digest(), time.Now().UnixMicro())
}

// keep keeps the version in memory, in place of a folder. Guards the machine that
// all share: hundreds of servers that read whole versions off a disk at once are
// the work of hundreds of machines; and versions that are made of one share what
// they do not change.
func (one *server) keep(doc *document.Document) {
	one.in.mu.Lock()
	defer one.in.mu.Unlock()
	one.last = doc
	if one.in.shared == nil || one.in.shared.Header().Number < doc.Header().Number {
		one.in.shared = doc
	}
}

func (one *server) state() State {
	one.mu.Lock()
	defer one.mu.Unlock()
	if one.follower == nil {
		return State{Name: one.spec.Name}
	}
	s := one.follower.State()
	return State{Name: one.spec.Name, Number: s.Number, Digest: s.Digest.String(), Sent: s.SentBytes, Received: s.ReceivedBytes,
		Applied: s.Applied, Snapshots: s.Snapshots, Switches: s.Switches, Refused: s.RefusalReason, Fork: s.Fork}
}

// idle is a runner that is never given a run: a hollow server has no callers.
type idle struct{}

func (idle) Run(*core.Request) {}
