package planner

import (
	"time"

	"corianderroad/identifier"
	"corianderroad/provisioner"
)

// headroomSizer decides which minions are kept for urgent work.
type headroomSizer interface {
	AddArrival(now time.Time, weight int)
	Choose(now time.Time, minions []provisioner.Minion) []int
}

// headroom is the capacity that is kept free for urgent work, by service. Without the feature there
// is none.
type headroom struct {
	byService map[identifier.Service]headroomSizer
	// kept is the number of minions that the newest pass has kept.
	kept int
}

// noteUrgentArrival notes that tasks of an urgent step wait that did not wait before.
func (planner *Planner) noteUrgentArrival(now time.Time, waitingStep *waitingStep) {
	if !planner.features.UrgentHeadroom || !waitingStep.step.isUrgent || waitingStep.step.spec.LongRunning {
		return
	}
	service := waitingStep.queue.Service
	if planner.headroom.byService == nil {
		planner.headroom.byService = make(map[identifier.Service]headroomSizer)
	}
	if planner.headroom.byService[service] == nil {
		planner.headroom.byService[service] = provisioner.New(planner.bounds.StopTimeout + stopOrderSlack)
	}
	request := requiredCapacity(waitingStep.step.spec)
	planner.headroom.byService[service].AddArrival(now, request.Times(waitingStep.taskCount).Weight())
}

// keepHeadroom chooses the minions on which only urgent work is started in this pass. A pool with
// much free capacity needs none.
func (planner *Planner) keepHeadroom(now time.Time, service identifier.Service, pool *pool) {
	sizer := planner.headroom.byService[service]
	if sizer == nil || !pool.crowded {
		return
	}
	minions := make([]provisioner.Minion, 0, len(pool.available))
	for _, minion := range pool.available {
		minions = append(minions, provisioner.Minion{
			Weight: minion.report.Capacity.Weight(), Free: minion.freeCapacity().Sub(minion.reserved).Weight(), IsReserved: minion.outlook.IsHeld(),
		})
	}
	for _, index := range sizer.Choose(now, minions) {
		pool.available[index].isHeadroom = true
		planner.headroom.kept++
	}
}

// mayUseHeadroom reports whether tasks of the step may start on minions that are kept for urgent
// work. A step that only certain minions can run would wait for as long as they are kept.
func (step *step) mayUseHeadroom() bool {
	spec := step.spec
	return step.isUrgent || spec.LongRunning || spec.Label != "" || spec.DataRack != "" || spec.SameRack
}
