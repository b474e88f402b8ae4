package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"corianderroad/specifier"
)

// The reason why a job has failed tells its caller, and the operator, the evidence: which runs
// failed, or which minions crashed, and what shows that they did.

// crashReason returns why the job of a task fails that crashes its minions.
func (step *step) crashReason(index int) string {
	crashes := step.tasks[index].history().crashes
	reason := fmt.Sprintf("task %s has crashed %d minions that started it", step.id(index), len(crashes))
	var parts []string
	for _, crash := range crashes {
		parts = append(parts, fmt.Sprintf("%s %s after its start (%s)", crash.minion, crash.age.Round(time.Millisecond), crash.evidence))
	}
	return withEvidence(reason, parts)
}

// attemptsReason returns why the job of a step fails whose attempts are used up.
func (step *step) attemptsReason(attempts int) string {
	var parts []string
	for index := range step.tasks {
		task := &step.tasks[index]
		if len(task.history().failedRuns) == 0 || (!step.spec.Gang && (task.done || len(task.history().failedRuns) < attempts)) {
			continue
		}
		parts = append(parts, fmt.Sprintf("%s in run %s", step.id(index), joinNumbers(task.history().failedRuns)))
	}
	return withEvidence("a task has used all its attempts", parts)
}

func joinNumbers(numbers []uint64) string {
	var texts []string
	for _, number := range slices.Sorted(slices.Values(numbers)) {
		texts = append(texts, fmt.Sprint(number))
	}
	return strings.Join(texts, " and ")
}

// withEvidence returns a reason with as much of the evidence as fits into a record.
func withEvidence(reason string, parts []string) string {
	separator := ": "
	for _, part := range parts {
		if len(reason)+len(separator)+len(part) > specifier.MaxReasonBytes {
			break
		}
		reason += separator + part
		separator = ", "
	}
	return reason
}
