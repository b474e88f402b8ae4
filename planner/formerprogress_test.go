package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/specifier"
)

func isActive(actions []messenger.Action) bool {
	for _, action := range actions {
		if decision, ok := action.(messenger.Decision); ok && decision.Outcome == "holder-active" {
			return true
		}
	}
	return false
}

// TestHolderAwaitsTheFormerProgress guards against a holder that acts on a part of what
// former holders have recorded, and starts tasks again that are done.
func TestHolderAwaitsTheFormerProgress(t *testing.T) {
	t.Parallel()
	const fence identifier.Offset = 9
	now := time.Unix(1_000_000, 0)
	complete := messenger.ProgressRead{End: 7, Complete: true}
	rest := messenger.ProgressRead{End: fence}
	for name, test := range map[string]struct {
		reads    []messenger.ProgressRead
		isActive bool
	}{
		"nothing":                 {nil, false},
		"records-before-fence":    {[]messenger.ProgressRead{complete}, false},
		"no-complete-reading":     {[]messenger.ProgressRead{rest}, false}, // left over from an earlier claim
		"all":                     {[]messenger.ProgressRead{complete, rest}, true},
		"complete-after-left-one": {[]messenger.ProgressRead{rest, complete}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			claimed := planner.New("n", planner.Bounds{MaxLease: maxLease}, planner.Features{})
			claimed.Step(now, messenger.HolderChanged{Token: 1, ConfirmedAt: now})
			active := isActive(claimed.Step(now, messenger.JournalFenced{Token: 1, ProgressEnd: fence}))
			for _, read := range test.reads {
				active = isActive(claimed.Step(now, read)) || active
			}
			c.Assert(active, quicktest.Equals, test.isActive)
		})
	}
}

// TestDoneTasksStayDoneAfterTakeover guards against a new holder that knows the state of a
// job, which every node reads, but not which of its tasks are done.
func TestDoneTasksStayDoneAfterTakeover(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 2)
	simulation.workTime = func(run *fakeRun) time.Duration {
		return time.Second + time.Duration(run.task.Index%2)*20*time.Second
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 10, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	simulation.advance(5 * time.Second)
	simulation.nodes[0].alive = false
	simulation.advance(claimTimeout)
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(25 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	for index := range 10 {
		c.Assert(simulation.taskState(specifier.Task{Job: "a", Index: index}).startedRuns, quicktest.HasLen, 1)
	}
}

// TestJobReadAfterItsProgress guards against tasks that start twice because the record of
// their job is read after the holder is active, although a former holder has started them.
func TestJobReadAfterItsProgress(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	job := jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute})
	simulation.submit(job)
	simulation.advance(time.Second)
	task := specifier.Task{Job: "a"}
	former := simulation.runningOn(task)
	c.Assert(former, quicktest.IsNotNil)
	former.unregistered = true
	simulation.nodes[0].alive = false
	second := simulation.newNode("late")
	simulation.nodes = append(simulation.nodes, second)
	second.entriesRead = len(simulation.journal) // another writer has replaced the record
	simulation.advance(claimTimeout)
	simulation.makeHolder(second)
	simulation.advance(500 * time.Millisecond)
	simulation.step(second, messenger.JournalRead{
		Entries: []messenger.JournalEntry{messenger.Submitted{Job: *simulation.jobs["a"]}}, End: identifier.Offset(len(simulation.journal)), SentAt: simulation.now,
	})
	simulation.advance(15 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.taskState(task).running, quicktest.HasLen, 1)
}

// TestProgressOfEndedJobsExpires guards against a takeover that reads the progress of all
// jobs whose state is still readable.
func TestProgressOfEndedJobsExpires(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 2)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 4, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	simulation.advance(20 * time.Second)
	last := simulation.progress[len(simulation.progress)-1]
	c.Assert(isDeletion(last), quicktest.IsTrue)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	simulation.nodes[0].alive = false
	simulation.advance(claimTimeout)
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(20 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.taskState(specifier.Task{Job: "a"}).startedRuns, quicktest.HasLen, 1)
}
