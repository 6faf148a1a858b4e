package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const controlMachine = `
name = "control-2"
region = "south"
listen = "127.0.0.1:9400"
folder = "/var/lib/kiteslip/control"
deltas = 100
[[follow]]
address = "127.0.0.1:9401"
region = "north"
[[follow]]
address = "127.0.0.1:9402"
region = "south"
`

func TestControlMachine(t *testing.T) {
	c, err := ParseControlMachine(controlMachine)
	if err != nil || c.Name != "control-2" || c.Region != "south" || c.MaxDeltas != 100 || len(c.Upstreams) != 2 || c.Upstreams[1] != (ControlPublisher{"127.0.0.1:9402", "south"}) {
		t.Errorf("%+v, %v", c, err)
	}
	if _, err := LoadControlMachine(filepath.Join("..", "..", "deploy", "control.toml")); err != nil {
		t.Error(err)
	}
	if _, err := LoadControlMachine(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a missing file gives no error")
	}
}

// Each invalid value is reported by its key, and all of them in one error.
func TestControlMachineFaults(t *testing.T) {
	all := controlMachine
	var keys []string
	for _, c := range []struct{ old, new, key string }{
		{`"control-2"`, `""`, "name"}, {`region = "south"` + "\nlisten", `region = ""` + "\nlisten", "region"}, {`"127.0.0.1:9400"`, `"9400"`, "listen"},
		{`"/var/lib/kiteslip/control"`, `"log"`, "folder"}, {"100", "3", "deltas"}, {"deltas", "most", "most"},
		{`"127.0.0.1:9401"`, `"x"`, "follow[0].address"}, {`"127.0.0.1:9402"`, `"127.0.0.1:9400"`, "follow[1].address"},
		{`"127.0.0.1:9402"`, `"127.0.0.1:9401"`, "follow[1].address"}, {`region = "north"`, `region = ""`, "follow[0].region"},
	} {
		text := strings.Replace(controlMachine, c.old, c.new, 1)
		if _, err := ParseControlMachine(text); err == nil || !strings.Contains(err.Error(), c.key+" ") {
			t.Errorf("%s for %s: %v, want %s", c.new, c.old, err, c.key)
		}
	}
	for _, c := range [][3]string{{`"control-2"`, `""`, "name "}, {`"/var/lib/kiteslip/control"`, `"log"`, "folder "}, {"100", "-1", "deltas "}, {`region = "north"`, ``, "follow[0].region "}} {
		all = strings.Replace(all, c[0], c[1], 1)
		keys = append(keys, c[2])
	}
	_, err := ParseControlMachine(all)
	for _, key := range keys {
		if err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%v does not name %s", err, key)
		}
	}
	if _, err := ParseControlMachine(controlMachine + strings.Repeat("[[follow]]\naddress = \"h:1\"\nregion = \"r\"\n", maxUpstreams)); err == nil || !strings.Contains(err.Error(), "follow has") {
		t.Errorf("%v", err)
	}
}

// A file's teams, services and pools are read and sorted by name; sections that are per
// machine are ignored, whatever they hold. Unknown keys elsewhere are errors: a misspelt
// section would drop its content from the fleet.
func TestParseContent(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("..", "..", "deploy", "operator.toml"))
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseContent(string(text))
	if err != nil || len(c.Teams) == 0 || len(c.Services) == 0 {
		t.Fatalf("%+v, %v", c, err)
	}
	c, err = ParseContent("[machine]\ncores = -3\nwings = 2\n[control]\nregion = \"x\"\n[[control.publisher]]\naddress = \"a:1\"\n" + operator +
		"[[pool]]\nname = \"p\"\nclasses = [\"draw\"]\nshare = 0.5\n[pools]\ncheap_reserve = 0.25\n")
	if err != nil || len(c.Teams) != 2 || c.Teams[0].Name != "blue" || c.Teams[1].Quota != 50 || len(c.Services) != 1 ||
		c.Services[0].Contracts[0].Class != "draw" || len(c.Pools) != 1 || c.CheapReserve != 0.25 {
		t.Errorf("%+v, %v", c, err)
	}
	_, err = ParseContent("[[teem]]\nname = \"a\"\n[[team]]\nname = \"b\"\n[[team]]\nname = \"b\"\nquota = 1\n[[pool]]\n[[service]]\n")
	for _, want := range []string{"teem", "team.quota", `team[1].name is "b"`, "pool[0].name", "service[0].name"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v does not say %s", err, want)
		}
	}
	if _, err = ParseContent("team = 3"); err == nil {
		t.Error("a team that is not a table gives no error")
	}
}
