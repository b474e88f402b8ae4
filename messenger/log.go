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

// Cancellation requests the end of a job.
type Cancellation struct {
	Job identifier.Job
	// Workspace is that of the caller, empty in records of earlier versions. The node
	// that appends the record need not have read the job's submission.
	Workspace identifier.Workspace
}

// Outcome is the recorded result of a job.
type Outcome struct {
	Job identifier.Job
	// Code is OK for a completed job.
	Code   classifier.Code
	Reason string
	// Cancelled means that a caller cancelled the job.
	Cancelled bool
}

// RegionClaim makes its node the holder of a region, which places the region's
// jobs. The offset of the newest claim is the region's fencing term.
type RegionClaim struct {
	Region      identifier.Region
	Node        identifier.Node
	Incarnation identifier.Incarnation
}

// Intent reserves an idempotency key for one request. Only the request of the
// first intent for a key, in offset order, may run.
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

// Entry is one record as stored in the log.
type Entry struct {
	// ID deduplicates records: a record that was appended twice is applied once.
	ID     string
	Record Record
}

// AppendRead delivers one append of a stream. The appends of a stream are
// delivered in offset order without gaps, except where Reset is set.
type AppendRead struct {
	Stream identifier.Stream
	Offset identifier.Offset
	// AppendedAt is the time of the log service, which is monotonic.
	AppendedAt time.Time
	Entries    []Entry
	// Refused holds an error for each entry, or for the whole append, that could not
	// be decoded. Entries does not contain it.
	Refused []error
	// Reset is set on the first append after a start, or after retention has deleted
	// appends that the reader had not read. Earlier appends are not delivered.
	Reset bool
}

// StreamEndReached reports that the reader has reached the end of a stream.
type StreamEndReached struct {
	Stream identifier.Stream
	Next   identifier.Offset
	At     time.Time
	// Reset means that the reader has restarted and delivered no append since:
	// no append before Next is retained.
	Reset bool
}

// StreamUnavailable reports that the log has not responded since Since.
type StreamUnavailable struct {
	Stream identifier.Stream
	Since  time.Time
}

// AppendRecord requests the appender to append a record. The appender retries
// until the record is in the log or Deadline has passed. After a lost answer it
// reads the log back to find out whether the record was appended.
type AppendRecord struct {
	Stream   identifier.Stream
	Entry    Entry
	Deadline time.Time
}

// AppendFailed reports that a record could not be appended. Execution is NotRun
// only if it is certain that the record is not in the log and never will be.
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

// EntriesRequest requests the appends of a stream from a peer, starting at offset
// From. Peers supply appends that the log does not deliver to every node in time.
type EntriesRequest struct {
	Stream identifier.Stream
	From   identifier.Offset
}

// EntriesResponse answers an EntriesRequest with appends in offset order, without gaps.
type EntriesResponse struct {
	Stream  identifier.Stream
	Appends []AppendRead
	// Snapshot replaces Appends if the peer no longer retains them. Each part of a
	// snapshot is a separate message.
	Snapshot *Snapshot
}

func (EntriesRequest) peer()  {}
func (EntriesResponse) peer() {}

// StreamAdvanced reports to the follower that a stream was applied up to and
// including Applied from a source other than the follower's own reads.
type StreamAdvanced struct {
	Stream  identifier.Stream
	Applied identifier.Offset
}

func (StreamAdvanced) action() {}
