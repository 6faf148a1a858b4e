package server

import (
	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"kiteslip/internal/metrics"
	"kiteslip/internal/ops"
)

const (
	maxAdminConns         = 32         // connections of the admin endpoint; callers' connections have their own limit
	adminRequestTimeoutUS = 10_000_000 // for the command line to arrive
	adminLingerUS         = 1_000_000  // for the operator to close after the answer
)

// adminConn is one connection of the admin endpoint: a command line, an answer, close.
type adminConn struct {
	s            *Server
	conn         gnet.Conn
	openedAt     int64
	deadline     int64 // when the server closes it
	answered     bool
	writeShut    bool // the write side is shut
	disconnected bool
}

func newAdminConn(s *Server) *adminConn { return &adminConn{s: s} }

// opened starts the connection's timeout. Where it takes the last slot, the
// connection open for longest is closed, answered ones first, so that idle
// connections never keep an operator out.
func (d *adminConn) opened(c gnet.Conn) {
	d.conn = c
	d.openedAt = now()
	d.deadline = d.openedAt + adminRequestTimeoutUS
	if len(d.s.adminSlots) < cap(d.s.adminSlots) {
		return
	}
	var oldest *adminConn
	for h := range d.s.conns {
		if o, ok := h.(*adminConn); ok && o != d && (oldest == nil || o.answered && !oldest.answered ||
			o.answered == oldest.answered && o.openedAt < oldest.openedAt) {
			oldest = o
		}
	}
	if oldest != nil {
		closeNow(oldest.conn)
	}
}

func (d *adminConn) closed() {
	d.disconnected = true
	<-d.s.adminSlots
}

// feed answers a whole line at once, before the loop iteration. Closing with unread
// input would make the system reset the connection, and the answer could be
// lost, so only the write side is shut, and further input is discarded.
func (d *adminConn) feed(b []byte) (int, error) {
	if d.answered {
		return len(b), nil
	}
	line, whole, err := ops.Split(b)
	if err == nil && !whole {
		return 0, nil
	}
	var answer []byte
	if err != nil {
		answer = ops.ErrorReply(err.Error())
	} else {
		answer = d.s.runAdminCommand(line)
	}
	d.answered, d.deadline = true, now()+adminLingerUS
	if _, err := d.conn.Write(answer); err == nil {
		d.shutWhenDone()
	}
	return len(b), nil
}

// shutWhenDone shuts the write side once the answer has gone out.
func (d *adminConn) shutWhenDone() {
	if d.answered && !d.writeShut && !d.disconnected && d.conn.OutboundBuffered() == 0 {
		d.writeShut = true
		if err := unix.Shutdown(d.conn.Fd(), unix.SHUT_WR); err != nil {
			closeNow(d.conn)
		}
	}
}

func (d *adminConn) flush()      {}
func (d *adminConn) unsent() int { return 0 }

// expire closes the connection at its deadline.
func (d *adminConn) expire(t int64) {
	if t >= d.deadline {
		closeNow(d.conn)
		return
	}
	d.shutWhenDone()
}

// runAdminCommand carries out one admin command and returns the reply.
func (s *Server) runAdminCommand(line []byte) []byte {
	command, err := ops.Parse(line)
	if err != nil {
		return ops.ErrorReply(err.Error())
	}
	switch command {
	case ops.ShowStat:
		f := s.metrics()
		return ops.StatReply(f.Append(nil))
	case ops.ShowVersion:
		return s.showVersion()
	case ops.Drain:
		s.setWithdrawn(true)
		return ops.DoneReply("drain")
	case ops.Resume:
		if s.killAt != 0 {
			return ops.ErrorReply("stopping: nothing takes back the notice to leave")
		}
		s.setWithdrawn(false)
		return ops.DoneReply("resume")
	}
	switch {
	case s.killAt != 0:
		return ops.ErrorReply("stopping")
	case s.core.Withdrawn():
		return ops.ErrorReply("draining")
	case !s.serving:
		return ops.ErrorReply("starting")
	}
	return ops.DoneReply("ready")
}

// setWithdrawn takes the server off the registry's list, or puts it back. Requests
// that run or still arrive are not affected.
func (s *Server) setWithdrawn(on bool) {
	if s.core.Withdrawn() != on {
		s.log.Info("operator", zap.Bool("drain", on))
		s.core.SetWithdrawn(on)
		s.nextReportAt = 0
		s.scheduleIteration()
	}
}

// metrics collects the metrics of all components.
func (s *Server) metrics() metrics.Snapshot {
	f := metrics.Snapshot{Tries: s.link.Tries() + s.backendCalls, Active: s.core.Outstanding(), ConfigsApplied: s.reloadsApplied, ConfigsRejected: s.reloadsRejected}
	for i, n := range s.core.AnswersByClass() {
		f.Classes = append(f.Classes, metrics.Class{Name: s.cfg.Classes[i], OK: n.Served, Shed: n.Refused, Errors: n.Failed})
	}
	for _, p := range s.core.Pools() {
		f.Pools = append(f.Pools, metrics.Pool{Name: p.Name, Limit: p.Limit, Running: p.Running, Waiting: p.Waiting, Guaranteed: p.Guaranteed,
			Borrowed: p.Borrowed, Lent: p.Lent, MaxQueued: p.MaxQueued, SavedRuns: p.SavedRuns, Refused: p.Refused, BookedKB: int(p.BookedKB), HasCheapest: p.HasCheapest})
	}
	f.RejectedBy = s.rejections.Counts()
	f.Ledger = s.ledgerMetrics()
	f.Control = s.controlMetrics()
	if w := s.keys.worker; w != nil {
		k := w.Stats()
		f.Keys = &metrics.Keys{Restored: s.keys.restored, UnknownOutcome: s.keys.unknownOutcome, Commits: int(k.Commits), Records: int(k.Operations),
			Errors: int(k.Errors), MaxCommitMS: int(k.MaxCommitUS / 1000), Waiting: k.Waiting, DiskKB: int(k.DiskBytes / 1024),
			UnrecordedRuns: s.core.UnrecordedRuns()}
	} else if s.keys.openErr != nil {
		f.Keys = &metrics.Keys{Errors: 1}
	}
	return f
}
