package document

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// goldenDelta is a small delta with a value in each field that could change the
// form.
func goldenDelta(t testing.TB) *Delta {
	return mustDraft(t, small(t),
		team("ana", 7.5),
		Change{Service: &Service{Name: "maps", Owner: "ana", Backend: "127.0.0.1:1", Contracts: []Contract{{Class: "draw", Path: "/draw",
			Effect: "keyed", TargetTimeMS: ref(0.0), DeadlineMS: ref(99.5), WindowMS: ref(1e5), Worth: ref(0.3), LateWorth: ref(1.0),
			MaxBody: 3000, MaxResult: 4000, RequestMemoryKB: 17.1, CallsDownstream: ref(false), SkipWorth: ref(0.0)}}}},
		Change{Drop: true, Service: &Service{Name: "till"}},
		Change{Pool: &Pool{Name: "quick", Classes: []string{"draw"}, Share: 0.5, MaxShare: 0.75, Reserve: 1, Memory: 0.125, MaxMemoryShare: 0.25, MaxQueued: 9}},
		Change{CheapReserve: ref(0.0)},
		Change{Drop: true, Team: &Team{Name: "idle"}})
}

// TestGolden compares the form, and with it all digests, with stored bytes: what one
// release encodes, the next must decode, with the same digests.
func TestGolden(t *testing.T) {
	delta := goldenDelta(t)
	encoded, err := delta.Encode()
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile("testdata/delta.hex")
	if err != nil {
		t.Fatal(err)
	}
	golden, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("the form has changed:\n%x, stored is\n%x", encoded, golden)
	}
	read, err := DecodeDelta(golden)
	if err != nil || !reflect.DeepEqual(read, delta) {
		t.Errorf("%+v (%v), want %+v", read, err, delta)
	}
	if got, err := small(t).Apply(read); err != nil || got.Digest() != delta.Header.Digest() {
		t.Errorf("the stored delta can't be applied: %v", err)
	}
}

// compressedVersion is a version, and a delta on it, that are large enough to be
// compressed.
func compressedVersion(t testing.TB) (*Document, *Delta) {
	d := version(t, fleet(60, 12))
	var changes []Change
	for i := range 50 {
		changes = append(changes, team(fmt.Sprintf("team-%05d", i), float64(i)+0.5))
	}
	return d, mustDraft(t, d, changes...)
}

// sameVersion reports whether the two are equal in all that can be queried.
func sameVersion(a, b *Document) bool {
	return a.Digest() == b.Digest() && a.Header() == b.Header() && reflect.DeepEqual(a.Content(), b.Content())
}

// TestCorruptDelta: whatever byte of an encoded delta changes, the result is an
// error or the intended version in all its parts.
func TestCorruptDelta(t *testing.T) {
	big, bigDelta := compressedVersion(t)
	for _, c := range []struct {
		d     *Document
		delta *Delta
		form  byte
	}{{small(t), goldenDelta(t), formDelta}, {big, bigDelta, formDeltaCompressed}} {
		want, err := c.d.Apply(c.delta)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := c.delta.Encode()
		if err != nil || encoded[0] != c.form {
			t.Fatalf("form %#x, want %#x (%v)", encoded[0], c.form, err)
		}
		check := func(what string, encoded []byte) {
			delta, err := DecodeDelta(encoded)
			if err != nil {
				if delta != nil {
					t.Errorf("%s: a delta and %v", what, err)
				}
				return
			}
			if got, err := c.d.Apply(delta); err == nil && !sameVersion(got, want) {
				t.Errorf("%s: another version was made", what)
			}
		}
		forEachCorruption(encoded, check)
	}
}

// TestCorruptSnapshot does the same for snapshots.
func TestCorruptSnapshot(t *testing.T) {
	big, _ := compressedVersion(t)
	for _, c := range []struct {
		d    *Document
		form byte
	}{{small(t), formSnapshot}, {big, formSnapshotCompressed}} {
		encoded, err := c.d.Snapshot()
		if err != nil || encoded[0] != c.form {
			t.Fatalf("form %#x, want %#x (%v)", encoded[0], c.form, err)
		}
		forEachCorruption(encoded, func(what string, encoded []byte) {
			if got, err := DecodeSnapshot(encoded); err == nil && !sameVersion(got, c.d) || (err != nil) == (got != nil) {
				t.Errorf("%s: another version was decoded (%v)", what, err)
			}
		})
	}
}

