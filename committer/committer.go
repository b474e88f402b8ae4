// Package committer appends to the platform's store. Each of its types is a
// duty that reads one ring and has at most one append under way.
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

// appendTimeout bounds one append. Its outcome is unknown afterwards.
const appendTimeout = 1200 * time.Millisecond

// maxBatch bounds the records of one append. At the largest job size the batch
// stays below half of the 2 MB that the store takes.
const maxBatch = 64

// Log appends to the platform's store. Errors carry codes whose fate is NotRun
// only if nothing was appended. It must be safe for concurrent use.
type Log interface {
	Append(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord) (identifier.Offset, error)
	// AppendAt appends if the topic ends at the given offset; otherwise the
	// error has code Conflict.
	AppendAt(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord, at identifier.Offset) (identifier.Offset, error)
	// AppendFenced appends if no producer with a later token has. Without
	// records it only sets the token. It returns the end of the topic.
	AppendFenced(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord, token identifier.Term, sequence uint64) (identifier.Offset, error)
}

// Inlet takes events to the decision machines.
type Inlet interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// Entries appends jobs and cancellations for the callers of an entry VM.
type Entries struct {
	appends *buffer.Ring[messenger.AppendEntries]
	log     Log
	inlet   Inlet
}

// NewEntries returns the duty that empties the ring.
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
			if err := entries.commit(ctx, entries.collect(first)); err != nil {
				return err
			}
		}
	}
}

// collect adds what waits to the first append, so that a burst needs few calls.
func (entries *Entries) collect(first messenger.AppendEntries) []messenger.AppendEntries {
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

func (entries *Entries) commit(ctx context.Context, batch []messenger.AppendEntries) error {
	var records []encoder.KeyedRecord
	var failure *classifier.Error
	for _, appended := range batch {
		for _, entry := range appended.Entries {
			record, err := encoder.JournalRecord(entry)
			if err != nil {
				failure = classifier.Wrap(err)
				continue
			}
			records = append(records, record)
		}
	}
	if failure == nil {
		bounded, cancel := context.WithTimeout(ctx, appendTimeout)
		_, err := entries.log.Append(bounded, identifier.Journal, records)
		cancel()
		failure = classifier.Wrap(err)
	}
	for _, appended := range batch {
		if err := entries.inlet.Deliver(ctx, messenger.EntriesAppended{ID: appended.ID, Err: failure}); err != nil {
			return err
		}
	}
	return nil
}
