package keystore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"
)

// Record is what is kept of one key. Times are microseconds since the epoch.
type Record struct {
	Class     string
	Key       string
	TryID     string // of the try that ran, to the engine
	Arrived   int64  // of that try
	WindowEnd int64  // no other try that arrived up to then may run
	Deadline  int64  // of that try
	BodyHash  uint64 // of the body
	Finished  bool   // its end is known
	Outcome   uint8  // ... and this is it
	Result    []byte
}

// stored is the form on disk. Fields are numbered: a field is never used for
// something else, and what a newer version adds an older one passes over.
type stored struct {
	Version int    `cbor:"0,keyasint"`
	Class   string `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Name    string `cbor:"3,keyasint,omitempty"`
	Arrived int64  `cbor:"4,keyasint"`
	Guard   int64  `cbor:"5,keyasint"`
	Sum     uint64 `cbor:"6,keyasint"`
	Over    bool   `cbor:"7,keyasint,omitempty"`
	Outcome uint8  `cbor:"8,keyasint,omitempty"`
	Result  []byte `cbor:"9,keyasint,omitempty"`
	Packed  bool   `cbor:"10,keyasint,omitempty"`
	Due     int64  `cbor:"11,keyasint,omitempty"`
}

// The versions of a record. Version 1 had no due time and no packed results.
const (
	version      = 2
	oldest       = 1
	packFrom     = 512 // bytes of a result below which packing is not tried
	packGain     = 8   // ... and it is kept if it saves this part at least
	mostText     = 1 << 10
	mostResult   = 1 << 20
	bucketOf     = 1_000_000 // microseconds of the windows' ends that are aged together
	recordPrefix = 'r'
)

// ErrInvalidRecord says that what is stored is no record of this program.
var ErrInvalidRecord = errors.New("keystore: not a record")

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 4, MaxMapPairs: 64, MaxArrayElements: 16, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// storeKey is where a record lies: by the end of its window, then by its key
// and try. Two tries of one key never share a record, so that the end of one
// that did not run takes nothing away from one that did.
func storeKey(r *Record) []byte {
	b := make([]byte, 0, 1+8+len(r.Class)+1+len(r.Key)+1+8+len(r.TryID))
	b = binary.BigEndian.AppendUint64(append(b, recordPrefix), uint64(max(0, r.WindowEnd)/bucketOf))
	b = append(append(append(b, r.Class...), 0), r.Key...)
	b = binary.BigEndian.AppendUint64(append(b, 0), uint64(r.Arrived))
	return append(b, r.TryID...)
}

// Supersedes says which of two records of one key stands for it: an end that is
// known before one that is not, then the longer window.
func (r *Record) Supersedes(over *Record) bool {
	if r.Finished != over.Finished {
		return r.Finished
	}
	return r.WindowEnd > over.WindowEnd
}

// bucketStart is the first key of all records whose window ends at that time or later.
func bucketStart(at int64) []byte {
	return binary.BigEndian.AppendUint64([]byte{recordPrefix}, uint64(max(0, at)/bucketOf))
}

// encode returns the form on disk.
func encode(r *Record) ([]byte, error) {
	if len(r.Class) > mostText || len(r.Key) > mostText || len(r.TryID) > mostText || len(r.Result) > mostResult {
		return nil, fmt.Errorf("keystore: class, key, name or result of %q is too long", r.Class)
	}
	s := stored{Version: version, Class: r.Class, Key: r.Key, Name: r.TryID, Arrived: r.Arrived, Guard: r.WindowEnd, Due: r.Deadline,
		Sum: r.BodyHash, Over: r.Finished, Outcome: r.Outcome, Result: r.Result}
	if len(r.Result) >= packFrom {
		if packed := s2.Encode(nil, r.Result); len(packed) <= len(r.Result)-len(r.Result)/packGain {
			s.Result, s.Packed = packed, true
		}
	}
	return cbor.Marshal(&s)
}

// decode reads the form on disk. Sizes are checked before memory is taken.
func decode(b []byte) (Record, error) {
	var s stored
	if len(b) > mostResult+4*mostText {
		return Record{}, fmt.Errorf("%w: %d bytes", ErrInvalidRecord, len(b))
	}
	if err := decoder.Unmarshal(b, &s); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
	}
	switch {
	case s.Version < oldest || s.Version > version:
		return Record{}, fmt.Errorf("%w: version %d, this program reads %d to %d", ErrInvalidRecord, s.Version, oldest, version)
	case len(s.Class) > mostText || len(s.Key) > mostText || len(s.Name) > mostText || s.Class == "" ||
		s.Arrived < 0 || s.Guard < 0 || s.Guard > math.MaxInt64/2:
		return Record{}, fmt.Errorf("%w: fields out of bounds", ErrInvalidRecord)
	}
	r := Record{Class: s.Class, Key: s.Key, TryID: s.Name, Arrived: s.Arrived, WindowEnd: s.Guard, Deadline: s.Due, BodyHash: s.Sum,
		Finished: s.Over, Outcome: s.Outcome, Result: s.Result}
	if s.Packed {
		n, err := s2.DecodedLen(s.Result)
		if err != nil || n > mostResult {
			return Record{}, fmt.Errorf("%w: a packed result of %d bytes", ErrInvalidRecord, n)
		}
		if r.Result, err = s2.Decode(nil, s.Result); err != nil {
			return Record{}, fmt.Errorf("%w: %w", ErrInvalidRecord, err)
		}
	}
	return r, nil
}
