package document

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
)

// small is a version with an entry of each kind.
func small(t testing.TB) *Document {
	return version(t, Content{
		Teams: []Team{{"ana", 5}, {"bo", 1}, {"idle", 1}},
		Services: []Service{
			{Name: "maps", Owner: "ana", Contracts: []Contract{
				{Class: "draw", Path: "/draw", Effect: "repeatable", TargetTimeMS: ref(10.0), DeadlineMS: ref(100.0), Worth: ref(0.0)},
				{Class: "print", Effect: "keyed", DeadlineMS: ref(1000.0), WindowMS: ref(2000.0), CallsDownstream: ref(false)}}},
			{Name: "till", Owner: "bo", Backend: "127.0.0.1:9000", Contracts: []Contract{{Class: "pay", Path: "/pay", Effect: "once"}}},
		},
		Pools:        []Pool{{Name: "quick", Classes: []string{"draw"}, Share: 0.5}},
		CheapReserve: 0.5,
	})
}

// service is a change that sets a service with one contract.
func service(name string, c Contract) Change {
	return Change{Service: &Service{Name: name, Contracts: []Contract{c}}}
}

// team is a change that sets a team.
func team(name string, quota float64) Change { return Change{Team: &Team{Name: name, Quota: quota}} }

// TestFaults: each fault is reported by entry and field, by Draft and Apply alike,
// and nothing of the delta is applied.
func TestFaults(t *testing.T) {
	long := strings.Repeat("x", MaxNameBytes+1)
	contract := func(c Contract) []Change {
		c.Class = "c"
		return []Change{service("s", c)}
	}
	onePool := func(p Pool) []Change {
		p.Name = "p"
		if p.Classes == nil {
			p.Classes = []string{"pay"}
		}
		return []Change{{Pool: &p}}
	}
	for _, c := range []struct {
		want    string
		changes []Change
	}{
		{"the delta is empty", nil},
		{"the delta changes nothing", []Change{team("ana", 5), {CheapReserve: ref(0.5)}}},
		{"change[0] names no entry, or more than one", []Change{{}}},
		{"change[0] names no entry, or more than one", []Change{{Team: &Team{Name: "x", Quota: 1}, CheapReserve: ref(0.0)}}},
		{"change[1] names no entry, or more than one", []Change{team("x", 1), {Drop: true}}},
		{`team "x" is named twice`, []Change{team("x", 1), team("x", 2)}},
		{`team "idle" is named twice`, []Change{team("idle", 1), {Drop: true, Team: &Team{Name: "idle"}}}},
		{`service "s" is named twice`, []Change{service("s", Contract{Class: "a"}), service("s", Contract{Class: "b"})}},
		{`reserve is named twice`, []Change{{CheapReserve: ref(0.1)}, {CheapReserve: ref(0.2)}}},
		{`team "x" is not there, and cannot be dropped`, []Change{{Drop: true, Team: &Team{Name: "x"}}}},
		{`service "x" is not there, and cannot be dropped`, []Change{{Drop: true, Service: &Service{Name: "x"}}}},
		{`pool "x" is not there, and cannot be dropped`, []Change{{Drop: true, Pool: &Pool{Name: "x"}}}},
		{`team "" name is absent`, []Change{team("", 1)}},
		{`service "" name is absent`, []Change{service("", Contract{Class: "a"})}},
		{`pool "" name is absent`, []Change{{Drop: true, Pool: &Pool{}}}},
		{`team "` + long[:MaxNameBytes] + `"... name has 129 bytes, want at most 128`, []Change{team(long, 1)}},
		{`team "a\xff" name is "a\xff", want UTF-8`, []Change{team("a\xff", 1)}},
		{`team "x" requests_per_s is 0, want above 0 and finite`, []Change{team("x", 0)}},
		{`team "x" requests_per_s is -1, want above 0 and finite`, []Change{team("x", -1)}},
		{`team "x" requests_per_s is NaN, want above 0 and finite`, []Change{team("x", math.NaN())}},
		{`team "x" requests_per_s is +Inf, want above 0 and finite`, []Change{team("x", math.Inf(1))}},
		{`team "ana" is dropped and owns 1 services still, service "maps" among them`, []Change{{Drop: true, Team: &Team{Name: "ana"}}}},
		{`service "s" owner is "nobody", which is no team`, []Change{{Service: &Service{Name: "s", Owner: "nobody", Contracts: []Contract{{Class: "a"}}}}}},
		{`service "s" owner is "idle", which is no team`, []Change{{Drop: true, Team: &Team{Name: "idle"}},
			{Service: &Service{Name: "s", Owner: "idle", Contracts: []Contract{{Class: "a"}}}}}},
		{`service "s" owner has 129 bytes, want at most 128`, []Change{{Service: &Service{Name: "s", Owner: long, Contracts: []Contract{{Class: "a"}}}}}},
		{`service "s" backend is "nowhere", want host:port`, []Change{{Service: &Service{Name: "s", Backend: "nowhere", Contracts: []Contract{{Class: "a"}}}}}},
		{`service "s" backend has 129 bytes, want at most 128`, []Change{{Service: &Service{Name: "s", Backend: long, Contracts: []Contract{{Class: "a"}}}}}},
		{`service "s" contract is absent`, []Change{{Service: &Service{Name: "s"}}}},
		{`service "s" contract[0] class is absent`, []Change{service("s", Contract{})}},
		{`service "s" contract "` + long[:MaxNameBytes] + `"... class has 129 bytes, want at most 128`, []Change{service("s", Contract{Class: long})}},
		{`service "s" contract "draw" class is "draw", want one of its own: service "maps" has it`, []Change{service("s", Contract{Class: "draw"})}},
		{`service "s" contract "a" class is "a", want one of its own: service "s" has it`, []Change{{Service: &Service{Name: "s", Contracts: []Contract{{Class: "a"}, {Class: "a"}}}}}},
		{`service "z" contract "a" class is "a", want one of its own: service "s" has it`, []Change{service("z", Contract{Class: "a"}), service("s", Contract{Class: "a"})}},
		{`service "s" contract "c" path is "/pay", want one of its own: service "till" has it`, contract(Contract{Path: "/pay"})},
		{`service "s" contract "c" path is "pay", want one that starts with /`, contract(Contract{Path: "pay"})},
		{`service "s" contract "c" path has 130 bytes, want at most 128`, contract(Contract{Path: "/" + long})},
		{`service "s" contract "c" effect is "twice", want repeatable, keyed or once`, contract(Contract{Effect: "twice"})},
		{`service "s" contract "c" aim_ms is -1, want 0 to 3.6e+06`, contract(Contract{TargetTimeMS: ref(-1.0)})},
		{`service "s" contract "c" aim_ms is past the deadline`, contract(Contract{TargetTimeMS: ref(11.0), DeadlineMS: ref(10.0)})},
		{`service "s" contract "c" deadline_ms is 3.600001e+06, want 0 to 3.6e+06`, contract(Contract{DeadlineMS: ref(3_600_001.0)})},
		{`service "s" contract "c" deadline_ms is 0, want a microsecond at least`, contract(Contract{DeadlineMS: ref(0.0)})},
		{`service "s" contract "c" window_ms is NaN, want 0 to 3.6e+06`, contract(Contract{WindowMS: ref(math.NaN())})},
		{`service "s" contract "c" window_ms is shorter than the deadline: a later try would run again`,
			contract(Contract{Effect: "keyed", WindowMS: ref(9.0), DeadlineMS: ref(10.0)})},
		{`service "s" contract "c" worth is 1.000001e+06, want 0 to 1e+06`, contract(Contract{Worth: ref(1_000_001.0)})},
		{`service "s" contract "c" late_worth is 1.1, want 0 to 1`, contract(Contract{LateWorth: ref(1.1)})},
		{`service "s" contract "c" skip_worth is -0.1, want 0 to 1`, contract(Contract{SkipWorth: ref(-0.1)})},
		{`service "s" contract "c" skip_worth is 0.5, and the class makes no calls`, contract(Contract{SkipWorth: ref(0.5), CallsDownstream: ref(false)})},
		{`service "s" contract "c" max_body is -1, want 0 to 1048576 bytes`, contract(Contract{MaxBody: -1})},
		{`service "s" contract "c" max_result is 1048577, want 0 to 1048576 bytes`, contract(Contract{MaxResult: 1<<20 + 1})},
		{`service "s" contract "c" held_kb is 1, want room for max_body at least`, contract(Contract{RequestMemoryKB: 1})},
		{`service "s" contract "c" held_kb is 16, want room for max_body at least`, contract(Contract{MaxBody: 16<<10 + 1})},
		{`service "s" contract "c" held_kb is -3, want above 0 and finite`, contract(Contract{RequestMemoryKB: -3})},
		{`service "s" contract "c" held_kb is +Inf, want above 0 and finite`, contract(Contract{RequestMemoryKB: math.Inf(1)})},
		{`pool "p" classes is empty`, onePool(Pool{Classes: []string{}})},
		{`pool "p" class is absent`, onePool(Pool{Classes: []string{""}})},
		{`pool "p" class is "draw", want one of its own: pool "quick" has it`, onePool(Pool{Classes: []string{"pay", "draw"}})},
		{`pool "p" class is "pay", want one of its own: pool "p" has it`, onePool(Pool{Classes: []string{"pay", "pay"}})},
		{`pool "rest" name is that of the classes which no pool names`, []Change{{Pool: &Pool{Name: "rest", Classes: []string{"pay"}}}}},
		{`pool "p" share is 1.5, want 0 to 1`, onePool(Pool{Share: 1.5})},
		{`pool "p" most is NaN, want 0 to 1`, onePool(Pool{MaxShare: math.NaN()})},
		{`pool "p" most is 0.1, less than the share of 0.2`, onePool(Pool{Share: 0.2, MaxShare: 0.1})},
		{`pool "p" reserve is -0.5, want 0 to 1`, onePool(Pool{Reserve: -0.5})},
		{`pool "p" memory is 2, want 0 to 1`, onePool(Pool{Memory: 2})},
		{`pool "p" memory_most is 3, want 0 to 1`, onePool(Pool{MaxMemoryShare: 3})},
		{`pool "p" memory_most is 0.1, less than its own 0.3`, onePool(Pool{Share: 0.3, MaxMemoryShare: 0.1})},
		{`pool "p" waiting is -1, want 0 or more`, onePool(Pool{MaxQueued: -1})},
		{`share adds up to 1.100 over all pools, want 1 at most`, onePool(Pool{Share: 0.6})},
		{`memory adds up to 1.200 over all pools, want 1 at most`, onePool(Pool{Memory: 0.7})},
		{`reserve share is 1.5, want 0 to 1`, []Change{{CheapReserve: ref(1.5)}}},
		{`reserve is there, and there is no pool`, []Change{{Drop: true, Pool: &Pool{Name: "quick"}}}},
	} {
		t.Run(c.want, func(t *testing.T) {
			d := small(t)
			before := d.Content()
			delta, err := d.Draft(c.changes, testMeta)
			if delta != nil || err == nil || !namesFault(err, c.want) {
				t.Errorf("Draft: %v", err)
			}
			forged := &Delta{Header: Header{Number: 2, Parent: d.Digest(), Author: "a", Reason: "r"}, Changes: c.changes}
			next, err := d.Apply(forged)
			if next != nil || err == nil || errors.Is(err, ErrDigestMismatch) {
				t.Fatalf("Apply: %v", err)
			}
			if !namesFault(err, c.want) {
				t.Errorf("Apply: %v", err)
			}
			if !reflect.DeepEqual(d.Content(), before) || d.Digest() != small(t).Digest() {
				t.Error("the version in force has changed")
			}
		})
	}
}

