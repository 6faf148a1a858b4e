package server

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"kiteslip"
	"kiteslip/internal/core"
	"kiteslip/internal/handover"
)

// An upgrade: the next process of this server starts while this one serves,
// and the two are one server until this one ends. docs/design.md says who may
// do what when; here the two are tied to the loop.
const (
	greetWithin  = 1_000_000 // for the old process to greet the new one
	tableWithin  = 4_000_000 // from the start, for its keys; clients are taken then, with or without
	engineWithin = 4_500_000 // from the start, for the engine to answer
	silentPeer   = 5_000_000 // a process that says nothing for longer has stalled
	loadEvery    = 20_000    // between two words on the load, which also say that we live
	leaveMost    = 3_000_000 // what the platform counts of the longest deadline before it kills
	leaveRest    = 700_000   // ... and adds
	peerOutMost  = 8 << 20   // a process that reads less than that has stalled
	recordsMost  = 1 << 20   // keys that one process may hand over
	linksMost    = 4         // connections at the meeting place
	tableAtOnce  = 1 << 20   // bytes of the table that are under way at once
	memoryShared = 2         // processes share the memory and the places
)

// upgrade is what a server knows of the process before or after it.
type upgrade struct {
	place    *handover.Endpoint
	listener *net.UnixListener
	dialed   *net.UnixConn // to the old process, before the loop has it
	web      net.Listener  // of the uwsgi front, as passed on; nil = none
	began    int64
	doubt    int64              // at the start, for what an earlier process may have run
	peer     *peerConn          // in use; nil = there is none
	waiting  *peerConn          // has come to take our place and has to wait
	strays   []handover.Message // keys of classes that only the old process has
	links    int                // connections at the meeting place
	records  int                // keys that were handed over to us
	reserved int                // places left to the other process
	dialing  bool               // the owner of the keys is sought
	admitted bool               // clients are taken
	handed   bool               // our place was handed over
	loadAt   int64
}

// peerConn is the connection between the two processes.
type peerConn struct {
	s       *Server
	conn    gnet.Conn
	newer   bool // it is to take our place
	out     []byte
	gone    bool
	heardAt int64
	handing bool               // the table is under way
	closing bool               // ... once the store of keys is closed
	table   []core.Record      // keys that are still to be handed over, and then YOURS
	doubt   int64              // ... which says this
	later   []handover.Message // what is said after that
}

func (p *peerConn) opened(c gnet.Conn) {
	p.conn, p.heardAt = c, now()
	if p.s.handing.links++; p.s.handing.links > linksMost || !p.newer && p.s.handing.peer != nil {
		p.s.onLoop(func() {
			if !p.gone {
				hangUp(c)
			}
		})
		return
	}
	if !p.newer {
		p.s.handing.peer = p
		p.send(&handover.Message{Kind: handover.Hello, Text: p.s.cfg.Name})
		p.s.share()
	}
}

func (p *peerConn) closed() {
	p.gone = true
	u := &p.s.handing
	u.links--
	if u.waiting == p {
		u.waiting = nil
	}
	if u.peer == p {
		u.peer = nil
		p.s.log.Info("the other process is gone", zap.Bool("newer", p.newer))
		p.s.core.PeerLost()
		p.s.core.SetPeerLoad(0, 0)
		p.s.unshare()
		p.s.schedule()
	}
}

// feed takes in messages. Guards against what no process of this server says: the link ends.
func (p *peerConn) feed(b []byte) (int, error) {
	p.heardAt = now()
	used := 0
	for {
		m, n, err := handover.Split(b[used:])
		if err == nil && n > 0 {
			used += n
			err = p.take(&m)
		}
		if err != nil {
			p.s.log.Error("upgrade", zap.Error(err))
			return used, err
		}
		if n == 0 {
			return used, nil
		}
	}
}

var errOrder = errors.New("a message that does not belong here")

