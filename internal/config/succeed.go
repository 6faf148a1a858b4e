package config

import (
	"errors"
	"fmt"
	"slices"

	"kiteslip"
	"kiteslip/internal/control/document"
)

// The bounds of the classes, and of the teams, that one process has a place for,
// those included that are no longer in the file: some kilobytes for each class,
// some hundred bytes for each team.
const (
	mostClassPlaces = document.MostRoutes
	mostTeamPlaces  = document.MostTeams
)

// Succeed lays next, which was read later, over c, which is in use, and returns
// the outcome; c stays as it is. Classes and teams keep their places. What only
// a restart can change stays as in c and is listed in kept. An error says that
// next is not to be used.
func (c *Config) Succeed(next *Config) (merged *Config, kept []string, err error) {
	var errs problems
	lacks(&errs, "", c.shape, next.shape)
	m := *next
	keep := func(key string, differs bool) {
		if differs {
			kept = append(kept, key)
		}
	}
	keep("name", next.Name != c.Name)
	keep("listen", next.Listen != c.Listen || next.UWSGI.Listen != c.UWSGI.Listen)
	keep("ops", next.Ops != c.Ops)
	keep("limits", next.Limits != c.Limits)
	keep("keys", next.Keys != c.Keys)
	m.Keys = c.Keys
	m.Name, m.Listen, m.Ops, m.Limits, m.Seed, m.InheritedFD = c.Name, c.Listen, c.Ops, c.Limits, c.Seed, c.InheritedFD
	m.UWSGI.Listen = c.UWSGI.Listen
	m.classes(c, next)
	m.tenants(c, next)
	if n := len(m.Classes); n > mostClassPlaces {
		errs.add("settings", "bring the classes since the start to %d, over %d, and a class's place is never used again: restart", n, mostClassPlaces)
	}
	if n := len(m.Tenants); n > mostTeamPlaces {
		errs.add("settings", "bring the teams, those dropped since the start included, to %d, over %d: restart", n, mostTeamPlaces)
	}
	if len(errs) > 0 {
		return nil, nil, errors.Join(errs...)
	}
	return &m, kept, nil
}

// classes lists those of the file in use in their places, then new ones.
func (m *Config) classes(c, next *Config) {
	m.Classes, m.Module.Classes = slices.Clone(c.Classes), slices.Clone(c.Module.Classes)
	m.UWSGI.Contracts, m.Backends, m.MaxResults = slices.Clone(c.UWSGI.Contracts), slices.Clone(c.Backends), slices.Clone(c.MaxResults)
	m.ClassesOff = make([]bool, len(c.Classes))
	for i := range m.ClassesOff {
		m.ClassesOff[i] = true
		m.UWSGI.Contracts[i].Path = "" // leads here no longer
	}
	type promise struct {
		name   string
		effect kiteslip.Effect
	}
	places := make(map[promise]int, len(c.Classes))
	for i, name := range c.Classes {
		places[promise{name, c.Module.Classes[i].Effect}] = i
	}
	for i, name := range next.Classes {
		class := next.Module.Classes[i]
		at, known := places[promise{name, class.Effect}]
		if !known {
			at = len(m.Classes)
			m.Classes, m.Module.Classes = append(m.Classes, name), append(m.Module.Classes, class)
			m.UWSGI.Contracts, m.Backends = append(m.UWSGI.Contracts, next.UWSGI.Contracts[i]), append(m.Backends, "")
			m.MaxResults, m.ClassesOff = append(m.MaxResults, 0), append(m.ClassesOff, false)
		}
		m.Module.Classes[at], m.UWSGI.Contracts[at], m.Backends[at] = class, next.UWSGI.Contracts[i], next.Backends[i]
		m.MaxResults[at], m.ClassesOff[at] = next.MaxResults[i], false
	}
}

// tenants does the same for the teams. One that is dropped keeps its budget for what is open.
func (m *Config) tenants(c, next *Config) {
	m.Tenants, m.Module.Tenants = slices.Clone(c.Tenants), slices.Clone(c.Module.Tenants)
	m.TenantsOff = make([]bool, len(c.Tenants))
	for i := range m.TenantsOff {
		m.TenantsOff[i] = true
	}
	places := make(map[string]int, len(c.Tenants))
	for i, name := range c.Tenants {
		places[name] = i
	}
	for i, name := range next.Tenants {
		at, known := places[name]
		if !known {
			at = len(m.Tenants)
			m.Tenants = append(m.Tenants, name)
			m.Module.Tenants, m.TenantsOff = append(m.Module.Tenants, kiteslip.Tenant{}), append(m.TenantsOff, false)
		}
		m.Module.Tenants[at], m.TenantsOff[at] = next.Module.Tenants[i], false
	}
}

// Off says whether place i is of a class, or team, that is no longer in the file.
func Off(off []bool, i int) bool { return i < len(off) && off[i] }

// lacks adds an error for each key that is in the decoded text was and not in is.
func lacks(errs *problems, path string, was, is any) {
	switch was := was.(type) {
	case map[string]any:
		is, ok := is.(map[string]any)
		for key, value := range was {
			at := key
			if path != "" {
				at = path + "." + key
			}
			if value == nil {
				continue
			}
			if !ok || is[key] == nil {
				errs.add(at, "is absent, and the file in use has it")
				continue
			}
			lacks(errs, at, value, is[key])
		}
	case []any:
		all := common(was)
		is, ok := is.([]any)
		if !ok {
			errs.add(path, "is no list")
			return
		}
		if all == nil {
			return
		}
		for i, entry := range is {
			lacks(errs, fmt.Sprintf("%s[%d]", path, i), all, entry)
		}
	}
}

// common returns the keys that all entries of a list of objects have; nil = it is no such list.
func common(list []any) any {
	var all map[string]any
	for i, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			all = map[string]any{}
			for key, value := range object {
				all[key] = value
			}
		}
		for key := range all {
			if object[key] == nil {
				delete(all, key)
			}
		}
	}
	if all == nil {
		return nil
	}
	return all
}
