package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/messenger"
	"corianderroad/specifier"
)

// withOutdatedList returns the answer to an order, for a share of the polls one that the
// minion gave to an earlier poll.
func (simulation *simulation) withOutdatedList(minion *fakeMinion, answered messenger.OrderAnswered) messenger.OrderAnswered {
	if _, isPoll := answered.Sent.Order.(messenger.PollRuns); !isPoll || answered.Err != nil {
		return answered
	}
	lists := minion.recentLists
	minion.recentLists = append(lists[max(0, len(lists)-maxRecentLists+1):], answered)
	if len(lists) == 0 || simulation.random.Float64() >= simulation.outdatedListShare {
		return answered
	}
	outdated := lists[simulation.random.IntN(len(lists))]
	if outdated.Incarnation != answered.Incarnation || outdated.Sent.Token != answered.Sent.Token {
		return answered
	}
	outdated.Sent, outdated.SentAt = answered.Sent, answered.SentAt
	return outdated
}

// maxRecentLists is the number of answers of a minion of which one may come again.
const maxRecentLists = 3

// TestOutdatedListEndsNoRun guards against a list of runs that was made before a run
// started and arrives as the answer to a poll that was sent afterwards: the run counts as
// lost and starts elsewhere, while it runs.
func TestOutdatedListEndsNoRun(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 4)
	simulation.outdatedListShare = 0.5
	simulation.makeHolder(simulation.nodes[0])
	simulation.submit(jobOf("a", specifier.Step{Tasks: 40, Request: taskOf(1000, 0), EstimatedRunTime: time.Second}))
	simulation.advance(500 * time.Millisecond)
	simulation.submit(jobOf("b", specifier.Step{Tasks: 40, Request: taskOf(1000, 0), EstimatedRunTime: 2 * time.Second}))
	simulation.advance(20 * time.Second)
	c.Assert(simulation.violations, quicktest.HasLen, 0)
	c.Assert(simulation.recordedState("a"), quicktest.Equals, specifier.Completed)
	c.Assert(simulation.recordedState("b"), quicktest.Equals, specifier.Completed)
}
