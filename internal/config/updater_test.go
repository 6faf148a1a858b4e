package config

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
	"pgregory.net/rapid"

	"kiteslip"
	"kiteslip/internal/control/document"
)

// nextVersion returns the version after d with this content, or nil if d has that
// content already or the document rejects it.
func nextVersion(t interface{ Fatal(...any) }, d *document.Document, c *document.Content) (*document.Document, *document.Delta) {
	changes := d.Diff(c)
	if len(changes) == 0 {
		return nil, nil
	}
	delta, err := d.Draft(changes, document.Meta{Author: "a", Reason: "r", Time: 1})
	if err != nil {
		return nil, nil
	}
	next, err := d.Apply(delta)
	if err != nil {
		t.Fatal(err)
	}
	return next, delta
}

// drawContent draws the content of a version; one in three may be invalid in ways that
// only a server's configuration shows.
func drawContent(t *rapid.T) *document.Content {
	faulty := rapid.IntRange(0, 2).Draw(t, "faulty") == 0
	number := func(key string, values ...float64) *float64 {
		if faulty && rapid.IntRange(0, 3).Draw(t, key+" is absent") == 0 {
			return nil
		}
		return &[]float64{rapid.SampledFrom(values).Draw(t, key)}[0]
	}
	c := &document.Content{}
	for _, name := range []string{"red", "blue", "green", "teal"} {
		if rapid.Bool().Draw(t, name) {
			c.Teams = append(c.Teams, Team{Name: name, Quota: float64(rapid.IntRange(1, 3).Draw(t, "quota"))})
		}
	}
	classes := rapid.Permutation([]string{"look", "note", "draw", "send", "find", "sum"}).Draw(t, "classes")
	paths := []string{"/a", "/b", "/a/c", "/d", "/e", "/f"}
	for i, name := range []string{"maps", "post", "till"} {
		s := Service{Name: name}
		if rapid.IntRange(0, 9).Draw(t, name) == 0 {
			continue
		}
		s.Backend = rapid.SampledFrom([]string{"127.0.0.1:3032", "127.0.0.1:3033", ""}).Draw(t, "backend")
		if faulty {
			s.Owner = rapid.SampledFrom([]string{"", "red", "blue", "green"}).Draw(t, "owner")
		} else if len(c.Teams) > 0 && rapid.Bool().Draw(t, "owned") {
			s.Owner = rapid.SampledFrom(c.Teams).Draw(t, "owner").Name
		}
		if !faulty && s.Backend == "" {
			s.Backend = "127.0.0.1:3034"
		}
		for j := range rapid.IntRange(1, 2).Draw(t, "contracts") {
			k := Contract{Class: classes[2*i+j], Effect: rapid.SampledFrom([]string{"repeatable", "keyed", "once"}).Draw(t, "effect"),
				TargetTimeMS: number("aim", 100, 300), DeadlineMS: number("deadline", 300, 500, 900), WindowMS: number("window", 900, 1500),
				Worth: number("worth", 1, 2), LateWorth: number("late", 0, 0.5), MaxBody: rapid.SampledFrom([]int{0, 0, 4096, 20_000}).Draw(t, "body"),
				RequestMemoryKB: rapid.SampledFrom([]float64{0, 32}).Draw(t, "held"), MaxResult: rapid.SampledFrom([]int{0, 100}).Draw(t, "result")}
			if rapid.Bool().Draw(t, "path") {
				k.Path = paths[2*i+j]
			}
			if faulty {
				k.Effect = rapid.SampledFrom([]string{"repeatable", "keyed", ""}).Draw(t, "any effect")
				if rapid.IntRange(0, 9).Draw(t, "calls") == 0 {
					yes := true
					k.CallsDownstream = &yes
				}
			} else if k.MaxBody > 16<<10 {
				k.RequestMemoryKB = 32
			}
			s.Contracts = append(s.Contracts, k)
		}
		c.Services = append(c.Services, s)
	}
	named := classes
	if !faulty {
		named = nil
		for _, s := range c.Services {
			for _, k := range s.Contracts {
				named = append(named, k.Class)
			}
		}
	}
	if rapid.IntRange(0, 2).Draw(t, "pools") == 0 && len(named) > 1 {
		c.Pools = append(c.Pools, Pool{Name: "p", Share: 0.4, Classes: rapid.SliceOfNDistinct(rapid.SampledFrom(named), 1, 2, rapid.ID[string]).Draw(t, "p")})
	}
	if (faulty || len(c.Pools) > 0) && rapid.IntRange(0, 2).Draw(t, "reserve") == 0 {
		c.CheapReserve = 0.1
	}
	return c
}

