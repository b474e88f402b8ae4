package planner

import (
	"fmt"
	"time"

	"corianderroad/identifier"
	"corianderroad/reserver"
	"corianderroad/specifier"
)

const (
	// reservationPlanInterval is the time between two plans of the reservations.
	reservationPlanInterval = 250 * time.Millisecond
	// maxReservationLines bounds the log lines about reservations between two reports on
	// waiting steps.
	maxReservationLines = 12
)

// gangReserver decides which steps have reservations, and what may start beside them.
type gangReserver interface {
	Plan(now time.Time, minions []*reserver.Minion, demands []*reserver.Demand) []reserver.Change
	Restrictions(start reserver.Start) reserver.Restrictions
	Meet(step reserver.Step) *reserver.Reservation
	Find(step reserver.Step) *reserver.Reservation
	Reservations() []*reserver.Reservation
}

// gangReservations are the reservations by service. Without the feature there are none.
type gangReservations struct {
	byService map[identifier.Service]gangReserver
	// nextPlanAt is when the reservations are next planned.
	nextPlanAt time.Time
	// lines counts the log lines since linesSince.
	lines      int
	linesSince time.Time
}

// reservedStart implements reservedStarts.
func (gangReservations *gangReservations) reservedStart(step *step) (time.Time, bool) {
	for _, gangReserver := range gangReservations.byService {
		if reservation := gangReserver.Find(step.reserverStep()); reservation != nil {
			return reservation.StartAt, true
		}
	}
	return time.Time{}, false
}

// updateRestrictions notes the reservations that restrict the starts of a step. It is called
// before minions are chosen for the step. Long-running steps are not restricted: they come before
// all others, and would wait for as long as there are reservations, because they end after each.
func (planner *Planner) updateRestrictions(now time.Time, waitingStep *waitingStep) {
	step := waitingStep.step
	step.restrictions = 0
	if step.spec.LongRunning {
		return
	}
	if gangReserver := planner.gangReservations.byService[waitingStep.queue.Service]; gangReserver != nil {
		step.restrictions = gangReserver.Restrictions(reserver.Start{
			Step: step.reserverStep(), Priority: waitingStep.queue.Priority, EndsAt: now.Add(step.expectedRunTime()),
		})
	}
}

// noteStartBesideReservations notes the start of a task on a minion.
func (planner *Planner) noteStartBesideReservations(step *step, minion *minion) {
	minion.outlook.Occupy(step.restrictions, requiredCapacity(step.spec))
}

// meetReservation removes the reservation of a step that has started.
func (planner *Planner) meetReservation(now time.Time, waitingStep *waitingStep) {
	gangReserver := planner.gangReservations.byService[waitingStep.queue.Service]
	if gangReserver == nil {
		return
	}
	if met := gangReserver.Meet(waitingStep.step.reserverStep()); met != nil {
		planner.emitReservation(now, met, "reservation-met", "its tasks have started")
	}
}

// planReservations plans the reservations for the steps that did not fit in this pass. While a
// reading is outdated, no step is considered and the reservations stay as they are.
func (planner *Planner) planReservations(now time.Time, steps []*waitingStep, pools map[identifier.Service]*pool) {
	reservations := &planner.gangReservations
	if !planner.features.GangReservations || now.Before(reservations.nextPlanAt) {
		return
	}
	reservations.nextPlanAt = now.Add(reservationPlanInterval)
	waiting := planner.stepsForReservations(steps)
	for service, pool := range pools {
		if _, outdated := planner.outdatedReading(now, service); !outdated && (len(waiting[service]) > 0 || reservations.isInUse(service)) {
			planner.planServiceReservations(now, service, waiting[service], pool)
		}
	}
}

// ensure returns the reserver of a service. It creates it on first use.
func (gangReservations *gangReservations) ensure(service identifier.Service) gangReserver {
	if gangReservations.byService == nil {
		gangReservations.byService = make(map[identifier.Service]gangReserver)
	}
	if gangReservations.byService[service] == nil {
		gangReservations.byService[service] = reserver.New()
	}
	return gangReservations.byService[service]
}

// stepsForReservations returns the steps that need reservations, by service. Of the aged steps
// without a gang it is the oldest of each queue: small ones start in their turn, so that only
// one that is too large to start stays the oldest.
func (planner *Planner) stepsForReservations(steps []*waitingStep) map[identifier.Service][]*waitingStep {
	waiting := make(map[identifier.Service][]*waitingStep)
	hasAged := make(map[*specifier.Queue]bool)
	for _, waitingStep := range steps {
		queue := waitingStep.queue
		if !planner.needsReservation(waitingStep) || (!waitingStep.step.spec.Gang && hasAged[queue]) {
			continue
		}
		hasAged[queue] = hasAged[queue] || !waitingStep.step.spec.Gang
		waiting[queue.Service] = append(waiting[queue.Service], waitingStep)
	}
	return waiting
}

func (gangReservations *gangReservations) isInUse(service identifier.Service) bool {
	gangReserver := gangReservations.byService[service]
	return gangReserver != nil && len(gangReserver.Reservations()) > 0
}

