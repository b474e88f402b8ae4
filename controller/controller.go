// Package controller is the duty that calls workers over HTTP. A fixed number of
// goroutines receive the calls from a ring; each call gets exactly one answer.
package controller

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"corianderroad/buffer"
	"corianderroad/messenger"
)

// EventSink receives the answers of workers.
type EventSink interface {
	// Deliver waits until the event is accepted or the context ends.
	Deliver(ctx context.Context, event messenger.Event) error
}

// Parameters are the parameters of a Controller. The zero value is useful.
type Parameters struct {
	// MaxCalls is the maximum number of concurrent calls, 32 if zero.
	MaxCalls int
	// Timeout bounds a call, 2 s if zero. The grace period of a checkpoint is
	// added to it.
	Timeout time.Duration
}

// Controller calls workers. It is safe for concurrent use.
type Controller struct {
	ring       *buffer.Ring[messenger.CallWorker]
	eventSink  EventSink
	client     *http.Client
	parameters Parameters
}

// New returns a Controller that receives calls from the ring and delivers the
// answers to the event sink. The ring should have capacity for a call to each
// worker of a region, because renewals are sent together.
func New(ring *buffer.Ring[messenger.CallWorker], eventSink EventSink, parameters Parameters) *Controller {
	parameters.MaxCalls = cmp.Or(parameters.MaxCalls, 32)
	parameters.Timeout = cmp.Or(parameters.Timeout, 2*time.Second)
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: parameters.Timeout}).DialContext,
		MaxConnsPerHost: 8,
		// An answer names no call. On a connection of its own no second answer to an earlier
		// call is taken for it.
		DisableKeepAlives: true,
	}
	return &Controller{
		ring: ring, eventSink: eventSink, client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}, parameters: parameters,
	}
}

// Run executes calls until the context ends.
func (controller *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range controller.parameters.MaxCalls {
		group.Go(func() error { return controller.serve(ctx) })
	}
	return group.Wait()
}

func (controller *Controller) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case call := <-controller.ring.Entries():
			if err := controller.eventSink.Deliver(ctx, controller.execute(ctx, call)); err != nil {
				return errors.WithMessage(err, "deliver a worker's answer")
			}
		}
	}
}

// refuseRedirect prevents a call from reaching an address other than the one from
// the VM list.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
