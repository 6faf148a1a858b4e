package fleetday

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"kiteslip/internal/config"
)

// Both forms have all faults, each of them repaired, and one seed gives one plan.
func TestPlanHasAllFaults(t *testing.T) {
	for name, form := range map[string]func() *Form{"full": Full, "short": Short} {
		plan := form().Plan()
		if !reflect.DeepEqual(plan, form().Plan()) {
			t.Errorf("%s: one seed gives two different plans", name)
		}
		f := form()
		down, machines, cut, changed, restarts := map[int]bool{}, map[int]bool{}, false, 0, map[int]int{}
		var phases []string
		for i, e := range plan.Events {
			if i > 0 && e.At < plan.Events[i-1].At || e.At > plan.Length {
				t.Errorf("%s: %s is out of order or after the end", name, e)
			}
			switch e.Kind {
			case Phase:
				phases = append(phases, e.Name)
			case Publish:
				changed++
			case Restart:
				restarts[len(e.Servers)]++
				if len(e.Servers) == 1 && e.Servers[0] < f.paired() {
					t.Errorf("%s: %s, which is compared with its twin", name, e)
				}
			case Kill, StartAgain, StartCold:
				for _, s := range e.Servers {
					if down[s] == (e.Kind == Kill) {
						t.Errorf("%s: %s: server %d is already in this state", name, e, s)
					}
					down[s] = e.Kind == Kill
				}
			case KillControl, StartControl:
				for _, m := range e.Machines {
					if m == 0 || machines[m] == (e.Kind == KillControl) {
						t.Errorf("%s: %s: machine %d is the originator or already in this state", name, e, m)
					}
					machines[m] = e.Kind == KillControl
				}
			case CutRegion, HealRegion:
				cut = e.Kind == CutRegion
			}
		}
		for s, isDown := range down {
			if isDown {
				t.Errorf("%s: server %d is not started again", name, s)
			}
		}
		for m, isDown := range machines {
			if isDown {
				t.Errorf("%s: control machine %d is not started again", name, m)
			}
		}
		if want := []string{Calm, Burst, Large, Rack, Zone, ControlKilled, RegionCutOff, RegionHealed, AllRestart, OneMachine, Afterwards}; !slices.Equal(phases, want) {
			t.Errorf("%s: phases %q, want %q", name, phases, want)
		}
		if cut || restarts[f.Servers] != 1 || restarts[1] < 1 {
			t.Errorf("%s: cut off at the end %v, restarts %v", name, cut, restarts)
		}
		if name == "full" && (changed < 70 || restarts[1] < 14) {
			t.Errorf("%d changes, %d restarts: less than ten times the day's rate", changed, restarts[1])
		}
	}
}

// The published file and the file of a server without control are equal, and each
// generated change modifies something.
func TestContentIsValidOperatorFile(t *testing.T) {
	f := Short()
	content := Content(f.Sizes, f.Deadline, 7)
	text := machineText("a", "127.0.0.1:1", "", "127.0.0.1:2", 3000) + Operator(&content)
	cfg, err := config.ParseOperator(text, nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(cfg.Tenants) != f.Tenants || len(cfg.Classes) != f.Routes {
		t.Errorf("%d teams and %d classes, want %d and %d", len(cfg.Tenants), len(cfg.Classes), f.Tenants, f.Routes)
	}
	for i, team := range content.Teams {
		if cfg.Tenants[i] != team.Name || cfg.Policy.Tenants[i].Quota != team.Quota {
			t.Fatalf("team %d is %s with %v, want %v", i, cfg.Tenants[i], cfg.Policy.Tenants[i].Quota, team)
		}
	}
	if again := Content(f.Sizes, f.Deadline, 7); !reflect.DeepEqual(content, again) {
		t.Error("one seed gives two different contents")
	}
	d := NewDrafter(Content(f.Sizes, f.Deadline, 7), 7)
	quotas := map[string]float64{}
	for _, team := range content.Teams {
		quotas[team.Name] = team.Quota
	}
	kinds := map[string]int{}
	for range 60 {
		for _, c := range d.Next(1) {
			switch {
			case c.Drop:
				kinds["drop"]++
				if _, there := quotas[c.Team.Name]; !there {
					t.Errorf("%s is removed but does not exist", c.Team.Name)
				}
				delete(quotas, c.Team.Name)
			case c.Team != nil:
				kinds["team"]++
				if quotas[c.Team.Name] == c.Team.Quota || c.Team.Quota <= 0 {
					t.Errorf("%s keeps its quota %v", c.Team.Name, c.Team.Quota)
				}
				quotas[c.Team.Name] = c.Team.Quota
			default:
				kinds["service"]++
			}
		}
	}
	if kinds["drop"] < 4 || kinds["service"] < 4 || kinds["team"] < 40 {
		t.Errorf("kinds of changes: %v", kinds)
	}
	if n := len(d.Next(150)); n != 150 {
		t.Errorf("a change of 150 tenants affects %d", n)
	}
	if !strings.Contains(Operator(&content), "[[service.contract]]") {
		t.Error("no contracts in the file")
	}
}

// Zones lie within regions and racks within zones, and every region has real servers.
func TestFormIsConsistent(t *testing.T) {
	f := Full()
	seen := map[int]int{}
	for i := range f.Real {
		seen[f.regionOf(i)]++
	}
	if len(seen) != f.Regions || len(f.rack()) != f.RackSize || len(f.zone(3)) != f.Servers/f.Zones {
		t.Errorf("real servers by region %v, a rack of %d, a zone of %d", seen, len(f.rack()), len(f.zone(3)))
	}
	rates := map[float64]int{}
	for i := range f.Real {
		rates[f.rate(i)]++
	}
	if rates[0] != f.Idle || rates[100] != f.Hot || rates[64] < 38 {
		t.Errorf("servers by rate: %v", rates)
	}
}
