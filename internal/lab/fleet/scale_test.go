package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkPlay plays the same incident on a few boxes and on many, with the
// same number of requests a box: the ratio of ns/request is what grows with
// the fleet. Run with -cpuprofile to see where.
func BenchmarkPlay(b *testing.B) {
	for _, boxes := range []int{10, 1000} {
		b.Run(fmt.Sprint(boxes, "boxes"), func(b *testing.B) {
			day, _, err := Load("../../../scenarios/fifth-dies.toml")
			if err != nil {
				b.Fatal(err)
			}
			day.Seed, day.Failures, day.From, day.Boxes = 1, nil, 0, boxes
			day.Length = 18 * Second // some 200 requests a box
			b.ReportAllocs()
			asked := 0
			for b.Loop() {
				o, err := Play(day)
				if err != nil {
					b.Fatal(err)
				}
				asked += o.Asked
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(asked), "ns/request")
		})
	}
}