// describeInForce formats what is in force in c by name, without slots.
func describeInForce(c *Config) string {
	var lines []string
	for i, name := range c.Classes {
		if !IsRetired(c.RetiredClasses, i) {
			lines = append(lines, fmt.Sprintf("class %s %+v", name, c.classConfig(i)))
		} else if c.UWSGI.Contracts[i].Path != "" {
			lines = append(lines, "a path selects a retired class")
		}
	}
	for i, name := range c.Tenants {
		if !IsRetired(c.RetiredTenants, i) {
			lines = append(lines, fmt.Sprintf("team %s %+v", name, c.Policy.Tenants[i]))
		}
	}
	if s := c.PoolSettings(); s != nil {
		for _, p := range s.Pools {
			names := []string{}
			for _, slot := range p.Classes {
				names = append(names, c.Classes[slot])
			}
			slices.Sort(names)
			p.Classes = nil
			lines = append(lines, fmt.Sprintf("pool %+v %v reserve %v", p, names, s.CheapReserve))
		}
	}
	slices.Sort(lines)
	m := c.Policy
	m.Classes, m.Tenants = nil, nil
	return strings.Join(lines, "\n") + fmt.Sprintf("\npolicy %+v, keys %+v, engine %s", m, c.Keys, c.Engine)
}

// checkChange fails the test unless a change lists exactly the slots that differ from
// the configuration that was in force, and its lists are consistent.
func checkChange(t *rapid.T, was *Config, ch *Change) {
	c := ch.Config
	n := len(c.Classes)
	if len(c.Policy.Classes) != n || len(c.UWSGI.Contracts) != n || len(c.Backends) != n || len(c.MaxResultBytes) != n ||
		len(c.Policy.Tenants) != len(c.Tenants) {
		t.Fatalf("lists of different lengths: %+v", c)
	}
	if _, err := kiteslip.New(c.Policy, 0); err != nil {
		t.Fatal(err)
	}
	for i := range c.Classes {
		differs := i >= len(was.Classes) || c.classConfig(i) != was.classConfig(i) || IsRetired(c.RetiredClasses, i) != IsRetired(was.RetiredClasses, i)
		if i < len(was.Classes) && (c.Classes[i] != was.Classes[i] || c.Policy.Classes[i].Effect != was.Policy.Classes[i].Effect) {
			t.Fatalf("slot %d has another class", i)
		}
		if differs != slices.Contains(ch.Classes, i) {
			t.Fatalf("class %d differs: %v, and %v are listed", i, differs, ch.Classes)
		}
	}
	for i := range c.Tenants {
		differs := i >= len(was.Tenants) || c.Tenants[i] != was.Tenants[i] || c.Policy.Tenants[i] != was.Policy.Tenants[i] ||
			IsRetired(c.RetiredTenants, i) != IsRetired(was.RetiredTenants, i)
		if differs != slices.Contains(ch.Tenants, i) {
			t.Fatalf("team %d differs: %v, and %v are listed", i, differs, ch.Tenants)
		}
	}
}

