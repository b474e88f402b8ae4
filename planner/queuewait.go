package planner

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// Waits of queues.
const (
	// waitsInterval is the time between two computations of the waits. It is shorter than
	// the time between two renewals of the claim.
	waitsInterval = 350 * time.Millisecond
	// waitsSettlingTime is how long a new holder must have known the runs of the minions before it
	// publishes waits. It has made some passes by then.
	waitsSettlingTime = time.Second
	// minPublishedWait is the wait below which a queue is not published. No job is worthless after it.
	minPublishedWait = time.Second
	// minUsedShare is the share of the minions that accept runs which must have one. With
	// fewer, steps wait for something else than capacity.
	minUsedShare = 0.9
	// maxLackingShare is the largest share of the registered minions that may not accept runs.
	// With more, steps wait because of these minions.
	maxLackingShare = 0.25
)

// queueWaits are the expected waits of the queues. Without the feature there are none.
type queueWaits struct {
	nextAt time.Time
	// settledAt is when this holder first knew the runs of the minions, zero before.
	settledAt time.Time
	// isPublished means that the newest published waits are of at least one queue.
	isPublished bool
	starts      startTracker
}

func newQueueWaits() *queueWaits { return &queueWaits{starts: newStartTracker()} }

// publishWaits publishes the waits if they are due. The steps are those of a pass, in its order, with
// the results of the pass before.
func (planner *Planner) publishWaits(now time.Time, order []*waitingStep) {
	if planner.queueWaits == nil || now.Before(planner.queueWaits.nextAt) || !planner.holder.isClaimValid(now) {
		return
	}
	waits := planner.queueWaits
	waits.nextAt = now.Add(waitsInterval)
	if !planner.hasSettled(now) {
		return
	}
	computed := planner.computeWaits(now, order)
	waits.starts.observe(now, planner, computed)
	published := &messenger.QueueWaits{ComputedAt: now}
	for _, wait := range computed {
		wait = waits.starts.correct(wait)
		if wait.Wait >= minPublishedWait && len(published.Queues) < messenger.MaxQueueWaits {
			published.Queues = append(published.Queues, wait)
		}
	}
	if len(published.Queues) == 0 {
		published = nil
	}
	if published != nil || waits.isPublished {
		planner.emit(messenger.WaitsComputed{Waits: published})
	}
	waits.isPublished = published != nil
}

// hasSettled reports whether this holder knows the runs of the minions and has made its first passes.
func (planner *Planner) hasSettled(now time.Time) bool {
	waits := planner.queueWaits
	if !planner.holder.reconciled || planner.reportsAsOf.IsZero() {
		return false
	}
	if waits.settledAt.IsZero() {
		counts := planner.countMinions(now)
		if unknown := counts[notPolled] + counts[unknownRuns]; float64(unknown) > maxLackingShare*float64(len(planner.minions)) {
			return false
		}
		waits.settledAt = now
	}
	return now.Sub(waits.settledAt) >= waitsSettlingTime
}

// serviceLoad is the state of the minions of one service.
type serviceLoad struct {
	registered, available, used int
	isEvacuated                 bool
	// capacity is that of the minions that accept runs, without what long-running tasks use.
	capacity, largest specifier.Resources
}

// isWaitForCapacity reports whether steps of the service wait because all minions are in use, and
// not because minions are missing.
func (load *serviceLoad) isWaitForCapacity() bool {
	lacking := float64(load.registered - load.available)
	return load.available > 0 && !load.isEvacuated && lacking <= maxLackingShare*float64(load.registered) &&
		float64(load.used) >= minUsedShare*float64(load.available)
}

func (planner *Planner) serviceLoads(now time.Time) map[identifier.Service]*serviceLoad {
	loads := make(map[identifier.Service]*serviceLoad)
	for _, minion := range planner.minions {
		load := loads[minion.report.Service]
		if load == nil {
			load = &serviceLoad{}
			loads[minion.report.Service] = load
		}
		load.add(minion, minion.availability(now))
	}
	return loads
}

