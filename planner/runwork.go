package planner

import (
	"time"

	"corianderroad/evictor"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// runWork is what the polls have shown of the work of a run.
type runWork struct {
	// initialPercent is the progress in the first report, if isObserved.
	initialPercent int
	isObserved     bool
	// firstPercent is the progress in the first report beyond that, at firstAt. The time up to
	// then includes the start of the work and says little about its speed.
	firstPercent int
	firstAt      time.Time
	// givesCheckpoints means that the run has given a checkpoint of its own.
	givesCheckpoints bool
}

// observe notes the progress and the checkpoint in a report, before the run has them. A run
// that has given no checkpoint reports that from which it resumed.
func (run *run) observe(now time.Time, report messenger.RunReport) {
	switch work := &run.work; {
	case !work.isObserved:
		work.isObserved, work.initialPercent = true, report.ProgressPercent
	case work.firstAt.IsZero() && report.ProgressPercent > work.initialPercent:
		work.firstPercent, work.firstAt = report.ProgressPercent, now
	}
	if report.Checkpoint != "" && report.Checkpoint != run.checkpoint && report.Checkpoint != run.task().checkpoint {
		run.work.givesCheckpoints = true
	}
}

// isMeasured reports whether the speed of the run is known from its progress.
func (run *run) isMeasured() bool {
	return run.known(0).IsMeasured()
}

// lostTime returns how much of the run's work a stop loses. How long a run of a former holder has
// worked is known by its progress only, which is lost unless it has given a checkpoint or resumed
// from one.
func (run *run) lostTime(now time.Time) time.Duration {
	lost := run.account.UnsavedTime(now)
	if run.isAdopted && (!run.step.spec.Checkpoints || run.checkpoint == "") {
		lost = max(lost, run.step.spec.EstimatedRunTime*time.Duration(run.progressPercent)/fullPercent)
	}
	return lost
}

// lostWorkOf returns what a stop of runs that end together would lose. A checkpoint of any
// of them holds for all.
func lostWorkOf(now time.Time, runs []*run) evictor.Work {
	var work evictor.Work
	for index, run := range runs {
		work.Cores += float64(run.step.spec.Request.Weight()) / specifier.MilliPerCore
		work.Stops = max(work.Stops, int(run.task().stops))
		work.SavesAtStop = work.SavesAtStop || run.work.givesCheckpoints
		if unsaved := run.lostTime(now); index == 0 || unsaved < work.Unsaved {
			work.Unsaved = unsaved
		}
	}
	return work
}

// runsEndingWith returns the runs that end with a run: itself, or all members of its gang
// that are not being stopped.
func runsEndingWith(ended *run) []*run {
	if !ended.step.spec.Gang {
		return []*run{ended}
	}
	return ended.step.runsToStop()
}

// runsToStop returns the runs of the step's tasks that are not being stopped.
func (step *step) runsToStop() []*run {
	var runs []*run
	for index := range step.tasks {
		if run := step.tasks[index].run; run != nil && run.state != stopping {
			runs = append(runs, run)
		}
	}
	return runs
}
