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
	"runtime"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"kiteslip"
	"kiteslip/internal/config"
	"kiteslip/internal/core"
	"kiteslip/internal/engine"
	"kiteslip/internal/frame"
	"kiteslip/internal/registry"
	"kiteslip/internal/uwsgi"
	"kiteslip/internal/wire"
)

const (
	spareSockets = 64        // descriptors kept for the loop, the engine, the registry and accepting
	readBuffer   = 64 << 10  // of the loop, shared by all connections
	outMost      = 256 << 10 // what a slow reader may leave unread before its connection is closed
	iovMost      = 512       // slices of one gathered write, under the system's 1,024
	redial       = 50_000    // between tries to reach the engine
	dialMost     = time.Second
	gaugeEvery   = 10_000     // between two questions for the gauges while requests are in hand
	lingerClose  = 250_000    // from GOAWAY to the exit: what crosses it comes within 50 ms
	answerTime   = 950_000    // kept for answers between GOAWAY and the stop; the module takes nothing then
	refuseTime   = 1_200_000  // from GOAWAY to the close of the listeners: who comes late is told to stay away
	closeTime    = 500_000    // ... which is this long before the stop at the latest
	exitMargin   = 150_000    // the process is gone this long before the stop, whatever is left
	heldDivisor  = 8          // part of the memory that half-read frames may take
	bigBuffer    = 16 << 10   // ... above which a connection that holds more is closed
	expireEvery  = 20_000     // between two looks for what has run out of time
	checkTime    = 2_000_000  // a deep check waits this long for the engine
	checksMost   = 16         // deep checks that wait at once
	statusEvery  = 10_000_000 // between two lines of totals in the log
)

// handler is what a connection's bytes are given to.
type handler interface {
	opened(c gnet.Conn)
	feed(b []byte) (int, error) // returns how many bytes were used
	closed()
	flush()
	idle() idle      // what it says of itself when places are short
	unsent() int     // bytes of answers that were not taken yet
	peer() gnet.Conn // its connection
}

// Server is one real server.
type Server struct {
	gnet.BuiltinEventEngine
	cfg    *config.Config
	log    *zap.Logger
	core   *core.Core
	link   *engine.Link
	beacon *registry.Beacon
	engine *engineConn  // the link in use; nil while there is none
	dials  atomic.Int64 // numbers the searches for the engine; only the latest counts
	// Reload reads the configuration anew, for SIGHUP; nil = what was read at the start stays.
	Reload func() (*config.Config, error)
	names  *frame.Names
	keyed  map[string]int // keyed classes, those included that are no longer in the file
	client *gnet.Client
	loop   gnet.EventLoop
	up     chan struct{} // closed when the loop runs
	done   chan error    // the end of the run

	listeners []front
	slots     chan struct{} // one for each connection that may be open
	door      *front        // for operators; nil = not set up
	doorSlots chan struct{} // the places there
	sessions  map[handler]struct{}
	buffered  int // bytes of half-read frames, over all connections

	dirty     []handler
	scheduled bool
	timer     *time.Timer
	timerAt   int64
	statAt    int64
	reportAt  int64
	logAt     int64
	stopAt    int64 // when the process is killed; 0 = no notice yet
	awayAt    int64 // when connections are told to go
	closeAt   int64 // when listeners close
	away      bool
	serving   bool // clients are taken
	called    int  // runs that were handed to backends
	applied   int  // configuration files taken at SIGHUP
	rejected  int  // and turned down
	handing   upgrade
	stopping  atomic.Bool // listeners are closed on purpose
	over      atomic.Bool // the run has ended

	keys     keys
	book     *uwsgi.Book
	backends map[*backendConn]struct{}
	calls    int    // backends that may be called at once
	webs     int    // open connections of the uwsgi front
	webID    uint64 // names the requests of the uwsgi front
	expireAt int64
	tidyAt   int64

	health  func() (good, stored bool)
	checks  map[string]check // deep health checks that wait for the engine, by tag
	checkID int
}

