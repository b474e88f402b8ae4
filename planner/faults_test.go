package planner_test

import (
	"time"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
)

// minionFaults are the faults of one minion beyond those of the simulation.
type minionFaults struct {
	// refuse returns the code with which the minion refuses an order that it has
	// not carried out, OK for none. It may be nil.
	refuse func(order messenger.Order) classifier.Code
	// refusesUnknownStop means that a stop of a run that the minion has never had
	// is refused with BadRequest.
	refusesUnknownStop bool
	// answersAs is the incarnation that the answers name, zero for the actual one.
	answersAs identifier.Incarnation
	// draining and remaining are what the minion's report says.
	draining  bool
	remaining time.Duration
}

func (minionFaults *minionFaults) refusal(order messenger.Order) classifier.Code {
	if minionFaults.refuse == nil {
		return classifier.OK
	}
	return minionFaults.refuse(order)
}

// hasSeen reports whether the minion has, or had, the run of a stop.
func (minion *fakeMinion) hasSeen(stop messenger.StopRun) bool {
	run := minion.runs[stop.Task]
	return (run != nil && run.number == stop.Run) || minion.highestRun[stop.Task] >= stop.Run
}

// deliverAllReports delivers the reports of the registered minions to all nodes.
func (simulation *simulation) deliverAllReports() {
	for _, node := range simulation.nodes {
		simulation.deliverReports(node)
	}
}
