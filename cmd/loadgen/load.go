package main

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderroad/buffer"
	"corianderroad/cmd/loadgen/caller"
	"corianderroad/cmd/loadgen/planner"
)

// dueCapacity bounds the calls that are due and wait for a free caller.
const dueCapacity = 256

// load sends the calls of one kind. One duty plans the calls and a fixed number of
// duties send them.
type load struct {
	planner  *planner.Planner
	caller   *caller.Caller
	due      *buffer.Ring[planner.Call]
	results  *buffer.Ring[caller.Result]
	callers  int
	maxCalls int
	end      time.Time
	notSent  atomic.Int64
}

// run sends calls until the end time and returns when all calls have a verdict.
func (load *load) run(ctx context.Context) error {
	planned, finish := context.WithCancel(context.Background())
	defer finish()
	var group errgroup.Group
	group.Go(func() error {
		defer finish()
		load.plan(ctx)
		return nil
	})
	for range load.callers {
		group.Go(func() error {
			load.sendDue(ctx, planned)
			return nil
		})
	}
	return group.Wait()
}

func (load *load) plan(ctx context.Context) {
	for range load.maxCalls {
		call := load.planner.Next()
		if call.Due.After(load.end) {
			return
		}
		timer := time.NewTimer(time.Until(call.Due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if load.due.Offer(call) != nil {
			load.notSent.Add(1)
		}
	}
}

func (load *load) sendDue(ctx, planned context.Context) {
	for {
		select {
		case call := <-load.due.Entries():
			load.sendCall(ctx, call)
		case <-planned.Done():
			// No more calls are planned; the calls that are still waiting are sent.
			for {
				select {
				case call := <-load.due.Entries():
					load.sendCall(ctx, call)
				default:
					return
				}
			}
		}
	}
}

func (load *load) sendCall(ctx context.Context, call planner.Call) {
	// The collector reads until all callers have ended, so that no result is lost.
	_ = load.results.Put(context.Background(), load.caller.Call(ctx, call))
}
