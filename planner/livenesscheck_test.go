package planner_test

import (
	"fmt"
	"slices"
	"time"

	"corianderroad/identifier"
	"corianderroad/specifier"
)

// Stated bounds on waits. Except for the first they are how long the effects of a
// fault may last after it has ended. None allows for a quarantine.
const (
	// maxRestartTime is how long a task of a long-running step that has run before may
	// have nothing running: the rule counts 3 s from 6 s after its last run.
	maxRestartTime = 6*time.Second + maxIdleTime
	// leaseTime is how long a run may stay unknown to a new holder, or occupy a
	// minion that does not answer: a lease with the margins for slow clocks.
	leaseTime = 4900 * time.Millisecond
	// stopTime is the bound of the simulation on the end of a stopped run.
	stopTime = 500 * time.Millisecond
	// lateOrderTime is how late the simulation carries out an order.
	lateOrderTime = 8 * time.Second
)

// livenessCheck observes how long each step has had nothing running although its
// turn has come and there is room.
type livenessCheck struct {
	simulation *simulation
	idleSince  map[specifier.Task]time.Time
	failures   []string
}

func newLivenessCheck(simulation *simulation) *livenessCheck {
	return &livenessCheck{simulation: simulation, idleSince: make(map[specifier.Task]time.Time)}
}

// observe advances the simulation and checks all steps every 50 ms.
func (livenessCheck *livenessCheck) observe(span time.Duration) {
	for until := livenessCheck.simulation.now.Add(span); livenessCheck.simulation.now.Before(until); {
		livenessCheck.simulation.advance(50 * time.Millisecond)
		if len(livenessCheck.failures) == 0 {
			livenessCheck.checkSteps()
		}
	}
}

func (livenessCheck *livenessCheck) checkSteps() {
	simulation := livenessCheck.simulation
	roomy := simulation.isUnderHalfInUse()
	progress := simulation.recordedProgress()
	for id, job := range simulation.jobs {
		if _, cancelled := simulation.cancelled[id]; cancelled || progress[id].state.IsFinal() {
			continue
		}
		for occurrence := range job.Occurrences() {
			for index := range job.Steps {
				first := specifier.Task{Job: id, Occurrence: occurrence, Step: index}
				ready := roomy && !simulation.now.Before(job.DueTime(occurrence)) && progress[id].isReady(job, first)
				livenessCheck.checkStep(job, first, ready && simulation.fitsTwice(job, &job.Steps[index]))
			}
		}
	}
}

// checkStep checks a step, given by its first task. Each task of a long-running
// step must run, of another step any.
func (livenessCheck *livenessCheck) checkStep(job *specifier.Job, first specifier.Task, mustRun bool) {
	step := &job.Steps[first.Step]
	working := false
	for index := range step.Tasks {
		task := first
		task.Index = index
		state := livenessCheck.simulation.taskState(task)
		working = working || len(state.running) > 0
		if step.LongRunning {
			limit := maxIdleTime
			if len(state.startedRuns) > 0 {
				limit = maxRestartTime
			}
			livenessCheck.note(task, mustRun && len(state.running) == 0, limit)
		}
	}
	if !step.LongRunning {
		livenessCheck.note(first, mustRun && !working, maxIdleTime)
	}
}

func (livenessCheck *livenessCheck) note(task specifier.Task, idle bool, limit time.Duration) {
	now := livenessCheck.simulation.now
	since, noted := livenessCheck.idleSince[task]
	switch {
	case !idle:
		delete(livenessCheck.idleSince, task)
	case !noted:
		livenessCheck.idleSince[task] = now
	case now.Sub(since) > limit:
		livenessCheck.failures = append(livenessCheck.failures, fmt.Sprintf("at %s s %s could run for %s and does not",
			now.Format("05.000"), task, now.Sub(since)))
	}
}