// A version changes the configuration in force in the same way as a file with the same
// content, errors included, whether it comes as a delta or as a snapshot. Guards
// against differences between the fast path for deltas and the full one.
func TestVersionMatchesFile(t *testing.T) {
	versions, byDeltas := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		head, alone := "", rapid.Bool().Draw(t, "alone") // without a platform's file
		if alone {
			head = "[uwsgi]\nlisten = \"127.0.0.1:3031\"\n[machine]\ncores = 2\n"
		}
		if rapid.IntRange(0, 3).Draw(t, "keys") == 0 {
			head += "[keys]\nfolder = \"/k\"\n"
		}
		read := func(c *document.Content) (*Config, error) {
			var encoded bytes.Buffer
			if err := toml.NewEncoder(&encoded).Encode(OperatorFile{Teams: c.Teams, Services: c.Services, Pool: c.Pools, Pools: PoolsSection{CheapReserve: c.CheapReserve}}); err != nil {
				t.Fatal(err)
			}
			text := strings.ReplaceAll(strings.ReplaceAll(encoded.String(), "[uwsgi]\n  listen = \"\"\n  read_ms = 0\n", ""), "  ", "")
			if alone {
				return ParseOperator(text+head, nil)
			}
			return ParseOperator(text+head, parse(t, platform))
		}
		first := &document.Content{Services: []Service{{Name: "own", Backend: "127.0.0.1:9", Contracts: []Contract{
			{Class: "own", Effect: "keyed", DeadlineMS: &[]float64{100}[0], WindowMS: &[]float64{100}[0]}}}}}
		cfg, err := read(first)
		if err != nil {
			t.Fatal(err)
		}
		asFile, asDelta, asWhole := NewUpdater(cfg), NewUpdater(cfg), NewUpdater(cfg)
		doc, now := document.Empty(), int64(1)
		for range rapid.IntRange(1, 5).Draw(t, "versions") {
			content := drawContent(t)
			next, delta := nextVersion(t, doc, content)
			if next == nil {
				continue
			}
			doc = next
			now += int64(rapid.IntRange(0, 70_000_000).Draw(t, "time"))
			for _, p := range []*Updater{asFile, asDelta, asWhole} {
				p.SetTime(now)
			}
			var byFile *Change
			sorted := doc.Content()
			file, fileErr := read(&sorted)
			if fileErr == nil {
				byFile, fileErr = asFile.PrepareFile(file)
			}
			byDelta, deltaErr := asDelta.PrepareVersion(doc, delta)
			byWhole, wholeErr := asWhole.PrepareVersion(doc, nil)
			if fmt.Sprint(fileErr) != fmt.Sprint(deltaErr) || fmt.Sprint(fileErr) != fmt.Sprint(wholeErr) {
				t.Fatalf("as a file %v\nas a delta %v\nas a snapshot %v", fileErr, deltaErr, wholeErr)
			}
			if fileErr != nil {
				continue // the version before stays in force, and the next delta has another parent
			}
			versions++
			if byDelta.updateIndex != nil {
				byDeltas++
			}
			checkChange(t, asFile.cfg, byFile)
			checkChange(t, asDelta.cfg, byDelta)
			checkChange(t, asWhole.cfg, byWhole)
			if a, b, c := describeInForce(byFile.Config), describeInForce(byDelta.Config), describeInForce(byWhole.Config); a != b || a != c {
				t.Fatalf("as a file\n%s\nas a delta\n%s\nas a snapshot\n%s", a, b, c)
			}
			if byDelta.Config.Version() != doc || byWhole.Config.Version() != doc || byFile.Config.Version() != nil {
				t.Fatal("Version returns another version than that in force")
			}
			asFile.Commit(byFile)
			asDelta.Commit(byDelta)
			asWhole.Commit(byWhole)
		}
	})
	if 4*byDeltas < versions {
		t.Errorf("of %d versions only %d were computed from their delta", versions, byDeltas)
	}
	t.Logf("%d of %d versions computed from their delta", byDeltas, versions)
}

// The slot of a retired team is reused once none of its requests can be open any more,
// and not before. Guards against growth without end in a process whose teams come and
// go, and against requests of one team that are accounted to another.
func TestRetiredTeamSlotsAreReused(t *testing.T) {
	classes := [][2]string{{"first", "repeatable"}} // its deadline is 4 s
	const wait = 2*4_000_000 + extraRetentionUS
	p := NewUpdater(parse(t, platformText(classes, []string{"stays", "goes"})))
	apply := func(teams ...string) *Config {
		t.Helper()
		ch, err := p.PrepareFile(parse(t, platformText(classes, teams)))
		if err != nil {
			t.Fatal(err)
		}
		p.Commit(ch)
		return ch.Config
	}
	p.SetTime(1_000_000)
	apply("stays")
	p.SetTime(1_000_000 + wait - 1)
	if c := apply("stays", "early"); len(c.Tenants) != 3 || c.Tenants[2] != "early" || !IsRetired(c.RetiredTenants, 1) {
		t.Fatalf("a slot was reused too early: %v", c.Tenants)
	}
	p.SetTime(1_000_000 + wait)
	if c := apply("stays", "early", "late"); len(c.Tenants) != 3 || c.Tenants[1] != "late" || IsRetired(c.RetiredTenants, 1) || c.Policy.Tenants[1].Quota != 3 {
		t.Fatalf("the slot is not reused: %v", c.Tenants)
	}
	if c := apply("stays", "early", "late", "goes"); len(c.Tenants) != 4 || c.Tenants[3] != "goes" {
		t.Fatalf("a team that returns after its slot was reused: %v", c.Tenants)
	}
	if c := apply("stays", "late", "goes"); !IsRetired(c.RetiredTenants, 2) {
		t.Fatalf("%v", c.RetiredTenants)
	}
	if c := apply("stays", "early", "late", "goes"); IsRetired(c.RetiredTenants, 2) || len(c.Tenants) != 4 {
		t.Fatalf("a team that returns to its slot: %v", c.Tenants)
	}
	now := p.now
	for i := range 5_000 { // one that comes and goes, and one new name each time
		now += wait / 3
		p.SetTime(now)
		teams := []string{"stays", fmt.Sprint("new", i)}
		if i%2 == 0 {
			teams = append(teams, "flips")
		}
		if c := apply(teams...); len(c.Tenants) > 20 || len(p.teams) > 20 || len(p.reusableAt) > 20 || len(p.released) > 110 {
			t.Fatalf("file %d: %d slots, %d names, %d and %d released", i, len(c.Tenants), len(p.teams), len(p.reusableAt), len(p.released))
		}
	}
}

