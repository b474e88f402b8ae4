package committer

import (
	"context"

	"corianderroad/encoder"
	"corianderroad/identifier"
)

// fencedTopic is a topic in which the store refuses the records of former holders.
type fencedTopic struct {
	topic identifier.Topic
	// sequence numbers the appends of a token. An append without an answer is repeated
	// with the same number, so that the store does it once.
	sequence uint64
}

// fence sets the token of the topic and returns the end of the topic.
func (fencedTopic *fencedTopic) fence(ctx context.Context, store Store, token identifier.Term) (identifier.Offset, error) {
	fencedTopic.sequence = 0
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return store.AppendFenced(ctx, fencedTopic.topic, nil, token, 0)
}

// append appends records, if there are any.
func (fencedTopic *fencedTopic) append(ctx context.Context, store Store, records []encoder.KeyedRecord, token identifier.Term) error {
	if len(records) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(records))
	defer cancel()
	_, err := store.AppendFenced(ctx, fencedTopic.topic, records, token, fencedTopic.sequence)
	if err == nil {
		fencedTopic.sequence++
	}
	return err
}
