// Package appender appends records to one stream of the platform's log. It groups
// records into batches. If an answer is lost, it reads the stream back to find out
// whether the append took effect.
package appender

import (
	"cmp"
	"context"
	"math/rand/v2"
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

// EventSink receives the events of an Appender. Deliver waits for free capacity until
// the context ends.
type EventSink interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// Parameters are the limits of an Appender. The zero value is useful.
type Parameters struct {
	// BatchDelay is how long a batch waits for further records, 5 ms if zero.
	BatchDelay time.Duration
	// MaxEntries is the largest number of records in a batch, 200 if zero. For the
	// configuration stream the default is 1, so that each version is an offset.
	MaxEntries int
	// StallTimeout bounds the time without progress of one request to the log, 2 s if
	// zero.
	StallTimeout time.Duration
}

const (
	// maxPayloadBytes bounds the estimated size of a batch. Records are below 256 KiB,
	// so that a batch with its last record fits into a frame to a peer.
	maxPayloadBytes = 512 << 10
	minRetryDelay   = 50 * time.Millisecond
	maxRetryDelay   = time.Second
)

// NewLimiter returns the rate limiter of appends that all appenders of a node share.
func NewLimiter() *rate.Limiter { return rate.NewLimiter(30, 3) }

// Appender appends to one stream. Run is its only duty.
type Appender struct {
	stream     identifier.Stream
	log        log
	sink       EventSink
	records    *buffer.Ring[messenger.AppendRecord]
	limiter    *rate.Limiter
	parameters Parameters

	appended, retried, failed atomic.Uint64

	// minOffset is a lower bound of the offset of the next append, zero if unknown.
	minOffset uint64
	// overflow is a record that did not fit into the last batch.
	overflow *messenger.AppendRecord
}

// New returns an Appender to a stream of the log service at an address. The
// limiter is shared by the appenders of a node.
func New(
	stream identifier.Stream, address netip.AddrPort, client Client, sink EventSink,
	records *buffer.Ring[messenger.AppendRecord], limiter *rate.Limiter, parameters Parameters,
) *Appender {
	parameters.BatchDelay = cmp.Or(parameters.BatchDelay, 5*time.Millisecond)
	if stream == identifier.Configuration {
		parameters.MaxEntries = cmp.Or(parameters.MaxEntries, 1)
	}
	parameters.MaxEntries = cmp.Or(parameters.MaxEntries, 200)
	parameters.StallTimeout = cmp.Or(parameters.StallTimeout, 2*time.Second)
	return &Appender{
		stream: stream, log: log{client: client, address: address, stream: stream, stallTimeout: parameters.StallTimeout},
		sink: sink, records: records, limiter: limiter, parameters: parameters,
	}
}

// Counts returns the numbers of appends that the log stored, of retries and of
// records that failed. It is safe for concurrent use.
func (appender *Appender) Counts() (appended, retried, failed uint64) {
	return appender.appended.Load(), appender.retried.Load(), appender.failed.Load()
}

// Run appends until the context ends or the sink fails.
func (appender *Appender) Run(ctx context.Context) error {
	for {
		batch, err := appender.collect(ctx)
		if err != nil {
			return err
		}
		before := appender.appended.Load()
		if err := appender.appendBatch(ctx, batch); err != nil {
			return err
		}
		if appender.appended.Load() == before {
			// The log may have deleted appends from minOffset on during a long outage.
			appender.minOffset = 0
		}
	}
}

// collect waits for a record and adds the records that follow within BatchDelay.
func (appender *Appender) collect(ctx context.Context) (*batch, error) {
	batch := newBatch()
	if appender.overflow != nil {
		batch.add(*appender.overflow)
		appender.overflow = nil
	} else {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case record := <-appender.records.Entries():
			batch.add(record)
		}
	}
	timer := time.NewTimer(appender.parameters.BatchDelay)
	defer timer.Stop()
	for len(batch.records) < appender.parameters.MaxEntries {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
			return batch, nil
		case record := <-appender.records.Entries():
			if batch.size+sizeOf(record) > maxPayloadBytes {
				appender.overflow = &record
				return batch, nil
			}
			batch.add(record)
		}
	}
	return batch, nil
}

