package hollow

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

func TestRecordsComeBack(t *testing.T) {
	path := filepath.Join(t.TempDir(), "records")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	want := []Record{{Due: 1, Took: 2, Added: 3, Waited: 4, Target: 5, Code: Answered, Tries: 6, Opened: true},
		{Due: 1 << 60, Code: Lost, Elsewhere: true}}
	w := bufio.NewWriter(file)
	for i := range want {
		if err = want[i].write(w); err != nil {
			t.Fatal(err)
		}
	}
	if err = w.Flush(); err != nil {
		t.Fatal(err)
	}
	if err = file.Close(); err != nil {
		t.Fatal(err)
	}
	got, err := ReadRecords(path)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v; want %+v", got, err, want)
	}
}

// Only the result of the body that was sent counts, with the engine's own time behind it.
func TestTook(t *testing.T) {
	for _, c := range []struct {
		result string
		us     int64
		own    bool
	}{{"2000 a 2150", 2150, true}, {"2000 a", 0, false}, {"2000 b 2150", 0, false}, {"2000 ab 1", 0, false}, {"", 0, false}, {"2000 a x", 0, false}} {
		if us, own := took([]byte(c.result), []byte("2000 a")); us != c.us || own != c.own {
			t.Errorf("%q: %d, %v; want %d, %v", c.result, us, own, c.us, c.own)
		}
	}
}

// A process says what is wrong with what it is to be.
func TestSpecsAreChecked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spec")
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, run := range []func(string) error{
		func(p string) error { return RunServers(p, &bytes.Buffer{}, &bytes.Buffer{}) },
		func(p string) error { return RunCallers(p, &bytes.Buffer{}, &bytes.Buffer{}) },
	} {
		if err := run(path); err == nil {
			t.Error("half a file is taken")
		}
		if err := run(path + "none"); err == nil {
			t.Error("no file is taken")
		}
	}
}
