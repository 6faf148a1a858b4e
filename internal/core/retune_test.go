package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kiteslip"
)

// New settings cost nothing for the keys that are kept, unless a window grew: a
// change of one tenant holds the loop no longer where many keys are kept.
func TestRetuneCostsNothingForKeys(t *testing.T) {
	const keys = 100_000
	cost := func(keys int) time.Duration {
		b := newBook(t)
		for i := range keys {
			b.core.ImportRecord(Record{Class: 1, Key: fmt.Sprint("k", i), Arrived: b.now, WindowEnd: b.now + 1_000_000, Finished: true, Outcome: kiteslip.OK})
		}
		var took []time.Duration
		for i := range 15 {
			next := site()
			next.Tenants = append(slices.Clone(next.Tenants), make([]kiteslip.Tenant, i)...)
			began := time.Now()
			if err := b.core.Reconfigure(next, nil, nil); err != nil {
				t.Fatal(err)
			}
			took = append(took, time.Since(began))
		}
		return slices.Min(took)
	}
	none, many := cost(0), cost(keys)
	t.Logf("with no key %v, with %d keys %v", none, keys, many)
	if many > 10*none+500*time.Microsecond {
		t.Errorf("new settings take %v with %d keys, %v with none", many, keys, none)
	}
}
