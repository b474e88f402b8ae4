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
	pass := &pass{scheduler: scheduler, region: region, now: now, unplaceable: make(map[commander.Shape]bool)}
	pass.run()
}

// pass is one pass over the waiting jobs of a region.
type pass struct {
	scheduler *Scheduler
	region    *region
	now       time.Time
	// unplaceable are shapes that did not fit in this pass.
	unplaceable map[commander.Shape]bool
}

func (pass *pass) run() {
	for _, queue := range pass.region.queues {
		queue.compact()
	}
	for line := pass.lines(); ; {
		job := line.next()
		if job == nil {
			return
		}
		if pass.consider(job) {
			line.placed(job)
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
	case pass.unplaceable[job.spec.Shape] && len(job.failures) == 0:
		job.reason = classifier.NoCapacity
		return false
	case job.offset <= identifier.Offset(region.term) && pass.now.Before(region.settledAt):
		// Tasks of the job may still run on workers that did not answer.
		job.reason = classifier.NotReady
		scheduler.changeAt(region, region.settledAt)
		return false
	}
	workers := region.fleet.Place(placer.Request{
		Shape: job.spec.Shape, Avoid: job.avoided(), FirstFit: !scheduler.parameters.uses(BestFit),
	})
	if workers == nil && len(job.failures) > 0 {
		workers = region.fleet.Place(placer.Request{Shape: job.spec.Shape})
	}
	if workers == nil {
		if !region.fleet.Feasible(job.spec.Shape) {
			scheduler.conclude(pass.now, job, messenger.Outcome{
				Code: classifier.Infeasible, Reason: "no set of workers of the region can hold the shape",
			})
			return false
		}
		pass.unplaceable[job.spec.Shape] = true
		job.reason = classifier.NoCapacity
		return false
	}
	scheduler.launch(pass.now, region, job, workers)
	return true
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
