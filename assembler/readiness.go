package assembler

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
)

// silentAfter is the time without a completed read of the journal after which
// the balancer should send new clients elsewhere.
const silentAfter = 2200 * time.Millisecond

// readiness tells the balancer whether this node should get new clients.
type readiness struct {
	draining atomic.Bool
	// journalAt is when the journal was last read, in nanoseconds since 1970.
	journalAt atomic.Int64

	mutex  sync.Mutex
	failed map[identifier.Topic]time.Time
}

// heard notes a completed read of a topic.
func (assembler *Assembler) heard(topic identifier.Topic) {
	now := assembler.clock()
	if topic == identifier.Journal {
		assembler.readiness.journalAt.Store(now.UnixNano())
	}
	readiness := &assembler.readiness
	readiness.mutex.Lock()
	since, failed := readiness.failed[topic]
	delete(readiness.failed, topic)
	readiness.mutex.Unlock()
	if failed {
		assembler.journal.dependency("regained", topic, "", now.Sub(since))
	}
}

// lost notes a failed read of a topic.
func (assembler *Assembler) lost(topic identifier.Topic, err error) {
	now := assembler.clock()
	assembler.exporter.CountIO("read-"+string(topic), classifier.Of(err).Name())
	readiness := &assembler.readiness
	readiness.mutex.Lock()
	if readiness.failed == nil {
		readiness.failed = make(map[identifier.Topic]time.Time)
	}
	_, known := readiness.failed[topic]
	if !known {
		readiness.failed[topic] = now
	}
	readiness.mutex.Unlock()
	if !known {
		assembler.journal.dependency("lost", topic, err.Error(), 0)
	}
}

// ready reports whether new clients are welcome.
func (assembler *Assembler) ready() bool {
	now := assembler.clock()
	known := assembler.authorizer.Load()
	return !assembler.readiness.draining.Load() && known != nil && known.Fresh(now) &&
		now.UnixNano()-assembler.readiness.journalAt.Load() < int64(silentAfter)
}

// serveReadiness answers the balancer.
func (assembler *Assembler) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if assembler.ready() {
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}
