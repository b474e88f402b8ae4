package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// refuseOnce lets the minion that gets the start of a task first refuse it. The start was on a used connection, so
// that it is sent twice, and the refusal of the second copy leaves open whether the first one is carried out.
func refuseOnce(simulation *simulation, index int) {
	isRefused, isRepeated := false, false
	for _, minion := range simulation.sortedMinions() {
		minion.faults.repeats = func(order messenger.Order) time.Duration {
			if start, ok := order.(messenger.StartRun); !ok || start.Task.Index != index || isRepeated {
				return 0
			}
			isRepeated = true
			return time.Hour // the first copy is never read
		}
		minion.faults.refuse = func(order messenger.Order) classifier.Code {
			if start, ok := order.(messenger.StartRun); !ok || start.Task.Index != index || isRefused {
				return classifier.OK
			}
			isRefused = true
			return classifier.NoCapacity
		}
	}
}

// TestStartRefusedTwiceIsReplacedSoon guards against a task that waits for two long polls of its minion, 2.4 s,
// after a refusal on a used connection.
func TestStartRefusedTwiceIsReplacedSoon(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	refuseOnce(simulation, 0)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute}))
	simulation.advance(600 * time.Millisecond)
	c.Assert(simulation.countWorking("a"), quicktest.Equals, 1, quicktest.Commentf("%s", simulation.decisionsAbout("a.")))
	c.Assert(simulation.decisionsAbout("a."), quicktest.Contains, "refused: no-capacity")
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestMemberRefusedTwiceStopsItsGang guards against the members of a gang that wait for one whose start was refused
// on a used connection until they end alone (GANG): it counts as lost only after a later list of its minion.
func TestMemberRefusedTwiceStopsItsGang(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	const members = 4
	refuseOnce(simulation, members-1)
	simulation.submit(jobOf("g", specifier.Step{Tasks: members, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, Gang: true}))
	for simulation.countWorking("g") < members-1 {
		simulation.advance(time.Millisecond)
	}
	known := len(simulation.decisions)
	simulation.advance(50 * time.Millisecond)
	stops := 0
	for _, decision := range simulation.decisions[known:] {
		if isStopOfMember(decision) {
			stops++
		}
	}
	c.Check(stops, quicktest.Equals, members-1, quicktest.Commentf("%s", simulation.decisionsAbout("g.")))
	simulation.advance(2 * time.Second)
	c.Assert(simulation.countWorking("g"), quicktest.Equals, members, quicktest.Commentf("%s", simulation.decisionsAbout("g.")))
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

func isStopOfMember(decision string) bool {
	return strings.Contains(decision, "stop: the start of another member of its gang")
}
