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
	listTimeout = 1500 * time.Millisecond
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
	// Newest returns the newest record of each key. The end is that of the
	// topic at the start of the listing.
	Newest(ctx context.Context, topic identifier.Topic) (records []Record, end identifier.Offset, err error)
	// Read waits for records from an offset on, and returns none if none came.
	Read(ctx context.Context, topic identifier.Topic, from identifier.Offset, wait time.Duration) (records []Record, end identifier.Offset, err error)
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
}

func (tailer *Tailer) read(ctx context.Context, started time.Time) error {
	if !tailer.whole {
		return tailer.list(ctx, started)
	}
	bounded, cancel := context.WithTimeout(ctx, tailer.options.Wait+answerSlack)
	defer cancel()
	records, end, err := tailer.log.Read(bounded, tailer.options.Topic, tailer.from, tailer.options.Wait)
	if classifier.Of(err) == classifier.HistoryTrimmed {
		tailer.whole = false
		return nil
	}
	if err != nil {
		return err
	}
	tailer.from = end
	return tailer.sink.Deliver(ctx, Reading{Records: tailer.unseen(records), End: end, SentAt: started})
}

func (tailer *Tailer) list(ctx context.Context, started time.Time) error {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, end, err := tailer.log.Newest(bounded, tailer.options.Topic)
	if err != nil {
		return err
	}
	tailer.listed = make(map[string]identifier.Offset)
	for _, record := range records {
		if record.Offset >= end {
			tailer.listed[record.Key] = record.Offset
		}
	}
	tailer.from = end
	tailer.whole = true
	return tailer.sink.Deliver(ctx, Reading{
		Records: records, End: end, Whole: true, SentAt: started, RoundTrip: tailer.clock().Sub(started),
	})
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
