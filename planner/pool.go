package planner

import (
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/reserver"
	"corianderroad/specifier"
)

// pool is the state of a service's minions during one pass. It is built again
// for each pass, so that no part of it is older than the pass.
type pool struct {
	// available are the minions that accept new runs, in the order of their names.
	available []*minion
	// racks holds the racks of the pool, sorted by their first minion's name.
	racks  []*rack
	byRack map[identifier.Rack]*rack
	// registered are the minions that count as capacity: those that are listed in the store
	// and not in an evacuated domain.
	registered []*minion
	crowded    bool
	// infeasible holds the smallest number of tasks that did not fit, for each
	// kind of demand. Free capacity only shrinks during a pass.
	infeasible map[demand]int
	rackFits   map[rackDemand]bool
	// withQuarantined is the pool with the quarantined minions as available, nil
	// before its first use.
	withQuarantined *pool
}

type rack struct {
	name      identifier.Rack
	available []*minion
	// usage is how much of the rack is in use. The most used racks are filled
	// first, so that empty racks remain for steps that need one.
	usage int
}

// demand is all that decides whether tasks fit, apart from their number.
type demand struct {
	request specifier.Resources
	limit   int
	// mayUseHeadroom means that minions that are kept for urgent work count.
	mayUseHeadroom bool
	label          string
	dataRack       identifier.Rack
	sameRack       bool
	rackRequired   bool
	// restrictions are the reservations that the tasks must leave room for.
	restrictions reserver.Restrictions
}

// rackDemand is all that decides whether tasks fit on an empty rack.
type rackDemand struct {
	demand
	tasks int
}

// newPools returns the pools by service.
func (planner *Planner) newPools(now time.Time) map[identifier.Service]*pool {
	pools := make(map[identifier.Service]*pool)
	for index, minion := range planner.sortedMinions() {
		minion.nameIndex = index
		minion.isCold = planner.bounds.EvacuationTime > 0 && now.Before(minion.coldUntil)
		minion.probedAt, minion.isHeadroom = time.Time{}, false
		if planner.features.MinionProfiles && minion.health.isHalfOpen() {
			minion.probedAt = now
		}
		servicePool := pools[minion.report.Service]
		if servicePool == nil {
			servicePool = newPool()
			pools[minion.report.Service] = servicePool
		}
		servicePool.addMinion(minion, minion.acceptsRuns(now))
	}
	planner.headroom.kept = 0
	for service, pool := range pools {
		pool.crowded = isCrowded(pool.registered)
		planner.keepHeadroom(now, service, pool)
	}
	return pools
}

func newPool() *pool {
	return &pool{byRack: make(map[identifier.Rack]*rack), infeasible: make(map[demand]int), rackFits: make(map[rackDemand]bool)}
}

// hasCurrentReports reports whether tasks may be started on the minions of a service. Those
// that do not guard their capacity may have shrunk since their last reports were read.
func (planner *Planner) hasCurrentReports(now time.Time, service identifier.Service) bool {
	return planner.readings.areCurrent(now) || slices.Contains(planner.policy.GuardedServices, service)
}

// outdatedReading returns the reason if tasks may not be started on the minions of a service
// because a reading of the store is too old.
func (planner *Planner) outdatedReading(now time.Time, service identifier.Service) (waitReason, bool) {
	if !planner.hasCurrentEvacuations(now) {
		return waitsForOperator, true
	}
	return waitsForReports, !planner.hasCurrentReports(now, service)
}

// extended returns the pool with the quarantined minions as available.
func (planner *Planner) extended(now time.Time, original *pool) *pool {
	if original.withQuarantined == nil {
		extended := newPool()
		extended.crowded = original.crowded
		for _, minion := range original.registered {
			state := minion.availability(now)
			extended.addMinion(minion, state == accepting || state == quarantined)
		}
		original.withQuarantined = extended
	}
	return original.withQuarantined
}

func (pool *pool) addMinion(minion *minion, accepts bool) {
	minionRack := pool.byRack[minion.rack]
	if minionRack == nil {
		minionRack = &rack{name: minion.rack}
		pool.byRack[minion.rack] = minionRack
		pool.racks = append(pool.racks, minionRack)
	}
	minionRack.usage += minion.used.Weight()
	if minion.registered && !minion.isEvacuated() {
		pool.registered = append(pool.registered, minion)
	}
	if accepts {
		pool.available = append(pool.available, minion)
		minionRack.available = append(minionRack.available, minion)
	}
}