// forEachCorruption calls check with each bit of each byte flipped, each byte set to
// 0 and 255, the data truncated at each byte, and with one byte more.
func forEachCorruption(encoded []byte, check func(what string, encoded []byte)) {
	for i, original := range encoded {
		for _, corrupt := range []byte{original ^ 1, original ^ 2, original ^ 4, original ^ 8, original ^ 16, original ^ 32, original ^ 64, original ^ 128, 0, 255} {
			if corrupt != original {
				encoded[i] = corrupt
				check(fmt.Sprintf("byte %d is %#x for %#x", i, corrupt, original), encoded)
			}
		}
		encoded[i] = original
		check(fmt.Sprintf("cut after %d bytes", i), encoded[:i])
	}
	check("one byte more", append(bytes.Clone(encoded), 0))
}

// TestForgedSnapshot: a snapshot whose digests agree with each other is still
// validated entry by entry.
func TestForgedSnapshot(t *testing.T) {
	d := small(t)
	h := d.Header()
	snapshotOf := func(h Header, c Content) []byte {
		return encodeForm(formSnapshot, formSnapshotCompressed, h.Digest(), encode(&snapshot{h, c}))
	}
	if _, err := DecodeSnapshot(snapshotOf(h, d.Content())); err != nil {
		t.Fatal(err)
	}
	duplicate, other, withoutOwner := d.Content(), d.Content(), d.Content()
	duplicate.Teams = append(duplicate.Teams, duplicate.Teams[0])
	other.Teams[0].Quota++
	withoutOwner.Teams = withoutOwner.Teams[1:] // ana, who owns maps
	noAuthor, noNumber := h, h
	noAuthor.Author, noNumber.Number = "", 0
	for name, c := range map[string]struct {
		encoded []byte
		want    string
		is      error
	}{
		"duplicate team":  {snapshotOf(h, duplicate), `team "ana" is named twice`, nil},
		"missing owner":   {snapshotOf(h, withoutOwner), `service "maps" owner is "ana", which is no team`, nil},
		"another content": {snapshotOf(h, other), "document: the content is not the one that the header names", ErrDigestMismatch},
		"empty content":   {snapshotOf(h, Content{}), "document: the content is not the one that the header names", ErrDigestMismatch},
		"no author":       {snapshotOf(noAuthor, d.Content()), "author is absent", nil},
		"no number":       {snapshotOf(noNumber, d.Content()), "number is 0, want 1 to 9223372036854775807", nil},
		"another digest":  {append([]byte{formSnapshot}, snapshotOf(noAuthor, Content{})[1:]...), "document: the content is not", ErrDigestMismatch},
	} {
		got, err := DecodeSnapshot(c.encoded)
		if got != nil || err == nil || !strings.Contains(err.Error(), c.want) || c.is != nil && !errors.Is(err, c.is) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
	encoded, err := goldenDelta(t).Encode()
	if err != nil {
		t.Fatal(err)
	}
	encoded[1] ^= 1
	if _, err := DecodeDelta(encoded); !errors.Is(err, ErrDigestMismatch) {
		t.Errorf("a delta with another digest: %v", err)
	}
}

// TestWrongForm: a delta is not decoded as a snapshot, nor a snapshot as a delta.
func TestWrongForm(t *testing.T) {
	snapshot, err := small(t).Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	delta, err := goldenDelta(t).Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeSnapshot(delta); err == nil || !strings.Contains(err.Error(), "form 0x11, want 0x21 or 0x22") {
		t.Error(err)
	}
	if _, err := DecodeDelta(snapshot); err == nil || !strings.Contains(err.Error(), "form 0x21, want 0x11 or 0x12") {
		t.Error(err)
	}
	if _, err := (*Delta)(nil).Encode(); err == nil {
		t.Error("a nil delta is encoded")
	}
}

// TestEmptyVersions: version 0, and a version whose entries were all dropped, can be
// encoded and decoded too.
func TestEmptyVersions(t *testing.T) {
	d, err := Empty().Apply(mustDraft(t, Empty(), team("a", 1)))
	if err != nil {
		t.Fatal(err)
	}
	emptied, err := d.Apply(mustDraft(t, d, Change{Drop: true, Team: &Team{Name: "a"}}))
	if err != nil {
		t.Fatal(err)
	}
	if emptied.Header().Content != Empty().Header().Content {
		t.Error("an emptied version has another content than the empty one")
	}
	for _, d := range []*Document{Empty(), emptied} {
		encoded, err := d.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeSnapshot(encoded); err != nil || !sameVersion(got, d) {
			t.Errorf("version %d: %v", d.Header().Number, err)
		}
	}
}

// TestDecodeMemoryBounded: a few bytes that decompress into many, or that encode
// many small elements, are refused before they take memory.
func TestDecodeMemoryBounded(t *testing.T) {
	h := small(t).Header()
	list := func(n int, element byte) []byte { // of n elements of a byte each
		return append([]byte{0x9a, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, bytes.Repeat([]byte{element}, n)...)
	}
	deltaOf := func(changes []byte) []byte {
		record := append(append([]byte{0xa2, 0x01}, encode(&h)...), 0x02)
		return encodeForm(formDelta, formDeltaCompressed, h.Digest(), append(record, changes...))
	}
	repeat := func(n int, element []byte) []byte {
		return append([]byte{0x9a, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, bytes.Repeat(element, n)...)
	}
	contracts := append([]byte{0xa1, 0x03, 0xa1, 0x04}, list(MaxContracts, 0xa0)...)                      // a service with 8,192 empty contracts
	classes := append([]byte{0xa1, 0x04, 0xa1, 0x02}, list(MaxContracts, 0x60)...)                        // a pool with 8,192 empty classes
	deep := append(bytes.Repeat([]byte{0x81}, 1<<20), 0x80)                                               // nested lists
	zeros := compressor().EncodeAll(make([]byte, MaxRecordBytes+1), make([]byte, formPrefixBytes))        // one byte too many
	two := compressor().EncodeAll(make([]byte, MaxRecordBytes), compressor().EncodeAll([]byte("x"), nil)) // two frames, together too many
	for name, encoded := range map[string][]byte{
		"over the bound":         zeros,
		"frames over the bound":  append(make([]byte, formPrefixBytes), two...),
		"many contracts":         deltaOf(repeat(200, contracts)),
		"many classes":           deltaOf(repeat(1200, classes)),
		"many changes":           deltaOf(list(maxChanges+1, 0xa0)),
		"truncated changes":      deltaOf([]byte{0x9a, 0x00, 0x02, 0x00, 0x00, 0xa0}),
		"deeply nested":          deltaOf(deep),
		"too long":               make([]byte, formPrefixBytes+MaxRecordBytes+1),
		"an endless list":        deltaOf([]byte{0x9f, 0xa0, 0xff}),
		"a tag":                  deltaOf([]byte{0xc1, 0x80}),
		"duplicate field":        deltaOf(repeat(1, []byte{0xa2, 0x01, 0xf4, 0x01, 0xf4})),
		"an unknown field":       deltaOf(repeat(1, []byte{0xa1, 0x18, 0x63, 0xf4})),
		"text that is not UTF-8": deltaOf(repeat(1, []byte{0xa1, 0x02, 0xa1, 0x01, 0x61, 0xff})),
		"a number that is large": deltaOf(repeat(1, []byte{0xa1, 0x04, 0xa1, 0x08, 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})),
	} {
		if encoded[0] == 0 {
			encoded[0] = formDeltaCompressed
		}
		_, before := heapBytes()
		delta, err := DecodeDelta(encoded)
		_, after := heapBytes()
		if err == nil || delta != nil {
			t.Errorf("%s: accepted", name)
		}
		if allocated := after - before; allocated > 8*MaxRecordBytes {
			t.Errorf("%s: %d bytes of memory for a delta that is refused (%v)", name, allocated, err)
		}
	}
}

// maxContent is the largest content that passes all checks.
func maxContent() Content {
	name := func(what string, i int) string { return fmt.Sprintf("%s%0*d", what, MaxNameBytes-len(what), i) }
	var c Content
	for i := range MaxTeams {
		c.Teams = append(c.Teams, Team{name("t", i), 0.1 + float64(i)})
	}
	for i := range MaxServices {
		c.Services = append(c.Services, Service{Name: name("s", i), Owner: c.Teams[i].Name, Backend: name("", i)[:MaxNameBytes-3] + ":99",
			Contracts: []Contract{{Class: name("c", i), Path: name("/", i), Effect: "repeatable", TargetTimeMS: ref(0.1), DeadlineMS: ref(0.2),
				WindowMS: ref(0.3), Worth: ref(0.1), LateWorth: ref(0.1), MaxBody: maxBodyBytes, MaxResult: maxBodyBytes, RequestMemoryKB: 1025.1,
				CallsDownstream: ref(true), SkipWorth: ref(0.1)}}})
	}
	for i := range MaxPools {
		p := Pool{Name: name("p", i), Share: 0.01, MaxShare: 0.1, Reserve: 0.1, Memory: 0.01, MaxMemoryShare: 0.1, MaxQueued: 1 << 40}
		for j := range MaxContracts / MaxPools {
			p.Classes = append(p.Classes, name("c", i*MaxContracts/MaxPools+j))
		}
		c.Pools = append(c.Pools, p)
	}
	c.CheapReserve = 0.1
	return c
}

// TestBounds: a version of the largest size allowed can be made, encoded and
// decoded; one more entry of any kind is a fault that names the bound; and a delta
// that is too long for a message is refused when it is drafted.
func TestBounds(t *testing.T) {
	c := maxContent()
	s, _, err := emptyState().edit(c.changes())
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Repeat("x", MaxTextBytes)
	h := Header{Number: 1 << 40, Parent: Empty().Digest(), Content: s.contentDigest, Author: text, Reason: text, Time: 1 << 50}
	d := &Document{header: h, digest: h.Digest(), state: s}
	encoded, err := d.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeSnapshot(encoded); err != nil || got.Digest() != d.Digest() {
		t.Error(err)
	}
	_, err = d.Draft([]Change{team("more", 1), service("more", Contract{Class: "more"}), {Pool: &Pool{Name: "more", Classes: []string{"more"}}}}, testMeta)
	want := "there are 65537 teams, want at most 65536\nthere are 8193 services, want at most 8192\n" +
		"there are 8193 contracts, want at most 8192\nthere are 65 pools, want at most 64\n" +
		"there are 8193 classes in pools, want at most 8192"
	if err == nil || err.Error() != want {
		t.Errorf("%v, want\n%s", err, want)
	}
	var all []Change
	for i := range c.Teams {
		was := c.Teams[i].Name
		c.Teams[i].Name = "T" + was[1:]
		all = append(all, Change{Team: &c.Teams[i]}, Change{Drop: true, Team: &Team{Name: was}})
	}
	for i := range c.Services {
		c.Services[i].Owner = c.Teams[i].Name
		all = append(all, Change{Service: &c.Services[i]})
	}
	if _, err := d.Draft(all, testMeta); err == nil || !strings.Contains(err.Error(), "want at most 16777216") {
		t.Errorf("a delta that is too long for a message: %v", err)
	}
	if _, err := Empty().Draft(make([]Change, maxChanges+1), testMeta); err == nil || err.Error() != "the delta has 147587 changes, want at most 147586" {
		t.Errorf("a delta of too many changes: %v", err)
	}
}

// TestRandomBytes: no input causes a panic, or yields a version other than the one
// it names.
func TestRandomBytes(t *testing.T) {
	d := small(t)
	delta, err := goldenDelta(t).Encode()
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := d.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		encoded := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "bytes")
		if len(encoded) > 0 && rapid.Bool().Draw(t, "of a form") {
			encoded[0] = rapid.SampledFrom([]byte{formDelta, formDeltaCompressed, formSnapshot, formSnapshotCompressed}).Draw(t, "form")
		}
		// Or valid data with a part replaced and the prefix left as it is, so that
		// the entries are reached.
		if rapid.Bool().Draw(t, "spliced") {
			valid := rapid.SampledFrom([][]byte{delta, snapshot}).Draw(t, "whole")
			from := rapid.IntRange(formPrefixBytes, len(valid)).Draw(t, "from")
			to := rapid.IntRange(from, len(valid)).Draw(t, "to")
			encoded = append(append(bytes.Clone(valid[:from]), encoded...), valid[to:]...)
		}
		checkDecoders(t, d, encoded)
	})
}

