package planner_test

import (
	"time"

	"corianderroad/messenger"
)

// joinGang lets a gang work once all its members are there.
func (world *world) joinGang(run *fakeRun) {
	members := world.gang(run)
	if len(members) == run.spec.Tasks {
		world.after(world.work(run), func() {
			if run.over {
				return
			}
			if len(world.gang(run)) < run.spec.Tasks {
				return // a gang that is not whole does not work
			}
			failed := world.fail(run)
			for place, member := range members {
				if !failed {
					member.minion.end(member, messenger.EndDone)
				} else if place < 2 { // the others break
					member.minion.end(member, messenger.EndFailed)
				}
			}
		})
		return
	}
	world.after(3*time.Second, func() {
		if !run.over && len(world.gang(run)) < run.spec.Tasks {
			run.minion.end(run, messenger.EndGangIncomplete)
		}
	})
}

func (world *world) gang(run *fakeRun) []*fakeRun {
	var members []*fakeRun
	for _, minion := range world.sorted() {
		for _, other := range minion.sortedRuns() {
			if other.number == run.number && other.task.Job == run.task.Job && other.task.Step == run.task.Step {
				members = append(members, other)
			}
		}
	}
	return members
}

// breakGang ends the other members of a gang.
func (world *world) breakGang(run *fakeRun, how messenger.EndKind) {
	if how == messenger.EndDone {
		return
	}
	for _, member := range world.gang(run) {
		world.after(latency, func() { member.minion.end(member, messenger.EndGangBroken) })
	}
}
