// Package tailer follows the keyed topics of the platform's store. A Tailer is
// a duty: it lists the newest records once, then reads what follows.
package tailer

import (
	"context"
	"sync/atomic"
	"time"

	"corianderroad/buffer"
	"corianderroad/classifier"
	"corianderroad/identifier"
)

// Times of a Tailer.
const (
	// answerSlack is added to the wait of a read: a connection that went silent
	// shows only by its answer not coming.
	answerSlack = 800 * time.Millisecond
	// shortListTimeout bounds a page of a listing unless the options say more.
	shortListTimeout = 1500 * time.Millisecond
	// probeWait is how long a read waits after one that failed, so that its answer
	// tells soon that the store is back.
	probeWait   = 100 * time.Millisecond
	firstPause  = 50 * time.Millisecond
	longestStop = 400 * time.Millisecond
)

// Record is the newest record of a key. A nil value means that the key was deleted.
type Record struct {
	Offset identifier.Offset
	Key    string
	Value  []byte
}

// Log reads the platform's store. Its errors carry codes; HistoryTrimmed means
// that the records from that offset on are gone. It must be safe for
// concurrent use.
type Log interface {
	// Newest returns the newest records of the keys that follow the given one in
	// the topic's order, all for an empty key, in pages.
	Newest(ctx context.Context, topic identifier.Topic, after string) (Page, error)
	// Read waits for records from an offset on, and returns none if none came.
	Read(ctx context.Context, topic identifier.Topic, from identifier.Offset, wait time.Duration) (records []Record, end identifier.Offset, err error)
}

// Page is a part of a listing.
type Page struct {
	Records []Record
	// End is the end of the topic when the page was made.
	End identifier.Offset
	// More means that keys follow the last one of the page.
	More bool
}

// Reading is the result of one successful call.
type Reading struct {
	Records []Record
	End     identifier.Offset
	// Whole means that Records holds the newest record of every key.
	Whole bool
	// SentAt is when the call was sent.
	SentAt time.Time
	// RoundTrip is how long a listing took, zero for other calls.
	RoundTrip time.Duration
}

// Sink takes what a Tailer reads. An error ends the duty.
type Sink interface {
	Deliver(ctx context.Context, reading Reading) error
	Fail(ctx context.Context, err error) error
}

// Options are those of one Tailer.
type Options struct {
	Topic identifier.Topic
	// Wait is how long a read waits for records.
	Wait time.Duration
	// Pace is the least time from one read to the next, so that many small
	// records come in few reads. SetPace changes it.
	Pace time.Duration
	// ListTimeout bounds one page of a listing, 0 for a time that suits short ones.
	ListTimeout time.Duration
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

	on   bool
	from identifier.Offset
	// pages holds what was listed so far. A page that fails is asked for again,
	// because many nodes that start at once fill the link to the store.
	pages listing
	// listed holds the offsets of the newest listing while older records of the
	// same keys may still come.
	listed  map[string]identifier.Offset
	whole   bool
	stopped time.Duration
}

// New returns a Tailer that delivers to sink.
func New(options Options, log Log, sink Sink, clock func() time.Time) *Tailer {
	tailer := &Tailer{
		options: options, log: log, sink: sink, clock: clock, on: !options.Paused,
		follow: buffer.New[bool](string(options.Topic)+"-follow", followCapacity),
	}
	tailer.SetPace(options.Pace)
	return tailer
}

// followCapacity bounds the orders to follow or not that wait for a read to end.
const followCapacity = 8

// SetPace changes the least time from one read to the next. It takes effect
// after the pause that may be under way. SetPace is safe for concurrent use.
func (tailer *Tailer) SetPace(pace time.Duration) { tailer.pace.Store(int64(pace)) }

// Follow starts or stops the reading. A start begins with a listing.
func (tailer *Tailer) Follow(ctx context.Context, on bool) error { return tailer.follow.Put(ctx, on) }