func (p *peerConn) take(m *handover.Message) error {
	s, u := p.s, &p.s.handing
	if m.Kind == handover.Hello {
		if !p.newer || m.Text != s.cfg.Name || u.peer == p || u.waiting != nil {
			return fmt.Errorf("%w: %q wants to take the place", errOrder, m.Text)
		}
		u.waiting = p
		s.give()
		return nil
	}
	if u.peer != p {
		return errOrder
	}
	class, known := -1, false
	switch m.Kind {
	case handover.Record, handover.Claim, handover.RunEnded:
		if class, known = s.keyed[m.Text]; !known { // a class that only the other one has
			switch m.Kind {
			case handover.Claim:
				p.Deny(m.ID, kiteslip.Failed, nil)
			case handover.Record:
				if u.records++; u.records > recordsMost {
					return errOrder
				}
				u.strays = append(u.strays, *m)
			}
			return nil
		}
	}
	if m.Outcome > uint8(kiteslip.NotStarted) {
		return errOrder
	}
	switch m.Kind {
	case handover.Record:
		if p.newer || s.core.OwnsKeys() || u.records >= recordsMost {
			return errOrder
		}
		u.records++
		s.core.ImportRecord(record(class, m))
	case handover.KeysTransferred:
		if p.newer || s.core.OwnsKeys() {
			return errOrder
		}
		s.own(m.WindowEnd)
	case handover.Claim:
		s.core.Claimed(m.ID, class, m.Key, m.Arrived, m.BodyHash)
	case handover.RunEnded:
		s.core.PeerRunEnded(class, m.Key, m.Arrived, kiteslip.Outcome(m.Outcome), m.Result)
	case handover.Grant:
		s.core.Granted(now(), m.ID)
	case handover.Deny:
		s.core.Denied(m.ID, kiteslip.Outcome(m.Outcome), m.Result)
	case handover.Load:
		s.core.SetPeerLoad(int(m.Runs), float64(m.MemoryKB))
	}
	s.schedule()
	return nil
}

// recall enters the keys of classes that only the old process had, once a new
// configuration brings their class back; those whose time is up are forgotten.
func (s *Server) recall() {
	u, t := &s.handing, now()
	u.strays = slices.DeleteFunc(u.strays, func(m handover.Message) bool {
		class, known := s.keyed[m.Text]
		if known && m.WindowEnd >= t {
			if u.peer == nil && !m.Finished { // its end was told to nobody
				m.Finished, m.Outcome = true, uint8(kiteslip.Failed)
			}
			s.core.ImportRecord(record(class, &m))
		}
		return known || m.WindowEnd < t
	})
}

// record is a key as the old process tells of it.
func record(class int, m *handover.Message) core.Record {
	return core.Record{Class: class, Key: m.Key, Arrived: m.Arrived, WindowEnd: m.WindowEnd, BodyHash: m.BodyHash, Finished: m.Finished,
		Outcome: kiteslip.Outcome(m.Outcome), Result: m.Result}
}

// send queues a message for the end of the round, behind a table that is under way.
func (p *peerConn) send(m *handover.Message) {
	if p.handing {
		p.later = append(p.later, *m)
		return
	}
	p.put(m)
}

func (p *peerConn) put(m *handover.Message) {
	if len(p.out) == 0 {
		p.s.dirty = append(p.s.dirty, p)
	}
	var err error
	if p.out, err = handover.Append(p.out, m); err != nil {
		p.s.log.Error("upgrade", zap.Error(err))
	}
	p.s.schedule()
}

// expire ends a link that serves nothing; the one in use is watched by tend.
func (p *peerConn) expire(t int64) {
	if p.s.handing.peer != p && t-p.heardAt > silentPeer {
		hangUp(p.conn)
	}
}

// flush writes what waits. Guards the memory against a process that reads nothing.
func (p *peerConn) flush() {
	if p.gone || len(p.out) == 0 {
		return
	}
	gather(p.conn, [][]byte{p.out})
	p.out = p.out[:0]
	if !p.gone && p.conn.OutboundBuffered() > peerOutMost {
		p.s.log.Warn("the other process has stalled")
		hangUp(p.conn)
	}
}

func (p *peerConn) unsent() int { return p.conn.OutboundBuffered() }

// Claim asks the owner for the start of a request.
func (p *peerConn) Claim(id uint32, class int, key string, arrived int64, sum uint64) {
	p.send(&handover.Message{Kind: handover.Claim, ID: id, Text: p.s.cfg.Classes[class], Key: key, Arrived: arrived, BodyHash: sum})
}

