package server

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"kiteslip/internal/reject"
)

// causeUnreadable is the cause of rejected input whose error names no cause.
const causeUnreadable = "unreadable"

// reject counts input that is rejected before the policy sees it. The first of
// each cause in a minute is logged as a warning, so that a server that rejects
// everything is noticed.
func (s *Server) reject(err error) {
	cause := causeUnreadable
	var caused *reject.Error
	if errors.As(err, &caused) {
		cause = caused.Cause
	}
	if s.rejections.Add(now(), cause) {
		s.log.Warn("rejected", zap.String("cause", cause), zap.Error(err))
	} else {
		s.log.Debug("rejected", zap.String("cause", cause), zap.Error(err))
	}
}

// withCause returns an error with a cause word.
func withCause(cause, format string, args ...any) error {
	return &reject.Error{Cause: cause, Err: fmt.Errorf(format, args...)}
}

// rejectedFields returns the counts by cause for the log line with totals.
func (s *Server) rejectedFields() zap.Field {
	counts := map[string]int{}
	for _, t := range s.rejections.Counts() {
		counts[t.Cause] = t.Count
	}
	return zap.Any("rejected", counts)
}
