package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/leaser"
	"corianderroad/placer"
)

// clearingTimeout is how long a job waits for preempted gangs to end. Their tasks
// have certainly ended after the grace period and one lease.
const clearingTimeout = 30 * time.Second

// preempt places a job on accelerators that unprotected gangs occupy on workers that
// are not avoided, and reports whether it did. These gangs are checkpointed, and the
// job starts when they have ended.
func (pass *pass) preempt(job *job, withinGuarantee bool, avoided map[identifier.Worker]bool) bool {
	scheduler, region := pass.scheduler, pass.region
	if !scheduler.parameters.isEnabled(Preemption) || (!withinGuarantee && !job.spec.Urgent) {
		return false
	}
	tried := preemptionAttempt{job.spec.Workspace, job.spec.Shape, withinGuarantee}
	if pass.failedPreemptions[tried] && avoided == nil {
		return false
	}
	capacities := []func(identifier.Worker, int) int{func(name identifier.Worker, available int) int {
		return available + pass.preemptibleAccelerators(region.workers[name], withinGuarantee)
	}}
	if withinGuarantee {
		// The workspace's own guarantees are tried first, because they need no new
		// packing.
		capacities = append([]func(identifier.Worker, int) int{func(name identifier.Worker, _ int) int {
			return region.ledger.UnusedClaim(job.spec.Workspace, name)
		}}, capacities...)
	}
	for _, capacity := range capacities {
		workers := region.fleet.Place(placer.Request{Shape: job.spec.Shape, Avoid: avoided, AdjustCapacity: capacity})
		if workers == nil {
			continue
		}
		victims, ok := pass.victims(job, workers, withinGuarantee)
		if !ok || (withinGuarantee && !scheduler.protect(region, job, workers)) {
			continue
		}
		pass.clearWorkers(job, workers, victims)
		return true
	}
	if avoided == nil {
		pass.failedPreemptions[tried] = true
	}
	return false
}

// isPreemptible reports whether the gang of another job may be preempted for a job.
func isPreemptible(other *job, withinGuarantee bool) bool {
	return other.gang != nil && !other.protected && other.state <= running && usesAccelerators(other) &&
		(withinGuarantee || !other.spec.Urgent)
}

func usesAccelerators(job *job) bool { return job.spec.Shape.Accelerators > 0 }

// preemptibleAccelerators returns the accelerators of a worker that preemption can
// free.
func (pass *pass) preemptibleAccelerators(worker *worker, withinGuarantee bool) int {
	sum := 0
	for _, other := range worker.jobs {
		if isPreemptible(other, withinGuarantee) {
			sum += other.spec.Shape.Accelerators
		}
	}
	return sum
}

// victims returns the gangs to preempt for a job on the given workers, and whether
// they suffice. It chooses gangs with the fewest accelerators first and, among
// those, the ones that have run for the shortest time.
func (pass *pass) victims(placed *job, workers []identifier.Worker, withinGuarantee bool) ([]*job, bool) {
	chosen := make(map[*job]bool)
	var victims []*job
	for _, name := range workers {
		worker := pass.region.workers[name]
		need := placed.spec.Shape.Accelerators - pass.region.fleet.Available(name)
		var others []*job
		for _, other := range worker.jobs {
			if chosen[other] {
				need -= other.spec.Shape.Accelerators
			} else if isPreemptible(other, withinGuarantee) {
				others = append(others, other)
			}
		}
		slices.SortFunc(others, func(a, b *job) int {
			return cmp.Or(cmp.Compare(a.spec.Shape.TotalAccelerators(), b.spec.Shape.TotalAccelerators()), b.since.Compare(a.since), compareJobs(a, b))
		})
		for _, other := range others {
			if need <= 0 {
				break
			}
			need -= other.spec.Shape.Accelerators
			chosen[other] = true
			victims = append(victims, other)
		}
		if need > 0 {
			return nil, false
		}
	}
	return victims, true
}

// clearWorkers reserves the workers for the job and evicts the victims.
func (pass *pass) clearWorkers(job *job, workers []identifier.Worker, victims []*job) {
	scheduler, region := pass.scheduler, pass.region
	job.targetWorkers = workers
	job.setState(pass.now, clearing)
	job.reason = classifier.NoCapacity
	for _, name := range workers {
		region.fleet.Reserve(name, job.spec.Shape.Accelerators)
	}
	region.clearing = append(region.clearing, job)
	if len(victims) == 0 {
		scheduler.requestPlan(pass.now, region)
	} else {
		scheduler.requestPlanAt(region, pass.now.Add(clearingTimeout))
	}
	scheduler.recordDecision(pass.now, string(job.spec.Job), "preempts", fmt.Sprintf("%d gangs on %s", len(victims), workerSetName(workers)))
	for _, victim := range victims {
		scheduler.evict(pass.now, victim, "preempted", string(job.spec.Job))
	}
}

// evict checkpoints and ends a gang, so that its job is placed again.
func (scheduler *Scheduler) evict(now time.Time, victim *job, reason, cause string) {
	scheduler.recordDecision(now, string(victim.spec.Job), reason, "for "+cause)
	victim.gang.Checkpoint(now)
	if victim.gang.Phase() >= leaser.Checkpointing {
		victim.setState(now, stopping)
	}
	scheduler.wakeups.schedule(victim, now)
}

// launchCleared launches the jobs whose target workers have become free.
func (pass *pass) launchCleared() {
	scheduler, region := pass.scheduler, pass.region
	jobs := region.clearing
	region.clearing = nil
	for _, job := range jobs {
		if job.state != clearing {
			continue
		}
		ready, usable := true, true
		for _, name := range job.targetWorkers {
			worker, ok := region.workers[name]
			usable = usable && ok && worker.isUsable(pass.now)
			free, _ := region.fleet.Free(name)
			ready = ready && free >= job.spec.Shape.Accelerators
		}
		switch {
		case job.cancelled || !usable || (!ready && pass.now.Sub(job.since) >= clearingTimeout):
			scheduler.abortClearing(pass.now, region, job)
		case ready:
			workers := job.targetWorkers
			region.releaseTarget(job)
			scheduler.launch(pass.now, region, job, workers)
		default:
			region.clearing = append(region.clearing, job)
			scheduler.requestPlanAt(region, job.since.Add(clearingTimeout))
		}
	}
}

// releaseTarget cancels the reservation of the job's target workers.
func (region *region) releaseTarget(job *job) {
	for _, name := range job.targetWorkers {
		region.fleet.Reserve(name, -job.spec.Shape.Accelerators)
	}
	job.targetWorkers = nil
}

// abortClearing queues a job again whose target workers cannot be cleared.
func (scheduler *Scheduler) abortClearing(now time.Time, region *region, job *job) {
	region.releaseTarget(job)
	scheduler.unprotect(now, region, job)
	job.setState(now, waiting)
	region.enqueue(job)
}
