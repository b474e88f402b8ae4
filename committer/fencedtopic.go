package committer

import (
	"context"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
)

// fencedTopic is a topic in which the store refuses the records of former holders.
type fencedTopic struct {
	topic  identifier.Topic
	limits Limits
	// sequence numbers the appends of a token. An append without an answer is repeated
	// with the same number, so that the store does it once.
	sequence uint64
	// serial is the number of the newest RecordProgress. appended counts its records in
	// this topic that are durable, so that none of them is sent again.
	serial   uint64
	appended int
	// isolated means that its records are appended one by one, because the store has
	// refused some of them for good.
	isolated bool
}

// refusedRecord is the record that the store will never take.
type refusedRecord struct {
	index int
	err   *classifier.Error
}

// Error implements error.
func (refusedRecord *refusedRecord) Error() string { return refusedRecord.err.Error() }

// Unwrap returns the error with the code.
func (refusedRecord *refusedRecord) Unwrap() error { return refusedRecord.err }

// fence sets the token of the topic and returns the end of the topic.
func (fencedTopic *fencedTopic) fence(ctx context.Context, store Store, token identifier.Term) (identifier.Offset, error) {
	fencedTopic.sequence, fencedTopic.serial, fencedTopic.appended, fencedTopic.isolated = 0, 0, 0, false
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return store.AppendFenced(ctx, fencedTopic.topic, nil, token, 0)
}

// append appends the records of a RecordProgress, as many at once as the store takes. When
// the RecordProgress is repeated, it continues with the first record that is not durable.
// The error is a *refusedRecord if the store will never take one of the records.
func (fencedTopic *fencedTopic) append(ctx context.Context, store Store, serial uint64, records []encoder.KeyedRecord, token identifier.Term) error {
	if serial != fencedTopic.serial {
		fencedTopic.serial, fencedTopic.appended, fencedTopic.isolated = serial, 0, false
	}
	for index, record := range records {
		if err := fencedTopic.limits.check(record); err != nil {
			return &refusedRecord{index, err}
		}
	}
	for fencedTopic.appended < len(records) {
		batch := fencedTopic.limits.firstBatch(records[fencedTopic.appended:])
		if fencedTopic.isolated {
			batch = batch[:1]
		}
		err := fencedTopic.appendBatch(ctx, store, batch, token)
		switch {
		case isPermanent(err) && len(batch) > 1:
			fencedTopic.isolated = true
		case isPermanent(err):
			return &refusedRecord{fencedTopic.appended, err}
		case err != nil:
			return err
		}
	}
	return nil
}

func (fencedTopic *fencedTopic) appendBatch(ctx context.Context, store Store, batch []encoder.KeyedRecord, token identifier.Term) *classifier.Error {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(batch))
	defer cancel()
	_, err := store.AppendFenced(ctx, fencedTopic.topic, batch, token, fencedTopic.sequence)
	if err == nil {
		fencedTopic.sequence++
		fencedTopic.appended += len(batch)
	}
	return classifier.Wrap(err)
}
