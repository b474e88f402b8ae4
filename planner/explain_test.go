package planner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/querier"
	"corianderroad/specifier"
)

// explain returns a node's answer about a job.
func (simulation *simulation) explain(node *node, job string) querier.Answer {
	return node.planner.View(simulation.now, querier.Query{Kind: querier.Explain, Subject: job})
}

// waitingSteps returns the waiting steps of a job at its holder.
func (simulation *simulation) waitingSteps(c *quicktest.C, node *node, job string) []querier.WaitingStep {
	answer := simulation.explain(node, job)
	c.Assert(answer.IsHolder, quicktest.IsTrue)
	c.Assert(answer.Explanations, quicktest.HasLen, 1)
	return answer.Explanations[0].Steps
}

// fillPool starts a task on each of four minions and submits two jobs that wait behind them:
// a gang that needs all minions, and a single task after it.
func fillPool(runTime time.Duration) *simulation {
	simulation := newSimulation(1, 2, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", wholeMinions(4, runTime)))
	simulation.advance(time.Second)
	gang := wholeMinions(4, time.Second)
	gang.Gang = true
	simulation.submit(jobOf("b", gang))
	simulation.advance(time.Second)
	simulation.submit(jobOf("c", wholeMinions(1, time.Second)))
	simulation.advance(time.Second)
	return simulation
}

// TestExplainOfFullPool guards against an answer that does not say why a step waits, at
// which place, and when it will start.
func TestExplainOfFullPool(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := fillPool(20 * time.Second)
	holder := simulation.nodes[0]
	begun := simulation.now
	gang := simulation.waitingSteps(c, holder, "b")
	c.Assert(gang, quicktest.HasLen, 1)
	c.Assert(gang[0].Reason, quicktest.Equals, "no-capacity")
	c.Assert([]int{gang[0].Tasks, gang[0].Startable, gang[0].Place, gang[0].Waiting, gang[0].FittingMinions}, quicktest.DeepEquals, []int{4, 4, 1, 2, 4})
	c.Assert(gang[0].Since.IsZero(), quicktest.IsFalse)
	c.Assert(gang[0].Basis, quicktest.Equals, querier.RoomFreeAt)
	single := simulation.waitingSteps(c, holder, "c")
	c.Assert([]int{single[0].Place, single[0].Waiting}, quicktest.DeepEquals, []int{2, 2})
	simulation.advance(1500 * time.Millisecond) // the gang can't be on time any more, the other job can
	late := simulation.waitingSteps(c, holder, "b")[0]
	c.Assert(late.Late, quicktest.IsTrue)
	c.Assert(late.Place, quicktest.Equals, 2)
	for len(simulation.taskState(specifier.Task{Job: "b"}).running) == 0 {
		simulation.advance(50 * time.Millisecond)
		c.Assert(simulation.now.Sub(begun) < 30*time.Second, quicktest.IsTrue)
	}
	difference := simulation.now.Sub(gang[0].ExpectedStart).Abs()
	c.Assert(difference < 1500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", difference))
	c.Assert(simulation.waitingSteps(c, holder, "b"), quicktest.HasLen, 0)
	unknown := simulation.explain(holder, "z")
	c.Assert(unknown.IsHolder, quicktest.IsTrue)
	c.Assert(unknown.Explanations, quicktest.HasLen, 0)
}

// TestExplainCountsTheStepsBefore guards against a long queue each of whose steps is told that
// it starts next.
func TestExplainCountsTheStepsBefore(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.task.Job == "a" {
			return 16 * time.Second
		}
		return run.spec.EstimatedRunTime
	}
	simulation.makeHolder(simulation.nodes[0])
	whole := specifier.Step{Tasks: 1, Request: taskOf(32000, 8), EstimatedRunTime: 10 * time.Second}
	for _, job := range []string{"a", "b", "c"} {
		simulation.submit(jobOf(job, whole))
		simulation.advance(time.Second)
	}
	step := simulation.waitingSteps(c, simulation.nodes[0], "c")[0]
	c.Assert(step.Place, quicktest.Equals, 2)
	expected := time.Unix(1_000_026, 0) // after 16 s of the first job and 10 s of the second
	c.Assert(step.ExpectedStart.Sub(expected).Abs() < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", step.ExpectedStart.Sub(expected)))
}

// TestExplainBehindOverdueRun guards against a start that is expected now for as long as a run
// is overdue.
func TestExplainBehindOverdueRun(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	simulation.workTime = func(*fakeRun) time.Duration { return time.Hour } // no progress is shown for 36 s
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", wholeMinions(1, 10*time.Second)))
	simulation.advance(time.Second)
	simulation.submit(jobOf("b", wholeMinions(1, 10*time.Second)))
	simulation.advance(19 * time.Second)
	step := simulation.waitingSteps(c, simulation.nodes[0], "b")[0]
	wait := step.ExpectedStart.Sub(simulation.now)
	c.Assert(wait > 9*time.Second && wait < 11*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", wait))
}

// TestExplainAfterTakeover guards against an answer by a node that does not know what runs,
// and against one that is lost with the former holder.
func TestExplainAfterTakeover(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := fillPool(time.Minute)
	first, second := simulation.nodes[0], simulation.nodes[1]
	c.Assert(simulation.explain(second, "b"), quicktest.DeepEquals, querier.Answer{})
	first.alive = false
	simulation.makeHolder(second)
	c.Assert(simulation.explain(second, "b"), quicktest.DeepEquals, querier.Answer{}) // it reads the journal first
	simulation.advance(8 * time.Second)
	answer := simulation.explain(second, "b")
	c.Assert(answer.Explanations, quicktest.HasLen, 1)
	c.Assert(answer.Explanations[0].Token, quicktest.Equals, second.token)
	step := answer.Explanations[0].Steps[0]
	c.Assert(step.Reason, quicktest.Equals, "no-capacity")
	c.Assert([]int{step.Place, step.Waiting}, quicktest.DeepEquals, []int{1, 2})
	// The runs began at 0 s of the simulation's time, which the new holder does not know.
	due := time.Unix(1_000_060, 0)
	c.Assert(step.Basis, quicktest.Equals, querier.RoomFreeAt)
	c.Assert(step.ExpectedStart.Sub(due).Abs() < 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", step.ExpectedStart.Sub(due)))
}

// reclaimMinion starts a task on the only minion, and stops it for an urgent job "b".
func reclaimMinion() *simulation {
	simulation := newSimulation(1, 1, 1)
	simulation.makeHolder(simulation.nodes[0])
	filler := wholeMinions(1, time.Minute)
	filler.Checkpoints = true
	simulation.submit(jobOf("a", filler))
	simulation.advance(time.Second)
	urgent := jobOf("b", wholeMinions(1, time.Second))
	urgent.Queue = urgentQueue
	simulation.submit(urgent)
	for simulation.countsOf("stopped ")["preemption"] == 0 {
		simulation.advance(10 * time.Millisecond)
	}
	return simulation
}

// TestExplainNamesReservation guards against a start that seems far away although capacity
// has been reclaimed for it.
func TestExplainNamesReservation(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := reclaimMinion()
	step := simulation.waitingSteps(c, simulation.nodes[0], "b")[0]
	c.Assert(step.Basis, quicktest.Equals, querier.Reservation)
	wait := step.ExpectedStart.Sub(simulation.now)
	c.Assert(wait > 0 && wait <= 500*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", wait))
}

// TestExplainWithoutExpectation guards against a promise for steps whose start nobody knows.
func TestExplainWithoutExpectation(t *testing.T) {
	t.Parallel()
	large := specifier.Step{Tasks: 1, Request: taskOf(64000, 0), EstimatedRunTime: time.Second}
	labelled := wholeMinions(1, time.Second)
	labelled.Label = "none-has-it"
	lasting := specifier.Step{Tasks: 1, Request: taskOf(30000, 8), LongRunning: true}
	for name, test := range map[string]struct {
		filler, step specifier.Step
		fitting      int
	}{
		"no minion is large enough":    {wholeMinions(1, time.Minute), large, 0},
		"no minion has the label":      {wholeMinions(1, time.Minute), labelled, 0},
		"the capacity is never freed":  {lasting, wholeMinions(1, time.Second), 1},
		"the gang is larger than that": {wholeMinions(1, time.Minute), specifier.Step{Tasks: 2, Request: taskOf(30000, 8), Gang: true}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newSimulation(1, 1, 1)
			simulation.makeHolder(simulation.nodes[0])
			simulation.submit(jobOf("a", test.filler))
			simulation.advance(time.Second)
			simulation.submit(jobOf("b", test.step))
			simulation.advance(time.Second)
			step := simulation.waitingSteps(c, simulation.nodes[0], "b")[0]
			c.Assert(step.Basis, quicktest.Equals, querier.Unknown)
			c.Assert(step.ExpectedStart.IsZero(), quicktest.IsTrue)
			c.Assert(step.FittingMinions, quicktest.Equals, test.fitting)
		})
	}
}

// TestExplainNamesEvacuatedDomain guards against an answer that differs from the report of the
// same step: it does not lack capacity, but waits for the end of an evacuation.
func TestExplainNamesEvacuatedDomain(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 8)
	for _, minion := range simulation.sortedMinions()[:4] {
		minion.kind = "b"
	}
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.evacuate("z0", true)
	labelled, large := wholeMinions(1, time.Second), wholeMinions(9, time.Second)
	labelled.Label, large.Gang = "b", true
	simulation.submit(jobOf("labelled", labelled))
	simulation.submit(jobOf("large", large))
	simulation.advance(time.Second)
	c.Assert(simulation.waitingSteps(c, simulation.nodes[0], "labelled")[0].Reason, quicktest.Equals, "domain-evacuated")
	c.Assert(simulation.waitingSteps(c, simulation.nodes[0], "large")[0].Reason, quicktest.Equals, "no-capacity")
}

// TestExplainDoesNotBeginAWait guards against a query that counts as the first pass over a
// step: without a valid claim no pass has seen the step.
func TestExplainDoesNotBeginAWait(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := fillPool(time.Minute)
	simulation.nodes[0].token = 0 // no more renewals
	simulation.advance(2 * time.Second)
	simulation.submit(jobOf("d", wholeMinions(1, time.Second)))
	simulation.advance(time.Second)
	for range 2 {
		step := simulation.waitingSteps(c, simulation.nodes[0], "d")[0]
		c.Assert(step.Reason, quicktest.Equals, "claim-unconfirmed")
		c.Assert(step.Since.IsZero(), quicktest.IsTrue)
	}
}

// TestExplainIsBounded guards against an answer whose cost grows with the size of the job.
func TestExplainIsBounded(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := fillPool(time.Minute)
	simulation.submit(jobOf("d", slices.Repeat([]specifier.Step{wholeMinions(1, time.Second)}, 12)...))
	simulation.advance(time.Second)
	answer := simulation.explain(simulation.nodes[0], "d")
	c.Assert(answer.Explanations[0].Steps, quicktest.HasLen, 8)
	c.Assert(answer.Explanations[0].Omitted, quicktest.Equals, 4)
}

// TestExplainChangesNothing guards against a query that changes what the holder decides: the
// decisions of a load are the same with a query after each millisecond and without.
func TestExplainChangesNothing(t *testing.T) {
	t.Parallel()
	decisions := func(asks bool) []string {
		simulation := newSimulation(7, 2, 4)
		simulation.lostAnswerShare = 0.05
		simulation.makeHolder(simulation.nodes[0])
		for index := range 24 {
			step := specifier.Step{Tasks: 1 + index%4, Request: taskOf(12000, 3), EstimatedRunTime: time.Duration(1+index%5) * time.Second}
			step.Gang, step.SameRack, step.Checkpoints = index%3 == 0, index%4 == 0, index%2 == 0
			job := jobOf(fmt.Sprintf("j%02d", index), step, specifier.Step{Tasks: 2, Request: taskOf(1000, 1), EstimatedRunTime: time.Second, DependsOn: []int{0}})
			if index%6 == 5 {
				job.Queue = urgentQueue
			}
			simulation.submit(job)
			for range 300 {
				simulation.advance(time.Millisecond)
				for queried := 0; asks && queried <= index; queried += 5 {
					simulation.explain(simulation.nodes[0], fmt.Sprintf("j%02d", queried))
				}
			}
		}
		simulation.advance(10 * time.Second)
		return simulation.decisions
	}
	c := quicktest.New(t)
	c.Assert(decisions(true), quicktest.DeepEquals, decisions(false))
}

// addWaitingSteps fills a pool of 350 minions, and adds 2,000 steps that wait.
func (simulation *simulation) addWaitingSteps() {
	simulation.makeHolder(simulation.nodes[0])
	for index := range 10 {
		simulation.submit(jobOf(fmt.Sprintf("f%d", index), specifier.Step{Tasks: 350, Request: taskOf(3000, 0), EstimatedRunTime: time.Hour}))
	}
	simulation.advance(5 * time.Second)
	for index := range 2000 {
		simulation.submit(jobOf(fmt.Sprintf("w%d", index), wholeMinions(13, time.Second)))
	}
	simulation.advance(2 * time.Second)
}

// BenchmarkExplain measures a query beside 2,000 waiting steps and 350 minions.
func BenchmarkExplain(b *testing.B) {
	simulation := newSimulation(1, 1, 350)
	simulation.addWaitingSteps()
	for b.Loop() {
		simulation.explain(simulation.nodes[0], "w1000")
	}
}
