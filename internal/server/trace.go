package server

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kiteslip/internal/core"
)

// The words of the answer log for codes and causes.
var (
	codeNames  = [...]string{core.Served: "served", core.Refused: "refused", core.Failed: "failed"}
	causeNames = [...]string{core.Abandoned: "given_up", core.DeadlineExceeded: "overdue", core.RunFailed: "run_failed",
		core.InDoubt: "in_doubt", core.OutcomeUnknown: "unknown"}
)

// nameOf returns the name of i, or "?" where there is none.
func nameOf[T ~uint8](names []string, i T) string {
	if int(i) < len(names) {
		return names[i]
	}
	return "?"
}

// traceAnswer logs the final answer of one try at debug level, so that operators
// can follow a request by its `req` (new with each try) or its `opkey` (the same
// for all tries) through every server that received it. Times are Unix
// milliseconds; no fields are built where debug is off.
func (s *Server) traceAnswer(front string, r *core.Request, a core.Answer) {
	if r == nil || !s.log.Core().Enabled(zapcore.DebugLevel) {
		return
	}
	fields := make([]zap.Field, 0, 14)
	fields = append(fields, zap.String("front", front), zap.String("req", r.TryID), zap.String("class", s.className(r.Class)),
		zap.String("code", nameOf(codeNames[:], a.Code)), zap.Int64("arrived", r.Arrived/1000), zap.Int64("due", r.Deadline/1000),
		zap.Int64("at", now()/1000), zap.Int("via", r.Caller), zap.Int("team", r.Tenant))
	if r.Key != "" {
		fields = append(fields, zap.String("opkey", r.Key))
	}
	if r.Retry {
		fields = append(fields, zap.Bool("resent", true))
	}
	switch a.Code {
	case core.Refused:
		fields = append(fields, zap.Int64("hold_off_ms", a.RetryAfter/1000), zap.Bool("no_more", a.NoFailover))
	case core.Failed:
		fields = append(fields, zap.String("cause", nameOf(causeNames[:], a.Cause)))
	}
	s.log.Debug("answer", fields...)
}

// className is the name of the class in slot i, or "?" where there is none.
func (s *Server) className(i int) string {
	if i >= 0 && i < len(s.cfg.Classes) {
		return s.cfg.Classes[i]
	}
	return "?"
}
