// Package orderer carries the holder's orders to minions, the VM list and the
// advice service. Its duties start a bounded number of calls side by side.
package orderer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/messenger"
)

// Calls that may be under way at the same time. A look waits at every minion
// that runs something.
const (
	minionCalls  = 1024
	serviceCalls = 8
	// serviceTimeout bounds a call to the VM list or a report.
	serviceTimeout = 1500 * time.Millisecond
)

// Minions carries one order to a minion and returns its answer. It must be
// safe for concurrent use.
type Minions interface {
	Carry(ctx context.Context, sent messenger.OrderMinion) messenger.OrderAnswered
}

// Inlet takes events to the decision machines.
type Inlet interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// Orderer carries orders to minions.
type Orderer struct {
	orders  *buffer.Ring[messenger.OrderMinion]
	minions Minions
	inlet   Inlet
	clock   func() time.Time
}

// New returns the duty that empties the ring.
func New(orders *buffer.Ring[messenger.OrderMinion], minions Minions, inlet Inlet, clock func() time.Time) *Orderer {
	return &Orderer{orders: orders, minions: minions, inlet: inlet, clock: clock}
}

// Run carries orders until the context ends.
func (orderer *Orderer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(minionCalls)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case order := <-orderer.orders.Entries():
			group.Go(func() error { return orderer.inlet.Deliver(ctx, orderer.carry(ctx, order)) })
		}
	}
}

// carry sends an order unless it has waited too long, for example because the
// VM was suspended: what the holder believed when it gave the order may be over.
func (orderer *Orderer) carry(ctx context.Context, order messenger.OrderMinion) messenger.OrderAnswered {
	sentAt := orderer.clock()
	if sentAt.After(order.Expires) {
		err := classifier.New(classifier.RingFull, "the order expired %s ago", sentAt.Sub(order.Expires).Round(time.Millisecond))
		return messenger.OrderAnswered{Sent: order, SentAt: sentAt, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, order.Timeout)
	defer cancel()
	answered := orderer.minions.Carry(ctx, order)
	answered.SentAt = sentAt
	return answered
}

// VMs is the platform's list of VMs and the operator's reports.
type VMs interface {
	ListVMs(ctx context.Context) ([]messenger.VMReport, error)
	// Maintain has codes StaleTerm, MinionBusy, Infeasible and UnknownNode.
	Maintain(ctx context.Context, sent messenger.MaintainVM) error
	Report(ctx context.Context, sent messenger.ReportWave) error
}

// Adviser tells which minions may run a step.
type Adviser interface {
	Advise(ctx context.Context, sent messenger.RequestAdvice) ([]messenger.Ticket, time.Duration, error)
}

// Services carries the calls to the VM list and the advice service.
type Services struct {
	actions *buffer.Ring[messenger.Action]
	vms     VMs
	adviser Adviser
	inlet   Inlet
	clock   func() time.Time
}

// NewServices returns the duty that empties the ring.
func NewServices(actions *buffer.Ring[messenger.Action], vms VMs, adviser Adviser, inlet Inlet, clock func() time.Time) *Services {
	return &Services{actions: actions, vms: vms, adviser: adviser, inlet: inlet, clock: clock}
}

// Run carries calls until the context ends.
func (services *Services) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(serviceCalls)
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case action := <-services.actions.Entries():
			group.Go(func() error { return services.inlet.Deliver(ctx, services.perform(ctx, action)) })
		}
	}
}

func (services *Services) perform(ctx context.Context, action messenger.Action) messenger.Event {
	sentAt := services.clock()
	timeout := serviceTimeout
	if ask, ok := action.(messenger.RequestAdvice); ok {
		timeout = ask.Timeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch action := action.(type) {
	case messenger.MaintainVM:
		return messenger.VMMaintained{Sent: action, Err: classifier.Wrap(services.vms.Maintain(ctx, action))}
	case messenger.ReportWave:
		return messenger.WaveReported{Sent: action, Err: classifier.Wrap(services.vms.Report(ctx, action))}
	case messenger.RequestAdvice:
		tickets, valid, err := services.adviser.Advise(ctx, action)
		return messenger.AdviceReceived{Sent: action, SentAt: sentAt, Tickets: tickets, Validity: valid, Err: classifier.Wrap(err)}
	default:
		vms, err := services.vms.ListVMs(ctx)
		return messenger.PoolVMsListed{VMs: vms, SentAt: sentAt, Err: classifier.Wrap(err)}
	}
}
