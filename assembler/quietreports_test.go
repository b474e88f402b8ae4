package assembler

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/messenger"
	"corianderroad/tailer"
)

// TestReadingWithoutReportsIsDelivered guards against a holder that takes the reports of
// minions for outdated, and starts nothing, only because no minion has written one.
func TestReadingWithoutReportsIsDelivered(t *testing.T) {
	c := quicktest.New(t)
	assembler := &Assembler{plans: buffer.New[messenger.Event]("plan-events", 1), clock: time.Now}
	sink := &minionSink{newTopicSink(assembler, "minions")}
	sentAt := time.Unix(1_000_000, 0)
	c.Assert(sink.Deliver(context.Background(), tailer.Reading{SentAt: sentAt}), quicktest.IsNil)
	select {
	case event := <-assembler.plans.Entries():
		c.Assert(event, quicktest.DeepEquals, messenger.Event(messenger.MinionsRead{SentAt: sentAt}))
	default:
		c.Fatal("the reading was not delivered")
	}
}
