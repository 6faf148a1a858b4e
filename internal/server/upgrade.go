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

// In an upgrade the successor process of this server starts while this one
// serves, and the two act as one server until this one ends. docs/design.md says
// which of them may do what at which time; this file connects the two processes
// to the loop.
const (
	handshakeTimeoutUS     = 1_000_000 // for the predecessor to pass its listener to the new process
	tableTimeoutUS         = 4_000_000 // from the start, for the predecessor's keys; callers are then accepted with or without them
	engineReadyTimeoutUS   = 4_500_000 // from the start, for the engine to answer; callers are then accepted without it
	peerTimeoutUS          = 5_000_000 // a peer that is silent for longer has stalled
	loadReportIntervalUS   = 20_000    // between two load messages, which also serve as heartbeats
	maxPlatformStopUS      = 3_000_000 // the platform kills after the longest timeout, of which it counts at most this,
	platformStopExtraUS    = 700_000   // ... plus this
	maxPeerUnsentBytes     = 8 << 20   // a peer with more unsent bytes has stalled
	maxImportedRecords     = 1 << 20   // key records accepted from the peer
	maxPeerConns           = 4         // connections at the handover endpoint
	maxTableBytesInFlight  = 1 << 20   // bytes of the key table that may be unsent at once
	sharedResourcesDivisor = 2         // processes share the memory and the connection slots
)

// upgradeState is what a server knows of its predecessor and successor.
type upgradeState struct {
	endpoint         *handover.Endpoint
	listener         *net.UnixListener
	predecessorConn  *net.UnixConn // to the predecessor, before the loop has it
	uwsgiListener    net.Listener  // listener of the uwsgi front end passed by the predecessor; nil = none
	startedAt        int64
	inDoubtUntil     int64              // until when keys are in doubt, as known at the start; 0 = none are
	peer             *peerConn          // in use; nil = none
	waitingSuccessor *peerConn          // has connected and waits for the keys
	unknownClassKeys []handover.Message // keys of classes that are not configured here
	peerConns        int                // connections of peers at the handover endpoint
	importedRecords  int                // key records received from the peer
	reservedSlots    int                // connection slots left to the peer
	dialingOwner     bool               // a dial of the key owner is in progress
	acceptingCallers bool               // callers' connections are accepted
	keysHandedOver   bool               // the keys were handed over to a successor
	nextLoadAt       int64
}

// peerConn is the connection to the peer, the other process of this server.
type peerConn struct {
	s             *Server
	conn          gnet.Conn
	successor     bool // the peer is the successor
	out           []byte
	disconnected  bool
	lastContactAt int64
	sendingTable  bool               // the key table is being sent
	storeClosing  bool               // ... once the key store is closed
	table         []core.Record      // records still to be sent, before the message KeysTransferred
	inDoubtUntil  int64              // sent with that message
	afterTable    []handover.Message // messages to send after that one
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
		p.s.log.Info("peer disconnected", zap.Bool("newer", p.successor))
		p.s.core.PeerLost()
		p.s.core.SetPeerLoad(0, 0)
		p.s.reclaimResources()
		p.s.scheduleIteration()
	}
}

// feed handles the peer's messages. One that no process of this server would send
// ends the connection.
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

var errUnexpectedMessage = errors.New("unexpected message from the peer")

