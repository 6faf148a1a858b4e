package target

import (
	"math"
	"os"
	"strings"
	"testing"
)

const targetFile = "../../../../docs/capacity/target-fleet.toml"

func TestLoadOperatorsTarget(t *testing.T) {
	got, err := Load(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	f := Fleet{470, 4200, 150, 30000, 2800, 21000, 3, 10, 8, 1024}
	if got.Fleet != f || got.Promise != (Promise{4.5, 530, 6}) || got.Control != (Control{3.6, 256, 9}) {
		t.Errorf("%+v", got)
	}
	if math.Abs(got.RequestsPerServer()-63.83) > 0.01 || math.Abs(got.ZoneLossFactor()-10.0/9) > 1e-9 {
		t.Errorf("rate per server %v, zone loss factor %v", got.RequestsPerServer(), got.ZoneLossFactor())
	}
}

func TestLoadNamesAllInvalidKeys(t *testing.T) {
	text, err := os.ReadFile(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	faulty := strings.NewReplacer("servers = 470", "servers = 0", "zones = 10", "zoness = 10", "ordinary_part = 0.4", "ordinary_part = 1.4").Replace(string(text))
	_, err = Parse(faulty)
	for _, want := range []string{"fleet.servers is 0", "unknown key fleet.zoness", "fleet.zones is 0", "assumed.ordinary_part is 1.4, want more than 0, at most 1"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q in it", err, want)
		}
	}
	for from, want := range map[string]string{"zones = 10": "at least one for each of 3 regions", "held_most = 500": "at least assumed.held, 50"} {
		name, _, _ := strings.Cut(from, " ")
		if _, err := Parse(strings.Replace(string(text), from, name+" = 2", 1)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s = 2: %v", name, err)
		}
	}
	if _, err := Load("nowhere.toml"); err == nil || !strings.Contains(err.Error(), "nowhere.toml") {
		t.Errorf("error %v", err)
	}
}
