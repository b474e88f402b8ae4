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

// A pass takes about 4 us per waiting job. The interval between passes grows with
// the number of waiting jobs, so that a burst of submissions does not saturate the
// core; urgent work still starts within 1.9 s.
const (
	planIntervalPerJob = 100 * time.Microsecond
	maxPlanInterval    = time.Second
)

// region is the placement state of one region.
type region struct {
	name    identifier.Region
	workers map[identifier.Worker]*worker
	// listedSince is when this node first received a VM list with a worker of the
	// region, zero while it knows no worker.
	listedSince time.Time
	fleet       *placer.Fleet
	queues      map[identifier.Workspace]*queue

	// claim is the newest claim; term is its offset.
	claim messenger.RegionClaim
	term  identifier.Term
	// held means that the newest claim is from this node and that no worker has
	// reported a higher term.
	held           bool
	claimAppliedAt time.Time
	// ownedSince is when this node became the rendezvous owner, zero if it is not.
	ownedSince time.Time
	// claimID is the ID of the pending claim record, empty if there is none.
	claimID      string
	claimRetryAt time.Time

	// adoptionDeadline is when the adoption ends at the latest, zero if none is in
	// progress.
	adoptionDeadline time.Time
	reportedGangs    map[messenger.Gang]*reportedGang
	// unresolvedTasksEndAt is when all tasks of earlier holders that no worker has
	// reported have certainly ended.
	unresolvedTasksEndAt time.Time

	// renewalRoundAt is the start of the newest round of renewals.
	renewalRoundAt   time.Time
	nextRenewalRound time.Time
	nextPoll         time.Time

	ledger *guarantor.Ledger
	// ledgerStale means that workers have changed since the ledger was built.
	ledgerStale bool
	// ledgerWorkers is the number of workers on which the guarantees are packed.
	ledgerWorkers int
	// ledgerClaims are the guaranteed shapes that the ledger packs.
	ledgerClaims []guarantor.Claim
	uncovered    map[identifier.Workspace]bool
	// promotionAttempted means that nothing has changed since the last promotion
	// that would allow another one.
	promotionAttempted bool
	// clearing are the jobs that wait for preempted gangs to end.
	clearing []*job

	// planRequested means that a pass over the waiting jobs is due at nextPlan.
	planRequested bool
	plannedAt     time.Time
	// waitingCount is the number of jobs that the last pass visited.
	waitingCount int
	nextPlan     time.Time
}

// region returns the state of a region, which it adds if it does not exist.
func (scheduler *Scheduler) region(name identifier.Region) *region {
	if existing, ok := scheduler.regions[name]; ok {
		return existing
	}
	created := &region{
		name: name, workers: make(map[identifier.Worker]*worker),
		fleet: placer.NewFleet(nil), queues: make(map[identifier.Workspace]*queue),
	}
	scheduler.regions[name] = created
	return created
}

// sortedRegions returns the regions by name, so that the decisions are
// reproducible.
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

// isPlacing reports whether this node may place gangs in the region now. Without the
// configuration, no workspace would have a quota or a guarantee.
func (scheduler *Scheduler) isPlacing(region *region) bool {
	return region.held && region.adoptionDeadline.IsZero() && !scheduler.draining && scheduler.workspaces != nil
}

// requestPlan requests a pass over the waiting jobs.
func (scheduler *Scheduler) requestPlan(now time.Time, region *region) {
	pause := scheduler.parameters.MinPlanInterval + time.Duration(region.waitingCount)*planIntervalPerJob
	due := region.plannedAt.Add(min(pause, maxPlanInterval))
	if due.Before(now) {
		due = now
	}
	scheduler.requestPlanAt(region, due)
}

// requestPlanAt requests a pass at the given time or earlier.
func (scheduler *Scheduler) requestPlanAt(region *region, at time.Time) {
	if !region.planRequested || at.Before(region.nextPlan) {
		region.planRequested, region.nextPlan = true, at
	}
}
