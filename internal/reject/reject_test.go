package reject

import (
	"fmt"
	"testing"
)

func TestFirstOfAMinuteAndBound(t *testing.T) {
	var b Counter
	for i, c := range []struct {
		at   int64
		said bool
	}{{5, true}, {6, false}, {4 + LogIntervalUS, false}, {5 + LogIntervalUS, true}, {6 + LogIntervalUS, false}} {
		if said := b.Add(c.at, "cause"); said != c.said {
			t.Errorf("%d: spoken of %v, want %v", i, said, c.said)
		}
	}
	if !b.Add(7, "another") {
		t.Error("the first of another cause is not spoken of")
	}
	for i := range 10 * causesMost {
		b.Add(8, fmt.Sprint(i))
	}
	sum := 0
	for _, total := range b.Counts() {
		sum += total.Count
	}
	if len(b.Counts()) > causesMost+1 || sum != 5+1+10*causesMost {
		t.Errorf("%d causes, %d rejections", len(b.Counts()), sum)
	}
}