// handleMessage handles one message; an error ends the connection.
func (p *peerConn) handleMessage(m *handover.Message) error {
	s, u := p.s, &p.s.upgrade
	if m.Kind == handover.Hello {
		if !p.successor || m.Text != s.cfg.Name || u.peer == p || u.waitingSuccessor != nil {
			return fmt.Errorf("%w: %q asks for the keys", errUnexpectedMessage, m.Text)
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
		if class, known = s.keyedClasses[m.Text]; !known { // a class that only the peer has
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

// restoreUnknownClassKeys imports the keys of classes that were not configured here,
// once a new configuration has their class; those whose window has ended are dropped.
func (s *Server) restoreUnknownClassKeys() {
	u, t := &s.upgrade, now()
	u.unknownClassKeys = slices.DeleteFunc(u.unknownClassKeys, func(m handover.Message) bool {
		class, known := s.keyedClasses[m.Text]
		if known && m.WindowEnd >= t {
			if u.peer == nil && !m.Finished { // nobody received the end of its run
				m.Finished, m.Outcome = true, uint8(kiteslip.Failed)
			}
			s.core.ImportRecord(coreRecord(class, &m))
		}
		return known || m.WindowEnd < t
	})
}

// coreRecord converts a key record of the predecessor or the store.
func coreRecord(class int, m *handover.Message) core.Record {
	return core.Record{Class: class, Key: m.Key, Arrived: m.Arrived, WindowEnd: m.WindowEnd, BodyHash: m.BodyHash, Finished: m.Finished,
		Outcome: kiteslip.Outcome(m.Outcome), Result: m.Result}
}

// send queues a message for the end of the loop iteration, or behind a key table
// that is being sent.
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

// expire closes a connection that is not in use and silent; advanceUpgrade watches
// the one in use.
func (p *peerConn) expire(t int64) {
	if p.s.upgrade.peer != p && t-p.lastContactAt > peerTimeoutUS {
		closeNow(p.conn)
	}
}

// flush writes the queued messages. A peer that does not read is disconnected, to
// bound the memory of unsent ones.
func (p *peerConn) flush() {
	if p.disconnected || len(p.out) == 0 {
		return
	}
	writevAll(p.conn, [][]byte{p.out})
	p.out = p.out[:0]
	if !p.disconnected && p.conn.OutboundBuffered() > maxPeerUnsentBytes {
		p.s.log.Warn("peer has stalled; closing its connection")
		closeNow(p.conn)
	}
}

func (p *peerConn) unsent() int { return p.conn.OutboundBuffered() }

// Claim asks the key owner for the start of a run.
func (p *peerConn) Claim(id uint32, class int, key string, arrived int64, sum uint64) {
	p.send(&handover.Message{Kind: handover.Claim, ID: id, Text: p.s.cfg.Classes[class], Key: key, Arrived: arrived, BodyHash: sum})
}

// Grant lets the peer start a run.
func (p *peerConn) Grant(id uint32) { p.send(&handover.Message{Kind: handover.Grant, ID: id}) }

// Deny refuses the peer the start of a run and sends the outcome of its key.
func (p *peerConn) Deny(id uint32, outcome kiteslip.Outcome, result []byte) {
	p.send(&handover.Message{Kind: handover.Deny, ID: id, Outcome: uint8(outcome), Result: result})
}

// RunEnded reports the end of a run to the peer, which keeps its record.
func (p *peerConn) RunEnded(class int, key string, arrived int64, outcome kiteslip.Outcome, result []byte) {
	p.send(&handover.Message{Kind: handover.RunEnded, Text: p.s.cfg.Classes[class], Key: key, Arrived: arrived,
		Outcome: uint8(outcome), Result: result})
}

// findPredecessor looks for a process that this one is to succeed, before any
// listener is opened. Where there is none, this process owns the keys at once.
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
	// The start goes on without a predecessor that is stuck; what that one runs is then in doubt, see watchKeyOwner.
	if u.uwsgiListener, err = handover.ReceiveListener(u.predecessorConn, time.UnixMicro(u.startedAt+handshakeTimeoutUS)); err != nil {
		s.log.Warn("upgrade", zap.Error(err))
		u.predecessorConn.Close()
		u.predecessorConn = nil
	}
	return nil
}

// startLoop starts the loop iterations, and enrols the connection to the predecessor
// if there is one.
func (s *Server) startLoop() {
	s.timer = time.AfterFunc(time.Hour, func() { s.onLoop(s.runIteration) })
	u := &s.upgrade
	if u.predecessorConn == nil && s.core.OwnsKeys() {
		s.startServing() // there is no predecessor
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

// enrolPeer hands the connection to a peer to the loop. It waits for the loop, so it
// must not be called there.
func (s *Server) enrolPeer(c *net.UnixConn, p *peerConn) {
	if _, err := s.client.EnrollContext(c, p); err != nil {
		s.log.Warn("upgrade", zap.Error(err))
	}
}

// inDoubtUntil returns the instant until which keys are in doubt, where another
// process was last alive at last.
func (s *Server) inDoubtUntil(last time.Time) int64 {
	if last.IsZero() {
		return 0
	}
	return last.UnixMicro() + s.core.MaxWindow()
}

// takeOwnership acquires the keys, unless another process owns them.
func (s *Server) takeOwnership(inDoubtUntil int64) {
	if s.upgrade.endpoint.TryLock() {
		s.acquireKeys(inDoubtUntil)
	}
	s.scheduleIteration()
}

// ownershipTaken completes the acquisition of the keys; the key store, if there is
// one, has been opened.
func (s *Server) ownershipTaken(inDoubtUntil int64) {
	s.log.Info("key ownership acquired", zap.Int64("doubt_ms", max(0, (inDoubtUntil-now())/1000)))
	s.core.AcquireKeys(inDoubtUntil)
	if p := s.upgrade.peer; p != nil {
		s.core.SetPeer(p)
	}
	s.awaitSuccessor()
	s.scheduleIteration()
}

// handOverKeys hands the keys to a successor that waits for them, also during a
// drain, once this process owns them and has no other peer.
func (s *Server) handOverKeys() {
	u := &s.upgrade
	p := u.waitingSuccessor
	if p == nil || u.peer != nil || !s.core.OwnsKeys() {
		return
	}
	u.waitingSuccessor, u.peer, u.keysHandedOver = nil, p, true
	s.shareResources()
	inDoubtUntil := s.core.ReleaseKeys(p)
	if err := u.endpoint.Unlock(); err != nil {
		s.log.Error("upgrade", zap.Error(err))
	}
	p.sendingTable, p.storeClosing = true, true
	s.releaseKeyStore(func() {
		p.table, p.inDoubtUntil, p.storeClosing = slices.Collect(s.core.Records), inDoubtUntil, false
		s.log.Info("keys handed over to the successor", zap.Int("keys", len(p.table)))
		p.sendTable()
	})
}

// sendTable sends as much of the key table as the peer keeps up with, so that a
// large table is never buffered as a whole.
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

// advanceUpgrade does the periodic work of an upgrade; it is called once per loop
// iteration.
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
		s.log.Warn("peer has stalled; closing its connection")
		closeNow(u.peer.conn)
	}
	s.reserveSlots()
	if !u.acceptingCallers && s.killAt == 0 && (s.core.OwnsKeys() && s.link.Ready() || s.core.OwnsKeys() && t-u.startedAt > engineReadyTimeoutUS ||
		!s.core.OwnsKeys() && t-u.startedAt > tableTimeoutUS) {
		s.startServing()
	}
}

// watchKeyOwner shows that this process is alive where it owns the keys, or
// acquires them where the owner has died. It is called as often as the reports.
func (s *Server) watchKeyOwner(t int64) {
	u := &s.upgrade
	switch {
	case u.endpoint == nil:
	case s.core.OwnsKeys():
		if err := u.endpoint.Touch(); err != nil {
			s.log.Warn("upgrade", zap.Error(err))
		}
	case u.peer == nil && s.killAt == 0:
		// The owner may have started runs until a moment ago, so keys are in doubt for the longest window from now.
		if s.keys.opening {
			return // the keys are acquired once the store is open
		}
		if u.endpoint.TryLock() {
			u.keysHandedOver = false
			s.takeOwnership(t + s.core.MaxWindow())
		} else if !u.keysHandedOver && !u.dialingOwner {
			u.dialingOwner = true // the owner may answer by now
			go s.redialOwner()
		}
	}
}

// redialOwner dials the key owner again.
func (s *Server) redialOwner() {
	if c := s.upgrade.endpoint.Dial(); c != nil {
		uwsgiListener, err := handover.ReceiveListener(c, time.Now().Add(handshakeTimeoutUS*time.Microsecond))
		if uwsgiListener != nil {
			uwsgiListener.Close() // this process has opened its listeners already
		}
		if err == nil {
			s.enrolPeer(c, &peerConn{s: s})
		} else {
			c.Close()
		}
	}
	s.onLoop(func() { s.upgrade.dialingOwner = false })
}

// startServing begins to accept callers' connections.
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

// awaitSuccessor listens on the handover endpoint, once this process accepts callers
// and owns the keys. It listens again where another process has taken the endpoint
// over and died.
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
		s.log.Error("upgrade", zap.Error(err)) // this process serves, but no successor can connect
		return
	}
	var uwsgiListener *net.TCPListener // to be passed on; the callers' listener is held by the platform
	if len(s.listeners) > 1 {
		uwsgiListener, _ = s.listeners[1].Listener.(*net.TCPListener)
	}
	go s.acceptSuccessors(u.listener, uwsgiListener)
}

// acceptSuccessors accepts the connections of successors and passes them the
// listener of the uwsgi front end.
func (s *Server) acceptSuccessors(l *net.UnixListener, uwsgiListener *net.TCPListener) {
	for {
		c, err := l.AcceptUnix()
		if err != nil {
			return
		}
		if err = handover.SendListener(c, uwsgiListener); err != nil {
			s.log.Warn("upgrade", zap.Error(err))
			c.Close()
			continue
		}
		s.enrolPeer(c, &peerConn{s: s, successor: true})
	}
}

// superseded reports whether a successor has taken over the keys and has not died.
func (s *Server) superseded() bool { return s.upgrade.keysHandedOver && !s.core.OwnsKeys() }

// drainSuperseded handles SIGTERM in a superseded process. The server as a whole
// does not drain: GOAWAY makes callers open new connections, which the successor
// accepts, and the requests that were read are answered.
func (s *Server) drainSuperseded(t int64) {
	longest := int64(0)
	for i := range s.cfg.Policy.Classes {
		longest = max(longest, s.cfg.Policy.Classes[i].Timeout)
	}
	s.shutdownState = shutdownTimes(t, min(longest, maxPlatformStopUS)+platformStopExtraUS, 0)
	s.closeListenersAt = t
	s.log.Info("draining after the handover to the successor", zap.Int64("stop_ms", (s.killAt-t)/1000))
	s.core.HandedOver(s.killAt)
	s.runIteration()
}

// handoverComplete reports whether neither the successor nor a caller needs anything
// more of this process.
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
		return false // the key table is still being sent
	}
	return s.core.KeyedRuns() == 0
}

// shareResources leaves half of the memory and of the connection slots to the peer;
// reclaimResources undoes it.
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

// reserveSlots takes connection slots for the peer as they become free.
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

// passedListener returns the listener that the predecessor has passed, if it is for
// this address. Any other is closed, so that no callers wait on a listener on which
// nobody accepts.
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

// inheritedListener returns the callers' listener that the platform has passed.
func (s *Server) inheritedListener() (net.Listener, error) {
	l, err := handover.Inherit(s.cfg.InheritedFD)
	if err != nil {
		return nil, err
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("descriptor %d is not a TCP socket", s.cfg.InheritedFD)
	}
	return l, nil
}

// closeUpgrade closes the handover endpoint, at the end of the process.
func (s *Server) closeUpgrade() {
	u := &s.upgrade
	if u.listener != nil {
		u.listener.Close()
	}
	if u.endpoint != nil {
		u.endpoint.Close()
	}
}