// appendBatch retries a batch until it is in the log or all its records have failed.
func (appender *Appender) appendBatch(ctx context.Context, batch *batch) error {
	var delay time.Duration
	for {
		if err := appender.failExpired(ctx, batch); err != nil || batch.isDone() {
			return err
		}
		finished, err := appender.tryAppend(ctx, batch)
		if finished || err != nil {
			return err
		}
		delay = min(max(2*delay, minRetryDelay), maxRetryDelay)
		// Jitter prevents the nodes from retrying at the same moment.
		if err := sleep(ctx, delay/2+rand.N(delay/2)); err != nil {
			return err
		}
		appender.retried.Add(1)
	}
}

// failExpired reports the records whose deadline has passed as failed. If the batch
// may be in the log, it is read back first, so that no appended record is reported.
func (appender *Appender) failExpired(ctx context.Context, batch *batch) error {
	now := time.Now()
	if !batch.hasExpired(now) {
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
	for _, record := range batch.expire(now) {
		appender.failed.Add(1)
		if err := appender.reportFailure(ctx, record, classifier.LogUnavailable, batch.execution()); err != nil {
			return err
		}
	}
	return nil
}

func (appender *Appender) reportFailure(ctx context.Context, record messenger.AppendRecord, code classifier.Code, execution classifier.Execution) error {
	return appender.sink.Deliver(ctx, messenger.AppendFailed{Stream: appender.stream, ID: record.Entry.ID, Code: code, Execution: execution})
}

// tryAppend reads the stream back if the batch may be in the log, and posts the batch
// if it is not. It returns true if the batch needs no further attempt.
func (appender *Appender) tryAppend(ctx context.Context, batch *batch) (bool, error) {
	if appender.minOffset == 0 {
		next, err := appender.log.nextOffset(ctx)
		if err != nil {
			return false, ctx.Err()
		}
		appender.minOffset = next
	}
	if batch.ambiguous {
		found, err := appender.readBack(ctx, batch)
		if err != nil || found {
			return found, ctx.Err()
		}
	}
	payload, err := encoder.MarshalBatch(batch.entries())
	if err != nil {
		return true, appender.failBatch(ctx, batch, classifier.Internal)
	}
	if err := appender.limiter.Wait(ctx); err != nil {
		return false, err
	}
	offset, outcome := appender.log.post(ctx, batch.id, payload)
	if outcome == appended && offset < appender.minOffset {
		outcome = unknown // the answer is that of an earlier append
	}
	switch outcome {
	case appended:
		appender.appended.Add(1)
		appender.minOffset = offset + 1
		return true, nil
	case refused:
		return true, appender.failBatch(ctx, batch, classifier.BadRequest)
	case unknown:
		batch.ambiguous = true
	}
	return false, ctx.Err()
}

// readBack searches the log for the batch. After a failure, the next search continues
// where this one ended: appends are added only at the end of the log.
func (appender *Appender) readBack(ctx context.Context, batch *batch) (bool, error) {
	offset, found, err := appender.log.find(ctx, batch.id, appender.minOffset)
	appender.minOffset = offset
	if found {
		appender.appended.Add(1)
		appender.minOffset = offset + 1
	}
	return found, err
}

// failBatch reports the records of a batch that the log will never accept as failed.
func (appender *Appender) failBatch(ctx context.Context, batch *batch, code classifier.Code) error {
	for _, record := range batch.openRecords() {
		appender.failed.Add(1)
		if err := appender.reportFailure(ctx, record, code, batch.execution()); err != nil {
			return err
		}
	}
	return nil
}

func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
