package server

import (
	"net"
	"slices"
	"time"

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
	handshakeTimeoutUS      = 1_000_000             // for the predecessor to pass its listener to the new process
	predecessorDialInterval = 10 * time.Millisecond // between two dials of a predecessor that does not listen yet
	tableTimeoutUS          = 4_000_000             // from the start, for the predecessor's keys; callers are then accepted with or without them
	engineReadyTimeoutUS    = 4_500_000             // from the start, for the engine to answer; callers are then accepted without it
	peerTimeoutUS           = 5_000_000             // a peer that is silent for longer has stalled
	loadReportIntervalUS    = 20_000                // between two load messages, which also serve as heartbeats
	maxPlatformStopUS       = 3_000_000             // the platform kills after the longest timeout, of which it counts at most this,
	platformStopExtraUS     = 700_000               // ... plus this
	maxPeerUnsentBytes      = 8 << 20               // a peer with more unsent bytes has stalled
	maxImportedRecords      = 1 << 20               // key records accepted from the peer
	maxPeerConns            = 4                     // connections at the handover endpoint
	maxTableBytesInFlight   = 1 << 20               // bytes of the key table that may be unsent at once
	sharedResourcesDivisor  = 2                     // processes share the memory and the connection slots
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
	holdsLock        bool               // this process owns the keys or is about to
	dialingOwner     bool               // a dial of the key owner is in progress
	acceptingCallers bool               // callers' connections are accepted
	keysHandedOver   bool               // the keys were handed over to a successor
	nextLoadAt       int64
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

// inDoubtUntil returns the instant until which keys are in doubt, where another
// process was last alive at last.
func (s *Server) inDoubtUntil(last time.Time) int64 {
	if last.IsZero() {
		return 0
	}
	return last.UnixMicro() + s.core.MaxWindow()
}

// acquireTransferredKeys acquires the keys that the predecessor p has transferred.
// Where another process owns them by now, this one stays without.
func (s *Server) acquireTransferredKeys(p *peerConn, inDoubtUntil int64) {
	if !s.tryLock() {
		p.phase = withoutKeys
		s.log.Warn("upgrade: another process owns the keys that the predecessor has transferred")
		return
	}
	p.phase = acquiringKeys
	s.core.BeginAcquire(p)
	s.acquireKeys(inDoubtUntil)
}

// tryLock takes the lock that the key owner holds, if no other process has it, and
// listens for a successor from then on.
func (s *Server) tryLock() bool {
	u := &s.upgrade
	if !u.holdsLock && u.endpoint.TryLock() {
		u.holdsLock = true
		s.awaitSuccessor()
	}
	return u.holdsLock
}

// ownershipTaken completes the acquisition of the keys; the key store, if there is
// one, has been opened.
func (s *Server) ownershipTaken(inDoubtUntil int64) {
	s.log.Info("key ownership acquired", zap.Int64("doubt_ms", max(0, (inDoubtUntil-now())/1000)))
	s.core.AcquireKeys(inDoubtUntil)
	if p := s.upgrade.peer; p != nil {
		p.phase = owningKeys
		s.core.SetPeer(p)
	}
	s.scheduleIteration()
}

// ownershipFailed gives up the acquisition of the keys: the key store can't be opened.
func (s *Server) ownershipFailed() {
	s.core.AbandonAcquire()
	if p := s.upgrade.peer; p != nil && p.phase == acquiringKeys {
		p.phase = withoutKeys
	}
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
	u.holdsLock = false
	if err := u.endpoint.Unlock(); err != nil {
		s.log.Error("upgrade", zap.Error(err))
	}
	p.phase, p.storeClosing = sendingKeys, true
	s.releaseKeyStore(func() {
		p.table, p.inDoubtUntil, p.storeClosing = slices.Collect(s.core.Records), inDoubtUntil, false
		s.log.Info("keys handed over to the successor", zap.Int("keys", len(p.table)))
		p.sendTable()
	})
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
		if s.tryLock() {
			u.keysHandedOver = false
			s.acquireKeys(t + s.core.MaxWindow())
		} else if !u.keysHandedOver && !u.dialingOwner {
			u.dialingOwner = true // the owner may answer by now
			go s.redialOwner()
		}
	}
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
	if p := s.upgrade.peer; p != nil && (p.phase == sendingKeys || len(p.out) > 0) {
		return false // the key table is still being sent
	}
	return s.core.KeyedRuns() == 0
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
