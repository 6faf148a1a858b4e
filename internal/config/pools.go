package config

import (
	"fmt"
	"slices"

	"kiteslip/internal/pool"
)

// Pool is one [[pool]] of the operator's file: classes that share running
// places and memory. All figures but Waiting are parts, 0 to 1.
type Pool struct {
	Name       string   `toml:"name"`
	Classes    []string `toml:"classes"`
	Share      float64  `toml:"share"`       // of the running places: its own whenever it wants them
	Most       float64  `toml:"most"`        // of the running places: never more; 0 = all
	Reserve    float64  `toml:"reserve"`     // of the cores: places beyond the running limit
	Memory     float64  `toml:"memory"`      // of work_mb: its own; 0 = as share
	MemoryMost float64  `toml:"memory_most"` // of work_mb: never more; 0 = all
	Waiting    int      `toml:"waiting"`     // requests that may wait; 0 = what can be served in time
}

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
