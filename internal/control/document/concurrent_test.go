package document

import (
	"sync"
	"testing"
)

// TestConcurrent: versions are read, changed into others, encoded and decoded by
// several goroutines at a time. It is useful only under the race detector.
func TestConcurrent(t *testing.T) {
	d, delta := compressedVersion(t)
	encoded, err := delta.Encode()
	if err != nil {
		t.Fatal(err)
	}
	want, err := d.Apply(delta)
	if err != nil {
		t.Fatal(err)
	}
	var workers sync.WaitGroup
	for range 4 {
		workers.Go(func() {
			for range 5 {
				delta, err := DecodeDelta(encoded)
				if err != nil {
					t.Error(err)
					return
				}
				next, err := d.Apply(delta)
				if err != nil || !sameVersion(next, want) {
					t.Errorf("another version is made: %v", err)
					return
				}
				snapshot, err := next.Snapshot()
				if err != nil {
					t.Error(err)
					return
				}
				decoded, err := DecodeSnapshot(snapshot)
				if err != nil || !sameVersion(decoded, want) {
					t.Errorf("another version is decoded: %v", err)
				}
			}
		})
	}
	workers.Wait()
}
