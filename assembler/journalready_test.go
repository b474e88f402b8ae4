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

// TestNodeIsReadyOnceTheRegistrarHasTheJournal guards against a node that reports itself as ready
// before the first reading of the journal is on its way to the registrar. The first commands were
// then refused, because the store had not answered as far as the registrar knew.
func TestNodeIsReadyOnceTheRegistrarHasTheJournal(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_000_000, 0)
	assembler := &Assembler{
		entries: buffer.New[messenger.Event]("entries", 1), plans: buffer.New[messenger.Event]("plans", 1),
		clock: func() time.Time { return now },
	}
	sink := &journalSink{newTopicSink(assembler, "journal")}
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Deliver does not wait for room
	c.Assert(assembler.entries.Offer(messenger.Tick{}), quicktest.IsNil)
	c.Assert(sink.Deliver(ctx, tailer.Reading{SentAt: now}), quicktest.IsNotNil)
	c.Assert(assembler.readiness.journalReadAt.Load(), quicktest.Equals, int64(0))
	<-assembler.entries.Entries()
	c.Assert(sink.Deliver(context.Background(), tailer.Reading{SentAt: now}), quicktest.IsNil)
	c.Assert(assembler.readiness.journalReadAt.Load(), quicktest.Equals, now.UnixNano())
}
