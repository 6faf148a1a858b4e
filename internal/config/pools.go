package config

import (
	"fmt"
	"slices"

	"kiteslip/internal/control/document"
	"kiteslip/internal/pool"
)

// Pool is one [[pool]] of the operator's file.
type Pool = document.Pool

// Pools is [pools]: what concerns all of them.
type Pools struct {
	CheapReserve float64 `toml:"cheap_reserve"` // of the cores: places beyond the limit for the cheapest class
}

// pools enters the pools, which name classes of the platform or of a service.
func (o *Operator) pools(c *Config, errs *problems) {
	c.Pools, c.CheapReserve = o.Pool, o.Pools.CheapReserve
	taken := map[string]string{}
	for i, p := range o.Pool {
		for _, class := range p.Classes {
			if !contains(c.Classes, class) {
				errs.add(fmt.Sprintf("pool[%d].classes", i), "has %q, which is no class", class)
			}
			if other, twice := taken[class]; twice {
				errs.add(fmt.Sprintf("pool[%d].classes", i), "has %q, which is in pool %q", class, other)
			}
			taken[class] = p.Name
		}
	}
	if len(o.Pool) == 0 && o.Pools.CheapReserve != 0 {
		errs.add("pools.cheap_reserve", "is %v, and there is no [[pool]]", o.Pools.CheapReserve)
	}
	if s := c.PoolSettings(); s != nil && len(*errs) == 0 {
		if err := s.Check(); err != nil {
			*errs = append(*errs, err)
		}
	}
}

// PoolSettings are the pools as the core wants them; nil = there are none. A
// class that is no longer in the file has no pool but the rest.
func (c *Config) PoolSettings() *pool.Settings {
	if len(c.Pools) == 0 {
		return nil
	}
	s := pool.For(&c.Module)
	s.CheapReserve = c.CheapReserve
	for _, p := range c.Pools {
		spec := pool.Spec{Name: p.Name, Share: p.Share, Most: p.Most, Reserve: p.Reserve, Memory: p.Memory,
			MemoryMost: p.MemoryMost, Waiting: p.Waiting}
		for i, class := range c.Classes {
			if !Off(c.ClassesOff, i) && slices.Contains(p.Classes, class) {
				spec.Classes = append(spec.Classes, i)
			}
		}
		s.Pools = append(s.Pools, spec)
	}
	return s
}
