package main

import (
	"testing"

	"kiteslip/internal/config"
)

// Off, versions change nothing of how the program runs; on, what is worked out beside the loop has a thread of its own.
func TestProcessors(t *testing.T) {
	on := config.Control{Publishers: []config.ControlPublisher{{Address: "127.0.0.1:1", Region: "north"}}}
	for _, c := range []struct {
		cores   float64
		control config.Control
		want    int
	}{{0.25, config.Control{}, 1}, {1, config.Control{}, 1}, {1.5, config.Control{}, 2}, {0.25, on, 2}, {1, on, 2}, {3, on, 3}} {
		cfg := &config.Config{Limits: config.Limits{Cores: c.cores}, Control: c.control}
		if got := processors(cfg); got != c.want {
			t.Errorf("%v cores, control %t: %d, want %d", c.cores, c.control.On(), got, c.want)
		}
	}
}
