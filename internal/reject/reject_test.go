package reject

import (
	"fmt"
	"testing"
)

// One log line per cause and interval, and a bounded number of causes with no rejection uncounted.
func TestLogIntervalAndCauseLimit(t *testing.T) {
	var b Counter
	for i, c := range []struct {
		at     int64
		logged bool
	}{{5, true}, {6, false}, {4 + LogIntervalUS, false}, {5 + LogIntervalUS, true}, {6 + LogIntervalUS, false}} {
		if logged := b.Add(c.at, "cause"); logged != c.logged {
			t.Errorf("%d: logged %v, want %v", i, logged, c.logged)
		}
	}
	if !b.Add(7, "another") {
		t.Error("the first rejection of another cause is not logged")
	}
	for i := range 10 * maxCauses {
		b.Add(8, fmt.Sprint(i))
	}
	sum := 0
	for _, total := range b.Counts() {
		sum += total.Count
	}
	if len(b.Counts()) > maxCauses+1 || sum != 5+1+10*maxCauses {
		t.Errorf("%d causes, %d rejections", len(b.Counts()), sum)
	}
}
