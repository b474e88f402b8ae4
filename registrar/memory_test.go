package registrar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/budgeter"
	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
	"corianderroad/registrar"
	"corianderroad/specifier"
)

// jobMemory is a limit that holds a few hundred jobs of one task.
const jobMemory = 1 << 20

// jobRetention is how long the state of an ended job stays readable.
const jobRetention = 150 * time.Second

// jobOf returns a job of a workspace with some tasks.
func jobOf(workspace identifier.Workspace, id string, tasks int) specifier.Job {
	return specifier.Job{ID: identifier.Job(id), Queue: "q", Workspace: workspace, Steps: []specifier.Step{{Tasks: tasks}}}
}

// submitJob submits a job and returns the error of the answer that it has after some time.
func (entryVM *entryVM) submitJob(request string, job specifier.Job) *classifier.Error {
	entryVM.step(messenger.SubmitArrived{Request: identifier.Request(request), Job: job, Deadline: entryVM.now.Add(3 * time.Second)})
	entryVM.run(1500 * time.Millisecond)
	answer, ok := entryVM.answers[identifier.Request(request)]
	if !ok {
		panic(request + " has no answer")
	}
	return answer.Err
}

// fill submits jobs of a workspace until one is refused, and returns how many were accepted.
func (entryVM *entryVM) fill(workspace identifier.Workspace, tasks int) int {
	for count := 0; ; count++ {
		id := fmt.Sprintf("%s-%d", workspace, count)
		if err := entryVM.submitJob("submit-"+id, jobOf(workspace, id, tasks)); err != nil {
			return count
		}
	}
}

func gaugeOf(registrar *registrar.Registrar, name, label string) float64 {
	for _, gauge := range registrar.View(time.Time{}, querier.Query{Kind: querier.Status}).Gauges {
		if gauge.Name == name && gauge.Label == label {
			return gauge.Value
		}
	}
	return -1
}

// TestSubmissionBeyondTheMemoryIsRefused guards against jobs without bound, against a refused
// job in the journal, and against a workspace that leaves no room to others. Repetitions of
// accepted jobs and cancellations must not be refused.
func TestSubmissionBeyondTheMemoryIsRefused(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newSmallEntryVM(1, jobMemory)
	entryVM.run(300 * time.Millisecond)
	accepted := entryVM.fill("a", 1000)
	c.Assert(accepted > 2, quicktest.IsTrue, quicktest.Commentf("%d", accepted))
	refused := fmt.Sprintf("a-%d", accepted)
	answer := entryVM.answers[identifier.Request("submit-"+refused)]
	c.Assert(answer.Err.Code, quicktest.Equals, classifier.JobMemoryShort)
	c.Assert(answer.Err.RetryAfter > 0, quicktest.IsTrue)
	c.Assert(entryVM.has(messenger.Submitted{Job: specifier.Job{ID: identifier.Job(refused)}}), quicktest.IsFalse)
	c.Assert(gaugeOf(entryVM.registrar, "accepted-job-refusals", "workspace-share"), quicktest.Equals, 1.0)

	c.Assert(entryVM.submitJob("repeat", jobOf("a", "a-0", 1000)) == nil, quicktest.IsTrue)
	c.Assert(entryVM.submitJob("other", jobOf("b", "b-0", 1000)) == nil, quicktest.IsTrue)
	entryVM.step(messenger.WithdrawArrived{Request: "cancel", Job: "a-0", Queue: "q", Workspace: "a", Deadline: entryVM.now.Add(3 * time.Second)})
	entryVM.run(500 * time.Millisecond)
	c.Assert(entryVM.answers["cancel"].Err == nil, quicktest.IsTrue)
	c.Assert(entryVM.has(messenger.Withdrawn{Job: "a-0"}), quicktest.IsTrue)
}

// TestSingleLargeJobIsAccepted guards against a refusal of the largest job while nothing else is
// open, although it needs more than the limit, and against one that shuts out other workspaces.
func TestSingleLargeJobIsAccepted(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newSmallEntryVM(1, jobMemory)
	entryVM.run(300 * time.Millisecond)
	job := jobOf("a", "large", specifier.MaxTasks)
	job.Schedule = &specifier.Schedule{Occurrences: 32}
	c.Assert(entryVM.submitJob("large", job) == nil, quicktest.IsTrue)
	job.ID = "another"
	c.Assert(entryVM.submitJob("another", job).Code, quicktest.Equals, classifier.JobMemoryShort)
	c.Assert(entryVM.submitJob("other", jobOf("b", "small", 1)) == nil, quicktest.IsTrue)
}

// TestEndedJobsFreeTheirMemory guards against memory that counts although no node has the job any
// more, and against one that is free while the holder still has the tasks.
func TestEndedJobsFreeTheirMemory(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newSmallEntryVM(1, jobMemory)
	entryVM.run(300 * time.Millisecond)
	accepted := entryVM.fill("a", 1000)
	used := gaugeOf(entryVM.registrar, "accepted-job-bytes", "")
	for number := range accepted {
		entryVM.journal = append(entryVM.journal, messenger.Progressed{
			Job: identifier.Job(fmt.Sprintf("a-%d", number)), Progress: specifier.Progress{State: specifier.Completed, EndedAt: entryVM.now},
		})
	}
	entryVM.run(300 * time.Millisecond)
	c.Assert(gaugeOf(entryVM.registrar, "accepted-job-bytes", ""), quicktest.Equals, used)
	for number := range accepted {
		entryVM.journal = append(entryVM.journal, messenger.Deleted{Job: identifier.Job(fmt.Sprintf("a-%d", number))})
	}
	entryVM.run(300 * time.Millisecond)
	c.Assert(gaugeOf(entryVM.registrar, "accepted-job-bytes", ""), quicktest.Equals, 0.0)
	c.Assert(entryVM.submitJob("again", jobOf("a", "a-again", 1000)) == nil, quicktest.IsTrue)
}

