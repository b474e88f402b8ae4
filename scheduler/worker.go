package scheduler

import (
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/placer"
)

// unlistedRetention is how long a worker that is no longer listed still counts when
// the scheduler tests whether a shape can ever fit. Otherwise a gap in the VM list
// would end jobs as infeasible.
const unlistedRetention = 10 * time.Minute

// listSettlingTime is how long this node has known workers of a region before a shape
// that fits on none of them ends a job. The first VM list may lack live workers; the
// longest interval between two polls of the list is a minute.
const listSettlingTime = 2 * time.Minute

// worker is the state of a worker as seen by the holder of its region.
type worker struct {
	name         identifier.Worker
	vm           messenger.VM
	listed       bool
	accelerators int
	// hasAnswered means that the worker has answered in this term.
	hasAnswered bool
	// inLedger means that the guarantees are packed on the worker.
	inLedger bool
	// listedAt is when the worker was last listed.
	listedAt time.Time
	// missedAnswers is the number of calls without an answer since the last answer.
	missedAnswers int
	answeredAt    time.Time
	pollAt        time.Time
	// pollCall and renewCall are the sequence numbers of the open calls, zero for
	// none.
	pollCall, renewCall uint64
	// releasing means that the worker has not yet answered the release of a task that
	// belongs to no current gang.
	releasing bool
	// newerTerm is the last term of the worker that was newer than that of its
	// holder. newerTermReports counts the step-downs that it led to.
	newerTerm        identifier.Term
	newerTermReports int
	// jobs are the jobs whose gangs occupy the worker.
	jobs   []*job
	health health
}

// maxNewerTermReports is the number of step-downs because of the same term after
// which the term is invalid. A claim that is appended after the first report has a
// higher offset than every claim that the worker may have known. Several step-downs
// are needed, because claims that were appended before may be applied late.
// Should the term be valid all the same, the worker refuses every call of this
// holder, which then treats it like a worker that can't be reached.
const maxNewerTermReports = 3

// hasInvalidTerm reports whether no claim has the newer term that the worker
// reports, and counts the report if it may be valid.
func (worker *worker) hasInvalidTerm(term identifier.Term) bool {
	if term == 0 {
		return false
	}
	if term != worker.newerTerm {
		worker.newerTerm, worker.newerTermReports = term, 0
	}
	if worker.newerTermReports >= maxNewerTermReports {
		return true
	}
	worker.newerTermReports++
	return false
}

// isUsable reports whether gangs may be placed on the worker.
func (worker *worker) isUsable(now time.Time) bool {
	return worker.listed && !worker.vm.Leaving && worker.hasAnswered && worker.missedAnswers == 0 &&
		!now.Before(worker.health.quarantinedUntil) && !now.Before(worker.health.avoidUntil)
}

// state returns the worker's state as shown in answers.
func (worker *worker) state(now time.Time) string {
	switch {
	case now.Before(worker.health.quarantinedUntil):
		return "quarantined"
	case worker.vm.Leaving:
		return "leaving"
	case !worker.listed:
		return "unlisted"
	case !worker.hasAnswered:
		return "unknown"
	case worker.missedAnswers > 0:
		return "unreachable"
	}
	return "usable"
}

func (worker *worker) removeJob(removed *job) {
	worker.jobs = slices.DeleteFunc(worker.jobs, func(job *job) bool { return job == removed })
}

// handleVMsListed applies the VM list. A worker that is no longer listed is retained
// as long as a gang uses it, because the list lags behind the workers' answers.
func (scheduler *Scheduler) handleVMsListed(now time.Time, vms []messenger.VM) {
	wasListed := make(map[*worker]bool)
	for _, region := range scheduler.regions {
		for _, worker := range region.workers {
			wasListed[worker], worker.listed = worker.listed, false
		}
	}
	changed := make(map[*region]bool)
	for _, vm := range vms {
		if vm.Role != messenger.WorkerVM {
			continue
		}
		region := scheduler.region(vm.Region)
		name := identifier.Worker(vm.Name)
		current, ok := region.workers[name]
		if !ok {
			current = &worker{name: name, accelerators: vm.Accelerators, pollAt: now}
			region.workers[name] = current
			region.nextPoll = earliest(region.nextPoll, now)
		}
		if !wasListed[current] || current.vm != vm {
			changed[region] = true
		}
		if ok && current.vm.Address != vm.Address {
			current.hasAnswered, current.pollAt = false, now
			region.nextPoll = earliest(region.nextPoll, now)
		}
		current.vm, current.listed, current.listedAt = vm, true, now
	}
	for _, region := range scheduler.sortedRegions() {
		for name, worker := range region.workers {
			if !worker.listed {
				changed[region] = true
				if len(worker.jobs) == 0 && now.Sub(worker.listedAt) > unlistedRetention {
					delete(region.workers, name)
				}
			}
		}
		region.updateListedSince(now)
		if changed[region] {
			scheduler.rebuild(region)
			scheduler.requestPlan(now, region)
		}
	}
}

// updateListedSince applies the change of the known workers to listedSince.
func (region *region) updateListedSince(now time.Time) {
	switch {
	case len(region.workers) == 0:
		region.listedSince = time.Time{}
	case region.listedSince.IsZero():
		region.listedSince = now
	}
}

// rebuild builds the fleet again after workers were added, removed or changed.
func (scheduler *Scheduler) rebuild(region *region) {
	workers := make([]placer.Worker, 0, len(region.workers))
	for _, worker := range region.workers {
		workers = append(workers, placer.Worker{
			Worker: worker.name, Rack: worker.vm.Rack, Accelerators: worker.accelerators,
		})
	}
	region.fleet = placer.NewFleet(workers)
	for _, worker := range region.workers {
		for _, job := range worker.jobs {
			region.fleet.Occupy(worker.name, job.spec.Shape.Accelerators)
		}
	}
	for _, job := range region.clearing {
		for _, name := range job.targetWorkers {
			region.fleet.Reserve(name, job.spec.Shape.Accelerators)
		}
	}
	region.ledgerStale = true
}
