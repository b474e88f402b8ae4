package tailer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/tailer"
)

// pageDelay is the duration of a request for a page.
const pageDelay = 10 * time.Millisecond

// repeatingLog answers each request for a page with the same one, as a store does
// whose keys another writer has filled with bytes that are not text: such a key
// changes in JSON, and the next page begins before it.
type repeatingLog struct {
	*fakeLog
	page tailer.Page
}

func (log repeatingLog) Newest(ctx context.Context, _ identifier.Topic, _ string, _ time.Duration) (tailer.Page, error) {
	time.Sleep(pageDelay) // virtual time
	log.withLock(func() { log.pages++ })
	return log.page, ctx.Err()
}

// TestRepeatedPageIsFailure guards against a listing that requests the same page
// without end and without a pause, and stores its records each time.
func TestRepeatedPageIsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		log, sink := &fakeLog{}, &fakeSink{values: make(map[string]string)}
		page := tailer.Page{End: 9, More: true, Records: []tailer.Record{{Key: "job/a"}, {Key: "\ufffd"}}}
		topicTailer := tailer.New(tailer.Options{Topic: "t", Wait: time.Second}, repeatingLog{log, page}, sink, time.Now)
		ended := make(chan error, 1)
		go func() { ended <- topicTailer.Run(ctx) }()
		time.Sleep(10 * time.Second) // virtual time
		cancel()
		<-ended
		pages, _ := log.counts()
		_, listings, failures, _ := sink.state("job/a")
		c.Assert(pages < 100, quicktest.IsTrue, quicktest.Commentf("%d pages in 10 s", pages))
		c.Assert(failures > 0, quicktest.IsTrue)
		c.Assert(listings, quicktest.Equals, 0)
	})
}

// emptyKeyLog lists a record with an empty key on a page of its own, before all others.
type emptyKeyLog struct{ *fakeLog }

func (log emptyKeyLog) Newest(ctx context.Context, topic identifier.Topic, after string, stallTimeout time.Duration) (tailer.Page, error) {
	if after == "" {
		time.Sleep(pageDelay) // virtual time
		log.withLock(func() { log.pages++ })
		return tailer.Page{End: 1, More: true, Records: []tailer.Record{{Value: []byte("invalid")}}}, ctx.Err()
	}
	return log.fakeLog.Newest(ctx, topic, after, stallTimeout)
}

// TestEmptyKeyDoesNotStopListing guards against a listing that begins again after
// another writer's record with an empty key.
func TestEmptyKeyDoesNotStopListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		log, sink := &fakeLog{pageSize: 1}, &fakeSink{values: make(map[string]string)}
		log.add("a", "1")
		log.add("b", "2")
		topicTailer := tailer.New(tailer.Options{Topic: "t", Wait: time.Second}, emptyKeyLog{log}, sink, time.Now)
		ended := make(chan error, 1)
		go func() { ended <- topicTailer.Run(ctx) }()
		time.Sleep(3 * time.Second) // virtual time
		cancel()
		<-ended
		value, listings, failures, _ := sink.state("b")
		c.Assert(value, quicktest.Equals, "2")
		c.Assert(listings, quicktest.Equals, 1)
		c.Assert(failures, quicktest.Equals, 0)
	})
}

// emptyPageLog answers the second request for a page with an empty one, although more follow.
type emptyPageLog struct{ *fakeLog }

func (log emptyPageLog) Newest(ctx context.Context, topic identifier.Topic, after string, stallTimeout time.Duration) (tailer.Page, error) {
	page, err := log.fakeLog.Newest(ctx, topic, after, stallTimeout)
	if pages, _ := log.counts(); pages == 2 {
		page.Records, page.More = nil, true
	}
	return page, err
}

// TestEmptyPageDoesNotEndListing guards against a listing that is delivered as complete
// although it lacks keys: their jobs would count as unknown.
func TestEmptyPageDoesNotEndListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		log, sink := &fakeLog{pageSize: 1}, &fakeSink{values: make(map[string]string)}
		for _, key := range []string{"a", "b", "c"} {
			log.add(key, key)
		}
		topicTailer := tailer.New(tailer.Options{Topic: "t", Wait: time.Second}, emptyPageLog{log}, sink, time.Now)
		ended := make(chan error, 1)
		go func() { ended <- topicTailer.Run(ctx) }()
		time.Sleep(3 * time.Second) // virtual time
		cancel()
		<-ended
		value, listings, failures, _ := sink.state("c")
		c.Assert(value, quicktest.Equals, "c")
		c.Assert(listings, quicktest.Equals, 1)
		c.Assert(failures, quicktest.Equals, 1)
	})
}
