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

// fakeLog is a topic whose history can be trimmed and whose calls can hang.
type fakeLog struct {
	records []tailer.Record
	trimmed identifier.Offset
	hang    bool
	lists   int
	reads   int
}

func (log *fakeLog) add(key, value string) {
	log.records = append(log.records, tailer.Record{Offset: identifier.Offset(len(log.records)), Key: key, Value: []byte(value)})
}

func (log *fakeLog) Newest(context.Context, identifier.Topic) ([]tailer.Record, identifier.Offset, error) {
	log.lists++
	newest := make(map[string]tailer.Record)
	for _, record := range log.records {
		newest[record.Key] = record
	}
	var records []tailer.Record
	for _, record := range newest {
		records = append(records, record)
	}
	return records, identifier.Offset(len(log.records)), nil
}

func (log *fakeLog) Read(ctx context.Context, _ identifier.Topic, from identifier.Offset, wait time.Duration) ([]tailer.Record, identifier.Offset, error) {
	log.reads++
	if log.hang {
		<-ctx.Done()
		return nil, 0, classifier.New(classifier.OutcomeUnknown, "no answer")
	}
	if from < log.trimmed {
		return nil, 0, classifier.New(classifier.HistoryTrimmed, "trimmed")
	}
	for waited := time.Duration(0); waited < wait && int(from) >= len(log.records); waited += 10 * time.Millisecond {
		time.Sleep(10 * time.Millisecond) // virtual time
	}
	return append([]tailer.Record(nil), log.records[from:]...), identifier.Offset(len(log.records)), nil
}

// fakeSink keeps the newest value of each key.
type fakeSink struct {
	values   map[string]string
	wholes   int
	failures int
	lastSent time.Time
}

func (sink *fakeSink) Deliver(_ context.Context, reading tailer.Reading) error {
	if reading.Whole {
		sink.wholes++
	}
	for _, record := range reading.Records {
		sink.values[record.Key] = string(record.Value)
	}
	sink.lastSent = reading.SentAt
	return nil
}

func (sink *fakeSink) Fail(context.Context, error) error {
	sink.failures++
	return nil
}

// TestTailer guards against records that are missed over trimmed history or a
// connection that went silent, against a reader that reads while it is paused,
// and against one that calls without a pause.
func TestTailer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		log, sink := &fakeLog{}, &fakeSink{values: make(map[string]string)}
		log.add("a", "1")
		follower := tailer.New(tailer.Options{Topic: "t", Wait: time.Second, Pace: 100 * time.Millisecond, Paused: true}, log, sink, time.Now)
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(time.Second) // all sleeps are in virtual time
		c.Assert(log.lists, quicktest.Equals, 0)
		c.Assert(follower.Follow(ctx, true), quicktest.IsNil)
		time.Sleep(time.Second)
		c.Assert(sink.values["a"], quicktest.Equals, "1")
		log.add("a", "2")
		time.Sleep(200 * time.Millisecond)
		c.Assert(sink.values["a"], quicktest.Equals, "2")

		log.add("b", "1")
		log.trimmed = identifier.Offset(len(log.records) + 1)
		time.Sleep(1200 * time.Millisecond)
		log.trimmed = 0
		time.Sleep(1200 * time.Millisecond)
		c.Assert(sink.values["b"], quicktest.Equals, "1")
		c.Assert(sink.wholes > 1, quicktest.IsTrue)

		log.hang = true
		log.add("b", "2")
		time.Sleep(4 * time.Second)
		c.Assert(sink.failures > 0, quicktest.IsTrue)
		reads := log.reads
		time.Sleep(10 * time.Second)
		c.Assert(log.reads-reads < 12, quicktest.IsTrue)
		log.hang = false
		time.Sleep(3 * time.Second)
		c.Assert(sink.values["b"], quicktest.Equals, "2")
		c.Assert(time.Since(sink.lastSent) < 2*time.Second, quicktest.IsTrue)
		cancel()
		c.Assert(<-ended, quicktest.Equals, context.Canceled)
	})
}
