// Package tailer follows the keyed topics of the platform's store. A Tailer is
// a duty: it lists the newest records once, then reads the records after them.
package tailer

import (
	"context"
	"sync/atomic"
	"time"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/identifier"
)

// Durations of a Tailer.
const (
	// readStallTimeout bounds the time without progress of a read. A connection that no
	// longer responds is detected only by that.
	readStallTimeout = 800 * time.Millisecond
	// retryStallTimeout is that of a read after a failed one. On a full link with a
	// long queue an answer does not begin sooner.
	retryStallTimeout = 1600 * time.Millisecond
	// probeReadWait bounds the wait of a read that follows a failed one, so that its
	// answer soon shows that the store is available again.
	probeReadWait  = 100 * time.Millisecond
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
)

// Record is the newest record of a key. A nil value means that the key was deleted.
type Record struct {
	Offset identifier.Offset
	Key    string
	Value  []byte
}

// Log reads the platform's store. Its errors carry codes: HistoryTrimmed means that
// the record at the requested offset is no longer retained. A Log must be safe for
// concurrent use.
//
// A call fails when the store sends nothing for the stall timeout, but goes on as
// long as an answer arrives. If the time of the whole answer were bounded, many
// nodes that receive a large record over one link would all begin again before any
// of them has it, and keep the link full.
type Log interface {
	// Newest returns a page of the newest records of the keys that come after the
	// given one in the topic's order. An empty key requests the first page.
	Newest(ctx context.Context, topic identifier.Topic, after string, stallTimeout time.Duration) (Page, error)
	// Read waits for records from an offset on. It returns none if none arrive in
	// the given time, and may leave out the last ones.
	Read(ctx context.Context, topic identifier.Topic, from identifier.Offset, wait, stallTimeout time.Duration) (Batch, error)
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// Next is the offset after the last record of the batch, End that after the last
	// one of the topic.
	Next, End identifier.Offset
}

// Page is a part of a listing.
type Page struct {
	Records []Record
	// End is the end of the topic when the page was created.
	End identifier.Offset
	// More means that there are keys after the last one of the page.
	More bool
}

// Reading is the result of one successful call.
type Reading struct {
	Records []Record
	End     identifier.Offset
	// Complete means that Records holds the newest record of every key. It has one without
	// a value for each key that was delivered before and has been deleted since.
	Complete bool
	// SentAt is a time before which no record was acknowledged that has not been
	// delivered: that of the call, or of an earlier one if this one is not complete.
	SentAt time.Time
	// RoundTrip is how long a listing took, zero for other calls.
	RoundTrip time.Duration
}

// Sink receives the results and failures of a Tailer's calls. An error of the sink
// ends the duty.
type Sink interface {
	Deliver(ctx context.Context, reading Reading) error
	Fail(ctx context.Context, err error) error
}

// Options configure a Tailer.
type Options struct {
	Topic identifier.Topic
	// Wait is how long a read waits for records.
	Wait time.Duration
	// Pace is the minimum time between the starts of two reads, so that many small
	// records are read in few calls. SetPace changes it.
	Pace time.Duration
	// RefreshPace is that time for a read that Refresh has requested.
	RefreshPace time.Duration
	// Paused means that the Tailer waits for Follow(true) before it reads.
	Paused bool
}

// Tailer follows one topic.
type Tailer struct {
	options Options
	log     Log
	sink    Sink
	clock   func() time.Time
	follow  *buffer.Ring[bool]
	pace    atomic.Int64 // nanoseconds
	pause   pause

	following bool
	next      identifier.Offset
	// partial holds the pages listed so far. After a failure only the failed page is
	// requested again, because many nodes that start at once fill the link to the
	// store.
	partial partialListing
	// pageTimeout is that of the listing's next page.
	pageTimeout pageTimeout
	// listedOffsets holds the offsets of listed records that were written after the
	// first page, until reads have passed the older records of the same keys.
	listedOffsets map[string]identifier.Offset
	// isListed means that a listing is complete and reads continue at next.
	isListed bool
	coverage coverage
	keys     keys
	backoff  time.Duration
}

// New returns a Tailer that delivers to sink.
func New(options Options, log Log, sink Sink, clock func() time.Time) *Tailer {
	tailer := &Tailer{
		options: options, log: log, sink: sink, clock: clock, following: !options.Paused,
		follow: buffer.New[bool](string(options.Topic)+"-follow", followCapacity),
		pause:  pause{requests: buffer.New[struct{}](string(options.Topic)+"-refresh", 1)}, keys: make(keys),
	}
	tailer.SetPace(options.Pace)
	return tailer
}

// followCapacity bounds the calls of Follow that wait for a read to end.
const followCapacity = 8

// SetPace changes the minimum time between the starts of two reads. It takes
// effect after the current pause. SetPace is safe for concurrent use.
func (tailer *Tailer) SetPace(pace time.Duration) { tailer.pace.Store(int64(pace)) }

// Follow starts or stops reading. Each start begins with a listing.
func (tailer *Tailer) Follow(ctx context.Context, enabled bool) error {
	return tailer.follow.Put(ctx, enabled)
}

