package frame

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func nameIndex() *NameIndex {
	return &NameIndex{Classes: map[string]int{"look": 0, "note": 1}, Keyed: []bool{false, true}, Tenants: map[string]int{"red": 0, "blue": 1}}
}

// validFields returns the fields of a valid request.
func validFields() map[string]string {
	return map[string]string{"kind": "note", "req": "9b1f03aa5c7e2d41", "ts": "1764576000123", "via": "4", "owner": "blue",
		"timeout": "480", "ms": "12.50", "need": "24.5", "level": "0.6250", "opkey": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"}
}

func payload(fields map[string]string, body string) []byte {
	var list []Field
	for name, value := range fields {
		list = append(list, Field{name, value})
	}
	f, _, _ := Split(AppendRequest(nil, 1, list, []byte(body)))
	return f.Payload
}

func TestRequest(t *testing.T) {
	r, err := ParseRequest(payload(validFields(), "a\x00b"), nameIndex())
	if err != nil {
		t.Fatal(err)
	}
	if r.Class != 1 || r.Tenant != 1 || r.TryID != "9b1f03aa5c7e2d41" || r.Arrived != 1764576000123000 || !r.Write ||
		r.Deadline != 1764576000603000 || r.ExpectedWork != 12500 || r.SizeKB != 24.5 || r.Rank != 0.625 || r.Caller != 4 ||
		r.Key != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" || string(r.Body) != "a\x00b" {
		t.Errorf("%+v", r)
	}
	f := validFields()
	f["kind"], f["subject"] = "look", "7f3a9c21e0b4d655"
	delete(f, "opkey")
	if r, err = ParseRequest(payload(f, ""), nameIndex()); err != nil || r.Subject != 0x7f3a9c21e0b4d655 || r.Write || r.Retry {
		t.Errorf("%+v, %v", r, err)
	}
	// The timeout is optional, and a caller marks a retry.
	delete(f, "timeout")
	f["resent"] = "1"
	if r, err = ParseRequest(payload(f, ""), nameIndex()); err != nil || r.Deadline != 0 || !r.Retry {
		t.Errorf("%+v, %v", r, err)
	}
}

func TestBadFields(t *testing.T) {
	for _, c := range []struct{ name, value string }{ // "-" removes the field
		{"kind", "-"}, {"kind", "other"}, {"req", "-"}, {"req", "xyz"}, {"req", "9b1f03aa5c7e2d4g"}, {"ts", "-"}, {"ts", "-5"},
		{"ts", "99999999999999999999"}, {"owner", "-"}, {"owner", "green"}, {"timeout", "1e3"}, {"timeout", "-1"},
		{"timeout", "99999999999"}, {"ms", "NaN"}, {"ms", "-1"}, {"need", "0"}, {"need", "2001"}, {"need", "+Inf"}, {"level", "2"},
		{"opkey", "-"}, {"opkey", ""}, {"opkey", strings.Repeat("k", 999)}, {"subject", ""}, {"via", "x"}, {"resent", "yes"},
	} {
		f := validFields()
		if f[c.name] = c.value; c.value == "-" {
			delete(f, c.name)
		}
		if _, err := ParseRequest(payload(f, ""), nameIndex()); err == nil || !strings.Contains(err.Error(), c.name) {
			t.Errorf("%s = %q: error %v, want one that names the field", c.name, c.value, err)
		}
	}
	if _, err := ParseRequest(payload(validFields(), strings.Repeat("b", MaxBody+1)), nameIndex()); err == nil {
		t.Error("a body that is too large is accepted")
	}
}

func TestLengthBounds(t *testing.T) {
	for _, b := range [][]byte{{0, 0, 0, 4, 65, 0, 0, 0}, {0, 4, 0, 1}, {255, 255, 255, 255}, {0, 0, 0, 0}} {
		if _, _, err := Split(b); !errors.Is(err, ErrLength) {
			t.Errorf("% x: %v", b, err)
		}
	}
}

// Guards the encoding against a change: bytes as in the protocol's specification.
func TestAnswerBytes(t *testing.T) {
	got := AppendAnswer(nil, Answer, 0x01020304, Refused, []Field{{"nomore", "1"}}, 2)
	want := []byte("\x00\x00\x00\x13\x42\x01\x02\x03\x04\x42\x01\x06nomore\x00\x011")
	if !bytes.Equal(got, want) {
		t.Errorf("% x, want % x", got, want)
	}
}

// Frames are parsed correctly wherever the stream is split into reads.
func TestSplitAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var bodies []string
		for i := range rapid.IntRange(1, 8).Draw(t, "frames") {
			body := string(rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body"))
			bodies = append(bodies, body)
			stream = AppendRequest(stream, uint32(i+1), []Field{{"a", body}, {"", "x"}}, []byte(body))
		}
		got, buf := 0, []byte(nil)
		for len(stream) > 0 {
			n := rapid.IntRange(1, len(stream)).Draw(t, "cut")
			buf, stream = append(buf, stream[:n]...), stream[n:]
			for {
				f, used, err := Split(buf)
				if err != nil {
					t.Fatal(err)
				}
				if used == 0 {
					break
				}
				fields, body, err := ParseFields(f.Payload)
				if err != nil || string(body) != bodies[got] || f.Stream != uint32(got+1) {
					t.Fatalf("frame %d: %v, stream %d, body %q", got, err, f.Stream, body)
				}
				for name, value := range fields.All {
					if string(name) == "a" && string(value) != bodies[got] {
						t.Fatalf("field %q", value)
					}
				}
				got++
				buf = buf[used:]
			}
		}
		if got != len(bodies) {
			t.Fatalf("%d frames, want %d", got, len(bodies))
		}
	})
}

// The parsers do not panic on any input.
func FuzzParse(f *testing.F) {
	f.Add(payload(validFields(), "body"))
	f.Add([]byte{255, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		if fr, n, err := Split(b); err == nil && n > 0 && n != len(fr.Payload)+headerSize {
			t.Fatalf("a frame of %d bytes has a payload of %d", n, len(fr.Payload))
		}
		if r, err := ParseRequest(b, nameIndex()); err == nil && (r.Deadline != 0 && r.Deadline < r.Arrived || len(r.Body) > MaxBody) {
			t.Fatalf("%+v", r)
		}
	})
}
