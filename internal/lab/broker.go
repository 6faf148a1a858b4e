package lab

import (
	"kiteslip"
	"kiteslip/internal/pool"
	"kiteslip/internal/standin/box"
)

// The classes of the small broker that measurements play: those of
// deploy/operator.toml, in that order.
const (
	CodeToPoint = iota
	PointToCode
	LandmarkSearch
	RegisterAddress
)

// ClassNames are the names of the classes.
var ClassNames = [...]string{"code-to-point", "point-to-code", "landmark-search", "register-address"}

// trafficMix is each class's part of the requests, and its work in milliseconds.
var trafficMix = [...]struct{ part, least, most float64 }{{0.35, 240, 420}, {0.25, 240, 420}, {0.25, 150, 260}, {0.15, 240, 420}}

// Broker is the module's settings of a small broker.
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

// BrokerPools are the pools of the same broker.
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

// BrokerBox is the machine behind it: it gets less done beyond four runs a core.
func BrokerBox(cores int) box.Spec { return box.Spec{Cores: cores, Speed: 1, Knee: 4, Loss: 0.1} }

// MixedTraffic is the usual mix of classes at a part of what the cores can do.
func MixedTraffic(cores int, load float64) []Stream {
	mean := 0.0
	for _, c := range trafficMix {
		mean += c.part * (c.least + c.most) / 2
	}
	total := load * float64(cores) * 1000 / mean
	var streams []Stream
	for i, c := range trafficMix {
		streams = append(streams, Stream{Class: i, Rate: ConstantRate(total * c.part), Work: UniformWork(c.least, c.most)})
	}
	return streams
}

// SingleClass is traffic of one class at a part of what the cores can do.
func SingleClass(cores int, class int, load float64) Stream {
	c := trafficMix[class]
	return Stream{Class: class, Rate: ConstantRate(load * float64(cores) * 1000 / ((c.least + c.most) / 2)), Work: UniformWork(c.least, c.most)}
}
