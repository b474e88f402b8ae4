package appender

import (
	"time"

	"github.com/google/uuid"

	"corianderroad/classifier"
	"corianderroad/messenger"
)

// batch contains the records of one append.
type batch struct {
	// id identifies the append in a read-back.
	id      string
	records []messenger.AppendRecord
	// reported contains the positions of the records that were reported as failed.
	reported map[int]bool
	size     int
	// ambiguous means that a request may have taken effect. It stays set: a request
	// that a read-back did not find may still arrive at the log.
	ambiguous bool
}

func newBatch() *batch { return &batch{id: uuid.NewString(), reported: map[int]bool{}} }

func (batch *batch) add(record messenger.AppendRecord) {
	batch.records = append(batch.records, record)
	batch.size += sizeOf(record)
}

func (batch *batch) entries() []messenger.Entry {
	entries := make([]messenger.Entry, len(batch.records))
	for i, record := range batch.records {
		entries[i] = record.Entry
	}
	return entries
}

// execution returns the execution to report for a failed record.
func (batch *batch) execution() classifier.Execution {
	if batch.ambiguous {
		return classifier.Unknown
	}
	return classifier.NotRun
}

// isDone reports whether no record is left to append.
func (batch *batch) isDone() bool { return len(batch.openRecords()) == 0 }

// openRecords returns the records that were not reported as failed.
func (batch *batch) openRecords() []messenger.AppendRecord {
	var open []messenger.AppendRecord
	for i, record := range batch.records {
		if !batch.reported[i] {
			open = append(open, record)
		}
	}
	return open
}

func (batch *batch) hasExpired(now time.Time) bool {
	for _, record := range batch.openRecords() {
		if !record.Deadline.After(now) {
			return true
		}
	}
	return false
}

// expire returns the records whose deadline has passed, each once. It removes them
// from the batch unless a request with the batch may have taken effect: then the
// content that belongs to its ID is fixed.
func (batch *batch) expire(now time.Time) []messenger.AppendRecord {
	var expired, remaining []messenger.AppendRecord
	for i, record := range batch.records {
		if batch.reported[i] || record.Deadline.After(now) {
			remaining = append(remaining, record)
			continue
		}
		expired = append(expired, record)
		if batch.ambiguous {
			batch.reported[i] = true
		}
	}
	if !batch.ambiguous {
		batch.records = remaining
	}
	return expired
}

// sizeOf estimates the encoded size of a record in bytes.
func sizeOf(record messenger.AppendRecord) int {
	const fixed = 256
	switch record := record.Entry.Record.(type) {
	case messenger.Publication:
		return fixed + len(record.Text)
	case messenger.Snapshot:
		return maxPayloadBytes / 2
	default:
		return fixed
	}
}