// checkDecoders decodes the data as a delta and as a snapshot.
func checkDecoders(t interface{ Fatalf(string, ...any) }, d *Document, encoded []byte) {
	if delta, err := DecodeDelta(encoded); err == nil {
		if next, err := d.Apply(delta); err == nil && (next.Header() != delta.Header || next.Digest() != delta.Header.Digest()) {
			t.Fatalf("%x makes another version than it names", encoded)
		}
	}
	if got, err := DecodeSnapshot(encoded); err == nil {
		if again, err := got.Snapshot(); err != nil {
			t.Fatalf("%x is decoded and can't be encoded again: %v", encoded, err)
		} else if other, err := DecodeSnapshot(again); err != nil || !sameVersion(got, other) {
			t.Fatalf("%x is decoded, and another version after it was encoded again: %v", encoded, err)
		}
	}
}

// FuzzBytes is TestRandomBytes with the fuzzer's inputs.
func FuzzBytes(f *testing.F) {
	d := small(f)
	for _, delta := range []*Delta{goldenDelta(f), mustDraft(f, d, team("x", 1))} {
		encoded, err := delta.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	big, _ := compressedVersion(f)
	for _, d := range []*Document{Empty(), d, big} {
		encoded, err := d.Snapshot()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) { checkDecoders(t, d, encoded) })
}

// TestUncheckedDelta: a delta that was not made by Draft is encoded or refused, and
// never applied.
func TestUncheckedDelta(t *testing.T) {
	for _, delta := range []*Delta{{}, {Changes: []Change{{}}}, {Changes: []Change{{Team: &Team{Name: "\xff"}, Pool: &Pool{}, Service: &Service{}}}}} {
		if encoded, err := delta.Encode(); err == nil {
			checkDecoders(t, Empty(), encoded)
		}
		if _, err := Empty().Apply(delta); err == nil {
			t.Errorf("%+v is applied", delta)
		}
	}
}
