package committer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/committer"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// endedTopic is a store whose topic ends at the number of its appends.
type endedTopic struct {
	committer.Store
	// appends are the numbers of records of the appends.
	appends []int
}

func (topic *endedTopic) Append(_ context.Context, _ identifier.Topic, records []encoder.KeyedRecord) (identifier.Offset, error) {
	topic.appends = append(topic.appends, len(records))
	return 0, nil
}

func (topic *endedTopic) AppendAt(ctx context.Context, name identifier.Topic, records []encoder.KeyedRecord, at identifier.Offset) (identifier.Offset, error) {
	if at != identifier.Offset(len(topic.appends)) {
		return 0, classifier.New(classifier.Conflict, "the topic ends at %d", len(topic.appends))
	}
	return topic.Append(ctx, name, records)
}

// TestConditionalEntryIsAppendedAlone guards against a conditional append whose condition is
// lost, or with which the appends of other callers fail.
func TestConditionalEntryIsAppendedAlone(t *testing.T) {
	c := quicktest.New(t)
	topic, results := &endedTopic{}, appendResults{}
	synctest.Test(t, func(*testing.T) {
		ring := buffer.New[messenger.AppendEntries]("appends", 8)
		for id, action := range []messenger.AppendEntries{{}, {}, {AtEnd: true, End: 1}, {AtEnd: true, End: 1}, {}, {}} {
			job := specifier.Job{ID: identifier.Job(fmt.Sprintf("job-%d", id)), Steps: []specifier.Step{{Tasks: 1}}}
			action.ID, action.Entries = uint64(id), []messenger.JournalEntry{messenger.Submitted{Job: job}}
			_ = ring.Offer(action)
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		limits := committer.Limits{RecordBytes: 1 << 20, RequestBytes: 1 << 20}
		go func() { _ = committer.NewEntryAppender(ring, topic, limits, results).Run(ctx) }()
		synctest.Wait()
	})
	c.Assert(topic.appends, quicktest.DeepEquals, []int{2, 1, 2})
	c.Assert(results, quicktest.HasLen, 6)
	for id, err := range results {
		isRefused := id == 3
		c.Check(err != nil, quicktest.Equals, isRefused, quicktest.Commentf("append %d", id))
	}
	c.Assert(results[3].Code, quicktest.Equals, classifier.Conflict)
}
