package config

import (
	"fmt"

	"kiteslip/internal/control/document"
	"kiteslip/internal/pool"
)

// Pool is one [[pool]] of the operator's file.
type Pool = document.Pool

// PoolsSection is [pools]: what concerns all of them.
type PoolsSection struct {
	CheapReserve float64 `toml:"cheap_reserve"` // of the cores: places beyond the limit for the cheapest class
}

// applyPools enters the pools, which name classes of the platform or of a service.
func (c *Config) applyPools(pools []Pool, reserve float64, errs *validationErrors) {
	c.Pools, c.CheapReserve = pools, reserve
	places := indexOf(c.Classes)
	c.checkPools(func(class string) bool { _, known := places[class]; return known }, errs)
}

// checkPools names what is wrong with the pools; is says whether there is a class.
func (c *Config) checkPools(is func(class string) bool, errs *validationErrors) {
	taken := map[string]string{}
	for i, p := range c.Pools {
		for _, class := range p.Classes {
			if !is(class) {
				errs.add(fmt.Sprintf("pool[%d].classes", i), "has %q, which is no class", class)
			}
			if other, twice := taken[class]; twice {
				errs.add(fmt.Sprintf("pool[%d].classes", i), "has %q, which is in pool %q", class, other)
			}
			taken[class] = p.Name
		}
	}
	if len(c.Pools) == 0 && c.CheapReserve != 0 {
		errs.add("pools.cheap_reserve", "is %v, and there is no [[pool]]", c.CheapReserve)
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
	s := pool.SettingsFor(&c.Policy)
	s.CheapReserve = c.CheapReserve
	pools := map[string][]int{} // by class: those that name it, one where all is well
	for i, p := range c.Pools {
		for _, class := range p.Classes {
			pools[class] = append(pools[class], i)
		}
		spec := pool.Spec{Name: p.Name, Share: p.Share, MaxShare: p.MaxShare, Reserve: p.Reserve, MemoryShare: p.Memory,
			MaxMemoryShare: p.MaxMemoryShare, MaxQueued: p.MaxQueued}
		s.Pools = append(s.Pools, spec)
	}
	for i, class := range c.Classes {
		if IsRetired(c.RetiredClasses, i) {
			continue
		}
		for _, at := range pools[class] {
			s.Pools[at].Classes = append(s.Pools[at].Classes, i)
		}
	}
	return s
}
