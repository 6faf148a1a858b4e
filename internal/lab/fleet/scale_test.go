package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkPlay plays the same scenario on few boxes and on many, with the same
// number of requests for each box. The ratio of the two ns/request shows how the
// cost of a request grows with the size of the fleet.
func BenchmarkPlay(b *testing.B) {
	for _, boxes := range []int{10, 1000} {
		b.Run(fmt.Sprint(boxes, "boxes"), func(b *testing.B) {
			day, _, err := Load("../../../scenarios/fifth-dies.toml")
			if err != nil {
				b.Fatal(err)
			}
			day.Seed, day.Failures, day.Warmup, day.Boxes = 1, nil, 0, boxes
			day.Length = 18 * Second // about 200 requests for each box
			b.ReportAllocs()
			requests := 0
			for b.Loop() {
				o, err := Play(day)
				if err != nil {
					b.Fatal(err)
				}
				requests += o.Asked
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(requests), "ns/request")
		})
	}
}
