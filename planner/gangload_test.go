package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/specifier"
)

const wideQueue = identifier.Queue("wide")

// newReservingSimulation returns a simulation with a queue of priority 2 beside the others,
// whose nodes have reservations or not.
func newReservingSimulation(seed uint64, nodes, minions int, reserves bool) *simulation {
	simulation := newSimulation(seed, 0, minions)
	simulation.features = planner.Features{GangReservations: reserves}
	for index := range nodes {
		simulation.addReservingNode(fmt.Sprintf("n%d", index))
	}
	return simulation
}

func (simulation *simulation) addReservingNode(name string) *node {
	node := simulation.newNode(name)
	policy := testPolicy()
	policy.Version = 2
	wide := policy.Queues[0]
	wide.Name, wide.Priority = wideQueue, 2
	policy.Queues = append(policy.Queues, wide)
	simulation.nodes = append(simulation.nodes, node)
	simulation.step(node, messenger.PolicyRead{Policy: policy, SentAt: simulation.now})
	return node
}

// fillerTime is the run time of the tasks that fill the pool.
const fillerTime = 4 * time.Second

// fill submits single tasks of priority 2 from now on, more than the minions can run, whose
// run times vary by a quarter.
func (simulation *simulation) fill(minions int, span time.Duration) {
	simulation.workTime = func(run *fakeRun) time.Duration {
		if run.spec.Gang {
			return run.spec.EstimatedRunTime
		}
		return run.spec.EstimatedRunTime * time.Duration(75+run.number%51) / 100
	}
	tasksAtOnce := 8 * minions
	interval := fillerTime / time.Duration(tasksAtOnce) * 10 / 13
	for number := range int(span / interval) {
		simulation.schedule(time.Duration(number)*interval, func() {
			simulation.submit(specifier.Job{
				ID: identifier.Job(fmt.Sprintf("w%05d", number)), Queue: wideQueue,
				Steps: []specifier.Step{{Tasks: 1, Request: specifier.Resources{MilliCPU: 2800, MemoryMB: 6000, Accelerators: 1}, EstimatedRunTime: fillerTime}},
			})
		})
	}
}

// wholeMinionGang returns a gang whose members need a minion each.
func wholeMinionGang(tasks int, runTime time.Duration) specifier.Step {
	gang := wholeMinions(tasks, runTime)
	gang.Gang = true
	return gang
}

// startOf returns how long after a time the first task of a job starts, within a limit.
func (simulation *simulation) startOf(job identifier.Job, limit time.Duration) (time.Duration, bool) {
	from := simulation.now
	for simulation.now.Sub(from) < limit {
		simulation.advance(20 * time.Millisecond)
		if len(simulation.taskState(specifier.Task{Job: job}).startedRuns) > 0 {
			return simulation.now.Sub(from), true
		}
	}
	return 0, false
}

// maxGangWait is how long a gang may wait in a pool full of fillers: until the longest of
// them have ended, with one period of planning, and the delays of polls and records.
const maxGangWait = fillerTime*5/4 + 2*time.Second

// TestGangStartsInAFullPool guards against a gang of priority 1 that waits for as long as
// single tasks of priority 2 take each place that becomes free.
func TestGangStartsInAFullPool(t *testing.T) {
	t.Parallel()
	for _, tasks := range []int{2, 6} {
		t.Run(fmt.Sprint("tasks=", tasks), func(t *testing.T) {
			c := quicktest.New(t)
			simulation := newReservingSimulation(1, 1, 8, true)
			simulation.makeHolder(simulation.nodes[0])
			simulation.fill(8, time.Minute)
			simulation.advance(15 * time.Second)
			simulation.submit(jobOf("gang", wholeMinionGang(tasks, 3*time.Second)))
			waited, started := simulation.startOf("gang", 30*time.Second)
			c.Assert(started && waited <= maxGangWait, quicktest.IsTrue, quicktest.Commentf("%v %s\n%s", started, waited, simulation.decisionsAbout("gang")))
			c.Assert(simulation.violations, quicktest.HasLen, 0)
			t.Log(waited)
		})
	}
}

// TestGangStartsAlthoughRunsAreLonger guards against a gang that waits without bound because
// runs take three times their declared time, so that its reservation is never met in time.
func TestGangStartsAlthoughRunsAreLonger(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newReservingSimulation(1, 1, 8, true)
	simulation.makeHolder(simulation.nodes[0])
	simulation.fill(8, 90*time.Second)
	simulation.workTime = func(run *fakeRun) time.Duration { return 3 * run.spec.EstimatedRunTime }
	simulation.advance(25 * time.Second)
	simulation.submit(jobOf("gang", wholeMinionGang(6, 3*time.Second)))
	waited, started := simulation.startOf("gang", 60*time.Second)
	c.Assert(started && waited <= 3*maxGangWait, quicktest.IsTrue, quicktest.Commentf("%v %s\n%s", started, waited, simulation.decisionsAbout("gang")))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	t.Log(waited)
}
