package scheduler

import "corianderroad/guarantor"

// GuaranteeState returns the state of the guarantees of a region: the eligible workers,
// the claims that the ledger reports as reclaimable and the protected work. It
// returns false while this node does not place gangs in the region.
func (scheduler *Scheduler) GuaranteeState(name string) (workers []guarantor.Worker, claims []guarantor.Claim, uses []guarantor.Use, ok bool) {
	for _, region := range scheduler.regions {
		if string(region.name) != name || region.ledger == nil || region.ledgerStale || !scheduler.isPlacing(region) {
			continue
		}
		for _, worker := range region.sortedWorkers() {
			if worker.inLedger {
				workers = append(workers, guarantor.Worker{Worker: worker.name, Rack: worker.vm.Rack, Accelerators: worker.accelerators})
			}
		}
		all, packing := region.ledger.Packing()
		for i, claim := range all {
			if packing[i] != nil {
				claims = append(claims, claim)
			}
		}
		for _, job := range scheduler.jobsOf(region) {
			if job.protected {
				uses = append(uses, job.guaranteeUse())
			}
		}
		return workers, claims, uses, true
	}
	return nil, nil, nil, false
}
