package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

var testMeta = Meta{Author: "ana", Reason: "because", Time: 1_790_000_000_000_000}

// ref returns a pointer to v.
func ref[T any](v T) *T { return &v }

// model is a content as plain maps, with which Draft and Apply are compared.
type model struct {
	teams    map[string]Team
	services map[string]Service
	pools    map[string]Pool
	reserve  float64
}

func newModel() *model {
	return &model{map[string]Team{}, map[string]Service{}, map[string]Pool{}, 0}
}

func (m *model) clone() *model {
	return &model{maps.Clone(m.teams), maps.Clone(m.services), maps.Clone(m.pools), m.reserve}
}

// apply makes the changes; false = they must be refused. It checks all entries.
func (m *model) apply(changes []Change) bool {
	before, named := m.content(), map[string]bool{}
	for _, c := range changes {
		id, exists := "reserve", m.reserve != 0
		switch {
		case c.Team != nil:
			id = "team " + c.Team.Name
			_, exists = m.teams[c.Team.Name]
		case c.Service != nil:
			id = "service " + c.Service.Name
			_, exists = m.services[c.Service.Name]
		case c.Pool != nil:
			id = "pool " + c.Pool.Name
			_, exists = m.pools[c.Pool.Name]
		}
		if named[id] || c.Drop && !exists {
			return false
		}
		named[id] = true
		switch {
		case c.Team != nil && c.Drop:
			delete(m.teams, c.Team.Name)
		case c.Team != nil:
			m.teams[c.Team.Name] = *c.Team
		case c.Service != nil && c.Drop:
			delete(m.services, c.Service.Name)
		case c.Service != nil:
			m.services[c.Service.Name] = *c.Service
		case c.Pool != nil && c.Drop:
			delete(m.pools, c.Pool.Name)
		case c.Pool != nil:
			m.pools[c.Pool.Name] = *c.Pool
		case c.Drop:
			m.reserve = 0
		default:
			m.reserve = *c.CheapReserve
		}
	}
	return m.isConsistent() && !reflect.DeepEqual(before, m.content())
}

// isConsistent reports whether all references and sums are valid.
func (m *model) isConsistent() bool {
	seen := map[string]bool{}
	addUnique := func(name string) bool {
		duplicate := seen[name]
		seen[name] = true
		return !duplicate
	}
	for _, s := range m.services {
		if _, ok := m.teams[s.Owner]; s.Owner != "" && !ok {
			return false
		}
		for _, c := range s.Contracts {
			if !addUnique("class "+c.Class) || c.Path != "" && !addUnique("path "+c.Path) {
				return false
			}
		}
	}
	share := 0.0
	for _, p := range m.pools {
		share += p.Share
		for _, class := range p.Classes {
			if !addUnique("pooled " + class) {
				return false
			}
		}
	}
	return share <= 1+1e-9 && (m.reserve == 0 || len(m.pools) > 0)
}

