package committer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/committer"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// remoteStore receives appends over a link that all nodes share. An append is stored
// once the link has carried it; before that, its context may end.
type remoteStore struct {
	committer.Store
	bytesPerSecond int

	mutex  sync.Mutex
	freeAt time.Time
}

const segmentBytes = 16 << 10

func (store *remoteStore) Append(ctx context.Context, _ identifier.Topic, records []encoder.KeyedRecord) (identifier.Offset, error) {
	size := 0
	for _, record := range records {
		size += len(record.Key) + len(record.Value)
	}
	for ; size > 0; size -= segmentBytes {
		select {
		case <-time.After(store.carry(min(size, segmentBytes))):
		case <-ctx.Done():
			return 0, classifier.New(classifier.OutcomeUnknown, "append: %v", ctx.Err())
		}
	}
	return 1, nil
}

// carry returns the time until the link has carried the bytes behind those that wait.
func (store *remoteStore) carry(bytes int) time.Duration {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if now := time.Now(); store.freeAt.Before(now) {
		store.freeAt = now
	}
	store.freeAt = store.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(store.bytesPerSecond))
	return time.Until(store.freeAt)
}

func (store *remoteStore) AppendFenced(ctx context.Context, topic identifier.Topic, records []encoder.KeyedRecord, _ identifier.Term, _ uint64) (identifier.Offset, error) {
	return store.Append(ctx, topic, records)
}

// answers collects the results of appends.
type answers struct {
	mutex            sync.Mutex
	appended, failed int
}

func (answers *answers) Deliver(_ context.Context, event messenger.Event) error {
	answers.mutex.Lock()
	defer answers.mutex.Unlock()
	if event.(messenger.EntriesAppended).Err != nil {
		answers.failed++
	} else {
		answers.appended++
	}
	return nil
}

// submit queues jobs with a payload of the given size.
func submit(ring *buffer.Ring[messenger.AppendEntries], jobs, payloadBytes int) {
	for id := range jobs {
		job := specifier.Job{ID: identifier.Job(fmt.Sprintf("job-%d", id)), Payload: strings.Repeat("x", payloadBytes)}
		_ = ring.Offer(messenger.AppendEntries{ID: uint64(id), Entries: []messenger.JournalEntry{messenger.Submitted{Job: job}}})
	}
}

// TestBurstOfJobsCrossesNarrowLink guards against nodes that combine a burst of jobs
// into an append so large that none of them completes in time over a shared link, so
// that all of them send everything again.
func TestBurstOfJobsCrossesNarrowLink(t *testing.T) {
	const (
		nodes          = 17
		bytesPerSecond = 60_000_000 / 8 // the link between two regions
		jobs           = 64
		jobBytes       = 15 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		store, answers := &remoteStore{bytesPerSecond: bytesPerSecond}, &answers{}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for range nodes {
			ring := buffer.New[messenger.AppendEntries]("appends", 256)
			submit(ring, jobs, jobBytes)
			group.Go(func() { _ = committer.NewEntryAppender(ring, store, storeLimits, answers).Run(ctx) })
		}
		time.Sleep(30 * time.Second)
		cancel()
		group.Wait()
		c.Check(answers.failed, quicktest.Equals, 0, quicktest.Commentf("jobs of %d bytes without a known outcome", jobBytes))
		c.Check(answers.appended, quicktest.Equals, nodes*jobs)
	})
}

// repeater repeats a record of progress until it succeeds, as the planner does.
type repeater struct {
	actions    *buffer.Ring[messenger.Action]
	record     messenger.RecordProgress
	attempts   int
	isRecorded bool
}

func (repeater *repeater) Deliver(ctx context.Context, event messenger.Event) error {
	if recorded, ok := event.(messenger.ProgressRecorded); ok && recorded.Err == nil {
		repeater.isRecorded = true
		return nil
	}
	repeater.attempts++
	return repeater.actions.Put(ctx, repeater.record)
}

// TestLargeRecordOfProgressCrossesNarrowLink guards against a holder that repeats a
// large record for ever, because its node's part of a full link does not carry it
// within a fixed time.
func TestLargeRecordOfProgressCrossesNarrowLink(t *testing.T) {
	const (
		share    = 60_000_000 / 8 / 17 // one of 17 nodes behind the link between two regions
		jobs     = 48
		jobBytes = 15 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ring := buffer.New[messenger.Action]("actions", 4)
		repeater := &repeater{actions: ring, record: messenger.RecordProgress{Token: 1}}
		for id := range jobs {
			repeater.record.Ended = append(repeater.record.Ended, specifier.Job{
				ID: identifier.Job(fmt.Sprintf("job-%d", id)), Workspace: identifier.Workspace(strings.Repeat("x", jobBytes)),
			})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		progressAppender := committer.NewProgressAppender(ring, &remoteStore{bytesPerSecond: share}, storeLimits, repeater)
		group.Go(func() { _ = progressAppender.Run(ctx) })
		_ = ring.Offer(messenger.FenceJournal{Token: 1})
		time.Sleep(30 * time.Second)
		cancel()
		group.Wait()
		c.Assert(repeater.isRecorded, quicktest.IsTrue, quicktest.Commentf("%d attempts in 30 s", repeater.attempts))
		c.Assert(repeater.attempts, quicktest.Equals, 1)
	})
}
