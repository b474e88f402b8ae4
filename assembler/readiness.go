package assembler

import (
	"net/http"
	"sync/atomic"
	"time"

	"corianderroad/classifier"
)

// journalStaleAfter is the time without a successful read of the journal after
// which the node reports that it is not ready for new clients.
const journalStaleAfter = 2200 * time.Millisecond

// readiness holds the state that decides whether this node is ready for new clients.
type readiness struct {
	draining atomic.Bool
	// journalReadAt is when the journal was last read, in nanoseconds since 1970.
	journalReadAt atomic.Int64
}

// dependency records whether the reads of one topic of the store succeed. Only the
// goroutine of the topic's tailer uses it.
type dependency struct {
	topic string
	// lostAt is when reads began to fail. It is zero while they succeed.
	lostAt time.Time
}

// recordSuccess records a successful read.
func (dependency *dependency) recordSuccess(assembler *Assembler) {
	if !dependency.lostAt.IsZero() {
		assembler.decisionLog.logDependency("regained", dependency.topic, "", assembler.clock().Sub(dependency.lostAt))
		dependency.lostAt = time.Time{}
	}
}

// recordFailure records a failed read. Only the first failure of a series is logged.
func (dependency *dependency) recordFailure(assembler *Assembler, err error) {
	assembler.exporter.CountIO("read-"+dependency.topic, classifier.CodeOf(err).Name())
	if dependency.lostAt.IsZero() {
		dependency.lostAt = assembler.clock()
		assembler.decisionLog.logDependency("lost", dependency.topic, err.Error(), 0)
	}
}

// isReady reports whether the node is ready for new clients.
func (assembler *Assembler) isReady() bool {
	now := assembler.clock()
	current := assembler.authorizer.Load()
	return !assembler.readiness.draining.Load() && current != nil && current.IsFresh(now) &&
		now.UnixNano()-assembler.readiness.journalReadAt.Load() < int64(journalStaleAfter)
}

// serveReadiness answers the health checks of the balancer.
func (assembler *Assembler) serveReadiness(writer http.ResponseWriter, _ *http.Request) {
	if assembler.isReady() {
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}
