// Package appender appends records to one stream of the platform's log. It
// groups them and settles lost answers by reading back.
package appender

import (
	"cmp"
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// Sink receives the events of an Appender. Deliver waits for room until the
// context ends.
type Sink interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// Parameters are the limits of an Appender. The zero value is useful.
type Parameters struct {
	// Collect is how long a batch waits for further records, 5 ms if zero.
	Collect time.Duration
	// MaxEntries is the largest number of records in a batch, 200 if zero. The
	// configuration stream takes 1, so that a version is an offset.
	MaxEntries int
	// Timeout bounds one request to the log, 2 s if zero.
	Timeout time.Duration
}

const (
	// maxPayload ends a batch. Records are below 256 KiB, so that a batch with its
	// last record fits into a frame to a peer.
	maxPayload    = 512 << 10
	shortestPause = 50 * time.Millisecond
	longestPause  = time.Second
)

// NewLimiter returns the budget of appends that the appenders of a node share.
func NewLimiter() *rate.Limiter { return rate.NewLimiter(30, 3) }

// Appender appends to one stream. Run is its only duty.
type Appender struct {
	stream     identifier.Stream
	log        log
	sink       Sink
	records    *buffer.Ring[messenger.AppendRecord]
	limiter    *rate.Limiter
	parameters Parameters

	appended, repeated, failed atomic.Uint64

	// floor is an offset that the next append will not be below, zero if unknown.
	floor uint64
	// carried is a record that did not fit into the last batch.
	carried *messenger.AppendRecord
}

// New returns an Appender to a stream of the log service at an address. The
// limiter is shared by the appenders of a node.
func New(
	stream identifier.Stream, address netip.AddrPort, client Client, sink Sink,
	records *buffer.Ring[messenger.AppendRecord], limiter *rate.Limiter, parameters Parameters,
) *Appender {
	parameters.Collect = cmp.Or(parameters.Collect, 5*time.Millisecond)
	if stream == identifier.Configuration {
		parameters.MaxEntries = cmp.Or(parameters.MaxEntries, 1)
	}
	parameters.MaxEntries = cmp.Or(parameters.MaxEntries, 200)
	parameters.Timeout = cmp.Or(parameters.Timeout, 2*time.Second)
	return &Appender{
		stream: stream, log: log{client: client, address: address, stream: stream, timeout: parameters.Timeout},
		sink: sink, records: records, limiter: limiter, parameters: parameters,
	}
}

// Counts returns the numbers of appends that reached the log, of repeated
// requests and of records given up. It is safe for concurrent use.
func (appender *Appender) Counts() (appended, repeated, failed uint64) {
	return appender.appended.Load(), appender.repeated.Load(), appender.failed.Load()
}

// Run appends until the context ends or the sink fails.
func (appender *Appender) Run(ctx context.Context) error {
	for {
		batch, err := appender.collect(ctx)
		if err != nil {
			return err
		}
		before := appender.appended.Load()
		if err := appender.settle(ctx, batch); err != nil {
			return err
		}
		if appender.appended.Load() == before {
			// Retention may have passed the floor during a long outage.
			appender.floor = 0
		}
	}
}

// collect waits for a record and takes those that follow shortly after.
func (appender *Appender) collect(ctx context.Context) (*batch, error) {
	batch := newBatch()
	if appender.carried != nil {
		batch.add(*appender.carried)
		appender.carried = nil
	} else {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case record := <-appender.records.Entries():
			batch.add(record)
		}
	}
	timer := time.NewTimer(appender.parameters.Collect)
	defer timer.Stop()
	for len(batch.records) < appender.parameters.MaxEntries {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			return batch, nil
		case record := <-appender.records.Entries():
			if batch.size+sizeOf(record) > maxPayload {
				appender.carried = &record
				return batch, nil
			}
			batch.add(record)
		}
	}
	return batch, nil
}

// settle repeats a batch until it is in the log or every record was given up.
func (appender *Appender) settle(ctx context.Context, batch *batch) error {
	var pause time.Duration
	for {
		if err := appender.giveUp(ctx, batch); err != nil || batch.done() {
			return err
		}
		settled, err := appender.attempt(ctx, batch)
		if settled || err != nil {
			return err
		}
		pause = min(max(2*pause, shortestPause), longestPause)
		if err := wait(ctx, pause); err != nil {
			return err
		}
		appender.repeated.Add(1)
	}
}

// giveUp reports the records whose time has passed. A batch that may be in the
// log is read back first, so that a record that arrived is not reported.
func (appender *Appender) giveUp(ctx context.Context, batch *batch) error {
	now := time.Now()
	if !batch.expires(now) {
		return nil
	}
	if batch.ambiguous {
		found, err := appender.readBack(ctx, batch)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil && found {
			batch.records = nil
			return nil
		}
	}
	for _, record := range batch.expired(now) {
		appender.failed.Add(1)
		if err := appender.fail(ctx, record, classifier.LogUnavailable, batch.fate()); err != nil {
			return err
		}
	}
	return nil
}

func (appender *Appender) fail(ctx context.Context, record messenger.AppendRecord, code classifier.Code, fate classifier.Execution) error {
	return appender.sink.Deliver(ctx, messenger.AppendFailed{Stream: appender.stream, ID: record.Entry.ID, Code: code, Execution: fate})
}

// attempt reads back if an answer was lost, and posts the batch if it is not in
// the log. It returns true if the batch needs no further attempt.
func (appender *Appender) attempt(ctx context.Context, batch *batch) (bool, error) {
	if appender.floor == 0 {
		next, err := appender.log.next(ctx)
		if err != nil {
			return false, ctx.Err()
		}
		appender.floor = next
	}
	if batch.ambiguous {
		found, err := appender.readBack(ctx, batch)
		if err != nil || found {
			return found, ctx.Err()
		}
	}
	payload, err := encoder.MarshalBatch(batch.entries())
	if err != nil {
		return true, appender.refuse(ctx, batch, classifier.Internal)
	}
	if err := appender.limiter.Wait(ctx); err != nil {
		return false, err
	}
	offset, outcome := appender.log.post(ctx, batch.id, payload)
	switch outcome {
	case appended:
		appender.appended.Add(1)
		appender.floor = offset + 1
		return true, nil
	case refused:
		return true, appender.refuse(ctx, batch, classifier.BadRequest)
	case unknown:
		batch.ambiguous = true
	}
	return false, ctx.Err()
}

// readBack looks for the batch in the log.
func (appender *Appender) readBack(ctx context.Context, batch *batch) (bool, error) {
	offset, found, err := appender.log.find(ctx, batch.id, appender.floor)
	if err == nil && found {
		appender.appended.Add(1)
		appender.floor = offset + 1
	}
	return found, err
}

// refuse reports a batch that the log will never take.
func (appender *Appender) refuse(ctx context.Context, batch *batch, code classifier.Code) error {
	for _, record := range batch.open() {
		appender.failed.Add(1)
		if err := appender.fail(ctx, record, code, batch.fate()); err != nil {
			return err
		}
	}
	return nil
}

func wait(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
