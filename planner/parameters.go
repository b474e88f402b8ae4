package planner

import "time"

// Bounds are limits that the platform guarantees or requires. They come from
// the settings.
type Bounds struct {
	// MaxLease is the longest lease that a minion grants.
	MaxLease time.Duration
	// StopTimeout bounds the time from the order to stop a run until its end.
	StopTimeout time.Duration
	// StatusRetention is how long the state of an ended job stays readable.
	StatusRetention time.Duration
	// MaintenanceTime is how long a VM is unavailable for its maintenance.
	MaintenanceTime time.Duration
	// ReclaimTime is the time within which guaranteed work must have started.
	ReclaimTime time.Duration
	// MaxRuns limits the runs that the holder has at the same time, zero for any number. After a
	// takeover it may have more, of which none is stopped.
	MaxRuns int
	// EvacuationTime is the time from the request for the evacuation of a failure domain until
	// no run may be started there, zero if the deployment has no evacuations.
	EvacuationTime time.Duration
}

// Features are the rules that a deployment enables. Each is off by default.
type Features struct {
	// GangReservations lets gangs collect their places while capacity is short.
	GangReservations bool
	// LossAwareStops chooses the runs to be stopped by the work that is lost.
	LossAwareStops bool
	// EarlyRefusals publishes the expected waits of the queues, by which entry VMs refuse jobs.
	EarlyRefusals bool
	// MinionProfiles uses what minions did with earlier runs: which get new work, which runs move and
	// which tasks are copied.
	MinionProfiles bool
	// UrgentHeadroom keeps capacity free for urgent jobs while capacity is short.
	UrgentHeadroom bool
}

// Leases.
const (
	// leaseDuration is longer than a takeover (about 2 s), and short enough that
	// work on an unreachable minion soon starts elsewhere.
	leaseDuration = 4500 * time.Millisecond
	// minClockRate is the lowest rate of a minion's clock relative to this node's.
	minClockRate = 0.98
	// slowClockFactor is the duration of a second of such a clock in seconds of
	// this node's clock, rounded up.
	slowClockFactor = 1.0625
	// maxReportAge is how long after the last reading of the minions' reports tasks are
	// started on minions that do not guard their capacity. A reading without news takes 1 s,
	// and counts from when it was requested.
	maxReportAge = 3 * time.Second
	// maxSilence is the time since the last answer of a minion that is listed in the store
	// after which its runs are given up although it may be alive.
	maxSilence = 12 * time.Second
	// leaseExpiryMargin is added before a lease counts as expired.
	leaseExpiryMargin = 100 * time.Millisecond
)

// Polls and orders.
const (
	// maxPollWait is how long a poll waits for a run to end. Each poll has a cost,
	// and three of them fit into a lease.
	maxPollWait = 1200 * time.Millisecond
	// unrecordedPollDelay is the time between polls while listed ends wait to be
	// recorded. A poll with a wait would return at once, because those ends are
	// still listed.
	unrecordedPollDelay = 900 * time.Millisecond
	// pollRetryDelay is the time before a poll without an answer is repeated.
	pollRetryDelay = 200 * time.Millisecond
	// maxIdleRetryDelay bounds the time between polls of an unresponsive minion that
	// runs nothing. Together with answerTimeout it leaves the minion unused for less
	// than 3 s after it can be reached again.
	maxIdleRetryDelay = 1600 * time.Millisecond
	// idlePollInterval is the time between polls of an idle minion with an outstanding start.
	idlePollInterval = time.Second
	// answerTimeout bounds the time of an order beyond its requested wait. It
	// covers two round trips between regions, a new connection and a full ring of
	// orders.
	answerTimeout = 800 * time.Millisecond
	// maxPendingOrders is the number of unanswered starts and stops from which on
	// no more tasks are placed, so that answers do not wait behind a burst.
	maxPendingOrders = 192
	// maxOrderDelay is how long after it was sent an order without an answer may still be
	// carried out.
	maxOrderDelay = 15 * time.Second
	// orderLifetime is how long an order may wait in the ring before it expires.
	orderLifetime = 800 * time.Millisecond
	// stopRetryDelay is the time before a stop that failed is repeated.
	stopRetryDelay = 200 * time.Millisecond
	// maxStartAttempts is how often a start without an answer is sent before its
	// run is stopped.
	maxStartAttempts = 3
)

// Scheduling.
const (
	// minPassInterval is the minimum time between two passes over the waiting
	// steps, so that a burst of events causes few passes.
	minPassInterval = 8 * time.Millisecond
	// passIntervalPerStep and passIntervalPerMinion are added for each waiting step and
	// each minion, up to maxPassInterval, because a pass looks at all of them. Polls and
	// answers thus keep their share of the processor.
	passIntervalPerStep   = 150 * time.Microsecond
	passIntervalPerMinion = 10 * time.Microsecond
	maxPassInterval       = 120 * time.Millisecond
	// idleInterval is the maximum time between two checks of leases and waiting
	// work.
	idleInterval = 250 * time.Millisecond
	// refusedStartDelay is the time before a task is started again after a minion
	// has refused it.
	refusedStartDelay = 150 * time.Millisecond
	// minNoCapacityDelay and maxNoCapacityDelay bound how long a minion that refused a
	// run for lack of capacity gets no further runs.
	minNoCapacityDelay = 300 * time.Millisecond
	maxNoCapacityDelay = 5 * time.Second
	// maxJobsPerRecord limits the jobs in one record of progress.
	maxJobsPerRecord = 48
	// recordRetryDelay is the time before a record without an answer is repeated.
	recordRetryDelay = 100 * time.Millisecond
	// minFenceRetryDelay and maxFenceRetryDelay bound the time before a refused fence
	// of the journal is repeated.
	minFenceRetryDelay = 50 * time.Millisecond
	maxFenceRetryDelay = 400 * time.Millisecond
)

// claimValidity is how long after its confirmation a claim allows new starts.
const claimValidity = 1100 * time.Millisecond
