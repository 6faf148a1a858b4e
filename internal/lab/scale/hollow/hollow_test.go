package hollow

import (
	"bufio"
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

func TestRecordsRoundTrip(t *testing.T) {
	path := filepath.Join(t.TempDir(), "records")
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	want := []Record{{Due: 1, LatencyUS: 2, AddedUS: 3, CallerDelayUS: 4, Target: 5, Code: Answered, Tries: 6, Opened: true},
		{Due: 1 << 60, Code: Lost, OtherServer: true}}
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

// A result counts only if it begins with the body that was sent; the engine's own
// time follows it.
func TestParseResult(t *testing.T) {
	for _, c := range []struct {
		result string
		us     int64
		ok     bool
	}{{"2000 a 2150", 2150, true}, {"2000 a", 0, false}, {"2000 b 2150", 0, false}, {"2000 ab 1", 0, false}, {"", 0, false}, {"2000 a x", 0, false}} {
		if us, ok := parseResult([]byte(c.result), []byte("2000 a")); us != c.us || ok != c.ok {
			t.Errorf("%q: %d, %v; want %d, %v", c.result, us, ok, c.us, c.ok)
		}
	}
}

// A specification that is missing or not valid JSON gives an error.
func TestInvalidSpecIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spec")
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, run := range []func(string) error{
		func(p string) error { return RunServers(p, &bytes.Buffer{}, &bytes.Buffer{}) },
		func(p string) error { return RunCallers(p, &bytes.Buffer{}, &bytes.Buffer{}) },
	} {
		if err := run(path); err == nil {
			t.Error("a truncated specification is accepted")
		}
		if err := run(path + "none"); err == nil {
			t.Error("a missing specification is accepted")
		}
	}
}
