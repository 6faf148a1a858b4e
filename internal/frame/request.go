package frame

import (
	"encoding/binary"
	"fmt"
	"math"
	"strconv"

	"kiteslip/internal/core"
	"kiteslip/internal/reject"
)

// NameIndex maps the names of classes and tenants to their slots.
type NameIndex struct {
	Classes map[string]int
	Keyed   []bool         // by class
	Tenants map[string]int // empty = no tenants are configured
}

// The limits of the fields of a request: times of an hour, and the memory that the
// protocol allows for one request.
const (
	maxTimeoutMS   = 3_600_000
	maxNeedKB      = 2_000
	maxWorkMS      = 3_600_000
	maxKeyBytes    = 128
	maxTimestampMS = 1 << 43 // some centuries, so that sums of times cannot overflow
)

// ParseRequest parses the payload of a request. The result shares no memory with the
// payload.
func ParseRequest(payload []byte, names *NameIndex) (*core.Request, error) {
	fields, body, err := ParseFields(payload)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBody {
		return nil, &reject.Error{Cause: "body_too_large", Err: fmt.Errorf("frame: body of %d bytes, at most %d are allowed", len(body), MaxBody)}
	}
	r := &core.Request{Class: -1, Tenant: -1, Arrived: -1}
	var timeout int64
	hasTimeout := false // the timeout is optional
	var fieldErr error
	for name, value := range fields.All {
		var ok bool
		switch string(name) {
		case "kind":
			r.Class, ok = names.Classes[string(value)]
		case "req":
			r.TryID, ok = string(value), isHex16(value)
		case "ts":
			r.Arrived, ok = parseInt(value, maxTimestampMS)
			r.Arrived *= 1000
		case "via":
			var via int64
			via, ok = parseInt(value, math.MaxInt32)
			r.Caller = int(via)
		case "owner":
			r.Tenant, ok = names.Tenants[string(value)]
			ok = ok || len(names.Tenants) == 0
		case "timeout":
			timeout, ok = parseInt(value, maxTimeoutMS)
			hasTimeout = true
		case "resent":
			r.Retry, ok = string(value) == "1", string(value) == "0" || string(value) == "1"
		case "ms":
			var ms float64
			ms, ok = parseFloat(value, 0, maxWorkMS)
			r.ExpectedWork = int64(ms * 1000)
		case "need":
			r.SizeKB, ok = parseFloat(value, 0, maxNeedKB)
			ok = ok && r.SizeKB > 0 && r.SizeKB < maxNeedKB
		case "level":
			r.Rank, ok = parseFloat(value, 0, 1)
			ok = ok && r.Rank < 1
		case "opkey":
			r.Key, ok = string(value), len(value) > 0 && len(value) <= maxKeyBytes
		case "subject":
			r.Subject, ok = parseSubject(value)
		default:
			ok = true // later versions may add fields
		}
		if !ok && fieldErr == nil {
			fieldErr = invalidField(string(name))
		}
	}
	switch {
	case fieldErr != nil:
		return nil, fieldErr
	case r.Class < 0:
		return nil, missingField("kind")
	case r.TryID == "":
		return nil, missingField("req")
	case r.Arrived < 0:
		return nil, missingField("ts")
	case r.Tenant < 0 && len(names.Tenants) > 0:
		return nil, missingField("owner")
	case names.Keyed[r.Class] && r.Key == "":
		return nil, missingField("opkey")
	}
	if !names.Keyed[r.Class] {
		r.Key = ""
	}
	r.Write = names.Keyed[r.Class]
	r.Tenant = max(r.Tenant, 0)
	if hasTimeout {
		r.Deadline = max(1, r.Arrived+timeout*1000)
	}
	r.Body = append([]byte(nil), body...)
	return r, nil
}

// invalidField returns the error of an invalid field. Unknown fields are ignored, so the
// number of causes is small.
func invalidField(name string) error {
	return &reject.Error{Cause: "field_unusable_" + name, Err: fmt.Errorf("frame: field %q cannot be used", name)}
}

// missingField returns the error of a required field that is absent.
func missingField(name string) error {
	return &reject.Error{Cause: "field_absent_" + name, Err: fmt.Errorf("frame: field %q is absent", name)}
}

// isHex16 reports whether b consists of 16 hex digits.
func isHex16(b []byte) bool {
	if len(b) != 16 {
		return false
	}
	_, err := strconv.ParseUint(string(b), 16, 64)
	return err == nil
}

// parseSubject parses 16 hex digits; any other subject is hashed (FNV-1a).
func parseSubject(b []byte) (uint64, bool) {
	if v, err := strconv.ParseUint(string(b), 16, 64); err == nil && len(b) == 16 {
		return v, true
	}
	h := uint64(14695981039346656037)
	for _, c := range b {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h, len(b) > 0 && len(b) <= maxKeyBytes
}

// parseInt parses an integer from 0 to maximum.
func parseInt(b []byte, maximum int64) (int64, bool) {
	v, err := strconv.ParseInt(string(b), 10, 64)
	return v, err == nil && v >= 0 && v <= maximum
}

// parseFloat parses a number from minimum to maximum; NaN is invalid.
func parseFloat(b []byte, minimum, maximum float64) (float64, bool) {
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil && v >= minimum && v <= maximum
}

// AppendRequest appends a complete request frame, as a caller sends it.
func AppendRequest(b []byte, stream uint32, fields []Field, body []byte) []byte {
	start := len(b)
	b = AppendHeader(b, Request, stream, 0)
	b = append(AppendFields(b, fields), body...)
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}
