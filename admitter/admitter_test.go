package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"corianderroad/admitter"
	"corianderroad/identifier"
	"corianderroad/specifier"
)

var start = time.Unix(1_000_000, 0)

// wideQueue has an objective of 15 s for a job of 6 s, and so a slack of 9 s.
func wideQueue() *specifier.Queue {
	return &specifier.Queue{Name: "wide", Service: "pool", Priority: 2, Stretch: 2, Slack: 3 * time.Second}
}

func wideJob(id string) *specifier.Job {
	return &specifier.Job{ID: identifier.Job(id), Queue: "wide", Workspace: "w", Steps: []specifier.Step{{
		Tasks: 39, Request: specifier.Resources{MilliCPU: 2800, Accelerators: 1}, EstimatedRunTime: 6 * time.Second,
	}}}
}

// longWait is one after which the jobs of the queue would earn nothing.
func longWait() admitter.Wait {
	return admitter.Wait{
		Queue: "wide", Timely: 20 * time.Second, Behind: time.Minute, RunTime: 6 * time.Second, Tasks: 39,
		LargestMinion: specifier.Resources{MilliCPU: 32_000, MemoryMB: 64_000, Accelerators: 8},
	}
}

func newAdmitter(wait admitter.Wait) *admitter.Admitter {
	decider := admitter.New(rand.New(rand.NewPCG(1, 1)))
	decider.SetFigures(start, admitter.Figures{Waits: []admitter.Wait{wait}, ComputedAt: start, ReadAt: start})
	return decider
}

// countRefused returns how many of the first submissions of as many jobs are refused.
func countRefused(decider *admitter.Admitter, now time.Time, count int, submission func(job *specifier.Job) admitter.Submission) int {
	refused := 0
	for number := range count {
		if decider.Decide(now, submission(wideJob(fmt.Sprint("j", number)))).Refused {
			refused++
		}
	}
	return refused
}

func plain(job *specifier.Job) admitter.Submission {
	return admitter.Submission{Job: job, Queue: wideQueue()}
}

// TestOneOfSeveralIsAccepted guards against a rule that refuses nothing, and against one that refuses all
// submissions of a workspace, so that nobody sees that its forecasts are too high.
func TestOneOfSeveralIsAccepted(t *testing.T) {
	c := quicktest.New(t)
	decider := newAdmitter(longWait())
	for _, workspace := range []identifier.Workspace{"w", "other"} {
		c.Assert(countRefused(decider, start, 36, func(job *specifier.Job) admitter.Submission {
			job.Workspace = workspace
			return plain(job)
		}), quicktest.Equals, 33)
	}
}

// TestExemptJobsAreAccepted guards against refusals of jobs that the rule must not concern, or about whose
// wait the figures say nothing.
func TestExemptJobsAreAccepted(t *testing.T) {
	for name, change := range map[string]func(submission *admitter.Submission){
		"priority 0":           func(submission *admitter.Submission) { submission.Queue.Priority = 0 },
		"within the guarantee": func(submission *admitter.Submission) { submission.WithinGuarantee = true },
		"with due times":       func(submission *admitter.Submission) { submission.Job.Schedule = &specifier.Schedule{Occurrences: 1} },
		"long-running":         func(submission *admitter.Submission) { submission.Job.Steps[0].LongRunning = true },
		"larger than a minion": func(submission *admitter.Submission) { submission.Job.Steps[0].Request.Accelerators = 9 },
		"with a label":         func(submission *admitter.Submission) { submission.Job.Steps[0].Label = "rare" },
		"backfill":             func(submission *admitter.Submission) { submission.Job.Steps[0].Backfill = true },
		"narrow":               func(submission *admitter.Submission) { submission.Job.Steps[0].Tasks = 19 },
		"of another queue":     func(submission *admitter.Submission) { submission.Queue.Name = "other" },
		"without an objective": func(submission *admitter.Submission) { submission.Queue.Stretch, submission.Queue.Slack = 0, 0 },
		"without steps":        func(submission *admitter.Submission) { submission.Job.Steps = nil },
		"with much time":       func(submission *admitter.Submission) { submission.Queue.Slack = time.Minute },
	} {
		t.Run(name, func(t *testing.T) {
			refused := countRefused(newAdmitter(longWait()), start, 24, func(job *specifier.Job) admitter.Submission {
				submission := plain(job)
				change(&submission)
				return submission
			})
			quicktest.Assert(t, refused, quicktest.Equals, 0)
		})
	}
}

