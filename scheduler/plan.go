package scheduler

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/placer"
)

// plan runs a pass over the waiting jobs of a region if one is due.
func (scheduler *Scheduler) plan(now time.Time, region *region) {
	if !region.planRequested || now.Before(region.nextPlan) || !scheduler.isPlacing(region) {
		return
	}
	region.planRequested, region.plannedAt, region.nextPlan = false, now, time.Time{}
	for _, worker := range region.workers {
		region.fleet.SetUsable(worker.name, worker.isUsable(now))
	}
	scheduler.refreshLedger(now, region)
	pass := &pass{scheduler: scheduler, region: region, now: now, failedPlacements: make(map[placementAttempt]bool), failedPreemptions: make(map[preemptionAttempt]bool)}
	pass.sumUsage()
	pass.run()
}

// preemptionAttempt identifies preemptions that have the same result.
type preemptionAttempt struct {
	workspace       identifier.Workspace
	shape           commander.Shape
	withinGuarantee bool
}

// placementAttempt identifies placements on free accelerators that have the same
// result. reserved means that the reserved workers were excluded.
type placementAttempt struct {
	shape    commander.Shape
	reserved bool
}

// pass is one pass over the waiting jobs of a region.
type pass struct {
	scheduler *Scheduler
	region    *region
	now       time.Time
	// failedPlacements are the placements that did not fit in this pass.
	failedPlacements map[placementAttempt]bool
	reservation      *reservation
	feasibleShapes   map[commander.Shape]bool
	// failedPreemptions are the preemptions that failed in this pass.
	failedPreemptions map[preemptionAttempt]bool
	// used and protected are the accelerators of gangs and of protected gangs, by
	// workspace.
	used, protected map[identifier.Workspace]int
}

// sumUsage adds up the accelerators that the workspaces occupy in the region.
func (pass *pass) sumUsage() {
	pass.used = make(map[identifier.Workspace]int)
	pass.protected = make(map[identifier.Workspace]int)
	for _, job := range pass.scheduler.jobs {
		if job.region != pass.region.name {
			continue
		}
		if job.gang != nil || job.targetWorkers != nil {
			pass.used[job.spec.Workspace] += job.spec.Shape.TotalAccelerators()
		}
		if job.protected {
			pass.protected[job.spec.Workspace] += job.spec.Shape.TotalAccelerators()
		}
	}
}

func (pass *pass) run() {
	for _, queue := range pass.region.queues {
		queue.compact()
	}
	pass.launchCleared()
	pass.promote()
	fairQueue := pass.newFairQueue()
	pass.region.waitingCount = 0
	for job := fairQueue.next(); job != nil; job = fairQueue.next() {
		pass.region.waitingCount++
		if pass.tryPlace(job) {
			pass.used[job.spec.Workspace] += job.spec.Shape.TotalAccelerators()
			if job.protected {
				pass.protected[job.spec.Workspace] += job.spec.Shape.TotalAccelerators()
			}
		}
	}
}

// tryPlace places a job if that is possible now and reports whether it did.
func (pass *pass) tryPlace(job *job) bool {
	scheduler, region := pass.scheduler, pass.region
	switch {
	case job.offset <= identifier.Offset(region.term) && pass.now.Before(region.unresolvedTasksEndAt):
		// Tasks of the job may still run on workers that did not answer or are not in
		// this node's VM list, even if all listed workers have answered.
		job.reason = classifier.NotReady
		scheduler.requestPlanAt(region, region.unresolvedTasksEndAt)
		return false
	case len(job.unreleased) > 0 && pass.now.Before(job.unreleasedUntil):
		job.reason = classifier.NotReady
		scheduler.requestPlanAt(region, job.unreleasedUntil)
		return false
	case job.cancelled:
		scheduler.setOutcome(pass.now, job, cancelledOutcome())
		return false
	}
	if quota := scheduler.workspaces[job.spec.Workspace].Quota; quota > 0 && pass.used[job.spec.Workspace]+job.spec.Shape.TotalAccelerators() > quota {
		job.reason = classifier.QuotaExceeded
		return false
	}
	withinGuarantee, failed := pass.isWithinGuarantee(job), job.failedWorkers()
	if pass.placeFree(job, withinGuarantee) || pass.preempt(job, withinGuarantee, failed) {
		return true
	}
	if failed != nil && pass.preempt(job, withinGuarantee, nil) {
		return true
	}
	job.reason = classifier.NoCapacity
	if pass.isFeasible(job.spec.Shape) {
		pass.reserveIfOverdue(job)
	} else {
		pass.endInfeasible(job)
	}
	return false
}

// endInfeasible ends a job whose shape fits on no set of known workers. During
// listSettlingTime the job waits, because the VM list may have lacked live workers
// from the start.
func (pass *pass) endInfeasible(job *job) {
	decidableAt := pass.region.listedSince.Add(listSettlingTime)
	if pass.now.Before(decidableAt) {
		pass.scheduler.requestPlanAt(pass.region, decidableAt)
		return
	}
	pass.scheduler.setOutcome(pass.now, job, messenger.Outcome{
		Code: classifier.Infeasible, Reason: "the shape does not fit on any set of workers of the region",
	})
}

// placeFree places a job on unoccupied accelerators. A job within its guarantee that
// cannot be protected there is placed by preemption if that is possible.
func (pass *pass) placeFree(job *job, withinGuarantee bool) bool {
	avoided, reserved := pass.avoidedWorkers(job)
	tried := placementAttempt{job.spec.Shape, reserved}
	if pass.failedPlacements[tried] && len(job.failures) == 0 {
		return false
	}
	scheduler, region := pass.scheduler, pass.region
	request := placer.Request{Shape: job.spec.Shape, Avoid: avoided, FirstFit: !scheduler.parameters.isEnabled(BestFit)}
	workers := region.fleet.Place(request)
	if workers == nil && len(job.failures) > 0 && !reserved {
		request.Avoid = nil
		workers = region.fleet.Place(request)
	}
	if workers == nil {
		// A job without failures may still fit on the workers where this one failed.
		if request.Avoid == nil || len(job.failures) == 0 {
			pass.failedPlacements[tried] = true
		}
		return false
	}
	if withinGuarantee && !scheduler.protect(region, job, workers) && pass.preempt(job, true, job.failedWorkers()) {
		return true
	}
	scheduler.launch(pass.now, region, job, workers)
	return true
}

// isFeasible reports whether the shape would fit if all workers were unoccupied.
func (pass *pass) isFeasible(shape commander.Shape) bool {
	if answer, ok := pass.feasibleShapes[shape]; ok {
		return answer
	}
	if pass.feasibleShapes == nil {
		pass.feasibleShapes = make(map[commander.Shape]bool)
	}
	pass.feasibleShapes[shape] = len(pass.region.workers) == 0 || pass.region.fleet.IsFeasible(shape)
	return pass.feasibleShapes[shape]
}

// failedWorkers returns the workers on which the job failed.
func (job *job) failedWorkers() map[identifier.Worker]bool {
	if len(job.failures) == 0 {
		return nil
	}
	workers := make(map[identifier.Worker]bool, len(job.failures))
	for _, failure := range job.failures {
		workers[failure.worker] = true
	}
	return workers
}
