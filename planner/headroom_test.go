package planner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/querier"
	"corianderroad/specifier"
)

const (
	streamMinions = 40
	streamTime    = 40 * time.Second
	// streamWork is the run time of the urgent gangs, which are on time if they end within
	// streamSlack more.
	streamWork  = 2 * time.Second
	streamSlack = 500 * time.Millisecond
)

// streamResult is what one play of urgent gangs over a full pool gave.
type streamResult struct {
	onTime, late, stopped, otherTasks int
}

// newStream returns a pool with more single tasks than room and urgent gangs of 1 to 5 whole
// minions that keep coming, with the times of their submissions.
func newStream(seed uint64, nodes int, features planner.Features) (*simulation, map[identifier.Job]time.Time) {
	simulation := newSimulation(seed, 0, streamMinions)
	simulation.features = features
	simulation.checkpoints = &fakeCheckpoints{interval: time.Second, restartTime: 50 * time.Millisecond}
	for index := range nodes {
		node := simulation.newNode(fmt.Sprintf("n%d", index))
		simulation.nodes = append(simulation.nodes, node)
		simulation.step(node, messenger.PolicyRead{Policy: burstPolicy(), SentAt: simulation.now})
	}
	simulation.makeHolder(simulation.nodes[0])
	random := rand.New(rand.NewPCG(seed, 3)) // the same load with and without the rule
	for number := range 12 * int(streamTime/time.Second) {
		simulation.schedule(time.Duration(number)*time.Second/12, func() {
			simulation.submit(jobOf(fmt.Sprintf("w%04d", number), specifier.Step{
				Tasks: 4, Request: specifier.Resources{MilliCPU: 2800, MemoryMB: 4000, Accelerators: 1}, EstimatedRunTime: 8 * time.Second,
			}))
		})
	}
	submittedAt := make(map[identifier.Job]time.Time)
	for at := 10 * time.Second; at < streamTime-5*time.Second; at += time.Duration(100+random.IntN(900)) * time.Millisecond {
		gang := wholeMinionGang(1+random.IntN(5), streamWork)
		simulation.schedule(at, func() {
			id := identifier.Job(fmt.Sprintf("u%03d", len(submittedAt)))
			submittedAt[id] = simulation.now
			simulation.submit(specifier.Job{ID: id, Queue: urgentQueue, Steps: []specifier.Step{gang}})
		})
	}
	return simulation, submittedAt
}

func streamResultOf(simulation *simulation, submittedAt map[identifier.Job]time.Time) streamResult {
	result := streamResult{stopped: simulation.endsWithoutResult[messenger.EndStopped]}
	for id, at := range submittedAt {
		state := simulation.taskState(specifier.Task{Job: id})
		if state.done && state.doneAt.Sub(at) <= streamWork+streamSlack {
			result.onTime++
		} else {
			result.late++
		}
	}
	for task, state := range simulation.tasks {
		if _, isUrgent := submittedAt[task.Job]; !isUrgent && state.done {
			result.otherTasks++
		}
	}
	return result
}

// TestUrgentStreamOverFullPoolIsOnTime guards against urgent jobs of which each waits for the stop
// of other runs, because whatever comes free is given to work that could wait.
func TestUrgentStreamOverFullPoolIsOnTime(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed+1), func(t *testing.T) {
			c := quicktest.New(t)
			results := make(map[bool]streamResult)
			for _, hasRule := range []bool{false, true} {
				simulation, submittedAt := newStream(seed+1, 1, planner.Features{GangReservations: true, LossAwareStops: true, UrgentHeadroom: hasRule})
				simulation.advance(streamTime)
				c.Assert(simulation.violations, quicktest.HasLen, 0)
				results[hasRule] = streamResultOf(simulation, submittedAt)
			}
			t.Logf("without: %+v, with: %+v", results[false], results[true])
			c.Assert(2*results[true].late <= results[false].late, quicktest.IsTrue)
			c.Assert(results[true].stopped < results[false].stopped, quicktest.IsTrue)
			// A quarter of the minions is kept free at most.
			c.Assert(4*results[true].otherTasks >= 3*results[false].otherTasks, quicktest.IsTrue)
		})
	}
}

// TestNewHolderKeepsHeadroom guards against a takeover after which urgent jobs are late for long,
// because the new holder does not know how many come.
func TestNewHolderKeepsHeadroom(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, _ := newStream(1, 2, planner.Features{GangReservations: true, LossAwareStops: true, UrgentHeadroom: true})
	simulation.advance(18 * time.Second)
	simulation.nodes[0].alive = false
	simulation.advance(1500 * time.Millisecond)
	simulation.makeHolder(simulation.nodes[1])
	simulation.advance(5 * time.Second)
	c.Assert(simulation.gauge(simulation.nodes[1], "headroom-minions") >= 3, quicktest.IsTrue)
	simulation.advance(30 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// gauge returns the value of a gauge of a node.
func (simulation *simulation) gauge(node *node, name string) float64 {
	for _, gauge := range node.planner.View(simulation.now, querier.Query{Kind: querier.Status}).Gauges {
		if gauge.Name == name {
			return gauge.Value
		}
	}
	return -1
}

// TestLabelledStepUsesHeadroom guards against a step of lower priority that waits because all
// minions that can run it are kept for urgent work.
func TestLabelledStepUsesHeadroom(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation, _ := newStream(1, 1, planner.Features{UrgentHeadroom: true})
	for _, minion := range simulation.sortedMinions()[1:] {
		minion.kind = "b"
	}
	simulation.advance(12 * time.Second)
	labelled := wholeMinions(1, time.Second)
	labelled.Label = "a"
	simulation.submit(jobOf("labelled", labelled))
	simulation.advance(20 * time.Second)
	c.Assert(simulation.recordedState("labelled"), quicktest.Equals, specifier.Completed)
}
