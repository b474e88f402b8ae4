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
	// minLeftShare is the smallest share of the capacity that new jobs are expected to leave. A burst of
	// jobs is over sooner than their mean tells, and aged steps get a share of the starts.
	minLeftShare = 0.2
	// minBusyTime is how long steps of a class must have waited until the rate of its starts is what
	// the capacity allows. Most of the mean is from that time.
	minBusyTime = 30 * time.Second
	// maxRateError is the largest factor by which that rate may be below what the capacity would allow
	// without gaps. A few gangs in the time of the mean tell little.
	maxRateError = 2
)

// queueWaits are the expected waits of the queues. Without the feature there are none.
type queueWaits struct {
	nextAt time.Time
	// settledAt is when this holder first knew the runs of the minions, zero before.
	settledAt time.Time
	// isPublished means that the newest published waits are of at least one queue.
	isPublished bool
	starts      startTracker
	// submitted and started are the work of new jobs, and that of jobs that have started.
	submitted, started workRates
	// busySince is the time since which steps of a class have waited for capacity without a pause.
	busySince map[queueClass]time.Time
}

func newQueueWaits() *queueWaits {
	return &queueWaits{starts: newStartTracker(), submitted: make(workRates), started: make(workRates)}
}

// publishWaits publishes the waits if they are due. It is called in a pass, and so only while the claim
// is valid. The steps are those of the pass, in its order, with the results of the one before.
func (planner *Planner) publishWaits(now time.Time, order []*waitingStep) {
	if planner.queueWaits == nil || now.Before(planner.queueWaits.nextAt) {
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
	if !planner.holder.reconciled || planner.readings.asOf.IsZero() {
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
	for _, minion := range planner.sortedMinions() {
		load := loads[minion.report.Service]
		if load == nil {
			load = &serviceLoad{}
			loads[minion.report.Service] = load
		}
		// A half-open minion gets single runs only.
		isUsable := minion.acceptsRuns(now) && !(planner.features.MinionProfiles && minion.health.isHalfOpen())
		load.add(minion, isUsable)
	}
	return loads
}

func (load *serviceLoad) add(minion *minion, isUsable bool) {
	if !minion.registered {
		return
	}
	load.registered++
	load.isEvacuated = load.isEvacuated || minion.isEvacuated()
	if !isUsable {
		return
	}
	load.available++
	if len(minion.runs) > 0 {
		load.used++
	}
	load.capacity = load.capacity.Add(minion.report.Capacity)
	if minion.report.Capacity.Weight() > load.largest.Weight() {
		load.largest = minion.report.Capacity
	}
	for _, run := range minion.runs {
		if run.step.spec.LongRunning {
			load.capacity = load.capacity.Sub(requiredCapacity(run.step.spec))
		}
	}
}

// backlog is the work of the steps that wait for capacity, as a job of one queue finds it.
type backlog struct {
	// higher is that of higher priorities, timely that of steps of the same priority that come
	// before a job that can still be on time, and all that of all steps of the same priority.
	higher, timely, all resourceTime
}

// newBacklog returns the backlog that a job finds that must start by the given time.
func newBacklog(order []*waitingStep, queue *specifier.Queue, latestStart time.Time) backlog {
	var backlog backlog
	for _, waitingStep := range order {
		step := waitingStep.step
		if waitingStep.queue.Service != queue.Service || waitingStep.queue.Priority > queue.Priority || step.passResult != waitsForCapacity {
			continue
		}
		if waitingStep.queue.Priority < queue.Priority || step.spec.LongRunning {
			backlog.higher.addTasks(step.spec, waitingStep.taskCount)
			continue
		}
		backlog.all.addTasks(step.spec, waitingStep.taskCount)
		if !waitingStep.late && !waitingStep.latestStart.After(latestStart) {
			backlog.timely.addTasks(step.spec, waitingStep.taskCount)
		}
	}
	return backlog
}

// computeWaits returns the waits of the queues whose jobs wait for capacity.
func (planner *Planner) computeWaits(now time.Time, order []*waitingStep) []messenger.QueueWait {
	waits := planner.queueWaits
	waits.noteBusyClasses(now, order)
	var computed []messenger.QueueWait
	loads := planner.serviceLoads(now)
	for index := range planner.policy.Queues {
		queue := &planner.policy.Queues[index]
		load := loads[queue.Service]
		if load == nil || !load.isWaitForCapacity() {
			continue
		}
		wait := messenger.QueueWait{Queue: queue.Name, LargestMinion: load.largest}
		wait.Tasks, wait.RunTime = waits.starts.usualJob(queue.Name)
		backlog := newBacklog(order, queue, now.Add(queue.Objective(wait.RunTime)-wait.RunTime))
		wait.TimelyWait, wait.Wait = waits.expect(now, classOf(queue), backlog, load.capacity)
		computed = append(computed, wait)
	}
	return computed
}

// expect returns how long a job waits behind the timely steps of its class and those before it, and
// behind all steps. The work before it is divided by the capacity that new jobs leave that come before:
// those of higher priorities, and for a job that can't be on time also those of its own, because they can
// be on time. What gangs can't use of it and errors of the declared run times show in the rate at which
// the work of the class starts. It counts once steps have waited for so long that it is not the rate of
// submissions.
func (queueWaits *queueWaits) expect(now time.Time, class queueClass, backlog backlog, capacity specifier.Resources) (timely, all time.Duration) {
	above, same := queueWaits.submitted.above(now, class), queueWaits.submitted.of(now, class)
	higher := backlog.higher.over(capacity, above)
	timely = backlog.timely.over(capacity, above)
	above.add(same)
	all = backlog.all.over(capacity, above)
	if since, isBusy := queueWaits.busySince[class]; isBusy && now.Sub(since) >= minBusyTime {
		started := queueWaits.started.of(now, class)
		timely = min(backlog.timely.atRate(started, resourceTime{}), maxRateError*timely)
		all = min(backlog.all.atRate(started, same), maxRateError*all)
	}
	return higher + timely, higher + max(timely, all)
}

// noteBusyClasses notes since when steps of each class have waited for capacity without a pause.
func (queueWaits *queueWaits) noteBusyClasses(now time.Time, order []*waitingStep) {
	busy := make(map[queueClass]time.Time, len(queueWaits.busySince))
	for _, waitingStep := range order {
		if waitingStep.step.passResult != waitsForCapacity {
			continue
		}
		class := classOf(waitingStep.queue)
		since, wasBusy := queueWaits.busySince[class]
		if !wasBusy {
			since = now
		}
		busy[class] = since
	}
	queueWaits.busySince = busy
}
