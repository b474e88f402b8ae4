// Package controller is the duty that calls workers over HTTP. A bounded pool
// of goroutines takes the calls from a ring; each call gets exactly one answer.
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

// Sink takes the answers of workers.
type Sink interface {
	// Deliver waits until the event has been taken over.
	Deliver(ctx context.Context, event messenger.Event) error
}

// Parameters are the parameters of a Controller. The zero value is useful.
type Parameters struct {
	// Callers is the number of calls that are open at the same time, 32 if zero.
	Callers int
	// Timeout bounds a call, 2 s if zero. A checkpoint has its grace period in
	// addition.
	Timeout time.Duration
	// IdleConnections bounds the idle connections to all workers together, 512 if
	// zero.
	IdleConnections int
}

// Controller calls workers. It is safe for concurrent use.
type Controller struct {
	ring       *buffer.Ring[messenger.CallWorker]
	sink       Sink
	client     *http.Client
	parameters Parameters
}

// New returns a Controller that takes calls from the ring and delivers the
// answers to the sink. The ring should hold a call for each worker of a region,
// because renewals are sent together.
func New(ring *buffer.Ring[messenger.CallWorker], sink Sink, parameters Parameters) *Controller {
	parameters.Callers = cmp.Or(parameters.Callers, 32)
	parameters.Timeout = cmp.Or(parameters.Timeout, 2*time.Second)
	parameters.IdleConnections = cmp.Or(parameters.IdleConnections, 512)
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: parameters.Timeout}).DialContext,
		MaxIdleConns:        parameters.IdleConnections,
		MaxIdleConnsPerHost: 2,
		MaxConnsPerHost:     8,
		IdleConnTimeout:     90 * time.Second,
	}
	return &Controller{
		ring: ring, sink: sink, client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}, parameters: parameters,
	}
}

// Run carries out calls until the context ends.
func (controller *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for range controller.parameters.Callers {
		group.Go(func() error { return controller.serve(ctx) })
	}
	err := group.Wait()
	controller.client.CloseIdleConnections()
	return err
}

func (controller *Controller) serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ask := <-controller.ring.Entries():
			if err := controller.sink.Deliver(ctx, controller.call(ctx, ask)); err != nil {
				return errors.WithMessage(err, "deliver a worker's answer")
			}
		}
	}
}

// refuseRedirect keeps a call from reaching another address than that of the VM list.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
