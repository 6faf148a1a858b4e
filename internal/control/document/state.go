package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"sync"

	"github.com/fxamacker/cbor/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// state is the content of one version. It is immutable: the next version shares all
// parts of the tree and all digests that did not change.
//
// The tree holds the entries by bucket, kind and name, and indexes with which a
// change is checked against all other entries without a loop over them. Keys begin
// with a letter:
//
//	e bucket/32 bucket%32 kind name   the entry: *Team, *Service, *Pool or *float64
//	c class                           the name of its service
//	h path                            the name of its service
//	o len(owner) owner service        the name of the service
//	l class                           the name of its pool
//	p pool                            *Pool
type state struct {
	tree                                             *iradix.Tree[any]
	teams, services, contracts, pools, pooledClasses int // pooledClasses: named by pools
	pages                                            [pageCount]*page
	contentDigest                                    Digest
}

// page holds the digests of neighbouring buckets and one over them, so that a change
// of one entry copies and hashes two lists of 32, not all 1,024.
type page struct {
	buckets [pageSize]Digest
	digest  Digest
}

// The buckets. The bucket of an entry, and so every digest, depends on these.
const (
	bucketCount = 1024
	pageSize    = 32
	pageCount   = bucketCount / pageSize
)

// kind is the kind of an entry. It is part of what is hashed.
type kind byte

const (
	kindTeam    kind = 't'
	kindService kind = 's'
	kindPool    kind = 'p'
	kindReserve kind = 'r' // at most one, without a name, unless it is 0
)

// String is the kind as faults name it.
func (k kind) String() string {
	switch k {
	case kindTeam:
		return "team"
	case kindService:
		return "service"
	case kindPool:
		return "pool"
	}
	return "reserve"
}

const (
	prefixEntries = 'e'
	prefixClasses = 'c'
	prefixPaths   = 'h'
	prefixOwners  = 'o'
	prefixPooled  = 'l'
	prefixPools   = 'p'
)

// bucketOf is a hash of kind and name.
func bucketOf(k kind, name string) int {
	b := make([]byte, 0, 1+MaxNameBytes)
	h := sha256.Sum256(append(append(b, byte(k)), name...))
	return int(binary.BigEndian.Uint16(h[:]) % bucketCount)
}

// bucketKey is the prefix of the keys of a bucket's entries.
func bucketKey(bucket int) []byte {
	return []byte{prefixEntries, byte(bucket / pageSize), byte(bucket % pageSize)}
}

// entryKey is the key of an entry.
func entryKey(k kind, name string, bucket int) []byte {
	b := make([]byte, 0, 4+len(name))
	return append(append(b, prefixEntries, byte(bucket/pageSize), byte(bucket%pageSize), byte(k)), name...)
}

// indexKey is the key of a name in an index.
func indexKey(index byte, name string) []byte {
	return append(append(make([]byte, 0, 1+len(name)), index), name...)
}

// ownerKey is the key of a service in the index by owner, or with an empty service
// the prefix for the owner. No name in a tree is over MaxNameBytes, hence over 255;
// a longer one finds nothing.
func ownerKey(owner, service string) []byte {
	b := make([]byte, 0, 2+len(owner)+len(service))
	return append(append(append(b, prefixOwners, byte(len(owner))), owner...), service...)
}

// emptyState has no content. All versions of a process begin with it.
var emptyState = sync.OnceValue(func() *state {
	s := &state{tree: iradix.New[any]()}
	empty := new(page)
	for i := range empty.buckets {
		empty.buckets[i] = bucketDigest(s.tree.Root(), i) // all equal, since all are empty
	}
	empty.computeDigest()
	for i := range s.pages {
		s.pages[i] = empty
	}
	s.contentDigest = s.rootDigest()
	return s
})

// find returns the entry of that kind and name.
func find[T any](s *state, k kind, name string) (T, bool) {
	if v, ok := s.tree.Get(entryKey(k, name, bucketOf(k, name))); ok {
		t, ok := v.(T)
		return t, ok
	}
	var zero T
	return zero, false
}

// forEach calls f for all keys with the prefix, in order.
func forEach(root *iradix.Node[any], prefix []byte, f func(key []byte, value any)) {
	it := root.Iterator()
	it.SeekPrefix(prefix)
	for key, value, ok := it.Next(); ok; key, value, ok = it.Next() {
		f(key, value)
	}
}

// The first byte of what is hashed, so that no digest of one level equals one of
// another.
const (
	hashBucket = 'b'
	hashPage   = 'g'
	hashRoot   = 'r'
)

// bucketDigest is SHA-256 over the bucket's entries in the order of kind and name:
// for each its kind, the length of its encoding in four bytes, and the encoding.
func bucketDigest(root *iradix.Node[any], bucket int) Digest {
	h := sha256.New()
	h.Write([]byte{hashBucket})
	encoded := bytes.NewBuffer(make([]byte, 0, 1024))
	prefix := bucketKey(bucket)
	forEach(root, prefix, func(key []byte, value any) {
		encoded.Reset()
		encoded.Write([]byte{key[len(prefix)], 0, 0, 0, 0})
		encodeTo(encoded, value)
		binary.BigEndian.PutUint32(encoded.Bytes()[1:], uint32(encoded.Len()-5))
		h.Write(encoded.Bytes())
	})
	return Digest(h.Sum(nil))
}

// computeDigest sets the page's digest: SHA-256 over those of its buckets, in order.
func (p *page) computeDigest() {
	h := sha256.New()
	h.Write([]byte{hashPage})
	for i := range p.buckets {
		h.Write(p.buckets[i][:])
	}
	p.digest = Digest(h.Sum(nil))
}

// rootDigest is SHA-256 over the digests of the pages, in order.
func (s *state) rootDigest() Digest {
	h := sha256.New()
	h.Write([]byte{hashRoot})
	for _, p := range s.pages {
		h.Write(p.digest[:])
	}
	return Digest(h.Sum(nil))
}

// rehash recomputes the digests of the touched buckets, and those above, from
// s.tree.
func (s *state) rehash(touched map[int]bool) {
	var copied [pageCount]bool
	n := 0
	for bucket := range touched {
		n += entriesPerYield / 4 // a bucket has about twenty entries
		maybeYield(n - 1)
		i := bucket / pageSize
		if !copied[i] {
			p := *s.pages[i]
			s.pages[i], copied[i] = &p, true
		}
		s.pages[i].buckets[bucket%pageSize] = bucketDigest(s.tree.Root(), bucket)
	}
	for i := range copied {
		if copied[i] {
			s.pages[i].computeDigest()
		}
	}
	s.contentDigest = s.rootDigest()
}

// sum is SHA-256.
func sum(b []byte) Digest { return sha256.Sum256(b) }

// encoder encodes records in canonical CBOR (RFC 8949, core deterministic): one
// encoding for each value. A pointer is left out only if it is nil, so that a 0
// differs from an absent value.
var encoder = sync.OnceValue(func() cbor.UserBufferEncMode {
	o := cbor.CoreDetEncOptions()
	o.OmitEmpty = cbor.OmitEmptyGoValue
	o.TagsMd = cbor.TagsForbidden
	m, err := o.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
})

// encode encodes one of the package's records, which cannot fail.
func encode(record any) []byte {
	var b bytes.Buffer
	encodeTo(&b, record)
	return b.Bytes()
}

// encodeTo appends the encoding of a record to b.
func encodeTo(b *bytes.Buffer, record any) {
	if err := encoder().MarshalToBuffer(record, b); err != nil {
		panic(err) // the records have strings, numbers, lists and bytes alone
	}
}
