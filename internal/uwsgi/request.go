package uwsgi

import (
	"math"
	"net/http"
	"strconv"

	"kiteslip/internal/core"
)

// The variables that a web server sets to describe a request.
const (
	VarClass     = "KITESLIP_CLASS"      // or PATH_INFO, where a contract names a path
	VarTenant    = "KITESLIP_TENANT"     // may be absent where there is only one
	VarTimeout   = "KITESLIP_TIMEOUT_MS" // how long the caller waits; absent = the class's timeout
	VarTimestamp = "KITESLIP_TS"         // when the request arrived, in Unix milliseconds; absent = when it was read
	VarKey       = "KITESLIP_KEY"        // the same for all tries of one request of a keyed class
	VarSubject   = "KITESLIP_SUBJECT"    // identifies what a read is about, a hex number
	VarWork      = "KITESLIP_WORK_MS"    // expected work
	VarRank      = "KITESLIP_RANK"       // from 0 to 1
	VarLength    = "CONTENT_LENGTH"
	VarPath      = "PATH_INFO"
)

// Contract is the front end's configuration of one class.
type Contract struct {
	Keyed           bool
	Timeout         int64   // microseconds
	MaxBody         int     // bytes
	RequestMemoryKB float64 // memory booked for one request from its arrival to its answer
	Path            string  // prefix of the paths whose requests are of this class; "" = by VarClass only
}

// ContractTable has the contracts of all classes, and the slots of classes and tenants
// by name.
type ContractTable struct {
	Classes   map[string]int
	Contracts []Contract // by class
	Tenants   map[string]int
}

// RequestError is the error of a request that is answered without being submitted.
type RequestError struct {
	Status int // HTTP status
	Reason string
}

// Error returns the reason.
func (p *RequestError) Error() string { return p.Reason }

func badRequest(reason string) *RequestError { return &RequestError{http.StatusBadRequest, reason} }

// The limits of the variables of a request.
const (
	maxKeyBytes    = 128
	maxTimeoutMS   = 3_600_000
	maxTimestampMS = 1 << 43 // some centuries, so that sums of times cannot overflow
)

// ParseRequest parses the variables of a request that was read at now, in microseconds.
// It returns the request, without its body, and the length of the body. The result
// shares no memory with the variables.
func ParseRequest(vars Vars, table *ContractTable, now int64) (*core.Request, int, *RequestError) {
	r := &core.Request{Class: -1, Tenant: -1, Arrived: now}
	length, timeout, path := 0, int64(-1), ""
	for name, value := range vars.All() {
		ok, text := true, string(value)
		switch string(name) {
		case VarClass:
			r.Class, ok = lookupIndex(table.Classes, text)
		case VarTenant:
			r.Tenant, ok = lookupIndex(table.Tenants, text)
			ok = ok || len(table.Tenants) == 0
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
		r.Class = table.classByPath(path)
	}
	if r.Tenant < 0 && len(table.Tenants) <= 1 {
		r.Tenant = 0
		for _, only := range table.Tenants { // its slot need not be the first: others may have been retired
			r.Tenant = only
		}
	}
	switch {
	case r.Class < 0:
		return nil, 0, badRequest("variable " + VarClass + " is absent, and no contract has this path")
	case r.Tenant < 0:
		return nil, 0, badRequest("variable " + VarTenant + " is absent")
	}
	contract := &table.Contracts[r.Class]
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
	if timeout >= 0 { // otherwise the core sets the deadline by the class
		r.Deadline = max(1, r.Arrived+min(contract.Timeout, timeout*1000))
	}
	return r, length, nil
}

// classByPath returns the class whose contract has the longest path that is a prefix of
// this one at a segment boundary, or -1.
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

// lookupIndex returns the index of a name, or -1 and false.
func lookupIndex(indexes map[string]int, name string) (int, bool) {
	if i, ok := indexes[name]; ok {
		return i, true
	}
	return -1, false
}

// parseInt parses an integer from 0 to maximum.
func parseInt(s string, maximum int64) (int64, bool) {
	v, err := strconv.ParseInt(s, 10, 64)
	return v, err == nil && v >= 0 && v <= maximum
}

// parseFloat parses a number from 0 to maximum; NaN is invalid.
func parseFloat(s string, maximum float64) (float64, bool) {
	v, err := strconv.ParseFloat(s, 64)
	return v, err == nil && v >= 0 && v <= maximum
}
