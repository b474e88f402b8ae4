package watcher_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/watcher"
)

// slowReader returns one byte after each pause.
type slowReader struct{ pause time.Duration }

func (slowReader slowReader) Read(target []byte) (int, error) {
	time.Sleep(slowReader.pause)
	return copy(target[:1], "x"), nil
}

// TestOnlyStalledTransferEnds guards against a transfer that ends although it
// advances, and against one that waits for ever after it has stalled.
func TestOnlyStalledTransferEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, watched := watcher.New(context.Background(), time.Second)
		defer watched.Stop()
		reader := watched.Reader(slowReader{900 * time.Millisecond})
		count, err := io.ReadFull(reader, make([]byte, 20))
		c.Assert([]any{count, err, ctx.Err()}, quicktest.DeepEquals, []any{20, nil, nil})
		stalledAt := time.Now()
		<-ctx.Done()
		c.Assert(time.Since(stalledAt), quicktest.Equals, time.Second)
		c.Assert(context.Cause(ctx), quicktest.Equals, watcher.ErrStalled)
	})
}