// check is a deep health check that waits for the engine.
type check struct {
	from   *session
	stream uint32
	until  int64
}

// now is the system's Unix clock in microseconds.
func now() int64 { return time.Now().UnixMicro() }

// New prepares a server; nothing listens until Serve.
func New(cfg *config.Config, log *zap.Logger) (*Server, error) {
	s := &Server{
		cfg: cfg, log: log, up: make(chan struct{}), done: make(chan error, 1),
		sessions: map[handler]struct{}{}, checks: map[string]check{},
		backends: map[*backendConn]struct{}{},
	}
	room := cfg.Limits.Sockets - spareSockets
	if cfg.Ops != "" {
		room -= doorPlaces
		s.doorSlots = make(chan struct{}, doorPlaces)
	}
	room = max(8, room)
	if uses(cfg.Backends) {
		s.calls = room / 4
	}
	s.slots = make(chan struct{}, room-s.calls)
	s.link = engine.NewLink(s, now)
	s.name()
	var err error
	s.core, err = core.New(core.Settings{
		Module: cfg.Module, Seed: cfg.Seed, Pools: cfg.PoolSettings(),
		Log: func(line string) { log.Info("module", zap.String("says", line)) },
	}, s)
	if err != nil {
		return nil, err
	}
	s.health = s.core.Health
	return s, nil
}

// Serve serves until the drain is over or something that it cannot do without fails.
func (s *Server) Serve(signals <-chan os.Signal) error {
	var err error
	if s.client, err = gnet.NewClient(s, gnet.WithReadBufferCap(readBuffer), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithLogger(s.log.Sugar())); err != nil {
		return err
	}
	if err = s.client.Start(); err != nil {
		return err
	}
	defer func() {
		s.client.Stop() //nolint:errcheck // nothing is left to be done about it
		if s.beacon != nil {
			s.beacon.Close()
		}
	}()
	if err = s.findLoop(); err != nil {
		return err
	}
	if s.cfg.Registry != "" {
		if s.beacon, err = registry.Dial(s.cfg.Registry, s.cfg.Name); err != nil {
			return err
		}
	}
	if err = s.meet(); err != nil {
		return err
	}
	defer s.closeUpgrade()
	if err = s.keepKeys(); err != nil {
		return err
	}
	defer s.closeKeys()
	if err = s.Listen(); err != nil {
		return err
	}
	defer s.unlisten()
	s.onLoop(s.begin)
	close(s.up)
	s.onLoop(s.reach)
	if s.door != nil {
		defer s.door.Close()
		go s.accept(*s.door)
	}
	for {
		select {
		case sig := <-signals:
			if sig == unix.SIGHUP {
				s.reload()
				continue
			}
			s.onLoop(func() { s.drain(sig.String()) })
		case err := <-s.done:
			return err
		}
	}
}

// front is a listener, what its connections speak, and the places for them.
type front struct {
	net.Listener
	session func() handler
	slots   chan struct{}
}

// Listen opens the listeners, which Serve does otherwise.
func (s *Server) Listen() error {
	if s.listeners != nil {
		return nil
	}
	for _, f := range []struct {
		address string
		session func() handler
	}{
		{s.cfg.Listen, func() handler { return newSession(s) }},
		{s.cfg.UWSGI.Listen, func() handler { return newWebSession(s) }},
	} {
		if f.address == "" {
			continue
		}
		var l net.Listener
		var err error
		if s.cfg.InheritedFD != 0 && len(s.listeners) == 0 {
			l, err = s.inherit()
		} else if l = s.passed(f.address); l == nil {
			l, err = net.Listen("tcp", f.address)
		}
		if err != nil {
			s.unlisten()
			return fmt.Errorf("listen: %w", err)
		}
		s.listeners = append(s.listeners, front{l, f.session, s.slots})
	}
	s.passed("") // one that is left over has no use
	if s.cfg.Ops != "" {
		l, err := net.Listen("tcp", s.cfg.Ops)
		if err != nil {
			s.unlisten()
			return fmt.Errorf("ops: %w", err)
		}
		s.door = &front{l, func() handler { return newDoor(s) }, s.doorSlots}
	}
	return nil
}

