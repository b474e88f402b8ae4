package messenger

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
)

// Publication is a published service text.
type Publication struct {
	Organisation identifier.Organisation
	Base         identifier.Offset
	Text         []byte
}

// Approval is a member's agreement to a newcomer's publication.
type Approval struct {
	Organisation identifier.Organisation
	Publication  identifier.Offset
}

// Submission is an accepted job.
type Submission struct {
	Spec commander.JobSpec
}

// Cancellation asks for the end of a job.
type Cancellation struct {
	Job identifier.Job
}

// Outcome is the stated end of a job.
type Outcome struct {
	Job identifier.Job
	// Code is OK for a completed job.
	Code   classifier.Code
	Reason string
	// Cancelled says that a caller ended the job.
	Cancelled bool
}

// RegionClaim makes its node the one that places jobs of a region. The offset
// of the newest claim is the region's fencing term.
type RegionClaim struct {
	Region      identifier.Region
	Node        identifier.Node
	Incarnation identifier.Incarnation
}

// Intent reserves an idempotency key for one request. The first intent for a
// key in offset order may run.
type Intent struct {
	Key         identifier.Key
	Request     identifier.Request
	Node        identifier.Node
	Incarnation identifier.Incarnation
}

func (Publication) record()  {}
func (Approval) record()     {}
func (Submission) record()   {}
func (Cancellation) record() {}
func (Outcome) record()      {}
func (RegionClaim) record()  {}
func (Intent) record()       {}

// Entry is one record as the log holds it.
type Entry struct {
	// ID makes a record that was appended twice fold once.
	ID     string
	Record Record
}

// AppendRead carries one append of a stream. Appends of a stream arrive in
// offset order without gaps, unless Reset says that the reader starts anew.
type AppendRead struct {
	Stream identifier.Stream
	Offset identifier.Offset
	// AppendedAt is the time of the log service, which never goes back.
	AppendedAt time.Time
	Entries    []Entry
	// Reset is set on the first append after a start or after retention has
	// passed the reader: earlier appends are not read.
	Reset bool
}

// StreamEndReached says that the reader has reached the end of a stream.
type StreamEndReached struct {
	Stream identifier.Stream
	Next   identifier.Offset
	At     time.Time
	// Reset says that no append was delivered since the reader started anew:
	// nothing before Next is retained.
	Reset bool
}

// StreamUnavailable says that the log has not answered since Since.
type StreamUnavailable struct {
	Stream identifier.Stream
	Since  time.Time
}

// AppendRecord asks the appender to append a record. The appender repeats it,
// settling lost answers by read-back, until the record is in the log or
// Deadline has passed.
type AppendRecord struct {
	Stream   identifier.Stream
	Entry    Entry
	Deadline time.Time
}

// AppendFailed says that a record could not be appended. Execution is NotRun only if
// the record is surely not in the log and never will be.
type AppendFailed struct {
	Stream    identifier.Stream
	ID        string
	Code      classifier.Code
	Execution classifier.Execution
}

func (AppendRead) event()        {}
func (StreamEndReached) event()  {}
func (StreamUnavailable) event() {}
func (AppendFailed) event()      {}

func (AppendRecord) action() {}

// EntriesRequest asks a peer for the appends of a stream from an offset on. Peers
// pass on what the log does not deliver to everyone in time.
type EntriesRequest struct {
	Stream identifier.Stream
	From   identifier.Offset
}

// EntriesResponse answers an EntriesRequest with appends in offset order, without gaps.
type EntriesResponse struct {
	Stream  identifier.Stream
	Appends []AppendRead
	// Snapshot replaces Appends if the peer no longer keeps them. Each part is a
	// message of its own.
	Snapshot *Snapshot
}

func (EntriesRequest) peer()  {}
func (EntriesResponse) peer() {}

// StreamAdvanced tells the follower that a stream was applied up to and
// including Applied from another source than the follower's own reads.
type StreamAdvanced struct {
	Stream  identifier.Stream
	Applied identifier.Offset
}

func (StreamAdvanced) action() {}