// needsReservation reports whether a step that did not start in this pass gets a reservation.
// A gang of priority 0 reclaims capacity instead until it is late. Steps without a gang get
// one only once they are aged, so that small tasks do not hold up large ones for ever.
func (planner *Planner) needsReservation(waitingStep *waitingStep) bool {
	step := waitingStep.step
	if step.spec.LongRunning || !(step.spec.Gang || waitingStep.aged) {
		return false
	}
	if step.spec.Gang && (waitingStep.taskCount < len(step.tasks)-step.done || step.hasRuns()) {
		return false
	}
	if step.passResult == waitsForCapacity {
		return waitingStep.queue.Priority > 0 || waitingStep.late
	}
	gangReserver := planner.gangReservations.byService[waitingStep.queue.Service]
	return (step.passResult == waitsForAdvice || step.passResult == waitsForRecord) && gangReserver != nil && gangReserver.Find(step.reserverStep()) != nil
}

func (planner *Planner) planServiceReservations(now time.Time, service identifier.Service, steps []*waitingStep, pool *pool) {
	gangReserver := planner.gangReservations.ensure(service)
	minions := make([]*reserver.Minion, 0, len(pool.available))
	for _, minion := range pool.available {
		planner.updateOutlook(now, minion)
		minions = append(minions, &minion.outlook)
	}
	demands := make([]*reserver.Demand, 0, len(steps))
	for _, waitingStep := range steps {
		demands = append(demands, planner.reservationDemand(now, waitingStep, pool))
	}
	planner.emitReservationChanges(now, gangReserver.Plan(now, minions, demands))
}

// giveUpReservations gives up all reservations, because no step waits.
func (planner *Planner) giveUpReservations(now time.Time) {
	for _, gangReserver := range planner.gangReservations.byService {
		if len(gangReserver.Reservations()) > 0 {
			planner.emitReservationChanges(now, gangReserver.Plan(now, nil, nil))
		}
	}
}

func (planner *Planner) emitReservationChanges(now time.Time, changes []reserver.Change) {
	for _, change := range changes {
		if change.Outcome == reserver.Made {
			planner.emitReservation(now, change.Reservation, "reservation-made", "its tasks do not fit together")
		} else {
			planner.emitReservation(now, change.Reservation, "reservation-given-up", change.Outcome.String())
		}
	}
}

// reservationDemand returns what a step needs: room for all its tasks if they start together,
// for one task otherwise.
func (planner *Planner) reservationDemand(now time.Time, waitingStep *waitingStep, pool *pool) *reserver.Demand {
	step := waitingStep.step
	rackRequired := step.requiresRack(now, waitingStep, pool)
	tasks := 1
	if step.startsTogether(rackRequired, pool) {
		tasks = waitingStep.taskCount
	}
	return &reserver.Demand{
		Step: step.reserverStep(), Priority: waitingStep.queue.Priority, Yields: waitingStep.rank == lateRank, WaitingSince: step.waitingSince, Tasks: tasks,
		Request: requiredCapacity(step.spec), MaxPerMinion: step.maxPerMinion(), SameRack: step.spec.SameRack && rackRequired,
		RunTime: step.expectedRunTime(),
		CanRunOn: func(index int) bool {
			minion := pool.available[index]
			return step.canRunOn(minion) && minion.taskLimit(step) > 0 && !minion.isExpiring() && !(rackRequired && step.spec.DataRack != "" && minion.rack != step.spec.DataRack)
		},
	}
}

func (step *step) reserverStep() reserver.Step {
	return reserver.Step{Job: step.occurrence.job.spec.ID, Occurrence: step.occurrence.number, Number: step.number}
}

// updateOutlook updates what is free on a minion and what its runs will free.
func (planner *Planner) updateOutlook(now time.Time, minion *minion) {
	outlook := &minion.outlook
	outlook.Rack, outlook.Capacity = minion.rack, minion.report.Capacity
	outlook.Free = minion.freeCapacity().Sub(minion.reserved)
	outlook.Ends = outlook.Ends[:0]
	for _, run := range minion.runs {
		if !run.step.spec.LongRunning || run.state == stopping {
			outlook.Ends = append(outlook.Ends, reserver.End{At: planner.likelyEnd(now, run), Frees: requiredCapacity(run.step.spec)})
		}
	}
}

// emitReservation logs a change of a reservation. The number of lines is bounded.
func (planner *Planner) emitReservation(now time.Time, reservation *reserver.Reservation, outcome, reason string) {
	reservations := &planner.gangReservations
	if now.Sub(reservations.linesSince) >= waitReportInterval {
		reservations.lines, reservations.linesSince = 0, now
	}
	reservations.lines++
	if reservations.lines > maxReservationLines {
		return
	}
	planner.emitDecision(string(reservation.Step.Job), outcome, reason, fmt.Sprintf("occurrence=%d step=%d tasks=%d minions=%d promised-in=%s starts-in=%s",
		reservation.Step.Occurrence, reservation.Step.Number, reservation.Tasks, reservation.Minions(),
		reservation.PromisedAt.Sub(now).Round(time.Millisecond), reservation.StartAt.Sub(now).Round(time.Millisecond)), now.Sub(reservation.MadeAt))
}

// countReservations returns the number of reservations of all services.
func (gangReservations *gangReservations) countReservations() int {
	count := 0
	for _, gangReserver := range gangReservations.byService {
		count += len(gangReserver.Reservations())
	}
	return count
}
