// Package server ties the core to the network: one gnet event loop that reads
// the callers' connections and the engine's link, hands what is ready to the
// core once a round, and writes what came back. All state belongs to the loop;
// goroutines beside it only wait (for connections, a dial, a signal) and pass
// what came to the loop.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"kiteslip/internal/config"
	"kiteslip/internal/core"
	"kiteslip/internal/engine"
	"kiteslip/internal/frame"
	"kiteslip/internal/ledger"
	"kiteslip/internal/registry"
	"kiteslip/internal/reject"
	"kiteslip/internal/uwsgi"
)

const (
	readBuffer  = 64 << 10  // of the loop, shared by all connections
	outMost     = 256 << 10 // what a slow reader may leave unread before its connection is closed
	iovMost     = 512       // slices of one gathered write, under the system's 1,024
	redial      = 50_000    // between tries to reach the engine
	seekEvery   = 1_000_000 // between tries to reach the registry
	unheardMost = 4         // reports in a row that the system turns away before the registry is sought anew
	goneEvery   = 1_000_000 // between two lines in the log that the engine's link is gone
	dialMost    = time.Second
	gaugeEvery  = 10_000     // between two questions for the gauges while requests are in hand
	heldDivisor = 8          // part of the memory that half-read frames may take
	bigBuffer   = 16 << 10   // ... above which a connection that holds more is closed
	expireEvery = 20_000     // between two looks for what has run out of time
	checkTime   = 2_000_000  // a deep check waits this long for the engine
	checksMost  = 16         // deep checks that wait at once
	statusEvery = 10_000_000 // between two lines of totals in the log
)

// Server is one real server.
type Server struct {
	gnet.BuiltinEventEngine
	cfg       *config.Config
	log       *zap.Logger
	core      *core.Core
	link      *engine.Link
	heartbeat *registry.Heartbeat
	engine    *engineConn  // the link in use; nil while there is none
	dials     atomic.Int64 // numbers the searches for the engine; only the latest counts

	dialedAt atomic.Int64 // when it was last tried to reach the engine
	goneAt   int64        // when it was last logged that the link is gone

	// Reload reads the configuration anew, for SIGHUP; nil = what was read at the start stays.
	LoadConfig func() (*config.Config, error)
	names      *frame.NameIndex
	keyed      map[string]int // keyed classes, those included that are no longer in force
	safe       []bool         // by class: whether a run may be repeated
	tenants    []string       // that names knows of, by place
	versions   chan asked     // to be taken over, see reloads
	client     *gnet.Client
	loop       gnet.EventLoop
	up         chan struct{} // closed when the loop runs
	done       chan error    // the end of the run

	listeners []front
	slots     chan struct{} // one for each connection that may be open
	lingering int           // connections whose end is under way, see closing.go
	accepting int           // listeners of callers that are still accepted on
	entering  atomic.Int64  // connections that were accepted and are not on the loop yet

	descriptors *semaphore.Weighted // for callers' connections
	life        context.Context     // of the run
	end         context.CancelFunc
	admin       *front        // for operators; nil = not set up
	adminSlots  chan struct{} // the places there
	sessions    map[handler]struct{}
	buffered    int // bytes of half-read frames, over all connections

	dirty     []handler
	scheduled bool
	timer     *time.Timer
	timerAt   int64
	statAt    int64
	reportAt  int64

	registering int   // numbers the searches for the registry; only the latest counts
	seeking     bool  // one is under way
	seekAt      int64 // not before this
	unheard     int   // reports in a row that the system has turned away

	logAt int64
	leaving
	serving  bool // clients are taken
	called   int  // runs that were handed to backends
	applied  int  // configuration files taken at SIGHUP
	rejected int  // and turned down
	handing  upgrade
	stopping atomic.Bool // listeners are closed on purpose
	over     atomic.Bool // the run has ended

	keys     keys
	book     *uwsgi.ContractTable
	below    below
	control  control
	rejects  reject.Counter
	backends map[*backendConn]struct{}
	calls    int    // backends that may be called at once
	webs     int    // open connections of the uwsgi front
	webID    uint64 // names the requests of the uwsgi front
	expireAt int64
	reapAt   int64

	health  func() (good, stored bool)
	checks  map[string]check // deep health checks that wait for the engine, by tag
	checkID int
}

// now is the system's Unix clock in microseconds.
func now() int64 { return time.Now().UnixMicro() }

