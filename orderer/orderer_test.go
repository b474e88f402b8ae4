package orderer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/orderer"
)

// slowVMList needs a fixed time to transfer all its pages.
type slowVMList struct {
	orderer.VMClient
	transferTime time.Duration
}

func (list slowVMList) ListVMs(ctx context.Context) ([]messenger.VMReport, error) {
	select {
	case <-time.After(list.transferTime):
		return make([]messenger.VMReport, 4500), nil
	case <-ctx.Done():
		return nil, classifier.New(classifier.OutcomeUnknown, "%v", ctx.Err())
	}
}

// lister requests the list again and again, as the planner does during a wave.
type lister struct {
	actions          *buffer.Ring[messenger.Action]
	attempts, listed int
}

func (lister *lister) Deliver(ctx context.Context, event messenger.Event) error {
	lister.attempts++
	if listed := event.(messenger.PoolVMsListed); listed.Err == nil {
		lister.listed++
	}
	time.Sleep(700 * time.Millisecond)
	return lister.actions.Put(ctx, messenger.ListPoolVMs{})
}

// TestLongVMListIsReceivedOverFullLink guards against a list whose pages together take
// longer than one call may, so that it is requested from the first page for ever and
// a maintenance wave never ends.
func TestLongVMListIsReceivedOverFullLink(t *testing.T) {
	// 4,500 VMs of 400 bytes on one of 17 parts of 60 Mbit/s
	const transferTime = 4500 * 400 * time.Second / (60_000_000 / 8 / 17)
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ring := buffer.New[messenger.Action]("actions", 4)
		lister := &lister{actions: ring}
		serviceCaller := orderer.NewServiceCaller(ring, slowVMList{transferTime: transferTime}, nil, lister, time.Now)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = serviceCaller.Run(ctx) })
		_ = ring.Offer(messenger.ListPoolVMs{})
		time.Sleep(2 * time.Minute)
		cancel()
		group.Wait()
		c.Assert(lister.listed > 0, quicktest.IsTrue, quicktest.Commentf("no list after %d attempts in 2 min", lister.attempts))
		c.Assert(lister.attempts-lister.listed <= 3, quicktest.IsTrue, quicktest.Commentf("%d of %d lists incomplete", lister.attempts-lister.listed, lister.attempts))
	})
}
