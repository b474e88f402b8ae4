// Package dispatcher sends requests to minions over HTTP.
package dispatcher

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"corianderroad/buffer"
	"corianderroad/messenger"
)

// EventSink receives the results of calls.
type EventSink interface {
	// Deliver passes an event to the duty that requested the call. It may block.
	Deliver(ctx context.Context, event messenger.Event) error
}

// Parameters are the parameters of a Dispatcher. The zero value is useful.
type Parameters struct {
	// MaxCalls is the number of concurrent calls, 512 if zero.
	MaxCalls int
	// SlotQueriers is the number of concurrent queries for slots, 16 if zero.
	SlotQueriers int
	// Connections bounds the connections to each minion, 8 if zero.
	Connections int
	// DialTimeout bounds the time to establish a connection, 1 s if zero.
	DialTimeout time.Duration
	// QueryTimeout bounds a query for slots, 1 s if zero.
	QueryTimeout time.Duration
	// Now is the clock by which deadlines are checked, time.Now if nil.
	Now func() time.Time
}

func (parameters Parameters) withDefaults() Parameters {
	setDefault := func(value *int, fallback int) {
		if *value <= 0 {
			*value = fallback
		}
	}
	setDefault(&parameters.MaxCalls, 512)
	setDefault(&parameters.SlotQueriers, 16)
	setDefault(&parameters.Connections, 8)
	if parameters.DialTimeout <= 0 {
		parameters.DialTimeout = time.Second
	}
	if parameters.QueryTimeout <= 0 {
		parameters.QueryTimeout = time.Second
	}
	if parameters.Now == nil {
		parameters.Now = time.Now
	}
	return parameters
}

// Dispatcher is the duty that calls minions. It is a bounded pool of goroutines,
// each of which handles one request at a time.
type Dispatcher struct {
	calls      *buffer.Ring[messenger.CallMinion]
	queries    *buffer.Ring[messenger.QuerySlots]
	sink       EventSink
	parameters Parameters
	transport  *http.Transport
}

// New returns a Dispatcher that reads from the two rings and delivers exactly
// one result for each entry to the sink.
func New(calls *buffer.Ring[messenger.CallMinion], queries *buffer.Ring[messenger.QuerySlots], sink EventSink, parameters Parameters) *Dispatcher {
	parameters = parameters.withDefaults()
	return &Dispatcher{
		calls: calls, queries: queries, sink: sink, parameters: parameters,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: parameters.DialTimeout}).DialContext,
			MaxConnsPerHost:     parameters.Connections,
			MaxIdleConnsPerHost: parameters.Connections,
			// A minion counts the connections of all owners, so an owner that lost a
			// minion must close its idle connections soon.
			IdleConnTimeout:    5 * time.Second,
			DisableCompression: true,
		},
	}
}

// Run sends requests and delivers their results until the context ends.
func (dispatcher *Dispatcher) Run(ctx context.Context) error {
	defer dispatcher.transport.CloseIdleConnections()
	group, ctx := errgroup.WithContext(ctx)
	for range dispatcher.parameters.MaxCalls {
		group.Go(func() error { return serve(ctx, dispatcher.calls, dispatcher.sink, dispatcher.call) })
	}
	for range dispatcher.parameters.SlotQueriers {
		group.Go(func() error { return serve(ctx, dispatcher.queries, dispatcher.sink, dispatcher.querySlots) })
	}
	return group.Wait()
}

// serve handles the entries of a ring until the context ends or the sink fails.
func serve[T any](ctx context.Context, ring *buffer.Ring[T], sink EventSink, handle func(context.Context, T) messenger.Event) error {
	for {
		select {
		case entry := <-ring.Entries():
			if err := sink.Deliver(ctx, handle(ctx, entry)); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
