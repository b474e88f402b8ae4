package appender

import (
	"time"

	"github.com/google/uuid"

	"corianderroad/classifier"
	"corianderroad/messenger"
)

// batch is the records of one append.
type batch struct {
	// id finds the append when it is read back.
	id      string
	records []messenger.AppendRecord
	// reported holds the positions of the records that were given up.
	reported map[int]bool
	size     int
	// ambiguous says that a request may have taken effect. It stays set: a request
	// that was not found by a read-back may still be on its way.
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

// fate is what is known about a record that was given up.
func (batch *batch) fate() classifier.Execution {
	if batch.ambiguous {
		return classifier.Unknown
	}
	return classifier.NotRun
}

// done says that no record is left to append.
func (batch *batch) done() bool { return len(batch.open()) == 0 }

// open returns the records that were not given up.
func (batch *batch) open() []messenger.AppendRecord {
	var open []messenger.AppendRecord
	for i, record := range batch.records {
		if !batch.reported[i] {
			open = append(open, record)
		}
	}
	return open
}

func (batch *batch) expires(now time.Time) bool {
	for _, record := range batch.open() {
		if !record.Deadline.After(now) {
			return true
		}
	}
	return false
}

// expired returns the records whose time has passed, each once. They leave the
// batch, unless it was sent: then the content that belongs to its ID is fixed.
func (batch *batch) expired(now time.Time) []messenger.AppendRecord {
	var expired, kept []messenger.AppendRecord
	for i, record := range batch.records {
		if batch.reported[i] || record.Deadline.After(now) {
			kept = append(kept, record)
			continue
		}
		expired = append(expired, record)
		if batch.ambiguous {
			batch.reported[i] = true
		}
	}
	if !batch.ambiguous {
		batch.records = kept
	}
	return expired
}

// sizeOf estimates the size of a record on the wire.
func sizeOf(record messenger.AppendRecord) int {
	const fixed = 256
	switch record := record.Entry.Record.(type) {
	case messenger.Publication:
		return fixed + len(record.Text)
	case messenger.Snapshot:
		return maxPayload / 2
	default:
		return fixed
	}
}
