// Package document holds the configuration of a fleet (teams with their budgets,
// services with their contracts, pools) as numbered versions, each of which names
// its parent by digest.
//
// It has no I/O, clock or goroutines. A Document is immutable: any number of
// goroutines may read it, and a later version shares what it has not changed, so
// that applying a Delta costs in proportion to its changes. A delta is validated as
// a whole, with all faults in one error, and refused as a whole: the version in
// force stays.
//
// The digest of a version is SHA-256 over its header, which has the digests of the
// parent and of the content, see Header. Two versions with one number and different
// digests are a fork; no server ever puts the second one in force.
//
// The digest of the content is that of a tree: the entries lie in 1,024 buckets by a
// hash of kind and name, each bucket has a digest over its entries in canonical
// CBOR, 32 buckets make a page, and 32 pages the whole. A change recomputes only the
// digests on its path to the root. Equal contents have equal digests, whatever
// changes led to them. Nothing in the tree or in the encoded forms may change
// without a new form byte, since versions of two releases are compared by digest.
//
// This package checks what holds on every machine. What depends on a machine
// (whether there is an engine or a ledger, what the platform sets where a contract
// does not, whether a class that a pool names is known) is checked by the
// configuration of the server.
package document

import (
	"encoding/hex"
	"errors"
)

// Team is a sender of requests, with its budget over the whole fleet.
type Team struct {
	Name  string  `toml:"name" cbor:"1,keyasint"`
	Quota float64 `toml:"requests_per_s" cbor:"2,keyasint"` // requests per second that count in full
}

// Service is what one team offers.
type Service struct {
	Name      string     `toml:"name" cbor:"1,keyasint"`
	Owner     string     `toml:"owner" cbor:"2,keyasint,omitempty"`
	Backend   string     `toml:"backend" cbor:"3,keyasint,omitempty"` // address of the uwsgi server that does the work; "" = the engine
	Contracts []Contract `toml:"contract" cbor:"4,keyasint"`
}

// Contract has the terms for one class of a service's requests; what is nil or zero
// is set by the platform or the default. Its class, and its path if it has one, are
// routed to the service's backend.
type Contract struct {
	Class           string   `toml:"class" cbor:"1,keyasint"`
	Path            string   `toml:"path" cbor:"2,keyasint,omitempty"`
	Effect          string   `toml:"effect" cbor:"3,keyasint,omitempty"`
	TargetTimeMS    *float64 `toml:"aim_ms" cbor:"4,keyasint,omitempty"`
	DeadlineMS      *float64 `toml:"deadline_ms" cbor:"5,keyasint,omitempty"`
	WindowMS        *float64 `toml:"window_ms" cbor:"6,keyasint,omitempty"`
	Worth           *float64 `toml:"worth" cbor:"7,keyasint,omitempty"`
	LateWorth       *float64 `toml:"late_worth" cbor:"8,keyasint,omitempty"`
	MaxBody         int      `toml:"max_body" cbor:"9,keyasint,omitempty"`
	MaxResult       int      `toml:"max_result" cbor:"10,keyasint,omitempty"`
	RequestMemoryKB float64  `toml:"held_kb" cbor:"11,keyasint,omitempty"`
	CallsDownstream *bool    `toml:"calls" cbor:"12,keyasint,omitempty"`
	SkipWorth       *float64 `toml:"skip_worth" cbor:"13,keyasint,omitempty"`
}

// Pool is a group of classes that share running slots and memory. All numbers but
// MaxQueued are fractions, 0 to 1.
type Pool struct {
	Name           string   `toml:"name" cbor:"1,keyasint"`
	Classes        []string `toml:"classes" cbor:"2,keyasint"`
	Share          float64  `toml:"share" cbor:"3,keyasint,omitempty"`       // of the running slots: guaranteed
	MaxShare       float64  `toml:"most" cbor:"4,keyasint,omitempty"`        // of the running slots: never more; 0 = all
	Reserve        float64  `toml:"reserve" cbor:"5,keyasint,omitempty"`     // of the cores: slots beyond the running limit
	Memory         float64  `toml:"memory" cbor:"6,keyasint,omitempty"`      // of work_mb: guaranteed; 0 = as Share
	MaxMemoryShare float64  `toml:"memory_most" cbor:"7,keyasint,omitempty"` // of work_mb: never more; 0 = all
	MaxQueued      int      `toml:"waiting" cbor:"8,keyasint,omitempty"`     // requests that may be queued; 0 = as many as can be served in time
}

// Content is all that one version holds, each list ordered by name.
type Content struct {
	Teams        []Team    `cbor:"1,keyasint"`
	Services     []Service `cbor:"2,keyasint"`
	Pools        []Pool    `cbor:"3,keyasint,omitempty"`
	CheapReserve float64   `cbor:"4,keyasint,omitempty"` // of the cores: slots for the cheapest class
}

// Change sets or drops one entry. Exactly one of the four pointers is set: a team, a
// service, a pool or the reserve; with Drop only its name counts.
type Change struct {
	Drop         bool     `cbor:"1,keyasint,omitempty"`
	Team         *Team    `cbor:"2,keyasint,omitempty"`
	Service      *Service `cbor:"3,keyasint,omitempty"`
	Pool         *Pool    `cbor:"4,keyasint,omitempty"`
	CheapReserve *float64 `cbor:"5,keyasint,omitempty"`
}

// Digest is SHA-256.
type Digest [32]byte

// String is the first 12 hex digits, as logs and the admin endpoint show them.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Header identifies a version: the version's digest is that of this record.
type Header struct {
	Number  uint64 `cbor:"1,keyasint"` // 1 and up; 0 = Empty
	Parent  Digest `cbor:"2,keyasint"` // of the version before
	Content Digest `cbor:"3,keyasint"` // of the version's content
	Author  string `cbor:"4,keyasint"`
	Reason  string `cbor:"5,keyasint"`
	Time    int64  `cbor:"6,keyasint"` // when it was accepted, Unix microseconds
}

// Delta is the step from a version's parent to it.
type Delta struct {
	Header  Header   `cbor:"1,keyasint"`
	Changes []Change `cbor:"2,keyasint"`
}

// Meta is what the operator states about a version.
type Meta struct {
	Author, Reason string
	Time           int64 // Unix microseconds
}

// The bounds on a version; what exceeds one is a fault that names it.
const (
	MaxTeams       = 65_536
	MaxServices    = 8_192
	MaxContracts   = 8_192 // of all services
	MaxPools       = 64
	MaxNameBytes   = 128      // of a name or path
	MaxTextBytes   = 1 << 10  // of an author or a reason
	MaxRecordBytes = 16 << 20 // of an encoded version or delta, uncompressed
)

// The errors of Apply, to be compared with errors.Is.
var (
	ErrParentMismatch = errors.New("document: the delta's parent is not the version in force") // versions between the two are missing
	ErrFork           = errors.New("document: another version with this number is in force")
	ErrDigestMismatch = errors.New("document: the content is not the one that the header names")
)
