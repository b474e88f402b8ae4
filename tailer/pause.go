package tailer

import (
	"context"
	"sync/atomic"
	"time"

	"corianderroad/buffer"
)

// pause is the time between two reads.
type pause struct {
	active atomic.Bool
	// requests has at most one entry: all requests during a pause mean the same read.
	requests *buffer.Ring[struct{}]
}

// Refresh requests a read before the pace requires it, and reports whether the Tailer
// pauses. If it does not, a read is waiting for the next record, and what was delivered is
// up to date unless the store fails. Refresh does not block and is safe for concurrent use.
func (tailer *Tailer) Refresh() bool {
	if !tailer.pause.active.Load() {
		return false
	}
	_ = tailer.pause.requests.Offer(struct{}{}) // a full ring holds a request already
	return true
}

// awaitNextRead pauses after a read that was started at the given time, shorter if Refresh
// requests the next one.
func (tailer *Tailer) awaitNextRead(ctx context.Context, started time.Time) error {
	pace := time.Duration(tailer.pace.Load())
	remaining := pace - tailer.clock().Sub(started)
	if remaining <= 0 {
		return ctx.Err()
	}
	select {
	case <-tailer.pause.requests.Entries(): // left over from the last pause
	default:
	}
	tailer.pause.active.Store(true)
	defer tailer.pause.active.Store(false)
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-tailer.pause.requests.Entries():
		pace = min(time.Duration(tailer.pace.Load()), tailer.options.RefreshPace)
		return tailer.sleep(ctx, pace-tailer.clock().Sub(started))
	}
}
