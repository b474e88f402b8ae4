// Package committer appends to the platform's store. EntryAppender,
// ProgressAppender and ClaimAppender are duties that each read one ring and run
// at most one append at a time.
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

// Store appends to the platform's store. The code of an error has execution
// NotRun only if nothing was appended. A Store must be safe for concurrent use.
type Store interface {
	Append(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord) (identifier.Offset, error)
	// AppendAt appends if the topic ends at the given offset. Otherwise the error
	// has code Conflict.
	AppendAt(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord, at identifier.Offset) (identifier.Offset, error)
	// AppendFenced appends if no producer has used a later token. Without records
	// it only sets the token. It returns the end of the topic.
	AppendFenced(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord, token identifier.Term, sequence uint64) (identifier.Offset, error)
}

// EventSink delivers events to the state machines.
type EventSink interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// EntryAppender appends jobs and cancellations for the callers of an entry VM.
type EntryAppender struct {
	appends   *buffer.Ring[messenger.AppendEntries]
	store     Store
	eventSink EventSink
}

// NewEntryAppender returns the duty that performs the actions in the ring.
func NewEntryAppender(appends *buffer.Ring[messenger.AppendEntries], store Store, eventSink EventSink) *EntryAppender {
	return &EntryAppender{appends: appends, store: store, eventSink: eventSink}
}

// Run appends until the context ends.
func (entryAppender *EntryAppender) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case first := <-entryAppender.appends.Entries():
			if err := entryAppender.appendBatch(ctx, entryAppender.collectBatch(first)); err != nil {
				return err
			}
		}
	}
}

// collectBatch combines the first action with the waiting ones, so that a burst
// needs few appends.
func (entryAppender *EntryAppender) collectBatch(first messenger.AppendEntries) []messenger.AppendEntries {
	batch := []messenger.AppendEntries{first}
	for len(batch) < maxBatch {
		select {
		case next := <-entryAppender.appends.Entries():
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

func (entryAppender *EntryAppender) appendBatch(ctx context.Context, batch []messenger.AppendEntries) error {
	var records []encoder.KeyedRecord
	var failure *classifier.Error
	for _, action := range batch {
		for _, entry := range action.Entries {
			record, err := encoder.MarshalJournalEntry(entry)
			if err != nil {
				failure = classifier.Wrap(err)
				continue
			}
			records = append(records, record)
		}
	}
	if failure == nil {
		appendContext, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := entryAppender.store.Append(appendContext, identifier.Journal, records)
		cancel()
		failure = classifier.Wrap(err)
	}
	for _, action := range batch {
		if err := entryAppender.eventSink.Deliver(ctx, messenger.EntriesAppended{ID: action.ID, Err: failure}); err != nil {
			return err
		}
	}
	return nil
}
