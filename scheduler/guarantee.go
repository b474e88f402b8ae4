package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"corianderroad/guarantor"
	"corianderroad/identifier"
)

// missedAnswersLimit is the number of calls without an answer after which the
// guarantees are no longer packed on a worker. One lost answer must not change
// the packing.
const missedAnswersLimit = 3

// isEligibleForGuarantees reports whether the guarantees may be packed on the
// worker.
func (worker *worker) isEligibleForGuarantees(now time.Time) bool {
	return worker.listed && !worker.vm.Leaving && worker.missedAnswers < missedAnswersLimit && !now.Before(worker.health.quarantinedUntil)
}

// refreshLedger packs the guarantees again after workers or guarantees changed.
func (scheduler *Scheduler) refreshLedger(now time.Time, region *region) {
	workers := make([]guarantor.Worker, 0, len(region.workers))
	eligibleWorkers := 0
	for _, worker := range region.workers {
		entry := guarantor.Worker{Worker: worker.name, Rack: worker.vm.Rack}
		eligible := worker.isEligibleForGuarantees(now)
		if eligible {
			entry.Accelerators = worker.accelerators
			eligibleWorkers++
		}
		if eligible != worker.inLedger {
			worker.inLedger, region.ledgerStale = eligible, true
		}
		workers = append(workers, entry)
	}
	claims := region.guaranteeClaims(scheduler)
	if region.ledger != nil && !region.ledgerStale && slices.Equal(claims, region.ledgerClaims) {
		return
	}
	// A guarantee that was reduced protects only the oldest gangs.
	var uses []guarantor.Use
	protected := make(map[identifier.Workspace]int)
	for _, job := range scheduler.jobsOf(region) {
		if !job.protected {
			continue
		}
		workspace := job.spec.Workspace
		protected[workspace] += job.spec.Shape.TotalAccelerators()
		if job.protected = protected[workspace] <= scheduler.guaranteed(region, workspace); job.protected {
			uses = append(uses, job.guaranteeUse())
		} else {
			protected[workspace] -= job.spec.Shape.TotalAccelerators()
		}
	}
	region.ledgerWorkers, region.ledgerClaims, region.ledgerStale = eligibleWorkers, claims, false
	region.ledger = guarantor.New(workers, claims, uses)
	region.promotionAttempted = false
	scheduler.reportUncovered(now, region)
}

// guaranteeClaims returns the guaranteed shapes of all workspaces in the region, in an
// order that depends on the configuration alone.
func (region *region) guaranteeClaims(scheduler *Scheduler) []guarantor.Claim {
	var claims []guarantor.Claim
	if !scheduler.parameters.isEnabled(Guarantees) {
		return nil
	}
	for _, workspace := range scheduler.workspaces {
		for _, guarantee := range workspace.Guarantees {
			if guarantee.Region == region.name {
				claims = append(claims, guarantor.Claim{Workspace: workspace.Workspace, Shape: guarantee.Shape})
			}
		}
	}
	slices.SortStableFunc(claims, func(a, b guarantor.Claim) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return claims
}

// reportUncovered reports the workspaces whose guarantees can no longer be packed
// and those whose guarantees can be packed again.
func (scheduler *Scheduler) reportUncovered(now time.Time, region *region) {
	uncovered := make(map[identifier.Workspace]bool)
	for _, claim := range region.ledger.Missing() {
		uncovered[claim.Workspace] = true
	}
	for workspace := range scheduler.workspaces {
		if uncovered[workspace] == region.uncovered[workspace] {
			continue
		}
		from, to := "covered", "uncovered"
		if !uncovered[workspace] {
			from, to = to, from
		}
		detail := fmt.Sprintf("guarantee in region %s with %d eligible workers", region.name, region.ledgerWorkers)
		scheduler.transition(string(workspace), from, to, detail)
		scheduler.recordDecision(now, string(workspace), to, detail)
	}
	region.uncovered = uncovered
}

// guaranteed returns the guaranteed accelerators of a workspace in a region.
func (scheduler *Scheduler) guaranteed(region *region, workspace identifier.Workspace) int {
	total := 0
	if !scheduler.parameters.isEnabled(Guarantees) {
		return 0
	}
	for _, guarantee := range scheduler.workspaces[workspace].Guarantees {
		if guarantee.Region == region.name {
			total += guarantee.Shape.TotalAccelerators()
		}
	}
	return total
}

// protect makes the job's gang part of its workspace's guarantee if all guarantees
// remain reclaimable. A protected gang cannot be preempted.
func (scheduler *Scheduler) protect(region *region, job *job, workers []identifier.Worker) bool {
	use := guarantor.Use{Workspace: job.spec.Workspace, Workers: workers, Accelerators: job.spec.Shape.Accelerators}
	if region.ledger == nil || !region.ledger.Add(use) {
		return false
	}
	job.protected, job.protectedOn = true, workers
	return true
}

func (scheduler *Scheduler) unprotect(now time.Time, region *region, job *job) {
	if !job.protected {
		return
	}
	job.protected = false
	if region.ledger != nil {
		region.ledger.Remove(job.guaranteeUse())
		scheduler.reportUncovered(now, region)
	}
	region.promotionAttempted = false
}

func (job *job) guaranteeUse() guarantor.Use {
	return guarantor.Use{
		Workspace: job.spec.Workspace, Workers: job.protectedOn, Accelerators: job.spec.Shape.Accelerators,
	}
}

// promote protects running gangs of workspaces that are below their guarantee,
// the oldest first. Such gangs exist after an adoption, or after other gangs of
// the workspace have ended.
func (pass *pass) promote() {
	if pass.region.promotionAttempted {
		return
	}
	pass.region.promotionAttempted = true
	refused := make(map[guarantor.Claim]bool)
	for _, job := range pass.scheduler.jobsOf(pass.region) {
		claim := guarantor.Claim{Workspace: job.spec.Workspace, Shape: job.spec.Shape}
		if job.protected || job.gang == nil || job.state > running || !pass.isWithinGuarantee(job) || refused[claim] {
			continue
		}
		if pass.scheduler.protect(pass.region, job, job.gang.Order().Workers) {
			pass.protected[job.spec.Workspace] += job.spec.Shape.TotalAccelerators()
		} else {
			// A full packing is expensive; equal claims would be refused again.
			refused[claim] = true
		}
	}
}

// isWithinGuarantee reports whether the job fits into the unused part of its
// workspace's guarantee.
func (pass *pass) isWithinGuarantee(job *job) bool {
	guaranteed := pass.scheduler.guaranteed(pass.region, job.spec.Workspace)
	total := job.spec.Shape.TotalAccelerators()
	return total > 0 && pass.protected[job.spec.Workspace]+total <= guaranteed
}

// jobsOf returns the jobs of a region in the order of acceptance.
func (scheduler *Scheduler) jobsOf(region *region) []*job {
	var jobs []*job
	for _, job := range scheduler.jobs {
		if job.region == region.name {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, compareJobs)
	return jobs
}
