// Package auditor checks the workers' records of runs for gang tasks that ran
// while another task of their gang did not.
package auditor

import (
	"fmt"
	"time"

	"corianderroad/identifier"
)

// Gang identifies one placement of a job.
type Gang struct {
	Job       identifier.Job `json:"job"`
	Placement uint32         `json:"placement"`
}

// String returns the job and the placement.
func (gang Gang) String() string { return fmt.Sprintf("%s/%d", gang.Job, gang.Placement) }

// Less orders gangs by job and placement.
func (gang Gang) Less(other Gang) bool {
	if gang.Job != other.Job {
		return gang.Job < other.Job
	}
	return gang.Placement < other.Placement
}

// Run is one uninterrupted run of a task on a worker.
type Run struct {
	Worker       identifier.Worker
	Gang         Gang
	Members      []identifier.Worker
	Accelerators int
	Started      time.Time
	// Ended is zero while the task runs.
	Ended time.Time
	// Completed is true if the task ended because its work was done.
	Completed bool
}

// Violation is a task that ran while another member of its gang did not.
type Violation struct {
	Gang    Gang              `json:"gang"`
	Worker  identifier.Worker `json:"worker"`
	Missing identifier.Worker `json:"missing"`
}

// Audit returns a violation for each run that lasted longer than a lease while
// another member of its gang neither ran nor had completed its task.
func Audit(now time.Time, lease time.Duration, runs []Run) []Violation {
	gangs := make(map[Gang]map[identifier.Worker]Run)
	for _, run := range runs {
		if gangs[run.Gang] == nil {
			gangs[run.Gang] = make(map[identifier.Worker]Run)
		}
		gangs[run.Gang][run.Worker] = run
	}
	var violations []Violation
	for _, run := range runs {
		for _, member := range run.Members {
			if member == run.Worker {
				continue
			}
			other, found := gangs[run.Gang][member]
			if longestAlone(now, run, other, found) > lease {
				violations = append(violations, Violation{Gang: run.Gang, Worker: run.Worker, Missing: member})
			}
		}
	}
	return violations
}

// longestAlone returns the longest period in which run was active and other was
// not. found is false if other never started.
func longestAlone(now time.Time, run, other Run, found bool) time.Duration {
	end := run.Ended
	if end.IsZero() {
		end = now
	}
	if !found {
		return end.Sub(run.Started)
	}
	before := earlier(end, other.Started).Sub(run.Started)
	if other.Ended.IsZero() || other.Completed {
		return before
	}
	return max(before, end.Sub(later(run.Started, other.Ended)))
}

func earlier(one, two time.Time) time.Time {
	if one.Before(two) {
		return one
	}
	return two
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}
