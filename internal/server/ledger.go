package server

import (
	"go.uber.org/zap"

	"kiteslip/internal/core"
	"kiteslip/internal/ledger"
	"kiteslip/internal/metrics"
	"kiteslip/internal/reject"
)

// downstream is the state of the downstream calls to the ledger.
type downstream struct {
	client       *ledger.Client // nil = no ledger is configured
	maxConns     int            // connections reserved for it at the start
	resultCounts map[ledger.EndReason]int
	lateResults  int // results that no run waited for any more
}

// openLedger creates the client where a ledger is configured, or sets its new address.
func (s *Server) openLedger() {
	var err error
	switch {
	case s.cfg.Ledger == "":
		return
	case s.downstream.client != nil:
		err = s.downstream.client.SetAddress(s.cfg.Ledger)
	case s.downstream.maxConns == 0:
		s.log.Warn("ledger configured after the start has no descriptors reserved; its calls fail until a restart")
		return
	default:
		if s.downstream.client, err = ledger.New(s.cfg.Ledger, s.downstream.maxConns, s.onLedgerResult); err == nil {
			s.core.SetLedger(s.downstream.client)
		}
	}
	if err != nil {
		s.log.Error("ledger", zap.Error(err)) // the configuration was checked before, so this is an internal error
	}
}

// onLedgerResult handles the end of a call; it is called outside the loop.
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

// ledgerMetrics returns the metrics of downstream calls; nil = no ledger is configured.
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

// closeLedger ends the calls that are still in progress.
func (s *Server) closeLedger() {
	if s.downstream.client != nil {
		s.downstream.client.Close()
	}
}

// The methods of core.Engine for runs in progress send to the engine's link. Runs
// on a backend make no downstream calls and can't be halted.

// Halt stops a run.
func (s *Server) Halt(r *core.Request) { s.link.Halt(r) }

// Resume continues a paused run.
func (s *Server) Resume(r *core.Request) { s.link.Resume(r) }

// Reply passes a run the reply to its downstream call.
func (s *Server) Reply(r *core.Request, reply []byte) { s.link.Reply(r, reply) }

// Skip lets a run continue without its downstream call.
func (s *Server) Skip(r *core.Request, notice uint64) { s.link.Skip(r, notice) }

// NeedsCall handles the engine's notice that a run waits for a downstream call.
func (s *Server) NeedsCall(r *core.Request, notice uint64, body []byte) {
	s.core.NeedsCall(r, notice, body)
}
