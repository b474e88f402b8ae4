package server

import (
	"sync/atomic"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// staleAfter is the time without word from the log or a peer after which the
// configuration may no longer be the one in force elsewhere. It is the bound
// within which a publication takes effect everywhere.
const staleAfter = 7 * time.Second

// readiness tells the balancer whether this node should get calls. It is
// written by several duties and therefore made of atomic values only.
type readiness struct {
	clock    func() time.Time
	start    time.Time
	heard    atomic.Int64 // time since start of the newest word, in nanoseconds
	applied  atomic.Bool
	draining atomic.Bool
	read     [3]atomic.Bool // by stream, in the order of streams()
}

func newReadiness(clock func() time.Time) *readiness {
	return &readiness{clock: clock, start: clock()}
}

// hear notes an event that shows that the log or a peer is in contact.
func (readiness *readiness) hear(event messenger.Event) {
	switch event := event.(type) {
	case messenger.StreamEndReached:
		for index, stream := range streams() {
			if stream == event.Stream {
				readiness.read[index].Store(true)
			}
		}
	case messenger.AppendRead, messenger.PeerReceived:
	default:
		return
	}
	readiness.heard.Store(int64(readiness.clock().Sub(readiness.start)))
}

// Check returns nil, or an error with code NotReady or Leaving.
func (readiness *readiness) Check() error {
	if readiness.draining.Load() {
		return classifier.New(classifier.Leaving, "this node is shutting down")
	}
	if !readiness.applied.Load() {
		for index, stream := range streams() {
			if !readiness.read[index].Load() {
				return classifier.New(classifier.NotReady, "stream %q is not yet read", identifier.Stream(stream))
			}
		}
	}
	silence := readiness.clock().Sub(readiness.start) - time.Duration(readiness.heard.Load())
	if silence > staleAfter {
		return classifier.New(classifier.NotReady, "neither the log nor a peer was heard for %s", silence.Round(time.Second))
	}
	return nil
}
