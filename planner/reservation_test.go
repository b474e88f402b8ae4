package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/specifier"
)

// TestReservationLosesPartInEvacuatedDomain guards against capacity that stays reserved on a
// minion that the step can't use any more, and against a reservation without any part, which
// would keep the step from another one.
func TestReservationLosesPartInEvacuatedDomain(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	now := time.Unix(9, 0)
	planner := New("n", Bounds{EvacuationTime: 5 * time.Second}, Features{})
	minions := make(map[identifier.FailureDomain]*minion)
	for _, domain := range []identifier.FailureDomain{"east", "west"} {
		report := messenger.MinionReport{Minion: identifier.Minion(domain), FailureDomain: domain}
		minions[domain] = newMinion(report, now, time.Second, &planner.polls, planner.evacuations)
		planner.setMinion(minions[domain])
	}
	amount := specifier.Resources{MilliCPU: 1000}
	step := &step{}
	planner.reservations.add(step, map[*minion]specifier.Resources{minions["east"]: amount, minions["west"]: amount}, now.Add(time.Second))
	planner.Step(now, messenger.EvacuationsRead{SentAt: now, Requested: []identifier.FailureDomain{"east"}})
	c.Assert(minions["east"].reserved, quicktest.Equals, specifier.Resources{})
	c.Assert(minions["west"].reserved, quicktest.Equals, amount)
	c.Assert(planner.reservations.has(step), quicktest.IsTrue)
	planner.Step(now, messenger.EvacuationsRead{SentAt: now, Requested: []identifier.FailureDomain{"west"}})
	c.Assert(minions["west"].reserved, quicktest.Equals, specifier.Resources{})
	c.Assert(planner.reservations.has(step), quicktest.IsFalse)
}