// TestWaitsThatLeaveSomeWorth guards against refusals of jobs that are late but earn something, or that can
// be on time behind the timely work before them.
func TestWaitsThatLeaveSomeWorth(t *testing.T) {
	c := quicktest.New(t)
	late := longWait()
	late.Behind = 39 * time.Second // the job would end after 45 s, three times its objective
	c.Assert(countRefused(newAdmitter(late), start, 24, plain), quicktest.Equals, 0)
	late.Behind += time.Second
	c.Assert(countRefused(newAdmitter(late), start, 24, plain), quicktest.Equals, 22)
	timely := longWait()
	timely.Timely = 13 * time.Second // less than 1.5 times the slack
	c.Assert(countRefused(newAdmitter(timely), start, 24, plain), quicktest.Equals, 0)
}

// TestFiguresThatAreNotFreshRefuseNothing guards against refusals by figures from before an outage of the
// store, of a former holder, or of a holder whose clock differs.
func TestFiguresThatAreNotFreshRefuseNothing(t *testing.T) {
	c := quicktest.New(t)
	decider := newAdmitter(longWait())
	c.Assert(countRefused(decider, start.Add(1900*time.Millisecond), 24, plain), quicktest.Equals, 22)
	c.Assert(decider.Waits(start.Add(1900*time.Millisecond)), quicktest.HasLen, 1)
	c.Assert(countRefused(decider, start.Add(2*time.Second), 24, plain), quicktest.Equals, 0)
	c.Assert(decider.Waits(start.Add(2*time.Second)), quicktest.HasLen, 0)
	for _, figures := range []admitter.Figures{
		{ComputedAt: start.Add(-2 * time.Second), ReadAt: start},
		{ComputedAt: start, ReadAt: start.Add(-2 * time.Second)},
		{ComputedAt: start.Add(3 * time.Second), ReadAt: start},
	} {
		figures.Waits = []admitter.Wait{longWait()}
		decider.SetFigures(start, figures)
		c.Assert(countRefused(decider, start, 24, plain), quicktest.Equals, 0)
	}
	decider.SetFigures(start, admitter.Figures{ReadAt: start})
	c.Assert(countRefused(decider, start, 24, plain), quicktest.Equals, 0)
}

// TestRetryDelays guards against callers that are told to return at the same time, at once, or never.
func TestRetryDelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := longWait()
		wait.Behind = time.Duration(rapid.IntRange(40, 7200).Draw(t, "wait")) * time.Second
		decider := newAdmitter(wait)
		seconds := make(map[time.Duration]int)
		refused := 0
		for number := range 240 {
			verdict := decider.Decide(start, plain(wideJob(fmt.Sprintf("%08x", number))))
			if !verdict.Refused {
				continue
			}
			if verdict.RetryAfter < time.Second || verdict.RetryAfter > 30*time.Second {
				t.Fatalf("retry delay %s", verdict.RetryAfter)
			}
			refused++
			seconds[verdict.RetryAfter.Truncate(time.Second)]++
		}
		for delay, count := range seconds {
			if 5*count > refused {
				t.Fatalf("%d of %d callers return after %s", count, refused, delay)
			}
		}
	})
}

// TestChangesAreReportedOnce guards against a log line for each refusal, and against a queue whose refusals
// never end.
func TestChangesAreReportedOnce(t *testing.T) {
	c := quicktest.New(t)
	decider := newAdmitter(longWait())
	refused := countRefused(decider, start, 24, plain)
	changes := decider.Changes(start)
	c.Assert(changes, quicktest.DeepEquals, []admitter.Change{{Queue: "wide", Began: true, Wait: time.Minute}})
	now := start
	for range 120 { // the waits stay long, and nothing is submitted
		now = now.Add(time.Second)
		decider.SetFigures(now, admitter.Figures{Waits: []admitter.Wait{longWait()}, ComputedAt: now, ReadAt: now})
		c.Assert(decider.Changes(now), quicktest.HasLen, 0)
	}
	short := longWait()
	short.Timely = 0
	last := now
	for len(changes) > 0 && changes[0].Began {
		now = now.Add(time.Second)
		decider.SetFigures(now, admitter.Figures{Waits: []admitter.Wait{short}, ComputedAt: now, ReadAt: now})
		if found := decider.Changes(now); len(found) > 0 {
			changes = found
		}
		c.Assert(now.Sub(last) <= 2*time.Minute, quicktest.IsTrue)
	}
	c.Assert(changes, quicktest.DeepEquals, []admitter.Change{{Queue: "wide", Refused: refused, Lasted: last.Sub(start)}})
}
