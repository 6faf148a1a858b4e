package server

import (
	"errors"
	"fmt"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"kiteslip"
	"kiteslip/internal/core"
	"kiteslip/internal/handover"
)

// peerConn is the connection to the peer, the other process of this server.
type peerConn struct {
	s             *Server
	conn          gnet.Conn
	successor     bool // the peer is the successor
	phase         handoverPhase
	out           []byte
	disconnected  bool
	lastContactAt int64
	storeClosing  bool               // in the phase sendingKeys: the key store is being closed
	table         []core.Record      // records still to be sent, before the message KeysTransferred
	inDoubtUntil  int64              // sent with that message
	afterTable    []handover.Message // messages to send after that one
}

func (p *peerConn) opened(c gnet.Conn) {
	p.conn, p.lastContactAt = c, now()
	if p.successor {
		p.phase = awaitingHello
	}
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
		if p.successor {
			p.s.watchKeyOwner(now()) // at once: a further successor may start in this moment
		}
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
	if !p.phase.accepts(m.Kind) || m.Outcome > uint8(kiteslip.NotStarted) {
		return fmt.Errorf("%w: kind %d with outcome %d in phase %d", errUnexpectedMessage, m.Kind, m.Outcome, p.phase)
	}
	switch m.Kind {
	case handover.Hello:
		return p.handleHello(m)
	case handover.Record:
		return p.handleRecord(m)
	case handover.KeysTransferred:
		p.s.acquireTransferredKeys(p, m.WindowEnd)
	case handover.Claim:
		p.handleClaim(m)
	case handover.RunEnded:
		if class, known := p.s.keyedClasses[m.Text]; known {
			p.s.core.PeerRunEnded(class, m.Key, m.Arrived, kiteslip.Outcome(m.Outcome), m.Result)
		}
	case handover.Grant:
		p.s.core.Granted(now(), m.ID)
	case handover.Deny:
		p.s.core.Denied(m.ID, kiteslip.Outcome(m.Outcome), m.Result)
	case handover.Load:
		if p.s.upgrade.peer == p {
			p.s.core.SetPeerLoad(int(m.Runs), float64(m.MemoryKB))
		}
	}
	p.s.scheduleIteration()
	return nil
}

// handleHello handles a successor's request for the keys.
func (p *peerConn) handleHello(m *handover.Message) error {
	u := &p.s.upgrade
	if m.Text != p.s.cfg.Name || u.waitingSuccessor != nil {
		return fmt.Errorf("%w: %q asks for the keys", errUnexpectedMessage, m.Text)
	}
	p.phase, u.waitingSuccessor = awaitingTurn, p
	p.s.handOverKeys()
	return nil
}

// handleRecord handles a key record of the predecessor.
func (p *peerConn) handleRecord(m *handover.Message) error {
	u := &p.s.upgrade
	if u.importedRecords >= maxImportedRecords {
		return fmt.Errorf("%w: more than %d key records", errUnexpectedMessage, maxImportedRecords)
	}
	u.importedRecords++
	if class, known := p.s.keyedClasses[m.Text]; known {
		p.s.core.ImportRecord(coreRecord(class, m))
	} else {
		u.unknownClassKeys = append(u.unknownClassKeys, *m)
	}
	return nil
}

// handleClaim handles a claim of the predecessor.
func (p *peerConn) handleClaim(m *handover.Message) {
	class, known := p.s.keyedClasses[m.Text]
	if !known || p.phase == withoutKeys {
		p.Deny(m.ID, kiteslip.Failed, nil)
		return
	}
	p.s.core.Claimed(m.ID, class, m.Key, m.Arrived, m.BodyHash)
}

// send queues a message for the end of the loop iteration, or behind a key table
// that is being sent.
func (p *peerConn) send(m *handover.Message) {
	if p.phase == sendingKeys {
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

// sendTable sends as much of the key table as the peer keeps up with, so that a
// large table is never buffered as a whole.
func (p *peerConn) sendTable() {
	if p.phase != sendingKeys || p.storeClosing || p.disconnected {
		return
	}
	for len(p.table) > 0 && len(p.out)+p.conn.OutboundBuffered() < maxTableBytesInFlight {
		r := &p.table[0]
		p.queueMessage(&handover.Message{Kind: handover.Record, Text: p.s.cfg.Classes[r.Class], Key: r.Key, Arrived: r.Arrived, WindowEnd: r.WindowEnd,
			BodyHash: r.BodyHash, Finished: r.Finished, Outcome: uint8(r.Outcome), Result: r.Result})
		p.table = p.table[1:]
	}
	if len(p.table) == 0 {
		p.phase, p.table = keysSent, nil
		p.queueMessage(&handover.Message{Kind: handover.KeysTransferred, WindowEnd: p.inDoubtUntil})
		for i := range p.afterTable {
			p.queueMessage(&p.afterTable[i])
		}
		p.afterTable = nil
	}
}
