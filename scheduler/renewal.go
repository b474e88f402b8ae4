package scheduler

import (
	"time"

	"corianderroad/messenger"
)

// renew starts a round of renewals: one call to each worker that runs a gang.
func (scheduler *Scheduler) renew(now time.Time, region *region) {
	if now.Before(region.nextRound) || !region.adoptUntil.IsZero() {
		return
	}
	region.nextRound = now.Add(scheduler.parameters.RenewEvery)
	last := region.roundAt
	region.roundAt = now
	for _, worker := range region.sortedWorkers() {
		for _, job := range worker.jobs {
			// A gang is renewed only if every member answered in the last round.
			if job.gang != nil && job.renewed != now && job.gang.Renewable(last) {
				job.renewed = now
				job.gang.Extend(job.gang.Deadline())
			}
		}
		scheduler.renewWorker(now, region, worker)
	}
}

// renewWorker asks a worker to renew all gangs of the current round. The lease
// is that of the gang whose members were observed the longest ago.
func (scheduler *Scheduler) renewWorker(now time.Time, region *region, worker *worker) {
	if worker.renewing != 0 || len(worker.jobs) == 0 {
		return
	}
	ask := messenger.CallWorker{Kind: messenger.RenewTasks}
	var deadline, answeredAt time.Time
	for _, job := range worker.jobs {
		if job.gang == nil || !job.renewed.Equal(region.roundAt) {
			continue
		}
		ask.Gangs = append(ask.Gangs, job.gang.Order().Gang)
		deadline = earliest(deadline, job.gang.Deadline())
		if observation := job.gang.Observation(worker.name); observation.AnsweredAt.After(answeredAt) {
			answeredAt, ask.WorkerClock = observation.AnsweredAt, observation.Mark
		}
	}
	ask.Lease = deadline.Sub(answeredAt)
	worker.renewing = scheduler.ask(now, region, worker, nil, ask)
}
