package registrar_test

import (
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestUnreadableJobIsNotAccepted guards against a job that is acknowledged, but
// whose record no node can read, so that it never runs.
func TestUnreadableJobIsNotAccepted(t *testing.T) {
	valid := specifier.Job{ID: "a", Queue: "q", Workspace: "w", Steps: []specifier.Step{{Tasks: 2}}}
	tooMany, tooLong, negative, dependencies := valid, valid, valid, valid
	tooMany.Schedule = &specifier.Schedule{Occurrences: specifier.MaxJobTasks}
	tooLong.Steps = []specifier.Step{{Tasks: 1, EstimatedRunTime: math.MaxInt64}}
	negative.Schedule = &specifier.Schedule{Occurrences: 2, Interval: -time.Second}
	dependencies.Steps = []specifier.Step{{Tasks: 1}, {Tasks: 1, DependsOn: make([]int, specifier.MaxSteps+1)}}
	for name, job := range map[string]specifier.Job{
		"tasks": tooMany, "estimate": tooLong, "interval": negative, "dependencies": dependencies,
	} {
		t.Run(name, func(t *testing.T) {
			entryVM := newEntryVM(1)
			entryVM.run(300 * time.Millisecond)
			entryVM.step(messenger.SubmitArrived{Request: "invalid", Job: job, Deadline: entryVM.now.Add(3 * time.Second)})
			entryVM.submit("valid", "b")
			entryVM.run(time.Second)
			quicktest.Assert(t, entryVM.has(messenger.Submitted{Job: job}), quicktest.IsFalse)
			quicktest.Assert(t, entryVM.answers["invalid"].Err != nil, quicktest.IsTrue)
			quicktest.Assert(t, entryVM.answers["invalid"].Err.Code, quicktest.Equals, classifier.BadRequest)
			quicktest.Assert(t, entryVM.answers["valid"].Err == nil, quicktest.IsTrue)
		})
	}
}
