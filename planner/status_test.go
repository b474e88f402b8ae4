package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/querier"
)

// poolStatus returns a node's answer about the pool.
func (simulation *simulation) poolStatus(c *quicktest.C, node *node) (querier.Pool, bool) {
	answer := node.planner.View(simulation.now, querier.Query{Kind: querier.PoolStatus})
	c.Assert(answer.Pools, quicktest.HasLen, 1)
	return answer.Pools[0], answer.IsHolder
}

// TestStatusShowsEvacuation guards against an operator who can't see whether a domain is empty, at
// the holder or, as far as a request has been read, at another node.
func TestStatusShowsEvacuation(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 2, 8)
	holder, other := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(holder)
	simulation.submit(jobOf("a", wholeMinions(8, time.Minute)))
	simulation.advance(2 * time.Second)
	requestedAt := simulation.now
	simulation.evacuate("z0", true)
	simulation.submit(jobOf("b", wholeMinions(1, time.Minute)))
	simulation.advance(8 * time.Second) // until the step is reported as waiting

	pool, isHolder := simulation.poolStatus(c, holder)
	c.Assert(isHolder, quicktest.IsTrue)
	c.Assert(pool.Token, quicktest.Equals, holder.token)
	c.Assert(pool.AcceptedJobs, quicktest.Equals, 2)
	c.Assert(pool.Minions, quicktest.DeepEquals, []querier.Tally{{Name: "accepting", Count: 4}, {Name: "evacuated", Count: 4}})
	c.Assert(pool.WaitingSteps, quicktest.DeepEquals, []querier.Tally{{Name: "no-capacity", Count: 1}})
	c.Assert(pool.Evacuations, quicktest.HasLen, 1)
	row := pool.Evacuations[0]
	c.Assert([]int{row.Minions, row.Runs}, quicktest.DeepEquals, []int{4, 4})
	c.Assert(row.IsEmpty, quicktest.IsFalse)
	c.Assert(row.Domain, quicktest.Equals, identifier.FailureDomain("z0"))
	c.Assert(row.ReadAt.Sub(requestedAt), quicktest.Equals, latency)
	c.Assert(simulation.now.Sub(pool.EvacuationsReadAt) < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%s", pool.EvacuationsReadAt))

	pool, isHolder = simulation.poolStatus(c, other)
	c.Assert(isHolder, quicktest.IsFalse)
	c.Assert(pool.Evacuations, quicktest.HasLen, 1)
	c.Assert(pool.Evacuations[0].Domain, quicktest.Equals, identifier.FailureDomain("z0"))
	c.Assert(pool.Minions, quicktest.HasLen, 0)
	c.Assert(pool.AcceptedJobs, quicktest.Equals, 0)

	simulation.evacuate("z0", false)
	simulation.advance(2 * time.Second)
	pool, _ = simulation.poolStatus(c, holder)
	c.Assert(pool.Evacuations, quicktest.HasLen, 0)
	c.Assert(pool.Minions, quicktest.DeepEquals, []querier.Tally{{Name: "accepting", Count: 8}})
}

// TestStatusCountsReservations guards against reclaimed capacity that no answer shows, and against
// a query that changes what the planner does.
func TestStatusCountsReservations(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := reclaimMinion()
	for range 2 {
		pool, _ := simulation.poolStatus(c, simulation.nodes[0])
		c.Assert(pool.ReclaimedReservations, quicktest.Equals, 1)
		c.Assert(pool.GangReservations, quicktest.Equals, 0)
	}
}

// TestStatusAwaitsFormerRuns guards against an evacuated domain that an operator takes for empty
// because a new holder has not heard of the runs there yet.
func TestStatusAwaitsFormerRuns(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 2, 4)
	first, second := simulation.nodes[0], simulation.nodes[1]
	simulation.makeHolder(first)
	simulation.submit(jobOf("a", wholeMinions(4, 20*time.Second)))
	simulation.advance(2 * time.Second)
	simulation.evacuate("z0", true)
	simulation.advance(time.Second)
	first.alive = false
	simulation.setReachable(false, "m00", "m01", "m02", "m03")
	simulation.makeHolder(second)
	isEmpty := func() bool {
		pool, _ := simulation.poolStatus(c, second)
		return pool.Evacuations[0].IsEmpty
	}
	simulation.advance(time.Second)
	c.Assert(isEmpty(), quicktest.IsFalse)
	simulation.setReachable(true, "m00", "m01", "m02", "m03")
	simulation.advance(3 * time.Second)
	pool, isHolder := simulation.poolStatus(c, second)
	c.Assert(isHolder, quicktest.IsTrue)
	c.Assert(pool.Evacuations[0].Runs, quicktest.Equals, 4)
	simulation.advance(20 * time.Second)
	c.Assert(isEmpty(), quicktest.IsTrue)
}

// TestStatusChangesNothing guards against a query that changes what the holder decides: the
// decisions of a load with evacuations are the same with a query after each 10 ms and without.
func TestStatusChangesNothing(t *testing.T) {
	t.Parallel()
	decisions := func(asks bool) []string {
		simulation := newEvacuationSimulation(7, 2, 8)
		simulation.lostAnswerShare = 0.05
		simulation.makeHolder(simulation.nodes[0])
		for index := range 12 {
			step := wholeMinions(1+index%4, time.Duration(1+index%5)*time.Second)
			step.Gang, step.Checkpoints = index%3 == 0, index%2 == 0
			simulation.submit(jobOf(fmt.Sprintf("j%02d", index), step))
			simulation.evacuate(domainOf(index%2), index%4 < 2)
			for range 100 {
				simulation.advance(10 * time.Millisecond)
				for index := 0; asks && index < len(simulation.nodes); index++ {
					simulation.nodes[index].planner.View(simulation.now, querier.Query{Kind: querier.PoolStatus})
				}
			}
		}
		simulation.advance(20 * time.Second)
		return simulation.decisions
	}
	c := quicktest.New(t)
	c.Assert(decisions(true), quicktest.DeepEquals, decisions(false))
}

// BenchmarkPoolStatus measures a query beside 2,000 waiting steps and 350 minions, with five
// evacuated domains.
func BenchmarkPoolStatus(b *testing.B) {
	simulation := newEvacuationSimulation(1, 1, 350)
	simulation.addWaitingSteps()
	for rack := range 5 {
		simulation.evacuate(domainOf(rack), true)
	}
	simulation.advance(time.Second)
	for b.Loop() {
		simulation.nodes[0].planner.View(simulation.now, querier.Query{Kind: querier.PoolStatus})
	}
}