// jobProgress is what the journal says about a job.
type jobProgress struct {
	state specifier.State
	// done holds the number of done tasks of each step, by the step's first task.
	done map[specifier.Task]int
}

// recordedProgress returns the newest recorded progress of the jobs that have any.
func (simulation *simulation) recordedProgress() map[identifier.Job]jobProgress {
	progress := make(map[identifier.Job]jobProgress)
	for _, progressed := range slices.Backward(simulation.progress) {
		if _, known := progress[progressed.Job]; known || isDeletion(progressed) {
			continue
		}
		recorded := jobProgress{state: progressed.Progress.State, done: make(map[specifier.Task]int)}
		for _, task := range progressed.Progress.Tasks {
			if task.Done {
				recorded.done[specifier.Task{Job: progressed.Job, Occurrence: task.Occurrence, Step: task.Step}]++
			}
		}
		progress[progressed.Job] = recorded
	}
	return progress
}

// isReady reports whether a step, given by its first task, is not complete and all
// that it depends on is.
func (jobProgress jobProgress) isReady(job *specifier.Job, first specifier.Task) bool {
	for _, earlier := range job.Steps[first.Step].DependsOn {
		required := first
		required.Step = earlier
		if jobProgress.done[required] < job.Steps[earlier].Tasks {
			return false
		}
	}
	return jobProgress.done[first] < job.Steps[first.Step].Tasks
}

// usableMinions returns the minions that a job may use.
func (simulation *simulation) usableMinions() []*fakeMinion {
	var usable []*fakeMinion
	for _, minion := range simulation.sortedMinions() {
		if minion.alive && !minion.unregistered && !minion.faults.draining && !simulation.isInOpenWave(minion) {
			usable = append(usable, minion)
		}
	}
	return usable
}

// isInOpenWave reports whether the minion's VM waits for its maintenance.
func (simulation *simulation) isInOpenWave(minion *fakeMinion) bool {
	for number, wave := range simulation.services.waves {
		for _, vm := range wave.VMs {
			if vm == vmName(minion) && !simulation.services.isCompleted(number) {
				return true
			}
		}
	}
	return false
}

// isUnderHalfInUse reports whether less than half of each resource is in use.
func (simulation *simulation) isUnderHalfInUse() bool {
	var used, capacity specifier.Resources
	for _, minion := range simulation.usableMinions() {
		used = used.Add(minion.used())
		capacity = capacity.Add(minion.capacity)
	}
	return 2*used.MilliCPU < capacity.MilliCPU && 2*used.MemoryMB < capacity.MemoryMB && 2*used.Accelerators < capacity.Accelerators
}

// fitsTwice reports whether there is room for twice what must run of the step: all
// tasks of a gang, one task of any other step.
func (simulation *simulation) fitsTwice(job *specifier.Job, step *specifier.Step) bool {
	needed := 2
	if step.Gang {
		needed = 2 * step.Tasks
	}
	for _, minion := range simulation.usableMinions() {
		if (step.Label != "" && step.Label != minion.kind) || (job.Queue == adviceQueue && !simulation.services.isApproved(minion.name)) {
			continue
		}
		limit := needed
		if step.MaxPerMinion > 0 {
			limit = step.MaxPerMinion
			for _, run := range minion.runs {
				if run.spec == step {
					limit--
				}
			}
		}
		needed -= minion.capacity.Sub(minion.used()).Fit(countedRequest(step), max(limit, 0))
	}
	return needed <= 0
}

// used returns the capacity that the minion's runs occupy.
func (minion *fakeMinion) used() specifier.Resources {
	var sum specifier.Resources
	for _, run := range minion.runs {
		sum = sum.Add(countedRequest(run.spec))
	}
	return sum
}

// countedRequest returns what a task counts against its minion's capacity.
func countedRequest(spec *specifier.Step) specifier.Resources {
	request := spec.Request
	if spec.Backfill {
		request.MilliCPU = 0
	}
	return request
}