// Run reads until the context ends, and returns the context's or the sink's error.
func (tailer *Tailer) Run(ctx context.Context) error {
	for {
		if err := tailer.await(ctx); err != nil {
			return err
		}
		started := tailer.clock()
		pause := time.Duration(tailer.pace.Load())
		if err := tailer.read(ctx, started); err != nil {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err := tailer.sink.Fail(ctx, err); err != nil {
				return err
			}
			pause = tailer.backOff()
		} else {
			tailer.stopped = 0
		}
		if err := tailer.sleep(ctx, pause-tailer.clock().Sub(started)); err != nil {
			return err
		}
	}
}

// await takes the orders to follow or not, and waits while not following.
func (tailer *Tailer) await(ctx context.Context) error {
	for {
		select {
		case on := <-tailer.follow.Entries():
			tailer.turn(on)
			continue
		default:
		}
		if tailer.on {
			return nil
		}
		select {
		case on := <-tailer.follow.Entries():
			tailer.turn(on)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (tailer *Tailer) turn(on bool) {
	tailer.on = on
	tailer.whole = false
	tailer.pages = listing{}
}

func (tailer *Tailer) read(ctx context.Context, started time.Time) error {
	if !tailer.whole {
		return tailer.list(ctx, started)
	}
	wait := tailer.options.Wait
	if tailer.stopped > 0 {
		wait = min(wait, probeWait)
	}
	bounded, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	records, end, err := tailer.log.Read(bounded, tailer.options.Topic, tailer.from, wait)
	if classifier.CodeOf(err) == classifier.HistoryTrimmed {
		tailer.whole = false
		return nil
	}
	if err != nil {
		return err
	}
	tailer.from = end
	return tailer.sink.Deliver(ctx, Reading{Records: tailer.unseen(records), End: end, SentAt: started})
}

// listing is the pages of a listing that is not complete.
type listing struct {
	records []Record
	// end is the end of the topic at the first page, after the last key.
	end   identifier.Offset
	after string
	begun time.Time
}

func (tailer *Tailer) list(ctx context.Context, started time.Time) error {
	pages := &tailer.pages
	for more := true; more; {
		page, err := tailer.page(ctx, pages.after)
		if err != nil {
			return err
		}
		if pages.after == "" {
			*pages = listing{end: page.End, begun: started}
		}
		pages.records = append(pages.records, page.Records...)
		more = page.More && len(page.Records) > 0
		if more {
			pages.after = page.Records[len(page.Records)-1].Key
		}
	}
	tailer.listed = make(map[string]identifier.Offset)
	for _, record := range pages.records {
		if record.Offset >= pages.end {
			tailer.listed[record.Key] = record.Offset
		}
	}
	reading := Reading{
		Records: pages.records, End: pages.end, Whole: true, SentAt: pages.begun, RoundTrip: tailer.clock().Sub(pages.begun),
	}
	tailer.from, tailer.whole, tailer.pages = pages.end, true, listing{}
	return tailer.sink.Deliver(ctx, reading)
}

func (tailer *Tailer) page(ctx context.Context, after string) (Page, error) {
	timeout := tailer.options.ListTimeout
	if timeout == 0 {
		timeout = shortListTimeout
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return tailer.log.Newest(bounded, tailer.options.Topic, after)
}

// unseen leaves out records that a listing has already replaced by newer ones.
func (tailer *Tailer) unseen(records []Record) []Record {
	if len(tailer.listed) == 0 {
		return records
	}
	kept := records[:0]
	for _, record := range records {
		if newest, ok := tailer.listed[record.Key]; ok {
			if record.Offset < newest {
				continue
			}
			delete(tailer.listed, record.Key)
		}
		kept = append(kept, record)
	}
	return kept
}

func (tailer *Tailer) backOff() time.Duration {
	tailer.stopped = min(max(2*tailer.stopped, firstPause), longestStop)
	return tailer.stopped
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
