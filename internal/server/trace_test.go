package server

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"kiteslip/internal/config"
	"kiteslip/internal/core"
)

// Each final answer is logged once at debug level with the try, its key, its code
// and its cause; at info level it is not logged.
func TestTraceAnswer(t *testing.T) {
	t.Parallel()
	keyed := &core.Request{TryID: "9b1f03aa5c7e2d41", Class: 1, Key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Arrived: 1764576000123000, Deadline: 1764576000603000}
	unkeyed := &core.Request{TryID: "00000000000000aa", Class: 0, Arrived: 1764576000123000, Deadline: 1764576000603000}
	for _, tc := range []struct {
		name   string
		r      *core.Request
		a      core.Answer
		want   map[string]any
		absent []string
	}{
		{"served with its key", keyed, core.Answer{Code: core.Served},
			map[string]any{"req": "9b1f03aa5c7e2d41", "class": "note", "code": "served", "opkey": keyed.Key, "arrived": int64(1764576000123),
				"due": int64(1764576000603)}, []string{"cause", "hold_off_ms"}},
		{"refused with advice", unkeyed, core.Answer{Code: core.Refused, RetryAfter: 250_000, NoFailover: true},
			map[string]any{"class": "look", "code": "refused", "hold_off_ms": int64(250), "no_more": true}, []string{"opkey", "cause"}},
		{"failed in doubt", keyed, core.Answer{Code: core.Failed, Cause: core.InDoubt},
			map[string]any{"code": "failed", "cause": "in_doubt"}, []string{"hold_off_ms"}},
		{"unknown code", unkeyed, core.Answer{Code: 9}, map[string]any{"code": "?"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			seen, logs := observer.New(zapcore.DebugLevel)
			srv := &Server{log: zap.New(seen), cfg: &config.Config{Classes: []string{"look", "note"}}}
			srv.traceAnswer("frames", tc.r, tc.a)
			srv.traceAnswer("frames", nil, tc.a) // an answer to a request that is no longer tracked is not logged
			if logs.Len() != 1 {
				t.Fatalf("%d lines, want 1", logs.Len())
			}
			got := logs.All()[0].ContextMap()
			for k, v := range tc.want {
				if got[k] != v {
					t.Errorf("field %s: got %v (%T), want %v", k, got[k], got[k], v)
				}
			}
			for _, k := range tc.absent {
				if _, ok := got[k]; ok {
					t.Errorf("unexpected field %s: %v", k, got[k])
				}
			}
		})
	}
	seen, logs := observer.New(zapcore.InfoLevel)
	srv := &Server{log: zap.New(seen), cfg: &config.Config{Classes: []string{"look"}}}
	srv.traceAnswer("frames", unkeyed, core.Answer{Code: core.Served})
	if logs.Len() != 0 {
		t.Errorf("%d lines at info, want none", logs.Len())
	}
}
