package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/encoder"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// checkRecordSizes returns the store's refusal of a record that is too large, and notes
// its job.
func (simulation *simulation) checkRecordSizes(action messenger.RecordProgress) *classifier.Error {
	simulation.store.unrecordable = ""
	for _, update := range action.Updates {
		record, err := encoder.MarshalJournalEntry(update)
		if err != nil {
			panic(err)
		}
		size := 1 + len(record.Key) + len(record.Value)
		if limit := simulation.store.recordBytes; limit > 0 && size > limit {
			simulation.store.unrecordable = update.Job
			return classifier.New(classifier.BodyTooLarge, "the record %s has %d bytes", record.Key, size)
		}
	}
	return nil
}

// largeJob returns a job that recurs, with more tasks than one record of this size can
// list.
func largeJob(id string, now time.Time) specifier.Job {
	job := jobOf(id, specifier.Step{Tasks: 94, Request: taskOf(100, 0), EstimatedRunTime: 300 * time.Millisecond, Checkpoints: true})
	job.Schedule = &specifier.Schedule{Occurrences: 64, First: now, Interval: 100 * time.Millisecond}
	return job
}

const smallRecordBytes = 64 << 10

// TestLargeJobHoldsUpNoOther guards against the progress of a job of many tasks that does
// not fit into one record of the store, whose append is then repeated for ever while no job
// of any caller is recorded or started, and against tasks of such a job that a new holder
// starts again.
func TestLargeJobHoldsUpNoOther(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 6)
	simulation.store.recordBytes = smallRecordBytes
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(largeJob("large", simulation.now))
	simulation.advance(5 * time.Second)
	simulation.nodes[0].alive = false
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(15 * time.Second)
	simulation.submit(jobOf("small", specifier.Step{Tasks: 3, Request: taskOf(1000, 0), EstimatedRunTime: 500 * time.Millisecond}))
	simulation.advance(4 * time.Second)
	c.Assert(simulation.recordedState("small"), quicktest.Equals, specifier.Completed)
	simulation.advance(20 * time.Second)
	c.Assert(simulation.recordedState("large"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestUnrecordableJobHoldsUpNoOther guards against one job whose progress the store will
// never take, and with which nothing else is recorded.
func TestUnrecordableJobHoldsUpNoOther(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 6)
	simulation.store.recordBytes = 2 << 10 // less than one part
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(largeJob("large", simulation.now))
	simulation.advance(10 * time.Second)
	simulation.submit(jobOf("small", specifier.Step{Tasks: 3, Request: taskOf(1000, 0), EstimatedRunTime: 500 * time.Millisecond}))
	simulation.advance(4 * time.Second)
	c.Assert(simulation.recordedState("small"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.recordedState("large"), quicktest.Equals, specifier.Failed)
	c.Assert(simulation.acknowledgedEnds() > 0, quicktest.IsTrue)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestProgressInOneRecordIsKept guards against an upgrade that loses progress: earlier
// versions recorded all tasks in the first part, which the next record replaces.
func TestProgressInOneRecordIsKept(t *testing.T) {
	t.Parallel()
	const doneTasks = 600
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 6)
	simulation.submit(jobOf("large", specifier.Step{Tasks: doneTasks + 4, Request: taskOf(1000, 0), EstimatedRunTime: time.Second}))
	former := messenger.Progressed{Job: "large", Progress: specifier.Progress{State: specifier.Running}}
	for index := range doneTasks {
		former.Progress.Tasks = append(former.Progress.Tasks, specifier.TaskProgress{Index: index, Done: true, DoneRun: 1})
	}
	simulation.progress = append(simulation.progress, former)
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.task.Index == doneTasks {
			return 500 * time.Millisecond // its end is recorded before the next takeover
		}
		return 10 * time.Second
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(9 * time.Second)
	c.Assert(len(simulation.progress) > 3, quicktest.IsTrue)
	// A holder that ends between two appends must not have replaced the first part yet.
	for index, part := range []int{2, 1, 0} {
		c.Assert(simulation.progress[1+index].Part, quicktest.Equals, part)
	}
	simulation.nodes[0].alive = false
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(25 * time.Second)
	for index := range doneTasks {
		task := simulation.taskState(specifier.Task{Job: "large", Index: index})
		c.Assert(task.startedRuns, quicktest.HasLen, 0, quicktest.Commentf("task %d", index))
	}
	c.Assert(simulation.recordedState("large"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
