package planner_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/planner"
	"corianderroad/specifier"
)

// TestEndAfterDeletionIsNotRecorded guards against a process that panics, and
// against progress that stays in the store for good, when a run of an expired job
// ends while the job's deletion is under way.
func TestEndAfterDeletionIsNotRecorded(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	simulation := newSimulation(1, 1, 1)
	node := simulation.nodes[0]
	node.planner = planner.New(node.name, planner.Bounds{MaxLease: maxLease, StopTimeout: 500 * time.Millisecond, StatusRetention: time.Second}, planner.Features{})
	simulation.step(node, messenger.PolicyRead{Policy: testPolicy(), SentAt: simulation.now})
	simulation.makeHolder(node)
	simulation.submit(jobOf("a", specifier.Step{Tasks: 1, Request: taskOf(1000, 1), EstimatedRunTime: time.Minute, Checkpoints: true}))
	simulation.advance(time.Second)
	minion := simulation.minions["m00"]
	simulation.setReachable(false, minion.name)
	simulation.cancel("a")
	for !hasDeletion(simulation, "a") {
		simulation.advance(time.Millisecond)
		c.Assert(simulation.now.Before(time.Unix(1_000_010, 0)), quicktest.IsTrue)
	}
	// The end arrives after the deletion is durable and before the node reads it.
	simulation.step(node, messenger.OrderAnswered{
		Sent:   messenger.OrderMinion{Minion: minion.name, Incarnation: minion.incarnation, Token: node.token, Order: messenger.PollRuns{}},
		SentAt: simulation.now, Clock: minion.clock(), Incarnation: minion.incarnation,
		Ended: []messenger.RunEnd{{Number: 1, Task: specifier.Task{Job: "a"}, Run: 1<<20 + 1, Kind: messenger.EndStopped, Checkpoint: "c"}},
	})
	simulation.advance(time.Second)
	last := simulation.journal[len(simulation.journal)-1]
	c.Assert(last, quicktest.DeepEquals, messenger.JournalEntry(messenger.Deleted{Job: "a"}))
}

func hasDeletion(simulation *simulation, id identifier.Job) bool {
	for _, entry := range simulation.journal {
		if deleted, ok := entry.(messenger.Deleted); ok && deleted.Job == id {
			return true
		}
	}
	return false
}

// TestFailedFenceIsRepeatedAfterDelay guards against a new holder that repeats a
// refused fence at once and without limit, and so keeps a busy store busy.
func TestFailedFenceIsRepeatedAfterDelay(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	now := time.Unix(1_000_000, 0)
	claimed := planner.New("n", planner.Bounds{MaxLease: maxLease}, planner.Features{})
	c.Assert(countFences(claimed.Step(now, messenger.HolderChanged{Token: 1, ConfirmedAt: now})), quicktest.Equals, 1)
	fences, begun := 1, now
	for now.Sub(begun) < 10*time.Second {
		pending := countFences(claimed.Step(now, messenger.JournalFenced{Token: 1, Err: classifier.New(classifier.StoreBusy, "status 503")}))
		for pending == 0 {
			next := claimed.Next()
			c.Assert(next.After(now), quicktest.IsTrue)
			now = next
			pending = countFences(claimed.Step(now, messenger.Tick{}))
		}
		fences += pending
		now = now.Add(time.Millisecond) // the store refuses at once
	}
	// Ten seconds at the longest delay between two attempts, and the shorter ones
	// before.
	c.Assert(fences <= 30, quicktest.IsTrue, quicktest.Commentf("%d attempts", fences))
	claimed.Step(now, messenger.ProgressRead{Complete: true})
	claimed.Step(now, messenger.JournalFenced{Token: 1})
	c.Assert(claimed.Next().IsZero(), quicktest.IsFalse)
}

func countFences(actions []messenger.Action) int {
	count := 0
	for _, action := range actions {
		if _, ok := action.(messenger.FenceJournal); ok {
			count++
		}
	}
	return count
}