func (m *model) content() Content {
	c := Content{Teams: []Team{}, Services: []Service{}, CheapReserve: m.reserve}
	for _, name := range slices.Sorted(maps.Keys(m.teams)) {
		c.Teams = append(c.Teams, m.teams[name])
	}
	for _, name := range slices.Sorted(maps.Keys(m.services)) {
		c.Services = append(c.Services, m.services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(m.pools)) {
		c.Pools = append(c.Pools, m.pools[name])
	}
	return c
}

// digest is the content's digest computed from all entries, by the package's
// documentation alone.
func (m *model) digest(t interface{ Fatal(...any) }) Digest {
	options := cbor.CoreDetEncOptions()
	options.OmitEmpty = cbor.OmitEmptyGoValue
	mode, err := options.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	type item struct {
		kind  byte
		name  string
		value any
	}
	var items []item
	for name, v := range m.teams {
		items = append(items, item{'t', name, v})
	}
	for name, v := range m.services {
		items = append(items, item{'s', name, v})
	}
	for name, v := range m.pools {
		items = append(items, item{'p', name, v})
	}
	if m.reserve != 0 {
		items = append(items, item{'r', "", m.reserve})
	}
	slices.SortFunc(items, func(a, b item) int {
		return strings.Compare(string(a.kind)+a.name, string(b.kind)+b.name)
	})
	buckets := make([][]byte, 1024)
	for i := range buckets {
		buckets[i] = []byte("b")
	}
	for _, it := range items {
		encoded, err := mode.Marshal(it.value)
		if err != nil {
			t.Fatal(err)
		}
		h := sha256.Sum256([]byte(string(it.kind) + it.name))
		b := &buckets[(int(h[0])<<8|int(h[1]))%1024]
		*b = append(binary.BigEndian.AppendUint32(append(*b, it.kind), uint32(len(encoded))), encoded...)
	}
	root := []byte("r")
	for group := range slices.Chunk(buckets, 32) {
		page := []byte("g")
		for _, b := range group {
			h := sha256.Sum256(b)
			page = append(page, h[:]...)
		}
		h := sha256.Sum256(page)
		root = append(root, h[:]...)
	}
	return sha256.Sum256(root)
}

// The random changes use few names, so that they affect the same entries.

func drawName(t *rapid.T, what string, n int) string {
	return fmt.Sprintf("%s%d", what, rapid.IntRange(0, n-1).Draw(t, what))
}

func drawNumber(t *rapid.T, name string, values ...float64) *float64 {
	return rapid.SampledFrom(append([]*float64{nil}, refs(values)...)).Draw(t, name)
}

func refs(values []float64) (all []*float64) {
	for _, v := range values {
		all = append(all, &v)
	}
	return all
}

func drawContract(t *rapid.T) Contract {
	c := Contract{
		Class:           drawName(t, "class", 12),
		Effect:          rapid.SampledFrom([]string{"", "repeatable", "once"}).Draw(t, "effect"),
		TargetTimeMS:    drawNumber(t, "aim", 0, 2.5),
		DeadlineMS:      drawNumber(t, "deadline", 50, 1e5),
		Worth:           drawNumber(t, "worth", 0, 1, 0.3),
		MaxBody:         rapid.SampledFrom([]int{0, 1 << 10}).Draw(t, "max body"),
		RequestMemoryKB: rapid.SampledFrom([]float64{0, 17.25}).Draw(t, "held"),
		CallsDownstream: rapid.SampledFrom([]*bool{nil, ref(true), ref(false)}).Draw(t, "calls"),
	}
	if rapid.Bool().Draw(t, "has path") {
		c.Path = "/" + drawName(t, "path", 8)
	}
	return c
}

func drawChange(t *rapid.T) Change {
	c := Change{Drop: rapid.IntRange(0, 5).Draw(t, "drop") == 0}
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1, 2, 3:
		c.Team = &Team{Name: drawName(t, "team", 8), Quota: rapid.SampledFrom([]float64{1, 0.25, 1e9, 3.7}).Draw(t, "quota")}
	case 4, 5, 6, 7:
		s := &Service{Name: drawName(t, "service", 6), Contracts: rapid.SliceOfN(rapid.Custom(drawContract), 1, 3).Draw(t, "contracts")}
		if rapid.Bool().Draw(t, "owned") {
			s.Owner = drawName(t, "team", 8)
		}
		s.Backend = rapid.SampledFrom([]string{"", "127.0.0.1:9"}).Draw(t, "backend")
		c.Service = s
	case 8:
		c.Pool = &Pool{Name: drawName(t, "pool", 3), Classes: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) string {
			return drawName(t, "class", 12)
		}), 1, 3).Draw(t, "classes"), Share: rapid.SampledFrom([]float64{0, 0.1, 0.5, 0.75}).Draw(t, "share"),
			MaxQueued: rapid.IntRange(0, 1).Draw(t, "waiting")}
	default:
		c.CheapReserve = ref(rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "reserve"))
	}
	return c
}

// sameContent compares contents, in which nil and empty lists are equal.
func sameContent(a, b Content) bool {
	return slices.Equal(a.Teams, b.Teams) && a.CheapReserve == b.CheapReserve &&
		len(a.Services) == len(b.Services) && (len(a.Services) == 0 || reflect.DeepEqual(a.Services, b.Services)) &&
		len(a.Pools) == len(b.Pools) && (len(a.Pools) == 0 || reflect.DeepEqual(a.Pools, b.Pools))
}