// Grant lets a request of the other process start.
func (p *peerConn) Grant(id uint32) { p.send(&handover.Message{Kind: handover.Grant, ID: id}) }

// Deny says what became of the key of one that may not.
func (p *peerConn) Deny(id uint32, outcome kiteslip.Outcome, result []byte) {
	p.send(&handover.Message{Kind: handover.Deny, ID: id, Outcome: uint8(outcome), Result: result})
}

// RunEnded reports the end of a run of which the other process keeps the record.
func (p *peerConn) RunEnded(class int, key string, arrived int64, outcome kiteslip.Outcome, result []byte) {
	p.send(&handover.Message{Kind: handover.RunEnded, Text: p.s.cfg.Classes[class], Key: key, Arrived: arrived,
		Outcome: uint8(outcome), Result: result})
}

// meet looks for a process whose place this one is to take, before anything
// is listened on. Where there is none, the keys are this one's own at once.
func (s *Server) meet() error {
	u := &s.handing
	u.began = now()
	if s.cfg.InheritedFD == 0 {
		return nil
	}
	var err error
	if u.place, err = handover.NewEndpoint(cmp.Or(s.cfg.HandoverDir, os.TempDir()), s.cfg.Name); err != nil {
		return err
	}
	s.core.ReleaseKeys(nil)
	if u.dialed = u.place.Dial(); u.dialed == nil {
		if u.place.TryLock() {
			u.doubt = s.doubtSince(u.place.LastOwnerAlive())
			s.core.AcquireKeys(u.doubt)
		}
		return nil
	}
	// Guards the start against an old process that is stuck: what it does is then in doubt, see guard.
	if u.web, err = handover.ReceiveListener(u.dialed, time.UnixMicro(u.began+greetWithin)); err != nil {
		s.log.Warn("upgrade", zap.Error(err))
		u.dialed.Close()
		u.dialed = nil
	}
	return nil
}

// begin starts the loop's work, and the talk with the old process if there is one.
func (s *Server) begin() {
	s.timer = time.AfterFunc(time.Hour, func() { s.onLoop(s.round) })
	u := &s.handing
	if u.dialed == nil && s.core.OwnsKeys() {
		s.admit() // there is no old process
	}
	if u.dialed != nil {
		u.dialing = true
		go func() {
			s.enrol(u.dialed, &peerConn{s: s})
			s.onLoop(func() { u.dialing = false })
		}()
	}
	s.round()
}

// enrol gives a connection between the two processes to the loop. It waits for
// the loop, so it runs beside it.
func (s *Server) enrol(c *net.UnixConn, p *peerConn) {
	if _, err := s.client.EnrollContext(c, p); err != nil {
		s.log.Warn("upgrade", zap.Error(err))
	}
}

// doubtSince is until when what another process started without our knowledge may still count.
func (s *Server) doubtSince(last time.Time) int64 {
	if last.IsZero() {
		return 0
	}
	return last.UnixMicro() + s.core.MaxWindow()
}

// own takes the keys over, if no other process has them.
func (s *Server) own(doubt int64) {
	if s.handing.place.TryLock() {
		s.ownKeys(doubt)
	}
	s.schedule()
}

// owned makes the keys this process's, with the store open if there is one.
func (s *Server) owned(doubt int64) {
	s.log.Info("the keys are owned here", zap.Int64("doubt_ms", max(0, (doubt-now())/1000)))
	s.core.AcquireKeys(doubt)
	if p := s.handing.peer; p != nil {
		s.core.SetPeer(p)
	}
	s.await()
	s.schedule()
}

// give hands the keys to the process that has come to take our place, also in a
// drain. It waits while this one is itself still being handed a place.
func (s *Server) give() {
	u := &s.handing
	p := u.waiting
	if p == nil || u.peer != nil || !s.core.OwnsKeys() {
		return
	}
	u.waiting, u.peer, u.handed = nil, p, true
	s.share()
	doubt := s.core.ReleaseKeys(p)
	if err := u.place.Unlock(); err != nil {
		s.log.Error("upgrade", zap.Error(err))
	}
	p.handing, p.closing = true, true
	s.leaveKeys(func() {
		p.table, p.doubt, p.closing = slices.Collect(s.core.Records), doubt, false
		s.log.Info("the keys are handed over", zap.Int("keys", len(p.table)))
		p.pump()
	})
}

