package figures

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestSaveLoadRoundTrip(t *testing.T) {
	f := New("kitelab slopes")
	f.Slopes = []Slope{{Name: "a", Role: Core, Points: []Point{{Size: 1, Value: 2, Raw: []float64{2, 3}}}, Fixed: 1, PerUnit: 1}}
	f.Figures = []Figure{{Name: "b", Role: Core, State: Peak, Unit: "ms", Value: 1, OK: true, Run: "slopes"}}
	path := filepath.Join(t.TempDir(), "sub", "f.json")
	if err := f.Save(path); err != nil {
		t.Fatal(err)
	}
	g, err := Load(path)
	if err != nil || !reflect.DeepEqual(f, g) {
		t.Fatalf("read %+v, %v; want %+v", g, err, f)
	}
	if f.Machine == "" || f.Cores < 1 || f.Build == "" || f.Go == "" || f.Date == "" {
		t.Errorf("machine, build or date is missing: %+v", f)
	}
}

func TestLoadRejectsInvalidFiles(t *testing.T) {
	for want, text := range map[string]string{
		"unique name": `{"Slopes":[{"Role":"calls","Name":"a","Points":[{"Size":1}]},{"Role":"calls","Name":"a","Points":[{"Size":1}]}]}`,
		"no points":   `{"Slopes":[{"Role":"calls","Name":"a"}]}`,
		"when is":     `{"Figures":[{"Role":"calls","Name":"a","When":"never"}]}`,
		"role is":     `{"Slopes":[{"Role":"no","Name":"a","Points":[{"Size":1}]}]}`,
	} {
		path := filepath.Join(t.TempDir(), "f.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", want, err)
		}
	}
}
