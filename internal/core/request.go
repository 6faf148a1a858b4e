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
	Result     []byte // the result of the run, unchanged
	RetryAfter int64  // how long the caller should stay away; 0 = no advice
	NoFailover bool   // Refused: the caller should try no other server
	Cause      Cause  // Failed: why
}

// Cause says why a request failed.
type Cause uint8

// The causes.
const (
	Abandoned        Cause = iota // the policy gave it up
	DeadlineExceeded              // its deadline has come
	RunFailed                     // its run ended in an error
	InDoubt                       // another process may have run its key
	OutcomeUnknown                // its key was started by a process that has ended since, with an unknown outcome
)

// OutcomeUnknownText is what callers are told where the cause is OutcomeUnknown.
const OutcomeUnknownText = "this key was begun before a restart; how it ended is not known, and it is not run again within its window"

// Answerer takes the one final answer of a request. The stream tells apart the
// requests of one connection.
type Answerer interface {
	Answer(stream uint32, a Answer)
}

// Runner starts the run of a request. Each call ends with one Done.
type Runner interface {
	Run(r *Request)
}

// Request is one try of a request, as a front end has read it.
type Request struct {
	TryID        string // identifies this try to the engine
	Class        int
	Tenant       int
	Caller       int
	Key          string // keyed classes: the same for all tries of one request
	Subject      uint64 // what a read is about; 0 = not stated
	Arrived      int64  // when it reached the machine
	Deadline     int64  // when its caller gives up; 0 = not stated, Submit sets it by the class
	ExpectedWork int64  // in microseconds of core time; 0 = not stated
	SizeKB       float64
	Rank         float64
	Write        bool
	Retry        bool // marked as a later try or second copy
	Body         []byte
	Stream       uint32
	ReplyTo      Answerer

	id          kiteslip.RequestID
	bodyHash    uint64 // keyed classes only
	clientTime  int64  // arrival by the caller's clock, which may be ahead of this one
	window      int64  // of its key, by the settings when it arrived
	entry       string // its name in the key table; "" for none
	answered    bool   // a final answer was given, or the caller has gone
	phase       phase
	startedAt   int64
	endedAt     int64
	outcome     kiteslip.Outcome // of its run, once that has ended
	result      []byte
	duplicates  []*Request   // await the result of this one
	call        *pendingCall // the downstream call that its run waits for; nil = none
	halting     bool         // the policy has halted its run
	everStarted bool         // it was handed to the Runner at least once

	poolState poolState // how the pools count it
	changed   bool      // it is in Core.changed
	poolMark  float64   // what pool.Begin returned for its run

	recorded       bool // its start is in the journal, or is being written
	recordingEnd   bool // its run has ended, and the end is being written to the journal
	outcomeUnknown bool // it was started by an earlier process, and its outcome is unknown

	remote     bool     // runs in the peer
	peerClaims []uint32 // claims of the peer that await the result too
}

// phase is the state of a request.
type phase uint8

const (
	queued         phase = iota
	running              // handed to the Runner, or waiting for the grant or record of its start
	paused               // halted with its work kept
	awaitingResult       // a duplicate that will get the result of its original
	ended                // its run has ended
	dropped              // ended without a run
)
