package tailer_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/tailer"
)

// fakeLog is a topic whose history can be trimmed and whose calls can hang.
type fakeLog struct {
	mutex   sync.Mutex
	records []tailer.Record
	trimmed identifier.Offset
	hang    bool
	// pageSize bounds the records of a page, 0 for no bound.
	pageSize int
	// pagesToFail is how many of the next pages fail.
	pagesToFail int
	// listedKeys counts the records in all pages.
	listedKeys int
	pages      int
	reads      int
}

// withLock runs apply while no call reads the log.
func (log *fakeLog) withLock(apply func()) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	apply()
}

// counts returns the numbers of requested pages and of reads.
func (log *fakeLog) counts() (pages, reads int) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	return log.pages, log.reads
}

func (log *fakeLog) add(key, value string) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.records = append(log.records, tailer.Record{Offset: identifier.Offset(len(log.records)), Key: key, Value: []byte(value)})
}

func (log *fakeLog) Newest(_ context.Context, _ identifier.Topic, after string, _ time.Duration) (tailer.Page, error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.pages++
	if log.pagesToFail > 0 {
		log.pagesToFail--
		return tailer.Page{}, classifier.New(classifier.OutcomeUnknown, "no answer")
	}
	newest := make(map[string]tailer.Record)
	for _, record := range log.records {
		newest[record.Key] = record
	}
	page := tailer.Page{End: identifier.Offset(len(log.records))}
	for _, key := range slices.Sorted(maps.Keys(newest)) {
		if key <= after {
			continue
		}
		if log.pageSize > 0 && len(page.Records) == log.pageSize {
			page.More = true
			break
		}
		page.Records = append(page.Records, newest[key])
		log.listedKeys++
	}
	return page, nil
}

func (log *fakeLog) Read(ctx context.Context, _ identifier.Topic, from identifier.Offset, wait, stallTimeout time.Duration) (tailer.Batch, error) {
	log.mutex.Lock()
	log.reads++
	hang, trimmed := log.hang, from < log.trimmed
	log.mutex.Unlock()
	if hang {
		select {
		case <-ctx.Done():
		case <-time.After(wait + stallTimeout):
		}
		return tailer.Batch{}, classifier.New(classifier.OutcomeUnknown, "no answer")
	}
	if trimmed {
		return tailer.Batch{}, classifier.New(classifier.HistoryTrimmed, "trimmed")
	}
	for waited := time.Duration(0); ; waited += 10 * time.Millisecond {
		log.mutex.Lock()
		records := append([]tailer.Record(nil), log.records[from:]...)
		log.mutex.Unlock()
		if len(records) > 0 || waited >= wait {
			end := from + identifier.Offset(len(records))
			return tailer.Batch{Records: records, Next: end, End: end}, nil
		}
		time.Sleep(10 * time.Millisecond) // virtual time
	}
}

// fakeSink stores the newest value of each key.
type fakeSink struct {
	mutex    sync.Mutex
	values   map[string]string
	listings int
	failures int
	lastSent time.Time
}

func (sink *fakeSink) Deliver(_ context.Context, reading tailer.Reading) error {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	if reading.Complete {
		sink.listings++
	}
	for _, record := range reading.Records {
		sink.values[record.Key] = string(record.Value)
	}
	sink.lastSent = reading.SentAt
	return nil
}

func (sink *fakeSink) Fail(context.Context, error) error {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	sink.failures++
	return nil
}

// state returns the value of a key, the numbers of listings and failures, and when
// the newest call was sent.
func (sink *fakeSink) state(key string) (value string, listings, failures int, lastSent time.Time) {
	sink.mutex.Lock()
	defer sink.mutex.Unlock()
	return sink.values[key], sink.listings, sink.failures, sink.lastSent
}

// TestTailer guards against records that are missed because the history was trimmed
// or the store did not respond, against reads while the Tailer is paused, and
// against retries without a pause.
func TestTailer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		log, sink := &fakeLog{}, &fakeSink{values: make(map[string]string)}
		log.add("a", "1")
		topicTailer := tailer.New(tailer.Options{Topic: "t", Wait: time.Second, Pace: 100 * time.Millisecond, Paused: true}, log, sink, time.Now)
		ended := make(chan error, 1)
		go func() { ended <- topicTailer.Run(ctx) }()
		time.Sleep(time.Second) // all sleeps are in virtual time
		pages, _ := log.counts()
		c.Assert(pages, quicktest.Equals, 0)
		c.Assert(topicTailer.Follow(ctx, true), quicktest.IsNil)
		time.Sleep(time.Second)
		value, _, _, _ := sink.state("a")
		c.Assert(value, quicktest.Equals, "1")
		log.add("a", "2")
		time.Sleep(200 * time.Millisecond)
		value, _, _, _ = sink.state("a")
		c.Assert(value, quicktest.Equals, "2")

		log.add("b", "1")
		log.withLock(func() { log.trimmed = identifier.Offset(len(log.records) + 1) })
		time.Sleep(1200 * time.Millisecond)
		log.withLock(func() { log.trimmed = 0 })
		time.Sleep(1200 * time.Millisecond)
		value, listings, _, _ := sink.state("b")
		c.Assert(value, quicktest.Equals, "1")
		c.Assert(listings > 1, quicktest.IsTrue)

		log.withLock(func() { log.hang = true })
		log.add("b", "2")
		time.Sleep(4 * time.Second)
		_, _, failures, _ := sink.state("b")
		c.Assert(failures > 0, quicktest.IsTrue)
		_, before := log.counts()
		time.Sleep(10 * time.Second)
		_, after := log.counts()
		c.Assert(after-before < 12, quicktest.IsTrue)
		log.withLock(func() { log.hang = false })
		time.Sleep(3 * time.Second)
		value, _, _, lastSent := sink.state("b")
		c.Assert(value, quicktest.Equals, "2")
		c.Assert(time.Since(lastSent) < 2*time.Second, quicktest.IsTrue)
		cancel()
		c.Assert(<-ended, quicktest.Equals, context.Canceled)
	})
}

// TestListingContinuesAfterFailedPage guards against a listing that starts again
// when a page fails. Nodes that start at the same time would then fill the link
// to the store with pages that they discard.
func TestListingContinuesAfterFailedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		log, sink := &fakeLog{pageSize: 2}, &fakeSink{values: make(map[string]string)}
		for _, key := range []string{"a", "b", "c", "d", "e"} {
			log.add(key, "value of "+key)
		}
		topicTailer := tailer.New(tailer.Options{Topic: "t", Wait: time.Second}, flakyLog{log}, sink, time.Now)
		ended := make(chan error, 1)
		go func() { ended <- topicTailer.Run(ctx) }()
		time.Sleep(3 * time.Second) // virtual time
		value, listings, failures, _ := sink.state("e")
		c.Assert(value, quicktest.Equals, "value of e")
		c.Assert(listings, quicktest.Equals, 1)
		c.Assert(failures, quicktest.Equals, 3)
		c.Assert(log.listedKeys, quicktest.Equals, 5)
		cancel()
		<-ended
	})
}

// flakyLog fails each page once before it succeeds.
type flakyLog struct {
	*fakeLog
}

func (log flakyLog) Newest(ctx context.Context, topic identifier.Topic, after string, stallTimeout time.Duration) (tailer.Page, error) {
	if pages, _ := log.counts(); pages%2 == 0 {
		log.withLock(func() { log.pagesToFail = 1 })
	}
	return log.fakeLog.Newest(ctx, topic, after, stallTimeout)
}
