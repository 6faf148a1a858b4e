package lab

import "testing"

// BenchmarkDecision compares the cost of a decision with and without pools.
func BenchmarkDecision(b *testing.B) {
	for _, pools := range []string{"off", "on"} {
		for _, open := range []int{100, 2000} {
			b.Run(pools+"/"+map[int]string{100: "100", 2000: "2000"}[open], func(b *testing.B) {
				b.ReportAllocs()
				if _, err := DecisionCost(pools == "on", open, b.N); err != nil {
					b.Fatal(err)
				}
			})
		}
	}
}
