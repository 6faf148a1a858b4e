package reject

import (
	"fmt"
	"testing"
)

func TestFirstOfAMinuteAndBound(t *testing.T) {
	var b Book
	for i, c := range []struct {
		at   int64
		said bool
	}{{5, true}, {6, false}, {4 + Every, false}, {5 + Every, true}, {6 + Every, false}} {
		if said := b.Note(c.at, "cause"); said != c.said {
			t.Errorf("%d: spoken of %v, want %v", i, said, c.said)
		}
	}
	if !b.Note(7, "another") {
		t.Error("the first of another cause is not spoken of")
	}
	for i := range 10 * causesMost {
		b.Note(8, fmt.Sprint(i))
	}
	sum := 0
	for _, total := range b.Totals() {
		sum += total.Count
	}
	if len(b.Totals()) > causesMost+1 || sum != 5+1+10*causesMost {
		t.Errorf("%d causes, %d rejections", len(b.Totals()), sum)
	}
}
