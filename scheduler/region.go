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
	planPerJob   = 100 * time.Microsecond
	maxPlanEvery = time.Second
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
	held     bool
	foldedAt time.Time
	// ownedSince is when this node became the rendezvous owner, zero if it is not.
	ownedSince time.Time
	// claimID is the record that is being appended, empty if there is none.
	claimID  string
	claimDue time.Time

	// adoptUntil ends the reading of the workers' state, zero if it is done.
	adoptUntil time.Time
	adopted    map[messenger.Gang]*reportedGang
	// settledAt is when tasks of earlier holders have surely ended.
	settledAt time.Time

	// roundAt is the start of the newest round of renewals.
	roundAt   time.Time
	nextRound time.Time
	nextPoll  time.Time

	ledger *guarantor.Ledger
	// ledgerStale says that workers or guarantees changed since the ledger was made.
	ledgerStale bool
	// counted is the number of workers on which the guarantees are packed.
	counted int
	// claimed are the guaranteed shapes that the ledger packs.
	claimed []guarantor.Claim
	missing map[identifier.Workspace]bool
	// promoted says that no gang can be promoted since the last attempt.
	promoted bool
	// clearing are the jobs that wait for preempted gangs to end.
	clearing []*job

	// dirty says that a pass over the waiting jobs is due at nextPlan.
	dirty     bool
	plannedAt time.Time
	// waits is the number of jobs that the last pass considered.
	waits    int
	nextPlan time.Time
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
func (scheduler *Scheduler) placing(region *region) bool {
	return region.held && region.adoptUntil.IsZero() && !scheduler.draining
}

// requestPlan asks for a pass over the waiting jobs.
func (scheduler *Scheduler) requestPlan(now time.Time, region *region) {
	pause := scheduler.parameters.PlanEvery + time.Duration(region.waits)*planPerJob
	due := region.plannedAt.Add(min(pause, maxPlanEvery))
	if due.Before(now) {
		due = now
	}
	scheduler.requestPlanAt(region, due)
}

// requestPlanAt asks for a pass at the given time or earlier.
func (scheduler *Scheduler) requestPlanAt(region *region, at time.Time) {
	if !region.dirty || at.Before(region.nextPlan) {
		region.dirty, region.nextPlan = true, at
	}
}
