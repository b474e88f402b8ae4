package planner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/messenger"
)

// TestRejectedAnswerIsLogged guards against answers that are rejected and leave no trace, because no time was left to
// send their orders again. An order without any answer has a line of its own.
func TestRejectedAnswerIsLogged(t *testing.T) {
	t.Parallel()
	for rejection, isLogged := range map[messenger.Rejection]bool{
		messenger.NotRejected: false, messenger.NoAnswer: false, messenger.NoClock: true, messenger.EarlierClock: true, messenger.UnverifiedRefusal: true, messenger.LowerToken: true,
	} {
		c := quicktest.New(t)
		simulation := newSimulation(1, 1, 1)
		simulation.makeHolder(simulation.nodes[0])
		simulation.advance(time.Second)
		simulation.minions["m00"].faults.garbles = func(order messenger.Order) classifier.Code {
			if isStart(order) {
				return classifier.OutcomeUnknown
			}
			return classifier.OK
		}
		simulation.minions["m00"].faults.exchange = messenger.Exchange{IsReused: true, Rejection: rejection}
		submitTwoTasks(simulation)
		simulation.advance(time.Second)
		decisions := simulation.decisionsAbout("a.")
		c.Assert(strings.Contains(decisions, "order-resent"), quicktest.Equals, isLogged, quicktest.Commentf("%s", decisions))
		if isLogged {
			c.Assert(decisions, quicktest.Contains, "order-resent: "+rejection.String())
			c.Assert(decisions, quicktest.Contains, "resent=false")
		}
	}
}
