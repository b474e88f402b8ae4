package planner_test

import (
	"time"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// fakeCheckpoints describes the checkpoints of the simulated runs.
type fakeCheckpoints struct {
	// interval is the work after which a run gives a new checkpoint, restartTime the time
	// until a run works.
	interval, restartTime time.Duration
}

// work returns the work that a run has done, with that of the checkpoint from which it
// resumed.
func (run *fakeRun) work() time.Duration {
	simulation := run.minion.simulation
	worked := run.elapsed() - simulation.checkpoints.restartTime
	return min(run.resumed+max(worked, 0), simulation.workTime(run))
}

// savedCheckpoint returns the newest checkpoint of a run. If runs resume from theirs, a run
// gives a new one at a stop.
func (run *fakeRun) savedCheckpoint(atStop bool) string {
	if run.minion.simulation.checkpoints == nil {
		return run.checkpoint()
	}
	if !run.spec.Checkpoints {
		return ""
	}
	saved := run.work()
	if !atStop {
		saved = run.resumed + (saved - run.resumed).Truncate(run.minion.simulation.checkpoints.interval)
	}
	if saved == 0 {
		return ""
	}
	return saved.String()
}

// resume lets a run go on from the checkpoint in its start, and counts what earlier runs of
// its task had done beyond it. With loss-aware stops, all members of a gang must
// have the same checkpoint.
func (run *fakeRun) resume(checkpoint string) {
	simulation := run.minion.simulation
	if simulation.checkpoints == nil {
		return
	}
	run.resumed, _ = time.ParseDuration(checkpoint)
	state := simulation.taskState(run.task)
	if len(state.startedRuns) > 1 { // with this one
		lost := max(state.workAtEnd-run.resumed, 0) + simulation.checkpoints.restartTime
		simulation.lostCoreSeconds += lost.Seconds() * coresOf(run.spec.Request)
	}
	for _, member := range simulation.gangMembers(run) {
		if simulation.features.LossAwareStops && run.spec.Gang && member.resumed != run.resumed {
			simulation.reportViolation("%s: run %d resumes from %s, and member %d of its gang from %s",
				run.task, run.number, run.resumed, member.task.Index, member.resumed)
		}
	}
}

// noteEnd counts the end of a run that is not done.
func (run *fakeRun) noteEnd(kind messenger.EndKind) {
	simulation := run.minion.simulation
	if simulation.checkpoints == nil || kind == messenger.EndDone {
		return
	}
	simulation.taskState(run.task).workAtEnd = run.work()
	simulation.endsWithoutResult[kind]++
}

// remainingTime returns how long a run that starts now needs.
func (simulation *simulation) remainingTime(run *fakeRun) time.Duration {
	if simulation.checkpoints == nil {
		return simulation.workTime(run)
	}
	return simulation.workTime(run) - run.resumed + simulation.checkpoints.restartTime
}

// coresOf returns the size of a request in cores. An accelerator counts as 8.
func coresOf(request specifier.Resources) float64 {
	return float64(request.MilliCPU)/1000 + 8*float64(request.Accelerators)
}
