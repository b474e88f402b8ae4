// Package classifier declares the numbered result codes of corianderroad and
// the error type that carries them. docs/RESULT-CODES.md lists every code.
package classifier

// Code is a numbered result. Codes are stable: a number is never reused.
type Code uint16

// Result codes. The hundreds give the group: 1 input, 2 access, 3 load,
// 4 availability, 5 outcome, 6 configuration, 7 jobs.
const (
	OK Code = 0

	BadRequest          Code = 101
	UnknownService      Code = 102
	UnknownMethod       Code = 103
	BodyTooLarge        Code = 104
	BadKey              Code = 105
	UnknownJob          Code = 106
	InvalidSettings     Code = 107
	InvalidText         Code = 108
	BadFrame            Code = 109
	UnknownNode         Code = 110
	UnknownQueue        Code = 111
	UnknownMethodOnPath Code = 112
	Unauthenticated     Code = 201
	Forbidden           Code = 202
	BadSharedKey        Code = 203
	QueueFull           Code = 301
	DeadlineUnmet       Code = 302
	RingFull            Code = 303
	TooManyCalls        Code = 304
	QuotaExceeded       Code = 305
	RateLimited         Code = 306
	MemoryShort         Code = 307
	JobMemoryShort      Code = 308
	BacklogTooLong      Code = 309
	NoMinion            Code = 401
	LogUnavailable      Code = 402
	Leaving             Code = 403
	NotReady            Code = 404
	NodeUnreachable     Code = 405
	MinionBusy          Code = 406
	MinionUnreachable   Code = 407
	HistoryTrimmed      Code = 408
	StaleConfiguration  Code = 409
	StoreBusy           Code = 410
	OutcomeUnknown      Code = 501
	TimedOut            Code = 502
	InProgress          Code = 503
	AlreadyRun          Code = 504
	CorruptAnswer       Code = 505
	Conflict            Code = 601
	PendingApproval     Code = 602
	UnknownOffset       Code = 603
	AlreadyApproved     Code = 604
	Infeasible          Code = 701
	JobExists           Code = 702
	JobEnded            Code = 703
	StaleTerm           Code = 704
	NoCapacity          Code = 705
	LeaseExpired        Code = 706
	RepeatedFailure     Code = 707
	SupersededRun       Code = 708
	NoTicket            Code = 709
	Internal            Code = 901
)

// Execution states what is known about the execution of a refused request.
type Execution uint8

// Values of Execution.
const (
	NotRun  Execution = iota // the request did not run and will not
	Unknown                  // the request may have run
	Ran                      // the request ran
)

// String returns the value's name in answers.
func (execution Execution) String() string {
	switch execution {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Meaning describes a code, for answers, counters and the table in the docs.
type Meaning struct {
	Code Code
	// Name is the code in kebab case, used in answers and as a counter's label.
	Name string
	// Status is the HTTP status of an answer with this code.
	Status int
	// Exit is the exit code of the command line.
	Exit int
	// Execution states whether a request that was refused with this code ran.
	Execution Execution
	// Text describes what the code means.
	Text string
	// Action is what an operator or caller should do.
	Action string
}

// Name returns the code's name in kebab case, or "unlisted".
func (code Code) Name() string { return code.Meaning().Name }

// Execution returns whether a request that was refused with this code ran.
func (code Code) Execution() Execution { return code.Meaning().Execution }

// Meaning returns the code's entry in the table. For a number that is not listed
// Execution is Unknown, because the request may have run.
func (code Code) Meaning() Meaning {
	if meaning, ok := meanings[code]; ok {
		return meaning
	}
	return Meaning{Code: code, Name: "unlisted", Status: 500, Exit: 1, Execution: Unknown}
}
