package assembler

import (
	"net/http"
	"sync/atomic"
	"time"

	"corianderroad/classifier"
)

// silentAfter is the time without a completed read of the journal after which
// the balancer should send new clients elsewhere.
const silentAfter = 2200 * time.Millisecond

// readiness tells the balancer whether this node should get new clients.
type readiness struct {
	draining atomic.Bool
	// journalAt is when the journal was last read, in nanoseconds since 1970.
	journalAt atomic.Int64
}

// dependency is a topic of the store as one reader sees it. Only the reader's
// goroutine touches it.
type dependency struct {
	topic string
	// lostAt is when reads began to fail, zero while they succeed.
	lostAt time.Time
}

// heard notes a completed read.
func (dependency *dependency) heard(assembler *Assembler) {
	if !dependency.lostAt.IsZero() {
		assembler.journal.dependency("regained", dependency.topic, "", assembler.clock().Sub(dependency.lostAt))
		dependency.lostAt = time.Time{}
	}
}

// lost notes a failed read. Only the first of a series is written.
func (dependency *dependency) lost(assembler *Assembler, err error) {
	assembler.exporter.CountIO("read-"+dependency.topic, classifier.CodeOf(err).Name())
	if dependency.lostAt.IsZero() {
		dependency.lostAt = assembler.clock()
		assembler.journal.dependency("lost", dependency.topic, err.Error(), 0)
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
