package main

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// liveHeapMetric is the heap that the last collection found live; reading it stops nothing.
const liveHeapMetric = "/gc/heap/live:bytes"

// peakLiveHeap runs f with the collector at work after each 5% of growth, and
// returns the most that a collection found live above what was live before,
// sampled every 2 ms.
func peakLiveHeap(f func() error) (uint64, error) {
	defer debug.SetGCPercent(debug.SetGCPercent(5))
	runtime.GC()
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	read := func() uint64 {
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return sample[0].Value.Uint64()
	}
	base := read()
	stop, done := make(chan struct{}), make(chan uint64)
	go func() {
		var most uint64
		tick := time.NewTicker(2 * time.Millisecond)
		defer tick.Stop()
		for {
			most = max(most, read())
			select {
			case <-stop:
				done <- most
				return
			case <-tick.C:
			}
		}
	}()
	err := f()
	close(stop)
	return max(<-done, base) - base, err
}
