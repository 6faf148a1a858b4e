package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"kiteslip"
)

const settings = `{"classes": [{"name": "look", "effect": "repeatable", "on_time_us": 1000, "hard_limit_us": 4000000},
 {"name": "note", "effect": "by_key", "on_time_us": 1000, "hard_limit_us": 4000000, "window_us": 9000000}],
 "tenants": [{"name": "red", "quota_per_s": 5}], "family_info": {"cores": 2, "memory_kb": 1000, "gauges": ["runnable"]}}`

const platform = `{"name": "n3", "listen": "10.0.0.4:8443", "engine": "10.1.0.1:9300", "registry": "10.2.0.1:7946",
 "seed": "8c1f30d27a5be964", "stop_ms": 3200, "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 512}, "settings": ` + settings + `}`

func unset(string) string { return "" }

func TestPlatform(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(platform), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{EnvConfig: path, EnvListen: "10.0.0.9:1"}
	c, err := Load(func(key string) string { return env[key] })
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "10.0.0.9:1" || c.Engine != "10.1.0.1:9300" || c.Seed != 0x8c1f30d27a5be964 || c.StopTimeoutUS != 3_200_000 ||
		c.Limits != (Limits{0.5, 64, 512}) || c.Policy.Cores != 2 || strings.Join(c.Classes, " ") != "look note" || c.Tenants[0] != "red" {
		t.Errorf("%+v", c)
	}
	if c.UWSGI.Listen != "" {
		t.Error("the uwsgi front end is on without the operator's file")
	}
}

func TestPlatformErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{`"n3"`, `""`, "name"}, {`"n3"`, `3`, "name"}, {"10.0.0.4:8443", "10.0.0.4", "listen"}, {"10.1.0.1:9300", "", "engine"},
		{"10.2.0.1:7946", "x", "registry"}, {"8c1f30d27a5be964", "seed", "seed"}, {"3200", "0", "stop_ms"}, {"0.5", "-1", "limits.cores"},
		{"64,", "1,", "limits.memory_mb"}, {"512", "3", "limits.sockets"}, {"512", `"many"`, "limits.sockets"},
		{`"cores": 2`, `"cores": 0`, "Settings.Cores"}, {`"by_key"`, `"twice"`, "classes[1].effect"}, {`"note"`, `"look"`, "classes[1].name"},
		{`"red"`, `""`, "tenants[0].name"}, {`"settings"`, `"others"`, "settings"},
	} {
		_, err := Parse([]byte(strings.Replace(platform, c.old, c.new, 1)), unset)
		if err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%s for %s: error %v, want one that names %s", c.new, c.old, err, c.key)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), EnvConfig) {
		t.Errorf("without a file: %v", err)
	}
}

const operator = `
[uwsgi]
listen = "127.0.0.1:3031"
[[team]]
name = "red"
requests_per_s = 50
[[team]]
name = "blue"
requests_per_s = 20
[[service]]
name = "maps"
owner = "blue"
backend = "127.0.0.1:3032"
[[service.contract]]
class = "draw"
path = "/draw"
effect = "keyed"
aim_ms = 300
deadline_ms = 900
window_ms = 2000
worth = 3.0
late_worth = 0.5
max_body = 4096
held_kb = 32
`

const machine = "[machine]\ncores = 2\n"

func TestOperatorOverPlatform(t *testing.T) {
	base, err := Parse([]byte(platform), unset)
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseOperator(operator, base)
	if err != nil {
		t.Fatal(err)
	}
	draw := kiteslip.Class{Effect: kiteslip.Keyed, TargetTime: 300_000, Timeout: 900_000, Window: 2_000_000, Worth: 3, LateWorth: 0.5}
	if len(c.Policy.Classes) != 3 || c.Policy.Classes[2] != draw || c.Classes[2] != "draw" || c.Backends[2] != "127.0.0.1:3032" || c.Backends[0] != "" {
		t.Errorf("classes %+v %v %v", c.Policy.Classes, c.Classes, c.Backends)
	}
	if c.Policy.Tenants[0].Quota != 50 || c.Policy.Tenants[1].Quota != 20 || strings.Join(c.Tenants, " ") != "red blue" {
		t.Errorf("tenants %+v %v", c.Policy.Tenants, c.Tenants)
	}
	if u := c.UWSGI.Contracts[2]; c.UWSGI.Listen != "127.0.0.1:3031" || !u.Keyed || u.MaxBody != 4096 || u.RequestMemoryKB != 32 || u.Path != "/draw" {
		t.Errorf("front %+v", c.UWSGI)
	}
}

func TestOperatorAlone(t *testing.T) {
	c, err := ParseOperator(machine+operator, nil)
	if err != nil {
		t.Fatal(err)
	}
	if c.Policy.Cores != 2 || c.Policy.MemoryKB != 64*1024 || c.Limits.MemoryMB != defaultMemoryMB || c.StopTimeoutUS != defaultStopMS*1000 || len(c.Classes) != 1 {
		t.Errorf("%+v", c)
	}
}

func TestOperatorErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, key string }{
		{"cores", "coars", "machine.coars"}, {machine, "", "machine"}, {"cores = 2", "work_mb = -1", "machine.work_mb"}, {"127.0.0.1:3031", "x", "uwsgi.listen"},
		{`"127.0.0.1:3031"`, `""`, "uwsgi.listen"}, {`"blue"`, `"red"`, "team[1].name"}, {"20\n", "0\n", "team[1].requests_per_s"},
		{`owner = "blue"`, `owner = "green"`, "service[0].owner"}, {"127.0.0.1:3032", "x", "service[0].backend"}, {"backend = ", "#", "service[0].backend"},
		{`"draw"`, `""`, "service[0].contract[0].class"}, {`"/draw"`, `"draw"`, "contract[0].path"}, {`"keyed"`, `"twice"`, "contract[0].effect"},
		{"aim_ms = 300", "aim_ms = 901", "contract[0].aim_ms"}, {"deadline_ms = 900", "deadline_ms = -1", "contract[0].deadline_ms"},
		{"window_ms = 2000", "window_ms = 100", "contract[0].window_ms"}, {"late_worth = 0.5", "late_worth = 2.0", "contract[0].late_worth"},
		{"max_body = 4096", "max_body = -1", "contract[0].max_body"}, {"held_kb = 32", "held_kb = 1", "contract[0].held_kb"},
		{"held_kb = 32\n", "held_kb = 32\n[pools]\ncheap_reserve = 0.5\n", "pools.cheap_reserve"},
		{"held_kb = 32\n", "held_kb = 32\n[[pool]]\nname = \"p\"\nclasses = [\"paint\"]\n", `pool[0].classes has "paint"`},
		{"held_kb = 32\n", "held_kb = 32\n[[pool]]\nname = \"p\"\nclasses = [\"draw\"]\n[[pool]]\nname = \"q\"\nclasses = [\"draw\"]\n", `pool[1].classes has "draw", which is in pool "p"`},
		{"held_kb = 32\n", "held_kb = 32\n[[pool]]\nname = \"p\"\nclasses = [\"draw\"]\nshare = 2.0\n", "pool[0].share"},
		{"held_kb = 32\n", "held_kb = 32\n[[pool]]\nname = \"p\"\nclasses = [\"draw\"]\nshares = 0.2\n", "pool.shares"},
		{"held_kb = 32\n", "held_kb = 32\n[keys]\n", "keys.folder"},
		{"held_kb = 32\n", "held_kb = 32\n[keys]\nfolder = \"keys\"\n", `keys.folder is "keys"`},
		{"held_kb = 32\n", "held_kb = 32\n[keys]\nfolder = \"/k\"\ndurability = \"none\"\n", "keys.durability"},
		{"held_kb = 32\n", "held_kb = 32\n[keys]\nfolder = \"/k\"\non_error = \"panic\"\n", "keys.on_error"},
		{"held_kb = 32\n", "held_kb = 32\n[keys]\nfolder = \"/k\"\nmax_mb = 1\n", "keys.max_mb"},
		{`name = "maps"`, "", "service[0].name"}, {"worth = 3.0", `worth = "much"`, "worth"},
	} {
		_, err := ParseOperator(strings.Replace(machine+operator, c.old, c.new, 1), nil)
		if err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%q for %q: error %v, want one that names %s", c.new, c.old, err, c.key)
		}
	}
}

// Guards against a ledger address with a host name, which would not be resolved, in
// either file, and against contracts whose calls and skip_worth contradict each other.
func TestDownstreamCalls(t *testing.T) {
	const service = "[uwsgi]\nlisten = \"127.0.0.1:1\"\n[machine]\nengine = \"127.0.0.1:2\"\n%s\n[[team]]\nname = \"red\"\nrequests_per_s = 1\n" +
		"[[service]]\nname = \"s\"\nowner = \"red\"\n[[service.contract]]\nclass = \"c\"\neffect = \"repeatable\"\ndeadline_ms = 1000\n%s\n"
	for _, c := range []struct{ machine, contract, want string }{
		{"ledger = \"ledger:7700\"", "", "machine.ledger is \"ledger:7700\""},
		{"stop_runs = \"pause\"", "", "machine.stop_runs is \"pause\""},
		{"", "calls = true", "calls is true, and there is no ledger"},
		{"ledger = \"127.0.0.1:3\"", "calls = true\nskip_worth = 1.5", "skip_worth is 1.5"},
		{"ledger = \"127.0.0.1:3\"", "skip_worth = 0.5", "the class makes no calls"},
		{"ledger = \"127.0.0.1:3\"\nstop_runs = \"freeze\"", "calls = true\nskip_worth = 0.5", ""},
	} {
		got, err := ParseOperator(fmt.Sprintf(service, c.machine, c.contract), nil)
		if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%s, %s: %v, want %q", c.machine, c.contract, err, c.want)
		}
		if c.want == "" && (err != nil || !got.Policy.Classes[0].CallsDownstream || got.Policy.Classes[0].SkipWorth != 0.5 || got.Policy.Stop != kiteslip.StopFreeze) {
			t.Errorf("%+v, %v", got, err)
		}
	}
	const named = `{"name": "t", "listen": "127.0.0.1:1", "engine": "127.0.0.1:2", "ledger": "ledger:1", "settings": {}}`
	if _, err := Parse([]byte(named), unset); err == nil || !strings.Contains(err.Error(), `ledger is "ledger:1"`) {
		t.Errorf("a host name is accepted as the ledger's address: %v", err)
	}
}
