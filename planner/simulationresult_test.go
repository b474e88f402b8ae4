package planner_test

import (
	"fmt"
	"strings"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

func (simulation *simulation) reportViolation(format string, arguments ...any) {
	simulation.violations = append(simulation.violations, simulation.now.Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// decisionsAbout returns the decisions about a job, the holder and the minions, and
// the faults of the store.
func (simulation *simulation) decisionsAbout(job string) string {
	var kept []string
	for _, line := range simulation.decisions {
		if strings.Contains(line, job) || strings.Contains(line, "holder-") || strings.Contains(line, "minion-") || strings.Contains(line, "store-") {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

func (simulation *simulation) taskState(task specifier.Task) *taskState {
	found, ok := simulation.tasks[task]
	if !ok {
		found = &taskState{running: make(map[*fakeRun]bool)}
		simulation.tasks[task] = found
	}
	return found
}

// recordedState returns the newest recorded state of a job.
func (simulation *simulation) recordedState(id identifier.Job) specifier.State {
	state := specifier.Queued
	for _, entry := range simulation.journal {
		if progressed, ok := entry.(messenger.Progressed); ok && progressed.Job == id {
			state = progressed.Progress.State
		}
	}
	return state
}
