package messenger

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

// JournalEntry is a record of the journal, which retains the newest record of
// each key without a time limit.
type JournalEntry interface{ journalEntry() }

// Submitted is a job that an entry VM accepted.
type Submitted struct {
	Job specifier.Job
}

// Withdrawn is the cancellation of a job by its caller.
type Withdrawn struct {
	Job identifier.Job
}

// Tombstone is the cancellation of a job that the journal did not have. It cancels a
// submission of its workspace that becomes durable later, until it is deleted.
type Tombstone struct {
	Job       identifier.Job
	Workspace identifier.Workspace
}

// TombstoneDeleted records that a tombstone has no effect any more.
type TombstoneDeleted struct {
	Tombstone Tombstone
}

// Progressed replaces one part of the recorded progress of a job. In the journal it has
// the state of the job only. Its tasks are in a topic of their own, because every node
// reads the journal. Earlier versions recorded the tasks in the journal, or all tasks in
// the first part.
type Progressed struct {
	Job identifier.Job
	// Part is the part that Progress replaces, counting from 0. Each part has the state
	// of the job and specifier.TasksPerPart of its tasks.
	Part     int
	Progress specifier.Progress
}

// ProgressPart identifies a part of the recorded progress of a job.
type ProgressPart struct {
	Job  identifier.Job
	Part int
}

// Deleted records that a job's records were deleted some time after its end.
type Deleted struct {
	Job identifier.Job
}

func (Submitted) journalEntry()        {}
func (Withdrawn) journalEntry()        {}
func (Tombstone) journalEntry()        {}
func (TombstoneDeleted) journalEntry() {}
func (Progressed) journalEntry()       {}
func (Deleted) journalEntry()          {}

// JournalRead delivers entries in the order of the journal.
type JournalRead struct {
	Entries []JournalEntry
	// End is the offset up to which the journal was read.
	End identifier.Offset
	// SentAt is when the read was sent. The read covers every record that was
	// acknowledged before.
	SentAt time.Time
}

// AppendEntries appends entries on behalf of the callers of an entry VM.
type AppendEntries struct {
	ID      uint64
	Entries []JournalEntry
	// AtEnd means that the entries are appended only if the journal ends at End. Otherwise the
	// code of the answer is Conflict.
	AtEnd bool
	End   identifier.Offset
}

// RefreshJournal requests a reading of the journal before its pace requires it.
type RefreshJournal struct{}

// EntriesAppended is the one answer to AppendEntries.
type EntriesAppended struct {
	ID uint64
	// Err is nil if the entries are durable. Otherwise the Execution of its code states
	// whether they may be durable.
	Err *classifier.Error
}

// ProgressRead delivers records of the progress of tasks.
type ProgressRead struct {
	Entries []Progressed
	// End is the offset up to which the topic of the progress was read.
	End identifier.Offset
	// Complete means that Entries holds the newest record of every job.
	Complete bool
}

// FollowProgress starts or ends the delivery of ProgressRead. The first delivery after
// a start is complete.
type FollowProgress struct {
	Enabled bool
}

// FenceJournal makes the store refuse the records of former holders.
type FenceJournal struct {
	Token identifier.Term
}

// JournalFenced is the one answer to FenceJournal.
type JournalFenced struct {
	Token identifier.Term
	// End and ProgressEnd are the offsets up to which the holder must read the journal
	// and the progress to have all records of former holders.
	End, ProgressEnd identifier.Offset
	Err              *classifier.Error
}

// RecordProgress appends progress and deletes jobs on behalf of the holder. At
// most one is in flight.
type RecordProgress struct {
	Token  identifier.Term
	Serial uint64
	// Updates replace parts of the progress of jobs. They become durable in their order.
	// Expired are the parts that are no longer needed.
	Updates []Progressed
	Expired []ProgressPart
	// States are the new states of jobs for the journal. They become durable after
	// Updates.
	States []Progressed
	// Ended are jobs whose payload is no longer needed. Each entry is replaced by a
	// short one, because every node lists all entries when it starts.
	Ended     []specifier.Job
	Deletions []identifier.Job
	// Tombstones are those that are to be deleted.
	Tombstones []Tombstone
}

// ProgressRecorded is the one answer to RecordProgress. After any Err, whatever
// its Execution, the same record must be sent again unless Unrecordable is set.
type ProgressRecorded struct {
	Token  identifier.Term
	Serial uint64
	Err    *classifier.Error
	// Unrecordable is the job with the record that the store will never take, empty if
	// there is none. Repeating the record is of no use.
	Unrecordable identifier.Job
}

// JournalReadFailed reports that the newest read of the journal got no answer
// or was refused.
type JournalReadFailed struct{}

func (JournalRead) event()       {}
func (ProgressRead) event()      {}
func (JournalReadFailed) event() {}
func (EntriesAppended) event()   {}
func (JournalFenced) event()     {}
func (ProgressRecorded) event()  {}

func (AppendEntries) action()  {}
func (RefreshJournal) action() {}
func (FenceJournal) action()   {}
func (RecordProgress) action() {}
func (FollowProgress) action() {}
