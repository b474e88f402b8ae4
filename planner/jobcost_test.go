package planner

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/budgeter"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/registrar"
	"corianderroad/specifier"
)

// liveBytes returns the bytes of the heap that are in use.
func liveBytes() int64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc)
}

// jobShape is a kind of job whose memory is measured.
type jobShape struct {
	name                           string
	jobs, steps, tasks             int
	occurrences                    int
	payloadBytes, nameBytes, links int
}

func (shape jobShape) job(number int) specifier.Job {
	job := specifier.Job{
		ID: identifier.Job(fmt.Sprintf("%016x", number)), Queue: "q", Workspace: identifier.Workspace(strings.Clone("workspace")),
		Payload: strings.Repeat("p", shape.payloadBytes), Schedule: &specifier.Schedule{Occurrences: shape.occurrences, First: time.Unix(2_000_000_000, 0)},
	}
	for position := range shape.steps {
		name := func() string { return strings.Repeat("n", shape.nameBytes) }
		job.Steps = append(job.Steps, specifier.Step{
			Tasks: shape.tasks, Label: name(), Image: name(), DataRack: identifier.Rack(name()), DependsOn: make([]int, min(position, shape.links)),
		})
	}
	return job
}

// TestCostCoversTheJobs guards against an estimate of the memory of accepted jobs that is lower
// than what the registrar and the holder's planner use, for example after a task has grown.
func TestCostCoversTheJobs(t *testing.T) {
	c, now := quicktest.New(t), time.Unix(1_000_000, 0)
	for _, shape := range []jobShape{
		{name: "small", jobs: 2000, steps: 1, tasks: 1, occurrences: 1, payloadBytes: 20},
		{name: "wide", jobs: 1000, steps: 1, tasks: 39, occurrences: 1, payloadBytes: 20},
		{name: "wider", jobs: 500, steps: 1, tasks: 230, occurrences: 1, payloadBytes: 200},
		{name: "most tasks", jobs: 10, steps: 32, tasks: 2048, occurrences: 1},
		{name: "tasks of many occurrences", jobs: 5, steps: 64, tasks: 16, occurrences: 64},
		{name: "steps of many occurrences", jobs: 5, steps: 16, tasks: 1, occurrences: 4096},
		{name: "many occurrences", jobs: 5, steps: 1, tasks: 1, occurrences: 4096},
		{name: "large bodies", jobs: 200, steps: 64, tasks: 1, occurrences: 1, payloadBytes: 4000, nameBytes: 240, links: 64},
	} {
		planner, entry := New("n", Bounds{}, Features{}), registrar.New(budgeter.New(1<<40, time.Minute), nil)
		estimated, before := int64(0), liveBytes()
		for number := range shape.jobs {
			job := shape.job(number)
			estimated += budgeter.Cost(&job)
			read := messenger.JournalRead{Entries: []messenger.JournalEntry{messenger.Submitted{Job: job}}, SentAt: now}
			entry.Step(now, read)
			planner.applyEntry(now, read.Entries[0]).prepareExecution(nil)
		}
		measured := liveBytes() - before
		runtime.KeepAlive(planner)
		runtime.KeepAlive(entry)
		jobs := int64(shape.jobs)
		figures := quicktest.Commentf("%s: %d bytes a job, estimated %d", shape.name, measured/jobs, estimated/jobs)
		t.Log(figures)
		c.Check(measured <= estimated, quicktest.IsTrue, figures)
		c.Check(measured >= estimated/4, quicktest.IsTrue, figures)
	}
}

// TestReservedRunNumbersNeedLittleMemory guards against a new holder that needs several times the
// memory of the accepted jobs: it reserves a number for each task that its predecessor may have
// started, and kept the whole history of a task for it, 192 bytes.
func TestReservedRunNumbersNeedLittleMemory(t *testing.T) {
	const bytesPerTask = 32 // two numbers, a pointer and the marks of the next record
	c, now := quicktest.New(t), time.Unix(1_000_000, 0)
	shape := jobShape{jobs: 5, steps: 32, tasks: 2048, occurrences: 1}
	planner, tasks := New("n", Bounds{}, Features{}), shape.jobs*shape.steps*shape.tasks
	for number := range shape.jobs {
		job := planner.applyEntry(now, messenger.Submitted{Job: shape.job(number)})
		job.prepareExecution(nil)
		job.markInheritedTasks()
	}
	before := liveBytes()
	for _, job := range planner.jobs {
		for step := range job.steps() {
			for index := range step.tasks {
				step.tasks[index].unresolved = false
			}
			planner.reserveRuns(now, step)
			c.Assert(step.needsRunNumbers(now), quicktest.IsFalse)
		}
	}
	measured := liveBytes() - before
	runtime.KeepAlive(planner)
	figures := quicktest.Commentf("%d bytes for each of %d tasks", measured/int64(tasks), tasks)
	t.Log(figures)
	c.Assert(measured > 0 && measured <= int64(bytesPerTask*tasks), quicktest.IsTrue, figures)
}

// TestPayloadOfEndedJobIsReleased guards against payloads that a node keeps although the journal
// has them no more, until the state of the job has expired.
func TestPayloadOfEndedJobIsReleased(t *testing.T) {
	c, now := quicktest.New(t), time.Unix(1_000_000, 0)
	planner, job := New("n", Bounds{}, Features{}), jobShape{steps: 1, tasks: 1, occurrences: 1, payloadBytes: 100}.job(1)
	planner.applyEntry(now, messenger.Submitted{Job: job})
	planner.applyEntry(now, messenger.Progressed{Job: job.ID, Progress: specifier.Progress{State: specifier.Cancelled, EndedAt: now}})
	job.Payload = ""
	planner.applyEntry(now, messenger.Submitted{Job: job})
	c.Assert(planner.jobs[job.ID].spec.Payload, quicktest.Equals, "")
}
