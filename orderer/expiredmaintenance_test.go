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

// countingVMs counts the requests for maintenance.
type countingVMs struct {
	orderer.VMClient
	requests int
}

func (vms *countingVMs) Maintain(context.Context, messenger.MaintainVM) error {
	vms.requests++
	return nil
}

type lastAnswer struct{ event messenger.Event }

func (answer *lastAnswer) Deliver(_ context.Context, event messenger.Event) error {
	answer.event = event
	return nil
}

// TestExpiredMaintenanceIsNotSent guards against a request for maintenance that waited
// in the ring until another holder has listed the VMs. Together they would exceed the
// limit of the wave.
func TestExpiredMaintenanceIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		ring := buffer.New[messenger.Action]("actions", 4)
		vms, answer := &countingVMs{}, &lastAnswer{}
		serviceCaller := orderer.NewServiceCaller(ring, vms, nil, answer, time.Now)
		_ = ring.Offer(messenger.MaintainVM{VM: "v-1", Wave: 1, Expires: time.Now().Add(time.Second)})
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { _ = serviceCaller.Run(ctx) })
		defer group.Wait()
		defer cancel()
		synctest.Wait()
		c.Assert(vms.requests, quicktest.Equals, 0)
		c.Assert(answer.event.(messenger.VMMaintained).Err.Code, quicktest.Equals, classifier.RingFull)
		_ = ring.Offer(messenger.MaintainVM{VM: "v-1", Wave: 1, Expires: time.Now().Add(time.Second)})
		synctest.Wait()
		c.Assert(vms.requests, quicktest.Equals, 1)
	})
}
