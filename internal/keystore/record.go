package keystore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
)

// Record is the stored state of one key. Times are microseconds since the epoch.
type Record struct {
	Class     string
	Key       string
	TryID     string // of the try that was started
	Arrived   int64  // of that try
	WindowEnd int64  // no other try that arrived up to then may run
	Deadline  int64  // of that try
	BodyHash  uint64 // of the request's body
	Finished  bool   // the outcome is known
	Outcome   uint8  // valid if Finished
	Result    []byte
}

// storedRecord is the form on disk. Fields are numbered: a number is never reused
// for another field, and an older version ignores the fields that a newer one adds.
type storedRecord struct {
	Version    int    `cbor:"0,keyasint"`
	Class      string `cbor:"1,keyasint"`
	Key        string `cbor:"2,keyasint"`
	TryID      string `cbor:"3,keyasint,omitempty"`
	Arrived    int64  `cbor:"4,keyasint"`
	WindowEnd  int64  `cbor:"5,keyasint"`
	BodyHash   uint64 `cbor:"6,keyasint"`
	Finished   bool   `cbor:"7,keyasint,omitempty"`
	Outcome    uint8  `cbor:"8,keyasint,omitempty"`
	Result     []byte `cbor:"9,keyasint,omitempty"`
	Compressed bool   `cbor:"10,keyasint,omitempty"`
	Deadline   int64  `cbor:"11,keyasint,omitempty"`
}

// The versions and limits of a record. Version 1 had no deadline and no compressed results.
const (
	recordVersion       = 2
	oldestRecordVersion = 1
	minCompressBytes    = 512 // shorter results are not compressed
	minCompressGain     = 8   // a compressed result is used if it saves at least 1/minCompressGain
	maxTextBytes        = 1 << 10
	maxResultBytes      = 1 << 20
	expiryBucketUS      = 1_000_000 // records expire in buckets of this much of their window ends
	recordPrefix        = 'r'
)

// ErrInvalidRecord says that stored data is not a record that this program can read.
var ErrInvalidRecord = errors.New("keystore: invalid record")

var recordDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxMapPairs: 64, MaxArrayElements: 16, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// storeKey returns the database key of a record: the expiry bucket, then class,
// key, arrival and try. Two tries of one key never share a record, so deleting the
// record of one that did not run leaves that of one that did.
func storeKey(r *Record) []byte {
	b := make([]byte, 0, 1+8+len(r.Class)+1+len(r.Key)+1+8+len(r.TryID))
	b = binary.BigEndian.AppendUint64(append(b, recordPrefix), uint64(max(0, r.WindowEnd)/expiryBucketUS))
	b = append(append(append(b, r.Class...), 0), r.Key...)
	b = binary.BigEndian.AppendUint64(append(b, 0), uint64(r.Arrived))
	return append(b, r.TryID...)
}

// Supersedes reports which of two records of one key is used: a finished one
// before an unfinished one, then the one with the longer window.
func (r *Record) Supersedes(over *Record) bool {
	if r.Finished != over.Finished {
		return r.Finished
	}
	return r.WindowEnd > over.WindowEnd
}

// expiryBucketKey returns the first database key of the records whose window ends
// at that time or later.
func expiryBucketKey(at int64) []byte {
	return binary.BigEndian.AppendUint64([]byte{recordPrefix}, uint64(max(0, at)/expiryBucketUS))
}

// encode returns the form on disk.
func encode(r *Record) ([]byte, error) {
	if len(r.Class) > maxTextBytes || len(r.Key) > maxTextBytes || len(r.TryID) > maxTextBytes || len(r.Result) > maxResultBytes {
		return nil, fmt.Errorf("keystore: class, key, try ID or result of key %q is too long", r.Class)
	}
	s := storedRecord{Version: recordVersion, Class: r.Class, Key: r.Key, TryID: r.TryID, Arrived: r.Arrived, WindowEnd: r.WindowEnd, Deadline: r.Deadline,
		BodyHash: r.BodyHash, Finished: r.Finished, Outcome: r.Outcome, Result: r.Result}
	if len(r.Result) >= minCompressBytes {
		if compressed := s2.Encode(nil, r.Result); len(compressed) <= len(r.Result)-len(r.Result)/minCompressGain {
			s.Result, s.Compressed = compressed, true
		}
	}
	return cbor.Marshal(&s)
}

// decode reads the form on disk. Sizes are checked before memory is allocated.
func decode(b []byte) (Record, error) {
	var s storedRecord
	if len(b) > maxResultBytes+4*maxTextBytes {
		return Record{}, fmt.Errorf("%w: %d bytes", ErrInvalidRecord, len(b))
	}
	if err := recordDecoder.Unmarshal(b, &s); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	switch {
	case s.Version < oldestRecordVersion || s.Version > recordVersion:
		return Record{}, fmt.Errorf("%w: version %d, this program reads %d to %d", ErrInvalidRecord, s.Version, oldestRecordVersion, recordVersion)
	case len(s.Class) > maxTextBytes || len(s.Key) > maxTextBytes || len(s.TryID) > maxTextBytes || s.Class == "" ||
		s.Arrived < 0 || s.WindowEnd < 0 || s.WindowEnd > math.MaxInt64/2:
		return Record{}, fmt.Errorf("%w: fields out of range", ErrInvalidRecord)
	}
	r := Record{Class: s.Class, Key: s.Key, TryID: s.TryID, Arrived: s.Arrived, WindowEnd: s.WindowEnd, Deadline: s.Deadline, BodyHash: s.BodyHash,
		Finished: s.Finished, Outcome: s.Outcome, Result: s.Result}
	if s.Compressed {
		n, err := s2.DecodedLen(s.Result)
		if err != nil || n > maxResultBytes {
			return Record{}, fmt.Errorf("%w: compressed result of %d bytes", ErrInvalidRecord, n)
		}
		if r.Result, err = s2.Decode(nil, s.Result); err != nil {
			return Record{}, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
		}
	}
	return r, nil
}
