package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/encoder"
	"corianderroad/specifier"
)

// TestJournalBytesDoNotGrowWithTasks guards against a link between regions that is full
// of records of single tasks: every node reads the whole journal. A node has 20 KB/s for
// control, and the large deployment submits 21 jobs a second.
func TestJournalBytesDoNotGrowWithTasks(t *testing.T) {
	t.Parallel()
	const (
		jobs           = 8
		tasks          = 78
		maxBytesPerJob = 20_000 / 21
	)
	c := quicktest.New(t)
	simulation := newSimulation(1, 2, 16)
	simulation.workTime = func(run *fakeRun) time.Duration {
		return time.Second + time.Duration(run.task.Index)*20*time.Millisecond
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	for index := range jobs {
		simulation.submit(jobOf(fmt.Sprintf("job-%d", index), specifier.Step{Tasks: tasks, Request: taskOf(1000, 1), EstimatedRunTime: time.Second}))
	}
	simulation.advance(time.Minute)
	bytes := 0
	for _, entry := range simulation.journal {
		record, err := encoder.MarshalJournalEntry(entry)
		c.Assert(err, quicktest.IsNil)
		bytes += len(record.Key) + len(record.Value)
	}
	c.Assert(simulation.recordedState("job-0"), quicktest.Equals, specifier.Completed)
	c.Assert(bytes/jobs <= maxBytesPerJob, quicktest.IsTrue, quicktest.Commentf("%d bytes for each job", bytes/jobs))
}
