package planner

import (
	"fmt"
	"slices"
	"time"

	"corianderroad/evictor"
	"corianderroad/specifier"
)

// stopDecider decides by the work that is lost.
type stopDecider interface {
	// Choose returns where the tasks of a step fit and what is stopped for them.
	Choose(now time.Time, room *evictor.Room) (evictor.Choice, bool)
	// Save returns which of the runs on leaving minions are stopped now, and when to decide
	// again.
	Save(now time.Time, leavers []evictor.Leaver, maxRuns int) (due []int, next time.Time)
}

// evictionRequest is the need of a step for room.
type evictionRequest struct {
	step *step
	// taskCount is the number of tasks that wait.
	taskCount int
	// guaranteed means that the step must start now by the guarantee of its workspace.
	guaranteed bool
}

// eviction is a choice of runs to stop for a step.
type eviction struct {
	choice   evictor.Choice
	room     *evictionRoom
	reserved map[*minion]specifier.Resources
}

// Stops before a step is due. The declared run times by which it could still be on time later are
// rough, and a stop of runs that have just saved their work costs little.
const (
	// earlyEvictionDelay is how long the step waits for capacity that becomes free without a stop.
	earlyEvictionDelay = 100 * time.Millisecond
	// earlyWasteFactor bounds the work lost, in multiples of the step's own work.
	earlyWasteFactor = 0.5
	// maxEarlyFailures bounds the searches of a pass that find nothing for steps that are not due.
	// Each passes through all runs: 1.1 ms for 350 minions, which 300 waiting steps would
	// otherwise spend each 0.15 s. With fewer, urgent steps were late on heavy days.
	maxEarlyFailures = 6
)

// earlySearches are the searches for steps that are not due. While there are more such steps than
// a pass may search for, each gets its turn before any gets another one.
type earlySearches struct {
	// failures counts the searches of the present pass that found nothing.
	failures int
	// turnsSince is when the present turns began, isAnyLeft whether a step had none in this pass.
	turnsSince time.Time
	isAnyLeft  bool
}

// beginPass begins new turns if each step has had its turn.
func (searches *earlySearches) beginPass(now time.Time) {
	if !searches.isAnyLeft {
		searches.turnsSince = now
	}
	searches.failures, searches.isAnyLeft = 0, false
}

// admit reports whether a step whose latest search was at the given time may search now.
func (searches *earlySearches) admit(latest time.Time) bool {
	if !latest.Before(searches.turnsSince) {
		return false
	}
	isLeft := searches.failures >= maxEarlyFailures
	searches.isAnyLeft = searches.isAnyLeft || isLeft
	return !isLeft
}

// mayEvictEarly reports whether runs may be stopped for a step that could still be on time later.
func (planner *Planner) mayEvictEarly(now time.Time, step *step) bool {
	return planner.stops != nil && now.Sub(step.waitingSince) >= earlyEvictionDelay && planner.earlySearches.admit(step.earlySearchAt)
}

// reclaimByLoss frees capacity for a step, by the work that is lost. If it finds none, it tries
// again after a delay, and in any case when the step is due.
func (planner *Planner) reclaimByLoss(now time.Time, waitingStep *waitingStep, pool *pool, guaranteed bool, dueAt time.Time) {
	isEarly, maxWaste := now.Before(dueAt), maxWasteFactor
	if isEarly {
		maxWaste = earlyWasteFactor
	}
	if planner.evict(now, waitingStep, pool, guaranteed, maxWaste) {
		return
	}
	waitingStep.step.nextReclaimAt = now.Add(reclaimRetryDelay)
	if isEarly && !guaranteed {
		planner.earlySearches.failures++
		waitingStep.step.earlySearchAt = now
		waitingStep.step.nextReclaimAt = earliest(waitingStep.step.nextReclaimAt, dueAt)
	}
}

// evict frees capacity for all tasks of a step that wait, or reserves what comes free
// without a stop. It reports whether it found enough.
func (planner *Planner) evict(now time.Time, waitingStep *waitingStep, pool *pool, guaranteed bool, maxWaste float64) bool {
	step := waitingStep.step
	if !planner.requestStart(step.occurrence.job) {
		return true
	}
	taskCount := step.countStartableTasks(now)
	eviction := planner.chooseEviction(now, evictionRequest{step, taskCount, guaranteed}, pool)
	ownWork := step.estimatedWork(taskCount)
	if eviction == nil || (!guaranteed && eviction.choice.Loss.Work > maxWaste*ownWork) {
		return false
	}
	choice := &eviction.choice
	until := now.Add(planner.bounds.StopTimeout + reservationSlack)
	if !choice.AwaitsUntil.IsZero() {
		until = choice.AwaitsUntil
	}
	planner.reservations.add(step, eviction.reserved, until)
	planner.emitDecision(string(step.occurrence.job.spec.ID), "reclaim", evictionReason(choice, guaranteed),
		fmt.Sprintf("step=%d tasks=%d victims=%d lost-core-seconds=%.0f price=%.0f own-core-seconds=%.0f awaits-ends=%t",
			step.number, taskCount, len(choice.Stopped), choice.Loss.Work, choice.Loss.Price, ownWork, choice.Awaits),
		now.Sub(step.occurrence.dueAt))
	for _, victim := range choice.Stopped {
		for _, run := range eviction.room.runs[victim] {
			planner.stopRun(now, run, stopForPreemption, "preempted for "+string(step.occurrence.job.spec.ID))
		}
	}
	return true
}

