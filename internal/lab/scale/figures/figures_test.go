package figures

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestAFileIsReadAsItWasWritten(t *testing.T) {
	f := New("kitelab slopes")
	f.Slopes = []Slope{{Name: "a", Role: Core, Points: []Point{{Size: 1, Value: 2, Raw: []float64{2, 3}}}, Fixed: 1, PerUnit: 1}}
	f.Figures = []Figure{{Name: "b", Role: Core, When: Peak, Unit: "ms", Value: 1, OK: true, Run: "slopes"}}
	path := filepath.Join(t.TempDir(), "sub", "f.json")
	if err := f.Save(path); err != nil {
		t.Fatal(err)
	}
	g, err := Load(path)
	if err != nil || !reflect.DeepEqual(f, g) {
		t.Fatalf("read %+v, %v; want %+v", g, err, f)
	}
	if f.Machine == "" || f.Cores < 1 || f.Build == "" || f.Go == "" || f.Date == "" {
		t.Errorf("it does not say where and when it was measured: %+v", f)
	}
}

func TestAFileThatNoPageCanBeRenderedFromIsRefused(t *testing.T) {
	for want, text := range map[string]string{
		"name of its own": `{"Slopes":[{"Role":"calls","Name":"a","Points":[{"Size":1}]},{"Role":"calls","Name":"a","Points":[{"Size":1}]}]}`,
		"no points":       `{"Slopes":[{"Role":"calls","Name":"a"}]}`,
		"when is":         `{"Figures":[{"Role":"calls","Name":"a","When":"never"}]}`,
		"role is":         `{"Slopes":[{"Role":"no","Name":"a","Points":[{"Size":1}]}]}`,
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
