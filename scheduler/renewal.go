package scheduler

import (
	"time"

	"corianderroad/messenger"
)

// renew starts a round of renewals: one call to each worker that runs a gang.
func (scheduler *Scheduler) renew(now time.Time, region *region) {
	if now.Before(region.nextRenewalRound) || !region.adoptionDeadline.IsZero() {
		return
	}
	region.nextRenewalRound = now.Add(scheduler.parameters.RenewInterval)
	last := region.renewalRoundAt
	region.renewalRoundAt = now
	for _, worker := range region.sortedWorkers() {
		for _, job := range worker.jobs {
			// A gang is renewed only if every member has answered since the last
			// round began.
			if job.gang != nil && job.renewedRoundAt != now && job.gang.IsRenewable(last) {
				job.renewedRoundAt = now
			}
		}
		scheduler.renewWorker(now, region, worker)
	}
}

// renewWorker sends a worker a renewal of all gangs of the current round. The lease
// is that of the gang with the earliest deadline, whose members were observed the
// longest ago.
func (scheduler *Scheduler) renewWorker(now time.Time, region *region, worker *worker) {
	if worker.renewCall != 0 || len(worker.jobs) == 0 {
		return
	}
	request := messenger.CallWorker{Kind: messenger.RenewTasks}
	var deadline, receivedAt time.Time
	for _, job := range worker.jobs {
		if job.gang == nil || !job.renewedRoundAt.Equal(region.renewalRoundAt) {
			continue
		}
		// A repeated call may follow newer observations and grant a longer lease than
		// the first call of the round.
		job.gang.ExtendExpiry(job.gang.RenewalDeadline())
		request.Gangs = append(request.Gangs, job.gang.Order().Gang)
		deadline = earliest(deadline, job.gang.RenewalDeadline())
		if observation := job.gang.Observation(worker.name); observation.ReceivedAt.After(receivedAt) {
			receivedAt, request.WorkerClock = observation.ReceivedAt, observation.WorkerClock
		}
	}
	request.Lease = deadline.Sub(receivedAt)
	worker.renewCall = scheduler.send(now, region, worker, nil, request)
}
