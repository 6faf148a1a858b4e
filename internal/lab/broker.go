package lab

import (
	"kiteslip"
	"kiteslip/internal/pool"
	"kiteslip/internal/standin/box"
)

// The classes of the small broker of the measurements: those of
// deploy/operator.toml, in that order.
const (
	CodeToPoint = iota
	PointToCode
	LandmarkSearch
	RegisterAddress
)

// ClassNames has the name of each class.
var ClassNames = [...]string{"code-to-point", "point-to-code", "landmark-search", "register-address"}

// trafficMix has the share of each class in the requests, and its least and most
// work in milliseconds.
var trafficMix = [...]struct{ share, least, most float64 }{{0.35, 240, 420}, {0.25, 240, 420}, {0.25, 150, 260}, {0.15, 240, 420}}

// Broker returns the policy settings of the small broker.
func Broker(cores int) kiteslip.Settings {
	return kiteslip.Settings{
		Cores: cores, MemoryKB: 256 * 1024, RunFactor: 4, KeyKB: 8, MaxRetryAfter: Second,
		Classes: []kiteslip.Class{
			{Effect: kiteslip.Repeatable, TargetTime: 1_400_000, Timeout: 4_200_000, Worth: 1, LateWorth: 0.2},
			{Effect: kiteslip.Repeatable, TargetTime: 1_400_000, Timeout: 4_200_000, Worth: 1, LateWorth: 0.2},
			{Effect: kiteslip.Repeatable, TargetTime: 1_100_000, Timeout: 3_500_000, Worth: 2, LateWorth: 0.2},
			{Effect: kiteslip.Keyed, TargetTime: 1_800_000, Timeout: 5_300_000, Window: 15_765_000, Worth: 4, LateWorth: 0.2},
		},
		Tenants:        []kiteslip.Tenant{{Quota: 1e6}},
		OverShareWorth: 0.05, WorthByWork: true, Tick: 4_000, DrainGrace: 2_000_000, AnswerSlack: 60_000,
		Goal: kiteslip.Goal{Whole: 0.5, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.2},
	}
}

// BrokerPools returns pools for the small broker.
func BrokerPools(m *kiteslip.Settings) *pool.Settings {
	s := pool.SettingsFor(m)
	s.CheapReserve = 0.25
	s.Pools = []pool.Spec{
		{Name: "lookups", Classes: []int{CodeToPoint, PointToCode}, Share: 0.15},
		{Name: "landmarks", Classes: []int{LandmarkSearch}, Share: 0.5},
		{Name: "registrations", Classes: []int{RegisterAddress}, Share: 0.35},
	}
	return s
}

// BrokerBox returns the machine of the small broker: it loses throughput beyond four
// runs per core.
func BrokerBox(cores int) box.Spec { return box.Spec{Cores: cores, Speed: 1, Knee: 4, Loss: 0.1} }

// MixedTraffic returns the usual mix of classes; load is relative to the capacity of
// the cores.
func MixedTraffic(cores int, load float64) []Stream {
	mean := 0.0
	for _, c := range trafficMix {
		mean += c.share * (c.least + c.most) / 2
	}
	total := load * float64(cores) * 1000 / mean
	var streams []Stream
	for i, c := range trafficMix {
		streams = append(streams, Stream{Class: i, Rate: ConstantRate(total * c.share), Work: UniformWork(c.least, c.most)})
	}
	return streams
}

// SingleClass returns traffic of one class; load is relative to the capacity of the
// cores.
func SingleClass(cores int, class int, load float64) Stream {
	c := trafficMix[class]
	return Stream{Class: class, Rate: ConstantRate(load * float64(cores) * 1000 / ((c.least + c.most) / 2)), Work: UniformWork(c.least, c.most)}
}
