package tailer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/tailer"
)

// slowLog begins to answer a request for a page after a time, and answers none that was sent
// before it is available.
type slowLog struct {
	*fakeLog
	pageTime    time.Duration
	availableAt time.Time
}

func (log slowLog) Newest(ctx context.Context, topic identifier.Topic, after string, stallTimeout time.Duration) (tailer.Page, error) {
	isAnswered := log.pageTime <= stallTimeout && !time.Now().Before(log.availableAt)
	time.Sleep(min(log.pageTime, stallTimeout)) // virtual time
	if !isAnswered {
		time.Sleep(stallTimeout - min(log.pageTime, stallTimeout))
		return tailer.Page{}, classifier.New(classifier.OutcomeUnknown, "the transfer has stalled")
	}
	return log.fakeLog.Newest(ctx, topic, after, stallTimeout)
}

// timeToList returns how long it takes until a topic of pages with one record each is listed, or
// limit if it takes longer.
func timeToList(t *testing.T, pages int, pageTime, outage, limit time.Duration) (duration time.Duration) {
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		begun, sink := time.Now(), &fakeSink{values: make(map[string]string)}
		log := slowLog{&fakeLog{pageSize: 1}, pageTime, begun.Add(outage)}
		for index := range pages {
			log.add(string(rune('a'+index)), "value")
		}
		topicTailer := tailer.New(tailer.Options{Topic: "t", Wait: time.Second}, log, sink, time.Now)
		ended := make(chan error, 1)
		go func() { ended <- topicTailer.Run(ctx) }()
		for listings := 0; listings == 0 && time.Since(begun) < limit; {
			time.Sleep(10 * time.Millisecond) // virtual time
			_, listings, _, _ = sink.state("a")
		}
		duration = time.Since(begun)
		cancel()
		<-ended
	})
	return duration
}

// TestSlowPagesAreListed guards against a node that is never ready because the store needs longer
// for each page than the node waits: it requested the first page again for ever.
func TestSlowPagesAreListed(t *testing.T) {
	const limit = 5 * time.Minute
	c := quicktest.New(t)
	for _, pageTime := range []time.Duration{1600 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		first := timeToList(t, 1, pageTime, 0, limit)
		c.Assert(first <= 6*pageTime, quicktest.IsTrue, quicktest.Commentf("a page of %v takes %v", pageTime, first))
		// The further pages do not begin with a timeout that is known to be too short.
		all := timeToList(t, 10, pageTime, 0, limit)
		c.Assert(all-first <= 10*pageTime, quicktest.IsTrue, quicktest.Commentf("10 pages of %v take %v", pageTime, all))
	}
}

// TestListingGoesOnSoonAfterAnOutage guards against a timeout that grows so fast that a node waits
// for the answer to a lost request long after the store is available again.
func TestListingGoesOnSoonAfterAnOutage(t *testing.T) {
	const shortestTimeout, pauses, limit = 1500 * time.Millisecond, 50 * time.Millisecond, 5 * time.Minute
	c := quicktest.New(t)
	for outage := time.Second; outage <= time.Minute; outage += time.Second {
		duration := timeToList(t, 1, 0, outage, limit)
		late := max(shortestTimeout, outage/4) + pauses
		c.Assert(duration <= outage+late, quicktest.IsTrue, quicktest.Commentf("listed %v after an outage of %v", duration-outage, outage))
	}
}
