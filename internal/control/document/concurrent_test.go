package document

import (
	"sync"
	"testing"
)

// TestConcurrent: versions are read, changed into others, worded and opened by
// several goroutines at a time. It says something under the race detector alone.
func TestConcurrent(t *testing.T) {
	d, delta := compressedVersion(t)
	words, err := delta.Encode()
	if err != nil {
		t.Fatal(err)
	}
	want, err := d.Apply(delta)
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for range 4 {
		all.Go(func() {
			for range 5 {
				delta, err := DecodeDelta(words)
				if err != nil {
					t.Error(err)
					return
				}
				next, err := d.Apply(delta)
				if err != nil || !sameVersion(next, want) {
					t.Errorf("another version: %v", err)
					return
				}
				snapshot, err := next.Snapshot()
				if err != nil {
					t.Error(err)
					return
				}
				opened, err := DecodeSnapshot(snapshot)
				if err != nil || !sameVersion(opened, want) {
					t.Errorf("another version is opened: %v", err)
				}
			}
		})
	}
	all.Wait()
}
