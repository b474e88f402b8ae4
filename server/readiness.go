package server

import (
	"sync/atomic"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// staleAfter is the time without contact to the log or a peer after which other
// nodes may use a newer configuration than this node. It is the bound within which
// a publication takes effect on all nodes.
const staleAfter = 7 * time.Second

// readiness decides whether this node is ready for calls. Its fields are atomic
// because several duties write them.
type readiness struct {
	clock       func() time.Time
	start       time.Time
	lastContact atomic.Int64 // time from start to the newest contact, in nanoseconds
	configured  atomic.Bool  // a configuration is in force
	draining    atomic.Bool
	readToEnd   [3]atomic.Bool // by stream, in the order of streams()
}

func newReadiness(clock func() time.Time) *readiness {
	return &readiness{clock: clock, start: clock()}
}

// recordContact records which streams have been read to their end, and the time of
// the newest event that shows contact to the log or a peer.
func (readiness *readiness) recordContact(event messenger.Event) {
	switch event := event.(type) {
	case messenger.StreamEndReached:
		for index, stream := range streams() {
			if stream == event.Stream {
				readiness.readToEnd[index].Store(true)
			}
		}
	case messenger.AppendRead, messenger.PeerReceived:
	default:
		return
	}
	readiness.lastContact.Store(int64(readiness.clock().Sub(readiness.start)))
}

// Check returns nil, or an error with code NotReady or Leaving.
func (readiness *readiness) Check() error {
	if readiness.draining.Load() {
		return classifier.New(classifier.Leaving, "this node is shutting down")
	}
	if !readiness.configured.Load() {
		for index, stream := range streams() {
			if !readiness.readToEnd[index].Load() {
				return classifier.New(classifier.NotReady, "stream %q has not been read to its end yet", identifier.Stream(stream))
			}
		}
	}
	sinceContact := readiness.clock().Sub(readiness.start) - time.Duration(readiness.lastContact.Load())
	if sinceContact > staleAfter {
		return classifier.New(classifier.NotReady, "no contact to the log or a peer for %s", sinceContact.Round(time.Second))
	}
	return nil
}
