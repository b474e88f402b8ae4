package planner

import (
	"fmt"
	"strings"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/profiler"
	"corianderroad/reserver"
	"corianderroad/specifier"
)

// minion is one incarnation of a minion as the holder sees it.
type minion struct {
	report messenger.MinionReport
	rack   identifier.Rack
	// registered means that the minion is listed in the store.
	registered bool
	// answersUnlisted means that an answer has arrived since the store removed the newest entry, so
	// that the entry was not removed because the minion has left.
	answersUnlisted bool
	// listedIncarnation is the incarnation in the store. It differs from that of the
	// report while only an answer, or only the entry, shows a restart.
	listedIncarnation identifier.Incarnation
	// olderEntry is the newest entry of an incarnation below that of the report, nil if there is
	// none.
	olderEntry *messenger.MinionReport
	// laterLifeAt is when an answer has shown a later life whose incarnation is not known, zero
	// if none has.
	laterLifeAt time.Time
	// leavesAt is the earliest time at which a draining minion leaves, zero if it
	// does not drain.
	leavesAt time.Time

	// clock is a reading of the minion's clock, taken at clockAt or earlier.
	clock      time.Duration
	clockAt    time.Time
	leaseLimit leaseLimit

	// token is that of the orders to this life, and strayToken the highest one of the orders
	// to earlier lives that may still arrive, zero if there are none.
	token, strayToken identifier.Term
	// polled means that the minion has answered a poll with a token above strayToken.
	polled bool
	// unresponsive means that the newest order brought no answer. Leases are not
	// extended meanwhile, so that they expire.
	unresponsive      bool
	unresponsiveSince time.Time
	// idleRetryDelay is the time to the next poll while the minion is unresponsive
	// and runs nothing.
	idleRetryDelay time.Duration

	polling bool
	// nextPollAt is when the next poll is due, zero if none is scheduled.
	nextPollAt time.Time
	// isIdlePoll means that this poll is only for a start that may be outstanding, so that a
	// new run does not wait for it.
	isIdlePoll bool
	polls      *pollSchedule
	// evacuations are those of all failure domains.
	evacuations *evacuations
	// listClock is the minion's clock when it made the newest list of its runs.
	listClock time.Duration
	// recordedEnd is the last end that is recorded, processedEnd the last one that
	// was processed, and acknowledgedEnd the last one that an answered poll has acknowledged.
	recordedEnd, processedEnd, acknowledgedEnd uint64
	// ignored are the ends that must not be recorded.
	ignored ignoredEnds

	runs map[runKey]*run
	used specifier.Resources
	// hasUnknownRuns means that the newest answer lists runs of unknown tasks, which are
	// being stopped and whose capacity is unknown.
	hasUnknownRuns bool
	// reserved is the capacity that reservations withhold from other steps.
	reserved specifier.Resources
	// coldUntil is until when the minion works slowly after its start, zero if it does not.
	// isCold means, as of the last pass, that it ranks after others for that reason.
	coldUntil time.Time
	isCold    bool
	// probedAt is the time of the last pass if the minion was half-open then, zero otherwise.
	probedAt time.Time
	// isHeadroom means, as of the last pass, that only urgent work is started on the minion.
	isHeadroom bool
	// nameIndex is the minion's index in the order of names, as of the last pass.
	nameIndex int
	// noCapacityUntil is the time until which a minion that refused a run for lack
	// of capacity gets no further runs.
	noCapacityUntil time.Time
	// noCapacityDelay is the length of that time. It grows until a start is carried
	// out.
	noCapacityDelay time.Duration
	health          health
	// profile is how the minion carries out work. condition is the judgement of it, and isAvoided
	// whether runs are kept from the minion for it, as of the last check.
	profile   profiler.Profile
	condition profiler.Condition
	isAvoided bool
	// speedFactor is the minion's speed as a ratio to the usual one, zero before the first check.
	speedFactor float64
	// closedForMaintenance means that no run is started on the minion because its
	// VM awaits maintenance.
	closedForMaintenance bool
	// trial is the step whose suspect tasks run here, nil if there is none.
	trial *step
	// lostRuns are the runs that were given up since the minion fell silent. If it has
	// crashed, it may have done so under them.
	lostRuns []*run
	// endedBy is when this incarnation had certainly ended, zero if it is not known.
	endedBy time.Time
	// seenAt is when this incarnation first showed itself.
	seenAt time.Time
	// answeredAt is when its last answer arrived, zero if there was none.
	answeredAt time.Time
	// firstRefusedAt is when a connection was first refused since the last answer, zero if none was.
	firstRefusedAt time.Time
	// refusedAt is when the present series of refused connections began, zero if there is none. An
	// answer ends it, and so does an order without one. lastRefusedAt is when the newest connection
	// was refused. hasEnded means that the series has lasted for minRefusalTime.
	refusedAt, lastRefusedAt time.Time
	hasEnded                 bool
	lease                    leaseReading
	// outlook is when capacity becomes free, with the room of reservations.
	outlook reserver.Minion
}

