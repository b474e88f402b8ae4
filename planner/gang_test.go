package planner_test

import (
	"time"

	"corianderroad/messenger"
)

// runGangWhenComplete lets a gang work once all its members run.
func (simulation *simulation) runGangWhenComplete(run *fakeRun) {
	members := simulation.gangMembers(run)
	if len(members) == run.spec.Tasks {
		simulation.scheduleEnd(run, members, func() {
			if run.ended {
				return
			}
			if len(simulation.gangMembers(run)) < run.spec.Tasks {
				return // an incomplete gang does not work
			}
			failed := simulation.fails(run)
			for index, member := range members {
				if !failed {
					member.minion.endRun(member, messenger.EndDone)
				} else if index < 2 { // the other members end as EndGangBroken
					member.minion.endRun(member, messenger.EndFailed)
				}
			}
		})
		return
	}
	simulation.schedule(3*time.Second, func() {
		if !run.ended && len(simulation.gangMembers(run)) < run.spec.Tasks {
			run.minion.endRun(run, messenger.EndGangIncomplete)
		}
	})
}

// gangMembers returns the running members of a run's gang in the order of their tasks.
func (simulation *simulation) gangMembers(run *fakeRun) []*fakeRun {
	var members []*fakeRun
	task := run.task
	for task.Index = range run.spec.Tasks {
		for member := range simulation.taskState(task).running {
			if member.number == run.number {
				members = append(members, member)
			}
		}
	}
	return members
}

// breakGang ends the other members of a gang.
func (simulation *simulation) breakGang(run *fakeRun, kind messenger.EndKind) {
	if kind == messenger.EndDone {
		return
	}
	for _, member := range simulation.gangMembers(run) {
		simulation.schedule(latency, func() { member.minion.endRun(member, messenger.EndGangBroken) })
	}
}