// New prepares a server; nothing listens until Serve.
func New(cfg *config.Config, log *zap.Logger) (*Server, error) {
	s := &Server{
		cfg: cfg, log: log, up: make(chan struct{}), done: make(chan error, 1),
		sessions: map[handler]struct{}{}, checks: map[string]check{},
		backends: map[*backendConn]struct{}{}, versions: make(chan asked),
	}
	s.life, s.end = context.WithCancel(context.Background())
	p := NewDescriptorBudget(cfg)
	s.below.ends, s.below.places = map[ledger.EndReason]int{}, p.Ledger
	s.calls = p.BackendCalls
	s.slots, s.adminSlots = make(chan struct{}, p.CallerConnections), make(chan struct{}, p.Admin)
	s.descriptors = semaphore.NewWeighted(int64(p.CallerDescriptors))
	s.link = engine.NewLink(s, now)
	s.nameAll()
	var err error
	s.core, err = core.New(core.Settings{
		Policy: cfg.Policy, Seed: cfg.Seed, Pools: cfg.PoolSettings(),
		Log: func(line string) { log.Info("module", zap.String("says", line)) },
	}, s)
	if err != nil {
		return nil, err
	}
	s.health = s.core.Health
	s.openLedger()
	return s, nil
}

// Serve serves until the drain is over or something that it cannot do without fails.
func (s *Server) Serve(signals Signals) error {
	var err error
	if s.client, err = gnet.NewClient(s, gnet.WithReadBufferCap(readBuffer), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(s.log.Sugar())); err != nil {
		return err
	}
	if err = s.client.Start(); err != nil {
		return err
	}
	defer func() {
		s.end()
		s.client.Stop() //nolint:errcheck // nothing is left to be done about it
		if s.heartbeat != nil {
			s.heartbeat.Close()
		}
	}()
	if err = s.findLoop(); err != nil {
		return err
	}
	if err = s.meet(); err != nil {
		return err
	}
	defer s.closeUpgrade()
	if err = s.keepKeys(); err != nil {
		return err
	}
	defer s.closeKeys()
	defer s.closeLedger()
	if err = s.Listen(); err != nil {
		return err
	}
	defer s.unlisten()
	s.onLoop(s.begin)
	close(s.up)
	s.onLoop(s.reach)
	if s.admin != nil {
		defer s.admin.Close()
		go s.accept(*s.admin)
	}
	go s.reloads(signals.Reload)
	s.beginFollowing()
	defer s.control.parted()
	for {
		select {
		case n := <-signals.Stop:
			s.endFollowing()
			s.onLoop(func() { s.drain(n.Signal.String(), n.At.UnixMicro()) })
		case err := <-s.done:
			return err
		}
	}
}

// findLoop enrols one end of a socket pair: gnet hands out its loop only with a connection.
func (s *Server) findLoop() error {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return fmt.Errorf("socket pair: %w", err)
	}
	file := os.NewFile(uintptr(pair[0]), "loop")
	defer file.Close()
	c, err := net.FileConn(file)
	if err != nil {
		return fmt.Errorf("socket pair: %w", err)
	}
	gc, err := s.client.Enroll(c)
	if err != nil {
		return fmt.Errorf("socket pair: %w", err)
	}
	s.loop = gc.EventLoop()
	return nil
}

// onLoop runs f on the loop, after what is under way there.
func (s *Server) onLoop(f func()) {
	if err := s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	})); err != nil {
		s.log.Debug("the loop is closed", zap.Error(err))
	}
}

// OnOpen is called by gnet on the loop.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if h, ok := c.Context().(handler); ok {
		s.sessions[h] = struct{}{}
		h.opened(c)
		if len(s.slots) >= cap(s.slots)-cap(s.slots)/freeShare {
			s.schedule() // for evictIdle
		}
	}
	return nil, gnet.None
}

// OnTraffic is called by gnet on the loop when bytes have come.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	h, ok := c.Context().(handler)
	if !ok {
		c.Discard(-1) //nolint:errcheck // the pair carries nothing
		return gnet.None
	}
	b, err := c.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	n, err := h.feed(b)
	if n > 0 {
		c.Discard(n) //nolint:errcheck // it cannot fail within what was read
	}
	if err != nil {
		h.flush()
		return gnet.Close
	}
	s.schedule()
	return gnet.None
}

// OnClose is called by gnet on the loop when a connection has ended.
func (s *Server) OnClose(c gnet.Conn, err error) gnet.Action {
	if h, ok := c.Context().(handler); ok {
		if _, open := s.sessions[h]; open {
			if f, ok := h.(*session); ok && f.halve(err) {
				s.schedule()
				return gnet.None
			}
			delete(s.sessions, h)
			h.closed()
			s.schedule()
		}
	}
	return gnet.None
}

var errSlow = errors.New("the caller does not take its answers")