// While a version is in force, a file's machine settings apply and the version's teams
// and services stay. A file with which the version would be invalid is rejected.
func TestFileUnderVersion(t *testing.T) {
	cfg, err := ParseOperator(machine+operator, nil)
	if err != nil {
		t.Fatal(err)
	}
	p := NewUpdater(cfg)
	doc, _ := nextVersion(t, document.Empty(), &document.Content{Teams: []Team{{Name: "teal", Quota: 7}}, Services: []Service{{Name: "s", Owner: "teal",
		Backend: "127.0.0.1:4000", Contracts: []Contract{{Class: "sum", Path: "/sum", Effect: "once", DeadlineMS: &[]float64{700}[0]}}}}})
	ch, err := p.PrepareVersion(doc, nil)
	if err != nil {
		t.Fatal(err)
	}
	p.Commit(ch)
	was := describeInForce(ch.Config)
	if !strings.Contains(was, "class sum") || strings.Contains(was, "class draw") || !strings.Contains(was, "team teal {Quota:7}") {
		t.Fatalf("in force\n%s", was)
	}
	next, err := ParseOperator(strings.Replace(machine, "cores = 2", "cores = 3\nstop_ms = 5000", 1)+strings.Replace(operator, "requests_per_s = 20", "requests_per_s = 21", 1), nil)
	if err != nil {
		t.Fatal(err)
	}
	ch, err = p.PrepareFile(next)
	if err != nil {
		t.Fatal(err)
	}
	if !ch.FileContentIgnored || !ch.FromFile || ch.Config.Version() != doc || ch.Config.Policy.Cores != 3 || ch.Config.StopTimeoutUS != 5_000_000 || len(ch.Classes)+len(ch.Tenants) != 0 {
		t.Errorf("%+v", ch)
	}
	if is := describeInForce(ch.Config); strings.Replace(was, "Cores:2", "Cores:3", 1) != is {
		t.Errorf("was\n%s\nis\n%s", was, is)
	}
	p.Commit(ch)
	worse, err := ParseOperator(strings.Replace(machine, "cores", "key_kb", 1)+"[keys]\nfolder = \"/k\"\n"+operator, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.PrepareFile(worse); err == nil || !strings.Contains(err.Error(), "version 1") || !strings.Contains(err.Error(), "no class is keyed") {
		t.Errorf("a file that is invalid with the version in force: %v", err)
	}
}

// [control] is off without a publisher; all its invalid keys are reported in one error.
func TestControl(t *testing.T) {
	const control = "[control]\nregion = \"south\"\nfolder = \"/var/versions\"\n[[control.publisher]]\naddress = \"10.0.0.1:7000\"\nregion = \"south\"\n" +
		"[[control.publisher]]\naddress = \"10.0.0.2:7000\"\nregion = \"north\"\n"
	c, err := ParseOperator(machine+operator+control, nil)
	if err != nil {
		t.Fatal(err)
	}
	if k := c.Control; !k.Enabled() || k.Region != "south" || k.Folder != "/var/versions" || k.InitialWaitUS != 1_000_000 || len(k.Publishers) != 2 ||
		k.Publishers[1] != (ControlPublisher{Address: "10.0.0.2:7000", Region: "north"}) {
		t.Errorf("%+v", c.Control)
	}
	for _, text := range []string{"", "[control]\nregion = \"south\"\nwait_ms = 0\n"} {
		if c, err := ParseOperator(machine+operator+text, nil); err != nil || c.Control.Enabled() {
			t.Errorf("%q: %+v %v", text, c.Control, err)
		}
	}
	faulty := strings.NewReplacer("\"/var", "\"var", "region = \"south\"\nfolder", "wait_ms = 70000\nfolder", "10.0.0.1:7000", "nowhere",
		"region = \"north\"", "zone = \"north\"").Replace(control)
	_, err = ParseOperator(machine+operator+faulty+"[[control.publisher]]\naddress = \"10.0.0.2:7000\"\nregion = \"x\"\n", nil)
	for _, key := range []string{"control.folder", "control.wait_ms", "control.region", "control.publisher[0].address", "control.publisher[1].region",
		"control.publisher.zone", "control.publisher[2].address"} {
		if err == nil || !strings.Contains(err.Error(), key+" ") {
			t.Errorf("%s is not named: %v", key, err)
		}
	}
}