// pump sends as much of the table as the other process keeps up with, so that
// a large one takes no memory of its own.
func (p *peerConn) pump() {
	if !p.handing || p.closing {
		return
	}
	for len(p.table) > 0 && len(p.out)+p.conn.OutboundBuffered() < tableAtOnce {
		r := &p.table[0]
		p.put(&handover.Message{Kind: handover.Record, Text: p.s.cfg.Classes[r.Class], Key: r.Key, Arrived: r.Arrived, WindowEnd: r.WindowEnd,
			BodyHash: r.BodyHash, Finished: r.Finished, Outcome: uint8(r.Outcome), Result: r.Result})
		p.table = p.table[1:]
	}
	if len(p.table) == 0 {
		p.handing, p.table = false, nil
		p.put(&handover.Message{Kind: handover.KeysTransferred, WindowEnd: p.doubt})
		for i := range p.later {
			p.put(&p.later[i])
		}
		p.later = nil
	}
}

// tend keeps an upgrade going; it is called once a round.
func (s *Server) tend(t int64) {
	u := &s.handing
	if u.place == nil {
		return
	}
	s.give()
	if u.peer != nil {
		u.peer.pump()
	}
	if u.peer != nil && t >= u.loadAt {
		u.loadAt = t + loadEvery
		runs, kb := s.core.EngineLoad()
		u.peer.send(&handover.Message{Kind: handover.Load, Runs: uint32(runs), MemoryKB: uint32(kb)})
	}
	if u.peer != nil && t-u.peer.heardAt > silentPeer {
		s.log.Warn("the other process has stalled")
		hangUp(u.peer.conn)
	}
	s.reserve()
	if !u.admitted && s.stopAt == 0 && (s.core.OwnsKeys() && s.link.Ready() || s.core.OwnsKeys() && t-u.began > engineWithin ||
		!s.core.OwnsKeys() && t-u.began > tableWithin) {
		s.admit()
	}
}

// guard keeps the ownership known to be alive, or takes it where the owner has
// died. It is called as often as the reports.
func (s *Server) guard(t int64) {
	u := &s.handing
	switch {
	case u.place == nil:
	case s.core.OwnsKeys():
		if err := u.place.Touch(); err != nil {
			s.log.Warn("upgrade", zap.Error(err))
		}
	case u.peer == nil && s.stopAt == 0:
		// The owner may have started runs until a moment ago.
		if s.keys.opening {
			return // the keys are ours once the store is open
		}
		if u.place.TryLock() {
			u.handed = false
			s.own(t + s.core.MaxWindow())
		} else if !u.handed && !u.dialing {
			u.dialing = true // the owner may hear us by now
			go s.redial()
		}
	}
}

// redial tries again to reach the process that owns the keys.
func (s *Server) redial() {
	if c := s.handing.place.Dial(); c != nil {
		web, err := handover.ReceiveListener(c, time.Now().Add(greetWithin*time.Microsecond))
		if web != nil {
			web.Close() // it comes too late to be used
		}
		if err == nil {
			s.enrol(c, &peerConn{s: s})
		} else {
			c.Close()
		}
	}
	s.onLoop(func() { s.handing.dialing = false })
}

// admit begins to take clients.
func (s *Server) admit() {
	u := &s.handing
	u.admitted = true
	s.await()
	s.serving = true
	for _, l := range s.listeners {
		s.accepting++
		go s.accept(l)
	}
	s.log.Info("serving", zap.String("name", s.cfg.Name), zap.String("listen", s.cfg.Listen),
		zap.String("uwsgi", s.cfg.UWSGI.Listen), zap.Bool("keys", s.core.OwnsKeys()))
}

