package server

import (
	"go.uber.org/zap"

	"kiteslip/internal/core"
	"kiteslip/internal/ledger"
	"kiteslip/internal/metrics"
	"kiteslip/internal/reject"
)

// downstream is what the server knows of calls below.
type downstream struct {
	client       *ledger.Client // nil = there is no ledger
	maxConns     int            // connections that are set aside for it
	resultCounts map[ledger.EndReason]int
	lateResults  int // results that nobody waited for any more
}

// openLedger starts the client where a ledger is set up, or leads it to another address.
func (s *Server) openLedger() {
	var err error
	switch {
	case s.cfg.Ledger == "":
		return
	case s.downstream.client != nil:
		err = s.downstream.client.SetAddress(s.cfg.Ledger)
	case s.downstream.maxConns == 0:
		s.log.Warn("the ledger needs descriptors set aside at the start; until a restart its calls fail")
		return
	default:
		if s.downstream.client, err = ledger.New(s.cfg.Ledger, s.downstream.maxConns, s.onLedgerResult); err == nil {
			s.core.SetLedger(s.downstream.client)
		}
	}
	if err != nil {
		s.log.Error("ledger", zap.Error(err)) // the configuration was checked, so this is a fault here
	}
}

// onLedgerResult takes in the end of a call, from beside the loop.
func (s *Server) onLedgerResult(r ledger.Result) {
	s.onLoop(func() {
		s.downstream.resultCounts[r.Reason]++
		if r.Reason != ledger.OK {
			s.reject(&reject.Error{Cause: "ledger_" + r.Reason.String(), Err: r.Err})
		}
		if !s.core.CallDone(now(), r.Token, r.Outcome, r.Reply) {
			s.downstream.lateResults++
		}
		s.scheduleIteration()
	})
}

// ledgerMetrics are those of the calls; nil = there is no ledger.
func (s *Server) ledgerMetrics() *metrics.Ledger {
	if s.downstream.client == nil {
		return nil
	}
	f := &metrics.Ledger{InFlight: s.core.CallsInFlight(), LateResults: s.downstream.lateResults}
	for _, end := range ledger.EndReasons() {
		f.Outcomes = append(f.Outcomes, reject.CauseCount{Cause: end.String(), Count: s.downstream.resultCounts[end]})
	}
	return f
}

// closeLedger gives up what is still out.
func (s *Server) closeLedger() {
	if s.downstream.client != nil {
		s.downstream.client.Close()
	}
}

// The core's Engine: what is said to a run goes out on the engine's link. Runs
// of backends never stand at a call, and can't be stopped.

// Halt stops a run.
func (s *Server) Halt(r *core.Request) { s.link.Halt(r) }

// Resume goes on with a paused run.
func (s *Server) Resume(r *core.Request) { s.link.Resume(r) }

// Reply hands a run the reply to its call.
func (s *Server) Reply(r *core.Request, reply []byte) { s.link.Reply(r, reply) }

// Skip lets a run go on without its call.
func (s *Server) Skip(r *core.Request, notice uint64) { s.link.Skip(r, notice) }

// NeedsCall takes in that a run stands at a call.
func (s *Server) NeedsCall(r *core.Request, notice uint64, body []byte) {
	s.core.NeedsCall(r, notice, body)
}