// namesFault reports whether one line of the error is that fault.
func namesFault(err error, fault string) bool {
	for line := range strings.Lines(err.Error()) {
		if strings.TrimSuffix(line, "\n") == fault {
			return true
		}
	}
	return false
}

// TestAllFaultsAtOnce: one error has all faults, whatever the order.
func TestAllFaultsAtOnce(t *testing.T) {
	changes := []Change{
		team("x", -1),
		{Drop: true, Team: &Team{Name: "ana"}},
		{},
		service("maps2", Contract{Class: "draw", Path: "pay", Effect: "x", TargetTimeMS: ref(2.0), DeadlineMS: ref(1.0)}),
		{Drop: true, Pool: &Pool{Name: "none"}},
		{Pool: &Pool{Name: "p", Classes: []string{"draw"}, Share: 2}},
	}
	_, err := small(t).Draft(changes, Meta{Author: strings.Repeat("a", MaxTextBytes+1)})
	want := []string{
		"author has 1025 bytes, want at most 1024", "reason is absent", "change[2] names no entry, or more than one",
		`team "x" requests_per_s is -1, want above 0 and finite`,
		`service "maps2" contract "draw" path is "pay", want one that starts with /`,
		`service "maps2" contract "draw" effect is "x", want repeatable, keyed or once`,
		`service "maps2" contract "draw" aim_ms is past the deadline`,
		`pool "p" share is 2, want 0 to 1`,
		`pool "none" is not there, and cannot be dropped`,
		`service "maps2" contract "draw" class is "draw", want one of its own: service "maps" has it`,
		`pool "p" class is "draw", want one of its own: pool "quick" has it`,
		`team "ana" is dropped and owns 1 services still, service "maps" among them`,
		"share adds up to 2.500 over all pools, want 1 at most",
		"memory adds up to 2.500 over all pools, want 1 at most",
	}
	if err == nil || err.Error() != strings.Join(want, "\n") {
		t.Errorf("got\n%v\nwant\n%s", err, strings.Join(want, "\n"))
	}
}

