package slopes

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"kiteslip"
)

// site describes an operator's file: the numbers of teams and routes, and the
// machine section.
type site struct {
	teams, routes int
	changedTeams  int    // number of teams, after the first, whose quota is changed
	listen, admin string // "" = no such listener
	engine        string
	cores         int
	sockets       int
	control       string // address of the publisher that it follows; "" = none
}

// serviceRoutes is the number of contracts per service: 2,800 routes over 150 services.
const serviceRoutes = 19

// operatorFile returns the operator's file.
func (s site) operatorFile() string {
	var b strings.Builder
	b.Grow(200 * (s.teams + s.routes))
	fmt.Fprintf(&b, "[machine]\nname = \"scale\"\nlisten = %q\nops = %q\nengine = %q\ncores = %d\nwork_mb = 4096\nstop_ms = 1500\n"+
		"[machine.limits]\ncores = 1.0\nmemory_mb = 256\nsockets = %d\n", s.listen, s.admin, s.engine, s.cores, s.sockets)
	if s.control != "" {
		fmt.Fprintf(&b, "[control]\nregion = \"north\"\nwait_ms = 20000\n[[control.publisher]]\naddress = %q\nregion = \"north\"\n", s.control)
	}
	for i := range s.teams {
		fmt.Fprintf(&b, "[[team]]\nname = %q\nrequests_per_s = %g\n", teamName(i), s.quota(i))
	}
	for i := range s.routes {
		if i%serviceRoutes == 0 {
			fmt.Fprintf(&b, "[[service]]\nname = \"service-%03d\"\nowner = %q\n", i/serviceRoutes, teamName(i/serviceRoutes%s.teams))
		}
		fmt.Fprintf(&b, "[[service.contract]]\nclass = %q\neffect = \"repeatable\"\naim_ms = 1400\ndeadline_ms = 4200\nworth = %d\n", className(i), 1+i%3)
	}
	return b.String()
}

// teamName returns a team's name. The first is red, the team that probe.Fields sends
// for. The others are random syllables, because sequential numbers would compress
// to almost nothing.
func teamName(i int) string {
	if i == 0 {
		return "red"
	}
	rng := rand.New(rand.NewPCG(21, uint64(i)))
	name := make([]byte, 0, 12)
	for range 6 {
		name = append(name, "bcdfghjklmnprstv"[rng.IntN(16)], "aeiou"[rng.IntN(5)])
	}
	return string(name)
}

// teamQuota returns a team's quota, which differs between teams; that of the first
// is never exhausted.
func teamQuota(i int) float64 {
	if i == 0 {
		return 1e6
	}
	return 0.5 + float64(i*i%997)/10
}

// quota returns a team's quota with the change, if it is among the changed teams.
func (s site) quota(i int) float64 {
	if i > 0 && i <= s.changedTeams {
		return teamQuota(i) + 0.25
	}
	return teamQuota(i)
}

func className(i int) string { return fmt.Sprintf("route-%04d", i) }

// settings returns the policy's settings for the site, as the operator's file would
// give them, except for target times and timeouts so long that nothing is refused or
// failed: until a request of a class has finished, the policy expects an eighth of
// its target time as its work, and with thousands of classes most have none.
func (s site) settings() kiteslip.Settings {
	m := kiteslip.Settings{Cores: max(1, s.cores), MemoryKB: 1e9, RunFactor: 4, KeyKB: 8, MaxRetryAfter: 1_000_000, OverShareWorth: 0.05,
		Goal: kiteslip.Goal{Whole: 0.5, WorstClass: 0.2, WorstTenant: 0.1, WorstWindow: 0.2},
		Tick: 4_000, DrainGrace: 2_000_000, AnswerSlack: 60_000, WorthByWork: true, Workers: 470, Callers: 4200}
	for i := range s.teams {
		m.Tenants = append(m.Tenants, kiteslip.Tenant{Quota: teamQuota(i)})
	}
	for i := range s.routes {
		m.Classes = append(m.Classes, kiteslip.Class{Effect: kiteslip.Repeatable, TargetTime: hourUS / 30, Timeout: hourUS, LateWorth: 1, Worth: float64(1 + i%3)})
	}
	return m
}

const hourUS = 3_600_000_000 // microseconds
