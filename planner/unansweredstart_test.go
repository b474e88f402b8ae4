package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

func isStart(order messenger.Order) bool {
	_, ok := order.(messenger.StartRun)
	return ok
}

// TestStartsAvoidMinionThatAnswersOnlyPolls guards against a task or a gang that is
// placed for ever on a minion that answers polls but carries out no start, although
// sound minions are idle.
func TestStartsAvoidMinionThatAnswersOnlyPolls(t *testing.T) {
	t.Parallel()
	// waitTime covers three starts without an answer and their leases.
	const waitTime = 30 * time.Second
	refuseStarts := func(code classifier.Code) minionFaults {
		return minionFaults{refuse: func(order messenger.Order) classifier.Code {
			if isStart(order) {
				return code
			}
			return classifier.OK
		}}
	}
	for name, faults := range map[string]minionFaults{
		"lost":          {loses: isStart},
		"bad-request":   refuseStarts(classifier.BadRequest),
		"internal":      refuseStarts(classifier.Internal),
		"lease-expired": refuseStarts(classifier.LeaseExpired),
		"busy":          refuseStarts(classifier.MinionBusy),
		"no-capacity":   refuseStarts(classifier.NoCapacity),
	} {
		for kind, tasks := range map[string]int{"single": 1, "gang": 4} {
			t.Run(name+"-"+kind, func(t *testing.T) {
				c := quicktest.New(t)
				simulation := newSimulation(1, 1, 12)
				simulation.makeHolder(simulation.nodes[0])
				simulation.minions["m00"].faults = faults
				simulation.advance(time.Second)
				step := wholeMinions(tasks, 2*time.Second)
				step.Gang = tasks > 1
				simulation.submit(jobOf("a", step))
				simulation.advance(waitTime)
				c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
			})
		}
	}
}
