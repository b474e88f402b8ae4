package submitter

import (
	"math/rand/v2"
	"time"

	"corianderroad/platform/imitator"
)

// SmallJobs are jobs of many small tasks, of which a minion takes several at a time.
type SmallJobs struct{ random *rand.Rand }

// NewSmallJobs returns jobs that are drawn from a random source.
func NewSmallJobs(random *rand.Rand) *SmallJobs { return &SmallJobs{random: random} }

// Draw implements Jobs. Most tasks use one accelerator. A larger one that does not fit is refused
// beside smaller ones that do.
func (jobs *SmallJobs) Draw() Job {
	const minTasks, maxTasks = 6, 14
	const minWork, maxWork = 1000, 5000 // milliseconds
	random := jobs.random
	job := Job{firstStepTasks: minTasks + random.IntN(maxTasks-minTasks+1)}
	job.behaviour = imitator.Behaviour{Work: time.Duration(minWork+random.IntN(maxWork-minWork)) * time.Millisecond, Accelerators: 1}
	if random.IntN(3) == 0 {
		job.behaviour.Accelerators = 2 + random.IntN(3)
	}
	step := map[string]any{
		"count": job.firstStepTasks, "cpu": 1000, "memMb": 100, "gpu": job.behaviour.Accelerators, "estimateMs": job.behaviour.Work.Milliseconds(),
	}
	job.steps, job.tasks = []map[string]any{step}, job.firstStepTasks
	if random.IntN(4) == 0 {
		next := map[string]any{"dependsOn": []int{0}}
		for key, value := range step {
			next[key] = value
		}
		job.steps, job.tasks = append(job.steps, next), 2*job.tasks
	}
	return job
}
