package fleetday

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"kiteslip/internal/control/document"
)

// Sizes holds the sizes of the fleet configuration.
type Sizes struct {
	Tenants, Services, Routes int
	Rate                      float64 // of the whole fleet at the peak, in requests per second: the sum of the tenants' quotas
}

// Content generates a fleet configuration of these sizes: tenants with very
// different shares (log-normal, sigma 1.5) and services of nearly equal numbers of
// routes, the first half of all routes safe to repeat. Equal seeds give equal content.
func Content(s Sizes, deadline time.Duration, seed uint64) document.Content {
	deadlineMS := float64(deadline.Milliseconds())
	rng := rand.New(rand.NewPCG(seed, 1))
	var c document.Content
	shares, sum := make([]float64, s.Tenants), 0.0
	for i := range shares {
		shares[i] = math.Exp(1.5 * rng.NormFloat64())
		sum += shares[i]
	}
	for i, share := range shares {
		c.Teams = append(c.Teams, document.Team{Name: teamName(i), Quota: roundTo(max(0.01, s.Rate*share/sum), 1e4)})
	}
	route := 0
	for i := range s.Services {
		service := document.Service{Name: fmt.Sprintf("service-%03d", i), Owner: teamName(i % s.Tenants)}
		for end := s.Routes * (i + 1) / s.Services; route < end; route++ {
			aim, deadline, worth := 500.0, deadlineMS, roundTo(0.5+rng.Float64(), 1e3)
			contract := document.Contract{Class: className(route), Effect: "repeatable", TargetTimeMS: &aim, DeadlineMS: &deadline, Worth: &worth}
			if route >= s.Routes/2 {
				contract.Effect = "once"
			}
			service.Contracts = append(service.Contracts, contract)
		}
		c.Services = append(c.Services, service)
	}
	return c
}

func teamName(i int) string  { return fmt.Sprintf("team-%05d", i) }
func className(i int) string { return fmt.Sprintf("route-%04d", i) }

func roundTo(x, parts float64) float64 { return math.Round(x*parts) / parts }

// Operator returns the content in the form of the operator's file.
func Operator(c *document.Content) string {
	var b strings.Builder
	number := func(x float64) string {
		text := strconv.FormatFloat(x, 'f', -1, 64)
		if !strings.Contains(text, ".") {
			text += ".0"
		}
		return text
	}
	for i := range c.Teams {
		fmt.Fprintf(&b, "[[team]]\nname = %q\nrequests_per_s = %s\n", c.Teams[i].Name, number(c.Teams[i].Quota))
	}
	for i := range c.Services {
		s := &c.Services[i]
		fmt.Fprintf(&b, "[[service]]\nname = %q\nowner = %q\n", s.Name, s.Owner)
		for j := range s.Contracts {
			t := &s.Contracts[j]
			fmt.Fprintf(&b, "[[service.contract]]\nclass = %q\neffect = %q\naim_ms = %s\ndeadline_ms = %s\nworth = %s\n",
				t.Class, t.Effect, number(*t.TargetTimeMS), number(*t.DeadlineMS), number(*t.Worth))
		}
	}
	return b.String()
}

// Drafter generates the changes of a day: most set one tenant's quota, some change a
// route's worth, a few add a tenant or remove one that was added.
type Drafter struct {
	content document.Content
	rng     *rand.Rand
	added   []string
	count   int
}

// NewDrafter returns a Drafter whose successive changes apply to c.
func NewDrafter(c document.Content, seed uint64) *Drafter {
	return &Drafter{content: c, rng: rand.New(rand.NewPCG(seed, 2))}
}

// Next returns the next change, which affects the given number of tenants.
func (d *Drafter) Next(tenants int) []document.Change {
	d.count++
	if tenants == 1 {
		switch {
		case d.count%10 == 3:
			return []document.Change{d.route()}
		case d.count%10 == 6:
			name := fmt.Sprintf("added-%04d", d.count)
			d.added = append(d.added, name)
			return []document.Change{{Team: &document.Team{Name: name, Quota: 1}}}
		case d.count%10 == 9 && len(d.added) > 0:
			name := d.added[0]
			d.added = d.added[1:]
			return []document.Change{{Drop: true, Team: &document.Team{Name: name}}}
		}
	}
	var list []document.Change
	for _, i := range d.rng.Perm(len(d.content.Teams))[:min(tenants, len(d.content.Teams))] {
		t := d.content.Teams[i]
		t.Quota = roundTo(t.Quota*(0.7+0.6*d.rng.Float64())+0.0007, 1e4)
		d.content.Teams[i] = t
		list = append(list, document.Change{Team: &t})
	}
	return list
}

func (d *Drafter) route() document.Change {
	s := d.content.Services[d.rng.IntN(len(d.content.Services))]
	s.Contracts = append([]document.Contract(nil), s.Contracts...)
	worth := roundTo(0.5+d.rng.Float64(), 1e6)
	s.Contracts[d.rng.IntN(len(s.Contracts))].Worth = &worth
	for i := range d.content.Services {
		if d.content.Services[i].Name == s.Name {
			d.content.Services[i] = s
		}
	}
	return document.Change{Service: &s}
}
