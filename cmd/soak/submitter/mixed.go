package submitter

import (
	"math/rand/v2"
	"time"

	"corianderroad/platform/imitator"
)

// MixedJobs are small jobs of all kinds, some of which crash minions.
type MixedJobs struct {
	random *rand.Rand
	// crashRandom draws the jobs that crash minions, so that the other jobs of a seed do not
	// depend on them.
	crashRandom *rand.Rand
}

// NewMixedJobs returns jobs that are drawn from two random sources.
func NewMixedJobs(random, crashRandom *rand.Rand) *MixedJobs {
	return &MixedJobs{random: random, crashRandom: crashRandom}
}

// Draw implements Jobs. It draws a job of one or two steps.
func (jobs *MixedJobs) Draw() Job {
	random := jobs.random
	firstStepTasks := 1 + random.IntN(4)
	gang := 0
	if random.IntN(2) == 0 {
		gang = firstStepTasks
	}
	work := 50 + random.IntN(900)
	if random.IntN(3) == 0 {
		work += 1000 + random.IntN(4000) // exceeds the time for which an answer is awaited
	}
	behaviour := imitator.Behaviour{Work: time.Duration(work) * time.Millisecond, Members: gang, Accelerators: 1 << random.IntN(3)}
	jobs.drawCrash(&behaviour)
	step := func(count int, dependsOn []int) map[string]any {
		return map[string]any{
			"count": count, "cpu": 1000, "memMb": 100, "gpu": behaviour.Accelerators, "estimateMs": 500,
			"gang": gang > 0, "sameRack": random.IntN(3) == 0, "dependsOn": dependsOn,
		}
	}
	steps := []map[string]any{step(firstStepTasks, nil)}
	tasks := firstStepTasks
	if random.IntN(3) == 0 {
		steps = append(steps, step(firstStepTasks, []int{0}))
		tasks += firstStepTasks
	}
	return Job{behaviour: behaviour, steps: steps, tasks: tasks, firstStepTasks: firstStepTasks}
}

// crashShare is the fraction of jobs whose tasks crash their minions, and maxCrashDelay the
// longest time from the start to the crash.
const (
	crashShare    = 0.05
	maxCrashDelay = 1200 * time.Millisecond
)

// drawCrash lets some jobs crash the minions that start their tasks, at once or later.
func (jobs *MixedJobs) drawCrash(behaviour *imitator.Behaviour) {
	if jobs.crashRandom.Float64() >= crashShare {
		return
	}
	behaviour.Crashes = true
	if jobs.crashRandom.IntN(2) == 0 {
		behaviour.CrashAfter = time.Duration(jobs.crashRandom.Int64N(int64(maxCrashDelay)))
	}
	behaviour.Work = max(behaviour.Work, 2*maxCrashDelay)
}
