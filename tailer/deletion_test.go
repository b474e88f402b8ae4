package tailer_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/tailer"
)

// keyLog is a log whose listings lack the deleted keys. Its next listing is the given one
// if there is one.
type keyLog struct {
	*fakeLog
	deleted []string
	next    *tailer.Page
}

func (log *keyLog) Newest(ctx context.Context, topic identifier.Topic, after string, stallTimeout time.Duration) (tailer.Page, error) {
	page, err := log.fakeLog.Newest(ctx, topic, after, stallTimeout)
	log.withLock(func() {
		page.Records = slices.DeleteFunc(page.Records, func(record tailer.Record) bool { return slices.Contains(log.deleted, record.Key) })
		if log.next != nil {
			page, log.next = *log.next, nil
		}
	})
	return page, err
}

// followRelisting follows a topic with the keys a and b through a listing after a part of
// its history was trimmed. It returns the values that the sink has afterwards.
func followRelisting(t *testing.T, change func(log *keyLog)) (a, b string) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		log, sink := &keyLog{fakeLog: &fakeLog{}}, &fakeSink{values: make(map[string]string)}
		log.add("a", "1")
		topicTailer := tailer.New(tailer.Options{Topic: "t", Wait: 100 * time.Millisecond, Pace: 100 * time.Millisecond}, log, sink, time.Now)
		ended := make(chan error, 1)
		go func() { ended <- topicTailer.Run(ctx) }()
		time.Sleep(time.Second) // all sleeps are in virtual time
		log.add("b", "1")
		time.Sleep(time.Second)
		log.withLock(func() {
			change(log)
			log.trimmed = identifier.Offset(len(log.records) + 1)
		})
		time.Sleep(150 * time.Millisecond)
		log.withLock(func() { log.trimmed = 0 })
		time.Sleep(2 * time.Second)
		cancel()
		<-ended
		var listings int
		a, listings, _, _ = sink.state("a")
		b, _, _, _ = sink.state("b")
		c.Assert(listings > 1, quicktest.IsTrue)
	})
	return a, b
}

// TestDeletionInTrimmedHistoryIsDelivered guards against a key that keeps its last value for
// good, because its deletion was trimmed before it was read: a job that has ended would
// count as running, and would run again under the next holder.
func TestDeletionInTrimmedHistoryIsDelivered(t *testing.T) {
	a, b := followRelisting(t, func(log *keyLog) { log.deleted = []string{"a", "b"} })
	quicktest.Assert(t, a, quicktest.Equals, "")
	quicktest.Assert(t, b, quicktest.Equals, "")
	a, b = followRelisting(t, func(log *keyLog) { log.deleted = []string{"b"} })
	quicktest.Assert(t, a, quicktest.Equals, "1")
	quicktest.Assert(t, b, quicktest.Equals, "")
}

// TestUncertainListingDeletesNoKey guards against keys that count as deleted because a
// listing ends before the records that were read, as for a topic that is not known, or has
// a record whose key can't be read.
func TestUncertainListingDeletesNoKey(t *testing.T) {
	for name, page := range map[string]tailer.Page{
		"shorter": {}, "unreadable-key": {End: 2, Records: []tailer.Record{{Value: []byte("x")}}},
	} {
		a, b := followRelisting(t, func(log *keyLog) { log.next = &page })
		quicktest.Assert(t, a+b, quicktest.Equals, "11", quicktest.Commentf("%s", name))
	}
}
