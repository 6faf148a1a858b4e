package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"sync"

	"github.com/fxamacker/cbor/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// state is the content of one version. It is never changed: the next version's
// shares all of the tree and of the digests that the change between them left.
//
// The tree holds the entries by bucket, kind and name, and beside them indexes by
// which a change is checked against all others without a walk over them. Keys
// begin with a letter of their own:
//
//	e bucket/32 bucket%32 kind name   the entry: *Team, *Service, *Pool or *float64
//	c class                           the name of its service
//	h path                            the name of its service
//	o len(owner) owner service        the name of the service
//	l class                           the name of its pool
//	p pool                            *Pool
type state struct {
	tree                                             *iradix.Tree[any]
	teams, services, contracts, pools, pooledClasses int // pooled: classes named by pools
	pages                                            [pageCount]*page
	contentDigest                                    Digest
}

// page holds the digests of neighbouring buckets and one over them, so that for a
// change of one entry a version copies and hashes two lists of 32, not all 1,024.
type page struct {
	buckets [pageSize]Digest
	digest  Digest
}

// The buckets. Which one an entry lies in, and so every digest, depends on these.
const (
	bucketCount = 1024
	pageSize    = 32
	pageCount   = bucketCount / pageSize
)

// kind is what an entry is. It is part of what is hashed.
type kind byte

const (
	kindTeam    kind = 't'
	kindService kind = 's'
	kindPool    kind = 'p'
	kindReserve kind = 'r' // there is one, without a name, unless it is 0
)

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

func bucketKey(bucket int) []byte {
	return []byte{prefixEntries, byte(bucket / pageSize), byte(bucket % pageSize)}
}

func entryKey(k kind, name string, bucket int) []byte {
	b := make([]byte, 0, 4+len(name))
	return append(append(b, prefixEntries, byte(bucket/pageSize), byte(bucket%pageSize), byte(k)), name...)
}

func indexKey(index byte, name string) []byte {
	return append(append(make([]byte, 0, 1+len(name)), index), name...)
}

// ownerKey is where the services of one owner begin. No name is over MostName,
// hence over 255, in a tree; what is longer finds nothing.
func ownerKey(owner, service string) []byte {
	b := make([]byte, 0, 2+len(owner)+len(service))
	return append(append(append(b, prefixOwners, byte(len(owner))), owner...), service...)
}

// emptyState has nothing in it. All versions of a process begin with one.
var emptyState = sync.OnceValue(func() *state {
	s := &state{tree: iradix.New[any]()}
	none := new(page)
	for i := range none.buckets {
		none.buckets[i] = bucketDigest(s.tree.Root(), i) // all alike: nothing lies in any
	}
	none.computeDigest()
	for i := range s.pages {
		s.pages[i] = none
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
	var none T
	return none, false
}

// forEach calls f with all entries of a bucket, in order; nil = of all buckets.
func forEach(root *iradix.Node[any], prefix []byte, f func(key []byte, value any)) {
	it := root.Iterator()
	it.SeekPrefix(prefix)
	for key, value, ok := it.Next(); ok; key, value, ok = it.Next() {
		f(key, value)
	}
}

// What is hashed begins with one of these, so that no digest of one level is one of another.
const (
	hashBucket = 'b'
	hashPage   = 'g'
	hashRoot   = 'r'
)

// bucketDigest is SHA-256 over the bucket's entries in the order of kind and
// name: for each its kind, the length of its words in four bytes, and the words.
func bucketDigest(root *iradix.Node[any], bucket int) Digest {
	h := sha256.New()
	h.Write([]byte{hashBucket})
	words := bytes.NewBuffer(make([]byte, 0, 1024))
	prefix := bucketKey(bucket)
	forEach(root, prefix, func(key []byte, value any) {
		words.Reset()
		words.Write([]byte{key[len(prefix)], 0, 0, 0, 0})
		encodeTo(words, value)
		binary.BigEndian.PutUint32(words.Bytes()[1:], uint32(words.Len()-5))
		h.Write(words.Bytes())
	})
	return Digest(h.Sum(nil))
}

// computeDigest makes the page's digest: SHA-256 over those of its buckets, in order.
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

// rehash makes the digests of the touched buckets anew, from s.tree.
func (s *state) rehash(touched map[int]bool) {
	var own [pageCount]bool
	n := 0
	for bucket := range touched {
		n += entriesPerYield / 4 // a bucket has some twenty entries
		maybeYield(n - 1)
		at := bucket / pageSize
		if !own[at] {
			p := *s.pages[at]
			s.pages[at], own[at] = &p, true
		}
		s.pages[at].buckets[bucket%pageSize] = bucketDigest(s.tree.Root(), bucket)
	}
	for at := range own {
		if own[at] {
			s.pages[at].computeDigest()
		}
	}
	s.contentDigest = s.rootDigest()
}

func sum(b []byte) Digest { return sha256.Sum256(b) }

// encoder words records in canonical CBOR (RFC 8949, core deterministic): one
// wording for one value. A pointer is left out where it is nil alone, so that a
// figure of 0 is told from none.
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

// encode words one of the package's records, which have a wording whatever is in them.
func encode(record any) []byte {
	var b bytes.Buffer
	encodeTo(&b, record)
	return b.Bytes()
}

func encodeTo(b *bytes.Buffer, record any) {
	if err := encoder().MarshalToBuffer(record, b); err != nil {
		panic(err) // the records have strings, numbers, lists and bytes alone
	}
}
