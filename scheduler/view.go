package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"corianderroad/identifier"
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
		answer.Decisions = scheduler.explain(now, query)
	case querier.Shares:
		for _, region := range scheduler.sortedRegions() {
			if region.held {
				answer.Shares = append(answer.Shares, scheduler.viewShares(region, query)...)
			}
		}
	}
	return answer
}

// explain returns the decisions about a subject and, for a waiting job, why it
// waits now.
func (scheduler *Scheduler) explain(now time.Time, query querier.Query) []querier.Decision {
	decisions := scheduler.decisions.Find(query.Subject)
	job, ok := scheduler.jobs[identifier.Job(query.Subject)]
	if ok && job.state == waiting && scheduler.region(job.region).held {
		decisions = append(decisions, querier.Decision{
			At: now, Node: scheduler.identity.Node, Subject: query.Subject, Reason: job.reason.Name(),
			Detail: fmt.Sprintf("waits since %s, %d failures", job.since.UTC().Format(time.RFC3339), len(job.failures)),
		})
	}
	return decisions
}

// viewShares returns the shares of a region that this node holds, by workspace.
func (scheduler *Scheduler) viewShares(region *region, query querier.Query) []querier.Share {
	used := make(map[identifier.Workspace]int)
	for _, job := range scheduler.jobs {
		if job.region == region.name && job.gang != nil {
			used[job.spec.Workspace] += job.spec.Shape.TotalAccelerators()
		}
	}
	shares := make([]querier.Share, 0, len(scheduler.workspaces))
	for workspace := range scheduler.workspaces {
		if query.Workspace != "" && query.Workspace != workspace {
			continue
		}
		shares = append(shares, querier.Share{
			Workspace: workspace, Guaranteed: scheduler.guaranteed(region, workspace),
			Used: used[workspace], Covered: region.ledger != nil && !region.uncovered[workspace],
		})
	}
	slices.SortFunc(shares, func(a, b querier.Share) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return shares
}

// viewRegion returns the jobs, workers and gauges of a region that this node holds.
func (scheduler *Scheduler) viewRegion(now time.Time, region *region, query querier.Query) querier.Answer {
	var answer querier.Answer
	waitingJobs := 0
	for _, job := range scheduler.jobs {
		if job.region != region.name || (query.Workspace != "" && query.Workspace != job.spec.Workspace) {
			continue
		}
		row := querier.Job{
			Job: job.spec.Job, Workspace: job.spec.Workspace, Region: job.region,
			State: job.state.String(), Workers: job.occupiedWorkers, Since: job.since,
		}
		if job.state == waiting {
			waitingJobs++
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
		{Name: "fragmentation-ratio", Label: label, Value: fraction},
		{Name: "largest-free-rack-accelerators", Label: label, Value: float64(largest)},
		{Name: "waiting-jobs", Label: label, Value: float64(waitingJobs)},
	}
	answer.Gauges = append(answer.Gauges, scheduler.shareGauges(region, query)...)
	return answer
}

// shareGauges returns the usage and the coverage of guarantees, by region and
// workspace.
func (scheduler *Scheduler) shareGauges(region *region, query querier.Query) []querier.Gauge {
	var gauges []querier.Gauge
	for _, share := range scheduler.viewShares(region, query) {
		label := string(region.name) + "/" + string(share.Workspace)
		covered := 0.0
		if share.Covered {
			covered = 1
		}
		gauges = append(gauges,
			querier.Gauge{Name: "guarantee-covered", Label: label, Value: covered},
			querier.Gauge{Name: "guaranteed-accelerators", Label: label, Value: float64(share.Guaranteed)},
			querier.Gauge{Name: "used-accelerators", Label: label, Value: float64(share.Used)})
	}
	return gauges
}
