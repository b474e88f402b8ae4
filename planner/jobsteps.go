package planner

import (
	"iter"
	"time"
)

// steps yields all steps of the job, in the order of their occurrences.
func (job *job) steps() iter.Seq[*step] {
	return stepsOf(job.occurrences)
}

// dueSteps yields the steps of the occurrences that are due.
func (job *job) dueSteps(now time.Time) iter.Seq[*step] {
	due := 0
	for due < len(job.occurrences) && !now.Before(job.occurrences[due].dueAt) {
		due++
	}
	return stepsOf(job.occurrences[:due])
}

func stepsOf(occurrences []*occurrence) iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, occurrence := range occurrences {
			for _, step := range occurrence.steps {
				if !yield(step) {
					return
				}
			}
		}
	}
}
