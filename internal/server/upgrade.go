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
	greetTimeoutUS         = 1_000_000 // for the old process to greet the new one
	tableTimeoutUS         = 4_000_000 // from the start, for its keys; clients are taken then, with or without
	engineReadyTimeoutUS   = 4_500_000 // from the start, for the engine to answer
	peerTimeoutUS          = 5_000_000 // a process that says nothing for longer has stalled
	loadReportIntervalUS   = 20_000    // between two words on the load, which also say that we live
	maxPlatformStopUS      = 3_000_000 // what the platform counts of the longest deadline before it kills
	platformStopExtraUS    = 700_000   // ... and adds
	maxPeerUnsentBytes     = 8 << 20   // a process that reads less than that has stalled
	maxImportedRecords     = 1 << 20   // keys that one process may hand over
	maxPeerConns           = 4         // connections at the meeting place
	maxTableBytesInFlight  = 1 << 20   // bytes of the table that are under way at once
	sharedResourcesDivisor = 2         // processes share the memory and the places
)

// upgradeState is what a server knows of the process before or after it.
type upgradeState struct {
	endpoint         *handover.Endpoint
	listener         *net.UnixListener
	predecessorConn  *net.UnixConn // to the old process, before the loop has it
	uwsgiListener    net.Listener  // of the uwsgi front, as passed on; nil = none
	startedAt        int64
	inDoubtUntil     int64              // at the start, for what an earlier process may have run
	peer             *peerConn          // in use; nil = there is none
	waitingSuccessor *peerConn          // has come to take our place and has to wait
	unknownClassKeys []handover.Message // keys of classes that only the old process has
	peerConns        int                // connections at the meeting place
	importedRecords  int                // keys that were handed over to us
	reservedSlots    int                // places left to the other process
	dialingOwner     bool               // the owner of the keys is sought
	acceptingCallers bool               // clients are taken
	keysHandedOver   bool               // our place was handed over
	nextLoadAt       int64
}

// peerConn is the connection between the two processes.
type peerConn struct {
	s             *Server
	conn          gnet.Conn
	successor     bool // it is to take our place
	out           []byte
	disconnected  bool
	lastContactAt int64
	sendingTable  bool               // the table is under way
	storeClosing  bool               // ... once the store of keys is closed
	table         []core.Record      // keys that are still to be handed over, and then YOURS
	inDoubtUntil  int64              // ... which says this
	afterTable    []handover.Message // what is said after that
}

func (p *peerConn) opened(c gnet.Conn) {
	p.conn, p.lastContactAt = c, now()
	if p.s.upgrade.peerConns++; p.s.upgrade.peerConns > maxPeerConns || !p.successor && p.s.upgrade.peer != nil {
		p.s.onLoop(func() {
			if !p.disconnected {
				closeNow(c)
			}
		})
		return
	}
	if !p.successor {
		p.s.upgrade.peer = p
		p.send(&handover.Message{Kind: handover.Hello, Text: p.s.cfg.Name})
		p.s.shareResources()
	}
}

func (p *peerConn) closed() {
	p.disconnected = true
	u := &p.s.upgrade
	u.peerConns--
	if u.waitingSuccessor == p {
		u.waitingSuccessor = nil
	}
	if u.peer == p {
		u.peer = nil
		p.s.log.Info("the other process is gone", zap.Bool("newer", p.successor))
		p.s.core.PeerLost()
		p.s.core.SetPeerLoad(0, 0)
		p.s.reclaimResources()
		p.s.scheduleIteration()
	}
}

