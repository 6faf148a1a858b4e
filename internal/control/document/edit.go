package document

import (
	"cmp"
	"errors"
	"reflect"
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// maxChanges bounds a delta: all entries that can exist dropped, and as many set.
const maxChanges = 2 * (MaxTeams + MaxServices + MaxPools + 1)

// entry is a Change in the form in which it is processed.
type entry struct {
	kind   kind
	name   string
	drop   bool
	value  any // the new value, a copy: *Team, *Service, *Pool or *float64
	bucket int
	skip   bool // nothing to do: the entry is unchanged, or has a fault
}

// title names the entry in a fault.
func (e *entry) title() string {
	if e.kind == kindReserve {
		return "reserve"
	}
	return e.kind.String() + " " + quote(e.name)
}

// change is the entry as a Change.
func (e *entry) change() Change {
	switch v := e.value.(type) {
	case *Team:
		return Change{Team: v}
	case *Service:
		return Change{Service: v}
	case *Pool:
		return Change{Pool: v}
	case *float64:
		return Change{CheapReserve: v}
	}
	c := Change{Drop: true}
	switch e.kind {
	case kindTeam:
		c.Team = &Team{Name: e.name}
	case kindService:
		c.Service = &Service{Name: e.name}
	case kindPool:
		c.Pool = &Pool{Name: e.name}
	default:
		c.CheapReserve = new(float64)
	}
	return c
}

// rank is the order of the kinds in a delta. Teams come before the services that
// they own, and are dropped after them.
func (e *entry) rank() int {
	switch {
	case e.kind == kindTeam && e.drop:
		return 6
	case e.kind == kindTeam:
		return 0
	case e.kind == kindService && e.drop:
		return 1
	case e.kind == kindService:
		return 2
	case e.kind == kindPool && e.drop:
		return 3
	case e.kind == kindPool:
		return 4
	}
	return 5
}

// byRank orders entries by rank and name.
func byRank(a, b entry) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), strings.Compare(a.name, b.name))
}

// entryOf converts a Change, and copies its value.
func entryOf(c *Change) (entry, error) {
	e, set := entry{drop: c.Drop}, 0
	if c.Team != nil {
		e.kind, e.name, e.value, set = kindTeam, c.Team.Name, cloneTeam(c.Team), set+1
	}
	if c.Service != nil {
		e.kind, e.name, e.value, set = kindService, c.Service.Name, cloneService(c.Service), set+1
	}
	if c.Pool != nil {
		e.kind, e.name, e.value, set = kindPool, c.Pool.Name, clonePool(c.Pool), set+1
	}
	if c.CheapReserve != nil {
		v := normalizeZero(*c.CheapReserve)
		e.kind, e.name, e.value, set = kindReserve, "", &v, set+1
	}
	if set != 1 {
		return e, errors.New("names no entry, or more than one")
	}
	e.name = strings.Clone(e.name)
	if e.drop {
		e.value = nil
	}
	return e, nil
}

// edit returns the state that the changes make of s, and the changes that have an
// effect, in order. s stays as it is. The result is validated as a whole: a class
// may move from one service to another in one delta.
func (s *state) edit(changes []Change) (*state, []Change, error) {
	var f faults
	if len(changes) == 0 {
		return nil, nil, errors.New("the delta is empty")
	}
	if len(changes) > maxChanges {
		f.add("the delta has %d changes, want at most %d", len(changes), maxChanges)
		return nil, nil, f.join()
	}
	entries := readChanges(changes, &f)
	next := *s
	txn := s.tree.Txn()
	for i := range entries {
		maybeYield(i)
		next.removeOld(txn, &entries[i], &f)
	}
	// The tree copies a node once for consecutive changes near it, not once for each
	// change, as long as they are not too many: so the entries are inserted by
	// bucket.
	for n, i := range byBucket(entries) {
		maybeYield(n)
		entries[i].insert(txn)
	}
	for i := range entries {
		maybeYield(i)
		if e := &entries[i]; e.isInserted() {
			next.updateIndexes(txn, e, e.value, &f)
		}
	}
	next.checkReferences(txn.Root(), entries, &f)
	if len(f) > 0 {
		return nil, nil, f.join()
	}
	effective, touched := []Change(nil), map[int]bool{}
	for i := range entries {
		if e := &entries[i]; !e.skip {
			effective, touched[e.bucket] = append(effective, e.change()), true
		}
	}
	if len(effective) == 0 {
		return nil, nil, errors.New("the delta changes nothing")
	}
	next.tree = txn.CommitOnly()
	next.rehash(touched)
	return &next, effective, nil
}

// readChanges validates each change by itself. What cannot be in the tree is left
// out.
func readChanges(changes []Change, f *faults) []entry {
	type id struct {
		kind kind
		name string
	}
	entries, seen := make([]entry, 0, len(changes)), make(map[id]bool, len(changes))
	for i := range changes {
		maybeYield(i)
		e, err := entryOf(&changes[i])
		if err != nil {
			f.add("change[%d] %w", i, err)
			continue
		}
		if e.kind != kindReserve && !(validator{f: f, entry: &e}).requiredText("name", e.name, MaxNameBytes) {
			continue
		}
		if seen[id{e.kind, e.name}] {
			f.add("%s is named twice", e.title())
			continue
		}
		seen[id{e.kind, e.name}] = true
		e.bucket = bucketOf(e.kind, e.name)
		entries = append(entries, e)
	}
	slices.SortStableFunc(entries, byRank)
	for i := range entries {
		maybeYield(i)
		validator{f: f, entry: &entries[i]}.checkValue()
	}
	return entries
}

