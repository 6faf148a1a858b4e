package config

import (
	"fmt"

	"kiteslip/internal/control/document"
	"kiteslip/internal/pool"
)

// Pool is one [[pool]] of the operator's file.
type Pool = document.Pool

// PoolsSection is [pools] of the operator's file: settings for all pools.
type PoolsSection struct {
	CheapReserve float64 `toml:"cheap_reserve"` // share of the cores: running slots beyond the limit for the cheapest class
}

// applyPools sets the pools, which name classes of the platform or of a service.
func (c *Config) applyPools(pools []Pool, reserve float64, errs *validationErrors) {
	c.Pools, c.CheapReserve = pools, reserve
	slots := indexOf(c.Classes)
	c.checkPools(func(class string) bool { _, known := slots[class]; return known }, errs)
}

// checkPools reports what is wrong with the pools; exists reports whether there is a
// class of a name.
func (c *Config) checkPools(exists func(class string) bool, errs *validationErrors) {
	taken := map[string]string{}
	for i, p := range c.Pools {
		for _, class := range p.Classes {
			if !exists(class) {
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

// PoolSettings returns the pools by class slots, as the core needs them; nil if there
// are none. A retired class belongs to the default pool.
func (c *Config) PoolSettings() *pool.Settings {
	if len(c.Pools) == 0 {
		return nil
	}
	s := pool.SettingsFor(&c.Policy)
	s.CheapReserve = c.CheapReserve
	pools := map[string][]int{} // by class: the pools that name it, one in a valid configuration
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
		for _, p := range pools[class] {
			s.Pools[p].Classes = append(s.Pools[p].Classes, i)
		}
	}
	return s
}
