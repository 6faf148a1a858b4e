package uwsgi

import (
	"math"
	"net/http"
	"strconv"

	"kiteslip/internal/core"
)

// The variables by which a web tier says what a request is.
const (
	VarClass     = "KITESLIP_CLASS"      // or PATH_INFO, where a contract names a path
	VarTenant    = "KITESLIP_TENANT"     // may be absent where there is only one
	VarTimeout   = "KITESLIP_TIMEOUT_MS" // how long the caller waits; absent = the contract's deadline
	VarTimestamp = "KITESLIP_TS"         // since when, in Unix milliseconds; absent = since it was read
	VarKey       = "KITESLIP_KEY"        // the same for all tries of one request of a keyed class
	VarSubject   = "KITESLIP_SUBJECT"    // what a read is about, a number in hex
	VarWork      = "KITESLIP_WORK_MS"    // the work to expect
	VarRank      = "KITESLIP_RANK"       // from 0 to under 1
	VarLength    = "CONTENT_LENGTH"
	VarPath      = "PATH_INFO"
)

// Contract is what a front must know of one class.
type Contract struct {
	Keyed           bool
	Timeout         int64   // microseconds
	MaxBody         int     // bytes
	RequestMemoryKB float64 // memory booked for one request while it is held
	Path            string  // requests for it are of this class; "" = by VarClass only
}

// ContractTable holds the contracts of a front.
type ContractTable struct {
	Classes   map[string]int
	Contracts []Contract // by class
	Tenants   map[string]int
}

// RequestError is a request that gets an answer without entering the core.
type RequestError struct {
	Status int // as in HTTP
	Reason string
}

func (p *RequestError) Error() string { return p.Reason }

func badRequest(reason string) *RequestError { return &RequestError{http.StatusBadRequest, reason} }

const (
	maxKeyBytes    = 128
	maxTimeoutMS   = 3_600_000
	maxTimestampMS = 1 << 43 // ms: some centuries; sums of times cannot overflow
)

// ParseRequest reads the variables of a request that was read at now. It
// returns the request, without its body, and the length of the body. What it
// returns shares no memory with the variables.
func ParseRequest(vars Vars, book *ContractTable, now int64) (*core.Request, int, *RequestError) {
	r := &core.Request{Class: -1, Tenant: -1, Arrived: now}
	length, timeout, path := 0, int64(-1), ""
	for name, value := range vars.All() {
		ok, text := true, string(value)
		switch string(name) {
		case VarClass:
			r.Class, ok = lookupIndex(book.Classes, text)
		case VarTenant:
			r.Tenant, ok = lookupIndex(book.Tenants, text)
			ok = ok || len(book.Tenants) == 0
		case VarTimeout:
			timeout, ok = parseInt(text, maxTimeoutMS)
		case VarTimestamp:
			var ms int64
			ms, ok = parseInt(text, maxTimestampMS)
			r.Arrived = ms * 1000
		case VarKey:
			r.Key, ok = text, len(text) > 0 && len(text) <= maxKeyBytes
		case VarSubject:
			var err error
			r.Subject, err = strconv.ParseUint(text, 16, 64)
			ok = err == nil
		case VarWork:
			var ms float64
			ms, ok = parseFloat(text, maxTimeoutMS)
			r.ExpectedWork = int64(ms * 1000)
		case VarRank:
			r.Rank, ok = parseFloat(text, 1)
		case VarLength:
			if text != "" { // web servers send it empty where there is no body
				var n int64
				n, ok = parseInt(text, math.MaxInt32)
				length = int(n)
			}
		case VarPath:
			path = text
		}
		if !ok {
			return nil, 0, badRequest("variable " + string(name) + " cannot be used")
		}
	}
	if r.Class < 0 {
		r.Class = book.classByPath(path)
	}
	if r.Tenant < 0 && len(book.Tenants) <= 1 {
		r.Tenant = 0
		for _, only := range book.Tenants { // its place need not be the first: others may have been dropped
			r.Tenant = only
		}
	}
	switch {
	case r.Class < 0:
		return nil, 0, badRequest("variable " + VarClass + " is absent, and no contract has this path")
	case r.Tenant < 0:
		return nil, 0, badRequest("variable " + VarTenant + " is absent")
	}
	contract := &book.Contracts[r.Class]
	switch {
	case contract.Keyed && r.Key == "":
		return nil, 0, badRequest("variable " + VarKey + " is absent")
	case length > contract.MaxBody:
		return nil, 0, &RequestError{http.StatusRequestEntityTooLarge,
			"the body is over the " + strconv.Itoa(contract.MaxBody) + " bytes of its contract"}
	}
	if !contract.Keyed {
		r.Key = ""
	}
	r.Write = contract.Keyed
	r.SizeKB = contract.RequestMemoryKB
	if timeout >= 0 { // else it is untold, and the core sets it by the class
		r.Deadline = max(1, r.Arrived+min(contract.Timeout, timeout*1000))
	}
	return r, length, nil
}

// classByPath returns the class whose contract has the longest path that leads to
// this one, or -1.
func (b *ContractTable) classByPath(path string) int {
	best, size := -1, 0
	for i := range b.Contracts {
		p := b.Contracts[i].Path
		if len(p) > size && len(path) >= len(p) && path[:len(p)] == p &&
			(len(path) == len(p) || path[len(p)] == '/' || p[len(p)-1] == '/') {
			best, size = i, len(p)
		}
	}
	return best
}

func lookupIndex(places map[string]int, name string) (int, bool) {
	if i, ok := places[name]; ok {
		return i, true
	}
	return -1, false
}

func parseInt(s string, most int64) (int64, bool) {
	v, err := strconv.ParseInt(s, 10, 64)
	return v, err == nil && v >= 0 && v <= most
}

func parseFloat(s string, most float64) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && v <= most
}
