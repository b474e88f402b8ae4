package admitter

import (
	"hash/fnv"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// objective is the time within which a job should be done, and the critical path of the job.
type objective struct {
	total, runTime time.Duration
}

func newObjective(queue *specifier.Queue, runTime time.Duration) objective {
	return objective{total: queue.Objective(runTime), runTime: runTime}
}

// slack returns how long the job may wait and still be on time.
func (objective objective) slack() time.Duration { return max(objective.total-objective.runTime, 0) }

// timelyMargin is the factor by which the wait must exceed the slack until a job counts as one that
// can't be on time. Declared run times are off by a factor of 2 to 3, and the steps before a job that
// become late first give way to it.
const timelyMargin = 1.5

// expectedWait returns how long the job waits. One that can't be on time behind the timely work
// before it comes after all other work of its priority.
func (objective objective) expectedWait(wait *Wait) time.Duration {
	if float64(wait.Timely) <= timelyMargin*float64(objective.slack()) {
		return wait.Timely
	}
	return max(wait.Timely, wait.Behind)
}

// isWorthless reports whether the job would end after the time beyond which it earns nothing. A job
// of a queue without an objective always earns something.
func (objective objective) isWorthless(wait *Wait) bool {
	return objective.total > 0 && objective.expectedWait(wait)+objective.runTime > worthlessFactor*objective.total
}

// Retry delays. With the spread they are between 1 and 30 s.
const (
	minRetryDelay = time.Second
	maxRetryDelay = 20 * time.Second
	minSpread     = 0.5
	spreadWidth   = 1.0
)

// retryDelay returns the delay after which the caller of a refused job should return, by the wait
// that exceeds what the objective allows. It is spread by the job's ID, because many jobs are
// refused at the same time.
func retryDelay(job identifier.Job, excess time.Duration) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(job)) // it returns no error
	const buckets = 1 << 16
	spread := minSpread + spreadWidth*float64(hash.Sum64()%buckets)/buckets
	return max(time.Duration(spread*float64(min(excess, maxRetryDelay))), minRetryDelay)
}
