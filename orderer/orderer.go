// Package orderer sends the holder's requests to minions, the VM list and the
// advice service. Its duties run a bounded number of calls concurrently.
package orderer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/messenger"
)

// Maximum numbers of concurrent calls. A poll stays open at every minion that
// runs tasks, so that polls have a limit of their own: a start or a stop never
// waits for a poll to end. Both together fit into the file descriptors of the
// smallest entry VM.
const (
	maxOrders       = 512
	maxPolls        = 3072
	maxServiceCalls = 8
	// serviceTimeout bounds a call to the VM list and a report of a wave. That of a
	// list follows the time of the last one up to maxListTimeout: a long list would
	// otherwise be requested from its first page for ever while the link is full.
	serviceTimeout = 1500 * time.Millisecond
	maxListTimeout = 12 * time.Second
)

// MinionClient sends an order to a minion and returns the answer. It must be safe
// for concurrent use.
type MinionClient interface {
	Send(ctx context.Context, sent messenger.OrderMinion) messenger.OrderAnswered
}

// EventSink delivers events to the state machines.
type EventSink interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// Orderer sends orders to minions.
type Orderer struct {
	orders, polls *buffer.Ring[messenger.OrderMinion]

	minionClient MinionClient
	eventSink    EventSink
	clock        func() time.Time
}

// New returns the duty that sends the polls in one ring and all other orders in the
// other.
func New(orders, polls *buffer.Ring[messenger.OrderMinion], minionClient MinionClient, eventSink EventSink, clock func() time.Time) *Orderer {
	return &Orderer{orders: orders, polls: polls, minionClient: minionClient, eventSink: eventSink, clock: clock}
}

// Run sends orders until the context ends.
func (orderer *Orderer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return orderer.sendAll(ctx, orderer.orders, maxOrders) })
	group.Go(func() error { return orderer.sendAll(ctx, orderer.polls, maxPolls) })
	return group.Wait()
}

// sendAll sends the orders in a ring, a limited number of them at a time.
func (orderer *Orderer) sendAll(ctx context.Context, orders *buffer.Ring[messenger.OrderMinion], maxCalls int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxCalls)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case order := <-orders.Entries():
			group.Go(func() error { return orderer.eventSink.Deliver(ctx, orderer.send(ctx, order)) })
		}
	}
}

// send sends an order unless it has expired, for example because the VM was
// suspended. The state on which the holder based an expired order may have changed.
func (orderer *Orderer) send(ctx context.Context, order messenger.OrderMinion) messenger.OrderAnswered {
	sentAt := orderer.clock()
	if sentAt.After(order.Expires) {
		err := classifier.New(classifier.RingFull, "the order expired %s ago", sentAt.Sub(order.Expires).Round(time.Millisecond))
		return messenger.OrderAnswered{Sent: order, SentAt: sentAt, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	answered := orderer.minionClient.Send(ctx, order)
	answered.SentAt = sentAt
	return answered
}

// VMClient is the client of the platform's VM list, and reports waves to the
// operator.
type VMClient interface {
	ListVMs(ctx context.Context) ([]messenger.VMReport, error)
	// Maintain requests maintenance of a VM. Its errors have codes StaleTerm,
	// MinionBusy, Infeasible and UnknownNode.
	Maintain(ctx context.Context, sent messenger.MaintainVM) error
	Report(ctx context.Context, sent messenger.ReportWave) error
}

// AdviceClient is the client of the advice service, which issues tickets for the
// minions that may run a step.
type AdviceClient interface {
	Advise(ctx context.Context, sent messenger.RequestAdvice) ([]messenger.Ticket, time.Duration, error)
}

// ServiceCaller sends calls to the VM list and the advice service.
type ServiceCaller struct {
	actions      *buffer.Ring[messenger.Action]
	vmClient     VMClient
	adviceClient AdviceClient
	eventSink    EventSink
	clock        func() time.Time
	// listTimeout is the timeout of the next list in nanoseconds.
	listTimeout atomic.Int64
}

// NewServiceCaller returns the duty that performs the actions in the ring.
func NewServiceCaller(actions *buffer.Ring[messenger.Action], vmClient VMClient, adviceClient AdviceClient, eventSink EventSink, clock func() time.Time) *ServiceCaller {
	serviceCaller := &ServiceCaller{actions: actions, vmClient: vmClient, adviceClient: adviceClient, eventSink: eventSink, clock: clock}
	serviceCaller.listTimeout.Store(int64(serviceTimeout))
	return serviceCaller
}

// Run sends calls until the context ends.
func (serviceCaller *ServiceCaller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxServiceCalls)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case action := <-serviceCaller.actions.Entries():
			group.Go(func() error { return serviceCaller.eventSink.Deliver(ctx, serviceCaller.perform(ctx, action)) })
		}
	}
}

// timeoutOf returns the timeout of a call.
func (serviceCaller *ServiceCaller) timeoutOf(action messenger.Action) time.Duration {
	switch action := action.(type) {
	case messenger.RequestAdvice:
		return action.Timeout
	case messenger.ListPoolVMs:
		return time.Duration(serviceCaller.listTimeout.Load())
	default:
		return serviceTimeout
	}
}

// list requests the list of VMs and sets the timeout of the next one, which allows for
// twice the time that this one took.
func (serviceCaller *ServiceCaller) list(ctx context.Context, sentAt time.Time) ([]messenger.VMReport, error) {
	vms, err := serviceCaller.vmClient.ListVMs(ctx)
	if err == nil || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		took := serviceCaller.clock().Sub(sentAt)
		serviceCaller.listTimeout.Store(int64(min(max(2*took, serviceTimeout), maxListTimeout)))
	}
	return vms, err
}

// maintain requests the maintenance of a VM unless the request has expired.
func (serviceCaller *ServiceCaller) maintain(ctx context.Context, sentAt time.Time, request messenger.MaintainVM) *classifier.Error {
	if sentAt.After(request.Expires) {
		return classifier.New(classifier.RingFull, "the request expired %s ago", sentAt.Sub(request.Expires).Round(time.Millisecond))
	}
	return classifier.Wrap(serviceCaller.vmClient.Maintain(ctx, request))
}

func (serviceCaller *ServiceCaller) perform(ctx context.Context, action messenger.Action) messenger.Event {
	sentAt := serviceCaller.clock()
	timeout := serviceCaller.timeoutOf(action)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch action := action.(type) {
	case messenger.MaintainVM:
		return messenger.VMMaintained{Sent: action, Err: serviceCaller.maintain(ctx, sentAt, action)}
	case messenger.ReportWave:
		return messenger.WaveReported{Sent: action, Err: classifier.Wrap(serviceCaller.vmClient.Report(ctx, action))}
	case messenger.RequestAdvice:
		tickets, validity, err := serviceCaller.adviceClient.Advise(ctx, action)
		return messenger.AdviceReceived{Sent: action, SentAt: sentAt, Tickets: tickets, Validity: validity, Err: classifier.Wrap(err)}
	default:
		vms, err := serviceCaller.list(ctx, sentAt)
		return messenger.PoolVMsListed{VMs: vms, SentAt: sentAt, Err: classifier.Wrap(err)}
	}
}
