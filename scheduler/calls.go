package scheduler

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/leaser"
	"corianderroad/messenger"
)

// Bounds of the delay before a worker that did not answer is polled again.
const (
	minPollRetryDelay = time.Second
	maxPollRetryDelay = 30 * time.Second
)

// call is a call to a worker that has not been answered yet.
type call struct {
	region *region
	term   identifier.Term
	worker *worker
	job    *job
	sentAt time.Time
}

// send sends a call to a worker of the region and returns its sequence number.
func (scheduler *Scheduler) send(now time.Time, region *region, worker *worker, job *job, request messenger.CallWorker) uint64 {
	scheduler.sequence++
	request.Sequence, request.Term = scheduler.sequence, region.term
	request.Worker, request.Address = worker.name, worker.vm.Address
	scheduler.calls[request.Sequence] = call{region, region.term, worker, job, now}
	scheduler.emit(request)
	return request.Sequence
}

// handleWorkerAnswered applies an answer to the worker, to the gang of the call and
// to every other gang on the worker.
func (scheduler *Scheduler) handleWorkerAnswered(now time.Time, answer messenger.WorkerAnswered) {
	call, ok := scheduler.calls[answer.Sequence]
	delete(scheduler.calls, answer.Sequence)
	if !ok || !call.region.held || call.term != call.region.term {
		return
	}
	region, worker := call.region, call.worker
	isNewerTerm := answer.HighestTerm > region.term || (answer.Err != nil && answer.Err.Code == classifier.StaleTerm)
	if isNewerTerm && !worker.hasInvalidTerm(answer.HighestTerm) {
		scheduler.stepDown(now, region, "a worker has seen a newer term")
		return
	}
	observation := leaser.Observation{SentAt: call.sentAt, ReceivedAt: now, WorkerClock: answer.WorkerClock}
	switch answer.Kind {
	case messenger.RenewTasks:
		worker.renewCall = 0
	case messenger.ReadState:
		if worker.pollCall == answer.Sequence {
			worker.pollCall = 0
		}
		worker.hasReported = worker.hasReported || region.isAdoptionAnswer(call.sentAt, answer)
	}
	scheduler.recordAnswer(now, region, worker, answer)
	if job := call.job; job != nil && job.gang != nil && job.gang.Order().Gang == answer.Gang {
		job.gang.HandleAnswer(now, answer, observation)
		scheduler.wakeups.schedule(job, now)
	} else if answer.Kind == messenger.ReleaseTask {
		worker.releasing = false
		scheduler.handleRelease(now, region, answer)
	}
	if answer.Err != nil {
		if answer.Kind == messenger.RenewTasks && !isNewerTerm && now.Sub(region.renewalRoundAt) < scheduler.parameters.RenewInterval/2 {
			scheduler.renewWorker(now, region, worker)
		}
		return
	}
	scheduler.reconcile(now, region, worker, observation, answer)
}

// recordAnswer updates the reachability of a worker after an answer or a failed
// call.
func (scheduler *Scheduler) recordAnswer(now time.Time, region *region, worker *worker, answer messenger.WorkerAnswered) {
	if answer.Err != nil {
		switch answer.Err.Code {
		case classifier.RingFull:
			worker.pollAt = now.Add(minPollRetryDelay)
		case classifier.NoCapacity, classifier.LeaseExpired, classifier.BadRequest:
			worker.health.avoidUntil = now.Add(avoidDuration)
			worker.pollAt = now.Add(avoidDuration)
		default:
			worker.missedAnswers++
			worker.pollAt = now.Add(min(minPollRetryDelay<<min(worker.missedAnswers-1, 8), maxPollRetryDelay))
		}
		region.fleet.SetUsable(worker.name, worker.isUsable(now))
		region.nextPoll = earliest(region.nextPoll, worker.pollAt)
		return
	}
	worker.hasAnswered, worker.missedAnswers, worker.answeredAt = true, 0, now
	region.nextPoll = earliest(region.nextPoll, now.Add(scheduler.parameters.PollInterval))
	if region.fleet.SetUsable(worker.name, worker.isUsable(now)) {
		scheduler.requestPlan(now, region)
	}
	if answer.Accelerators != worker.accelerators {
		worker.accelerators = answer.Accelerators
		scheduler.rebuild(region)
		scheduler.requestPlan(now, region)
	}
}

// reconcile compares the tasks on a worker with the gangs that are placed there.
func (scheduler *Scheduler) reconcile(now time.Time, region *region, worker *worker, observation leaser.Observation, answer messenger.WorkerAnswered) {
	for _, job := range worker.jobs {
		if job.gang == nil {
			continue
		}
		before := job.gang.Phase()
		job.gang.Observe(now, worker.name, observation, findTask(answer.Tasks, job.gang.Order().Gang))
		if job.gang.Phase() != before {
			scheduler.wakeups.schedule(job, now)
		}
	}
	for _, task := range answer.Tasks {
		if job, ok := scheduler.jobs[task.Gang.Job]; ok {
			job.placement = max(job.placement, task.Gang.Placement)
			job.progress = max(job.progress, progressOf(job, task))
		}
		if !region.adoptionDeadline.IsZero() {
			// Only the answer to ReadState always contains the members.
			if region.isAdoptionAnswer(observation.SentAt, answer) {
				region.recordReport(worker.name, observation, task)
			}
		} else if !scheduler.isCurrentGang(task.Gang) && !worker.releasing {
			worker.releasing = true
			scheduler.send(now, region, worker, nil, messenger.CallWorker{Kind: messenger.ReleaseTask, Gang: task.Gang})
		}
	}
}

// progressOf returns the progress of the job's checkpoint according to a task of an
// ended gang. It returns zero for a gang of several members, because the progress
// then depends on all of them.
func progressOf(job *job, task messenger.Task) time.Duration {
	if job.spec.Shape.Members == 1 {
		return task.Progress
	}
	return 0
}

func findTask(tasks []messenger.Task, gang messenger.Gang) *messenger.Task {
	for i := range tasks {
		if tasks[i].Gang == gang {
			return &tasks[i]
		}
	}
	return nil
}

// isCurrentGang reports whether a gang is the current one of its job.
func (scheduler *Scheduler) isCurrentGang(gang messenger.Gang) bool {
	job, ok := scheduler.jobs[gang.Job]
	return ok && job.gang != nil && job.gang.Order().Gang == gang
}

// pollWorkers requests the state of the workers whose poll is due.
func (scheduler *Scheduler) pollWorkers(now time.Time, region *region) {
	if region.nextPoll.IsZero() || now.Before(region.nextPoll) {
		return
	}
	region.nextPoll = time.Time{}
	for _, worker := range region.sortedWorkers() {
		due := worker.pollAt
		if due.IsZero() {
			due = worker.answeredAt.Add(scheduler.parameters.PollInterval)
		}
		if worker.pollCall == 0 && !now.Before(due) {
			worker.pollAt = time.Time{}
			worker.pollCall = scheduler.send(now, region, worker, nil, messenger.CallWorker{Kind: messenger.ReadState})
		} else if worker.pollCall == 0 {
			region.nextPoll = earliest(region.nextPoll, due)
		}
	}
}
