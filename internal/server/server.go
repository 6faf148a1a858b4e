// Package server connects the core to the network. One gnet event loop reads
// the callers' connections and the engine's link, passes all that is ready to
// the core once per loop iteration, and writes the results. All state belongs
// to the loop; other goroutines only wait (for connections, a dial, a signal)
// and pass the result to the loop.
//
// Instants are microseconds since the epoch and durations microseconds, as
// int64, unless a name or type says otherwise.
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
	readBufferBytes         = 64 << 10  // of the loop, shared by all connections; in bytes
	maxUnsentBytes          = 256 << 10 // a connection with more unsent answers is closed
	maxIovecs               = 512       // slices in one vectored write; the system allows 1,024
	engineRedialIntervalUS  = 50_000    // between two dials of the engine
	registryRetryIntervalUS = 1_000_000 // between a failed dial of the registry and the next one
	maxFailedReports        = 4         // consecutive failed reports after which the registry is dialed again
	linkLossLogIntervalUS   = 1_000_000 // between two log lines about a lost engine link
	engineDialTimeout       = time.Second
	gaugeIntervalUS         = 10_000     // between two requests for the engine's gauges while requests are tracked
	partialMemoryDivisor    = 8          // partial frames and requests may take this fraction of the memory
	largePartialBytes       = 16 << 10   // ... once they take more, connections with a larger partial frame are closed
	expiryIntervalUS        = 20_000     // between two checks of the uwsgi front end's time limits
	deepCheckTimeoutUS      = 2_000_000  // a deep health check waits this long for the engine
	maxPendingChecks        = 16         // deep health checks that may wait at the same time
	statusIntervalUS        = 10_000_000 // between two log lines with totals
)

// Server is one process of kiteslip.
type Server struct {
	gnet.BuiltinEventEngine
	cfg          *config.Config
	log          *zap.Logger
	core         *core.Core
	link         *engine.Link
	heartbeat    *registry.Heartbeat
	engine       *engineConn  // connection of the link in use; nil = none
	engineDialID atomic.Int64 // number of the latest attempt to connect to the engine; older ones end

	engineDialedAt   atomic.Int64 // when the engine was last dialed
	linkLossLoggedAt int64        // when the loss of the engine link was last logged

	// LoadConfig reads the configuration again, for SIGHUP; nil = the one read at the start stays.
	LoadConfig      func() (*config.Config, error)
	names           *frame.NameIndex
	keyedClasses    map[string]int      // slots of the keyed classes by name, including retired ones
	repeatable      []bool              // by class slot: whether a run may be repeated
	tenants         []string            // tenants that names knows, by tenant slot
	versionRequests chan versionRequest // versions to be applied, see reloads
	client          *gnet.Client
	loop            gnet.EventLoop
	started         chan struct{} // closed once the loop runs
	done            chan error    // receives the result of the run when it ends

	listeners       []frontend
	slots           chan struct{} // connection slots of the callers' front ends
	closingConns    int           // open connections whose write side is shut, see conn_close.go
	activeListeners int           // callers' listeners on which connections are still accepted
	enrolling       atomic.Int64  // accepted connections that are not on the loop yet

	descriptors  *semaphore.Weighted // for callers' connections
	runCtx       context.Context     // ends with the run
	cancelRun    context.CancelFunc
	admin        *frontend     // admin endpoint; nil = not configured
	adminSlots   chan struct{} // connection slots of the admin endpoint
	conns        map[handler]struct{}
	partialBytes int // bytes of partial frames and requests, over all connections

	unflushed    []handler
	scheduled    bool
	timer        *time.Timer
	timerAt      int64
	nextGaugeAt  int64
	nextReportAt int64

	registryDialID     int   // number of the latest dial of the registry; results of older ones are dropped
	registryDialing    bool  // a dial is in progress
	nextRegistryDialAt int64 // the registry is not dialed before this
	failedReports      int   // consecutive reports that could not be sent

	nextStatusAt int64
	shutdownState
	serving          bool // callers' connections are accepted
	backendCalls     int  // requests that were sent to backends
	reloadsApplied   int  // configuration files applied at SIGHUP
	reloadsRejected  int  // configuration files rejected at SIGHUP
	upgrade          upgradeState
	closingListeners atomic.Bool // the listeners are being closed on purpose
	ended            atomic.Bool // the run has ended

	keys            keyState
	uwsgiContracts  *uwsgi.ContractTable
	downstream      downstream
	control         control
	rejections      reject.Counter
	backendConns    map[*backendConn]struct{}
	maxBackendCalls int    // backend calls that may be in progress at once
	uwsgiConns      int    // open connections of the uwsgi front end
	lastUWSGIID     uint64 // number in the try ID of the latest uwsgi request
	nextExpiryAt    int64
	nextReapAt      int64

	health        func() (good, stored bool)
	pendingChecks map[string]pendingCheck // deep health checks that wait for the engine, by tag
	lastCheckID   int
}

// now is the system's Unix clock in microseconds.
func now() int64 { return time.Now().UnixMicro() }

// New prepares a server; nothing listens until Listen or Serve.
func New(cfg *config.Config, log *zap.Logger) (*Server, error) {
	s := &Server{
		cfg: cfg, log: log, started: make(chan struct{}), done: make(chan error, 1),
		conns: map[handler]struct{}{}, pendingChecks: map[string]pendingCheck{},
		backendConns: map[*backendConn]struct{}{}, versionRequests: make(chan versionRequest),
	}
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	budget := NewDescriptorBudget(cfg)
	s.downstream.resultCounts, s.downstream.maxConns = map[ledger.EndReason]int{}, budget.Ledger
	s.maxBackendCalls = budget.BackendCalls
	s.slots, s.adminSlots = make(chan struct{}, budget.CallerConnections), make(chan struct{}, budget.Admin)
	s.descriptors = semaphore.NewWeighted(int64(budget.CallerDescriptors))
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

// Serve serves until the graceful shutdown is complete or something essential fails.
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
		s.client.Stop() //nolint:errcheck // the process ends, nothing depends on it
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

// findLoop enrols one end of a socket pair, since gnet gives access to its loop only
// through a connection.
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

// onLoop queues f to run on the loop.
func (s *Server) onLoop(f func()) {
	if err := s.loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	})); err != nil {
		s.log.Debug("task dropped: the event loop is closed", zap.Error(err))
	}
}

// OnOpen is called by gnet on the loop when a connection has been enrolled.
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

// OnTraffic is called by gnet on the loop when bytes have arrived.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	h, ok := c.Context().(handler)
	if !ok {
		c.Discard(-1) //nolint:errcheck // the socket pair carries no data
		return gnet.None
	}
	b, err := c.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	n, err := h.feed(b)
	if n > 0 {
		c.Discard(n) //nolint:errcheck // it cannot fail for bytes that were peeked
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

var errSlowReader = errors.New("caller does not read its answers")
