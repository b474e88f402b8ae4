package planner

import "time"

// Bounds are what the platform promises or demands. They come from the
// settings.
type Bounds struct {
	// LongestLease is the longest lease that a minion grants.
	LongestLease time.Duration
	// StopTimeout bounds the end of a run that was told to stop.
	StopTimeout time.Duration
	// StatusKept is how long the state of an ended job stays readable.
	StatusKept time.Duration
	// Upkeep is how long a VM is away for its upkeep.
	Upkeep time.Duration
	// Reclaim is the time within which guaranteed work must have begun.
	Reclaim time.Duration
}

// Leases.
const (
	// leaseTime survives a takeover (about 2 s) and is short enough that work on
	// a minion that went dark starts elsewhere soon.
	leaseDuration = 4500 * time.Millisecond
	// clockRate is the slowest that a minion's clock may run against ours.
	minClockRate = 0.98
	// slowestClock is how much longer a second of such a clock is, rounded up.
	slowClockFactor = 1.0625
	// lapseMargin is added before a lease counts as lapsed.
	leaseExpiryMargin = 100 * time.Millisecond
)

// Looks and orders.
const (
	// lookWait is how long a look waits for an end. Each look has its price, and
	// three of them fit into a lease.
	pollWait = 1200 * time.Millisecond
	// unrecordedLook is the time between looks while ends wait to be recorded. A
	// look that waits would return at once, because those ends are still listed.
	unrecordedPollDelay = 900 * time.Millisecond
	// lookAgain is the time before a look is repeated that brought no answer.
	pollRetryDelay = 200 * time.Millisecond
	// answerTimeout bounds an order beyond the time that it is to wait. It holds
	// two round trips between regions, a new connection and a full ring of orders.
	answerTimeout = 800 * time.Millisecond
	// ordersUnderWay bounds the starts and stops without an answer beyond which
	// nothing more is placed, so that answers do not wait behind a burst.
	maxPendingOrders = 192
	// orderLife is how long an order may wait in the ring before it is void.
	orderLifetime = 800 * time.Millisecond
	// startTries is how often a start without an answer is sent before its run is
	// stopped.
	maxStartAttempts = 3
)

// Scheduling.
const (
	// passEvery is the least time between two passes over the waiting steps, so
	// that a burst of events costs few passes.
	minPassInterval = 8 * time.Millisecond
	// passPerStep is added for each waiting step, up to longestPassPace, so that a
	// long queue does not leave the holder without time for its looks.
	passIntervalPerStep = 150 * time.Microsecond
	maxPassInterval     = 120 * time.Millisecond
	// idleTick bounds the time without a look at leases and waiting work.
	idleInterval = 250 * time.Millisecond
	// refusedPause keeps a task from being started again at once after a minion
	// has refused it.
	refusedStartDelay = 150 * time.Millisecond
	// fullPause is how long a minion that refused a run for want of room gets none.
	noCapacityDelay = 300 * time.Millisecond
	// recordLimit bounds the jobs of one record of progress.
	maxJobsPerRecord = 48
	// recordRetry is the time before a record that brought no answer is repeated.
	recordRetryDelay = 100 * time.Millisecond
)

// sureFor is how long after its confirmation a claim allows new starts.
const claimValidity = 1100 * time.Millisecond
