package main

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// liveHeapMetric is the heap that the last collection marked as live. Reading it does
// not stop the program.
const liveHeapMetric = "/gc/heap/live:bytes"

// peakLiveHeap runs f with a collection after each 5% of heap growth and returns the
// largest live heap less the live heap before, in bytes, sampled every 2 ms.
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
		var peak uint64
		tick := time.NewTicker(2 * time.Millisecond)
		defer tick.Stop()
		for {
			peak = max(peak, read())
			select {
			case <-stop:
				done <- peak
				return
			case <-tick.C:
			}
		}
	}()
	err := f()
	close(stop)
	return max(<-done, base) - base, err
}