// TestRefusalTellsWhenThereIsRoom guards against callers who are told to come back long before the
// jobs that fill the share of their workspace expire, and against a refusal at that time.
func TestRefusalTellsWhenThereIsRoom(t *testing.T) {
	const endInterval = 5 * time.Second
	c := quicktest.New(t)
	entryVM := newSmallEntryVM(1, jobMemory)
	entryVM.run(300 * time.Millisecond)
	accepted := entryVM.fill("a", 1000)
	refusal := entryVM.answers[identifier.Request(fmt.Sprintf("submit-a-%d", accepted))].Err
	c.Assert(refusal.RetryAfter, quicktest.Equals, 30*time.Second) // nothing has ended
	firstEnd := entryVM.now
	for number := range accepted {
		entryVM.journal = append(entryVM.journal, messenger.Progressed{
			Job:      identifier.Job(fmt.Sprintf("a-%d", number)),
			Progress: specifier.Progress{State: specifier.Completed, EndedAt: firstEnd.Add(time.Duration(number) * endInterval)},
		})
	}
	entryVM.run(time.Minute)
	c.Assert(gaugeOf(entryVM.registrar, "accepted-job-refusals", "workspace-share"), quicktest.Equals, 1.0)
	refusedAt := entryVM.now
	refusal = entryVM.submitJob("early", jobOf("a", "early", 1000))
	c.Assert(refusal.Code, quicktest.Equals, classifier.JobMemoryShort)
	c.Assert(refusal.RetryAfter, quicktest.Equals, firstEnd.Add(jobRetention+2*time.Second).Sub(refusedAt))
	entryVM.run(firstEnd.Add(jobRetention).Sub(entryVM.now))
	entryVM.journal = append(entryVM.journal, messenger.Deleted{Job: "a-0"})
	entryVM.run(refusedAt.Add(refusal.RetryAfter).Sub(entryVM.now))
	c.Assert(entryVM.submitJob("again", jobOf("a", "again", 1000)) == nil, quicktest.IsTrue)
}

// TestRestartCountsTheSame guards against a node that counts other figures after a restart or a
// takeover, and so accepts more than the others.
func TestRestartCountsTheSame(t *testing.T) {
	c := quicktest.New(t)
	entryVM := newSmallEntryVM(1, jobMemory)
	entryVM.run(300 * time.Millisecond)
	entryVM.fill("a", 500)
	entryVM.journal = append(entryVM.journal,
		messenger.Progressed{Job: "a-0", Progress: specifier.Progress{State: specifier.Completed, EndedAt: entryVM.now}},
		messenger.Submitted{Job: jobOf("a", "a-0", 500)}, messenger.Deleted{Job: "a-1"})
	entryVM.run(300 * time.Millisecond)
	used := gaugeOf(entryVM.registrar, "accepted-job-bytes", "")
	restarted := registrar.New(budgeter.New(jobMemory, jobRetention), nil)
	restarted.Step(entryVM.now, messenger.JournalRead{Entries: entryVM.journal, End: identifier.Offset(len(entryVM.journal)), SentAt: entryVM.now})
	c.Assert(gaugeOf(restarted, "accepted-job-bytes", ""), quicktest.Equals, used)
}

// TestShortageIsLoggedOnce guards against a line for each refusal.
func TestShortageIsLoggedOnce(t *testing.T) {
	c := quicktest.New(t)
	now := time.Unix(1_000_000, 0)
	stateMachine := registrar.New(budgeter.New(jobMemory, jobRetention), nil)
	outcomes := make(map[string]int)
	step := func(event messenger.Event) {
		for _, action := range stateMachine.Step(now, event) {
			if decision, ok := action.(messenger.Decision); ok {
				outcomes[decision.Outcome]++
			}
		}
	}
	full := jobOf("a", "full", 2000)
	full.Schedule = &specifier.Schedule{Occurrences: 16}
	step(messenger.JournalRead{Entries: []messenger.JournalEntry{messenger.Submitted{Job: full}}, SentAt: now})
	for number := range 3 {
		request := identifier.Request(fmt.Sprint("r", number))
		step(messenger.SubmitArrived{Request: request, Job: jobOf("a", fmt.Sprint("j", number), 1), Deadline: now.Add(3 * time.Second)})
	}
	now = now.Add(time.Minute)
	step(messenger.JournalRead{SentAt: now})
	c.Assert(outcomes, quicktest.DeepEquals, map[string]int{"job-memory-short": 1})
	step(messenger.JournalRead{Entries: []messenger.JournalEntry{messenger.Deleted{Job: "full"}}, SentAt: now})
	step(messenger.JournalRead{SentAt: now})
	c.Assert(outcomes, quicktest.DeepEquals, map[string]int{"job-memory-short": 1, "job-memory-free": 1})
}