// filtered returns the pool with only those of the available minions that a function keeps.
func (pool *pool) filtered(keep func(*minion) bool) *pool {
	filtered := newPool()
	filtered.crowded, filtered.registered = pool.crowded, pool.registered
	for _, original := range pool.racks {
		reduced := &rack{name: original.name, usage: original.usage}
		for _, minion := range original.available {
			if keep(minion) {
				reduced.available = append(reduced.available, minion)
			}
		}
		filtered.racks, filtered.byRack[original.name] = append(filtered.racks, reduced), reduced
	}
	for _, minion := range pool.available {
		if keep(minion) {
			filtered.available = append(filtered.available, minion)
		}
	}
	return filtered
}

// remove removes a minion that accepts no more runs from the available ones.
func (pool *pool) remove(removed *minion) {
	isRemoved := func(minion *minion) bool { return minion == removed }
	pool.available = slices.DeleteFunc(pool.available, isRemoved)
	for _, rack := range pool.racks {
		rack.available = slices.DeleteFunc(rack.available, isRemoved)
	}
	pool.withQuarantined = nil
}

// addUsage adds what a task started in this pass occupies.
func (pool *pool) addUsage(minion *minion, request specifier.Resources) {
	pool.byRack[minion.rack].usage += request.Weight()
}

// isCrowded reports whether at least half of the processors or accelerators is in use.
func isCrowded(minions []*minion) bool {
	var used, capacity specifier.Resources
	for _, minion := range minions {
		used = used.Add(minion.used)
		capacity = capacity.Add(minion.report.Capacity)
	}
	return 2*used.MilliCPU >= capacity.MilliCPU || (capacity.Accelerators > 0 && 2*used.Accelerators >= capacity.Accelerators)
}

// isInfeasible reports whether the same number of tasks of this kind, or fewer,
// have already failed to fit in this pass.
func (pool *pool) isInfeasible(demand demand, tasks int) bool {
	least, exists := pool.infeasible[demand]
	return exists && tasks >= least
}

func (pool *pool) markInfeasible(demand demand, tasks int) {
	if least, exists := pool.infeasible[demand]; !exists || tasks < least {
		pool.infeasible[demand] = tasks
	}
}

// fitsOnRack reports whether the step would fit on one of its preferred racks
// if that rack were empty.
func (pool *pool) fitsOnRack(step *step) bool {
	if step.moved != nil { // it avoids minions that others with its demand do not
		return pool.hasFittingRack(step)
	}
	key := rackDemand{step.demand(false), step.tasksPerRack()}
	key.restrictions = 0 // they hold no room on an empty rack
	if fits, cached := pool.rackFits[key]; cached && step.advice == nil {
		return fits
	}
	fits := pool.hasFittingRack(step)
	pool.rackFits[key] = fits
	return fits
}

func (pool *pool) hasFittingRack(step *step) bool {
	capacity := make(map[identifier.Rack]int, len(pool.racks))
	request := requiredCapacity(step.spec)
	for _, minion := range pool.registered {
		if !minion.report.Draining && step.canRunOn(minion) {
			capacity[minion.rack] += minion.report.Capacity.Fit(request, step.maxPerMinion())
		}
	}
	if step.spec.DataRack != "" {
		return capacity[step.spec.DataRack] >= step.tasksPerRack()
	}
	for _, count := range capacity {
		if count >= step.tasksPerRack() {
			return true
		}
	}
	return false
}

// countFitting returns how many minions could hold a task of the step if nothing ran on them.
func (pool *pool) countFitting(step *step) int {
	count, request := 0, requiredCapacity(step.spec)
	for _, minion := range pool.registered {
		if step.canRunOn(minion) && minion.report.Capacity.Holds(request) {
			count++
		}
	}
	return count
}

// tasksPerRack returns the smallest number of tasks for which the step's rack is
// of use: all of them if they start together.
func (step *step) tasksPerRack() int {
	if step.spec.Gang || step.spec.SameRack {
		return len(step.tasks)
	}
	return 1
}

// demand returns the kind of the step's demand.
func (step *step) demand(rackRequired bool) demand {
	return demand{
		request: requiredCapacity(step.spec), limit: step.spec.MaxPerMinion, label: step.spec.Label,
		dataRack: step.spec.DataRack, sameRack: step.spec.SameRack, rackRequired: rackRequired,
		restrictions: step.restrictions, mayUseHeadroom: step.mayUseHeadroom(),
	}
}

// isCacheable reports whether the step's placement depends only on its demand,
// so that the result for one step holds for others with the same demand.
func (step *step) isCacheable() bool {
	return step.advice == nil && step.moved == nil && step.spec.MaxPerMinion == 0 && (!step.spec.SameRack || step.currentRack() == "")
}