// TestHeaderFaults: the texts of a header are validated too.
func TestHeaderFaults(t *testing.T) {
	d := small(t)
	for _, c := range []struct {
		want string
		by   Meta
	}{
		{"author is absent", Meta{Reason: "r"}},
		{"reason is absent", Meta{Author: "a"}},
		{"reason has 1025 bytes, want at most 1024", Meta{Author: "a", Reason: strings.Repeat("r", MaxTextBytes+1)}},
		{`author is "\xff", want UTF-8`, Meta{Author: "\xff", Reason: "r"}},
	} {
		if delta, err := d.Draft([]Change{team("x", 1)}, c.by); delta != nil || err == nil || err.Error() != c.want {
			t.Errorf("Draft: %v, want %s", err, c.want)
		}
		delta, err := d.Draft([]Change{team("x", 1)}, testMeta)
		if err != nil {
			t.Fatal(err)
		}
		delta.Header.Author, delta.Header.Reason = c.by.Author, c.by.Reason
		if next, err := d.Apply(delta); next != nil || err == nil || err.Error() != c.want {
			t.Errorf("Apply: %v, want %s", err, c.want)
		}
	}
	if _, err := d.Apply(nil); err == nil {
		t.Error("Apply accepts a nil delta")
	}
}

// TestDeltaCheckedAsWhole: a delta is validated by its result, not step by step.
func TestDeltaCheckedAsWhole(t *testing.T) {
	d := small(t)
	for name, changes := range map[string][]Change{
		"classes swapped": {service("maps", Contract{Class: "pay", Path: "/pay"}), service("till", Contract{Class: "draw", Path: "/draw"})},
		"a class moves to another service": {service("maps", Contract{Class: "print"}), service("till", Contract{Class: "draw"}),
			team("ana", 6)},
		"owner and service dropped": {{Drop: true, Team: &Team{Name: "ana"}}, {Drop: true, Service: &Service{Name: "maps"}}},
		"owner added":               {{Service: &Service{Name: "s", Owner: "new", Contracts: []Contract{{Class: "a"}}}}, team("new", 1)},
		"owner replaced and dropped": {{Drop: true, Team: &Team{Name: "bo"}},
			{Service: &Service{Name: "till", Owner: "ana", Contracts: []Contract{{Class: "pay"}}}}},
		"pool dropped, reserve 0":       {{Drop: true, Pool: &Pool{Name: "quick"}}, {CheapReserve: ref(0.0)}},
		"pool and reserve dropped":      {{Drop: true, CheapReserve: ref(0.0)}, {Drop: true, Pool: &Pool{Name: "quick"}}},
		"a share moves to another pool": {{Pool: &Pool{Name: "quick", Classes: []string{"pay"}, Share: 0.1}}, {Pool: &Pool{Name: "p", Classes: []string{"draw"}, Share: 0.9}}},
	} {
		delta, err := d.Draft(changes, testMeta)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if _, err := d.Apply(delta); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestParentAndFork: Apply tells a delta on its parent from a fork, and from one
// whose preceding versions are missing.
func TestParentAndFork(t *testing.T) {
	draft := func(d *Document, quota float64) *Delta {
		delta, err := d.Draft([]Change{team("ana", quota)}, testMeta)
		if err != nil {
			t.Fatal(err)
		}
		return delta
	}
	apply := func(d *Document, delta *Delta) *Document {
		next, err := d.Apply(delta)
		if err != nil {
			t.Fatal(err)
		}
		return next
	}
	d1 := small(t)
	two, otherTwo := draft(d1, 10), draft(d1, 20)
	d2, otherD2 := apply(d1, two), apply(d1, otherTwo)
	three, otherThree := draft(d2, 30), draft(otherD2, 30)
	d3 := apply(d2, three)
	four := draft(d3, 40)
	forged := *three
	forged.Header.Content = two.Header.Content
	relabelled := *three
	relabelled.Header.Author = "eve"
	zero := *two
	zero.Header.Number, zero.Header.Parent = 0, Digest{}
	for name, c := range map[string]struct {
		d     *Document
		delta *Delta
		want  error
	}{
		"in force already":            {d2, two, ErrParentMismatch},
		"long in force":               {d3, two, ErrParentMismatch},
		"another with its number":     {d2, otherTwo, ErrFork},
		"another with the parent's":   {d3, otherTwo, ErrFork},
		"on another parent":           {d2, otherThree, ErrParentMismatch},
		"skips a version":             {d2, four, ErrParentMismatch},
		"far ahead":                   {Empty(), four, ErrParentMismatch},
		"number 0":                    {d3, &zero, ErrParentMismatch},
		"another content":             {d2, &forged, ErrDigestMismatch},
		"same number, another author": {d3, &relabelled, ErrFork},
		"another author, not a fork":  {d2, &relabelled, nil},
	} {
		before := c.d.Digest()
		next, err := c.d.Apply(c.delta)
		if !errors.Is(err, c.want) || (next == nil) != (err != nil) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		for _, other := range []error{ErrParentMismatch, ErrFork, ErrDigestMismatch} {
			if c.want != other && errors.Is(err, other) {
				t.Errorf("%s: %v is also %v", name, err, other)
			}
		}
		if c.d.Digest() != before {
			t.Errorf("%s: the version in force has changed", name)
		}
	}
	if d2.Header().Parent != d1.Digest() || d2.Header().Number != 2 || d1.Header().Parent != Empty().Digest() {
		t.Error("a version doesn't name its parent")
	}
}

// TestCanonical: equal contents have one digest, whatever the order and the encoding
// of the changes that led to them; different contents have different digests.
func TestCanonical(t *testing.T) {
	changes := []Change{team("a", 1), team("b", 2), service("s", Contract{Class: "c"}), {Pool: &Pool{Name: "p", Classes: []string{"c"}}}}
	reversed := []Change{changes[3], changes[2], changes[1], changes[0]}
	negative := []Change{changes[0], changes[1], changes[2], {Pool: &Pool{Name: "p", Classes: []string{"c"}, Share: math.Copysign(0, -1)}},
		{CheapReserve: ref(math.Copysign(0, -1))}}
	first, err := Empty().Draft(changes, testMeta)
	if err != nil {
		t.Fatal(err)
	}
	for _, other := range [][]Change{reversed, negative} {
		if delta, err := Empty().Draft(other, testMeta); err != nil || !reflect.DeepEqual(delta, first) {
			t.Errorf("%+v, want %+v (%v)", delta, first, err)
		}
	}
	plus, minus := mustDraft(t, Empty(), service("s", Contract{Class: "c", Worth: ref(0.0)})), mustDraft(t, Empty(),
		service("s", Contract{Class: "c", Worth: ref(math.Copysign(0, -1))}))
	if plus.Header.Content != minus.Header.Content {
		t.Error("a worth of -0 makes another digest than one of 0")
	}
	seen := map[Digest]string{first.Header.Content: "the first"}
	for i, c := range []Change{team("a", 1.5), team("c", 1), service("s", Contract{Class: "d"}), service("s", Contract{Class: "c", Worth: ref(0.0)}),
		service("s", Contract{Class: "c", CallsDownstream: ref(false)}), service("t", Contract{Class: "d"}), {CheapReserve: ref(0.5)},
		{Pool: &Pool{Name: "p", Classes: []string{"c", "d"}}}, {Pool: &Pool{Name: "p", Classes: []string{"d", "c"}}},
		{Drop: true, Pool: &Pool{Name: "p"}}, {Drop: true, Team: &Team{Name: "a"}}} {
		delta, err := version(t, content(t, changes)).Draft([]Change{c}, testMeta)
		if err != nil {
			t.Fatal(i, err)
		}
		if other, ok := seen[delta.Header.Content]; ok {
			t.Errorf("change %d makes the same digest as %s", i, other)
		}
		seen[delta.Header.Content] = fmt.Sprintf("change %d", i)
	}
}

// content is the content that the changes make of the empty version.
func content(t testing.TB, changes []Change) Content {
	delta, err := Empty().Draft(changes, testMeta)
	if err != nil {
		t.Fatal(err)
	}
	d, err := Empty().Apply(delta)
	if err != nil {
		t.Fatal(err)
	}
	return d.Content()
}

// TestSharesNothing: what a caller does to the changes, the delta or the content
// that it got must not affect a version, nor may a later version.
func TestSharesNothing(t *testing.T) {
	d := small(t)
	s := &Service{Name: "s", Contracts: []Contract{{Class: "a", TargetTimeMS: ref(1.0), CallsDownstream: ref(true)}}}
	p := &Pool{Name: "p", Classes: []string{"a"}}
	changes := []Change{{Service: s}, {Pool: p}, {CheapReserve: ref(0.25)}}
	delta, err := d.Draft(changes, testMeta)
	if err != nil {
		t.Fatal(err)
	}
	modify := func(changes []Change) {
		for i := range changes {
			switch c := &changes[i]; {
			case c.Service != nil:
				c.Service.Name, c.Service.Contracts[0].Class = "spoilt", "spoilt"
				*c.Service.Contracts[0].TargetTimeMS, *c.Service.Contracts[0].CallsDownstream = 99, false
			case c.Pool != nil:
				c.Pool.Name, c.Pool.Classes[0] = "spoilt", "spoilt"
			default:
				*c.CheapReserve = 0.99
			}
		}
	}
	encoded, err := delta.Encode()
	if err != nil {
		t.Fatal(err)
	}
	modify(changes)
	if again, _ := delta.Encode(); string(again) != string(encoded) {
		t.Error("a delta shares memory with the changes")
	}
	next, err := d.Apply(delta)
	if err != nil {
		t.Fatal(err)
	}
	want, err := next.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	modify(delta.Changes)
	copied := next.Content()
	copied.Services[0].Contracts[0].Class = "spoilt"
	*copied.Services[0].Contracts[0].TargetTimeMS = 99
	copied.Pools[0].Classes[0], copied.Teams[0].Quota = "spoilt", 99
	if _, err := next.Apply(mustDraft(t, next, Change{Drop: true, Service: &Service{Name: "s"}})); err != nil {
		t.Fatal(err)
	}
	if got, _ := next.Snapshot(); string(got) != string(want) {
		t.Error("a version has changed")
	}
}

// mustDraft drafts a delta of the changes.
func mustDraft(t testing.TB, d *Document, changes ...Change) *Delta {
	t.Helper()
	delta, err := d.Draft(changes, testMeta)
	if err != nil {
		t.Fatal(err)
	}
	return delta
}

// TestDiffNamedTwice: a content that names an entry twice is refused, even if both
// are equal to the one in force.
func TestDiffNamedTwice(t *testing.T) {
	d := small(t)
	c := d.Content()
	if changes := d.Diff(&c); changes != nil {
		t.Errorf("equal contents differ by %+v", changes)
	}
	c.Teams = append(c.Teams, c.Teams[0])
	if _, err := d.Draft(d.Diff(&c), testMeta); err == nil || !namesFault(err, `team "ana" is named twice`) {
		t.Errorf("%v", err)
	}
}