// Addresses are those listened on: of the platform's protocol, then of uwsgi, where set up.
func (s *Server) Addresses() []string {
	var addresses []string
	for _, l := range s.listeners {
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

func (s *Server) unlisten() {
	s.stopping.Store(true)
	for _, l := range s.listeners {
		l.Close()
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

// accept takes connections as long as there is a slot for them. It never waits
// for the loop: what stands in the system's queue is taken in one turn, see
// docs/design/door.md.
func (s *Server) accept(l front) {
	for {
		l.slots <- struct{}{}
		c, err := l.Accept()
		if err == nil {
			go s.enter(c, l)
			continue
		}
		<-l.slots
		if errors.Is(err, net.ErrClosed) {
			return
		}
		s.log.Warn("accept", zap.Error(err))
		time.Sleep(10 * time.Millisecond) // out of descriptors, most likely
	}
}

// enter hands an accepted connection to the loop and waits until that has it.
func (s *Server) enter(c net.Conn, l front) {
	if _, err := s.client.EnrollContext(c, l.session()); err != nil {
		<-l.slots
		s.log.Warn("accept", zap.Error(err))
	}
}

// reach starts the search for the engine at the address that holds now. A
// search that is still under way for another address ends.
func (s *Server) reach() {
	if s.cfg.Engine != "" {
		go s.dial(s.dials.Add(1), s.cfg.Engine)
	}
}

// dial tries to reach the engine until a link stands or another search begins.
func (s *Server) dial(search int64, address string) {
	for !s.over.Load() && s.dials.Load() == search {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(dialMost))
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		cancel()
		if err == nil {
			if _, err = s.client.EnrollContext(c, &engineConn{s: s, search: search}); err == nil {
				return
			}
		}
		s.log.Debug("engine", zap.Error(err))
		time.Sleep(redial * time.Microsecond)
	}
}

// OnOpen is called by gnet on the loop.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if h, ok := c.Context().(handler); ok {
		s.sessions[h] = struct{}{}
		h.opened(c)
		if len(s.slots) >= cap(s.slots)-cap(s.slots)/freeShare {
			s.schedule() // for makeRoom
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
func (s *Server) OnClose(c gnet.Conn, _ error) gnet.Action {
	if h, ok := c.Context().(handler); ok {
		if _, open := s.sessions[h]; open {
			delete(s.sessions, h)
			h.closed()
			s.schedule()
		}
	}
	return gnet.None
}

// schedule asks for one round after all that is ready has been read. gnet has
// no hook at the end of a poll; a task queued on the loop runs there.
func (s *Server) schedule() {
	if !s.scheduled {
		s.scheduled = true
		s.onLoop(s.round)
	}
}

// round hands what is ready to the core in one go and carries out what comes back.
func (s *Server) round() {
	if s.over.Load() {
		return
	}
	s.scheduled = false
	t := now()
	requests, _ := s.core.Held()
	if requests > 0 && t >= s.statAt {
		s.statAt = t + gaugeEvery
		s.link.Stat()
	}
	s.core.Step(t)
	s.flush()
	s.expire(t)
	s.tidy(t)
	s.tend(t)
	s.leave(t)
	s.report(t)
	s.arm()
	runtime.Gosched() // what is ready beside the loop (connections to hand over) runs once a round
}

// flush writes all that is ready to go.
func (s *Server) flush() {
	for i := 0; i < len(s.dirty); i++ {
		s.dirty[i].flush()
	}
	s.dirty = s.dirty[:0]
}

// arm sets the timer for the next thing that time brings.
func (s *Server) arm() {
	next := s.reportAt
	if at := s.core.Next(); at != 0 {
		next = min(next, at)
	}
	if s.stopAt != 0 {
		next = min(next, now()+20_000)
	}
	if s.handing.peer != nil {
		next = min(next, max(s.handing.loadAt, now()))
	}
	if s.webs > 0 || len(s.backends) > 0 {
		next = min(next, max(s.expireAt, now()))
	}
	if next != s.timerAt || next <= now() {
		s.timerAt = next
		s.timer.Reset(max(time.Duration(next-now())*time.Microsecond, 0))
	}
}

// report tells the registry, and now and then the log, how things are.
func (s *Server) report(t int64) {
	if t >= s.reportAt {
		s.reportAt = t + registry.Interval
		s.link.Expire()
		s.guard(t)
		for tag, c := range s.checks {
			if t >= c.until {
				s.Tested(tag, false)
			}
		}
		if s.beacon == nil && s.cfg.Registry != "" {
			s.reregister()
		}
		if s.beacon != nil {
			if err := s.beacon.Report(s.core.Draining() || s.core.Withdrawn()); err != nil {
				s.log.Debug("registry", zap.Error(err))
			}
		}
	}
	if t >= s.logAt {
		s.logAt = t + statusEvery
		s.status()
	}
}

func (s *Server) status() {
	n := s.core.Counts()
	requests, keys := s.core.Held()
	s.log.Info("totals", zap.Int("read", n.Read), zap.Int("served", n.Served), zap.Int("refused", n.Refused),
		zap.Int("failed", n.Failed), zap.Int("gone", n.Gone), zap.Int("guarded", n.Guarded),
		zap.Int("in_hand", requests), zap.Int("keys", keys), zap.Int("connections", len(s.sessions)))
}

// drain takes in the notice to leave.
func (s *Server) drain(why string) {
	if s.stopAt != 0 {
		return
	}
	t := now()
	if s.replaced() {
		s.handOff(t)
		return
	}
	s.stopAt = t + s.cfg.Stop
	s.awayAt = t + max(0, min(s.cfg.Module.DrainGrace, s.cfg.Stop-answerTime))
	s.closeAt = max(s.awayAt, min(s.awayAt+refuseTime, s.stopAt-closeTime))
	s.log.Info("draining", zap.String("signal", why), zap.Int64("stop_ms", s.cfg.Stop/1000))
	s.core.Drain(t, s.stopAt)
	s.reportAt = 0
	s.round()
}

// leave ends the process in steps: at first requests still come and are
// answered, since callers learn late of the drain. Then callers are told to
// go, and what still comes is refused with advice to stay away; a listener that
// is closed would tell them nothing. Last the listeners close, and the
// remaining answers go out.
func (s *Server) leave(t int64) {
	if s.stopAt == 0 || t < s.awayAt {
		return
	}
	if !s.away {
		s.away = true
		for h := range s.sessions {
			if f, ok := h.(*session); ok {
				f.goAway()
			}
		}
		s.flush()
	}
	if t >= s.closeAt && !s.stopping.Load() {
		s.unlisten()
	}
	quiet := t >= s.closeAt+lingerClose && s.core.Owed() == 0 && s.unsent() == 0 && s.emptied()
	if quiet || t >= s.stopAt-exitMargin {
		s.over.Store(true)
		s.status()
		var err error
		if owed := s.core.Owed(); owed > 0 {
			err = fmt.Errorf("stopped with %d requests unanswered", owed)
		}
		s.done <- err
	}
}

// unsent is the number of bytes of answers that callers have not taken yet.
func (s *Server) unsent() int {
	n := 0
	for h := range s.sessions {
		n += h.unsent()
	}
	return n
}

// Run starts a request where its class is served.
func (s *Server) Run(r *core.Request) {
	if backend := s.cfg.Backends[r.Class]; backend != "" {
		s.call(backend, r)
		return
	}
	s.link.Run(r)
}

// Hello takes in that the engine is up.
func (s *Server) Hello(cold bool, up int64) {
	s.log.Info("engine", zap.Bool("cold", cold), zap.Int64("up_ms", up/1000))
	s.core.Warmth(cold, now()-up)
}

// Done takes in the end of a run.
func (s *Server) Done(r *core.Request, outcome kiteslip.Outcome, elapsed int64, result []byte) {
	s.core.Done(r, outcome, elapsed, result)
}

// Stats takes in the gauges.
func (s *Server) Stats(values []float32) { s.core.Gauges(wire.NameGauges(values, s.cfg.Gauges)) }

// Tested takes in the end of a deep health check's work.
func (s *Server) Tested(tag string, ok bool) {
	if c, waits := s.checks[tag]; waits {
		delete(s.checks, tag)
		c.from.checks--
		good, _ := s.health()
		c.from.verdict(c.stream, ok && good)
	}
}

// engineConn is the connection to the engine.
type engineConn struct {
	s      *Server
	conn   gnet.Conn
	search int64 // that found it
	out    [][]byte
	gone   bool
}

// opened takes the connection into use in place of the one before, which the
// engine no longer minds. What that one still had to say is said again here.
func (e *engineConn) opened(c gnet.Conn) {
	e.conn = c
	if e.search != e.s.dials.Load() {
		e.s.onLoop(e.hangUp) // the engine has moved meanwhile
		return
	}
	old := e.s.engine
	if old != nil {
		old.flush()
		e.s.lost()
	}
	e.s.engine = e
	e.s.link.Attach(e.send)
	if old != nil {
		old.hangUp()
	}
}

func (e *engineConn) hangUp() {
	if !e.gone {
		hangUp(e.conn)
	}
}

func (e *engineConn) idle() idle      { return idle{} }
func (e *engineConn) unsent() int     { return 0 }
func (e *engineConn) peer() gnet.Conn { return e.conn }

// feed takes in notices. Guards against those that a replaced link still
// brings: the same ones come on the link in use, under the same numbers.
func (e *engineConn) feed(b []byte) (int, error) {
	if e.s.engine != e {
		return len(b), nil
	}
	n, err := e.s.link.Feed(b)
	if err != nil {
		e.s.log.Error("engine", zap.Error(err))
	}
	return n, err
}

func (e *engineConn) closed() {
	e.gone = true
	if e.s.engine != e {
		return
	}
	e.s.engine = nil
	e.s.lost()
	if !e.s.over.Load() {
		e.s.log.Warn("the link to the engine is gone", zap.Int("running", e.s.link.Running()))
		e.s.reach()
	}
}

// lost takes in the end of the link in use; deep checks that wait for it fail.
func (s *Server) lost() {
	s.link.Lost()
	for tag := range s.checks {
		s.Tested(tag, false)
	}
}

func (e *engineConn) send(parts ...[]byte) {
	if len(e.out) == 0 {
		e.s.dirty = append(e.s.dirty, e)
	}
	e.out = append(e.out, parts...)
	e.s.schedule()
}

// flush writes what waits. Guards the descriptor of a closed connection, which
// the system may have given to another one already.
func (e *engineConn) flush() {
	if !e.gone {
		e.out = gather(e.conn, e.out)
	}
}

// gather writes the parts in as few system calls as they fit into, and
// returns the emptied list for the next ones.
func gather(c gnet.Conn, parts [][]byte) [][]byte {
	for rest := parts; len(rest) > 0; {
		n := min(len(rest), iovMost)
		if _, err := c.Writev(rest[:n]); err != nil {
			break // gnet has closed the connection
		}
		rest = rest[n:]
	}
	clear(parts)
	return parts[:0]
}

var errSlow = errors.New("the caller does not take its answers")
