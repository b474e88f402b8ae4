// Package follower reads one stream of the platform's log and delivers its
// appends in offset order.
package follower

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// EventSink receives the events of a Follower in order. Deliver waits for free capacity
// until the context ends.
type EventSink interface {
	Deliver(ctx context.Context, event messenger.Event) error
}

// Parameters are the limits of a Follower. The zero value is useful.
type Parameters struct {
	// PollTimeout is how long the log delays its answer to a read at the end of
	// the stream, waiting for an append, 5 s if zero.
	PollTimeout time.Duration
	// UnavailableAfter is the time without an answer after which the log counts
	// as unavailable, 7 s if zero. It must be above PollTimeout. A read fails after
	// the same time without progress.
	UnavailableAfter time.Duration
	// Limit is the largest number of appends of one read, 256 if zero.
	Limit int
	// StartAge is the age of the append at which the first read starts. If it is
	// zero, the first read starts at the first retained append.
	StartAge time.Duration
}

// IntentsStartAge is Parameters.StartAge for the stream of intents. A key is
// valid from 1 minute before to 10 minutes after its time of issue; the rest
// allows for the difference between the clocks of the node and the log.
const IntentsStartAge = 12 * time.Minute

const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
)

// Follower reads one stream. Run is its only duty.
type Follower struct {
	stream     identifier.Stream
	log        log
	sink       EventSink
	advanced   *buffer.Ring[messenger.StreamAdvanced]
	parameters Parameters

	corrupt atomic.Uint64

	// position is the offset of the next read, zero before the first.
	position uint64
	// reset is set until the first append after a start or a gap is delivered.
	reset        bool
	lastAnswerAt time.Time
	lastReportAt time.Time
	retryDelay   time.Duration
	// limit is the limit of the next read. It is reduced after an answer that is too
	// large, and rises again only while answers are small, because an answer that is
	// too large is received in vain.
	limit int
}

// New returns a Follower of a stream of the log service at an address. Through
// advanced it receives the offsets that were applied from other sources.
func New(
	stream identifier.Stream, address netip.AddrPort, client Client, sink EventSink,
	advanced *buffer.Ring[messenger.StreamAdvanced], parameters Parameters,
) *Follower {
	parameters.PollTimeout = cmp.Or(parameters.PollTimeout, 5*time.Second)
	parameters.UnavailableAfter = cmp.Or(parameters.UnavailableAfter, 7*time.Second)
	parameters.Limit = cmp.Or(parameters.Limit, 256)
	return &Follower{
		stream: stream, sink: sink,
		log:      log{client: client, address: address, stream: stream, stallTimeout: parameters.UnavailableAfter},
		advanced: advanced, parameters: parameters, limit: parameters.Limit,
	}
}

// Corrupt returns the number of entries, and of appends as a whole, that could not
// be decoded. Appends are delivered without them, so that none stops the stream.
// It is safe for concurrent use.
func (follower *Follower) Corrupt() uint64 { return follower.corrupt.Load() }

// reading is the result of one read.
type reading struct {
	answer encoder.ReadAnswer
	// start is the offset at which the read began.
	start uint64
	err   error
}

// Run reads until the context ends or the sink fails.
func (follower *Follower) Run(ctx context.Context) error {
	follower.lastAnswerAt = time.Now()
	follower.reset = true
	for {
		readCtx, cancel := context.WithCancel(ctx)
		result := make(chan reading, 1)
		go func() { result <- follower.read(readCtx, follower.retryDelay) }()
		var err error
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case advanced := <-follower.advanced.Entries():
			cancel()
			<-result
			follower.position = uint64(advanced.Applied) + 1
			follower.reset = false
			follower.retryDelay = 0
		case reading := <-result:
			err = follower.deliver(ctx, reading)
		}
		cancel()
		if err != nil {
			return err
		}
	}
}

// read waits for the retry delay, if any, and reads once.
func (follower *Follower) read(ctx context.Context, retryDelay time.Duration) reading {
	if retryDelay > 0 {
		// Jitter prevents the nodes from retrying at the same moment.
		timer := time.NewTimer(retryDelay/2 + rand.N(retryDelay/2))
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return reading{err: ctx.Err()}
		case <-timer.C:
		}
	}
	start := follower.position
	if start == 0 {
		found, err := follower.findStart(ctx)
		if err != nil {
			return reading{err: err}
		}
		start = found
	}
	answer, err := follower.log.read(ctx, start, follower.limit, follower.parameters.PollTimeout)
	return reading{answer: answer, start: start, err: err}
}

// deliver passes the result of a read to the sink and prepares the next read.
func (follower *Follower) deliver(ctx context.Context, reading reading) error {
	now := time.Now()
	for i, entry := range reading.answer.Appends {
		if entry.Offset != reading.start+uint64(i) {
			reading.err = classifier.New(classifier.LogUnavailable, "log service answered with a gap before offset %d", entry.Offset)
			break
		}
	}
	if reading.err == nil && len(reading.answer.Appends) == 0 && reading.answer.Next > reading.start {
		reading.err = classifier.New(classifier.LogUnavailable, "log service answered without the appends from offset %d to its end %d",
			reading.start, reading.answer.Next)
	}
	if reading.err != nil {
		return follower.handleFailure(ctx, now, reading.err)
	}
	follower.lastAnswerAt, follower.retryDelay = now, 0
	follower.position = reading.start
	received := 0
	for _, entry := range reading.answer.Appends {
		received += len(entry.Payload)
		batch, err := encoder.UnmarshalBatch(entry.Payload)
		if err != nil {
			batch.Refused = []error{err}
		}
		follower.corrupt.Add(uint64(len(batch.Refused)))
		read := messenger.AppendRead{
			Stream: follower.stream, Offset: identifier.Offset(entry.Offset), AppendedAt: entry.AppendedAt,
			Entries: batch.Entries, Refused: batch.Refused, Reset: follower.reset,
		}
		if err := follower.sink.Deliver(ctx, read); err != nil {
			return err
		}
		follower.reset = false
		follower.position++
	}
	if received < smallAnswerBytes {
		follower.limit = min(2*follower.limit, follower.parameters.Limit)
	}
	if follower.position < reading.answer.Next {
		return nil
	}
	return follower.sink.Deliver(ctx, messenger.StreamEndReached{
		Stream: follower.stream, Next: identifier.Offset(reading.answer.Next), At: now, Reset: follower.reset,
	})
}

// handleFailure prepares the next read after a failure. It reports a log that has not
// answered for UnavailableAfter as unavailable.
func (follower *Follower) handleFailure(ctx context.Context, now time.Time, err error) error {
	switch fault := err.(type) {
	case goneError:
		// Retention has deleted the append at the position.
		follower.lastAnswerAt, follower.retryDelay = now, 0
		if fault.firstRetained <= follower.position {
			// The answer is contradictory, and so may be the next one: retry after a delay.
			follower.retryDelay = minRetryDelay
		}
		follower.position, follower.reset = fault.firstRetained, true
		return nil
	case tooLargeError:
		follower.limit = max(follower.limit/4, 1)
	}
	follower.retryDelay = min(max(2*follower.retryDelay, minRetryDelay), maxRetryDelay)
	if now.Sub(follower.lastAnswerAt) < follower.parameters.UnavailableAfter || now.Sub(follower.lastReportAt) < follower.parameters.UnavailableAfter {
		return nil
	}
	follower.lastReportAt = now
	return follower.sink.Deliver(ctx, messenger.StreamUnavailable{Stream: follower.stream, Since: follower.lastAnswerAt})
}