// byBucket returns the indexes of the entries in the order of the tree's keys.
func byBucket(entries []entry) []int {
	order := make([]int, len(entries))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := &entries[i], &entries[j]
		return cmp.Or(cmp.Compare(a.bucket, b.bucket), cmp.Compare(a.kind, b.kind), strings.Compare(a.name, b.name))
	})
	return order
}

// isZeroReserve reports whether the entry is a reserve of 0, which is not stored.
func (e *entry) isZeroReserve() bool {
	v, ok := e.value.(*float64)
	return ok && *v == 0
}

// isInserted reports whether the entry must be inserted into the tree.
func (e *entry) isInserted() bool { return !e.skip && !e.drop && !e.isZeroReserve() }

// removeOld looks up the previous value of the entry, and removes it, or its index
// entries.
func (s *state) removeOld(txn *iradix.Txn[any], e *entry, f *faults) {
	key := entryKey(e.kind, e.name, e.bucket)
	old, exists := txn.Get(key)
	switch {
	case e.drop && !exists:
		f.add("%s is not there, and cannot be dropped", e.title())
		e.skip = true
	case e.drop:
	case exists:
		e.skip = reflect.DeepEqual(old, e.value)
	default:
		e.skip = e.isZeroReserve()
	}
	if e.skip || !exists {
		return
	}
	s.updateIndexes(txn, nil, old, nil)
	if !e.isInserted() {
		txn.Delete(key)
	}
}

// insert inserts the entry into the tree if it must be there.
func (e *entry) insert(txn *iradix.Txn[any]) {
	if e.isInserted() {
		txn.Insert(entryKey(e.kind, e.name, e.bucket), e.value)
	}
}

// updateIndexes adds the value of e to the indexes and sums, or, if e is nil,
// removes a value. A name that another entry has is a fault.
func (s *state) updateIndexes(txn *iradix.Txn[any], e *entry, value any, f *faults) {
	n := 1
	if e == nil {
		n = -1
	}
	addUnique := func(v validator, index byte, key, name, field, other string) {
		switch {
		case key == "" || len(key) > MaxNameBytes: // already reported as a fault, or absent
		case e == nil:
			txn.Delete(indexKey(index, key))
		default:
			if old, taken := txn.Get(indexKey(index, key)); taken {
				v.add(field, "is %s, want one of its own: %s %s has it", quote(key), other, quote(old.(string)))
				return
			}
			txn.Insert(indexKey(index, key), name)
		}
	}
	switch v := value.(type) {
	case *Team:
		s.teams += n
	case *Service:
		s.services += n
		s.contracts += n * len(v.Contracts)
		for i := range v.Contracts {
			cv := validator{f, e, &v.Contracts[i], i}
			addUnique(cv, prefixClasses, cv.contract.Class, v.Name, "class", "service")
			addUnique(cv, prefixPaths, cv.contract.Path, v.Name, "path", "service")
		}
		switch key := ownerKey(v.Owner, v.Name); {
		case v.Owner == "" || len(v.Owner) > MaxNameBytes:
		case e == nil:
			txn.Delete(key)
		default:
			txn.Insert(key, v.Name)
		}
	case *Pool:
		s.pools += n
		s.pooledClasses += n * len(v.Classes)
		for _, class := range v.Classes {
			addUnique(validator{f: f, entry: e}, prefixPooled, class, v.Name, "class", "pool")
		}
		if e == nil {
			txn.Delete(indexKey(prefixPools, v.Name))
		} else {
			txn.Insert(indexKey(prefixPools, v.Name), v)
		}
	}
}

// checkReferences validates the result: references between entries, and the sums.
func (s *state) checkReferences(root *iradix.Node[any], entries []entry, f *faults) {
	poolsChanged := false
	for i := range entries {
		maybeYield(i)
		e := &entries[i]
		switch {
		case e.kind == kindTeam && e.drop:
			first, n := "", 0
			forEach(root, ownerKey(e.name, ""), func(_ []byte, service any) {
				if n++; n == 1 {
					first = service.(string)
				}
			})
			if n > 0 {
				f.add("%s is dropped and owns %d services still, service %s among them", e.title(), n, quote(first))
			}
		case e.kind == kindService && !e.drop:
			owner := e.value.(*Service).Owner
			if owner == "" || len(owner) > MaxNameBytes {
				continue
			}
			if _, ok := root.Get(entryKey(kindTeam, owner, bucketOf(kindTeam, owner))); !ok {
				f.add("%s owner is %s, which is no team", e.title(), quote(owner))
			}
		case e.kind == kindPool, e.kind == kindReserve:
			poolsChanged = true
		}
	}
	checkBound := func(what string, n, limit int) {
		if n > limit {
			f.add("there are %d %s, want at most %d", n, what, limit)
		}
	}
	checkBound("teams", s.teams, MaxTeams)
	checkBound("services", s.services, MaxServices)
	checkBound("contracts", s.contracts, MaxContracts)
	checkBound("pools", s.pools, MaxPools)
	checkBound("classes in pools", s.pooledClasses, MaxContracts)
	if poolsChanged {
		s.checkPools(root, f)
	}
}

// checkPools validates all pools together: they are few.
func (s *state) checkPools(root *iradix.Node[any], f *faults) {
	share, memory := 0.0, 0.0
	forEach(root, []byte{prefixPools}, func(_ []byte, value any) {
		p := value.(*Pool)
		share += p.Share
		memory += guaranteedMemory(p)
	})
	if share > 1+shareTolerance {
		f.add("share adds up to %.3f over all pools, want 1 at most", share)
	}
	if memory > 1+shareTolerance {
		f.add("memory adds up to %.3f over all pools, want 1 at most", memory)
	}
	if _, ok := root.Get(entryKey(kindReserve, "", bucketOf(kindReserve, ""))); ok && s.pools == 0 {
		f.add("reserve is there, and there is no pool")
	}
}
