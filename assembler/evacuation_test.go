package assembler

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/exporter"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/platform"
	"corianderroad/tailer"
)

// TestEvacuationsOfEachReadingAreDelivered guards against a holder that starts nothing because
// no operator has written a record, against requests that reach no planner, and against events
// in deployments without evacuations.
func TestEvacuationsOfEachReadingAreDelivered(t *testing.T) {
	c := quicktest.New(t)
	sentAt := time.Unix(1_000_000, 0)
	request := tailer.Record{Key: "evacuate/east-a", Value: []byte("{}")}
	for _, test := range []struct {
		bound    time.Duration
		reading  tailer.Reading
		expected []messenger.Event
	}{
		{5 * time.Second, tailer.Reading{SentAt: sentAt}, []messenger.Event{messenger.EvacuationsRead{SentAt: sentAt}}},
		{5 * time.Second, tailer.Reading{SentAt: sentAt, Complete: true, Records: []tailer.Record{request}}, []messenger.Event{
			messenger.EvacuationsRead{SentAt: sentAt, Complete: true, Requested: []identifier.FailureDomain{"east-a"}},
		}},
		{0, tailer.Reading{SentAt: sentAt, Complete: true, Records: []tailer.Record{request}}, nil},
	} {
		assembler := &Assembler{
			plans: buffer.New[messenger.Event]("plan-events", 4), clock: time.Now, exporter: exporter.New(nil, nil),
			decisionLog: newDecisionLog("n", io.Discard), settings: &platform.Settings{
				Bounds: platform.Bounds{EvacuationTime: test.bound}, Zones: map[identifier.FailureDomain]identifier.Region{"east-a": "east"},
			},
		}
		sink := &policySink{newTopicSink(assembler, "operator")}
		c.Assert(sink.Deliver(context.Background(), test.reading), quicktest.IsNil)
		for _, expected := range test.expected {
			c.Assert(<-assembler.plans.Entries(), quicktest.DeepEquals, expected)
		}
		c.Assert(len(assembler.plans.Entries()), quicktest.Equals, 0)
	}
}