func evictionReason(choice *evictor.Choice, guaranteed bool) string {
	switch {
	case len(choice.Stopped) == 0:
		return "enough comes free without a stop"
	case guaranteed:
		return "needed for the guarantee of its workspace"
	}
	return "needed for its objective"
}

// requestStart reports whether the journal allows the job's tasks to be started, and
// requests that it does. Runs that are stopped for a job whose start must wait for the store
// are stopped too early or in vain.
func (planner *Planner) requestStart(job *job) bool {
	if !job.mayHaveStarted && !job.startRequested {
		job.startRequested = true
		planner.recording.markDirty(job)
	}
	return job.mayHaveStarted
}

// chooseEviction returns the cheapest choice on one rack if the step needs one, or on all
// minions, nil if the tasks fit nowhere.
func (planner *Planner) chooseEviction(now time.Time, request evictionRequest, pool *pool) *eviction {
	step := request.step
	needsRack := step.spec.SameRack && pool.fitsOnRack(step)
	if !needsRack {
		available := pool.available
		if step.spec.DataRack != "" && pool.fitsOnRack(step) {
			available = pool.availableOnRack(step.spec.DataRack)
		}
		return planner.chooseEvictionOn(now, request, available)
	}
	var best *eviction
	for _, rack := range pool.racks {
		if step.spec.DataRack != "" && rack.name != step.spec.DataRack {
			continue
		}
		found := planner.chooseEvictionOn(now, request, rack.available)
		if found != nil && (best == nil || found.choice.Loss.Price < best.choice.Loss.Price) {
			best = found
		}
	}
	return best
}

func (planner *Planner) chooseEvictionOn(now time.Time, request evictionRequest, available []*minion) *eviction {
	room := planner.newEvictionRoom(now, request, available)
	choice, found := planner.stops.Choose(now, &room.Room)
	if !found {
		return nil
	}
	eviction := &eviction{choice: choice, room: room, reserved: make(map[*minion]specifier.Resources)}
	for index, count := range choice.TasksOn {
		if count > 0 {
			eviction.reserved[room.minions[index]] = room.Request.Times(count)
		}
	}
	return eviction
}

// releaseReservation removes what a step has reserved for the tasks that are started. The
// other tasks keep their part, for which runs may have been stopped.
func (planner *Planner) releaseReservation(waitingStep *waitingStep, chosen []*minion) {
	step := waitingStep.step
	isForMove := planner.reservations.isForMove(step)
	if !isForMove && (planner.stops == nil || len(chosen) == waitingStep.taskCount) {
		planner.reservations.remove(step)
		return
	}
	request := requiredCapacity(step.spec)
	var elsewhere int
	for _, minion := range chosen {
		if !planner.reservations.reduce(step, minion, request) {
			elsewhere++
		}
	}
	if isForMove {
		return // runs whose tasks do not wait yet need the rest
	}
	for _, minion := range planner.reservations.minionsOf(step) {
		for elsewhere > 0 && planner.reservations.reduce(step, minion, request) {
			elsewhere--
		}
	}
}

// reduce removes the part of one task from what a step has reserved on a minion. It reports
// whether there was one.
func (reservations *reservations) reduce(step *step, minion *minion, request specifier.Resources) bool {
	own := reservations.byStep[step]
	if own == nil || own.reservedCapacity[minion] == (specifier.Resources{}) {
		return false
	}
	minion.reserved = minion.reserved.Sub(request)
	own.reservedCapacity[minion] = own.reservedCapacity[minion].Sub(request)
	if own.reservedCapacity[minion] == (specifier.Resources{}) {
		delete(own.reservedCapacity, minion)
	}
	if len(own.reservedCapacity) == 0 {
		delete(reservations.byStep, step)
	}
	return true
}

// minionsOf returns the minions on which a step has reserved capacity, in the order of their
// names.
func (reservations *reservations) minionsOf(step *step) []*minion {
	own := reservations.byStep[step]
	if own == nil {
		return nil
	}
	minions := make([]*minion, 0, len(own.reservedCapacity))
	for minion := range own.reservedCapacity {
		minions = append(minions, minion)
	}
	slices.SortFunc(minions, compareNames)
	return minions
}
