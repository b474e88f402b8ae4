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

// adoptionPatience is how long the reading of the workers' state may take. The
// leases of running gangs last longer.
const adoptionPatience = 4 * time.Second

// remains is a gang of an earlier holder as its workers report it.
type remains struct {
	tasks     map[identifier.Worker]messenger.Task
	sightings map[identifier.Worker]leaser.Sighting
}

// beginAdoption reads the state of all workers of the region. Nothing is
// placed until they answered or the patience is over.
func (scheduler *Scheduler) beginAdoption(now time.Time, region *region) {
	region.adoptUntil = now.Add(adoptionPatience)
	region.adopted = make(map[messenger.Gang]*remains)
	region.nextPoll = now
	for _, worker := range region.workers {
		worker.heard, worker.pollAt = false, now
	}
}

// collect notes a task that a worker reported.
func (region *region) collect(worker identifier.Worker, sighting leaser.Sighting, task messenger.Task) {
	found, ok := region.adopted[task.Gang]
	if !ok {
		found = &remains{make(map[identifier.Worker]messenger.Task), make(map[identifier.Worker]leaser.Sighting)}
		region.adopted[task.Gang] = found
	}
	found.tasks[worker], found.sightings[worker] = task, sighting
}

// adopt ends the reading of the workers' state once all answered: complete
// gangs go on, all others are released.
func (scheduler *Scheduler) adopt(now time.Time, region *region) {
	if region.adoptUntil.IsZero() {
		return
	}
	silent := 0
	for _, worker := range region.workers {
		if !worker.heard {
			silent++
		}
	}
	if silent > 0 && now.Before(region.adoptUntil) {
		return
	}
	if silent == 0 {
		region.settledAt = now
	}
	gangs := make([]messenger.Gang, 0, len(region.adopted))
	for gang := range region.adopted {
		gangs = append(gangs, gang)
	}
	slices.SortFunc(gangs, func(a, b messenger.Gang) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(b.Placement, a.Placement))
	})
	adopted, found := 0, region.adopted
	region.adoptUntil, region.adopted = time.Time{}, nil
	for _, gang := range gangs {
		switch {
		case scheduler.tracks(gang):
		case scheduler.adoptGang(now, region, gang, found[gang]):
			adopted++
		default:
			scheduler.releaseRemains(now, region, gang, found[gang])
		}
	}
	scheduler.transition(string(region.name), "adopting", "placing",
		fmt.Sprintf("adopted %d of %d gangs, %d workers silent", adopted, len(gangs), silent))
	region.roundAt = now.Add(-adoptionPatience)
	region.nextRound = now
	scheduler.change(now, region)
}

// adoptGang takes over a gang of which every member runs or completed.
func (scheduler *Scheduler) adoptGang(now time.Time, region *region, gang messenger.Gang, found *remains) bool {
	job, ok := scheduler.jobs[gang.Job]
	if !ok || job.region != region.name || job.gang != nil || job.cancelled || job.outcome != nil {
		return false
	}
	order := leaser.Order{Gang: gang, Accelerators: job.spec.Shape.Accelerators, RunTime: job.spec.RunTime}
	for _, task := range found.tasks {
		order.Workers = task.Members
		break
	}
	if len(order.Workers) != job.spec.Shape.Members {
		return false
	}
	for i, name := range order.Workers {
		task, ok := found.tasks[name]
		if !ok || region.workers[name] == nil || (task.State != messenger.Running && task.State != messenger.Completed) {
			return false
		}
		if i == 0 || task.Progress < order.Progress {
			order.Progress = task.Progress
		}
	}
	job.progress = max(job.progress, order.Progress)
	scheduler.occupy(region, job, leaser.Adopt(now, order, scheduler.parameters.Timing, found.sightings))
	job.become(now, running)
	for _, name := range order.Workers {
		task := found.tasks[name]
		job.gang.Saw(now, name, found.sightings[name], &task)
	}
	scheduler.decide(now, string(gang.Job), "adopted", setOf(order.Workers))
	scheduler.agenda.schedule(job, now)
	return true
}

// released notes that a worker no longer runs what an earlier holder left.
func (scheduler *Scheduler) released(now time.Time, region *region, answer messenger.WorkerAnswered) {
	job, ok := scheduler.jobs[answer.Gang.Job]
	if !ok || answer.Err != nil || !job.remains[answer.Worker] {
		return
	}
	delete(job.remains, answer.Worker)
	if len(job.remains) == 0 {
		scheduler.change(now, region)
	}
}

// releaseRemains ends what is left of a gang. A release that is lost is sent
// again when the worker reports the task again.
func (scheduler *Scheduler) releaseRemains(now time.Time, region *region, gang messenger.Gang, found *remains) {
	job := scheduler.jobs[gang.Job]
	if job != nil && job.remains == nil {
		job.remains, job.remainsUntil = make(map[identifier.Worker]bool), now.Add(scheduler.parameters.Timing.Lease)
	}
	for _, worker := range region.sortedWorkers() {
		if _, ok := found.tasks[worker.name]; ok && job != nil {
			job.remains[worker.name] = true
		}
		if _, ok := found.tasks[worker.name]; ok && !worker.clearing {
			worker.clearing = true
			scheduler.ask(now, region, worker, nil, messenger.AskWorker{Kind: messenger.ReleaseTask, Gang: gang})
		}
	}
	scheduler.decide(now, string(gang.Job), "released", "the gang was incomplete or its job has ended")
}
