package scheduler

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/querier"
)

func (scheduler *Scheduler) view(now time.Time, query querier.Query) querier.Answer {
	var answer querier.Answer
	switch query.Kind {
	case querier.Status:
		for _, region := range scheduler.sortedRegions() {
			if region.held {
				answer.Merge(scheduler.viewRegion(now, region, query))
			}
		}
	case querier.Explain:
		answer.Decisions = scheduler.history.about(query.Subject)
	}
	return answer
}

// viewRegion returns the jobs, workers and gauges of a region that this node holds.
func (scheduler *Scheduler) viewRegion(now time.Time, region *region, query querier.Query) querier.Answer {
	var answer querier.Answer
	waits := 0
	for _, job := range scheduler.jobs {
		if job.region != region.name || (query.Workspace != "" && query.Workspace != job.spec.Workspace) {
			continue
		}
		row := querier.Job{
			Job: job.spec.Job, Workspace: job.spec.Workspace, Region: job.region,
			State: job.state.String(), Workers: job.holding, Since: job.since,
		}
		if job.state == waiting {
			waits++
			row.Reason = job.reason.Name()
		}
		answer.Jobs = append(answer.Jobs, row)
	}
	slices.SortFunc(answer.Jobs, func(a, b querier.Job) int { return cmp.Compare(a.Job, b.Job) })
	for _, worker := range region.sortedWorkers() {
		free, total := region.fleet.Free(worker.name)
		answer.Workers = append(answer.Workers, querier.Worker{
			Worker: worker.name, Rack: worker.vm.Rack, Free: free, Total: total, State: worker.state(now),
		})
	}
	fraction, largest := region.fleet.Fragmentation()
	label := string(region.name)
	answer.Gauges = []querier.Gauge{
		{Name: "fragmentation_ratio", Label: label, Value: fraction},
		{Name: "largest_free_rack_accelerators", Label: label, Value: float64(largest)},
		{Name: "waiting_jobs", Label: label, Value: float64(waits)},
	}
	return answer
}
