package scheduler

import (
	"cmp"
	"slices"
	"time"

	"corianderroad/commander"
	"corianderroad/identifier"
	"corianderroad/placer"
)

const (
	// migrationCost is the time that a gang loses by a migration: a checkpoint, a
	// release, a new start and the work since the checkpoint.
	migrationCost = 30 * time.Second
	// migrationCooldown keeps a gang from being moved back and forth.
	migrationCooldown = 10 * time.Minute
	// defaultRunTime is assumed for jobs that declare no run time.
	defaultRunTime = time.Hour
	// backfillFactor is how many times the declared run time of a job must fit before
	// the expected start of the reserved job, because declared run times are often
	// far off.
	backfillFactor = 4
)

// reservation reserves workers for the first job of the pass that has waited for
// ReservationDelay, so that smaller jobs do not occupy the workers as they become
// free.
type reservation struct {
	job     *job
	workers map[identifier.Worker]bool
	// freeAt is when the job is expected to fit on all of the workers.
	freeAt time.Time
}

// reserveIfOverdue reserves workers for a job that could not be placed and has
// waited for ReservationDelay.
func (pass *pass) reserveIfOverdue(job *job) {
	parameters := pass.scheduler.parameters
	if pass.reservation != nil || !parameters.isEnabled(LargeGangReservation) || job.state != waiting {
		return
	}
	due := job.since.Add(parameters.ReservationDelay)
	if pass.now.Before(due) {
		pass.scheduler.requestPlanAt(pass.region, due)
		return
	}
	pass.reservation = pass.chooseReservation(job)
	if pass.reservation != nil && (job.expectedStart.IsZero() || pass.reservation.freeAt.Before(job.expectedStart)) {
		job.expectedStart = pass.reservation.freeAt
	}
	if pass.reservation != nil && parameters.isEnabled(Migration) {
		pass.migrate()
	}
}

// availability is a worker with the time at which a member is expected to fit.
type availability struct {
	worker *worker
	at     time.Time
}

// chooseReservation chooses the workers of one rack, or of the region, that are
// expected to have enough free accelerators first.
func (pass *pass) chooseReservation(job *job) *reservation {
	byRack := make(map[identifier.Rack][]availability)
	for _, worker := range pass.region.sortedWorkers() {
		if !worker.isUsable(pass.now) || worker.accelerators < job.spec.Shape.Accelerators {
			continue
		}
		rack := worker.vm.Rack
		if job.spec.Shape.Adjacency != commander.SameRack {
			rack = ""
		}
		byRack[rack] = append(byRack[rack], availability{worker, pass.freeAt(worker, job.spec.Shape.Accelerators)})
	}
	var best []availability
	members := job.spec.Shape.Members
	for _, rack := range byRack {
		if len(rack) < members {
			continue
		}
		slices.SortFunc(rack, compareAvailability)
		if best == nil || compareAvailability(rack[members-1], best[members-1]) < 0 {
			best = rack
		}
	}
	if best == nil {
		return nil
	}
	chosen := &reservation{job: job, workers: make(map[identifier.Worker]bool, members), freeAt: best[members-1].at}
	for _, availability := range best[:members] {
		chosen.workers[availability.worker.name] = true
	}
	return chosen
}

func compareAvailability(a, b availability) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.worker.name, b.worker.name))
}

// freeAt returns when a worker is expected to have the given number of free
// accelerators.
func (pass *pass) freeAt(worker *worker, accelerators int) time.Time {
	available := pass.region.fleet.Available(worker.name)
	jobs := slices.Clone(worker.jobs)
	slices.SortFunc(jobs, func(a, b *job) int { return pass.expectedEnd(a).Compare(pass.expectedEnd(b)) })
	at := pass.now
	for _, job := range jobs {
		if available >= accelerators {
			break
		}
		available += job.spec.Shape.Accelerators
		at = pass.expectedEnd(job)
	}
	return at
}

// expectedEnd returns the expected end of a gang. Because declared run times are
// often far off, a gang is expected to run for at least another half of its elapsed
// time.
func (pass *pass) expectedEnd(job *job) time.Time {
	declared := job.spec.RunTime
	if declared == 0 {
		declared = defaultRunTime
	}
	elapsed := pass.now.Sub(job.since)
	return pass.now.Add(max(declared-job.progress-elapsed, elapsed/2))
}

// mayBackfill reports whether a job may use the reserved workers because it is
// expected to end long before the reserved job can start. The earliest expected
// start is the limit, so that jobs that run longer than declared do not postpone
// the reserved job without end.
func (pass *pass) mayBackfill(job *job) bool {
	declared := cmp.Or(job.spec.RunTime, defaultRunTime)
	return pass.now.Add(backfillFactor * declared).Before(pass.reservation.job.expectedStart)
}

// avoidedWorkers returns the workers on which a job must not be placed, and whether
// they include reserved workers.
func (pass *pass) avoidedWorkers(job *job) (avoided map[identifier.Worker]bool, reserved bool) {
	avoided = job.failedWorkers()
	if pass.reservation == nil || pass.reservation.job == job || pass.mayBackfill(job) {
		return avoided, false
	}
	if avoided == nil {
		return pass.reservation.workers, true
	}
	for worker := range pass.reservation.workers {
		avoided[worker] = true
	}
	return avoided, true
}

// migrate evicts the gangs on the reserved workers if all of them fit elsewhere now
// and the waiting gang gains more than the migrations cost.
func (pass *pass) migrate() {
	region, waitingJob := pass.region, pass.reservation.job
	gain := time.Duration(waitingJob.spec.Shape.TotalAccelerators()) * pass.reservation.freeAt.Sub(pass.now)
	var moved []*job
	var rollbacks []func()
	defer func() {
		for _, undo := range rollbacks {
			undo()
		}
	}()
	for _, name := range sortedNames(pass.reservation.workers) {
		if region.fleet.Available(name) >= waitingJob.spec.Shape.Accelerators {
			continue
		}
		for _, job := range region.workers[name].jobs {
			if !usesAccelerators(job) || slices.Contains(moved, job) {
				continue
			}
			gain -= time.Duration(job.spec.Shape.TotalAccelerators()) * migrationCost
			if job.gang == nil || job.state != running || job.spec.Urgent || gain <= 0 || pass.now.Sub(job.since) < migrationCooldown {
				return
			}
			workers := region.fleet.Place(placer.Request{Shape: job.spec.Shape, Avoid: pass.reservation.workers})
			if workers == nil {
				return
			}
			for _, worker := range workers {
				region.fleet.Reserve(worker, job.spec.Shape.Accelerators)
				rollbacks = append(rollbacks, func() { region.fleet.Reserve(worker, -job.spec.Shape.Accelerators) })
			}
			moved = append(moved, job)
		}
	}
	for _, job := range moved {
		pass.scheduler.evict(pass.now, job, "migrated", string(waitingJob.spec.Job))
	}
}

func sortedNames(workers map[identifier.Worker]bool) []identifier.Worker {
	names := make([]identifier.Worker, 0, len(workers))
	for name := range workers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
