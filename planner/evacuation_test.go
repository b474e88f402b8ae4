package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// startEverySecond submits a job of four short tasks, each of which needs a minion for itself,
// every second. The jobs are named by the prefix.
func (simulation *simulation) startEverySecond(prefix string, seconds int) {
	for number := range seconds {
		simulation.schedule(time.Duration(number)*time.Second, func() {
			simulation.submit(jobOf(fmt.Sprintf("%s%02d", prefix, number), wholeMinions(4, 700*time.Millisecond)))
		})
	}
}

// TestEvacuatedDomainGetsNoStart guards against starts in a domain, or in one of several, that
// the operator has had evacuated, and against a domain that stays unused after the withdrawal.
func TestEvacuatedDomainGetsNoStart(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 2, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	simulation.evacuate("z0", true)
	simulation.advance(2 * latency)
	simulation.startEverySecond("s", 8)
	simulation.advance(8 * time.Second)
	c.Assert(simulation.operator.starts["z0"], quicktest.Equals, 0)
	c.Assert(simulation.operator.starts["z1"] > 8, quicktest.IsTrue)
	simulation.evacuate("z1", true)
	simulation.evacuate("z0", false)
	simulation.advance(2 * latency)
	before := simulation.operator.starts["z1"]
	simulation.startEverySecond("t", 8)
	simulation.advance(8 * time.Second)
	c.Assert(simulation.operator.starts["z0"] > 8, quicktest.IsTrue)
	c.Assert(simulation.operator.starts["z1"], quicktest.Equals, before)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestTakeoverKeepsEvacuation guards against a new holder that starts runs in a domain whose
// evacuation was requested before its claim, and against one that starts runs before it has
// read the operator's topic.
func TestTakeoverKeepsEvacuation(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 2, 8)
	simulation.evacuate("z0", true)
	simulation.makeHolder(simulation.nodes[0])
	simulation.startEverySecond("s", 12)
	simulation.advance(3 * time.Second)
	simulation.nodes[0].alive = false
	restarted := simulation.newNode("again")
	simulation.nodes[1] = restarted
	simulation.operator.unreadableFrom[restarted] = true
	simulation.deliverJournal(restarted)
	simulation.makeHolder(restarted)
	before := simulation.operator.starts["z1"]
	simulation.advance(4 * time.Second)
	c.Assert(simulation.operator.starts["z1"], quicktest.Equals, before)
	delete(simulation.operator.unreadableFrom, restarted)
	simulation.advance(6 * time.Second)
	c.Assert(simulation.operator.starts["z1"] > before, quicktest.IsTrue)
	c.Assert(simulation.operator.starts["z0"], quicktest.Equals, 0)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}

// TestOutdatedReadingAllowsNoStart guards against starts of a holder that still renews its claim
// and can't read the operator's topic: an evacuation may have been requested meanwhile.
func TestOutdatedReadingAllowsNoStart(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.startEverySecond("s", 12)
	simulation.advance(2 * time.Second)
	simulation.operator.unreadableFrom[simulation.nodes[0]] = true
	simulation.evacuate("z0", true)
	simulation.advance(10 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	before := simulation.operator.starts["z0"]
	delete(simulation.operator.unreadableFrom, simulation.nodes[0])
	simulation.advance(5 * time.Second)
	c.Assert(simulation.operator.starts["z0"], quicktest.Equals, before)
	c.Assert(simulation.recordedState("s11"), quicktest.Equals, specifier.Completed)
}

// TestUnansweredStartIsNotRepeatedInEvacuatedDomain guards against a start without an answer
// that is sent again after the request to evacuate its domain.
func TestUnansweredStartIsNotRepeatedInEvacuatedDomain(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newEvacuationSimulation(1, 1, 8)
	simulation.makeHolder(simulation.nodes[0])
	simulation.advance(time.Second)
	starts := 0
	for _, minion := range simulation.sortedMinions()[:4] {
		minion.faults.loses = func(order messenger.Order) bool {
			if _, isStart := order.(messenger.StartRun); isStart {
				starts++
				return true
			}
			return false
		}
	}
	gang := wholeMinions(3, 500*time.Millisecond)
	gang.Gang = true
	simulation.submit(jobOf("a", gang))
	simulation.advance(200 * time.Millisecond)
	c.Assert(starts, quicktest.Equals, 3)
	simulation.evacuate("z0", true)
	simulation.advance(10 * time.Second)
	c.Assert(starts, quicktest.Equals, 3)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
}
