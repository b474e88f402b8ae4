package registrar

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

type job struct {
	queue     identifier.Queue
	workspace identifier.Workspace
	state     specifier.State
	// endedAt is zero until the state is final.
	endedAt time.Time
	// failure is why the job has failed, empty otherwise.
	failure string
	// withdrawn may be set before submitted.
	withdrawn bool
	submitted bool
	scheduled bool
	// accelerators are those that the job's first step needs.
	accelerators int32
}

// command is a submission or a cancellation without an answer.
type command struct {
	request   identifier.Request
	job       identifier.Job
	workspace identifier.Workspace
	entry     messenger.JournalEntry
	arrived   time.Time
	deadline  time.Time
	// retryAt is when the next append is sent, zero while one is pending.
	retryAt time.Time
	// retryDelay is the delay before that append.
	retryDelay time.Duration
	// maybeDurable means that an append without an answer may be in the journal.
	maybeDurable bool
	// awaitsRead means that the command waits for a read of the journal that shows
	// whether the job exists.
	awaitsRead bool
	attempts   int
	// bytes is what the job of a submission needs. awaitsBudget means that the command waits
	// for a read of the journal that shows whether there is memory for it, and atEnd that it
	// is appended only at the end of what was read.
	bytes        int64
	awaitsBudget bool
	atEnd        bool
	// refusal is the answer to a submission that is refused by the expected wait unless the
	// journal has the job, nil for others.
	refusal *classifier.Error
}