// TestModel walks through random versions, and compares what is accepted, what is
// refused, the contents and the digests with those of a plain model that checks all
// entries. The encoded delta, a snapshot and, as to the content, a Diff of the whole
// must lead to the same version. Earlier versions must stay as they were.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, d, copied := newModel(), Empty(), Empty()
		type version struct {
			doc     *Document
			content Content
		}
		var versions []version
		accepted := 0
		for i := range rapid.IntRange(5, 40).Draw(t, "versions") {
			changes := rapid.SliceOfN(rapid.Custom(drawChange), 1, 3).Draw(t, "changes")
			next := m.clone()
			want := next.apply(changes)
			delta, err := d.Draft(changes, testMeta)
			if (err == nil) != want {
				t.Fatalf("version %d: Draft says %v, the model %v: %+v", i, err, want, changes)
			}
			// What Draft refuses, Apply must refuse too, from a publisher that
			// forges a delta.
			if err != nil {
				forged := &Delta{Header: Header{Number: d.Header().Number + 1, Parent: d.Digest(), Content: next.digest(t),
					Author: "a", Reason: "r"}, Changes: changes}
				if got, err := d.Apply(forged); err == nil || got != nil {
					t.Fatalf("version %d: Apply accepted what Draft refused", i)
				}
				continue
			}
			m = next
			accepted++
			if d, err = d.Apply(delta); err != nil {
				t.Fatalf("version %d: Apply refuses what Draft made: %v", i, err)
			}
			if !sameContent(d.Content(), m.content()) {
				t.Fatalf("version %d holds\n%+v, want\n%+v", i, d.Content(), m.content())
			}
			if d.Header().Content != m.digest(t) {
				t.Fatalf("version %d: the digest of the content is not that of its entries", i)
			}
			bytes, err := delta.Encode()
			if err != nil {
				t.Fatal(err)
			}
			read, err := DecodeDelta(bytes)
			if err != nil {
				t.Fatal(err)
			}
			if copied, err = copied.Apply(read); err != nil {
				t.Fatal(err)
			}
			checkSameVersion(t, d, copied)
			versions = append(versions, version{d, m.content()})
		}
		snapshot, err := d.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeSnapshot(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		checkSameVersion(t, d, decoded)
		if again, _ := decoded.Snapshot(); !bytes.Equal(again, snapshot) {
			t.Fatal("the snapshot of a decoded snapshot has other bytes")
		}
		for _, v := range versions {
			if !sameContent(v.doc.Content(), v.content) {
				t.Fatalf("version %d has changed since", v.doc.Header().Number)
			}
			// From any version to the last by a Diff of the whole contents.
			last := d.Content()
			changes := v.doc.Diff(&last)
			if len(changes) == 0 {
				if v.doc.Header().Content != d.Header().Content {
					t.Fatal("no difference, and the digests differ")
				}
				continue
			}
			delta, err := v.doc.Draft(changes, testMeta)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(delta.Changes, changes) {
				t.Fatalf("Diff has %+v, Draft makes %+v of it", changes, delta.Changes)
			}
			if got, err := v.doc.Apply(delta); err != nil || got.Header().Content != d.Header().Content {
				t.Fatal("the difference leads to another content", err)
			}
		}
	})
}

// checkSameVersion checks that both are the same version in all that can be queried.
func checkSameVersion(t *rapid.T, a, b *Document) {
	if a.Digest() != b.Digest() || a.Header() != b.Header() || !sameContent(a.Content(), b.Content()) {
		t.Fatalf("%+v and %+v are not the same version", a.Header(), b.Header())
	}
	for _, want := range a.Content().Teams {
		if got, ok := b.Team(want.Name); !ok || got != want {
			t.Fatalf("Team(%q) = %+v, %v", want.Name, got, ok)
		}
	}
	for _, want := range a.Content().Services {
		if got, ok := b.Service(want.Name); !ok || !reflect.DeepEqual(*got, want) {
			t.Fatalf("Service(%q) = %+v, %v", want.Name, got, ok)
		}
	}
	if a.state.teams != b.state.teams || a.state.contracts != b.state.contracts || a.state.pooledClasses != b.state.pooledClasses ||
		a.state.tree.Len() != b.state.tree.Len() {
		t.Fatal("the sums or the indexes differ")
	}
}
