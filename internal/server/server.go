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
	readBufferBytes         = 64 << 10  // of the loop, shared by all connections
	maxUnsentBytes          = 256 << 10 // what a slow reader may leave unread before its connection is closed
	maxIovecs               = 512       // slices of one gathered write, under the system's 1,024
	engineRedialIntervalUS  = 50_000    // between tries to reach the engine
	registryRetryIntervalUS = 1_000_000 // between tries to reach the registry
	maxFailedReports        = 4         // reports in a row that the system turns away before the registry is sought anew
	linkLossLogIntervalUS   = 1_000_000 // between two lines in the log that the engine's link is gone
	engineDialTimeout       = time.Second
	gaugeIntervalUS         = 10_000     // between two questions for the gauges while requests are in hand
	partialMemoryDivisor    = 8          // part of the memory that half-read frames may take
	largePartialBytes       = 16 << 10   // ... above which a connection that holds more is closed
	expiryIntervalUS        = 20_000     // between two looks for what has run out of time
	deepCheckTimeoutUS      = 2_000_000  // a deep check waits this long for the engine
	maxPendingChecks        = 16         // deep checks that wait at once
	statusIntervalUS        = 10_000_000 // between two lines of totals in the log
)

// Server is one real server.
type Server struct {
	gnet.BuiltinEventEngine
	cfg          *config.Config
	log          *zap.Logger
	core         *core.Core
	link         *engine.Link
	heartbeat    *registry.Heartbeat
	engine       *engineConn  // the link in use; nil while there is none
	engineDialID atomic.Int64 // numbers the searches for the engine; only the latest counts

	engineDialedAt   atomic.Int64 // when it was last tried to reach the engine
	linkLossLoggedAt int64        // when it was last logged that the link is gone

	// Reload reads the configuration anew, for SIGHUP; nil = what was read at the start stays.
	LoadConfig      func() (*config.Config, error)
	names           *frame.NameIndex
	keyedClasses    map[string]int      // keyed classes, those included that are no longer in force
	repeatable      []bool              // by class: whether a run may be repeated
	tenants         []string            // that names knows of, by place
	versionRequests chan versionRequest // to be taken over, see reloads
	client          *gnet.Client
	loop            gnet.EventLoop
	started         chan struct{} // closed when the loop runs
	done            chan error    // the end of the run

	listeners       []frontend
	slots           chan struct{} // one for each connection that may be open
	closingConns    int           // connections whose end is under way, see closing.go
	activeListeners int           // listeners of callers that are still accepted on
	enrolling       atomic.Int64  // connections that were accepted and are not on the loop yet

	descriptors  *semaphore.Weighted // for callers' connections
	runCtx       context.Context     // of the run
	cancelRun    context.CancelFunc
	admin        *frontend     // for operators; nil = not set up
	adminSlots   chan struct{} // the places there
	conns        map[handler]struct{}
	partialBytes int // bytes of half-read frames, over all connections

	unflushed    []handler
	scheduled    bool
	timer        *time.Timer
	timerAt      int64
	nextGaugeAt  int64
	nextReportAt int64

	registryDialID     int   // numbers the searches for the registry; only the latest counts
	registryDialing    bool  // one is under way
	nextRegistryDialAt int64 // not before this
	failedReports      int   // reports in a row that the system has turned away

	nextStatusAt int64
	shutdownState
	serving          bool // clients are taken
	backendCalls     int  // runs that were handed to backends
	reloadsApplied   int  // configuration files taken at SIGHUP
	reloadsRejected  int  // and turned down
	upgrade          upgradeState
	closingListeners atomic.Bool // listeners are closed on purpose
	ended            atomic.Bool // the run has ended

	keys            keyState
	uwsgiContracts  *uwsgi.ContractTable
	downstream      downstream
	control         control
	rejections      reject.Counter
	backendConns    map[*backendConn]struct{}
	maxBackendCalls int    // backends that may be called at once
	uwsgiConns      int    // open connections of the uwsgi front
	lastUWSGIID     uint64 // names the requests of the uwsgi front
	nextExpiryAt    int64
	nextReapAt      int64

	health        func() (good, stored bool)
	pendingChecks map[string]pendingCheck // deep health checks that wait for the engine, by tag
	lastCheckID   int
}

// now is the system's Unix clock in microseconds.
func now() int64 { return time.Now().UnixMicro() }

// New prepares a server; nothing listens until Serve.
func New(cfg *config.Config, log *zap.Logger) (*Server, error) {
	s := &Server{
		cfg: cfg, log: log, started: make(chan struct{}), done: make(chan error, 1),
		conns: map[handler]struct{}{}, pendingChecks: map[string]pendingCheck{},
		backendConns: map[*backendConn]struct{}{}, versionRequests: make(chan versionRequest),
	}
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	p := NewDescriptorBudget(cfg)
	s.downstream.resultCounts, s.downstream.maxConns = map[ledger.EndReason]int{}, p.Ledger
	s.maxBackendCalls = p.BackendCalls
	s.slots, s.adminSlots = make(chan struct{}, p.CallerConnections), make(chan struct{}, p.Admin)
	s.descriptors = semaphore.NewWeighted(int64(p.CallerDescriptors))
	s.link = engine.NewLink(s, now)
	s.initNames()
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
	if s.client, err = gnet.NewClient(s, gnet.WithReadBufferCap(readBufferBytes), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(s.log.Sugar())); err != nil {
		return err
	}
	if err = s.client.Start(); err != nil {
		return err
	}
	defer func() {
		s.cancelRun()
		s.client.Stop() //nolint:errcheck // nothing is left to be done about it
		if s.heartbeat != nil {
			s.heartbeat.Close()
		}
	}()
	if err = s.findLoop(); err != nil {
		return err
	}
	if err = s.findPredecessor(); err != nil {
		return err
	}
	defer s.closeUpgrade()
	if err = s.initKeyStore(); err != nil {
		return err
	}
	defer s.closeKeyStore()
	defer s.closeLedger()
	if err = s.Listen(); err != nil {
		return err
	}
	defer s.closeListeners()
	s.onLoop(s.startLoop)
	close(s.started)
	s.onLoop(s.connectEngine)
	if s.admin != nil {
		defer s.admin.Close()
		go s.acceptLoop(*s.admin)
	}
	go s.reloads(signals.Reload)
	s.startFollower()
	defer s.control.waitForFollower()
	for {
		select {
		case n := <-signals.Stop:
			s.stopFollower()
			s.onLoop(func() { s.beginShutdown(n.Signal.String(), n.At.UnixMicro()) })
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
		s.conns[h] = struct{}{}
		h.opened(c)
		if len(s.slots) >= cap(s.slots)-cap(s.slots)/freeSlotsDivisor {
			s.scheduleIteration() // for evictIdle
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
	s.scheduleIteration()
	return gnet.None
}

// OnClose is called by gnet on the loop when a connection has ended.
func (s *Server) OnClose(c gnet.Conn, err error) gnet.Action {
	if h, ok := c.Context().(handler); ok {
		if _, open := s.conns[h]; open {
			if f, ok := h.(*frameConn); ok && f.keepHalfClosed(err) {
				s.scheduleIteration()
				return gnet.None
			}
			delete(s.conns, h)
			h.closed()
			s.scheduleIteration()
		}
	}
	return gnet.None
}

var errSlowReader = errors.New("the caller does not take its answers")