// feed takes in messages. Guards against what no process of this server says: the link ends.
func (p *peerConn) feed(b []byte) (int, error) {
	p.lastContactAt = now()
	used := 0
	for {
		m, n, err := handover.Split(b[used:])
		if err == nil && n > 0 {
			used += n
			err = p.handleMessage(&m)
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

var errUnexpectedMessage = errors.New("a message that does not belong here")

func (p *peerConn) handleMessage(m *handover.Message) error {
	s, u := p.s, &p.s.upgrade
	if m.Kind == handover.Hello {
		if !p.successor || m.Text != s.cfg.Name || u.peer == p || u.waitingSuccessor != nil {
			return fmt.Errorf("%w: %q wants to take the place", errUnexpectedMessage, m.Text)
		}
		u.waitingSuccessor = p
		s.handOverKeys()
		return nil
	}
	if u.peer != p {
		return errUnexpectedMessage
	}
	class, known := -1, false
	switch m.Kind {
	case handover.Record, handover.Claim, handover.RunEnded:
		if class, known = s.keyedClasses[m.Text]; !known { // a class that only the other one has
			switch m.Kind {
			case handover.Claim:
				p.Deny(m.ID, kiteslip.Failed, nil)
			case handover.Record:
				if u.importedRecords++; u.importedRecords > maxImportedRecords {
					return errUnexpectedMessage
				}
				u.unknownClassKeys = append(u.unknownClassKeys, *m)
			}
			return nil
		}
	}
	if m.Outcome > uint8(kiteslip.NotStarted) {
		return errUnexpectedMessage
	}
	switch m.Kind {
	case handover.Record:
		if p.successor || s.core.OwnsKeys() || u.importedRecords >= maxImportedRecords {
			return errUnexpectedMessage
		}
		u.importedRecords++
		s.core.ImportRecord(coreRecord(class, m))
	case handover.KeysTransferred:
		if p.successor || s.core.OwnsKeys() {
			return errUnexpectedMessage
		}
		s.takeOwnership(m.WindowEnd)
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
	s.scheduleIteration()
	return nil
}

// restoreUnknownClassKeys enters the keys of classes that only the old process had, once a new
// configuration brings their class back; those whose time is up are forgotten.
func (s *Server) restoreUnknownClassKeys() {
	u, t := &s.upgrade, now()
	u.unknownClassKeys = slices.DeleteFunc(u.unknownClassKeys, func(m handover.Message) bool {
		class, known := s.keyedClasses[m.Text]
		if known && m.WindowEnd >= t {
			if u.peer == nil && !m.Finished { // its end was told to nobody
				m.Finished, m.Outcome = true, uint8(kiteslip.Failed)
			}
			s.core.ImportRecord(coreRecord(class, &m))
		}
		return known || m.WindowEnd < t
	})
}

// coreRecord is a key as the old process tells of it.
func coreRecord(class int, m *handover.Message) core.Record {
	return core.Record{Class: class, Key: m.Key, Arrived: m.Arrived, WindowEnd: m.WindowEnd, BodyHash: m.BodyHash, Finished: m.Finished,
		Outcome: kiteslip.Outcome(m.Outcome), Result: m.Result}
}

// send queues a message for the end of the round, behind a table that is under way.
func (p *peerConn) send(m *handover.Message) {
	if p.sendingTable {
		p.afterTable = append(p.afterTable, *m)
		return
	}
	p.queueMessage(m)
}

func (p *peerConn) queueMessage(m *handover.Message) {
	if len(p.out) == 0 {
		p.s.unflushed = append(p.s.unflushed, p)
	}
	var err error
	if p.out, err = handover.Append(p.out, m); err != nil {
		p.s.log.Error("upgrade", zap.Error(err))
	}
	p.s.scheduleIteration()
}

// expire ends a link that serves nothing; the one in use is watched by tend.
func (p *peerConn) expire(t int64) {
	if p.s.upgrade.peer != p && t-p.lastContactAt > peerTimeoutUS {
		closeNow(p.conn)
	}
}

// flush writes what waits. Guards the memory against a process that reads nothing.
func (p *peerConn) flush() {
	if p.disconnected || len(p.out) == 0 {
		return
	}
	writevAll(p.conn, [][]byte{p.out})
	p.out = p.out[:0]
	if !p.disconnected && p.conn.OutboundBuffered() > maxPeerUnsentBytes {
		p.s.log.Warn("the other process has stalled")
		closeNow(p.conn)
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

// findPredecessor looks for a process whose place this one is to take, before anything
// is listened on. Where there is none, the keys are this one's own at once.
func (s *Server) findPredecessor() error {
	u := &s.upgrade
	u.startedAt = now()
	if s.cfg.InheritedFD == 0 {
		return nil
	}
	var err error
	if u.endpoint, err = handover.NewEndpoint(cmp.Or(s.cfg.HandoverDir, os.TempDir()), s.cfg.Name); err != nil {
		return err
	}
	s.core.ReleaseKeys(nil)
	if u.predecessorConn = u.endpoint.Dial(); u.predecessorConn == nil {
		if u.endpoint.TryLock() {
			u.inDoubtUntil = s.inDoubtUntil(u.endpoint.LastOwnerAlive())
			s.core.AcquireKeys(u.inDoubtUntil)
		}
		return nil
	}
	// Guards the start against an old process that is stuck: what it does is then in doubt, see guard.
	if u.uwsgiListener, err = handover.ReceiveListener(u.predecessorConn, time.UnixMicro(u.startedAt+greetTimeoutUS)); err != nil {
		s.log.Warn("upgrade", zap.Error(err))
		u.predecessorConn.Close()
		u.predecessorConn = nil
	}
	return nil
}

// startLoop starts the loop's work, and the talk with the old process if there is one.
func (s *Server) startLoop() {
	s.timer = time.AfterFunc(time.Hour, func() { s.onLoop(s.runIteration) })
	u := &s.upgrade
	if u.predecessorConn == nil && s.core.OwnsKeys() {
		s.startServing() // there is no old process
	}
	if u.predecessorConn != nil {
		u.dialingOwner = true
		go func() {
			s.enrolPeer(u.predecessorConn, &peerConn{s: s})
			s.onLoop(func() { u.dialingOwner = false })
		}()
	}
	s.runIteration()
}

// enrolPeer gives a connection between the two processes to the loop. It waits for
// the loop, so it runs beside it.
func (s *Server) enrolPeer(c *net.UnixConn, p *peerConn) {
	if _, err := s.client.EnrollContext(c, p); err != nil {
		s.log.Warn("upgrade", zap.Error(err))
	}
}

// inDoubtUntil is until when what another process started without our knowledge may still count.
func (s *Server) inDoubtUntil(last time.Time) int64 {
	if last.IsZero() {
		return 0
	}
	return last.UnixMicro() + s.core.MaxWindow()
}

// takeOwnership takes the keys over, if no other process has them.
func (s *Server) takeOwnership(doubt int64) {
	if s.upgrade.endpoint.TryLock() {
		s.acquireKeys(doubt)
	}
	s.scheduleIteration()
}

// ownershipTaken makes the keys this process's, with the store open if there is one.
func (s *Server) ownershipTaken(doubt int64) {
	s.log.Info("the keys are owned here", zap.Int64("doubt_ms", max(0, (doubt-now())/1000)))
	s.core.AcquireKeys(doubt)
	if p := s.upgrade.peer; p != nil {
		s.core.SetPeer(p)
	}
	s.awaitSuccessor()
	s.scheduleIteration()
}

// handOverKeys hands the keys to the process that has come to take our place, also in a
// drain. It waits while this one is itself still being handed a place.
func (s *Server) handOverKeys() {
	u := &s.upgrade
	p := u.waitingSuccessor
	if p == nil || u.peer != nil || !s.core.OwnsKeys() {
		return
	}
	u.waitingSuccessor, u.peer, u.keysHandedOver = nil, p, true
	s.shareResources()
	doubt := s.core.ReleaseKeys(p)
	if err := u.endpoint.Unlock(); err != nil {
		s.log.Error("upgrade", zap.Error(err))
	}
	p.sendingTable, p.storeClosing = true, true
	s.releaseKeyStore(func() {
		p.table, p.inDoubtUntil, p.storeClosing = slices.Collect(s.core.Records), doubt, false
		s.log.Info("the keys are handed over", zap.Int("keys", len(p.table)))
		p.sendTable()
	})
}

// sendTable sends as much of the table as the other process keeps up with, so that
// a large one takes no memory of its own.
func (p *peerConn) sendTable() {
	if !p.sendingTable || p.storeClosing {
		return
	}
	for len(p.table) > 0 && len(p.out)+p.conn.OutboundBuffered() < maxTableBytesInFlight {
		r := &p.table[0]
		p.queueMessage(&handover.Message{Kind: handover.Record, Text: p.s.cfg.Classes[r.Class], Key: r.Key, Arrived: r.Arrived, WindowEnd: r.WindowEnd,
			BodyHash: r.BodyHash, Finished: r.Finished, Outcome: uint8(r.Outcome), Result: r.Result})
		p.table = p.table[1:]
	}
	if len(p.table) == 0 {
		p.sendingTable, p.table = false, nil
		p.queueMessage(&handover.Message{Kind: handover.KeysTransferred, WindowEnd: p.inDoubtUntil})
		for i := range p.afterTable {
			p.queueMessage(&p.afterTable[i])
		}
		p.afterTable = nil
	}
}

// advanceUpgrade keeps an upgrade going; it is called once a round.
func (s *Server) advanceUpgrade(t int64) {
	u := &s.upgrade
	if u.endpoint == nil {
		return
	}
	s.handOverKeys()
	if u.peer != nil {
		u.peer.sendTable()
	}
	if u.peer != nil && t >= u.nextLoadAt {
		u.nextLoadAt = t + loadReportIntervalUS
		runs, kb := s.core.EngineLoad()
		u.peer.send(&handover.Message{Kind: handover.Load, Runs: uint32(runs), MemoryKB: uint32(kb)})
	}
	if u.peer != nil && t-u.peer.lastContactAt > peerTimeoutUS {
		s.log.Warn("the other process has stalled")
		closeNow(u.peer.conn)
	}
	s.reserveSlots()
	if !u.acceptingCallers && s.killAt == 0 && (s.core.OwnsKeys() && s.link.Ready() || s.core.OwnsKeys() && t-u.startedAt > engineReadyTimeoutUS ||
		!s.core.OwnsKeys() && t-u.startedAt > tableTimeoutUS) {
		s.startServing()
	}
}

// watchKeyOwner keeps the ownership known to be alive, or takes it where the owner has
// died. It is called as often as the reports.
func (s *Server) watchKeyOwner(t int64) {
	u := &s.upgrade
	switch {
	case u.endpoint == nil:
	case s.core.OwnsKeys():
		if err := u.endpoint.Touch(); err != nil {
			s.log.Warn("upgrade", zap.Error(err))
		}
	case u.peer == nil && s.killAt == 0:
		// The owner may have started runs until a moment ago.
		if s.keys.opening {
			return // the keys are ours once the store is open
		}
		if u.endpoint.TryLock() {
			u.keysHandedOver = false
			s.takeOwnership(t + s.core.MaxWindow())
		} else if !u.keysHandedOver && !u.dialingOwner {
			u.dialingOwner = true // the owner may hear us by now
			go s.redialOwner()
		}
	}
}

// redialOwner tries again to reach the process that owns the keys.
func (s *Server) redialOwner() {
	if c := s.upgrade.endpoint.Dial(); c != nil {
		web, err := handover.ReceiveListener(c, time.Now().Add(greetTimeoutUS*time.Microsecond))
		if web != nil {
			web.Close() // it comes too late to be used
		}
		if err == nil {
			s.enrolPeer(c, &peerConn{s: s})
		} else {
			c.Close()
		}
	}
	s.onLoop(func() { s.upgrade.dialingOwner = false })
}

// startServing begins to take clients.
func (s *Server) startServing() {
	u := &s.upgrade
	u.acceptingCallers = true
	s.awaitSuccessor()
	s.serving = true
	for _, l := range s.listeners {
		s.activeListeners++
		go s.acceptLoop(l)
	}
	s.log.Info("serving", zap.String("name", s.cfg.Name), zap.String("listen", s.cfg.Listen),
		zap.String("uwsgi", s.cfg.UWSGI.Listen), zap.Bool("keys", s.core.OwnsKeys()))
}

// awaitSuccessor makes this process the one that the next meets, once it takes clients
// and has keys to hand over; anew, where another has taken the name and died.
func (s *Server) awaitSuccessor() {
	u := &s.upgrade
	if u.endpoint == nil || !u.acceptingCallers || !s.core.OwnsKeys() {
		return
	}
	if u.listener != nil {
		u.listener.Close()
	}
	var err error
	if u.listener, err = u.endpoint.Listen(); err != nil {
		s.log.Error("upgrade", zap.Error(err)) // this one serves, but cannot be relieved
		return
	}
	var web *net.TCPListener // to be passed on, beside the one that the platform holds
	if len(s.listeners) > 1 {
		web, _ = s.listeners[1].Listener.(*net.TCPListener)
	}
	go s.acceptSuccessors(u.listener, web)
}

// acceptSuccessors lets in processes that come to take our place.
func (s *Server) acceptSuccessors(l *net.UnixListener, web *net.TCPListener) {
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
		s.enrolPeer(c, &peerConn{s: s, successor: true})
	}
}

// superseded says whether another process has taken our place and lives.
func (s *Server) superseded() bool { return s.upgrade.keysHandedOver && !s.core.OwnsKeys() }

// drainSuperseded takes in SIGTERM where another process has our place: it is no
// notice to drain. Callers are sent to new connections, which the other one
// takes, and what was read is answered.
func (s *Server) drainSuperseded(t int64) {
	longest := int64(0)
	for i := range s.cfg.Policy.Classes {
		longest = max(longest, s.cfg.Policy.Classes[i].Timeout)
	}
	s.shutdownState = shutdownTimes(t, min(longest, maxPlatformStopUS)+platformStopExtraUS, 0)
	s.closeListenersAt = t
	s.log.Info("leaving to the other process", zap.Int64("stop_ms", (s.killAt-t)/1000))
	s.core.HandedOver(s.killAt)
	s.runIteration()
}

// handoverComplete says whether nothing is left here that the other process may want, or a caller.
func (s *Server) handoverComplete() bool {
	if !s.upgrade.keysHandedOver {
		return true
	}
	for h := range s.conns {
		switch h.(type) {
		case *frameConn, *uwsgiConn:
			return false
		}
	}
	if p := s.upgrade.peer; p != nil && (p.sendingTable || len(p.out) > 0) {
		return false // the keys are still on their way
	}
	return s.core.KeyedRuns() == 0
}

// shareResources leaves half of the memory and of the places to the other process; unshare takes them back.
func (s *Server) shareResources() {
	debug.SetMemoryLimit(s.cfg.Limits.MaxHeapBytes() / sharedResourcesDivisor)
	s.reserveSlots()
}

func (s *Server) reclaimResources() {
	debug.SetMemoryLimit(s.cfg.Limits.MaxHeapBytes())
	for ; s.upgrade.reservedSlots > 0; s.upgrade.reservedSlots-- {
		s.releaseCallerSlot()
	}
}

// reserveSlots keeps places free for the other process, as soon as they are.
func (s *Server) reserveSlots() {
	for s.upgrade.peer != nil && s.upgrade.reservedSlots < cap(s.slots)/sharedResourcesDivisor {
		if !s.descriptors.TryAcquire(1) {
			return
		}
		select {
		case s.slots <- struct{}{}:
			s.upgrade.reservedSlots++
		default:
			s.descriptors.Release(1)
			return
		}
	}
}

// passedListener returns the listener that the old process has passed on, if it is the
// one for this address. Guards callers against one that nobody accepts on.
func (s *Server) passedListener(address string) net.Listener {
	l := s.upgrade.uwsgiListener
	if l == nil {
		return nil
	}
	s.upgrade.uwsgiListener = nil
	want, err := net.ResolveTCPAddr("tcp", address)
	got, ok := l.Addr().(*net.TCPAddr)
	if err != nil || !ok || want.Port != got.Port || !want.IP.Equal(got.IP) && len(want.IP) > 0 && !want.IP.IsUnspecified() {
		l.Close()
		return nil
	}
	return l
}

// inheritedListener returns the clients' listener that the platform holds.
func (s *Server) inheritedListener() (net.Listener, error) {
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
	u := &s.upgrade
	if u.listener != nil {
		u.listener.Close()
	}
	if u.endpoint != nil {
		u.endpoint.Close()
	}
}
