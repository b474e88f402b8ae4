package orderer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/orderer"
)

// waitingMinions answer a poll when its wait has passed, and any other order at once.
type waitingMinions struct{}

func (waitingMinions) Send(_ context.Context, sent messenger.OrderMinion) messenger.OrderAnswered {
	if poll, ok := sent.Order.(messenger.PollRuns); ok {
		time.Sleep(poll.Wait)
	}
	return messenger.OrderAnswered{Sent: sent}
}

// startTimes holds when starts were sent and answered without an error.
type startTimes struct {
	mutex sync.Mutex
	sent  []time.Time
}

func (startTimes *startTimes) Deliver(_ context.Context, event messenger.Event) error {
	answered := event.(messenger.OrderAnswered)
	if _, isStart := answered.Sent.Order.(messenger.StartRun); isStart && answered.Err == nil {
		startTimes.mutex.Lock()
		defer startTimes.mutex.Unlock()
		startTimes.sent = append(startTimes.sent, answered.SentAt)
	}
	return nil
}

// TestStartsDoNotWaitForPolls guards against starts that wait, and expire, behind the
// polls of a pool of minions that is larger than the number of concurrent calls: each
// poll stays open until a run ends.
func TestStartsDoNotWaitForPolls(t *testing.T) {
	const minions, starts = 4500, 100
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		orders := buffer.New[messenger.OrderMinion]("orders", minions+starts)
		polls := buffer.New[messenger.OrderMinion]("polls", minions)
		times := &startTimes{}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		group.Go(func() { _ = orderer.New(orders, polls, waitingMinions{}, times, time.Now).Run(ctx) })
		begun := time.Now()
		send := func(ring *buffer.Ring[messenger.OrderMinion], order messenger.Order) {
			_ = ring.Offer(messenger.OrderMinion{Minion: identifier.Minion("m"), Expires: begun.Add(800 * time.Millisecond), Timeout: 2 * time.Second, Order: order})
		}
		for range minions {
			send(polls, messenger.PollRuns{Wait: 1200 * time.Millisecond})
		}
		for range starts {
			send(orders, messenger.StartRun{})
		}
		time.Sleep(3 * time.Second)
		times.mutex.Lock()
		defer times.mutex.Unlock()
		c.Assert(times.sent, quicktest.HasLen, starts)
		for _, sent := range times.sent {
			c.Assert(sent.Equal(begun), quicktest.IsTrue, quicktest.Commentf("sent %s later", sent.Sub(begun)))
		}
	})
}
