package server

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"kiteslip/internal/reject"
)

// causeUnreadable is the cause of what is turned away without a word of its own.
const causeUnreadable = "unreadable"

// reject counts what is turned away before the module hears of it. The first of
// each cause in a minute is a warning, so that a server that turns all away
// says so.
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

// withCause is an error whose cause has a word.
func withCause(cause, format string, args ...any) error {
	return &reject.Error{Cause: cause, Err: fmt.Errorf(format, args...)}
}

// rejectedFields are the counts for the line of totals.
func (s *Server) rejectedFields() zap.Field {
	counts := map[string]int{}
	for _, t := range s.rejections.Counts() {
		counts[t.Cause] = t.Count
	}
	return zap.Any("rejected", counts)
}
