package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kiteslip"
)

// Applying new settings walks the key table only if a window became longer.
// Otherwise a change of one tenant would block the loop where many keys are stored.
func TestReconfigureCostIndependentOfKeys(t *testing.T) {
	const keys = 100_000
	cost := func(keys int) time.Duration {
		h := newHarness(t)
		for i := range keys {
			h.core.ImportRecord(Record{Class: 1, Key: fmt.Sprint("k", i), Arrived: h.now, WindowEnd: h.now + 1_000_000, Finished: true, Outcome: kiteslip.OK})
		}
		var durations []time.Duration
		for i := range 15 {
			next := testSettings()
			next.Tenants = append(slices.Clone(next.Tenants), make([]kiteslip.Tenant, i)...)
			began := time.Now()
			if err := h.core.Reconfigure(next, nil, nil); err != nil {
				t.Fatal(err)
			}
			durations = append(durations, time.Since(began))
		}
		return slices.Min(durations)
	}
	none, many := cost(0), cost(keys)
	t.Logf("without keys %v, with %d keys %v", none, keys, many)
	if many > 10*none+500*time.Microsecond {
		t.Errorf("Reconfigure takes %v with %d keys, %v without", many, keys, none)
	}
}
