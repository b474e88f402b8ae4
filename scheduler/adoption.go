package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/leaser"
	"corianderroad/messenger"
)

// adoptionTimeout bounds the time for reading the workers' state. It is shorter
// than the leases of running gangs.
const adoptionTimeout = 4 * time.Second

// reportedGang is a gang of an earlier holder as reported by its workers.
type reportedGang struct {
	tasks        map[identifier.Worker]messenger.Task
	observations map[identifier.Worker]leaser.Observation
}

// beginAdoption requests the state of all workers of the region. Nothing is placed
// until all have answered or adoptionTimeout has passed.
func (scheduler *Scheduler) beginAdoption(now time.Time, region *region) {
	region.adoptionDeadline = now.Add(adoptionTimeout)
	region.reportedGangs = make(map[messenger.Gang]*reportedGang)
	region.nextPoll = now
	for _, worker := range region.workers {
		worker.hasAnswered, worker.pollAt = false, now
	}
}

// recordReport records a task that a worker reported during the adoption.
func (region *region) recordReport(worker identifier.Worker, observation leaser.Observation, task messenger.Task) {
	reported, ok := region.reportedGangs[task.Gang]
	if !ok {
		reported = &reportedGang{make(map[identifier.Worker]messenger.Task), make(map[identifier.Worker]leaser.Observation)}
		region.reportedGangs[task.Gang] = reported
	}
	reported.tasks[worker], reported.observations[worker] = task, observation
}

// adopt ends the adoption once all workers have answered or adoptionTimeout has
// passed. Complete gangs continue to run; all others are released.
func (scheduler *Scheduler) adopt(now time.Time, region *region) {
	if region.adoptionDeadline.IsZero() {
		return
	}
	unanswered := 0
	for _, worker := range region.workers {
		if !worker.hasAnswered {
			unanswered++
		}
	}
	if unanswered > 0 && now.Before(region.adoptionDeadline) {
		return
	}
	gangs := make([]messenger.Gang, 0, len(region.reportedGangs))
	for gang := range region.reportedGangs {
		gangs = append(gangs, gang)
	}
	slices.SortFunc(gangs, func(a, b messenger.Gang) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(b.Placement, a.Placement))
	})
	adopted, reported := 0, region.reportedGangs
	region.adoptionDeadline, region.reportedGangs = time.Time{}, nil
	for _, gang := range gangs {
		switch {
		case scheduler.isCurrentGang(gang):
		case scheduler.adoptGang(now, region, gang, reported[gang]):
			adopted++
		default:
			scheduler.releaseReported(now, region, gang, reported[gang])
		}
	}
	scheduler.transition(string(region.name), "adopting", "placing",
		fmt.Sprintf("adopted %d of %d gangs, %d workers did not answer", adopted, len(gangs), unanswered))
	region.renewalRoundAt = now.Add(-adoptionTimeout)
	region.nextRenewalRound = now
	scheduler.requestPlan(now, region)
}

// adoptGang adopts a gang if every member is running or completed, and reports
// whether it did.
func (scheduler *Scheduler) adoptGang(now time.Time, region *region, gang messenger.Gang, reported *reportedGang) bool {
	job, ok := scheduler.jobs[gang.Job]
	if !ok || job.region != region.name || job.gang != nil || job.cancelled || job.outcome != nil {
		return false
	}
	order := leaser.Order{Gang: gang, Accelerators: job.spec.Shape.Accelerators, RunTime: job.spec.RunTime}
	for _, task := range reported.tasks {
		order.Workers = task.Members
		break
	}
	if len(order.Workers) != job.spec.Shape.Members {
		return false
	}
	for i, name := range order.Workers {
		task, ok := reported.tasks[name]
		if !ok || region.workers[name] == nil || (task.State != messenger.Running && task.State != messenger.Completed) {
			return false
		}
		if i == 0 || task.Progress < order.Progress {
			order.Progress = task.Progress
		}
	}
	job.progress = max(job.progress, order.Progress)
	scheduler.occupy(region, job, leaser.Adopt(now, order, scheduler.parameters.Timing, reported.observations))
	job.setState(now, running)
	for _, name := range order.Workers {
		task := reported.tasks[name]
		job.gang.Observe(now, name, reported.observations[name], &task)
	}
	scheduler.recordDecision(now, string(gang.Job), "adopted", workerSetName(order.Workers))
	scheduler.wakeups.schedule(job, now)
	return true
}

// handleRelease records that a worker has released a task of an earlier holder.
func (scheduler *Scheduler) handleRelease(now time.Time, region *region, answer messenger.WorkerAnswered) {
	job, ok := scheduler.jobs[answer.Gang.Job]
	if !ok || answer.Err != nil || !job.unreleased[answer.Worker] {
		return
	}
	delete(job.unreleased, answer.Worker)
	if len(job.unreleased) == 0 {
		scheduler.requestPlan(now, region)
	}
}

// releaseReported releases the reported tasks of a gang that is not adopted. A
// lost release is repeated when the worker reports the task again.
func (scheduler *Scheduler) releaseReported(now time.Time, region *region, gang messenger.Gang, reported *reportedGang) {
	job := scheduler.jobs[gang.Job]
	if job != nil && job.unreleased == nil {
		job.unreleased, job.unreleasedUntil = make(map[identifier.Worker]bool), now.Add(scheduler.parameters.Timing.Lease)
	}
	for _, worker := range region.sortedWorkers() {
		if _, ok := reported.tasks[worker.name]; ok && job != nil {
			job.unreleased[worker.name] = true
		}
		if _, ok := reported.tasks[worker.name]; ok && !worker.releasing {
			worker.releasing = true
			scheduler.send(now, region, worker, nil, messenger.CallWorker{Kind: messenger.ReleaseTask, Gang: gang})
		}
	}
	scheduler.recordDecision(now, string(gang.Job), "released", "the gang was incomplete or its job has ended")
}
