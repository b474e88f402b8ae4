package tailer

import (
	"time"

	"corianderroad/identifier"
)

// coverage is the time up to which all acknowledged records have been read. The store
// limits the size of an answer, so that a read may leave records out.
type coverage struct {
	until time.Time
	// goal is the end of the topic at an incomplete read that was sent at goalSentAt. Once
	// all records before goal are read, the time of that read is covered.
	goal       identifier.Offset
	goalSentAt time.Time
}

// add adds a read that was sent at the given time.
func (coverage *coverage) add(batch Batch, sentAt time.Time) {
	if batch.Next >= batch.End {
		coverage.until, coverage.goalSentAt = sentAt, time.Time{}
		return
	}
	if !coverage.goalSentAt.IsZero() && batch.Next < coverage.goal {
		return
	}
	if !coverage.goalSentAt.IsZero() {
		coverage.until = coverage.goalSentAt
	}
	coverage.goal, coverage.goalSentAt = batch.End, sentAt
}
