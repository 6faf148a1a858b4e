package uwsgi

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"kiteslip/internal/core"
)

// Guards the encoding against a change: bytes as in the protocol's specification.
func TestRequestBytes(t *testing.T) {
	b, err := AppendRequest(nil, []Var{{"A", "xy"}})
	if want := "\x00\x07\x00\x00\x01\x00A\x02\x00xy"; err != nil || string(b) != want {
		t.Errorf("%q, %v, want %q", b, err, want)
	}
	if _, err := AppendRequest(nil, []Var{{"A", strings.Repeat("x", 65_536)}}); err == nil {
		t.Error("variables that do not fit in a packet are encoded")
	}
}

// Variables are parsed only when they are complete, wherever the stream is split.
func TestSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vars []Var
		for range rapid.IntRange(0, 6).Draw(t, "vars") {
			vars = append(vars, Var{rapid.String().Draw(t, "name"), rapid.String().Draw(t, "value")})
		}
		packet, err := AppendRequest(nil, vars)
		if err != nil {
			t.Skip(err)
		}
		input := append(packet, "body"...)
		for n := range len(packet) {
			if _, used, err := Split(input[:n]); used != 0 || err != nil {
				t.Fatalf("%d bytes of %d: %d used, %v", n, len(packet), used, err)
			}
		}
		got, used, err := Split(input)
		if err != nil || used != len(packet) {
			t.Fatalf("%d used of %d, %v", used, len(packet), err)
		}
		i := 0
		for name, value := range got.All() {
			if string(name) != vars[i].Name || string(value) != vars[i].Value {
				t.Fatalf("variable %d: %q = %q, want %+v", i, name, value, vars[i])
			}
			i++
		}
		if i != len(vars) {
			t.Fatalf("%d variables of %d", i, len(vars))
		}
	})
}

func contractTable() *ContractTable {
	return &ContractTable{Classes: map[string]int{"look": 0, "note": 1}, Tenants: map[string]int{"red": 0, "blue": 1},
		Contracts: []Contract{{Timeout: 4_000_000, MaxBody: 10, RequestMemoryKB: 16, Path: "/a"}, {Keyed: true, Timeout: 2_000_000, MaxBody: 20, RequestMemoryKB: 8, Path: "/a/note"}}}
}

func parse(t *testing.T, vars ...Var) (*core.Request, int, *RequestError) {
	t.Helper()
	b, err := AppendRequest(nil, vars)
	if err != nil {
		t.Fatal(err)
	}
	v, _, err := Split(b)
	if err != nil {
		t.Fatal(err)
	}
	return ParseRequest(v, contractTable(), 5_000_000)
}

func TestParseRequest(t *testing.T) {
	r, length, p := parse(t, Var{VarPath, "/a/note/1"}, Var{VarTenant, "blue"}, Var{VarKey, "k"}, Var{VarLength, "20"},
		Var{VarTimestamp, "4000"}, Var{VarTimeout, "500"}, Var{VarWork, "2.5"}, Var{VarRank, "0.5"}, Var{VarSubject, "ff"}, Var{"OTHER", "x"})
	if p != nil || length != 20 || r.Class != 1 || r.Tenant != 1 || r.Key != "k" || !r.Write || r.Arrived != 4_000_000 ||
		r.Deadline != 4_500_000 || r.ExpectedWork != 2500 || r.Rank != 0.5 || r.Subject != 255 || r.SizeKB != 8 {
		t.Errorf("%+v, %d, %v", r, length, p)
	}
	// The timeout is limited to that of the contract.
	if r, _, p = parse(t, Var{VarClass, "look"}, Var{VarTenant, "red"}, Var{VarTimeout, "9000"}); p != nil || r.Deadline != 9_000_000 {
		t.Errorf("%+v, %v", r, p)
	}
	for _, path := range []string{"", "/b", "/ab"} {
		if _, _, p := parse(t, Var{VarPath, path}, Var{VarTenant, "red"}); p == nil || p.Status != 400 {
			t.Errorf("path %q: %v", path, p)
		}
	}
	if _, _, p := parse(t, Var{VarClass, "look"}, Var{VarTenant, "red"}, Var{VarLength, "11"}); p == nil || p.Status != 413 {
		t.Errorf("too large: %v", p)
	}
}

func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		in     string
		end    bool
		status int // 0 = not complete
		body   string
		err    error
	}{
		{"", false, 0, "", nil},
		{"", true, 0, "", errTruncatedResponse},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, 200, "ok", nil},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", false, 0, "", nil},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", true, 0, "", errTruncatedResponse},
		{"Status: 404 Not Found\r\nX: y\r\n\r\nno", true, 404, "no", nil},
		{"HTTP/1.0 201\r\n\r\nlong", false, 0, "", nil},
		{"HTTP/1.0 201\r\n\r\nlong", true, 201, "long", nil},
		{"HTTP/1.1\r\n\r\n", false, 0, "", errNotResponse},
		{"HTTP/1.1 x\r\n\r\n", false, 0, "", errNotResponse},
		{"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n", false, 0, "", errNotResponse},
		{"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", false, 0, "", errTooLarge},
		{"no header\r\n\r\n", false, 0, "", errNotResponse},
		{strings.Repeat("x", maxHeaderBytes+1), false, 0, "", errNotResponse},
	} {
		r, complete, err := ParseResponse([]byte(c.in), c.end, 100)
		if !errors.Is(err, c.err) || complete != (c.status != 0) || complete && (r.Status != c.status || string(r.Body) != c.body) {
			t.Errorf("%.50q, end %v: %+v, %v, %v", c.in, c.end, r, complete, err)
		}
	}
}

func TestStatus(t *testing.T) {
	for _, c := range []struct {
		a             core.Answer
		status, after int
	}{
		{core.Answer{Code: core.Served}, 200, 0},
		{core.Answer{Code: core.Refused}, 503, 1},
		{core.Answer{Code: core.Refused, RetryAfter: 1_000_001}, 503, 2},
		{core.Answer{Code: core.Failed, Cause: core.DeadlineExceeded}, 504, 0},
		{core.Answer{Code: core.Failed, Cause: core.RunFailed}, 502, 0},
		{core.Answer{Code: core.Failed}, 500, 0},
	} {
		if status, after := Status(&c.a); status != c.status || after != c.after {
			t.Errorf("%+v: %d, %d", c.a, status, after)
		}
	}
}

// The parsers do not panic on any input, and a body stays within its limit.
func FuzzParse(f *testing.F) {
	f.Add([]byte("\x00\x07\x00\x00\x01\x00A\x02\x00xy"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if v, n, err := Split(b); err == nil && n > 0 {
			ParseRequest(v, contractTable(), 1)
		}
		if r, complete, err := ParseResponse(b, true, 100); err == nil && complete && len(r.Body) > 100 {
			t.Fatalf("a body of %d bytes", len(r.Body))
		}
	})
}

// Without a tenant variable the only team is taken, whatever its slot: after others were
// retired it need not be the first.
func TestOnlyTeam(t *testing.T) {
	table := &ContractTable{Classes: map[string]int{"c": 0}, Tenants: map[string]int{"left": 3}, Contracts: []Contract{{Timeout: 1000}}}
	b, err := AppendRequest(nil, []Var{{VarClass, "c"}})
	if err != nil {
		t.Fatal(err)
	}
	vars, _, err := Split(b)
	if err != nil {
		t.Fatal(err)
	}
	if r, _, problem := ParseRequest(vars, table, 0); problem != nil || r.Tenant != 3 {
		t.Errorf("%+v, %v", r, problem)
	}
}
