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

// slowReader returns some bytes after each pause.
type slowReader struct {
	pause time.Duration
	bytes int
}

func (slowReader slowReader) Read(target []byte) (int, error) {
	time.Sleep(slowReader.pause)
	return min(slowReader.bytes, len(target)), nil
}

// TestOnlyStalledTransferEnds guards against a transfer that ends although it
// advances, and against one that waits for ever after it has stalled.
func TestOnlyStalledTransferEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, watched := watcher.New(context.Background(), time.Second)
		defer watched.Stop()
		reader := watched.Reader(slowReader{900 * time.Millisecond, 1 << 10})
		count, err := io.ReadFull(reader, make([]byte, 20<<10))
		c.Assert([]any{count, err, ctx.Err()}, quicktest.DeepEquals, []any{20 << 10, nil, nil})
		stalledAt := time.Now()
		<-ctx.Done()
		c.Assert(time.Since(stalledAt), quicktest.Equals, time.Second)
		c.Assert(context.Cause(ctx), quicktest.Equals, watcher.ErrStalled)
	})
}

// TestTricklingTransferEnds guards against a transfer that lasts for ever because a
// few bytes arrive now and then.
func TestTricklingTransferEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ctx, watched := watcher.New(context.Background(), time.Second)
		defer watched.Stop()
		_, _ = io.ReadFull(watched.Reader(slowReader{100 * time.Millisecond, 10}), make([]byte, 110))
		c.Assert(context.Cause(ctx), quicktest.Equals, watcher.ErrStalled)
	})
}
