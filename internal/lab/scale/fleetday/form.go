package fleetday

import "time"

// Form holds the sizes and bounds of a day. Servers are numbered: the first Real are
// whole programs, of which the first Idle have no callers and the next Hot get the
// hot rate. All others are hollow.
type Form struct {
	Short bool
	Seed  uint64
	Sizes

	Servers, Zones, Regions int
	Real, Idle, Hot         int
	// Twins are servers without control, in addition to the fleet: Idle of them have no
	// callers, TwinHot (as many as Hot) get the hot rate, Twins the usual one. They get
	// the same requests as the first servers with control.
	Twins, TwinHot    int
	HollowPerProcess  int // hollow servers per process
	Machines          int // control machines
	RackSize          int
	Callers           int // of the servers with control
	CallersPerProcess int // per process
	ServerRate        float64
	HotRate           float64       // requests per second
	LargeChange       int           // number of tenants of the large change
	Deadline          time.Duration // of each request
	StopMS            int           // time from the shutdown notice to the kill
	SettleTime        time.Duration
	Window            time.Duration // the cost of control is measured over windows of this length, and the worst counts
	ReadEvery         time.Duration // interval between two readings of the control traffic
	SampleEvery       time.Duration // interval between two samples of processor time and memory
	CatchUpTime       time.Duration // time after which a start and its catch-up have ended; they are reported separately
	Bounds            Bounds
}

// Parameters of the requests and engines.
const (
	slack       = 110 * time.Millisecond // tolerance for late answers over sockets
	workUS      = 2_000                  // work of each request at the engine
	engineCores = 4                      // cores of each engine stand-in
)

// Bounds holds the bounds of the figures.
type Bounds struct {
	CalmInForce      time.Duration // on every reachable server, before the first fault
	FaultInForce     time.Duration // during every fault, after a heal and after a start
	ControlCores     float64       // cores used by control on the busiest real server over a window
	ControlMemoryMB  float64       // used by control
	ControlBytesPerS float64       // used by control
	Added            time.Duration // p99 of the latency added to a request, at both rates
	AddedByControl   time.Duration // p99 of the latency added by control
	HollowDifference float64       // greatest relative difference between hollow and real servers
}

// Full returns the fleet day of the target.
func Full() *Form {
	return &Form{
		Seed: 32, Sizes: Sizes{Tenants: 21_000, Services: 150, Routes: 2_800, Rate: 30_000},
		Servers: 470, Zones: 10, Regions: 3, Real: 42, Idle: 2, Hot: 2, Twins: 2, TwinHot: 2, HollowPerProcess: 86, Machines: 8, RackSize: 16,
		Callers: 4_200, CallersPerProcess: 2_100, ServerRate: 64, HotRate: 100, LargeChange: 5_000, Deadline: 5 * time.Second, StopMS: 3000, SettleTime: 6 * time.Second,
		Window: time.Minute, ReadEvery: 5 * time.Second, SampleEvery: time.Second, CatchUpTime: 5 * time.Second,
		Bounds: Bounds{CalmInForce: 2 * time.Second, FaultInForce: 6 * time.Second, ControlCores: 0.005, ControlMemoryMB: 64, ControlBytesPerS: 2_000,
			Added: 4500 * time.Microsecond, AddedByControl: 200 * time.Microsecond, HollowDifference: 0.2},
	}
}

// Short returns a day of the same kind that takes seconds. Its bounds on processor
// time, memory and latency are wide and its request deadline is long, because a few
// seconds on a busy machine say little about these. The bounds on versions, order and
// lost requests are those of the full day.
func Short() *Form {
	f := Full()
	f.Short = true
	f.Sizes = Sizes{Tenants: 200, Services: 10, Routes: 30, Rate: 500}
	f.Servers, f.Zones, f.Real, f.Idle, f.Hot, f.Twins, f.TwinHot = 33, 6, 3, 1, 1, 0, 1
	f.HollowPerProcess, f.Machines, f.RackSize = 15, 3, 4
	f.Callers, f.CallersPerProcess, f.ServerRate, f.HotRate, f.LargeChange = 40, 20, 20, 30, 150
	f.Deadline, f.StopMS, f.SettleTime = 15*time.Second, 900, 500*time.Millisecond
	f.Window, f.ReadEvery, f.SampleEvery, f.CatchUpTime = 1500*time.Millisecond, 300*time.Millisecond, 100*time.Millisecond, 100*time.Millisecond
	f.Bounds.CalmInForce = f.Bounds.FaultInForce
	f.Bounds.ControlCores, f.Bounds.ControlBytesPerS, f.Bounds.HollowDifference = 1, 1e6, 1e3
	f.Bounds.Added, f.Bounds.AddedByControl = time.Second, time.Second
	return f
}

func (f *Form) zoneOf(server int) int     { return server % f.Zones }
func (f *Form) regionOf(server int) int   { return f.zoneOf(server) * f.Regions / f.Zones }
func (f *Form) regionOfMachine(m int) int { return m % f.Regions }

// zone returns the servers of one zone.
func (f *Form) zone(z int) []int {
	var list []int
	for i := range f.Servers {
		if f.zoneOf(i) == z {
			list = append(list, i)
		}
	}
	return list
}

// rack returns one rack of the first zone, which includes real servers.
func (f *Form) rack() []int { return f.zone(0)[:f.RackSize] }

func (f *Form) all() []int {
	list := make([]int, f.Servers)
	for i := range list {
		list[i] = i
	}
	return list
}

// relays returns all control machines except the originator.
func (f *Form) relays() []int {
	var list []int
	for m := 1; m < f.Machines; m++ {
		list = append(list, m)
	}
	return list
}

// paired returns how many real servers, the first ones, have a twin without control.
func (f *Form) paired() int { return f.Idle + f.TwinHot + f.Twins }

// rate returns the requests per second that a real server gets.
func (f *Form) rate(server int) float64 {
	switch {
	case server < f.Idle:
		return 0
	case server < f.Idle+f.Hot:
		return f.HotRate
	}
	return f.ServerRate
}
