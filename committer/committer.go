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

// Bounds of one append. The outcome of an append that exceeds them is unknown. The
// progress of an append can't be observed, so that the time allowed follows its size:
// a record that the link can't carry in time would be repeated for ever.
const (
	appendTimeout = 1200 * time.Millisecond
	// minBytesPerSecond is the rate that each of 17 nodes has on a full link of
	// 60 Mbit/s, halved.
	minBytesPerSecond = 220_000
)

// timeoutOf returns the time in which an append of records must be complete.
func timeoutOf(records []encoder.KeyedRecord) time.Duration {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	return appendTimeout + time.Duration(size)*time.Second/minBytesPerSecond
}

// Bounds of the actions that are combined into one append. All nodes may append at
// once over one link, and must do so within appendTimeout. Otherwise each of them
// would send everything again.
const (
	maxBatch      = 64
	maxBatchBytes = 128 << 10
)

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
	limits    Limits
	eventSink EventSink
	// overflow is an append that did not fit into the last batch.
	overflow *entryAppend
}

// entryAppend is an action with its encoded records.
type entryAppend struct {
	id      uint64
	records []encoder.KeyedRecord
	size    int
	err     *classifier.Error
	// atEnd means that it is appended alone, and only if the topic ends at end.
	atEnd bool
	end   identifier.Offset
}

// NewEntryAppender returns the duty that performs the actions in the ring.
func NewEntryAppender(appends *buffer.Ring[messenger.AppendEntries], store Store, limits Limits, eventSink EventSink) *EntryAppender {
	return &EntryAppender{appends: appends, store: store, limits: limits, eventSink: eventSink}
}

// Run appends until the context ends.
func (entryAppender *EntryAppender) Run(ctx context.Context) error {
	for {
		first, err := entryAppender.next(ctx)
		if err != nil {
			return err
		}
		if err := entryAppender.appendBatch(ctx, entryAppender.collectBatch(first)); err != nil {
			return err
		}
	}
}

// next returns the append that did not fit into the last batch, or waits for one.
func (entryAppender *EntryAppender) next(ctx context.Context) (entryAppend, error) {
	if overflow := entryAppender.overflow; overflow != nil {
		entryAppender.overflow = nil
		return *overflow, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return entryAppend{}, ctx.Err()
	case action := <-entryAppender.appends.Entries():
		return entryAppender.encode(action), nil
	}
}

// collectBatch combines the first append with the waiting ones, so that a burst
// needs few calls.
func (entryAppender *EntryAppender) collectBatch(first entryAppend) []entryAppend {
	batch, size := []entryAppend{first}, first.size
	for len(batch) < maxBatch && !first.atEnd {
		select {
		case action := <-entryAppender.appends.Entries():
			next := entryAppender.encode(action)
			size += next.size
			if next.atEnd || size > min(entryAppender.limits.RequestBytes, maxBatchBytes) {
				entryAppender.overflow = &next
				return batch
			}
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// encode encodes the entries of an action. One that the store can't take fails here, alone.
func (entryAppender *EntryAppender) encode(action messenger.AppendEntries) entryAppend {
	encoded := entryAppend{id: action.ID, atEnd: action.AtEnd, end: action.End}
	for _, entry := range action.Entries {
		record, err := encoder.MarshalJournalEntry(entry)
		if err != nil {
			return entryAppend{id: action.ID, err: classifier.Wrap(err)}
		}
		if err := entryAppender.limits.check(record); err != nil {
			return entryAppend{id: action.ID, err: err}
		}
		encoded.records = append(encoded.records, record)
		encoded.size += sizeOf(record) + lengthBytes
	}
	return encoded
}

// appendBatch appends the records of a batch and reports the result of each of its
// actions. The store appends all of the records or none. If it will never take them, each
// action is appended alone, so that only the one at fault fails.
func (entryAppender *EntryAppender) appendBatch(ctx context.Context, batch []entryAppend) error {
	var records []encoder.KeyedRecord
	for _, entryAppend := range batch {
		records = append(records, entryAppend.records...)
	}
	var failure *classifier.Error
	if len(records) > 0 {
		failure = entryAppender.appendRecords(ctx, records, batch[0])
	}
	if isPermanent(failure) && len(batch) > 1 {
		for index := range batch {
			if err := entryAppender.appendBatch(ctx, batch[index:index+1]); err != nil {
				return err
			}
		}
		return nil
	}
	for _, entryAppend := range batch {
		if entryAppend.err == nil {
			entryAppend.err = failure
		}
		if err := entryAppender.eventSink.Deliver(ctx, messenger.EntriesAppended{ID: entryAppend.id, Err: entryAppend.err}); err != nil {
			return err
		}
	}
	return nil
}

// appendRecords appends the records of a batch, which is a single action if that is conditional.
func (entryAppender *EntryAppender) appendRecords(ctx context.Context, records []encoder.KeyedRecord, first entryAppend) *classifier.Error {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(records))
	defer cancel()
	var err error
	if first.atEnd {
		_, err = entryAppender.store.AppendAt(ctx, identifier.Journal, records, first.end)
	} else {
		_, err = entryAppender.store.Append(ctx, identifier.Journal, records)
	}
	return classifier.Wrap(err)
}
