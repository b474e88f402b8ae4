package scheduler_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/scheduler"
)

// TestRepeatedRenewalExtendsExpiry guards against a job that runs twice because a renewal
// that was repeated after a failure grants a longer lease than the holder has recorded. The
// holder then takes the task for ended while it still runs.
func TestRepeatedRenewalExtendsExpiry(t *testing.T) {
	for seed := range uint64(100) {
		simulation := newSimulation(t, seed)
		// Slow answers to polls that were sent before a renewal observe the task anew before
		// the renewal is repeated.
		simulation.maxTransit = 900 * time.Millisecond
		simulation.setMembers(simulation.addNode(scheduler.Parameters{PollInterval: time.Second}))
		simulation.addWorkers(1, 2, 8)
		simulation.submitSingle("draw", time.Hour)
		simulation.run(22 * time.Second)
		running := simulation.runningWorkers("draw")
		quicktest.Assert(t, running, quicktest.HasLen, 1)
		renewals := 0
		simulation.onCall = func(call messenger.CallWorker) {
			simulation.requestLossRate, simulation.answerLossRate = 0, 0
			if call.Worker != identifier.Worker(running[0]) {
				return
			}
			if call.Kind == messenger.RenewTasks {
				renewals++
			}
			// The first renewal is lost, and every call after it except its repetition, of
			// which the answer is lost.
			switch {
			case renewals == 2 && call.Kind == messenger.RenewTasks:
				simulation.answerLossRate = 1
			case renewals > 0:
				simulation.requestLossRate, simulation.maxTransit = 1, 5*time.Millisecond
			}
		}
		// recordTaskStart fails if a second gang of the job starts while one runs.
		simulation.run(time.Minute)
		quicktest.Assert(t, simulation.gangs, quicktest.HasLen, 2)
	}
}
