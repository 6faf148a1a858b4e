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
