// Package committer appends to the platform's store. Entries, Progress and Claims
// are duties that each read one ring and run at most one append at a time.
package committer

import (
	"context"
	"time"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// appendTimeout bounds one append. The outcome of an append that exceeds it is
// unknown.
const appendTimeout = 1200 * time.Millisecond

// maxBatch bounds the actions that are combined into one append. Even with jobs of
// the largest size, a batch stays below half of the 2 MB that the store accepts.
const maxBatch = 64

// Log appends to the platform's store. The code of an error has execution NotRun
// only if nothing was appended. A Log must be safe for concurrent use.
type Log interface {
	Append(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord) (identifier.Offset, error)
	// AppendAt appends if the topic ends at the given offset. Otherwise the error
	// has code Conflict.
	AppendAt(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord, at identifier.Offset) (identifier.Offset, error)
	// AppendFenced appends if no producer has used a later token. Without records
	// it only sets the token. It returns the end of the topic.
	AppendFenced(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord, token identifier.Term, sequence uint64) (identifier.Offset, error)
}

// Inlet delivers events to the state machines.
type Inlet interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// Entries appends jobs and cancellations for the callers of an entry VM.
type Entries struct {
	appends *buffer.Ring[messenger.AppendEntries]
	log     Log
	inlet   Inlet
}

// NewEntries returns the duty that performs the actions in the ring.
func NewEntries(appends *buffer.Ring[messenger.AppendEntries], log Log, inlet Inlet) *Entries {
	return &Entries{appends: appends, log: log, inlet: inlet}
}

// Run appends until the context ends.
func (entries *Entries) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-entries.appends.Entries():
			if err := entries.appendBatch(ctx, entries.collectBatch(first)); err != nil {
				return err
			}
		}
	}
}

// collectBatch combines the first action with the waiting ones, so that a burst
// needs few appends.
func (entries *Entries) collectBatch(first messenger.AppendEntries) []messenger.AppendEntries {
	batch := []messenger.AppendEntries{first}
	for len(batch) < maxBatch {
		select {
		case next := <-entries.appends.Entries():
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (entries *Entries) appendBatch(ctx context.Context, batch []messenger.AppendEntries) error {
	var records []encoder.KeyedRecord
	var failure *classifier.Error
	for _, action := range batch {
		for _, entry := range action.Entries {
			record, err := encoder.JournalRecord(entry)
			if err != nil {
				failure = classifier.Wrap(err)
				continue
			}
			records = append(records, record)
		}
	}
	if failure == nil {
		appendContext, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := entries.log.Append(appendContext, identifier.Journal, records)
		cancel()
		failure = classifier.Wrap(err)
	}
	for _, action := range batch {
		if err := entries.inlet.Deliver(ctx, messenger.EntriesAppended{ID: action.ID, Err: failure}); err != nil {
			return err
		}
	}
	return nil
}
