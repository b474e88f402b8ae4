package tailer

import "time"

const (
	// minPageTimeout and maxPageTimeout bound the time without progress of a page. A store that
	// accepts connections and answers none is detected only by that.
	minPageTimeout = 1500 * time.Millisecond
	maxPageTimeout = 12 * time.Second
	// pageTimeoutDivisor is the part of the time spent on stalled requests that the next one may
	// take. With a larger part, a listing would go on much later after a short outage.
	pageTimeoutDivisor = 4
)

// pageTimeout is the time without progress after which a page is given up. It grows while
// requests for the page stall: with a fixed timeout, a store that needs longer for a page would
// begin it again for ever, and the node would never be ready. It does not shrink within a listing,
// because the other pages probably need as long.
type pageTimeout struct {
	timeout time.Duration
	// stalled is the time spent on requests for the current page that stalled.
	stalled time.Duration
}

// current returns the timeout of the next request.
func (pageTimeout *pageTimeout) current() time.Duration {
	return max(pageTimeout.timeout, minPageTimeout)
}

// recordFailure records a failed request. One that fails before its timeout, such as a refused
// connection, does not show that the store needs longer.
func (pageTimeout *pageTimeout) recordFailure(elapsed time.Duration) {
	if elapsed < pageTimeout.current() {
		return
	}
	pageTimeout.stalled += elapsed
	pageTimeout.timeout = min(max(pageTimeout.current(), pageTimeout.stalled/pageTimeoutDivisor), maxPageTimeout)
}

// recordSuccess records a page that has arrived.
func (pageTimeout *pageTimeout) recordSuccess() { pageTimeout.stalled = 0 }
