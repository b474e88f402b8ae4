package committer_test

import (
	"context"
	"fmt"
	"strings"
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

var storeLimits = committer.Limits{RecordBytes: 256 << 10, RequestBytes: 2 << 20}

// limitedStore refuses what is above its limits, and each record with a refused key.
type limitedStore struct {
	committer.Store
	limits  committer.Limits
	refused string
	// keys are the keys of the durable records, appends counts the calls.
	keys    []string
	appends int
}

func (store *limitedStore) Append(_ context.Context, _ identifier.Topic, records []encoder.KeyedRecord) (identifier.Offset, error) {
	store.appends++
	total := 0
	for _, record := range records {
		size := 1 + len(record.Key) + len(record.Value)
		total += 4 + size
		if size > store.limits.RecordBytes || total > store.limits.RequestBytes || record.Key == store.refused {
			return 0, classifier.New(classifier.BodyTooLarge, "status 413")
		}
	}
	for _, record := range records {
		store.keys = append(store.keys, record.Key)
	}
	return 1, nil
}

func (store *limitedStore) AppendFenced(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord, _ identifier.Term, _ uint64) (identifier.Offset, error) {
	return store.Append(ctx, topic, records)
}

// record performs a RecordProgress with the store and returns its answer.
func record(t *testing.T, store *limitedStore, record messenger.RecordProgress) messenger.ProgressRecorded {
	var answer messenger.ProgressRecorded
	synctest.Test(t, func(*testing.T) {
		last, ring := &lastEvent{}, buffer.New[messenger.Action]("actions", 4)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		go func() { _ = committer.NewProgressAppender(ring, store, store.limits, last).Run(ctx) }()
		record.Token, record.Serial = 1, 1
		_ = ring.Offer(messenger.FenceJournal{Token: 1})
		_ = ring.Offer(record)
		synctest.Wait()
		answer = last.event.(messenger.ProgressRecorded)
	})
	return answer
}

// progressOfSize returns progress whose record has the given size.
func progressOfSize(c *quicktest.C, job identifier.Job, size int) messenger.Progressed {
	progressed := messenger.Progressed{Job: job, Progress: specifier.Progress{Tasks: []specifier.TaskProgress{{}}}}
	checkpoint := &progressed.Progress.Tasks[0].Checkpoint
	*checkpoint = strings.Repeat("x", 1000) // the length of a longer one is encoded alike
	missing := size - sizeOf(c, progressed)
	*checkpoint = strings.Repeat("x", 1000+missing)
	c.Assert(sizeOf(c, progressed), quicktest.Equals, size)
	return progressed
}

func sizeOf(c *quicktest.C, progressed messenger.Progressed) int {
	encoded, err := encoder.MarshalJournalEntry(progressed)
	c.Assert(err, quicktest.IsNil)
	return 1 + len(encoded.Key) + len(encoded.Value)
}

// TestRecordAtTheLimit guards against a record that the store would take and that is not
// sent, and against one that it refuses and that is sent again and again.
func TestRecordAtTheLimit(t *testing.T) {
	c := quicktest.New(t)
	limits := committer.Limits{RecordBytes: 2000, RequestBytes: 3000}
	for size, isRecordable := range map[int]bool{1999: true, 2000: true, 2001: false} {
		store := &limitedStore{limits: limits}
		recorded := record(t, store, messenger.RecordProgress{Updates: []messenger.Progressed{progressOfSize(c, "a", 1500), progressOfSize(c, "b", size)}})
		c.Assert(recorded.Err == nil, quicktest.Equals, isRecordable, quicktest.Commentf("%d bytes", size))
		if isRecordable {
			c.Assert(store.keys, quicktest.DeepEquals, []string{"progress/a", "progress/b"})
		} else {
			c.Assert(recorded.Unrecordable, quicktest.Equals, identifier.Job("b"))
		}
	}
}

// TestAppendAtTheLimit guards against records that are too large together, although the
// store takes each of them.
func TestAppendAtTheLimit(t *testing.T) {
	c := quicktest.New(t)
	for second, appends := range map[int]int{991: 1, 992: 1, 993: 2} {
		store := &limitedStore{limits: committer.Limits{RecordBytes: 2000, RequestBytes: 2000}}
		recorded := record(t, store, messenger.RecordProgress{Updates: []messenger.Progressed{progressOfSize(c, "a", 1000), progressOfSize(c, "b", second)}})
		c.Assert(recorded.Err == nil, quicktest.IsTrue, quicktest.Commentf("%d bytes: %v", second, recorded.Err))
		c.Assert(store.keys, quicktest.DeepEquals, []string{"progress/a", "progress/b"})
		c.Assert(store.appends-fences, quicktest.Equals, appends, quicktest.Commentf("%d bytes", second))
	}
}

// fences is the number of appends that fence both topics.
const fences = 2

// TestRefusedRecordIsFound guards against a record that the store refuses for good for a
// reason of its own, beside records that it takes: the planner must learn which it is.
func TestRefusedRecordIsFound(t *testing.T) {
	c := quicktest.New(t)
	store := &limitedStore{limits: storeLimits, refused: "progress/b"}
	var updates []messenger.Progressed
	for _, job := range []identifier.Job{"a", "b", "c"} {
		updates = append(updates, messenger.Progressed{Job: job, Progress: specifier.Progress{State: specifier.Running}})
	}
	recorded := record(t, store, messenger.RecordProgress{Updates: updates})
	c.Assert(recorded.Err.Code, quicktest.Equals, classifier.BodyTooLarge)
	c.Assert(recorded.Unrecordable, quicktest.Equals, identifier.Job("b"))
	c.Assert(store.keys, quicktest.DeepEquals, []string{"progress/a"})
}

// appendResults collects the results of appends by their IDs.
type appendResults map[uint64]*classifier.Error

func (results appendResults) Deliver(_ context.Context, event messenger.Event) error {
	appended := event.(messenger.EntriesAppended)
	results[appended.ID] = appended.Err
	return nil
}

// TestRefusedJobFailsAlone guards against a job that the store does not take, and with which
// the jobs of other callers in the same append fail: it is too large, or the store refuses
// it for a reason of its own.
func TestRefusedJobFailsAlone(t *testing.T) {
	for name, test := range map[string]struct {
		payloadBytes int
		refused      string
	}{"too-large": {payloadBytes: 3000}, "refused": {payloadBytes: 10, refused: "job/job-1"}} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			store := &limitedStore{limits: committer.Limits{RecordBytes: 2000, RequestBytes: 4000}, refused: test.refused}
			results := submitJobs(t, store, 10, test.payloadBytes, 10)
			c.Assert(results, quicktest.HasLen, 3)
			c.Assert(results[0] == nil && results[2] == nil, quicktest.IsTrue)
			c.Assert(results[1].Code, quicktest.Equals, classifier.BodyTooLarge)
		})
	}
}

// submitJobs appends jobs with payloads of the given sizes at once, and returns the results.
func submitJobs(t *testing.T, store *limitedStore, payloadBytes ...int) appendResults {
	results := appendResults{}
	synctest.Test(t, func(*testing.T) {
		ring := buffer.New[messenger.AppendEntries]("appends", 8)
		for id, bytes := range payloadBytes {
			job := specifier.Job{ID: identifier.Job(fmt.Sprintf("job-%d", id)), Payload: strings.Repeat("x", bytes), Steps: []specifier.Step{{Tasks: 1}}}
			_ = ring.Offer(messenger.AppendEntries{ID: uint64(id), Entries: []messenger.JournalEntry{messenger.Submitted{Job: job}}})
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		go func() { _ = committer.NewEntryAppender(ring, store, store.limits, results).Run(ctx) }()
		synctest.Wait()
	})
	return results
}
