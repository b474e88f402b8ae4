package scheduler

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/placer"
)

// plan goes over the waiting jobs of a region in fair order.
func (scheduler *Scheduler) plan(now time.Time, region *region) {
	if !region.dirty || now.Before(region.nextPlan) || !scheduler.placing(region) {
		return
	}
	region.dirty, region.plannedAt, region.nextPlan = false, now, time.Time{}
	for _, worker := range region.workers {
		region.fleet.SetUsable(worker.name, worker.usable(now))
	}
	scheduler.refreshLedger(now, region)
	pass := &pass{scheduler: scheduler, region: region, now: now, unplaceable: make(map[fitting]bool), unclearable: make(map[attempt]bool)}
	pass.count()
	pass.run()
}

// attempt is what makes attempts at preemption equal.
type attempt struct {
	workspace identifier.Workspace
	shape     commander.Shape
	within    bool
}

// fitting is what makes two placements on free accelerators equal.
type fitting struct {
	shape commander.Shape
	held  bool
}

// pass is one pass over the waiting jobs of a region.
type pass struct {
	scheduler *Scheduler
	region    *region
	now       time.Time
	// unplaceable are shapes that did not fit in this pass.
	unplaceable map[fitting]bool
	hold        *hold
	fits        map[commander.Shape]bool
	// unclearable are attempts at preemption that failed in this pass.
	unclearable map[attempt]bool
	// used and protected are accelerators by workspace.
	used, protected map[identifier.Workspace]int
}

// count adds up what the workspaces occupy in the region.
func (pass *pass) count() {
	pass.used = make(map[identifier.Workspace]int)
	pass.protected = make(map[identifier.Workspace]int)
	for _, job := range pass.scheduler.jobs {
		if job.region != pass.region.name {
			continue
		}
		if job.gang != nil || job.target != nil {
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
	line := pass.line()
	pass.region.waits = 0
	for job := line.next(); job != nil; job = line.next() {
		pass.region.waits++
		if pass.consider(job) {
			pass.used[job.spec.Workspace] += job.spec.Shape.TotalAccelerators()
			if job.protected {
				pass.protected[job.spec.Workspace] += job.spec.Shape.TotalAccelerators()
			}
		}
	}
}

// consider places a job if that is possible now and says whether it did.
func (pass *pass) consider(job *job) bool {
	scheduler, region := pass.scheduler, pass.region
	switch {
	case job.cancelled:
		scheduler.conclude(pass.now, job, cancelledOutcome())
		return false
	case job.offset <= identifier.Offset(region.term) && pass.now.Before(region.settledAt):
		// Tasks of the job may still run on workers that did not answer.
		job.reason = classifier.NotReady
		scheduler.requestPlanAt(region, region.settledAt)
		return false
	}
	if len(job.unreleased) > 0 && pass.now.Before(job.unreleasedUntil) {
		job.reason = classifier.NotReady
		scheduler.requestPlanAt(region, job.unreleasedUntil)
		return false
	}
	if quota := scheduler.workspaces[job.spec.Workspace].Quota; quota > 0 && pass.used[job.spec.Workspace]+job.spec.Shape.TotalAccelerators() > quota {
		job.reason = classifier.QuotaExceeded
		return false
	}
	within := pass.within(job)
	if pass.placeFree(job, within) || pass.preempt(job, within) {
		return true
	}
	job.reason = classifier.NoCapacity
	if pass.feasible(job.spec.Shape) {
		pass.considerHold(job)
	} else {
		scheduler.conclude(pass.now, job, messenger.Outcome{
			Code: classifier.Infeasible, Reason: "no set of workers of the region can hold the shape",
		})
	}
	return false
}

// placeFree places a job on unoccupied accelerators. A job within its guarantee
// that could not be protected there is left to preemption.
func (pass *pass) placeFree(job *job, within bool) bool {
	avoided, held := pass.avoid(job)
	tried := fitting{job.spec.Shape, held}
	if pass.unplaceable[tried] && len(job.failures) == 0 {
		return false
	}
	scheduler, region := pass.scheduler, pass.region
	request := placer.Request{Shape: job.spec.Shape, Avoid: avoided, FirstFit: !scheduler.parameters.uses(BestFit)}
	workers := region.fleet.Place(request)
	if workers == nil && len(job.failures) > 0 && !held {
		request.Avoid = nil
		workers = region.fleet.Place(request)
	}
	if workers == nil {
		pass.unplaceable[tried] = true
		return false
	}
	if within && !scheduler.protect(region, job, workers) && pass.preempt(job, true) {
		return true
	}
	scheduler.launch(pass.now, region, job, workers)
	return true
}

// feasible says whether the shape would fit if all workers were unoccupied.
func (pass *pass) feasible(shape commander.Shape) bool {
	if answer, ok := pass.fits[shape]; ok {
		return answer
	}
	if pass.fits == nil {
		pass.fits = make(map[commander.Shape]bool)
	}
	pass.fits[shape] = len(pass.region.workers) == 0 || pass.region.fleet.Feasible(shape)
	return pass.fits[shape]
}

// avoided returns the workers on which the job failed.
func (job *job) avoided() map[identifier.Worker]bool {
	if len(job.failures) == 0 {
		return nil
	}
	avoided := make(map[identifier.Worker]bool, len(job.failures))
	for _, failure := range job.failures {
		avoided[failure.worker] = true
	}
	return avoided
}
