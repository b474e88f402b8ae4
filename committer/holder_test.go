package committer_test

import (
	"context"
	"fmt"
	"sync"
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

// fencedStore notes the fenced appends, and refuses as many to a topic as failures says.
type fencedStore struct {
	committer.Store
	calls    []string
	failures map[identifier.Topic]int
}

func (store *fencedStore) AppendFenced(_ context.Context, topic identifier.Topic, records []encoder.KeyedRecord, token identifier.Term, sequence uint64) (identifier.Offset, error) {
	call := fmt.Sprintf("%s token=%d sequence=%d", topic, token, sequence)
	for _, record := range records {
		call += fmt.Sprintf(" %s:%t", record.Key, len(record.Value) > 0)
	}
	if store.failures[topic] > 0 {
		store.failures[topic]--
		store.calls = append(store.calls, call+" unanswered")
		return 0, classifier.New(classifier.OutcomeUnknown, "no answer")
	}
	store.calls = append(store.calls, call)
	return identifier.Offset(len(store.calls)), nil
}

type lastEvent struct{ event messenger.Event }

func (lastEvent *lastEvent) Deliver(_ context.Context, event messenger.Event) error {
	lastEvent.event = event
	return nil
}

// TestProgressIsDurableBeforeTheState guards against a state in the journal that other
// nodes show while the next holder lacks the progress behind it, against progress that is
// sent again when only the journal did not answer, and against a topic that a former
// holder may still write.
func TestProgressIsDurableBeforeTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		store, last := &fencedStore{failures: make(map[identifier.Topic]int)}, &lastEvent{}
		ring := buffer.New[messenger.Action]("actions", 4)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		group.Go(func() { _ = committer.NewProgressAppender(ring, store, storeLimits, last).Run(ctx) })
		perform := func(action messenger.Action) messenger.Event {
			store.calls = nil
			_ = ring.Offer(action)
			synctest.Wait()
			return last.event
		}

		store.failures[identifier.Journal] = 1
		c.Assert(perform(messenger.FenceJournal{Token: 7}).(messenger.JournalFenced).Err != nil, quicktest.IsTrue)
		fenced := perform(messenger.FenceJournal{Token: 7}).(messenger.JournalFenced)
		c.Assert(fenced, quicktest.DeepEquals, messenger.JournalFenced{Token: 7, ProgressEnd: 1, End: 2})
		c.Assert(store.calls, quicktest.DeepEquals, []string{"keyed.progress token=7 sequence=0", "keyed.journal token=7 sequence=0"})

		completed := messenger.Progressed{Job: "a", Progress: specifier.Progress{State: specifier.Completed}}
		record := messenger.RecordProgress{
			Token: 7, Serial: 1, Updates: []messenger.Progressed{completed}, Expired: []messenger.ProgressPart{{Job: "b"}}, States: []messenger.Progressed{completed},
		}
		store.failures[identifier.Progress], store.failures[identifier.Journal] = 1, 1
		progressCall, journalCall := "keyed.progress token=7 sequence=0 progress/a:true progress/b:false", "keyed.journal token=7 sequence=0 progress/a:true"
		c.Assert(perform(record).(messenger.ProgressRecorded).Err != nil, quicktest.IsTrue)
		c.Assert(store.calls, quicktest.DeepEquals, []string{progressCall + " unanswered"})
		c.Assert(perform(record).(messenger.ProgressRecorded).Err != nil, quicktest.IsTrue)
		c.Assert(store.calls, quicktest.DeepEquals, []string{progressCall, journalCall + " unanswered"})
		c.Assert(perform(record).(messenger.ProgressRecorded).Err == nil, quicktest.IsTrue)
		c.Assert(store.calls, quicktest.DeepEquals, []string{journalCall})

		record.Serial, record.States = 2, nil
		c.Assert(perform(record).(messenger.ProgressRecorded).Err == nil, quicktest.IsTrue)
		c.Assert(store.calls, quicktest.DeepEquals, []string{"keyed.progress token=7 sequence=1 progress/a:true progress/b:false"})
		record.Token = 6
		c.Assert(perform(record).(messenger.ProgressRecorded).Err.Code, quicktest.Equals, classifier.StaleTerm)
		c.Assert(store.calls, quicktest.HasLen, 0)
	})
}
