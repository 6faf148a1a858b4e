package core

import "kiteslip"

// Code is the kind of a final answer.
type Code uint8

// The final answers.
const (
	Served  Code = iota // carries the result of the run
	Refused             // this try never ran
	Failed              // an error, with no assurance
)

// Answer is a final answer.
type Answer struct {
	Code       Code
	Result     []byte // Served: what the run made, unchanged
	RetryAfter int64  // Refused: the caller should stay away this long; 0 = no advice
	NoFailover bool   // Refused: the caller should try no other server
	Cause      Cause  // Failed: why
}

// Cause says why a request failed.
type Cause uint8

// The causes.
const (
	Abandoned        Cause = iota // the module gave it up
	DeadlineExceeded              // its due time has come
	RunFailed                     // its run ended in an error
	InDoubt                       // another process may have run its key
	OutcomeUnknown                // its key was begun by a process that has ended since, and how that ended is not known
)

// OutcomeUnknownText is what callers are told where the cause is Unknown.
const OutcomeUnknownText = "this key was begun before a restart; how it ended is not known, and it is not run again within its window"

// Answerer takes the one final answer of a request. The stream tells apart
// the requests of one caller's connection.
type Answerer interface {
	Answer(stream uint32, a Answer)
}

// Runner starts a request where the work is done. Each call ends with one Done.
type Runner interface {
	Run(r *Request)
}

// Request is one try of a request, as a front has read it.
type Request struct {
	TryID        string // names this try to the engine
	Class        int
	Tenant       int
	Caller       int
	Key          string // the same for all tries of one request, of keyed classes
	Subject      uint64 // what a read is about; 0 = untold
	Arrived      int64  // when it came to the machine
	Deadline     int64  // when its caller gives up; 0 = untold, until Arrive sets it by the class
	ExpectedWork int64  // the work to expect, 0 = untold
	SizeKB       float64
	Rank         float64
	Write        bool
	Retry        bool // marked as a further try or second copy
	Body         []byte
	Stream       uint32
	ReplyTo      Answerer

	id       kiteslip.RequestID
	sum      uint64 // of the body, in keyed classes
	stamp    int64  // when it came by its caller's clock, which may be ahead of this one
	window   int64  // of its key, by the settings when it came
	entry    string // its place in the key table, "" for none
	answered bool   // a final answer was given, or nobody waits for one
	phase    phase
	began    int64
	endedAt  int64
	outcome  kiteslip.Outcome // of its run, once over
	result   []byte
	copies   []*Request // wait for the result of this one
	stand    *stand     // the call that its run needs; nil = none
	halting  bool       // the module has stopped its run
	begun    bool       // it was handed to the Runner once

	pooled  pooled  // what the pools' book has of it
	touched bool    // it is in the list of those to look at
	mark    float64 // of its run, for the book

	recorded bool // that it may start is on record
	ending   bool // its run is over, and the record of that under way
	unknown  bool // it was begun in an earlier life, and its end is not known

	elsewhere bool     // runs in the other process of an upgrade
	claims    []uint32 // of that one, which wait for the result too
}

type phase uint8

const (
	held    phase = iota
	running       // handed to the Runner
	paused        // stopped with its work kept
	copying       // waits for the result of another
	ended         // its run is over
	dropped       // over without a run
)
