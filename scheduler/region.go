package scheduler

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/guarantor"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/placer"
)

// A pass costs about 4 us for each waiting job. The pause between passes grows
// with their number, so that a burst of submissions does not take the core;
// urgent work still starts within 1.9 s.
const (
	planIntervalPerJob = 100 * time.Microsecond
	maxPlanInterval    = time.Second
)

// region is the state of one region's placement.
type region struct {
	name    identifier.Region
	workers map[identifier.Worker]*worker
	fleet   *placer.Fleet
	queues  map[identifier.Workspace]*queue

	// claim is the newest claim; term is its offset.
	claim messenger.RegionClaim
	term  identifier.Term
	// held says that this node placed the newest claim and no worker has shown
	// a higher term.
	held           bool
	claimAppliedAt time.Time
	// ownedSince is when this node became the rendezvous owner, zero if it is not.
	ownedSince time.Time
	// claimID is the record that is being appended, empty if there is none.
	claimID      string
	claimRetryAt time.Time

	// adoptUntil ends the reading of the workers' state, zero if it is done.
	adoptionDeadline time.Time
	reportedGangs    map[messenger.Gang]*reportedGang
	// settledAt is when tasks of earlier holders have surely ended.
	inheritedTasksEndAt time.Time

	// roundAt is the start of the newest round of renewals.
	renewalRoundAt   time.Time
	nextRenewalRound time.Time
	nextPoll         time.Time

	ledger *guarantor.Ledger
	// ledgerStale says that workers or guarantees changed since the ledger was made.
	ledgerStale bool
	// counted is the number of workers on which the guarantees are packed.
	ledgerWorkers int
	// claimed are the guaranteed shapes that the ledger packs.
	ledgerClaims []guarantor.Claim
	uncovered    map[identifier.Workspace]bool
	// promoted says that no gang can be promoted since the last attempt.
	promotionAttempted bool
	// clearing are the jobs that wait for preempted gangs to end.
	clearing []*job

	// dirty says that a pass over the waiting jobs is due at nextPlan.
	planRequested bool
	plannedAt     time.Time
	// waits is the number of jobs that the last pass considered.
	waitingCount int
	nextPlan     time.Time
}

func (scheduler *Scheduler) region(name identifier.Region) *region {
	if known, ok := scheduler.regions[name]; ok {
		return known
	}
	created := &region{
		name: name, workers: make(map[identifier.Worker]*worker),
		fleet: placer.NewFleet(nil), queues: make(map[identifier.Workspace]*queue),
	}
	scheduler.regions[name] = created
	return created
}

// sortedRegions returns the regions by name, so that equal runs decide alike.
func (scheduler *Scheduler) sortedRegions() []*region {
	sorted := make([]*region, 0, len(scheduler.regions))
	for _, region := range scheduler.regions {
		sorted = append(sorted, region)
	}
	slices.SortFunc(sorted, func(a, b *region) int { return cmp.Compare(a.name, b.name) })
	return sorted
}

// sortedWorkers returns the workers by name.
func (region *region) sortedWorkers() []*worker {
	sorted := make([]*worker, 0, len(region.workers))
	for _, worker := range region.workers {
		sorted = append(sorted, worker)
	}
	slices.SortFunc(sorted, func(a, b *worker) int { return cmp.Compare(a.name, b.name) })
	return sorted
}

// placing says whether the holder may place gangs now.
func (scheduler *Scheduler) isPlacing(region *region) bool {
	return region.held && region.adoptionDeadline.IsZero() && !scheduler.draining
}

// requestPlan asks for a pass over the waiting jobs.
func (scheduler *Scheduler) requestPlan(now time.Time, region *region) {
	pause := scheduler.parameters.PlanEvery + time.Duration(region.waitingCount)*planIntervalPerJob
	due := region.plannedAt.Add(min(pause, maxPlanInterval))
	if due.Before(now) {
		due = now
	}
	scheduler.requestPlanAt(region, due)
}

// requestPlanAt asks for a pass at the given time or earlier.
func (scheduler *Scheduler) requestPlanAt(region *region, at time.Time) {
	if !region.planRequested || at.Before(region.nextPlan) {
		region.planRequested, region.nextPlan = true, at
	}
}