type runKey struct {
	task specifier.Task
	run  uint64
}

func newMinion(report messenger.MinionReport, now time.Time, maxLease time.Duration, polls *pollSchedule, evacuations *evacuations) *minion {
	minion := &minion{runs: make(map[runKey]*run), polls: polls, evacuations: evacuations, seenAt: now, leaseLimit: leaseLimit{maxLease: maxLease}}
	minion.update(report, now)
	return minion
}

// update applies a newer report of the same incarnation.
func (minion *minion) update(report messenger.MinionReport, now time.Time) {
	minion.report = report
	minion.registered, minion.answersUnlisted, minion.listedIncarnation, minion.olderEntry = true, false, report.Incarnation, nil
	minion.rack = rackOf(report.Labels)
	minion.leavesAt = time.Time{}
	if report.Draining {
		minion.leavesAt = now.Add(report.Remaining)
	}
	minion.coldUntil = time.Time{}
	if report.ColdRemaining > 0 {
		minion.coldUntil = now.Add(report.ColdRemaining)
	}
	minion.updateClock(report.Clock, now)
}

// rackOf returns the label that names the rack. It is the one with a dash,
// because the labels of minion kinds have none.
func rackOf(labels []string) identifier.Rack {
	for _, label := range labels {
		if strings.Contains(label, "-") {
			return identifier.Rack(label)
		}
	}
	return ""
}

// isDescribed reports whether the report is an entry of the minion's present life. A later life
// may be of another kind.
func (minion *minion) isDescribed() bool {
	return minion.laterLifeAt.IsZero() && minion.listedIncarnation == minion.report.Incarnation
}

func (minion *minion) hasLabel(label string) bool {
	for _, minionLabel := range minion.report.Labels {
		if minionLabel == label {
			return true
		}
	}
	return false
}

// updateClock updates the minion's clock from an answer that has just arrived.
func (minion *minion) updateClock(clock time.Duration, now time.Time) {
	if clock > minion.clockLowerBound(now) {
		minion.clock, minion.clockAt = clock, now
	}
}

// clockLowerBound returns a time that the minion's clock has certainly passed.
func (minion *minion) clockLowerBound(now time.Time) time.Duration {
	if minion.clockAt.IsZero() {
		return 0
	}
	return minion.clock + time.Duration(minClockRate*float64(now.Sub(minion.clockAt)))
}

// renewLease returns the lease end to send now. It is not extended for a minion
// that does not answer, because an order without an answer may still arrive.
func (minion *minion) renewLease(now time.Time) time.Duration {
	if minion.unresponsive {
		return minion.leaseLimit.sent
	}
	return minion.leaseLimit.renew(minion.clockLowerBound(now), leaseDuration)
}

// leasesExpired reports whether every lease on the minion has expired.
func (minion *minion) leasesExpired(now time.Time) bool {
	return minion.leaseLimit.hasExpired(now, minion.clockLowerBound(now))
}

// leaseDetail describes in log lines until when anything may run on the minion.
func (minion *minion) leaseDetail(now time.Time) string {
	if !minion.polled || !minion.leaseLimit.isKnown(now) {
		return "lease=unknown"
	}
	return fmt.Sprintf("lease-left=%s", minion.leaseLimit.end()-minion.clockLowerBound(now))
}

func (minion *minion) freeCapacity() specifier.Resources {
	return minion.report.Capacity.Sub(minion.used)
}

// isOverCapacity reports whether the minion has shrunk below what its runs occupy.
func (minion *minion) isOverCapacity() bool {
	return !minion.freeCapacity().Holds(specifier.Resources{})
}

// closeForCapacity closes the minion for new runs for a time, because it refused one
// for lack of capacity.
func (minion *minion) closeForCapacity(now time.Time) {
	minion.noCapacityDelay = min(max(2*minion.noCapacityDelay, minNoCapacityDelay), maxNoCapacityDelay)
	minion.noCapacityUntil = now.Add(minion.noCapacityDelay)
}

// requiredCapacity returns how much of its minion's capacity a task occupies.
func requiredCapacity(spec *specifier.Step) specifier.Resources {
	request := spec.Request
	if spec.Backfill {
		request.MilliCPU = 0
	}
	return request
}