// await makes this process the one that the next meets, once it takes clients
// and has keys to hand over; anew, where another has taken the name and died.
func (s *Server) await() {
	u := &s.handing
	if u.place == nil || !u.admitted || !s.core.OwnsKeys() {
		return
	}
	if u.listener != nil {
		u.listener.Close()
	}
	var err error
	if u.listener, err = u.place.Listen(); err != nil {
		s.log.Error("upgrade", zap.Error(err)) // this one serves, but cannot be relieved
		return
	}
	var web *net.TCPListener // to be passed on, beside the one that the platform holds
	if len(s.listeners) > 1 {
		web, _ = s.listeners[1].Listener.(*net.TCPListener)
	}
	go s.welcome(u.listener, web)
}

// welcome lets in processes that come to take our place.
func (s *Server) welcome(l *net.UnixListener, web *net.TCPListener) {
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		if err = handover.SendListener(c, web); err != nil {
			s.log.Warn("upgrade", zap.Error(err))
			c.Close()
			continue
		}
		s.enrol(c, &peerConn{s: s, newer: true})
	}
}

// replaced says whether another process has taken our place and lives.
func (s *Server) replaced() bool { return s.handing.handed && !s.core.OwnsKeys() }

// handOff takes in SIGTERM where another process has our place: it is no
// notice to drain. Callers are sent to new connections, which the other one
// takes, and what was read is answered.
func (s *Server) handOff(t int64) {
	longest := int64(0)
	for i := range s.cfg.Policy.Classes {
		longest = max(longest, s.cfg.Policy.Classes[i].Timeout)
	}
	s.leaving = leavingTimes(t, min(longest, leaveMost)+leaveRest, 0)
	s.closeAt = t
	s.log.Info("leaving to the other process", zap.Int64("stop_ms", (s.stopAt-t)/1000))
	s.core.HandedOver(s.stopAt)
	s.round()
}

// emptied says whether nothing is left here that the other process may want, or a caller.
func (s *Server) emptied() bool {
	if !s.handing.handed {
		return true
	}
	for h := range s.sessions {
		switch h.(type) {
		case *session, *webSession:
			return false
		}
	}
	if p := s.handing.peer; p != nil && (p.handing || len(p.out) > 0) {
		return false // the keys are still on their way
	}
	return s.core.KeyedRuns() == 0
}

// share leaves half of the memory and of the places to the other process; unshare takes them back.
func (s *Server) share() {
	debug.SetMemoryLimit(s.cfg.Limits.MaxHeapBytes() / memoryShared)
	s.reserve()
}

func (s *Server) unshare() {
	debug.SetMemoryLimit(s.cfg.Limits.MaxHeapBytes())
	for ; s.handing.reserved > 0; s.handing.reserved-- {
		s.leaveSlot()
	}
}

// reserve keeps places free for the other process, as soon as they are.
func (s *Server) reserve() {
	for s.handing.peer != nil && s.handing.reserved < cap(s.slots)/memoryShared {
		if !s.descriptors.TryAcquire(1) {
			return
		}
		select {
		case s.slots <- struct{}{}:
			s.handing.reserved++
		default:
			s.descriptors.Release(1)
			return
		}
	}
}

// passed returns the listener that the old process has passed on, if it is the
// one for this address. Guards callers against one that nobody accepts on.
func (s *Server) passed(address string) net.Listener {
	l := s.handing.web
	if l == nil {
		return nil
	}
	s.handing.web = nil
	want, err := net.ResolveTCPAddr("tcp", address)
	got, ok := l.Addr().(*net.TCPAddr)
	if err != nil || !ok || want.Port != got.Port || !want.IP.Equal(got.IP) && len(want.IP) > 0 && !want.IP.IsUnspecified() {
		l.Close()
		return nil
	}
	return l
}

// inherit returns the clients' listener that the platform holds.
func (s *Server) inherit() (net.Listener, error) {
	l, err := handover.Inherit(s.cfg.InheritedFD)
	if err != nil {
		return nil, err
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("descriptor %d is no TCP socket", s.cfg.InheritedFD)
	}
	return l, nil
}

// closeUpgrade frees what an upgrade needs, at the end.
func (s *Server) closeUpgrade() {
	u := &s.handing
	if u.listener != nil {
		u.listener.Close()
	}
	if u.place != nil {
		u.place.Close()
	}
}
