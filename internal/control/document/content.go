package document

import (
	"reflect"
	"slices"
	"strings"
)

// normalizeZero is v, but 0 for -0, so that equal numbers have equal encodings.
func normalizeZero(v float64) float64 {
	if v == 0 {
		return 0
	}
	return v
}

// normalizeZeroPointer is a copy of v with 0 for -0, nil for nil.
func normalizeZeroPointer(v *float64) *float64 {
	if v == nil {
		return nil
	}
	w := normalizeZero(*v)
	return &w
}

// The copies share no memory with their originals: neither with what a caller may
// change later, nor with the text of a file that its strings are part of.

func cloneTeam(t *Team) *Team {
	return &Team{Name: strings.Clone(t.Name), Quota: normalizeZero(t.Quota)}
}

func cloneService(s *Service) *Service {
	c := &Service{Name: strings.Clone(s.Name), Owner: strings.Clone(s.Owner), Backend: strings.Clone(s.Backend),
		Contracts: slices.Clone(s.Contracts)}
	for i := range c.Contracts {
		t := &c.Contracts[i]
		t.Class, t.Path, t.Effect = strings.Clone(t.Class), strings.Clone(t.Path), strings.Clone(t.Effect)
		t.TargetTimeMS, t.DeadlineMS, t.WindowMS = normalizeZeroPointer(t.TargetTimeMS), normalizeZeroPointer(t.DeadlineMS), normalizeZeroPointer(t.WindowMS)
		t.Worth, t.LateWorth, t.SkipWorth = normalizeZeroPointer(t.Worth), normalizeZeroPointer(t.LateWorth), normalizeZeroPointer(t.SkipWorth)
		t.RequestMemoryKB = normalizeZero(t.RequestMemoryKB)
		if t.CallsDownstream != nil {
			calls := *t.CallsDownstream
			t.CallsDownstream = &calls
		}
	}
	return c
}

func clonePool(p *Pool) *Pool {
	c := *p
	c.Name, c.Classes = strings.Clone(p.Name), slices.Clone(p.Classes)
	for i := range c.Classes {
		c.Classes[i] = strings.Clone(c.Classes[i])
	}
	c.Share, c.MaxShare, c.Reserve = normalizeZero(p.Share), normalizeZero(p.MaxShare), normalizeZero(p.Reserve)
	c.Memory, c.MaxMemoryShare = normalizeZero(p.Memory), normalizeZero(p.MaxMemoryShare)
	return &c
}

// Content returns a copy of all that the version holds. The cost is in proportion to
// the version.
func (d *Document) Content() Content {
	c := d.state.sharedContent()
	for i := range c.Services {
		c.Services[i] = *cloneService(&c.Services[i])
	}
	for i := range c.Pools {
		c.Pools[i] = *clonePool(&c.Pools[i])
	}
	return c
}

// sharedContent is Content that shares memory with the state.
func (s *state) sharedContent() Content {
	c := Content{Teams: make([]Team, 0, s.teams), Services: make([]Service, 0, s.services)}
	forEach(s.tree.Root(), []byte{prefixEntries}, func(_ []byte, value any) {
		switch v := value.(type) {
		case *Team:
			c.Teams = append(c.Teams, *v)
		case *Service:
			c.Services = append(c.Services, *v)
		case *Pool:
			c.Pools = append(c.Pools, *v)
		case *float64:
			c.CheapReserve = *v
		}
	})
	slices.SortFunc(c.Teams, func(a, b Team) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	return c
}

// changes are the changes that set all of a content.
func (c *Content) changes() []Change {
	all := make([]Change, 0, len(c.Teams)+len(c.Services)+len(c.Pools)+1)
	for i := range c.Teams {
		all = append(all, Change{Team: &c.Teams[i]})
	}
	for i := range c.Services {
		all = append(all, Change{Service: &c.Services[i]})
	}
	for i := range c.Pools {
		all = append(all, Change{Pool: &c.Pools[i]})
	}
	return append(all, Change{CheapReserve: &c.CheapReserve})
}

// Diff returns the changes that turn the content of d into next: teams, services,
// pools and the reserve, each kind by name, drops of a kind first, but of teams
// last. The cost is in proportion to the version. What next names twice is returned
// twice, and is a fault in Draft. No changes: next is the content of d.
func (d *Document) Diff(next *Content) []Change {
	if next == nil {
		return nil
	}
	type id struct {
		kind kind
		name string
	}
	seen, entries := map[id]int{}, []entry(nil)
	all := next.changes()
	for i := range all {
		e, err := entryOf(&all[i])
		if err != nil {
			continue // impossible: each change has one entry
		}
		seen[id{e.kind, e.name}]++
		entries = append(entries, e)
	}
	result := entries[:0]
	for _, e := range entries {
		current, ok := find[any](d.state, e.kind, e.name)
		if e.kind == kindReserve && !ok {
			current, ok = new(float64), true
		}
		if seen[id{e.kind, e.name}] > 1 || !ok || !reflect.DeepEqual(current, e.value) {
			result = append(result, e)
		}
	}
	drop := func(k kind, name string) {
		if seen[id{k, name}] == 0 {
			result = append(result, entry{kind: k, name: name, drop: true})
		}
	}
	forEach(d.state.tree.Root(), []byte{prefixEntries}, func(_ []byte, value any) {
		switch v := value.(type) {
		case *Team:
			drop(kindTeam, v.Name)
		case *Service:
			drop(kindService, v.Name)
		case *Pool:
			drop(kindPool, v.Name)
		}
	})
	slices.SortStableFunc(result, byRank)
	var changes []Change
	for i := range result {
		changes = append(changes, result[i].change())
	}
	return changes
}
