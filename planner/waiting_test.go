package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/querier"
	"corianderroad/specifier"
)

// wholeMinions returns a step whose tasks need a minion each.
func wholeMinions(tasks int, runTime time.Duration) specifier.Step {
	return specifier.Step{Tasks: tasks, Request: taskOf(30000, 8), EstimatedRunTime: runTime}
}

// setReachable sets whether the nodes reach the given minions.
func (simulation *simulation) setReachable(reachable bool, names ...identifier.Minion) {
	for _, name := range names {
		for _, node := range simulation.nodes {
			simulation.minions[name].unreachableFrom[node] = !reachable
		}
	}
}

// cutOff cuts minions off from all nodes and from the store, where their entries lapse, or
// ends that.
func (simulation *simulation) cutOff(cut bool, names ...identifier.Minion) {
	simulation.setReachable(!cut, names...)
	for _, name := range names {
		simulation.minions[name].unregistered = cut
	}
	simulation.deliverAllReports()
}

// TestWaitingStepIsReported guards against a step that waits without a log line
// and a gauge that say why, and against a line for each pass.
func TestWaitingStepIsReported(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", wholeMinions(4, time.Minute)))
	simulation.advance(time.Second)
	simulation.setReachable(false, "m00")
	gang := wholeMinions(4, time.Second)
	gang.Gang = true
	simulation.submit(jobOf("b", gang))
	simulation.advance(11 * time.Second)
	var lines []string
	for _, line := range simulation.decisions {
		if strings.Contains(line, "b step-waits") {
			lines = append(lines, line)
		}
	}
	c.Assert(lines, quicktest.HasLen, 3)
	c.Assert(lines[2], quicktest.Contains, "b step-waits: no-capacity occurrence=0 step=0 tasks=4 startable=4 waiting-steps=1 accepting=3 unresponsive=1")
	answer := simulation.nodes[0].planner.View(simulation.now, querier.Query{Kind: querier.Status})
	c.Assert(answer.Gauges, quicktest.Contains, querier.Gauge{Name: "waiting-steps", Label: "no-capacity", Value: 1})
	c.Assert(answer.Gauges, quicktest.Contains, querier.Gauge{Name: "minions-by-availability", Label: "unresponsive", Value: 1})
}