// Run reads until the context ends, and returns the context's or the sink's error.
func (tailer *Tailer) Run(ctx context.Context) error {
	for {
		if err := tailer.waitUntilFollowing(ctx); err != nil {
			return err
		}
		started := tailer.clock()
		if err := tailer.read(ctx, started); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err := tailer.sink.Fail(ctx, err); err != nil {
				return err
			}
			if err := tailer.sleep(ctx, tailer.increaseBackoff()-tailer.clock().Sub(started)); err != nil {
				return err
			}
			continue
		}
		tailer.backoff = 0
		if err := tailer.awaitNextRead(ctx, started); err != nil {
			return err
		}
	}
}

// waitUntilFollowing applies the calls of Follow, and blocks while the Tailer does
// not follow the topic.
func (tailer *Tailer) waitUntilFollowing(ctx context.Context) error {
	for {
		select {
		case enabled := <-tailer.follow.Entries():
			tailer.setFollowing(enabled)
			continue
		default:
		}
		if tailer.following {
			return nil
		}
		select {
		case enabled := <-tailer.follow.Entries():
			tailer.setFollowing(enabled)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (tailer *Tailer) setFollowing(enabled bool) {
	tailer.following = enabled
	tailer.isListed = false
	tailer.partial, tailer.pageTimeout = partialListing{}, pageTimeout{}
	clear(tailer.keys)
}

func (tailer *Tailer) read(ctx context.Context, started time.Time) error {
	if !tailer.isListed {
		return tailer.list(ctx, started)
	}
	wait, stallTimeout := tailer.options.Wait, readStallTimeout
	if tailer.backoff > 0 {
		wait, stallTimeout = min(wait, probeReadWait), retryStallTimeout
	}
	batch, err := tailer.log.Read(ctx, tailer.options.Topic, tailer.next, wait, stallTimeout)
	if classifier.CodeOf(err) == classifier.HistoryTrimmed {
		tailer.isListed = false
		return nil
	}
	if err != nil {
		return err
	}
	tailer.next = batch.Next
	tailer.coverage.add(batch, started)
	tailer.keys.add(batch.Records)
	return tailer.sink.Deliver(ctx, Reading{Records: tailer.dropSuperseded(batch.Records), End: batch.Next, SentAt: tailer.coverage.until})
}

// partialListing holds the pages of a listing that is not complete.
type partialListing struct {
	records []Record
	// end is the end of the topic at the first page.
	end identifier.Offset
	// after is the last key of the newest page.
	after string
	begun time.Time
}

func (tailer *Tailer) list(ctx context.Context, started time.Time) error {
	listing := &tailer.partial
	for more := true; more; {
		page, err := tailer.requestPage(ctx, listing.after)
		if err != nil {
			return err
		}
		if listing.after == "" {
			*listing = partialListing{end: page.End, begun: started}
		}
		if page.More && len(page.Records) == 0 {
			return classifier.New(classifier.CorruptAnswer, "list of %s: the page after key %q is empty, and more follow", tailer.options.Topic, listing.after)
		}
		listing.records = append(listing.records, page.Records...)
		more = page.More
		if more {
			after := nextAfter(page.Records)
			if after == listing.after {
				*listing = partialListing{}
				return classifier.New(classifier.CorruptAnswer, "list of %s: the page after key %q ends with the same key", tailer.options.Topic, after)
			}
			listing.after = after
		}
	}
	tailer.listedOffsets = make(map[string]identifier.Offset)
	for _, record := range listing.records {
		if record.Offset >= listing.end {
			tailer.listedOffsets[record.Key] = record.Offset
		}
	}
	records := listing.records
	if listing.end >= tailer.next { // otherwise it is not a later state of the topic
		records = append(records, tailer.keys.deletions(listing)...)
	}
	tailer.keys.add(records)
	reading := Reading{
		Records: records, End: listing.end, Complete: true, SentAt: listing.begun, RoundTrip: tailer.clock().Sub(listing.begun),
	}
	tailer.coverage = coverage{until: listing.begun}
	tailer.next, tailer.isListed, tailer.partial, tailer.pageTimeout = listing.end, true, partialListing{}, pageTimeout{}
	return tailer.sink.Deliver(ctx, reading)
}

// requestPage returns the page after a key.
func (tailer *Tailer) requestPage(ctx context.Context, after string) (Page, error) {
	sentAt := tailer.clock()
	page, err := tailer.log.Newest(ctx, tailer.options.Topic, after, tailer.pageTimeout.current())
	if err != nil {
		tailer.pageTimeout.recordFailure(tailer.clock().Sub(sentAt))
		return Page{}, err
	}
	tailer.pageTimeout.recordSuccess()
	return page, nil
}

// dropSuperseded removes records for whose keys a listing has returned newer ones.
func (tailer *Tailer) dropSuperseded(records []Record) []Record {
	if len(tailer.listedOffsets) == 0 {
		return records
	}
	kept := records[:0]
	for _, record := range records {
		if newest, ok := tailer.listedOffsets[record.Key]; ok {
			if record.Offset < newest {
				continue
			}
			delete(tailer.listedOffsets, record.Key)
		}
		kept = append(kept, record)
	}
	return kept
}

func (tailer *Tailer) increaseBackoff() time.Duration {
	tailer.backoff = min(max(2*tailer.backoff, initialBackoff), maxBackoff)
	return tailer.backoff
}

func (tailer *Tailer) sleep(ctx context.Context, pause time.Duration) error {
	if pause <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nextAfter returns the key after which the next page begins. An empty key would
// request the first page again, so that the lowest key after it takes its place.
func nextAfter(records []Record) string {
	if last := records[len(records)-1].Key; last != "" {
		return last
	}
	return "\x00"
}