func (load *serviceLoad) add(minion *minion, availability availability) {
	if availability == unregistered {
		return
	}
	load.registered++
	load.isEvacuated = load.isEvacuated || availability == evacuated
	if availability != accepting {
		return
	}
	load.available++
	if len(minion.runs) > 0 {
		load.used++
	}
	load.capacity = load.capacity.Add(minion.report.Capacity)
	if weight(minion.report.Capacity) > weight(load.largest) {
		load.largest = minion.report.Capacity
	}
	for _, run := range minion.runs {
		if run.step.spec.LongRunning {
			load.capacity = load.capacity.Sub(requiredCapacity(run.step.spec))
		}
	}
}

// computeWaits returns the waits of the queues whose jobs wait for capacity. They are those behind the
// steps that wait already, divided by the whole capacity. The work that the runs have left, gaps that
// can't be used and later jobs of higher priorities are left out, so that the waits are lower bounds if
// the declared run times are right.
func (planner *Planner) computeWaits(now time.Time, order []*waitingStep) []messenger.QueueWait {
	var waits []messenger.QueueWait
	loads := planner.serviceLoads(now)
	for index := range planner.policy.Queues {
		queue := &planner.policy.Queues[index]
		load := loads[queue.Service]
		if load == nil || !load.isWaitForCapacity() {
			continue
		}
		wait := messenger.QueueWait{Queue: queue.Name, LargestMinion: load.largest}
		wait.Tasks, wait.RunTime = planner.queueWaits.starts.usualJob(queue.Name)
		latestStart := now.Add(queue.Objective(wait.RunTime) - wait.RunTime)
		var timely, all resourceTime
		for _, waitingStep := range order {
			if waitingStep.queue.Service != queue.Service || waitingStep.queue.Priority > queue.Priority || waitingStep.step.passResult != waitsForCapacity {
				continue
			}
			all.add(waitingStep)
			if waitingStep.precedes(queue, latestStart) {
				timely.add(waitingStep)
			}
		}
		wait.TimelyWait, wait.Wait = timely.over(load.capacity), all.over(load.capacity)
		waits = append(waits, wait)
	}
	return waits
}

// precedes reports whether a step comes before that of a job that can still be on time, which must
// start by the given time.
func (waitingStep *waitingStep) precedes(queue *specifier.Queue, latestStart time.Time) bool {
	switch {
	case waitingStep.step.spec.LongRunning, waitingStep.queue.Priority < queue.Priority:
		return true
	case waitingStep.rank == timelyRank:
		return !waitingStep.latestStart.After(latestStart)
	}
	return waitingStep.rank == agedRank
}

// resourceTime is an amount of resources multiplied by the seconds for which they are needed.
type resourceTime struct {
	milliCPU, memoryMB, accelerators float64
}

func (resourceTime *resourceTime) add(waitingStep *waitingStep) {
	request := requiredCapacity(waitingStep.step.spec)
	seconds := waitingStep.step.spec.EstimatedRunTime.Seconds() * float64(waitingStep.taskCount)
	resourceTime.milliCPU += seconds * float64(request.MilliCPU)
	resourceTime.memoryMB += seconds * float64(request.MemoryMB)
	resourceTime.accelerators += seconds * float64(request.Accelerators)
}

// over returns how long the capacity needs for it, by the scarcest resource.
func (resourceTime *resourceTime) over(capacity specifier.Resources) time.Duration {
	seconds := 0.0
	for _, pair := range [...][2]float64{
		{resourceTime.milliCPU, float64(capacity.MilliCPU)},
		{resourceTime.memoryMB, float64(capacity.MemoryMB)},
		{resourceTime.accelerators, float64(capacity.Accelerators)},
	} {
		if pair[1] > 0 {
			seconds = max(seconds, pair[0]/pair[1])
		}
	}
	return time.Duration(seconds * float64(time.Second))
}
